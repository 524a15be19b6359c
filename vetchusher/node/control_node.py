"""What a machine with a disk does: control state, news, who serves, and the duties of the primary."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from returns.result import Failure, Result, Success

from vetchusher import control
from vetchusher.control import Replica
from vetchusher.directory.presence import TTL_S, Presence
from vetchusher.discovery.reader import ServerListReader
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import evacuation_rows
from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.distribution.source import ZERO_STAMP, Source, version_vector
from vetchusher.distribution.subscriber import Subscriber, SubscriberOutput
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.limits.totals import QuotaCoordinator
from vetchusher.limits.windows import Bounds as QuotaBounds
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.node import NodeSettings

from . import operator_api
from .applying import CommitPublisher
from .following import SubscriberDriver
from .lives import IncarnationTracker
from .paths import Channel, PeerNetwork
from .persistence import Persister
from .platform import ServerListClient
from .publishing import UpdateCache
from .reading import ConfigurationParser, ParsedConfiguration
from .repair import REPAIR_MESSAGES, RepairDriver

TICK_S = 0.05
READ_PAUSE_S = 0.6  # between two whole reads of the list
PASS_ON_S = 2.5  # for the primary's answer to an order passed on
PASSED_READING_US = 1_000_000  # since it was passed on: what came of it is given out no later
NAMED_US = 1_000_000  # since ingresses were looked up: the same of the directory's answers
LATE_SEND_US = 500_000  # since it was decided: what was not sent by then is not sent at all
OVERTAKEN_US = 900_000  # since it came: an order that bears no number is passed on no later
MAX_WATCHERS = 2048
ASK_AGAIN_US = 300_000  # told to whoever asked while no primary answered
BACK_US = 500_000  # when to send again what a disk refused; it is asked as often (`Timing.retry_us`)
LAST_VOTE_S = 0.5  # for a learner, if there is one, to take the seat of a machine that ends
SHELF_PAUSE_S = 0.25  # between two writes of what has been told
SHELF_BACK_OFF_S = 1.0  # after one that the disk refused


def passed_on(done: wire.OrderDone) -> Error:
    """What the primary said of an order.

    Danger: a kind of a newer release may be no refusal: whoever asked is to come back.
    """
    kind = ErrorCode(done.kind) if done.kind in set(ErrorCode) else ErrorCode.UNAVAILABLE
    return Error(kind, done.text, ASK_AGAIN_US if kind is ErrorCode.UNAVAILABLE else 0)


def evacuation_of(asked: wire.Evacuate) -> control.EvacuationOrder:
    return control.EvacuationOrder(asked.zone, asked.on, asked.after if asked.HasField("after") else None)


class ControlNode:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: NodeSettings,
        paths: PeerNetwork,
        store: control.Store,
        kept: control.PersistentState | None,
        shelf: SnapshotStore | None,
        rng: random.Random,
        now: Callable[[], int],
        note: Callable[[LogEvent], None],
    ) -> None:
        self.loop, self.node, self.paths, self.now, self.log_event = loop, node, paths, now, note
        seeds = [host for host, _ in node.seed_nodes]
        self.replica = Replica(
            control.ReplicaSettings(
                node.ip_address,
                node.zone,
                seeds,
                node.first_start,
                losses=node.tolerance.machine_losses,
            ),
            kept,
            rng,
            now(),
            store.imported_state,
        )
        self.persister = Persister(loop, store, self.on_persisted, note)
        self.repair_driver = RepairDriver(
            node.ip_address, self.replica, self.persister, rng, now, self.feed, self.perform
        )
        self.parser = ConfigurationParser(loop)
        self.presence = Presence()
        self.control, self.discovery, self.directory = (
            Source("control"),
            Source("discovery"),
            Source("directory"),
        )
        self.sources = {led.name: led for led in (self.control, self.discovery, self.directory)}
        # A witness has no copy of the control state: what it tells of it is pulled like the rest.
        self.subscriber = Subscriber(seeds, self.sources, node.ip_address)
        self.update_cache = UpdateCache(self.sources)
        self.commit_publisher = CommitPublisher(loop, self.parser, self.publish_state, note)
        self.configuration: Configuration | None = None
        self.incarnations = IncarnationTracker()
        self.watchers: dict[str, Channel] = {}  # by ip: to whom a grown vector is told unasked
        self.orders: dict[int, asyncio.Future[Result[bytes, Error]]] = {}
        self.next_order = 1
        self.server_list_task: asyncio.Task[None] | None = None
        self.quota_coordinator: QuotaCoordinator | None = None
        self.paused_quota_coordinator: QuotaCoordinator | None = (
            None  # of the epoch whose lease ran out last: it may be regained
        )
        self.server_list_client = ServerListClient(node.cloud_api)
        self.subscriber_driver = SubscriberDriver(self.paths, self.subscriber, self)
        self.snapshots = shelf
        self.shelved: dict[str, tuple[int, int]] = {}  # stamps of what is on the shelf
        self.shelving: asyncio.Task[None] | None = None
        if shelf is not None:
            match shelf.load(self.sources):
                case Success(names):
                    self.shelved = {name: self.sources[name].stamp for name in names}
                case Failure(fault):
                    note(LogEvent(Event.STORE_FAILED, {"why": fault.text}))

    # -- inputs of the control state ----------------------------------------------------

    def feed(self, event: control.Input) -> None:
        """Danger: this machine may stand still at any point; a message that says what is committed under a
        lease of before is lost rather than sent late, as any message may be."""
        decided_at = self.now()
        for output in self.replica.handle(decided_at, event):
            if not isinstance(output, control.Send) or self.now() <= decided_at + LATE_SEND_US:
                self.perform(output)

    def perform(self, output: control.Output) -> None:
        match output:
            case control.Send(to, message):
                self.paths.send(to, wire.Frame(control=message))
            case control.Persist(token, kept):
                self.persister.save(token, kept)
            case control.Completed(number, outcome):
                future = self.orders.get(number)
                if future is not None and not future.done():
                    future.set_result(outcome)
            case control.Committed(state):
                self.commit_publisher.on_committed(state)
            case LogEvent():
                self.log_event(output)

    def on_persisted(self, token: int, good: bool) -> None:
        self.feed(control.Persisted(token, good))

    def publish_state(self, state: wire.ControlState, read: ParsedConfiguration | None) -> None:
        """What has become part of the state: rows of the configuration, and zones evacuated."""
        rows: dict[str, bytes] = {}
        if read is not None:
            self.configuration = read.configuration
            rows = {**read.rows, **evacuation_rows({one.zone: one.on for one in state.evacuations})}
        if self.control.publish((state.stamp.epoch, state.stamp.seq), rows):
            if self.quota_coordinator is not None and self.configuration is not None:
                self.quota_coordinator.configure(self.now(), self.configuration.tenants)
            self.notify_watchers()

    # -- frames ---------------------------------------------------------------------------

    def serve(self, frame: wire.Frame, channel: Channel) -> None:
        kind = frame.WhichOneof("body")
        if self.is_stale(frame, channel):
            return
        if kind == "control":
            heard = control.Received(frame.sender, frame.zone, frame.control)
            if frame.control.WhichOneof("kind") in REPAIR_MESSAGES:
                self.repair_driver.on_message(heard)
            else:
                self.feed(heard)
        elif kind == "heartbeat":
            for note in self.presence.on_heartbeat(self.now(), frame.heartbeat):
                self.log_event(note)
            if frame.heartbeat.ip in self.watchers or len(self.watchers) < MAX_WATCHERS:
                self.watchers[frame.heartbeat.ip] = channel
            news = (
                self.update_cache.updates_for(frame.heartbeat.vector, in_heartbeat_reply=True)
                if frame.heartbeat.wants_news
                else b""
            )
            channel.reply(frame, wire.Frame(heartbeat_reply=self.heartbeat_reply()), news)
        elif kind == "pull":
            channel.reply(frame, wire.Frame(), self.update_cache.updates_for(frame.pull.vector))
        elif kind == "push":
            if self.quota_coordinator is not None and self.replica.is_leader(self.now()):
                channel.reply(
                    frame, wire.Frame(totals=self.quota_coordinator.on_push(self.now(), frame.push))
                )
                alarm = self.quota_coordinator.alarm(self.now())
                if alarm is not None:
                    self.broadcast(wire.Frame(totals=alarm))
        elif kind == "order":
            task = self.loop.create_task(self.on_forwarded_order(frame, channel))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
        elif kind == "heartbeat_reply":
            self.carry_sends(
                self.subscriber.on_heartbeat_reply(self.now(), frame.sender, 0, frame.heartbeat_reply)
            )

    def is_stale(self, frame: wire.Frame, channel: Channel) -> bool:
        """Whether a later life of the process that wrote this has been heard.

        Danger: it speaks of a disk that may be lost since, and of an ingress that has ended.
        """
        kind = frame.WhichOneof("body")
        life = {"control": frame.control.life, "heartbeat": frame.heartbeat.life}.get(kind or "", 0)
        return not self.incarnations.is_current(kind or "", frame.sender, life, channel.number)

    def heartbeat_reply(self) -> wire.HeartbeatReply:
        now = self.now()
        return wire.HeartbeatReply(
            vector=version_vector(self.sources),
            members=self.replica.voters,
            primary=self.replica.primary_ip,
            # Danger: what is committed and not told yet would be taken for old.
            in_force=self.is_in_force(now) and not self.commit_publisher.is_behind,
        )

    def is_in_force(self, now: int) -> bool:
        """Whether a majority stands behind what is told here."""
        return self.replica.is_in_force(now, self.control.stamp)

    def notify_watchers(self) -> None:
        """A grown vector, unasked: whoever lacks it pulls at once."""
        self.broadcast(wire.Frame(heartbeat_reply=self.heartbeat_reply()))

    def broadcast(self, frame: wire.Frame) -> None:
        self.paths.sign(frame)
        for ip, channel in list(self.watchers.items()):
            if not channel.write(frame):
                del self.watchers[ip]

    # -- orders -----------------------------------------------------------------------------

    async def execute(
        self, call: operator_api.Call
    ) -> Result[operator_api.Answer, Error] | operator_api.GuardedOutcome:
        """An operator's or a client's call at this machine's own doors."""
        match call:
            case operator_api.ResolveAddresses(_, region, zone):
                return self.resolve(region, zone)
            case operator_api.ReplaceConfiguration(body):
                checked = await self.parser.parse(body)
                if isinstance(checked, Failure):
                    return Failure(checked.failure())
                order = control.ReplaceOrder(checked.unwrap().version, body)
                passed = wire.OrderAsked(replace=wire.ReplaceConfiguration(body=body))
                return acknowledged(await self.decide(order, passed), operator_api.ConfigurationReplaced())
            case operator_api.RetrieveConfiguration():
                passed = wire.OrderAsked(retrieve=wire.RetrieveConfiguration())
                read = await self.decide(control.RetrieveOrder(), passed)
                return operator_api.GuardedOutcome(
                    read.outcome.map(operator_api.ConfigurationRetrieved), read.still_valid
                )
            case operator_api.InitiateEvacuation(zone) | operator_api.TerminateEvacuation(zone):
                if zone not in self.node.zones:
                    return self.no_zone(zone)
                on = isinstance(call, operator_api.InitiateEvacuation)
                passed = wire.OrderAsked(evacuate=wire.Evacuate(zone=zone, on=on))
                decided = await self.decide(control.EvacuationOrder(zone, on), passed)
                return acknowledged(decided, operator_api.EvacuationSet(zone, on))
        return Failure(Error(ErrorCode.NOT_FOUND, "no such call"))

    def resolve(
        self, region: str, zone: str
    ) -> Result[operator_api.Answer, Error] | operator_api.GuardedOutcome:
        """Ingresses that were heard here lately: this machine's own hearing, whoever leads."""
        looked_at = self.now()
        fronts = self.presence.resolve(looked_at, region, zone)
        if not fronts:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no ingress is known here"))
        answer = operator_api.AddressesResolved(tuple(fronts), min(TTL_S, self.node.bounds.ttl_max_s))
        return operator_api.GuardedOutcome(Success(answer), lambda: self.now() <= looked_at + NAMED_US)

    def no_zone(self, zone: str) -> operator_api.GuardedOutcome:
        """Danger: a cut-off machine's settings may be older than the zone, and a 404 ends an order."""
        unknown = Failure(Error(ErrorCode.NOT_FOUND, f"no zone {zone}"))
        return operator_api.GuardedOutcome(unknown, lambda: self.is_in_force(self.now()))

    def on_rejected(self, call: operator_api.Call, fault: Error) -> None:
        """An operator got no 2xx."""
        told = {"call": type(call).__name__, "status": fault.status, "why": fault.text}
        self.log_event(LogEvent(Event.ORDER_REJECTED, told))

    async def decide(self, order: control.Order, passed: wire.OrderAsked) -> operator_api.GuardedOutcome:
        """Settle it here where this is the primary; else pass it on once.

        Danger: evacuations have no version.  One that waited at the door while this process stood still may
        be older than its end, which others have acknowledged since.
        """
        if isinstance(order, control.EvacuationOrder) and self.replica.was_paused(self.now()):
            waited = Failure(Error(ErrorCode.UNAVAILABLE, "it may have waited here", ASK_AGAIN_US))
            return operator_api.GuardedOutcome(waited, lambda: True)
        if self.replica.is_leader(self.now()):
            return await self.decide_here(order)
        passed_at = self.now()
        outcome = await self.forward(passed)
        return operator_api.GuardedOutcome(outcome, lambda: self.now() <= passed_at + PASSED_READING_US)

    async def decide_here(self, order: control.Order) -> operator_api.GuardedOutcome:
        """By the epoch that this machine holds; it lasts as long as that is held."""
        epoch = self.replica.epoch
        return operator_api.GuardedOutcome(await self.submit(order), lambda: self.is_leader_of(epoch))

    async def forward(self, passed: wire.OrderAsked) -> Result[bytes, Error]:
        primary = self.replica.primary_ip
        if not primary or primary == self.node.ip_address:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no primary is known", ASK_AGAIN_US))
        answer = await self.ask_primary(primary, passed)
        if answer is None or answer.WhichOneof("body") != "done":
            return Failure(Error(ErrorCode.UNAVAILABLE, "no answer from the primary", ASK_AGAIN_US))
        if answer.done.kind:
            return Failure(passed_on(answer.done))
        return Success(answer.done.body)

    async def ask_primary(self, primary: str, passed: wire.OrderAsked) -> wire.Frame | None:
        """Its answer to an order passed on; an evacuation goes with the number of the zone's last order.

        Danger: its caller may have given the same order elsewhere by now, and others since.  Held up here, it
        is dropped; on its way, refused by the number.
        """
        began = self.now()
        if passed.HasField("evacuate"):
            asked = wire.EvacuationNumberAsked(zone=passed.evacuate.zone)
            frame = wire.Frame(order=wire.OrderAsked(evacuation_number=asked))
            told = await self.paths.request(primary, frame, PASS_ON_S)
            if told is None or told.WhichOneof("body") != "done" or told.done.kind:
                return told
            if self.now() >= began + OVERTAKEN_US:
                return None
            passed.evacuate.after = told.done.number
        return await self.paths.request(primary, wire.Frame(order=passed), PASS_ON_S)

    async def submit(self, order: control.Order) -> Result[bytes, Error]:
        number, self.next_order = self.next_order, self.next_order + 1
        future: asyncio.Future[Result[bytes, Error]] = self.loop.create_future()
        self.orders[number] = future
        try:
            self.feed(control.Submitted(number, order))
            return (await future).alt(self.explain)
        finally:
            del self.orders[number]

    def explain(self, fault: Error) -> Error:
        """What was not settled may have waited for a disk."""
        if fault.code is not ErrorCode.UNAVAILABLE or not self.persister.failure_reason:
            return fault
        return Error(
            fault.code, f"{fault.text}; the disk here refuses: {self.persister.failure_reason}", BACK_US
        )

    async def on_forwarded_order(self, frame: wire.Frame, channel: Channel) -> None:
        """An order that another core machine passed on: settled here or not at all."""
        asked = frame.order
        if asked.HasField("evacuation_number") and self.replica.is_leader(self.now()):
            number = self.replica.last_evacuation_order(asked.evacuation_number.zone)
            channel.reply(frame, wire.Frame(done=wire.OrderDone(number=number)))
            return
        outcome = await self.execute_forwarded(asked)
        done = wire.OrderDone()
        match outcome:
            case Success(body):
                done.body = body
            case Failure(fault):
                done.kind, done.text = fault.code.value, fault.text
        channel.reply(frame, wire.Frame(done=done))

    async def execute_forwarded(self, asked: wire.OrderAsked) -> Result[bytes, Error]:
        """As it may leave: what is read out or refused for good only while the lease lasts."""
        if not self.replica.is_leader(self.now()):
            return Failure(Error(ErrorCode.UNAVAILABLE, "not the primary"))
        match asked.WhichOneof("order"):
            case "replace":
                checked = await self.parser.parse(asked.replace.body)
                if isinstance(checked, Failure):
                    return Failure(checked.failure())
                order = control.ReplaceOrder(checked.unwrap().version, asked.replace.body)
                return acknowledged(await self.decide_here(order), b"").checked_at_send()
            case "retrieve":
                return (await self.decide_here(control.RetrieveOrder())).checked_at_send()
            case "evacuate":
                evacuation = evacuation_of(asked.evacuate)
                return acknowledged(await self.decide_here(evacuation), b"").checked_at_send()
        return Failure(Error(ErrorCode.UNAVAILABLE, "no such order"))

    # -- time -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        now = self.now()
        self.feed(control.Tick())
        self.repair_driver.tick()
        for note in self.presence.expire(now):
            self.log_event(note)
        holds = self.replica.is_leader(now)
        if holds and (self.server_list_task is None or self.server_list_task.done()):
            self.begin_duties(now)
        elif not holds and self.quota_coordinator is not None:
            self.end_duties()
        if self.quota_coordinator is not None:
            self.quota_coordinator.fleet(now, self.presence.may_serve())
            standing = self.quota_coordinator.log_fields()
            if standing is not None:
                self.log_event(
                    LogEvent(
                        Event.QUOTA_COORDINATOR_STATUS, {"epoch": self.quota_coordinator.epoch, **standing}
                    )
                )
            self.publish_ingresses()
        self.carry_sends(self.subscriber.tick(now))
        if self.snapshots is not None and (self.shelving is None or self.shelving.done()):
            due = [
                led for name, led in self.sources.items() if led.stamp > self.shelved.get(name, ZERO_STAMP)
            ]
            if due:
                self.shelving = self.loop.create_task(self.put_away(self.snapshots, due))
        named = {*self.replica.voters, *self.subscriber.seeds} - {self.node.ip_address}
        self.paths.keep_peers(named)

    async def put_away(self, shelf: SnapshotStore, due: list[Source]) -> None:
        """Keep what has been told, off the loop; a disk that refuses is tried again after a while."""
        for ledger in due:
            news = ledger.update_since(self.shelved.get(ledger.name, ZERO_STAMP))
            if news is None:
                continue
            outcome = await self.loop.run_in_executor(self.persister.thread, shelf.save, news)
            if isinstance(outcome, Failure):
                self.log_event(LogEvent(Event.STORE_FAILED, {"why": outcome.failure().text}))
                self.shelved.pop(ledger.name, None)  # all of it, when it is tried again
                await asyncio.sleep(SHELF_BACK_OFF_S)
                return
            self.shelved[ledger.name] = (news.stamp.epoch, news.stamp.seq)
        await asyncio.sleep(SHELF_PAUSE_S)

    def begin_duties(self, now: int) -> None:
        epoch = self.replica.epoch
        for name in self.directory.rows:
            self.presence.remember(now, name)
        if self.quota_coordinator is None:
            self.quota_coordinator = self.holder_of(epoch, now)
            self.quota_coordinator.fleet(now, self.presence.may_serve())
            if self.configuration is not None:
                self.quota_coordinator.configure(now, self.configuration.tenants)
        self.server_list_task = self.loop.create_task(self.read_list(epoch))

    def holder_of(self, epoch: int, now: int) -> QuotaCoordinator:
        """Danger: ingresses know holders by the epoch.  One that begins anew within it would be taken for the
        one that has heard of all that passed."""
        if self.paused_quota_coordinator is not None and self.paused_quota_coordinator.epoch == epoch:
            return self.paused_quota_coordinator
        bounds = self.node.bounds
        quota = QuotaBounds(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)
        return QuotaCoordinator(epoch, now, quota)

    def publish_ingresses(self) -> None:
        """Who may be serving, as rows: by how many a quota is divided, and who knows whom."""
        rows = self.presence.rows(self.now())
        if rows != self.directory.values():
            epoch, seq = self.directory.stamp
            stamp = (self.replica.epoch, seq + 1 if epoch == self.replica.epoch else 1)
            if self.directory.publish(stamp, rows):
                self.notify_watchers()

    def end_duties(self) -> None:
        self.paused_quota_coordinator, self.quota_coordinator = self.quota_coordinator, None
        if self.server_list_task is not None:
            self.server_list_task.cancel()
        self.log_event(LogEvent(Event.QUOTA_COORDINATOR_STOPPED))

    def is_leader_of(self, epoch: int) -> bool:
        return self.replica.is_leader(self.now()) and self.replica.epoch == epoch

    async def read_list(self, epoch: int) -> None:
        """Read the platform's list, and tell what it says, for as long as the epoch is held."""
        reader = ServerListReader(self.node.zones, self.discovery.values())
        # Danger: a regained lease is of the same epoch; numbers that began again would be taken for old.
        published, seq = self.discovery.stamp
        seq = seq if published == epoch else 0
        told, failed = None, False
        while self.is_leader_of(epoch):
            began = self.loop.time()
            match await self.server_list_client.read():
                case Success(entries):
                    if not self.is_leader_of(epoch):
                        return
                    serving = [(one.node, one.region) for one in self.presence.serving(self.now())]
                    rows: Mapping[str, bytes] = reader.read(entries, serving)
                    if rows != told:
                        seq, told = seq + 1, rows
                        self.discovery.publish((epoch, seq), rows)
                        self.log_event(
                            LogEvent(
                                Event.SERVER_LIST_READ, {"epoch": epoch, "seq": seq, "servers": len(rows)}
                            )
                        )
                        self.notify_watchers()
                    failed = False
                case Failure(fault):
                    if not failed:
                        self.log_event(LogEvent(Event.SERVER_LIST_FAILED, {"why": fault.text}))
                    failed = True
            pause = max(READ_PAUSE_S, self.server_list_client.pause_s)
            await asyncio.sleep(max(0.05, began + pause - self.loop.time()))

    # -- keeping up with the other core machines ----------------------------------------------------

    def carry_sends(self, sends: Sequence[SubscriberOutput]) -> None:
        self.subscriber_driver.carry(sends)

    def heartbeat(self) -> wire.Heartbeat:
        node = self.node
        return wire.Heartbeat(
            node=node.node_name,
            ip=node.ip_address,
            zone=node.zone,
            region=node.region,
            vector=version_vector(self.sources),
        )

    def on_updates_applied(self, changed: set[str]) -> None:
        if changed:
            self.notify_watchers()

    def update_settings(self, node: NodeSettings) -> None:
        self.node = node
        seeds = [host for host, _ in node.seed_nodes]
        self.replica.update_seeds(seeds)
        self.subscriber.update_seeds(seeds)

    def begin_shut_down(self) -> None:
        """Another is to lead, or to hold the copy, at once."""
        self.feed(control.ShutDown())

    def must_stay(self, deadline_s: float, seat_end_s: float) -> bool:
        """Whether this machine, about to end, has something that another has to take over first.

        :param seat_end_s: on the loop's clock: until when it waits for its seat alone to be taken
        """
        at = self.loop.time()
        if self.replica.is_needed(self.now()):
            return at < deadline_s
        return self.replica.is_voter and at < seat_end_s

    async def close(self, deadline_s: float) -> None:
        """Votes on until others have taken over, for a while.

        :param deadline_s: on the loop's clock
        """
        seat_end = min(deadline_s, self.loop.time() + LAST_VOTE_S)
        while self.must_stay(deadline_s, seat_end):
            await asyncio.sleep(TICK_S)
        await self.subscriber_driver.close()
        if self.server_list_task is not None:
            self.server_list_task.cancel()
        await self.server_list_client.close()
        self.commit_publisher.close()
        self.repair_driver.close()
        self.persister.close()
        self.parser.close()


def acknowledged(decided: operator_api.GuardedOutcome, answer: object) -> operator_api.GuardedOutcome:
    """A change that was settled: on enough disks it stays acknowledged, whoever leads by now."""
    if isinstance(decided.outcome, Success):
        return operator_api.GuardedOutcome(Success(answer), lambda: True)
    return decided
