"""State machine of one admitted request, from its first attempt through retries and hedges to its response.

The state machine does no I/O: the caller carries out the returned actions and reports the outcome of each
attempt. All times are microseconds of one monotonic clock.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from vetchusher.discovery.server import Server
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import LogEvent
from vetchusher.settings.configuration import Route, Tenant

from .actions import Action, CancelAttempt, ForwardResponse, Reject, RequestHead, SendAttempt, WakeAt
from .claims import CLAIM_OF, DELIVERED_OUTCOMES, AttemptOutcome, Claim, next_step
from .context import RoutingContext
from .headers import ATTEMPT_ID, SUBSCRIBER, TARGET_INSTANCE, TIME_REMAINING, request_headers
from .priority import RegionPool, urgency_of
from .refusals import REFUSAL_REASON_OF, REFUSALS, RefusalReason
from .rollouts import AttemptKey
from .routes import RouteTable, allowed_regions, draw_services
from .server_selection import NoServerReason

# Subtracted from the client's deadline: the client starts counting when it sends, and the response must
# still travel back to it.
RESPONSE_MARGIN_US = 8_000
# The server's deadline is this much before the deadline here, so that the server's own time-out response
# still arrives and can be forwarded.
SERVER_MARGIN_MS = 3
MAX_TIMEOUT_MS = 3_600_000
LOCAL_CONNECT_TIMEOUT_US = 250_000  # connect time-out within this ingress's region
REMOTE_CONNECT_TIMEOUT_US = 500_000  # across regions: two round trips at up to 110 ms one way
CONNECT_TIMEOUT_DIVISOR = 3  # a connect time-out is at most 1/3 of the remaining time
MAX_UNDELIVERED_ATTEMPTS = 2  # allowed beyond `max_attempts`: attempts that never reached a server
# A hedge is sent after this many mean response times of the route, but not before this ratio of the time
# that the request has.
HEDGE_RESPONSE_TIME_FACTOR, HEDGE_TIMEOUT_RATIO = 4.0, 1 / 3
# For `HEDGE_TIMEOUT_RATIO` the request's time counts as at most this many latency targets of its route: a
# hedge that is sent after the target gains little.
HEDGE_TARGET_FACTOR = 2
MIN_QUOTA_RETRY_AFTER_US, MAX_QUOTA_RETRY_AFTER_US = 100_000, 2_000_000
# Outcomes with which an attempt can end when the deadline of its request passes.
UNANSWERED_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_EXECUTED, AttemptOutcome.SERVER_ERROR, AttemptOutcome.TIMED_OUT}
)

_MILLISECONDS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)


class Request:
    """State machine of one request, created by `admit_request`.

    For each `SendAttempt` the caller calls `on_attempt_ended` once, preceded by `on_response_begun` if the
    response is streamed. An attempt that was cancelled by a `CancelAttempt` needs neither call.
    """

    def __init__(
        self,
        context: RoutingContext,
        table: RouteTable,
        head: RequestHead,
        route: Route,
        tenant: Tenant | None,
    ):
        """Create the state of a request whose head was admitted.

        :param table: route table at the time of admission; the request keeps using it
        :param tenant: None if the configuration has no API keys, or if a public route was requested
            without a valid key
        """
        self.context = context
        self.route = route
        self.tenant = tenant
        self.urgency = urgency_of(route, tenant)
        self.lacked_capacity = False  # one server rejected it as saturated, or every server was saturated
        self.saturated_pools: set[RegionPool] = set()  # pools in which a server rejected it as saturated
        self.repeatable = route.route_type.repeatable
        time_remaining = next(
            (value for name, value in head.headers if name.lower() == TIME_REMAINING.lower()),
            "",
        )
        client_timeout_ms = (
            float(time_remaining) if _MILLISECONDS.fullmatch(time_remaining) else MAX_TIMEOUT_MS
        )
        timeout_us = int(min(client_timeout_ms, route.timeout_ms, MAX_TIMEOUT_MS) * 1000)
        self.deadline = head.arrived_at + max(1, timeout_us - RESPONSE_MARGIN_US)
        self.head = head
        self.id = next(value for name, value in head.headers if name.lower() == ATTEMPT_ID.lower())
        self.host = next(value for name, value in head.headers if name.lower() == "host")
        self.forwarded_headers = request_headers(head.headers, table.configuration.requires_credentials)
        self.service = ""
        self.open_attempts: dict[int, Server] = {}  # in-flight attempts by number
        self.sent_at: dict[int, int] = {}  # by attempt number, us
        # By attempt number: connect time-outs (us) that the request's deadline cut short.
        self.short_connect_timeouts_us: dict[int, int] = {}
        # By attempt number (us), for streamed responses: from then on the client's reading sets the pace.
        self.response_began_at: dict[int, int] = {}
        self.tried_servers: set[str] = set()  # instances
        self.attempts = 0
        self.delivered_attempts = 0  # attempts that reached a server, or may have
        self.may_have_run = False  # at least one attempt may have been executed
        self.failed_response: int | None = None  # number of an attempt that got a 5xx response
        self.failed_server: Server | None = None  # the server that sent `failed_response`
        self.forwarded_attempt: int | None = None  # number of the attempt whose response is forwarded
        self.is_done = False
        self.events: list[LogEvent] = []  # log events; the caller that carries out the actions removes them

    def start(self, now: int) -> list[Action]:
        """Select the first server, check shedding and quota, and return the first actions.

        Called once, after the request body has arrived completely.
        """
        services = draw_services(self.route, self.context.rng)
        self.service = services[0]
        self.context.refusals.on_request()
        if now >= self.deadline:
            return self._refuse(now, RefusalReason.OUT_OF_TIME)
        server = self._first_server(now, services)
        if server is None:
            return self._refuse_without_server(now)
        if not self.context.shedders.admit(now, self._region_pool(server), self.urgency):
            return self._refuse(now, RefusalReason.GAVE_WAY)
        tenant = self.tenant
        # Safety: the quota is checked last: otherwise requests that are refused for other reasons would
        # consume it.
        if tenant is not None and tenant.rate_per_s > 0 and not self.context.quotas.admit(now, tenant.name):
            self.is_done = True
            # Jitter keeps clients that are rejected together from retrying together.
            jittered_us = self.context.quotas.retry_after_us(now, tenant.name) * (
                1.0 + 0.5 * self.context.rng.random()
            )
            retry_after_us = int(min(MAX_QUOTA_RETRY_AFTER_US, max(MIN_QUOTA_RETRY_AFTER_US, jittered_us)))
            return [Reject(Error(ErrorCode.QUOTA_EXCEEDED, "over the quota", retry_after_us))]
        self.context.retry_budget.on_request(now, self.service)
        actions: list[Action] = [self._send(now, server)]
        if self.repeatable and self.route.max_attempts > 1:
            mean_time_us = self.context.response_times.get(self.route.name, 0.0)
            timeout_us = min(self.deadline - now, HEDGE_TARGET_FACTOR * self.route.target_ms * 1000)
            actions.append(
                WakeAt(
                    now
                    + int(max(HEDGE_RESPONSE_TIME_FACTOR * mean_time_us, HEDGE_TIMEOUT_RATIO * timeout_us))
                )
            )
        return actions

    def _first_server(self, now: int, services: Sequence[str]) -> Server | None:
        """Return the server for the first attempt, from the first of the services that has one, or None."""
        allowed = allowed_regions(self.route, self.tenant)
        for service in services:
            server = self._server_for_exposure(now, service, allowed)
            if server is None:
                server = self.context.selector.choose(now, service, allowed, (), self._failure_cost_us(now))
            if server is not None:
                self.service = service
                return server
        return None

    def _server_for_exposure(self, now: int, service: str, allowed: frozenset[str] | None) -> Server | None:
        """Return a server of a version that is being rolled out if this request is to be exposed to it.

        Safety: exposes requests only while this ingress is known to have the newest rollout state; otherwise
        they could reach a version that has been reverted.
        """
        rollouts, selector = self.context.rollouts, self.context.selector
        if not rollouts.may_expose(service) or now > self.context.fresh_until:
            return None
        open_requests, capacity = selector.load_of(service)
        count = rollouts.trial_servers(service, open_requests, capacity)
        return selector.choose_candidate(now, service, allowed, count)

    def _refuse_without_server(self, now: int) -> list[Action]:
        """Refuse the request because no server can be selected.

        Only saturated servers are reported to load shedding as missing capacity. If other reasons counted,
        requests of other tenants would be shed while the service is idle.
        """
        allowed = allowed_regions(self.route, self.tenant)
        reason = self.context.selector.no_server_reason(now, self.service, allowed)
        if reason is NoServerReason.FULL:
            self.lacked_capacity = True
            self._report_capacity(now)
        return self._refuse(now, REFUSAL_REASON_OF[reason])

    def _refuse(self, now: int, reason: RefusalReason) -> list[Action]:
        """Refuse the request before its first attempt, and count refusals while a server has capacity."""
        if reason is not RefusalReason.OUT_OF_TIME and self.context.selector.has_capacity(
            now, self.service, None
        ):
            self.context.refusals.on_refused(reason)
        return self._reject(*REFUSALS[reason])

    def on_attempt_ended(
        self, now: int, number: int, outcome: AttemptOutcome, reset_at_once: bool = False
    ) -> list[Action]:
        """Handle the end of an attempt: forward its response, retry, wait for the other attempt, or reject.

        :param reset_at_once: the connection was reset so soon that the server was likely saturated
        """
        server = self.open_attempts.pop(number, None)
        if server is None:
            return []
        took_us = self.response_began_at.get(number, now) - self.sent_at[number]
        ended_by_client = self._ended_by_client(now, number, server, outcome)
        if ended_by_client:
            self.context.selector.on_ended_by_client(now, server.instance, took_us)
        else:
            self._add_event(
                self.context.selector.on_ended(now, server.instance, outcome, took_us, reset_at_once)
            )
        self._report_to_rollouts(number, server, None if ended_by_client else outcome, took_us)
        if self.is_done:
            return []
        self._record_outcome(server, outcome, ended_by_client=ended_by_client)
        if outcome is AttemptOutcome.ANSWERED:
            self.context.record_response_time(self.route, took_us)
            return self._forward(now, number, server)
        if outcome is AttemptOutcome.SERVER_ERROR:
            self.failed_response, self.failed_server = number, server
        if self.open_attempts:
            return []  # the other attempt of a hedged request is still in flight
        if next_step(outcome, self.repeatable).may_retry and (action := self._next_attempt(now)) is not None:
            return [action]
        return self._give_up(now)

    def _report_to_rollouts(
        self, number: int, server: Server, outcome: AttemptOutcome | None, took_us: int
    ) -> None:
        """Report the end of an attempt to the rollouts.

        :param outcome: None if the outcome says nothing about the server
        """
        if self.context.rollouts.active:
            self.context.rollouts.on_ended(self._attempt_key(number, server), outcome, took_us)

    def _attempt_key(self, number: int, server: Server) -> AttemptKey:
        return AttemptKey(self, number, self.service, self.route.name, server)

    def _record_outcome(self, server: Server, outcome: AttemptOutcome, *, ended_by_client: bool) -> None:
        """Update the request's state from the outcome of one of its attempts."""
        if outcome not in DELIVERED_OUTCOMES:
            self.delivered_attempts -= 1
        if outcome is AttemptOutcome.NOT_EXECUTED and not ended_by_client:
            self.lacked_capacity = True
            self.saturated_pools.add(self._region_pool(server))
        if outcome is AttemptOutcome.NOT_WRITTEN:
            # The connection failed, not the server: a new connection to it may work.
            self.tried_servers.discard(server.instance)
        self.may_have_run = self.may_have_run or CLAIM_OF[outcome] is Claim.MAY_HAVE_RUN

    def on_response_begun(self, now: int, number: int) -> list[Action]:
        """Forward a successful response that is too long to buffer, once its head has arrived.

        From here on no other attempt's response can be used.
        """
        if self.is_done:
            return []
        self.response_began_at[number] = now
        server = self.open_attempts[number]
        self.context.selector.on_response_begun(server.instance, self.sent_at[number])
        return self._forward(now, number, server)

    def on_hedge_timer(self, now: int) -> list[Action]:
        """Hedge a repeatable request that is late: send one more attempt to another server."""
        if self.is_done or len(self.open_attempts) != 1 or not self.repeatable:
            return []
        if self._is_sent_to_shedding_pool(now):
            return []
        action = self._next_attempt(now)
        return [action] if action is not None else []

    def on_client_disconnected(self, now: int) -> list[Action]:
        """Cancel all attempts after the client has closed its connection."""
        self.is_done = True
        return self._cancel_all(now)

    def _ended_by_client(self, now: int, number: int, server: Server, outcome: AttemptOutcome) -> bool:
        """Return whether an attempt ended for reasons of its client, which say nothing about the server.

        That is so if the request's time-out was too short to judge the server, or if the client disconnected
        while its response was being streamed.
        """
        took_us = now - self.sent_at[number]
        if outcome is AttemptOutcome.CANCELLED:
            return number in self.response_began_at
        if outcome is AttemptOutcome.NO_CONNECTION:
            return took_us >= self.short_connect_timeouts_us.get(number, took_us + 1)
        if outcome not in UNANSWERED_OUTCOMES or now < self.deadline - SERVER_MARGIN_MS * 1000:
            return False
        return not self.context.selector.is_attributable_timeout(server.instance, took_us)

    def _region_pool(self, server: Server) -> RegionPool:
        return RegionPool(self.service, self.context.selector.region_of(server))

    def _is_sent_to_shedding_pool(self, now: int) -> bool:
        """Return whether a pool that this request was sent to lacks capacity for more urgent requests."""
        pools = {self._region_pool(server) for server in self.open_attempts.values()} | self.saturated_pools
        return any(self.context.shedders.is_shedding(now, pool, self.urgency) for pool in pools)

    def _report_capacity(self, now: int, served_by: Server | None = None) -> None:
        """Report to load shedding whether this request found capacity.

        :param served_by: the server whose response is forwarded, if any
        """
        shedders = self.context.shedders
        if self.lacked_capacity:
            allowed = allowed_regions(self.route, self.tenant)
            regions = self.context.selector.regions_of(self.service, allowed)
            pools = self.saturated_pools or {RegionPool(self.service, region) for region in regions}
            for pool in pools:
                shedders.on_ended(now, pool, self.urgency, lacked_capacity=True)
        elif served_by is not None:
            shedders.on_ended(now, self._region_pool(served_by), self.urgency, lacked_capacity=False)

    def _forward(self, now: int, number: int, server: Server) -> list[Action]:
        """Forward the response of one attempt and cancel all others."""
        self._report_capacity(now, served_by=server)
        self.is_done, self.forwarded_attempt = True, number
        return [*self._cancel_all(now, except_number=number), ForwardResponse(number)]

    def _cancel_all(self, now: int, except_number: int | None = None) -> list[Action]:
        """Cancel all in-flight attempts, except for the one numbered `except_number`."""
        cancelled = [number for number in self.open_attempts if number != except_number]
        for number in cancelled:
            server = self.open_attempts.pop(number)
            self._report_to_rollouts(number, server, None, 0)
            self._add_event(
                self.context.selector.on_ended(
                    now, server.instance, AttemptOutcome.CANCELLED, now - self.sent_at[number]
                )
            )
        return [CancelAttempt(number) for number in cancelled]

    def _next_attempt(self, now: int) -> SendAttempt | None:
        """Return one more attempt; None if the deadline, the limits or the retry budget do not allow it."""
        if now >= self.deadline or self.attempts >= self.route.max_attempts + MAX_UNDELIVERED_ATTEMPTS:
            return None
        if self.delivered_attempts >= self.route.max_attempts:
            return None
        allowed = allowed_regions(self.route, self.tenant)
        server = self.context.selector.choose(
            now, self.service, allowed, self.tried_servers, self._failure_cost_us(now)
        )
        if server is None:
            return None
        if self.delivered_attempts and not self.context.retry_budget.take_attempt(
            now,
            self.service,
            leave_reserve=self._is_sent_to_shedding_pool(now),
        ):
            return None
        return self._send(now, server)

    def _failure_cost_us(self, now: int) -> int:
        """Return the cost of a failed attempt (us): the remaining time, or 0 if the request is repeatable."""
        return 0 if self.repeatable else self.deadline - now

    def _send(self, now: int, server: Server) -> SendAttempt:
        """Record a new attempt and return the action that sends it to a server."""
        number = self.attempts
        self.attempts += 1
        self.delivered_attempts += 1
        self.tried_servers.add(server.instance)
        self.open_attempts[number], self.sent_at[number] = server, now
        selector = self.context.selector
        selector.on_sent(now, server.instance)
        if self.context.rollouts.active:
            self.context.rollouts.on_sent(now, self._attempt_key(number, server))
        remaining_us = self.deadline - now
        is_local_region = selector.region_of(server) == selector.region
        headers = [
            ("Host", self.host),
            *self.forwarded_headers,
            (ATTEMPT_ID, self.id),
            (TIME_REMAINING, str(max(1, remaining_us // 1000 - SERVER_MARGIN_MS))),
            (TARGET_INSTANCE, server.instance),
        ]
        if self.tenant is not None:
            headers.append((SUBSCRIBER, self.tenant.name))
        connect_timeout_us = LOCAL_CONNECT_TIMEOUT_US if is_local_region else REMOTE_CONNECT_TIMEOUT_US
        if remaining_us // CONNECT_TIMEOUT_DIVISOR < connect_timeout_us:
            connect_timeout_us = self.short_connect_timeouts_us[number] = (
                remaining_us // CONNECT_TIMEOUT_DIVISOR
            )
        return SendAttempt(number, server, headers, connect_timeout_us, self.deadline, not self.repeatable)

    def _give_up(self, now: int) -> list[Action]:
        """Forward a server's 5xx response if there is one; otherwise reject the request."""
        if self.failed_response is not None and self.failed_server is not None:
            return self._forward(now, self.failed_response, self.failed_server)
        self._report_capacity(now)
        if not self.may_have_run:
            return self._reject(ErrorCode.NOT_EXECUTED, "no server took it")
        self.is_done = True
        is_late = now >= self.deadline
        code = ErrorCode.DEADLINE_EXCEEDED if is_late else ErrorCode.MAYBE_EXECUTED
        return [
            Reject(
                Error(
                    code,
                    "no answer in time" if is_late else "a server took it and gave no answer",
                )
            )
        ]

    def _reject(self, code: ErrorCode, text: str) -> list[Action]:
        """Reject a request that has not been executed, with a randomised time after which to retry."""
        self.is_done = True
        retry_after_us = int(self.route.target_ms * 100 * (0.5 + self.context.rng.random()))
        return [Reject(Error(code, text, max(10_000, retry_after_us)))]

    def _add_event(self, event: LogEvent | None) -> None:
        if event is not None:
            self.events.append(event)
