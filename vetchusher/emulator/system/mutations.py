"""Mutations of the whole system, each of which disables a safeguard.

The tests prove with them that the judge detects the resulting faults.
"""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Any
from unittest import mock

from returns.result import Failure, Result, Success

from vetchusher.control import EvacuationOrder
from vetchusher.control import state as control_state
from vetchusher.discovery import reader
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import Source, SourceUpdate
from vetchusher.distribution.stamps import ZERO_STAMP
from vetchusher.distribution.subscriber import Contact, SendPull, Subscriber, SubscriberOutput
from vetchusher.errors import Error, ErrorCode
from vetchusher.node import (
    api_calls,
    control_node,
    edge_node,
    leader_roles,
    order_service,
    proxied_request,
    proxy,
)
from vetchusher.node.attempts import AttemptResult
from vetchusher.quota.local_quota import LocalQuota
from vetchusher.quota.retry_budget import RetryBudget
from vetchusher.routing import claims, context, headers, request, server_selection

from . import world

REAL_APPLY, REAL_UPDATE_USABLE = Source.apply, server_selection.ServerSelector._update_usable
REAL_COORDINATOR_FOR = leader_roles.LeaderRoles.coordinator_for
REAL_ON_ATTEMPT_REPORT = proxied_request.ProxiedRequest.on_attempt_report
REAL_APPLY_EVACUATION = control_state.apply_evacuation
REAL_ON_CONFIGURATION = edge_node.EdgeNode.on_configuration
REAL_ON_IN_FORCE_REPLY = Subscriber._on_in_force_reply
REAL_COLD_TIME = reader.ServerListReader._cold_time
FAR_FUTURE_US = 1 << 61


def apply_any_update(self: Source, update: SourceUpdate) -> bool:
    """Apply an update of a source even if it is older."""
    if update.is_snapshot:
        self.stamp, self.rows, self.removed = ZERO_STAMP, {}, {}
    return REAL_APPLY(self, update)


def apply_any_version(self: edge_node.EdgeNode, now: int) -> None:
    """Apply the configuration even if it is older than the present one."""
    self.version, self.configuration_digest = 0, b""
    REAL_ON_CONFIGURATION(self, now)


def pull_if_different(self: Subscriber, now: int, ip: str, vector: Any) -> list[SubscriberOutput]:
    """Pull all sources from any peer whose vector differs, even if it is older."""
    if self.pull_in_flight is not None or all(
        vector.get(name, ZERO_STAMP) == source.stamp for name, source in self.sources.items()
    ):
        return []
    self.last_pull_number += 1
    self.pull_in_flight = (self.last_pull_number, ip, now)
    empty_vector = [wire.SourceAt(source=name) for name in self.sources]
    return [SendPull(ip, self.last_pull_number, wire.Pull(vector=empty_vector))]


def apply_any_evacuation(state: wire.ControlState, order: EvacuationOrder) -> Any:
    """Apply an evacuation order without checking which order it follows."""
    return REAL_APPLY_EVACUATION(state, dataclasses.replace(order, previous_order=None))


def use_previous_response(self: proxied_request.ProxiedRequest, result: AttemptResult) -> None:
    """Take the response to the request before as the response to this one, as if matched by order."""
    waiting = vars(self.host).setdefault("waiting", [])
    if result.response is not None:
        waiting.append(result.response)
        if len(waiting) > 1:
            result = dataclasses.replace(result, response=waiting.pop(0))
    REAL_ON_ATTEMPT_REPORT(self, result)


def restart_totals(self: leader_roles.LeaderRoles, epoch: int, now: int) -> Any:
    """Create a new quota coordinator instead of resuming the paused one."""
    self.paused_quota_coordinator = None
    return REAL_COORDINATOR_FOR(self, epoch, now)


def use_draining_servers(self: server_selection.ServerSelector) -> None:
    """Treat draining servers as usable."""
    REAL_UPDATE_USABLE(self)
    for server_state in self.server_states.values():
        if server_state.server.draining:
            regions = self.usable.setdefault(server_state.server.service, {})
            regions.setdefault(server_state.region, []).append(server_state)


def publish_first_cold_time(
    self: reader.ServerListReader, known: Any, left_ms: int, timing: reader.ReadTiming
) -> Any:
    """Publish a server's first cold time only."""
    return REAL_COLD_TIME(self, known, left_ms if known is None else 0, timing)


def refuse_unknown_zone(self: order_service.OrderService, zone: str) -> Result[Any, Error]:
    """Refuse an unknown zone without checking that the settings are current."""
    return Failure(Error(ErrorCode.NOT_FOUND, zone))


def accept_any_vector(
    self: Subscriber, contact: Contact, sent_at: int, answer: wire.HeartbeatReply, vector: Any
) -> None:
    """Accept an in-force vector even if it is older than the last one."""
    contact.in_force_vector = {}
    REAL_ON_IN_FORCE_REPLY(self, contact, max(sent_at, contact.last_in_force_at), answer, vector)


def extend_freshness(self: proxy.Proxy, until: int) -> None:
    """Stay fresh until the next check says otherwise."""
    self.context.fresh_until = FAR_FUTURE_US if until >= self.now() else -1


MUTATIONS: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "what may have run is sent again": (
        (request, "next_step", lambda seen, repeatable: claims.next_step(seen, True)),
    ),
    "what may have run is promised not to": (
        (
            request.Request,
            "_give_up",
            lambda self, now: self._reject(ErrorCode.NOT_EXECUTED, "no server took it"),
        ),
    ),
    "a cold server's new owner does not wait": ((reader, "OWNER_WAIT_US", 0),),
    "a second cold time is not published": (
        (reader.ServerListReader, "_cold_time", publish_first_cold_time),
    ),
    "a cold owner has no lease": ((edge_node, "OWNER_LEASE_US", 1 << 61),),
    "any ingress may send to a cold server": (
        (server_selection.ServerSelector, "_is_cold", lambda self, now, server_state: False),
    ),
    "an ingress takes older news": (
        (Source, "apply", apply_any_update),
        (Subscriber, "_pull_if_behind", pull_if_different),
        (edge_node.EdgeNode, "on_configuration", apply_any_version),
    ),
    "denied while not fresh": (
        (context.RoutingContext, "rejection", lambda self, now, kind, text: Error(kind, text)),
    ),
    "the drained are used": ((server_selection.ServerSelector, "_update_usable", use_draining_servers),),
    "extra tries without a budget": (
        (RetryBudget, "take_attempt", lambda self, now, service, leave_reserve=False: True),
    ),
    "totals begin anew with a regained lease": (
        (leader_roles.LeaderRoles, "coordinator_for", restart_totals),
    ),
    "quotas are not judged": ((LocalQuota, "admit", lambda self, now, tenant: True),),
    "answers are not told by their ids": (
        (proxied_request.ProxiedRequest, "on_attempt_report", use_previous_response),
    ),
    "keys go along to servers": (
        (request, "request_headers", lambda given, keyed: headers.request_headers(given, keyed=False)),
    ),
    "homes are not heeded": ((request, "allowed_regions", lambda route, tenant: None),),
    "evacuations are not heeded": ((edge_node, "evacuated_zones", lambda rows: frozenset()),),
    "a reading leaves whatever came meanwhile": (
        (api_calls.GuardedOutcome, "checked_at_send", lambda self: self.outcome),
    ),
    "a reading passed on has no age": ((order_service, "FORWARDED_ANSWER_TTL_US", FAR_FUTURE_US),),
    "a refusal drawn from old settings": ((order_service.OrderService, "unknown_zone", refuse_unknown_zone),),
    "a directory's answer has no age": ((control_node, "RESOLUTION_TTL_US", FAR_FUTURE_US),),
    "messages leave however late": ((control_node, "MAX_SEND_DELAY_US", FAR_FUTURE_US),),
    "a late vector lowers what was told": ((Subscriber, "_on_in_force_reply", accept_any_vector),),
    "freshness stands still with the process": ((proxy.Proxy, "set_fresh_until", extend_freshness),),
    "a cut-off machine vouches": ((control_node.ControlNode, "is_in_force", lambda self, now: True),),
    "an order of evacuation bears no number": ((control_state, "apply_evacuation", apply_any_evacuation),),
    "what was held up is passed on": ((order_service, "MAX_EVACUATION_DELAY_US", 1 << 61),),
    "disks that sync nothing": ((world.Machine, "save", lambda self, state: Success(None)),),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply the mutation of that name within the context; an unknown name changes nothing."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in MUTATIONS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
