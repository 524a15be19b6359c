"""Which machines should vote next: the target of a change of members, as a pure function.

A change replaces voters by learners that are ready, grows the set to the size that bears the losses to be
tolerated, or leaves out voters that have been gone for long.  A set that was odd stays odd: one voter more
than an odd number bears no further loss, and a majority of it needs one machine more.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

MIN_VOTERS = 3  # voters that bear the loss of one


@dataclass(slots=True, frozen=True)
class MembershipView:
    """What the target is worked out from.

    :param members: the voters of today
    :param unavailable: those of them that are leaving or unreachable, the most urgent first
    :param long_unavailable: those of them that were unreachable for so long that nobody waits for their
        return
    :param ready_learners: learners that may take a seat, in order of preference
    :param primary: the voter that leads
    :param protected: voters that keep their seats while others can give theirs: the primary and holders of
        copies
    :param zones: by address, as far as is known
    """

    members: Sequence[str]
    unavailable: Sequence[str]
    long_unavailable: Sequence[str]
    ready_learners: Sequence[str]
    primary: str
    protected: frozenset[str]
    zones: Mapping[str, str]


def voters_for(losses: int) -> int:
    """Return the number of voters of which so many may be lost while a majority is left."""
    return max(2 * losses + 1, MIN_VOTERS)


def next_members(view: MembershipView, size: int) -> list[str]:
    """Return the voters that there should be; the very members where nothing is to be changed.

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
    """Voters in more than one zone, where that can be: a zone may be lost with all disks in it."""
    zones = {view.zones.get(ip) for ip in members}
    elsewhere = [ip for ip in learners if view.zones.get(ip) not in zones]
    if len(members) < 2 or len(zones) > 1 or not elsewhere:
        return
    movable = [ip for ip in members if ip not in view.protected] or [
        ip for ip in members if ip != view.primary
    ]
    _replace_voter(members, learners, movable[-1], elsewhere[0])


def _make_odd(members: list[str], view: MembershipView) -> None:
    """Remove one voter of a set that an earlier release made even."""
    if len(members) % 2 or len(members) <= MIN_VOTERS:
        return
    unavailable = [ip for ip in view.unavailable if ip in members]
    unprotected = [ip for ip in members if ip not in view.protected]
    for ip in [*unavailable, *reversed(unprotected)][:1]:
        members.remove(ip)


def _remove_long_unavailable(members: list[str], view: MembershipView) -> None:
    """Two at a time, once those who are left could not bear one more loss otherwise."""
    lost = [ip for ip in view.long_unavailable if ip in members]
    while len(members) > MIN_VOTERS and len(lost) >= 2:
        if len(members) - len(lost) > len(members) // 2 + 1:
            return
        for ip in lost[:2]:
            members.remove(ip)
        lost = lost[2:]
