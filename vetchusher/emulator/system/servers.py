"""Simulated servers and the platform's list of them, in virtual time, and stubs of their clients.

The outcome of an attempt is drawn here; the reaction to it is the programs' own.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from vetchusher.emulator.fleet_world import MS
from vetchusher.errors import Error, ErrorCode
from vetchusher.node.attempts import AttemptReport, AttemptResult, RequestSpec, ServerResponse
from vetchusher.node.server_list_client import ServerListClient
from vetchusher.routing.actions import SendAttempt
from vetchusher.routing.claims import AttemptOutcome

from .judge import Judge, ServerStatus
from .process_loops import ProcessLoop, SimulatedNetwork

MAX_QUEUED_REQUESTS = 2  # of a server, beyond its capacity
COLUMNS = ["instance_id", "service", "address", "zone", "version", "capacity", "state", "cold_left_ms"]
FAULT_MODES = ("reset", "refuse", "silent", "error", "cut")


@dataclass(slots=True)
class Server:
    """A simulated server.

    :param instance: its instance id
    :param capacity: requests that it executes at a time, according to the list
    :param cold_until: time (us) until which it warms up
    :param withdrawn_at: time (us) since which the list shows it as draining or not at all; None: listed
    :param in_flight: requests that it executes now
    """

    instance: str
    service: str
    ip: str
    zone: str
    region: str
    capacity: int = 6
    cold_until: int = 0
    withdrawn_at: int | None = None
    draining: bool = False
    in_flight: int = 0


@dataclass(slots=True)
class Servers:
    """All servers, and the platform's list of them.

    :param zones: region by zone
    :param service_time_range_us: shortest and longest time to execute a request (us)
    :param by_ip: the server that has an address now
    :param fault_ratio: share of the requests that meet a fault instead of an answer
    :param fault_modes: the faults to draw from
    :param platform_unresponsive: whether queries for the list get no answer
    :param created: number of servers created so far
    """

    net: SimulatedNetwork
    judge: Judge
    zones: dict[str, str]
    service_time_range_us: tuple[int, int] = (15 * MS, 60 * MS)
    by_ip: dict[str, Server] = field(default_factory=dict)
    fault_ratio: float = 0.0
    fault_modes: tuple[str, ...] = FAULT_MODES
    platform_unresponsive: bool = False
    created: int = 0

    def now(self) -> int:
        """Return the virtual time (us)."""
        return self.net.clock.now_us

    def add(self, service: str, zone: str, ip: str, cold_us: int = 0) -> Server:
        """Create a server, which takes over the address, and warms up for `cold_us`."""
        self.created += 1
        server = Server(f"i-{self.created}", service, ip, zone, self.zones[zone])
        server.cold_until = self.now() + cold_us
        self.by_ip[ip] = server
        return server

    def drain(self, ip: str) -> None:
        """List the server at an address as draining."""
        server = self.by_ip[ip]
        server.draining, server.withdrawn_at = True, server.withdrawn_at or self.now()

    def remove(self, ip: str) -> None:
        """Remove a server from the list; it still answers until another server takes over its address."""
        server = self.by_ip[ip]
        server.withdrawn_at = server.withdrawn_at or self.now()

    def list_body(self) -> bytes:
        """Return the platform's list as JSON."""
        rows = []
        for server in self.by_ip.values():
            if server.withdrawn_at is None or server.draining:
                cold_left_ms = max(0, server.cold_until - self.now()) // 1000
                state = "draining" if server.draining else "available"
                rows.append(
                    [
                        server.instance,
                        server.service,
                        f"{server.ip}:80",
                        server.zone,
                        "v1",
                        server.capacity,
                        state,
                        cold_left_ms,
                    ]
                )
        return json.dumps({"instances": {"columns": COLUMNS, "rows": rows}}).encode()

    def set_platform_healthy(self, healthy: bool) -> None:
        """Make the platform answer queries for the list, or not."""
        self.platform_unresponsive = not healthy
        self.judge.platform_healthy_since = self.now() if healthy else None

    def status_of(self, server: Server) -> ServerStatus:
        """Return the present state of a server, for the judge."""
        cold = self.now() < server.cold_until
        return ServerStatus(
            server.instance, server.service, server.zone, server.region, cold, server.withdrawn_at
        )


class ServerListStub(ServerListClient):
    """The client of the platform's list at a core machine."""

    def __init__(self, servers: Servers) -> None:
        """Use the list of these servers."""
        super().__init__(None)
        self.servers = servers

    async def fetch_page(self, token: str | None) -> Result[bytes, Error]:
        """Return the whole list after 20 ms; if the platform is unresponsive, an error 1 s later."""
        raw = self.servers.list_body()
        await asyncio.sleep(0.02)
        if self.servers.platform_unresponsive:
            await asyncio.sleep(1.0)
            return Failure(Error(ErrorCode.INVALID_MESSAGE, "the list: no answer"))
        return Success(raw)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight.

    :param connected: whether the connection was established
    :param finished: whether the outcome is reported, or the attempt cancelled
    """

    send: SendAttempt
    report: AttemptReport
    expiry: asyncio.TimerHandle | None = None
    connected: bool = False
    finished: bool = False


class AttemptsStub:
    """Stands in for `vetchusher.node.attempts.Attempts` at one ingress."""

    def __init__(self, loop: ProcessLoop, servers: Servers) -> None:
        """Create the stub for the ingress whose process runs on `loop`."""
        self.loop, self.servers, self.net = loop, servers, servers.net
        self.attempts: set[Attempt] = set()

    def servers_changed(self, services: Collection[str]) -> None:
        """Do nothing: no idle connections are kept here."""

    def start(self, send: SendAttempt, request: RequestSpec, report: AttemptReport) -> Attempt:
        """Start an attempt; its outcome is reported at its deadline at the latest."""
        attempt = Attempt(send, report)
        self.attempts.add(attempt)
        attempt.expiry = self.loop.call_at(send.deadline / 1e6, self.expire, attempt)
        ip = send.server.address.partition(":")[0]
        clock, here = self.net.clock, self.loop.ip
        if not self.net.is_open(here, ip) or not self.net.is_open(ip, here):
            clock.after(send.connect_timeout_us, lambda: self.finish(attempt, AttemptOutcome.NO_CONNECTION))
        else:
            attempt.connected = True
            clock.after(self.net.draw_latency_us(here, ip), lambda: self.arrive(attempt, ip, request))
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; nothing is reported any more."""
        self.mark_finished(attempt)

    def mark_finished(self, attempt: Attempt) -> bool:
        """Mark an attempt as finished; return False if it was already."""
        if attempt.finished:
            return False
        attempt.finished = True
        self.attempts.discard(attempt)
        if attempt.expiry is not None:
            attempt.expiry.cancel()
        return True

    def expire(self, attempt: Attempt) -> None:
        """Finish an attempt at its deadline."""
        self.finish(attempt, AttemptOutcome.TIMED_OUT if attempt.connected else AttemptOutcome.NO_CONNECTION)

    def finish(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        response: ServerResponse | None = None,
        prompt: bool = False,
    ) -> None:
        """Report the outcome of an attempt, unless it is finished."""

        def report_outcome() -> None:
            if self.mark_finished(attempt):
                attempt.report(AttemptResult(attempt.send.number, outcome, prompt, response))

        self.loop.call_soon(report_outcome)

    def send_back(
        self,
        attempt: Attempt,
        ip: str,
        outcome: AttemptOutcome,
        response: ServerResponse | None = None,
        prompt: bool = False,
    ) -> None:
        """Finish an attempt after the latency from the server, unless the link is blocked then."""
        latency_us = self.net.draw_latency_us(ip, self.loop.ip)

        def on_arrival() -> None:
            if self.net.is_open(ip, self.loop.ip):
                self.finish(attempt, outcome, response, prompt)

        self.net.clock.after(latency_us, on_arrival)

    def arrive(self, attempt: Attempt, ip: str, request: RequestSpec) -> None:
        """Handle the arrival of an attempt at a server's address, and report it to the judge."""
        servers, judge = self.servers, self.servers.judge
        server = servers.by_ip.get(ip)
        if server is None:
            self.send_back(attempt, ip, AttemptOutcome.NO_CONNECTION)
            return
        if server.instance != attempt.send.server.instance:
            self.send_back(attempt, ip, AttemptOutcome.MISDIRECTED)
            return
        judge.now_us = servers.now()
        id = request.id.decode()
        judge.check_forwarded_request(judge.requests.get(id), id, request.target, dict(attempt.send.headers))
        client_request, status = judge.requests[id], servers.status_of(server)
        judge.on_request_arrived(client_request, status)
        rng = self.net.clock.rng
        fault_mode = rng.choice(servers.fault_modes) if rng.random() < servers.fault_ratio else ""
        if server.in_flight >= server.capacity + MAX_QUEUED_REQUESTS:
            self.send_back(attempt, ip, AttemptOutcome.NOT_EXECUTED)
            return
        if fault_mode == "refuse":
            self.send_back(attempt, ip, AttemptOutcome.RESET, prompt=True)
            return
        judge.on_request_executed(client_request, status)
        server.in_flight += 1
        self.net.clock.after(
            rng.randrange(*servers.service_time_range_us),
            lambda: self.complete(attempt, server, fault_mode, id),
        )

    def complete(self, attempt: Attempt, server: Server, fault_mode: str, id: str) -> None:
        """End the execution of a request at a server, and send the response of its fault mode."""
        server.in_flight -= 1
        if fault_mode == "silent":
            return
        if fault_mode in ("reset", "cut"):
            self.send_back(
                attempt, server.ip, AttemptOutcome.RESET if fault_mode == "reset" else AttemptOutcome.GARBLED
            )
        elif fault_mode == "error":
            self.send_back(attempt, server.ip, AttemptOutcome.SERVER_ERROR, self.create_response(id, 500))
        else:
            self.send_back(attempt, server.ip, AttemptOutcome.ANSWERED, self.create_response(id, 200))

    def create_response(self, id: str, status: int) -> ServerResponse:
        """Create a response with a unique body, by which the judge recognises it."""
        responses = self.servers.judge.server_responses
        body = f"answer {len(responses) + 1}".encode()
        responses[body] = id, status
        return ServerResponse(status, "", [], body, len(body))
