"""The supervisor of roll-outs at the control node that leads: it merges reports and decides what comes next.

Reports are running counts of one life of an ingress, so that a repeat adds nothing and a new leader has all
that was seen as soon as each ingress has reported once.  What is decided is committed by whoever asks; until
then nothing here counts as decided.

All times are microseconds of one steady clock.  A leader that has not seen a roll-out begin takes the moment
at which it first saw it for its beginning.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from vetchusher.distribution import wire_pb2 as wire

from .verdict import Alarm, Counts, Watch

PROMOTE_RATIO = 0.45  # of the duration: no version is trusted earlier, however good it looks
ENOUGH_ANSWERS = 100  # of the new version, to trust it then
THIN_RATIO, THIN_ANSWERS = 0.6, 20  # later, fewer will do: thin routes bring no more
GIVE_UP_RATIO = 0.85  # a version of which nothing is known by then is reverted
SETTLE_US = 700_000  # after its promotion: until ingresses have heard of it, and have reported
SILENT_US = 2_500_000  # without a report: an ingress is out of touch, or gone
COMPLETE_RATIO = 0.8  # until then a promoted version that turns bad under full load can be reverted
LAST_RATIO = 0.95  # from here on ingresses out of touch are not waited for


@dataclass(slots=True)
class IngressReport:
    """The newest report of an ingress on one roll-out."""

    life: int
    heard_at: int
    open_old: int
    state: wire.RolloutState
    routes: dict[str, tuple[Counts, Counts]]


@dataclass(slots=True)
class Supervised:
    """A roll-out that is not decided yet."""

    rollout: wire.Rollout
    seen_at: int
    promoted_at: int = 0
    watch: Watch = field(default_factory=Watch)
    reports: dict[str, IngressReport] = field(default_factory=dict)  # by node name


@dataclass(slots=True, frozen=True)
class Decision:
    """The next state of a roll-out.

    :param reason: for the log
    """

    service: str
    number: int
    state: wire.RolloutState
    reason: str


class Supervisor:
    """Owner of the roll-outs under way, by service."""

    def __init__(self) -> None:
        """Begin without roll-outs."""
        self.under_way: dict[str, Supervised] = {}

    def observe(self, now: int, rollouts: Iterable[wire.Rollout]) -> None:
        """Take the committed roll-outs; those that are decided are forgotten."""
        is_open = {one.service: one for one in rollouts if one.state in (wire.IN_PROGRESS, wire.PROMOTING)}
        for service in [name for name in self.under_way if name not in is_open]:
            del self.under_way[service]
        for service, rollout in is_open.items():
            known = self.under_way.get(service)
            if known is None or known.rollout.number != rollout.number:
                known = self.under_way[service] = Supervised(rollout, now)
            if rollout.state == wire.PROMOTING and not known.promoted_at:
                known.promoted_at = now
            known.rollout = rollout

    def on_report(self, now: int, report: wire.RolloutReport) -> None:
        """Merge an ingress's report."""
        for told in report.services:
            supervised = self.under_way.get(told.service)
            if supervised is not None and supervised.rollout.number == told.number:
                self._merge(now, supervised, report, told)

    def _merge(
        self, now: int, supervised: Supervised, report: wire.RolloutReport, told: wire.ServiceEvidence
    ) -> None:
        before = supervised.reports.get(report.node)
        if before is not None and before.life != report.life:
            before = None  # it has restarted, and counts anew
        routes = {one.route: (counts(one.old_version), counts(one.new_version)) for one in told.routes}
        nothing = (Counts(), Counts())
        for route, (old, new) in routes.items():
            old_before, new_before = before.routes.get(route, nothing) if before else nothing
            supervised.watch.add(route, old - old_before, new - new_before)
        supervised.reports[report.node] = IngressReport(report.life, now, told.open_old, told.state, routes)

    def decide(self, now: int) -> list[Decision]:
        """Return the decisions that are due."""
        found = []
        for supervised in self.under_way.values():
            due = self._next_state(now, supervised)
            if due is not None:
                state, reason = due
                rollout = supervised.rollout
                found.append(Decision(rollout.service, rollout.number, state, reason))
        return found

    def _next_state(self, now: int, supervised: Supervised) -> tuple[wire.RolloutState, str] | None:
        alarm = supervised.watch.alarm()
        if alarm is not None:
            return wire.REVERTED, describe(alarm)
        passed = (now - supervised.seen_at) / max(1, 1000 * supervised.rollout.duration_ms)
        if supervised.rollout.state == wire.PROMOTING:
            return self._completion(now, supervised, passed)
        answers = supervised.watch.total.new.answers
        if passed >= PROMOTE_RATIO and answers >= ENOUGH_ANSWERS:
            return wire.PROMOTING, f"{answers} answers without an alarm"
        if passed >= THIN_RATIO and answers >= THIN_ANSWERS:
            return wire.PROMOTING, f"{answers} answers without an alarm, on thin evidence"
        if passed >= GIVE_UP_RATIO:
            return wire.REVERTED, f"{answers} answers say too little"
        return None

    def _completion(
        self, now: int, supervised: Supervised, passed: float
    ) -> tuple[wire.RolloutState, str] | None:
        """Return the completion once no request is open at the old version.

        Safety: the old servers are stopped with it, at once; what they still work on would be lost.
        """
        if passed < COMPLETE_RATIO or now < supervised.promoted_at + SETTLE_US:
            return None
        heard = [one for one in supervised.reports.values() if now < one.heard_at + SILENT_US]
        if any(one.state != wire.PROMOTING or one.open_old for one in heard):
            return None
        is_quiet = len(heard) < len(supervised.reports)
        if is_quiet and passed < LAST_RATIO:
            return None
        return wire.COMPLETED, f"{supervised.watch.total.new.answers} answers, none open at the old version"


def counts(told: wire.VersionCounts) -> Counts:
    """Return the counts of a message."""
    return Counts(told.answers, told.errors, told.slow)


def describe(alarm: Alarm) -> str:
    """Return why a version is bad, in a line."""
    new, old = alarm.new, alarm.old
    return (
        f"{alarm.fault.value} on {alarm.route}: {new.faults(alarm.fault)} of {new.answers} answers, "
        f"old version {old.faults(alarm.fault)} of {old.answers}"
    )
