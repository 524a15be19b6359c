"""The supervisor of roll-outs at the leading control node: it merges reports and decides the next state.

A report holds the running counts of one incarnation of an ingress. So a repeated report adds nothing, and a
new leader has all counts as soon as each ingress has reported once. The caller commits the decisions; a
decision has no effect here until the caller passes the committed roll-out back.

All times are microseconds of one steady clock. A leader that did not observe the start of a roll-out counts
its duration from the moment at which it first observed the roll-out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from vetchusher.distribution import wire_pb2 as wire

from .verdict import Alarm, Counts, RegressionDetector

# The ratios are parts of a roll-out's duration that have elapsed.
EARLIEST_PROMOTION_RATIO = 0.45  # no version is promoted earlier, however good its answers are
MIN_ANSWERS = 100  # of the new version, to promote it from that time on
# With little traffic fewer answers are enough from this time on, because no more are to be expected.
LOW_TRAFFIC_PROMOTION_RATIO, LOW_TRAFFIC_MIN_ANSWERS = 0.6, 20
PROMOTION_DEADLINE_RATIO = 0.85  # a version that has too few answers by then is reverted
PROPAGATION_DELAY_US = 700_000  # from a promotion until ingresses have learned of it and reported
REPORT_TIMEOUT_US = 2_500_000  # an ingress without a report for so long is unreachable or stopped
COMPLETION_RATIO = 0.8  # until then a promoted version that turns bad under full load can be reverted
COMPLETION_DEADLINE_RATIO = 0.95  # from then on the completion doesn't wait for unreachable ingresses


@dataclass(slots=True)
class IngressReport:
    """The newest report of an ingress on one roll-out.

    :param incarnation: of the ingress; it changes with each restart
    :param open_old: requests of the ingress that are open at servers of other versions
    :param state: state of the roll-out by which the ingress routes new requests
    :param routes: counts of the old and the new version, by route
    """

    incarnation: int
    received_at: int
    open_old: int
    state: wire.RolloutState
    routes: dict[str, tuple[Counts, Counts]]


@dataclass(slots=True)
class SupervisedRollout:
    """A roll-out that is neither completed nor reverted yet.

    :param observed_at: when this control node first observed it
    :param promoted_at: when this control node observed its promotion; 0 before
    :param reports: newest reports, by name of the ingress
    """

    rollout: wire.Rollout
    observed_at: int
    promoted_at: int = 0
    detector: RegressionDetector = field(default_factory=RegressionDetector)
    reports: dict[str, IngressReport] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Decision:
    """The next state of a roll-out.

    :param reason: text for the log
    """

    service: str
    number: int
    state: wire.RolloutState
    reason: str


class Supervisor:
    """Supervises the active roll-outs, by service."""

    def __init__(self) -> None:
        """Start without roll-outs."""
        self.active_rollouts: dict[str, SupervisedRollout] = {}

    def observe(self, now: int, rollouts: Iterable[wire.Rollout]) -> None:
        """Take the committed roll-outs; those that are completed or reverted are forgotten."""
        committed = {
            rollout.service: rollout
            for rollout in rollouts
            if rollout.state in (wire.IN_PROGRESS, wire.PROMOTING)
        }
        for service in [name for name in self.active_rollouts if name not in committed]:
            del self.active_rollouts[service]
        for service, rollout in committed.items():
            supervised = self.active_rollouts.get(service)
            if supervised is None or supervised.rollout.number != rollout.number:
                supervised = self.active_rollouts[service] = SupervisedRollout(rollout, now)
            if rollout.state == wire.PROMOTING and not supervised.promoted_at:
                supervised.promoted_at = now
            supervised.rollout = rollout

    def on_report(self, now: int, report: wire.RolloutReport) -> None:
        """Merge a report of an ingress; parts about other roll-outs than the active ones are ignored."""
        for evidence in report.services:
            supervised = self.active_rollouts.get(evidence.service)
            if supervised is not None and supervised.rollout.number == evidence.number:
                self._merge(now, supervised, report, evidence)

    def _merge(
        self,
        now: int,
        supervised: SupervisedRollout,
        report: wire.RolloutReport,
        evidence: wire.ServiceEvidence,
    ) -> None:
        """Add the increase since the ingress's previous report to the detector."""
        previous = supervised.reports.get(report.node)
        if previous is not None and previous.incarnation != report.life:
            previous = None  # a restarted ingress counts from zero
        routes = {
            each.route: (counts(each.old_version), counts(each.new_version)) for each in evidence.routes
        }
        zero_counts = (Counts(), Counts())
        for route, (old, new) in routes.items():
            previous_old, previous_new = previous.routes.get(route, zero_counts) if previous else zero_counts
            supervised.detector.add(route, old - previous_old, new - previous_new)
        supervised.reports[report.node] = IngressReport(
            report.life, now, evidence.open_old, evidence.state, routes
        )

    def decide(self, now: int) -> list[Decision]:
        """Return the decisions that are due."""
        decisions = []
        for supervised in self.active_rollouts.values():
            due = self._next_state(now, supervised)
            if due is not None:
                state, reason = due
                rollout = supervised.rollout
                decisions.append(Decision(rollout.service, rollout.number, state, reason))
        return decisions

    def _next_state(self, now: int, supervised: SupervisedRollout) -> tuple[wire.RolloutState, str] | None:
        """Return the next state of a roll-out and the reason; None if no change is due."""
        alarm = supervised.detector.alarm()
        if alarm is not None:
            return wire.REVERTED, describe(alarm)
        elapsed_ratio = (now - supervised.observed_at) / max(1, 1000 * supervised.rollout.duration_ms)
        if supervised.rollout.state == wire.PROMOTING:
            return self._completion(now, supervised, elapsed_ratio)
        answers = supervised.detector.total.new.answers
        if elapsed_ratio >= EARLIEST_PROMOTION_RATIO and answers >= MIN_ANSWERS:
            return wire.PROMOTING, f"{answers} answers without an alarm"
        if elapsed_ratio >= LOW_TRAFFIC_PROMOTION_RATIO and answers >= LOW_TRAFFIC_MIN_ANSWERS:
            return wire.PROMOTING, f"{answers} answers without an alarm, at low traffic"
        if elapsed_ratio >= PROMOTION_DEADLINE_RATIO:
            return wire.REVERTED, f"{answers} answers are too few for a verdict"
        return None

    def _completion(
        self, now: int, supervised: SupervisedRollout, elapsed_ratio: float
    ) -> tuple[wire.RolloutState, str] | None:
        """Return the completion once no request is open at the old version; None before.

        Safety: the old servers are stopped as soon as the roll-out is completed, and requests that are still
        open there would be lost.
        """
        if elapsed_ratio < COMPLETION_RATIO or now < supervised.promoted_at + PROPAGATION_DELAY_US:
            return None
        recent_reports = [
            report for report in supervised.reports.values() if now < report.received_at + REPORT_TIMEOUT_US
        ]
        if any(report.state != wire.PROMOTING or report.open_old for report in recent_reports):
            return None
        any_unreachable = len(recent_reports) < len(supervised.reports)
        if any_unreachable and elapsed_ratio < COMPLETION_DEADLINE_RATIO:
            return None
        return (
            wire.COMPLETED,
            f"{supervised.detector.total.new.answers} answers, none open at the old version",
        )


def counts(message: wire.VersionCounts) -> Counts:
    """Return the counts of a message."""
    return Counts(message.answers, message.errors, message.slow)


def describe(alarm: Alarm) -> str:
    """Return in one line why a version is bad."""
    new, old = alarm.new, alarm.old
    return (
        f"{alarm.fault.value} on {alarm.route}: {new.faults(alarm.fault)} of {new.answers} answers, "
        f"old version {old.faults(alarm.fault)} of {old.answers}"
    )
