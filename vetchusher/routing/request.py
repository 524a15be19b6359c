"""The state machine of one request: from its head to its one answer, with retries.

No I/O: the caller carries out the acts and feeds back what became of each attempt.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Failure, Result, Success

from vetchusher.discovery.server import Server
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import LogEvent
from vetchusher.settings.configuration import Configuration, Route, Tenant

from .choice import Choice
from .claims import ARRIVED, CLAIM, Claim, Seen, what_next
from .headers import (
    ATTEMPT_ID,
    DECIDING,
    SUBSCRIBER,
    TARGET_INSTANCE,
    TIME_REMAINING,
    Headers,
    passed_on,
)
from .routes import RouteTable, allowed_regions, draw_services

MARGIN_US = 8_000  # a client counts its deadline from when it sent, and an answer needs its way back
SERVER_MARGIN_MS = 3  # the server's own end comes before the one here, and its answer is passed on
MOST_WAIT_MS = 3_600_000
NEAR_CONNECT_US = 250_000  # for a connection to come up in the own region
FAR_CONNECT_US = 500_000  # the same where the way alone may take 110 ms, there and back twice over
CONNECT_PART = 3  # and never more than one part in so many of the time left
SPARE_TRIES = 2  # beyond `max_attempts`: for those that never reached a server
LATE_TIMES, LATE_PART = 4.0, 1 / 3  # of a route's usual time, of a request's time: from then on it is late
LATE_TARGETS = 2  # of a route's aim, as the time that counts here: a copy sent after the aim earns little
SMOOTH = 0.05
STALE_AGAIN_US = 200_000  # when to return while this ingress cannot tell what is in force
LEAST_QUOTA_WAIT_US, MOST_QUOTA_WAIT_US = 100_000, 2_000_000

_ID = re.compile(r"[!-~]{1,128}", re.ASCII)
_MILLIS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)


class TenantQuotas(Protocol):
    """The tenants' quotas."""

    def admit(self, now: int, tenant: str) -> bool:
        """Whether one more request of the tenant may pass; if so it is counted."""

    def retry_after_us(self, now: int, tenant: str) -> int:
        """us after which a refused one may try again."""


class AttemptBudget(Protocol):
    """The extra tries, counted against the requests by service."""

    def on_request(self, now: int, service: str) -> None:
        """A request for the service goes to its first server."""

    def take_attempt(self, now: int, service: str) -> bool:
        """Whether one more extra try may be made; if so it is taken."""


@dataclass(slots=True, frozen=True)
class Head:
    """:param target: raw path and query
    :param arrived_at: us
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    arrived_at: int


@dataclass(slots=True, frozen=True)
class Send:
    """Send it there, on a connection of that instance.

    :param trusted: it may run once only, so nothing but a connection that is surely alive will do
    """

    number: int
    server: Server
    headers: Headers
    connect_us: int
    deadline: int
    trusted: bool


@dataclass(slots=True, frozen=True)
class Cancel:
    """Close the connection of that attempt; no outcome is expected for it."""

    number: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Pass that attempt's answer on."""

    number: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Answer by this ingress itself."""

    fault: Error


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `late` then (us)."""

    at: int


Act = Send | Cancel | Answer | Refuse | WakeAt


@dataclass(slots=True)
class Ground:
    """What all requests of an ingress share.  A request keeps the route table that it began with.

    :param fresh_until: us; until then the table is surely the one in force, and what it does not allow may be
        refused for good
    :param times: smoothed times of answers (us) by route; `configure` drops those of routes that are gone
    """

    choice: Choice
    tally: TenantQuotas
    budget: AttemptBudget
    rng: random.Random
    table: RouteTable | None = None
    fresh_until: int = -1
    times: dict[str, float] = field(default_factory=dict)

    def configure(self, configuration: Configuration) -> None:
        self.table = RouteTable(configuration)
        self.choice.configure(configuration.services)
        names = {route.name for route in configuration.routes}
        self.times = {name: time for name, time in self.times.items() if name in names}

    def timed(self, route: Route, took_us: int) -> None:
        before = self.times.get(route.name)
        self.times[route.name] = took_us if before is None else before + SMOOTH * (took_us - before)

    def refusal(self, now: int, kind: ErrorCode, text: str) -> Error:
        """What the table does not allow: refused for good only if it is the one in force."""
        fresh = now <= self.fresh_until
        return Error(kind, text) if fresh else Error(ErrorCode.STALE_CONFIGURATION, text, STALE_AGAIN_US)


class Request:
    """Built by `judge`.  Each `Send` is answered by one call of `ended` (or `streaming`, then `ended`)."""

    def __init__(self, ground: Ground, table: RouteTable, head: Head, route: Route, tenant: Tenant | None):
        self.ground = ground
        self.route = route
        self.tenant = tenant
        self.repeatable = route.route_type.repeatable
        stated = next((v for n, v in head.headers if n.lower() == TIME_REMAINING.lower()), "")
        client_ms = float(stated) if _MILLIS.fullmatch(stated) else MOST_WAIT_MS
        patience = int(min(client_ms, route.timeout_ms, MOST_WAIT_MS) * 1000)
        self.deadline = head.arrived_at + max(1, patience - MARGIN_US)
        self.head = head
        self.id = next(v for n, v in head.headers if n.lower() == ATTEMPT_ID.lower())
        self.host = next(v for n, v in head.headers if n.lower() == "host")
        self.passed = passed_on(head.headers, table.configuration.keyed)
        self.service = ""
        self.open: dict[int, Server] = {}  # attempts without an end
        self.sent_at: dict[int, int] = {}
        self.heard_at: dict[int, int] = {}  # where the answer is streamed: its client paces the rest
        self.tried: set[str] = set()
        self.tries = 0
        self.arrived = 0  # attempts that reached a server, or may have
        self.unsure = False  # one of them may have run
        self.fallback: int | None = None  # an attempt that was answered with a failure
        self.answered: int | None = None  # the attempt whose answer is passed on
        self.done = False
        self.notes: list[LogEvent] = []  # for the log; whoever carries out the acts takes them

    def start(self, now: int) -> list[Act]:
        """The body has come whole: the first try, or why there is none."""
        allowed = allowed_regions(self.route, self.tenant)
        server: Server | None = None
        for service in draw_services(self.route, self.ground.rng):
            server = self.ground.choice.choose(now, service, allowed, (), self._loss(now))
            if server is not None:
                self.service = service
                break
        if now >= self.deadline or server is None:
            return self._refuse(ErrorCode.NO_SERVER_AVAILABLE, "no server has room")
        tenant = self.tenant
        # Danger: counted before it is known that it can be sent, what is refused here would eat the quota.
        if tenant is not None and tenant.rate_per_s > 0 and not self.ground.tally.admit(now, tenant.name):
            self.done = True
            # Jitter: clients refused together must not return together.
            wait = self.ground.tally.retry_after_us(now, tenant.name) * (1.0 + 0.5 * self.ground.rng.random())
            retry_after = int(min(MOST_QUOTA_WAIT_US, max(LEAST_QUOTA_WAIT_US, wait)))
            return [Refuse(Error(ErrorCode.QUOTA_EXCEEDED, "over the quota", retry_after))]
        self.ground.budget.on_request(now, self.service)
        acts: list[Act] = [self._send(now, server)]
        if self.repeatable and self.route.max_attempts > 1:
            usual = self.ground.times.get(self.route.name, 0.0)
            time = min(self.deadline - now, LATE_TARGETS * self.route.target_ms * 1000)
            acts.append(WakeAt(now + int(max(LATE_TIMES * usual, LATE_PART * time))))
        return acts

    def ended(self, now: int, number: int, seen: Seen, prompt: bool = False) -> list[Act]:
        """An attempt is over.

        :param prompt: it was reset so soon that the server was likely full
        """
        server = self.open.pop(number, None)
        if server is None:
            return []
        took = self.heard_at.get(number, now) - self.sent_at[number]
        self._note(self.ground.choice.ended(now, server.instance, seen, took, prompt))
        if self.done:
            return []
        if seen not in ARRIVED:
            self.arrived -= 1
        if seen is Seen.NOT_WRITTEN:
            self.tried.discard(server.instance)  # the connection was at fault: a new one may do
        if seen is Seen.ANSWERED:
            self.ground.timed(self.route, took)
            return self._answer(now, number)
        self.unsure = self.unsure or CLAIM[seen] is Claim.MAY_HAVE_RUN
        if seen is Seen.SERVER_ERROR:
            self.fallback = number
        if self.open:
            return []  # a second copy is still out
        if what_next(seen, self.repeatable).again and (act := self._again(now)) is not None:
            return [act]
        return self._give_up(now)

    def streaming(self, now: int, number: int) -> list[Act]:
        """The head of a good answer too long to hold has come: from here on it is this one or none."""
        if self.done:
            return []
        self.heard_at[number] = now
        self.ground.choice.answering(self.open[number].instance, self.sent_at[number])
        return self._answer(now, number)

    def late(self, now: int) -> list[Act]:
        """Repeatable, and late: one more copy elsewhere."""
        if self.done or len(self.open) != 1 or not self.repeatable:
            return []
        act = self._again(now)
        return [act] if act is not None else []

    def left(self, now: int) -> list[Act]:
        """The client is gone."""
        self.done = True
        return self._cancel_all(now)

    def _answer(self, now: int, number: int) -> list[Act]:
        self.done, self.answered = True, number
        return [*self._cancel_all(now, but=number), Answer(number)]

    def _cancel_all(self, now: int, but: int | None = None) -> list[Act]:
        others = [number for number in self.open if number != but]
        for number in others:
            server = self.open.pop(number)
            self._note(
                self.ground.choice.ended(now, server.instance, Seen.CANCELLED, now - self.sent_at[number])
            )
        return [Cancel(number) for number in others]

    def _again(self, now: int) -> Send | None:
        if now >= self.deadline or self.tries >= self.route.max_attempts + SPARE_TRIES:
            return None
        if self.arrived >= self.route.max_attempts:
            return None
        allowed = allowed_regions(self.route, self.tenant)
        server = self.ground.choice.choose(now, self.service, allowed, self.tried, self._loss(now))
        if server is None:
            return None
        if self.arrived and not self.ground.budget.take_attempt(now, self.service):
            return None
        return self._send(now, server)

    def _loss(self, now: int) -> int:
        """What a failure costs: all the time that is left, unless it may be sent again."""
        return 0 if self.repeatable else self.deadline - now

    def _send(self, now: int, server: Server) -> Send:
        number = self.tries
        self.tries += 1
        self.arrived += 1
        self.tried.add(server.instance)
        self.open[number], self.sent_at[number] = server, now
        choice = self.ground.choice
        choice.sent(now, server.instance)
        left = self.deadline - now
        near = choice.zones.get(server.zone) == choice.region
        headers = [
            ("Host", self.host),
            *self.passed,
            (ATTEMPT_ID, self.id),
            (TIME_REMAINING, str(max(1, left // 1000 - SERVER_MARGIN_MS))),
            (TARGET_INSTANCE, server.instance),
        ]
        if self.tenant is not None:
            headers.append((SUBSCRIBER, self.tenant.name))
        connect = min(NEAR_CONNECT_US if near else FAR_CONNECT_US, left // CONNECT_PART)
        return Send(number, server, headers, connect, self.deadline, not self.repeatable)

    def _give_up(self, now: int) -> list[Act]:
        if self.fallback is not None:
            return self._answer(now, self.fallback)
        if not self.unsure:
            return self._refuse(ErrorCode.NOT_EXECUTED, "no server took it")
        self.done = True
        late = now >= self.deadline
        kind = ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.MAYBE_EXECUTED
        return [Refuse(Error(kind, "no answer in time" if late else "a server took it and gave no answer"))]

    def _refuse(self, kind: ErrorCode, text: str) -> list[Act]:
        """Nothing has run, and nothing will: come again soon, not all at once."""
        self.done = True
        wait = int(self.route.target_ms * 100 * (0.5 + self.ground.rng.random()))
        return [Refuse(Error(kind, text, max(10_000, wait)))]

    def _note(self, note: LogEvent | None) -> None:
        if note is not None:
            self.notes.append(note)


def judge(ground: Ground, head: Head) -> Result[Request, Error]:
    """Read a head by the configuration that is in force here now."""
    table = ground.table
    if table is None:
        return Failure(Error(ErrorCode.STALE_CONFIGURATION, "no configuration yet", STALE_AGAIN_US))
    if (fault := unreadable(head)) is not None:
        return Failure(fault)
    found = {name.lower(): value for name, value in head.headers}
    route = table.find(found["host"], head.target)
    if route is None:
        return Failure(ground.refusal(head.arrived_at, ErrorCode.ROUTE_NOT_FOUND, "no such route"))
    tenant: Tenant | None = None
    if table.configuration.keyed:
        scheme, _, key = found.get("authorization", "").partition(" ")
        tenant = table.tenant(key.strip()) if scheme.lower() == "bearer" else None
        if tenant is None and not route.public:
            return Failure(ground.refusal(head.arrived_at, ErrorCode.UNAUTHENTICATED, "no such key"))
    return Success(Request(ground, table, head, route, tenant))


def unreadable(head: Head) -> Error | None:
    """Why a head cannot be passed on as it is, if so."""
    if not head.target.startswith("/") or not head.target.isascii():
        return Error(ErrorCode.MALFORMED_REQUEST, "the target is no path")
    repeated = _repeated(name.lower() for name, _ in head.headers)
    if repeated:
        return Error(ErrorCode.MALFORMED_REQUEST, f"{repeated} is repeated")
    found = {name.lower(): value for name, value in head.headers}
    if not _ID.fullmatch(found.get(ATTEMPT_ID.lower(), "")):
        return Error(ErrorCode.MALFORMED_REQUEST, f"{ATTEMPT_ID} is missing or malformed")
    if not found.get("host"):
        return Error(ErrorCode.MALFORMED_REQUEST, "Host is missing")
    try:
        "".join(found.values()).encode()
    except UnicodeEncodeError:
        return Error(ErrorCode.MALFORMED_REQUEST, "a header is no text")
    return None


def _repeated(names: Iterable[str]) -> str:
    seen: set[str] = set()
    for name in names:
        if name in seen and name in DECIDING:
            return name
        seen.add(name)
    return ""
