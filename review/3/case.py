"""Case 3: an ingress that was frozen during an evacuation floods the zone's cold servers when it goes on."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import sys
import time
from collections import Counter, defaultdict

import rig

from vetchusher.emulator.system import local
from vetchusher.settings.node import Bounds

FOLDER = pathlib.Path(__file__).parent
SERVICE, ZONE, OTHER_ZONE = "catalog", "gulf-a", "delta-a"
COLD_S, COLD_RATE_S = 3.0, 10.0  # as in the users' example of a configuration
COLD_OVERRUN, COLD_SLACK = 1.5, 5.0  # as in the users' example of the settings
LAG_S = 0.8  # of the platform's list, as there
FALLS_OVER_ABOVE = 30  # requests in one second: three times what a cold server can take
EDGES = 10  # one frozen of ten: a share of .1 is named
FREEZE_S, EVACUATE_AFTER_S, COLD_AFTER_S, TERMINATE_AFTER_S = 5.0, 0.3, 4.5, 4.6
SERVERS_PER_ZONE, WORK_MS, CAPACITY = 3, 30, 16
REQUESTS_PER_S, TIME_REMAINING_MS, LENGTH_S, CALM_S = 250, 8000, 14.0, 3.0


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
        """Prepare a system with servers in two zones."""
        self.record = record
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.most: Counter[str] = Counter()  # by instance: requests in any one second while it was cold
        self.cold_until = 0.0  # of all servers of the zone
        self.statuses: Counter[str] = Counter()
        edges = [ZONE if number % 2 == 0 else OTHER_ZONE for number in range(EDGES)]
        self.system = rig.System(files, Bounds(), edge=edges)
        self.system.platform.lag_s = LAG_S
        for zone, number in itertools.product((ZONE, OTHER_ZONE), range(SERVERS_PER_ZONE)):
            self.system.add_server(f"i-{zone}-{number}", SERVICE, zone)

    async def start_servers(self) -> None:
        """Start all servers."""
        for server in self.system.server_processes:
            server.on_event = self.on_event
            await server.start("--work-ms", str(WORK_MS))

    def on_event(self, server: rig.ServerProcess, event: dict[str, object]) -> None:
        """Count a request that arrived while the server was cold; it falls over well above its rate."""
        now = float(str(event["at"]))
        if event["event"] != "run" or server.zone != ZONE or now >= self.cold_until:
            return
        times = self.arrivals[server.instance]
        times.append(now)
        in_last_second = sum(at > now - 1.0 for at in times)
        self.most[server.instance] = max(self.most[server.instance], in_last_second)
        if in_last_second > FALLS_OVER_ABOVE:
            left_s = self.cold_until - now
            self.record.write(f"server {server.instance} falls over; it is cold for {left_s:.2f} s more")
            server.crash()

    def publish(self) -> None:
        """Have the platform list the servers, with how long they stay cold."""
        left_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self.system.platform.show(
            server.listed(CAPACITY, left_ms if server.zone == ZONE else 0)
            for server in self.system.server_processes
        )

    async def are_ready(self) -> bool:
        """Return whether all ingresses are ready."""
        addresses = [edge.address_with(local.READINESS_PORT) for edge in self.system.edge]
        answers = await asyncio.gather(*(self.system.call("GET", f"{one}/readiness") for one in addresses))
        return all(answer is not None and answer.status == 200 for answer in answers)

    async def send(self, number: int) -> None:
        """Send one request, to each ingress by turns."""
        front = self.system.edge[number % EDGES].address_with(local.CLIENT_PORT)
        start, attempt = f"POST /{SERVICE}/payout", f"a-{number:06d}"
        self.statuses[await rig.request(front, start, attempt, TIME_REMAINING_MS)] += 1

    async def send_all(self) -> None:
        """Send requests at a steady rate, whether they are answered or not."""
        began, tasks = time.monotonic(), []
        for number in range(int(LENGTH_S * REQUESTS_PER_S)):
            await asyncio.sleep(max(0.0, began + number / REQUESTS_PER_S - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(number)))
        await asyncio.gather(*tasks)

    async def order(self, what: str) -> None:
        """Give one order of an evacuation."""
        by = await self.system.order("POST", f"/evacuation/{ZONE}/{what}")
        self.record.write(f"operator: {what} of {ZONE} acknowledged by {by.name}")

    def signal_edge(self, number: signal.Signals) -> None:
        """Send a signal to the first ingress, which is in the zone."""
        process = self.system.edge[0].process
        assert process is not None
        process.send_signal(number)
        self.record.write(f"{number.name} to {self.system.edge[0].name}")

    async def play(self, *, is_disrupted: bool) -> None:
        """Evacuate a zone and take it back; with the disruption, one of its ingresses is frozen meanwhile."""
        traffic = asyncio.create_task(self.send_all())
        await asyncio.sleep(CALM_S)
        began = time.monotonic()
        if is_disrupted:
            self.signal_edge(signal.SIGSTOP)
        await asyncio.sleep(EVACUATE_AFTER_S)
        await self.order("initiate")
        await asyncio.sleep(began + COLD_AFTER_S - time.monotonic())
        self.cold_until = time.monotonic() + COLD_S
        self.arrivals.clear()
        self.record.write(f"the servers of {ZONE} turn cold for {COLD_S:g} s")
        self.publish()
        await asyncio.sleep(began + TERMINATE_AFTER_S - time.monotonic())
        await self.order("terminate")
        await asyncio.sleep(began + FREEZE_S - time.monotonic())
        if is_disrupted:
            self.signal_edge(signal.SIGCONT)
        await traffic

    def is_broken(self) -> bool:
        """Return whether a cold server got more requests in one second than the rule allows."""
        bound = COLD_RATE_S * COLD_OVERRUN + COLD_SLACK
        self.record.write(f"answers to clients: {dict(self.statuses)}")
        for server in self.system.server_processes:
            if server.zone == ZONE:
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
        await system.wait_until(case.are_ready, "all ingresses are ready")
        await case.play(is_disrupted=is_disrupted)
    return case.is_broken()


if __name__ == "__main__":
    sys.exit(rig.main(FOLDER, play))
