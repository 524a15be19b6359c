"""Faults of one machine in the simulated world.

Calling a fault begins it and returns a function that ends it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .world import World

EndFault = Callable[[], None]
Fault = Callable[[World, str], EndFault]


def kill(world: World, ip: str) -> EndFault:
    """Crash the machine; it starts again at the end."""
    world.kill(ip)
    return lambda: world.start(ip)


def wipe(world: World, ip: str) -> EndFault:
    """Crash the machine and lose its disk; it starts again at the end."""
    world.wipe(ip)
    return lambda: world.start(ip)


def shut_down(world: World, ip: str) -> EndFault:
    """Shut the machine down in order; at the end it is killed if it still runs, and starts again."""
    world.shut_down(ip)

    def begin_again() -> None:
        world.kill(ip)
        world.start(ip)

    return begin_again


def pause(world: World, ip: str) -> EndFault:
    """Pause the process; it resumes at the end."""
    world.pause(ip)
    return lambda: world.resume(ip)


def block_links(receives: bool, sends: bool) -> Fault:
    """Return a fault that blocks the links to all other machines, in one direction or in both.

    :param receives: the machine still receives
    :param sends: the others still receive from the machine
    """

    def begin(world: World, ip: str) -> EndFault:
        world.block_links(ip, receives, sends)
        return lambda: world.restore_links(ip)

    return begin


def disk_hangs(world: World, ip: str) -> EndFault:
    """Let no write to disk complete."""
    world.machines[ip].disk_hangs = True

    def end() -> None:
        world.machines[ip].disk_hangs = False

    return end


def disk_refuses(world: World, ip: str) -> EndFault:
    """Let every write to disk fail."""
    world.machines[ip].disk_refuses = True

    def end() -> None:
        world.machines[ip].disk_refuses = False

    return end


FAULTS: Mapping[str, Fault] = {
    "killed": kill,
    "ended": shut_down,
    "frozen": pause,
    "cut": block_links(receives=False, sends=False),
    "deaf": block_links(receives=False, sends=True),
    "mute": block_links(receives=True, sends=False),
    "disk hangs": disk_hangs,
    "disk refuses": disk_refuses,
}
