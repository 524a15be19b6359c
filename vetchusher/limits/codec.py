"""What ingresses write to one another: one datagram, at most 256 bytes.

    version u8 | state u8 (low 4 bits), flags (high 4) | sender u16 | life u32 | sent at u64 (ms)
    entries:   firm 40 bits | window u8 (low 6 bits), echo bit, 0 | amount, 1/16 units, base 128
    seal:      12 bytes of a keyed hash over all before it; absent where no key is set

Another kind tells marks (see `marks`), in few bytes as each costs:

    kind u8 (2) | sender u16
    entries:   firm 40 bits | window u8 | at u32 (ms, low bits) | count u16, 1/16 units
    seal:      as above

All numbers are little-endian.  A firm is its customer id (33 bits) and its plan (7 bits).  An amount is the
sum of all that the sender passed for the firm in that window of its present life, so a message that comes
twice, late or out of order changes nothing.
"""

from __future__ import annotations

import hmac
import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .health import State

MOST_BYTES = 256
VERSION = 1
ASKS, NEWBORN = 1, 2  # flags: wants the others' counts; has just been started
SEAL_BYTES = 12
PARTS = 16.0  # of a unit: amounts are rounded up to these
MOST_AMOUNT = (1 << 28) - 1
WINDOWS = 64  # a window's number is sent by its remainder
FRESH_MS = 2_000  # a message whose time differs by more than this is old, or comes from a wrong clock

MARK_KIND = b"\x02"
MARK_AGE_MS = 30_000  # a mark that looks older is none
_MARK_HEAD, _MARK = struct.Struct("<BH"), struct.Struct("<IBBIH")
_HEAD = struct.Struct("<BBHIQ")
_FIRM = struct.Struct("<IBB")
_ECHO = 64

Seal = Callable[[bytes], bytes]


class UnreadableError(Exception):
    """The datagram is not one of ours; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Entry:
    """Units passed for one firm in one window."""

    firm: int  # see `firm_number`
    window: int  # modulo WINDOWS
    amount: float
    echo: bool = False  # not the sender's: what the receiver passed in former lives


@dataclass(slots=True, frozen=True)
class Message:
    sender: int
    life: int
    state: State
    flags: int
    sent_ms: int
    entries: tuple[Entry, ...] = ()


def firm_number(key: int) -> int:
    """The firm's number in messages, from the module's key (customer << 16 | plan); -1 if it has none."""
    customer, plan = key >> 16, key & 0xFFFF
    return customer << 7 | plan if customer < 1 << 33 and plan < 1 << 7 else -1


def key_of(firm: int) -> int:
    return firm >> 7 << 16 | firm & 0x7F


def seal_with(key: bytes) -> Seal:
    """A keyed hash.  The key is stretched to the 32 bytes that BLAKE3's keyed mode takes.

    :raises ImportError: where the blake3 package is not installed
    """
    from blake3 import blake3

    wide = blake3(key, derive_key_context="vetchusher 2026-12 messages between ingresses").digest()
    return lambda data: blake3(data, key=wide).digest(SEAL_BYTES)


def write_entry(entry: Entry) -> bytes:
    amount = min(MOST_AMOUNT, max(0, math.ceil(entry.amount * PARTS)))
    out = bytearray(
        _FIRM.pack(entry.firm & 0xFFFFFFFF, entry.firm >> 32, entry.window % WINDOWS | _ECHO * entry.echo)
    )
    while amount > 0x7F:
        out.append(amount & 0x7F | 0x80)
        amount >>= 7
    out.append(amount)
    return bytes(out)


def room(sealed: bool) -> int:
    """Bytes that the entries of one message may take."""
    return MOST_BYTES - _HEAD.size - SEAL_BYTES * sealed


def write(message: Message, entries: Iterable[bytes], seal: Seal | None) -> bytes:
    """The datagram of this message with these entries, each from `write_entry`.

    :raises ValueError: if it would be too long
    """
    flags = message.state | message.flags << 4
    head = _HEAD.pack(VERSION, flags, message.sender, message.life, message.sent_ms)
    return sealed(head + b"".join(entries), seal)


def sealed(data: bytes, seal: Seal | None) -> bytes:
    """:raises ValueError: if it would be too long"""
    if seal is not None:
        data += seal(data)
    if len(data) > MOST_BYTES:
        raise ValueError(f"a message of {len(data)} bytes")
    return data


def opened(data: bytes, least: int, seal: Seal | None) -> int:
    """Where the content of a datagram ends, its seal checked.

    :param least: bytes of content that it must have
    :raises UnreadableError: if it is too long or too short, or the seal is wrong
    """
    if len(data) > MOST_BYTES:
        raise UnreadableError(f"{len(data)} bytes are too many")
    end = len(data) - (SEAL_BYTES if seal is not None else 0)
    if end < least:
        raise UnreadableError(f"{len(data)} bytes are too few")
    if seal is not None and not hmac.compare_digest(seal(data[:end]), data[end:]):
        raise UnreadableError("the seal is wrong")
    return end


def read(data: bytes, seal: Seal | None) -> Message:
    """:raises UnreadableError: for whatever `write` with this seal has not made"""
    end = opened(data, _HEAD.size, seal)
    version, mixed, sender, life, sent_ms = _HEAD.unpack_from(data)
    if version != VERSION:
        raise UnreadableError(f"version {version} is not known here")
    if mixed & 15 > max(State) or mixed >> 4 > ASKS | NEWBORN:
        raise UnreadableError(f"no such state or flags: {mixed:#x}")
    return Message(sender, life, State(mixed & 15), mixed >> 4, sent_ms, tuple(_entries(data, end)))


def nearest(window: int, index: int) -> int | None:
    """The window meant by its low bits: `index` or one beside it, as clocks differ and a message may cross a
    window's end; None where no such window has these bits."""
    step = (window - index + WINDOWS // 2) % WINDOWS - WINDOWS // 2
    return index + step if -1 <= step <= 1 else None


def write_mark(firm: int, at_ms: int, index: int, count: float) -> bytes:
    amount = min(0xFFFF, max(0, math.ceil(count * PARTS)))
    return _MARK.pack(firm & 0xFFFFFFFF, firm >> 32, index % WINDOWS, at_ms & 0xFFFFFFFF, amount)


def write_marks(sender: int, entries: Iterable[bytes], seal: Seal | None) -> bytes:
    """:raises ValueError: if it would be too long"""
    return sealed(_MARK_HEAD.pack(MARK_KIND[0], sender) + b"".join(entries), seal)


def read_marks(data: bytes, now_ms: int, seal: Seal | None) -> tuple[int, list[tuple[int, int, int, float]]]:
    """The sender and, for each mark, firm, time (ms), window modulo WINDOWS and units.

    :raises UnreadableError: for whatever `write_marks` with this seal has not made lately
    """
    end = opened(data, _MARK_HEAD.size, seal)
    if (end - _MARK_HEAD.size) % _MARK.size:
        raise UnreadableError(f"marks of {len(data)} bytes")
    kind, sender = _MARK_HEAD.unpack_from(data)
    if kind != MARK_KIND[0]:
        raise UnreadableError(f"kind {kind} holds no marks")
    done = []
    for low, high, window, at, amount in _MARK.iter_unpack(data[_MARK_HEAD.size : end]):
        age = (now_ms - at + (1 << 31)) % (1 << 32) - (1 << 31)
        if age > MARK_AGE_MS or age < -FRESH_MS:
            raise UnreadableError(f"a mark {age} ms old")
        if window >= WINDOWS:
            raise UnreadableError(f"no window has the number {window}")
        done.append((low | high << 32, now_ms - age, window, amount / PARTS))
    return sender, done


def _entries(data: bytes, end: int) -> Iterable[Entry]:
    at = _HEAD.size
    while at < end:
        if at + _FIRM.size >= end:
            raise UnreadableError(f"an entry at {at} is cut short")
        low, high, window = _FIRM.unpack_from(data, at)
        if window & 0x80:
            raise UnreadableError(f"an entry at {at} has an unknown mark")
        at += _FIRM.size
        amount = shift = 0
        while True:
            if at >= end or shift > 21:
                raise UnreadableError(f"an amount at {at} does not end")
            byte = data[at]
            amount |= (byte & 0x7F) << shift
            at, shift = at + 1, shift + 7
            if byte < 0x80:
                break
        yield Entry(low | high << 32, window % WINDOWS, amount / PARTS, bool(window & _ECHO))
