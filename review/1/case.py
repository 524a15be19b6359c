"""Case 1: a payout with a long body runs on a second server while, or after, a first one worked on it.

`VARIANT=crash` (the default): one of eight servers crashes while it works on the payout.
`VARIANT=slow`: one of eight servers works four times as long as usual, and no server ends.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from collections import defaultdict

import rig

from vetchusher.emulator.system import local
from vetchusher.settings.node import Bounds

FOLDER = pathlib.Path(__file__).parent
SERVICE, SERVERS = "catalog", 8  # one of them is an eighth of the service's servers: at most .15 is named
WORK_MS, SLOW_FACTOR, CRASH_AFTER_S = 900, 4, 0.15
BODY = bytes(range(256)) * 4096 * 12  # 12 MiB; the configuration allows 64 MiB
MAX_REQUESTS = 24  # sent one after another until one has met the disruption
CALM_REQUESTS = 4
TIME_REMAINING_MS = 7000
PROMISES = ("408", "421", "429", "503")  # not run, and never will be


def configuration() -> dict[str, object]:
    """Return a configuration whose routes are for payouts, which may run once."""
    tree = local.first_configuration()
    tree["limits"]["body_bytes"] = 67_108_864
    for route in tree["routes"]:
        route["route_type"], route["max_attempts"] = "unsafe", 2
    return tree


class Case:
    """One play: the runs and answers of each payout, and which payouts met the disruption."""

    def __init__(self, record: rig.Record, files: pathlib.Path, variant: str) -> None:
        """Prepare a system with eight servers."""
        self.record, self.variant = record, variant
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.statuses: dict[str, str] = {}
        self.disturbed: list[str] = []
        self.system = rig.System(files, Bounds())
        for number in range(SERVERS):
            self.system.add_server(f"i-{number}", SERVICE, local.CORE_ZONES[0])
        self.slow = self.system.server_processes[0]

    async def start_servers(self) -> None:
        """Start the servers; in the variant `slow`, one of them is slow."""
        for server in self.system.server_processes:
            server.on_event = self.on_event
            is_slow = self.variant == "slow" and server is self.slow
            await server.start("--work-ms", str(WORK_MS * (SLOW_FACTOR if is_slow else 1)))

    def on_event(self, server: rig.ServerProcess, event: dict[str, object]) -> None:
        """Record what a server did; in the variant `crash`, the first at work crashes."""
        self.record.write(f"server {event}")
        if event["event"] != "run":
            return
        attempt = str(event["id"])
        self.runs[attempt].append(server.instance)
        if self.variant == "slow" and server is self.slow:
            self.disturbed.append(attempt)
        if self.variant == "crash" and not self.disturbed:
            self.disturbed.append(attempt)
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self.crash, server)

    def crash(self, server: rig.ServerProcess) -> None:
        """End a server while it works."""
        server.crash()
        self.record.write(f"CRASH of {server.instance}: SIGKILL while it works")

    async def send_payouts(self) -> None:
        """Send payouts one after another, until one has met the disruption."""
        front = self.system.edge[0].address_with(local.CLIENT_PORT)
        for number in range(CALM_REQUESTS if self.variant == "calm" else MAX_REQUESTS):
            attempt = f"payout-{number}"
            self.record.write(f"client: POST {attempt}, {len(BODY)} bytes, to {front}")
            start = f"POST /{SERVICE}/payout"
            self.statuses[attempt] = await rig.request(front, start, attempt, TIME_REMAINING_MS, BODY)
            self.record.write(f"client: {attempt} answered {self.statuses[attempt]}")
            if self.disturbed:
                break
        await asyncio.sleep(1.0)

    def is_broken(self) -> bool:
        """Return whether a payout ran twice, or ran although the answer promises that it did not."""
        for attempt, status in self.statuses.items():
            self.record.write(f"result: {attempt}: runs at {self.runs[attempt]}, answer {status}")
        if self.variant == "calm" and set(self.statuses.values()) != {"200"}:
            raise ValueError(f"not all served without the disruption: {self.statuses}")
        if self.variant != "calm" and not self.disturbed:
            raise ValueError("no payout met the disruption")
        is_twice = any(len(servers) > 1 for servers in self.runs.values())
        return is_twice or any(self.runs[one] and status in PROMISES for one, status in self.statuses.items())


async def play(record: rig.Record, files: pathlib.Path, is_disrupted: bool) -> bool:  # noqa: FBT001
    """Play the case; return whether the rule was broken."""
    case = Case(record, files, os.environ.get("VARIANT", "crash") if is_disrupted else "calm")
    record.write(f"variant {case.variant}")
    case.system.start_servers = case.start_servers
    async with case.system as system:
        by = await system.configure(configuration())
        record.write(f"operator: r1 acknowledged by {by.name}")
        await system.wait_until_serving(system.edge)
        await case.send_payouts()
    return case.is_broken()


if __name__ == "__main__":
    sys.exit(rig.main(FOLDER, play))
