"""Messages between voters and candidates; docs/design/duties.md describes the protocol.

duty u8 | ballot u64 | number u32 | other u64, all little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

_BODY = struct.Struct("<BQIQ")
MAX_NUMBER = 0xFFFFFFFF  # the u32 of the wire format


class Topic(IntEnum):
    """Kind of message.  The numbers are sent on the wire and must not change.

    A candidate sends ASK (prepare) and TAKE (propose, also to renew) to the voters.
    """

    ASK = 1  # request to promise the ballot
    PROMISE = 2  # the ballot is promised; other: the incarnation it is for, 0: any of that member number
    HELD = 3  # refused; number: remaining us of the present term; other: that term's ballot
    TAKE = 4  # request to grant a lease, or to renew it; number: sequence
    TAKEN = 5  # granted; number: that sequence; other: the incarnation it is for
    FREE = 6  # the lease is released; other: the ballot of the next candidate, 0: none
    WAKE = 7  # a voter has restarted and asks for the highest promised ballot
    KNOWN = 8  # answer to WAKE; number: 1 if the answering voter has its memory
    MOVE = 9  # sent to the holder of `ballot`; number: the ingress that the duty shall move to


TOPICS = frozenset(int(t) for t in Topic)


@dataclass(slots=True, frozen=True)
class Message:
    """One message; see `Topic` for `number` and `other`.

    :param duty: index of the duty in the plan
    """

    topic: Topic
    duty: int
    ballot: int = 0
    number: int = 0
    other: int = 0


def write(message: Message) -> bytes:
    """Encode a message; a `number` above `MAX_NUMBER` is sent as that."""
    return _BODY.pack(message.duty, message.ballot, min(MAX_NUMBER, message.number), message.other)


def read(topic: int, body: bytes) -> Message | None:
    """Decode a message.  Returns None for an unknown topic or a body of the wrong length."""
    if topic not in TOPICS or len(body) != _BODY.size:
        return None
    return Message(Topic(topic), *_BODY.unpack(body))
