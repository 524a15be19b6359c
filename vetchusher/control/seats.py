"""Which machines should vote next: the target of a change of members, as a pure function.

A change replaces voters by learners that are ready, grows the set to the size that bears the losses to be
tolerated, or leaves out voters that have been gone for long.  A set that was odd stays odd: one voter more
than an odd number bears no further loss, and a majority of it needs one machine more.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

SMALLEST_SET = 3  # voters that bear the loss of one


@dataclass(slots=True, frozen=True)
class Roster:
    """What the target is worked out from.

    :param members: the voters of today
    :param gone: of them, those that are leaving or have not been heard, the most urgent first
    :param gone_for_long: of them, those not heard for so long that nobody waits for their return
    :param spares: learners that may take a seat, in order of preference
    :param primary: the member that leads
    :param keep: members that keep their seats while others can give theirs: the primary and holders of copies
    :param zones: by ip, as far as is known
    """

    members: Sequence[str]
    gone: Sequence[str]
    gone_for_long: Sequence[str]
    spares: Sequence[str]
    primary: str
    keep: frozenset[str]
    zones: Mapping[str, str]


def size_for(losses: int) -> int:
    """Voters of which so many may be lost while a majority is left."""
    return max(2 * losses + 1, SMALLEST_SET)


def next_members(roster: Roster, size: int) -> list[str]:
    """The voters that there should be; the very members where nothing is to be changed.

    :param size: voters that there should be at most after growing
    """
    members, spares = list(roster.members), list(roster.spares)
    _replace_gone(members, spares, roster)
    _grow(members, spares, size)
    _make_odd(members, roster)
    _spread(members, spares, roster)
    if set(members) == set(roster.members):
        _leave_out(members, roster)
    return members


def _replace_gone(members: list[str], spares: list[str], roster: Roster) -> None:
    for ip in roster.gone:
        if not spares:
            return
        zone = roster.zones.get(ip)
        successor = next((spare for spare in spares if roster.zones.get(spare) == zone), spares[0])
        _give_seat(members, spares, ip, successor)


def _give_seat(members: list[str], spares: list[str], ip: str, successor: str) -> None:
    spares.remove(successor)
    members[members.index(ip)] = successor


def _grow(members: list[str], spares: list[str], size: int) -> None:
    more = min(len(spares), size - len(members))
    if (len(members) + more) % 2 == 0:
        more -= 1
    if more > 0:
        members += spares[:more]
        del spares[:more]


def _spread(members: list[str], spares: list[str], roster: Roster) -> None:
    """Voters in more than one zone, where that can be: a zone may be lost with all disks in it."""
    zones = {roster.zones.get(ip) for ip in members}
    elsewhere = [ip for ip in spares if roster.zones.get(ip) not in zones]
    if len(members) < 2 or len(zones) > 1 or not elsewhere:
        return
    movable = [ip for ip in members if ip not in roster.keep] or [
        ip for ip in members if ip != roster.primary
    ]
    _give_seat(members, spares, movable[-1], elsewhere[0])


def _make_odd(members: list[str], roster: Roster) -> None:
    """A set that an earlier release made even."""
    if len(members) % 2 or len(members) <= SMALLEST_SET:
        return
    gone = [ip for ip in roster.gone if ip in members]
    spared = [ip for ip in members if ip not in roster.keep]
    for ip in [*gone, *reversed(spared)][:1]:
        members.remove(ip)


def _leave_out(members: list[str], roster: Roster) -> None:
    """Two at a time, once those who are left could not bear one more loss otherwise."""
    lost = [ip for ip in roster.gone_for_long if ip in members]
    while len(members) > SMALLEST_SET and len(lost) >= 2:
        if len(members) - len(lost) > len(members) // 2 + 1:
            return
        for ip in lost[:2]:
            members.remove(ip)
        lost = lost[2:]
