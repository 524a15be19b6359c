"""Migration of a store of an older format to the one of this release: in one transaction, or not at all."""

from __future__ import annotations

import contextlib
import sqlite3

from google.protobuf.message import DecodeError

from vetchusher.distribution.wire_pb2 import ControlState, VoterState

from .chunks import chunk_digest, split_chunks
from .database_file import CREATE_CHUNK_TABLE, FORMAT, run_pragmas, stored_format
from .encoding import MANIFEST, SEAL, encode_value, row_checksum, seal_checksum


def migrate(connection: sqlite3.Connection) -> bool:
    """Bring a store up to `FORMAT`.

    :returns: False: its content cannot be read, and stays as it is
    :raises sqlite3.Error: the disk refuses; it holds what it held
    """
    if stored_format(connection) < 2:
        try:
            connection.execute("BEGIN IMMEDIATE")
            if not migrate_to_format_2(connection):
                connection.execute("ROLLBACK")
                return False
            run_pragmas(connection, ["user_version=2"])
            connection.execute("COMMIT")
        except sqlite3.Error:
            if connection.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    connection.execute("ROLLBACK")
            raise
    assert stored_format(connection) == FORMAT
    ((vacuums,),) = connection.execute("PRAGMA auto_vacuum").fetchall()
    if not vacuums:
        # A file that can give pages back; and its head tells the new format, to whoever reads no log.
        with contextlib.suppress(sqlite3.OperationalError):
            run_pragmas(connection, ["temp_store=MEMORY", "auto_vacuum=INCREMENTAL"])
            connection.execute("VACUUM")
        run_pragmas(connection, ["wal_checkpoint(TRUNCATE)"])
    return True


def migrate_to_format_2(connection: sqlite3.Connection) -> bool:
    """Rewrite the rows `promised`, `state`, `configuration`, and `office` where there were replica sets.

    :returns: False: a row is damaged or missing
    """
    rows = {}
    for name, value, checksum in connection.execute("SELECT name, value, digest FROM kept").fetchall():
        if not isinstance(value, bytes) or row_checksum(name, value) != checksum:
            return False
        rows[name] = value
    connection.execute(CREATE_CHUNK_TABLE)
    if not rows:
        return True
    try:
        if {"promised", "state", "configuration"} - rows.keys() or int(rows["promised"]) < 0:
            return False
        ControlState.FromString(rows["state"])
        if "office" in rows:
            reconfiguration = VoterState.FromString(rows.pop("office"))
            checksum = {
                "owner": reconfiguration.owner,
                "record": reconfiguration.record,
                "copy": reconfiguration.copy,
            }
            rows |= {name: encode_value(value) for name, value in checksum.items()}
    except (DecodeError, ValueError):
        return False
    chunks = split_chunks(rows.pop("configuration"))
    rows[MANIFEST] = b"".join(map(chunk_digest, chunks))
    rows[SEAL] = seal_checksum({name: row_checksum(name, value) for name, value in rows.items()})
    connection.executemany(
        "INSERT OR IGNORE INTO chunk VALUES (?, ?)", [(chunk_digest(p), p) for p in chunks]
    )
    connection.execute("DELETE FROM kept")
    records = [(name, value, row_checksum(name, value)) for name, value in rows.items()]
    connection.executemany("INSERT INTO kept VALUES (?, ?, ?)", records)
    return True
