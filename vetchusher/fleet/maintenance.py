"""Share servers taken out of service by hand, and what the module is told of them.

An operator's exclusion outranks the name table: an excluded instance is shown to the module as draining,
whatever the list says, until it is included again; then it is shown as started at that moment, so that the
cold-server budget holds for its return. Free of I/O: the reducer calls it, the runtime keeps its record.
"""

from __future__ import annotations

from dataclasses import replace

from vetchusher import interface as api

MOST_EXCLUDED = 4096  # beyond any fleet: an exclusion of an id the list names is kept until its include


class Exclusions:
    """The instances excluded by hand, and the last entry the name table gave for each listed instance.

    `listed` holds one entry an instance in the list; an entry is removed when the list says it is gone or
    a whole list leaves it out. `excluded` is removed from by `include` alone (it outlives the list, so that
    the ban holds whatever the list says), and holds `MOST_EXCLUDED` at most.
    """

    def __init__(self, excluded: frozenset[int] = frozenset()) -> None:
        self.listed: dict[int, api.WorkerEntry] = {}
        self.excluded: set[int] = set(list(excluded)[:MOST_EXCLUDED])

    def mask(self, change: api.FleetChanged) -> api.FleetChanged:
        """Note what the list says, and give the change as the module is to see it."""
        if change.kind != api.FleetKind.DELTA:
            self.listed = {}
        for entry in change.entries:
            if entry.state == api.WorkerState.GONE:
                self.listed.pop(entry.worker, None)
            else:
                self.listed[entry.worker] = entry
        if not self.excluded:
            return change
        shown = [self.shown(entry) for entry in change.entries]
        return api.FleetChanged(change.kind, change.version, shown)

    def shown(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        if entry.worker in self.excluded and entry.state == api.WorkerState.READY:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def exclude(self, worker: int) -> api.FleetChanged | None:
        """None where nobody has that id; else the change to tell the module (empty if excluded already)."""
        if worker not in self.listed and worker not in self.excluded:
            return None
        if worker in self.excluded or len(self.excluded) >= MOST_EXCLUDED:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        self.excluded.add(worker)
        entry = self.listed.get(worker)
        return api.FleetChanged(api.FleetKind.DELTA, -1, [self.shown(entry)] if entry else [])

    def include(self, worker: int, now: int) -> api.FleetChanged | None:
        """None where nobody has that id; else the change: the instance as though it started at `now` (us)."""
        if worker not in self.listed and worker not in self.excluded:
            return None
        if worker not in self.excluded:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        self.excluded.discard(worker)
        entry = self.listed.get(worker)
        if entry is None:
            return api.FleetChanged(api.FleetKind.DELTA, -1, [])
        # Operators restart it while it is out: its return is cold, whatever the list says of its start.
        entry = replace(entry, started_at=max(entry.started_at, now))
        self.listed[worker] = entry
        return api.FleetChanged(api.FleetKind.DELTA, -1, [entry])

    def skipped(self) -> int:
        """Listed instances excluded by hand."""
        return sum(worker in self.listed for worker in self.excluded)
