"""Reads the platform's list of servers, all its pages, over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
from returns.result import Failure, Result, Success

from vetchusher.discovery.reader import Listed, read_page
from vetchusher.kinds import Fault, Kind
from vetchusher.net.links import Link, open_session, sending, target_url
from vetchusher.settings.node import CloudApi

PAGE_S = 1.0  # for one page
PAUSE_MOST_S = 4.0  # between reads, after several that failed
MOST_PAGES = 400
MOST_PAGE = 4 * 1024 * 1024
CONNECTIONS = 4  # pages follow one another, and each connection rests between two
IDLE_US = 10_000_000


@dataclass(slots=True, eq=False)
class PageCall:
    """One page asked for, to the connection that it is written on."""

    holder: object  # the platform's address
    begun: bool = False
    link: Link | None = None

    def answering(self) -> None:
        """Pages have one deadline, whole or in pieces."""


class Platform:
    """Owner of the session to the platform.

    `pause_s` is the least pause before the next read: it doubles with each one that failed, so that a
    platform that is overbooked is not asked more and more.
    """

    def __init__(self, cloud: CloudApi | None) -> None:
        self.cloud = cloud
        self.pause_s = 0.0
        self.session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def read(self) -> Result[list[Listed], Fault]:
        """The whole list; a page that fails spoils the read, and what was known stands."""
        outcome = await self.pages()
        if isinstance(outcome, Success):
            self.pause_s = 0.0
        else:
            self.pause_s = min(PAUSE_MOST_S, max(0.8, 2.0 * self.pause_s))
        return outcome

    async def pages(self) -> Result[list[Listed], Fault]:
        entries: list[Listed] = []
        token: str | None = None
        for _ in range(MOST_PAGES):
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
        return Failure(Fault(Kind.BAD_MESSAGE, f"the list has more than {MOST_PAGES} pages"))

    async def page(self, token: str | None) -> Result[bytes, Fault]:
        if self.cloud is None:
            return Failure(Fault(Kind.BAD_SETTINGS, "the settings name no list of servers"))
        if self.session is None:
            # Danger: pages bear no id.  On a connection that has given a byte too many, the end of one read
            # would be taken for the whole of the next.
            self.session = open_session(CONNECTIONS, IDLE_US, None, self.is_there)
        host, port = self.cloud.address
        address = f"{host}:{port}"
        query = f"?page_token={quote(token, safe='')}" if token else ""
        self.calls += 1
        sending.set(PageCall(address))
        try:
            async with asyncio.timeout(PAGE_S):
                url = target_url(address, f"/instances{query}")
                async with self.session.get(url, allow_redirects=False) as response:
                    raw = await response.content.read(MOST_PAGE + 1)
                    while len(raw) <= MOST_PAGE and not response.content.at_eof():
                        raw += await response.content.read(MOST_PAGE + 1 - len(raw))
                    if response.status != 200 or len(raw) > MOST_PAGE:
                        return Failure(Fault(Kind.BAD_MESSAGE, f"the list answered {response.status}"))
                    return Success(raw)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as err:
            return Failure(Fault(Kind.BAD_MESSAGE, f"the list: {type(err).__name__}"))

    def is_there(self, holder: object) -> bool:
        """Whether idle connections to that address are kept."""
        return self.cloud is not None and holder == "{}:{}".format(*self.cloud.address)

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
