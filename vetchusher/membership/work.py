"""Membership as a `datagrams.parts.Part`: events in, actions out, on the program's clock."""

from __future__ import annotations

import random
from collections.abc import Callable

from vetchusher import interface as api
from vetchusher.datagrams import Envelope, LeaseClock, ReceivedMessage, SendDatagram

from .member import Membership
from .messages import TOPICS
from .records import State
from .rules import MembershipTiming
from .view import Change

LOG_INTERVAL_US = 500_000  # between two log lines: a partition changes hundreds, and the log is bounded
MAX_CHANGES_PER_LINE = 64
MIN_PUBLISH_PERIODS = 2  # between two views handed to the decision module


class MembershipWork:
    """Runs `Membership` for one process and converts its datagrams and changes to actions."""

    topics = range(min(TOPICS), max(TOPICS) + 1)

    def __init__(
        self,
        rules: MembershipTiming,
        number: int,
        incarnation: int,
        anchor_us: int,
        pace: LeaseClock,
        envelope: Callable[[], Envelope],
        rng: random.Random,
    ) -> None:
        """Create the part; `begin` starts it.

        :param number: the own member number
        :param incarnation: Unix ms of the start
        :param anchor_us: the program's clock less the machine's monotonic one
        :param envelope: returns the cluster's envelope once the shared work has begun
        """
        self.rules, self.number, self.incarnation = rules, number, incarnation
        self.anchor_us, self.pace, self.envelope, self.rng = anchor_us, pace, envelope, rng
        self.tick_us = rules.tick_us
        self.member: Membership | None = None
        self.published: tuple[int, ...] = ()
        self.published_at = 0
        self.pending_changes: list[Change] = []  # to be logged
        self.logged_at = 0

    def clock(self, now: int) -> int:
        """Convert a time of the program's clock to the protocol's clock (us)."""
        return self.pace.now((now - self.anchor_us) * 1000)

    def begin(self, now: int) -> None:
        """Start the protocol; until it knows better, all members are taken to serve."""
        self.member = Membership(self.rules, self.number, self.incarnation, self.envelope(), self.rng)
        self.member.begin(self.clock(now))
        self.published = tuple(range(self.rules.members))

    def tick(self, now: int) -> list[api.Action]:
        """Do what is due; to be called every `tick_us`."""
        actions = self.to_actions(self.member.tick(self.clock(now))) if self.member else []
        if self.pending_changes and now - self.logged_at >= LOG_INTERVAL_US:
            self.logged_at = now
            actions += self.log_changes()
        return actions

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]:
        """Process a message of one of `topics`."""
        return self.to_actions(self.member.receive(self.clock(now), received)) if self.member else []

    def stop(self, now: int) -> list[api.Action]:
        """Announce to the others that this process is about to end."""
        return self.to_actions(self.member.stop(self.clock(now))) if self.member else []

    def on_exit(self, now: int) -> list[api.Action]:
        """Announce that this process ends now, and log the pending changes."""
        actions = self.to_actions(self.member.announce_left(self.clock(now))) if self.member else []
        return actions + self.log_changes()

    def serving_change(self, now: int) -> tuple[int, ...] | None:
        """Return the members taken to serve if the decision module should act on a change of them, else None.

        Moving shares of the servers with every suspicion would cost more than it gains, so changes are
        published at intervals.  A new process, or one that may itself be at fault, keeps the last view.
        """
        member = self.member
        if (
            member is None
            or not member.joined
            or now - self.published_at < MIN_PUBLISH_PERIODS * self.rules.period_us
        ):
            return None
        serving = tuple(member.serving_members())
        if serving == self.published or member.must_not_accuse(self.clock(now)):
            return None
        self.published, self.published_at = serving, now
        return serving

    def to_actions(self, datagrams: list[SendDatagram]) -> list[api.Action]:
        """Convert datagrams to actions, and collect the changes of the view for the log."""
        actions: list[api.Action] = [api.SendDatagram(datagram.data, datagram.to) for datagram in datagrams]
        if self.member is not None:
            self.pending_changes += self.member.take_changes()
        return actions

    def log_changes(self) -> list[api.Action]:
        """Return the log lines of the pending changes.

        Each kind of change gets a line: a single change with its own fields, several as a list.
        """
        fields_by_kind: dict[str, list[dict[str, object]]] = {}
        for change in self.pending_changes:
            fields_by_kind.setdefault(change.kind, []).append(self.change_fields(change))
        self.pending_changes.clear()
        actions: list[api.Action] = []
        for what, all_fields in fields_by_kind.items():
            for at in range(0, len(all_fields), MAX_CHANGES_PER_LINE):
                some = all_fields[at : at + MAX_CHANGES_PER_LINE]
                actions.append(api.Log(f"member {what}", some[0] if len(some) == 1 else {"changes": some}))
        return actions

    def change_fields(self, change: Change) -> dict[str, object]:
        """Return the log fields of a change."""
        return {
            "member": change.member,
            "life": change.record.incarnation,
            "beat": change.record.heartbeat,
            "by": change.reporter,
            "witnesses": change.witnesses,
            "at_ns": self.pace.machine_ns(change.at),
        }

    def status(self, now: int) -> dict[str, object]:
        """Return the answer to `GET /api/members`."""
        member = self.member
        if member is None:
            return {}
        at, view, counters = self.clock(now), member.view, member.counters
        seconds = max(1.0, (at - member.started_at) / 1e6)
        counts = {state.name.lower(): n for state, n in view.counts().items() if n}
        return {
            "number": member.number,
            "life": member.incarnation,
            "side": member.side(at).value,
            "trouble": member.connectivity_fault(at),
            "number_used_twice": member.duplicates.own_reported,
            "doubts_itself": member.must_not_accuse(at),
            "health": member.health_score,
            "counts": counts,
            "refuted": view.refuted,
            "false_deaths": view.false_deaths,
            "accused": counters.accused,
            "late_ticks": counters.late_ticks,
            "messages_per_s": round(counters.sent / seconds, 2),
            "bytes_per_s": round(counters.bytes / seconds, 1),
            "heard": counters.received,
            "members": [self.member_row(member, at, number) for number in sorted(view.entries)],
        }

    def member_row(self, member: Membership, at: int, number: int) -> dict[str, object]:
        """Return one row of the table of members in `GET /api/members`."""
        entry = member.view.entries[number]
        known = entry.state is not State.UNKNOWN
        direct = entry.last_contact_at
        return {
            "member": number,
            "state": entry.state.name.lower(),
            "for_s": round((at - entry.since) / 1e6, 1) if known else None,
            "word_s": round((at - entry.base_at) / 1e6, 1) if known else None,
            "heard_s": round((at - direct) / 1e6, 1) if direct >= 0 else None,
            "vouched_by": entry.source if known else None,
            "witnesses": sorted(entry.accusers),
            "lives": entry.incarnations,
            "path": member.path_fault(at, number),
        }

    def connectivity_fault(self, now: int) -> str:
        """Return what is wrong with this ingress's messages, or an empty string; it goes on serving."""
        return self.member.connectivity_fault(self.clock(now)) if self.member is not None else ""
