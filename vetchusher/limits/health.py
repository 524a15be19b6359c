"""The state of the counter service, derived from the outcomes of regular calls alone.

One state machine covers the whole counter.  Every answer is evidence for all counter names, so a counter that
was emptied or partitioned is detected after a few units of traffic of any tenants, without probe calls.
"""

from __future__ import annotations

from enum import IntEnum

from .tuning import Tuning


class State(IntEnum):
    """State of the counter as seen by this gateway; the numbers are part of the datagram format."""

    TRUSTED = 0  # answers arrive and hold the usage of all gateways
    DOUBTED = 1  # many calls fail, so totals are stale
    LOST = 2  # no answer for `Tuning.lost_us`
    RETURNED = 3  # answers arrive again; whether the counts are complete is not known yet
    FRESH = 4  # the counter lost counts that it had returned before
    SPLIT = 5  # answers arrive but hold only the usage of this gateway


FAILURE_GAIN_RATIO = 0.25  # weight of the newest call in the moving failure ratio
# Above the first failure ratio a trusted counter becomes doubted; below the second it can be trusted again.
DOUBTED_FAILURE_RATIO, TRUSTED_FAILURE_RATIO = 0.4, 0.15
MIN_CONSECUTIVE_FAILURES = 3  # required for LOST, beside `Tuning.lost_us` without an answer
FLOW_DECAY_RATIO = 0.99  # factor on the moving sums of own and peer units at each answer
MIN_FLOW_UNITS = 8.0  # sum of own units below which the ratio of peer units is not known
SUSPICION_US = 1_000_000  # time for which peers are asked for reports after a split was suspected


def dispersion_factor(max_units: float) -> float:
    """Return the index of dispersion of units, for commands of 1 to `max_units` units.

    Peer units arrive in whole commands.  Where a command counts up to eight units, a given number of units
    is only a few commands, which may be absent by chance: thresholds for single units would report a split
    of a working counter.  The random variation grows with the mean of the squares divided by the mean, which
    is two thirds of the maximum where all sizes are equally likely.
    """
    return max(1.0, (1.0 + 2.0 * max_units) / 3.0)


class CounterHealth:
    """State machine of the counter service as one gateway sees it.

    Its memory is a fixed set of numbers.  Times are in microseconds on the caller's clock.
    """

    def __init__(self, tuning: Tuning | None = None, max_units: float = 1.0) -> None:
        """:param max_units: the most units that one command counts"""
        self.tuning = tuning or Tuning()
        self.dispersion = dispersion_factor(max_units)
        self.state = State.TRUSTED
        self.entered_at = 0  # us: when the present state began
        self.answered_at = -1  # us: the last answer; -1: none yet
        self.failure_ratio = 0.0  # moving average over calls
        self.consecutive_failures = 0
        self.failing_since = 0  # us: the first of the consecutive failures
        # Moving sums of the units that totals have shown of this gateway and of the others.
        self.own_units, self.peer_units = 0.0, 0.0
        self.missing_peer_units = 0.0  # peer units expected in totals since any were last seen, but not shown
        self.fresh_until = 0
        self.split_detected_at = self.peer_units_seen_at = 0  # us
        self.suspected_at = -SUSPICION_US

    def needs_peer_reports(self, now: int) -> bool:
        """Return whether the peers' own reports are needed beside the counter's totals."""
        return self.state is not State.TRUSTED or now - self.suspected_at < SUSPICION_US

    def transition(self, now: int, state: State) -> None:
        """Enter a state, unless it is the present one."""
        if state is not self.state:
            self.state, self.entered_at = state, now

    def call_failed(self, now: int) -> None:
        """Handle a call that timed out, was refused, or whose answer could not be parsed."""
        if not self.consecutive_failures:
            self.failing_since = now
        self.consecutive_failures += 1
        self.failure_ratio += FAILURE_GAIN_RATIO * (1.0 - self.failure_ratio)
        quiet_since = (
            max(self.answered_at, self.failing_since) if self.answered_at >= 0 else self.failing_since
        )
        if self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES and now - quiet_since >= self.tuning.lost_us:
            self.transition(now, State.LOST)
        elif self.state is State.TRUSTED and self.failure_ratio > DOUBTED_FAILURE_RATIO:
            self.transition(now, State.DOUBTED)

    def total_received(self, now: int, own_units: float, peer_units: float, previous_at: int) -> None:
        """Handle a total that the counter answered for some name.

        :param own_units: this gateway's units that the previous total of this name did not hold
        :param peer_units: other gateways' units that the previous total did not hold
        :param previous_at: time of the previous total (us); negative if there was none
        """
        self.answered_at, self.consecutive_failures = now, 0
        self.failure_ratio -= FAILURE_GAIN_RATIO * self.failure_ratio
        if previous_at >= 0 and peer_units >= 0.0:
            self.check_flow(now, own_units, peer_units, previous_at)
        if self.state is State.LOST:
            self.transition(now, State.RETURNED)
        elif self.failure_ratio < TRUSTED_FAILURE_RATIO and (
            self.state is State.DOUBTED
            or (self.state is State.RETURNED and now - self.entered_at >= self.tuning.return_us)
        ):
            self.transition(now, State.TRUSTED)
        elif self.state is State.FRESH and now >= self.fresh_until:
            self.transition(now, State.RETURNED)
        elif self.state is State.SPLIT and now - self.split_detected_at >= self.tuning.max_split_us:
            self.own_units = self.peer_units = self.missing_peer_units = 0.0
            self.transition(now, State.RETURNED)

    def check_flow(self, now: int, own_units: float, peer_units: float, previous_at: int) -> None:
        """Compare the peer units in totals with their expected ratio, to detect a split and its end.

        A partition of the counter that only this gateway reaches answers promptly, and its totals lack
        nothing but the usage of the other gateways.  A rarely requested name may show peer units from before
        the split, so peer units count as new only if the previous total of the name came after the split was
        detected or, without a split, after peer units were last seen.
        """
        split = self.state is State.SPLIT
        if peer_units > 0.0 and previous_at >= (self.split_detected_at if split else self.peer_units_seen_at):
            self.missing_peer_units, self.peer_units_seen_at = 0.0, now
            if split:
                self.transition(now, State.RETURNED)
        if split:
            return
        if (
            not peer_units
            and previous_at >= self.peer_units_seen_at
            and self.own_units >= MIN_FLOW_UNITS * self.dispersion
        ):
            self.missing_peer_units += own_units * self.peer_units / self.own_units
        self.own_units = self.own_units * FLOW_DECAY_RATIO + own_units
        self.peer_units = self.peer_units * FLOW_DECAY_RATIO + peer_units
        if self.missing_peer_units >= self.tuning.suspect_units * self.dispersion:
            self.suspected_at = now
        if self.missing_peer_units >= self.tuning.split_units * self.dispersion:
            self.split_detected(now)

    def split_detected(self, now: int) -> None:
        """Enter SPLIT: totals lack usage of other gateways, by the flow of totals or the peers' reports."""
        self.split_detected_at = now
        self.missing_peer_units = 0.0
        if self.state is not State.LOST:
            self.transition(now, State.SPLIT)

    def counts_lost(self, now: int, until: int) -> None:
        """Handle a total lower than an earlier one of its name; the earlier count matters until `until`."""
        self.fresh_until = max(self.fresh_until, until)
        if self.state is not State.SPLIT:
            self.transition(now, State.FRESH)
