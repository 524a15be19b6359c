"""What a machine that clients call does: it keeps up with the core, and serves requests by what it knows."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from returns.result import Failure, Result, Success

from vetchusher.directory.naming import Entrance, entrances_of, named
from vetchusher.directory.neighbours import neighbours, places_of
from vetchusher.directory.presence import KEPT_TIMES, TTL_S
from vetchusher.discovery.reader import KEPT_LEASE_US, read_row
from vetchusher.discovery.server import Server
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import DIGEST, configuration_of, evacuated_of
from vetchusher.distribution.source import Source, updates_for, version_vector
from vetchusher.distribution.subscriber import Subscriber, SubscriberOutput
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.limits.tally import LocalQuota
from vetchusher.limits.tries import ExtraTries
from vetchusher.limits.windows import Bounds as QuotaBounds
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.node import NodeSettings

from .api_calls import AddressesResolved, GuardedOutcome, ResolveAddresses
from .following import SubscriberDriver
from .paths import Channel, PeerNetwork
from .proxy import Proxy, Readiness
from .reading import MAX_BYTES_ON_LOOP, ConfigurationParser

TICK_S = 0.05
SYNC_S = 0.15  # between two pushes of what has passed
PUSH_S = 0.6  # for the totals that answer one
LAST_S = 1.0  # of the grace: for the requests taken by then
MOST_PUSHES = 4  # under way at a time


class EdgeNode:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: NodeSettings,
        paths: PeerNetwork,
        rng: random.Random,
        now: Callable[[], int],
        note: Callable[[LogEvent], None],
    ) -> None:
        self.loop, self.node, self.paths, self.now, self.log_event = loop, node, paths, now, note
        self.incarnation = rng.getrandbits(62) | 1
        self.control, self.discovery, self.directory = (
            Source("control"),
            Source("discovery"),
            Source("directory"),
        )
        self.sources = {led.name: led for led in (self.control, self.discovery, self.directory)}
        self.subscriber = Subscriber([host for host, _ in node.seed_nodes], self.sources)
        self.subscriber_driver = SubscriberDriver(paths, self.subscriber, self)
        bounds = node.bounds
        quota = QuotaBounds(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)
        self.tally = LocalQuota(node.node_name, self.incarnation, bounds=quota)
        self.extra = ExtraTries(bounds.retry_budget_ratio, int(bounds.budget_slack), bounds.budget_window_s)
        self.front = Proxy(loop, node, rng, self.tally, self.extra, note)
        self.readiness = Readiness(loop, self.ready)
        self.known: dict[str, tuple[bytes, Server]] = {}  # rows as told, and what they say
        self.entrances: list[Entrance] = []  # who serves, as told
        self.version = 0
        self.digest: bytes | None = b""  # row of the configuration in force
        self.parser = ConfigurationParser(loop)
        self.rows: dict[str, bytes] | None = None  # of the newest news, while they wait to be read
        self.reader: asyncio.Task[None] | None = None
        self.leaving = False
        self.left_at = 0.0
        self.pushes: set[asyncio.Task[None]] = set()
        self.pushed_at = 0.0

    # -- keeping up -------------------------------------------------------------------------

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        kind = frame.WhichOneof("body")
        if kind == "heartbeat_reply":
            self.carry_sends(
                self.subscriber.on_heartbeat_reply(self.now(), frame.sender, 0, frame.heartbeat_reply)
            )
        elif kind == "totals":  # unasked
            self.tally.alarm(self.now(), frame.totals)
        elif kind == "heartbeat":  # a neighbour's, which may be cut off from the core
            channel.reply(
                frame, wire.Frame(heartbeat_reply=wire.HeartbeatReply(vector=version_vector(self.sources)))
            )
        elif kind == "pull":
            channel.reply(frame, wire.Frame(news=updates_for(self.sources, frame.pull.vector)))

    def carry_sends(self, sends: Sequence[SubscriberOutput]) -> None:
        self.subscriber_driver.carry(sends)

    def heartbeat(self) -> wire.Heartbeat:
        node, front = self.node, self.node.listen.front
        standing = wire.LEAVING if self.leaving else wire.READY if self.ready() else wire.STARTING
        return wire.Heartbeat(
            node=node.node_name,
            ip=node.ip_address,
            zone=node.zone,
            region=node.region,
            front=f"{front[0]}:{front[1]}" if front else "",
            life=self.incarnation,
            standing=standing,
            vector=version_vector(self.sources),
        )

    def ready(self) -> bool:
        return self.version > 0 and bool(self.known) and not self.leaving

    def on_updates_applied(self, changed: set[str]) -> None:
        now, was_ready = self.now(), self.ready()
        if "control" in changed:
            self.configuration_came(now)
        if "directory" in changed:
            ingresses = len(self.directory.rows)
            self.tally.fleet(now, ingresses, self.node.node_name in self.directory.rows)
            self.extra.fleet(ingresses)
            rows = self.directory.values()
            places, self.entrances = places_of(rows), entrances_of(rows)
            near = {name: at.zone for name, at in places.items() if at.region == self.node.region}
            self.front.ingresses(near)
            self.subscriber.set_neighbours(neighbours(self.node.node_name, self.node.region, places))
        if "discovery" in changed:
            self.servers_came(now)
        self.look_fresh(now)
        if self.ready() and not was_ready:
            self.carry_sends(self.subscriber.heartbeat_all(now))

    def configuration_came(self, now: int) -> None:
        rows = self.control.values()
        self.front.evacuated(evacuated_of(rows), now)
        if self.reader is None and rows.get(DIGEST) == self.digest:
            return  # an evacuation; the configuration is the one in force
        if self.reader is None and sum(map(len, rows.values())) <= MAX_BYTES_ON_LOOP:
            self.take(rows, configuration_of(rows))
            return
        self.rows = rows
        if self.reader is None:
            self.reader = self.loop.create_task(self.read_rows())

    async def read_rows(self) -> None:
        """Off the loop, of several the newest; requests are judged by the one before until then."""
        try:
            while self.rows is not None:
                rows, self.rows = self.rows, None
                found, was_ready = await self.parser.parse_rows(rows), self.ready()
                self.take(rows, found)
                if self.ready() and not was_ready:
                    self.carry_sends(self.subscriber.heartbeat_all(self.now()))
        finally:
            self.reader = None
            self.look_fresh(self.now())

    def look_fresh(self, now: int) -> None:
        """Danger: rows that are here and not read yet make nothing fresh."""
        self.front.fresh_until(self.subscriber.fresh_until(now) if self.reader is None else now - 1)

    def take(self, rows: Mapping[str, bytes], found: Result[Configuration, Error]) -> None:
        now = self.now()
        match found:
            case Success(configuration) if configuration.version > self.version:
                self.version, self.digest = configuration.version, rows.get(DIGEST)
                self.front.configuration(configuration)
                self.tally.configure(now, configuration.tenants)
            case Success():
                pass
            case fault if "version" in rows:
                self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": fault.failure().text}))

    def servers_came(self, now: int) -> None:
        known: dict[str, tuple[bytes, Server]] = {}
        for instance, value in self.discovery.values().items():
            kept = self.known.get(instance)
            if kept is not None and kept[0] == value:
                known[instance] = kept  # its spans go on from when they were first told
                continue
            match read_row(instance, value, now):
                case Success(server):
                    known[instance] = (value, server)
                case fault:
                    self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": fault.failure().text}))
        self.known = known
        self.front.servers([server for _, server in known.values()])

    # -- time ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        now = self.now()
        self.carry_sends(self.subscriber.tick(now))
        self.look_fresh(now)
        self.front.choice.kept_until = self.subscriber.primary_contact_at(now) + KEPT_LEASE_US
        due = self.tally.eager or self.loop.time() - self.pushed_at >= SYNC_S
        if due and len(self.pushes) < MOST_PUSHES:
            self.pushed_at = self.loop.time()
            primary, push = self.subscriber.primary(now), self.tally.push(now)
            if primary and push is not None:
                task = self.loop.create_task(self.push(primary, push))
                self.pushes.add(task)
                task.add_done_callback(self.pushes.discard)
        standing = self.tally.log_fields(now)
        if standing is not None:
            self.log_event(
                LogEvent(
                    Event.QUOTA_TOTALS_COMPLETE if self.tally.stood else Event.QUOTA_TOTALS_STALE, standing
                )
            )
        self.paths.keep_peers({*self.subscriber.contacts, *self.subscriber.neighbours})

    async def execute(self, call: object) -> Result[AddressesResolved, Error] | GuardedOutcome:
        """A client's question where to go, by what the news say.

        Danger: one that is cut off from the core would name for ever who served when it was; another does
        better.
        """
        if not isinstance(call, ResolveAddresses):
            return Failure(Error(ErrorCode.NOT_FOUND, "no such call"))
        others = [one for one in self.entrances if not self.leaving or one.node != self.node.node_name]
        fronts = named(others, call.region, call.zone)
        if not fronts or not self.subscriber.is_in_touch(self.now()):
            return Failure(Error(ErrorCode.UNAVAILABLE, "who serves is not known here"))
        answer = AddressesResolved(tuple(fronts), min(TTL_S, self.node.bounds.ttl_max_s))
        return GuardedOutcome(Success(answer), lambda: self.subscriber.is_in_touch(self.now()))

    async def push(self, primary: str, push: wire.Push) -> None:
        answer = await self.paths.request(primary, wire.Frame(push=push), PUSH_S)
        if answer is not None and answer.WhichOneof("body") == "totals":
            self.tally.on_totals(self.now(), answer.totals)

    def update_settings(self, node: NodeSettings) -> None:
        self.node = node
        self.subscriber.update_seeds([host for host, _ in node.seed_nodes])

    async def open(self) -> None:
        listen = self.node.listen
        if listen.front is not None:
            self.front.open(*listen.front)
        if listen.ready is not None:
            await self.readiness.open(*listen.ready)

    def begin_shut_down(self) -> None:
        """Off the directory first; then what is open is told to go elsewhere."""
        self.leaving, self.left_at = True, self.loop.time()
        self.carry_sends(self.subscriber.heartbeat_all(self.now()))
        self.front.leave()

    async def close(self, deadline_s: float) -> None:
        """Serve those who come by the directory's older answers; then end what is open.

        :param deadline_s: on the loop's clock
        """
        kept_s = KEPT_TIMES * min(TTL_S, self.node.bounds.ttl_max_s)
        await asyncio.sleep(min(self.left_at + kept_s, deadline_s - LAST_S) - self.loop.time())
        await self.front.close(int(deadline_s * 1e6))
        await self.readiness.close()
        await self.subscriber_driver.close()
        if self.reader is not None:
            self.reader.cancel()
        self.parser.close()
