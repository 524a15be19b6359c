"""What an ingress promises of a firm's overspend in each state of the counter, and why.

Overspend is the most by which what all ingresses sent on for one firm, in any stretch of up to a minute,
exceeds burst + rate x stretch.  Each ingress passes a command only if the store of rate and burst, fed with
all that it knows of, holds the command's units, so a firm is overspent by no more than what was passed
elsewhere and not known here at one moment; what becomes known is taken from the store, below nothing if need
be, and is never forgotten, so errors do not add up.  With

    d  ingresses in the firm's set            u  units of the largest command
    a  age of what one knows of the others    x  the most units a second that the firm asks for

the others pass less than x*a within one age, and never more than what the store held, what came in while the
news was on its way, and one command each:

    E  <=  min( x*a , (d-1) * (room + rate*a) ) + (d-1)*u

The figures of `a` follow from the pace of pushes, of messages, and of what makes a state known.  With no word
from a peer and no counter, an ingress takes the others to pass d-1 times what it passes itself since its last
whole view, which leaves (d-1)*u and what was unknown when the view ended.
"""

from __future__ import annotations

from dataclasses import dataclass

from vetchusher import interface as api

from .health import State
from .tuning import Tuning

PUSH_US, WAY_US = 62_500, 5_000  # between pushes of one firm; a call's way there and back
DATAGRAM_US = 25_000  # a datagram's way
SPLIT_SEEN_US = 400_000  # a split shows within this where a few dozen units a second pass
PEAK = 7.7  # times the rate: the most a firm is known to ask for


@dataclass(slots=True, frozen=True)
class Promise:
    """The bound for one firm of a plan: units, and as a part of its allowance over a minute."""

    units: float
    part: float
    age_us: int


def age(state: State, peers: bool, tuning: Tuning) -> int:
    """How old (us) what an ingress knows of the others may be."""
    counter = 2 * PUSH_US + WAY_US
    spoken = 2 * tuning.speak_us + 2 * DATAGRAM_US  # a lost one is told by the next
    if state is State.TRUSTED:
        return counter
    if peers:
        return spoken if state is not State.SPLIT else max(spoken, SPLIT_SEEN_US)
    return SPLIT_SEEN_US if state is State.SPLIT else tuning.lost_us + counter


def promise(
    plan: api.Plan, doors: float, most_units: float, state: State, peers: bool, tuning: Tuning | None = None
) -> Promise:
    """The bound in a state.

    :param doors: ingresses through which the firm's commands come
    :param peers: whether these exchange messages
    """
    old = age(state, peers, tuning or Tuning()) / 1e6
    others = max(0.0, doors - 1.0)
    unknown = min(PEAK * plan.rate * old, others * (plan.burst + plan.rate * old))
    units = (unknown + others * most_units) if others else 0.0
    return Promise(units, units / max(1e-9, plan.rate * 60.0), int(old * 1e6))
