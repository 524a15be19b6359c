"""The parts of the work that ingresses share, as the reducer sees them.

A datagram's envelope is opened once, here; the message goes to the part that owns its topic.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from vetchusher import interface as api

from .envelope import Envelope, ReceivedMessage


class Part(Protocol):
    """One kind of shared work, such as duties or membership; times are us on the program's clock."""

    topics: range
    tick_us: int

    def begin(self, now: int) -> None: ...

    def tick(self, now: int) -> list[api.Action]: ...

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]: ...

    def stop(self, now: int) -> list[api.Action]: ...

    def left(self, now: int) -> list[api.Action]: ...

    def seen(self, now: int) -> tuple[int, ...] | None: ...


class Opener(Part, Protocol):
    """The part that owns the envelope."""

    @property
    def envelope(self) -> Envelope: ...


OpenerT = TypeVar("OpenerT", bound=Opener)


class Parts(Generic[OpenerT]):
    """Owner of all parts, as many as the settings switch on.

    :param duties: is always there: its plan is what the envelopes of a cluster have in common
    """

    def __init__(self, duties: OpenerT, others: tuple[Part, ...] = ()) -> None:
        self.duties = duties
        self.all: tuple[Part, ...] = (duties, *others)
        self.tick_us = min(p.tick_us for p in self.all)
        self.due = [0] * len(self.all)

    def begin(self, now: int) -> None:
        for part in self.all:
            part.begin(now)

    def tick(self, now: int) -> list[api.Action]:
        done: list[api.Action] = []
        for number, part in enumerate(self.all):
            if now >= self.due[number]:
                self.due[number] = now + part.tick_us - self.tick_us // 2
                done += part.tick(now)
        return done

    def heard(self, now: int, sender: int, data: bytes) -> list[api.Action]:
        envelope = self.duties.envelope
        received = envelope.read(sender, data)
        if received is None:
            return []
        for part in self.all:
            if received.topic in part.topics:
                return part.receive(now, received)
        envelope.refuse("unreadable")
        return []

    def stop(self, now: int) -> list[api.Action]:
        return [action for part in self.all for action in part.stop(now)]

    def left(self, now: int) -> list[api.Action]:
        """The process ends now."""
        return [action for part in self.all for action in part.left(now)]

    def seen(self, now: int) -> tuple[int, ...] | None:
        """Numbers of the ingresses taken to serve, where that has changed and is to be acted upon."""
        for part in self.all:
            if (living := part.seen(now)) is not None:
                return living
        return None
