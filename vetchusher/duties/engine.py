"""Duties by an existing engine instead of our voters: etcd's published v3 API, by its JSON gateway.

A duty is a key that exists while its lease does.  Whoever creates it holds the duty, and the revision at
which it was created is the token: revisions only grow.  The rules of the holder's own view are those of our
voters: a lease counts from the sending of the call that began or prolonged it, ends earlier here than there,
and is asked at each act.  What a call that was given up may have done is found out by the next one.
"""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from vetchusher.datagrams import Envelope

from .candidate import Reason, why_ended
from .duties import Act, Figures, Note
from .lease import Timing
from .plan import Plan

PREFIX = "vetchusher/duties/"
SECOND = 1_000_000


@dataclass(slots=True, frozen=True)
class Ask:
    """One call of the engine: its number, path and body."""

    call: int
    path: str
    body: dict[str, Any]


class Stage(Enum):
    IDLE = "idle"
    GRANTING = "granting"
    CREATING = "creating"
    HOLDING = "holding"


def encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def whole(tree: Any, *path: str | int) -> int:
    """A whole number of the answer, which the gateway writes as text; nothing there is 0."""
    for name in path:
        if isinstance(tree, list):
            tree = tree[name] if isinstance(name, int) and name < len(tree) else None
        else:
            tree = tree.get(name) if isinstance(tree, dict) else None
    return int(tree) if isinstance(tree, int | str) and str(tree).lstrip("-").isdigit() else 0


class EngineCandidate:
    """One duty at one ingress, with one call under way at most; an answer to an older one changes nothing."""

    def __init__(self, name: str, number: int, life: int, timing: Timing, rng: random.Random) -> None:
        self.name, self.timing, self.rng = name, timing, rng
        self.key, self.value = encoded(PREFIX + name), encoded(f"{number}/{life}")
        self.seconds = max(1, -(-timing.lease // SECOND))  # the engine's leases are whole seconds
        self.stage = Stage.IDLE
        self.lease = 0  # of the engine; 0: none
        self.lease_until = 0
        self.term, self.until = 0, 0
        self.holder, self.holder_token = "", 0
        self.due_at = 0
        self.call, self.sent_at = -1, 0  # under way; below nothing: none
        self.rank_wait = 0
        self.answered_at = -1
        self.changes: list[Note] = []

    def token(self, now: int) -> int | None:
        return self.term if self.stage is Stage.HOLDING and now < self.until else None

    def held(self, ttl: int) -> int:
        """How long (us) a lease of so many seconds counts here, from the sending of the call."""
        return Timing(ttl * SECOND, self.timing.drift, self.timing.margin).held

    def ask(self, now: int, call: int, path: str, body: dict[str, Any]) -> list[Ask]:
        self.call, self.sent_at = call, now
        self.due_at = now + self.timing.patience  # given up then
        return [Ask(call, path, body)]

    def tick(self, now: int, call: int, wants: bool, stalled: bool) -> list[Ask]:
        """Do what is due; `call` numbers the call that is made, if one is."""
        if self.stage is Stage.HOLDING and now >= self.until:
            self.leave(now, why_ended(now - self.answered_at, self.timing, stalled))
        if now < self.due_at:
            return []
        if self.stage is Stage.HOLDING:
            return self.ask(now, call, "/v3/lease/keepalive", {"ID": str(self.lease)})
        if not wants:
            self.due_at = now + self.timing.renew
            return []
        if self.stage is Stage.CREATING and now < self.lease_until:
            return self.create(now, call)
        self.stage = Stage.GRANTING
        return self.ask(now, call, "/v3/lease/grant", {"TTL": str(self.seconds)})

    def create(self, now: int, call: int) -> list[Ask]:
        self.stage = Stage.CREATING
        absent = {"key": self.key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}
        put = {"request_put": {"key": self.key, "value": self.value, "lease": str(self.lease)}}
        look = {"request_range": {"key": self.key}}
        return self.ask(now, call, "/v3/kv/txn", {"compare": [absent], "success": [put], "failure": [look]})

    def answered(self, now: int, call: int, tree: dict[str, Any] | None, following: int) -> list[Ask]:
        """Take in an answer; nothing where the engine failed or the answer was not whole.

        :param following: number of the call that is made at once, if one is
        """
        if call != self.call:
            return []  # given up: what it did is found out by a later one
        self.call = -1
        if tree is None:
            self.due_at = now + self.rng.randrange(1, self.timing.patience)
            return []
        self.answered_at = now
        if self.stage is Stage.GRANTING:
            self.lease, ttl = whole(tree, "ID"), whole(tree, "TTL")
            self.lease_until = self.sent_at + self.held(ttl) if self.lease and ttl > 0 else 0
            if now < self.lease_until:
                return self.create(now, following)
            self.idle(now, self.timing.renew)
        elif self.stage is Stage.CREATING:
            return self.created(now, tree, following)
        elif self.stage is Stage.HOLDING:
            self.kept(now, whole(tree, "result", "TTL"))
        return []

    def created(self, now: int, tree: dict[str, Any], following: int) -> list[Ask]:
        token = whole(tree, "header", "revision") if tree.get("succeeded") else 0
        if not token:
            entry = ("responses", 0, "response_range", "kvs", 0)
            if whole(tree, *entry, "lease") == self.lease and self.lease:
                token = whole(tree, *entry, "create_revision")  # an earlier call that was given up did it
            else:
                self.holder_token = whole(tree, *entry, "create_revision")
                lease, self.lease = self.lease, 0
                self.idle(now, self.timing.renew)
                return [Ask(following, "/v3/lease/revoke", {"ID": str(lease)})]
        if token and now < self.lease_until:
            self.stage, self.term, self.until = Stage.HOLDING, token, self.lease_until
            self.due_at = self.sent_at + self.timing.renew
            self.changes.append(Note("taken", self.name, token, now, self.until))
        else:
            self.idle(now, self.timing.renew)
        return []

    def kept(self, now: int, ttl: int) -> None:
        if ttl <= 0:
            # The engine has lost the lease, early or late: whoever asks may have it by now.
            self.leave(now, Reason.RAN_OUT)
            return
        self.due_at = self.sent_at + self.timing.renew
        until = self.sent_at + self.held(ttl)
        if until > self.until:
            self.until = until
            self.changes.append(Note("renewed", self.name, self.term, now, until))

    def idle(self, now: int, least: int) -> None:
        self.stage = Stage.IDLE
        self.due_at = now + least + self.rank_wait + self.rng.randrange(1 + self.timing.lease // 16)

    def leave(self, now: int, reason: Reason, call: int = -1) -> list[Ask]:
        """Stop; then, where it is given back at once, revoke the lease, and with it the key."""
        if self.stage is not Stage.HOLDING:
            return []
        self.changes.append(Note("left", self.name, self.term, now, reason=reason.value))
        self.until, self.call, lease, self.lease = 0, -1, self.lease, 0
        self.idle(now, self.timing.lease // 2)
        if call < 0 or not lease:
            return []
        return [Ask(call, "/v3/lease/revoke", {"ID": str(lease)})]


class EngineDuties:
    """All duties at one ingress, by the engine: what `Duties` is by voters."""

    def __init__(
        self, plan: Plan, number: int, life: int, rng: random.Random, key: bytes | None = None
    ) -> None:
        self.plan, self.number, self.life = plan, number, life
        self.envelope = Envelope(number, life, plan.members, plan.digest(), key)
        self.figures = Figures()
        self.kept_free = self.stopping = False
        self.ticked_at = -1
        self.calls = 0
        orders = plan.orders(plan.willing)
        self.candidates = [EngineCandidate(d.name, number, life, plan.timing, rng) for d in plan.duties]
        for candidate, order in zip(self.candidates, orders, strict=True):
            rank = order.index(number) if number in order else len(order)
            candidate.rank_wait = min(rank, 8) * plan.timing.lease // 8

    def begin(self, now: int) -> None:
        for candidate in self.candidates:
            candidate.idle(now, 0)

    def wants(self) -> bool:
        return self.number in self.plan.willing and not self.kept_free and not self.stopping

    def next_call(self) -> int:
        self.calls += 1
        return self.calls

    def tick(self, now: int) -> tuple[list[Act], list[Ask]]:
        stalled = self.ticked_at >= 0 and now - self.ticked_at > self.plan.timing.renew
        self.figures.late_ticks += stalled
        self.ticked_at = now
        asks: list[Ask] = []
        for candidate in self.candidates:
            asks += candidate.tick(now, self.next_call(), self.wants(), stalled)
        return self.notes(), asks

    def answered(self, now: int, call: int, tree: dict[str, Any] | None) -> tuple[list[Act], list[Ask]]:
        asks: list[Ask] = []
        for candidate in self.candidates:
            asks += candidate.answered(now, call, tree, self.next_call())
        return self.notes(), asks

    def stop(self, now: int) -> tuple[list[Act], list[Ask]]:
        self.stopping = True
        return self.give_up(now, Reason.STOPPING)

    def keep_free(self, now: int, free: bool) -> tuple[list[Act], list[Ask]]:
        self.kept_free = free
        return self.give_up(now, Reason.RELEASED) if free else ([], [])

    def give_up(self, now: int, reason: Reason) -> tuple[list[Act], list[Ask]]:
        asks: list[Ask] = []
        for candidate in self.candidates:
            asks += candidate.leave(now, reason, self.next_call())
        return self.notes(), asks

    def token(self, now: int, duty: int) -> int | None:
        return self.candidates[duty].token(now)

    def shown(self, now: int) -> list[dict[str, object]]:
        """By duty, as `Duties.shown`; who else holds it is told by the key's revision only."""
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

    def notes(self) -> list[Act]:
        told: list[Act] = []
        for candidate in self.candidates:
            told += candidate.changes
            candidate.changes = []
        return told
