"""The system of real processes on one machine: kills, losses and ends.  Nothing is timed: it waits to see."""

import asyncio
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import replace

from returns.result import Success
from testtools import TestCase
from testtools.matchers import AfterPreprocessing, AllMatch, Equals, Is

from vetchusher.discovery.reader import ListedServer
from vetchusher.emulator.outside.platform import PlatformStandIn
from vetchusher.emulator.system.local import FRONT, LocalSystem, first_configuration
from vetchusher.events import Event
from vetchusher.node.server_list_client import ServerListClient
from vetchusher.settings.node import Bounds, CloudApi

RUN_TIMEOUT_S = 120.0


def second_configuration():
    """As the first one, and one route more: /late/ to a service that is there already."""
    tree = first_configuration(version=2)
    tree["routes"].append(tree["routes"][0] | {"name": "late", "path_prefix": "/late/"})
    return tree


class LocalSystemTest(TestCase):
    def play(self, script, **bounds):
        """Run the script with a system that serves its first configuration; none may print a traceback."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with LocalSystem(pathlib.Path(folder), replace(Bounds(), **bounds)) as system:
                    await system.configure(first_configuration())
                    await system.until_serving(system.edge)
                    await script(system)
                    for machine in system.machines.values():
                        self.assertNotIn("Traceback", machine.log)

        asyncio.run(run())

    async def holds(self, system, tree, path):
        """What was sent is read back from every running core machine, and served at every running ingress."""
        for edge in (one for one in system.edge if one.running):
            front = edge.at(FRONT)
            await system.until(lambda front=front: system.served(front, path), f"{path} at {edge.name}")
        for machine in (one for one in system.core if one.running):

            async def retrieved(machine=machine):
                answer = await system.read_back(machine)
                return answer if answer is not None and answer.status == 200 else None

            answer = await system.until(retrieved, f"{machine.name} reads back")
            self.assertThat(json.loads(answer.body), Equals(tree))

    def test_what_is_acknowledged_holds_though_the_primary_dies_and_an_ingress_leaves(self):
        async def script(system):
            await self.holds(system, first_configuration(), "/images/a")
            first = await system.until_settled()
            await system.kill(first.name)
            began = time.monotonic()
            await system.configure(second_configuration())
            took_ms = (time.monotonic() - began) * 1e3
            self.assertLess(took_ms, system.bounds.ack_ms)
            await self.holds(system, second_configuration(), "/late/a")
            await system.start(first.name)
            await system.configure(first_configuration())  # an older one changes nothing
            await self.holds(system, second_configuration(), "/late/b")
            await self.leaves(system, *system.edge)

        self.play(script, grace_s=30.0)

    async def leaves(self, system, leaving, staying):
        """An ingress leaves the directory first, serves who comes by older answers, finishes what it took.

        leaving   slow request begins ... SIGTERM .................. a new client ........ both answered, end
        core                                       names the other
        server    at work .............................................................. released
        """
        released = asyncio.Event()
        for server in system.servers:
            server.held = released
        slow = asyncio.create_task(system.ask(leaving.at(FRONT), "/images/slow", 60_000))

        async def at_work(count=1):
            return sum(server.at_work for server in system.servers) == count

        await system.until(at_work, "a server works on it")
        end = asyncio.create_task(system.stop(leaving.name))
        await system.until_serving([staying])
        late = asyncio.create_task(system.ask(leaving.at(FRONT), "/images/late", 60_000))
        await system.until(lambda: at_work(2), "a server works on the late one")
        released.set()
        for answer in (await slow, await late):
            self.assertThat((answer.status, answer.body), Equals((200, system.servers[0].body)))
            self.assertThat(answer.headers["connection"], Equals("close"))
        self.assertThat(await end, Equals(0))

    def test_nothing_is_lost_when_all_restart_even_with_a_wiped_disk(self):
        async def script(system):
            evacuated = [server for server in system.servers if server.zone == "delta-a"]
            await system.order("POST", "/evacuation/delta-a/initiate")
            await system.configure(second_configuration())
            await asyncio.gather(*map(system.kill, system.machines))
            await asyncio.gather(*map(system.start, system.machines))
            await system.until_serving(system.edge)
            await self.holds(system, second_configuration(), "/late/a")
            wiped = await system.until_settled()
            core = [one.name for one in system.core]
            await asyncio.gather(*map(system.kill, core))
            system.wipe(wiped.name)
            await asyncio.gather(*map(system.start, core))
            await self.holds(system, second_configuration(), "/late/b")

            async def remembered():
                return f" {Event.RECOVERY_FINISHED:d} " in wiped.log

            await system.until(remembered, "the wiped one remembers")
            self.assertIn(f" {Event.RECOVERY_STARTED:d} ", wiped.log)
            self.assertThat(
                evacuated, AllMatch(AfterPreprocessing(lambda server: server.arrivals, Equals([])))
            )

        self.play(script)

    def test_people_start_and_end_it(self):
        started = subprocess.Popen(
            [sys.executable, "-m", "vetchusher.emulator.system.local"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(started.kill)
        watchdog = threading.Timer(RUN_TIMEOUT_S, started.kill)  # else a line that never comes is waited for
        watchdog.start()
        self.addCleanup(watchdog.cancel)
        seen = ""
        for line in started.stdout:
            seen += line
            if line.startswith("running"):
                break
        self.assertRegex(seen, r"(?m)^requested .*: 200, ")
        started.send_signal(signal.SIGINT)
        told, wrong = started.communicate()
        self.assertThat((started.returncode, told, wrong), Equals((0, "shutting down\n", "")))
        pids = [int(pid) for pid in re.findall(r" pid (\d+) ", seen)]
        self.assertThat(len(pids), Equals(5))
        self.assertThat(pids, AllMatch(AfterPreprocessing(is_there, Is(False))))


def is_there(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class PlatformTest(TestCase):
    def test_the_list_comes_in_pages_late_and_not_too_often(self):
        now = 100.0

        def entry(number):
            return ListedServer(
                f"i-{number}", "images", f"127.0.0.1:{number}", "gulf-a", "v1", 3, False, 2000
            )

        async def script():
            nonlocal now
            stand_in = PlatformStandIn(rate_per_s=3, lag_s=1.0, page=2, now=lambda: now)
            await stand_in.open()
            platform = ServerListClient(CloudApi((stand_in.host, stand_in.port)))
            try:
                stand_in.show([entry(n) for n in range(1, 6)])
                now += 0.9
                found = [await platform.read()]  # one call: nothing is listed yet
                now += 0.2
                found.append(await platform.read())  # of three calls one is over the rate
                now += 1.0
                found.append(await platform.read())
                return found
            finally:
                await platform.close()
                await stand_in.close()

        early, often, late = asyncio.run(script())
        self.assertThat(early, Equals(Success([])))
        self.assertIn("429", often.failure().text)
        listed = late.unwrap()
        self.assertThat([one.instance for one in listed], Equals([f"i-{n}" for n in range(1, 6)]))
        self.assertThat({one.cold_left_ms for one in listed}, Equals({0}))
