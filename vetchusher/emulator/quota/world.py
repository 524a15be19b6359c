"""Quotas inside the system in virtual time: ingresses in regions, a holder that dies, cuts, restarts, and the
judge.  The state machines run unchanged, each on a clock of its own.

quota_judge.py keeps the books.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import accumulate

from vetchusher.distribution.wire_pb2 import Push, Totals
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.local_quota import LocalQuota
from vetchusher.settings.configuration import Tenant

from .judge import MS, SECOND, Book, Demand

SYNC, BEAT, TICK = 150 * MS, 500 * MS, 50 * MS
SEEN = 60 * SECOND
LEASE, TAKEOVER = 1_350 * MS, 1_500 * MS  # a cut-off holder answers so long; the next begins so much later


@dataclass(slots=True, frozen=True)
class Trouble:
    """`kind`: hot (x `factor`, tenant number `which`), cut, mute, deaf (a share `factor` of the ingresses
    from all, both ways or one), stall (the same stand still), core (the holder dies), move (another takes
    over at once), split (the holder is cut off with a share `factor` and answers until its lease ends),
    restart (a share `factor` of the ingresses), limit (tenant `which`: rate and burst x `factor`), shift (all
    its traffic goes to one region), loss (a share `factor` of messages)."""

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
class Ingress:
    number: int
    region: int
    offset: int
    tally: LocalQuota | None = None
    life: int = 0
    seen: int = 0  # us: its last beat at the core
    mute: int = 0  # cuts that last, of what it sends
    deaf: int = 0  # and of what is sent to it
    thaws: int = 0  # us until which it stands still

    def now(self, at: int) -> int:
        return at + self.offset


@dataclass(slots=True)
class Post:
    """A holder, and where.  `alone`: with whom it is cut off from the others."""

    holder: QuotaCoordinator
    region: int
    offset: int
    answers: bool = True
    alone: frozenset[int] | None = None


class World:
    """Owner of all ingresses and holders, and of the heap of what is to happen."""

    def __init__(self, scene: Scene, make: Callable[[str, int], LocalQuota] = LocalQuota) -> None:
        self.scene, self.make = scene, make
        self.rng = random.Random(scene.seed)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = self.at = self.bytes = self.messages = 0
        self.loss = scene.loss
        self.factors = [1.0] * len(scene.demands)
        self.tenants = {self.name(n): self.tenant(n, 1.0) for n in range(len(scene.demands))}
        self.books = [
            Book(d, d.rate, d.burst, [(0, d.rate, d.burst)], tokens=d.burst, store=d.burst)
            for d in scene.demands
        ]
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
        ingress.tally = self.make(f"edge{ingress.number}", ingress.life)
        ingress.tally.configure(ingress.now(self.at), self.tenants)
        life = ingress.life
        self.after(self.rng.randrange(BEAT // 5), lambda: self.heartbeat(ingress, life))
        self.after(self.rng.randrange(SYNC), lambda: self.sync(ingress, life))

    def take_over(self) -> None:
        self.epoch += 1
        offset = self.rng.randrange(10**10)
        post = Post(
            QuotaCoordinator(self.epoch, self.at + offset), self.rng.randrange(self.scene.regions), offset
        )
        post.holder.configure(self.at + offset, self.tenants)
        self.posts.append(post)
        self.tell_fleet(post)

    def tell_fleet(self, post: Post) -> None:
        if not post.answers:
            return
        nodes = {f"edge{i.number}": i.seen + post.offset for i in self.ingresses if self.at - i.seen < SEEN}
        post.holder.set_ingresses(self.at + post.offset, nodes)
        self.after(BEAT, lambda: self.tell_fleet(post))

    # -- messages -------------------------------------------------------------------------

    def reaches(self, ingress: Ingress, post: Post) -> bool:
        if not post.answers:
            return False
        if post.alone is not None:
            return ingress.number in post.alone
        return not any(p.alone and ingress.number in p.alone for p in self.posts if p.answers)

    def hears(self, ingress: Ingress, post: Post) -> bool:
        return self.reaches(ingress, post) and not ingress.deaf and self.at >= ingress.thaws

    def way(self, ingress: Ingress, region: int) -> int:
        way = self.scene.way_us if ingress.region != region else MS
        way += int(self.rng.expovariate(1.0 / (3 * MS)))
        if self.rng.random() < self.scene.late:
            way += self.rng.randrange(600 * MS)
        return way

    def heartbeat(self, ingress: Ingress, life: int) -> None:
        """To all of the core; the answer says how many may be serving."""
        if ingress.life != life or ingress.tally is None:
            return
        if not ingress.mute and self.at >= ingress.thaws:
            ingress.seen = self.at
            count = sum(self.at - i.seen < SEEN and i.life > 0 for i in self.ingresses)
            tally = ingress.tally
            way = 2 * self.way(ingress, (ingress.region + 1) % 3)
            if not ingress.deaf:
                self.after(way, lambda: tally.set_ingresses(self.at + ingress.offset, count, False))
        self.after(BEAT, lambda: self.heartbeat(ingress, life))

    def sync(self, ingress: Ingress, life: int) -> None:
        if ingress.life != life or ingress.tally is None:
            return
        self.send(ingress, life)
        self.after(SYNC, lambda: self.sync(ingress, life))

    def send(self, ingress: Ingress, life: int) -> None:
        if ingress.life != life or ingress.tally is None or self.at < ingress.thaws:
            return
        push = ingress.tally.next_push(ingress.now(self.at))
        post = next((p for p in reversed(self.posts) if self.reaches(ingress, p)), None)
        if push is not None and post is not None:
            data = push.SerializeToString()
            self.count(data)
            if self.rng.random() >= self.loss and not ingress.mute:
                self.after(self.way(ingress, post.region), lambda: self.asked(ingress, life, post, data))

    def asked(self, ingress: Ingress, life: int, post: Post, data: bytes) -> None:
        if not self.reaches(ingress, post) or ingress.mute:
            return
        answer = post.holder.on_push(self.at + post.offset, Push.FromString(data)).SerializeToString()
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
        if ingress.tally is not None and ingress.life == life and self.hears(ingress, post):
            ingress.tally.on_alarm(ingress.now(self.at), Totals.FromString(data))

    def answered(self, ingress: Ingress, life: int, post: Post, data: bytes) -> None:
        if self.at < ingress.thaws:
            self.after(ingress.thaws - self.at, lambda: self.answered(ingress, life, post, data))
        elif ingress.tally is not None and ingress.life == life and self.hears(ingress, post):
            ingress.tally.on_totals(ingress.now(self.at), Totals.FromString(data))

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
        self.judged(number, ingress)

    def judged(self, number: int, ingress: Ingress) -> None:
        book = self.books[number]
        if self.at < ingress.thaws:
            self.after(ingress.thaws - self.at, lambda: self.judged(number, ingress))
            return
        if ingress.tally is None:
            return
        book.ask(self.at)
        eager = ingress.tally.push_requested
        passed = ingress.tally.admit(ingress.now(self.at), self.name(number))
        if ingress.tally.push_requested and not eager:
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

    def trouble_cut(self, trouble: Trouble, ways: tuple[str, ...] = ("mute", "deaf")) -> None:
        hit = self.some(trouble.factor)
        self.add(hit, ways, 1)
        self.after(trouble.lasts, lambda: self.add(hit, ways, -1))

    def trouble_mute(self, trouble: Trouble) -> None:
        self.trouble_cut(trouble, ("mute",))

    def trouble_deaf(self, trouble: Trouble) -> None:
        self.trouble_cut(trouble, ("deaf",))

    def add(self, hit: list[Ingress], ways: tuple[str, ...], more: int) -> None:
        for ingress in hit:
            for way in ways:
                setattr(ingress, way, getattr(ingress, way) + more)

    def trouble_stall(self, trouble: Trouble) -> None:
        for ingress in self.some(trouble.factor):
            ingress.thaws = self.at + min(trouble.lasts, 3 * SECOND)

    def trouble_move(self, trouble: Trouble) -> None:
        self.posts[-1].answers = False
        self.take_over()

    def trouble_shift(self, trouble: Trouble) -> None:
        demand = replace(self.scene.demands[trouble.which], regional=True)
        self.weights[trouble.which] = self.weights_of(demand)

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
