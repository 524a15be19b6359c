"""The HTTP proxy of an ingress: takes requests from sockets and owes each its one answer.

`Proxy` owns the listener, the attempts at servers, and one `ProxiedRequest` for each request from its head to
its answer.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from aiohttp import HttpVersion11, web
from returns.result import Failure

from vetchusher.discovery.server import Server
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.net.door import Bounds, ClientLink, Door
from vetchusher.net.links import Streamed
from vetchusher.routing.actions import RequestHead
from vetchusher.routing.admission import admit_request
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.routing.context import AttemptBudget, RoutingContext, TenantQuotas
from vetchusher.routing.request import Request
from vetchusher.routing.server_selection import ServerSelector
from vetchusher.settings.configuration import ClientLimits, Configuration

from .attempts import RequestSpec, ServerAttempts
from .caller_connection import has_hung_up, unread_for_s
from .proxied_request import ProxiedRequest
from .request_body import BUSY_RETRY_AFTER_US, BodyReader
from .responses import StreamEnd, buffered_response, rejection, stream, streamed_response

RESERVED_FILES = 300  # descriptors for everything that is neither a client's nor a server's connection
CLIENTS_PART = 0.5  # of the others
IDLE_SLACK_S = 1.0  # clients heed their own idle limit; closing at it would cross what they send
HEADER_SLACK_S = 0.5  # clients count a head's time from when they began to send
WRITE_S = 10.0  # for a client to take what was answered
# What a streamed response says of its server.
STREAM_OUTCOMES = {
    StreamEnd.COMPLETE: AttemptOutcome.ANSWERED,
    StreamEnd.SERVER_BROKE_OFF: AttemptOutcome.RESET,
    StreamEnd.CLIENT_LEFT: AttemptOutcome.CANCELLED,
}


class ProxySettings(Protocol):
    """What the proxy needs to know of its process."""

    @property
    def node_name(self) -> str:
        """This ingress's name."""
        ...

    @property
    def region(self) -> str:
        """Region of this ingress."""
        ...

    @property
    def zones(self) -> Mapping[str, str]:
        """The region of each zone."""
        ...

    @property
    def memory_mb(self) -> int:
        """Memory of the machine."""
        ...

    @property
    def file_descriptors(self) -> int:
        """File descriptors that the process may open."""
        ...


class RequestObserver(Protocol):
    """Whoever counts requests besides the log."""

    def on_request_ended(self, now: int, outcome: str, admitted: Request | None) -> None:
        """Take how a request ended; it was not admitted where `admitted` is None."""


class Proxy:
    """The HTTP proxy of an ingress: it admits clients' requests and forwards them to servers.

    Call `open`, then `set_configuration` and `set_servers` as they come; at the end `begin_drain`, then
    `close`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: ProxySettings,
        rng: random.Random,
        quotas: TenantQuotas,
        retry_budget: AttemptBudget,
        log_event: Callable[[LogEvent], None],
    ) -> None:
        """Prepare a proxy; `open` listens."""
        self.loop = loop
        self.log_event = log_event
        self.selector = ServerSelector(rng, settings.node_name, settings.region, settings.zones)
        self.context = RoutingContext(self.selector, quotas, retry_budget, rng)
        self.limits = ClientLimits()
        self.is_draining = False
        self.bodies = BodyReader(settings.memory_mb)
        self.outcome_counts: Counter[str] = (
            Counter()
        )  # of requests, since the last `figures`; as many as there are kinds
        places = max(64, settings.file_descriptors - RESERVED_FILES)
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Door(loop, server, int(places * CLIENTS_PART), Bounds())
        self.max_attempts = int(places * (1 - CLIENTS_PART))
        self.attempts = ServerAttempts(loop, self.max_attempts, self.selector.is_listed)
        self.observer: RequestObserver | None = None  # set where metrics are on
        self.update_bounds()

    def now(self) -> int:
        """Return the time, in microseconds of the steady clock."""
        return int(self.loop.time() * 1e6)

    def open(self, host: str, port: int) -> None:
        """Listen for clients."""
        self.listener.open(host, port)

    def set_configuration(self, configuration: Configuration) -> None:
        """Judge new requests by a configuration; those under way keep the one that they began with."""
        self.context.configure(configuration)
        self.limits = configuration.limits
        self.update_bounds()
        self.log_event(LogEvent(Event.CONFIGURATION_APPLIED, {"version": configuration.version}))

    def update_bounds(self) -> None:
        """Bound clients' connections by the configuration's limits."""
        bounds, limits = self.listener.bounds, self.limits
        bounds.first_s = limits.header_ms / 1e3 + HEADER_SLACK_S
        bounds.idle_s = limits.idle_ms / 1e3 + IDLE_SLACK_S
        bounds.write_s = WRITE_S
        bounds.options = {"max_line_size": limits.header_bytes, "max_field_size": limits.header_bytes}

    def set_servers(self, servers: list[Server]) -> None:
        """Take the complete list of servers."""
        self.selector.set_servers(servers)
        self.attempts.servers_changed({server.service for server in servers})

    def set_ingresses(self, zones: Mapping[str, str]) -> None:
        """Take the ingresses of this region that may be serving: name to zone."""
        self.selector.set_ingresses(zones)

    def set_evacuated(self, zones: frozenset[str], now: int) -> None:
        """Take the zones whose servers get no requests."""
        self.selector.set_evacuated(zones, now)

    def set_fresh_until(self, until: int) -> None:
        """Take until when (us) the configuration is known to be in force."""
        self.context.fresh_until = until

    def begin_drain(self) -> None:
        """Close each connection with its next response; new ones are served as before."""
        self.is_draining = True

    async def close(self, deadline: int) -> None:
        """Accept no more connections, and end what is open.

        :param deadline: us; only then is what servers still work on broken off
        """
        self.begin_drain()
        await self.listener.close()
        while self.listener.links and self.now() < deadline:
            await asyncio.sleep(0.01)
            for link in list(self.listener.links):
                if not link.busy:  # it was still taking an answer when the others were closed
                    link.shut()
        for link in list(self.listener.links):
            link.wire.abort()
        self.listener.stop()
        await self.attempts.close()

    def figures(self) -> LogEvent:
        """Return how the requests of the last period ended."""
        facts: dict[str, object] = {name: count for name, count in sorted(self.outcome_counts.items())}
        self.outcome_counts.clear()
        return LogEvent(
            Event.REQUEST_FIGURES,
            facts | {"open": len(self.attempts.attempts), "clients": len(self.listener.links)},
        )

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        """Return aiohttp's request."""
        return web.BaseRequest(message, payload, protocol, writer, task, self.loop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request on its connection."""
        link = request.protocol
        assert isinstance(link, ClientLink)
        try:
            response = await self.respond(request, link)
        finally:
            link.answered()
        # Safety: after a head that asks for another protocol the reader takes what follows for no request.
        if self.is_draining or "Upgrade" in request.headers:
            response.force_close()
        return response

    async def respond(self, request: web.BaseRequest, link: ClientLink) -> web.StreamResponse:
        """Admit a request, read its body and forward it.

        Safety: to a client of HTTP/1.0 a chunked answer cut short would look whole; after a head that asks
        for another protocol the reader takes the body for that.
        """
        if request.version != HttpVersion11 or ("Upgrade" in request.headers and request.body_exists):
            return self.reject(
                request, Error(ErrorCode.MALFORMED_REQUEST, "this protocol is not spoken here")
            )
        # Safety: in a process that stood still it lay unread, and its client's time went on.
        arrived_at = self.now() - int(unread_for_s(link.wire) * 1e6)
        head = RequestHead(request.method, request.raw_path, list(request.headers.items()), arrived_at)
        admission = admit_request(self.context, head)
        if isinstance(admission, Failure):
            return self.reject(request, admission.failure())
        admitted = admission.unwrap()
        body: list[bytes] = []
        try:
            if len(self.attempts.attempts) >= self.max_attempts:
                # Safety: waiting for a connection here would look like servers that let nobody connect.
                return self.reject(
                    request,
                    Error(ErrorCode.NO_SERVER_AVAILABLE, "no connection is free", BUSY_RETRY_AFTER_US),
                )
            if request.body_exists and (error := await self.read_body(request, link, body, admitted)):
                return self.reject(request, error, admitted)
            if has_hung_up(link.wire):
                return self.reject(request, Error(ErrorCode.NOT_EXECUTED, "its client has left"), admitted)
            return await self.forward(request, link, admitted, body)
        finally:
            self.bodies.release(body)

    async def forward(
        self, request: web.BaseRequest, link: ClientLink, admitted: Request, body: list[bytes]
    ) -> web.StreamResponse:
        """Run the attempts of an admitted request and return its response."""
        proxied = ProxiedRequest(
            self, admitted, RequestSpec(request.method, request.raw_path, body, admitted.id.encode())
        )
        streamed = StreamEnd.CLIENT_LEFT
        try:
            proxied.start()
            answer = await proxied.answer
            if isinstance(answer, Error):
                return self.reject(request, answer, admitted)
            self.count_outcome(f"{answer.status // 100}xx", admitted)
            if not isinstance(answer.body, Streamed):
                return buffered_response(request, answer)
            out = streamed_response(answer)
            if self.is_draining:
                out.force_close()
            streamed = await stream(request, link, out, answer, admitted.deadline)
            return out
        finally:
            proxied.close(STREAM_OUTCOMES[streamed])

    async def read_body(
        self, request: web.BaseRequest, link: ClientLink, body: list[bytes], admitted: Request
    ) -> Error | None:
        """Read the complete body into `body`; return why it could not be read, None: it was."""
        max_bytes = self.limits.body_bytes
        return await self.bodies.read(request, link, body, max_bytes=max_bytes, deadline=admitted.deadline)

    def reject(
        self, request: web.BaseRequest, error: Error, admitted: Request | None = None
    ) -> web.StreamResponse:
        """Return a response of this ingress itself."""
        self.count_outcome(error.code.value, admitted)
        return rejection(request, error)

    def count_outcome(self, outcome: str, admitted: Request | None) -> None:
        """Count how a request ended.

        :param admitted: None: it was rejected before its route was known
        """
        self.outcome_counts[outcome] += 1
        if self.observer is not None:
            self.observer.on_request_ended(self.now(), outcome, admitted)
