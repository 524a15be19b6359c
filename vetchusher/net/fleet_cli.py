"""The commands `vetchusher fleet ...`: call the console of one load balancer and show its answer."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import aiohttp
import orjson

from .config import read_address

CALL_TIMEOUT_S = 3.0
WATCH_INTERVAL_S = 1.0
LIST_KEYS = ("duties", "members")
EXIT_REFUSED = 3  # exit code if the console refused the call


async def call(address: str, method: str, path: str, body: object = None) -> tuple[int, bytes]:
    """Make one call and return the status and body of the answer.

    :raises aiohttp.ClientError, OSError, TimeoutError: if there is no answer within `CALL_TIMEOUT_S`
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    data = orjson.dumps(body) if body is not None else None
    async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
        async with session.request(method, f"http://{address}{path}", data=data) as response:
            return response.status, await response.read()


def requested_call(arguments: dict[str, Any]) -> tuple[str, str, object]:
    """Return method, path and body of the call that the arguments ask for.

    :raises ValueError: if an argument is invalid
    """
    if arguments["duties"]:
        return "GET", "/api/duties", None
    if arguments.get("members"):
        return "GET", "/api/members", None
    if arguments["report"]:
        return "GET", "/api/report", None
    if arguments["move"]:
        if not str(arguments["NUMBER"]).isdigit():
            raise ValueError(f"not the number of an ingress: {arguments['NUMBER']!r}")
        return "PUT", "/api/duties/move", {"name": arguments["DUTY"], "to": int(arguments["NUMBER"])}
    return "PUT", "/api/duties/free", {"free": bool(arguments["on"])}


def rows_of(answer: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the rows to show: one per role or member, or the answer itself."""
    return list(next((answer[name] for name in LIST_KEYS if name in answer), [answer]))


def summary_of(answer: dict[str, Any]) -> str:
    """Return the fields of the answer that hold for all rows, as one line."""
    return "  ".join(f"{k} {v}" for k, v in answer.items() if k not in LIST_KEYS and v not in ("", False, {}))


def show(answer: dict[str, Any]) -> None:
    """Print the answer: a table on a terminal, JSON Lines otherwise."""
    rows = rows_of(answer)
    if not sys.stdout.isatty():
        for row in rows:
            print(orjson.dumps(row).decode())
        return
    try:  # optional, because the logging library loads it at every start if it is installed
        from rich.console import Console
        from rich.table import Table
    except ImportError:
        for row in rows:
            print("  ".join(f"{name} {value}" for name, value in row.items()))
        return

    table = Table(*rows[0])
    for row in rows:
        table.add_row(*("" if value in (None, []) else str(value) for value in row.values()))
    Console().print(table)
    if len(rows) > 1 or rows[0] is not answer:
        Console().print(summary_of(answer))


def fleet_command(arguments: dict[str, Any]) -> int:
    """Run one `fleet` command, repeatedly with `--watch`; return the exit code."""
    exit_code = fleet_call(arguments)
    while arguments.get("--watch") and not exit_code:
        time.sleep(WATCH_INTERVAL_S)
        exit_code = fleet_call(arguments)
    return exit_code


def fleet_call(arguments: dict[str, Any]) -> int:
    """Make one call and show the answer; return the exit code.

    :returns: 0, 1 without an answer, 2 for invalid arguments, `EXIT_REFUSED` for a refusal
    """
    try:
        read_address(arguments["--console"])
        method, path, body = requested_call(arguments)
        status, raw = asyncio.run(call(arguments["--console"], method, path, body))
    except ValueError as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except (aiohttp.ClientError, OSError, TimeoutError) as err:
        print(f"vetchusher: {arguments['--console']} does not answer: {type(err).__name__}", file=sys.stderr)
        return 1
    if status != 200:
        print(f"vetchusher: {raw.decode(errors='replace').strip()}", file=sys.stderr)
        return EXIT_REFUSED
    if method == "GET":
        show(orjson.loads(raw))
    return 0
