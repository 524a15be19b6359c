"""Ways to keep quotas, for the same scenes: each of the two judges alone, and two plain ways."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from vetchusher.distribution.wire_pb2 import Push
from vetchusher.quota.local_quota import LocalQuota, TenantUsage
from vetchusher.quota.windows import QuotaShape, quota_shape
from vetchusher.settings.configuration import Tenant

from .judge import BOUNDS
from .world import Ingress, Scene, World


class EstimateAlone(LocalQuota):
    """No guard: whatever the weighted estimate lets through passes."""

    def refresh_limit(self, now: int, usage: TenantUsage) -> None:
        usage.limit = usage.count + usage.shape.limit


class GuardAlone(LocalQuota):
    """No estimate: whatever the ceilings let through passes."""

    def estimate_limit(self, usage: TenantUsage) -> float:
        return float("inf")


class Store:
    """Rate and depth; what is there at the beginning is full."""

    __slots__ = ("at", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, depth, now

    def take(self, now: int) -> bool:
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / 1e6)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class Split(LocalQuota):
    """Each ingress has one part in N of rate and of what the bound leaves beyond; nothing is told."""

    def __init__(self, node: str, life: int) -> None:
        super().__init__(node, life)
        self.stores: dict[str, Store] = {}
        self.shapes: dict[str, QuotaShape] = {}

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        shapes = {n: quota_shape(t.rate_per_s, t.burst_size, BOUNDS) for n, t in tenants.items()}
        self.shapes = {name: shape for name, shape in shapes.items() if shape is not None}
        self.divide(now)

    def set_ingresses(self, now: int, ingresses: int, is_counted: bool) -> None:
        if ingresses != self.ingresses:
            self.ingresses = ingresses
            self.divide(now)

    def divide(self, now: int) -> None:
        parts = max(1, self.ingresses)
        for name, shape in self.shapes.items():
            old = self.stores.get(name)
            if old is None or old.rate != shape.rate / parts:
                self.stores[name] = Store(shape.rate / parts, (shape.depth + shape.advance) / parts, now)

    def admit(self, now: int, tenant: str) -> bool:
        store = self.stores.get(tenant)
        return store is not None and store.take(now)

    def next_push(self, now: int) -> Push | None:
        return None


class Central(World):
    """Each request asks one store at the holder, and waits; without an answer it is refused."""

    def __init__(self, scene: Scene, make: Callable[[str, int], LocalQuota] = LocalQuota) -> None:
        super().__init__(scene, make)
        self.stores = {n: Store(d.rate, max(1.0, d.burst), 0) for n, d in enumerate(self.scene.demands)}
        self.asks = 0
        self.waited = 0  # us, over all that were answered

    def judged(self, number: int, ingress: Ingress) -> None:
        book = self.books[number]
        if ingress.tally is None:
            return
        book.ask(self.at)
        self.asks += 1
        post = next((p for p in reversed(self.posts) if self.reaches(ingress, p)), None)
        there = (
            post is not None and not ingress.mute and not ingress.deaf and self.rng.random() >= 2 * self.loss
        )
        if post is None or not there:
            self.told(number, ingress, False)
            return
        self.bytes += 60
        self.messages += 2
        way = self.way(ingress, post.region)
        self.waited += 2 * way

        def asked() -> None:
            passed = post.answers and self.stores[number].take(self.at)
            self.after(way, lambda: self.told(number, ingress, passed))

        self.after(way, asked)

    def told(self, number: int, ingress: Ingress, passed: bool) -> None:
        book = self.books[number]
        book.gain(self.at)
        if passed:
            book.passed.append(self.at)
            book.tokens -= 1.0
        elif book.tokens >= 1.0:
            book.in_vain += 1
            book.refused_at.append((self.at, ingress.number))
