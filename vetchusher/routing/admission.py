"""Admission of a request: validates its head and looks up its route and tenant.

A request that fails here has not been sent to any server.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import Tenant

from .actions import RequestHead
from .context import STALE_RETRY_AFTER_US, RoutingContext
from .headers import ATTEMPT_ID, SINGLE_VALUE_HEADERS
from .request import Request

_ATTEMPT_ID_PATTERN = re.compile(r"[!-~]{1,128}", re.ASCII)


def admit_request(context: RoutingContext, head: RequestHead) -> Result[Request, Error]:
    """Validate a request head against this ingress's current configuration.

    :returns: the request's state machine, or the error with which to reject the request
    """
    table = context.table
    if table is None:
        return Failure(Error(ErrorCode.STALE_CONFIGURATION, "no configuration yet", STALE_RETRY_AFTER_US))
    if (error := malformed_head_error(head)) is not None:
        return Failure(error)
    headers = {name.lower(): value for name, value in head.headers}
    route = table.find(headers["host"], head.target)
    if route is None:
        return Failure(context.rejection(head.arrived_at, ErrorCode.ROUTE_NOT_FOUND, "no such route"))
    tenant: Tenant | None = None
    if table.configuration.requires_credentials:
        scheme, _, key = headers.get("authorization", "").partition(" ")
        tenant = table.tenant(key.strip()) if scheme.lower() == "bearer" else None
        if tenant is None and not route.public:
            return Failure(context.rejection(head.arrived_at, ErrorCode.UNAUTHENTICATED, "no such key"))
    return Success(Request(context, table, head, route, tenant))


def malformed_head_error(head: RequestHead) -> Error | None:
    """Return the error that makes a head unfit for forwarding, or None if it is well-formed."""
    if not head.target.startswith("/") or not head.target.isascii():
        return Error(ErrorCode.MALFORMED_REQUEST, "the target is no path")
    repeated = _first_repeated_header(name.lower() for name, _ in head.headers)
    if repeated:
        return Error(ErrorCode.MALFORMED_REQUEST, f"{repeated} is repeated")
    headers = {name.lower(): value for name, value in head.headers}
    if not _ATTEMPT_ID_PATTERN.fullmatch(headers.get(ATTEMPT_ID.lower(), "")):
        return Error(ErrorCode.MALFORMED_REQUEST, f"{ATTEMPT_ID} is missing or malformed")
    if not headers.get("host"):
        return Error(ErrorCode.MALFORMED_REQUEST, "Host is missing")
    try:
        "".join(headers.values()).encode()
    except UnicodeEncodeError:
        return Error(ErrorCode.MALFORMED_REQUEST, "a header is no text")
    return None


def _first_repeated_header(names: Iterable[str]) -> str:
    """Return the first single-valued header that occurs twice in lower-case `names`, or an empty string."""
    seen: set[str] = set()
    for name in names:
        if name in seen and name in SINGLE_VALUE_HEADERS:
            return name
        seen.add(name)
    return ""
