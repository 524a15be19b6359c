"""Parsing and formatting of request headers, server lists and counter answers; no I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import orjson

from vetchusher import interface as api

MAX_REQUEST_TIMEOUT_S = 3600.0  # a longer Request-Timeout is taken for a client's mistake: status 400
MAX_COUNTER_TTL_MS = 60_000
MAX_CUSTOMERS = 1 << 33
CLIENT_RETRY_FLAG, WRITE_FLAG = 2, 4
# Headers that must not be repeated: servers or proxies may use the other of two values.
UNREPEATABLE_HEADERS = (
    "Request-Id",
    "Idempotency-Key",
    "Api-Plan",
    "Api-Customer",
    "Api-Terms",
    "Request-Timeout",
    "Content-Length",
    "Transfer-Encoding",
)

_TOKEN = re.compile(r"[!-~]{1,128}", re.ASCII)
_NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,9})?|\.[0-9]{1,9}", re.ASCII)
_TOTAL = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,3})?")
_INTEGER = re.compile(r"[0-9]{1,9}", re.ASCII)
_CUSTOMER = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
_STATES = {
    "SERVING": api.WorkerState.READY,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.REMOVED,
}


class RequestError(Exception):
    """A request that breaks the protocol: the HTTP status of the answer and a one-line text."""

    def __init__(self, status: int, text: str) -> None:
        """Keep the status; `text` becomes the body of the answer."""
        super().__init__(text)
        self.status = status


class MalformedMessage(Exception):
    """A message of another service cannot be parsed; the text is one line."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The fields of a request's headers as numbers; `remaining_us` is its timeout in microseconds."""

    class_id: int
    plan_id: int
    customer: int
    remaining_us: int
    units: float
    gateways: float
    first_gateway: float
    flags: int


class RequestReader:
    """Parses request heads according to the classes and plans of the settings."""

    def __init__(self, settings: api.Settings) -> None:
        """Index the classes and plans of the settings by name."""
        self.gateways = settings.gateways
        self.max_units = max(1.0, settings.max_units)
        self.classes = {c.name: (i, c.effect) for i, c in enumerate(settings.classes)}
        self.plans = {p.name: i for i, p in enumerate(settings.plans)}

    def read(self, method: str, target: str, headers: Mapping[str, str]) -> RequestHead:
        """Parse a request's head.

        :raises RequestError: if it is not valid
        """
        if len(list(headers)) != len(headers):  # `list` has a repeated name once, `len` counts it twice
            names = [name.lower() for name, _ in headers.items()]
            if any(names.count(name.lower()) > 1 for name in UNREPEATABLE_HEADERS):
                raise RequestError(400, "a field that decides is repeated")
        name = target[1:].partition("?")[0].partition("/")[0]
        request_class = self.classes.get(name) if target.startswith("/") else None
        if request_class is None:
            raise RequestError(404, "unknown class")
        class_id, effect = request_class
        if method != ("GET" if effect == api.Effect.SAFE else "POST"):
            raise RequestError(405, "wrong method for this class")
        if not _TOKEN.fullmatch(headers.get("Request-Id", "")):
            raise RequestError(400, "Request-Id is missing or malformed")
        key = headers.get("Idempotency-Key")
        if key is None:
            if effect == api.Effect.KEYED:
                raise RequestError(400, "this class needs an Idempotency-Key")
        elif not _TOKEN.fullmatch(key):
            raise RequestError(400, "Idempotency-Key is malformed")
        plan_id = self.plans.get(headers.get("Api-Plan", ""))
        if plan_id is None:
            raise RequestError(400, "unknown plan")
        customer = headers.get("Api-Customer", "")
        if not _CUSTOMER.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMERS:
            raise RequestError(400, "Api-Customer is not 16 hex digits below 2^33")
        units, gateways, first_gateway = self.read_terms(headers.get("Api-Terms", ""))
        flags = CLIENT_RETRY_FLAG if headers.get("Client-Retry") == "1" else 0
        return RequestHead(
            class_id,
            plan_id,
            int(customer, 16),
            read_timeout_us(headers.get("Request-Timeout", "")),
            units,
            gateways,
            first_gateway,
            flags if effect == api.Effect.SAFE else flags | WRITE_FLAG,
        )

    def read_terms(self, text: str) -> tuple[float, float, float]:
        """Parse an Api-Terms header into units, number of gateways and first gateway.

        :raises RequestError: if it is malformed or out of range
        """
        terms: dict[str, float] = {}
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            # The number of gateways and the first gateway are integers.
            pattern = _INTEGER if name in ("spread", "first") else _NUMBER
            if not pattern.fullmatch(value) or name in terms:
                raise RequestError(400, "Api-Terms is malformed")
            terms[name] = float(value)
        units, spread, first = terms.get("units", -1.0), terms.get("spread", -1.0), terms.get("first", -1.0)
        if not 0.0 < units <= self.max_units:
            raise RequestError(400, "Api-Terms: units out of range")
        if not 1.0 <= spread <= self.gateways or not 0.0 <= first < self.gateways:
            raise RequestError(400, "Api-Terms: no such set of ingresses")
        return units, spread, first


def read_timeout_us(text: str) -> int:
    """Parse a Request-Timeout header into microseconds.

    :raises RequestError: if it is malformed, not positive or above `MAX_REQUEST_TIMEOUT_S`
    """
    if not _NUMBER.fullmatch(text) or not 0.0 < float(text) <= MAX_REQUEST_TIMEOUT_S:
        raise RequestError(400, "Request-Timeout is missing or absurd")
    return max(1, int(float(text) * 1e6))


def attempt_outcome(status: int, headers: Mapping[str, str]) -> int:
    """Return the outcome of an attempt whose answer has been read completely."""
    if status == 200:
        return api.Outcome.OK
    if status in (503, 504) and headers.get("Not-Started") == "1":
        return api.Outcome.REJECTED
    return api.Outcome.ERROR


def final_units_of(headers: Mapping[str, str], max_units: float) -> float:
    """Return the units that a good answer states as consumed (`Api-Charge`), or 0 if there is no usable
    value.

    :param max_units: largest number of units of a request; a greater value is ignored
    """
    text = headers.get("Api-Charge", "")
    units = float(text) if _NUMBER.fullmatch(text) else 0.0
    return units if units <= max_units else 0.0


def counter_path(name: int, amount: float, ttl_us: int) -> str:
    """Return the path of the call that adds `amount` to a counter; `ttl_us` in microseconds."""
    ttl = min(MAX_COUNTER_TTL_MS, max(1, ttl_us // 1000))
    return f"/v1/count/{name}?add={amount:.10g}&ttl_ms={ttl}"


def read_total(status: int, body: bytes) -> tuple[int, float]:
    """Return the outcome of an answered counter call and the total in its body."""
    if status in (400, 404, 503):
        return api.Outcome.REJECTED, 0.0
    text = body.strip()
    if status != 200 or not _TOTAL.fullmatch(text) or not math.isfinite(total := float(text)):
        # The counter may have added the amount, but its total is unreadable.
        return api.Outcome.ERROR, 0.0
    return api.Outcome.OK, total


def server_id(text: str) -> int:
    """Return the integer id of a server, the same at every load balancer."""
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big")


def pack_address(host: str, port: int) -> int:
    """Pack an IPv4 address and a port into one integer."""
    a, b, c, d = (int(part) for part in host.split("."))
    return (a << 24 | b << 16 | c << 8 | d) << 16 | port


def address_text(address: int) -> str:
    """Return `host:port` of a packed address."""
    a = address >> 16
    return f"{a >> 24}.{a >> 16 & 255}.{a >> 8 & 255}.{a & 255}:{address & 0xFFFF}"


@dataclass(slots=True)
class ServerListUpdate:
    """A whole server list or the changed entries, and the packed address of each server by id."""

    change: api.FleetChanged
    addresses: dict[int, int]
    skipped: int = 0  # number of entries that could not be parsed


def read_server_list(
    raw: bytes | dict[str, Any], settings: api.Settings, cached: bool = False
) -> ServerListUpdate:
    """Parse an answer of discovery; entries that cannot be parsed are skipped and counted.

    :param cached: whether the list comes from the configuration instead of discovery
    :raises MalformedMessage: if the message or all of its entries cannot be parsed
    """
    try:
        tree = orjson.loads(raw) if isinstance(raw, bytes) else raw
        version, is_complete, items = int(tree["generation"]), bool(tree["reset"]), list(tree["instances"])
    except (ValueError, KeyError, TypeError) as err:
        raise MalformedMessage(f"unreadable server list: {type(err).__name__}: {err}") from None
    kind = api.FleetKind.FULL if is_complete else api.FleetKind.DELTA
    update = ServerListUpdate(api.FleetChanged(api.FleetKind.CACHED if cached else kind, version), {})
    for item in items:
        try:
            entry, address = _read_entry(item, settings)
        except (ValueError, KeyError, TypeError, AttributeError):
            update.skipped += 1
            continue
        update.change.entries.append(entry)
        if address:
            update.addresses[entry.worker] = address
    if items and not update.change.entries:
        # Accepting this as a whole list would remove every server.
        raise MalformedMessage("no entry of the server list can be parsed")
    return update


def _index_or_unknown(name: object, names: tuple[str, ...]) -> int:
    return names.index(str(name)) if name in names else len(names)


def _read_entry(item: dict[str, Any], settings: api.Settings) -> tuple[api.WorkerEntry, int]:
    state = _STATES[item["lifecycle"]]
    address = 0
    if state != api.WorkerState.REMOVED or "hostPort" in item:
        host, _, port = str(item["hostPort"]).rpartition(":")
        address = pack_address(host, int(port))
        if not 0 < address & 0xFFFF == int(port) or address >> 48:
            raise ValueError("address out of range")
    weight = float(item.get("weight", 1.0))
    entry = api.WorkerEntry(
        server_id(str(item["instanceId"])),
        state,
        _index_or_unknown(item.get("zone"), settings.zones),
        int(item.get("cell") or 0),
        _index_or_unknown(item.get("machineType"), settings.worker_kinds),
        weight if math.isfinite(weight) and weight > 0 else 1.0,
        max(0, int(item.get("startedAtMs") or 0)) * 1000,
    )
    return entry, address
