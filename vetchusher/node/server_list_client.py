"""Reads all pages of the platform's list of servers over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
from returns.result import Failure, Result, Success

from vetchusher.discovery.reader import ListedServer, read_page
from vetchusher.errors import Error, ErrorCode
from vetchusher.net.links import UpstreamConnection, current_call, open_session, target_url
from vetchusher.settings.node import CloudApi

PAGE_TIMEOUT_S = 1.0  # for one page
MAX_PAUSE_S = 4.0  # limit of the exponential back-off between failed reads
MAX_PAGES = 400
MAX_PAGE_BYTES = 4 * 1024 * 1024
# Pages are requested one after another, and a connection is not reused right after a response.
MAX_CONNECTIONS = 4
MAX_IDLE_US = 10_000_000


@dataclass(slots=True, eq=False)
class PageCall:
    """One request for a page; implements the protocol `OutgoingCall` of `net.links`."""

    endpoint: object  # the platform's address
    write_started: bool = False
    connection: UpstreamConnection | None = None

    def answer_progressed(self) -> None:
        """Do nothing when a response has begun: a page has a single deadline for its whole response."""


class ServerListClient:
    """Owns the HTTP session to the platform.

    `pause_s` is the minimum pause before the next read. It doubles with each failed read, so that an
    overloaded platform is not loaded further by retries.
    """

    def __init__(self, platform: CloudApi | None) -> None:
        """Create a client; the session is opened by the first read.

        :param platform: address of the platform's API; None: the settings name no list of servers
        """
        self.platform = platform
        self.pause_s = 0.0
        self.session: aiohttp.ClientSession | None = None
        self.call_count = 0

    async def read(self) -> Result[list[ListedServer], Error]:
        """Return the complete list of servers; a page that fails makes the whole read fail."""
        outcome = await self.read_all_pages()
        if isinstance(outcome, Success):
            self.pause_s = 0.0
        else:
            self.pause_s = min(MAX_PAUSE_S, max(0.8, 2.0 * self.pause_s))
        return outcome

    async def read_all_pages(self) -> Result[list[ListedServer], Error]:
        """Read the pages one after another and return all their entries."""
        entries: list[ListedServer] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            raw = await self.fetch_page(token)
            if isinstance(raw, Failure):
                return Failure(raw.failure())
            page = raw.bind(read_page)
            if isinstance(page, Failure):
                return Failure(page.failure())
            entries += page.unwrap().entries
            token = page.unwrap().next_token
            if token is None:
                return Success(entries)
        return Failure(Error(ErrorCode.INVALID_MESSAGE, f"the server list has more than {MAX_PAGES} pages"))

    async def fetch_page(self, token: str | None) -> Result[bytes, Error]:
        """Return the body of one page.

        :param token: `next_token` of the previous page; None: the first page
        :returns: an `INVALID_MESSAGE` error if the page cannot be read
        """
        if self.platform is None:
            return Failure(Error(ErrorCode.INVALID_SETTINGS, "the settings name no list of servers"))
        if self.session is None:
            # Safety: pages bear no id. `open_session` never reuses a connection that has sent surplus bytes:
            # a duplicate of the last page would be taken for the complete next read.
            self.session = open_session(MAX_CONNECTIONS, MAX_IDLE_US, None, self.keeps_idle_connections)
        host, port = self.platform.address
        address = f"{host}:{port}"
        query = f"?page_token={quote(token, safe='')}" if token else ""
        self.call_count += 1
        current_call.set(PageCall(address))
        try:
            async with asyncio.timeout(PAGE_TIMEOUT_S):
                url = target_url(address, f"/instances{query}")
                async with self.session.get(url, allow_redirects=False) as response:
                    raw = await response.content.read(MAX_PAGE_BYTES + 1)
                    while len(raw) <= MAX_PAGE_BYTES and not response.content.at_eof():
                        raw += await response.content.read(MAX_PAGE_BYTES + 1 - len(raw))
                    if response.status != 200 or len(raw) > MAX_PAGE_BYTES:
                        return Failure(
                            Error(ErrorCode.INVALID_MESSAGE, f"the server list answered {response.status}")
                        )
                    return Success(raw)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as err:
            return Failure(Error(ErrorCode.INVALID_MESSAGE, f"server list: {type(err).__name__}"))

    def keeps_idle_connections(self, holder: object) -> bool:
        """Return whether idle connections to an address are kept: only those to the platform are."""
        return self.platform is not None and holder == "{}:{}".format(*self.platform.address)

    async def close(self) -> None:
        """Close the session."""
        if self.session is not None:
            await self.session.close()
