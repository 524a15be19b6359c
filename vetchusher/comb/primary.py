"""The primary of one epoch: its lease, its backups' copies, one write at a time, and the orders that wait.

Every answer of another machine counts for `held_us` from the sending of what it answers, for the lease and
for copies alike.  Danger: a copy that was told long ago may be on a disk that is gone since; a machine that
came back empty asks nobody before such answers have run out (`recall`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from vetchusher.events import Event, Note
from vetchusher.kinds import Fault, Kind
from vetchusher.waggle.wire_pb2 import CombLetter, CombState, Renew, Renewed, Stamp, Write, Written

from .acts import Committed, Done, Order, Output, Replace, Retrieve, Submitted, Tell, Timing
from .memory import Memory
from .state import START, Point, at, changed, enough, majority, ordered, point, stamp, without_configuration

MOST_ORDERS = 256  # that wait at once
MOST_LEARNERS = 8
ROUNDS = 16  # renewals whose answers can still count


@dataclass(slots=True)
class Backup:
    """Another machine as the primary knows it.

    :param copy: stamp of the copy that it has synced, as last told; it counts until `copy_until`
    :param wrote: stamp of the last write sent to it, first at `first_at`, last at `last_at`
    """

    copy: Point = START
    copy_until: int = 0
    lease_until: int = 0
    round: int = 0
    forgetful: bool = False
    wrote: Point = START
    first_at: int = 0
    last_at: int = 0
    pause: int = 0
    joined_at: int = 0  # of a learner: when it asked last


@dataclass(slots=True)
class Waiting:
    number: int
    order: Order
    until: int


@dataclass(slots=True)
class Fellows:
    """Who was heard when, and from which zone.  Bounded: `Member` forgets the one longest unheard."""

    me: str
    zones: dict[str, str] = field(default_factory=dict)
    heard_at: dict[str, int] = field(default_factory=dict)


class Primary:
    """It owns the backups (members and learners; learners that stop asking are dropped) and the orders
    waiting (`MOST_ORDERS`; each is answered within `order_us`)."""

    def __init__(
        self, timing: Timing, memory: Memory, fellows: Fellows, epoch: int, first_round: int, now: int
    ) -> None:
        self.timing = timing
        self.memory = memory
        self.fellows = fellows
        self.epoch = epoch
        self.began = now
        self.round = first_round
        self.rounds: dict[int, int] = {}  # sent when
        self.renewed_at = now - timing.renew_us
        self.backups: dict[str, Backup] = {}
        self.learners: dict[str, Backup] = {}
        self.whole_from: Point = START  # when this epoch first wrote the configuration that it holds
        self.committed: CombState | None = None
        self.write_began: int | None = None
        self.writing: list[tuple[Waiting, Result[bytes, Fault]]] = []
        self.waiting: list[Waiting] = []
        self.reading: list[Waiting] = []
        self.vain: dict[str, Point] = {}  # who was waited for in vain, by the stamp that it did not sync
        self.led = False  # the lease was held at least once
        self.lapsed_at: int | None = None

    # -- the lease -----------------------------------------------------------------------------

    @property
    def members(self) -> list[str]:
        return list(self.memory.state.members)

    def lease_until(self, now: int) -> int:
        """Until when a majority of the members promises no other epoch; this machine is one of them."""
        others = sorted(
            (self.backup(ip).lease_until for ip in self.members if ip != self.fellows.me), reverse=True
        )
        needed = majority(len(self.members)) - 1
        return others[needed - 1] if needed else now + self.timing.held_us

    def leads(self, now: int) -> bool:
        return now < self.lease_until(now)

    def holds(self, now: int) -> bool:
        return self.committed is not None and self.leads(now)

    def gone(self, now: int) -> bool:
        """The lease ran out, and asking on did not bring it back: hearing without being heard ends it
        here."""
        if self.leads(now):
            self.lapsed_at, self.led = None, True
            return False
        if self.lapsed_at is None:
            self.lapsed_at = now
        grace = (
            self.timing.regain_us if self.led else self.timing.lease_us
        )  # the first answers take their time
        return now >= self.lapsed_at + grace

    def backup(self, ip: str) -> Backup:
        return self.backups.setdefault(ip, Backup())

    def known(self, ip: str) -> Backup | None:
        return self.backup(ip) if ip in self.members else self.learners.get(ip)

    def all_backups(self) -> list[tuple[str, Backup]]:
        return [(ip, self.backup(ip)) for ip in self.members if ip != self.fellows.me] + list(
            self.learners.items()
        )

    def renew(self, now: int) -> list[Output]:
        self.round += 1
        self.rounds[self.round] = now
        self.rounds.pop(self.round - ROUNDS, None)
        self.renewed_at = now
        letter = CombLetter(renew=Renew(epoch=self.epoch, round=self.round, committed=self.told(now)))
        out: list[Output] = [Tell(ip, letter) for ip, _ in self.all_backups()]
        for ip, backup in self.all_backups():
            behind = backup.copy < at(self.memory.state) and not backup.forgetful
            if behind and self.heard(now, ip) and now >= backup.last_at + backup.pause:
                out += self.send(now, ip, backup)
        return out

    def heard(self, now: int, ip: str) -> bool:
        return (
            ip == self.fellows.me
            or now < self.fellows.heard_at.get(ip, now - self.timing.heard_us) + self.timing.heard_us
        )

    def renewed(self, sender: str, answer: Renewed) -> None:
        backup, sent = self.known(sender), self.rounds.get(answer.round)
        if backup is None or sent is None or answer.epoch != self.epoch or answer.round <= backup.round:
            return
        backup.round = answer.round
        backup.forgetful = answer.forgetful
        if answer.accepted:
            backup.lease_until = backup.copy_until = sent + self.timing.held_us
        # It may be less than it was: the newest word counts.
        backup.copy = point(answer.stamp) if answer.accepted else START

    # -- writes --------------------------------------------------------------------------------

    def write(self, now: int, state: CombState) -> list[Output]:
        before = self.memory.state
        state = changed(state, (self.epoch, state.stamp.seq + 1))
        first_write = self.committed is None and self.write_began is None
        if first_write or state.version != before.version:
            self.whole_from = at(state)
        self.memory.hold(state)
        self.write_began = now
        return [out for ip, backup in self.all_backups() for out in self.send(now, ip, backup)]

    def send(self, now: int, ip: str, backup: Backup) -> list[Output]:
        state = self.memory.state
        if backup.wrote == at(state):
            backup.pause = min(2 * backup.pause, self.timing.resend_most_us)
        else:
            backup.wrote, backup.first_at, backup.pause = at(state), now, self.timing.resend_us
        backup.last_at = now
        if backup.copy >= self.whole_from and state.version:
            state = without_configuration(state)
        write = Write(epoch=self.epoch, state=state, committed=self.told(now))
        return [Tell(ip, CombLetter(write=write))]

    def told(self, now: int) -> Stamp | None:
        """What is committed; without the lease nothing is said to be in force."""
        return stamp(at(self.committed)) if self.committed is not None and self.holds(now) else None

    def written(self, now: int, sender: str, answer: Written) -> list[Output]:
        backup = self.known(sender)
        if backup is None or answer.epoch != self.epoch:
            return []
        if answer.need_whole:
            backup.copy = START
            return self.send(now, sender, backup)
        if answer.accepted and point(answer.stamp) == backup.wrote:
            until = backup.first_at + self.timing.held_us
            # Danger: a late word must not borrow the time of a newer one that told less.
            backup.copy_until = max(until, backup.copy_until) if backup.copy == backup.wrote else until
            backup.copy = backup.wrote
        return []

    def copy(self, now: int, ip: str) -> Point:
        """Stamp of the copy on that member's disk, as far as its word still counts."""
        if ip == self.fellows.me:
            return self.memory.synced_stamp
        backup = self.backup(ip)
        return backup.copy if now < backup.copy_until else START

    def holders(self, now: int) -> set[str]:
        """Members on whose disk the newest state is."""
        return {ip for ip in self.members if self.copy(now, ip) >= at(self.memory.state)}

    def elsewhere(self, now: int, holders: Iterable[str]) -> list[str]:
        """Members that are up in other zones, and could hold a copy there."""
        zones = {self.fellows.zones.get(ip) for ip in holders}
        self.vain = {ip: waited for ip, waited in self.vain.items() if self.copy(now, ip) < waited}
        return [
            ip
            for ip in self.members
            if ip not in self.vain and self.heard(now, ip) and self.fellows.zones.get(ip) not in zones
        ]

    def apart(self, now: int, holders: Iterable[str], began: int) -> bool:
        """Whether the copies lie in two zones, or nobody is up that could hold one in another."""
        if len({self.fellows.zones.get(ip) for ip in holders}) > 1:
            return True
        waited_for = self.elsewhere(now, holders)
        if waited_for and now < began + self.timing.other_zone_us:
            return False
        # A disk that hangs holds up one write, not each.
        self.vain.update(dict.fromkeys(waited_for, at(self.memory.state)))
        return True

    def settle(self, now: int) -> list[Output]:
        """Commits the write under way if it may be, then begins the next, and answers what can be
        answered."""
        out: list[Output] = []
        if self.write_began is not None:
            holders = self.holders(now)
            if enough(self.members, holders) and self.apart(now, holders, self.write_began):
                out += self.commit(now)
        out += self.answer(now)
        if self.write_began is None and self.holds(now):
            out += self.next_write(now)
            out += self.answer(now)
        return out

    def commit(self, now: int) -> list[Output]:
        before, self.committed, self.write_began = self.committed, self.memory.state, None
        out: list[Output] = [Committed(self.committed)]
        facts = {"stamp": at(self.committed), "version": self.committed.version}
        out.append(Note(Event.STATE_COMMITTED, facts))
        for ip in set(self.committed.members) - set((before or self.committed).members):
            out.append(Note(Event.MEMBER_JOINED, {"member": ip, "members": len(self.committed.members)}))
        return out + self.renew(now)

    def next_write(self, now: int) -> list[Output]:
        """All orders that wait go into one write, with at most one change of the members."""
        held = state = self.memory.state
        batch, self.waiting = self.waiting, []
        done: list[Output] = []
        for waiting in batch:
            order = waiting.order
            if ordered(held, order).value_or(None) is held and (state is held or isinstance(order, Replace)):
                done.append(Done(waiting.number, Success(b"")))  # it relies on nothing that is under way
                continue
            after = ordered(state, order)
            state = after.value_or(state)
            self.writing.append((waiting, after.map(lambda _: b"")))
        members = self.next_members(now)
        if members is not None:
            state = changed(state, members=members)
        return done + (self.write(now, state) if state is not held else [])

    def next_members(self, now: int) -> list[str] | None:
        """One more, once it holds all that is committed; or one less.  The committed members stand
        meanwhile."""
        for ip, learner in self.learners.items():
            if learner.copy == at(self.memory.state) and now < learner.copy_until:
                self.backups[ip] = self.learners.pop(ip)
                return [*self.members, ip]
        return self.without_lost(now)

    def without_lost(self, now: int) -> list[str] | None:
        """Without the member longest lost, if those who are left could not bear one more loss otherwise."""
        members = self.members
        since = {
            ip: max(self.began, self.fellows.heard_at.get(ip, 0)) for ip in members if ip != self.fellows.me
        }
        lost = [ip for ip, at_ in since.items() if now >= at_ + self.timing.drop_us]
        if not lost or len(members) <= 3 or len(members) - len(lost) > majority(len(members)):
            return None
        longest = min(lost, key=since.__getitem__)
        self.backups.pop(longest, None)
        return [ip for ip in members if ip != longest]

    # -- orders --------------------------------------------------------------------------------

    def submit(self, now: int, asked: Submitted) -> list[Output]:
        if len(self.waiting) + len(self.writing) + len(self.reading) >= MOST_ORDERS:
            return [Done(asked.number, Failure(Fault(Kind.NOT_SETTLED, "too many orders wait")))]
        queue = self.reading if isinstance(asked.order, Retrieve) else self.waiting
        queue.append(Waiting(asked.number, asked.order, now + self.timing.order_us))
        return []

    def answer(self, now: int) -> list[Output]:
        """What a settled write carries, what is to be read, and what waited too long."""
        out: list[Output] = []
        if self.holds(now):
            out += [Done(w.number, self.read()) for w in self.reading]
            self.reading = []
            if self.write_began is None:
                out += [Done(w.number, outcome) for w, outcome in self.writing]
                self.writing = []
        late = [w for w in self.all_waiting() if now >= w.until]
        if late:
            self.reading = [w for w in self.reading if now < w.until]
            self.waiting = [w for w in self.waiting if now < w.until]
            self.writing = [(w, outcome) for w, outcome in self.writing if now < w.until]
        return out + unsettled(late, "no majority settled it in time")

    def all_waiting(self) -> list[Waiting]:
        return [*self.reading, *self.waiting, *(w for w, _ in self.writing)]

    def read(self) -> Result[bytes, Fault]:
        if self.committed is None or not self.committed.version:
            return Failure(Fault(Kind.NOT_SETTLED, "no configuration yet"))
        return Success(self.committed.configuration)

    def give_up(self) -> list[Output]:
        late = self.all_waiting()
        self.reading, self.waiting, self.writing = [], [], []
        return unsettled(late, "this machine is the primary no more")

    # -- machines that ask to join -------------------------------------------------------------

    def join(self, now: int, ip: str) -> list[Output]:
        if ip in self.members:
            return []
        learner = self.learners.get(ip)
        if learner is None and len(self.learners) < MOST_LEARNERS:
            learner = self.learners[ip] = Backup()
        if learner is None:
            return []
        learner.joined_at = now
        return self.send(now, ip, learner) if learner.wrote == START else []

    def forget_learners(self, now: int) -> None:
        old = [ip for ip, x in self.learners.items() if now >= x.joined_at + self.timing.learner_us]
        for ip in old:
            del self.learners[ip]


def unsettled(waiting: Iterable[Waiting], text: str) -> list[Output]:
    return [Done(w.number, Failure(Fault(Kind.NOT_SETTLED, text))) for w in waiting]
