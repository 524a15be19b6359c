"""Upper bound on the overshoot of a tenant's quota, for each state of the counter.

The overshoot is the most by which the units that all gateways admitted for one tenant, in any interval of up
to a minute, exceed burst + rate * interval.  Each gateway admits a command only if a token bucket of rate and
burst, charged with all usage known to it, holds the command's units.  The overshoot is therefore at most the
usage admitted elsewhere that is unknown here at one moment.  Usage that becomes known later is charged to the
bucket, whose level may become negative, and is never forgotten, so errors do not add up.  With

    d  gateways in the tenant's set               u  units of the largest command
    a  age of the view of the others' usage       x  peak demand of the tenant in units per second

the others admit less than x*a units within the age of the view, and never more than the level of the bucket,
its refill during that age, and one command each:

    E  <=  min( x*a , (d-1) * (level + rate*a) ) + (d-1)*u

The age `a` follows from the intervals of pushes and messages and from the time to detect a state.  With
neither the counter nor messages from a peer, a gateway assumes that the others admit d-1 times as much as
it admits itself since its last complete view, which leaves (d-1)*u and the usage unknown at the end of that
view.
"""

from __future__ import annotations

from dataclasses import dataclass

from vetchusher import interface as api

from .health import State
from .tuning import Tuning

PUSH_INTERVAL_US, COUNTER_ROUND_TRIP_US = 62_500, 5_000  # the interval is that of one tenant's pushes
DATAGRAM_DELAY_US = 25_000  # delivery time of a datagram
SPLIT_DETECTION_US = 400_000  # time to detect a split at a few dozen units per second
PEAK_DEMAND_RATIO = 7.7  # highest demand of a tenant, as a multiple of its rate


@dataclass(slots=True, frozen=True)
class OvershootBound:
    """Bound on the overshoot of one tenant, in units and as a part of its quota for a minute."""

    units: float
    minute_ratio: float
    view_age_us: int


def view_age_us(state: State, peers: bool, tuning: Tuning) -> int:
    """Return the greatest age (us) of a gateway's view of the others' usage.

    :param peers: whether the gateways exchange messages
    """
    counter_age = 2 * PUSH_INTERVAL_US + COUNTER_ROUND_TRIP_US
    # The next datagram repeats the content of a lost one.
    reported = 2 * tuning.message_interval_us + 2 * DATAGRAM_DELAY_US
    if state is State.TRUSTED:
        return counter_age
    if peers:
        return reported if state is not State.SPLIT else max(reported, SPLIT_DETECTION_US)
    return SPLIT_DETECTION_US if state is State.SPLIT else tuning.lost_us + counter_age


def overshoot_bound(
    plan: api.Plan, gateways: float, max_units: float, state: State, peers: bool, tuning: Tuning | None = None
) -> OvershootBound:
    """Return the bound for a tenant of this plan in this state of the counter.

    :param gateways: gateways that receive the tenant's commands
    :param max_units: units of the largest command
    :param peers: whether these gateways exchange messages
    """
    age_s = view_age_us(state, peers, tuning or Tuning()) / 1e6
    others = max(0.0, gateways - 1.0)
    unknown_units = min(PEAK_DEMAND_RATIO * plan.rate * age_s, others * (plan.burst + plan.rate * age_s))
    units = (unknown_units + others * max_units) if others else 0.0
    return OvershootBound(units, units / max(1e-9, plan.rate * 60.0), int(age_s * 1e6))
