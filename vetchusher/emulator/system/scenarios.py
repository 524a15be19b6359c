"""Stories of the whole system, drawn as text: a row a moment, a column an ingress, then the core, the servers
and the operator.

    s    | e1 gulf-a    | e2 gulf-b | e3 delta-a | core        | servers        | operator
    1    |              |           |            |             |                | r2
    2    | cut          |           |            | primary off | drain 10.9.0.1 |
    ack  | /new2/ = 200 |           |            |             |                |

All machines have started and r1 is in force when the first row begins.  `ack` is when the order above was
acknowledged.  An ingress's cell: see `ACTS`, or `PATH = STATUS`, a request made there at that moment and how
it must be answered (`200 503`: either).  The core's cell: `NAME ACT`, a name being a machine's, `all`,
`primary` (who leads now), `leader` or `backup` (who led as the story began, and one that did not); or
`NAME CALL = ANSWER`, see `CALLS`, asked there at that moment (`CALL stops`: the machine stands still for
`STOPPED` between the decision and the answer).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.errors import Error
from vetchusher.node import api_calls

from .world import COLD_S, Scene, World, version_of

PATIENCE = 15 * SECOND
LAST = 3 * SECOND  # that a story goes on after its last row
STOPPED = 20 * SECOND
CALLS: dict[str, api_calls.ApiCall] = {
    "reads": api_calls.RetrieveConfiguration(),  # answered by `r5`, or a status
    "unknown zone": api_calls.InitiateEvacuation("nowhere"),
    "evacuates": api_calls.InitiateEvacuation("delta-b"),
    "returns": api_calls.TerminateEvacuation("delta-b"),
    "resolves": api_calls.ResolveAddresses("", "gulf", ""),
}


def others(world: World, name: str, core: bool) -> list[str]:
    return [other for other, m in world.machines.items() if other != name and (m.core or not core)]


ACTS: dict[str, Callable[[World, str], None]] = {
    "on": lambda world, name: world.start(name),
    "off": lambda world, name: world.end(name, True),  # the power goes
    "killed": lambda world, name: world.end(name, False),
    "wiped": lambda world, name: world.wipe(name),  # off, and its disk lost
    "stops": lambda world, name: world.freeze(name, True),
    "goes on": lambda world, name: world.freeze(name, False),
    "cut": lambda world, name: world.cut_links(name, others(world, name, False)),
    "cut from core": lambda world, name: world.cut_links(name, others(world, name, True)),
    "unheard": lambda world, name: world.cut_links(name, others(world, name, True), back=False),
    "joined": lambda world, name: world.restore_links(name),
    "sigterm": lambda world, name: world.leave(name),
    "disk hangs": lambda world, name: world.disk(name, True),
    "disk well": lambda world, name: world.disk(name, False),
}
SERVERS: dict[str, Callable[[World, str], None]] = {
    "drain": lambda world, ip: world.servers.drain(ip),
    "gone": lambda world, ip: world.servers.remove(ip),
    "cold": lambda world, ip: reborn(world, ip, world.servers.at_address[ip].service),
    "reused": lambda world, ip: reborn(world, ip, other_service(world, ip)),
    "bad": lambda world, share: setattr(world.servers, "bad", float(share)),
    "hot": lambda world, share: setattr(
        world, "hot", float(share)
    ),  # tenants rather: of the one with a quota
    "platform": lambda world, how: world.servers.platform(how == "well"),
}


def reborn(world: World, ip: str, service: str) -> None:
    """Another server, cold, has the address now."""
    world.servers.add(service, world.places[ip], ip, int(COLD_S * SECOND))


def other_service(world: World, ip: str) -> str:
    return "a" if world.servers.at_address[ip].service != "a" else "b"


@dataclass(slots=True, frozen=True)
class Row:
    after_ack: bool
    at: int
    ingresses: list[tuple[str, str]]
    core: list[str]
    servers: list[str]
    operator: list[str]


def answer_of(outcome: Result[api_calls.ApiResult, Error]) -> str:
    if isinstance(outcome, Failure):
        return str(outcome.failure().status)
    answer = outcome.unwrap()
    return f"r{version_of(answer)}" if isinstance(answer, api_calls.ConfigurationRetrieved) else "200"


def several(cell: str) -> list[str]:
    return [part.strip() for part in cell.split(",") if part.strip()]


def rows(text: str) -> tuple[tuple[str, ...], list[Row]]:
    """The ingresses' zones, and the rows."""
    lines = [[cell.strip() for cell in line.split("|")] for line in text.strip().splitlines()]
    heads = [cell.split() for cell in lines[0][1:-3]]
    found = []
    for when, *cells, core, servers, operator in lines[1:]:
        after_ack, seconds = when.startswith("ack"), when.removeprefix("ack").removeprefix("+")
        acts = [(head[0], act) for head, cell in zip(heads, cells, strict=True) for act in several(cell)]
        row = Row(
            after_ack,
            int(float(seconds or 0) * SECOND),
            acts,
            several(core),
            several(servers),
            several(operator),
        )
        found.append(row)
    return tuple(head[1] for head in heads), found


class Story:
    """Owner of the world, of the orders not yet acknowledged, and of the core's calls not yet answered."""

    def __init__(self, text: str, scene: Scene) -> None:
        zones, self.rows = rows(text)
        self.world = World(replace(scene, ingresses=zones))
        self.world.warm_up()
        self.began = self.ack_at = self.world.clock.at
        self.open = 0
        self.unanswered: list[str] = []
        leader = self.world.primary()
        others = [machine.name for machine in self.world.cores if machine.name != leader]
        self.roles = {"leader": leader, "backup": others[0]}

    def run(self) -> list[str]:
        """What was seen that may not be."""
        world = self.world
        for row in self.rows:
            if row.after_ack:
                self.wait()
            world.run(max(world.clock.at, row.at + (self.ack_at if row.after_ack else self.began)))
            for name, cell in row.ingresses:
                self.ingress(name, cell)
            for cell in row.core:
                if " = " in cell:
                    self.core_call(cell)
                else:
                    self.core_act(cell)
            for cell in row.servers:
                act, _, what = cell.partition(" ")
                SERVERS[act](world, what)
            for cell in row.operator:
                self.order(cell)
        self.wait()
        world.run(world.clock.at + LAST)
        world.read_back()
        for cell in self.unanswered:
            world.judge.say("STORY", f"{cell} was not answered")
        return world.wrong()

    def wait(self) -> None:
        until = self.world.clock.at + PATIENCE
        while self.open and self.world.clock.at < until:
            self.world.run(self.world.clock.at + 5 * MS)
        if self.open:
            self.world.judge.say("ACKS", "an order is not acknowledged")

    def ingress(self, name: str, cell: str) -> None:
        if not cell.startswith("/"):
            ACTS[cell](self.world, name)
            return
        path, _, expected = cell.partition(" = ")

        def told(status: int) -> None:
            if str(status) not in expected.split():
                self.world.judge.say("STORY", f"{path} at {name} was answered {status}, not {expected}")

        self.world.request(name, path, then=told)

    def machine(self, who: str) -> str:
        return self.world.primary() if who == "primary" else self.roles.get(who, who)

    def core_act(self, cell: str) -> None:
        who, _, act = cell.partition(" ")
        names = [m.name for m in self.world.cores] if who == "all" else [self.machine(who)]
        for name in names:
            if name:
                ACTS[act](self.world, name)

    def core_call(self, cell: str) -> None:
        asked, _, expected = cell.partition(" = ")
        who, _, what = asked.partition(" ")
        call, stops, _ = what.partition(" stops")
        name = self.machine(who)

        def told(outcome: Result[api_calls.ApiResult, Error]) -> None:
            self.unanswered.remove(cell)
            if answer_of(outcome) not in expected.split():
                self.world.judge.say("STORY", f"{asked} was answered {answer_of(outcome)}, not {expected}")

        self.unanswered.append(cell)
        self.world.call(name, CALLS[call], told, STOPPED if stops else 0)

    def order(self, text: str) -> None:
        """`r5`, `evacuate ZONE`, `return ZONE`; `r5 once`: nobody waits for it."""
        text, once, _ = text.partition(" once")
        self.open += not once

        def done() -> None:
            if not once:
                self.open, self.ack_at = self.open - 1, self.world.clock.at

        kind, _, zone = text.partition(" ")
        if zone:
            self.world.evacuate(zone, kind == "evacuate", done)
        else:
            self.world.replace(int(kind[1:]), done)
