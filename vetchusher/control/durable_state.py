"""What this machine promised, accepted and holds, how much of it is on disk, and what waits for that."""

from __future__ import annotations

from vetchusher.distribution.wire_pb2 import ControlMessage, ControlState, ReplicaSet
from vetchusher.events import Event, LogEvent

from .messages import Output, Persist, PersistentState, Send, Timing
from .state import START, Point, at, place


class DurableState:
    """It owns the promise, the record, the copy, and the messages that wait for the disk: of each kind the
    newest for each reader, removed as they are told.

    One `Persist` is under way at a time; what changes meanwhile goes with the next, so a hanging disk costs
    no memory.
    """

    def __init__(self, timing: Timing, kept: PersistentState, on_disk: bool) -> None:
        self.timing = timing
        self.promised = kept.promised
        self.owner = kept.owner
        self.record = kept.record
        self.state = kept.state
        self.copy = kept.copy
        self.number = 0 if on_disk else 1  # of the newest contents
        # Of the contents that first had them; the promise and the record go together.
        self.office_number = self.state_number = self.number
        self.synced = 0  # number of the contents on disk
        self.synced_promise = kept.promised if on_disk else 0
        self.synced_record: Point = place(kept.record) if on_disk else START
        self.synced_stamp: Point = at(kept.state) if on_disk else START
        self.synced_copy = kept.copy and on_disk
        self.saving: tuple[int, PersistentState] | None = None
        self.retry_at = 0
        self.waiting: dict[tuple[str, str], tuple[int, ControlMessage]] = {}

    def promise(self, epoch: int, owner: str) -> None:
        """:param owner: the candidate of that epoch, or its primary: a majority took another than this one"""
        if (epoch, owner) != (self.promised, self.owner) and epoch >= self.promised:
            self.promised, self.owner = epoch, owner
            self.number += 1
            self.office_number = self.number

    def accept(self, record: ReplicaSet) -> None:
        if place(record) > place(self.record):
            self.record = record
            self.number += 1
            self.office_number = self.number

    def take(self, kept: PersistentState) -> None:
        """All that a machine recalled which had forgotten."""
        self.promised, self.owner, self.record = kept.promised, kept.owner, kept.record
        self.state, self.copy = kept.state, kept.copy
        self.number += 1
        self.office_number = self.state_number = self.number

    def hold(self, state: ControlState) -> None:
        self.state, self.copy = state, True
        self.number += 1
        self.state_number = self.number

    def drop(self) -> None:
        self.state, self.copy = ControlState(), False
        self.number += 1
        self.state_number = self.number

    def mend(self, state: ControlState | None) -> None:
        """Danger: what has been written under a later stamp meanwhile must stay.

        :param state: None: what lies on the disk is not what is held
        """
        if state is None:
            self.number += 1
            self.office_number = self.state_number = self.number
            return
        if self.copy and at(state) == at(self.state):
            self.hold(state)

    def tell(self, to: str, message: ControlMessage, number: int) -> list[Output]:
        """At once if the contents of that number are on disk, else when they are."""
        if number <= self.synced:
            return [Send(to, message)]
        self.waiting[to, str(message.WhichOneof("kind"))] = (number, message)
        return []

    def work(self, now: int) -> list[Output]:
        """What is to be saved, if anything."""
        if self.saving is not None or self.number == self.synced or now < self.retry_at:
            return []
        kept = PersistentState(self.promised, self.state, self.owner, self.record, self.copy)
        self.saving = (self.number, kept)
        return [Persist(*self.saving)]

    def saved(self, now: int, token: int, ok: bool) -> list[Output]:
        if self.saving is None or self.saving[0] != token:
            return []
        (number, kept), self.saving = self.saving, None
        if not ok:
            self.retry_at = now + self.timing.retry_us
            return [LogEvent(Event.STORE_FAILED, {"promised": kept.promised, "stamp": at(kept.state)})]
        self.synced, self.synced_promise, self.synced_record = number, kept.promised, place(kept.record)
        self.synced_stamp, self.synced_copy = at(kept.state), kept.copy
        ready = [key for key, (needed, _) in self.waiting.items() if needed <= number]
        return [Send(key[0], self.waiting.pop(key)[1]) for key in ready]
