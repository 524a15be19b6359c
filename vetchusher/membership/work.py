"""Membership as one `Part` of the shared work: events in, actions out, on the program's clock."""

from __future__ import annotations

import random
from collections.abc import Callable

from vetchusher import interface as api
from vetchusher.datagrams import Envelope, Pace, ReceivedMessage, SendDatagram

from .member import Membership
from .messages import TOPICS
from .records import State
from .rules import Rules
from .view import Change

LOG_US = 500_000  # between two log lines of changes: a partition changes hundreds, and the log is bounded
MOST_CHANGES = 64  # in a line
CALM_PERIODS = 2  # at the least, between two views handed to the decision module


class MembersWork:
    """:param anchor_us: of the program's clock over the machine's monotonic one
    :param envelope: of the cluster's messages, once work has begun
    :param life: Unix ms of the start
    """

    topics = range(min(TOPICS), max(TOPICS) + 1)

    def __init__(
        self,
        rules: Rules,
        number: int,
        life: int,
        anchor_us: int,
        pace: Pace,
        envelope: Callable[[], Envelope],
        rng: random.Random,
    ) -> None:
        self.rules, self.number, self.life = rules, number, life
        self.anchor_us, self.pace, self.envelope, self.rng = anchor_us, pace, envelope, rng
        self.tick_us = rules.tick
        self.member: Membership | None = None
        self.told: tuple[int, ...] = ()
        self.told_at = 0
        self.changes: list[Change] = []  # to be logged at the next line
        self.logged_at = 0

    def clock(self, now: int) -> int:
        return self.pace.now((now - self.anchor_us) * 1000)

    def begin(self, now: int) -> None:
        self.member = Membership(self.rules, self.number, self.life, self.envelope(), self.rng)
        self.member.begin(self.clock(now))
        self.told = tuple(range(self.rules.members))

    def tick(self, now: int) -> list[api.Action]:
        done = self.carried(self.member.tick(self.clock(now))) if self.member else []
        if self.changes and now - self.logged_at >= LOG_US:
            self.logged_at = now
            done += self.lines()
        return done

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]:
        return self.carried(self.member.receive(self.clock(now), received)) if self.member else []

    def stop(self, now: int) -> list[api.Action]:
        return self.carried(self.member.stop(self.clock(now))) if self.member else []

    def left(self, now: int) -> list[api.Action]:
        done = self.carried(self.member.left(self.clock(now))) if self.member else []
        return done + self.lines()

    def seen(self, now: int) -> tuple[int, ...] | None:
        """Danger: parts of the servers that move with every suspicion cost more than they gain; a newcomer,
        and who doubts itself, keeps what held before."""
        member = self.member
        if member is None or not member.settled or now - self.told_at < CALM_PERIODS * self.rules.period:
            return None
        living = tuple(member.living())
        if living == self.told or member.doubts(self.clock(now)):
            return None
        self.told, self.told_at = living, now
        return living

    def carried(self, acts: list[SendDatagram]) -> list[api.Action]:
        out: list[api.Action] = [api.Say(act.data, act.to) for act in acts]
        if self.member is not None:
            self.changes += self.member.changes()
        return out

    def lines(self) -> list[api.Action]:
        """A line a kind of change: one change in its own fields, more of them as a list."""
        kinds: dict[str, list[dict[str, object]]] = {}
        for change in self.changes:
            kinds.setdefault(change.what, []).append(self.facts(change))
        self.changes.clear()
        done: list[api.Action] = []
        for what, all_facts in kinds.items():
            for at in range(0, len(all_facts), MOST_CHANGES):
                some = all_facts[at : at + MOST_CHANGES]
                done.append(api.Log(f"member {what}", some[0] if len(some) == 1 else {"changes": some}))
        return done

    def facts(self, change: Change) -> dict[str, object]:
        return {
            "member": change.member,
            "life": change.record.life,
            "beat": change.record.beat,
            "by": change.by,
            "witnesses": change.witnesses,
            "at_ns": self.pace.machine_ns(change.at),
        }

    def shown(self, now: int) -> dict[str, object]:
        """For `GET /api/members`."""
        member = self.member
        if member is None:
            return {}
        at, view, figures = self.clock(now), member.view, member.figures
        seconds = max(1.0, (at - member.began) / 1e6)
        counts = {state.name.lower(): n for state, n in view.counts().items() if n}
        return {
            "number": member.number,
            "life": member.life,
            "side": member.side(at).value,
            "trouble": member.trouble(at),
            "number_used_twice": member.duplicates.own_reported,
            "doubts_itself": member.doubts(at),
            "health": member.health,
            "counts": counts,
            "refuted": view.refuted,
            "false_deaths": view.false_deaths,
            "accused": figures.accused,
            "late_ticks": figures.late_ticks,
            "messages_per_s": round(figures.sent / seconds, 2),
            "bytes_per_s": round(figures.bytes / seconds, 1),
            "heard": figures.heard,
            "members": [self.row(member, at, number) for number in sorted(view.entries)],
        }

    def row(self, member: Membership, at: int, number: int) -> dict[str, object]:
        entry = member.view.entries[number]
        known = entry.state is not State.UNKNOWN
        direct = entry.direct_at
        return {
            "member": number,
            "state": entry.state.name.lower(),
            "for_s": round((at - entry.since) / 1e6, 1) if known else None,
            "word_s": round((at - entry.anchor_at) / 1e6, 1) if known else None,
            "heard_s": round((at - direct) / 1e6, 1) if direct >= 0 else None,
            "vouched_by": entry.source if known else None,
            "witnesses": sorted(entry.accusers),
            "lives": entry.lives,
            "path": member.path(at, number),
        }

    def ready_notes(self, now: int) -> str:
        """What is wrong with this ingress's messages; it serves on."""
        return self.member.trouble(self.clock(now)) if self.member is not None else ""
