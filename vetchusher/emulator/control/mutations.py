"""Planted faults: each guard of the control state taken out in turn, to prove that the judge can see it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import Any
from unittest import mock

from returns.result import Failure, Result, Success

from vetchusher.control import (
    amnesia,
    deltas,
    durable_state,
    election,
    messages,
    orders,
    progress,
    reconfiguration,
    seats,
    state,
    voter,
    witness,
)
from vetchusher.control.chunks import listed, name_of
from vetchusher.control.primary import Primary
from vetchusher.control.replica import Replica
from vetchusher.control.state import START, Point, at, first_record, first_state, has_quorum
from vetchusher.distribution.wire_pb2 import (
    BodyDelta,
    ControlMessage,
    ControlState,
    LeaseRenewalReply,
    ReplicaSet,
    VoteReply,
    WriteReply,
)
from vetchusher.kinds import Fault

REAL_START, REAL_FOLLOWS = Replica.__init__, Replica.follows
REAL_RENEWED, REAL_ASKED, REAL_WRITTEN = (
    progress.ProgressTracker.renewed,
    Replica.asked,
    progress.ProgressTracker.written,
)
REAL_LEAD, REAL_VOTER, REAL_STANDS = Replica.lead_from, voter.Voter.__init__, election.Candidate.stands
REAL_SAVED = durable_state.DurableState.saved
REAL_WHOLE, REAL_WANTED, REAL_OVER = (
    reconfiguration.Reconfiguration.whole,
    reconfiguration.Reconfiguration.wanted,
    Replica.hand_over,
)
REAL_PROPOSE = reconfiguration.Reconfiguration.propose

REAL_ORDERS, REAL_SUBMIT = orders.OrderBatch.replace, Primary.submit
REAL_BATCH = orders.OrderBatch.__init__


def told_at_once(
    self: durable_state.DurableState, to: str, message: ControlMessage, number: int
) -> list[messages.Output]:
    return [messages.Send(to, message)]


def own_copy_at_once(self: reconfiguration.Reconfiguration, now: int, ip: str, since: Point) -> bool:
    return ip == self.me or REAL_WHOLE(self, now, ip, since)


def one_is_enough(replica_set: ReplicaSet, some: Any) -> bool:
    return bool(set(some))


def one_copy_is_enough(self: Primary, now: int, began: int) -> bool:
    newest = at(self.memory.state)
    return self.reconfiguration.standing and any(
        self.reconfiguration.whole(now, ip, newest) for ip in self.reconfiguration.copies()
    )


def named_before_taught(self: Primary, now: int) -> bool:
    wanted = self.reconfiguration.wanted(now)
    if wanted == set(self.reconfiguration.record.copies) and self.reconfiguration.standing:
        return False
    self.reconfiguration.propose(wanted, self.reconfiguration.members)
    return True


def one_zone(
    self: reconfiguration.Reconfiguration, now: int, members: Sequence[str] | None = None
) -> set[str]:
    peers = self.progress.peers
    with mock.patch.object(peers, "zones", {}):
        return REAL_WANTED(self, now, members)


def without_the_previous(
    self: reconfiguration.Reconfiguration,
    copies: Sequence[str],
    members: Sequence[str],
    previous: Sequence[str] = (),
) -> None:
    REAL_PROPOSE(self, copies, members)


def one_more_then_one_less(roster: seats.Roster, size: int) -> list[str]:
    """The newcomer beside the one that it replaces, which is left out later."""
    members, spares = list(roster.members), list(roster.spares)
    if spares:
        return [*members, spares[0]]
    lost = [ip for ip in roster.gone_for_long if ip not in roster.keep]
    return [ip for ip in members if ip != lost[0]] if len(members) > 3 and lost else members


def remembers_nothing(self: Replica, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.recovery, self.memory.copy = None, True


def speaks_at_once(self: voter.Voter, *args: Any) -> None:
    REAL_VOTER(self, *args)
    self.silent_until = 0


def counts_too_long(self: Replica, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.timing = replace(self.timing, held_us=self.timing.lease_us)


def never_stood_still(self: Replica, *args: Any, **named: Any) -> None:
    REAL_START(self, *args, **named)
    self.timing = replace(self.timing, stopped_us=1 << 60)


def follows_anybody(self: Replica, now: int, sender: str, epoch: int) -> bool:
    if self.amnesiac or epoch == 0:
        return False
    if epoch >= self.memory.promised:
        return REAL_FOLLOWS(self, now, sender, epoch)
    return True


def takes_any_state(self: Replica, now: int, sender: str, write: Any) -> None:
    """The copy is replaced, newer or not."""
    mine = write.life == self.life
    answer = WriteReply(epoch=write.epoch, accepted=mine and self.follows(now, sender, write.epoch))
    if answer.accepted and not write.state.configuration_left_out:
        self.memory.hold(write.state)
        answer.stamp.CopyFrom(write.state.stamp)
        self.out += self.memory.tell(sender, ControlMessage(written=answer), self.memory.number)


def promises_twice(self: Replica, now: int, sender: str, ask: Any) -> None:
    if ask.epoch and ask.epoch == self.memory.promised and not self.amnesiac and not self.wait(now, sender):
        answer = self.grant(ask.epoch)
        answer.granted = True
        self.out.append(messages.Send(sender, ControlMessage(granted=answer)))
    else:
        REAL_ASKED(self, now, sender, ask)


def stands_unnamed(self: election.Candidate, answers: dict[str, VoteReply]) -> bool:
    best = self.best(answers)
    return self.memory.copy and has_quorum(best, {self.me, *answers})


def answers_at_once(self: Replica, now: int, epoch: int, found: ReplicaSet) -> None:
    REAL_LEAD(self, now, epoch, found)
    assert self.primary_work is not None
    self.primary_work.committed, self.primary_work.write_began = self.memory.state, None


def from_the_answer(self: progress.ProgressTracker, sender: str, answer: LeaseRenewalReply) -> None:
    if answer.round in self.rounds:
        self.rounds[answer.round] = self.peers.heard_at[sender]
    REAL_RENEWED(self, sender, answer)


def copies_for_good(self: progress.ProgressTracker, sender: str, answer: WriteReply) -> None:
    REAL_WRITTEN(self, sender, answer)
    backup = self.known(sender)
    if backup is not None and answer.accepted:
        backup.copy_until = 1 << 60


def never_lower(self: progress.ProgressTracker, sender: str, answer: LeaseRenewalReply) -> None:
    backup = self.known(sender)
    before = backup.copy if backup else START
    REAL_RENEWED(self, sender, answer)
    if backup is not None:
        backup.copy, backup.copy_until = max(before, backup.copy), 1 << 60


def forgetful_remember(self: amnesia.AmnesiaRecovery, now: int) -> messages.PersistentState | None:
    record = self.record()
    if record is None:
        return None
    promise = max(self.answers.values(), key=lambda a: a.promised)
    return messages.PersistentState(promise.promised, first_state(), promise.owner, record, copy=False)


def anew_at_once(self: amnesia.AmnesiaRecovery, now: int) -> messages.PersistentState | None:
    return (
        messages.PersistentState(0, first_state(), record=first_record(self.seeds)) if self.answers else None
    )


def all_count(self: amnesia.AmnesiaRecovery, ip: str) -> bool:
    return ip in self.answers


def recalls_a_copy(self: durable_state.DurableState, kept: messages.PersistentState) -> None:
    """One that had forgotten takes the empty state for its copy."""
    self.promised, self.owner, self.record = kept.promised, kept.owner, kept.record
    self.hold(kept.state)
    self.office_number = self.number


def refused_is_synced(
    self: durable_state.DurableState, now: int, token: int, ok: bool
) -> list[messages.Output]:
    return REAL_SAVED(self, now, token, True)


def in_force_unseen(self: Replica, now: int, told: Any = None) -> bool:
    if self.primary_work is not None:
        return self.primary_work.holds(now)
    return self.agreed is not None and now < self.agreed[1] + self.timing.heard_us


def whatever_is_there(delta: BodyDelta, held: bytes) -> bytes | None:
    """Chunks that are not there are passed over."""
    known = dict(deltas.chunked(held)) | {name_of(chunk): chunk for chunk in delta.chunks}
    return b"".join(known.get(name, b"") for name in listed(delta.manifest))


def leads_on(self: Replica, now: int, heir: str, why: str) -> None:
    work = self.primary_work
    REAL_OVER(self, now, heir, why)
    self.primary_work = work


def any_body(held: ControlState, order: messages.Replace) -> Result[ControlState, Fault]:
    """What is not above the version held changes nothing, whatever its body."""
    return Success(held) if order.version <= held.version else state.replaced(held, order)


def any_body_is_acknowledged(self: orders.OrderBatch, order: messages.Replace) -> orders.Decision:
    after = any_body(self.state, order)
    self.state = after.value_or(self.state)
    return orders.Decision(Success(b""), order.version > self.held.version)


def refuses_at_once(self: orders.OrderBatch, order: messages.Replace) -> orders.Decision:
    decision = REAL_ORDERS(self, order)
    return replace(decision, relies_on_write=False) if isinstance(decision.outcome, Failure) else decision


def acknowledges_at_once(self: orders.OrderBatch, order: messages.Replace) -> orders.Decision:
    """What is in the batch already."""
    known = self.bodies.get(order.version) == orders.digest(order.body)
    decision = REAL_ORDERS(self, order)
    return replace(decision, relies_on_write=False) if known else decision


def overtaken_are_forgotten(self: orders.OrderBatch, order: messages.Replace) -> orders.Decision:
    decision = REAL_ORDERS(self, order)
    self.bodies = {self.held.version: self.bodies[self.held.version]}
    return decision


def last_batch_is_forgotten(self: orders.OrderBatch, held: ControlState, before: Any) -> None:
    REAL_BATCH(self, held, None)


def every_number_counts(self: orders.OrderBatch, held: ControlState, before: Any) -> None:
    REAL_BATCH(self, held, orders.Numbers(0, before.bodies if before else {}))


def refuses_by_what_it_holds(self: Primary, now: int, asked: messages.Submitted) -> list[messages.Output]:
    """By a body that may not be committed."""
    if isinstance(asked.order, messages.Replace):
        found = state.ordered(self.memory.state, asked.order)
        if isinstance(found, Failure):
            return [messages.Completed(asked.number, Failure(found.failure()))]
    return REAL_SUBMIT(self, now, asked)


def acknowledges_what_it_holds(self: Primary, now: int, asked: messages.Submitted) -> list[messages.Output]:
    order, held = asked.order, self.memory.state
    known = (held.version, held.configuration)
    if isinstance(order, messages.Replace) and (order.version, order.body) == known:
        return [messages.Completed(asked.number, Success(b""))]
    return REAL_SUBMIT(self, now, asked)


PLANTED: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "told before it is synced": ((durable_state.DurableState, "tell", told_at_once),),
    "own copy counts before it is synced": ((reconfiguration.Reconfiguration, "whole", own_copy_at_once),),
    "a refused save counts as synced": ((durable_state.DurableState, "saved", refused_is_synced),),
    "acknowledged with one copy": ((Primary, "settled", one_copy_is_enough),),
    "a record without a majority": ((reconfiguration, "has_quorum", one_is_enough),),
    "a copy named before it is whole": ((Primary, "propose", named_before_taught),),
    "elected without a majority": ((election, "has_quorum", one_is_enough),),
    "a copy stands that the record does not name": ((election.Candidate, "stands", stands_unnamed),),
    "an empty disk votes": ((Replica, "__init__", remembers_nothing),),
    "an empty disk is a copy": ((durable_state.DurableState, "take", recalls_a_copy),),
    "one who remembers is enough to the forgetful": ((amnesia.AmnesiaRecovery, "done", forgetful_remember),),
    "the forgetful count to the forgetful": ((amnesia.AmnesiaRecovery, "remembers", all_count),),
    "the forgetful begin anew at once": ((amnesia.AmnesiaRecovery, "anew", anew_at_once),),
    "no other zone": ((reconfiguration.Reconfiguration, "wanted", one_zone),),
    "no margin for drift": ((Replica, "__init__", counts_too_long),),
    "lease counted from the answer": ((progress.ProgressTracker, "renewed", from_the_answer),),
    "a lease without end": ((Primary, "leads", lambda self, now: True),),
    "promises while another leads": ((Replica, "wait", lambda self, now, candidate, released=0: 0),),
    "votes at once after a start": ((voter.Voter, "__init__", speaks_at_once),),
    "anybody is taken for the owner": ((voter.Voter, "owned_by", lambda self, candidate: True),),
    "leads on after handing over": ((Replica, "hand_over", leads_on),),
    "an epoch promised twice": ((Replica, "asked", promises_twice),),
    "any epoch is followed": (
        (Replica, "follows", follows_anybody),
        (Replica, "outbid", lambda self, now, primary, promised: None),
    ),
    "an older copy replaces a newer": ((Replica, "write", takes_any_state),),
    "answers before its first write": ((Replica, "lead_from", answers_at_once),),
    "a word of a copy counts for good": (
        (progress.ProgressTracker, "written", copies_for_good),
        (progress.ProgressTracker, "renewed", never_lower),
    ),
    "renews though it hears nobody": ((Primary, "unheard", lambda self, now: False),),
    "a copy is chosen that does not answer": (
        (progress.ProgressTracker, "answers", lambda self, now, ip: True),
    ),
    "in force without the newest": ((Replica, "in_force", in_force_unseen),),
    "voters changed without the previous ones": (
        (reconfiguration.Reconfiguration, "propose", without_the_previous),
    ),
    "a successor beside the one that it replaces": (
        (reconfiguration, "next_members", one_more_then_one_less),
    ),
    "the lost keep their seats": (
        (reconfiguration, "next_members", lambda roster, size: list(roster.members)),
    ),
    "a leaving machine does not wait": ((Replica, "needed", lambda self, now: False),),
    "a delta is put onto whatever is held": ((witness, "body_of", whatever_is_there),),
    "letters that waited through a stop are news": ((Replica, "__init__", never_stood_still),),
    "a number has any body": ((orders.OrderBatch, "replace", any_body_is_acknowledged),),
    "refused before the other is committed": ((orders.OrderBatch, "replace", refuses_at_once),),
    "sent twice, acknowledged before it is committed": (
        (orders.OrderBatch, "replace", acknowledges_at_once),
    ),
    "what a batch overtook is forgotten": ((orders.OrderBatch, "replace", overtaken_are_forgotten),),
    "what the last batch took is forgotten": ((orders.OrderBatch, "__init__", last_batch_is_forgotten),),
    "old numbers are refused too": ((orders.OrderBatch, "__init__", every_number_counts),),
    "refused by what is not committed": ((Primary, "submit", refuses_by_what_it_holds),),
    "an evacuation that waited through a stop": ((Replica, "stood_still", lambda self, now: False),),
    "acknowledged by what is not committed": ((Primary, "submit", acknowledges_what_it_holds),),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in PLANTED.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
