"""Scenarios of the whole system as text tables.

A row is a moment; a column is an ingress, the core, the servers or the operator.

    s    | e1 gulf-a    | e2 gulf-b | e3 delta-a | core        | servers        | operator
    1    |              |           |            |             |                | r2
    2    | cut          |           |            | primary off | drain 10.9.0.1 |
    ack  | /new2/ = 200 |           |            |             |                |

When the first row begins, all machines run and r1 is in force. The first column is the time in seconds since
then; `ack` is the moment when the order above was acknowledged, `ack+2` two seconds later.

- An ingress's cell holds an action (`MACHINE_ACTIONS`), or `PATH = STATUS`: a request sent to it at that
  moment, and the status of the answer (`200 503`: either).
- The core's cell holds `NAME ACTION`. The name is a machine's, `all`, `primary` (the present leader),
  `leader` or `backup` (the leader when the scenario began, and another core machine). Or it holds
  `NAME CALL = ANSWER`: a call (`CORE_CALLS`) made there at that moment, and the answer. After `CALL stops`
  the machine is paused for `PAUSE_US` between the decision and the answer.
- The servers' cell holds `ACTION ARGUMENT` (`SERVER_ACTIONS`).
- The operator's cell holds an order, see `Scenario.send_order`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.errors import Error
from vetchusher.node import api_calls

from .world import COLD_S, Scene, World, version_of

ORDER_TIMEOUT_US = 15 * SECOND
FINAL_PHASE_US = 3 * SECOND  # run time after the last row
PAUSE_US = 20 * SECOND
CORE_CALLS: dict[str, api_calls.ApiCall] = {
    "reads": api_calls.RetrieveConfiguration(),  # answered by `r5`, or the status of an error
    "unknown zone": api_calls.InitiateEvacuation("nowhere"),
    "evacuates": api_calls.InitiateEvacuation("delta-b"),
    "returns": api_calls.TerminateEvacuation("delta-b"),
    "resolves": api_calls.ResolveAddresses("", "gulf", ""),
}


def other_machines(world: World, name: str, core: bool) -> list[str]:
    """Return the names of the other machines, or of the other core machines if `core`."""
    return [other for other, m in world.machines.items() if other != name and (m.core or not core)]


MACHINE_ACTIONS: dict[str, Callable[[World, str], None]] = {
    "on": lambda world, name: world.start(name),
    "off": lambda world, name: world.end_process(name, True),  # loses power
    "killed": lambda world, name: world.end_process(name, False),
    "wiped": lambda world, name: world.wipe(name),  # loses power and its disk
    "stops": lambda world, name: world.set_paused(name, True),
    "goes on": lambda world, name: world.set_paused(name, False),
    "cut": lambda world, name: world.block_links(name, other_machines(world, name, False)),
    "cut from core": lambda world, name: world.block_links(name, other_machines(world, name, True)),
    "unheard": lambda world, name: world.block_links(name, other_machines(world, name, True), back=False),
    "joined": lambda world, name: world.restore_links(name),
    "sigterm": lambda world, name: world.shut_down(name),
    "disk hangs": lambda world, name: world.set_disk_hanging(name, True),
    "disk well": lambda world, name: world.set_disk_hanging(name, False),
}
SERVER_ACTIONS: dict[str, Callable[[World, str], None]] = {
    "drain": lambda world, ip: world.servers.drain(ip),
    "gone": lambda world, ip: world.servers.remove(ip),
    "cold": lambda world, ip: replace_server(world, ip, world.servers.by_ip[ip].service),
    "cold again": lambda world, ip: set_cold(world, ip),
    "reused": lambda world, ip: replace_server(world, ip, other_service(world, ip)),
    "bad": lambda world, share: setattr(world.servers, "fault_ratio", float(share)),
    # The share of the requests that belong to the tenant with a quota.
    "hot": lambda world, share: setattr(world, "quota_tenant_ratio", float(share)),
    "platform": lambda world, how: world.servers.set_platform_healthy(how == "well"),
}


def replace_server(world: World, ip: str, service: str) -> None:
    """Give the address to another server, which is cold."""
    world.servers.add(service, world.zone_by_ip[ip], ip, int(COLD_S * SECOND))


def set_cold(world: World, ip: str) -> None:
    """Have the server at the address be cold from now on, whether or not it was."""
    world.servers.by_ip[ip].cold_until = world.clock.now_us + int(COLD_S * SECOND)


def other_service(world: World, ip: str) -> str:
    """Return a service other than that of the server at the address."""
    return "a" if world.servers.by_ip[ip].service != "a" else "b"


@dataclass(slots=True, frozen=True)
class Row:
    """One row of a scenario.

    :param after_ack: whether `at` counts from the last acknowledgement, and not from the beginning
    :param at: time (us)
    :param ingresses: name of the ingress, and action or request
    :param core: cells of the core
    :param servers: cells of the servers
    :param operator: orders
    """

    after_ack: bool
    at: int
    ingresses: list[tuple[str, str]]
    core: list[str]
    servers: list[str]
    operator: list[str]


def describe_outcome(outcome: Result[api_calls.ApiResult, Error]) -> str:
    """Return the outcome of a call as the cells write it: `r5`, `200`, or the status of the error."""
    if isinstance(outcome, Failure):
        return str(outcome.failure().status)
    answer = outcome.unwrap()
    return f"r{version_of(answer)}" if isinstance(answer, api_calls.ConfigurationRetrieved) else "200"


def split_cell(cell: str) -> list[str]:
    """Return the parts of a cell, which are separated by commas."""
    return [item.strip() for item in cell.split(",") if item.strip()]


def parse_rows(text: str) -> tuple[tuple[str, ...], list[Row]]:
    """Return the zones of the ingresses, and the rows of a scenario."""
    lines = [[cell.strip() for cell in line.split("|")] for line in text.strip().splitlines()]
    headings = [cell.split() for cell in lines[0][1:-3]]
    found = []
    for when, *cells, core, servers, operator in lines[1:]:
        after_ack, seconds = when.startswith("ack"), when.removeprefix("ack").removeprefix("+")
        actions = [
            (heading[0], action)
            for heading, cell in zip(headings, cells, strict=True)
            for action in split_cell(cell)
        ]
        row = Row(
            after_ack,
            int(float(seconds or 0) * SECOND),
            actions,
            split_cell(core),
            split_cell(servers),
            split_cell(operator),
        )
        found.append(row)
    return tuple(heading[1] for heading in headings), found


class Scenario:
    """Runs one scenario.

    It owns the simulated cluster, the orders not acknowledged yet, and the calls of core machines not
    answered yet.
    """

    def __init__(self, text: str, scene: Scene) -> None:
        """Parse the table, and warm the simulated cluster up; the table defines the ingresses' zones."""
        zones, self.rows = parse_rows(text)
        self.world = World(replace(scene, ingresses=zones))
        self.world.warm_up()
        self.started_at = self.acknowledged_at = self.world.clock.now_us
        self.pending_orders = 0
        self.unanswered_calls: list[str] = []
        leader = self.world.primary()
        backups = [machine.name for machine in self.world.cores if machine.name != leader]
        self.roles = {"leader": leader, "backup": backups[0]}

    def run(self) -> list[str]:
        """Run the scenario, and return all violations."""
        world = self.world
        for row in self.rows:
            if row.after_ack:
                self.wait_for_orders()
            world.run(
                max(world.clock.now_us, row.at + (self.acknowledged_at if row.after_ack else self.started_at))
            )
            for name, cell in row.ingresses:
                self.run_ingress_cell(name, cell)
            for cell in row.core:
                if " = " in cell:
                    self.run_core_call(cell)
                else:
                    self.run_core_action(cell)
            for cell in row.servers:
                action, _, argument = cell.rpartition(" ")
                SERVER_ACTIONS[action](world, argument)
            for cell in row.operator:
                self.send_order(cell)
        self.wait_for_orders()
        world.run(world.clock.now_us + FINAL_PHASE_US)
        world.read_back()
        for cell in self.unanswered_calls:
            world.judge.report("STORY", f"{cell} was not answered")
        return world.violations()

    def wait_for_orders(self) -> None:
        """Run until all orders are acknowledged; report a violation after `ORDER_TIMEOUT_US`."""
        until = self.world.clock.now_us + ORDER_TIMEOUT_US
        while self.pending_orders and self.world.clock.now_us < until:
            self.world.run(self.world.clock.now_us + 5 * MS)
        if self.pending_orders:
            self.world.judge.report("ACKS", "an order is not acknowledged")

    def run_ingress_cell(self, name: str, cell: str) -> None:
        """Apply an action to an ingress, or send it a request whose status is checked."""
        if not cell.startswith("/"):
            MACHINE_ACTIONS[cell](self.world, name)
            return
        path, _, expected = cell.partition(" = ")

        def check_status(status: int) -> None:
            if str(status) not in expected.split():
                self.world.judge.report("STORY", f"{path} at {name} was answered {status}, not {expected}")

        self.world.send_request(name, path, then=check_status)

    def machine_name(self, role: str) -> str:
        """Return the name of the machine that a role stands for; empty: there is no primary."""
        return self.world.primary() if role == "primary" else self.roles.get(role, role)

    def run_core_action(self, cell: str) -> None:
        """Apply an action to one or all core machines."""
        role, _, action = cell.partition(" ")
        names = [m.name for m in self.world.cores] if role == "all" else [self.machine_name(role)]
        for name in names:
            if name:
                MACHINE_ACTIONS[action](self.world, name)

    def run_core_call(self, cell: str) -> None:
        """Call a core machine, and check the answer."""
        question, _, expected = cell.partition(" = ")
        role, _, call_text = question.partition(" ")
        call, stops, _ = call_text.partition(" stops")
        name = self.machine_name(role)

        def check_answer(outcome: Result[api_calls.ApiResult, Error]) -> None:
            self.unanswered_calls.remove(cell)
            if describe_outcome(outcome) not in expected.split():
                self.world.judge.report(
                    "STORY", f"{question} was answered {describe_outcome(outcome)}, not {expected}"
                )

        self.unanswered_calls.append(cell)
        self.world.call_core_machine(name, CORE_CALLS[call], check_answer, PAUSE_US if stops else 0)

    def send_order(self, text: str) -> None:
        """Send an order: `r5`, `evacuate ZONE` or `return ZONE`.

        With ` once` after it, the scenario doesn't wait for the acknowledgement.
        """
        text, once, _ = text.partition(" once")
        self.pending_orders += not once

        def on_acknowledged() -> None:
            if not once:
                self.pending_orders, self.acknowledged_at = self.pending_orders - 1, self.world.clock.now_us

        kind, _, zone = text.partition(" ")
        if zone:
            self.world.evacuate(zone, kind == "evacuate", on_acknowledged)
        else:
            self.world.replace_configuration(int(kind[1:]), on_acknowledged)
