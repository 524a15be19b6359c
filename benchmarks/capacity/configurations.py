"""Configurations, servers and ingresses of a given size, as an operator and the platform would send them."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from vetchusher.directory.naming import ServingIngress, encode_ingress
from vetchusher.discovery.reader import KnownServer, ListedServer, write_row
from vetchusher.distribution import wire_pb2 as wire

REGIONS, ZONES_EACH = 4, 4
QUOTA = 126.0  # requests a second, and the burst, of each tenant
HOSTS = 40
PAGE = 50  # servers on a page of the platform's list
COLUMNS = ["instance_id", "service", "address", "zone", "version", "capacity", "state", "cold_left_ms"]


def zones_of(regions: int = REGIONS, each: int = ZONES_EACH) -> dict[str, str]:
    """The region of each zone; neighbours in the list lie in different regions."""
    return {f"region{r}-{z}": f"region{r}" for z in range(each) for r in range(regions)}


def key_of(tenant: int, number: int) -> str:
    """A credential of 20 characters, as in the wire examples."""
    return hashlib.blake2b(f"{tenant}/{number}".encode(), digest_size=10).hexdigest()


def route(number: int, services: int, timeout_ms: int) -> dict[str, Any]:
    return {
        "name": f"r-{number:07d}",
        "host": f"h{number % HOSTS:04d}.example",
        "path_prefix": f"/p{number:06d}/",
        "route_type": "safe" if number % 2 else "unsafe",
        "timeout_ms": timeout_ms,
        "target_ms": 500,
        "priority": 1,
        "service": f"s{number % services:04d}",
        "max_attempts": 2,
        "public": False,
        "home_regions": [],
    }


def service(number: int) -> dict[str, Any]:
    return {
        "name": f"s{number:04d}",
        "health_path": "/health",
        "connection_cap": 110,
        "cold_s": 3.0,
        "cold_rate_s": 10.0,
    }


def tenant(number: int) -> dict[str, Any]:
    return {
        "name": f"t{number:06d}",
        "credentials": [key_of(number, 0), key_of(number, 1)],
        "priority": 1,
        "rate_per_s": QUOTA,
        "burst_size": QUOTA,
        "home_regions": [],
    }


def configuration(version: int, routes: int, services: int, tenants: int) -> bytes:
    """The first route differs from version to version."""
    tree = {
        "version": f"r{version}",
        "routes": [route(n, services, 2_000 + (version if n == 0 else 0)) for n in range(routes)],
        "services": [service(n) for n in range(services)],
        "subscribers": [tenant(n) for n in range(tenants)],
    }
    return json.dumps(tree, separators=(",", ":")).encode()


def listed(number: int, services: int, zones: list[str]) -> ListedServer:
    zone = zones[number // services % len(zones)]
    address = f"10.{100 + number // 65_000}.{number // 250 % 256}.{number % 250 + 1}:8080"
    return ListedServer(f"i-{number:08x}", f"s{number % services:04d}", address, zone, "v1", 6, False, 0)


def pages(servers: int, services: int, zones: list[str]) -> list[bytes]:
    """The platform's list, page by page."""
    entries = [listed(n, services, zones) for n in range(servers)]
    found = []
    for begin in range(0, max(1, servers), PAGE):
        rows = [
            [e.instance, e.service, e.address, e.zone, e.version, e.capacity, "available", 0]
            for e in entries[begin : begin + PAGE]
        ]
        token = str(begin + PAGE) if begin + PAGE < servers else None
        tree = {"instances": {"columns": COLUMNS, "rows": rows}, "next_token": token}
        found.append(json.dumps(tree).encode())
    return found


def server_rows(servers: int, services: int, zones: list[str], keeper: str) -> dict[str, bytes]:
    """The list as rows of news."""
    known = (KnownServer(listed(n, services, zones), keeper, 0, 0) for n in range(servers))
    return {one.listed.instance: write_row(one) for one in known}


def ingress_rows(ingresses: int, zones: dict[str, str]) -> dict[str, bytes]:
    """Who serves, as rows of news."""
    names = list(zones)
    rows = {}
    for number in range(ingresses):
        zone = names[number % len(names)]
        ip = ingress_ip(number)
        rows[f"e{number}"] = encode_ingress(
            ip, ServingIngress(f"e{number}", zone, zones[zone], f"{ip}:80"), True
        )
    return rows


def ingress_ip(number: int) -> str:
    return f"10.1.{number // 250}.{number % 250 + 1}"


def source_news(source: str, seq: int, rows: dict[str, bytes], base: int = 0) -> wire.News:
    """:param base: number of the stamp at which a delta begins; 0: all rows are told"""
    one = wire.SourceNews(source=source, stamp=wire.Stamp(epoch=1, seq=seq), whole=not base)
    if base:
        one.base.CopyFrom(wire.Stamp(epoch=1, seq=base))
    one.rows.extend(wire.Row(key=key, value=value) for key, value in rows.items())
    return wire.News(sources=[one])
