"""Worker instances taken out of service by an operator, and how the decision module sees them.

An operator's exclusion takes precedence over the name table: an excluded instance is presented to the
decision module as draining, whatever the list says, until it is included again.  Then it is presented as
started at that moment, so that the slow-start budget applies to its return.  This code does no I/O: the
reducer calls it and the runtime stores the exclusions.
"""

from __future__ import annotations

from dataclasses import replace

from vetchusher import interface as api

MAX_EXCLUDED = 4096  # larger than any fleet; an exclusion is kept until the instance is included again


class Exclusions:
    """The instances excluded by an operator, and the name table's last entry for each listed instance.

    `listed` holds one entry per instance in the list; an entry is removed when the list marks it as gone or
    a complete list does not contain it.  Only `include` removes from `excluded`, so that an exclusion holds
    whatever the list says; it holds at most `MAX_EXCLUDED` instances.
    """

    def __init__(self, excluded: frozenset[int] = frozenset()) -> None:
        """Restore the exclusions that the runtime has stored."""
        self.listed: dict[int, api.WorkerEntry] = {}
        self.excluded: set[int] = set(list(excluded)[:MAX_EXCLUDED])

    def apply_to(self, change: api.FleetChanged) -> api.FleetChanged:
        """Record a change of the list and return it as the decision module is to see it."""
        if change.kind != api.FleetKind.DELTA:
            self.listed = {}
        for entry in change.entries:
            if entry.state == api.WorkerState.REMOVED:
                self.listed.pop(entry.worker, None)
            else:
                self.listed[entry.worker] = entry
        if not self.excluded:
            return change
        entries = [self.effective_entry(entry) for entry in change.entries]
        return api.FleetChanged(change.kind, change.version, entries)

    def effective_entry(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """Return the entry as the module is to see it: a ready instance that is excluded is draining."""
        if entry.worker in self.excluded and entry.state == api.WorkerState.READY:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def exclude(self, worker: int) -> api.FleetChanged | None:
        """Exclude an instance.

        :returns: the change for the module, empty if nothing changes; None if no instance has this id
        """
        if worker not in self.listed and worker not in self.excluded:
            return None
        if worker in self.excluded or len(self.excluded) >= MAX_EXCLUDED:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        self.excluded.add(worker)
        entry = self.listed.get(worker)
        return api.FleetChanged(api.FleetKind.DELTA, -1, [self.effective_entry(entry)] if entry else [])

    def include(self, worker: int, now: int) -> api.FleetChanged | None:
        """Include an instance again, as though it had started at `now` (us).

        :returns: the change for the module, empty if nothing changes; None if no instance has this id
        """
        if worker not in self.listed and worker not in self.excluded:
            return None
        if worker not in self.excluded:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        self.excluded.discard(worker)
        entry = self.listed.get(worker)
        if entry is None:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        # Operators may restart an excluded instance, so it returns cold whatever start time the list gives.
        entry = replace(entry, started_at=max(entry.started_at, now))
        self.listed[worker] = entry
        return api.FleetChanged(api.FleetKind.DELTA, -1, [entry])

    def excluded_count(self) -> int:
        """Return the number of listed instances that are excluded."""
        return sum(worker in self.listed for worker in self.excluded)
