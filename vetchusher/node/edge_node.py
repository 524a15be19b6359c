"""An edge node: subscribes to the control nodes, proxies client requests, and reports admitted requests."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import replace

from returns.result import Failure, Result, Success

from vetchusher.directory.naming import IngressState, ListedIngress, listed_ingresses
from vetchusher.directory.neighbours import choose_neighbours, decode_locations
from vetchusher.directory.presence import CLIENT_CACHE_FACTOR, LEAVING_RATIO
from vetchusher.directory.resolver import TTL_S, Resolver, ttl_s
from vetchusher.discovery.reader import OWNER_LEASE_US, decode_row
from vetchusher.discovery.server import Server
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import DIGEST, decode_configuration, ended_evacuations, evacuated_zones
from vetchusher.distribution.source import Source, updates_for, version_vector
from vetchusher.distribution.subscriber import Subscriber, SubscriberOutput
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.quota.local_quota import LocalQuota
from vetchusher.quota.retry_budget import RetryBudget
from vetchusher.quota.windows import QuotaBounds as QuotaBounds
from vetchusher.rollout.directive import directives_of
from vetchusher.routing.rollouts import Rollouts
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.node import NodeSettings

from .api_calls import AddressesResolved, GuardedOutcome, ResolveAddresses
from .configuration_parser import MAX_INLINE_PARSE_BYTES, ConfigurationParser
from .context import NodeContext
from .peer_network import Channel
from .proxy import Proxy
from .readiness import readiness_endpoint
from .subscriber_driver import SubscriberDriver

TICK_INTERVAL_S = 0.05
PUSH_INTERVAL_S = 0.15  # between two pushes of the counts of admitted requests
PUSH_TIMEOUT_S = 0.6  # for the coordinator's answer to a push
LAST_REQUESTS_GRACE_S = 1.0  # the last part of the grace period, for requests accepted before this part
MAX_PUSHES_IN_FLIGHT = 4
ROLLOUT_REPORT_INTERVAL_S = 0.2  # between two reports on the services that are being rolled out
OVERLOAD_CHECK_INTERVAL_S = 1.0  # between two checks of load shedding and of this ingress's refusals


class EdgeNode:
    """Owns the proxy, the local side of quotas, and this ingress's copies of the published sources."""

    def __init__(
        self,
        context: NodeContext,
    ) -> None:
        """Create and connect the components; nothing runs before `run`."""
        loop, settings, network, rng = context.loop, context.settings, context.network, context.rng
        self.loop, self.settings, self.network = loop, settings, network
        self.now, self.log_event = context.now, context.log_event

        self.incarnation = rng.getrandbits(62) | 1
        self.control, self.discovery, self.directory = (
            Source("control"),
            Source("discovery"),
            Source("directory"),
        )
        self.sources = {source.name: source for source in (self.control, self.discovery, self.directory)}
        self.subscriber = Subscriber([host for host, _ in settings.seed_nodes], self.sources)
        self.subscriber_driver = SubscriberDriver(network, self.subscriber, self)
        bounds = settings.bounds
        quota = QuotaBounds(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)
        restarted_at = None if settings.first_start else context.process_began_at or context.now()
        self.quota = LocalQuota(settings.node_name, self.incarnation, bounds=quota, restarted_at=restarted_at)
        self.retry_budget = RetryBudget(
            bounds.retry_budget_ratio, int(bounds.budget_slack), bounds.budget_window_s
        )
        self.proxy = Proxy(loop, settings, rng, self.quota, self.retry_budget, context.log_event)
        self.proxy.context.rollouts = Rollouts(bounds.exposure_share)
        self.readiness = readiness_endpoint(loop, self.is_ready)
        self.servers: dict[str, tuple[bytes, Server]] = {}  # instance to its published row and parsed server
        self.resolver = Resolver(self.control)
        self.listed_ingresses: list[ListedIngress] = []  # from the published directory
        self.version = 0
        self.configuration_digest: bytes | None = b""  # `DIGEST` row of the applied configuration
        self.parser = ConfigurationParser(loop)
        self.unparsed_rows: dict[str, bytes] | None = None  # newest control rows that wait to be parsed
        self.parse_task: asyncio.Task[None] | None = None
        self.is_draining = False
        self.draining_since_s = 0.0
        self.push_tasks: set[asyncio.Task[None]] = set()
        self.last_push_at_s = 0.0
        self.overload_checked_at_s = 0.0
        self.last_rollout_report_s = 0.0

    # -- updates from the control nodes ----------------------------------------------------

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Handle a frame of another process: unsolicited vectors and totals, and a neighbour's requests."""
        kind = frame.WhichOneof("body")
        if kind == "heartbeat_reply":
            self.perform_subscriber_outputs(
                self.subscriber.on_heartbeat_reply(self.now(), frame.sender, 0, frame.heartbeat_reply)
            )
        elif kind == "totals":  # unsolicited: an alarm of the quota coordinator
            self.quota.on_alarm(self.now(), frame.totals)
        elif kind == "heartbeat":  # from a neighbour, which may be partitioned from the control nodes
            channel.reply(
                frame, wire.Frame(heartbeat_reply=wire.HeartbeatReply(vector=version_vector(self.sources)))
            )
        elif kind == "pull":
            channel.reply(frame, wire.Frame(news=updates_for(self.sources, frame.pull.vector)))

    def perform_subscriber_outputs(self, outputs: Sequence[SubscriberOutput]) -> None:
        """Send the heartbeats and pulls that the subscriber asks for."""
        self.subscriber_driver.perform(outputs)

    def heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with this ingress's current state and version vector."""
        node, address = self.settings, self.settings.listen.front
        state = wire.LEAVING if self.is_draining else wire.READY if self.is_ready() else wire.STARTING
        return wire.Heartbeat(
            node=node.node_name,
            ip=node.ip_address,
            zone=node.zone,
            region=node.region,
            front=f"{address[0]}:{address[1]}" if address else "",
            life=self.incarnation,
            standing=state,
            vector=version_vector(self.sources),
        )

    def is_ready(self) -> bool:
        """Return whether this ingress serves: it has a configuration and servers, and is not draining."""
        return self.version > 0 and bool(self.servers) and not self.is_draining

    def on_updates_applied(self, changed: set[str]) -> None:
        """Apply the rows of the sources that have changed.

        :param changed: names of the sources
        """
        now, was_ready = self.now(), self.is_ready()
        if "control" in changed:
            self.on_configuration(now)
        if "directory" in changed:
            ingresses = len(self.directory.rows)
            self.quota.set_ingresses(now, ingresses, self.settings.node_name in self.directory.rows)
            self.retry_budget.set_ingresses(ingresses)
            rows = self.directory.values()
            places, self.listed_ingresses = decode_locations(rows), listed_ingresses(rows)
            near = {name: at.zone for name, at in places.items() if at.region == self.settings.region}
            self.proxy.set_ingresses(near)
            self.proxy.context.rollouts.ingresses_in_region = max(1, len(near))
            self.subscriber.set_neighbours(
                choose_neighbours(self.settings.node_name, self.settings.region, places)
            )
        if "discovery" in changed:
            self.on_servers(now)
        self.update_freshness(now)
        if self.is_ready() and not was_ready:
            self.perform_subscriber_outputs(self.subscriber.heartbeat_all(now))

    def on_configuration(self, now: int) -> None:
        """Apply the configuration of the control source, now or once it is parsed."""
        rows = self.control.values()
        self.proxy.set_evacuations(evacuated_zones(rows), ended_evacuations(rows), now)
        self.proxy.context.set_rollouts(directives_of(rows))
        if self.parse_task is None and rows.get(DIGEST) == self.configuration_digest:
            return  # only other rows changed, such as an evacuation; this configuration is applied already
        if self.parse_task is None and sum(map(len, rows.values())) <= MAX_INLINE_PARSE_BYTES:
            self.apply_configuration(rows, decode_configuration(rows))
            return
        self.unparsed_rows = rows
        if self.parse_task is None:
            self.parse_task = self.loop.create_task(self.parse_rows())

    async def parse_rows(self) -> None:
        """Parse the newest rows in the parser's thread and apply the configuration."""
        try:
            while self.unparsed_rows is not None:
                rows, self.unparsed_rows = self.unparsed_rows, None
                found, was_ready = await self.parser.parse_rows(rows), self.is_ready()
                self.apply_configuration(rows, found)
                if self.is_ready() and not was_ready:
                    self.perform_subscriber_outputs(self.subscriber.heartbeat_all(self.now()))
        finally:
            self.parse_task = None
            self.update_freshness(self.now())

    def update_freshness(self, now: int) -> None:
        """Tell the proxy until when its configuration is known to be in force.

        While a newer one is being parsed, the applied one counts as no longer in force.
        """
        self.proxy.set_fresh_until(self.subscriber.fresh_until(now) if self.parse_task is None else now - 1)

    def apply_configuration(self, rows: Mapping[str, bytes], found: Result[Configuration, Error]) -> None:
        """Apply a parsed configuration to new requests if it is newer than the one in use."""
        now = self.now()
        match found:
            case Success(configuration) if configuration.version > self.version:
                self.version, self.configuration_digest = configuration.version, rows.get(DIGEST)
                self.proxy.set_configuration(configuration)
                self.quota.configure(now, configuration.tenants)
            case Success():
                pass
            case fault if "version" in rows:
                self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": fault.failure().text}))

    def on_servers(self, now: int) -> None:
        """Update the list of servers from the discovery source; rows that cannot be parsed are logged."""
        servers: dict[str, tuple[bytes, Server]] = {}
        for instance, value in self.discovery.values().items():
            known_row = self.servers.get(instance)
            if known_row is not None and known_row[0] == value:
                servers[instance] = known_row  # keep it: its times count from when the row was first received
                continue
            match decode_row(instance, value, now):
                case Success(server):
                    servers[instance] = (value, server)
                case fault:
                    self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": fault.failure().text}))
        self.servers = servers
        self.proxy.set_servers([server for _, server in servers.values()])

    # -- periodic work ------------------------------------------------------------------------

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Do the periodic work that is due: heartbeats, quota pushes, reports, and log events."""
        now = self.now()
        self.perform_subscriber_outputs(self.subscriber.tick(now))
        self.update_freshness(now)
        self.proxy.selector.cold_budget_until = self.subscriber.primary_contact_at(now) + OWNER_LEASE_US
        due = self.quota.push_requested or self.loop.time() - self.last_push_at_s >= PUSH_INTERVAL_S
        if due and len(self.push_tasks) < MAX_PUSHES_IN_FLIGHT:
            self.last_push_at_s = self.loop.time()
            primary, push = self.subscriber.primary(now), self.quota.next_push(now)
            if primary and push is not None:
                task = self.loop.create_task(self.push_counts(primary, push))
                self.push_tasks.add(task)
                task.add_done_callback(self.push_tasks.discard)
        self.report_rollouts(now)
        totals_fields = self.quota.log_fields(now)
        if totals_fields is not None:
            self.log_event(
                LogEvent(
                    Event.QUOTA_TOTALS_COMPLETE
                    if self.quota.had_complete_totals
                    else Event.QUOTA_TOTALS_STALE,
                    totals_fields,
                )
            )
        if self.loop.time() - self.overload_checked_at_s >= OVERLOAD_CHECK_INTERVAL_S:
            self.overload_checked_at_s = self.loop.time()
            self.log_overload(now)
        self.network.keep_peers({*self.subscriber.contacts, *self.subscriber.neighbours})

    def report_rollouts(self, now: int) -> None:
        """Send the primary a report on the services that are being rolled out."""
        routing = self.proxy.context
        if (
            not routing.rollouts.active
            or self.loop.time() - self.last_rollout_report_s < ROLLOUT_REPORT_INTERVAL_S
        ):
            return
        self.last_rollout_report_s = self.loop.time()
        primary = self.subscriber.primary(now)
        if primary:
            seen = routing.rollouts.reports(now, self.proxy.selector.open_at_other_versions)
            report = wire.RolloutReport(node=self.settings.node_name, life=self.incarnation, services=seen)
            self.network.send(primary, wire.Frame(rollout_report=report))

    def log_overload(self, now: int) -> None:
        """Log start and end of load shedding, and this ingress's refusals while servers have capacity."""
        routing = self.proxy.context
        for event in routing.shedders.changes(now) + routing.refusals.check(now):
            self.log_event(event)

    async def execute(self, call: object) -> Result[AddressesResolved, Error] | GuardedOutcome:
        """Answer a client's request for the addresses of ingresses.

        The answer is guarded: it is sent only while this ingress is still in touch with a control node.

        :returns: a `NOT_FOUND` error for any other call; `UNAVAILABLE` where no ingress is known to serve
        """
        if not isinstance(call, ResolveAddresses):
            return Failure(Error(ErrorCode.NOT_FOUND, "no such call"))
        if not self.subscriber.has_recent_contact(self.now()):
            return Failure(Error(ErrorCode.UNAVAILABLE, "who serves is not known here"))
        found, events = self.resolver.resolve(self.ingresses_now(), call.name, call.region, call.zone)
        for event in events:
            self.log_event(event)
        if not found.addresses:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no ingress serves"))
        answer = AddressesResolved(found.addresses, ttl_s(found.scope, self.settings.bounds.ttl_max_s))
        return GuardedOutcome(Success(answer), lambda: self.subscriber.has_recent_contact(self.now()))

    def ingresses_now(self) -> list[ListedIngress]:
        """Return the published ingresses, with this one's own state replaced while it shuts down.

        The published directory learns of a shut-down later than this process does.
        """
        if not self.is_draining:
            return self.listed_ingresses
        leaving_s = self.settings.bounds.grace_s * LEAVING_RATIO
        is_leaving = self.loop.time() < self.draining_since_s + leaving_s
        state = IngressState.LEAVING if is_leaving else IngressState.ABSENT
        own_name = self.settings.node_name
        return [replace(one, state=state) if one.node == own_name else one for one in self.listed_ingresses]

    async def push_counts(self, primary: str, push: wire.Push) -> None:
        """Push the counts of admitted requests to the quota coordinator, and apply the totals it returns."""
        answer = await self.network.request(primary, wire.Frame(push=push), PUSH_TIMEOUT_S)
        if answer is not None and answer.WhichOneof("body") == "totals":
            self.quota.on_totals(self.now(), answer.totals)

    def update_settings(self, settings: NodeSettings) -> None:
        """Apply reloaded settings; only the seed nodes take effect while running."""
        self.settings = settings
        self.subscriber.update_seeds([host for host, _ in settings.seed_nodes])

    async def open(self) -> None:
        """Listen for clients and for readiness checks, at the addresses in the settings."""
        listen = self.settings.listen
        if listen.front is not None:
            self.proxy.open(*listen.front)
        if listen.ready is not None:
            await self.readiness.open(*listen.ready)

    def begin_shut_down(self) -> None:
        """Begin to drain; heartbeats announce it first, so that the directory stops naming this ingress."""
        self.is_draining, self.draining_since_s = True, self.loop.time()
        self.perform_subscriber_outputs(self.subscriber.heartbeat_all(self.now()))
        self.proxy.begin_drain()

    async def close(self, deadline_s: float) -> None:
        """Serve clients that still hold an old directory answer, then close.

        :param deadline_s: seconds on the loop's clock
        """
        retention_s = CLIENT_CACHE_FACTOR * min(TTL_S, self.settings.bounds.ttl_max_s)
        await asyncio.sleep(
            min(self.draining_since_s + retention_s, deadline_s - LAST_REQUESTS_GRACE_S) - self.loop.time()
        )
        await self.proxy.close(int(deadline_s * 1e6))
        await self.readiness.close()
        await self.subscriber_driver.close()
        if self.parse_task is not None:
            self.parse_task.cancel()
        self.parser.close()
