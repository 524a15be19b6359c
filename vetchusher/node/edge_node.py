"""An edge node: it keeps up with the control nodes, takes clients' requests, and counts what it admits."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import replace

from returns.result import Failure, Result, Success

from vetchusher.directory.naming import IngressState, ListedIngress, listed_ingresses
from vetchusher.directory.neighbours import choose_neighbours, decode_locations
from vetchusher.directory.presence import LEAVING_RATIO, RETENTION_FACTOR
from vetchusher.directory.resolver import TTL_S, Resolver, ttl_s
from vetchusher.discovery.reader import OWNER_LEASE_US, read_row
from vetchusher.discovery.server import Server
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import DIGEST, configuration_of, evacuated_of
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
from .configuration_parser import MAX_BYTES_ON_LOOP, ConfigurationParser
from .context import NodeContext
from .peer_network import Channel
from .proxy import Proxy
from .readiness import readiness_endpoint
from .subscriber_driver import SubscriberDriver

TICK_S = 0.05
PUSH_INTERVAL_S = 0.15  # between two pushes of what has passed
PUSH_TIMEOUT_S = 0.6  # for the totals that answer one
FINISH_REQUESTS_S = 1.0  # of the grace: for the requests taken by then
MAX_PUSHES = 4  # under way at a time
ROLLOUT_REPORT_S = 0.2  # between two reports of what is seen of roll-outs
OVERLOAD_CHECK_S = 1.0  # between two looks at shedding and refusals


class EdgeNode:
    """Owner of the proxy, of the local side of quotas, and of what this ingress knows of the system."""

    def __init__(
        self,
        context: NodeContext,
    ) -> None:
        """Wire the parts; nothing runs before `run`."""
        loop, settings, network, rng = context.loop, context.settings, context.network, context.rng
        self.loop, self.settings, self.network = loop, settings, network
        self.now, self.log_event = context.now, context.log_event

        self.incarnation = rng.getrandbits(62) | 1
        self.control, self.discovery, self.directory = (
            Source("control"),
            Source("discovery"),
            Source("directory"),
        )
        self.sources = {led.name: led for led in (self.control, self.discovery, self.directory)}
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
        self.servers: dict[str, tuple[bytes, Server]] = {}  # rows as told, and what they say
        self.resolver = Resolver(self.control)
        self.listed_ingresses: list[ListedIngress] = []  # as told
        self.version = 0
        self.configuration_digest: bytes | None = b""  # row of the configuration in force
        self.parser = ConfigurationParser(loop)
        self.unparsed_rows: dict[str, bytes] | None = None  # of the newest news, while they wait to be read
        self.parse_task: asyncio.Task[None] | None = None
        self.is_draining = False
        self.draining_since_s = 0.0
        self.push_tasks: set[asyncio.Task[None]] = set()
        self.last_push_at_s = 0.0
        self.overload_checked_at_s = 0.0
        self.last_rollout_report_s = 0.0

    # -- keeping up -------------------------------------------------------------------------

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Take a frame of another process: unasked vectors and totals, and a neighbour's questions."""
        kind = frame.WhichOneof("body")
        if kind == "heartbeat_reply":
            self.perform_subscriber_outputs(
                self.subscriber.on_heartbeat_reply(self.now(), frame.sender, 0, frame.heartbeat_reply)
            )
        elif kind == "totals":  # unasked
            self.quota.on_alarm(self.now(), frame.totals)
        elif kind == "heartbeat":  # a neighbour's, which may be cut off from the core
            channel.reply(
                frame, wire.Frame(heartbeat_reply=wire.HeartbeatReply(vector=version_vector(self.sources)))
            )
        elif kind == "pull":
            channel.reply(frame, wire.Frame(news=updates_for(self.sources, frame.pull.vector)))

    def perform_subscriber_outputs(self, outputs: Sequence[SubscriberOutput]) -> None:
        """Send heartbeats and pulls."""
        self.subscriber_driver.perform(outputs)

    def heartbeat(self) -> wire.Heartbeat:
        """Return this ingress's heartbeat."""
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
        """Return whether it serves: it has a configuration and servers, and is not draining."""
        return self.version > 0 and bool(self.servers) and not self.is_draining

    def on_updates_applied(self, changed: set[str]) -> None:
        """Take the sources that have changed."""
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
            self.proxy.context.rollouts.near_ingresses = max(1, len(near))
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
        self.proxy.set_evacuated(evacuated_of(rows), now)
        self.proxy.context.set_rollouts(directives_of(rows))
        if self.parse_task is None and rows.get(DIGEST) == self.configuration_digest:
            return  # an evacuation; the configuration is the one in force
        if self.parse_task is None and sum(map(len, rows.values())) <= MAX_BYTES_ON_LOOP:
            self.apply_configuration(rows, configuration_of(rows))
            return
        self.unparsed_rows = rows
        if self.parse_task is None:
            self.parse_task = self.loop.create_task(self.parse_rows())

    async def parse_rows(self) -> None:
        """Parse the newest rows off the loop and apply the configuration."""
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
        """Tell the proxy until when the configuration is known to be in force."""
        self.proxy.set_fresh_until(self.subscriber.fresh_until(now) if self.parse_task is None else now - 1)

    def apply_configuration(self, rows: Mapping[str, bytes], found: Result[Configuration, Error]) -> None:
        """Judge new requests by a configuration if it is newer than the one in use."""
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
        """Take the servers of the discovery source."""
        servers: dict[str, tuple[bytes, Server]] = {}
        for instance, value in self.discovery.values().items():
            known_row = self.servers.get(instance)
            if known_row is not None and known_row[0] == value:
                servers[instance] = known_row  # its spans go on from when they were first told
                continue
            match read_row(instance, value, now):
                case Success(server):
                    servers[instance] = (value, server)
                case fault:
                    self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": fault.failure().text}))
        self.servers = servers
        self.proxy.set_servers([server for _, server in servers.values()])

    # -- time ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Do what is due by time."""
        now = self.now()
        self.perform_subscriber_outputs(self.subscriber.tick(now))
        self.update_freshness(now)
        self.proxy.selector.cold_budget_until = self.subscriber.primary_contact_at(now) + OWNER_LEASE_US
        due = self.quota.push_requested or self.loop.time() - self.last_push_at_s >= PUSH_INTERVAL_S
        if due and len(self.push_tasks) < MAX_PUSHES:
            self.last_push_at_s = self.loop.time()
            primary, push = self.subscriber.primary(now), self.quota.next_push(now)
            if primary and push is not None:
                task = self.loop.create_task(self.push_counts(primary, push))
                self.push_tasks.add(task)
                task.add_done_callback(self.push_tasks.discard)
        self.report_rollouts(now)
        standing = self.quota.log_fields(now)
        if standing is not None:
            self.log_event(
                LogEvent(
                    Event.QUOTA_TOTALS_COMPLETE
                    if self.quota.had_complete_totals
                    else Event.QUOTA_TOTALS_STALE,
                    standing,
                )
            )
        if self.loop.time() - self.overload_checked_at_s >= OVERLOAD_CHECK_S:
            self.overload_checked_at_s = self.loop.time()
            self.log_overload(now)
        self.network.keep_peers({*self.subscriber.contacts, *self.subscriber.neighbours})

    def report_rollouts(self, now: int) -> None:
        """Report what was seen of the services that are being rolled out."""
        routing = self.proxy.context
        if not routing.rollouts.active or self.loop.time() - self.last_rollout_report_s < ROLLOUT_REPORT_S:
            return
        self.last_rollout_report_s = self.loop.time()
        primary = self.subscriber.primary(now)
        if primary:
            seen = routing.rollouts.reports(now, self.proxy.selector.open_at_other_versions)
            report = wire.RolloutReport(node=self.settings.node_name, life=self.incarnation, services=seen)
            self.network.send(primary, wire.Frame(rollout_report=report))

    def log_overload(self, now: int) -> None:
        """Log where shedding began or ended, and refusals while servers are free."""
        routing = self.proxy.context
        for event in routing.shedders.changes(now) + routing.refusals.check(now):
            self.log_event(event)

    async def execute(self, call: object) -> Result[AddressesResolved, Error] | GuardedOutcome:
        """Answer a client's question for ingresses by the directory's rows."""
        if not isinstance(call, ResolveAddresses):
            return Failure(Error(ErrorCode.NOT_FOUND, "no such call"))
        if not self.subscriber.is_in_touch(self.now()):
            return Failure(Error(ErrorCode.UNAVAILABLE, "who serves is not known here"))
        found, events = self.resolver.resolve(self.ingresses_now(), call.name, call.region, call.zone)
        for event in events:
            self.log_event(event)
        if not found.addresses:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no ingress serves"))
        answer = AddressesResolved(found.addresses, ttl_s(found.scope, self.settings.bounds.ttl_max_s))
        return GuardedOutcome(Success(answer), lambda: self.subscriber.is_in_touch(self.now()))

    def ingresses_now(self) -> list[ListedIngress]:
        """Return the ingresses as told, and this one as it is: it knows first that it shuts down."""
        if not self.is_draining:
            return self.listed_ingresses
        leaving_s = self.settings.bounds.grace_s * LEAVING_RATIO
        is_leaving = self.loop.time() < self.draining_since_s + leaving_s
        state = IngressState.LEAVING if is_leaving else IngressState.ABSENT
        own_name = self.settings.node_name
        return [replace(one, state=state) if one.node == own_name else one for one in self.listed_ingresses]

    async def push_counts(self, primary: str, push: wire.Push) -> None:
        """Push what was admitted to the quota coordinator, and take its totals."""
        answer = await self.network.request(primary, wire.Frame(push=push), PUSH_TIMEOUT_S)
        if answer is not None and answer.WhichOneof("body") == "totals":
            self.quota.on_totals(self.now(), answer.totals)

    def update_settings(self, settings: NodeSettings) -> None:
        """Take other settings: seeds."""
        self.settings = settings
        self.subscriber.update_seeds([host for host, _ in settings.seed_nodes])

    async def open(self) -> None:
        """Listen for clients and for questions of readiness."""
        listen = self.settings.listen
        if listen.front is not None:
            self.proxy.open(*listen.front)
        if listen.ready is not None:
            await self.readiness.open(*listen.ready)

    def begin_shut_down(self) -> None:
        """Begin to drain: leave the directory first."""
        self.is_draining, self.draining_since_s = True, self.loop.time()
        self.perform_subscriber_outputs(self.subscriber.heartbeat_all(self.now()))
        self.proxy.begin_drain()

    async def close(self, deadline_s: float) -> None:
        """Drain within the grace, then close."""
        kept_s = RETENTION_FACTOR * min(TTL_S, self.settings.bounds.ttl_max_s)
        await asyncio.sleep(
            min(self.draining_since_s + kept_s, deadline_s - FINISH_REQUESTS_S) - self.loop.time()
        )
        await self.proxy.close(int(deadline_s * 1e6))
        await self.readiness.close()
        await self.subscriber_driver.close()
        if self.parse_task is not None:
            self.parse_task.cancel()
        self.parser.close()
