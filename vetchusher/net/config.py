"""What an ingress is told at its start: one JSON file, its settings read by the adapter's own reader."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from vetchusher import interface as api
from vetchusher import wire

DESCRIPTORS_SPARE = 28  # interpreter, loop, listener, name table, what is about to close
COUNTER_CONNECTIONS = 32  # the counter resets any further ones


class ConfigError(Exception):
    """The configuration cannot be used; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Bounds:
    """How many of each thing may be held, so that together they stay within the descriptors allowed."""

    commands: int
    clients: int
    attempts: int
    counter: int


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: str
    counter: str
    seed: int
    known: dict[str, Any]
    settings: api.Settings
    bounds: Bounds
    peer_listen: tuple[str, int] | None = None
    peers: tuple[tuple[str, int], ...] = ()
    peers_all: tuple[str, int] | None = None
    socket_fd: int | None = None  # the clients' listening socket, held by the platform on upgrade days
    console: tuple[str, int] | None = None  # the second address, for operators


def read_descriptor(text: str) -> int | None:
    """The descriptor of `$NODE_SOCKET_FD`: a small number, or nothing where the variable is empty."""
    text = text.strip()
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"NODE_SOCKET_FD is not a descriptor: {text!r}")
    return int(text)


def read_address(text: object) -> tuple[str, int]:
    """Host and port of `host:port`, the host a dotted IPv4 address: there is no DNS to ask."""
    host, _, port = str(text).rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isascii() and p.isdigit() and int(p) < 256 for p in parts):
        raise ValueError(f"not an IPv4 address with a port: {text!r}")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"not a port: {text!r}")
    return host, int(port)


def bounds_for(sockets: int, open_cap: int) -> Bounds:
    counter = min(COUNTER_CONNECTIONS, max(4, sockets // 24))
    rest = max(20, sockets - DESCRIPTORS_SPARE - counter)
    # Usual clients hold a third of the descriptors at most: as many attempts find room beside all clients.
    clients = rest * 11 // 20
    attempts = rest - clients
    return Bounds(min(open_cap, attempts * 9 // 10), clients, attempts, counter)


def parse(raw: bytes, environ: Mapping[str, str] | None = None) -> Config:
    """The configuration from the file's bytes, and from the platform's variables where they are given.

    Raises `ConfigError` with one plain line naming what cannot be used.
    """
    environ = environ or {}
    socket_fd = read_descriptor(environ.get("NODE_SOCKET_FD", ""))
    try:
        tree = orjson.loads(raw)
        console_text = environ.get("NODE_CONSOLE") or tree.get("console")
        console = read_address(console_text) if console_text else None
        listen = read_address(tree["listen"])
        discovery, counter = str(tree["discovery"]), str(tree.get("counter") or "")
        read_address(discovery)
        if counter:
            read_address(counter)
        settings = wire.read_settings(orjson.dumps(tree["settings"]))
        limits = tree.get("limits", {})
        peer_listen = read_address(tree["peer_listen"]) if tree.get("peer_listen") else None
        peers = tuple(read_address(p) for p in tree.get("peers") or ())
        peers_all = read_address(tree["peers_all"]) if tree.get("peers_all") else None
        if peer_listen is None or len(peers) < settings.gateways:
            settings = replace(settings, peers=False)  # nowhere to hear them, or to know them by
        return Config(
            name=str(tree.get("name", "")),
            listen=listen,
            discovery=discovery,
            counter=counter,
            seed=int(str(tree.get("seed", "0")), 16),
            known=dict(tree.get("known") or {}),
            settings=settings,
            bounds=bounds_for(int(limits.get("sockets") or 1024), settings.open_cap),
            peer_listen=peer_listen if settings.peers else None,
            peers=peers,
            peers_all=peers_all,
            socket_fd=socket_fd,
            console=console,
        )
    except wire.WireError as err:
        raise ConfigError(str(err)) from None
    except KeyError as err:
        raise ConfigError(f"configuration lacks {err}") from None
    except (ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"unusable configuration: {' '.join(str(err).split())}") from None


def load(path: str, environ: Mapping[str, str] | None = None) -> Config:
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        raise ConfigError(f"cannot read {path}: {err.strerror}") from None
    return parse(raw, environ)
