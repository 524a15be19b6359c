"""Share servers that write their answers in pieces, slowly: what counts is the silence between pieces."""

import asyncio

import pytest
from net_helpers import OK, PERIOD, Discovery, Peer, answer, ask, counting, entry, ingress, run, stage

from vetchusher.emulator.outside.messages import read_message


async def piecemeal(whole, gap, parts, reader, writer):
    """Answer every request with `whole`, cut into `parts` pieces `gap` seconds apart."""
    try:
        while True:
            await read_message(reader)
            step = len(whole) // parts + 1
            for start in range(0, len(whole), step):
                writer.write(whole[start : start + step])
                await writer.drain()
                await asyncio.sleep(gap)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("gap", "status"),
    [
        (0.05, 200),  # four pieces over 150 ms, far under the gap of a quarter of the aim
        (0.5, 502),  # silent for more than the gap: given up, and it may have run
    ],
)
def test_answer_in_pieces_is_waited_for_while_pieces_come(gap, status):
    async def scene():
        whole = answer(b"y" * 1000)
        server = await asyncio.start_server(lambda r, w: piecemeal(whole, gap, 4, r, w), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with Discovery(entry(port, "s-0")).open() as names, Peer(counting({})).open() as counter:
                async with ingress(names, counter) as (_, client_port):
                    got, _, body = await ask(client_port, PERIOD)
                    assert got == status
                    assert status != 200 or body == b"y" * 1000
        finally:
            server.close()

    run(scene())


def test_client_that_takes_its_time_within_the_pace_allowed_is_served():
    """A head over 1.7 s, a body of 64 kB at 100 kB/s: past the 2.2 s of a head, within what a body adds."""

    async def scene():
        async with stage(lambda a: OK) as (_, port, _servers):
            body = b"b" * 64_000
            head = (
                f"POST {PERIOD} HTTP/1.1\r\nHost: s\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nApi-Plan: liten\r\n"
                "Api-Customer: 00000000b4d65521\r\nRequest-Timeout: 20.0\r\n"
                f"Api-Terms: units=1,spread=2,first=0\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for start in range(0, len(head), len(head) // 17 + 1):
                writer.write(head[start : start + len(head) // 17 + 1])
                await asyncio.sleep(0.1)
            for start in range(0, len(body), 6400):
                writer.write(body[start : start + 6400])
                await asyncio.sleep(0.064)
            first, _, _ = await read_message(reader)
            assert first.split(" ")[1] == "200"
            writer.close()

    run(scene())
