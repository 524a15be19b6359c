"""How a process keeps up: heartbeats to control nodes and neighbours, and pulls by a version vector.

Only control nodes can say what is in force; a neighbour has updates for one that is cut off from all of them.

Pure: `tick` and the `on_` functions return what is to be sent; whoever sends reports what became of it. All
times are microseconds of the process's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from vetchusher.events import Event, LogEvent

from . import wire_pb2 as wire
from .source import Source, SourceUpdate, version_vector
from .stamps import ZERO_STAMP, StampTuple, stamp_tuple

PRIMARY_HEARTBEAT_US = 500_000  # to the primary, or while none is known
OTHER_HEARTBEAT_US = 1_000_000  # to the other core machines: what they learn is told unasked
FIRST_HEARTBEAT_US = (
    150_000  # the same, to one that has not answered yet: after a loss of power all start together
)
NEIGHBOUR_HEARTBEAT_US = 1_000_000  # the same, to a neighbour
PULL_TIMEOUT_US = 1_500_000  # a pull that is not answered by then is made elsewhere
FRESH_US = 1_500_000  # since the sending of a beat that a machine with a majority behind it answered
PRIMARY_HINT_US = (
    5_000_000  # what a core machine that has not answered for so long once said counts no longer
)
IN_TOUCH_US = 2_500_000  # the same, for what need not be in force
MAX_CONTACTS = 16


@dataclass(slots=True, frozen=True)
class SendHeartbeat:
    """Send a heartbeat.

    :param wants_delta: what is lacked may come with the reply, which spares a round trip
    """

    to: str
    wants_delta: bool = False


@dataclass(slots=True, frozen=True)
class SendPull:
    """Send a pull.

    :param number: of this pull; it comes back in `on_updates`
    """

    to: str
    number: int
    pull: wire.Pull


SubscriberOutput = SendHeartbeat | SendPull


@dataclass(slots=True)
class Contact:
    """What one control node or neighbour last answered."""

    heartbeat_sent_at: int = -(1 << 60)  # us: the last beat sent
    awaits_reply: bool = False  # that beat has not been answered or given up
    last_contact_at: int = -(1 << 60)  # us: when the beat that it last answered was sent
    last_in_force_at: int = -(1 << 60)  # the same, of the last answer with a majority behind it
    in_force_vector: dict[str, StampTuple] = field(default_factory=dict)  # what that answer held
    primary: str = ""


class Subscriber:
    """Owner of the contacts: seeds, and the members that the newest answer in force names."""

    def __init__(self, seeds: Iterable[str], sources: Mapping[str, Source], own_ip: str = "") -> None:
        """Begin without any answer.

        :param own_ip: address of this process where it is itself a control node: it asks the others only
        """
        self.own_ip = own_ip
        self.sources = dict(sources)
        self.seeds: tuple[str, ...] = ()
        self.members: tuple[str, ...] = ()
        self.hinted_members: tuple[
            str, ...
        ] = ()  # named by machines without a majority, while nobody else was heard
        self.contacts: dict[str, Contact] = {}
        self.neighbours: dict[str, Contact] = {}
        self.pull_in_flight: tuple[int, str, int] | None = None  # number, from whom, since when (us)
        self.last_pull_number = 0
        self.update_seeds(seeds)

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Take other seeds from the settings."""
        self.seeds = tuple(seeds)
        self._keep_contacts()

    def _keep_contacts(self) -> None:
        named = dict.fromkeys((*self.members, *self.seeds, *self.hinted_members))
        wanted = [ip for ip in named if ip != self.own_ip][:MAX_CONTACTS]
        self.contacts = {ip: self.contacts.get(ip) or Contact() for ip in wanted}

    def set_neighbours(self, ips: Iterable[str]) -> None:
        """Take the neighbours from now on."""
        self.neighbours = {ip: self.neighbours.get(ip) or Contact() for ip in ips if ip not in self.contacts}

    def find(self, ip: str) -> Contact | None:
        """Return the contact of a machine; None: it is none."""
        return self.contacts.get(ip) or self.neighbours.get(ip)

    def tick(self, now: int) -> list[SubscriberOutput]:
        """Return the heartbeats that are due; call it at least every 100 ms."""
        outputs: list[SubscriberOutput] = []
        wants_delta = self.pull_in_flight is None and any(
            source.stamp == ZERO_STAMP for source in self.sources.values()
        )
        primary = self.primary(now)
        for ip, contact in self.contacts.items():
            interval_us = (
                FIRST_HEARTBEAT_US
                if contact.last_contact_at < 0
                else PRIMARY_HEARTBEAT_US
                if primary in ("", ip)
                else OTHER_HEARTBEAT_US
            )
            if not contact.awaits_reply and now - contact.heartbeat_sent_at >= interval_us:
                contact.heartbeat_sent_at, contact.awaits_reply = now, True
                outputs.append(SendHeartbeat(ip, wants_delta))
                wants_delta = False  # of one at a time: a whole may be large
        for ip, contact in self.neighbours.items():
            if not contact.awaits_reply and now - contact.heartbeat_sent_at >= NEIGHBOUR_HEARTBEAT_US:
                contact.heartbeat_sent_at, contact.awaits_reply = now, True
                outputs.append(SendHeartbeat(ip))
        if self.pull_in_flight is not None and now - self.pull_in_flight[2] > PULL_TIMEOUT_US:
            self.pull_in_flight = None
        return outputs

    def heartbeat_all(self, now: int) -> list[SubscriberOutput]:
        """Return a heartbeat to all control nodes, at once: this process's state has changed."""
        for contact in self.contacts.values():
            contact.heartbeat_sent_at, contact.awaits_reply = now, True
        return [SendHeartbeat(ip) for ip in self.contacts]

    def on_heartbeat_reply(
        self, now: int, ip: str, sent_at: int, reply: wire.HeartbeatReply | None
    ) -> list[SubscriberOutput]:
        """Take the reply to a heartbeat, or a vector sent unasked.

        :param sent_at: when the heartbeat was sent; 0: the vector came unasked
        :param reply: None: there was none in time
        """
        contact = self.find(ip)
        if contact is None:
            return []
        contact.awaits_reply = False
        if reply is None:
            contact.last_contact_at = -(1 << 60)
            return []
        contact.last_contact_at = max(contact.last_contact_at, sent_at)
        vector = {at.source: stamp_tuple(at.stamp) for at in reply.vector}
        if ip in self.contacts:
            if reply.in_force:
                self._on_in_force_reply(contact, sent_at, reply, vector)
            elif not self.members:
                self._add_hints(reply.members)
        return self._pull_if_behind(now, ip, vector)

    def _on_in_force_reply(
        self, contact: Contact, sent_at: int, reply: wire.HeartbeatReply, vector: dict[str, StampTuple]
    ) -> None:
        """Safety: a vector told unasked may have waited behind a cut: it only raises what was told."""
        if sent_at < contact.last_in_force_at:
            vector = {
                n: max(vector.get(n, ZERO_STAMP), contact.in_force_vector.get(n, ZERO_STAMP))
                for n in self.sources
            }
        contact.last_in_force_at, contact.in_force_vector = max(contact.last_in_force_at, sent_at), vector
        contact.primary = reply.primary
        members = tuple(reply.members)
        if members and members != self.members and sent_at >= self._newest_in_force():
            self.members, self.hinted_members = members, ()
            self._keep_contacts()

    def _add_hints(self, members: Iterable[str]) -> None:
        """Ask machines that one without a majority names as well, where this process knows no others.

        They may be long gone: what they say counts only with a majority behind it, like any other's.
        """
        hinted_members = tuple(dict.fromkeys((*self.hinted_members, *members)))[:MAX_CONTACTS]
        if hinted_members != self.hinted_members:
            self.hinted_members = hinted_members
            self._keep_contacts()

    def _newest_in_force(self) -> int:
        return max((c.last_in_force_at for c in self.contacts.values()), default=-(1 << 60))

    def _pull_if_behind(self, now: int, ip: str, vector: Mapping[str, StampTuple]) -> list[SubscriberOutput]:
        if self.pull_in_flight is not None:
            return []
        if not any(vector.get(name, ZERO_STAMP) > source.stamp for name, source in self.sources.items()):
            return []
        self.last_pull_number += 1
        self.pull_in_flight = (self.last_pull_number, ip, now)
        return [SendPull(ip, self.last_pull_number, wire.Pull(vector=version_vector(self.sources)))]

    def on_updates(self, number: int, updates: Iterable[SourceUpdate]) -> tuple[set[str], list[LogEvent]]:
        """Apply the updates that answer a pull, or came with a heartbeat's reply.

        :param number: of the pull; 0: none
        :returns: the sources that have changed, and events for the log
        """
        if self.pull_in_flight is not None and self.pull_in_flight[0] == number:
            self.pull_in_flight = None
        changed: set[str] = set()
        events = []
        for update in updates:
            source = self.sources.get(update.source)
            if source is not None and source.apply(update):
                changed.add(update.source)
                facts: dict[str, object] = {"source": update.source, "epoch": update.stamp[0]}
                facts |= {
                    "seq": update.stamp[1],
                    "rows": len(update.rows) + len(update.removed),
                    "bytes": update.size,
                }
                events.append(LogEvent(Event.UPDATE_APPLIED, facts | {"whole": update.is_snapshot}))
        return changed, events

    def is_in_touch(self, now: int) -> bool:
        """Return whether any control node has answered lately, whatever stands behind it."""
        return any(now - contact.last_contact_at <= IN_TOUCH_US for contact in self.contacts.values())

    def is_fresh(self, now: int) -> bool:
        """Return whether the control state held here was in force `FRESH_US` ago at the latest."""
        return now <= self.fresh_until(now)

    def fresh_until(self, now: int) -> int:
        """Return until when that is so if nothing more is received; before `now`: it is not.

        Safety: a yes that was found before this process was paused would count on for ever.
        """
        answers = [c for c in self.contacts.values() if now - c.last_in_force_at <= FRESH_US]
        own_stamp = self.sources["control"].stamp
        if not all(c.in_force_vector.get("control", ZERO_STAMP) <= own_stamp for c in answers):
            return now - 1
        return max((c.last_in_force_at + FRESH_US for c in answers), default=now - 1)

    def primary_contact_at(self, now: int) -> int:
        """Return when the heartbeat was sent to which the primary last answered that it leads."""
        contact = self.contacts.get(self.primary(now))
        return contact.last_in_force_at if contact is not None else -(1 << 60)

    def primary(self, now: int) -> str:
        """Return the primary's address by the newest answer; empty where none is newer than
        `PRIMARY_HINT_US`.
        """
        known = [
            c for c in self.contacts.values() if now - c.last_in_force_at <= PRIMARY_HINT_US and c.primary
        ]
        return max(known, key=lambda c: c.last_in_force_at).primary if known else ""
