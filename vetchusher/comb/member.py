"""One core machine's part in the control state: it votes, holds a copy, and may be the primary.

Kin: Vertical Paxos and PacificA (docs/design/system.md, "Control state").  Pure: inputs and the time in,
outputs out.  What is told was on disk before, where the promise needs it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from returns.result import Failure

from vetchusher.events import Event, Note
from vetchusher.kinds import Fault, Kind
from vetchusher.waggle.wire_pb2 import (
    Ask,
    CombLetter,
    CombState,
    Granted,
    Join,
    Recall,
    Recalled,
    Renew,
    Renewed,
    Stamp,
    Write,
    Written,
)

from .acts import Committed, Done, Heard, Input, Kept, Mended, Output, Saved, Submitted, Tell, Timing
from .candidate import Candidate
from .memory import Memory
from .primary import Fellows, Primary
from .recall import Recalling
from .state import START, at, first_state, point, stamp, with_configuration

MOST_FELLOWS = 64

__all__ = ["Kept", "Member", "Timing"]


class Member:
    """:param me: this machine's ip
    :param seeds: ips of the machines that it was told of at its start; at the very first start the members
    :param first_start: the system has never run
    :param kept: what was on this machine's disk; None: nothing, or nothing that could be read
    :param now: us of the machine's steady clock
    :param floor: what an import brought; it is no memory (`floor.py`)
    """

    def __init__(
        self,
        me: str,
        zone: str,
        seeds: Sequence[str],
        first_start: bool,
        kept: Kept | None,
        timing: Timing,
        rng: random.Random,
        now: int,
        floor: Kept | None = None,
    ) -> None:
        self.me = me
        self.seeds = tuple(seeds)
        self.timing = timing
        self.rng = rng
        fresh = kept is None and first_start and floor is None
        self.fellows = Fellows(me, {me: zone})
        self.memory = Memory(
            timing, kept or Kept(0, first_state(seeds)), on_disk=kept is not None or not fresh
        )
        self.recalling = None if kept is not None or fresh else Recalling(timing, me, seeds, rng, now, floor)
        self.remembering = False  # what was recalled is on its way to the disk
        # Danger: the process before this one may have given a lease a moment ago.
        self.silent_until = now if fresh else now + timing.lease_us
        self.lease_to = ""
        self.lease_until = now
        self.kind_to = ""
        self.kind_until = now  # another candidate was promised something: let it be
        self.candidate: Candidate | None = None
        self.primary_work: Primary | None = None
        self.due_at: int | None = None
        self.tries = 0  # candidacies in a row that came to nothing
        self.joined_at = now
        self._committed = CombState()
        self.ran_at = now  # last
        self.sure_from = now  # letters heard before it may have waited here while this machine stood still
        self.agreed_at: int | None = (
            None  # when the primary last said that what is committed here is in force
        )
        self.out: list[Output] = []
        if self.recalling:
            self.note(Event.FORGETFUL)

    # -- what others may ask -------------------------------------------------------------------

    def holds(self, now: int) -> bool:
        """Primary, active, its lease not over: it may read out, keep duties, answer."""
        return self.primary_work is not None and self.primary_work.holds(now)

    def in_force(self, now: int) -> bool:
        """Whether a majority stands behind `committed`, as of about a second ago."""
        if self.primary_work is not None:
            return self.primary_work.holds(now)
        return self.agreed_at is not None and now < self.agreed_at + self.timing.heard_us

    @property
    def committed(self) -> CombState:
        """What may be told to ingresses; only ever grows in stamp."""
        return self._committed

    @property
    def copy(self) -> CombState:
        """What this machine holds, committed or not."""
        return self.memory.state

    @property
    def epoch(self) -> int:
        return self.primary_work.epoch if self.primary_work is not None else self.memory.promised

    @property
    def primary(self) -> str:
        """The primary as far as is known; empty: unknown."""
        return self.me if self.primary_work is not None else self.lease_to

    @property
    def members(self) -> tuple[str, ...]:
        return tuple(self.memory.state.members)

    @property
    def forgetful(self) -> bool:
        return self.recalling is not None

    # -- inputs --------------------------------------------------------------------------------

    def handle(self, now: int, event: Input) -> list[Output]:
        if now >= self.ran_at + self.timing.stopped_us:
            self.sure_from, self.agreed_at = now + self.timing.renew_us, None
        self.ran_at = now
        if isinstance(event, Heard):
            self.meet(now, event.sender, event.zone)
            self.letter(now, event.sender, event.letter)
        elif isinstance(event, Saved):
            self.out += self.memory.saved(now, event.token, event.ok)
        elif isinstance(event, Submitted):
            self.submitted(now, event)
        elif isinstance(event, Mended):
            self.memory.mend(event.state)
        else:
            self.tick(now)
        self.go_on(now)
        out, self.out = self.out, []
        return out

    def meet(self, now: int, sender: str, zone: str) -> None:
        fellows = self.fellows
        fellows.zones[sender], fellows.heard_at[sender] = zone, now
        if self.recalling is not None:
            self.recalling.meet(sender)
        if len(fellows.heard_at) > MOST_FELLOWS:
            oldest = min(fellows.heard_at, key=fellows.heard_at.__getitem__)
            del fellows.heard_at[oldest], fellows.zones[oldest]

    def letter(self, now: int, sender: str, letter: CombLetter) -> None:
        match letter.WhichOneof("kind"):
            case "ask":
                self.asked(now, sender, letter.ask)
            case "granted":
                self.granted(sender, letter.granted)
            case "write":
                self.write(now, sender, letter.write)
            case "written":
                self.written(now, sender, letter.written)
            case "renew":
                self.renew(now, sender, letter.renew)
            case "renewed":
                self.renewed(now, sender, letter.renewed)
            case "recall":
                self.recall(sender, letter.recall)
            case "recalled" if self.recalling is not None:
                self.recalling.heard(sender, letter.recalled)
            case "join":
                self.join(now, letter.join)

    def tick(self, now: int) -> None:
        if self.lease_to and now >= self.lease_until:
            self.lease_to = ""
        primary, candidate = self.primary_work, self.candidate
        if primary is not None:
            primary.forget_learners(now)
            if primary.gone(now):
                self.step_down("its lease ran out")
            elif now >= primary.renewed_at + self.timing.renew_us:
                self.out += primary.renew(now)
        elif candidate is not None:
            if candidate.over(now):
                self.candidate, self.due_at = None, None
                self.tries = self.tries + 1 if candidate.unheard else 0
        elif self.recalling is not None:
            self.out += self.recalling.tick(now)
        elif self.me not in self.members:
            self.ask_to_join(now)
        else:
            self.consider(now)

    def go_on(self, now: int) -> None:
        """Whatever the input has made possible."""
        self.remember(now)
        if self.candidate is not None:
            self.campaign(now, self.candidate)
        if self.primary_work is not None:
            self.lead(now, self.primary_work)
        self.out += self.memory.work(now)

    # -- as a voter ----------------------------------------------------------------------------

    def wait(self, now: int, candidate: str) -> int:
        """For how long (us) this voter promises that candidate nothing."""
        wait = self.silent_until - now
        if self.lease_to != candidate:
            wait = max(wait, self.lease_until - now)
        if self.primary_work is not None:
            wait = max(wait, self.primary_work.lease_until(now) - now)
        return max(0, wait)

    def asked(self, now: int, sender: str, ask: Ask) -> None:
        wait = self.wait(now, sender)
        if ask.epoch == 0:
            wait = max(wait, self.kind_until - now if self.kind_to != sender else 0)
            if sender not in self.members and not self.forgetful:
                self.join(now, Join(ip=sender))  # it was left out while it was away
        elif not self.forgetful and not wait and ask.epoch > self.memory.promised:
            self.promise(now, sender, ask.epoch)
            return
        answer = Granted(epoch=ask.epoch, promised=self.memory.promised, forgetful=self.forgetful)
        answer.wait_ms = -(-wait // 1000)
        self.out.append(Tell(sender, CombLetter(granted=answer)))

    def promise(self, now: int, sender: str, epoch: int) -> None:
        self.step_down("a higher epoch was promised")
        self.candidate = None
        self.lease_to, self.due_at = "", None
        self.kind_to, self.kind_until = sender, now + self.timing.courtesy_us
        self.memory.promise(epoch)
        answer = Granted(epoch=epoch, granted=True, promised=epoch, state=self.memory.state)
        self.out += self.memory.tell(sender, CombLetter(granted=answer), self.memory.number)
        self.note(Event.EPOCH_PROMISED, epoch=epoch, to=sender)

    def follows(self, now: int, sender: str, epoch: int) -> bool:
        """Takes the sender for the primary of an epoch, and gives it a lease, unless a higher one is
        promised."""
        if self.forgetful or epoch == 0 or epoch < self.memory.promised:
            return False
        self.step_down("another is the primary of a later epoch")
        self.candidate, self.due_at = None, None
        self.memory.promise(epoch)
        self.lease_to, self.lease_until, self.tries = sender, now + self.timing.lease_us, 0
        return True

    def renew(self, now: int, sender: str, renew: Renew) -> None:
        answer = Renewed(
            epoch=renew.epoch, round=renew.round, accepted=self.follows(now, sender, renew.epoch)
        )
        answer.promised, answer.forgetful = self.memory.promised, self.forgetful
        answer.stamp.CopyFrom(stamp(self.memory.synced_stamp))
        if answer.accepted:
            self.agree(now, renew.committed)
            # Danger: an epoch taken from its primary is a promise too, and told only from the disk.
            self.out += self.memory.tell(sender, CombLetter(renewed=answer), self.memory.promise_number)
        else:
            self.out.append(Tell(sender, CombLetter(renewed=answer)))

    def write(self, now: int, sender: str, write: Write) -> None:
        answer = Written(epoch=write.epoch, accepted=self.follows(now, sender, write.epoch))
        answer.promised = self.memory.promised
        if not answer.accepted:
            self.out.append(Tell(sender, CombLetter(written=answer)))
            return
        if at(write.state) > at(self.memory.state):
            state: CombState | None = write.state
            if write.state.configuration_left_out:
                state = with_configuration(write.state, self.memory.state)
            if state is None:
                answer.accepted, answer.need_whole = False, True
                self.out.append(Tell(sender, CombLetter(written=answer)))
                return
            self.memory.hold(state)
        answer.stamp.CopyFrom(self.memory.state.stamp)
        number = max(self.memory.state_number, self.memory.promise_number)
        self.out += self.memory.tell(sender, CombLetter(written=answer), number)
        self.agree(now, write.committed)

    def agree(self, now: int, told: Stamp) -> None:
        """The primary, under its lease, said what is committed."""
        if point(told) == START:
            return
        if point(told) == at(self.memory.state):
            self.commit(self.memory.state)
        if point(told) == at(self._committed) and now >= self.sure_from:
            self.agreed_at = now

    def commit(self, state: CombState) -> None:
        if at(state) > at(self._committed):
            self._committed = state
            self.out.append(Committed(state))

    # -- as a candidate ------------------------------------------------------------------------

    def consider(self, now: int) -> None:
        """Nobody leads: a random pause, then a candidacy."""
        if self.wait(now, self.me) or now < self.kind_until:
            self.due_at = None
        elif self.due_at is None:
            self.due_at = now + self.rng.randrange(self.timing.pause_us)
        elif now >= self.due_at:
            self.candidate = Candidate(self.timing, self.memory, self.me, self.tries, now)
            self.out += self.candidate.probe()

    def granted(self, sender: str, answer: Granted) -> None:
        if self.candidate is not None:
            self.out += self.candidate.heard(sender, answer)

    def campaign(self, now: int, candidate: Candidate) -> None:
        if candidate.may_ask() and not self.wait(now, self.me):
            candidate.choose(now)
        self.out += candidate.synced(now)
        if candidate.over(now) or not candidate.elected():
            return
        self.candidate = None
        self.lead_from(now, candidate.epoch, candidate.best())

    def lead_from(self, now: int, epoch: int, state: CombState) -> None:
        first_round = self.rng.randrange(1 << 32)
        primary = self.primary_work = Primary(self.timing, self.memory, self.fellows, epoch, first_round, now)
        self.lease_to, self.due_at = "", None
        self.note(Event.PRIMARY, epoch=epoch)
        # What was found may be on no majority: it is written again under this epoch before anything is
        # answered.
        self.out += primary.write(now, state)
        self.out += primary.renew(now)

    # -- as the primary ------------------------------------------------------------------------

    def lead(self, now: int, primary: Primary) -> None:
        self.out += primary.settle(now)
        if primary.committed is not None:
            self.commit(primary.committed)

    def step_down(self, why: str) -> None:
        primary, self.primary_work = self.primary_work, None
        if primary is not None:
            self.out += primary.give_up()
            self.due_at = None
            self.note(Event.PRIMARY_NO_MORE, epoch=primary.epoch, why=why)

    def written(self, now: int, sender: str, answer: Written) -> None:
        if self.primary_work is not None:
            self.out += self.primary_work.written(now, sender, answer)
            self.outbid(now, self.primary_work, answer.promised)

    def renewed(self, now: int, sender: str, answer: Renewed) -> None:
        if self.primary_work is not None:
            self.primary_work.renewed(sender, answer)
            self.outbid(now, self.primary_work, answer.promised)

    def outbid(self, now: int, primary: Primary, promised: int) -> None:
        """A member promised a later epoch that came to nothing: it follows again only under one later
        still."""
        if promised <= primary.epoch:
            return
        led = primary.leads(now)
        self.step_down("a member promised a later epoch")
        if led:
            self.candidate = Candidate(self.timing, self.memory, self.me, self.tries, now)
            self.candidate.highest = promised
            self.candidate.choose(now)

    def submitted(self, now: int, asked: Submitted) -> None:
        if self.primary_work is not None:
            self.out += self.primary_work.submit(now, asked)
        else:
            self.out.append(
                Done(asked.number, Failure(Fault(Kind.NOT_SETTLED, "this machine is not the primary")))
            )

    # -- joining, remembering ------------------------------------------------------------------

    def join(self, now: int, join: Join) -> None:
        if self.primary_work is not None:
            self.out += self.primary_work.join(now, join.ip)
        elif self.lease_to and self.lease_to != join.ip:
            self.out.append(Tell(self.lease_to, CombLetter(join=join)))

    def ask_to_join(self, now: int) -> None:
        if now >= self.joined_at + self.timing.join_us:
            self.joined_at = now
            letter = CombLetter(join=Join(ip=self.me))
            self.out += [Tell(ip, letter) for ip in sorted({*self.seeds, *self.members} - {self.me})]

    def recall(self, sender: str, recall: Recall) -> None:
        answer = Recalled(round=recall.round, forgetful=self.forgetful)
        if not self.forgetful:
            answer.promised = self.memory.promised
            answer.state.CopyFrom(self.memory.state)
        elif self.recalling is not None and self.recalling.floor is not None:
            answer.promised = self.recalling.floor.promised
            answer.state.CopyFrom(self.recalling.floor.state)
        self.out.append(Tell(sender, CombLetter(recalled=answer)))

    def remember(self, now: int) -> None:
        """What was recalled is synced first; only then does this machine vote and hold again."""
        if self.recalling is None:
            return
        if not self.remembering:
            kept = self.recalling.done(now)
            if kept is not None:
                self.remembering = True
                self.memory.promise(kept.promised)
                self.memory.hold(kept.state)
        elif self.memory.synced == self.memory.number:
            self.recalling = None
            self.note(Event.REMEMBERED, promised=self.memory.promised, stamp=at(self.memory.state))

    def note(self, event: Event, **facts: object) -> None:
        self.out.append(Note(event, facts))
