"""Timing of the membership protocol: probe periods, suspicion, and the bounds that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log2

# Indirect probes at once; also the independent accusers beside the first that give the shortest suspicion.
INDIRECT_PROBES = 3
GOSSIP_FANOUT = 2  # members that one gossip tick sends to
TICKS_PER_PERIOD = 5  # at each tick gossip is sent and deadlines are checked
MAX_HEALTH_SCORE = 8  # of Lifeguard's local health: how unreliable this member takes itself to be
# Steps of a probe, in fractions of a period.  With 7% of messages lost, one ping and three indirect probes
# fail in 2 of 1,000 probes; at hundreds of members the false suspicions would fill all messages.  So pings
# and indirect probes are repeated.
PING_RETRY_RATIO = 0.2  # ping again
INDIRECT_PROBE_RATIO = 0.4  # probe indirectly
FINAL_PROBE_RATIO = 0.6  # ping again, and probe through further members
PATH_FAILURE_LIMIT = 6  # direct pings in a row that fail while others reach the member: the path is bad
LOST_PROBE_PERIODS = 2  # periods between two probes of members taken to be lost
MAX_EXTRA_PINGS = 4  # pings a period beside the probe: members on bad paths, and suspects
LOST_PROBERS = 3.0  # expected probes of a lost member in `LOST_PROBE_PERIODS`, over the cluster
SUSPECT_PROBERS = 4.0  # expected members that ping a suspect in a period, over the cluster
SYNC_PARTS_PER_TICK = 4  # parts of a whole view sent at a tick
JOIN_PERIODS = 5  # after which a new process goes on without a whole view
REFRESH_RECORDS = 6  # records of unchanged members that a ping or its answer carries beside updates


@dataclass(slots=True, frozen=True)
class MembershipTiming:
    """Settings of the protocol, and the times that follow from them.  Times are in us.

    :param members: size of the cluster, this member included
    :param period_us: probe period
    :param max_pause_us: how long a member may stall without being declared dead
    :param drift: greatest relative error of any member's clock
    :param upgrade_us: for how long two processes of one number are taken to be an upgrade
    """

    members: int
    period_us: int = 1_000_000
    max_pause_us: int = 2_000_000
    drift: float = 0.02
    upgrade_us: int = 60_000_000

    @property
    def tick_us(self) -> int:
        """Time between two ticks."""
        return self.period_us // TICKS_PER_PERIOD

    @property
    def dissemination_us(self) -> int:
        """Time in which an update reaches all members, with some messages lost."""
        return self.tick_us * (3 + ceil(1.25 * log(max(2, self.members)) / log(1 + GOSSIP_FANOUT)))

    @property
    def min_suspicion_us(self) -> int:
        """Duration of a suspicion with as many accusers as count.

        A probe fails one period after the start of the stall that it met; within the rest of the time the
        member must wake up and its refutation must reach all others.
        """
        return max(self.period_us, self.max_pause_us + self.dissemination_us - self.period_us)

    @property
    def max_suspicion_us(self) -> int:
        """Duration of a suspicion with a single accuser."""
        return 2 * self.min_suspicion_us

    def suspicion_us(self, confirmations: int, others: int) -> int:
        """How long a member stays suspected; it falls logarithmically with each confirmation.

        :param confirmations: independent accusers beside the first
        :param others: members that could accuse, beside the first accuser and the accused
        """
        max_confirmations = min(INDIRECT_PROBES, others)
        if max_confirmations <= 0:
            return self.max_suspicion_us
        fraction = log(min(confirmations, max_confirmations) + 1) / log(max_confirmations + 1)
        return int(self.max_suspicion_us - (self.max_suspicion_us - self.min_suspicion_us) * fraction)

    @property
    def detection_bound_us(self) -> int:
        """Time in which all members learn of a death.

        It is made up of the wait for the first probe of the dead member and that probe's result, the longest
        suspicion, and the dissemination of the death.
        """
        return 4 * self.period_us + self.max_suspicion_us + self.dissemination_us

    @property
    def retransmissions(self) -> int:
        """How often each member sends an update."""
        return 2 + ceil(1.25 * log2(max(2, self.members)))

    @property
    def sends_per_s(self) -> float:
        """Upper bound on the datagrams a second that a member sends beside answers, for any cluster size.

        Receivers are drawn evenly, so a member receives about as many.
        """
        return (GOSSIP_FANOUT * TICKS_PER_PERIOD + INDIRECT_PROBES + 2) * 1e6 / self.period_us

    def fault(self) -> tuple[str, str] | None:
        """Return the settings key that is out of range and why, or None if all values are usable."""
        if self.period_us < 200_000:
            return "period_ms", "shorter than 200 ms: answers of a busy member would count as lost"
        if self.max_pause_us < self.period_us // 2:
            return "pause_ms", "shorter than half a period: no probe can detect so short a pause"
        return None
