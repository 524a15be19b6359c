"""One core machine's part in the control state: it votes, may hold a copy, and may be the primary.

docs/design/control-state.md has the roles and the proof.  Pure: inputs and the time in, outputs out.  What is
told was on disk before, where the promise needs it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace

from returns.result import Failure

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    Join,
    LeadershipTransfer,
    LeaseRenewalReply,
    RecoveryReply,
    RecoveryRequest,
    ReplicaSet,
    VoteReply,
    WriteReply,
)
from vetchusher.events import Event
from vetchusher.kinds import Fault, Kind

from .amnesia import AmnesiaRecovery
from .durable_state import DurableState
from .election import Candidate
from .messages import (
    Completed,
    Input,
    Mended,
    Output,
    Persisted,
    PersistentState,
    Received,
    Retire,
    Send,
    Submitted,
    Timing,
)
from .primary import Primary
from .progress import Peers
from .state import Point, at, first_record, first_state, last_order, place, voters
from .voter import Voter
from .witness import Witness

MAX_PEERS = 64

__all__ = ["PersistentState", "Replica", "Timing"]


class Replica(Witness):
    """:param me: this machine's ip
    :param seeds: ips of the machines that it was told of at its start; at the very first start the members
    :param first_start: the system has never run
    :param kept: what was on this machine's disk; None: nothing, or nothing that could be read
    :param now: us of the machine's steady clock
    :param losses: how many machines may be lost at a time
    :param floor: what an import brought; it is no memory (`floor.py`)
    """

    def __init__(
        self,
        me: str,
        zone: str,
        seeds: Sequence[str],
        first_start: bool,
        kept: PersistentState | None,
        timing: Timing,
        rng: random.Random,
        now: int,
        losses: int = 1,
        floor: PersistentState | None = None,
    ) -> None:
        self.me = me
        self.seeds = tuple(seeds)
        self.timing = timing
        self.rng = rng
        fresh = kept is None and first_start and floor is None
        self.losses = losses
        self.peers = Peers(me, {me: zone})
        found = kept or PersistentState(0, first_state(), record=first_record(seeds), copy=fresh)
        if not found.record.members:  # a disk of the first format: all members held copies
            found = replace(found, record=first_record(found.state.members))
        memory = DurableState(timing, found, on_disk=kept is not None or not fresh)
        self.recovery = (
            None if kept is not None or fresh else AmnesiaRecovery(timing, me, seeds, rng, now, floor)
        )
        self.remembering = False  # what was recalled is on its way to the disk
        voter = Voter(timing, memory, now if fresh else now + timing.lease_us, now)
        super().__init__(memory, voter, rng.randrange(1, 1 << 63), now)
        self.candidate: Candidate | None = None
        self.primary_work: Primary | None = None
        self.due_at: int | None = None
        self.tries = 0  # candidacies in a row that came to nothing
        self.joined_at = now
        self.retired = False
        self.ran_at = now  # last
        if self.recovery:
            self.note(Event.AMNESIAC)

    # -- what others may ask -------------------------------------------------------------------

    def holds(self, now: int) -> bool:
        """Primary, active, its lease not over: it may read out, keep duties, answer."""
        return self.primary_work is not None and self.primary_work.holds(now)

    def in_force(self, now: int, told: Point | None = None) -> bool:
        """Whether a majority stands behind what has that stamp, as of about a second ago.

        :param told: of what is told here; None: of `committed`.  Only what was committed is ever told.
        """
        if self.primary_work is not None:
            return self.primary_work.holds(now)
        if self.agreed is None or now >= self.agreed[1] + self.timing.heard_us:
            return False
        return self.agreed[0] <= (at(self._committed) if told is None else told)

    def stood_still(self, now: int) -> bool:
        """Whether what reaches this machine now may have waited while its process ran nothing."""
        return now < self.sure_from or now >= self.ran_at + self.timing.stopped_us

    @property
    def committed(self) -> ControlState:
        """What this machine's copy has that may be told to ingresses; only ever grows in stamp."""
        return self._committed

    @property
    def held(self) -> ControlState | None:
        """This machine's copy, committed or not; None: it has none."""
        return self.memory.state if self.memory.copy and not self.amnesiac else None

    @property
    def epoch(self) -> int:
        return self.primary_work.epoch if self.primary_work is not None else self.memory.promised

    @property
    def primary(self) -> str:
        """The primary as far as is known; empty: unknown."""
        return self.me if self.primary_work is not None else self.voter.lease_to

    @property
    def members(self) -> tuple[str, ...]:
        """All who vote; while voters are being changed, those before and after."""
        return tuple(sorted(voters(self.memory.record)))

    @property
    def seated(self) -> bool:
        """It votes, as far as is known here."""
        return self.me in voters(self.memory.record)

    def needed(self, now: int) -> bool:
        """Whether another has to take over first what this machine does, and is up to do so: its epoch, its
        copy, its seat, or its vote in an election under way."""
        timing = self.timing
        up = self.peers.heard_within(now, timing.lease_us + timing.heard_us)
        if up <= self.peers.leaving:
            return False
        led = self.primary in self.peers.heard_within(now, timing.heard_us)
        if self.primary_work is not None or not led or self.me in self.memory.record.copies:
            return True
        return now < self.change_until

    @property
    def amnesiac(self) -> bool:
        return self.recovery is not None

    def reseed(self, seeds: Sequence[str]) -> None:
        """The settings name other machines to ask."""
        self.seeds = tuple(seeds)
        if self.recovery is not None:
            self.recovery.seeds = self.seeds

    def last_evacuation(self, zone: str) -> int:
        """Number of the zone's last order, as far as it has been taken here."""
        return last_order(self.memory.state, zone)

    # -- inputs --------------------------------------------------------------------------------

    def handle(self, now: int, event: Input) -> list[Output]:
        if now >= self.ran_at + self.timing.stopped_us:
            self.sure_from, self.agreed = now + self.timing.renew_us, None
        self.ran_at = now
        if isinstance(event, Received):
            self.meet(now, event.sender, event.zone, event.message)
            self.message(now, event.sender, event.message)
        elif isinstance(event, Persisted):
            self.out += self.memory.saved(now, event.token, event.ok)
        elif isinstance(event, Submitted):
            self.submitted(now, event)
        elif isinstance(event, Mended):
            self.memory.mend(event.state)
        elif isinstance(event, Retire):
            self.retire(now)
        else:
            self.tick(now)
        self.go_on(now)
        out, self.out = self.out, []
        for one in out:
            if isinstance(one, Send):
                one.message.life, one.message.leaving = self.life, self.retired
        return out

    def meet(self, now: int, sender: str, zone: str, message: ControlMessage) -> None:
        peers = self.peers
        peers.zones[sender], peers.heard_at[sender] = zone, now
        (peers.leaving.add if message.leaving else peers.leaving.discard)(sender)
        if peers.lives.get(sender) != message.life:
            peers.lives[sender] = message.life
            if self.primary_work is not None:
                self.primary_work.reborn(sender)
        if self.recovery is not None:
            self.recovery.meet(sender)
        if len(peers.heard_at) > MAX_PEERS:
            oldest = min(peers.heard_at, key=peers.heard_at.__getitem__)
            del peers.heard_at[oldest], peers.zones[oldest], peers.lives[oldest]
            peers.leaving.discard(oldest)

    def message(self, now: int, sender: str, message: ControlMessage) -> None:
        match message.WhichOneof("kind"):
            case "ask":
                self.asked(now, sender, message.ask)
            case "granted":
                self.granted(sender, message.granted)
            case "write":
                self.write(now, sender, message.write)
            case "written":
                self.written(now, sender, message.written)
            case "renew":
                self.renew(now, sender, message.renew)
            case "renewed":
                self.renewed(now, sender, message.renewed)
            case "recovery_request":
                self.recovery_request(sender, message.recovery_request)
            case "recovery_reply" if self.recovery is not None:
                self.recovery.heard(sender, message.recovery_reply)
            case "join":
                self.join(now, message.join)
            case "release":
                self.released(now, sender, message.release)
            case "drop":
                self.drop(sender, message.drop)

    def tick(self, now: int) -> None:
        self.voter.tick(now)
        if self.voter.lease_to:
            self.tries = 0
        primary, candidate = self.primary_work, self.candidate
        if primary is not None:
            primary.progress.forget_learners(now)
            if primary.gone(now):
                self.step_down("its lease ran out")
            elif primary.renewal_due(now):
                self.out += primary.renew(now)
        elif candidate is not None:
            if candidate.over(now):
                self.candidate, self.due_at = None, None
                self.tries = self.tries + 1 if candidate.unheard else 0
        elif self.recovery is not None:
            self.out += self.recovery.tick(now)
        elif not self.seated:
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

    # -- what it does on another's word: `Witness` ---------------------------------------------

    def wait(self, now: int, candidate: str, released: int = 0) -> int:
        """For how long (us) this voter promises that candidate nothing."""
        wait = self.voter.wait(now, candidate, released)
        if self.primary_work is not None:
            wait = max(wait, self.primary_work.reconfiguration.lease_until(now) - now)
        return wait

    def stand_back(self, why: str) -> None:
        self.step_down(why)
        self.candidate, self.due_at = None, None

    # -- as a candidate ------------------------------------------------------------------------

    def consider(self, now: int) -> None:
        """Nobody leads: a random pause, then a candidacy, where there is a copy to go on from."""
        if not self.memory.copy:
            return
        if self.wait(now, self.me) or self.voter.patience(now, self.me):
            self.due_at = None
        elif self.due_at is None:
            # Danger: all copies may be on machines that are about to end; then one of these leads once more.
            behind = self.timing.leaving_pause_us if self.retired else 0
            self.due_at = now + behind + self.rng.randrange(self.timing.pause_us)
        elif now >= self.due_at:
            self.candidate = Candidate(self.timing, self.memory, self.me, self.tries, now)
            self.out += self.candidate.probe()

    def granted(self, sender: str, answer: VoteReply) -> None:
        if self.candidate is not None:
            self.out += self.candidate.heard(sender, answer)

    def campaign(self, now: int, candidate: Candidate) -> None:
        if candidate.may_ask() and not self.wait(now, self.me):
            candidate.choose(now)
        self.out += candidate.synced(now)
        if candidate.over(now) or not candidate.elected():
            return
        self.candidate = None
        self.lead_from(now, candidate.epoch, candidate.best(candidate.granted))

    def lead_from(self, now: int, epoch: int, found: ReplicaSet) -> None:
        first_round = self.rng.randrange(1 << 32)
        primary = self.primary_work = Primary(
            self.timing, self.memory, self.peers, epoch, found, self.losses, first_round, now
        )
        self.voter.lease_to, self.due_at = "", None
        self.note(Event.PRIMARY, epoch=epoch)
        # What was found may be on too few disks: it is written again under this epoch, and a record names
        # who has it, before anything is answered.
        self.out += primary.write(now, self.memory.state)
        self.out += primary.renew(now)

    # -- as the primary ------------------------------------------------------------------------

    def lead(self, now: int, primary: Primary) -> None:
        self.out += primary.settle(now)
        if primary.committed is not None:
            self.commit(primary.committed)
        heir = primary.best_heir(now) if self.retired else primary.heir(now)
        if heir:
            self.hand_over(now, heir, "it hands over" if self.retired else "its disk is late")

    def hand_over(self, now: int, heir: str, why: str) -> None:
        """Danger: it leads no more before it says so."""
        assert self.primary_work is not None
        epoch = self.primary_work.epoch
        self.step_down(why)
        self.voter.kind(now, heir)
        self.out.append(Send(heir, ControlMessage(release=LeadershipTransfer(epoch=epoch))))

    def released(self, now: int, sender: str, release: LeadershipTransfer) -> None:
        """The primary has handed over to this machine, which stands at once."""
        memory = self.memory
        named = release.epoch == memory.promised and memory.owner == sender
        if not named or not memory.copy or self.amnesiac or self.retired or self.primary_work is not None:
            return
        self.voter.lease_to = ""
        self.candidate = Candidate(self.timing, memory, self.me, self.tries, now, release.epoch)
        self.candidate.choose(now)

    def retire(self, now: int) -> None:
        """The process is about to end: it stands no more, hands over if it leads, is replaced as a copy and
        as a voter.  Without an heir it leads until there is one."""
        self.retired, self.candidate = True, None
        if self.primary_work is not None:
            heir = self.primary_work.best_heir(now)
            if heir:
                self.hand_over(now, heir, "it hands over")
        elif self.voter.lease_to:
            self.out.append(Send(self.voter.lease_to, ControlMessage()))

    def step_down(self, why: str) -> None:
        primary, self.primary_work = self.primary_work, None
        if primary is not None:
            self.out += primary.give_up()
            self.due_at = None
            self.note(Event.PRIMARY_NO_MORE, epoch=primary.epoch, why=why)

    def written(self, now: int, sender: str, answer: WriteReply) -> None:
        if self.primary_work is not None:
            self.out += self.primary_work.written(now, sender, answer)
            self.outbid(now, self.primary_work, answer.promised)

    def renewed(self, now: int, sender: str, answer: LeaseRenewalReply) -> None:
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
                Completed(asked.number, Failure(Fault(Kind.NOT_SETTLED, "this machine is not the primary")))
            )

    # -- joining, remembering ------------------------------------------------------------------

    def join(self, now: int, join: Join) -> None:
        if self.primary_work is not None:
            self.out += self.primary_work.join(now, join.ip)
        elif self.voter.lease_to and self.voter.lease_to != join.ip:
            self.out.append(Send(self.voter.lease_to, ControlMessage(join=join)))

    def ask_to_join(self, now: int) -> None:
        if not self.retired and now >= self.joined_at + self.timing.join_us:
            self.joined_at = now
            message = ControlMessage(join=Join(ip=self.me))
            self.out += [Send(ip, message) for ip in sorted({*self.seeds, *self.members} - {self.me})]

    def recovery_request(self, sender: str, recovery_request: RecoveryRequest) -> None:
        answer = RecoveryReply(round=recovery_request.round, amnesiac=self.amnesiac)
        if not self.amnesiac:
            answer.promised, answer.owner = self.memory.promised, self.memory.owner
            answer.record.CopyFrom(self.memory.record)
        elif self.recovery is not None and self.recovery.floor is not None:
            answer.floor.CopyFrom(self.recovery.floor.state)
        self.out.append(Send(sender, ControlMessage(recovery_reply=answer)))

    def remember(self, now: int) -> None:
        """What was recalled is synced first; only then does this machine vote and hold again."""
        if self.recovery is None:
            return
        if not self.remembering:
            kept = self.recovery.done(now)
            if kept is not None:
                self.remembering = True
                self.memory.take(kept)
        elif self.memory.synced == self.memory.number:
            self.recovery = None
            self.note(Event.RECOVERED, promised=self.memory.promised, record=place(self.memory.record))
