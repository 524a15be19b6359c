"""Adapter between a simulator and the decision policy: runs many instances over one pair of pipes.

It reads frames from the standard input and answers each on the standard output; see `wire`.
"""

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
    """Handle one batch of events and return the reply frame.

    An exception in the policy becomes a fault record of its instance.

    :raises WireError: if the batch or an instance's settings cannot be read
    """
    reply = wire.ReplyWriter()
    for code, instance, event in wire.read_batch(count, body):
        if code == wire.END_INSTANCE:
            instances.pop(instance, None)
            continue
        if code == wire.CREATE_INSTANCE:
            seed, raw = event
            settings = wire.read_settings(raw)
            try:
                instances[instance] = AdmissionPolicy(settings, seed)
            except Exception as err:
                reply.add_fault(instance, f"{type(err).__name__}: {err}")
            continue
        policy = instances.get(instance)
        if policy is None:  # the instance has ended
            continue
        try:
            for action in policy.handle(now, event):
                reply.add(instance, action)
        except Exception as err:  # reported to the simulator, so that other instances go on
            reply.add_fault(instance, f"{type(err).__name__}: {err}")
    return reply.frame()


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the source ends.

    :raises WireError: if a frame is cut short or cannot be read
    """
    instances: dict[int, AdmissionPolicy] = {}
    while (head := _read_exactly(source, wire.HEADER.size, "frame header", may_end=True)) is not None:
        length, count, now = wire.HEADER.unpack(head)
        body = _read_exactly(source, length, "frame body") if length else b""
        sink.write(answer(instances, now, count, body or b""))
        sink.flush()


def main() -> int:
    """Serve the standard streams; return the exit status: 2 for unreadable input, 1 if interrupted."""
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
