"""State machine of the load balancer: applies one event and returns the effects to carry out.

All state changes of the process happen here. The reducer enforces rules that hold whatever the policy
decides: one final answer per request, one outcome per attempt, and no attempt for a request that is already
answered. It does no I/O and does not know HTTP.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from vetchusher import interface as api
from vetchusher.fleet.maintenance import Exclusions
from vetchusher.policy import AdmissionPolicy

from . import effects as fx

# Retry-After of requests that arrive while the process is full or has no server list.
REJECTION_RETRY_AFTER_US = 200_000
FAILED_TIMER_RETRY_US = 100_000  # delay after which a timer whose handling failed fires again
SHARED_WORK_TIMER_TOKEN = 8 << 60  # the policy's own timer tokens are below this value


SHARED_WORK_MESSAGE_KIND = b"\x03"  # first byte of the peer messages that do not concern quotas


class RoleEvents(Protocol):
    """Handler of operator requests and of events from the voting lock, report sink and lease engine.

    Implemented by `vetchusher.duties.work.DutiesWork`. `now` is in microseconds everywhere.
    """

    def start_voting(self, now: int, memory: list[Any] | None) -> None:
        """Start voting, with the state saved by the previous process or None."""
        ...

    def stop_voting(self, now: int) -> list[Any]:
        """Stop voting and return the voter state to save."""
        ...

    def delivered(self, now: int, period: int, known: int, token: int) -> None:
        """Handle the sink's acknowledgement: the highest period and token that it knows."""
        ...

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]:
        """Hand the role `name` to peer `to`; return the reason of a refusal (empty if accepted) and
        actions.
        """
        ...

    def drain(self, now: int, free: bool) -> list[api.Action]:
        """Keep this process free of roles, or allow roles again."""
        ...

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]:
        """Handle the lease engine's answer to a call; None if there was no usable one."""
        ...


class SharedWork(Protocol):
    """Work that the load balancers of a site share.

    Implemented by `vetchusher.datagrams.parts.SharedWork`. `now` and `tick_us` are in microseconds.
    """

    tick_us: int

    @property
    def duties(self) -> RoleEvents:
        """The handler of role events."""
        ...

    def tick(self, now: int) -> list[api.Action]:
        """Return the actions due at `now`; called every `tick_us`."""
        ...

    def receive_datagram(self, now: int, sender: int, data: bytes) -> list[api.Action]:
        """Handle a message from peer number `sender`."""
        ...

    def stop(self, now: int) -> list[api.Action]:
        """Handle the request to shut down; the process still serves open requests."""
        ...

    def on_exit(self, now: int) -> list[api.Action]:
        """Handle the end of the process."""
        ...

    def serving_change(self, now: int) -> tuple[int, ...] | None:
        """Return the numbers of the live gateways if they changed, else None."""
        ...


@dataclass(slots=True)
class Request:
    """A request from its arrival until it is answered and its last attempt has ended."""

    expires_at: int
    class_id: int = 0
    attempt_count: int = 0
    in_flight: set[int] = field(default_factory=set)
    answered: bool = False
    has_final_units: bool = False  # the units actually consumed were reported to the policy


@dataclass(slots=True)
class RequestCounts:
    """Counters since the start of the process: one list per outcome, indexed by request class."""

    served: list[int]
    rejected: list[int]
    failed: list[int]
    attempts: int = 0  # attempts whose request was written completely

    @classmethod
    def zeros(cls, class_count: int) -> RequestCounts:
        """Return counters of 0 for `class_count` request classes."""
        return cls([0] * class_count, [0] * class_count, [0] * class_count)


class Reducer:
    """Holds the open requests and translates between events, policy decisions and effects."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        settings: api.Settings,
        max_open_requests: int,
        excluded: frozenset[int] = frozenset(),
        shared_work: SharedWork | None = None,
    ) -> None:
        """Start without requests and without a server list.

        :param max_open_requests: requests beyond this number are rejected
        :param excluded: ids of servers that operators had excluded in the previous process
        :param shared_work: work shared with the other load balancers; None where it is off
        """
        self.shared_work = shared_work
        self.policy = policy
        self.settings = settings
        self.max_open_requests = max_open_requests
        self.requests: dict[int, Request] = {}
        self.has_ready_server = False  # the server list has held a server that accepts requests
        self.has_server_list = False
        self.stopping = False
        self.obsolete_attempts: list[api.AttemptEnded] = []
        self.counts = RequestCounts.zeros(len(settings.classes))
        self.exclusions = Exclusions(excluded)

    def skipped_servers(self) -> int:
        """Return how many listed servers get no requests: excluded by operators or ejected by the policy."""
        return self.exclusions.excluded_count() + self.policy.fleet.ejected_count

    def open_request_count(self) -> int:
        """Return the number of requests that are accepted and not yet answered."""
        return sum(not request.answered for request in self.requests.values())

    @property
    def ready(self) -> bool:
        """Whether the readiness check succeeds: servers are known and the process is not shutting down."""
        return self.has_ready_server and self.has_server_list and not self.stopping

    def apply(self, now: int, event: fx.Event) -> list[fx.Effect]:
        """Apply one event at `now` (microseconds) and return the effects to carry out, in order."""
        effects: list[fx.Effect] = []
        kind = type(event)
        if kind is fx.RequestReceived:
            self.request_received(now, event, effects)  # type: ignore[arg-type]
        elif kind is fx.AttemptEnded:
            self.attempt_ended(now, event, effects)  # type: ignore[arg-type]
        elif kind is fx.TimerDue:
            token = event.token  # type: ignore[union-attr]
            if token == SHARED_WORK_TIMER_TOKEN and self.shared_work is not None:
                effects.append(fx.StartTimer(now + self.shared_work.tick_us, SHARED_WORK_TIMER_TOKEN))
                self.translate_actions(now, self.shared_work.tick(now), effects)
                if (live_gateways := self.shared_work.serving_change(now)) is not None:
                    self.run_policy(now, api.LiveGatewaysChanged(live_gateways), effects)
            elif not self.run_policy(now, api.TimerFired(token), effects):
                # The policy's periodic timer re-arms itself; if lost once, quotas would never be pushed
                # again.
                effects.append(fx.StartTimer(now + FAILED_TIMER_RETRY_US, token))
        elif isinstance(event, fx.CounterReplied):
            self.run_policy(
                now, api.CounterAnswered(event.name, event.outcome, event.latency, event.total), effects
            )
        elif isinstance(event, fx.PeerMessageReceived):
            if self.shared_work is not None and event.data[:1] == SHARED_WORK_MESSAGE_KIND:
                self.translate_actions(
                    now, self.shared_work.receive_datagram(now, event.peer, event.data), effects
                )
            else:
                self.run_policy(now, api.PeerMessage(event.peer, event.data), effects)
        elif isinstance(event, fx.ClientDisconnected):
            self.client_disconnected(now, event.request_id, effects)
        elif isinstance(event, fx.ServerListChanged):
            change = self.exclusions.apply_to(event.change)
            self.run_policy(now, change, effects)
            ready = any(e.state == api.WorkerState.READY for e in change.entries)
            self.has_ready_server = self.has_ready_server or ready
        elif isinstance(event, fx.MaintenanceRequested):
            self.maintenance_requested(now, event, effects)
        elif isinstance(event, fx.ServerListLoaded):
            self.has_server_list = True
        elif isinstance(event, fx.StopRequested | fx.ProcessEnding):
            self.stopping = True
            if self.shared_work is not None:
                handler = (
                    self.shared_work.on_exit if isinstance(event, fx.ProcessEnding) else self.shared_work.stop
                )
                self.translate_actions(now, handler(now), effects)
        elif self.shared_work is not None:
            self.role_event(now, self.shared_work.duties, event, effects)
        return effects

    def role_event(self, now: int, roles: RoleEvents, event: fx.Event, effects: list[fx.Effect]) -> None:
        """Pass an event about singleton roles on to their handler."""
        if isinstance(event, fx.VotingStarted):
            roles.start_voting(now, event.voter_state)
        elif isinstance(event, fx.VotingStopped):
            effects.append(fx.SaveVoterState(roles.stop_voting(now)))
        elif isinstance(event, fx.ReportAcknowledged):
            roles.delivered(now, event.period, event.latest_period, event.token)
        elif isinstance(event, fx.LeaseEngineAnswered):
            self.translate_actions(now, roles.engine_answered(now, event.call, event.answer), effects)
        elif isinstance(event, fx.RoleChangeRequested):
            reason = ""
            if event.operation == "move":
                reason, actions = roles.move(now, event.name, event.target_peer)
            else:
                actions = roles.drain(now, event.free)
            self.translate_actions(now, actions, effects)
            effects.append(fx.OperatorAnswer(event.call, not reason, reason))

    def maintenance_requested(
        self, now: int, event: fx.MaintenanceRequested, effects: list[fx.Effect]
    ) -> None:
        """Exclude a server or include it again.

        An exclusion takes precedence over the server list until it is revoked. A server id that no list has
        named is refused.
        """
        if event.exclude:
            change = self.exclusions.exclude(event.server)
        else:
            change = self.exclusions.include(event.server, now)
        effects.append(fx.OperatorAnswer(event.call, change is not None))
        if change is None:
            return
        if change.entries:
            self.run_policy(now, change, effects)
        effects.append(fx.SaveExclusions(tuple(sorted(self.exclusions.excluded))))

    def request_received(self, now: int, event: fx.RequestReceived, effects: list[fx.Effect]) -> None:
        """Open a request and let the policy decide on it; reject it if full or without servers."""
        # No attempt has been made, so a rejection ("not started") is correct for every class.
        if not self.has_ready_server or len(self.requests) >= self.max_open_requests:
            retry_after = (
                min(REJECTION_RETRY_AFTER_US, self.settings.max_retry_after) * self.settings.retry_after
            )
            self.counts.rejected[event.class_id] += 1
            effects.append(fx.SendRejection(event.request_id, retry_after))
            return
        self.requests[event.request_id] = Request(event.expires_at, event.class_id)
        arrival = api.RequestArrived(
            event.request_id,
            event.class_id,
            event.plan_id,
            event.customer,
            event.expires_at - now,
            event.units,
            event.gateways,
            event.first_gateway,
            event.flags,
        )
        if not self.run_policy(now, arrival, effects):
            self.fail_request(event.request_id, effects)

    def attempt_ended(self, now: int, event: fx.AttemptEnded, effects: list[fx.Effect]) -> None:
        """Record an attempt's outcome, send a good answer to the client and let the policy react."""
        request = self.requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return  # the outcome of this attempt was reported before
        request.in_flight.discard(event.attempt)
        self.counts.attempts += event.outcome != api.Outcome.CONNECT_FAILED
        if event.outcome == api.Outcome.OK and not request.answered:
            request.answered = True
            self.counts.served[request.class_id] += 1
            effects.append(fx.SendAnswer(event.request_id, event.answer))
        ended = api.AttemptEnded(
            event.request_id, event.attempt, event.server, event.outcome, event.latency, request.answered
        )
        if event.final_units and event.outcome == api.Outcome.OK and not request.has_final_units:
            # The answer to a duplicate attempt states the units again, and a quota must count them once.
            request.has_final_units, ended.final_units = True, event.final_units
        handled = self.run_policy(now, ended, effects)
        if not handled or not (request.answered or request.in_flight):
            # The policy failed, or left the request without any attempt in flight.
            self.fail_request(event.request_id, effects)
        self.remove_if_finished(event.request_id)

    def client_disconnected(self, now: int, request_id: int, effects: list[fx.Effect]) -> None:
        """Close a request whose client is gone before its answer."""
        request = self.requests.get(request_id)
        if request is None or request.answered:
            return
        request.answered = True  # there is no client to answer
        if not self.run_policy(now, api.ClientDisconnected(request_id), effects):
            self.fail_request(request_id, effects)
        self.remove_if_finished(request_id)

    def fail_request(self, request_id: int, effects: list[fx.Effect]) -> None:
        """Answer a request with a failure and cancel its attempts.

        It is not answered with a rejection: that would say that a retry is harmless, which is unknown here.
        """
        request = self.requests.get(request_id)
        if request is None:
            return
        if not request.answered:
            request.answered = True
            self.counts.failed[request.class_id] += 1
            effects.append(fx.SendFailure(request_id))
        effects.extend(fx.CancelAttempt(request_id, attempt) for attempt in sorted(request.in_flight))
        self.remove_if_finished(request_id)

    def remove_if_finished(self, request_id: int) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        request = self.requests.get(request_id)
        if request is not None and request.answered and not request.in_flight:
            del self.requests[request_id]

    def run_policy(self, now: int, event: api.Event, effects: list[fx.Effect]) -> bool:
        """Let the policy handle an event; return False if it raised an error.

        The error is logged and does not affect other requests.
        """
        try:
            self.translate_actions(now, self.policy.handle(now, event), effects)
            while self.obsolete_attempts:
                self.translate_actions(now, self.policy.handle(now, self.obsolete_attempts.pop(0)), effects)
        except Exception as err:
            self.obsolete_attempts.clear()
            error = f"{type(err).__name__}: {err}"
            effects.append(fx.WriteLog(f"decision failed on {type(event).__name__}: {error}"))
            return False
        return True

    def translate_actions(self, now: int, actions: Iterable[api.Action], effects: list[fx.Effect]) -> None:
        """Append the effects of the policy's actions to `effects`."""
        for action in actions:
            kind = type(action)
            if kind is api.Send:
                self.start_attempt(now, action, effects)  # type: ignore[arg-type]
            elif kind is api.SetTimer:
                effects.append(fx.StartTimer(now + action.delay, action.token))  # type: ignore[union-attr]
            elif isinstance(action, api.Count):
                expires_at = now + self.settings.counter_timeout
                effects.append(fx.CallCounter(action.name, action.amount, action.lifetime, expires_at))
            elif isinstance(action, api.Refuse | api.Fail):
                request = self.requests.get(action.request)
                if request is not None and not request.answered:
                    request.answered = True
                    if isinstance(action, api.Refuse):
                        retry_after = min(action.retry_after, self.settings.max_retry_after)
                        self.counts.rejected[request.class_id] += 1
                        effects.append(fx.SendRejection(action.request, retry_after))
                    else:
                        self.counts.failed[request.class_id] += 1
                        effects.append(fx.SendFailure(action.request))
                    self.remove_if_finished(action.request)
            elif isinstance(action, api.Cancel):
                request = self.requests.get(action.request)
                if request is not None and action.attempt in request.in_flight:
                    effects.append(fx.CancelAttempt(action.request, action.attempt))
            elif isinstance(action, api.SendDatagram):
                effects.append(fx.SendToPeer(action.data, action.peer))
            elif isinstance(action, api.CallLeaseEngine):
                effects.append(
                    fx.CallLeaseEngine(action.call, action.path, action.body, now + action.timeout)
                )
            elif isinstance(action, api.DeliverReport):
                effects.append(fx.DeliverReport(action.period, action.record))
            elif isinstance(action, api.Log):
                effects.append(fx.WriteLog(action.text, action.facts))
            # SubscribeFleet and FetchFleet have no effect here: the watch on the server list always runs.

    def start_attempt(self, now: int, action: api.Send, effects: list[fx.Effect]) -> None:
        """Start an attempt, or report it to the policy as obsolete if the request may have no further one."""
        request = self.requests.get(action.request)
        number = request.attempt_count if request is not None else 0
        is_answered = request is None or request.answered
        if (
            request is None
            or request.answered
            or now >= request.expires_at
            or number >= self.settings.max_attempts
        ):
            if request is not None:
                request.attempt_count += 1
            self.obsolete_attempts.append(
                api.AttemptEnded(action.request, number, action.worker, api.Outcome.OBSOLETE, 0, is_answered)
            )
            return
        request.attempt_count += 1
        request.in_flight.add(number)
        expires_at = request.expires_at
        if action.timeout:
            expires_at = min(expires_at, now + action.timeout)
        effects.append(fx.StartAttempt(action.request, number, action.worker, expires_at))
