"""Admission of a request: its head is checked, and its route and tenant are found.

Whatever fails here has run nowhere.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import Tenant

from .actions import RequestHead
from .context import STALE_RETRY_AFTER_US, RoutingContext
from .headers import ATTEMPT_ID, DECIDING
from .request import Request

_ID = re.compile(r"[!-~]{1,128}", re.ASCII)


def admit_request(context: RoutingContext, head: RequestHead) -> Result[Request, Error]:
    """Check a head by the configuration that is in force here now; return the request's state machine."""
    table = context.table
    if table is None:
        return Failure(Error(ErrorCode.STALE_CONFIGURATION, "no configuration yet", STALE_RETRY_AFTER_US))
    if (fault := malformed_reason(head)) is not None:
        return Failure(fault)
    found = {name.lower(): value for name, value in head.headers}
    route = table.find(found["host"], head.target)
    if route is None:
        return Failure(context.rejection(head.arrived_at, ErrorCode.ROUTE_NOT_FOUND, "no such route"))
    tenant: Tenant | None = None
    if table.configuration.keyed:
        scheme, _, key = found.get("authorization", "").partition(" ")
        tenant = table.tenant(key.strip()) if scheme.lower() == "bearer" else None
        if tenant is None and not route.public:
            return Failure(context.rejection(head.arrived_at, ErrorCode.UNAUTHENTICATED, "no such key"))
    return Success(Request(context, table, head, route, tenant))


def malformed_reason(head: RequestHead) -> Error | None:
    """Return why a head cannot be forwarded as it is; None: it can."""
    if not head.target.startswith("/") or not head.target.isascii():
        return Error(ErrorCode.MALFORMED_REQUEST, "the target is no path")
    repeated = _repeated(name.lower() for name, _ in head.headers)
    if repeated:
        return Error(ErrorCode.MALFORMED_REQUEST, f"{repeated} is repeated")
    found = {name.lower(): value for name, value in head.headers}
    if not _ID.fullmatch(found.get(ATTEMPT_ID.lower(), "")):
        return Error(ErrorCode.MALFORMED_REQUEST, f"{ATTEMPT_ID} is missing or malformed")
    if not found.get("host"):
        return Error(ErrorCode.MALFORMED_REQUEST, "Host is missing")
    try:
        "".join(found.values()).encode()
    except UnicodeEncodeError:
        return Error(ErrorCode.MALFORMED_REQUEST, "a header is no text")
    return None


def _repeated(names: Iterable[str]) -> str:
    seen: set[str] = set()
    for name in names:
        if name in seen and name in DECIDING:
            return name
        seen.add(name)
    return ""
