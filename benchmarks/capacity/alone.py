"""One role in a process of its own, given the state of the size that is asked for: memory, processor time and
the longest stop of its loop, for `docs/CAPACITY.md`.

Each measurement is a process (`python -m benchmarks.capacity.alone WHAT ARGUMENTS`), as memory that was used
once is not given back.  It writes one line of JSON.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.capacity import configurations as made
from benchmarks.capacity.fleet import acknowledged
from vetchusher.control import Store
from vetchusher.directory.presence import Presence
from vetchusher.discovery.reader import ServerListReader, read_page
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import rows_of
from vetchusher.distribution.snapshot import SnapshotStore, snapshot_of
from vetchusher.distribution.source import Source
from vetchusher.events import LogEvent
from vetchusher.node import api_calls
from vetchusher.node.context import NodeContext
from vetchusher.node.control_node import ControlNode
from vetchusher.node.edge_node import EdgeNode
from vetchusher.node.peer_network import PeerNetwork
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.windows import QuotaBounds as QuotaBounds
from vetchusher.routing.actions import ForwardResponse, RequestHead, SendAttempt
from vetchusher.routing.admission import admit_request
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.settings.compiled import form
from vetchusher.settings.configuration import Tenant, read_configuration
from vetchusher.settings.node import Bounds, Listen, MachineLimits, NodeSettings, Tolerance

WAKE_S = 0.001
CHANGES = 3
REQUESTS = 4_000
DRAWN = 400  # tenants whose requests are judged
EACH_PUSH = 40  # requests between two pushes
ME, ZONE = "10.1.0.1", "region0-0"
SYNC_S = 0.15
PUSHES = 400
SECOND_US = 1_000_000


def memory_mb(what: str = "VmRSS") -> float:
    """:param what: `VmHWM` for the highest so far"""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(what):
            return int(line.split()[1]) / 1024
    raise LookupError(what)


def written_bytes() -> int:
    """Bytes that this process has handed to the kernel for files."""
    lines = dict(line.split(": ") for line in Path("/proc/self/io").read_text().splitlines())
    return int(lines["wchar"])


class Watch:
    """Wakes every millisecond; `worst` is by how much it came late, as far as this process used the processor
    meanwhile (what other programs take away is no stop of its making)."""

    def __init__(self) -> None:
        self.worst = 0.0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        before, used = time.perf_counter(), time.process_time()
        while True:
            await asyncio.sleep(WAKE_S)
            now, now_used = time.perf_counter(), time.process_time()
            self.worst = max(self.worst, min(now - before - WAKE_S, now_used - used))
            before, used = now, now_used


async def phase(watch: Watch, work: Callable[[], Awaitable[object]]) -> dict[str, float]:
    """ms of processor, of wall clock, and of the longest stop of the loop."""
    await asyncio.sleep(0.01)
    watch.worst, used, begun = 0.0, time.process_time(), time.perf_counter()
    await work()
    took = time.perf_counter() - begun
    spent = time.process_time() - used
    await asyncio.sleep(0.01)
    return {"cpu_ms": spent * 1e3, "wall_ms": took * 1e3, "stall_ms": watch.worst * 1e3}


def median_of(found: list[dict[str, float]]) -> dict[str, float]:
    return {key: statistics.median(one[key] for one in found) for key in found[0]}


def settings(name: str, ip: str, core: bool) -> NodeSettings:
    zones = made.zones_of()
    return NodeSettings(
        name,
        ip,
        ZONE,
        zones[ZONE],
        (0, 0),
        (("10.0.0.1", 1),),
        first_start=True,
        zones=zones,
        bounds=Bounds(quota_overrun=0.1, quota_slack=20),
        listen=Listen() if core else Listen(front=(ip, 80)),
        limits=MachineLimits(memory_mb=2_048),
        tolerance=Tolerance(machine_losses=0 if core else 1),
    )


def silent(_: LogEvent) -> None:
    """The log is not measured."""


def steady_us() -> int:
    return time.monotonic_ns() // 1000


# -- an ingress ------------------------------------------------------------------------------------


def write_news(folder: Path, routes: int, services: int, tenants: int, servers: int, ingresses: int) -> None:
    """What the ingress is told, as bytes in files: made by another process, so that the ingress's memory is
    its own."""
    zones = made.zones_of()
    before: dict[str, bytes] = {}
    for version in range(1, CHANGES + 2):
        raw = made.configuration(version, routes, services, tenants)
        rows = rows_of(read_configuration(raw).unwrap(), raw, {})
        changed = {key: value for key, value in rows.items() if before.get(key) != value}
        news = made.source_news("control", version, changed, version - 1)
        (folder / f"control{version}").write_bytes(news.SerializeToString())
        before = rows
    found = made.server_rows(servers, services, list(zones), "e0")
    (folder / "servers1").write_bytes(made.source_news("discovery", 1, found).SerializeToString())
    for change in range(CHANGES):
        instance, value = list(found.items())[change]
        one = {instance: value.replace(b',0,0,"e0"', b',1,0,"e0"')}
        news = made.source_news("discovery", change + 2, one, change + 1)
        (folder / f"servers{change + 2}").write_bytes(news.SerializeToString())
    named = made.ingress_rows(ingresses + CHANGES, zones)
    first = dict(list(named.items())[:ingresses])
    (folder / "ingresses1").write_bytes(made.source_news("directory", 1, first).SerializeToString())
    for change in range(CHANGES):
        name = f"e{ingresses + change}"
        value = named[name].replace(b"region%d-" % ((ingresses + change) % 4), b"region0-")
        value = value.replace(b'"region%d"' % ((ingresses + change) % 4), b'"region0"')
        news = made.source_news("directory", change + 2, {name: value}, change + 1)
        (folder / f"ingresses{change + 2}").write_bytes(news.SerializeToString())


async def take(node: EdgeNode, file: Path) -> None:
    news = wire.News.FromString(file.read_bytes())
    await node.subscriber_driver.apply_updates(0, news)
    while node.parse_task is not None:
        await asyncio.sleep(0.002)


async def edge(
    folder: str, routes: int, services: int, tenants: int, servers: int, ingresses: int
) -> dict[str, Any]:
    place, loop = Path(folder), asyncio.get_running_loop()
    node_settings = settings("e0", ME, False)
    paths = PeerNetwork(loop, ME, ZONE, 0, lambda frame, way: None, silent)
    node = EdgeNode(NodeContext(loop, node_settings, paths, random.Random(1), steady_us, silent))
    gc.freeze()
    gc.enable()
    watch, found = Watch(), dict[str, Any]()
    found["start_mb"] = memory_mb()
    for name in ("control", "servers", "ingresses"):
        found[f"{name}_first"] = await phase(watch, lambda name=name: take(node, place / f"{name}1"))  # type: ignore[misc]
        found[f"{name}_mb"], found[f"{name}_peak_mb"] = memory_mb(), memory_mb("VmHWM")
        found[f"{name}_bytes"] = (place / f"{name}1").stat().st_size
        found[f"{name}_change_bytes"] = (place / f"{name}2").stat().st_size
    for name in ("control", "servers", "ingresses"):
        files = [place / f"{name}{number}" for number in range(2, CHANGES + 2)]
        each = [await phase(watch, lambda file=file: take(node, file)) for file in files]  # type: ignore[misc]
        found[f"{name}_change"] = median_of(each)
        found[f"{name}_changed_mb"] = memory_mb()
    found["end_mb"], found["peak_mb"] = memory_mb(), memory_mb("VmHWM")
    watch.task.cancel()
    found["version"], found["servers_known"] = node.version, len(node.servers)
    found["request_us"], found["request_99_us"] = requests(node, routes, tenants)
    node.proxy.attempts.session.detach()
    await node.subscriber_driver.close()
    return found


def timed_us(work: Callable[[], object], times: int) -> float:
    used = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - used) / times * 1e6


def requests(node: EdgeNode, routes: int, tenants: int) -> tuple[float, float]:
    """us of processor for all decisions on one request that goes to one server: median, and 99 in 100."""
    rng, ground, spent = random.Random(1), node.proxy.context, []
    ground.fresh_until = 1 << 62
    drawn = [rng.randrange(tenants) for _ in range(DRAWN)]
    held = QuotaCoordinator(1, steady_us())
    assert ground.table is not None
    quotas = ground.table.configuration.tenants
    held.configure(steady_us(), {name: quotas[name] for name in (f"t{n:06d}" for n in drawn)})
    held.set_ingresses(steady_us(), {"e0": steady_us()})
    for turn in range(REQUESTS):
        if turn % EACH_PUSH == 0:
            sync(node, held)
        number, tenant = rng.randrange(routes), rng.choice(drawn)
        headers = [
            ("Host", f"h{number % made.HOSTS:04d}.example"),
            ("X-Vetchusher-Attempt-Id", "9c41d07be2a35f68"),
            ("X-Vetchusher-Time-Remaining", "2000"),
            ("Authorization", f"Bearer {made.key_of(tenant, 0)}"),
        ]
        now = steady_us()
        begun = time.thread_time_ns()
        request = admit_request(ground, RequestHead("GET", f"/p{number:06d}/2f", headers, now)).value_or(None)
        if request is not None:
            acts = request.start(now)
            sent = [act for act in acts if isinstance(act, SendAttempt)]
            ended = (
                request.on_attempt_ended(now + 20_000, sent[0].number, AttemptOutcome.ANSWERED)
                if sent
                else []
            )
            if any(isinstance(act, ForwardResponse) for act in ended):
                spent.append((time.thread_time_ns() - begun) / 1e3)
                request.on_client_left(now + 20_000)
    return statistics.median(spent), statistics.quantiles(spent, n=100)[98]


def sync(node: EdgeNode, held: QuotaCoordinator) -> None:
    """The totals of the drawn tenants, as the holder would tell them."""
    push = node.quota.next_push(steady_us())
    if push is not None:
        node.quota.on_totals(steady_us(), held.on_push(steady_us(), push))


# -- a control member ------------------------------------------------------------------------------


async def control(bodies: str, routes: int, services: int, tenants: int) -> dict[str, Any]:
    """A member that is alone: it is the primary, and reads, keeps and tells each change itself.

    :param bodies: folder of the configurations
    """
    loop, place = asyncio.get_running_loop(), Path(bodies)
    with tempfile.TemporaryDirectory() as folder:
        store = Store.open(folder).unwrap()
        shelf = SnapshotStore.open(folder).unwrap()
        paths = PeerNetwork(loop, "10.0.0.1", ZONE, 0, lambda frame, way: None, silent)
        node_settings = settings("c0", "10.0.0.1", True)
        context = NodeContext(loop, node_settings, paths, random.Random(1), steady_us, silent)
        node = ControlNode(context, store, None, shelf)
        gc.freeze()
        gc.enable()
        watch, found = Watch(), dict[str, Any]()
        ticking = loop.create_task(node.run())
        while not node.replica.is_leader(steady_us()):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        found["start_mb"] = memory_mb()
        each = []
        for version in range(1, CHANGES + 2):
            body, before = (place / f"body{version}").read_bytes(), written_bytes()
            spent = await phase(watch, lambda body=body, version=version: order(node, body, version))  # type: ignore[misc]
            found[f"mb{version}"] = memory_mb()
            each.append(spent | {"written": float(written_bytes() - before)})
        found["first"], found["change"], found["body"] = each[0], median_of(each[1:]), float(len(body))
        found["mb"], found["peak_mb"] = memory_mb(), memory_mb("VmHWM")
        found["disk"] = float(sum(file.stat().st_size for file in Path(folder).iterdir()))
        found |= telling(node)
        for task in (ticking, watch.task):
            task.cancel()
    return found


async def order(node: ControlNode, body: bytes, version: int) -> None:
    """Until it is acknowledged, told to readers, and put away."""
    writer = node.snapshot_writer
    assert writer is not None
    acknowledged(await node.execute(api_calls.ReplaceConfiguration(body))).unwrap()
    while node.commit_publisher.is_behind or node.control.stamp > writer.persisted_stamps.get(
        "control", (0, 0)
    ):
        await asyncio.sleep(0.005)


def telling(node: ControlNode) -> dict[str, float]:
    """What readers are sent: all rows, and one change's."""
    epoch, seq = node.control.stamp
    none = [wire.SourceAt(source="control", stamp=wire.Stamp())]
    last = [wire.SourceAt(source="control", stamp=wire.Stamp(epoch=epoch, seq=seq - 1))]
    found = {}
    for name, vector in (("whole", none), ("delta", last)):
        used = time.process_time()
        found[f"{name}_bytes"] = float(len(node.publisher.updates_for(vector)))
        found[f"{name}_ms"] = (time.process_time() - used) * 1e3
    used = time.process_time()
    snapshot_of(node.control)
    found["put_away_ms"] = (time.process_time() - used) * 1e3
    return found


def write_bodies(folder: Path, routes: int, services: int, tenants: int) -> None:
    for version in range(1, CHANGES + 2):
        (folder / f"body{version}").write_bytes(made.configuration(version, routes, services, tenants))


# -- holder of totals, directory, reader of the list ------------------------------------------------


async def holder(ingresses: int, tenants: int, named: int) -> dict[str, Any]:
    """:param named: tenants in a push: those that passed since the last"""
    shape = Tenant("", (), None, 5.0, 5.0, frozenset())
    start = memory_mb()
    held = QuotaCoordinator(1, 0, QuotaBounds(5.0, 0.1, 20.0))
    held.configure(0, {f"t{n:06d}": shape for n in range(tenants)})
    pools_mb = memory_mb() - start
    nodes = {f"e{n}": 0 for n in range(ingresses)}
    held.set_ingresses(0, nodes)
    rng, pushes, now = random.Random(1), [], 0
    count = max(PUSHES, 2 * ingresses)
    for number in range(count):
        passed = [
            wire.Passed(tenant=f"t{rng.randrange(tenants):06d}", count=number + 1, recent=1)
            for _ in range(named)
        ]
        pushes.append(
            wire.Push(node=f"e{number % ingresses}", life=1, number=number + 1, holder=1, passed=passed)
        )
    spent, answered = [], 0
    for push in pushes:
        now += int(SYNC_S * 1e6 / ingresses)
        used = time.process_time()
        answered += held.on_push(now, push).ByteSize()
        spent.append((time.process_time() - used) * 1e6)
    late = spent[count // 2 :]
    return {
        "push_us": statistics.mean(late),
        "answer_bytes": answered / count,
        "tick_us": timed_us(lambda: held.set_ingresses(now, nodes), 5),
        "standing_us": timed_us(held.log_fields, 5),
        "pools_mb": pools_mb,
        "mb": memory_mb() - start,
    }


async def words(ingresses: int, tenants: int) -> dict[str, Any]:
    """What the holder keeps once each ingress has passed something of each tenant."""
    shape = Tenant("", (), None, 5.0, 5.0, frozenset())
    held, names = QuotaCoordinator(1, 0, QuotaBounds(5.0, 0.1, 20.0)), [f"t{n:06d}" for n in range(tenants)]
    held.configure(0, dict.fromkeys(names, shape))
    held.set_ingresses(0, {f"e{n}": 0 for n in range(ingresses)})
    start, now = memory_mb(), 0
    for ingress in range(ingresses):
        now += SECOND_US
        passed = [wire.Passed(tenant=name, count=1, recent=1) for name in names]
        held.on_push(now, wire.Push(node=f"e{ingress}", life=1, number=1, holder=1, passed=passed))
    kept = sum(len(source.grants) for source in held.all_peers())
    grown = memory_mb() - start
    return {"words": float(kept), "mb": grown, "bytes a word": grown * (1 << 20) / kept}


async def directory(ingresses: int) -> dict[str, Any]:
    zones, presence = made.zones_of(), Presence()
    names = list(zones)
    beats = [
        wire.Heartbeat(
            node=f"e{n}",
            ip=made.ingress_ip(n),
            zone=names[n % len(names)],
            region=zones[names[n % len(names)]],
            front=f"{made.ingress_ip(n)}:80",
            life=1,
            standing=wire.READY,
        )
        for n in range(ingresses)
    ]
    used = time.process_time()
    for beat in beats:
        presence.on_heartbeat(0, beat)
    heard_us = (time.process_time() - used) / ingresses * 1e6
    rows = presence.rows(0)
    return {
        "heard_us": heard_us,
        "rows_us": timed_us(lambda: presence.rows(0), 10),
        "answer_us": timed_us(lambda: presence.resolve(0, "region0", "region0-0"), 10),
        "rows_bytes": float(made.source_news("directory", 1, rows).ByteSize()),
    }


async def reader(servers: int, ingresses: int) -> dict[str, Any]:
    """One whole read of the list, from its pages to rows of news."""
    zones = made.zones_of()
    names, nodes = list(zones), [(f"e{n}", f"region{n % 4}") for n in range(ingresses)]
    pages = made.pages(servers, 130, names)
    start, read, source = memory_mb(), ServerListReader(zones, {}), Source("discovery")
    found: dict[str, Any] = {"calls": float(len(pages))}
    for name in ("first", "next"):
        used = time.process_time()
        entries = [entry for page in pages for entry in read_page(page).unwrap().entries]
        rows = read.read(entries, nodes)
        source.publish((1, source.stamp[1] + 1), rows)
        found[f"{name}_ms"] = (time.process_time() - used) * 1e3
    found["mb"] = memory_mb() - start
    found["rows_bytes"] = float(made.source_news("discovery", 1, rows).ByteSize())
    return found


ROLES: dict[str, Callable[..., Awaitable[dict[str, Any]]]] = {
    "edge": edge,
    "control": control,
    "holder": holder,
    "words": words,
    "directory": directory,
    "reader": reader,
}


def main(argv: list[str]) -> int:
    what, *given = argv
    values: list[Any] = [int(value) if value.isdigit() else value for value in given]
    if what in ("write_news", "write_bodies"):
        (write_news if what == "write_news" else write_bodies)(Path(values[0]), *values[1:])
        return 0
    gc.disable()
    form("configuration")  # where the build has been run it is only loaded
    work = ROLES[what]

    async def run() -> dict[str, Any]:
        return await work(*values)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(run())))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
