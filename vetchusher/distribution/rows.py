"""A configuration and the evacuations as rows of news, a part a row: a new version costs what changed.

A row's value is the canonical compact JSON of the part as checked, in the form in which operators send it: a
reader puts the rows together again and holds the whole to the same checks.
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


def rows_of(config: Configuration, raw: bytes, evacuated: Mapping[str, bool]) -> dict[str, bytes]:
    """:param raw: the configuration as it was sent: its digest goes along, for people who compare machines
    :param evacuated: by zone; a zone whose evacuation was taken back stays as a row that says so
    """
    rows = {
        VERSION: encoded(f"r{config.version}"),
        LIMITS: encoded(config.limits),
        DIGEST: encoded(digest(raw)),
    }
    # Names of routes may be missing or repeat; host and prefix do not.
    rows |= {f"{ROUTE}{r.host}{r.path_prefix}": encoded(route_sent(r)) for r in config.routes}
    rows |= {f"{SERVICE}{s.name}": encoded(s) for s in config.services.values()}
    rows |= {f"{TENANT}{t.name}": encoded(t) for t in config.tenants.values()}
    return rows | evacuation_rows(evacuated)


def evacuation_rows(evacuated: Mapping[str, bool]) -> dict[str, bytes]:
    """Return the rows of the evacuated zones."""
    return {f"{EVACUATED}{zone}": encoded(on) for zone, on in evacuated.items()}


def configuration_of(rows: Mapping[str, bytes]) -> Result[Configuration, Error]:
    """Return the configuration of a complete set of rows; `INVALID_MESSAGE` where they are none, as before
    the first version.
    """
    if VERSION not in rows:
        return Failure(Error(ErrorCode.INVALID_MESSAGE, "rows without a version"))
    parts = (
        b'"version":' + rows[VERSION],
        b'"limits":' + rows.get(LIMITS, b"null"),
        listed(b"routes", rows, ROUTE),
        listed(b"services", rows, SERVICE),
        listed(b"subscribers", rows, TENANT),
    )
    return read_configuration(b"{" + b",".join(parts) + b"}").alt(
        lambda fault: Error(ErrorCode.INVALID_MESSAGE, fault.text)
    )


def evacuated_of(rows: Mapping[str, bytes]) -> frozenset[str]:
    """Return the zones whose servers get no requests."""
    return frozenset(name for name, value in under(rows, EVACUATED) if value == b"true")


def digest(raw: bytes) -> str:
    """Return the digest of a configuration as it is logged; hexadecimal."""
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


def route_sent(route: Route) -> dict[str, Any]:
    """Return a route in the form in which operators send it."""
    tree = {f.name: getattr(route, f.name) for f in dataclasses.fields(route) if f.name != "targets"}
    return tree | {"distribution": [{"service": name, "weight": weight} for name, weight in route.targets]}


def listed(name: bytes, rows: Mapping[str, bytes], prefix: str) -> bytes:
    """Return the decoded rows of one kind, in the order of their keys."""
    return b'"' + name + b'":[' + b",".join(value for _, value in under(rows, prefix)) + b"]"


def under(rows: Mapping[str, bytes], prefix: str) -> Iterator[tuple[str, bytes]]:
    """Return the rows whose keys have a prefix, without it."""
    return ((key.removeprefix(prefix), value) for key, value in rows.items() if key.startswith(prefix))


def encoded(part: object) -> bytes:
    """Return a part of the configuration as JSON."""
    return orjson.dumps(part, default=sorted, option=orjson.OPT_SORT_KEYS)
