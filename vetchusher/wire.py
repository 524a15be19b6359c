"""Codec of the copper-5fc0 binary protocol, by which a simulator drives gateways: frames, records, settings.

A frame holds records of a fixed size, and a tail with their texts, lists and datagrams.  All numbers are
little-endian.  This module only translates between the records and the types of `interface`.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from typing import Any

from . import interface as api
from .fields import FieldError, Fields

HEADER = struct.Struct("<IIQ")  # of a batch: body length in bytes, number of records, time (us)
REPLY = struct.Struct("<II")  # header of a reply: body length in bytes, number of records
EVENT_SIZE = 48  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record
ENTRY_SIZE = 24  # bytes of a worker in a fleet list

# Event records: each starts with its code and the instance that it is for.
_END = struct.Struct("<BI")
_CREATE = struct.Struct("<BIQII")
_FLEET = struct.Struct("<BIBIII")
_FLEET_ENTRY = struct.Struct("<BfIHQHHB")
_REQUEST_ARRIVED = struct.Struct("<BIQHHQIfffB")
_RESPONSE_STARTED = struct.Struct("<BIQBIIH")
_ATTEMPT_ENDED = struct.Struct("<BIQBIHHIBHHB4f")
_ID_EVENT = struct.Struct("<BIQ")  # an event with one id: a request or a timer's token
_PROBE_ENDED = struct.Struct("<BIIHIHB4f")
_PEER_MESSAGE = struct.Struct("<BIIII")
_COUNTER_ANSWERED = struct.Struct("<BIIQHf")

# Action records: each starts with its code and the instance that it is from.
_SEND = struct.Struct("<BIQIHI1x")
_REFUSE = struct.Struct("<BIQI7x")
_FAIL = struct.Struct("<BIQ11x")
_CANCEL = struct.Struct("<BIQB10x")
_SET_TIMER = struct.Struct("<BIIQ7x")
_TEXT = struct.Struct("<BIII11x")  # a log line or a fault
_COUNT = struct.Struct("<BIQfI3x")
_SUBSCRIBE_FLEET = struct.Struct("<BIB18x")
_DATAGRAM = struct.Struct("<BIIII7x")
_FETCH_FLEET = struct.Struct("<BI19x")

CREATE_INSTANCE, END_INSTANCE = 10, 100  # event codes
MAX_DELAY_US = 71 * 60 * 1_000_000  # the longest that 32 bits hold, in whole minutes
MAX_U32 = 0xFFFFFFFF

_EFFECTS = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
_SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
_LOAD_FIELDS = {"outstanding": "inflight", "backlog": "queue", "utilization": "busy"}
_OUTCOMES = frozenset(int(o) for o in api.Outcome)


class WireError(Exception):
    """A frame or the settings cannot be read; the text is one line that says why."""


def _slice(tail: memoryview, start: int, length: int) -> bytes:
    if start + length > len(tail):
        raise WireError(f"tail item at {start}+{length} runs past a tail of {len(tail)} bytes")
    return bytes(tail[start : start + length])


def _check_outcome(code: int) -> int:
    if code not in _OUTCOMES:
        raise WireError(f"unknown outcome {code}")
    return code


def read_settings(raw: bytes) -> api.Settings:
    """Read settings from the protocol's JSON text; unknown keys are ignored.

    :raises WireError: names the place of the first field that cannot be used
    """
    try:
        tree = json.loads(raw)
    except (ValueError, RecursionError) as err:
        raise WireError(f"unusable settings: {' '.join(str(err).split())}") from None
    try:
        return _read_settings_tree(Fields(tree, "settings"))
    except FieldError as err:
        raise WireError(str(err)) from None


def _read_class(fields: Fields) -> api.RequestClass:
    return api.RequestClass(
        effect=fields.choice("effect", _EFFECTS),
        scope=fields.choice("key_scope", _SCOPES, "all"),
        target=fields.integer("aim", minimum=1),
        deadline=fields.integer("hard_limit", minimum=1),
        key_lifetime=fields.integer("repeat_window", 0),
        value=fields.number("credit", 1.0),
        late_value_ratio=fields.number("late_share", 0.0),
        stream=fields.flag("stream"),
        name=fields.text("name"),
    )


def _read_plan(fields: Fields) -> api.Plan:
    plan = api.Plan(
        rate=fields.number("units_per_s", 0.0),
        burst=fields.number("depth", 0.0),
        open_limit=fields.integer("concurrency", 0),
        price=fields.number("price", 1.0),
        over_value=fields.number("beyond_earns", 0.0),
        over_cost=fields.number("over_cost", 0.0),
        hard_rate=fields.number("hard_rate", 0.0),
        hard_burst=fields.number("ceiling_burst", 0.0),
        hard_slack=fields.number("ceiling_slack", 0.0),
        name=fields.text("name"),
    )
    if plan.rate > 0.0 and plan.burst <= 0.0:
        # Its window would have no length, and every weighting of counts would divide by zero.
        raise fields.error("depth", "a plan with a rate needs a store that holds something")
    return plan


def _read_settings_tree(tree: Fields) -> api.Settings:
    classes = tuple(_read_class(c) for c in tree.objects("classes", required=True))
    if not classes:
        raise tree.error("classes", "there are none")
    plans = tuple(_read_plan(p) for p in tree.objects("contracts"))
    for key, names in (("classes", [c.name for c in classes]), ("contracts", [p.name for p in plans])):
        if duplicate := next((n for n in names if n and names.count(n) > 1), None):
            raise tree.error(key, f"{duplicate!r} stands there twice")
    return _build_settings(tree, classes, plans)


def _build_settings(
    tree: Fields, classes: tuple[api.RequestClass, ...], plans: tuple[api.Plan, ...]
) -> api.Settings:
    invariants, limits, extra = tree.object("invariants"), tree.object("limits"), tree.object("extra")
    gateways = tree.integer("balancers", minimum=1, maximum=1e6)
    return api.Settings(
        index=tree.integer("my_number", 0, maximum=gateways - 1),
        gateways=gateways,
        zone=tree.integer("az", 0),
        classes=classes,
        plans=plans,
        load_fields=tuple(_LOAD_FIELDS.get(f, f) for f in tree.object("stats").texts("fields")),
        subscribe=tree.text("registry_mode", "automatic") == "subscribe",
        counter=extra.flag("counter"),
        counter_timeout=extra.positive("count_limit", 50_000),
        post_paid=extra.flag("post_paid"),
        max_units=extra.number("units_top", 1.0) or 1.0,
        max_attempts=limits.integer("most_tries", 1),
        may_duplicate=limits.flag("may_duplicate"),
        may_cancel=limits.flag("cancelling"),
        retry_after=limits.flag("retry_after"),
        max_retry_after=limits.integer("max_retry_after", 0),
        cold_capacity_ratio=invariants.number("cold_from", 1.0, maximum=1.0, exclusive=True),
        warm_up_time=invariants.integer("cold", 0),
        overload_multiple=invariants.number("fall_multiple", 1.0, exclusive=True),
        overload_window=invariants.positive("tip_after", 1_000_000),
        resubscribe_within=invariants.positive("ask_within", 10_000_000),
        idle_timeout=limits.positive("conn_idle", 15_000_000),
        tick=tree.positive("granularity", 1_000),
        connect_timeout=limits.positive("connect_timeout", 250_000),
        max_open_requests=limits.positive("open_cap", 20_000),
        peers=limits.flag("peers"),
        peer_datagrams_per_s=extra.number("inbox_per_s", 0.0),
        zones=tree.texts("failure_domains"),
        worker_kinds=tree.texts("kinds"),
    )


def _read_entries(tail: memoryview, start: int, count: int) -> list[api.WorkerEntry]:
    if start + count * ENTRY_SIZE > len(tail):
        raise WireError(f"{count} list entries at {start} run past a tail of {len(tail)} bytes")
    entries = []
    for i in range(count):
        zone, size, ip, port, started, cell, kind, state = _FLEET_ENTRY.unpack_from(
            tail, start + i * ENTRY_SIZE
        )
        if state > 2:
            raise WireError(f"unknown worker state {state}")
        entries.append(
            api.WorkerEntry(ip << 16 | port, api.WorkerState(state), zone, cell, kind, size, started)
        )
    return entries


InstanceEvent = tuple[int, Any]  # the instance, and the event for it


def _read_create(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, seed, start, length = _CREATE.unpack_from(body, offset)
    return instance, (seed, _slice(tail, start, length))


def _read_end(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance = _END.unpack_from(body, offset)
    return instance, None


def _read_fleet(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, kind, version, start, count = _FLEET.unpack_from(body, offset)
    if kind > 3:
        raise WireError(f"unknown fleet kind {kind}")
    return instance, api.FleetChanged(api.FleetKind(kind), version, _read_entries(tail, start, count))


def _read_request_arrived(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, request, class_id, plan_id, customer, remaining_us, units, gateways, first, flags = (
        _REQUEST_ARRIVED.unpack_from(body, offset)
    )
    return instance, api.RequestArrived(
        request, class_id, plan_id, customer, remaining_us, units, gateways, first, flags
    )


def _read_response_started(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, request, attempt, latency, ip, port = _RESPONSE_STARTED.unpack_from(body, offset)
    return instance, api.ResponseStarted(request, attempt, ip << 16 | port, latency)


def _read_attempt_ended(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    record = _ATTEMPT_ENDED.unpack_from(body, offset)
    _, instance, request, attempt, ip, port, outcome, latency, ended, metered, final, loads = record[:12]
    if loads > 4:
        raise WireError(f"load report of {loads} values")
    worker, report = ip << 16 | port, record[12 : 12 + loads]
    return instance, api.AttemptEnded(
        request, attempt, worker, _check_outcome(outcome), latency, bool(ended), final, metered, report
    )


def _read_client_disconnected(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, request = _ID_EVENT.unpack_from(body, offset)
    return instance, api.ClientDisconnected(request)


def _read_timer(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, token = _ID_EVENT.unpack_from(body, offset)
    return instance, api.TimerFired(token)


def _read_probe_ended(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    record = _PROBE_ENDED.unpack_from(body, offset)
    _, instance, ip, port, latency, outcome, load_count = record[:7]
    return instance, api.ProbeEnded(
        ip << 16 | port, _check_outcome(outcome), latency, record[7 : 7 + min(load_count, 4)]
    )


def _read_peer_message(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, sender, start, length = _PEER_MESSAGE.unpack_from(body, offset)
    return instance, api.PeerMessage(sender, _slice(tail, start, length))


def _read_counter_answered(body: memoryview, offset: int, tail: memoryview) -> InstanceEvent:
    _, instance, latency, name, outcome, value = _COUNTER_ANSWERED.unpack_from(body, offset)
    return instance, api.CounterAnswered(name, _check_outcome(outcome), latency, value)


_READERS: dict[int, Callable[[memoryview, int, memoryview], InstanceEvent]] = {
    CREATE_INSTANCE: _read_create,
    20: _read_fleet,
    30: _read_request_arrived,
    40: _read_response_started,
    50: _read_attempt_ended,
    60: _read_client_disconnected,
    70: _read_timer,
    80: _read_probe_ended,
    90: _read_peer_message,
    END_INSTANCE: _read_end,
    110: _read_counter_answered,
}


def read_event(body: memoryview, offset: int, tail: memoryview) -> tuple[int, int, Any]:
    """Read the record at an offset of a frame body.

    :return: its code, its instance and the event; for a new instance, the event is its seed and settings text
    :raises WireError: if the code or a value is unknown, or a tail item runs past the tail
    """
    code = body[offset]
    reader = _READERS.get(code)
    if reader is None:
        raise WireError(f"unknown event code {code}")
    instance, event = reader(body, offset, tail)
    return code, instance, event


def read_batch(count: int, body: bytes) -> list[tuple[int, int, Any]]:
    """Read all records of a frame body, in order.

    :raises WireError: if the body is too short, or a record cannot be read
    """
    size = count * EVENT_SIZE
    if size > len(body):
        raise WireError(f"{count} records need {size} bytes, the frame has {len(body)}")
    view = memoryview(body)
    tail = view[size:]
    return [read_event(view, offset, tail) for offset in range(0, size, EVENT_SIZE)]


def _action_record(instance: int, action: Any) -> bytes:
    """Return the record of an action without a tail item; the most frequent ones are tested first."""
    kind = type(action)
    if kind is api.Send:
        wait = min(action.timeout, MAX_U32)
        worker = action.worker
        return _SEND.pack(10, instance, action.request, worker >> 16, worker & 0xFFFF, wait)
    if kind is api.SetTimer:
        return _SET_TIMER.pack(50, instance, min(action.delay, MAX_DELAY_US), action.token)
    if kind is api.Refuse:
        return _REFUSE.pack(20, instance, action.request, min(action.retry_after, MAX_U32))
    if kind is api.Count:
        return _COUNT.pack(130, instance, action.name, action.amount, action.lifetime)
    if kind is api.Fail:
        return _FAIL.pack(30, instance, action.request)
    if kind is api.Cancel:
        return _CANCEL.pack(40, instance, action.request, action.attempt)
    if kind is api.SubscribeFleet:
        return _SUBSCRIBE_FLEET.pack(110, instance, 1 if action.on else 0)
    if kind is api.FetchFleet:
        return _FETCH_FLEET.pack(120, instance)
    raise TypeError(f"unknown action {kind.__name__}")


class ReplyWriter:
    """Collects the action records of one reply and their shared tail."""

    __slots__ = ("records", "tail")

    def __init__(self) -> None:
        """Start an empty reply."""
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _add_text(self, code: int, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.records.append(_TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def add_fault(self, instance: int, text: str) -> None:
        """Append a fault of an instance, with its text in the tail."""
        self._add_text(100, instance, text)

    def add(self, instance: int, action: Any) -> None:
        """Append an action's record, and its text or datagram to the tail.

        :raises TypeError: for an action that the protocol does not know
        """
        kind = type(action)
        if kind is api.Log:
            self._add_text(90, instance, action.text)
        elif kind is api.SendDatagram:
            peer = MAX_U32 if action.peer is None else action.peer
            self.records.append(_DATAGRAM.pack(80, instance, peer, len(self.tail), len(action.data)))
            self.tail += action.data
        else:
            self.records.append(_action_record(instance, action))

    def frame(self) -> bytes:
        """Return the whole reply frame."""
        body = b"".join(self.records)
        return REPLY.pack(len(body) + len(self.tail), len(self.records)) + body + bytes(self.tail)
