"""Share servers that write their answers in pieces, slowly: what counts is the silence between pieces."""

import asyncio

import pytest
from net_helpers import PERIOD, Discovery, Peer, answer, ask, counting, entry, ingress, run

from vetchusher.emulator.messages import read_message


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
