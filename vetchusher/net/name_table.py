"""The list of servers, kept up to date by a watch on the discovery service."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

import aiohttp

from vetchusher import interface as api
from vetchusher.membership import Backoff

from . import effects as fx
from .links import UpstreamConnection, current_call, open_session, target_url
from .protocol import MalformedMessage, ServerListUpdate, read_server_list
from .runtime import Runtime

log = logging.getLogger("vetchusher")

WATCH_PATH = "/registry/instances"
# Long-poll time. If discovery goes silent, it is noticed after this time and the reply limit.
WATCH_WAIT_MS = 4_000
REPLY_LIMIT_US = 1_000_000  # time limit of an answer beyond the long-poll time
# If discovery does not answer, a process with a cached list is ready after this time.
FIRST_LIST_WAIT_US = 1_000_000
MAX_LIST_BYTES = 4 * 1024 * 1024


class Refused(MalformedMessage):
    """Discovery answered with a status other than 200."""


class ServerList:
    """Watches discovery and keeps the address of each listed server."""

    def __init__(
        self,
        runtime: Runtime,
        settings: api.Settings,
        address: str,
        on_change: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Prepare the watch; `start` begins it.

        :param on_change: called after each change of the list
        :param rng: source of the random part of back-off pauses
        """
        self.backoff = Backoff(rng, settings.gateways)
        self.runtime = runtime
        self.on_change = on_change
        self.settings = settings
        self.address = address
        self.addresses: dict[int, int] = {}
        self.version = (
            self.cached_version
        ) = -1  # versions of the current list and of the one in the configuration; -1: none
        self.session = open_session(2, 60e6, REPLY_LIMIT_US, lambda holder: holder == self.address)
        self.task: asyncio.Task[None] | None = None
        self.write_started = False
        self.connection: UpstreamConnection | None = None

    @property
    def endpoint(self) -> str:
        """The address of discovery: connections lead to it alone."""
        return self.address

    def answer_progressed(self) -> None:
        """Do nothing: the watch has its own deadline."""

    def address_of(self, server: int) -> int:
        """Return the packed address of a server, or 0 if it is not listed."""
        return self.addresses.get(server, 0)

    def start(self, cached_list: dict[str, Any]) -> None:
        """Apply the list from the configuration, if any, and start the watch."""
        if cached_list:
            try:
                update = read_server_list({"reset": True, **cached_list}, self.settings, cached=True)
                self.apply_update(update)
                self.cached_version = update.change.version
            except MalformedMessage as err:
                log.warning("cached server list ignored: %s", err)
        loop = self.runtime.loop
        loop.call_at(loop.time() + FIRST_LIST_WAIT_US / 1e6, self.runtime.feed, fx.ServerListLoaded())
        self.task = loop.create_task(self.watch())

    def change_address(self, address: str) -> None:
        """Watch discovery at another address; the last list is used until a whole one has come.

        The versions of the old discovery mean nothing to the new one. Cancelling the old watch closes its
        connection.
        """
        if self.task is not None:
            self.task.cancel()
        self.address, self.version, self.cached_version = address, -1, -1
        self.backoff.reset()
        self.task = self.runtime.loop.create_task(self.watch())

    def apply_update(self, update: ServerListUpdate) -> None:
        """Apply a whole list or a change, and submit it to the reducer."""
        if update.skipped:
            log.warning("server list: %d entries could not be parsed", update.skipped)
        if update.change.kind != api.FleetKind.DELTA:
            self.addresses = update.addresses  # a whole list removes servers that it lacks
        else:
            for entry in update.change.entries:
                if entry.state == api.WorkerState.REMOVED:
                    self.addresses.pop(entry.worker, None)
                else:
                    self.addresses[entry.worker] = update.addresses[entry.worker]
        self.on_change()
        self.runtime.feed(fx.ServerListChanged(update.change))

    async def watch(self) -> None:
        """Fetch the whole list, then its changes; on any failure keep the last list and retry after
        a pause.
        """
        current_call.set(self)
        if self.settings.subscribe and self.addresses and self.version < 0:
            # Saves one call: the watch returns the changes since the cached list.
            self.version = self.cached_version
            await asyncio.sleep(self.backoff.initial_delay_us() / 1e6)
        while True:
            path = WATCH_PATH
            wait_us = REPLY_LIMIT_US
            if self.version >= 0:
                path = f"{WATCH_PATH}?after={self.version}&wait_ms={WATCH_WAIT_MS}"
                wait_us += WATCH_WAIT_MS * 1000
            failed, refused = True, False
            try:
                async with asyncio.timeout_at(self.runtime.loop.time() + wait_us / 1e6):
                    raw = await self.fetch(path)
                update = read_server_list(raw, self.settings)
                if update.change.kind == api.FleetKind.FULL or self.version >= 0:
                    self.apply_update(update)
                    self.version = update.change.version
                    self.runtime.feed(fx.ServerListLoaded())
                    self.backoff.reset()
                    failed = False
            except TimeoutError:
                log.warning("discovery did not answer in time")
            except (aiohttp.ClientError, OSError, MalformedMessage) as err:
                refused = isinstance(err, Refused)
                log.warning("discovery: %s: %s", type(err).__name__, err)
            except Exception:
                log.exception("server list update failed")
            if failed:
                await asyncio.sleep(self.backoff.next_delay_us(refused) / 1e6)

    async def fetch(self, path: str) -> bytes:
        """Return the body of an answer, at most `MAX_LIST_BYTES`.

        :raises Refused: if the status is not 200
        """
        async with self.session.get(target_url(self.address, path), allow_redirects=False) as response:
            if response.status != 200:
                raise Refused(f"it answers {response.status}")
            raw = await response.content.read(MAX_LIST_BYTES)
            while not response.content.at_eof() and len(raw) < MAX_LIST_BYTES:
                raw += await response.content.read(MAX_LIST_BYTES - len(raw))
            return raw

    async def close(self) -> None:
        """Stop the watch and close its connection."""
        if self.task is not None:
            self.task.cancel()
        await self.session.close()
