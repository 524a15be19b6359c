"""Messages of the membership protocol, inside the envelope of `vetchusher.datagrams`.

life u48 | beat u32 | flags u8 | sequence u16 | about u16 | extra u16
records:   number u16 | state u8 | life u48 | beat u32 | by u16

`life`, `beat` and `by` are the names on the wire (`incarnation`, `heartbeat` and `accuser` in `Message` and
`Record`).

All numbers are little-endian.  Each message is a heartbeat of its sender; its topic says what else it is for.
Where a topic has no use for `about`, the field may report a member number from which two processes answer;
`extra` is then how long ago (ms) the older process answered.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from .records import ACCUSATIONS, Record, State

_HEAD, _RECORD = struct.Struct("<IHIBHHH"), struct.Struct("<HBIHIH")
MAX_RECORDS = (256 - 12 - 12 - _HEAD.size) // _RECORD.size  # that fit beside the envelope and a seal
NOBODY = 0xFFFF  # `about` where no member is meant
NEVER_HEARD = 0xFFFF  # `extra` of PING_REQ_ACK: no contact for longer than the field can state
LEAVING = 1  # flag: the sender is about to end


class Topic(IntEnum):
    """Kind of message.  The numbers are sent on the wire and must not change."""

    PING = 32  # direct probe
    ACK = 33  # answer to PING
    PING_REQ = 34  # please ping `about` for me; extra: 1 where the path to it is taken to be bad
    INDIRECT_PING = 35  # ping on behalf of member `about`; extra as in PING_REQ
    INDIRECT_ACK = 36  # answer to INDIRECT_PING; extra: ms since the last message from `about` arrived here
    PING_REQ_ACK = 37  # `about` answered the indirect ping; extra as in INDIRECT_ACK
    PING_REQ_NACK = 38  # the request has arrived; `about` has not answered yet
    GOSSIP = 39  # records alone
    SYNC = 40  # a request for the whole view
    VIEW = 41  # part `about` of `extra` of a whole view


TOPICS = frozenset(int(t) for t in Topic)


@dataclass(slots=True, frozen=True)
class Message:
    """One message.

    :param incarnation: of the sender
    :param heartbeat: of the sender
    :param about: number of another member, or `NOBODY`; see `Topic`
    :param records: member numbers with a record of each
    """

    topic: Topic
    incarnation: int
    heartbeat: int
    flags: int = 0
    sequence: int = 0
    about: int = NOBODY
    extra: int = 0
    records: tuple[tuple[int, Record], ...] = ()


def write(message: Message) -> bytes:
    """Encode a message; an `extra` above 65,535 is sent as 65,535."""
    head = _HEAD.pack(
        message.incarnation & 0xFFFFFFFF,
        message.incarnation >> 32,
        message.heartbeat,
        message.flags,
        message.sequence,
        message.about,
        min(message.extra, 0xFFFF),
    )
    return head + b"".join(
        _RECORD.pack(
            number,
            record.state,
            record.incarnation & 0xFFFFFFFF,
            record.incarnation >> 32,
            record.heartbeat,
            record.accuser,
        )
        for number, record in message.records
    )


def read(topic: int, body: bytes, members: int) -> Message | None:
    """Decode a message.  Returns None for bytes that `write` can't have made in a cluster of this size."""
    size = len(body) - _HEAD.size
    if topic not in TOPICS or size < 0 or size % _RECORD.size:
        return None
    low, high, beat, flags, sequence, about, extra = _HEAD.unpack_from(body)
    if flags & ~LEAVING or (about >= members and about != NOBODY and topic != Topic.VIEW):
        return None
    records = []
    for number, state, incarnation_low, incarnation_high, heartbeat, by in _RECORD.iter_unpack(
        body[_HEAD.size :]
    ):
        if number >= members or not State.UNKNOWN < state <= State.LEFT or by >= members:
            return None
        if by and state not in ACCUSATIONS:
            return None
        records.append(
            (number, Record(incarnation_low | incarnation_high << 32, heartbeat, State(state), by))
        )
    return Message(Topic(topic), low | high << 32, beat, flags, sequence, about, extra, tuple(records))
