"""One driver at a time: the sizes at which each figure is measured, and what the figures are."""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.capacity import fleet as hollow
from benchmarks.capacity.fleet import Fleet, Size
from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.node.control_node import ControlNode

Figures = dict[str, float]
USE = 2.13  # requests a second of a tenant: 130,000 over 61,000
SPAN_S, CHANGES, APART_S = 4.0, 3, 2.0
DAY_S = 86_400.0
TARGET = {
    "ingresses": 640.0,
    "servers": 2_600.0,
    "services": 130.0,
    "routes": 1_700.0,
    "tenants": 61_000.0,
    "requests": 203.0,
    "regions": 4.0,
    "zones": 4.0,
    "changes": 1_500.0,
}


@dataclass(frozen=True, slots=True)
class Driver:
    """:param sizes: growing; the last is the target or as near to it as one machine allows
    :param measure: figures at a size
    """

    sizes: Sequence[int]
    target: float
    measure: Callable[[int], Figures]


# -- hollow fleets -----------------------------------------------------------------------------------


def fleet_at(size: Size, changes: int = CHANGES) -> Figures:
    """A fleet in calm times, and while its configuration changes."""
    begun = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(size, Path(folder))
        try:
            fleet.warm_up()
            found = idle(fleet)
            found |= changing(fleet, found, changes)
            errors = fleet.errors()
        finally:
            fleet.close()
    if errors:
        raise RuntimeError(errors[0])
    return found | {"real s": time.monotonic() - begun}


def idle(fleet: Fleet) -> Figures:
    spent, primary = fleet.spend(SPAN_S), fleet.primary()
    edges, others = [p.ip for p in fleet.edges], [p.ip for p in fleet.cores if p is not primary]
    found: Figures = {}
    for role, ips in (("edge", edges), ("member", others), ("primary", [primary.ip])):
        found[f"{role} messages/s"] = spent.messages(ips)
        found[f"{role} bytes/s"] = spent.bytes(ips)
        found[f"{role} out messages/s"] = spent.messages(ips, "out")
        found[f"{role} out bytes/s"] = spent.bytes(ips, "out")
        for link in (hollow.IN_ZONE, hollow.BETWEEN_ZONES, hollow.BETWEEN_REGIONS):
            found[f"{role} bytes/s {link}"] = spent.bytes(ips, link=link)
        found[f"{role} loop, part of a core"] = statistics.mean(spent.loop_share(ip) for ip in ips)
        found[f"{role} longest turn ms"] = max(spent.longest_ms(ip) for ip in ips)
        for kind in spent.kinds():
            found[f"{role} {kind} messages/s"] = spent.messages(ips, kind=kind)
            found[f"{role} {kind} bytes/s"] = spent.bytes(ips, kind=kind)
    return found


def changing(fleet: Fleet, calm: Figures, changes: int) -> Figures:
    """What changes cost above what a calm time does, and how late they come into force."""
    lags: dict[str, list[int]] = {"near": [], "far": []}
    primary = fleet.primary()
    home = fleet.zones[primary.zone]

    def change() -> None:
        for _ in range(changes):
            begun = fleet.clock.at
            for ip, lag in fleet.lags(fleet.replace()).items():
                near = fleet.zones[fleet.processes[ip].zone] == home
                lags["near" if near else "far"].append(lag)
            fleet.run(max(0, begun + int(APART_S * SECOND) - fleet.clock.at))

    if not changes:
        return {}
    spent = fleet.spend(changes * APART_S, change)
    edges = [p.ip for p in fleet.edges]
    found: Figures = {}
    for role, ips in (("edge", edges), ("primary", [primary.ip])):
        each = spent.seconds / changes
        found[f"{role} messages a change"] = (spent.messages(ips) - calm[f"{role} messages/s"]) * each
        found[f"{role} bytes a change"] = (spent.bytes(ips) - calm[f"{role} bytes/s"]) * each
        used = statistics.mean(spent.loop_share(ip) + spent.thread_share(ip) for ip in ips)
        found[f"{role} cpu ms a change"] = (used - calm[f"{role} loop, part of a core"]) * each * 1e3
        found[f"{role} longest turn at a change ms"] = max(spent.longest_ms(ip) for ip in ips)
    for where, some in lags.items():
        if some:
            found[f"in force {where} median ms"] = statistics.median(some) / MS
            found[f"in force {where} worst ms"] = max(some) / MS
    return found


def joining(regions: int, members: int, seed: int) -> tuple[int, float]:
    """Three seeds and further machines that ask to join, for 33 s: how many are members then, and how many
    records of who holds copies are proposed a second in the 5 s after."""
    with tempfile.TemporaryDirectory() as folder:
        size = Size(ingresses=0, members=members, regions=regions)
        fleet = Fleet(size, Path(folder), seed, seeds=3)
        try:
            fleet.members_begin()
            fleet.run(30 * SECOND)
            before = fleet.record()
            fleet.run(5 * SECOND)
            return len(fleet.record().members), (fleet.record().number - before.number) / 5
        finally:
            fleet.close()


def by_ingresses(size: int) -> Figures:
    return fleet_at(Size(ingresses=size))


def whole_fleet(servers: int) -> Figures:
    """All ingresses of the target; tenants and routes are few, as each ingress holds them all."""
    return fleet_at(Size(ingresses=640, servers=servers, services=130, routes=130))


def by_servers(size: int) -> Figures:
    return fleet_at(Size(servers=size, services=130))


def by_services(size: int) -> Figures:
    return fleet_at(Size(servers=260, services=size))


def by_routes(size: int) -> Figures:
    return fleet_at(Size(ingresses=16, routes=size))


def by_tenants(size: int) -> Figures:
    return fleet_at(Size(ingresses=16, tenants=size))


def by_regions(size: int) -> Figures:
    return fleet_at(Size(ingresses=64, regions=size))


def by_zones(size: int) -> Figures:
    return fleet_at(Size(ingresses=64, zones_each=size))


def by_requests(size: int) -> Figures:
    """Each tenant uses what one does at the target, so tenants grow with requests."""
    ingresses = 16
    tenants = max(20, round(size * ingresses / USE))
    return fleet_at(replace(Size(), ingresses=ingresses, tenants=tenants, requests=float(size)), 0)


def by_changes(size: int) -> Figures:
    """:param size: changes in 16 s; what a day of so many costs follows from one's cost"""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Size(), Path(folder))
        try:
            fleet.warm_up()

            def change() -> None:
                begun = fleet.clock.at
                for number in range(size):
                    fleet.lags(fleet.replace())
                    fleet.run(max(0, begun + int(16 * SECOND * (number + 1) / size) - fleet.clock.at))

            spent = fleet.spend(16.0, change)
            edges, primary = [p.ip for p in fleet.edges], fleet.primary()
            assert isinstance(primary.part, ControlNode)
            return {
                "edge bytes/s": spent.bytes(edges),
                "edge messages/s": spent.messages(edges),
                "primary bytes/s": spent.bytes([primary.ip]),
                "primary loop, part of a core": spent.loop_share(primary.ip),
            }
        finally:
            fleet.close()


# -- roles in processes of their own -------------------------------------------------------------------


def child(*arguments: object) -> str:
    command = [sys.executable, "-m", "benchmarks.capacity.alone", *map(str, arguments)]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def flat(tree: dict[str, Any]) -> Figures:
    found: Figures = {}
    for name, value in tree.items():
        if isinstance(value, dict):
            found |= {f"{name} {inner}": float(one) for inner, one in value.items()}
        else:
            found[name] = float(value)
    return found


def edge_alone(routes: int, services: int, tenants: int, servers: int, ingresses: int) -> Figures:
    with tempfile.TemporaryDirectory() as folder:
        child("write_news", folder, routes, services, tenants, servers, ingresses)
        found = flat(json.loads(child("edge", folder, routes, services, tenants, servers, ingresses)))
    found["grown mb"] = found["end_mb"] - found["start_mb"]
    return found


def control_alone(routes: int, services: int, tenants: int) -> Figures:
    with tempfile.TemporaryDirectory() as folder:
        child("write_bodies", folder, routes, services, tenants)
        found = flat(json.loads(child("control", folder, routes, services, tenants)))
    found["grown mb"] = found["mb"] - found["start_mb"]
    return found


def role(*arguments: object) -> Figures:
    return flat(json.loads(child(*arguments)))


INGRESSES, MANY = (40, 160, 320, 640), (325, 650, 1_300, 2_600)
TENANTS, ROUTES = (7_625, 15_250, 30_500, 61_000), (212, 425, 850, 1_700)
DRIVERS: dict[str, Driver] = {
    "fleet-ingresses": Driver(INGRESSES, 640, by_ingresses),
    "fleet-servers": Driver(MANY, 2_600, by_servers),
    "fleet-services": Driver((13, 32, 65, 130), 130, by_services),
    "fleet-routes": Driver(ROUTES, 1_700, by_routes),
    "fleet-tenants": Driver((125, 250, 500, 1_000), 61_000, by_tenants),
    "fleet-requests": Driver((25, 50, 100, 200), 203, by_requests),
    "fleet-regions": Driver((1, 2, 3, 4), 4, by_regions),
    "fleet-zones": Driver((1, 2, 3, 4), 4, by_zones),
    "fleet-changes": Driver((1, 2, 4, 8), 8, by_changes),
    "edge-tenants": Driver(TENANTS, 61_000, lambda n: edge_alone(170, 130, n, 260, 64)),
    "edge-routes": Driver(ROUTES, 1_700, lambda n: edge_alone(n, 130, 1_000, 260, 64)),
    "edge-servers": Driver(MANY, 2_600, lambda n: edge_alone(170, 130, 1_000, n, 64)),
    "edge-services": Driver((13, 32, 65, 130), 130, lambda n: edge_alone(170, n, 1_000, 2_600, 64)),
    "edge-ingresses": Driver(INGRESSES, 640, lambda n: edge_alone(170, 13, 1_000, 2_600, n)),
    "control-tenants": Driver(TENANTS, 61_000, lambda n: control_alone(170, 130, n)),
    "control-routes": Driver(ROUTES, 1_700, lambda n: control_alone(n, 130, 1_000)),
    "holder-tenants": Driver(TENANTS, 61_000, lambda n: role("holder", 40, n, 30)),
    "holder-ingresses": Driver(INGRESSES, 640, lambda n: role("holder", n, 4_000, 2)),
    "holder-words": Driver((8, 16, 32, 64), 640, lambda n: role("words", n, 4_000)),
    "holder-named": Driver((4, 10, 20, 30), 30, lambda n: role("holder", 40, 4_000, n)),
    "directory-ingresses": Driver(INGRESSES, 640, lambda n: role("directory", n)),
    "reader-servers": Driver(MANY, 2_600, lambda n: role("reader", n, 640)),
    "reader-ingresses": Driver(INGRESSES, 640, lambda n: role("reader", 2_600, n)),
}
