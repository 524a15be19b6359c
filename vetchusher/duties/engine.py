"""Duties with etcd instead of our voters, by its published v3 API over the JSON gateway.

A duty is a key that exists while its lease does.  The ingress that creates the key holds the duty, and the
revision at which it was created is the fencing token: revisions only grow.  As with our voters, a lease
counts from the sending of the call that granted or renewed it, ends earlier here than at the engine, and must
be checked before each action.  A call that timed out may have taken effect; the next call finds that out.
"""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from vetchusher.datagrams import Envelope

from .candidate import Reason, why_ended
from .duties import Counters, Output, TermEvent
from .lease import Timing
from .plan import Plan

PREFIX = "vetchusher/duties/"
SECOND = 1_000_000


@dataclass(slots=True, frozen=True)
class EngineCall:
    """One call to the engine, with the number that its answer will carry."""

    call: int
    path: str
    body: dict[str, Any]


class Stage(Enum):
    """What a candidate is doing; the values are shown to operators."""

    IDLE = "idle"
    GRANTING = "granting"  # waits for a lease
    CREATING = "creating"  # waits for the key to be created with that lease
    HOLDING = "holding"


def base64_text(text: str) -> str:
    """Encode a key or value as the JSON gateway expects it."""
    return base64.b64encode(text.encode()).decode()


def integer_at(tree: Any, *path: str | int) -> int:
    """Return the integer at a path of an answer, which the gateway writes as text; 0 if there is none."""
    for name in path:
        if isinstance(tree, list):
            tree = tree[name] if isinstance(name, int) and name < len(tree) else None
        else:
            tree = tree.get(name) if isinstance(tree, dict) else None
    return int(tree) if isinstance(tree, int | str) and str(tree).lstrip("-").isdigit() else 0


class EngineCandidate:
    """One duty at one ingress.

    At most one call is in flight; the answer to an earlier one is ignored.
    """

    def __init__(self, name: str, number: int, incarnation: int, timing: Timing, rng: random.Random) -> None:
        """Create an idle candidate.

        :param name: of the duty
        :param number: the own member number
        :param incarnation: of this process
        """
        self.name, self.timing, self.rng = name, timing, rng
        self.key, self.value = base64_text(PREFIX + name), base64_text(f"{number}/{incarnation}")
        self.lease_s = max(1, -(-timing.lease_us // SECOND))  # the engine's leases are whole seconds
        self.stage = Stage.IDLE
        self.lease_id = 0  # given by the engine; 0: none
        self.lease_until = 0
        self.term, self.until = 0, 0  # token and end of the term held
        self.holder, self.holder_token = "", 0
        self.due_at = 0
        self.call, self.sent_at = -1, 0  # number of the call in flight, -1: none; and when it was sent
        self.rank_delay_us = 0
        self.last_answer_at = -1
        self.changes: list[TermEvent] = []

    def token(self, now: int) -> int | None:
        """Return the fencing token to act with now, or None.  It must be checked before each action."""
        return self.term if self.stage is Stage.HOLDING and now < self.until else None

    def holder_lease_us(self, ttl_s: int) -> int:
        """Return how long a lease of the engine counts here, from the sending of the call."""
        return Timing(ttl_s * SECOND, self.timing.drift, self.timing.margin_us).holder_lease_us

    def make_call(self, now: int, call: int, path: str, body: dict[str, Any]) -> list[EngineCall]:
        """Return the call to make, and track it as the one in flight until it times out."""
        self.call, self.sent_at = call, now
        self.due_at = now + self.timing.answer_timeout
        return [EngineCall(call, path, body)]

    def tick(self, now: int, call: int, willing: bool, stalled: bool) -> list[EngineCall]:
        """Do what is due, and return the calls to make.

        :param call: number of the call, if one is made
        :param willing: whether this ingress may stand for the duty now
        :param stalled: whether its own event loop was late
        """
        if self.stage is Stage.HOLDING and now >= self.until:
            self.leave(now, why_ended(now - self.last_answer_at, self.timing, stalled))
        if now < self.due_at:
            return []
        if self.stage is Stage.HOLDING:
            return self.make_call(now, call, "/v3/lease/keepalive", {"ID": str(self.lease_id)})
        if not willing:
            self.due_at = now + self.timing.renewal_interval
            return []
        if self.stage is Stage.CREATING and now < self.lease_until:
            return self.create(now, call)
        self.stage = Stage.GRANTING
        return self.make_call(now, call, "/v3/lease/grant", {"TTL": str(self.lease_s)})

    def create(self, now: int, call: int) -> list[EngineCall]:
        """Create the key unless it exists; in that case its present state is returned."""
        self.stage = Stage.CREATING
        absent = {"key": self.key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}
        put = {"request_put": {"key": self.key, "value": self.value, "lease": str(self.lease_id)}}
        read = {"request_range": {"key": self.key}}
        return self.make_call(
            now, call, "/v3/kv/txn", {"compare": [absent], "success": [put], "failure": [read]}
        )

    def receive_answer(
        self, now: int, call: int, tree: dict[str, Any] | None, following: int
    ) -> list[EngineCall]:
        """Process an answer, and return the calls to make at once.

        :param tree: None if the engine failed or the answer was incomplete
        :param following: number of the call that is made at once, if one is
        """
        if call != self.call:
            return []  # it had timed out: a later call finds out whether it took effect
        self.call = -1
        if tree is None:
            self.due_at = now + self.rng.randrange(1, self.timing.answer_timeout)
            return []
        self.last_answer_at = now
        if self.stage is Stage.GRANTING:
            self.lease_id, ttl_s = integer_at(tree, "ID"), integer_at(tree, "TTL")
            self.lease_until = (
                self.sent_at + self.holder_lease_us(ttl_s) if self.lease_id and ttl_s > 0 else 0
            )
            if now < self.lease_until:
                return self.create(now, following)
            self.schedule_attempt(now, self.timing.renewal_interval)
        elif self.stage is Stage.CREATING:
            return self.receive_created(now, tree, following)
        elif self.stage is Stage.HOLDING:
            self.receive_keepalive(now, integer_at(tree, "result", "TTL"))
        return []

    def receive_created(self, now: int, tree: dict[str, Any], following: int) -> list[EngineCall]:
        """Process the answer to `create`: hold the duty, or revoke the lease if another ingress holds it.

        If the key was created but the local lease has run out, only a new attempt is scheduled.
        """
        token = integer_at(tree, "header", "revision") if tree.get("succeeded") else 0
        if not token:
            entry = ("responses", 0, "response_range", "kvs", 0)
            if integer_at(tree, *entry, "lease") == self.lease_id and self.lease_id:
                # The key was created by an earlier call that timed out.
                token = integer_at(tree, *entry, "create_revision")
            else:
                self.holder_token = integer_at(tree, *entry, "create_revision")
                lease_id, self.lease_id = self.lease_id, 0
                self.schedule_attempt(now, self.timing.renewal_interval)
                return [EngineCall(following, "/v3/lease/revoke", {"ID": str(lease_id)})]
        if token and now < self.lease_until:
            self.stage, self.term, self.until = Stage.HOLDING, token, self.lease_until
            self.due_at = self.sent_at + self.timing.renewal_interval
            self.changes.append(TermEvent("taken", self.name, token, now, self.until))
        else:
            self.schedule_attempt(now, self.timing.renewal_interval)
        return []

    def receive_keepalive(self, now: int, ttl_s: int) -> None:
        """Process the answer to a renewal.

        :param ttl_s: the lease's duration; 0: the engine no longer knows the lease
        """
        if ttl_s <= 0:
            # The lease has ended at the engine, in time or before: another ingress may hold the duty by now.
            self.leave(now, Reason.RAN_OUT)
            return
        self.due_at = self.sent_at + self.timing.renewal_interval
        until = self.sent_at + self.holder_lease_us(ttl_s)
        if until > self.until:
            self.until = until
            self.changes.append(TermEvent("renewed", self.name, self.term, now, until))

    def schedule_attempt(self, now: int, delay_us: int) -> None:
        """Become idle until the next attempt, after the delay, the wait by rank and a random part."""
        self.stage = Stage.IDLE
        self.due_at = now + delay_us + self.rank_delay_us + self.rng.randrange(1 + self.timing.lease_us // 16)

    def leave(self, now: int, reason: Reason, call: int = -1) -> list[EngineCall]:
        """End the term held, and return the call that revokes its lease and so deletes the key.

        :param call: number of that call; below 0: the lease is left to expire
        """
        if self.stage is not Stage.HOLDING:
            return []
        self.changes.append(TermEvent("left", self.name, self.term, now, reason=reason.value))
        self.until, self.call, lease_id, self.lease_id = 0, -1, self.lease_id, 0
        self.schedule_attempt(now, self.timing.lease_us // 2)
        if call < 0 or not lease_id:
            return []
        return [EngineCall(call, "/v3/lease/revoke", {"ID": str(lease_id)})]


class EngineDuties:
    """All duties at one ingress with the engine; the counterpart of `Duties`, which relies on voters."""

    def __init__(
        self, plan: Plan, number: int, incarnation: int, rng: random.Random, key: bytes | None = None
    ) -> None:
        """Create the candidates; `begin` starts them.

        :param number: the own member number
        :param incarnation: of this process
        :param key: seals the messages; None: they are sent without a seal
        """
        self.plan, self.number, self.incarnation = plan, number, incarnation
        self.envelope = Envelope(number, incarnation, plan.members, plan.digest(), key)
        self.counters = Counters()
        self.drained = self.stopping = False
        self.ticked_at = -1
        self.calls = 0
        orders = plan.preference_orders(plan.willing)
        self.candidates = [
            EngineCandidate(d.name, number, incarnation, plan.timing, rng) for d in plan.duties
        ]
        for candidate, order in zip(self.candidates, orders, strict=True):
            rank = order.index(number) if number in order else len(order)
            candidate.rank_delay_us = min(rank, 8) * plan.timing.lease_us // 8

    def begin(self, now: int) -> None:
        """Schedule the first attempt for each duty."""
        for candidate in self.candidates:
            candidate.schedule_attempt(now, 0)

    def is_willing(self) -> bool:
        """Whether this ingress stands for duties now."""
        return self.number in self.plan.willing and not self.drained and not self.stopping

    def next_call(self) -> int:
        """Return the number of the next call."""
        self.calls += 1
        return self.calls

    def tick(self, now: int) -> tuple[list[Output], list[EngineCall]]:
        """Do what is due; to be called several times a renewal interval.

        Returns the log events and the calls to make, as the following methods do.
        """
        stalled = self.ticked_at >= 0 and now - self.ticked_at > self.plan.timing.renewal_interval
        self.counters.late_ticks += stalled
        self.ticked_at = now
        calls: list[EngineCall] = []
        for candidate in self.candidates:
            calls += candidate.tick(now, self.next_call(), self.is_willing(), stalled)
        return self.take_events(), calls

    def receive_answer(
        self, now: int, call: int, tree: dict[str, Any] | None
    ) -> tuple[list[Output], list[EngineCall]]:
        """Process the answer to a call, or None if the engine failed or the answer was incomplete."""
        calls: list[EngineCall] = []
        for candidate in self.candidates:
            calls += candidate.receive_answer(now, call, tree, self.next_call())
        return self.take_events(), calls

    def stop(self, now: int) -> tuple[list[Output], list[EngineCall]]:
        """Release all duties, as the process is about to end."""
        self.stopping = True
        return self.end_terms(now, Reason.STOPPING)

    def drain(self, now: int, free: bool) -> tuple[list[Output], list[EngineCall]]:
        """Release all duties on an operator's order, and stand for none until the order is taken back."""
        self.drained = free
        return self.end_terms(now, Reason.RELEASED) if free else ([], [])

    def end_terms(self, now: int, reason: Reason) -> tuple[list[Output], list[EngineCall]]:
        """End all terms held here, and revoke their leases."""
        calls: list[EngineCall] = []
        for candidate in self.candidates:
            calls += candidate.leave(now, reason, self.next_call())
        return self.take_events(), calls

    def token(self, now: int, duty: int) -> int | None:
        """Return the fencing token to act with now, or None.  It must be checked before each action."""
        return self.candidates[duty].token(now)

    def status(self, now: int) -> list[dict[str, object]]:
        """Return a row for each duty, as `Duties` does; of another holder only the token is known."""
        rows: list[dict[str, object]] = []
        for duty, candidate in zip(self.plan.duties, self.candidates, strict=True):
            token = candidate.token(now)
            rows.append(
                {
                    "duty": duty.name,
                    "here": token is not None,
                    "holder": self.number if token is not None else None,
                    "token": token or candidate.holder_token or None,
                    "left_ms": max(0, candidate.until - now) // 1000 if token is not None else 0,
                    "stage": candidate.stage.value,
                }
            )
        return rows

    def take_events(self) -> list[Output]:
        """Return the log events since the last call."""
        events: list[Output] = []
        for candidate in self.candidates:
            events += candidate.changes
            candidate.changes = []
        return events
