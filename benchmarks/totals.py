"""Quotas inside the system: searches in virtual time, planted faults, plain ways, the cost of a decision.

    python -m benchmarks.totals search --plan 9x8,86x8 --scenes 10 --keep FILE
    python -m benchmarks.totals ways | planted | windows | traffic | cost

Every command prints a table and, with `--keep FILE`, writes it there as Markdown.
"""

from __future__ import annotations

import dataclasses
import pathlib
import platform
import random
import statistics
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import fire  # type: ignore[import-untyped]

from vetchusher.emulator.quota.judge import SECOND, Demand
from vetchusher.emulator.quota.mutations import PLANTED
from vetchusher.emulator.quota.scenes import LIGHT, drawn, drawn_large
from vetchusher.emulator.quota.ways import Central, EstimateAlone, GuardAlone, Split
from vetchusher.emulator.quota.world import Found, Scene, Trouble, World
from vetchusher.quota import windows
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.local_quota import LocalQuota
from vetchusher.settings.configuration import Tenant

WAYS = {"ours": LocalQuota, "estimate alone": EstimateAlone, "guard alone": GuardAlone, "fixed split": Split}
CENTRAL = "central call"


@dataclasses.dataclass(slots=True)
class Sum:
    """Over many runs."""

    runs: int = 0
    asked: int = 0
    over: int = 0  # runs in which a tenant passed more than its bound
    worst: float = 0.0
    light: tuple[int, int] = (0, 0)  # owed, and got less by; of tenants that were never hot
    heavy: tuple[int, int] = (0, 0)
    hot: tuple[int, int] = (0, 0)
    bytes_each: float = 0.0
    messages_each: float = 0.0
    waited_ms: float = 0.0

    def add(self, scene: Scene, found: Found) -> None:
        self.runs += 1
        self.over += bool(found.wrong())
        hot = {t.which for t in scene.troubles if t.kind == "hot"}
        for number, book in enumerate(found.books):
            self.asked += book.asked
            self.worst = max(self.worst, book.worst()[0])
            kind = "hot" if number in hot else "light" if book.demand.rate <= LIGHT else "heavy"
            owed, less = getattr(self, kind)
            short = max(0, book.owed - len(book.passed))
            setattr(self, kind, (owed + book.owed, less + short))
        self.bytes_each += found.bytes_each
        self.messages_each += found.messages / scene.length * SECOND / scene.ingresses

    def join(self, other: Sum) -> Sum:
        self.runs, self.asked, self.over = (
            self.runs + other.runs,
            self.asked + other.asked,
            self.over + other.over,
        )
        self.worst = max(self.worst, other.worst)
        for kind in ("light", "heavy", "hot"):
            mine, its = getattr(self, kind), getattr(other, kind)
            setattr(self, kind, (mine[0] + its[0], mine[1] + its[1]))
        self.bytes_each, self.messages_each = (
            self.bytes_each + other.bytes_each,
            self.messages_each + other.messages_each,
        )
        return self

    def cells(self) -> list[str]:
        shares = [f"{less / owed:.4f}" if owed else "-" for owed, less in (self.light, self.heavy, self.hot)]
        each = [f"{total / max(1, self.runs):.0f}" for total in (self.bytes_each, self.messages_each)]
        return [str(self.runs), f"{self.asked:,}", str(self.over), f"{self.worst:.3f}", *shares, *each]


HEAD = ["runs", "requests", "runs over the bound", "worst (1 is the bound)", "light short", "heavy short"]
HEAD += ["hot short", "bytes a s an ingress", "messages a s an ingress"]


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    lines = ["| " + " | ".join(row) + " |" for row in (head, ["---"] * len(head), *rows)]
    return lines


def told(name: str, lines: list[str], keep: str) -> None:
    print("\n".join(lines))
    if keep:
        command = " ".join(["python -m benchmarks.totals", *sys.argv[1:]])
        title = f"# Totals: {name}\n\n`{command}`, Python {platform.python_version()}.\n"
        pathlib.Path(keep).write_text("\n".join([title, *lines]) + "\n")


def play_large(job: tuple[int, int, int, int]) -> tuple[int, int, Sum, list[str]]:
    seed, ingresses, tenants, seconds = job
    scene = drawn_large(seed, ingresses, tenants, seconds * SECOND)
    found, total = World(scene).run(), Sum()
    total.add(scene, found)
    return (
        ingresses,
        tenants,
        total,
        [f"seed {seed} {ingresses}x{tenants}: {wrong}" for wrong in found.wrong()],
    )


def play_small(job: tuple[int, int]) -> tuple[Sum, list[str]]:
    seed, ingresses = job
    scene = dataclasses.replace(drawn(seed), ingresses=ingresses)
    found, total = World(scene).run(), Sum()
    total.add(scene, found)
    return total, [f"seed {seed} {ingresses}x3: {wrong}" for wrong in found.wrong()]


class Totals:
    """Tables of the quotas inside the system."""

    def search(
        self,
        plan: str = "9x8,86x8",
        scenes: int = 4,
        first: int = 0,
        seconds: int = 16,
        jobs: int = 1,
        keep: str = "",
    ) -> None:
        """Drawn scenes of every kind of trouble.

        :param plan: ingresses x tenants, with commas
        :param seconds: of each scene, in virtual time
        """
        pairs = [tuple(int(n) for n in one.split("x")) for one in str(plan).replace(" ", "").split(",")]
        work = [(seed, n, t, seconds) for n, t in pairs for seed in range(first, first + scenes)]
        sums: dict[tuple[int, int], Sum] = {}
        wrong: list[str] = []
        with ProcessPoolExecutor(jobs) as pool:
            for ingresses, tenants, total, found in pool.map(play_large, work):
                sums[ingresses, tenants] = sums.get((ingresses, tenants), Sum()).join(total)
                wrong += found
        rows = [[f"{n} x {t}", *total.cells()] for (n, t), total in sums.items()]
        told("search", [*table(["ingresses x tenants", *HEAD], rows), "", *wrong], keep)

    def scenes(
        self, ingresses: int = 86, count: int = 60, first: int = 0, jobs: int = 1, keep: str = ""
    ) -> None:
        """Scenes of three tenants, one hot, as the tests draw them, at another size."""
        total, wrong = Sum(), list[str]()
        with ProcessPoolExecutor(jobs) as pool:
            for one, found in pool.map(play_small, [(s, ingresses) for s in range(first, first + count)]):
                total.join(one)
                wrong += found
        told("scenes", [*table(["ingresses", *HEAD], [[str(ingresses), *total.cells()]]), "", *wrong], keep)

    def ways(self, runs: int = 3, keep: str = "") -> None:
        """The same scenes kept by us, by each judge alone, and by two plain ways."""
        demands = (Demand(150, 150), Demand(40, 40), Demand(10, 10, spread=2.0), Demand(5, 5, regional=True))
        hot = Trouble("hot", 5 * SECOND, 6 * SECOND, 9.0, 0)
        kinds = {
            "calm": (),
            "hot": (hot,),
            "hot, a third cut off": (hot, Trouble("cut", 6 * SECOND, 6 * SECOND, 0.33)),
            "hot, holder dies": (hot, Trouble("core", 7 * SECOND)),
        }
        rows = []
        for ingresses in (9, 86):
            for kind, troubles in kinds.items():
                for way in (*WAYS, CENTRAL):
                    total, wait = Sum(), []
                    for seed in range(runs):
                        scene = Scene(seed, ingresses, length=16 * SECOND, demands=demands, troubles=troubles)
                        world = Central(scene) if way == CENTRAL else World(scene, WAYS[way])
                        total.add(scene, world.run())
                        if isinstance(world, Central):
                            wait.append(world.waited / max(1, world.asks) / 1000)
                    held = f"{statistics.mean(wait):.0f}" if wait else "0"
                    rows.append([str(ingresses), kind, way, *total.cells()[2:], held])
        told("ways", table(["ingresses", "scene", "way", *HEAD[2:], "ms a request waits"], rows), keep)

    def planted(self, runs: int = 3, keep: str = "") -> None:
        """Each fault planted, and the same scenes without it."""
        rows = []
        for name, planted in PLANTED.items():
            without = [planted.wrong(World(planted.scene(seed)).run()) for seed in range(runs)]
            found = []
            for seed in range(runs):
                with planted.plant():
                    found.append(planted.wrong(World(planted.scene(seed)).run()))
            first = next((wrong[0] for wrong in found if wrong), "not found")
            rows.append(
                [name, f"{sum(map(bool, found))} of {runs}", f"{sum(map(bool, without))} of {runs}", first]
            )
        told("planted", table(["fault", "found", "without it", "first line"], rows), keep)

    def windows(self, keep: str = "") -> None:
        """Length and limit of a window: what the estimate alone, with exact totals, refuses of a tenant
        within rate and burst, and how much of a flood it lets through in 5 s."""
        rows = []
        for times in (1.0, 2.0, 5.0):
            for name, limit in (("burst", 0.0), ("rate x length + burst", 1.0)):
                refused = [in_vain(rate, times, limit) for rate in (5.0, 25.0, 150.0)]
                floods = [flood(rate, times, limit) for rate in (5.0, 150.0)]
                cells = [f"{share:.4f}" for share in refused] + [f"{part:.2f}" for part in floods]
                rows.append([f"{times:.0f} x burst / rate", name, *cells])
        head = [
            "length",
            "limit",
            "refused at 5/s",
            "at 25/s",
            "at 150/s",
            "flood at 5/s (1 is the bound)",
            "at 150/s",
        ]
        told("windows", table(head, rows), keep)

    def traffic(self, sizes: str = "9,27,86,200,500", seconds: int = 8, keep: str = "") -> None:
        """Messages and bytes as the number of ingresses grows, each with the same traffic of its own."""
        rows = []
        for size in [int(n) for n in str(sizes).strip("()").split(",")]:
            demands = tuple(
                Demand(rate * size / 9, rate * size / 9) for rate in (5, 10, 16, 40, 70, 110, 126, 300)
            )
            found = World(Scene(1, size, length=seconds * SECOND, demands=demands)).run()
            total = found.messages / seconds
            short = max(book.shortfall() for book in found.books)
            cells = [f"{total / size:.1f}", f"{found.bytes_each:.0f}", f"{total / 2:.0f}", f"{short:.4f}"]
            rows.append([str(size), *cells])
        head = [
            "ingresses",
            "messages a s an ingress",
            "bytes a s an ingress",
            "pushes a s at the holder",
            "worst short",
        ]
        told("traffic", table(head, rows), keep)

    def cost(self, rounds: int = 7, requests: int = 20_000, keep: str = "") -> None:
        """us of processor for one decision, and for one push with its answer at the holder."""
        rows = []
        for tenants in (8, 1_000):
            for name, make in (("both judges", LocalQuota), ("guard alone", GuardAlone)):
                decisions, pushes = zip(*(costs(make, tenants, requests) for _ in range(rounds)), strict=True)
                cells = [
                    f"{statistics.median(found):.2f} ({min(found):.2f} to {max(found):.2f})"
                    for found in (decisions, pushes)
                ]
                rows.append([str(tenants), name, *cells])
        told("cost", table(["tenants", "judged by", "us a decision", "us a push, both sides"], rows), keep)


def bucket(rate: float, seed: int) -> Iterator[int]:
    """Times (us) of a tenant that comes in clumps, at 0.9 of its rate, thinned to what it may."""
    rng, at, tokens, last = random.Random(seed), 0, rate, 0
    while at < 400 * SECOND:
        at += int(rng.expovariate(rate * 0.3) * SECOND)
        for _ in range(rng.randrange(1, 6)):
            tokens, last = min(rate, tokens + rate * (at - last) / 1e6), at
            if tokens >= 1.0:
                tokens -= 1.0
                yield at


def in_vain(rate: float, times: float, limit: float) -> float:
    length = int(times * SECOND)
    most = rate * times * limit + rate * (times if not limit else 1.0)
    pair, count, refused = windows.WindowPair(0, 0), 0, 0
    for at in bucket(rate, 1):
        pair.roll(at // length, count)
        if pair.estimated_use(count, at % length, length) + 1.0 > most + 1e-9:
            refused += 1
        else:
            count += 1
    return refused / max(1, count + refused)


def flood(rate: float, times: float, limit: float) -> float:
    """Most that passes in 5 s of a flood that begins at any point of a window, as a part of RULES' bound."""
    length = int(times * SECOND)
    most = rate * times * limit + rate * (times if not limit else 1.0)
    bound = (rate * 5 + rate) * 1.1 + 20
    worst = 0
    for begin in range(0, length, length // 10):
        pair, count = windows.WindowPair(0, 0), 0
        for at in range(begin, begin + 5 * SECOND, SECOND // 1_000):
            pair.roll(at // length, count)
            while pair.estimated_use(count, at % length, length) + 1.0 <= most + 1e-9:
                count += 1
        worst = max(worst, count)
    return worst / bound


def costs(make: type[LocalQuota], tenants: int, requests: int) -> tuple[float, float]:
    names = [f"tenant{n}" for n in range(tenants)]
    known = {name: Tenant(name, (), None, 1e6, 1e6, frozenset()) for name in names}
    tally, holder, rng = make("e0", 1), QuotaCoordinator(1, 0), random.Random(1)
    for side in (tally, holder):
        side.configure(0, known)
    holder.set_ingresses(0, {"e0": 0})
    tally.set_ingresses(0, 1, True)
    drawn_names = [rng.choice(names) for _ in range(requests)]
    decided, told_us, pushes, now = 0.0, 0.0, 0, 0
    for start in range(0, requests, 100):
        now += 150_000
        begun = time.process_time()
        for name in drawn_names[start : start + 100]:
            tally.admit(now, name)
        middle = time.process_time()
        push = tally.next_push(now)
        if push is not None:
            tally.on_totals(now, holder.on_push(now, push))
            pushes += 1
        decided, told_us = decided + middle - begun, told_us + time.process_time() - middle
    return decided / requests * 1e6, told_us / max(1, pushes) * 1e6


if __name__ == "__main__":
    fire.Fire(Totals)
