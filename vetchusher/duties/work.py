"""Duties as a `datagrams.parts.Part`: events in, actions out, on the program's clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from vetchusher import interface as api
from vetchusher.datagrams import Envelope, LeaseClock, ReceivedMessage, SendDatagram

from . import report
from .duties import Duties, Output, TermEvent
from .plan import Plan
from .voter import Memory

TICKS_PER_LEASE = 48


class DutiesWork:
    """Runs the duties of one process, and the report of the fleet, which is the duty named `report`."""

    topics = range(0, 32)

    def __init__(
        self,
        plan: Plan,
        number: int,
        incarnation: int,
        anchor_us: int,
        started_ns: int,
        rng: random.Random,
        own_figures: Callable[[], report.Figures],
        key: bytes | None = None,
        period_s: int = 10,
        log_renewals: bool = False,
        clock_rate: float = 1.0,
    ) -> None:
        """Create the part; `begin` starts it.

        :param number: the own member number
        :param incarnation: of this process
        :param anchor_us: the program's clock less the machine's monotonic one
        :param started_ns: the machine's monotonic clock at the start
        :param own_figures: returns this ingress's figures, in the order that `report` states
        :param key: seals the messages; None: they are sent without a seal
        :param period_s: period of the report
        :param log_renewals: whether renewals are logged as well
        :param clock_rate: pace of the lease clock against the machine's; only tests change it
        """
        self.duties = Duties(plan, number, incarnation, rng, key)
        self.pace = LeaseClock(started_ns, clock_rate)
        self.anchor_us = anchor_us
        self.own_figures = own_figures
        self.log_renewals = log_renewals
        self.report = report.Report(number, plan.members, period_s)
        names = [d.name for d in plan.duties]
        self.report_duty = names.index("report") if "report" in names else -1
        self.tick_us = max(1_000, plan.timing.lease_us // TICKS_PER_LEASE)

    def lease_clock(self, now: int) -> int:
        """Convert a time of the program's clock to the lease clock (us)."""
        return self.pace.now((now - self.anchor_us) * 1000)

    @property
    def envelope(self) -> Envelope:
        """The envelope of all messages of this process."""
        return self.duties.envelope

    def begin(self, now: int) -> None:
        """Start the candidates; the voters are started later."""
        self.duties.begin(self.lease_clock(now))

    def tick(self, now: int) -> list[api.Action]:
        """Do what is due for the duties and the report; to be called every `tick_us`."""
        at = self.lease_clock(now)
        actions = self.tick_duties(at, now)
        if self.report_duty >= 0:
            token = self.duties.token(at, self.report_duty)
            missing, record = self.report.tick(at, now, token, self.own_figures())
            collection = self.report.collection
            if missing and collection is not None:
                body = report.write_request(collection.period, collection.token)
                request = self.duties.envelope.write(report.REQUEST, body)
                actions += [api.SendDatagram(request, n) for n in missing]
            if record is not None:
                actions.append(api.DeliverReport(record.period, record.to_dict()))
        return actions

    def tick_duties(self, at: int, now: int) -> list[api.Action]:
        """Do what is due for the duties.

        :param at: the lease clock
        :param now: the program's clock
        """
        return self.to_actions(self.duties.tick(at, now // 1_000_000))

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]:
        """Ignore the answer of an engine: voters need none."""
        return []

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]:
        """Process a message of one of `topics`."""
        at = self.lease_clock(now)
        if received.topic == report.REQUEST:
            return self.answer_request(received.sender, received.body)
        if received.topic == report.FIGURES:
            if not self.report.receive_figures(received.sender, received.body):
                self.duties.envelope.refuse("unreadable")
            return []
        outputs: list[Output] = []
        self.duties.receive(at, received, outputs)
        return self.to_actions(outputs)

    def answer_request(self, sender: int, body: bytes) -> list[api.Action]:
        """Answer a request for this ingress's figures."""
        request = report.read_request(body)
        if request is None:
            self.duties.envelope.refuse("unreadable")
            return []
        figures = report.write_figures(request[0], self.own_figures())
        return [api.SendDatagram(self.duties.envelope.write(report.FIGURES, figures), sender)]

    def may_deliver(self, now: int, token: int) -> bool:
        """Whether the report may be delivered with this token now; to be checked at each attempt."""
        return self.duties.token(self.lease_clock(now), self.report_duty) == token

    def delivered(self, now: int, period: int, known: int, token: int) -> None:
        """Process the sink's answer to a delivery.

        :param period: the period that was delivered
        :param known: the highest period that the sink has
        :param token: the highest token that the sink has seen
        """
        self.report.delivered(period, known)
        if self.report_duty >= 0:
            self.duties.observe_token(self.report_duty, token)

    def stop(self, now: int) -> list[api.Action]:
        """Release all duties, as the process is about to end."""
        return self.to_actions(self.duties.stop(self.lease_clock(now)))

    def on_exit(self, now: int) -> list[api.Action]:
        """Return no action: `stop` has released all terms."""
        return []

    def serving_change(self, now: int) -> tuple[int, ...] | None:
        """Return None: the holders of duties do not show who serves."""
        return None

    def start_voting(self, now: int, memory: list[Memory | None] | None) -> None:
        """Start to vote, as no other process of this number votes any more."""
        self.duties.start_voting(self.lease_clock(now), memory)

    def stop_voting(self, now: int) -> list[Memory | None]:
        """Stop voting, and return the memory for the next process of this number."""
        return self.duties.stop_voting(self.lease_clock(now))

    def drain(self, now: int, free: bool) -> list[api.Action]:
        """Release all duties on an operator's order, and stand for none until the order is taken back."""
        return self.to_actions(self.duties.drain(self.lease_clock(now), free))

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]:
        """Hand a duty over to another ingress on an operator's order, or ask its holder to do so.

        Returns why it can't be done, or an empty string, and the actions.
        """
        names = [d.name for d in self.duties.plan.duties]
        if name not in names:
            return f"no duty is named {name[:40]!r}", []
        if to not in self.duties.plan.willing:
            return f"ingress {to} is not willing", []
        outputs = self.duties.move(self.lease_clock(now), names.index(name), to)
        if outputs is None:
            return f"{name} is not held here, and by whom is not known", []
        return "", self.to_actions(outputs)

    def status(self, now: int) -> dict[str, object]:
        """Return the answer to `GET /api/duties`."""
        duties, counters = self.duties, self.duties.counters
        return {
            "number": duties.number,
            "voter": duties.number in duties.plan.voters,
            "remembers": bool(duties.voters) and all(v.remembers for v in duties.voters),
            "kept_free": duties.drained,
            "sent": counters.sent,
            "heard": counters.received,
            "late_ticks": counters.late_ticks,
            "refused": dict(duties.envelope.refused),
            "duties": duties.status(self.lease_clock(now)),
        }

    def to_actions(self, outputs: list[Output]) -> list[api.Action]:
        """Convert datagrams and log events to actions."""
        actions: list[api.Action] = []
        for output in outputs:
            if isinstance(output, SendDatagram):
                actions.append(api.SendDatagram(output.data, output.to))
            elif output.kind != "renewed" or self.log_renewals:
                actions.append(self.log_line(output))
        return actions

    def log_line(self, event: TermEvent) -> api.Log:
        """Return the log line of an event."""
        fields: dict[str, object] = {
            "duty": event.duty,
            "token": event.token,
            "at_ns": self.pace.machine_ns(event.at),
        }
        if event.until:
            fields["until_ns"] = self.pace.machine_ns(event.until)
        if event.reason:
            fields["reason"] = event.reason
        return api.Log(f"duty {event.kind}", fields)
