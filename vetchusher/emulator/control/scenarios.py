"""Scenarios of the control state as text tables: a row per moment, a column per machine, orders in the last.

    s     | 1 east | 2 east    | 3 west | operator
    2     |        | no writes |        | r5
    ack   | off    |           |        |
    ack+3 |        | leads     |        | reads r5

All machines have started when the first row begins, and the first one is the primary. `ack` is the time at
which the order of the row above was acknowledged (or the read answered). A machine's cell holds an action of
`ACTIONS`, or `x2` or `=2` (its link to machine 2 is blocked or restored), or an expected observation:
`leads`, `idle`, `followed` (another machine leads), `copy`, `none`. The operator repeats each order until it
is acknowledged; a scenario fails if an order isn't acknowledged within `WAIT_TIMEOUT_US` of a row that waits
for it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from vetchusher.emulator.fleet_world import MS, SECOND

from .world import SimulationSettings, World

WARM_UP_US = 2 * SECOND
WAIT_TIMEOUT_US = 20 * SECOND
VARIANTS = "abcdefgh"  # suffixes that distinguish bodies under one version
COOL_DOWN_US = 2 * SECOND  # how long a scenario continues after its last row

ACTIONS: dict[str, Callable[[World, str], None]] = {
    "on": lambda world, ip: world.start(ip),
    "off": lambda world, ip: world.kill(ip),  # power loss or crash
    "ends": lambda world, ip: world.shut_down(ip),  # orderly shutdown
    "disk lost": lambda world, ip: world.wipe(ip),  # the machine is off then
    "gone": lambda world, ip: world.lose_permanently(ip),  # with its disk; another machine takes its place
    "leaves": lambda world, ip: world.decommission(ip),  # orderly shutdown; never starts again
    "stops": lambda world, ip: world.pause(ip),
    "goes on": lambda world, ip: world.resume(ip),
    "cut": lambda world, ip: world.block_links(ip),
    "deaf": lambda world, ip: world.block_links(ip, sends=True),
    "mute": lambda world, ip: world.block_links(ip, receives=True),
    "joined": lambda world, ip: world.restore_links(ip),
    "disk hangs": lambda world, ip: setattr(world.machines[ip], "disk_hangs", True),
    "disk refuses": lambda world, ip: setattr(world.machines[ip], "disk_refuses", True),
    "disk well": lambda world, ip: world.repair_disk(ip),
    "no writes": lambda world, ip: world.drops_writes.add(ip),  # messages with a state to it are lost
    "writes": lambda world, ip: world.drops_writes.discard(ip),
}


@dataclass(slots=True)
class Row:
    """One moment of a scenario.

    :param after_ack: whether `offset_us` counts from the last acknowledgement, or from the start of the
        scenario
    :param actions: machines and their actions
    :param order: the operator's orders, separated by commas
    """

    after_ack: bool
    offset_us: int
    actions: list[tuple[str, str]]  # machine, action
    order: str


def parse_rows(text: str) -> tuple[tuple[str, ...], list[Row]]:
    """Return the machines' zones, and the rows of a table."""
    lines = [[c.strip() for c in line.split("|")] for line in text.strip().splitlines()]
    ips = [text_cell.split()[0] for text_cell in lines[0][1:-1]]
    zones = tuple(text_cell.split()[1] for text_cell in lines[0][1:-1])
    parsed = []
    for when, *cells, order in lines[1:]:
        after_ack, seconds = when.startswith("ack"), when.removeprefix("ack").removeprefix("+")
        actions = [
            (ip, action.strip())
            for ip, text_cell in zip(ips, cells, strict=True)
            for action in text_cell.split(",")
            if text_cell
        ]
        parsed.append(Row(after_ack, int(float(seconds or 0) * SECOND), actions, order))
    return zones, parsed


class Scenario:
    """Runs one scenario in a simulated world that has elected the first machine.

    `acknowledged_at_us` is when the last order was acknowledged; `open_orders` counts those not yet
    acknowledged.
    """

    def __init__(self, text: str, scene: SimulationSettings) -> None:
        """Parse the table and start a world with its machines; the other settings are those of `scene`."""
        zones, self.rows = parse_rows(text)
        self.world = warmed_up(replace(scene, zones=zones))
        self.began_us = self.acknowledged_at_us = self.world.now_us
        self.open_orders = 0

    def run(self) -> list[str]:
        """Run the scenario; return the violations that were found."""
        world, judge = self.world, self.world.judge
        for row in self.rows:
            if row.after_ack:
                self.wait_for_orders()
            world.run_until(row.offset_us + (self.acknowledged_at_us if row.after_ack else self.began_us))
            for ip, action in row.actions:
                self.perform(ip, action)
            if row.order:
                for order in row.order.split(","):
                    self.submit(order.strip())
            if judge.violations:
                return judge.violations
        self.wait_for_orders()
        world.run_until(world.now_us + COOL_DOWN_US)
        return judge.violations

    def wait_for_orders(self) -> None:
        """Run until every order is acknowledged, in steps of 1 ms so that the next action follows at once."""
        deadline_us = self.world.now_us + WAIT_TIMEOUT_US
        while self.open_orders and self.world.now_us < deadline_us and not self.world.judge.violations:
            self.world.run_until(self.world.now_us + MS)
        if self.open_orders and not self.world.judge.violations:
            self.world.judge.report("an order was not committed in time")

    def perform(self, ip: str, action: str) -> None:
        """Perform an action, or check an observation, at one machine."""
        world = self.world
        if action in ACTIONS:
            ACTIONS[action](world, ip)
        elif action in ("leads", "idle"):
            if world.is_leader(ip) != (action == "leads"):
                world.judge.report(f"machine {ip} is not in the expected state: {action}")
        elif action == "followed":
            if not any(world.is_leader(other) for other in world.machines.keys() - {ip}):
                world.judge.report(f"machine {ip} is not in the expected state: {action}")
        elif action in ("copy", "none"):
            disk = world.machines[ip].disk
            if (disk is not None and disk.has_copy) != (action == "copy"):
                world.judge.report(f"machine {ip} is not in the expected state: {action}")
        elif action[0] == "x":
            world.blocked_links |= {(ip, action[1:]), (action[1:], ip)}
        else:
            world.blocked_links -= {(ip, action[1:]), (action[1:], ip)}

    def submit(self, text: str) -> None:
        """Send an order given as text, see `ScenarioOrder`."""
        order = ScenarioOrder(self, text)
        self.open_orders += order.awaited
        order.send()


class ScenarioOrder:
    """An order as text: `r5`, `evacuate Z`, `return Z`, `reads r5`; `r5b` is another body under version 5.

    `... refused`: the order must be rejected; `... at 1`: it is sent to that machine, otherwise to the
    primary; `... once`: it isn't repeated, and the scenario doesn't wait for it.
    """

    def __init__(self, story: Scenario, text: str) -> None:
        """Parse an order."""
        self.scenario, self.world = story, story.world
        text, once_only, _ = text.partition(" once")
        self.awaited = not once_only
        text, _, self.target_ip = text.partition(" at ")
        text, refusal, _ = text.partition(" refused")
        self.expects_rejection = bool(refusal)
        self.kind, _, self.argument = text.partition(" ")

    def send(self) -> None:
        """Send the order to its target."""
        world = self.world
        ip = self.target_ip or next((ip for ip in world.machines if world.is_leader(ip)), "1")
        if self.kind == "reads":
            world.retrieve(ip, self.on_read)
        elif self.kind in ("evacuate", "return"):
            world.evacuate(ip, self.argument, self.kind == "evacuate", self.on_answer)
        else:
            version = self.kind.rstrip(VARIANTS)
            variant = self.kind.removeprefix(version)
            world.replace(ip, int(version[1:]), self.on_replaced, variant, self.on_rejected)

    def on_answer(self, ok: bool) -> None:
        """Count the order as acknowledged, or send it again."""
        if not self.awaited:
            return
        if ok:
            self.scenario.open_orders, self.scenario.acknowledged_at_us = (
                self.scenario.open_orders - 1,
                self.world.now_us,
            )
        else:
            self.world.schedule(100 * MS, self.send)

    def on_read(self, version: int | None) -> None:
        """Check the version that was read."""
        if version is not None and version != int(self.argument[1:]):
            self.world.judge.report(f"r{version} was read, not {self.argument}")
        self.on_answer(version is not None)

    def on_replaced(self, ok: bool) -> None:
        """Check the answer to a replacement."""
        if ok and self.expects_rejection:
            self.world.judge.report(f"{self.kind} was acknowledged")
        self.on_answer(ok)

    def on_rejected(self) -> None:
        """Check the rejection of a replacement, which ends the order."""
        if not self.expects_rejection:
            self.world.judge.report(f"{self.kind} was refused")
        self.on_answer(True)


def warmed_up(scene: SimulationSettings, world_class: type[World] = World) -> World:
    """Return a world in which the first machine leads, by trying one seed after another."""
    while True:
        world = world_class(scene)
        for ip in world.seeds:
            world.schedule(world.rng.randrange(100 * MS), partial(world.start, ip, first=True))
        world.run_until(WARM_UP_US)
        if world.is_leader("1"):
            return world
        scene = replace(scene, seed=scene.seed + 1000)
