"""Which ingresses serve, by the heartbeats that this control node receives, and whom the directory names."""

from __future__ import annotations

from dataclasses import dataclass

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent

from .naming import IngressState, ListedIngress, encode_ingress

SERVING_US = 2_500_000  # since the last heartbeat: five may be lost at the primary, two elsewhere
MAY_SERVE_US = 60_000_000  # since the last heartbeat: cut off from here it may still serve clients
MOST_INGRESSES = 2_048
RETENTION_FACTOR = 3  # times an answer's time to live: some clients cache it so long
LEAVING_RATIO = 0.5  # of the grace: for so long after its SIGTERM an ingress counts as leaving


@dataclass(slots=True)
class Ingress:
    """An ingress by its last heartbeat."""

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
        """Return it as the directory knows it.

        :param leaving_us: for how long after it began to shut down it still takes clients
        """
        state = IngressState.ABSENT
        if self.is_serving(now):
            state = IngressState.SERVING
        elif self.state == wire.LEAVING and now < self.leaving_since + leaving_us:
            state = IngressState.LEAVING
        return ListedIngress(self.node, self.zone, self.region, self.address, state)

    def is_serving(self, now: int) -> bool:
        """Return whether it is ready, by a recent heartbeat."""
        return self.state == wire.READY and now - self.last_contact_at <= SERVING_US


class Presence:
    """Owner of one record for each ingress; removed MAY_SERVE_US after its last heartbeat."""

    def __init__(self, leaving_us: int = 0) -> None:
        """Begin without ingresses.

        :param leaving_us: for how long an ingress that shuts down in order still takes clients
        """
        self.leaving_us = leaving_us
        self.ingresses: dict[str, Ingress] = {}
        self.departed: set[str] = set()  # of `ingresses`: logged as lost

    def on_heartbeat(self, now: int, heartbeat: wire.Heartbeat) -> list[LogEvent]:
        """Take a heartbeat; those of machines that take no clients are ignored."""
        if not heartbeat.front:
            return []
        known = self.ingresses.get(heartbeat.node)
        if known is None and len(self.ingresses) >= MOST_INGRESSES:
            return []
        fresh = known is None or known.incarnation != heartbeat.life or heartbeat.node in self.departed
        self.departed.discard(heartbeat.node)
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
        """Forget ingresses that were silent for long; return events of those that went silent."""
        events = []
        for node, one in list(self.ingresses.items()):
            unheard_us = now - one.last_contact_at
            if unheard_us > MAY_SERVE_US:
                del self.ingresses[node]
                self.departed.discard(node)
            elif unheard_us > SERVING_US and node not in self.departed:
                self.departed.add(node)
                events.append(LogEvent(Event.INGRESS_LOST, {"node": node}))
        return events

    def remember(self, now: int, node: str) -> None:
        """Add an ingress that stored rows name: it may still be serving.

        Safety: a control node that has just started would count only those heard since.
        """
        if node not in self.ingresses and len(self.ingresses) < MOST_INGRESSES:
            self.ingresses[node] = Ingress(node, "", "", "", "", 0, wire.STARTING, now)
            self.departed.add(node)

    def rows(self, now: int) -> dict[str, bytes]:
        """Return the rows for subscribers: every ingress that may be serving, and whether it does."""
        return {
            one.node: encode_ingress(one.ip, one.listed(now, self.leaving_us))
            for one in self.ingresses.values()
        }

    def may_serve(self) -> dict[str, int]:
        """Return the time (us) of the last heartbeat of each that may have clients, silent ones included."""
        return {node: one.last_contact_at for node, one in self.ingresses.items()}

    def serving(self, now: int) -> list[Ingress]:
        """Return those that are ready, by a recent heartbeat."""
        return [one for one in self.ingresses.values() if one.is_serving(now)]

    def listed(self, now: int) -> list[ListedIngress]:
        """Return all as the directory knows them, but those without an address for clients."""
        return [one.listed(now, self.leaving_us) for one in self.ingresses.values() if one.address]
