"""The numbered events: what the logs of the system say.  docs/events.md explains each.

The hundreds tell the package: 1 node, 2 control, 3 distribution, 4 discovery,
5 routing, 6 directory, 7 limits.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Event(IntEnum):
    STARTED = 101
    STOPPING = 102
    STOPPED = 103
    SETTINGS_READ_AGAIN = 104
    SETTINGS_UNUSABLE = 105
    CARRIER_FAILED = 106  # an effect could not be carried out
    EPOCH_PROMISED = 201
    PRIMARY = 202
    PRIMARY_NO_MORE = 203
    STATE_COMMITTED = 204
    AMNESIAC = 205
    RECOVERED = 206
    STORE_FAILED = 207
    MEMBER_JOINED = 208
    ORDER_REFUSED = 209
    COPIES_HELD = 210
    ORDERS_CONFLICT = 211  # one number, two bodies
    MEMBER_REMOVED = 212
    ROWS_SPOILT = 220  # on the own disk
    ROWS_MENDED = 221
    COPIES_DIFFER = 222
    COPY_MENDED = 223
    NEWS_TAKEN = 301
    NEWS_UNUSABLE = 302
    PEER_LOST = 303
    LIST_READ = 401
    LIST_FAILED = 402
    SERVER_RESTED = 501
    CONFIGURATION_IN_FORCE = 502
    REQUESTS = 503  # figures of a period
    INGRESS_SEEN = 601
    INGRESS_LOST = 602
    TOTALS_HELD = 701
    TOTALS_LOST = 702
    TOTALS_WHOLE = 703
    TOTALS_LEFT = 704


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One line for the log: the event, and its figures."""

    event: Event
    facts: dict[str, object] = field(default_factory=dict)

    def line(self) -> str:
        told = " ".join(f"{name}={value}" for name, value in self.facts.items())
        return f"{int(self.event)} {self.event.name.lower()} {told}".rstrip()
