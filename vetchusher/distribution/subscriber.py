"""How a process keeps up: beats to core machines and neighbours, and pulls by a vector of versions.

Only core machines can say what is in force; a neighbour has news for one that is cut off from all of them.

Pure: `tick` and the `heard_` functions return what is to be sent; whoever sends tells what became of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from vetchusher.events import Event, LogEvent

from . import wire_pb2 as wire
from .source import NEVER, Source, Stamped, Told, stamp_of, vector_of

BEAT_US = 500_000  # to the primary, or while none is known
OTHERS_US = 1_000_000  # to the other core machines: what they learn is told unasked
EAGER_US = 150_000  # the same, to one that has not answered yet: after a loss of power all start together
NEAR_US = 1_000_000  # the same, to a neighbour
PULL_PATIENCE_US = 1_500_000  # a pull that is not answered by then is made elsewhere
FRESH_US = 1_500_000  # since the sending of a beat that a machine with a majority behind it answered
CONTACT_US = 5_000_000  # what a core machine that has not answered for so long once said counts no longer
TOUCH_US = 2_500_000  # the same, for what need not be in force
MOST_CONTACTS = 16


@dataclass(slots=True, frozen=True)
class SendBeat:
    """:param wants_news: what is lacked may come with the answer, which spares a way there and back"""

    to: str
    wants_news: bool = False


@dataclass(slots=True, frozen=True)
class SendPull:
    to: str
    number: int
    pull: wire.Pull


Send = SendBeat | SendPull


@dataclass(slots=True)
class Contact:
    """What one core machine last answered."""

    beaten_at: int = -(1 << 60)  # us: the last beat sent
    waiting: bool = False  # that beat has not been answered or given up
    heard_at: int = -(1 << 60)  # us: when the beat that it last answered was sent
    in_force_at: int = -(1 << 60)  # the same, of the last answer with a majority behind it
    in_force: dict[str, Stamped] = field(default_factory=dict)  # what that answer held
    primary: str = ""


class Subscriber:
    """Owner of the contacts: seeds, and the members that the newest answer in force names."""

    def __init__(self, seeds: Iterable[str], sources: Mapping[str, Source], me: str = "") -> None:
        """:param me: own ip where this is itself a core machine: it asks the others only"""
        self.me = me
        self.sources = dict(sources)
        self.seeds: tuple[str, ...] = ()
        self.members: tuple[str, ...] = ()
        self.hinted: tuple[str, ...] = ()  # named by machines without a majority, while nobody else was heard
        self.contacts: dict[str, Contact] = {}
        self.neighbours: dict[str, Contact] = {}
        self.pulling: tuple[int, str, int] | None = None  # number, from whom, since when (us)
        self.pulls = 0
        self.reseed(seeds)

    def reseed(self, seeds: Iterable[str]) -> None:
        self.seeds = tuple(seeds)
        self._keep_contacts()

    def _keep_contacts(self) -> None:
        named = dict.fromkeys((*self.members, *self.seeds, *self.hinted))
        wanted = [ip for ip in named if ip != self.me][:MOST_CONTACTS]
        self.contacts = {ip: self.contacts.get(ip) or Contact() for ip in wanted}

    def watch(self, ips: Iterable[str]) -> None:
        """The neighbours from now on; at most as many as are named."""
        self.neighbours = {ip: self.neighbours.get(ip) or Contact() for ip in ips if ip not in self.contacts}

    def known(self, ip: str) -> Contact | None:
        return self.contacts.get(ip) or self.neighbours.get(ip)

    def tick(self, now: int) -> list[Send]:
        """Beats that are due; call it at least every 100 ms."""
        sends: list[Send] = []
        empty = self.pulling is None and any(led.stamp == NEVER for led in self.sources.values())
        primary = self.primary(now)
        for ip, contact in self.contacts.items():
            pause = EAGER_US if contact.heard_at < 0 else BEAT_US if primary in ("", ip) else OTHERS_US
            if not contact.waiting and now - contact.beaten_at >= pause:
                contact.beaten_at, contact.waiting = now, True
                sends.append(SendBeat(ip, empty))
                empty = False  # of one at a time: a whole may be large
        for ip, contact in self.neighbours.items():
            if not contact.waiting and now - contact.beaten_at >= NEAR_US:
                contact.beaten_at, contact.waiting = now, True
                sends.append(SendBeat(ip))
        if self.pulling is not None and now - self.pulling[2] > PULL_PATIENCE_US:
            self.pulling = None
        return sends

    def beat_now(self, now: int) -> list[Send]:
        """A beat to all, at once: this process's standing has changed."""
        for contact in self.contacts.values():
            contact.beaten_at, contact.waiting = now, True
        return [SendBeat(ip) for ip in self.contacts]

    def heard_beat(self, now: int, ip: str, sent_at: int, answer: wire.HeartbeatReply | None) -> list[Send]:
        """The answer to a beat sent at `sent_at`, or that there was none; a vector told unasked as well."""
        contact = self.known(ip)
        if contact is None:
            return []
        contact.waiting = False
        if answer is None:
            contact.heard_at = -(1 << 60)
            return []
        contact.heard_at = max(contact.heard_at, sent_at)
        vector = {at.source: stamp_of(at.stamp) for at in answer.vector}
        if ip in self.contacts:
            if answer.in_force:
                self._in_force(contact, sent_at, answer, vector)
            elif not self.members:
                self._hint(answer.members)
        return self._pull(now, ip, vector)

    def _in_force(
        self, contact: Contact, sent_at: int, answer: wire.HeartbeatReply, vector: dict[str, Stamped]
    ) -> None:
        """Danger: a vector told unasked may have waited behind a cut: it only raises what was told."""
        if sent_at < contact.in_force_at:
            vector = {n: max(vector.get(n, NEVER), contact.in_force.get(n, NEVER)) for n in self.sources}
        contact.in_force_at, contact.in_force = max(contact.in_force_at, sent_at), vector
        contact.primary = answer.primary
        members = tuple(answer.members)
        if members and members != self.members and sent_at >= self._newest_in_force():
            self.members, self.hinted = members, ()
            self._keep_contacts()

    def _hint(self, members: Iterable[str]) -> None:
        """A process that knows a cut-off machine only asks those that this one names as well.

        They may be long gone: what they say counts only with a majority behind it, like any other's.
        """
        hinted = tuple(dict.fromkeys((*self.hinted, *members)))[:MOST_CONTACTS]
        if hinted != self.hinted:
            self.hinted = hinted
            self._keep_contacts()

    def _newest_in_force(self) -> int:
        return max((c.in_force_at for c in self.contacts.values()), default=-(1 << 60))

    def _pull(self, now: int, ip: str, vector: Mapping[str, Stamped]) -> list[Send]:
        if self.pulling is not None:
            return []
        if not any(vector.get(name, NEVER) > ledger.stamp for name, ledger in self.sources.items()):
            return []
        self.pulls += 1
        self.pulling = (self.pulls, ip, now)
        return [SendPull(ip, self.pulls, wire.Pull(vector=vector_of(self.sources)))]

    def heard_news(self, number: int, news: Iterable[Told]) -> tuple[set[str], list[LogEvent]]:
        """What came of a pull (0: what came with a beat's answer): the sources that changed here."""
        if self.pulling is not None and self.pulling[0] == number:
            self.pulling = None
        changed: set[str] = set()
        notes = []
        for told in news:
            ledger = self.sources.get(told.source)
            if ledger is not None and ledger.merge(told):
                changed.add(told.source)
                facts: dict[str, object] = {"source": told.source, "epoch": told.stamp[0]}
                facts |= {"seq": told.stamp[1], "rows": len(told.rows) + len(told.gone), "bytes": told.size}
                notes.append(LogEvent(Event.NEWS_TAKEN, facts | {"whole": told.whole}))
        return changed, notes

    def in_touch(self, now: int) -> bool:
        """Whether any core machine has answered lately, whatever stands behind it."""
        return any(now - contact.heard_at <= TOUCH_US for contact in self.contacts.values())

    def fresh(self, now: int) -> bool:
        """Whether what is held of the control state is what is in force, as of FRESH_US ago at the latest."""
        return now <= self.fresh_until(now)

    def fresh_until(self, now: int) -> int:
        """Until when that is so if nothing more is heard; before `now`: it is not.

        Danger: a yes that was found before this process stood still would count on for ever.
        """
        answers = [c for c in self.contacts.values() if now - c.in_force_at <= FRESH_US]
        held = self.sources["control"].stamp
        if not all(c.in_force.get("control", NEVER) <= held for c in answers):
            return now - 1
        return max((c.in_force_at + FRESH_US for c in answers), default=now - 1)

    def primary_heard_at(self, now: int) -> int:
        """When the beat was sent (us) to which the primary last said that it holds."""
        contact = self.contacts.get(self.primary(now))
        return contact.in_force_at if contact is not None else -(1 << 60)

    def primary(self, now: int) -> str:
        """Where totals are, as the newest answer says; empty where none is newer than CONTACT_US."""
        known = [c for c in self.contacts.values() if now - c.in_force_at <= CONTACT_US and c.primary]
        return max(known, key=lambda c: c.in_force_at).primary if known else ""
