"""Configuration of a load balancer: one JSON file, whose settings are parsed by `vetchusher.wire`."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from vetchusher import interface as api
from vetchusher import wire
from vetchusher.fields import FieldError, Fields, quoted_value

RESERVED_DESCRIPTORS = 28  # interpreter, event loop, listener, discovery, connections being closed
MAX_COUNTER_CONNECTIONS = 32  # the counter resets further ones


class ConfigError(Exception):
    """The configuration cannot be used; the text is one line."""


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Maximum numbers of requests and connections, which together stay within the allowed descriptors."""

    open_requests: int
    clients: int
    attempts: int
    counter: int


@dataclass(slots=True, frozen=True)
class Config:
    """The parsed configuration; addresses are pairs of host and port."""

    name: str
    listen: tuple[str, int]
    discovery: str
    counter: str
    seed: int
    known: dict[str, Any]
    settings: api.Settings
    connection_limits: ConnectionLimits
    peer_listen: tuple[str, int] | None = None
    peers: tuple[tuple[str, int], ...] = ()
    peers_all: tuple[str, int] | None = None
    socket_fd: int | None = None  # the clients' listening socket, held by the platform during upgrades
    console: tuple[str, int] | None = None  # address of the operators' console


def read_descriptor(text: str) -> int | None:
    """Parse the descriptor in `$NODE_SOCKET_FD`; None if the variable is empty.

    :raises ConfigError: if it is not a number
    """
    text = text.strip()
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"NODE_SOCKET_FD is not a descriptor: {text!r}")
    return int(text)


def read_address(text: object) -> tuple[str, int]:
    """Parse `host:port` with an IPv4 address as host: there is no DNS to resolve names.

    :raises ValueError: if it has another form
    """
    host, _, port = str(text).rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isascii() and p.isdigit() and int(p) < 256 for p in parts):
        raise ValueError(f"not an IPv4 address with a port: {text!r}")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"not a port: {text!r}")
    return host, int(port)


def limits_for(sockets: int, open_cap: int) -> ConnectionLimits:
    """Divide `sockets` descriptors among clients, attempts and counter connections.

    :param open_cap: upper limit of open requests in the settings
    """
    counter_connections = min(MAX_COUNTER_CONNECTIONS, max(4, sockets // 24))
    remaining = max(20, sockets - RESERVED_DESCRIPTORS - counter_connections)
    # Clients normally use a third of the descriptors at most, so as many attempts fit beside all clients.
    clients = remaining * 11 // 20
    attempts = remaining - clients
    return ConnectionLimits(min(open_cap, attempts * 9 // 10), clients, attempts, counter_connections)


def parse(raw: bytes, environ: Mapping[str, str] | None = None) -> Config:
    """Parse the configuration from the file's bytes and the platform's environment variables.

    :raises ConfigError: if it cannot be used; the text is one line that names the fault
    """
    environ = environ or {}
    socket_fd = read_descriptor(environ.get("NODE_SOCKET_FD", ""))
    try:
        tree = Fields(orjson.loads(raw), "configuration")
        settings = wire.read_settings(orjson.dumps(tree.object("settings").tree))
        peer_listen = optional_address(tree, "peer_listen")
        peers = tuple(address(tree, f"peers[{n}]", p) for n, p in enumerate(tree.list("peers")))
        if peer_listen is None or len(peers) < settings.gateways:
            settings = replace(
                settings, peers=False
            )  # no address to receive messages at, or peers without an address
        console = environ.get("NODE_CONSOLE")
        counter = optional_address(tree, "counter")
        limits = tree.object("limits")
        return Config(
            name=tree.text("name"),
            listen=address(tree, "listen", tree.value("listen")),
            discovery=address_text(address(tree, "discovery", tree.value("discovery"))),
            counter=address_text(counter) if counter else "",
            seed=read_seed(tree),
            known=tree.object("known").tree,
            settings=settings,
            connection_limits=limits_for(limits.positive("sockets", 1024), settings.max_open_requests),
            peer_listen=peer_listen if settings.peers else None,
            peers=peers,
            peers_all=optional_address(tree, "peers_all"),
            socket_fd=socket_fd,
            console=address(tree, "console", console) if console else optional_address(tree, "console"),
        )
    except (FieldError, wire.WireError) as err:
        raise ConfigError(str(err)) from None
    except ValueError as err:
        raise ConfigError(f"unusable configuration: {' '.join(str(err).split())}") from None


def address(tree: Fields, name: str, value: object) -> tuple[str, int]:
    """Parse an address.

    :raises FieldError: if it is missing or malformed
    """
    if value is None:
        raise tree.error(name, "is missing")
    try:
        return read_address(value)
    except ValueError as err:
        raise tree.error(name, str(err)) from None


def optional_address(tree: Fields, name: str) -> tuple[str, int] | None:
    """Parse the address of a field that may be absent or empty."""
    value = tree.value(name)
    return address(tree, name, value) if value else None


def address_text(host_port: tuple[str, int]) -> str:
    """Format a pair of host and port as `host:port`."""
    return f"{host_port[0]}:{host_port[1]}"


def read_seed(tree: Fields) -> int:
    """Parse the seed, a hexadecimal number; 0 if absent.

    :raises FieldError: if it is malformed
    """
    value = tree.value("seed")
    try:
        return int(str(value or "0"), 16)
    except ValueError:
        raise tree.error("seed", f"{quoted_value(value)} is not a hexadecimal number") from None


def load(path: str, environ: Mapping[str, str] | None = None) -> Config:
    """Read and parse the configuration file at `path`.

    :raises ConfigError: if it cannot be read or used
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        raise ConfigError(f"cannot read {path}: {err.strerror}") from None
    return parse(raw, environ)
