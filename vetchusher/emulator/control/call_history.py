"""Histories of operators' calls, and the check that they are linearizable.

The configuration is a register in which the highest version wins; each zone's evacuation is a register in
which the last order wins. Times are seconds of one steady clock. A call without a clear answer may take
effect at any time after it began: its value may be observed but need not be.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class WriteCall:
    """A call that replaces the configuration.

    :param began_s: when the call began
    :param ended_s: when the call was acknowledged; infinite if it wasn't
    :param body: distinguishes bodies under one version
    :param rejected_s: when the call was rejected because another body has the version; infinite if it wasn't
    """

    version: int
    began_s: float
    ended_s: float = math.inf
    body: str = ""
    rejected_s: float = math.inf


@dataclass(slots=True, frozen=True)
class ReadCall:
    """A call that reads the configuration back.

    :param version: 0: there is none yet
    :param source: which machine answered, for the report
    """

    version: int
    began_s: float
    ended_s: float
    source: str = ""


@dataclass(slots=True, frozen=True)
class EvacuationCall:
    """A call that initiates or terminates a zone's evacuation.

    :param ended_s: when the call was acknowledged; else the time by which it has taken effect or never will
    """

    zone: str
    on: bool
    began_s: float
    ended_s: float
    acknowledged: bool


@dataclass(slots=True, frozen=True)
class ZoneObservation:
    """A zone's evacuation in the newest state on any disk, at a moment when no process ran."""

    zone: str
    on: bool
    at_s: float


@dataclass(slots=True)
class History:
    """The calls of one run."""

    writes: list[WriteCall] = field(default_factory=list)
    reads: list[ReadCall] = field(default_factory=list)
    orders: list[EvacuationCall] = field(default_factory=list)
    observations: list[ZoneObservation] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return the violations: calls that no order of effects explains."""
        return [
            *version_violations(self.writes, self.reads),
            *body_violations(self.writes),
            *zone_violations(self.orders, self.observations),
        ]


def version_violations(writes: Sequence[WriteCall], reads: Sequence[ReadCall]) -> list[str]:
    """Return the reads that no sequential order of the calls explains; empty if there is one.

    Two calls that overlap may take effect in either order. Sorted by version, with each read after the write
    of its version and before all higher writes, the calls are in a valid order, with two exceptions: the
    read's own write began after the read had ended, or a higher version was acknowledged or read before both
    the read and its write began.
    """
    first_sent_s: dict[int, float] = {0: -math.inf}
    for write in writes:
        first_sent_s[write.version] = min(write.began_s, first_sent_s.get(write.version, math.inf))
    # Versions that reads beginning later must not fall below. Of two calls, one ending at the very moment at
    # which the other begins, either may be first.
    observed = sorted(
        [(w.ended_s, w.version) for w in writes if w.ended_s < math.inf]
        + [(r.ended_s, r.version) for r in reads]
    )
    violations, min_version, next_observed = list[str](), 0, 0
    earliest_effects = [
        (max(read.began_s, first_sent_s.get(read.version, -math.inf)), read) for read in reads
    ]
    for earliest_s, read in sorted(earliest_effects, key=lambda pair: pair[0]):
        while next_observed < len(observed) and observed[next_observed][0] < earliest_s:
            min_version, next_observed = max(min_version, observed[next_observed][1]), next_observed + 1
        description = f"{read.began_s:.3f} s: {read.source} read r{read.version}"
        if read.version < min_version:
            violations.append(f"{description}: r{min_version} was acknowledged or read before")
        if first_sent_s.get(read.version, math.inf) > read.ended_s:
            violations.append(f"{description}: nobody had sent it")
    return violations


def body_violations(writes: Sequence[WriteCall]) -> list[str]:
    """Return the violations of the rule that a version has one body and each call one answer.

    Two bodies may be acknowledged under one version if a higher version may have been in force before the
    later of them was answered. A body is rejected only if another was sent, and never after it was
    acknowledged.
    """
    first_above = first_higher_write(writes)
    by_version: dict[int, list[WriteCall]] = {}
    for write in writes:
        by_version.setdefault(write.version, []).append(write)
    violations = []
    for version, calls in by_version.items():
        acknowledged = sorted((w for w in calls if w.ended_s < math.inf), key=lambda w: w.ended_s)
        conflicting = next((w for w in acknowledged if w.body != acknowledged[0].body), None)
        if conflicting is not None and first_above[version] >= conflicting.ended_s:
            violations.append(f"{conflicting.ended_s:.3f} s: r{version} was acknowledged with two bodies")
        for rejected in (w for w in calls if w.rejected_s < math.inf):
            description = f"{rejected.rejected_s:.3f} s: r{version}{rejected.body} was refused"
            if any(w.body == rejected.body and w.ended_s < rejected.began_s for w in acknowledged):
                violations.append(f"{description}: it was acknowledged before")
            if not any(w.body != rejected.body and w.began_s < rejected.rejected_s for w in calls):
                violations.append(f"{description}: nobody had sent another body")
    return violations


def first_higher_write(writes: Sequence[WriteCall]) -> dict[int, float]:
    """Return, by version, when the first call with a higher version began."""
    first_sent_s: dict[int, float] = {}
    for write in writes:
        first_sent_s[write.version] = min(write.began_s, first_sent_s.get(write.version, math.inf))
    first_higher_s, first_above_s = {}, math.inf
    for version in sorted(first_sent_s, reverse=True):
        first_higher_s[version], first_above_s = first_above_s, min(first_above_s, first_sent_s[version])
    return first_higher_s


def zone_violations(orders: Iterable[EvacuationCall], observations: Iterable[ZoneObservation]) -> list[str]:
    """Return the zones whose state neither the last order nor one that overlaps it explains."""
    by_zone: dict[str, list[EvacuationCall]] = {}
    for order in orders:
        by_zone.setdefault(order.zone, []).append(order)
    violations = []
    for observation in observations:
        earlier = [o for o in by_zone.get(observation.zone, []) if o.began_s < observation.at_s]
        initial = EvacuationCall(observation.zone, False, -math.inf, -math.inf, True)
        candidates = [o for o in (initial, *earlier) if o.on == observation.on]
        contradicting = [
            o for o in earlier if o.on != observation.on and o.acknowledged and o.ended_s < observation.at_s
        ]
        if not any(
            all(other.began_s <= candidate.ended_s for other in contradicting) for candidate in candidates
        ):
            violations.append(
                f"{observation.at_s:.3f} s: zone {observation.zone} is "
                f"{'on' if observation.on else 'off'}: a later order"
            )
    return violations
