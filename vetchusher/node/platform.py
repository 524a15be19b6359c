"""Reads the platform's list of servers, all its pages, over HTTP."""

from __future__ import annotations

import asyncio

import aiohttp
from returns.result import Failure, Result, Success

from vetchusher.discovery.reader import Listed, read_page
from vetchusher.kinds import Fault, Kind
from vetchusher.settings.node import CloudApi

PAGE_S = 1.0  # for one page
PAUSE_MOST_S = 4.0  # between reads, after several that failed
MOST_PAGES = 400
MOST_PAGE = 4 * 1024 * 1024


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
            self.session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(), trust_env=False, auto_decompress=False
            )
        host, port = self.cloud.address
        params = {"page_token": token} if token else {}
        self.calls += 1
        try:
            async with asyncio.timeout(PAGE_S):
                async with self.session.get(
                    f"http://{host}:{port}/instances", params=params, allow_redirects=False
                ) as response:
                    raw = await response.content.read(MOST_PAGE + 1)
                    while len(raw) <= MOST_PAGE and not response.content.at_eof():
                        raw += await response.content.read(MOST_PAGE + 1 - len(raw))
                    if response.status != 200 or len(raw) > MOST_PAGE:
                        return Failure(Fault(Kind.BAD_MESSAGE, f"the list answered {response.status}"))
                    return Success(raw)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as err:
            return Failure(Fault(Kind.BAD_MESSAGE, f"the list: {type(err).__name__}"))

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
