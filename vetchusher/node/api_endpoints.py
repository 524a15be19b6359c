"""The endpoints of the HTTP API: they parse requests into typed calls and encode results as responses.

Calls are executed elsewhere; the sockets are in `api_listener.py`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import orjson
from aiohttp import web
from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.plain import seconds_text

from .api_calls import (
    AddressesResolved,
    ApiCall,
    ApiResult,
    ConfigurationReplaced,
    ConfigurationRetrieved,
    EvacuationSet,
    InitiateEvacuation,
    InitiateRollout,
    ReplaceConfiguration,
    ResolveAddresses,
    RetrieveConfiguration,
    RetrieveRollout,
    RolloutInitiated,
    RolloutRetrieved,
    TerminateEvacuation,
)

DEFAULT_RETRY_AFTER_US = 500_000  # sent with status 503 if the error has no delay of its own
MAX_NAME_CHARACTERS = 255  # longest name of a zone, host or service
UNAVAILABLE_STATUS = 503
MAX_ROLLOUT_S = 86_400


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """A request before it is parsed: the named parts of its path, its query and its body."""

    path_parts: dict[str, str]
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One method and path.

    :param parse: returns the call of a request, or INVALID_ORDER
    :param has_body: the body is part of the call; otherwise a body is read and dropped
    """

    method: str
    path: re.Pattern[str]
    parse: Callable[[OperatorRequest], Result[ApiCall, Error]]
    has_body: bool = False


def parse_replace(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request to replace the configuration; the configuration itself is validated later."""
    return Success(ReplaceConfiguration(request.body))


def parse_retrieve(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request for the configuration."""
    return Success(RetrieveConfiguration())


def evacuation_parser(
    call: type[InitiateEvacuation] | type[TerminateEvacuation],
) -> Callable[[OperatorRequest], Result[ApiCall, Error]]:
    """Return a parser of requests to begin or end the evacuation of a zone."""

    def parse(request: OperatorRequest) -> Result[ApiCall, Error]:
        zone = unquote(request.path_parts["zone"])
        # The name becomes part of a row's key and is logged.
        if not is_name(zone):
            return invalid("zone: no name of one")
        return Success(call(zone))

    return parse


def parse_initiate_rollout(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse an order to roll out a version."""
    tree: Any
    try:
        tree = orjson.loads(request.body)
    except ValueError:
        return invalid("rollout: no JSON")
    if not isinstance(tree, dict):
        return invalid("rollout: no object")
    for name in ("service", "target_version"):
        if not is_name(tree.get(name)):
            return invalid(f"rollout.{name}: no name of one")
    duration_s: Any = tree.get("duration_s")
    if type(duration_s) not in (int, float) or not 0 < duration_s <= MAX_ROLLOUT_S:
        return invalid(f"rollout.duration_s: no number above 0 and up to {MAX_ROLLOUT_S}")
    duration_ms = max(1, int(duration_s * 1000))
    return Success(InitiateRollout(tree["service"], tree["target_version"], duration_ms))


def parse_retrieve_rollout(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request for the state of a roll-out."""
    service = unquote(request.path_parts["service"])
    return Success(RetrieveRollout(service)) if is_name(service) else invalid("service: no name of one")


def is_name(value: object) -> bool:
    """Return whether a value is a valid name: a short printable text, fit for a row's key and for the log."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


def invalid(text: str) -> Result[ApiCall, Error]:
    """Return the failure of an invalid request."""
    return Failure(Error(ErrorCode.INVALID_ORDER, text))


def parse_resolution(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a client's request for ingresses; missing parameters become empty strings."""
    fields = (request.query.get(name, "")[:MAX_NAME_CHARACTERS] for name in ("name", "region", "zone"))
    return Success(ResolveAddresses(*fields))


CONTROL_ENDPOINTS = (
    Endpoint("POST", re.compile("/configuration/replace"), parse_replace, has_body=True),
    Endpoint("GET", re.compile("/configuration/retrieve"), parse_retrieve),
    Endpoint(
        "POST", re.compile("/evacuation/(?P<zone>[^/]+)/initiate"), evacuation_parser(InitiateEvacuation)
    ),
    Endpoint(
        "POST", re.compile("/evacuation/(?P<zone>[^/]+)/terminate"), evacuation_parser(TerminateEvacuation)
    ),
    Endpoint("POST", re.compile("/rollouts/initiate"), parse_initiate_rollout, has_body=True),
    Endpoint("GET", re.compile("/rollouts/(?P<service>[^/]+)/retrieve"), parse_retrieve_rollout),
)
DIRECTORY_ENDPOINTS = (Endpoint("GET", re.compile("/resolution"), parse_resolution),)

ENCODERS: dict[type, Callable[[Any], bytes]] = {
    ConfigurationReplaced: lambda result: b"{}",
    ConfigurationRetrieved: lambda result: bytes(result.body),
    EvacuationSet: orjson.dumps,
    RolloutInitiated: lambda result: b"{}",
    RolloutRetrieved: orjson.dumps,
    AddressesResolved: orjson.dumps,
}


def response_of(outcome: Result[ApiResult, Error]) -> web.Response:
    """Return the response to a call: its encoded result, or its error with that error's status."""
    if not isinstance(outcome, Failure):
        result = outcome.unwrap()
        return web.Response(body=ENCODERS[type(result)](result), content_type="application/json")
    error = outcome.failure()
    default_us = DEFAULT_RETRY_AFTER_US if error.status == UNAVAILABLE_STATUS else 0
    retry_after_us = error.retry_after_us or default_us
    headers = {"Retry-After": seconds_text(retry_after_us)} if retry_after_us else None
    body = orjson.dumps({"error": error.code, "text": error.text})
    return web.Response(status=error.status, body=body, headers=headers, content_type="application/json")


def rejection(status: int, text: str, allow: Iterable[str] = ()) -> web.Response:
    """Return the response to a request that cannot be parsed into a call.

    :param allow: methods that the path supports, for the header `Allow`
    """
    headers = {"Allow": ", ".join(sorted(allow))} if allow else None
    body = orjson.dumps({"error": "refused", "text": text})
    response = web.Response(status=status, body=body, headers=headers, content_type="application/json")
    response.force_close()  # the request's body may not have been read completely
    return response


def busy_response() -> web.Response:
    """Return the response to a request whose body does not fit into the buffer shared by all requests."""
    return closing_response("too much at once")


def stale_response() -> web.Response:
    """Return the response to a request whose caller has already given up."""
    return closing_response("this machine stood still")


def closing_response(text: str) -> web.Response:
    """Return an UNAVAILABLE response that closes its connection."""
    response = response_of(Failure(Error(ErrorCode.UNAVAILABLE, text)))
    response.force_close()
    return response
