"""The parts of the work that ingresses share, as the reducer sees them.

The envelope of a datagram is decoded here once; the message goes to the part that owns its topic.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from vetchusher import interface as api

from .envelope import Envelope, ReceivedMessage


class Part(Protocol):
    """One kind of shared work, such as duties or membership.  Times are us on the program's clock.

    :param topics: the topics whose messages it receives
    :param tick_us: how often it is to be ticked
    """

    topics: range
    tick_us: int

    def begin(self, now: int) -> None:
        """Start; called once, before any other method."""
        ...

    def tick(self, now: int) -> list[api.Action]:
        """Do what is due."""
        ...

    def receive(self, now: int, received: ReceivedMessage) -> list[api.Action]:
        """Process a message of one of the own topics."""
        ...

    def stop(self, now: int) -> list[api.Action]:
        """Prepare for the end of the process, which goes on serving for a while."""
        ...

    def on_exit(self, now: int) -> list[api.Action]:
        """Do what is left to do as the process ends."""
        ...

    def serving_change(self, now: int) -> tuple[int, ...] | None:
        """Return the numbers of the ingresses taken to serve, if a change of them is to be acted upon."""
        ...


class EnvelopeOwner(Part, Protocol):
    """The part that owns the envelope."""

    @property
    def envelope(self) -> Envelope:
        """The envelope of all messages of this process."""
        ...


EnvelopeOwnerT = TypeVar("EnvelopeOwnerT", bound=EnvelopeOwner)


class SharedWork(Generic[EnvelopeOwnerT]):
    """Owns all parts that the settings switch on, and passes them ticks, messages and the end of the process.

    :param duties: always present: the envelope depends on its plan, which all members of a cluster share
    """

    def __init__(self, duties: EnvelopeOwnerT, others: tuple[Part, ...] = ()) -> None:
        """Create the set of parts; `begin` starts them."""
        self.duties = duties
        self.all: tuple[Part, ...] = (duties, *others)
        self.tick_us = min(p.tick_us for p in self.all)
        self.due_at = [0] * len(self.all)

    def begin(self, now: int) -> None:
        """Start all parts."""
        for part in self.all:
            part.begin(now)

    def tick(self, now: int) -> list[api.Action]:
        """Tick the parts that are due; to be called every `tick_us`."""
        actions: list[api.Action] = []
        for number, part in enumerate(self.all):
            if now >= self.due_at[number]:
                self.due_at[number] = now + part.tick_us - self.tick_us // 2
                actions += part.tick(now)
        return actions

    def receive_datagram(self, now: int, sender: int, data: bytes) -> list[api.Action]:
        """Decode a datagram and pass its message to the part that owns the topic.

        A datagram that can't be used is counted and ignored.

        :param sender: the ingress from whose address it came
        """
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
        """Prepare all parts for the end of the process."""
        return [action for part in self.all for action in part.stop(now)]

    def on_exit(self, now: int) -> list[api.Action]:
        """Do what is left to do in all parts as the process ends."""
        return [action for part in self.all for action in part.on_exit(now)]

    def serving_change(self, now: int) -> tuple[int, ...] | None:
        """Return the numbers of the ingresses taken to serve, if a change of them is to be acted upon."""
        for part in self.all:
            if (serving := part.serving_change(now)) is not None:
                return serving
        return None
