"""The retry budget: one for the whole system, each ingress owning a part of it.

In every span of `window_s`, summed over all ingresses, a service may get at most ratio x (requests for it) +
slack tries beyond the first of each request, the requests counted in that span or in the one before it.

Here each request puts `gain` into its ingress's store, a try takes 1, and the store holds at most the larger
of slack / N and what the requests of the last window put in, up to `depth`.  So in a span W with R requests
and R' in the one before, over all N ingresses:

    tries <= held at its beginning + gain x R
          <= slack + (1 - slack / (N x depth)) x gain x R' + gain x R
          <= slack + ratio x max(R, R')      for gain = ratio / (2 - slack / (N x depth))

Where slack / N is deep enough, depth is slack / N and gain is the ratio.  The store begins empty: an ingress
that starts, or starts again, brings no slack of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LEAST_DEPTH = 2.0  # tries at once that an ingress may need; more of them cost a part of the ratio
SLACK_PART = 0.95  # the rest is for ingresses that know of one another a moment late
SLOTS = 10  # of a window, in which requests are counted


@dataclass(slots=True)
class Store:
    """Of one service.  `slots` counts requests by the time they came."""

    level: float = 0.0
    slot: int = 0
    slots: list[int] = field(default_factory=lambda: [0] * SLOTS)
    recent: int = 0  # their sum


class ExtraTries:
    """Owner of one store a service, gone once it has been empty for a window.

    :param ratio: extra tries for each request
    :param slack: extra tries of all ingresses on top, in any window
    """

    def __init__(self, ratio: float, slack: int, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack * SLACK_PART
        self.slot_us = max(1, int(window_s * 1e6 / SLOTS))
        self.stores: dict[str, Store] = {}
        self.swept_at = 0
        self.depth = self.gain = self.plain = 0.0

    def fleet(self, ingresses: int) -> None:
        """Until it is told, nothing may be tried again."""
        if ingresses <= 0:
            return
        self.plain = self.slack / ingresses
        self.depth = max(LEAST_DEPTH, self.plain)
        self.gain = self.ratio / (2.0 - self.plain / self.depth)

    def first(self, now: int, service: str) -> None:
        store = self.stores.get(service)
        if store is None:
            self.sweep(now)
            store = self.stores[service] = Store(slot=now // self.slot_us)
        self.trim(now, store)
        store.slots[store.slot % SLOTS] += 1
        store.recent += 1
        store.level = min(self.most(store), store.level + self.gain)

    def may(self, now: int, service: str) -> bool:
        store = self.stores.get(service)
        if store is None:
            return False
        self.trim(now, store)
        if store.level < 1.0:
            return False
        store.level -= 1.0
        return True

    def most(self, store: Store) -> float:
        return max(self.plain, min(self.depth, self.gain * store.recent))

    def trim(self, now: int, store: Store) -> None:
        """Danger: what was saved in a busier time than the last window is nobody's any more."""
        slot = now // self.slot_us
        for passed in range(store.slot + 1, min(slot, store.slot + SLOTS) + 1):
            store.recent -= store.slots[passed % SLOTS]
            store.slots[passed % SLOTS] = 0
        store.slot = max(slot, store.slot)
        store.level = min(store.level, self.most(store))

    def sweep(self, now: int) -> None:
        """Services that are gone from the configuration leave nothing behind."""
        if now - self.swept_at < SLOTS * self.slot_us:
            return
        self.swept_at = now
        for name, store in list(self.stores.items()):
            self.trim(now, store)
            if not store.recent:
                del self.stores[name]
