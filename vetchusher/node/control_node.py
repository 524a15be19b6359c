"""A control node, that is a machine with a disk: creates its parts, connects them, starts and closes them."""

from __future__ import annotations

import asyncio

from returns.result import Failure, Success

from vetchusher import control
from vetchusher.directory.presence import LEAVING_RATIO, Presence
from vetchusher.directory.resolver import Resolver, ttl_s
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import SERVICE, ZoneEvacuation, evacuation_rows
from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.distribution.source import Source, version_vector
from vetchusher.distribution.subscriber import Subscriber
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.rollout.directive import rollout_rows
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.node import NodeSettings

from .api_calls import AddressesResolved, ApiCall, GuardedOutcome, ResolveAddresses
from .commit_publisher import CommitPublisher
from .configuration_parser import ConfigurationParser, ParsedConfiguration
from .configuration_report import warnings_of
from .context import NodeContext
from .leader_roles import LeaderRoles
from .order_service import OrderService, Outcome
from .peer_messages import ControlNodeParts, PeerMessageHandler
from .peer_network import Channel
from .persister import Persister
from .repair_driver import RepairDriver
from .rollout_role import RolloutRole
from .server_list_poller import ServerListPoller
from .snapshot_writer import SnapshotWriter
from .subscriber_driver import SubscriberDriver
from .update_publisher import UpdatePublisher

TICK_S = 0.05
RESOLUTION_TTL_US = 1_000_000  # an answer to a resolver is not sent later than this after the look-up
MAX_SEND_DELAY_US = 500_000  # a message of the replica is not sent later than this after its decision
SEAT_HANDOVER_TIMEOUT_S = 0.5  # longest wait at shutdown for a learner to replace this machine as a voter


class ControlNode:
    """Owner of the replica and of all other parts of a control node."""

    def __init__(
        self,
        context: NodeContext,
        store: control.Store,
        stored: control.PersistentState | None,
        snapshots: SnapshotStore | None,
    ) -> None:
        """Create and connect the parts; nothing runs before `run`.

        :param stored: the state that was loaded from `store`; None: it held none, or none that could be read
        :param snapshots: where the published sources are stored; None: they are not stored
        """
        self.context, self.now, self.log_event = context, context.now, context.log_event
        self.replica = self.create_replica(stored, store.imported_state)
        self.persister = Persister(context.loop, store, self.feed, context.log_event)
        self.repair_driver = RepairDriver(context, self.replica, self.persister, self.feed, self.perform)
        self.parser = ConfigurationParser(context.loop)
        self.commit_publisher = CommitPublisher(
            context.loop, self.parser, self.publish_state, context.log_event
        )
        self.warned_version = 0
        self.presence = Presence(int(context.settings.bounds.grace_s * LEAVING_RATIO * 1e6))
        self.control, self.discovery, self.directory = map(Source, ("control", "discovery", "directory"))
        self.sources = {one.name: one for one in (self.control, self.discovery, self.directory)}
        self.resolver = Resolver(self.control)
        # A witness has no copy of the control state, so it pulls the source `control` from other machines,
        # as it does the other sources.
        self.subscriber = Subscriber(context.seeds, self.sources, context.own_ip)
        self.subscriber_driver = SubscriberDriver(context.network, self.subscriber, self)
        self.publisher = UpdatePublisher(context.network, self.sources, self.heartbeat_reply)
        self.orders = OrderService(context, self.replica, self.parser, self)
        self.leader_roles = self.create_leader_roles()
        self.rollouts = RolloutRole(context, self.orders)
        self.peer_messages = self.create_peer_messages()
        self.snapshot_writer: SnapshotWriter | None = None
        if snapshots is not None:
            self.snapshot_writer = SnapshotWriter(context, snapshots, self.sources, self.persister.thread)

    def create_replica(
        self, stored: control.PersistentState | None, imported_state: control.PersistentState | None
    ) -> control.Replica:
        """Return a replica that is set up by the settings and continues from the stored state."""
        settings, context = self.context.settings, self.context
        replica_settings = control.ReplicaSettings(
            settings.ip_address,
            settings.zone,
            context.seeds,
            settings.first_start,
            losses=settings.tolerance.machine_losses,
        )
        return control.Replica(replica_settings, stored, context.rng, context.now(), imported_state)

    def create_leader_roles(self) -> LeaderRoles:
        """Return the roles that run on this machine while it is the leader."""
        poller = ServerListPoller(
            self.context,
            self.discovery,
            self.presence,
            self.orders.is_leader_of,
            self.publisher.notify_watchers,
        )
        return LeaderRoles(self.context, self.replica, self.presence, self.publisher, poller)

    def create_peer_messages(self) -> PeerMessageHandler:
        """Return the handler that passes messages of other processes to the parts of this node."""
        parts = ControlNodeParts(
            self.replica,
            self.repair_driver,
            self.presence,
            self.publisher,
            self.leader_roles,
            self.orders,
            self.subscriber,
            self.subscriber_driver,
            self.rollouts,
        )
        return PeerMessageHandler(self.context, self.feed, parts)

    # -- the replica's inputs and outputs ------------------------------------------------------------

    def feed(self, event: control.Input) -> None:
        """Pass an input to the replica and carry out the outputs that it returns.

        Safety: this process may be paused at any point. A message that reports committed state under a lease
        must not be sent after the lease has expired, so every message is dropped that is not sent within
        `MAX_SEND_DELAY_US`; the protocol tolerates lost messages.
        """
        decided_at = self.now()
        for output in self.replica.handle(decided_at, event):
            if not isinstance(output, control.Send) or self.now() <= decided_at + MAX_SEND_DELAY_US:
                self.perform(output)

    def perform(self, output: control.Output) -> None:
        """Carry out one output of the replica."""
        match output:
            case control.Send(to, message):
                self.context.network.send(to, wire.Frame(control=message))
            case control.Persist(token, contents):
                self.persister.save(token, contents)
            case control.Completed(order_id, outcome):
                self.orders.complete(order_id, outcome)
            case control.Committed(state):
                self.commit_publisher.on_committed(state)
            case LogEvent():
                self.context.log_event(output)

    def disk_failure(self) -> str:
        """Return why the last write to disk failed; empty if it did not fail."""
        return self.persister.failure_reason

    def publish_state(self, state: wire.ControlState, parsed: ParsedConfiguration | None) -> None:
        """Publish a committed state: rows of the configuration, of evacuated zones and of roll-outs.

        :param parsed: the configuration of the state; None: none was ever committed
        """
        rows: dict[str, bytes] = {}
        if parsed is not None:
            self.leader_roles.configure(parsed.configuration)
            self.log_warnings(parsed.configuration)
            evacuations = {one.zone: ZoneEvacuation(one.on, one.order) for one in state.evacuations}
            rows = {**parsed.rows, **evacuation_rows(evacuations)}
            rows |= rollout_rows(state.rollouts)
        self.rollouts.observe(state.rollouts)
        if self.control.publish((state.stamp.epoch, state.stamp.seq), rows):
            self.leader_roles.apply_configuration(self.now())
            self.publisher.notify_watchers()

    def log_warnings(self, configuration: Configuration) -> None:
        """Log the warnings about a new version of the configuration, once for each and only at the leader."""
        if configuration.version <= self.warned_version or not self.replica.is_leader(self.now()):
            return
        self.warned_version = configuration.version
        for event in warnings_of(configuration):
            self.context.log_event(event)

    # -- answers to peers and callers ------------------------------------------------------------------

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Handle a frame from another process."""
        self.peer_messages.on_frame(frame, channel)

    def heartbeat(self) -> wire.Heartbeat:
        """Return the heartbeat that this machine sends to other control nodes."""
        settings = self.context.settings
        return wire.Heartbeat(
            node=settings.node_name,
            ip=settings.ip_address,
            zone=settings.zone,
            region=settings.region,
            vector=version_vector(self.sources),
        )

    def heartbeat_reply(self) -> wire.HeartbeatReply:
        """Return the reply to a heartbeat: the version vector of this node, and whether it is in force."""
        now = self.now()
        return wire.HeartbeatReply(
            vector=version_vector(self.sources),
            members=self.replica.voters,
            primary=self.replica.primary_ip,
            # While a committed state waits to be published, receivers would take the published one for
            # the newest.
            in_force=self.is_in_force(now) and not self.commit_publisher.is_behind,
        )

    def is_in_force(self, now: int) -> bool:
        """Return whether the state published here was the newest committed one a moment ago."""
        return self.replica.is_in_force(now, self.control.stamp)

    def knows_service(self, name: str) -> bool:
        """Return whether the configuration published here defines a service."""
        return f"{SERVICE}{name}" in self.control.rows

    async def execute(self, call: ApiCall) -> Outcome:
        """Execute a call of an operator, or resolve ingresses for a client."""
        if isinstance(call, ResolveAddresses):
            return self.resolve(call)
        return await self.orders.execute(call)

    def resolve(self, call: ResolveAddresses) -> Outcome:
        """Return ingresses for a client by the heartbeats received here; this works without a leader."""
        looked_up_at = self.now()
        listed = self.presence.listed(looked_up_at)
        found, events = self.resolver.resolve(listed, call.name, call.region, call.zone)
        for event in events:
            self.context.log_event(event)
        if not found.addresses:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no ingress is known here"))
        answer_ttl_s = ttl_s(found.scope, self.context.settings.bounds.ttl_max_s)
        answer = AddressesResolved(found.addresses, answer_ttl_s)
        return GuardedOutcome(Success(answer), lambda: self.now() <= looked_up_at + RESOLUTION_TTL_US)

    def on_rejected(self, call: ApiCall, error: Error) -> None:
        """Log an operator's call that was answered with another status than 2xx."""
        facts = {"call": type(call).__name__, "status": error.status, "why": error.text}
        self.context.log_event(LogEvent(Event.ORDER_REJECTED, facts))

    def on_updates_applied(self, changed: set[str]) -> None:
        """Notify the watchers after sources were updated from another control node."""
        if changed:
            self.publisher.notify_watchers()

    # -- time --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Call `tick` every `TICK_S` seconds until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Run the periodic work of every part."""
        now = self.now()
        self.feed(control.Tick())
        self.repair_driver.tick()
        for event in self.presence.expire(now):
            self.context.log_event(event)
        self.leader_roles.tick(now)
        self.rollouts.tick(now)
        self.subscriber_driver.perform(self.subscriber.tick(now))
        if self.snapshot_writer is not None:
            self.snapshot_writer.tick()
        peers = {*self.replica.voters, *self.subscriber.seeds} - {self.context.own_ip}
        self.context.network.keep_peers(peers)

    # -- settings and shutdown -----------------------------------------------------------------------

    def update_settings(self, settings: NodeSettings) -> None:
        """Apply reloaded settings: seeds and zones."""
        self.context.settings = settings
        self.replica.update_seeds(self.context.seeds)
        self.subscriber.update_seeds(self.context.seeds)

    def begin_shut_down(self) -> None:
        """Have leadership and the copy of the control state moved to another machine at once."""
        self.feed(control.ShutDown())

    def must_keep_running(self, deadline_s: float, seat_deadline_s: float) -> bool:
        """Return whether this machine has to keep running until another one has taken over its role.

        :param deadline_s: seconds on the loop's clock; it stays no longer while it is needed as a replica
        :param seat_deadline_s: seconds on the loop's clock; it stays no longer while it is only a voter that
            another machine may replace
        """
        loop_time = self.context.loop.time()
        if self.replica.is_needed(self.now()):
            return loop_time < deadline_s
        return self.replica.is_voter and loop_time < seat_deadline_s

    async def close(self, deadline_s: float) -> None:
        """Keep voting until other machines have taken over, then close all parts.

        :param deadline_s: seconds on the loop's clock; the parts are closed then at the latest
        """
        seat_deadline_s = min(deadline_s, self.context.loop.time() + SEAT_HANDOVER_TIMEOUT_S)
        while self.must_keep_running(deadline_s, seat_deadline_s):
            await asyncio.sleep(TICK_S)
        await self.subscriber_driver.close()
        await self.leader_roles.close()
        self.commit_publisher.close()
        self.repair_driver.close()
        self.persister.close()
        self.parser.close()
