"""The numbered events: what the logs of the system say. docs/events.md explains each.

The hundreds tell the package: 1 node, 2 control, 3 distribution, 4 discovery, 5 routing, 6 directory, 7
quotas. A number is never used again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Event(IntEnum):
    """What happened; its name in lower case stands in the log."""

    STARTED = 101
    STOPPING = 102
    STOPPED = 103
    SETTINGS_RELOADED = 104
    SETTINGS_REJECTED = 105
    OUTPUT_FAILED = 106  # an effect could not be carried out
    METRICS_UNAVAILABLE = 107  # their port cannot be listened on
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
    VERSION_CONFLICT = 211  # one number, two bodies
    MEMBER_REMOVED = 212
    ROLLOUT_BEGAN = 213
    ROLLOUT_PROMOTED = 214
    ROLLOUT_COMPLETED = 215
    ROLLOUT_REVERTED = 216
    ROLLOUT_DECIDED = 217
    ROWS_DAMAGED = 220  # on the own disk
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
    REQUEST_FIGURES = 503  # figures of a period
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


# Events that somebody should look at: written at the level of warnings.
WARNINGS = frozenset(
    {Event.SHEDDING_BEGAN, Event.REFUSING_WITH_ROOM, Event.HOMES_DISJOINT, Event.ROLLOUT_REVERTED}
)


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One line for the log: the event, and its figures."""

    event: Event
    facts: dict[str, object] = field(default_factory=dict)

    def line(self) -> str:
        """Return the line as it is written, without time and level."""
        figures = " ".join(f"{name}={value}" for name, value in self.facts.items())
        return f"{int(self.event)} {self.event.name.lower()} {figures}".rstrip()
