"""Upgrades: a second process beside the first, both on the listening socket that the platform holds."""

import asyncio
import signal
import socket

import orjson
from net_helpers import (
    OK,
    PERIOD,
    Discovery,
    Peer,
    ask,
    counting,
    entry,
    free_port,
    run,
    start_program,
    tree,
    until,
)

from vetchusher.emulator.processes import held_listener


async def served(port):
    """Ask until a command is served; a new ingress is careful and may refuse the first."""
    while (await ask(port, PERIOD))[0] != 200:
        await asyncio.sleep(0.05)


def test_second_process_serves_on_the_inherited_socket_and_the_first_ends_well(tmp_path):
    async def scene():
        listener = held_listener()
        port = listener.getsockname()[1]
        async with Peer(lambda a: OK).open() as server, Peer(counting({})).open() as counter:
            async with Discovery(entry(server.port)).open() as discovery:
                told = tree(*(f"127.0.0.1:{p}" for p in (port, discovery.port, counter.port)))
                # Both processes hear their peers at one address too.
                told["peer_listen"] = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
                told["peers"] = [told["peer_listen"], f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"]
                told["settings"]["limits"]["peers"] = True
                path = tmp_path / "config.json"
                path.write_bytes(orjson.dumps(told))
                first = start_program(path, listener)
                second = None
                try:
                    await asyncio.wait_for(served(port), 60)
                    second = start_program(path, listener)  # the address is taken: binding it would fail
                    await until(lambda: len(discovery.asked) >= 4)  # both have fetched and watch
                    first.send_signal(signal.SIGTERM)
                    await until(lambda: first.poll() is not None)
                    assert first.returncode == 0
                    await asyncio.wait_for(served(port), 60)
                    assert second.poll() is None
                finally:
                    for program in (first, second):
                        if program is not None:
                            program.kill()
                            program.communicate()
                    listener.close()

    run(scene())


def test_descriptor_that_is_no_listener_is_one_line_and_a_code(tmp_path):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(tree()))
    loose = socket.socket()
    try:
        program = start_program(path, loose)
        _, err = program.communicate(timeout=60)
    finally:
        loose.close()
    assert program.returncode == 1 and b"not a listening TCP socket" in err and err.count(b"\n") == 1
