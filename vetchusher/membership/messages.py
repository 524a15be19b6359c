"""Messages of the membership protocol, inside the envelope of `vetchusher.datagrams`.

    life u48 | beat u32 | flags u8 | sequence u16 | about u16 | extra u16
    records:   number u16 | state u8 | life u48 | beat u32 | by u16

All numbers are little-endian.  Each message is a heartbeat of its sender; its topic says the rest.
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
FOREVER = 0xFFFF  # extra of RELAYED: no contact for longer than the field can state
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
    NEWS = 39  # gossip: records alone
    SYNC = 40  # a request for the whole view
    VIEW = 41  # part `about` of `extra` of a whole view


TOPICS = frozenset(int(t) for t in Topic)


@dataclass(slots=True, frozen=True)
class Message:
    topic: Topic
    life: int
    beat: int
    flags: int = 0
    sequence: int = 0
    about: int = NOBODY
    extra: int = 0
    records: tuple[tuple[int, Record], ...] = ()


def write(message: Message) -> bytes:
    head = _HEAD.pack(
        message.life & 0xFFFFFFFF,
        message.life >> 32,
        message.beat,
        message.flags,
        message.sequence,
        message.about,
        min(message.extra, 0xFFFF),
    )
    return head + b"".join(
        _RECORD.pack(
            number, record.state, record.life & 0xFFFFFFFF, record.life >> 32, record.beat, record.by
        )
        for number, record in message.records
    )


def read(topic: int, body: bytes, members: int) -> Message | None:
    """The message; None for bytes that `write` cannot have made in a cluster of so many members."""
    size = len(body) - _HEAD.size
    if topic not in TOPICS or size < 0 or size % _RECORD.size:
        return None
    low, high, beat, flags, sequence, about, extra = _HEAD.unpack_from(body)
    if flags & ~LEAVING or (about >= members and about != NOBODY and topic != Topic.VIEW):
        return None
    records = []
    for number, state, life_low, life_high, record_beat, by in _RECORD.iter_unpack(body[_HEAD.size :]):
        if number >= members or not State.UNKNOWN < state <= State.LEFT or by >= members:
            return None
        if by and state not in ACCUSATIONS:
            return None
        records.append((number, Record(life_low | life_high << 32, record_beat, State(state), by)))
    return Message(Topic(topic), low | high << 32, beat, flags, sequence, about, extra, tuple(records))
