"""Answers too long to hold are passed on as they come; one cut short shows as such to the client."""

import asyncio

import pytest
from net_helpers import PERIOD, Discovery, Peer, answer, counting, entry, ingress, run

from vetchusher.emulator.outside.messages import read_message
from vetchusher.net.plain import MOST_BODY

SIZE = 40 * MOST_BODY


async def long_answer(cut, reader, writer):
    """Answer with SIZE bytes in pieces; with `cut`, stop half way and keep the connection silent."""
    whole = answer(b"z" * SIZE)
    try:
        await read_message(reader)
        end = len(whole) // 2 if cut else len(whole)
        for start in range(0, end, 256 * 1024):
            writer.write(whole[start : min(end, start + 256 * 1024)])
            await writer.drain()
        await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@pytest.mark.parametrize("cut", [False, True])
def test_long_answer_is_streamed_whole_or_shows_it_is_cut(cut):
    async def scene():
        server = await asyncio.start_server(lambda r, w: long_answer(cut, r, w), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with Discovery(entry(port, "s-0")).open() as names, Peer(counting({})).open() as counter:
                async with ingress(names, counter) as (_, client_port):
                    reader, writer = await asyncio.open_connection("127.0.0.1", client_port)
                    head = (
                        f"POST {PERIOD} HTTP/1.1\r\nHost: service.internal\r\n"
                        "Request-Id: 9b1f03aa5c7e2d41\r\nApi-Plan: liten\r\n"
                        "Api-Customer: 00000000b4d65521\r\nRequest-Timeout: 20.0\r\n"
                        "Api-Terms: units=1,spread=2,first=0\r\nContent-Length: 0\r\n\r\n"
                    )
                    writer.write(head.encode())
                    async with asyncio.timeout(30):
                        first = await reader.readuntil(b"\r\n\r\n")
                        assert (
                            first.startswith(b"HTTP/1.1 200") and f"Content-Length: {SIZE}".encode() in first
                        )
                        body = await reader.read(SIZE) if cut else await reader.readexactly(SIZE)
                        while cut and (more := await reader.read(SIZE)):
                            body += more
                    assert len(body) == SIZE if not cut else len(body) < SIZE
                    writer.close()
        finally:
            server.close()

    run(scene())
