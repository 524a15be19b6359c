"""`vetchusher fleet ...`: asks the second address of one ingress and shows what it says."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import aiohttp
import orjson

from .config import read_address

WAIT_S = 3.0
WATCH_S = 1.0
LISTS = ("duties", "members")
REFUSED = 3  # code of a call that the ingress answered with no


async def call(address: str, method: str, path: str, body: object = None) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=WAIT_S)
    data = orjson.dumps(body) if body is not None else None
    async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
        async with session.request(method, f"http://{address}{path}", data=data) as response:
            return response.status, await response.read()


def asked(given: dict[str, Any]) -> tuple[str, str, object]:
    """Method, path and body of the call that the arguments ask for; raises ValueError."""
    if given["duties"]:
        return "GET", "/api/duties", None
    if given.get("members"):
        return "GET", "/api/members", None
    if given["report"]:
        return "GET", "/api/report", None
    if given["move"]:
        if not str(given["NUMBER"]).isdigit():
            raise ValueError(f"not the number of an ingress: {given['NUMBER']!r}")
        return "PUT", "/api/duties/move", {"name": given["DUTY"], "to": int(given["NUMBER"])}
    return "PUT", "/api/duties/free", {"free": bool(given["on"])}


def rows_of(tree: dict[str, Any]) -> list[dict[str, Any]]:
    """The lines to show: duties or members one a line, anything else as it is."""
    return list(next((tree[name] for name in LISTS if name in tree), [tree]))


def summary_of(tree: dict[str, Any]) -> str:
    """What holds for all of the lines."""
    return "  ".join(f"{k} {v}" for k, v in tree.items() if k not in LISTS and v not in ("", False, {}))


def show(tree: dict[str, Any]) -> None:
    rows = rows_of(tree)
    if not sys.stdout.isatty():
        for row in rows:
            print(orjson.dumps(row).decode())
        return
    try:  # an extra: where it is installed the log's library loads it at every start of an ingress
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
    if len(rows) > 1 or rows[0] is not tree:
        Console().print(summary_of(tree))


def fleet_command(given: dict[str, Any]) -> int:
    code = fleet_call(given)
    while given.get("--watch") and not code:
        time.sleep(WATCH_S)
        code = fleet_call(given)
    return code


def fleet_call(given: dict[str, Any]) -> int:
    try:
        read_address(given["--console"])
        method, path, body = asked(given)
        status, raw = asyncio.run(call(given["--console"], method, path, body))
    except ValueError as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except (aiohttp.ClientError, OSError, TimeoutError) as err:
        print(f"vetchusher: {given['--console']} does not answer: {type(err).__name__}", file=sys.stderr)
        return 1
    if status != 200:
        print(f"vetchusher: {raw.decode(errors='replace').strip()}", file=sys.stderr)
        return REFUSED
    if method == "GET":
        show(orjson.loads(raw))
    return 0
