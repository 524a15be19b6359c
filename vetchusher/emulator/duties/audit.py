"""Judges from outside: the logs of all processes and what a sink took, against what may never be."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Holding:
    """One process held one duty from `begins` to `ends` (ns of the machine's monotonic clock)."""

    duty: str
    who: tuple[int, int]  # number, and which process of the run
    token: int
    begins: int
    ends: int
    reason: str = ""


def holdings(lines: Iterable[tuple[int, int, str]]) -> list[Holding]:
    """From the log lines `duty taken`, `duty renewed` and `duty left`; each process's own in their order."""
    held: dict[tuple[str, int, int], Holding] = {}
    done: list[Holding] = []
    for number, start, text in lines:
        if not text.startswith("{"):
            continue
        line = json.loads(text)
        what = str(line.get("event", ""))
        if not what.startswith("duty "):
            continue
        key = (str(line["duty"]), number, start)
        if what == "duty taken":
            holding = Holding(key[0], (number, start), line["token"], line["at_ns"], line["until_ns"])
            held[key] = holding
            done.append(holding)
        elif key in held and line["token"] == held[key].token:
            if what == "duty renewed":
                held[key].ends = max(held[key].ends, line["until_ns"])
            elif what == "duty left":
                # It may have noticed late; it was not allowed to act beyond the end it had told.
                held[key].ends = min(held[key].ends, line["at_ns"])
                held.pop(key).reason = line["reason"]
    return done


def wrong(found: list[Holding], taken: list[tuple[int, int]] | None = None) -> list[str]:
    """What should never be seen.

    :param taken: period and token of each record that a sink took, in their order
    """
    faults = []
    for duty in sorted({h.duty for h in found}):
        own = sorted((h for h in found if h.duty == duty), key=lambda h: h.begins)
        for before, after in itertools.pairwise(own):
            if after.token <= before.token:
                faults.append(
                    f"{duty}: token {after.token} of {after.who} after {before.token} of {before.who}"
                )
        latest = None
        for holding in own:
            if latest is not None and holding.begins < latest.ends and holding.ends > holding.begins:
                overlap = (latest.ends - holding.begins) / 1e6
                faults.append(f"{duty}: {latest.who} and {holding.who} both held for {overlap:.1f} ms")
            if latest is None or holding.ends > latest.ends:
                latest = holding
    for (period, token), (next_period, next_token) in zip(taken or [], (taken or [])[1:], strict=False):
        if next_token < token:
            faults.append(f"sink: token {next_token} was taken after {token}")
        if next_period <= period:
            faults.append(f"sink: period {next_period} was taken after {period}")
    return faults


def gaps(found: list[Holding], duty: str) -> list[tuple[int, int]]:
    """Times without a holder: since when (ns) and how long (ns)."""
    own = sorted((h for h in found if h.duty == duty), key=lambda h: h.begins)
    free, until = [], own[0].ends if own else 0
    for holding in own[1:]:
        if holding.begins > until:
            free.append((until, holding.begins - until))
        until = max(until, holding.ends)
    return free
