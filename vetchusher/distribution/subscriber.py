"""Keeps a process's sources up to date: heartbeats to control nodes and neighbours, and pulls of updates.

A control node's reply is in force if its state was the newest committed one a moment ago, as known from a
primary that holds a lease from a majority of the control nodes. Only such a reply confirms what is newest.
A neighbour has updates for a process that is cut off from all control nodes.

Nothing here does I/O: `tick` and the `on_` functions return the messages to send, and the caller reports
their replies. All times are microseconds of the process's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from vetchusher.events import Event, LogEvent

from . import wire_pb2 as wire
from .source import Source, SourceUpdate, version_vector
from .stamps import ZERO_STAMP, StampTuple, stamp_tuple

PRIMARY_HEARTBEAT_US = 500_000  # interval of heartbeats to the primary, or to all while none is known
OTHER_HEARTBEAT_US = 1_000_000  # interval to the other control nodes, which send changes without a request
# Interval to a control node that has not answered yet. It is short because after a loss of power all machines
# start at the same time, so a control node may begin to answer at any moment.
FIRST_HEARTBEAT_US = 150_000
NEIGHBOUR_HEARTBEAT_US = 1_000_000  # interval to a neighbour
PULL_TIMEOUT_US = 1_500_000  # after this a pull without an answer may be sent to another machine
# The state held here counts as fresh for this long after the sending of a heartbeat whose reply, from a
# control node in force, showed nothing newer.
FRESHNESS_LIMIT_US = 1_500_000
# The primary that a control node named is ignored this long after the heartbeat that it last answered.
PRIMARY_HINT_TTL_US = 5_000_000
CONTACT_TIMEOUT_US = 2_500_000  # limit for the last reply of any control node, in force or not
MAX_CONTACTS = 16


@dataclass(slots=True, frozen=True)
class SendHeartbeat:
    """Send a heartbeat.

    :param to: address of the receiver
    :param wants_delta: missing updates may be sent with the reply, which saves a round trip
    """

    to: str
    wants_delta: bool = False


@dataclass(slots=True, frozen=True)
class SendPull:
    """Send a pull.

    :param to: address of the receiver
    :param number: identifies this pull; to be passed to `on_updates` with the reply
    """

    to: str
    number: int
    pull: wire.Pull


SubscriberOutput = SendHeartbeat | SendPull


@dataclass(slots=True)
class Contact:
    """The state of the exchange with one control node or neighbour.

    :param heartbeat_sent_at: when the last heartbeat was sent
    :param awaits_reply: that heartbeat has neither been answered nor timed out
    :param last_contact_at: when the heartbeat was sent that it last answered
    :param last_in_force_at: when the heartbeat was sent that it last answered as in force
    :param in_force_vector: the stamp of each source in that reply
    :param primary: address of the primary in that reply; empty: none
    """

    heartbeat_sent_at: int = -(1 << 60)
    awaits_reply: bool = False
    last_contact_at: int = -(1 << 60)
    last_in_force_at: int = -(1 << 60)
    in_force_vector: dict[str, StampTuple] = field(default_factory=dict)
    primary: str = ""


class Subscriber:
    """Owner of the contacts: the seeds, the members that the newest reply in force names, and neighbours."""

    def __init__(self, seeds: Iterable[str], sources: Mapping[str, Source], own_ip: str = "") -> None:
        """Begin without any reply.

        :param own_ip: address of this process if it is a control node, so that it does not contact itself
        """
        self.own_ip = own_ip
        self.sources = dict(sources)
        self.seeds: tuple[str, ...] = ()
        self.members: tuple[str, ...] = ()
        # Named by control nodes that were not in force, while no reply in force has been received.
        self.hinted_members: tuple[str, ...] = ()
        self.contacts: dict[str, Contact] = {}
        self.neighbours: dict[str, Contact] = {}
        self.pull_in_flight: tuple[int, str, int] | None = None  # number, receiver, time of sending
        self.last_pull_number = 0
        self.update_seeds(seeds)

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds."""
        self.seeds = tuple(seeds)
        self._keep_contacts()

    def _keep_contacts(self) -> None:
        """Rebuild the contacts from members, seeds and hints; known ones keep their state."""
        named = dict.fromkeys((*self.members, *self.seeds, *self.hinted_members))
        wanted = [ip for ip in named if ip != self.own_ip][:MAX_CONTACTS]
        self.contacts = {ip: self.contacts.get(ip) or Contact() for ip in wanted}

    def set_neighbours(self, ips: Iterable[str]) -> None:
        """Replace the neighbours; addresses that are contacts already are left out."""
        self.neighbours = {ip: self.neighbours.get(ip) or Contact() for ip in ips if ip not in self.contacts}

    def find_contact(self, ip: str) -> Contact | None:
        """Return the contact with an address, a control node or a neighbour; None if there is none."""
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
                wants_delta = False  # from one machine at a time, as a snapshot may be large
        for ip, contact in self.neighbours.items():
            if not contact.awaits_reply and now - contact.heartbeat_sent_at >= NEIGHBOUR_HEARTBEAT_US:
                contact.heartbeat_sent_at, contact.awaits_reply = now, True
                outputs.append(SendHeartbeat(ip))
        if self.pull_in_flight is not None and now - self.pull_in_flight[2] > PULL_TIMEOUT_US:
            self.pull_in_flight = None
        return outputs

    def heartbeat_all(self, now: int) -> list[SubscriberOutput]:
        """Return heartbeats to all control nodes, to report a change of this process's state at once."""
        for contact in self.contacts.values():
            contact.heartbeat_sent_at, contact.awaits_reply = now, True
        return [SendHeartbeat(ip) for ip in self.contacts]

    def on_heartbeat_reply(
        self, now: int, ip: str, sent_at: int, reply: wire.HeartbeatReply | None
    ) -> list[SubscriberOutput]:
        """Handle the reply to a heartbeat, or a version vector sent without a request; may return a pull.

        :param ip: address of the sender
        :param sent_at: when the heartbeat was sent; 0: the vector was sent without a request
        :param reply: None: the heartbeat timed out
        """
        contact = self.find_contact(ip)
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
        """Store a reply in force, and the members that it names if it is the newest.

        Safety: a vector that was sent without a request may have been delayed by a partition and be older
        than a reply received before. It may raise the stamps known from this contact, but not lower them.
        """
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
        """Add control nodes named by one that is not in force, to find one that is.

        They may have been removed long ago; their replies count only if they are in force, like any other's.
        """
        hinted_members = tuple(dict.fromkeys((*self.hinted_members, *members)))[:MAX_CONTACTS]
        if hinted_members != self.hinted_members:
            self.hinted_members = hinted_members
            self._keep_contacts()

    def _newest_in_force(self) -> int:
        """Return when the heartbeat was sent that was last answered as in force, by any contact."""
        return max((c.last_in_force_at for c in self.contacts.values()), default=-(1 << 60))

    def _pull_if_behind(self, now: int, ip: str, vector: Mapping[str, StampTuple]) -> list[SubscriberOutput]:
        """Return a pull if a vector is newer for any source and no other pull is in flight."""
        if self.pull_in_flight is not None:
            return []
        if not any(vector.get(name, ZERO_STAMP) > source.stamp for name, source in self.sources.items()):
            return []
        self.last_pull_number += 1
        self.pull_in_flight = (self.last_pull_number, ip, now)
        return [SendPull(ip, self.last_pull_number, wire.Pull(vector=version_vector(self.sources)))]

    def on_updates(self, number: int, updates: Iterable[SourceUpdate]) -> tuple[set[str], list[LogEvent]]:
        """Apply the updates in the reply to a pull or to a heartbeat.

        :param number: of the pull; 0: the reply was to a heartbeat
        :returns: the names of the sources that have changed, and events for the log
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

    def has_recent_contact(self, now: int) -> bool:
        """Return whether any control node has answered within `CONTACT_TIMEOUT_US`, in force or not."""
        return any(now - contact.last_contact_at <= CONTACT_TIMEOUT_US for contact in self.contacts.values())

    def is_fresh(self, now: int) -> bool:
        """Return whether the control state held here was in force within `FRESHNESS_LIMIT_US`."""
        return now <= self.fresh_until(now)

    def fresh_until(self, now: int) -> int:
        """Return until when the state held here is fresh if nothing is received; before `now` if it is not.

        Safety: callers compare the returned time with the clock. A stored yes or no would still be used after
        this process has been paused.
        """
        answers = [c for c in self.contacts.values() if now - c.last_in_force_at <= FRESHNESS_LIMIT_US]
        own_stamp = self.sources["control"].stamp
        if not all(c.in_force_vector.get("control", ZERO_STAMP) <= own_stamp for c in answers):
            return now - 1
        return max((c.last_in_force_at + FRESHNESS_LIMIT_US for c in answers), default=now - 1)

    def primary_contact_at(self, now: int) -> int:
        """Return when the heartbeat was sent that the primary last answered as in force."""
        contact = self.contacts.get(self.primary(now))
        return contact.last_in_force_at if contact is not None else -(1 << 60)

    def primary(self, now: int) -> str:
        """Return the primary's address by the newest reply in force of the last `PRIMARY_HINT_TTL_US`.

        Empty if there is none.
        """
        known = [
            c for c in self.contacts.values() if now - c.last_in_force_at <= PRIMARY_HINT_TTL_US and c.primary
        ]
        return max(known, key=lambda c: c.last_in_force_at).primary if known else ""
