"""Timing of the membership protocol: probe periods, suspicion, and the bounds that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log2

HELPERS = 3  # indirect probes at once; independent accusers beside the first that give `shortest`
GOSSIP_FANOUT = 2  # members that one gossip tick sends to
TICKS = 5  # in a period: gossip is sent, deadlines are checked
HEALTH_MOST = 8  # of Lifeguard's score of one's own troubles
# Steps of a probe, in parts of a period.  Danger: with 7% lost, one ping and three helpers fail in 2 of 1,000
# probes; at hundreds of members false suspicions would fill all messages.
PROBE_AGAIN = 0.2  # ping again
PROBE_HELP = 0.4  # probe indirectly
PROBE_LAST = 0.6  # ping again, and probe through further members
PATH_FAILURES = 6  # direct pings in a row that fail while others reach the member: the path is bad
LOST_EVERY = 2  # periods between two probes of members taken to be lost
AGAIN_MOST = 4  # members a period pinged beside the probe: bad paths, suspects
LOST_PROBERS = 3.0  # probes of a lost member in that time, over the cluster
SUSPECT_PROBERS = 4.0  # members that ping a suspect in a period, over the cluster
SYNC_PARTS = 4  # parts of a view sent at a tick
JOIN_PERIODS = 5  # after which a newcomer goes on without a whole view
REFRESHED = 6  # records that a ping or its answer carries beside news


@dataclass(slots=True, frozen=True)
class Rules:
    """Times in us.

    :param pause: how long a member may stand still without being declared dead
    :param drift: by which part of the true pace any ingress's clock may be wrong
    :param upgrade: how long two processes of one number are an upgrade
    """

    members: int
    period: int = 1_000_000
    pause: int = 2_000_000
    drift: float = 0.02
    upgrade: int = 60_000_000

    @property
    def tick(self) -> int:
        return self.period // TICKS

    @property
    def spreading(self) -> int:
        """Time for an update to reach everybody, while some messages are lost."""
        return self.tick * (3 + ceil(1.25 * log(max(2, self.members)) / log(1 + GOSSIP_FANOUT)))

    @property
    def shortest(self) -> int:
        """Suspicion with `HELPERS` accusers more than the first.  A probe fails a period after the pause that
        it met began; the refutation of who wakes has to have gone round."""
        return max(self.period, self.pause + self.spreading - self.period)

    @property
    def longest(self) -> int:
        """Suspicion with one accuser."""
        return 2 * self.shortest

    def suspicion(self, confirmations: int, others: int) -> int:
        """How long a member is suspected.

        :param confirmations: independent accusers beside the first
        :param others: members that could accuse, beside the first and the accused
        """
        most = min(HELPERS, others)
        if most <= 0:
            return self.longest
        part = log(min(confirmations, most) + 1) / log(most + 1)
        return int(self.longest - (self.longest - self.shortest) * part)

    @property
    def known(self) -> int:
        """The time `W` in which a death is known everywhere: the first probe that meets it and its verdict,
        the suspicion, the way round."""
        return 4 * self.period + self.longest + self.spreading

    @property
    def sends(self) -> int:
        """Times each member tells a piece of news."""
        return 2 + ceil(1.25 * log2(max(2, self.members)))

    @property
    def out_per_s(self) -> float:
        """Datagrams a second that a member sends at most, whatever the size of its cluster, beside answers.

        Receivers are drawn evenly, so it takes in about as many.
        """
        return (GOSSIP_FANOUT * TICKS + HELPERS + 2) * 1e6 / self.period

    def fault(self) -> tuple[str, str] | None:
        """The field and what is wrong with it."""
        if self.period < 200_000:
            return "period_ms", "shorter than 200 ms: answers of a busy member would count as lost"
        if self.pause < self.period // 2:
            return "pause_ms", "shorter than half a period, which no probe can tell"
        return None
