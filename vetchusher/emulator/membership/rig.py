"""Real processes that monitor one another, faults between them, and a check of their logs."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from vetchusher.emulator.duties.rig import Cluster
from vetchusher.membership.rules import MembershipTiming

NS_PER_US = 1_000
TIMEOUT_S = 120.0  # reached only when a run has failed


@dataclass(slots=True, frozen=True)
class Word:
    """A log line `member ...`: a change of a member's state in the view of a process, in monotonic ns."""

    at: int
    who: tuple[int, int]  # number, and start number of the process in the run
    what: str
    member: int


@dataclass(slots=True)
class Truth:
    """When processes really ran, and when a live member may be declared dead.  Times are monotonic ns."""

    lives: list[tuple[int, int, int]] = field(default_factory=list)  # number, start, end (0: running)
    excused: list[tuple[int, int, int]] = field(default_factory=list)  # number (-1: all), from, to
    kills: list[tuple[int, int]] = field(
        default_factory=list
    )  # number, time; it stays down until all can know

    def ended(self, number: int, at: int) -> None:
        """Record the end of the running process of a number."""
        self.lives = [(n, b, at if n == number and not e else e) for n, b, e in self.lives]

    def was_running(self, number: int, at: int, known: int) -> bool:
        """Return whether a member ran at `at`, and had for longer than `known` ns."""
        return any(n == number and b + known < at and (not e or at < e) for n, b, e in self.lives)

    def is_excused(self, number: int, at: int) -> bool:
        """Return whether a member may be declared dead at a time although it runs."""
        return any(n in (number, -1) and since <= at < until for n, since, until in self.excused)


def words(lines: Iterable[tuple[int, int, str]]) -> list[Word]:
    """Return the member events of log lines, each with its number and start number."""
    found = []
    for number, start, text in lines:
        if text.startswith("{"):
            line = json.loads(text)
            what = str(line.get("event", ""))
            if what.startswith("member "):
                said = what.removeprefix("member ")
                for change in line.get("changes", [line]):
                    found.append(Word(change["at_ns"], (number, start), said, change["member"]))
    return found


def wrong(found: Iterable[Word], truth: Truth, known: int) -> list[str]:
    """Return one line for each live member that was declared dead, or whose number was declared a duplicate.

    :param known: ns within which every process knows of a death or a new incarnation
    """
    faults = []
    for word in found:
        # A partitioned observer is excused as well: it declares the other side dead.
        spared = truth.is_excused(word.member, word.at) or truth.is_excused(word.who[0], word.at)
        if word.what == "dead" and truth.was_running(word.member, word.at, known) and not spared:
            faults.append(f"{word.who} declares {word.member} dead at {word.at}, which lives")
        if word.what == "number used twice":
            faults.append(f"{word.who} takes its number to be used twice")
    return faults


def times(found: list[Word], truth: Truth) -> list[list[float]]:
    """Return for each kill the seconds after which the other processes declared it dead, in order."""
    done = []
    for number, at in truth.kills:
        first: dict[int, int] = {}
        for word in found:
            if word.what == "dead" and word.member == number and word.at >= at:
                first[word.who[0]] = min(word.at, first.get(word.who[0], word.at))
        done.append(sorted((t - at) / 1e9 for t in first.values()))
    return done


class MembershipCluster(Cluster):
    """The cluster of the singleton roles with membership; it records the effect of faults on members."""

    def __post_init__(self) -> None:
        """Set the membership timing."""
        super().__post_init__()
        self.membership = self.membership or {"period_ms": 1_000, "pause_ms": 2_000}
        period, pause = self.membership["period_ms"] * 1000, self.membership["pause_ms"] * 1000
        self.rules = MembershipTiming(self.members, period, pause)
        self.max_received_per_s, self.lease_ms = 400.0, 2_000  # enough for periods below a second
        self.truth = Truth()

    @property
    def detection_ns(self) -> int:
        """The time (ns) within which every process knows of a death."""
        return self.rules.detection_bound_us * NS_PER_US

    def found(self) -> list[Word]:
        """Return the member events so far."""
        return words(self.processes.lines())

    def wrong(self) -> list[str]:
        """Return the violations so far."""
        return wrong(self.found(), self.truth, self.detection_ns)

    def excuse(self, number: int, length_s: float) -> None:
        """Allow a member (-1: all) to be declared dead for a time, and until that can be refuted."""
        now = time.monotonic_ns()
        self.truth.excused.append((number, now, now + int(length_s * 1e9) + 2 * self.detection_ns))

    async def start(self, n: int) -> None:
        """Start a process and record it."""
        await super().start(n)
        self.truth.lives.append((n, time.monotonic_ns(), 0))

    async def periods(self, count: float) -> None:
        """Sleep for a number of probe periods."""
        await asyncio.sleep(count * self.rules.period_us / 1e6)

    async def settle(self) -> None:
        """Sleep until every process can know of a change."""
        await asyncio.sleep(self.detection_ns / 1e9)

    async def until_word(self, what: str, member: int, count: int = 1, since: int = 0) -> None:
        """Wait until `count` processes have logged an event about a member.

        :raises TimeoutError: after `TIMEOUT_S`, with the events so far
        """
        began = time.monotonic()
        while time.monotonic() - began < TIMEOUT_S:
            own = [w for w in self.found() if w.at >= since and w.member == member]
            if len({w.who for w in own if w.what == what}) >= count:
                return
            await asyncio.sleep(0.2)
        last = [line[:300] for n, _, line in self.processes.lines() if n == member][-6:]
        told = f"faults {[kind for kind, _ in self.faults][-3:]}, its last lines {last}"
        raise TimeoutError(f"{count} should say {what!r} of {member}; said since then: {own}; {told}")

    # -- faults -----------------------------------------------------------------------

    async def disturb(self, kind: str, number: int) -> None:
        """Inject one fault of a kind into a member, and end it."""
        self.faults.append((kind, time.monotonic_ns()))
        await MEMBER_FAULTS[kind](self, number)
        self.paths.heal()

    async def pause(self, number: int, part: float) -> None:
        """Suspend a process for a ratio of the stated pause."""
        length = part * self.rules.max_pause_us / 1e6
        if part >= 1.0:
            self.excuse(number, length)
        await self.suspend(number, length)

    async def kill_until_detected(self, number: int) -> None:
        """Kill a process, and restart it once every other one can know."""
        at = time.monotonic_ns()
        await self.processes.kill(number)
        self.truth.ended(number, at)
        self.truth.kills.append((number, at))
        await self.settle()
        await self.start(number)

    async def reborn(self, number: int) -> None:
        """Kill a process and restart it at once."""
        await self.processes.kill(number)
        self.truth.ended(number, time.monotonic_ns())
        await self.start(number)

    async def leave(self, number: int) -> None:
        """Terminate a process, and restart it three periods later."""
        await self.terminate(number)
        self.truth.ended(number, time.monotonic_ns())
        await self.periods(3)
        await self.start(number)

    async def upgrade_in_order(self, number: int) -> None:
        """Start a second process beside the first, which is terminated once it knows of the new one."""
        await self.periods(5)  # lets the first process recover from earlier faults
        since = time.monotonic_ns()
        await self.start(number)
        await self.until_word("superseded", number, 1, since)
        await self.terminate(number)

    async def partition_members(self, number: int, parts: int) -> None:
        """Partition the members; all may be declared dead meanwhile."""
        self.excuse(-1, 3 * self.lease_s + 1.0)
        await self.partition(number, parts)

    async def partition_pair(self, number: int, both: bool) -> None:
        """Drop the datagrams from a random member to `number`, and with `both` those back."""
        other = (number + 1 + self.rng.randrange(self.members - 1)) % self.members
        self.paths.cut |= {(other, number)} | ({(number, other)} if both else set())
        await self.periods(8)

    async def only(self, marked: set[int], number: int, excused: bool) -> None:
        """Keep a member in one of the sets of `Paths` for eight periods."""
        if excused:
            self.excuse(number, 8 * self.rules.period_us / 1e6)
        marked.add(number)
        await self.periods(8)

    async def set_loss(self, loss: float) -> None:
        """Lose a ratio of the datagrams and duplicate a tenth, for eight periods."""
        self.paths.loss, self.paths.doubled = loss, 0.1
        await self.periods(8)

    async def disordered(self, number: int) -> None:
        """Duplicate and delay datagrams for eight periods."""
        self.paths.doubled, self.paths.late, self.paths.late_us = 0.3, 0.2, 1_000_000
        await self.periods(8)

    async def share_one_core(self, number: int) -> None:
        """Run all processes on one core for eight periods."""
        own = [p.pid for n in range(self.members) for p in self.processes.alive(n)]
        before = os.sched_getaffinity(0)
        for pid in own:
            os.sched_setaffinity(pid, {min(before)})
        await self.periods(8)
        for n in range(self.members):
            for process in self.processes.alive(n):
                os.sched_setaffinity(process.pid, before)


MEMBER_FAULTS: dict[str, Callable[[MembershipCluster, int], Awaitable[None]]] = {
    "paused 0.3 of the stated": lambda t, n: t.pause(n, 0.3),
    "paused 0.9 of the stated": lambda t, n: t.pause(n, 0.9),
    "paused 5 times the stated": lambda t, n: t.pause(n, 5.0),
    "killed": MembershipCluster.kill_until_detected,
    "killed and back": MembershipCluster.reborn,
    "sigterm": MembershipCluster.leave,
    "upgrade": MembershipCluster.upgrade_in_order,
    "deaf": lambda t, n: t.only(t.paths.deaf, n, False),
    "unheard": lambda t, n: t.only(t.paths.unheard, n, True),
    "does not hear one": lambda t, n: t.partition_pair(n, False),
    "a pair cut": lambda t, n: t.partition_pair(n, True),
    "cut in two": lambda t, n: t.partition_members(n, 2),
    "cut in three": lambda t, n: t.partition_members(n, 3),
    "loss 7%": lambda t, n: t.set_loss(0.07),
    "loss 30%": lambda t, n: t.set_loss(0.3),
    "doubled, late by up to 1 s": MembershipCluster.disordered,
    "all on one core": MembershipCluster.share_one_core,
}
