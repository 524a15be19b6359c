"""Mutations that remove guards of membership, to prove that the checks detect it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from vetchusher.membership import member, records, rules, view
from vetchusher.membership.records import Record, State

ORIGINAL_RECEIVE_ABOUT_SELF = member.Membership.receive_about_self


def ignore_heartbeat_order(one: Record, other: Record) -> Record:
    """Return the last received record, however old it is."""
    return one if one.key != other.key else other


def ignore_accusations(self: member.Membership, now: int, record: Record) -> None:
    """Ignore accusations of this member instead of refuting them."""
    if record.state not in records.ACCUSATIONS:
        ORIGINAL_RECEIVE_ABOUT_SELF(self, now, record)


def count_accuser_again(self: view.View, now: int, entry: view.Entry, number: int, accuser: int) -> None:
    """Count a repeated accuser as a further one."""
    if entry.suspected_at >= 0 and len(entry.accusers) <= rules.INDIRECT_PROBES:
        entry.accusers.add(accuser if accuser not in entry.accusers else 10_000 + len(entry.accusers))


def confirm_nothing(self: view.View, now: int, number: int) -> Record:
    """Return a record without confirming that its member is live."""
    return self.entries[number].record


def ignore_stall(self: member.Membership, now: int) -> None:
    """Ignore that this process's own event loop was late."""


def accuse_without_local_health(self: member.Membership, now: int, probe: Any) -> None:
    """Accuse a probed member that was not received from, however this process fares."""
    entry = self.view.entries[probe.target]
    if entry.last_contact_at < probe.started_at:
        self.view.accuse(now, probe.target, probe.claimed_heartbeat)


def always_accuse(self: member.Membership, now: int) -> bool:
    """Return that this process may accuse others."""
    return False


PLANTED: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "no order of beats": ((view, "newer", ignore_heartbeat_order),),
    "no local health: accuses unheard, at waking, beside a duplicate number": (
        (member.Membership, "probe_failed", accuse_without_local_health),
        (member.Membership, "check_stall", ignore_stall),
        (member.Membership, "must_not_accuse", always_accuse),
        (member.Membership, "answered", lambda self, now: True),
    ),
    "refutation lost": (
        (member.Membership, "receive_about_self", ignore_accusations),
        (view.View, "confirmed_record", confirm_nothing),
    ),
    "a witness counted twice": ((view.View, "add_accuser", count_accuser_again),),
    "the dead are believed out of the blue": (
        (view.View, "deadline", lambda self, entry: entry.suspected_at),
    ),
    "whoever left comes back by a late word": (
        (
            records.Record,
            "key",
            property(
                lambda self: (
                    self.incarnation,
                    False,
                    self.heartbeat,
                    self.state if self.state != State.LEFT else 0,
                )
            ),
        ),
    ),
    "accusations are told across a healed cut": (
        (view.View, "accusations_ignored_until", property(lambda self: -1, lambda self, value: None)),
    ),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Apply one of `PLANTED` for the duration of the context."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in PLANTED.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value, create=True))
        yield
