"""The state machine of one admitted request: from its first attempt to its one response, with retries.

No I/O: the caller carries out the actions and reports what became of each attempt.  All times are
microseconds of one steady clock.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from vetchusher.discovery.server import Server
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import LogEvent
from vetchusher.settings.configuration import Route, Tenant

from .actions import Action, CancelAttempt, ForwardResponse, Reject, RequestHead, SendAttempt, WakeAt
from .claims import CLAIM_OF, DELIVERED, AttemptOutcome, Claim, next_step
from .context import RoutingContext
from .headers import ATTEMPT_ID, SUBSCRIBER, TARGET_INSTANCE, TIME_REMAINING, request_headers
from .priority import Pool, urgency_of
from .refusals import REASON_OF, REFUSALS, RefusalReason
from .rollouts import AttemptKey
from .routes import RouteTable, allowed_regions, draw_services
from .server_selection import NoServerReason

RESPONSE_MARGIN_US = 8_000  # a client counts its deadline from when it sent, and an answer needs its way back
SERVER_MARGIN_MS = 3  # the server's own end comes before the one here, and its answer is passed on
MAX_WAIT_MS = 3_600_000
NEAR_CONNECT_US = 250_000  # for a connection to come up in the own region
FAR_CONNECT_US = 500_000  # the same where the way alone may take 110 ms, there and back twice over
CONNECT_DIVISOR = 3  # and never more than one part in so many of the time left
SPARE_ATTEMPTS = 2  # beyond `max_attempts`: for those that never reached a server
LATE_FACTOR, LATE_RATIO = 4.0, 1 / 3  # of a route's usual time, of a request's time: from then on it is late
LATE_TARGETS = 2  # of a route's aim, as the time that counts here: a copy sent after the aim earns little
MIN_QUOTA_WAIT_US, MAX_QUOTA_WAIT_US = 100_000, 2_000_000
# What ends an attempt when the time of its request is over.
WITHOUT_ANSWER = frozenset(
    {AttemptOutcome.NOT_EXECUTED, AttemptOutcome.SERVER_ERROR, AttemptOutcome.TIMED_OUT}
)

_MILLIS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)


class Request:
    """One request, made by `admit_request`.

    Each `SendAttempt` is answered by one call of `on_attempt_ended`, or by `on_response_begun` and then that.
    """

    def __init__(
        self,
        context: RoutingContext,
        table: RouteTable,
        head: RequestHead,
        route: Route,
        tenant: Tenant | None,
    ):
        """Prepare a request whose head was admitted."""
        self.context = context
        self.route = route
        self.tenant = tenant
        self.urgency = urgency_of(route, tenant)
        self.lacked_room = False  # a server, or all of them, had no room for it
        self.full_pools: set[Pool] = set()  # where a server said so
        self.repeatable = route.route_type.repeatable
        stated = next((v for n, v in head.headers if n.lower() == TIME_REMAINING.lower()), "")
        client_ms = float(stated) if _MILLIS.fullmatch(stated) else MAX_WAIT_MS
        patience = int(min(client_ms, route.timeout_ms, MAX_WAIT_MS) * 1000)
        self.deadline = head.arrived_at + max(1, patience - RESPONSE_MARGIN_US)
        self.head = head
        self.id = next(v for n, v in head.headers if n.lower() == ATTEMPT_ID.lower())
        self.host = next(v for n, v in head.headers if n.lower() == "host")
        self.forwarded_headers = request_headers(head.headers, table.configuration.keyed)
        self.service = ""
        self.open_attempts: dict[int, Server] = {}  # attempts without an end
        self.sent_at: dict[int, int] = {}
        self.brief_connects: dict[int, int] = {}  # us that an attempt had for its connection, where too few
        self.response_began_at: dict[int, int] = {}  # where the answer is streamed: its client paces the rest
        self.tried_servers: set[str] = set()
        self.attempts = 0
        self.delivered = 0  # attempts that reached a server, or may have
        self.may_have_run = False  # one of them may have run
        self.failed_response: int | None = None  # an attempt that was answered with a failure
        self.failed_server: Server | None = None  # and by whom
        self.forwarded_attempt: int | None = None  # the attempt whose answer is passed on
        self.is_done = False
        self.events: list[LogEvent] = []  # for the log; whoever carries out the acts takes them

    def start(self, now: int) -> list[Action]:
        """Choose the first server and ask for the quota; the body has arrived completely."""
        services = draw_services(self.route, self.context.rng)
        self.service = services[0]
        self.context.refusals.on_request()
        if now >= self.deadline:
            return self._refuse(now, RefusalReason.OUT_OF_TIME)
        server = self._first_server(now, services)
        if server is None:
            return self._refuse_without_server(now)
        if not self.context.shedders.admit(now, self._pool(server), self.urgency):
            return self._refuse(now, RefusalReason.GAVE_WAY)
        tenant = self.tenant
        # Safety: counted before it is known that it can be sent, what is refused here would eat the quota.
        if tenant is not None and tenant.rate_per_s > 0 and not self.context.quotas.admit(now, tenant.name):
            self.is_done = True
            # Jitter: clients refused together must not return together.
            wait = self.context.quotas.retry_after_us(now, tenant.name) * (
                1.0 + 0.5 * self.context.rng.random()
            )
            retry_after = int(min(MAX_QUOTA_WAIT_US, max(MIN_QUOTA_WAIT_US, wait)))
            return [Reject(Error(ErrorCode.QUOTA_EXCEEDED, "over the quota", retry_after))]
        self.context.retry_budget.on_request(now, self.service)
        acts: list[Action] = [self._send(now, server)]
        if self.repeatable and self.route.max_attempts > 1:
            usual = self.context.response_times.get(self.route.name, 0.0)
            time = min(self.deadline - now, LATE_TARGETS * self.route.target_ms * 1000)
            acts.append(WakeAt(now + int(max(LATE_FACTOR * usual, LATE_RATIO * time))))
        return acts

    def _first_server(self, now: int, services: Sequence[str]) -> Server | None:
        allowed = allowed_regions(self.route, self.tenant)
        for service in services:
            server = self._exposed_server(now, service, allowed)
            if server is None:
                server = self.context.choice.choose(now, service, allowed, (), self._failure_cost_us(now))
            if server is not None:
                self.service = service
                return server
        return None

    def _exposed_server(self, now: int, service: str, allowed: frozenset[str] | None) -> Server | None:
        """Return a server of a version that is being rolled out, if this request is to be exposed to it.

        Safety: only while the roll-out's state is known to be the newest: a version may have been reverted.
        """
        rollouts, choice = self.context.rollouts, self.context.choice
        if not rollouts.may_expose(service) or now > self.context.fresh_until:
            return None
        open_requests, capacity = choice.load_of(service)
        count = rollouts.trial_servers(service, open_requests, capacity)
        return choice.choose_candidate(now, service, allowed, count)

    def _refuse_without_server(self, now: int) -> list[Action]:
        """Refuse the request.  Only servers that are full are a lack of room: whatever else keeps requests
        from servers would have those of other tenants shed on an idle service.
        """
        allowed = allowed_regions(self.route, self.tenant)
        reason = self.context.choice.why_none(now, self.service, allowed)
        if reason is NoServerReason.FULL:
            self.lacked_room = True
            self._report_room(now)
        return self._refuse(now, REASON_OF[reason])

    def _refuse(self, now: int, reason: RefusalReason) -> list[Action]:
        """Refuse the request before any attempt."""
        if reason is not RefusalReason.OUT_OF_TIME and self.context.choice.has_room(now, self.service, None):
            self.context.refusals.on_refused(reason)
        return self._reject(*REFUSALS[reason])

    def on_attempt_ended(
        self, now: int, number: int, outcome: AttemptOutcome, reset_at_once: bool = False
    ) -> list[Action]:
        """Take the end of an attempt.

        :param reset_at_once: it was reset so soon that the server was likely saturated
        """
        server = self.open_attempts.pop(number, None)
        if server is None:
            return []
        took = self.response_began_at.get(number, now) - self.sent_at[number]
        by_client = self._ended_by_client(now, number, server, outcome)
        if by_client:
            self.context.choice.on_ended_by_client(now, server.instance, took)
        else:
            self._log(self.context.choice.on_ended(now, server.instance, outcome, took, reset_at_once))
        self._note_version(number, server, None if by_client else outcome, took)
        if self.is_done:
            return []
        self._note_outcome(server, outcome, by_client=by_client)
        if outcome is AttemptOutcome.ANSWERED:
            self.context.record_response_time(self.route, took)
            return self._forward(now, number, server)
        if outcome is AttemptOutcome.SERVER_ERROR:
            self.failed_response, self.failed_server = number, server
        if self.open_attempts:
            return []  # a second copy is still out
        if next_step(outcome, self.repeatable).may_retry and (act := self._next_attempt(now)) is not None:
            return [act]
        return self._give_up(now)

    def _note_version(self, number: int, server: Server, outcome: AttemptOutcome | None, took: int) -> None:
        """Tell roll-outs how an attempt ended; `outcome` None: it says nothing of the server."""
        if self.context.rollouts.active:
            self.context.rollouts.on_ended(self._attempt_key(number, server), outcome, took)

    def _attempt_key(self, number: int, server: Server) -> AttemptKey:
        return AttemptKey(self, number, self.service, self.route.name, server)

    def _note_outcome(self, server: Server, outcome: AttemptOutcome, *, by_client: bool) -> None:
        """Note what follows from an attempt's end for the request."""
        if outcome not in DELIVERED:
            self.delivered -= 1
        if outcome is AttemptOutcome.NOT_EXECUTED and not by_client:
            self.lacked_room = True
            self.full_pools.add(self._pool(server))
        if outcome is AttemptOutcome.NOT_WRITTEN:
            self.tried_servers.discard(server.instance)  # the connection was at fault: a new one may do
        self.may_have_run = self.may_have_run or CLAIM_OF[outcome] is Claim.MAY_HAVE_RUN

    def on_response_begun(self, now: int, number: int) -> list[Action]:
        """Take that a good response too long to buffer has begun: from here on it is this one or none."""
        if self.is_done:
            return []
        self.response_began_at[number] = now
        server = self.open_attempts[number]
        self.context.choice.on_response_begun(server.instance, self.sent_at[number])
        return self._forward(now, number, server)

    def on_late(self, now: int) -> list[Action]:
        """Hedge a repeatable request that is late: one more attempt elsewhere."""
        if self.is_done or len(self.open_attempts) != 1 or not self.repeatable:
            return []
        if self._gives_way(now):
            return []
        act = self._next_attempt(now)
        return [act] if act is not None else []

    def on_client_left(self, now: int) -> list[Action]:
        """Cancel everything: the client has closed its connection."""
        self.is_done = True
        return self._cancel_all(now)

    def _ended_by_client(self, now: int, number: int, server: Server, outcome: AttemptOutcome) -> bool:
        """Return whether the client ended an attempt: its time was over, and too short, or it has left while
        the response was on its way.
        """
        took = now - self.sent_at[number]
        if outcome is AttemptOutcome.CANCELLED:
            return number in self.response_began_at
        if outcome is AttemptOutcome.NO_CONNECTION:
            return took >= self.brief_connects.get(number, took + 1)
        if outcome not in WITHOUT_ANSWER or now < self.deadline - SERVER_MARGIN_MS * 1000:
            return False
        return not self.context.choice.is_enough(server.instance, took)

    def _pool(self, server: Server) -> Pool:
        return Pool(self.service, self.context.choice.region_of(server))

    def _gives_way(self, now: int) -> bool:
        """Return whether more urgent requests lack room where this one was sent."""
        pools = {self._pool(server) for server in self.open_attempts.values()} | self.full_pools
        return any(self.context.shedders.gives_way(now, pool, self.urgency) for pool in pools)

    def _report_room(self, now: int, served_by: Server | None = None) -> None:
        """Report to the shedders what this request says of the room that servers have.

        :param served_by: the server whose answer is passed on
        """
        shedders = self.context.shedders
        if self.lacked_room:
            allowed = allowed_regions(self.route, self.tenant)
            regions = self.context.choice.regions_of(self.service, allowed)
            pools = self.full_pools or {Pool(self.service, region) for region in regions}
            for pool in pools:
                shedders.on_ended(now, pool, self.urgency, lacked_room=True)
        elif served_by is not None:
            shedders.on_ended(now, self._pool(served_by), self.urgency, lacked_room=False)

    def _forward(self, now: int, number: int, server: Server) -> list[Action]:
        self._report_room(now, served_by=server)
        self.is_done, self.forwarded_attempt = True, number
        return [*self._cancel_all(now, but=number), ForwardResponse(number)]

    def _cancel_all(self, now: int, but: int | None = None) -> list[Action]:
        others = [number for number in self.open_attempts if number != but]
        for number in others:
            server = self.open_attempts.pop(number)
            self._note_version(number, server, None, 0)
            self._log(
                self.context.choice.on_ended(
                    now, server.instance, AttemptOutcome.CANCELLED, now - self.sent_at[number]
                )
            )
        return [CancelAttempt(number) for number in others]

    def _next_attempt(self, now: int) -> SendAttempt | None:
        if now >= self.deadline or self.attempts >= self.route.max_attempts + SPARE_ATTEMPTS:
            return None
        if self.delivered >= self.route.max_attempts:
            return None
        allowed = allowed_regions(self.route, self.tenant)
        server = self.context.choice.choose(
            now, self.service, allowed, self.tried_servers, self._failure_cost_us(now)
        )
        if server is None:
            return None
        if self.delivered and not self.context.retry_budget.take_attempt(
            now,
            self.service,
            leave_reserve=self._gives_way(now),
        ):
            return None
        return self._send(now, server)

    def _failure_cost_us(self, now: int) -> int:
        """Return what a failure costs: all the time that is left, unless it may be sent again."""
        return 0 if self.repeatable else self.deadline - now

    def _send(self, now: int, server: Server) -> SendAttempt:
        number = self.attempts
        self.attempts += 1
        self.delivered += 1
        self.tried_servers.add(server.instance)
        self.open_attempts[number], self.sent_at[number] = server, now
        choice = self.context.choice
        choice.on_sent(now, server.instance)
        if self.context.rollouts.active:
            self.context.rollouts.on_sent(now, self._attempt_key(number, server))
        remaining_us = self.deadline - now
        near = choice.region_of(server) == choice.region
        headers = [
            ("Host", self.host),
            *self.forwarded_headers,
            (ATTEMPT_ID, self.id),
            (TIME_REMAINING, str(max(1, remaining_us // 1000 - SERVER_MARGIN_MS))),
            (TARGET_INSTANCE, server.instance),
        ]
        if self.tenant is not None:
            headers.append((SUBSCRIBER, self.tenant.name))
        connect = NEAR_CONNECT_US if near else FAR_CONNECT_US
        if remaining_us // CONNECT_DIVISOR < connect:
            connect = self.brief_connects[number] = remaining_us // CONNECT_DIVISOR
        return SendAttempt(number, server, headers, connect, self.deadline, not self.repeatable)

    def _give_up(self, now: int) -> list[Action]:
        if self.failed_response is not None and self.failed_server is not None:
            return self._forward(now, self.failed_response, self.failed_server)
        self._report_room(now)
        if not self.may_have_run:
            return self._reject(ErrorCode.NOT_EXECUTED, "no server took it")
        self.is_done = True
        late = now >= self.deadline
        kind = ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.MAYBE_EXECUTED
        return [Reject(Error(kind, "no answer in time" if late else "a server took it and gave no answer"))]

    def _reject(self, code: ErrorCode, text: str) -> list[Action]:
        """Nothing has run, and nothing will: come again soon, not all at once."""
        self.is_done = True
        wait = int(self.route.target_ms * 100 * (0.5 + self.context.rng.random()))
        return [Reject(Error(code, text, max(10_000, wait)))]

    def _log(self, event: LogEvent | None) -> None:
        if event is not None:
            self.events.append(event)
