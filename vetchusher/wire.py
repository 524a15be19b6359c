"""Codec of the copper-5fc0 wire: frames, records, settings.  Translation only."""

from __future__ import annotations

import json
import struct
from typing import Any

from . import interface as api

HEADER = struct.Struct("<IIQ")
REPLY = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY_SIZE = 24

_WHO = struct.Struct("<BI")
_CREATE = struct.Struct("<BIQII")
_FLEET = struct.Struct("<BIBIII")
_ENTRY = struct.Struct("<BfIHQHHB")
_KNOCK = struct.Struct("<BIQHHQIfffB")
_FIRST = struct.Struct("<BIQBIIH")
_CLOSED = struct.Struct("<BIQBIHHIBHHB4f")
_ABORTED = struct.Struct("<BIQ")
_PONG = struct.Struct("<BIIHIHB4f")
_HEARD = struct.Struct("<BIIII")
_TOTAL = struct.Struct("<BIIQHf")

_TRY = struct.Struct("<BIQIHI1x")
_NOT_NOW = struct.Struct("<BIQI7x")
_FAILURE = struct.Struct("<BIQ11x")
_DROP = struct.Struct("<BIQB10x")
_AFTER = struct.Struct("<BIIQ7x")
_TEXT = struct.Struct("<BIII11x")
_ADD = struct.Struct("<BIQfI3x")
_STREAM = struct.Struct("<BIB18x")
_SAY = struct.Struct("<BIIII7x")
_FETCH = struct.Struct("<BI19x")

CREATE, HALT = 10, 100
MAX_DELAY = 71 * 60 * 1_000_000
MAX_U32 = 0xFFFFFFFF

_EFFECTS = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
_SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
_LOADS = {"outstanding": "inflight", "backlog": "queue", "utilization": "busy"}
_OUTCOMES = frozenset(int(o) for o in api.Outcome)


class WireError(Exception):
    """What arrived cannot be read; the text is one plain line."""


def _slice(tail: memoryview, start: int, length: int) -> bytes:
    if start + length > len(tail):
        raise WireError(f"tail item at {start}+{length} runs past a tail of {len(tail)} bytes")
    return bytes(tail[start : start + length])


def _outcome(code: int) -> int:
    if code not in _OUTCOMES:
        raise WireError(f"unknown outcome {code}")
    return code


def read_settings(raw: bytes) -> api.Settings:
    """Settings from the wire's JSON text; unknown keys are skipped."""
    try:
        tree = json.loads(raw)
        return _settings(tree)
    except WireError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as err:
        raise WireError(f"unusable settings: {type(err).__name__}: {err}") from None


def _settings(tree: dict[str, Any]) -> api.Settings:
    rules, limits, extra = tree.get("invariants", {}), tree.get("limits", {}), tree.get("extra", {})
    stats = tree.get("stats", {})
    classes = tuple(
        api.RequestClass(
            effect=_EFFECTS[c["effect"]],
            scope=_SCOPES[c.get("key_scope") or "all"],
            aim=int(c["aim"]),
            deadline=int(c["hard_limit"]),
            repeat_window=int(c.get("repeat_window") or 0),
            worth=float(c.get("credit", 1.0)),
            late_share=float(c.get("late_share", 0.0)),
            stream=bool(c.get("stream", False)),
            name=str(c.get("name", "")),
        )
        for c in tree["classes"]
    )
    plans = tuple(
        api.Plan(
            rate=float(p.get("units_per_s") or 0.0),
            burst=float(p.get("depth") or 0.0),
            open_limit=int(p.get("concurrency") or 0),
            price=float(p.get("price", 1.0)),
            over_worth=float(p.get("beyond_earns") or 0.0),
            over_cost=float(p.get("over_cost") or 0.0),
            ceiling_rate=float(p.get("hard_rate") or 0.0),
            ceiling_burst=float(p.get("ceiling_burst") or 0.0),
            ceiling_slack=float(p.get("ceiling_slack") or 0.0),
            name=str(p.get("name", "")),
        )
        for p in tree.get("contracts", ())
    )
    gateways = int(tree["balancers"])
    if not classes or gateways < 1:
        raise WireError("unusable settings: no classes or no balancers")
    return api.Settings(
        index=int(tree.get("my_number", 0)),
        gateways=gateways,
        zone=int(tree.get("az", 0)),
        classes=classes,
        plans=plans,
        load_fields=tuple(_LOADS.get(f, f) for f in stats.get("fields", ())),
        subscribe=tree.get("registry_mode", "automatic") == "subscribe",
        counter=bool(extra.get("counter", False)),
        counter_timeout=int(extra.get("count_limit") or 50_000),
        post_paid=bool(extra.get("post_paid", False)),
        most_units=float(extra.get("units_top") or 1.0),
        max_attempts=int(limits.get("most_tries", 1)),
        may_duplicate=bool(limits.get("may_duplicate", False)),
        may_cancel=bool(limits.get("cancelling", False)),
        retry_after=bool(limits.get("retry_after", False)),
        max_retry_after=int(limits.get("max_retry_after") or 0),
        cold_from=float(rules.get("cold_from", 1.0)),
        cold_time=int(rules.get("cold") or 0),
        fall_multiple=float(rules.get("fall_multiple", 1.0)),
        fall_time=int(rules.get("tip_after") or 1_000_000),
        ask_within=int(rules.get("ask_within") or 10_000_000),
        connection_idle=int(limits.get("conn_idle") or 15_000_000),
        tick=int(tree.get("granularity") or 1_000),
        connect_limit=int(limits.get("connect_timeout") or 250_000),
        open_cap=int(limits.get("open_cap") or 20_000),
        peers=bool(limits.get("peers", False)),
        peer_in_per_s=float(extra.get("inbox_per_s") or 0.0),
        zones=tuple(str(z) for z in tree.get("failure_domains", ())),
        kinds=tuple(str(k) for k in tree.get("kinds", ())),
    )


def _entries(tail: memoryview, start: int, count: int) -> list[api.WorkerEntry]:
    if start + count * ENTRY_SIZE > len(tail):
        raise WireError(f"{count} list entries at {start} run past a tail of {len(tail)} bytes")
    out = []
    for i in range(count):
        zone, size, addr, port, started, cell, kind, state = _ENTRY.unpack_from(tail, start + i * ENTRY_SIZE)
        if state > 2:
            raise WireError(f"unknown worker state {state}")
        out.append(
            api.WorkerEntry(addr << 16 | port, api.WorkerState(state), zone, cell, kind, size, started)
        )
    return out


def read_event(body: memoryview, at: int, tail: memoryview) -> tuple[int, int, Any]:
    """One record: its code, its instance and the event (for a start: seed and settings text)."""
    code = body[at]
    event: Any
    if code == 30:
        _, who, rid, cls, plan, caller, left, units, doors, first, opts = _KNOCK.unpack_from(body, at)
        event = api.RequestArrived(rid, cls, plan, caller, left, units, doors, first, opts)
    elif code == 50:
        rec = _CLOSED.unpack_from(body, at)
        _, who, rid, hop, addr, port, how, latency, done, used, settled, n = rec[:12]
        if n > 4:
            raise WireError(f"load report of {n} values")
        event = api.AttemptEnded(
            rid, hop, addr << 16 | port, _outcome(how), latency, bool(done), settled, used, rec[12 : 12 + n]
        )
    elif code == 70:
        _, who, token = _ABORTED.unpack_from(body, at)
        event = api.TimerFired(token)
    elif code == 110:
        _, who, latency, name, how, value = _TOTAL.unpack_from(body, at)
        event = api.CounterAnswered(name, _outcome(how), latency, value)
    elif code == 60:
        _, who, rid = _ABORTED.unpack_from(body, at)
        event = api.ClientGone(rid)
    elif code == 20:
        _, who, kind, version, start, count = _FLEET.unpack_from(body, at)
        if kind > 3:
            raise WireError(f"unknown fleet kind {kind}")
        event = api.FleetChanged(api.FleetKind(kind), version, _entries(tail, start, count))
    elif code == 40:
        _, who, rid, hop, latency, addr, port = _FIRST.unpack_from(body, at)
        event = api.AnswerBegan(rid, hop, addr << 16 | port, latency)
    elif code == CREATE:
        _, who, seed, start, length = _CREATE.unpack_from(body, at)
        event = (seed, _slice(tail, start, length))
    elif code == HALT:
        _, who = _WHO.unpack_from(body, at)
        event = None
    elif code == 80:
        rec = _PONG.unpack_from(body, at)
        _, who, addr, port, latency, how, n = rec[:7]
        event = api.ProbeEnded(addr << 16 | port, _outcome(how), latency, rec[7 : 7 + min(n, 4)])
    elif code == 90:
        _, who, sender, start, length = _HEARD.unpack_from(body, at)
        event = api.PeerMessage(sender, _slice(tail, start, length))
    else:
        raise WireError(f"unknown event code {code}")
    return code, who, event


def read_batch(count: int, body: bytes) -> list[tuple[int, int, Any]]:
    """All records of a frame body, in order."""
    size = count * EVENT_SIZE
    if size > len(body):
        raise WireError(f"{count} records need {size} bytes, the frame has {len(body)}")
    view = memoryview(body)
    tail = view[size:]
    return [read_event(view, at, tail) for at in range(0, size, EVENT_SIZE)]


class ReplyWriter:
    """Collects the action records of one reply and their shared tail."""

    __slots__ = ("records", "tail")

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _text(self, code: int, who: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.records.append(_TEXT.pack(code, who, len(self.tail), len(data)))
        self.tail += data

    def fault(self, who: int, text: str) -> None:
        self._text(100, who, text)

    def add(self, who: int, action: Any) -> None:
        kind = type(action)
        if kind is api.Send:
            wait = min(action.timeout, MAX_U32)
            worker = action.worker
            self.records.append(_TRY.pack(10, who, action.request, worker >> 16, worker & 0xFFFF, wait))
        elif kind is api.SetTimer:
            self.records.append(_AFTER.pack(50, who, min(action.delay, MAX_DELAY), action.token))
        elif kind is api.Refuse:
            self.records.append(_NOT_NOW.pack(20, who, action.request, min(action.retry_after, MAX_U32)))
        elif kind is api.Count:
            self.records.append(_ADD.pack(130, who, action.name, action.amount, action.lifetime))
        elif kind is api.Fail:
            self.records.append(_FAILURE.pack(30, who, action.request))
        elif kind is api.Cancel:
            self.records.append(_DROP.pack(40, who, action.request, action.attempt))
        elif kind is api.Log:
            self._text(90, who, action.text)
        elif kind is api.SubscribeFleet:
            self.records.append(_STREAM.pack(110, who, 1 if action.on else 0))
        elif kind is api.Say:
            peer = MAX_U32 if action.peer is None else action.peer
            self.records.append(_SAY.pack(80, who, peer, len(self.tail), len(action.data)))
            self.tail += action.data
        elif kind is api.FetchFleet:
            self.records.append(_FETCH.pack(120, who))
        else:
            raise TypeError(f"unknown action {kind.__name__}")

    def frame(self) -> bytes:
        body = b"".join(self.records)
        return REPLY.pack(len(body) + len(self.tail), len(self.records)) + body + bytes(self.tail)
