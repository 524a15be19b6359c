"""Check that singleton roles are exclusive, by the logs of all processes and the sink's reports."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Holding:
    """A term: one process held one role for some time, in ns of the machine's monotonic clock."""

    duty: str
    process: tuple[int, int]  # number, and start number of the process in the run
    token: int
    starts_at: int
    ends_at: int
    reason: str = ""


def holdings(lines: Iterable[tuple[int, int, str]]) -> list[Holding]:
    """Return the terms from the log lines `duty taken`, `duty renewed` and `duty left`.

    :param lines: number, start_number number and text; those of one process in their order
    """
    current: dict[tuple[str, int, int], Holding] = {}
    terms: list[Holding] = []
    for number, start_number, text in lines:
        if not text.startswith("{"):
            continue
        line = json.loads(text)
        event = str(line.get("event", ""))
        if not event.startswith("duty "):
            continue
        key = (str(line["duty"]), number, start_number)
        if event == "duty taken":
            term = Holding(key[0], (number, start_number), line["token"], line["at_ns"], line["until_ns"])
            current[key] = term
            terms.append(term)
        elif key in current and line["token"] == current[key].token:
            if event == "duty renewed":
                current[key].ends_at = max(current[key].ends_at, line["until_ns"])
            elif event == "duty left":
                # The process may notice the end late, but must not act after the end it logged before.
                current[key].ends_at = min(current[key].ends_at, line["at_ns"])
                current.pop(key).reason = line["reason"]
    return terms


def wrong(terms: list[Holding], accepted_reports: list[tuple[int, int]] | None = None) -> list[str]:
    """Return one line for each overlap of terms, and each token or period out of order.

    :param taken: period and token of each report that the sink accepted, in their order
    """
    faults = []
    for duty in sorted({h.duty for h in terms}):
        terms_of_role = sorted((h for h in terms if h.duty == duty), key=lambda h: h.starts_at)
        for before, after in itertools.pairwise(terms_of_role):
            if after.token <= before.token:
                faults.append(
                    f"{duty}: token {after.token} of {after.process} after {before.token} of {before.process}"
                )
        latest = None
        for term in terms_of_role:
            if latest is not None and term.starts_at < latest.ends_at and term.ends_at > term.starts_at:
                overlap = (latest.ends_at - term.starts_at) / 1e6
                faults.append(f"{duty}: {latest.process} and {term.process} both held for {overlap:.1f} ms")
            if latest is None or term.ends_at > latest.ends_at:
                latest = term
    for (period, token), (next_period, next_token) in zip(
        accepted_reports or [], (accepted_reports or [])[1:], strict=False
    ):
        if next_token < token:
            faults.append(f"sink: token {next_token} was taken after {token}")
        if next_period <= period:
            faults.append(f"sink: period {next_period} was taken after {period}")
    return faults


def gaps(terms: list[Holding], role: str) -> list[tuple[int, int]]:
    """Return the times without a holder: since when and for how long, in ns."""
    terms_of_role = sorted((h for h in terms if h.duty == role), key=lambda h: h.starts_at)
    free, held_until = [], terms_of_role[0].ends_at if terms_of_role else 0
    for term in terms_of_role[1:]:
        if term.starts_at > held_until:
            free.append((held_until, term.starts_at - held_until))
        held_until = max(held_until, term.ends_at)
    return free
