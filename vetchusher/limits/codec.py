"""Datagram formats of quota messages between gateways; a datagram has at most 256 bytes.

A report of usage:

    version u8 | state u8 (low 4 bits), flags (high 4) | sender u16 | incarnation u32 | sent at u64 (ms)
    entries:   tenant 40 bits | window u8 (low 6 bits), echo bit, 0 | amount, 1/16 units, base 128
    tag:       12 bytes of a keyed hash over all preceding bytes; absent where no key is configured

Exhaustion notices (see `marks`), in a short format because each byte received is paid for:

    kind u8 (2) | sender u16
    entries:   tenant 40 bits | window u8 | exhausted at u32 (ms, low bits) | amount u16, 1/16 units
    tag:       as above

All numbers are little-endian.  A tenant number holds the customer id (33 bits) and the plan (7 bits).  An
amount in a report is the sum of all units that the sender admitted for the tenant in that window in its
present incarnation, so duplicate, late and reordered messages change nothing.
"""

from __future__ import annotations

import hmac
import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .health import State

MAX_DATAGRAM_BYTES = 256
VERSION = 1
# Flags of a message: the sender asks for the receiver's counts; the sender has just been started.
WANTS_REPLY, JUST_STARTED = 1, 2
TAG_BYTES = 12
AMOUNT_STEPS_PER_UNIT = 16.0  # amounts are rounded up to 1/16 unit
MAX_AMOUNT_STEPS = (1 << 28) - 1
WINDOW_MODULUS = 64  # a window index is sent modulo this
MAX_CLOCK_SKEW_MS = 2_000  # a message further off is stale or comes from a wrong clock

NOTICE_KIND = b"\x02"
MAX_NOTICE_AGE_MS = 30_000  # an older notice is malformed
_NOTICE_HEADER, _NOTICE = struct.Struct("<BH"), struct.Struct("<IBBIH")
_HEADER = struct.Struct("<BBHIQ")
_ENTRY_HEADER = struct.Struct("<IBB")
_ECHO_BIT = 64

TagFunction = Callable[[bytes], bytes]  # returns the authentication tag of the data


class MalformedDatagramError(Exception):
    """The datagram is not valid; the message is a single line."""


@dataclass(slots=True, frozen=True)
class Entry:
    """Units admitted for one tenant in one window."""

    tenant: int  # see `tenant_number`
    window: int  # window index modulo `WINDOW_MODULUS`
    units: float
    echo: bool = False  # units that the receiver itself admitted in earlier incarnations


@dataclass(slots=True, frozen=True)
class Message:
    """A report of one gateway's usage and of the counter's state as it sees it."""

    sender: int
    incarnation: int
    state: State
    flags: int
    sent_ms: int
    entries: tuple[Entry, ...] = ()


def tenant_number(key: int) -> int:
    """Return the tenant number for a customer key (customer << 16 | plan), or -1 if it does not fit."""
    customer, plan = key >> 16, key & 0xFFFF
    return customer << 7 | plan if customer < 1 << 33 and plan < 1 << 7 else -1


def customer_key(tenant: int) -> int:
    """Return the customer key (customer << 16 | plan) for a tenant number."""
    return tenant >> 7 << 16 | tenant & 0x7F


def keyed_tag(key: bytes) -> TagFunction:
    """Return a function that computes authentication tags under this key.

    A 32-byte key for BLAKE3's keyed mode is derived from it.

    :raises ImportError: where the blake3 package is not installed
    """
    from blake3 import blake3

    derived_key = blake3(key, derive_key_context="vetchusher 2026-12 messages between ingresses").digest()
    return lambda data: blake3(data, key=derived_key).digest(TAG_BYTES)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry of a message, with its units rounded up and limited to the largest amount."""
    amount = min(MAX_AMOUNT_STEPS, max(0, math.ceil(entry.units * AMOUNT_STEPS_PER_UNIT)))
    encoded = bytearray(
        _ENTRY_HEADER.pack(
            entry.tenant & 0xFFFFFFFF,
            entry.tenant >> 32,
            entry.window % WINDOW_MODULUS | _ECHO_BIT * entry.echo,
        )
    )
    while amount > 0x7F:
        encoded.append(amount & 0x7F | 0x80)
        amount >>= 7
    encoded.append(amount)
    return bytes(encoded)


def entry_capacity_bytes(authenticated: bool) -> int:
    """Return how many bytes the entries of one message may take."""
    return MAX_DATAGRAM_BYTES - _HEADER.size - TAG_BYTES * authenticated


def encode_message(message: Message, entries: Iterable[bytes], tag_function: TagFunction | None) -> bytes:
    """Encode a message with these entries, each from `encode_entry`; `message.entries` is not used.

    :raises ValueError: if the datagram would be too long
    """
    flags = message.state | message.flags << 4
    header = _HEADER.pack(VERSION, flags, message.sender, message.incarnation, message.sent_ms)
    return append_tag(header + b"".join(entries), tag_function)


def append_tag(data: bytes, tag_function: TagFunction | None) -> bytes:
    """Append the authentication tag, if there is a key.

    :raises ValueError: if the datagram would be too long
    """
    if tag_function is not None:
        data += tag_function(data)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a message of {len(data)} bytes")
    return data


def verify_tag(data: bytes, min_bytes: int, tag_function: TagFunction | None) -> int:
    """Verify the authentication tag and return the offset at which the datagram's content ends.

    :param min_bytes: bytes of content that the datagram must have
    :raises MalformedDatagramError: if the datagram is too long or too short, or its tag is wrong
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(f"{len(data)} bytes are too many")
    end = len(data) - (TAG_BYTES if tag_function is not None else 0)
    if end < min_bytes:
        raise MalformedDatagramError(f"{len(data)} bytes are too few")
    if tag_function is not None and not hmac.compare_digest(tag_function(data[:end]), data[end:]):
        raise MalformedDatagramError("the seal is wrong")  # `datagrams.envelope` matches the word "seal"
    return end


def decode_message(data: bytes, tag_function: TagFunction | None) -> Message:
    """Decode a message.

    :raises MalformedDatagramError: if `encode_message` with this tag function cannot have produced the
        datagram
    """
    end = verify_tag(data, _HEADER.size, tag_function)
    version, state_and_flags, sender, incarnation, sent_ms = _HEADER.unpack_from(data)
    if version != VERSION:
        raise MalformedDatagramError(f"version {version} is not known here")
    if state_and_flags & 15 > max(State) or state_and_flags >> 4 > WANTS_REPLY | JUST_STARTED:
        raise MalformedDatagramError(f"no such state or flags: {state_and_flags:#x}")
    return Message(
        sender,
        incarnation,
        State(state_and_flags & 15),
        state_and_flags >> 4,
        sent_ms,
        tuple(_decode_entries(data, end)),
    )


def nearest_window(window: int, current_index: int) -> int | None:
    """Return the full index of a window sent modulo `WINDOW_MODULUS`, or None if there is no near match.

    It is the current index or one beside it, as clocks differ and a message may cross a window's end.
    """
    step = (window - current_index + WINDOW_MODULUS // 2) % WINDOW_MODULUS - WINDOW_MODULUS // 2
    return current_index + step if -1 <= step <= 1 else None


def encode_notice(tenant: int, at_ms: int, index: int, units: float) -> bytes:
    """Encode an entry of an exhaustion notice, with its units rounded up and limited to 16 bits."""
    amount = min(0xFFFF, max(0, math.ceil(units * AMOUNT_STEPS_PER_UNIT)))
    return _NOTICE.pack(tenant & 0xFFFFFFFF, tenant >> 32, index % WINDOW_MODULUS, at_ms & 0xFFFFFFFF, amount)


def encode_notices(sender: int, entries: Iterable[bytes], tag_function: TagFunction | None) -> bytes:
    """Encode a datagram of notices, each from `encode_notice`.

    :raises ValueError: if the datagram would be too long
    """
    return append_tag(_NOTICE_HEADER.pack(NOTICE_KIND[0], sender) + b"".join(entries), tag_function)


def decode_notices(
    data: bytes, now_ms: int, tag_function: TagFunction | None
) -> tuple[int, list[tuple[int, int, int, float]]]:
    """Decode a datagram of notices.

    :returns: the sender and, for each notice, tenant, time (ms), window modulo `WINDOW_MODULUS` and units
    :raises MalformedDatagramError: if `encode_notices` with this tag function cannot have produced the
        datagram within `MAX_NOTICE_AGE_MS`
    """
    end = verify_tag(data, _NOTICE_HEADER.size, tag_function)
    if (end - _NOTICE_HEADER.size) % _NOTICE.size:
        raise MalformedDatagramError(f"a datagram of {len(data)} bytes does not hold whole notices")
    kind, sender = _NOTICE_HEADER.unpack_from(data)
    if kind != NOTICE_KIND[0]:
        raise MalformedDatagramError(f"kind {kind} is not that of notices")
    notices = []
    for tenant_low, tenant_high, window, at_ms, amount in _NOTICE.iter_unpack(
        data[_NOTICE_HEADER.size : end]
    ):
        age_ms = (now_ms - at_ms + (1 << 31)) % (1 << 32) - (1 << 31)
        if age_ms > MAX_NOTICE_AGE_MS or age_ms < -MAX_CLOCK_SKEW_MS:
            raise MalformedDatagramError(f"a notice {age_ms} ms old")
        if window >= WINDOW_MODULUS:
            raise MalformedDatagramError(f"window out of range: {window}")
        notices.append(
            (tenant_low | tenant_high << 32, now_ms - age_ms, window, amount / AMOUNT_STEPS_PER_UNIT)
        )
    return sender, notices


def _decode_entries(data: bytes, end: int) -> Iterable[Entry]:
    """Yield the entries of a message whose content ends at offset `end`."""
    offset = _HEADER.size
    while offset < end:
        if offset + _ENTRY_HEADER.size >= end:
            raise MalformedDatagramError(f"an entry at {offset} is cut short")
        tenant_low, tenant_high, window = _ENTRY_HEADER.unpack_from(data, offset)
        if window & 0x80:
            raise MalformedDatagramError(f"an entry at {offset} has an unknown mark")
        offset += _ENTRY_HEADER.size
        amount = shift = 0
        while True:
            if offset >= end or shift > 21:
                raise MalformedDatagramError(f"an amount at {offset} does not end")
            byte = data[offset]
            amount |= (byte & 0x7F) << shift
            offset, shift = offset + 1, shift + 7
            if byte < 0x80:
                break
        yield Entry(
            tenant_low | tenant_high << 32,
            window % WINDOW_MODULUS,
            amount / AMOUNT_STEPS_PER_UNIT,
            bool(window & _ECHO_BIT),
        )
