"""Quotas inside the system in virtual time: ingresses in regions, a holder that dies, cuts, restarts, and the
judge.  The state machines run unchanged, each on a clock of its own.

The judge keeps two books a tenant: what passed, against the bound of every sliding window; and a token bucket
of (rate, burst) that takes what passed: a request refused while it holds one was refused in vain.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from vetchusher.limits.tally import Tally
from vetchusher.limits.totals import Holder
from vetchusher.limits.windows import Bounds
from vetchusher.settings.configuration import Tenant
from vetchusher.waggle.wire_pb2 import Push, Totals

MS, SECOND = 1_000, 1_000_000
SYNC, BEAT, TICK = 150 * MS, 500 * MS, 50 * MS
SEEN = 60 * SECOND
LEASE, TAKEOVER = 1_350 * MS, 1_500 * MS  # a cut-off holder answers so long; the next begins so much later
BOUNDS = Bounds()


@dataclass(slots=True, frozen=True)
class Demand:
    """A tenant's quota, and what it asks for as a part of it.

    :param spread: weights of ingresses are drawn with this power: 0 is even, 2 most uneven
    :param regional: it comes in one region only
    """

    rate: float
    burst: float
    load: float = 0.62
    spread: float = 1.0
    regional: bool = False


@dataclass(slots=True, frozen=True)
class Trouble:
    """`kind`: hot (x `factor`, tenant number `which`), cut (a share `factor` of the ingresses from all), core
    (the holder dies), split (the holder is cut off with a share `factor` and answers until its lease ends),
    restart (a share `factor` of the ingresses), limit (tenant `which`: rate and burst x `factor`), loss (a
    share `factor` of messages)."""

    kind: str
    at: int
    lasts: int = 0
    factor: float = 0.0
    which: int = 0


@dataclass(slots=True)
class Scene:
    seed: int = 1
    ingresses: int = 9
    regions: int = 3
    way_us: int = 55 * MS
    length: int = 30 * SECOND
    demands: tuple[Demand, ...] = (Demand(150, 150), Demand(10, 10))
    troubles: tuple[Trouble, ...] = ()
    loss: float = 0.0
    late: float = 0.01  # share of messages that wait up to 0.6 s, as where a link is full


@dataclass(slots=True)
class Book:
    """The judge's, of one tenant."""

    demand: Demand
    rate: float
    burst: float
    limits: list[tuple[int, float, float]]  # from when; rate; burst
    asked: int = 0
    passed: list[int] = field(default_factory=list)
    in_vain: int = 0
    tokens: float = 0.0
    at: int = 0
    refused_at: list[tuple[int, int]] = field(default_factory=list)  # in vain: when, where

    def gain(self, at: int) -> None:
        self.tokens = min(max(1.0, self.burst), self.tokens + (at - self.at) * self.rate / 1e6)
        self.at = at

    def limit_changes(self, at: int, rate: float, burst: float) -> None:
        self.gain(at)
        self.rate, self.burst = rate, burst
        self.limits.append((at, rate, burst))

    def bound(self, begins: int, ends: int) -> float:
        """Most that may pass then; a lower limit counts from a window after it was told to all."""
        span = int(BOUNDS.window_s * SECOND)
        times = [at for at, _, _ in self.limits]
        first = bisect_left(times, begins - span - SECOND)
        held = self.limits[max(0, first - 1) :]
        most = max(
            rate * BOUNDS.window_s + burst for at, rate, burst in held if at <= ends or at == held[0][0]
        )
        return most * (1.0 + BOUNDS.overrun) + BOUNDS.slack

    def worst(self) -> tuple[float, int]:
        """The fullest window: the part of its bound that was used, and when it ended."""
        span, window = int(BOUNDS.window_s * SECOND), deque[int]()
        worst, when = 0.0, 0
        for at in self.passed:
            window.append(at)
            while window[0] <= at - span:
                window.popleft()
            used = len(window) / self.bound(window[0], at)
            if used > worst:
                worst, when = used, at
        return worst, when


@dataclass(slots=True)
class Ingress:
    number: int
    region: int
    offset: int
    tally: Tally | None = None
    life: int = 0
    seen: int = 0  # us: its last beat at the core
    cut: int = 0  # cuts that last

    def now(self, at: int) -> int:
        return at + self.offset


@dataclass(slots=True)
class Post:
    """A holder, and where.  `alone`: with whom it is cut off from the others."""

    holder: Holder
    region: int
    offset: int
    answers: bool = True
    alone: frozenset[int] | None = None


class World:
    """Owner of all ingresses and holders, and of the heap of what is to happen."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.rng = random.Random(scene.seed)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = self.at = self.bytes = self.messages = 0
        self.loss = scene.loss
        self.factors = [1.0] * len(scene.demands)
        self.tenants = {self.name(n): self.tenant(n, 1.0) for n in range(len(scene.demands))}
        self.books = [Book(d, d.rate, d.burst, [(0, d.rate, d.burst)], tokens=d.burst) for d in scene.demands]
        self.ingresses = [
            Ingress(n, n % scene.regions, self.rng.randrange(10**10)) for n in range(scene.ingresses)
        ]
        self.epoch = 0
        self.posts: list[Post] = []  # the newest last
        self.weights = [self.weights_of(d) for d in scene.demands]

    # -- who and what -------------------------------------------------------------------

    def name(self, number: int) -> str:
        return f"tenant{number:02}"

    def tenant(self, number: int, factor: float) -> Tenant:
        demand = self.scene.demands[number]
        return Tenant(self.name(number), (), None, demand.rate * factor, demand.burst * factor, frozenset())

    def weights_of(self, demand: Demand) -> list[float]:
        drawn = [self.rng.random() ** demand.spread + 0.02 for _ in self.ingresses]
        home = self.rng.randrange(self.scene.regions)
        if demand.regional:
            drawn = [w if i.region == home else 0.0 for w, i in zip(drawn, self.ingresses, strict=True)]
        return list(accumulate(drawn))

    def after(self, delay: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.at + delay, self.serial, what))

    def start(self, ingress: Ingress) -> None:
        ingress.life += 1
        ingress.tally = Tally(f"edge{ingress.number}", ingress.life)
        ingress.tally.configure(ingress.now(self.at), self.tenants)
        life = ingress.life
        self.after(self.rng.randrange(BEAT // 5), lambda: self.beat(ingress, life))
        self.after(self.rng.randrange(SYNC), lambda: self.sync(ingress, life))

    def take_over(self) -> None:
        self.epoch += 1
        offset = self.rng.randrange(10**10)
        post = Post(Holder(self.epoch, self.at + offset), self.rng.randrange(self.scene.regions), offset)
        post.holder.configure(self.at + offset, self.tenants)
        self.posts.append(post)
        self.tell_fleet(post)

    def tell_fleet(self, post: Post) -> None:
        if not post.answers:
            return
        nodes = {f"edge{i.number}": i.seen + post.offset for i in self.ingresses if self.at - i.seen < SEEN}
        post.holder.fleet(self.at + post.offset, nodes)
        self.after(BEAT, lambda: self.tell_fleet(post))

    # -- messages -------------------------------------------------------------------------

    def reaches(self, ingress: Ingress, post: Post) -> bool:
        if ingress.cut or not post.answers:
            return False
        if post.alone is not None:
            return ingress.number in post.alone
        return not any(p.alone and ingress.number in p.alone for p in self.posts if p.answers)

    def way(self, ingress: Ingress, region: int) -> int:
        way = self.scene.way_us if ingress.region != region else MS
        way += int(self.rng.expovariate(1.0 / (3 * MS)))
        if self.rng.random() < self.scene.late:
            way += self.rng.randrange(600 * MS)
        return way

    def beat(self, ingress: Ingress, life: int) -> None:
        """To all of the core; the answer says how many may be serving."""
        if ingress.life != life or ingress.tally is None:
            return
        if not ingress.cut:
            ingress.seen = self.at
            count = sum(self.at - i.seen < SEEN and i.life > 0 for i in self.ingresses)
            tally = ingress.tally
            self.after(
                2 * self.way(ingress, (ingress.region + 1) % 3),
                lambda: tally.fleet(self.at + ingress.offset, count, False),
            )
        self.after(BEAT, lambda: self.beat(ingress, life))

    def sync(self, ingress: Ingress, life: int) -> None:
        if ingress.life != life or ingress.tally is None:
            return
        self.send(ingress, life)
        self.after(SYNC, lambda: self.sync(ingress, life))

    def send(self, ingress: Ingress, life: int) -> None:
        if ingress.life != life or ingress.tally is None:
            return
        push = ingress.tally.push(ingress.now(self.at))
        post = next((p for p in reversed(self.posts) if self.reaches(ingress, p)), None)
        if push is not None and post is not None:
            data = push.SerializeToString()
            self.count(data)
            if self.rng.random() >= self.loss:
                self.after(self.way(ingress, post.region), lambda: self.asked(ingress, life, post, data))

    def asked(self, ingress: Ingress, life: int, post: Post, data: bytes) -> None:
        if not self.reaches(ingress, post):
            return
        answer = post.holder.push(self.at + post.offset, Push.FromString(data)).SerializeToString()
        self.count(answer)
        self.alarm(post)
        if self.rng.random() >= self.loss:
            self.after(self.way(ingress, post.region), lambda: self.answered(ingress, life, post, answer))

    def alarm(self, post: Post) -> None:
        alarm = post.holder.alarm(self.at + post.offset)
        if alarm is None:
            return
        data = alarm.SerializeToString()
        for ingress in self.ingresses:
            self.count(data)
            if self.rng.random() >= self.loss:
                way = self.way(ingress, post.region)
                self.after(way, lambda i=ingress, life=ingress.life: self.alarmed(i, life, post, data))  # type: ignore[misc]

    def alarmed(self, ingress: Ingress, life: int, post: Post, data: bytes) -> None:
        if ingress.tally is not None and ingress.life == life and self.reaches(ingress, post):
            ingress.tally.alarm(ingress.now(self.at), Totals.FromString(data))

    def answered(self, ingress: Ingress, life: int, post: Post, data: bytes) -> None:
        if ingress.tally is not None and ingress.life == life and self.reaches(ingress, post):
            ingress.tally.heard(ingress.now(self.at), Totals.FromString(data))

    def count(self, data: bytes) -> None:
        self.bytes += len(data)
        self.messages += 1

    # -- requests ---------------------------------------------------------------------------

    def arrive(self, number: int) -> None:
        book = self.books[number]
        rate = max(0.01, book.demand.rate * book.demand.load * self.factors[number])
        self.after(int(self.rng.expovariate(rate) * SECOND), lambda: self.arrive(number))
        weights = self.weights[number]
        ingress = self.ingresses[bisect_left(weights, self.rng.random() * weights[-1])]
        if ingress.tally is None:
            return
        book.asked += 1
        book.gain(self.at)
        eager = ingress.tally.eager
        passed = ingress.tally.admit(ingress.now(self.at), self.name(number))
        if ingress.tally.eager and not eager:
            life = ingress.life
            self.after(self.rng.randrange(TICK), lambda: self.send(ingress, life))
        if passed:
            book.passed.append(self.at)
            book.tokens -= 1.0
        elif book.tokens >= 1.0:
            book.in_vain += 1
            book.refused_at.append((self.at, ingress.number))

    # -- troubles ----------------------------------------------------------------------------

    def some(self, share: float) -> list[Ingress]:
        return self.rng.sample(self.ingresses, max(1, round(share * len(self.ingresses))))

    def begin(self, trouble: Trouble) -> None:
        getattr(self, f"trouble_{trouble.kind}")(trouble)

    def trouble_hot(self, trouble: Trouble) -> None:
        self.factors[trouble.which] = trouble.factor
        self.after(trouble.lasts, lambda: self.factors.__setitem__(trouble.which, 1.0))

    def trouble_cut(self, trouble: Trouble) -> None:
        hit = self.some(trouble.factor)
        for ingress in hit:
            ingress.cut += 1
        self.after(trouble.lasts, lambda: self.heal(hit))

    def heal(self, hit: list[Ingress]) -> None:
        for ingress in hit:
            ingress.cut -= 1

    def trouble_core(self, trouble: Trouble) -> None:
        self.posts[-1].answers = False
        self.after(TAKEOVER + self.rng.randrange(SECOND), self.take_over)

    def trouble_split(self, trouble: Trouble) -> None:
        post = self.posts[-1]
        post.alone = frozenset(i.number for i in self.some(trouble.factor))
        self.after(LEASE, lambda: setattr(post, "answers", False))
        self.after(TAKEOVER, self.take_over)

    def trouble_restart(self, trouble: Trouble) -> None:
        for ingress in self.some(trouble.factor):
            ingress.tally = None
            self.after(300 * MS + self.rng.randrange(SECOND), lambda i=ingress: self.start(i))  # type: ignore[misc]

    def trouble_limit(self, trouble: Trouble) -> None:
        """The configuration reaches one after the other, within a second."""
        tenant = self.tenant(trouble.which, trouble.factor)
        self.tenants = {**self.tenants, tenant.name: tenant}
        tenants = self.tenants
        book = self.books[trouble.which]
        for ingress in self.ingresses:
            self.after(self.rng.randrange(SECOND), lambda i=ingress: self.configure(i, tenants))  # type: ignore[misc]
        for post in self.posts:
            self.after(
                self.rng.randrange(SECOND // 4),
                lambda p=post: p.holder.configure(self.at + p.offset, tenants),  # type: ignore[misc]
            )
        lower = trouble.factor < 1.0
        self.after(
            SECOND if lower else 0, lambda: book.limit_changes(self.at, tenant.rate_per_s, tenant.burst_size)
        )

    def configure(self, ingress: Ingress, tenants: dict[str, Tenant]) -> None:
        if ingress.tally is not None and tenants is self.tenants:
            ingress.tally.configure(ingress.now(self.at), tenants)

    def trouble_loss(self, trouble: Trouble) -> None:
        self.loss = trouble.factor
        self.after(trouble.lasts, lambda: setattr(self, "loss", self.scene.loss))

    # -- a run ----------------------------------------------------------------------------------

    def run(self) -> Found:
        self.take_over()
        for ingress in self.ingresses:
            self.start(ingress)
        # Clients come once the system has met.
        for number in range(len(self.books)):
            self.after(2 * SECOND, lambda n=number: self.arrive(n))  # type: ignore[misc]
        for trouble in self.scene.troubles:
            self.after(trouble.at, lambda t=trouble: self.begin(t))  # type: ignore[misc]
        while self.heap and self.heap[0][0] < self.scene.length:
            self.at, _, what = heapq.heappop(self.heap)
            what()
        return Found(
            self.books, self.bytes / self.scene.length * SECOND / self.scene.ingresses, self.messages
        )


@dataclass(slots=True, frozen=True)
class Found:
    """:param bytes_each: a second and ingress, both ways, without frames"""

    books: list[Book]
    bytes_each: float
    messages: int

    def wrong(self) -> list[str]:
        found = []
        for number, book in enumerate(self.books):
            used, when = book.worst()
            if used > 1.0:
                found.append(f"tenant {number} passed {used:.3f} of its bound until {when / SECOND:.2f} s")
        return found


KINDS = ("hot", "cut", "core", "split", "restart", "limit", "loss")


def drawn(seed: int) -> Scene:
    """A scene drawn from a seed: sizes, ways, spread, and two to five troubles that may meet."""
    rng = random.Random(seed)
    demands = tuple(
        Demand(rate, rate * rng.choice((1.0, 1.0, 0.5, 2.0)), rng.choice((0.62, 0.9)), rng.choice((0, 1, 2)),
               rng.random() < 0.3)
        for rate in rng.sample((5, 10, 16, 25, 40, 70, 110, 150, 300), 3)
    )  # fmt: skip
    troubles = [
        Trouble("hot", rng.randrange(4, 10) * SECOND, rng.randrange(3, 9) * SECOND, rng.choice((5.0, 9.3)), 0)
    ]
    for _ in range(rng.randrange(1, 5)):
        kind = rng.choice(KINDS)
        factor = {
            "hot": 9.3,
            "limit": rng.choice((0.4, 1.5)),
            "loss": rng.choice((0.05, 0.3)),
            "restart": rng.choice((0.1, 0.5, 1.0)),
        }.get(kind, rng.choice((0.1, 0.3, 0.5, 1.0)))
        at = rng.randrange(3 * SECOND, 15 * SECOND)
        troubles.append(Trouble(kind, at, rng.randrange(1, 9) * SECOND, factor, rng.randrange(3)))
    return Scene(
        seed,
        rng.choice((3, 9, 9, 9, 27, 86)),
        way_us=rng.choice((1, 35, 55, 110)) * MS,
        length=22 * SECOND,
        demands=demands,
        troubles=tuple(troubles),
    )
