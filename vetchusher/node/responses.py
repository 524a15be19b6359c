"""Responses to clients: those of servers, buffered or streamed, and this ingress's own errors."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientConnection
from vetchusher.net.links import StreamedAnswer
from vetchusher.net.plain import seconds_text

from .attempts import ServerResponse

LATE_READ_GRACE_S = 0.05  # beyond the deadline, to forward what the server sent just before it
UNREADABLE_BODY_CODES = (ErrorCode.MALFORMED_REQUEST, ErrorCode.BODY_TOO_LARGE, ErrorCode.CLIENT_TIMEOUT)


class StreamEnd(Enum):
    """How a streamed response ended."""

    COMPLETE = auto()
    SERVER_ABORTED = auto()
    CLIENT_DISCONNECTED = auto()  # or it read so slowly that its deadline passed


class _UnchangedHeaders:
    """Leaves a server's headers unchanged: aiohttp would add `Date`, `Server` and `Content-Type`."""

    async def _prepare_headers(self: Any) -> None:
        own = [name for name in ("Date", "Server", "Content-Type") if name not in self._headers]
        await super()._prepare_headers()  # type: ignore[misc]
        for name in own:
            self._headers.pop(name, None)


class BufferedResponse(_UnchangedHeaders, web.Response):
    """A short response, sent in one write."""

    pass


class StreamedResponse(_UnchangedHeaders, web.StreamResponse):
    """A long response, sent as it arrives."""

    pass


def buffered_response(request: web.BaseRequest, answer: ServerResponse) -> BufferedResponse:
    """Return the client's response for a server's short response."""
    assert not isinstance(answer.body, StreamedAnswer)
    headers = CIMultiDict(answer.headers)
    if not answer.body and answer.length and request.method == "HEAD":
        headers["Content-Length"] = str(answer.length)
    return BufferedResponse(
        status=answer.status, reason=answer.reason, headers=headers, body=answer.body or None
    )


def streamed_response(answer: ServerResponse) -> StreamedResponse:
    """Return the client's response into which a server's long response will be streamed."""
    return StreamedResponse(status=answer.status, reason=answer.reason, headers=CIMultiDict(answer.headers))


async def stream(
    request: web.BaseRequest,
    link: ClientConnection,
    out: StreamedResponse,
    answer: ServerResponse,
    deadline: int,
) -> StreamEnd:
    """Stream a long response in bounded memory: back-pressure of the client slows the reading.

    Safety: a truncated response must be recognisable as such: the client's connection is aborted before the
    stated length is reached, or before the last chunk is sent.

    :param deadline: us, on the loop's clock
    """
    out.content_length = answer.length
    try:
        async with asyncio.timeout_at(deadline / 1e6 + LATE_READ_GRACE_S):
            end = await copy_body(request, out, answer)
    except (TimeoutError, OSError, aiohttp.ClientError):  # of the client: `copy_body` handles the server's
        end = StreamEnd.CLIENT_DISCONNECTED
    if end is not StreamEnd.COMPLETE:
        out.force_close()
        link.client_transport.abort()
    return end


async def copy_body(request: web.BaseRequest, out: StreamedResponse, answer: ServerResponse) -> StreamEnd:
    """Copy the body of a response to its client.

    :raises OSError, ClientError: the client has disconnected
    """
    body = answer.body
    assert isinstance(body, StreamedAnswer)
    await out.prepare(request)
    chunk = body.first_bytes
    while True:
        if chunk:
            await out.write(chunk)
        try:
            chunk = await body.response.content.readany()
        except (aiohttp.ClientError, OSError):
            return StreamEnd.SERVER_ABORTED
        if not chunk:
            return StreamEnd.COMPLETE if answer.is_complete() else StreamEnd.SERVER_ABORTED


def rejection(request: web.BaseRequest, error: Error) -> web.Response:
    """Return this ingress's own response for an error."""
    headers = {"Retry-After": seconds_text(error.retry_after_us)} if error.retry_after_us else None
    response = web.Response(status=error.status, text=error.text, headers=headers)
    if error.code in UNREADABLE_BODY_CODES or not request.content.at_eof():
        response.force_close()  # the rest of this request's body must not be parsed as the next request
    return response
