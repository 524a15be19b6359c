"""The clients' side of an ingress: takes requests from sockets and owes each its one answer.

`Proxy` owns the door, the attempts at servers, and one `Flow` for each request from its head to its answer.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import aiohttp
from aiohttp import HttpVersion11, web
from multidict import CIMultiDict
from returns.result import Failure

from vetchusher.discovery.server import Server
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent
from vetchusher.net.door import Bounds, ClientLink, Door
from vetchusher.net.links import Streamed
from vetchusher.net.plain import seconds_text
from vetchusher.routing.actions import (
    Action,
    CancelAttempt,
    ForwardResponse,
    Reject,
    RequestHead,
    SendAttempt,
    WakeAt,
)
from vetchusher.routing.admission import admit_request
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.routing.context import AttemptBudget, RoutingContext, TenantQuotas
from vetchusher.routing.request import Request
from vetchusher.routing.server_selection import ServerSelector
from vetchusher.settings.configuration import ClientLimits, Configuration

from .attempts import Attempt, RequestSpec, ServerAttempts, ServerResponse
from .caller_connection import has_hung_up, unread_for_s

log = logging.getLogger("vetchusher")

BUSY_AGAIN_US = 100_000  # when to return while this ingress itself has no room
BODIES_PART = 0.25  # of the memory: what all requests' bodies together may take
RESERVED_FILES = 300  # descriptors for everything that is neither a client's nor a server's connection
CLIENTS_PART = 0.5  # of the others
IDLE_SLACK_S = 1.0  # clients heed their own idle limit; closing at it would cross what they send
HEADER_SLACK_S = 0.5  # clients count a head's time from when they began to send
WRITE_S = 10.0  # for a client to take what was answered
LATE_S = 0.05  # beyond the deadline: what has come by then is still passed on


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


class _UnchangedHeaders:
    """Leave a server's headers as they are: aiohttp would add a date, its own name and a type of content."""

    async def _prepare_headers(self: Any) -> None:
        own = [name for name in ("Date", "Server", "Content-Type") if name not in self._headers]
        await super()._prepare_headers()  # type: ignore[misc]
        for name in own:
            self._headers.pop(name, None)


class BufferedResponse(_UnchangedHeaders, web.Response):
    """A short response, sent at once."""

    pass


class StreamedResponse(_UnchangedHeaders, web.StreamResponse):
    """A long response, sent as it arrives."""

    pass


class ProxiedRequest:
    """One request's attempts, until its response is chosen; `close` releases whatever is still held."""

    def __init__(self, proxy: Proxy, request: Request, spec: RequestSpec) -> None:
        """Begin without an attempt."""
        self.proxy = proxy
        self.request = request
        self.spec = spec
        self.attempts: dict[int, Attempt] = {}
        self.responses: dict[int, ServerResponse] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.answer: asyncio.Future[Error | ServerResponse] = proxy.loop.create_future()

    def start(self) -> None:
        """Start the first attempt."""
        self.perform(self.request.start(self.proxy.now()))

    def on_attempt_report(
        self, number: int, outcome: AttemptOutcome, reset_at_once: bool, response: ServerResponse | None
    ) -> None:
        """Take the report of an attempt."""
        now = self.proxy.now()
        try:
            if response is not None:
                self.responses[number] = response
            if response is not None and isinstance(response.body, Streamed):
                self.perform(self.request.on_response_begun(now, number))
            else:
                self.perform(self.request.on_attempt_ended(now, number, outcome, reset_at_once))
        except Exception:  # whatever fails here, the client is owed an answer
            log.exception("a request's next step failed")
            self.resolve(Error(ErrorCode.MAYBE_EXECUTED, "failed"))

    def on_late(self) -> None:
        """Take that the request is late: another attempt may be started beside the first."""
        self.perform(self.request.on_late(self.proxy.now()))

    def perform(self, actions: list[Action]) -> None:
        """Carry out the actions of the request's state machine."""
        for action in actions:
            match action:
                case SendAttempt():
                    self.attempts[action.number] = self.proxy.attempts.start(
                        action, self.spec, self.on_attempt_report
                    )
                case CancelAttempt():
                    self.proxy.attempts.cancel(self.attempts[action.number])
                case WakeAt():
                    self.timer = self.proxy.loop.call_at(action.at / 1e6, self.on_late)
                case ForwardResponse():
                    self.resolve(self.responses.pop(action.number))
                case Reject():
                    self.resolve(action.error)
        for event in self.request.events:
            self.proxy.log_event(event)
        self.request.events.clear()

    def resolve(self, answer: Error | ServerResponse) -> None:
        """Set the response, the first time; release a later one."""
        if not self.answer.done():
            self.answer.set_result(answer)
        else:
            release(answer)

    def close(self, completed: bool) -> None:
        """End the request: cancel what is open and release what was not sent.

        :param completed: the response, if it was streamed, reached its end
        """
        now, request = self.proxy.now(), self.request
        if self.timer is not None:
            self.timer.cancel()
        if (number := request.forwarded_attempt) is not None:
            request.on_attempt_ended(
                now, number, AttemptOutcome.ANSWERED if completed else AttemptOutcome.RESET
            )
        self.perform(request.on_client_left(now))
        if self.answer.done() and not self.answer.cancelled():
            release(self.answer.result())
        for response in self.responses.values():
            release(response)


def release(answer: Error | ServerResponse) -> None:
    """Close the stream of a response that is not sent."""
    if isinstance(answer, ServerResponse) and isinstance(answer.body, Streamed):
        answer.body.close()


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
        self.max_buffered_bytes = int(settings.memory_mb * 1024 * 1024 * BODIES_PART)
        self.buffered_bytes = 0  # bytes of all requests' bodies
        self.outcome_counts: Counter[str] = (
            Counter()
        )  # of requests, since the last `figures`; as many as there are kinds
        places = max(64, settings.file_descriptors - RESERVED_FILES)
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Door(loop, server, int(places * CLIENTS_PART), Bounds())
        self.max_attempts = int(places * (1 - CLIENTS_PART))
        self.attempts = ServerAttempts(loop, self.max_attempts, self.selector.is_listed)
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
        # Safety: to a client of HTTP/1.0 a chunked answer cut short would look whole; after a head that asks
        # for another protocol the reader takes the body for that.
        """Admit a request, read its body and forward it."""
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
                    request, Error(ErrorCode.NO_SERVER_AVAILABLE, "no connection is free", BUSY_AGAIN_US)
                )
            if request.body_exists and (
                error := await self.read_body(request, link, body, admitted.deadline)
            ):
                return self.reject(request, error)
            if has_hung_up(link.wire):
                return self.reject(request, Error(ErrorCode.NOT_EXECUTED, "its client has left"))
            return await self.forward(request, link, admitted, body)
        finally:
            self.buffered_bytes -= sum(map(len, body))

    async def forward(
        self, request: web.BaseRequest, link: ClientLink, admitted: Request, body: list[bytes]
    ) -> web.StreamResponse:
        """Run the attempts of an admitted request and return its response."""
        proxied = ProxiedRequest(
            self, admitted, RequestSpec(request.method, request.raw_path, body, admitted.id.encode())
        )
        completed = False
        try:
            proxied.start()
            answer = await proxied.answer
            if isinstance(answer, Error):
                return self.reject(request, answer)
            self.outcome_counts[f"{answer.status // 100}xx"] += 1
            headers = CIMultiDict(answer.headers)
            if not isinstance(answer.body, Streamed):
                if not answer.body and answer.length and request.method == "HEAD":
                    headers["Content-Length"] = str(answer.length)
                return BufferedResponse(
                    status=answer.status, reason=answer.reason, headers=headers, body=answer.body or None
                )
            out = StreamedResponse(status=answer.status, reason=answer.reason, headers=headers)
            completed = await self.stream_response(request, link, out, answer.body, admitted.deadline)
            return out
        finally:
            proxied.close(completed)

    async def stream_response(
        self,
        request: web.BaseRequest,
        link: ClientLink,
        out: StreamedResponse,
        answer: Streamed,
        deadline: int,
    ) -> bool:
        """Stream a long response in bounded memory: the client's reading paces the server's.

        Safety: a response cut short must show as such. The connection is broken off before its stated length,
        or before the chunk that would end it.

        :returns: whether it reached its end
        """
        out.content_length = answer.response.content_length
        if self.is_draining:
            out.force_close()
        try:
            async with asyncio.timeout_at(deadline / 1e6 + LATE_S):
                await out.prepare(request)
                if answer.first:
                    await out.write(answer.first)
                while chunk := await answer.response.content.readany():
                    await out.write(chunk)
            return True
        except (TimeoutError, aiohttp.ClientError, OSError):
            out.force_close()
            link.wire.abort()
            return False

    async def read_body(
        self, request: web.BaseRequest, link: ClientLink, body: list[bytes], deadline: int
    ) -> Error | None:
        """Read the complete body into `body`; return why it could not be read, None: it was."""
        stated = request.content_length or 0
        if stated > self.limits.body_bytes:
            return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
        if self.buffered_bytes + stated > self.max_buffered_bytes:
            return Error(ErrorCode.NO_SERVER_AVAILABLE, "too many bodies are held", BUSY_AGAIN_US)
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.wire.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        size = 0
        try:
            async with asyncio.timeout_at(deadline / 1e6):
                while chunk := await request.content.readany():
                    body.append(chunk)
                    size += len(chunk)
                    self.buffered_bytes += len(chunk)
                    if size > self.limits.body_bytes:
                        return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
                    if self.buffered_bytes > self.max_buffered_bytes:
                        return Error(ErrorCode.NO_SERVER_AVAILABLE, "too many bodies are held", BUSY_AGAIN_US)
        except TimeoutError:
            return Error(ErrorCode.CLIENT_TIMEOUT, "the body did not come in time")
        except (aiohttp.ClientError, web.RequestPayloadError, ValueError):
            return Error(ErrorCode.MALFORMED_REQUEST, "the body cannot be read")
        return None

    def reject(self, request: web.BaseRequest, error: Error) -> web.StreamResponse:
        """Return a response of this ingress itself."""
        self.outcome_counts[error.code.value] += 1
        headers = {"Retry-After": seconds_text(error.retry_after_us)} if error.retry_after_us else None
        response = web.Response(status=error.status, text=error.text, headers=headers)
        if (
            error.code in (ErrorCode.MALFORMED_REQUEST, ErrorCode.BODY_TOO_LARGE, ErrorCode.CLIENT_TIMEOUT)
            or not request.content.at_eof()
        ):
            response.force_close()  # what still comes of it must not be taken for the next request
        return response


class Readiness:
    """`GET /readiness` on an address of its own: 200 or 503."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ready: Callable[[], bool]) -> None:
        """Prepare the endpoint; `open` listens."""
        self.loop = loop
        self.ready = ready
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self.listener = await self.loop.create_server(self.server, host, port, reuse_address=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        if request.raw_path.partition("?")[0] != "/readiness":
            return web.Response(status=404)
        return web.Response(status=200 if self.ready() else 503)

    async def close(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        await self.server.shutdown(0.1)
