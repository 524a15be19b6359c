"""The numbered log events of the system; docs/events.md explains each of them.

The hundreds digit is the package: 1 node, 2 control, 3 distribution, 4 discovery, 5 routing, 6 directory, 7
quotas. The number of a removed event is not reused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Event(IntEnum):
    """The kind of an event; the log shows its number and its name in lower case."""

    STARTED = 101
    STOPPING = 102
    STOPPED = 103
    SETTINGS_RELOADED = 104
    SETTINGS_REJECTED = 105
    OUTPUT_FAILED = 106  # an action that was decided on could not be carried out
    METRICS_UNAVAILABLE = 107  # the port for metrics cannot be bound
    VOTE_GRANTED = 201
    BECAME_PRIMARY = 202
    STEPPED_DOWN = 203
    STATE_COMMITTED = 204
    RECOVERY_STARTED = 205
    RECOVERY_FINISHED = 206
    STORE_FAILED = 207
    MEMBER_JOINED = 208
    ORDER_REJECTED = 209
    REPLICA_SET_ESTABLISHED = 210
    VERSION_CONFLICT = 211  # two different bodies with the same version
    MEMBER_REMOVED = 212
    ROLLOUT_BEGAN = 213
    ROLLOUT_PROMOTED = 214
    ROLLOUT_COMPLETED = 215
    ROLLOUT_REVERTED = 216
    ROLLOUT_DECIDED = 217
    ROWS_DAMAGED = 220  # on this machine's disk
    ROWS_REWRITTEN = 221
    COPIES_DIFFER = 222
    COPY_REPAIRED = 223
    UPDATE_APPLIED = 301
    UPDATE_REJECTED = 302
    PEER_DISCONNECTED = 303
    SERVER_LIST_READ = 401
    SERVER_LIST_FAILED = 402
    SERVER_EJECTED = 501
    CONFIGURATION_APPLIED = 502
    REQUEST_FIGURES = 503  # request metrics of one period
    SHEDDING_BEGAN = 504
    SHEDDING_ENDED = 505
    REFUSING_WITH_ROOM = 506
    HOMES_DISJOINT = 507
    INGRESS_READY = 601
    INGRESS_LOST = 602
    DIRECTORY_SCOPE_CHANGED = 603
    QUOTA_COORDINATOR_STATUS = 701
    QUOTA_TOTALS_STALE = 702
    QUOTA_TOTALS_COMPLETE = 703
    QUOTA_COORDINATOR_STOPPED = 704


# Events that need an operator's attention; they are logged as warnings.
WARNINGS = frozenset(
    {Event.SHEDDING_BEGAN, Event.REFUSING_WITH_ROOM, Event.HOMES_DISJOINT, Event.ROLLOUT_REVERTED}
)


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One log line: the event and its `key=value` fields."""

    event: Event
    facts: dict[str, object] = field(default_factory=dict)

    def line(self) -> str:
        """Return the line as it is written, without time and level."""
        fields = " ".join(f"{name}={value}" for name, value in self.facts.items())
        return f"{int(self.event)} {self.event.name.lower()} {fields}".rstrip()
