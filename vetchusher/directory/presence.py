"""Tracks which ingresses serve, by the heartbeats that a control node receives from them."""

from __future__ import annotations

from dataclasses import dataclass

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent

from .naming import IngressState, ListedIngress, encode_ingress

# An ingress counts as serving for this long after its last heartbeat; the primary may miss five heartbeats,
# other control nodes two.
SERVING_US = 2_500_000
MAY_SERVE_US = 60_000_000  # an ingress that is cut off from here may serve clients for this long afterwards
MAX_INGRESSES = 2_048
CLIENT_CACHE_FACTOR = 3  # some clients cache an answer for this multiple of its time to live
LEAVING_RATIO = 0.5  # part of the grace period after SIGTERM in which an ingress still accepts clients


@dataclass(slots=True)
class Ingress:
    """An ingress as its last heartbeat describes it; times are microseconds of this node's steady clock."""

    node: str
    ip: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: wire.Standing
    last_contact_at: int
    leaving_since: int = 0

    def listed(self, now: int, leaving_us: int) -> ListedIngress:
        """Return the ingress as the directory lists it.

        :param leaving_us: microseconds after the start of its shutdown in which it still accepts clients
        """
        state = IngressState.ABSENT
        if self.is_serving(now):
            state = IngressState.SERVING
        elif self.state == wire.LEAVING and now < self.leaving_since + leaving_us:
            state = IngressState.LEAVING
        return ListedIngress(self.node, self.zone, self.region, self.address, state)

    def is_serving(self, now: int) -> bool:
        """Return whether its last heartbeat is recent and said that it is ready."""
        return self.state == wire.READY and now - self.last_contact_at <= SERVING_US


class Presence:
    """Owner of one record for each ingress, which is removed `MAY_SERVE_US` after its last heartbeat."""

    def __init__(self, leaving_us: int = 0) -> None:
        """Begin without ingresses.

        :param leaving_us: microseconds for which an ingress that shuts down gracefully still accepts clients
        """
        self.leaving_us = leaving_us
        self.ingresses: dict[str, Ingress] = {}
        self.lost: set[str] = set()  # names in `ingresses` whose loss has been logged

    def on_heartbeat(self, now: int, heartbeat: wire.Heartbeat) -> list[LogEvent]:
        """Record a heartbeat; return an event if the ingress is new, restarted, or was lost before.

        Heartbeats of machines that have no address for clients are ignored.
        """
        if not heartbeat.front:
            return []
        known = self.ingresses.get(heartbeat.node)
        if known is None and len(self.ingresses) >= MAX_INGRESSES:
            return []
        fresh = known is None or known.incarnation != heartbeat.life or heartbeat.node in self.lost
        self.lost.discard(heartbeat.node)
        leaving_since = now
        if known is not None and not fresh and known.state == wire.LEAVING:
            leaving_since = known.leaving_since
        self.ingresses[heartbeat.node] = Ingress(
            heartbeat.node,
            heartbeat.ip,
            heartbeat.zone,
            heartbeat.region,
            heartbeat.front,
            heartbeat.life,
            heartbeat.standing,
            now,
            leaving_since,
        )
        return (
            [LogEvent(Event.INGRESS_READY, {"node": heartbeat.node, "standing": heartbeat.standing})]
            if fresh
            else []
        )

    def expire(self, now: int) -> list[LogEvent]:
        """Remove ingresses without a heartbeat for `MAY_SERVE_US`; return events for those newly lost."""
        events = []
        for node, one in list(self.ingresses.items()):
            unresponsive_us = now - one.last_contact_at
            if unresponsive_us > MAY_SERVE_US:
                del self.ingresses[node]
                self.lost.discard(node)
            elif unresponsive_us > SERVING_US and node not in self.lost:
                self.lost.add(node)
                events.append(LogEvent(Event.INGRESS_LOST, {"node": node}))
        return events

    def remember(self, now: int, node: str) -> None:
        """Add an ingress that a published row names, as it may still be serving.

        Safety: without this, a control node that has just become leader would divide quotas among only those
        ingresses whose heartbeats it has received since.
        """
        if node not in self.ingresses and len(self.ingresses) < MAX_INGRESSES:
            self.ingresses[node] = Ingress(node, "", "", "", "", 0, wire.STARTING, now)
            self.lost.add(node)

    def rows(self, now: int) -> dict[str, bytes]:
        """Return the rows of the source `directory`: every ingress that may be serving, with its state."""
        return {
            one.node: encode_ingress(one.ip, one.listed(now, self.leaving_us))
            for one in self.ingresses.values()
        }

    def last_contact_times(self) -> dict[str, int]:
        """Return the time (us) of the last heartbeat of each ingress that may have clients, by node name."""
        return {node: one.last_contact_at for node, one in self.ingresses.items()}

    def serving(self, now: int) -> list[Ingress]:
        """Return the ingresses that are ready by a recent heartbeat."""
        return [one for one in self.ingresses.values() if one.is_serving(now)]

    def listed(self, now: int) -> list[ListedIngress]:
        """Return all ingresses that have an address for clients, as the directory lists them."""
        return [one.listed(now, self.leaving_us) for one in self.ingresses.values() if one.address]
