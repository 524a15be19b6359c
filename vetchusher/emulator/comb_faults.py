"""Planted faults: each guard of the control state taken out in turn, to prove that the judge can see it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import Any
from unittest import mock

from vetchusher.comb import acts, backups, candidate, memory, office, recall, voter
from vetchusher.comb.member import Member
from vetchusher.comb.primary import Primary
from vetchusher.comb.state import START, Point, at, enough, first_record, first_state
from vetchusher.waggle.wire_pb2 import CombLetter, CombRecord, Granted, Renewed, Written

REAL_START, REAL_FOLLOWS = Member.__init__, Member.follows
REAL_RENEWED, REAL_ASKED, REAL_WRITTEN = backups.Backups.renewed, Member.asked, backups.Backups.written
REAL_LEAD, REAL_VOTER, REAL_STANDS = Member.lead_from, voter.Voter.__init__, candidate.Candidate.stands
REAL_SAVED = memory.Memory.saved
REAL_WHOLE, REAL_WANTED, REAL_OVER = office.Office.whole, office.Office.wanted, Member.hand_over


def told_at_once(self: memory.Memory, to: str, letter: CombLetter, number: int) -> list[acts.Output]:
    return [acts.Tell(to, letter)]


def own_copy_at_once(self: office.Office, now: int, ip: str, since: Point) -> bool:
    return ip == self.me or REAL_WHOLE(self, now, ip, since)


def one_is_enough(members: Sequence[str], some: Any) -> bool:
    return bool(set(some))


def one_copy_is_enough(self: Primary, now: int, began: int) -> bool:
    newest = at(self.memory.state)
    return self.office.standing and any(self.office.whole(now, ip, newest) for ip in self.office.copies())


def named_before_taught(self: Primary, now: int) -> bool:
    wanted = self.office.wanted(now)
    if wanted == set(self.office.record.copies) and self.office.standing:
        return False
    self.office.propose(wanted, self.office.members)
    return True


def one_zone(self: office.Office, now: int) -> set[str]:
    fellows = self.backups.fellows
    with mock.patch.object(fellows, "zones", {}):
        return REAL_WANTED(self, now)


def remembers_nothing(self: Member, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.recalling, self.memory.copy = None, True


def speaks_at_once(self: voter.Voter, *args: Any) -> None:
    REAL_VOTER(self, *args)
    self.silent_until = 0


def counts_too_long(self: Member, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.timing = replace(self.timing, held_us=self.timing.lease_us)


def never_stood_still(self: Member, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.timing = replace(self.timing, stopped_us=1 << 60)


def follows_anybody(self: Member, now: int, sender: str, epoch: int) -> bool:
    if self.forgetful or epoch == 0:
        return False
    if epoch >= self.memory.promised:
        return REAL_FOLLOWS(self, now, sender, epoch)
    return True


def takes_any_state(self: Member, now: int, sender: str, write: Any) -> None:
    """The copy is replaced, newer or not."""
    mine = write.life == self.life
    answer = Written(epoch=write.epoch, accepted=mine and self.follows(now, sender, write.epoch))
    if answer.accepted and not write.state.configuration_left_out:
        self.memory.hold(write.state)
        answer.stamp.CopyFrom(write.state.stamp)
        self.out += self.memory.tell(sender, CombLetter(written=answer), self.memory.number)


def promises_twice(self: Member, now: int, sender: str, ask: Any) -> None:
    if ask.epoch and ask.epoch == self.memory.promised and not self.forgetful and not self.wait(now, sender):
        answer = self.grant(ask.epoch)
        answer.granted = True
        self.out.append(acts.Tell(sender, CombLetter(granted=answer)))
    else:
        REAL_ASKED(self, now, sender, ask)


def stands_unnamed(self: candidate.Candidate, answers: dict[str, Granted]) -> bool:
    best = self.best(answers)
    return self.memory.copy and enough(best.members, {self.me, *answers})


def answers_at_once(self: Member, now: int, epoch: int, found: CombRecord) -> None:
    REAL_LEAD(self, now, epoch, found)
    assert self.primary_work is not None
    self.primary_work.committed, self.primary_work.write_began = self.memory.state, None


def from_the_answer(self: backups.Backups, sender: str, answer: Renewed) -> None:
    if answer.round in self.rounds:
        self.rounds[answer.round] = self.fellows.heard_at[sender]
    REAL_RENEWED(self, sender, answer)


def copies_for_good(self: backups.Backups, sender: str, answer: Written) -> None:
    REAL_WRITTEN(self, sender, answer)
    backup = self.known(sender)
    if backup is not None and answer.accepted:
        backup.copy_until = 1 << 60


def never_lower(self: backups.Backups, sender: str, answer: Renewed) -> None:
    backup = self.known(sender)
    before = backup.copy if backup else START
    REAL_RENEWED(self, sender, answer)
    if backup is not None:
        backup.copy, backup.copy_until = max(before, backup.copy), 1 << 60


def forgetful_remember(self: recall.Recalling, now: int) -> acts.Kept | None:
    record = self.record()
    if record is None:
        return None
    promise = max(self.answers.values(), key=lambda a: a.promised)
    return acts.Kept(promise.promised, first_state(), promise.owner, record, copy=False)


def anew_at_once(self: recall.Recalling, now: int) -> acts.Kept | None:
    return acts.Kept(0, first_state(), record=first_record(self.seeds)) if self.answers else None


def all_count(self: recall.Recalling, ip: str) -> bool:
    return ip in self.answers


def recalls_a_copy(self: memory.Memory, kept: acts.Kept) -> None:
    """One that had forgotten takes the empty state for its copy."""
    self.promised, self.owner, self.record = kept.promised, kept.owner, kept.record
    self.hold(kept.state)
    self.office_number = self.number


def refused_is_synced(self: memory.Memory, now: int, token: int, ok: bool) -> list[acts.Output]:
    return REAL_SAVED(self, now, token, True)


def in_force_unseen(self: Member, now: int, told: Any = None) -> bool:
    if self.primary_work is not None:
        return self.primary_work.holds(now)
    return self.agreed is not None and now < self.agreed[1] + self.timing.heard_us


def leads_on(self: Member, now: int, heir: str, why: str) -> None:
    work = self.primary_work
    REAL_OVER(self, now, heir, why)
    self.primary_work = work


PLANTED: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "told before it is synced": ((memory.Memory, "tell", told_at_once),),
    "own copy counts before it is synced": ((office.Office, "whole", own_copy_at_once),),
    "a refused save counts as synced": ((memory.Memory, "saved", refused_is_synced),),
    "acknowledged with one copy": ((Primary, "settled", one_copy_is_enough),),
    "a record without a majority": ((office, "enough", one_is_enough),),
    "a copy named before it is whole": ((Primary, "propose", named_before_taught),),
    "elected without a majority": ((candidate, "enough", one_is_enough),),
    "a copy stands that the record does not name": ((candidate.Candidate, "stands", stands_unnamed),),
    "an empty disk votes": ((Member, "__init__", remembers_nothing),),
    "an empty disk is a copy": ((memory.Memory, "take", recalls_a_copy),),
    "one who remembers is enough to the forgetful": ((recall.Recalling, "done", forgetful_remember),),
    "the forgetful count to the forgetful": ((recall.Recalling, "remembers", all_count),),
    "the forgetful begin anew at once": ((recall.Recalling, "anew", anew_at_once),),
    "no other zone": ((office.Office, "wanted", one_zone),),
    "no margin for drift": ((Member, "__init__", counts_too_long),),
    "lease counted from the answer": ((backups.Backups, "renewed", from_the_answer),),
    "a lease without end": ((Primary, "leads", lambda self, now: True),),
    "promises while another leads": ((Member, "wait", lambda self, now, candidate, released=0: 0),),
    "votes at once after a start": ((voter.Voter, "__init__", speaks_at_once),),
    "anybody is taken for the owner": ((voter.Voter, "owned_by", lambda self, candidate: True),),
    "leads on after handing over": ((Member, "hand_over", leads_on),),
    "an epoch promised twice": ((Member, "asked", promises_twice),),
    "any epoch is followed": (
        (Member, "follows", follows_anybody),
        (Member, "outbid", lambda self, now, primary, promised: None),
    ),
    "an older copy replaces a newer": ((Member, "write", takes_any_state),),
    "answers before its first write": ((Member, "lead_from", answers_at_once),),
    "a word of a copy counts for good": (
        (backups.Backups, "written", copies_for_good),
        (backups.Backups, "renewed", never_lower),
    ),
    "in force without the newest": ((Member, "in_force", in_force_unseen),),
    "letters that waited through a stop are news": ((Member, "__init__", never_stood_still),),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in PLANTED.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
