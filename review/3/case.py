"""Case 3: a server that becomes cold again while it is cold gets full traffic, and falls over."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time
from collections import Counter, defaultdict

import rig

from vetchusher.emulator.system import local
from vetchusher.settings.node import Bounds

FOLDER = pathlib.Path(__file__).parent
SERVICE = "catalog"
COLD_S, COLD_RATE_S = 3.0, 10.0  # as in the users' example of a configuration
COLD_OVERRUN, COLD_SLACK = 1.5, 5.0  # as in the users' example of the settings
LAG_S = 0.8  # of the platform's list, as there
AGAIN_AFTER_S = 1.5  # a cold server becomes cold again half-way
WARM_SERVERS, COLD_SERVERS = 4, 4
FALLS_OVER_ABOVE = 30  # requests in one second: three times what a cold server can take
REQUESTS_PER_S, WORKERS, TIME_REMAINING_MS = 400, 60, 2000
WORK_MS, CAPACITY = 30, 16
FIRST_COLD_S, SPACING_S, LENGTH_S = 3.0, 0.25, 15.0


def configuration() -> dict[str, object]:
    """Return a configuration whose services are cold as in the users' example."""
    tree = local.first_configuration()
    for route in tree["routes"]:
        route["route_type"], route["max_attempts"] = "unsafe", 2
    for service in tree["services"]:
        service["cold_s"], service["cold_rate_s"] = COLD_S, COLD_RATE_S
    for tenant in tree["subscribers"]:
        tenant["rate_per_s"], tenant["burst_size"] = 2000, 2000
    return tree


class Case:
    """One play: the servers, until when each is cold, and when requests arrived at them."""

    def __init__(self, record: rig.Record, files: pathlib.Path) -> None:
        """Prepare a system with warm servers, and others that start during the traffic."""
        self.record = record
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.most: Counter[str] = Counter()  # by instance: requests in any one second while it was cold
        self.cold_until: dict[str, float] = {}
        self.statuses: Counter[str] = Counter()
        self.system = rig.System(files, Bounds())
        self.system.platform.lag_s = LAG_S
        zone = local.CORE_ZONES[0]
        self.warm = [self.system.add_server(f"i-warm-{n}", SERVICE, zone) for n in range(WARM_SERVERS)]
        self.cold = [self.system.add_server(f"i-cold-{n}", SERVICE, zone) for n in range(COLD_SERVERS)]

    async def start_servers(self) -> None:
        """Start all servers; the platform lists a cold one once it has turned cold."""
        for server in self.system.server_processes:
            server.on_event = self.on_event
            await server.start("--work-ms", str(WORK_MS))

    def on_event(self, server: rig.ServerProcess, event: dict[str, object]) -> None:
        """Count a request that arrived while the server was cold; it falls over well above its rate."""
        now = float(str(event["at"]))
        if event["event"] != "run" or now >= self.cold_until.get(server.instance, 0.0):
            return
        times = self.arrivals[server.instance]
        times.append(now)
        in_last_second = sum(at > now - 1.0 for at in times)
        self.most[server.instance] = max(self.most[server.instance], in_last_second)
        if in_last_second > FALLS_OVER_ABOVE:
            left_s = self.cold_until[server.instance] - now
            self.record.write(f"server {server.instance} falls over; it is cold for {left_s:.2f} s more")
            server.crash()

    def publish(self) -> None:
        """Have the platform list the servers that have started, with how long they stay cold."""
        now = time.monotonic()
        started = [*self.warm, *(one for one in self.cold if one.instance in self.cold_until)]
        left_ms = {one: max(0, int((self.cold_until.get(one.instance, 0) - now) * 1000)) for one in started}
        self.system.platform.show(one.listed(CAPACITY, left_ms[one]) for one in started)

    def turn_cold(self, server: rig.ServerProcess, what: str) -> None:
        """Have a server be cold from now on."""
        self.cold_until[server.instance] = time.monotonic() + COLD_S
        self.record.write(f"server {server.instance} {what}: cold for {COLD_S:g} s from now on")
        self.publish()

    async def send_requests(self, until: float, numbers: itertools.count[int]) -> None:
        """Send requests one after another, to one ingress and the other by turns."""
        while time.monotonic() < until:
            began, number = time.monotonic(), next(numbers)
            edge = self.system.edge[number % len(self.system.edge)]
            start, attempt = f"POST /{SERVICE}/payout", f"a-{number:06d}"
            front = edge.address_with(local.CLIENT_PORT)
            self.statuses[await rig.request(front, start, attempt, TIME_REMAINING_MS)] += 1
            await asyncio.sleep(max(0.0, began + WORKERS / REQUESTS_PER_S - time.monotonic()))

    async def play(self, *, is_disrupted: bool) -> None:
        """Start cold servers under traffic; with the disruption, each becomes cold again half-way."""
        until, numbers = time.monotonic() + LENGTH_S, itertools.count()
        workers = [asyncio.create_task(self.send_requests(until, numbers)) for _ in range(WORKERS)]
        await asyncio.sleep(FIRST_COLD_S)
        loop = asyncio.get_running_loop()
        for server in self.cold:
            self.turn_cold(server, "starts")
            if is_disrupted:
                loop.call_later(AGAIN_AFTER_S, self.turn_cold, server, "becomes cold again")
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*workers)

    def is_broken(self) -> bool:
        """Return whether a cold server got more requests in one second than the rule allows."""
        bound = COLD_RATE_S * COLD_OVERRUN + COLD_SLACK
        self.record.write(f"answers to clients: {dict(self.statuses)}")
        for server in self.cold:
            count, most = len(self.arrivals[server.instance]), self.most[server.instance]
            self.record.write(
                f"result: {server.instance}: {count} requests while cold, at most {most} in one second; "
                f"the bound is {bound:g}"
            )
        return any(most > bound for most in self.most.values())


async def play(record: rig.Record, files: pathlib.Path, is_disrupted: bool) -> bool:  # noqa: FBT001
    """Play the case; return whether the rule was broken."""
    case = Case(record, files)
    case.system.publish_servers = case.publish  # type: ignore[method-assign]
    case.system.start_servers = case.start_servers
    async with case.system as system:
        await system.configure(configuration())
        await system.wait_until_serving(system.edge)
        await case.play(is_disrupted=is_disrupted)
    return case.is_broken()


if __name__ == "__main__":
    sys.exit(rig.main(FOLDER, play))
