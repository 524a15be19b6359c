"""The one place where the ingress's state changes: an event goes in, the effects to carry out come out.

It keeps the rules that hold whatever the module decides: one final answer for each command, one outcome for
each attempt, no attempt for a command that is over.  It does no I/O and knows no protocol.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from vetchusher import interface as api
from vetchusher.fleet.maintenance import Exclusions
from vetchusher.policy import AdmissionPolicy

from . import effects as fx

NACK_WAIT_US = 200_000  # when those shall come back that find the ingress full or without a name table
RETRY_TIMER_US = 100_000  # a timer whose handling failed comes again after this
WORK_TOKEN = 8 << 60  # the module's tokens are below it


WORK_KIND = b"\x03"  # first byte of the messages that are not about quotas


class Duties(Protocol):
    """What operators, the lock of votes, the sink and an engine tell: `vetchusher.duties.work.Work`."""

    def vote(self, now: int, memory: list[Any] | None) -> None: ...

    def retire(self, now: int) -> list[Any]: ...

    def delivered(self, now: int, period: int, known: int, token: int) -> None: ...

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]: ...

    def keep_free(self, now: int, free: bool) -> list[api.Action]: ...

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]: ...


class Work(Protocol):
    """What the reducer needs of the work that ingresses share: `vetchusher.datagrams.parts.Parts`."""

    tick_us: int

    @property
    def duties(self) -> Duties: ...

    def tick(self, now: int) -> list[api.Action]: ...

    def heard(self, now: int, sender: int, data: bytes) -> list[api.Action]: ...

    def stop(self, now: int) -> list[api.Action]: ...

    def left(self, now: int) -> list[api.Action]: ...

    def seen(self, now: int) -> tuple[int, ...] | None: ...


@dataclass(slots=True)
class Command:
    """One command from its arrival until it is answered and its last attempt has ended."""

    expires_at: int
    class_id: int = 0
    attempts: int = 0
    out: set[int] = field(default_factory=set)
    answered: bool = False
    settled: bool = False  # its true units have been told to the module


@dataclass(slots=True)
class Tally:
    """What the ingress did since its start, counted where it happens: one list an outcome, by class."""

    passed: list[int]
    dropped: list[int]
    failed: list[int]
    tries: int = 0  # attempts written whole: all but those that never got their bytes out

    @classmethod
    def of(cls, classes: int) -> Tally:
        return cls([0] * classes, [0] * classes, [0] * classes)


class Reducer:
    def __init__(
        self,
        policy: AdmissionPolicy,
        settings: api.Settings,
        most_commands: int,
        excluded: frozenset[int] = frozenset(),
        work: Work | None = None,
    ) -> None:
        """:param work: what the ingresses of the tier do together; none where it is off"""
        self.work = work
        self.policy = policy
        self.settings = settings
        self.most_commands = most_commands
        self.commands: dict[int, Command] = {}
        self.named = False  # the name table holds someone to send to
        self.read = False
        self.stopping = False
        self.moot: list[api.AttemptEnded] = []
        self.tally = Tally.of(len(settings.classes))
        self.exclusions = Exclusions(excluded)

    def skipped(self) -> int:
        """Listed instances avoided now: excluded by hand, or resting by the module's choice."""
        return self.exclusions.skipped() + self.policy.fleet.resting

    def open_commands(self) -> int:
        """Commands taken and not yet answered."""
        return sum(not command.answered for command in self.commands.values())

    @property
    def ready(self) -> bool:
        """Whether clients should come: it can decide, and it is not about to end."""
        return self.named and self.read and not self.stopping

    def apply(self, now: int, event: fx.Event) -> list[fx.Effect]:
        done: list[fx.Effect] = []
        kind = type(event)
        if kind is fx.CommandArrived:
            self.arrived(now, event, done)  # type: ignore[arg-type]
        elif kind is fx.AttemptOver:
            self.attempt_over(now, event, done)  # type: ignore[arg-type]
        elif kind is fx.TimerDue:
            token = event.token  # type: ignore[union-attr]
            if token == WORK_TOKEN and self.work is not None:
                done.append(fx.WakeAt(now + self.work.tick_us, WORK_TOKEN))
                self.carry(now, self.work.tick(now), done)
                if (living := self.work.seen(now)) is not None:
                    self.decide(now, api.TierSeen(living), done)
            elif not self.decide(now, api.TimerFired(token), done):
                # Danger: the module's tick sets itself anew; lost once, no quota would be pushed again.
                done.append(fx.WakeAt(now + RETRY_TIMER_US, token))
        elif isinstance(event, fx.CounterReplied):
            self.decide(now, api.CounterAnswered(event.name, event.outcome, event.latency, event.total), done)
        elif isinstance(event, fx.PeerSpoke):
            if self.work is not None and event.data[:1] == WORK_KIND:
                self.carry(now, self.work.heard(now, event.peer, event.data), done)
            else:
                self.decide(now, api.PeerMessage(event.peer, event.data), done)
        elif isinstance(event, fx.ClientLeft):
            self.client_left(now, event.command, done)
        elif isinstance(event, fx.NamesChanged):
            change = self.exclusions.mask(event.change)
            self.decide(now, change, done)
            ready = any(e.state == api.WorkerState.READY for e in change.entries)
            self.named = self.named or ready
        elif isinstance(event, fx.MaintenanceAsked):
            self.maintain(now, event, done)
        elif isinstance(event, fx.NamesRead):
            self.read = True
        elif isinstance(event, fx.StopAsked | fx.Ends):
            self.stopping = True
            if self.work is not None:
                told = self.work.left if isinstance(event, fx.Ends) else self.work.stop
                self.carry(now, told(now), done)
        elif self.work is not None:
            self.work_event(now, self.work.duties, event, done)
        return done

    def work_event(self, now: int, work: Duties, event: fx.Event, done: list[fx.Effect]) -> None:
        if isinstance(event, fx.VoteBegins):
            work.vote(now, event.memory)
        elif isinstance(event, fx.VoteEnds):
            done.append(fx.KeepMemory(work.retire(now)))
        elif isinstance(event, fx.ReportAnswered):
            work.delivered(now, event.period, event.known, event.token)
        elif isinstance(event, fx.EngineAnswered):
            self.carry(now, work.engine_answered(now, event.call, event.tree), done)
        elif isinstance(event, fx.WorkAsked):
            why = ""
            if event.verb == "move":
                why, outcomes = work.move(now, event.name, event.to)
            else:
                outcomes = work.keep_free(now, event.free)
            self.carry(now, outcomes, done)
            done.append(fx.Answered(event.call, not why, why))

    def maintain(self, now: int, event: fx.MaintenanceAsked, done: list[fx.Effect]) -> None:
        """An exclusion outranks the list until its include; an id that no list has named gets a no."""
        if event.exclude:
            change = self.exclusions.exclude(event.worker)
        else:
            change = self.exclusions.include(event.worker, now)
        done.append(fx.Answered(event.call, change is not None))
        if change is None:
            return
        if change.entries:
            self.decide(now, change, done)
        done.append(fx.KeepExclusions(tuple(sorted(self.exclusions.excluded))))

    def arrived(self, now: int, event: fx.CommandArrived, done: list[fx.Effect]) -> None:
        # No attempt has been made, so a nack is true for every class.
        if not self.named or len(self.commands) >= self.most_commands:
            wait = min(NACK_WAIT_US, self.settings.max_retry_after) * self.settings.retry_after
            self.tally.dropped[event.class_id] += 1
            done.append(fx.Nack(event.command, wait))
            return
        self.commands[event.command] = Command(event.expires_at, event.class_id)
        told = api.RequestArrived(
            event.command,
            event.class_id,
            event.plan_id,
            event.customer,
            event.expires_at - now,
            event.units,
            event.doors,
            event.first_door,
            event.flags,
        )
        if not self.decide(now, told, done):
            self.give_up(event.command, done)

    def attempt_over(self, now: int, event: fx.AttemptOver, done: list[fx.Effect]) -> None:
        command = self.commands.get(event.command)
        if command is None or event.attempt not in command.out:
            return  # its one outcome has been told
        command.out.discard(event.attempt)
        self.tally.tries += event.outcome != api.Outcome.CONNECT_FAILED
        if event.outcome == api.Outcome.OK and not command.answered:
            command.answered = True
            self.tally.passed[command.class_id] += 1
            done.append(fx.Serve(event.command, event.answer))
        told = api.AttemptEnded(
            event.command, event.attempt, event.instance, event.outcome, event.latency, command.answered
        )
        if event.settled and event.outcome == api.Outcome.OK and not command.settled:
            # Danger: a second copy's answer tells the units again; a quota counts them once.
            command.settled, told.settled = True, event.settled
        known = self.decide(now, told, done)
        if not known or not (command.answered or command.out):
            # The module failed, or left the command with nobody at work on it.
            self.give_up(event.command, done)
        self.forget(event.command)

    def client_left(self, now: int, number: int, done: list[fx.Effect]) -> None:
        command = self.commands.get(number)
        if command is None or command.answered:
            return
        command.answered = True  # nobody is left to answer
        if not self.decide(now, api.ClientGone(number), done):
            self.give_up(number, done)
        self.forget(number)

    def give_up(self, number: int, done: list[fx.Effect]) -> None:
        """Danger: a nack would say that trying again is harmless, and nobody knows whether it is."""
        command = self.commands.get(number)
        if command is None:
            return
        if not command.answered:
            command.answered = True
            self.tally.failed[command.class_id] += 1
            done.append(fx.Failure(number))
        done.extend(fx.AbandonAttempt(number, attempt) for attempt in sorted(command.out))
        self.forget(number)

    def forget(self, number: int) -> None:
        command = self.commands.get(number)
        if command is not None and command.answered and not command.out:
            del self.commands[number]

    def decide(self, now: int, event: api.Event, done: list[fx.Effect]) -> bool:
        """Have the module handle an event; false if it failed, which must not harm any other command."""
        try:
            self.carry(now, self.policy.handle(now, event), done)
            while self.moot:
                self.carry(now, self.policy.handle(now, self.moot.pop(0)), done)
        except Exception as err:
            self.moot.clear()
            what = f"{type(err).__name__}: {err}"
            done.append(fx.WriteLog(f"decision failed on {type(event).__name__}: {what}"))
            return False
        return True

    def carry(self, now: int, actions: Iterable[api.Action], done: list[fx.Effect]) -> None:
        for action in actions:
            kind = type(action)
            if kind is api.Send:
                self.start(now, action, done)  # type: ignore[arg-type]
            elif kind is api.SetTimer:
                done.append(fx.WakeAt(now + action.delay, action.token))  # type: ignore[union-attr]
            elif isinstance(action, api.Count):
                expires_at = now + self.settings.counter_timeout
                done.append(fx.CallCounter(action.name, action.amount, action.lifetime, expires_at))
            elif isinstance(action, api.Refuse | api.Fail):
                command = self.commands.get(action.request)
                if command is not None and not command.answered:
                    command.answered = True
                    if isinstance(action, api.Refuse):
                        wait = min(action.retry_after, self.settings.max_retry_after)
                        self.tally.dropped[command.class_id] += 1
                        done.append(fx.Nack(action.request, wait))
                    else:
                        self.tally.failed[command.class_id] += 1
                        done.append(fx.Failure(action.request))
                    self.forget(action.request)
            elif isinstance(action, api.Cancel):
                command = self.commands.get(action.request)
                if command is not None and action.attempt in command.out:
                    done.append(fx.AbandonAttempt(action.request, action.attempt))
            elif isinstance(action, api.Say):
                done.append(fx.TellPeer(action.data, action.peer))
            elif isinstance(action, api.AskEngine):
                done.append(fx.CallEngine(action.call, action.path, action.body, now + action.patience))
            elif isinstance(action, api.Deliver):
                done.append(fx.DeliverReport(action.period, action.record))
            elif isinstance(action, api.Log):
                done.append(fx.WriteLog(action.text, action.facts))
            # SubscribeFleet and FetchFleet ask for nothing here: the watch on the name table always runs.

    def start(self, now: int, action: api.Send, done: list[fx.Effect]) -> None:
        command = self.commands.get(action.request)
        number = command.attempts if command is not None else 0
        over = command is None or command.answered
        if (
            command is None
            or command.answered
            or now >= command.expires_at
            or number >= self.settings.max_attempts
        ):
            if command is not None:
                command.attempts += 1
            self.moot.append(
                api.AttemptEnded(action.request, number, action.worker, api.Outcome.MOOT, 0, over)
            )
            return
        command.attempts += 1
        command.out.add(number)
        expires_at = command.expires_at
        if action.timeout:
            expires_at = min(expires_at, now + action.timeout)
        done.append(fx.StartAttempt(action.request, number, action.worker, expires_at))
