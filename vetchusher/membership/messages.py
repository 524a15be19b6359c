"""What members write to one another, inside the envelope of `vetchusher.datagrams`.

    life u48 | beat u32 | flags u8 | errand u16 | about u16 | extra u16
    records:   number u16 | state u8 | life u48 | beat u32 | by u16

All numbers are little-endian.  Each message says that its sender lives; what else it is for is its topic.
Where a topic has no use for `about`, it names an ingress of which two processes answer, `extra` ms ago.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from .records import ACCUSATIONS, Record, State

_HEAD, _RECORD = struct.Struct("<IHIBHHH"), struct.Struct("<HBIHIH")
RECORDS_SEALED = (256 - 12 - 12 - _HEAD.size) // _RECORD.size  # that fit beside the envelope and a seal
NOBODY = 0xFFFF
FOREVER = 0xFFFF  # extra of RELAYED: not heard for longer than can be told
LEAVING = 1  # flag: the sender is about to end


class Topic(IntEnum):
    """By number on the wire, so numbers stay."""

    PING = 32  # are you there?
    ACK = 33  # yes
    ASK = 34  # please ping `about` for me; extra: 1 where the path to it is taken to be bad
    FOR = 35  # a ping for `about`; extra as in ASK
    ACK_FOR = 36  # its answer; extra: ms since `about` was heard here
    RELAYED = 37  # `about` answered me; extra as in ACK_FOR
    NACK = 38  # `about` has not answered me yet
    NEWS = 39
    SYNC = 40  # tell me all you know
    VIEW = 41  # `about` of `extra` parts of that


TOPICS = frozenset(int(t) for t in Topic)


@dataclass(slots=True, frozen=True)
class Message:
    topic: Topic
    life: int
    beat: int
    flags: int = 0
    errand: int = 0
    about: int = NOBODY
    extra: int = 0
    records: tuple[tuple[int, Record], ...] = ()


def write(message: Message) -> bytes:
    m = message
    head = _HEAD.pack(
        m.life & 0xFFFFFFFF, m.life >> 32, m.beat, m.flags, m.errand, m.about, min(m.extra, 0xFFFF)
    )
    return head + b"".join(
        _RECORD.pack(number, r.state, r.life & 0xFFFFFFFF, r.life >> 32, r.beat, r.by)
        for number, r in m.records
    )


def read(topic: int, body: bytes, members: int) -> Message | None:
    """The message; nothing for whatever `write` has not made in a tier of so many members."""
    size = len(body) - _HEAD.size
    if topic not in TOPICS or size < 0 or size % _RECORD.size:
        return None
    low, high, beat, flags, errand, about, extra = _HEAD.unpack_from(body)
    if flags & ~LEAVING or (about >= members and about != NOBODY and topic != Topic.VIEW):
        return None
    records = []
    for number, state, life_low, life_high, b, by in _RECORD.iter_unpack(body[_HEAD.size :]):
        if number >= members or not State.UNKNOWN < state <= State.LEFT or by >= members:
            return None
        if by and state not in ACCUSATIONS:
            return None
        records.append((number, Record(life_low | life_high << 32, b, State(state), by)))
    return Message(Topic(topic), low | high << 32, beat, flags, errand, about, extra, tuple(records))
