"""What a core machine does on another's word: it promises, follows a primary, keeps a copy, drops it.

Witness and backup are one: a backup is a witness that was taught.
"""

from __future__ import annotations

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    Drop,
    Join,
    LeaseRenewal,
    LeaseRenewalReply,
    Stamp,
    VoteReply,
    VoteRequest,
    Write,
    WriteReply,
)
from vetchusher.events import Event, LogEvent

from .deltas import body_of
from .durable_state import DurableState
from .messages import Committed, Output, Send
from .state import START, Point, at, place, point, stamp, voters, with_body, with_configuration
from .voter import Voter


class Witness:
    """It owns what this machine took from primaries: what is committed, and when that was last said."""

    def __init__(self, memory: DurableState, voter: Voter, life: int, now: int) -> None:
        """:param life: of this process; letters to another are not for it"""
        self.memory = memory
        self.voter = voter
        self.life = life
        self.sure_from = now  # letters heard before it may have waited here while this machine stood still
        self.agreed: tuple[Point, int] | None = None  # what the primary last said is in force, and when
        self.change_until = now  # as the primary last said: until then voters may be about to change
        self._committed = ControlState()
        self.out: list[Output] = []

    # -- of the whole member -------------------------------------------------------------------

    @property
    def amnesiac(self) -> bool:
        raise NotImplementedError

    def wait(self, now: int, candidate: str, released: int = 0) -> int:
        """For how long (us) this machine promises that candidate nothing."""
        raise NotImplementedError

    def stand_back(self, why: str) -> None:
        """It leads no more, and does not stand."""
        raise NotImplementedError

    def join(self, now: int, join: Join) -> None:
        raise NotImplementedError

    # -- promises ------------------------------------------------------------------------------

    def asked(self, now: int, sender: str, ask: VoteRequest) -> None:
        wait = self.wait(now, sender, ask.released)
        if ask.epoch == 0:
            wait = max(wait, self.voter.patience(now, sender))
            if sender not in voters(self.memory.record) and not self.amnesiac:
                self.join(now, Join(ip=sender))  # it was left out while it was away
        elif not self.amnesiac and not wait and ask.epoch > self.memory.promised:
            self.promise(now, sender, ask.epoch)
            return
        answer = self.grant(ask.epoch)
        answer.wait_ms = -(-wait // 1000)
        self.out.append(Send(sender, ControlMessage(granted=answer)))

    def grant(self, epoch: int) -> VoteReply:
        """What a voter that remembers tells of itself: its promise, its record, and whether it has a copy."""
        memory = self.memory
        answer = VoteReply(epoch=epoch, promised=memory.promised, amnesiac=self.amnesiac)
        if not self.amnesiac:
            answer.record.CopyFrom(memory.record)
            answer.stamp.CopyFrom(memory.state.stamp)
            answer.copy = memory.copy
        return answer

    def promise(self, now: int, sender: str, epoch: int) -> None:
        self.stand_back("a higher epoch was promised")
        self.voter.kind(now, sender)
        self.memory.promise(epoch, sender)
        answer = self.grant(epoch)
        answer.granted = True
        self.out += self.memory.tell(sender, ControlMessage(granted=answer), self.memory.number)
        self.note(Event.EPOCH_PROMISED, epoch=epoch, to=sender)

    def follows(self, now: int, sender: str, epoch: int) -> bool:
        """Takes the sender for the primary of an epoch, and gives it a lease, unless a higher one is
        promised."""
        if self.amnesiac or epoch == 0 or epoch < self.memory.promised:
            return False
        self.stand_back("another is the primary of a later epoch")
        self.memory.promise(epoch, sender)
        self.voter.lease(now, sender)
        return True

    # -- a primary's letters -------------------------------------------------------------------

    def renew(self, now: int, sender: str, renew: LeaseRenewal) -> None:
        answer = LeaseRenewalReply(
            epoch=renew.epoch, round=renew.round, accepted=self.follows(now, sender, renew.epoch)
        )
        memory = self.memory
        answer.promised, answer.amnesiac = memory.promised, self.amnesiac
        if not answer.accepted:
            self.out.append(Send(sender, ControlMessage(renewed=answer)))
            return
        if renew.record.members:
            memory.accept(renew.record)
        answer.copy = memory.synced_copy and memory.copy
        answer.stamp.CopyFrom(stamp(memory.synced_stamp))
        answer.record.CopyFrom(stamp(place(memory.record)))
        self.agree(now, renew.committed)
        if renew.changing:
            self.change_until = now + self.voter.timing.heard_us
        # Danger: an epoch taken from its primary is a promise too: like a record, told only from the disk.
        self.out += memory.tell(sender, ControlMessage(renewed=answer), memory.office_number)

    def write(self, now: int, sender: str, write: Write) -> None:
        # Danger: what was sent to the process before this one may be older than what its lost disk had.
        mine = write.life == self.life
        answer = WriteReply(epoch=write.epoch, accepted=mine and self.follows(now, sender, write.epoch))
        answer.promised = self.memory.promised
        if not answer.accepted:
            self.out.append(Send(sender, ControlMessage(written=answer)))
            return
        if not self.memory.copy or at(write.state) > at(self.memory.state):
            state: ControlState | None = write.state
            if write.state.configuration_left_out:
                state = filled(write, self.memory.state) if self.memory.copy else None
            if state is None:
                answer.accepted, answer.need_whole = False, True
                self.out.append(Send(sender, ControlMessage(written=answer)))
                return
            self.memory.hold(state)
        answer.stamp.CopyFrom(self.memory.state.stamp)
        number = max(self.memory.state_number, self.memory.office_number)
        self.out += self.memory.tell(sender, ControlMessage(written=answer), number)
        self.agree(now, write.committed)

    def drop(self, sender: str, drop: Drop) -> None:
        """The record that stands does not name this machine: a witness keeps no state."""
        memory = self.memory
        if self.amnesiac or drop.epoch != memory.promised or memory.owner != sender:
            return
        if memory.copy and at(memory.state) <= point(drop.stamp):
            memory.drop()

    def agree(self, now: int, told: Stamp) -> None:
        """The primary, under its lease, said what is committed."""
        if point(told) == START:
            return
        if self.memory.copy and point(told) == at(self.memory.state):
            self.commit(self.memory.state)
        if now >= self.sure_from:
            self.agreed = point(told), now

    def commit(self, state: ControlState) -> None:
        if at(state) > at(self._committed):
            self._committed = state
            self.out.append(Committed(state))

    def note(self, event: Event, **facts: object) -> None:
        self.out.append(LogEvent(event, facts))


def filled(write: Write, held: ControlState) -> ControlState | None:
    """The state of a write without its configuration, from the copy held here; None: that is not enough."""
    if not write.HasField("delta"):
        return with_configuration(write.state, held)
    body = body_of(write.delta, held.configuration)
    return with_body(write.state, body) if body is not None else None
