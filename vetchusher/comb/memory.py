"""What this machine promised and holds, how much of it is on disk, and what is not told before it is."""

from __future__ import annotations

from vetchusher.events import Event, Note
from vetchusher.waggle.wire_pb2 import CombLetter, CombState

from .acts import Kept, Output, Save, Tell, Timing
from .state import START, Point, at


class Memory:
    """It owns the promise, the copy, and the letters that wait for the disk: of each kind the newest for each
    reader, removed as they are told.

    One `Save` is under way at a time; what changes meanwhile goes with the next, so a hanging disk costs no
    memory.
    """

    def __init__(self, timing: Timing, kept: Kept, on_disk: bool) -> None:
        self.timing = timing
        self.promised = kept.promised
        self.state = kept.state
        self.number = 0 if on_disk else 1  # of the newest contents
        self.promise_number = self.state_number = self.number  # of the contents that first had them
        self.synced = 0  # number of the contents on disk
        self.synced_promise = kept.promised if on_disk else 0
        self.synced_stamp: Point = at(kept.state) if on_disk else START
        self.saving: tuple[int, Kept] | None = None
        self.retry_at = 0
        self.waiting: dict[tuple[str, str], tuple[int, CombLetter]] = {}

    def promise(self, epoch: int) -> None:
        if epoch > self.promised:
            self.promised = epoch
            self.number += 1
            self.promise_number = self.number

    def hold(self, state: CombState) -> None:
        self.state = state
        self.number += 1
        self.state_number = self.number

    def mend(self, state: CombState) -> None:
        """Danger: what has been written under a later stamp meanwhile must stay."""
        if at(state) == at(self.state):
            self.hold(state)

    def tell(self, to: str, letter: CombLetter, number: int) -> list[Output]:
        """At once if the contents of that number are on disk, else when they are."""
        if number <= self.synced:
            return [Tell(to, letter)]
        self.waiting[to, str(letter.WhichOneof("kind"))] = (number, letter)
        return []

    def work(self, now: int) -> list[Output]:
        """What is to be saved, if anything."""
        if self.saving is not None or self.number == self.synced or now < self.retry_at:
            return []
        self.saving = (self.number, Kept(self.promised, self.state))
        return [Save(*self.saving)]

    def saved(self, now: int, token: int, ok: bool) -> list[Output]:
        if self.saving is None or self.saving[0] != token:
            return []
        (number, kept), self.saving = self.saving, None
        if not ok:
            self.retry_at = now + self.timing.retry_us
            return [Note(Event.STORE_FAILED, {"promised": kept.promised, "stamp": at(kept.state)})]
        self.synced, self.synced_promise, self.synced_stamp = number, kept.promised, at(kept.state)
        ready = [key for key, (needed, _) in self.waiting.items() if needed <= number]
        return [Tell(key[0], self.waiting.pop(key)[1]) for key in ready]
