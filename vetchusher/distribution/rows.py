"""Encodes a configuration and the evacuations as rows of the source `control`, and decodes them.

Each route, service and tenant is a row of its own, so that an update contains only what has changed. A row's
value is the canonical compact JSON of the validated part, in the form in which operators send it: a reader
joins the rows into a configuration and applies the same validation to it.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterator, Mapping
from typing import Any

import orjson
from returns.result import Failure, Result

from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import Configuration, Route, read_configuration

ROUTE, SERVICE, TENANT, EVACUATED = "route/", "service/", "tenant/", "evacuated/"
VERSION, LIMITS, DIGEST = "version", "limits", "digest"


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneEvacuation:
    """The last order of evacuation of a zone.

    :param is_on: whether the zone is evacuated
    :param order: number of the order, higher than that of any earlier one
    """

    is_on: bool
    order: int


def encode_rows(
    config: Configuration, raw: bytes, evacuations: Mapping[str, ZoneEvacuation]
) -> dict[str, bytes]:
    """Return the rows of a configuration and of evacuations.

    :param raw: the configuration as it was sent; a row holds its digest, so that people can compare machines
    :param evacuations: by zone; an evacuation that has ended keeps its row
    """
    rows = {
        VERSION: encode_part(f"r{config.version}"),
        LIMITS: encode_part(config.limits),
        DIGEST: encode_part(digest(raw)),
    }
    # Host and path prefix identify a route; its name may be missing or not unique.
    rows |= {f"{ROUTE}{r.host}{r.path_prefix}": encode_part(route_as_sent(r)) for r in config.routes}
    rows |= {f"{SERVICE}{s.name}": encode_part(s) for s in config.services.values()}
    rows |= {f"{TENANT}{t.name}": encode_part(t) for t in config.tenants.values()}
    return rows | evacuation_rows(evacuations)


def evacuation_rows(evacuations: Mapping[str, ZoneEvacuation]) -> dict[str, bytes]:
    """Return the rows of evacuations, by zone: `true`, or the number of the order that ended it.

    Safety: with `false` in its place, an ingress that missed a whole evacuation would find its row unchanged.
    """
    return {
        f"{EVACUATED}{zone}": encode_part(True if last.is_on else last.order)
        for zone, last in evacuations.items()
    }


def decode_configuration(rows: Mapping[str, bytes]) -> Result[Configuration, Error]:
    """Return the configuration in a complete set of rows.

    INVALID_MESSAGE if it is not valid, or if there is none, as before the first version.
    """
    if VERSION not in rows:
        return Failure(Error(ErrorCode.INVALID_MESSAGE, "rows without a version"))
    parts = (
        b'"version":' + rows[VERSION],
        b'"limits":' + rows.get(LIMITS, b"null"),
        encode_list(b"routes", rows, ROUTE),
        encode_list(b"services", rows, SERVICE),
        encode_list(b"subscribers", rows, TENANT),
    )
    return read_configuration(b"{" + b",".join(parts) + b"}").alt(
        lambda error: Error(ErrorCode.INVALID_MESSAGE, error.text)
    )


def evacuated_zones(rows: Mapping[str, bytes]) -> frozenset[str]:
    """Return the evacuated zones, whose servers get no requests."""
    return frozenset(name for name, value in rows_with_prefix(rows, EVACUATED) if value == b"true")


def ended_evacuations(rows: Mapping[str, bytes]) -> dict[str, int]:
    """Return the number of the order that ended a zone's last evacuation, by zone; 0: it is unknown.

    Releases without the number write `false`.
    """
    ended = ((zone, value) for zone, value in rows_with_prefix(rows, EVACUATED) if value != b"true")
    return {zone: int(value) if value.isdigit() else 0 for zone, value in ended}


def digest(raw: bytes) -> str:
    """Return the digest of a configuration in hexadecimal, as it appears in logs."""
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


def route_as_sent(route: Route) -> dict[str, Any]:
    """Return a route in the form in which operators send it."""
    tree = {f.name: getattr(route, f.name) for f in dataclasses.fields(route) if f.name != "targets"}
    return tree | {"distribution": [{"service": name, "weight": weight} for name, weight in route.targets]}


def encode_list(name: bytes, rows: Mapping[str, bytes], prefix: str) -> bytes:
    """Return a member of a JSON object: the values of the rows of one kind as a list, in the rows' order.

    :param name: key of the member
    """
    return b'"' + name + b'":[' + b",".join(value for _, value in rows_with_prefix(rows, prefix)) + b"]"


def rows_with_prefix(rows: Mapping[str, bytes], prefix: str) -> Iterator[tuple[str, bytes]]:
    """Return the rows whose keys have a prefix; the prefix is removed from the keys."""
    return ((key.removeprefix(prefix), value) for key, value in rows.items() if key.startswith(prefix))


def encode_part(part: object) -> bytes:
    """Return a part of the configuration as JSON with sorted keys."""
    return orjson.dumps(part, default=sorted, option=orjson.OPT_SORT_KEYS)
