"""Pure functions that compute the target set of voters for a membership change.

A change replaces voters with ready learners, grows the set to the size that tolerates the intended losses, or
removes voters that have been unavailable for a long time. A set with an odd number of voters keeps an odd
number: adding one voter to it tolerates no further loss, but makes its majority larger by one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

MIN_VOTERS = 3  # the smallest number that tolerates the loss of one


@dataclass(slots=True, frozen=True)
class MembershipView:
    """The input from which the target set is computed.

    :param members: the current voters
    :param unavailable: the voters that are leaving or unreachable, the most urgent first
    :param long_unavailable: the voters that have been unreachable for so long that their return is not
        awaited
    :param ready_learners: learners that may become voters, in order of preference
    :param primary: the voter that is the primary
    :param protected: voters that stay voters as long as others can be replaced instead: the primary and the
        holders of copies
    :param zones: zones by address, as far as known
    """

    members: Sequence[str]
    unavailable: Sequence[str]
    long_unavailable: Sequence[str]
    ready_learners: Sequence[str]
    primary: str
    protected: frozenset[str]
    zones: Mapping[str, str]


def voters_for(losses: int) -> int:
    """Return the number of voters that retains a majority after the given number of losses."""
    return max(2 * losses + 1, MIN_VOTERS)


def next_members(view: MembershipView, size: int) -> list[str]:
    """Return the target set of voters, equal to the current members if nothing has to change.

    :param size: the number of voters to grow to
    """
    members, learners = list(view.members), list(view.ready_learners)
    _replace_unavailable(members, learners, view)
    _grow(members, learners, size)
    _make_odd(members, view)
    _spread_over_zones(members, learners, view)
    if set(members) == set(view.members):
        _remove_long_unavailable(members, view)
    return members


def _replace_unavailable(members: list[str], learners: list[str], view: MembershipView) -> None:
    for ip in view.unavailable:
        if not learners:
            return
        zone = view.zones.get(ip)
        successor = next((learner for learner in learners if view.zones.get(learner) == zone), learners[0])
        _replace_voter(members, learners, ip, successor)


def _replace_voter(members: list[str], learners: list[str], ip: str, successor: str) -> None:
    learners.remove(successor)
    members[members.index(ip)] = successor


def _grow(members: list[str], learners: list[str], size: int) -> None:
    more = min(len(learners), size - len(members))
    if (len(members) + more) % 2 == 0:
        more -= 1
    if more > 0:
        members += learners[:more]
        del learners[:more]


def _spread_over_zones(members: list[str], learners: list[str], view: MembershipView) -> None:
    """Put one voter into a second zone if all are in one, because a zone may fail with all its disks."""
    zones = {view.zones.get(ip) for ip in members}
    elsewhere = [ip for ip in learners if view.zones.get(ip) not in zones]
    if len(members) < 2 or len(zones) > 1 or not elsewhere:
        return
    movable = [ip for ip in members if ip not in view.protected] or [
        ip for ip in members if ip != view.primary
    ]
    _replace_voter(members, learners, movable[-1], elsewhere[0])


def _make_odd(members: list[str], view: MembershipView) -> None:
    """Remove one voter from a set that an earlier release left with an even number."""
    if len(members) % 2 or len(members) <= MIN_VOTERS:
        return
    unavailable = [ip for ip in view.unavailable if ip in members]
    unprotected = [ip for ip in members if ip not in view.protected]
    for ip in [*unavailable, *reversed(unprotected)][:1]:
        members.remove(ip)


def _remove_long_unavailable(members: list[str], view: MembershipView) -> None:
    """Remove long unavailable voters, two at a time, while the others could not tolerate one more loss."""
    lost = [ip for ip in view.long_unavailable if ip in members]
    while len(members) > MIN_VOTERS and len(lost) >= 2:
        if len(members) - len(lost) > len(members) // 2 + 1:
            return
        for ip in lost[:2]:
            members.remove(ip)
        lost = lost[2:]
