"""The HTTP proxy of an ingress: reads requests from client connections and answers each exactly once.

`Proxy` owns the listener, the attempts at servers, and one `ProxiedRequest` for each admitted request until
its answer is sent.
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
from vetchusher.net.door import ClientConnection, ConnectionTimeouts, Listener
from vetchusher.net.links import StreamedAnswer
from vetchusher.routing.actions import RequestHead
from vetchusher.routing.admission import admit_request
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.routing.context import AttemptBudget, RoutingContext, TenantQuotas
from vetchusher.routing.request import Request
from vetchusher.routing.server_selection import ServerSelector
from vetchusher.settings.configuration import ClientLimits, Configuration

from .attempts import RequestSpec, ServerAttempts
from .caller_connection import has_peer_closed, unread_for_s
from .proxied_request import ProxiedRequest
from .request_body import BUSY_RETRY_AFTER_US, BodyReader
from .responses import StreamEnd, buffered_response, rejection, stream, streamed_response

RESERVED_FILE_DESCRIPTORS = 300  # for everything that is neither a client's nor a server's connection
CLIENT_CONNECTION_RATIO = 0.5  # of the remaining file descriptors; the others are for servers
# Clients stop using a connection at the idle limit; closing it just then would cross a request on its way.
IDLE_SLACK_S = 1.0
HEADER_SLACK_S = 0.5  # clients measure the header time from when they began to send
RESPONSE_WRITE_TIMEOUT_S = 10.0  # for a client to read its response
# The outcome of the attempt whose response was streamed, by how the stream ended.
STREAM_OUTCOMES = {
    StreamEnd.COMPLETE: AttemptOutcome.ANSWERED,
    StreamEnd.SERVER_ABORTED: AttemptOutcome.RESET,
    StreamEnd.CLIENT_DISCONNECTED: AttemptOutcome.CANCELLED,
}


class ProxySettings(Protocol):
    """The settings of the process that the proxy reads."""

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
        """Memory of the machine, in MiB."""
        ...

    @property
    def file_descriptors(self) -> int:
        """File descriptors that the process may open."""
        ...


class RequestObserver(Protocol):
    """Is notified of the end of every request, for metrics."""

    def on_request_ended(self, now: int, outcome: str, admitted: Request | None) -> None:
        """Count a request that ended.

        :param now: us
        :param outcome: class of the response's status, such as `2xx`, or the code of an error
        :param admitted: None: the request was rejected before its route was known
        """


class Proxy:
    """The HTTP proxy of an ingress: it admits clients' requests and forwards them to servers.

    Call `open`, then `set_configuration` and `set_servers` whenever these change. To stop, call
    `begin_drain`, then `close`.
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
        # Requests by outcome since the last call of `figures`; bounded by the number of outcomes.
        self.outcome_counts: Counter[str] = Counter()
        descriptors = max(64, settings.file_descriptors - RESERVED_FILE_DESCRIPTORS)
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Listener(
            loop, server, int(descriptors * CLIENT_CONNECTION_RATIO), ConnectionTimeouts()
        )
        self.max_attempts = int(descriptors * (1 - CLIENT_CONNECTION_RATIO))
        self.attempts = ServerAttempts(loop, self.max_attempts, self.selector.is_listed)
        self.observer: RequestObserver | None = None  # set where metrics are enabled
        self.update_bounds()

    def now(self) -> int:
        """Return the time, in microseconds of the steady clock."""
        return int(self.loop.time() * 1e6)

    def open(self, host: str, port: int) -> None:
        """Listen for clients."""
        self.listener.open(host, port)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration to new requests; those in flight keep the one that they began with."""
        self.context.configure(configuration)
        self.limits = configuration.limits
        self.update_bounds()
        self.log_event(LogEvent(Event.CONFIGURATION_APPLIED, {"version": configuration.version}))

    def update_bounds(self) -> None:
        """Apply the limits on headers and idle time, and the write time-out, to client connections."""
        bounds, limits = self.listener.timeouts, self.limits
        bounds.head_s = limits.header_ms / 1e3 + HEADER_SLACK_S
        bounds.idle_s = limits.idle_ms / 1e3 + IDLE_SLACK_S
        bounds.write_s = RESPONSE_WRITE_TIMEOUT_S
        bounds.reader_options = {"max_line_size": limits.header_bytes, "max_field_size": limits.header_bytes}

    def set_servers(self, servers: list[Server]) -> None:
        """Replace the list of servers; idle connections to servers that are gone are closed."""
        self.selector.set_servers(servers)
        self.attempts.servers_changed({server.service for server in servers})

    def set_ingresses(self, zones: Mapping[str, str]) -> None:
        """Set the ingresses of this region that may be serving: name to zone."""
        self.selector.set_ingresses(zones)

    def set_evacuations(self, zones: frozenset[str], ended: Mapping[str, int], now: int) -> None:
        """Set the zones whose servers get no requests, and which evacuations have ended.

        :param ended: number of the order that ended a zone's last evacuation, by zone
        :param now: us
        """
        self.selector.set_evacuations(zones, ended, now)

    def set_fresh_until(self, until: int) -> None:
        """Set until when (us) the configuration is known to be in force."""
        self.context.fresh_until = until

    def begin_drain(self) -> None:
        """Close each connection with its next response; new connections are still accepted."""
        self.is_draining = True

    async def close(self, deadline: int) -> None:
        """Accept no more connections, and wait for open requests to end.

        :param deadline: us on the loop's clock; requests still open then are aborted
        """
        self.begin_drain()
        await self.listener.close()
        while self.listener.connections and self.now() < deadline:
            await asyncio.sleep(0.01)
            for link in list(self.listener.connections):
                if not link.busy:  # it was still writing a response when the listener closed idle ones
                    link.close_if_quiet()
        for link in list(self.listener.connections):
            link.client_transport.abort()
        self.listener.stop()
        await self.attempts.close()

    def figures(self) -> LogEvent:
        """Return a log event with the requests by outcome since the last call, and reset these counts."""
        facts: dict[str, object] = {name: count for name, count in sorted(self.outcome_counts.items())}
        self.outcome_counts.clear()
        return LogEvent(
            Event.REQUEST_FIGURES,
            facts | {"open": len(self.attempts.attempts), "clients": len(self.listener.connections)},
        )

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        """Return aiohttp's request object for a parsed head."""
        return web.BaseRequest(message, payload, protocol, writer, task, self.loop)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request on its connection."""
        link = request.protocol
        assert isinstance(link, ClientConnection)
        try:
            response = await self.respond(request, link)
        finally:
            link.answered()
        # Safety: after a head with `Upgrade` aiohttp no longer parses what follows as HTTP requests.
        if self.is_draining or "Upgrade" in request.headers:
            response.force_close()
        return response

    async def respond(self, request: web.BaseRequest, link: ClientConnection) -> web.StreamResponse:
        """Admit a request, read its body and forward it.

        Safety: HTTP/1.0 is rejected: to its clients a truncated streamed response would look complete.
        `Upgrade` with a body is rejected as well: aiohttp would not parse that as the request's body.
        """
        if request.version != HttpVersion11 or ("Upgrade" in request.headers and request.body_exists):
            return self.reject(
                request, Error(ErrorCode.MALFORMED_REQUEST, "this protocol is not spoken here")
            )
        # Safety: count the time for which the request lay unread in the kernel, as while this process was
        # paused: the client's deadline ran meanwhile.
        arrived_at = self.now() - int(unread_for_s(link.client_transport) * 1e6)
        head = RequestHead(request.method, request.raw_path, list(request.headers.items()), arrived_at)
        admission = admit_request(self.context, head)
        if isinstance(admission, Failure):
            return self.reject(request, admission.failure())
        admitted = admission.unwrap()
        body: list[bytes] = []
        try:
            if len(self.attempts.attempts) >= self.max_attempts:
                # Safety: waiting for a free connection here would be counted as a connect time-out of the
                # server.
                return self.reject(
                    request,
                    Error(ErrorCode.NO_SERVER_AVAILABLE, "no connection is free", BUSY_RETRY_AFTER_US),
                )
            if request.body_exists and (error := await self.read_body(request, link, body, admitted)):
                return self.reject(request, error, admitted)
            if has_peer_closed(link.client_transport):
                return self.reject(request, Error(ErrorCode.NOT_EXECUTED, "its client has left"), admitted)
            return await self.forward(request, link, admitted, body)
        finally:
            self.bodies.release(body)

    async def forward(
        self, request: web.BaseRequest, link: ClientConnection, admitted: Request, body: list[bytes]
    ) -> web.StreamResponse:
        """Run the attempts of an admitted request and return its response."""
        proxied = ProxiedRequest(
            self, admitted, RequestSpec(request.method, request.raw_path, body, admitted.id.encode())
        )
        streamed = StreamEnd.CLIENT_DISCONNECTED
        try:
            proxied.start()
            answer = await proxied.answer
            if isinstance(answer, Error):
                return self.reject(request, answer, admitted)
            self.count_outcome(f"{answer.status // 100}xx", admitted)
            if not isinstance(answer.body, StreamedAnswer):
                return buffered_response(request, answer)
            out = streamed_response(answer)
            if self.is_draining:
                out.force_close()
            streamed = await stream(request, link, out, answer, admitted.deadline)
            return out
        finally:
            proxied.close(STREAM_OUTCOMES[streamed])

    async def read_body(
        self, request: web.BaseRequest, link: ClientConnection, body: list[bytes], admitted: Request
    ) -> Error | None:
        """Read the complete body into `body`; return an error if it could not be read, else None."""
        max_bytes = self.limits.body_bytes
        return await self.bodies.read(request, link, body, max_bytes=max_bytes, deadline=admitted.deadline)

    def reject(
        self, request: web.BaseRequest, error: Error, admitted: Request | None = None
    ) -> web.StreamResponse:
        """Return this ingress's own error response, and count the outcome."""
        self.count_outcome(error.code.value, admitted)
        return rejection(request, error)

    def count_outcome(self, outcome: str, admitted: Request | None) -> None:
        """Count how a request ended.

        :param outcome: class of the response's status, such as `2xx`, or the code of an error
        :param admitted: None: the request was rejected before its route was known
        """
        self.outcome_counts[outcome] += 1
        if self.observer is not None:
            self.observer.on_request_ended(self.now(), outcome, admitted)
