"""Responses to clients: a server's, passed on as it is, short or streamed, and this ingress's own."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientLink
from vetchusher.net.links import Streamed
from vetchusher.net.plain import seconds_text

from .attempts import ServerResponse

READ_LATE_S = 0.05  # beyond the deadline: what has come by then is still passed on
UNREADABLE = (ErrorCode.MALFORMED_REQUEST, ErrorCode.BODY_TOO_LARGE, ErrorCode.CLIENT_TIMEOUT)


class StreamEnd(Enum):
    """How a streamed response ended."""

    COMPLETE = auto()
    SERVER_BROKE_OFF = auto()
    CLIENT_LEFT = auto()  # or read too slowly: its time was over


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


def buffered_response(request: web.BaseRequest, answer: ServerResponse) -> BufferedResponse:
    """Return a server's short response as it goes to the client."""
    assert not isinstance(answer.body, Streamed)
    headers = CIMultiDict(answer.headers)
    if not answer.body and answer.length and request.method == "HEAD":
        headers["Content-Length"] = str(answer.length)
    return BufferedResponse(
        status=answer.status, reason=answer.reason, headers=headers, body=answer.body or None
    )


def streamed_response(answer: ServerResponse) -> StreamedResponse:
    """Return the response to a client into which a server's long one is to be streamed."""
    return StreamedResponse(status=answer.status, reason=answer.reason, headers=CIMultiDict(answer.headers))


async def stream(
    request: web.BaseRequest, link: ClientLink, out: StreamedResponse, answer: ServerResponse, deadline: int
) -> StreamEnd:
    """Stream a long response in bounded memory: the client's reading paces the server's.

    Safety: a response cut short must show as such. The connection is broken off before its stated length,
    or before the chunk that would end it.

    :param deadline: us, on the loop's clock
    """
    out.content_length = answer.length
    try:
        async with asyncio.timeout_at(deadline / 1e6 + READ_LATE_S):
            end = await copy_body(request, out, answer)
    except (TimeoutError, OSError, aiohttp.ClientError):  # what the server does is told by `copy_body`
        end = StreamEnd.CLIENT_LEFT
    if end is not StreamEnd.COMPLETE:
        out.force_close()
        link.wire.abort()
    return end


async def copy_body(request: web.BaseRequest, out: StreamedResponse, answer: ServerResponse) -> StreamEnd:
    """Copy the body of a response to its client.

    :raises OSError, ClientError: the client has left
    """
    body = answer.body
    assert isinstance(body, Streamed)
    await out.prepare(request)
    chunk = body.first
    while True:
        if chunk:
            await out.write(chunk)
        try:
            chunk = await body.response.content.readany()
        except (aiohttp.ClientError, OSError):
            return StreamEnd.SERVER_BROKE_OFF
        if not chunk:
            return StreamEnd.COMPLETE if answer.is_complete() else StreamEnd.SERVER_BROKE_OFF


def rejection(request: web.BaseRequest, error: Error) -> web.Response:
    """Return this ingress's own response."""
    headers = {"Retry-After": seconds_text(error.retry_after_us)} if error.retry_after_us else None
    response = web.Response(status=error.status, text=error.text, headers=headers)
    if error.code in UNREADABLE or not request.content.at_eof():
        response.force_close()  # what still comes of it must not be taken for the next request
    return response
