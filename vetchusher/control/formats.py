"""Brings a store of an older format up to the one of this program: in one transaction, or not at all."""

from __future__ import annotations

import contextlib
import sqlite3

from google.protobuf.message import DecodeError

from vetchusher.distribution.wire_pb2 import ControlState, VoterState

from .chunks import name_of, split
from .database_file import CHUNK, FORMAT, format_of, settle
from .encoding import MANIFEST, SEAL, check_of, raw_of, seal_of


def migrated(link: sqlite3.Connection) -> bool:
    """False: what lies there cannot be read whole, and stays as it is.

    :raises sqlite3.Error: the disk refuses; it holds what it held
    """
    if format_of(link) < 2:
        try:
            link.execute("BEGIN IMMEDIATE")
            if not to_two(link):
                link.execute("ROLLBACK")
                return False
            settle(link, ["user_version=2"])
            link.execute("COMMIT")
        except sqlite3.Error:
            if link.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    link.execute("ROLLBACK")
            raise
    assert format_of(link) == FORMAT
    ((vacuums,),) = link.execute("PRAGMA auto_vacuum").fetchall()
    if not vacuums:
        # A file that can give pages back; and its head tells the new format, to whoever reads no log.
        with contextlib.suppress(sqlite3.OperationalError):
            settle(link, ["temp_store=MEMORY", "auto_vacuum=INCREMENTAL"])
            link.execute("VACUUM")
        settle(link, ["wal_checkpoint(TRUNCATE)"])
    return True


def to_two(link: sqlite3.Connection) -> bool:
    """Of the rows `promised`, `state`, `configuration`, and `office` where there were records."""
    rows = {}
    for name, value, told in link.execute("SELECT name, value, digest FROM kept").fetchall():
        if not isinstance(value, bytes) or check_of(name, value) != told:
            return False
        rows[name] = value
    link.execute(CHUNK)
    if not rows:
        return True
    try:
        if {"promised", "state", "configuration"} - rows.keys() or int(rows["promised"]) < 0:
            return False
        ControlState.FromString(rows["state"])
        if "office" in rows:
            reconfiguration = VoterState.FromString(rows.pop("office"))
            told = {
                "owner": reconfiguration.owner,
                "record": reconfiguration.record,
                "copy": reconfiguration.copy,
            }
            rows |= {name: raw_of(value) for name, value in told.items()}
    except (DecodeError, ValueError):
        return False
    pieces = split(rows.pop("configuration"))
    rows[MANIFEST] = b"".join(map(name_of, pieces))
    rows[SEAL] = seal_of({name: check_of(name, value) for name, value in rows.items()})
    link.executemany("INSERT OR IGNORE INTO chunk VALUES (?, ?)", [(name_of(p), p) for p in pieces])
    link.execute("DELETE FROM kept")
    lines = [(name, value, check_of(name, value)) for name, value in rows.items()]
    link.executemany("INSERT INTO kept VALUES (?, ?, ?)", lines)
    return True
