"""Messages between voters and candidates; docs/design/duties.md has the meaning of each."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

_BODY = struct.Struct("<BQIQ")
MOST_NUMBER = 0xFFFFFFFF


class Topic(IntEnum):
    """By number on the wire, so numbers stay."""

    ASK = 1
    PROMISE = 2  # other: the life it is for; 0: any of that number
    HELD = 3  # number: us left of the term; other: its ballot
    TAKE = 4  # number: sequence
    TAKEN = 5  # the same; other: the life it is for
    FREE = 6  # other: the ballot of the next candidate; 0: none
    WAKE = 7
    KNOWN = 8  # number: 1 where the voter remembers
    MOVE = 9  # to the holder of that ballot; number: of the ingress that shall have it


TOPICS = frozenset(int(t) for t in Topic)


@dataclass(slots=True, frozen=True)
class Message:
    topic: Topic
    duty: int
    ballot: int = 0
    number: int = 0
    other: int = 0


def write(message: Message) -> bytes:
    return _BODY.pack(message.duty, message.ballot, min(MOST_NUMBER, message.number), message.other)


def read(topic: int, body: bytes) -> Message | None:
    if topic not in TOPICS or len(body) != _BODY.size:
        return None
    return Message(Topic(topic), *_BODY.unpack(body))
