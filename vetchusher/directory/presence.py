"""Which ingresses serve, by the beats that this core machine hears, and whom the directory names."""

from __future__ import annotations

from dataclasses import dataclass

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent

from .naming import Entrance, named, row_of

SERVING_US = 2_500_000  # since the last beat: five of them may be lost at the primary, two elsewhere
MAY_SERVE_US = 60_000_000  # since the last beat: cut off from here it may still serve clients
MOST_INGRESSES = 2_048
TTL_S = 2  # for which a client may hold on to the directory's answer
KEPT_TIMES = 3  # as long as that some do hold on to it


@dataclass(slots=True)
class Ingress:
    node: str
    ip: str
    zone: str
    region: str
    front: str
    life: int
    standing: wire.Standing
    heard_at: int

    def entrance(self) -> Entrance:
        return Entrance(self.node, self.zone, self.region, self.front)

    def serves(self, now: int) -> bool:
        """Heard lately, and ready."""
        return self.standing == wire.READY and now - self.heard_at <= SERVING_US


class Presence:
    """Owner of what is known of them: an entry goes when it has been silent for MAY_SERVE_US."""

    def __init__(self) -> None:
        self.ingresses: dict[str, Ingress] = {}
        self.lost: set[str] = set()  # of `ingresses`: told in the log as lost

    def heard(self, now: int, heartbeat: wire.Heartbeat) -> list[LogEvent]:
        """Take in a beat; those of machines that take no clients tell nothing here."""
        if not heartbeat.front:
            return []
        known = self.ingresses.get(heartbeat.node)
        if known is None and len(self.ingresses) >= MOST_INGRESSES:
            return []
        fresh = known is None or known.life != heartbeat.life or heartbeat.node in self.lost
        self.lost.discard(heartbeat.node)
        self.ingresses[heartbeat.node] = Ingress(
            heartbeat.node,
            heartbeat.ip,
            heartbeat.zone,
            heartbeat.region,
            heartbeat.front,
            heartbeat.life,
            heartbeat.standing,
            now,
        )
        return (
            [LogEvent(Event.INGRESS_SEEN, {"node": heartbeat.node, "standing": heartbeat.standing})]
            if fresh
            else []
        )

    def sweep(self, now: int) -> list[LogEvent]:
        notes = []
        for node, one in list(self.ingresses.items()):
            silent = now - one.heard_at
            if silent > MAY_SERVE_US:
                del self.ingresses[node]
                self.lost.discard(node)
            elif silent > SERVING_US and node not in self.lost:
                self.lost.add(node)
                notes.append(LogEvent(Event.INGRESS_LOST, {"node": node}))
        return notes

    def remember(self, now: int, node: str) -> None:
        """One that the news named before this process began: it may still be serving.

        Danger: a core machine that has just started would count only those that it has heard since.
        """
        if node not in self.ingresses and len(self.ingresses) < MOST_INGRESSES:
            self.ingresses[node] = Ingress(node, "", "", "", "", 0, wire.STARTING, now)
            self.lost.add(node)

    def rows(self, now: int) -> dict[str, bytes]:
        """As news: every ingress that may be serving, by name, and whether it does."""
        return {one.node: row_of(one.ip, one.entrance(), one.serves(now)) for one in self.ingresses.values()}

    def may_serve(self) -> dict[str, int]:
        """When each that may have clients, those lately lost among them, was last heard (us)."""
        return {node: one.heard_at for node, one in self.ingresses.items()}

    def serving(self, now: int) -> list[Ingress]:
        """Those heard lately that are ready."""
        return [one for one in self.ingresses.values() if one.serves(now)]

    def name(self, now: int, region: str, zone: str) -> list[str]:
        return named((one.entrance() for one in self.serving(now)), region, zone)
