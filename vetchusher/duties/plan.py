"""Which duties there are, who votes, who is willing, and who comes first for what."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from hashlib import blake2b

from .lease import MOST_MEMBERS, Timing

MOST_DUTIES = 64
STANDBY = 5  # of a duty's order that ask again as soon as it may be free; the others ask seldom
AGAIN = 1.1  # sendings of a message, with 7% lost


@dataclass(slots=True, frozen=True)
class Duty:
    """One duty.

    :param zone: ingresses of this zone come first for it; empty: none does
    """

    name: str
    zone: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """What all ingresses of the cluster must agree on.

    :param zones: by number of ingress, where known
    :param willing: numbers of the ingresses that may hold duties
    """

    members: int
    voters: tuple[int, ...]
    timing: Timing
    duties: tuple[Duty, ...]
    willing: tuple[int, ...]
    zones: tuple[str, ...] = ()

    def digest(self) -> int:
        """Of all that majorities and leases rest on: 32 bits."""
        timing = self.timing
        names = ",".join(d.name for d in self.duties)
        text = f"{self.members}|{self.voters}|{timing.lease}|{timing.drift!r}|{timing.margin}|{names}"
        return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "little")

    def fault(self) -> tuple[str, str] | None:
        """The field and what is wrong with it."""
        if len(self.voters) not in (1, 3, 5, 7):
            return "voters", f"{len(self.voters)} of them; there must be 1, 3, 5 or 7"
        for name, numbers in (("voters", self.voters), ("willing", self.willing)):
            if len(set(numbers)) != len(numbers):
                return name, "one stands there twice"
            for number in numbers:
                if not 0 <= number < min(self.members, MOST_MEMBERS):
                    return name, f"there is no ingress {number} among {self.members}"
        if (fault := self.timing.fault()) is not None:
            return "lease_ms", fault
        if not 0 < len(self.duties) <= MOST_DUTIES:
            return "duties", f"{len(self.duties)} of them; there must be 1 to {MOST_DUTIES}"
        if len({d.name for d in self.duties}) != len(self.duties):
            return "duties", "one name stands there twice"
        if not self.willing:
            return "willing", "nobody is"
        return None

    def messages_in(self) -> float:
        """Datagrams a second that a voter takes in while all is well: each duty's holder renews four times a
        lease, those that stand by ask once each, and what is lost is sent again."""
        asking = min(STANDBY, len(self.willing)) + 1  # one of all the others, seldom
        each = (self.timing.lease / self.timing.renew + asking) * AGAIN
        return len(self.duties) * each / (self.timing.lease / 1e6)

    def place(self, duty: int, number: int) -> tuple[bool, bytes]:
        """Where an ingress comes in a duty's order: those of its zone first, else as a hash has it."""
        zone = self.duties[duty].zone
        away = bool(zone) and (number >= len(self.zones) or self.zones[number] != zone)
        key = f"{self.duties[duty].name}|{number}".encode()
        return away, blake2b(key, digest_size=8).digest()

    def orders(self, there: tuple[int, ...]) -> list[list[int]]:
        """For each duty the ingresses in the order in which they stand for it.

        A duty goes to the first in its hash order that has not its even part of all duties yet; so parts are
        even, and one ingress more or less moves only what it gains or leaves, and what overflows by that.
        """
        if not there:
            return [[] for _ in self.duties]
        most = -(-len(self.duties) // len(there))
        loads = dict.fromkeys(there, 0)
        orders = []
        for duty in range(len(self.duties)):
            order = sorted(there, key=partial(self.place, duty))
            first = next(n for n in order if loads[n] < most)
            loads[first] += 1
            orders.append([first, *(n for n in order if n != first)])
        return orders
