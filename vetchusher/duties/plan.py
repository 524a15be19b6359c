"""Which duties there are, which ingresses vote or may hold duties, and who is preferred for which duty."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from hashlib import blake2b

from .lease import MAX_MEMBERS, Timing

MAX_DUTIES = 64
STANDBY_COUNT = (
    5  # ingresses that request a duty as soon as its lease may have ended; the others do so seldom
)
RESEND_FACTOR = 1.1  # times a message is sent on average, with 7% lost


@dataclass(slots=True, frozen=True)
class Duty:
    """One duty: a singleton role, which one ingress holds at a time.

    :param zone: ingresses of this zone are preferred for it; empty: none are
    """

    name: str
    zone: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """What all ingresses of the cluster must agree on.

    :param members: number of ingresses in the cluster
    :param voters: numbers of the ingresses that grant leases
    :param willing: numbers of the ingresses that may hold duties
    :param zones: zone of each ingress by its number, where known
    """

    members: int
    voters: tuple[int, ...]
    timing: Timing
    duties: tuple[Duty, ...]
    willing: tuple[int, ...]
    zones: tuple[str, ...] = ()

    def digest(self) -> int:
        """Return a 32-bit digest of everything that majorities and leases depend on."""
        timing = self.timing
        names = ",".join(d.name for d in self.duties)
        text = f"{self.members}|{self.voters}|{timing.lease_us}|{timing.drift!r}|{timing.margin_us}|{names}"
        return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "little")

    def fault(self) -> tuple[str, str] | None:
        """Return the settings key that can't be used and why, or None if the plan is usable."""
        if len(self.voters) not in (1, 3, 5, 7):
            return "voters", f"{len(self.voters)} of them; there must be 1, 3, 5 or 7"
        for name, numbers in (("voters", self.voters), ("willing", self.willing)):
            if len(set(numbers)) != len(numbers):
                return name, "contains a number twice"
            for number in numbers:
                if not 0 <= number < min(self.members, MAX_MEMBERS):
                    return name, f"there is no ingress {number} among {self.members}"
        if (fault := self.timing.fault()) is not None:
            return "lease_ms", fault
        if not 0 < len(self.duties) <= MAX_DUTIES:
            return "duties", f"{len(self.duties)} of them; there must be 1 to {MAX_DUTIES}"
        if len({d.name for d in self.duties}) != len(self.duties):
            return "duties", "contains a name twice"
        if not self.willing:
            return "willing", "must contain at least one ingress"
        return None

    def load_per_s(self) -> float:
        """Return the datagrams a second that a voter receives while nothing fails.

        The holder of each duty renews four times a lease, the standbys send one request each, and lost
        messages are sent again.
        """
        requests = min(STANDBY_COUNT, len(self.willing)) + 1  # one for the seldom requests of all others
        each = (self.timing.lease_us / self.timing.renewal_interval + requests) * RESEND_FACTOR
        return len(self.duties) * each / (self.timing.lease_us / 1e6)

    def preference_key(self, duty: int, number: int) -> tuple[bool, bytes]:
        """Return the sort key of an ingress for a duty: those of its zone first, then by a hash."""
        zone = self.duties[duty].zone
        other_zone = bool(zone) and (number >= len(self.zones) or self.zones[number] != zone)
        key = f"{self.duties[duty].name}|{number}".encode()
        return other_zone, blake2b(key, digest_size=8).digest()

    def preference_orders(self, members: tuple[int, ...]) -> list[list[int]]:
        """Return, for each duty, the given ingresses in the order in which they stand for it.

        The first is the first in the duty's hash order that doesn't have its even share of all duties yet.
        So the shares are even, and one ingress more or less moves only the duties that it gains or leaves,
        and those that exceed a share because of it.
        """
        if not members:
            return [[] for _ in self.duties]
        most = -(-len(self.duties) // len(members))
        loads = dict.fromkeys(members, 0)
        orders = []
        for duty in range(len(self.duties)):
            order = sorted(members, key=partial(self.preference_key, duty))
            first = next(n for n in order if loads[n] < most)
            loads[first] += 1
            orders.append([first, *(n for n in order if n != first)])
        return orders
