"""Duties as one `Part` of the work that ingresses share: events in, actions out, on the program's clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from vetchusher import interface as api
from vetchusher.datagrams import Envelope, Pace, ReceivedMessage, SendDatagram

from . import report
from .duties import Act, Duties, Note
from .plan import Plan
from .voter import Memory

TICKS = 48  # in a lease


class Work:
    """Duties and their first use, for one process.

    :param anchor_us: of the program's clock over the machine's monotonic one
    :param own: this ingress's figures, in the order of `report.NAMES`
    """

    topics = range(0, 32)

    def __init__(
        self,
        plan: Plan,
        number: int,
        life: int,
        anchor_us: int,
        started_ns: int,
        rng: random.Random,
        own: Callable[[], report.Figures],
        key: bytes | None = None,
        period_s: int = 10,
        log_renewals: bool = False,
        clock_rate: float = 1.0,
    ) -> None:
        self.duties = Duties(plan, number, life, rng, key)
        self.pace = Pace(started_ns, clock_rate)
        self.anchor_us = anchor_us
        self.own = own
        self.log_renewals = log_renewals
        self.report = report.Report(number, plan.members, period_s)
        names = [d.name for d in plan.duties]
        self.report_duty = names.index("report") if "report" in names else -1
        self.tick_us = max(1_000, plan.timing.lease // TICKS)

    def lease_clock(self, now: int) -> int:
        return self.pace.now((now - self.anchor_us) * 1000)

    @property
    def envelope(self) -> Envelope:
        return self.duties.envelope

    def begin(self, now: int) -> None:
        self.duties.begin(self.lease_clock(now))

    def tick(self, now: int) -> list[api.Action]:
        at = self.lease_clock(now)
        out = self.turn(at, now)
        if self.report_duty >= 0:
            token = self.duties.token(at, self.report_duty)
            missing, record = self.report.tick(at, now, token, self.own())
            gathering = self.report.gathering
            if missing and gathering is not None:
                body = report.write_call(gathering.period, gathering.token)
                call = self.duties.envelope.write(report.CALL, body)
                out += [api.Say(call, n) for n in missing]
            if record is not None:
                out.append(api.Deliver(record.period, record.tree()))
        return out

    def turn(self, at: int, now: int) -> list[api.Action]:
        return self.carried(self.duties.tick(at, now // 1_000_000))

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]:
        """Our own voters ask no engine."""
        return []

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]:
        at = self.lease_clock(now)
        if received.topic == report.CALL:
            return self.called(received.sender, received.body)
        if received.topic == report.FIGURES:
            if not self.report.heard(received.sender, received.body):
                self.duties.envelope.refuse("unreadable")
            return []
        acts: list[Act] = []
        self.duties.receive(at, received, acts)
        return self.carried(acts)

    def called(self, sender: int, body: bytes) -> list[api.Action]:
        """Answer a call for this ingress's figures."""
        call = report.read_call(body)
        if call is None:
            self.duties.envelope.refuse("unreadable")
            return []
        figures = report.write_figures(call[0], self.own())
        return [api.Say(self.duties.envelope.write(report.FIGURES, figures), sender)]

    def permits(self, now: int, token: int) -> bool:
        """Whether the report may be delivered with this token now; to be asked at each sending."""
        return self.duties.token(self.lease_clock(now), self.report_duty) == token

    def delivered(self, now: int, period: int, known: int, token: int) -> None:
        """The sink answered: the highest period and token that it has seen."""
        self.report.delivered(period, known)
        if self.report_duty >= 0:
            self.duties.outbid(self.report_duty, token)

    def stop(self, now: int) -> list[api.Action]:
        return self.carried(self.duties.stop(self.lease_clock(now)))

    def left(self, now: int) -> list[api.Action]:
        """Terms were handed on at the stop."""
        return []

    def seen(self, now: int) -> tuple[int, ...] | None:
        """Who holds a duty tells nothing of who serves."""
        return None

    def vote(self, now: int, memory: list[Memory | None] | None) -> None:
        self.duties.vote(self.lease_clock(now), memory)

    def retire(self, now: int) -> list[Memory | None]:
        return self.duties.retire(self.lease_clock(now))

    def keep_free(self, now: int, free: bool) -> list[api.Action]:
        return self.carried(self.duties.keep_free(self.lease_clock(now), free))

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]:
        """By hand: hand a duty on, or ask its holder to; a reason why not, or an empty one."""
        names = [d.name for d in self.duties.plan.duties]
        if name not in names:
            return f"no duty is named {name[:40]!r}", []
        if to not in self.duties.plan.willing:
            return f"ingress {to} is not willing", []
        acts = self.duties.move(self.lease_clock(now), names.index(name), to)
        if acts is None:
            return f"{name} is not held here, and by whom is not known", []
        return "", self.carried(acts)

    def shown(self, now: int) -> dict[str, object]:
        """For `GET /api/duties`."""
        duties, figures = self.duties, self.duties.figures
        return {
            "number": duties.number,
            "voter": duties.number in duties.plan.voters,
            "remembers": bool(duties.voters) and all(v.remembers for v in duties.voters),
            "kept_free": duties.kept_free,
            "sent": figures.sent,
            "heard": figures.heard,
            "late_ticks": figures.late_ticks,
            "refused": dict(duties.envelope.refused),
            "duties": duties.shown(self.lease_clock(now)),
        }

    def carried(self, acts: list[Act]) -> list[api.Action]:
        out: list[api.Action] = []
        for act in acts:
            if isinstance(act, SendDatagram):
                out.append(api.Say(act.data, act.to))
            elif act.what != "renewed" or self.log_renewals:
                out.append(self.line(act))
        return out

    def line(self, note: Note) -> api.Log:
        facts: dict[str, object] = {
            "duty": note.duty,
            "token": note.token,
            "at_ns": self.pace.machine_ns(note.at),
        }
        if note.until:
            facts["until_ns"] = self.pace.machine_ns(note.until)
        if note.reason:
            facts["reason"] = note.reason
        return api.Log(f"duty {note.what}", facts)
