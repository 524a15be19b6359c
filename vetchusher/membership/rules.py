"""How often members probe, how long they wait, and what follows from these for everybody."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log2

HELPERS = 3  # asked at once where a ping was not answered; accusers beside the first that bring `shortest`
NEWS_TO = 2  # members that one gossip tick tells
TICKS = 5  # in a period: news is told, waits are looked at
HEALTH_MOST = 8  # of Lifeguard's score of one's own troubles
# Steps of a probe, in parts of a period.  Danger: with 7% lost, one ping and three helpers fail in 2 of 1,000
# probes; at hundreds of members the tier would talk of nothing but false suspicions.
PROBE_AGAIN = 0.2  # ping again
PROBE_HELP = 0.4  # ask others
PROBE_LAST = 0.6  # ping again and ask further others
PATH_STRIKES = 6  # direct pings in a row that fail while others reach the member: the path is bad
LOST_EVERY = 2  # periods between two calls to members taken to be lost
AGAIN_MOST = 4  # members a period pinged beside the probe: bad paths, suspects
CALLERS = 3.0  # calls to a lost member in that time, over all
BUDDIES = 4.0  # members that ping a suspect in a period, over all
SYNC_PARTS = 4  # parts of a view told at a tick
JOIN_PERIODS = 5  # after which a newcomer whom nobody tells a whole view goes by what it heard
REFRESHED = 6  # records that a ping or its answer carries beside news


@dataclass(slots=True, frozen=True)
class Rules:
    """Times in us.

    :param pause: how long a member may stand still without being declared dead
    :param drift: by which part of the true pace any ingress's clock may be wrong
    :param twins: how long two processes of one number are an upgrade
    """

    members: int
    period: int = 1_000_000
    pause: int = 2_000_000
    drift: float = 0.02
    twins: int = 60_000_000

    @property
    def tick(self) -> int:
        return self.period // TICKS

    @property
    def spreading(self) -> int:
        """News goes round the tier: each tick who knows it tells two more, and some are lost."""
        return self.tick * (3 + ceil(1.25 * log(max(2, self.members)) / log(1 + NEWS_TO)))

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
        """Datagrams a second that a member says at most, whatever its tier's size; answers alone go beyond.

        Receivers are drawn evenly, so it takes in about as many.
        """
        return (NEWS_TO * TICKS + HELPERS + 2) * 1e6 / self.period

    def fault(self) -> tuple[str, str] | None:
        """The field and what is wrong with it."""
        if self.period < 200_000:
            return "period_ms", "shorter than 200 ms: answers of a busy member would count as lost"
        if self.pause < self.period // 2:
            return "pause_ms", "shorter than half a period, which no probe can tell"
        return None
