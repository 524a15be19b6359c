"""The endpoints of the HTTP API: from a request to a typed call, and from a result to a response.

Nothing here knows what a call does; `api_listener.py` has the sockets.
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

DEFAULT_RETRY_AFTER_US = 500_000  # told to a caller where an error does not say when to come back
MAX_NAME_CHARACTERS = 255  # of a zone's or host's name
UNAVAILABLE_STATUS = 503
MAX_ROLLOUT_S = 86_400


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """A request as it came: the named parts of its path, its query and its body."""

    path_parts: dict[str, str]
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One method and path.

    :param parse: makes a call of the request
    :param has_body: the body is a part of the call; else whatever comes is read and dropped
    """

    method: str
    path: re.Pattern[str]
    parse: Callable[[OperatorRequest], Result[ApiCall, Error]]
    has_body: bool = False


def parse_replace(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request to replace the configuration; its content is checked later."""
    return Success(ReplaceConfiguration(request.body))


def parse_retrieve(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request for the configuration."""
    return Success(RetrieveConfiguration())


def evacuation_parser(
    call: type[InitiateEvacuation] | type[TerminateEvacuation],
) -> Callable[[OperatorRequest], Result[ApiCall, Error]]:
    """Return a parser of requests that name a zone."""

    def parse(request: OperatorRequest) -> Result[ApiCall, Error]:
        zone = unquote(request.path_parts["zone"])
        # The name becomes a row's key and is logged.
        if not is_name(zone):
            return invalid("zone: no name of one")
        return Success(call(zone))

    return parse


def parse_initiate_rollout(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse an order to roll out a version."""
    told: Any
    try:
        told = orjson.loads(request.body)
    except ValueError:
        return invalid("rollout: no JSON")
    if not isinstance(told, dict):
        return invalid("rollout: no object")
    for name in ("service", "target_version"):
        if not is_name(told.get(name)):
            return invalid(f"rollout.{name}: no name of one")
    duration_s: Any = told.get("duration_s")
    if type(duration_s) not in (int, float) or not 0 < duration_s <= MAX_ROLLOUT_S:
        return invalid(f"rollout.duration_s: no number above 0 and up to {MAX_ROLLOUT_S}")
    duration_ms = max(1, int(duration_s * 1000))
    return Success(InitiateRollout(told["service"], told["target_version"], duration_ms))


def parse_retrieve_rollout(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a request for the state of a roll-out."""
    service = unquote(request.path_parts["service"])
    return Success(RetrieveRollout(service)) if is_name(service) else invalid("service: no name of one")


def is_name(value: object) -> bool:
    """Return whether a value can name something: it becomes a row's key, and is logged."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


def invalid(text: str) -> Result[ApiCall, Error]:
    """Return the error of an order that says what no order can."""
    return Failure(Error(ErrorCode.INVALID_ORDER, text))


def parse_resolution(request: OperatorRequest) -> Result[ApiCall, Error]:
    """Parse a client's question for ingresses; whatever it leaves out is empty."""
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
    """Return the response of an outcome: its result, or its error with the error's status."""
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
    """Return the response to a request that makes no call, by HTTP's own rules.

    :param allow: methods that the path has
    """
    headers = {"Allow": ", ".join(sorted(allow))} if allow else None
    body = orjson.dumps({"error": "refused", "text": text})
    response = web.Response(status=status, body=body, headers=headers, content_type="application/json")
    response.force_close()  # its body, if any, was not read
    return response


def busy_response() -> web.Response:
    """Return the response where the bodies in flight fill what may be buffered."""
    return closing_response("too much at once")


def stale_response() -> web.Response:
    """Return the response to a request whose caller has waited too long."""
    return closing_response("this machine stood still")


def closing_response(text: str) -> web.Response:
    """Return an UNAVAILABLE response that closes its connection."""
    response = response_of(Failure(Error(ErrorCode.UNAVAILABLE, text)))
    response.force_close()
    return response
