"""Reads the platform's list of servers, all its pages, over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
from returns.result import Failure, Result, Success

from vetchusher.discovery.reader import ListedServer, read_page
from vetchusher.errors import Error, ErrorCode
from vetchusher.net.links import Link, open_session, sending, target_url
from vetchusher.settings.node import CloudApi

PAGE_TIMEOUT_S = 1.0  # for one page
MAX_PAUSE_S = 4.0  # between reads, after several that failed
MAX_PAGES = 400
MAX_PAGE_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 4  # pages follow one another, and each connection rests between two
MAX_IDLE_US = 10_000_000


@dataclass(slots=True, eq=False)
class PageCall:
    """One page asked for, to the connection that it is written on."""

    holder: object  # the platform's address
    begun: bool = False
    link: Link | None = None

    def answering(self) -> None:
        """Pages have one deadline, whole or in pieces."""


class ServerListClient:
    """Owner of the session to the platform.

    `pause_s` is the least pause before the next read: it doubles with each one that failed, so that a
    platform that is overbooked is not asked more and more.
    """

    def __init__(self, cloud: CloudApi | None) -> None:
        self.address = cloud
        self.pause_s = 0.0
        self.session: aiohttp.ClientSession | None = None
        self.call_count = 0

    async def read(self) -> Result[list[ListedServer], Error]:
        """The whole list; a page that fails spoils the read, and what was known stands."""
        outcome = await self.pages()
        if isinstance(outcome, Success):
            self.pause_s = 0.0
        else:
            self.pause_s = min(MAX_PAUSE_S, max(0.8, 2.0 * self.pause_s))
        return outcome

    async def pages(self) -> Result[list[ListedServer], Error]:
        entries: list[ListedServer] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            raw = await self.page(token)
            if isinstance(raw, Failure):
                return Failure(raw.failure())
            page = raw.bind(read_page)
            if isinstance(page, Failure):
                return Failure(page.failure())
            entries += page.unwrap().entries
            token = page.unwrap().next_token
            if token is None:
                return Success(entries)
        return Failure(Error(ErrorCode.INVALID_MESSAGE, f"the list has more than {MAX_PAGES} pages"))

    async def page(self, token: str | None) -> Result[bytes, Error]:
        if self.address is None:
            return Failure(Error(ErrorCode.INVALID_SETTINGS, "the settings name no list of servers"))
        if self.session is None:
            # Danger: pages bear no id.  On a connection that has given a byte too many, the end of one read
            # would be taken for the whole of the next.
            self.session = open_session(MAX_CONNECTIONS, MAX_IDLE_US, None, self.keeps_idle_connections)
        host, port = self.address.address
        address = f"{host}:{port}"
        query = f"?page_token={quote(token, safe='')}" if token else ""
        self.call_count += 1
        sending.set(PageCall(address))
        try:
            async with asyncio.timeout(PAGE_TIMEOUT_S):
                url = target_url(address, f"/instances{query}")
                async with self.session.get(url, allow_redirects=False) as response:
                    raw = await response.content.read(MAX_PAGE_BYTES + 1)
                    while len(raw) <= MAX_PAGE_BYTES and not response.content.at_eof():
                        raw += await response.content.read(MAX_PAGE_BYTES + 1 - len(raw))
                    if response.status != 200 or len(raw) > MAX_PAGE_BYTES:
                        return Failure(
                            Error(ErrorCode.INVALID_MESSAGE, f"the list answered {response.status}")
                        )
                    return Success(raw)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as err:
            return Failure(Error(ErrorCode.INVALID_MESSAGE, f"the list: {type(err).__name__}"))

    def keeps_idle_connections(self, holder: object) -> bool:
        """Whether idle connections to that address are kept."""
        return self.address is not None and holder == "{}:{}".format(*self.address.address)

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
