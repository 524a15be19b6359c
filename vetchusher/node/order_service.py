"""Executes operators' orders: the leader commits them, any other control node forwards them once to it.

Answers that depend on state (reads, and rejections that are final) are guarded: they are checked again when
they are sent, because this machine may be paused at any point between decision and answer, and another one
may become leader meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from returns.result import Failure, Result, Success

from vetchusher import control
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import Error, ErrorCode

from .api_calls import (
    ApiCall,
    ApiResult,
    ConfigurationReplaced,
    ConfigurationRetrieved,
    EvacuationSet,
    GuardedOutcome,
    InitiateEvacuation,
    InitiateRollout,
    ReplaceConfiguration,
    RetrieveConfiguration,
    RetrieveRollout,
    RolloutInitiated,
    RolloutRetrieved,
    TerminateEvacuation,
)
from .configuration_parser import ConfigurationParser
from .context import NodeContext
from .peer_network import Channel

FORWARD_TIMEOUT_S = 2.5  # longest wait for the leader's answer to a forwarded order
FORWARDED_ANSWER_TTL_US = 1_000_000  # an answer is not sent later than this after the order was forwarded
MAX_EVACUATION_DELAY_US = 900_000  # an evacuation is not forwarded later than this after it was received
RETRY_AFTER_US = 300_000  # sent to a caller while no leader answers
DISK_RETRY_AFTER_US = (
    500_000  # sent while disk writes fail; the interval is that of `Timing.persist_retry_us`
)

# States of a roll-out as operators receive them.
STATE_NAMES = {
    wire.IN_PROGRESS: "in_progress",
    wire.PROMOTING: "in_progress",
    wire.COMPLETED: "completed",
    wire.REVERTED: "reverted",
}

Outcome = Result[ApiResult, Error] | GuardedOutcome


class OrderHost(Protocol):
    """What an order service needs of the control node that it belongs to."""

    def feed(self, event: control.Input) -> None:
        """Pass an input to the replica."""

    def is_in_force(self, now: int) -> bool:
        """Return whether the state published here was the newest committed one a moment ago."""

    def disk_failure(self) -> str:
        """Return why the last write to disk failed; empty if it did not fail."""

    def knows_service(self, name: str) -> bool:
        """Return whether the configuration published here defines a service."""


class OrderService:
    """Owner of the orders that wait for the replica's answer, by the id under which they were submitted."""

    def __init__(
        self,
        context: NodeContext,
        replica: control.Replica,
        parser: ConfigurationParser,
        host: OrderHost,
    ) -> None:
        """Begin without orders."""
        self.context = context
        self.replica = replica
        self.parser = parser
        self.host = host
        self.pending: dict[int, asyncio.Future[Result[bytes, Error]]] = {}
        self.next_order_id = 1

    # -- calls of operators ------------------------------------------------------------------------

    async def execute(self, call: ApiCall) -> Outcome:
        """Execute an operator's call."""
        match call:
            case ReplaceConfiguration(body):
                return await self.replace_configuration(body)
            case RetrieveConfiguration():
                message = wire.OrderAsked(retrieve=wire.RetrieveConfiguration())
                decided = await self.commit_or_forward(control.RetrieveOrder(), message)
                return GuardedOutcome(decided.outcome.map(ConfigurationRetrieved), decided.still_valid)
            case InitiateEvacuation(zone):
                return await self.set_evacuation(zone, on=True)
            case TerminateEvacuation(zone):
                return await self.set_evacuation(zone, on=False)
            case InitiateRollout():
                return await self.initiate_rollout(call)
            case RetrieveRollout(service):
                return await self.retrieve_rollout(service)
        return Failure(Error(ErrorCode.NOT_FOUND, "no such call"))

    async def replace_configuration(self, body: bytes) -> Outcome:
        """Validate a configuration completely, then commit it."""
        parsed = await self.parser.parse(body)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        order = control.ReplaceOrder(parsed.unwrap().version, body)
        message = wire.OrderAsked(replace=wire.ReplaceConfiguration(body=body))
        return acknowledged(await self.commit_or_forward(order, message), ConfigurationReplaced())

    async def set_evacuation(self, zone: str, *, on: bool) -> Outcome:
        """Begin or end the evacuation of a zone."""
        if zone not in self.context.settings.zones:
            return self.unknown_zone(zone)
        message = wire.OrderAsked(evacuate=wire.Evacuate(zone=zone, on=on))
        decided = await self.commit_or_forward(control.EvacuationOrder(zone, on), message)
        return acknowledged(decided, EvacuationSet(zone, on))

    async def initiate_rollout(self, call: InitiateRollout) -> Outcome:
        """Begin a roll-out of a service that the configuration in force names."""
        if not self.host.knows_service(call.service):
            # Safety: callers do not retry after a 4xx. A machine that is cut off may hold an older
            # configuration, so it rejects only while the one published here is in force.
            unknown = Failure(Error(ErrorCode.INVALID_ORDER, f"rollout.service: no service {call.service}"))
            return GuardedOutcome(unknown, lambda: self.host.is_in_force(self.context.now()))
        order = control.RolloutOrder(call.service, call.target_version, call.duration_ms)
        message = wire.InitiateRollout(
            service=call.service, target_version=call.target_version, duration_ms=call.duration_ms
        )
        decided = await self.commit_or_forward(order, wire.OrderAsked(initiate_rollout=message))
        return acknowledged(decided, RolloutInitiated())

    async def retrieve_rollout(self, service: str) -> Outcome:
        """Read the state of a service's roll-out."""
        message = wire.OrderAsked(retrieve_rollout=wire.RetrieveRollout(service=service))
        decided = await self.commit_or_forward(control.RetrieveRolloutOrder(service), message)
        return GuardedOutcome(decided.outcome.bind(rollout_result), decided.still_valid)

    def unknown_zone(self, zone: str) -> GuardedOutcome:
        """Reject a zone that the settings do not name.

        Safety: callers do not retry after a 404. The settings of a machine that is cut off may be older than
        the zone, so it rejects only while the state published here is in force.
        """
        unknown = Failure(Error(ErrorCode.NOT_FOUND, f"no zone {zone}"))
        return GuardedOutcome(unknown, lambda: self.host.is_in_force(self.context.now()))

    async def commit_or_forward(self, order: control.Order, message: wire.OrderAsked) -> GuardedOutcome:
        """Commit an order if this machine leads; otherwise forward it once.

        Safety: evacuations have no version. An order to begin one that waited at a listener while this
        process was paused may be older than an order to end it, which other machines have acknowledged
        meanwhile; an evacuation is therefore rejected after a pause.
        """
        if isinstance(order, control.EvacuationOrder) and self.replica.was_paused(self.context.now()):
            waited = Failure(Error(ErrorCode.UNAVAILABLE, "it may have waited here", RETRY_AFTER_US))
            return GuardedOutcome(waited, lambda: True)
        if self.replica.is_leader(self.context.now()):
            return await self.commit_here(order)
        forwarded_at = self.context.now()
        outcome = await self.forward(message)
        expires_at = forwarded_at + FORWARDED_ANSWER_TTL_US
        return GuardedOutcome(outcome, lambda: self.context.now() <= expires_at)

    # -- at the leader -----------------------------------------------------------------------------

    async def commit_here(self, order: control.Order) -> GuardedOutcome:
        """Commit an order in the current epoch; the outcome is valid while this machine leads that epoch."""
        epoch = self.replica.epoch
        return GuardedOutcome(await self.submit(order), lambda: self.is_leader_of(epoch))

    def is_leader_of(self, epoch: int) -> bool:
        """Return whether this machine is the leader of an epoch and its lease is valid."""
        return self.replica.is_leader(self.context.now()) and self.replica.epoch == epoch

    async def submit(self, order: control.Order) -> Result[bytes, Error]:
        """Submit an order to the replica and wait for its answer."""
        order_id, self.next_order_id = self.next_order_id, self.next_order_id + 1
        future: asyncio.Future[Result[bytes, Error]] = self.context.loop.create_future()
        self.pending[order_id] = future
        try:
            self.host.feed(control.Submitted(order_id, order))
            return (await future).alt(self.with_disk_failure)
        finally:
            del self.pending[order_id]

    def complete(self, order_id: int, outcome: Result[bytes, Error]) -> None:
        """Resolve the pending order with the replica's answer; ignored if its caller has disconnected."""
        future = self.pending.get(order_id)
        if future is not None and not future.done():
            future.set_result(outcome)

    def with_disk_failure(self, error: Error) -> Error:
        """Add the reason why disk writes fail to the error of an order that could not be committed."""
        failure = self.host.disk_failure()
        if error.code is not ErrorCode.UNAVAILABLE or not failure:
            return error
        return Error(error.code, f"{error.text}; the disk here refuses: {failure}", DISK_RETRY_AFTER_US)

    # -- forwarding --------------------------------------------------------------------------------

    async def forward(self, message: wire.OrderAsked) -> Result[bytes, Error]:
        """Forward an order to the leader and return its answer; UNAVAILABLE if there is none."""
        primary = self.replica.primary_ip
        if not primary or primary == self.context.own_ip:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no primary is known", RETRY_AFTER_US))
        reply = await self.request_leader(primary, message)
        if reply is None or reply.WhichOneof("body") != "done":
            return Failure(Error(ErrorCode.UNAVAILABLE, "no answer from the primary", RETRY_AFTER_US))
        if reply.done.kind:
            return Failure(forwarded_error(reply.done))
        return Success(reply.done.body)

    async def request_leader(self, primary: str, message: wire.OrderAsked) -> wire.Frame | None:
        """Return the leader's answer to a forwarded order; None if there is none in time.

        Safety: the caller of an evacuation may have sent the order to another machine meanwhile, and later
        orders after it. So the order carries the number of the zone's last order, which is read first: if it
        is delayed on this machine it is dropped, if it is delayed in the network the leader rejects it by
        that number.
        """
        received_at = self.context.now()
        network = self.context.network
        if message.HasField("evacuate"):
            question = wire.EvacuationNumberAsked(zone=message.evacuate.zone)
            frame = wire.Frame(order=wire.OrderAsked(evacuation_number=question))
            reply = await network.request(primary, frame, FORWARD_TIMEOUT_S)
            if reply is None or reply.WhichOneof("body") != "done" or reply.done.kind:
                return reply
            if self.context.now() >= received_at + MAX_EVACUATION_DELAY_US:
                return None
            message.evacuate.after = reply.done.number
        return await network.request(primary, wire.Frame(order=message), FORWARD_TIMEOUT_S)

    async def on_forwarded_order(self, frame: wire.Frame, channel: Channel) -> None:
        """Execute an order of another control node and reply; an order is never forwarded twice."""
        message = frame.order
        if message.HasField("evacuation_number") and self.replica.is_leader(self.context.now()):
            number = self.replica.last_evacuation_order(message.evacuation_number.zone)
            channel.reply(frame, wire.Frame(done=wire.OrderDone(number=number)))
            return
        done = wire.OrderDone()
        match await self.execute_forwarded(message):
            case Success(body):
                done.body = body
            case Failure(error):
                done.kind, done.text = error.code.value, error.text
        channel.reply(frame, wire.Frame(done=done))

    async def execute_forwarded(self, message: wire.OrderAsked) -> Result[bytes, Error]:
        """Execute an order as leader; reads and final rejections need a lease that is still valid."""
        if not self.replica.is_leader(self.context.now()):
            return Failure(Error(ErrorCode.UNAVAILABLE, "not the primary"))
        match message.WhichOneof("order"):
            case "replace":
                parsed = await self.parser.parse(message.replace.body)
                if isinstance(parsed, Failure):
                    return Failure(parsed.failure())
                order = control.ReplaceOrder(parsed.unwrap().version, message.replace.body)
                return acknowledged(await self.commit_here(order), b"").checked_at_send()
            case "retrieve":
                return (await self.commit_here(control.RetrieveOrder())).checked_at_send()
            case "evacuate":
                decided = await self.commit_here(evacuation_order(message.evacuate))
                return acknowledged(decided, b"").checked_at_send()
            case "initiate_rollout":
                request = message.initiate_rollout
                rollout = control.RolloutOrder(request.service, request.target_version, request.duration_ms)
                return acknowledged(await self.commit_here(rollout), b"").checked_at_send()
            case "retrieve_rollout":
                read = control.RetrieveRolloutOrder(message.retrieve_rollout.service)
                return (await self.commit_here(read)).checked_at_send()
        return Failure(Error(ErrorCode.UNAVAILABLE, "no such order"))


def rollout_result(encoded: bytes) -> Result[RolloutRetrieved, Error]:
    """Decode a roll-out and return it as operators receive it."""
    rollout = wire.Rollout.FromString(encoded)
    return Success(RolloutRetrieved(STATE_NAMES[rollout.state], rollout.target_version))


def forwarded_error(done: wire.OrderDone) -> Error:
    """Return the error that the leader sent.

    Safety: a code that this release does not know becomes UNAVAILABLE, so that the caller retries: it may not
    be a rejection.
    """
    code = ErrorCode(done.kind) if done.kind in set(ErrorCode) else ErrorCode.UNAVAILABLE
    return Error(code, done.text, RETRY_AFTER_US if code is ErrorCode.UNAVAILABLE else 0)


def evacuation_order(message: wire.Evacuate) -> control.EvacuationOrder:
    """Return the evacuation order in a forwarded message."""
    previous_order = message.after if message.HasField("after") else None
    return control.EvacuationOrder(message.zone, message.on, previous_order)


def acknowledged(decided: GuardedOutcome, answer: object) -> GuardedOutcome:
    """Return the answer to a change; a committed change is acknowledged even if the leader has changed."""
    if isinstance(decided.outcome, Success):
        return GuardedOutcome(Success(answer), lambda: True)
    return decided
