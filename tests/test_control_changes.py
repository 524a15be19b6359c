"""Hundreds of changes of the control state: what each costs, and what stays behind of it."""

from __future__ import annotations

import random

import testtools

from vetchusher.control import (
    Output,
    PersistentState,
    Received,
    Replace,
    Replica,
    Send,
    Timing,
)
from vetchusher.control.chunks import LEAST
from vetchusher.control.deltas import BodyHistory, body_delta, body_of, chunked
from vetchusher.control.state import changed, first_record, first_state, ordered, without_configuration
from vetchusher.distribution.wire_pb2 import BodyDelta, ControlMessage, Write
from vetchusher.emulator.control.world import configuration_body
from vetchusher.emulator.fleet_world import SECOND

ROWS = 400  # of a configuration of about 30 kB


def delta_between(held: bytes, body: bytes) -> BodyDelta | None:
    return body_delta([name for name, _ in chunked(held)], chunked(body))


class Deltas(testtools.TestCase):
    def test_a_delta_makes_the_body_again_and_costs_what_changed(self) -> None:
        rng = random.Random(1)
        body = configuration_body(1000, ROWS)
        for _ in range(50):
            held, at = body, rng.randrange(len(body))
            body = held[:at] + rng.randbytes(rng.randrange(60)) + held[at + rng.randrange(60) :]
            delta = delta_between(held, body)
            assert delta is not None
            self.assertEqual(body, body_of(delta, held))
            self.assertLess(delta.ByteSize(), len(body) // 2)

    def test_a_body_that_is_all_new_goes_whole(self) -> None:
        self.assertIsNone(delta_between(b"x" * 20 * LEAST, random.Random(1).randbytes(20 * LEAST)))
        self.assertIsNone(delta_between(b"", b"small"))

    def test_a_reader_that_lacks_a_chunk_makes_nothing(self) -> None:
        versions = [configuration_body(version, ROWS) for version in (7, 8, 200)]
        delta = delta_between(versions[0], versions[1])
        assert delta is not None
        for held in (b"", versions[2], versions[0][:-LEAST]):
            self.assertIsNone(body_of(delta, held))

    def test_the_history_forgets_the_former_body_once_the_delta_is_made(self) -> None:
        history = BodyHistory()
        history.advance((2, 1), configuration_body(7, ROWS), configuration_body(6, ROWS), (1, 9))
        self.assertIsNotNone(history.delta())
        self.assertIs(history.delta(), history.delta())
        self.assertEqual(b"", history.former)


class Readers(testtools.TestCase):
    """A machine that was sent a delta."""

    def reader(self, body: bytes, epoch: int) -> Replica:
        held = changed(ordered(first_state(), Replace(7, body)).unwrap(), (epoch, 4))
        kept = PersistentState(epoch, held, "1", first_record("123"), copy=True)
        return Replica("3", "west", "123", False, kept, Timing(), random.Random(1), 0)

    def told(self, reader: Replica, body: bytes, delta: BodyDelta) -> list[Output]:
        state = changed(ordered(first_state(), Replace(7, body)).unwrap(), (5, 1))
        write = Write(epoch=5, state=without_configuration(state), life=reader.life, delta=delta)
        return reader.handle(SECOND, Received("1", "east", ControlMessage(write=write)))

    def test_the_same_version_of_another_epoch_with_another_body_harms_nothing(self) -> None:
        """Danger: version 7 that was never committed lies there, and that of the new epoch is another."""
        uncommitted, body = configuration_body(8, ROWS), configuration_body(7, ROWS)
        delta = delta_between(uncommitted, body)
        assert delta is not None
        reader = self.reader(uncommitted, epoch=4)
        self.told(reader, body, delta)
        self.assertEqual(body, reader.memory.state.configuration)

    def test_what_it_cannot_put_together_it_asks_for_whole(self) -> None:
        body = configuration_body(8, ROWS)
        delta = delta_between(configuration_body(7, ROWS), body)
        assert delta is not None
        reader = self.reader(configuration_body(300, ROWS), epoch=4)
        [answer] = [out for out in self.told(reader, body, delta) if isinstance(out, Send)]
        self.assertTrue(answer.message.written.need_whole)
        self.assertFalse(answer.message.written.accepted)
        self.assertEqual(configuration_body(300, ROWS), reader.memory.state.configuration)
