"""Planted faults: each guard of the control state taken out in turn, to prove that the judge can see it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import Any
from unittest import mock

from vetchusher.comb import acts, candidate, memory, primary, recall
from vetchusher.comb.member import Member
from vetchusher.comb.primary import Primary
from vetchusher.comb.state import START, at, first_state
from vetchusher.waggle.wire_pb2 import CombLetter, CombState, Granted, Renewed, Written

REAL_START, REAL_FOLLOWS, REAL_WAIT = Member.__init__, Member.follows, Member.wait
REAL_WRITTEN, REAL_RENEWED, REAL_ASKED = Primary.written, Primary.renewed, Member.asked
REAL_LEAD, REAL_AGREE = Member.lead_from, Member.agree
REAL_SAVED, REAL_RECALLING = memory.Memory.saved, recall.Recalling.__init__


def told_at_once(self: memory.Memory, to: str, letter: CombLetter, number: int) -> list[acts.Output]:
    return [acts.Tell(to, letter)]


def own_copy_at_once(self: Primary, now: int, ip: str) -> tuple[int, int]:
    backup = self.backup(ip)
    return (
        at(self.memory.state) if ip == self.fellows.me else backup.copy if now < backup.copy_until else START
    )


def one_is_enough(members: Sequence[str], some: Any) -> bool:
    return bool(set(some))


def remembers_nothing(self: Member, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.recalling = None


def speaks_at_once(self: Member, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
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
    answer = Written(epoch=write.epoch, accepted=self.follows(now, sender, write.epoch))
    if answer.accepted and not write.state.configuration_left_out:
        self.memory.hold(write.state)
        answer.stamp.CopyFrom(write.state.stamp)
        self.out += self.memory.tell(sender, CombLetter(written=answer), self.memory.number)


def promises_twice(self: Member, now: int, sender: str, ask: Any) -> None:
    if ask.epoch and ask.epoch == self.memory.promised and not self.forgetful and not self.wait(now, sender):
        answer = Granted(epoch=ask.epoch, granted=True, promised=ask.epoch, state=self.memory.state)
        self.out.append(acts.Tell(sender, CombLetter(granted=answer)))
    else:
        REAL_ASKED(self, now, sender, ask)


def own_state(self: candidate.Candidate) -> CombState:
    return self.granted[self.me]


def answers_at_once(self: Member, now: int, epoch: int, state: CombState) -> None:
    REAL_LEAD(self, now, epoch, state)
    assert self.primary_work is not None
    self.primary_work.committed, self.primary_work.write_began = self.memory.state, None


def from_the_answer(self: Primary, sender: str, answer: Renewed) -> None:
    if answer.round in self.rounds:
        self.rounds[answer.round] = self.fellows.heard_at[sender]
    REAL_RENEWED(self, sender, answer)


def copies_for_good(self: Primary, now: int, sender: str, answer: Written) -> list[acts.Output]:
    backup = self.known(sender)
    if backup is not None and answer.accepted:
        backup.copy_until = 1 << 60
    return REAL_WRITTEN(self, now, sender, answer)


def never_lower(self: Primary, sender: str, answer: Renewed) -> None:
    backup = self.known(sender)
    before = backup.copy if backup else START
    REAL_RENEWED(self, sender, answer)
    if backup is not None and answer.epoch == self.epoch:
        backup.copy, backup.copy_until = max(before, backup.copy), 1 << 60


def forgetful_remember(self: recall.Recalling, now: int) -> acts.Kept | None:
    state = self.state()
    return acts.Kept(max(a.promised for a in self.answers.values()), state) if state else None


def anew_at_once(self: recall.Recalling, now: int) -> acts.Kept | None:
    return acts.Kept(0, first_state(self.seeds)) if self.answers else None


def all_count(self: recall.Recalling, ip: str) -> bool:
    return ip in self.answers


def refused_is_synced(self: memory.Memory, now: int, token: int, ok: bool) -> list[acts.Output]:
    return REAL_SAVED(self, now, token, True)


def all_join_at_once(self: Primary, now: int) -> list[str] | None:
    ready = [ip for ip, x in self.learners.items() if x.copy == at(self.memory.state)]
    if len(ready) < 2:
        return None
    self.backups.update((ip, self.learners.pop(ip)) for ip in ready)
    return [*self.members, *ready]


def asks_at_once(self: recall.Recalling, *args: Any, **named: Any) -> None:
    REAL_RECALLING(self, *args, **named)
    self.begins = self.began


def in_force_unseen(self: Member, now: int, told: Any) -> None:
    REAL_AGREE(self, now, told)
    self.agreed_at = now


PLANTED: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "told before it is synced": ((memory.Memory, "tell", told_at_once),),
    "own copy counts before it is synced": ((Primary, "copy", own_copy_at_once),),
    "a refused save counts as synced": ((memory.Memory, "saved", refused_is_synced),),
    "acknowledged without a majority": ((primary, "enough", one_is_enough),),
    "elected without a majority": ((candidate, "enough", one_is_enough),),
    "an empty disk votes": ((Member, "__init__", remembers_nothing),),
    "one who remembers is enough to the forgetful": ((recall.Recalling, "done", forgetful_remember),),
    "the forgetful count to the forgetful": ((recall.Recalling, "remembers", all_count),),
    "the forgetful begin anew at once": ((recall.Recalling, "anew", anew_at_once),),
    "no other zone": ((Primary, "apart", lambda self, now, holders, began: True),),
    "no margin for drift": ((Member, "__init__", counts_too_long),),
    "lease counted from the answer": ((Primary, "renewed", from_the_answer),),
    "a lease without end": ((Primary, "leads", lambda self, now: True),),
    "promises while another leads": ((Member, "wait", lambda self, now, candidate: 0),),
    "votes at once after a start": ((Member, "__init__", speaks_at_once),),
    "an epoch promised twice": ((Member, "asked", promises_twice),),
    "any epoch is followed": (
        (Member, "follows", follows_anybody),
        (Member, "outbid", lambda self, now, primary, promised: None),
    ),
    "an older copy replaces a newer": ((Member, "write", takes_any_state),),
    "goes on from its own copy": ((candidate.Candidate, "best", own_state),),
    "answers before its first write": ((Member, "lead_from", answers_at_once),),
    "a word of a copy counts for good": (
        (Primary, "written", copies_for_good),
        (Primary, "renewed", never_lower),
    ),
    "a word is asked for while an older one counts": ((recall.Recalling, "__init__", asks_at_once),),
    "two join at once": ((Primary, "next_members", all_join_at_once),),
    "in force without the newest": ((Member, "agree", in_force_unseen),),
    "letters that waited through a stop are news": ((Member, "__init__", never_stood_still),),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in PLANTED.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
