"""The adapter: hosts many decision instances on one wire.  It frames and translates, no more."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import wire
from .policy import AdmissionPolicy


def _read_exactly(stream: BinaryIO, size: int, what: str, may_end: bool = False) -> bytes | None:
    data = stream.read(size)
    if not data and may_end:
        return None
    if len(data) < size:
        raise wire.WireError(f"input ends inside a {what}: {len(data)} of {size} bytes")
    return data


def answer(instances: dict[int, AdmissionPolicy], now: int, count: int, body: bytes) -> bytes:
    """The reply frame to one batch."""
    reply = wire.ReplyWriter()
    for code, who, event in wire.read_batch(count, body):
        if code == wire.HALT:
            instances.pop(who, None)
            continue
        if code == wire.CREATE:
            seed, raw = event
            settings = wire.read_settings(raw)
            try:
                instances[who] = AdmissionPolicy(settings, seed)
            except Exception as err:
                reply.fault(who, f"{type(err).__name__}: {err}")
            continue
        policy = instances.get(who)
        if policy is None:  # an event for an instance that is over
            continue
        try:
            for action in policy.handle(now, event):
                reply.add(who, action)
        except Exception as err:  # a fault of the decision code is told on the wire, with its text
            reply.fault(who, f"{type(err).__name__}: {err}")
    return reply.frame()


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    instances: dict[int, AdmissionPolicy] = {}
    while (head := _read_exactly(source, wire.HEADER.size, "frame header", may_end=True)) is not None:
        length, count, now = wire.HEADER.unpack(head)
        body = _read_exactly(source, length, "frame body") if length else b""
        sink.write(answer(instances, now, count, body or b""))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
