"""Migration of a store from an older format to that of this release, in a single transaction."""

from __future__ import annotations

import contextlib
import sqlite3

from google.protobuf.message import DecodeError

from vetchusher.distribution.wire_pb2 import ControlState, VoterState

from .chunks import chunk_digest, split_chunks
from .database_file import CREATE_CHUNK_TABLE, FORMAT, run_pragmas, stored_format
from .encoding import MANIFEST, SEAL, encode_value, row_checksum, seal_checksum


def migrate(connection: sqlite3.Connection) -> bool:
    """Convert a store to `FORMAT`.

    :returns: False if the contents cannot be read; they stay unchanged
    :raises sqlite3.Error: the disk rejects the migration; the contents stay unchanged
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
        # Incremental vacuum lets the file release pages. The checkpoint writes the new format into the header
        # of the database file, for tools that do not read the write-ahead log.
        with contextlib.suppress(sqlite3.OperationalError):
            run_pragmas(connection, ["temp_store=MEMORY", "auto_vacuum=INCREMENTAL"])
            connection.execute("VACUUM")
        run_pragmas(connection, ["wal_checkpoint(TRUNCATE)"])
    return True


def migrate_to_format_2(connection: sqlite3.Connection) -> bool:
    """Rewrite the rows `promised`, `state`, `configuration`, and `office` if replica sets were stored.

    :returns: False if a row is damaged or missing
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
            voter_state = VoterState.FromString(rows.pop("office"))
            values = {
                "owner": voter_state.owner,
                "record": voter_state.record,
                "copy": voter_state.copy,
            }
            rows |= {name: encode_value(value) for name, value in values.items()}
    except (DecodeError, ValueError):
        return False
    chunks = split_chunks(rows.pop("configuration"))
    rows[MANIFEST] = b"".join(map(chunk_digest, chunks))
    rows[SEAL] = seal_checksum({name: row_checksum(name, value) for name, value in rows.items()})
    connection.executemany(
        "INSERT OR IGNORE INTO chunk VALUES (?, ?)", [(chunk_digest(chunk), chunk) for chunk in chunks]
    )
    connection.execute("DELETE FROM kept")
    records = [(name, value, row_checksum(name, value)) for name, value in rows.items()]
    connection.executemany("INSERT INTO kept VALUES (?, ?, ?)", records)
    return True
