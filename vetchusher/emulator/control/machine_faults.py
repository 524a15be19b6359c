"""What may happen to one machine of the virtual world: a fault begins as its function is called, and ends
as what that returned is called."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .world import World

End = Callable[[], None]
Fault = Callable[[World, str], End]


def killed(world: World, ip: str) -> End:
    world.kill(ip)
    return lambda: world.start(ip)


def wiped(world: World, ip: str) -> End:
    """Its disk is lost with it."""
    world.wipe(ip)
    return lambda: world.start(ip)


def ended(world: World, ip: str) -> End:
    """In order; it is killed where it has not ended by then."""
    world.end(ip)

    def begin_again() -> None:
        world.kill(ip)
        world.start(ip)

    return begin_again


def frozen(world: World, ip: str) -> End:
    world.freeze(ip)
    return lambda: world.thaw(ip)


def cut_off(hears: bool, is_heard: bool) -> Fault:
    """From all others, in one direction or in both."""

    def begin(world: World, ip: str) -> End:
        world.cut_link(ip, hears, is_heard)
        return lambda: world.restore_link(ip)

    return begin


def disk_hangs(world: World, ip: str) -> End:
    world.machines[ip].disk_hangs = True

    def end() -> None:
        world.machines[ip].disk_hangs = False

    return end


def disk_refuses(world: World, ip: str) -> End:
    world.machines[ip].disk_refuses = True

    def end() -> None:
        world.machines[ip].disk_refuses = False

    return end


FAULTS: Mapping[str, Fault] = {
    "killed": killed,
    "ended": ended,
    "frozen": frozen,
    "cut": cut_off(hears=False, is_heard=False),
    "deaf": cut_off(hears=False, is_heard=True),
    "mute": cut_off(hears=True, is_heard=False),
    "disk hangs": disk_hangs,
    "disk refuses": disk_refuses,
}
