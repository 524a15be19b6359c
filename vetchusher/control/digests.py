"""A digest tree over the rows of a state: two copies find out with few bytes where they differ.

A row is a chunk of the configuration, an evacuation, or one further field. A row belongs to one of 256
leaves, by its key; sixteen leaves make a node, sixteen nodes the root. Digests are taken over the rows' own
digests, which whoever keeps the chunks knows: no content is read for them. Source: Merkle 1987.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from blake3 import blake3

from vetchusher.distribution.wire_pb2 import ControlState

FAN_OUT = 16
LEAVES = FAN_OUT * FAN_OUT
DEPTH = 2  # levels below the root: 1 of nodes, 2 of leaves
DIGEST_BYTES = 16
CHUNK, EVACUATION, FIELD = "chunk/", "evacuation/", "field/"
FIELDS_WITHOUT_ROW = {
    "stamp",
    "configuration",
    "configuration_left_out",
    "evacuations",
}  # fields that have no row


def digest(value: bytes) -> bytes:
    """Return a digest of 16 bytes."""
    return blake3(value).digest(DIGEST_BYTES)


def leaf_of(key: str) -> int:
    """Return the number of the leaf to which a row belongs."""
    return digest(key.encode())[0]


def chunk_key(number: int) -> str:
    """Return the key of a chunk's row, by its position in the configuration."""
    return f"{CHUNK}{number:08d}"


def field_rows(state: ControlState) -> dict[str, bytes]:
    """Return the rows of all but the configuration; a field that this release does not know is in none of
    them.
    """
    rows = {f"{EVACUATION}{e.zone}": e.SerializeToString(deterministic=True) for e in state.evacuations}
    bare = ControlState()
    bare.CopyFrom(state)
    bare.ClearField("configuration")  # of some MB; it is not to be copied for each field
    for field, _ in state.ListFields():
        if field.name not in FIELDS_WITHOUT_ROW:
            alone = ControlState()
            alone.CopyFrom(bare)
            for other, _ in bare.ListFields():
                if other.name != field.name:
                    alone.ClearField(other.name)
            rows[f"{FIELD}{field.name}"] = alone.SerializeToString(deterministic=True)
    return rows


def row_digests(state: ControlState, chunks: Iterable[bytes]) -> dict[str, bytes]:
    """Return the digests of a state's rows by key.

    :param chunks: digests of the configuration's chunks, in their order
    """
    digests = {key: digest(value) for key, value in field_rows(state).items()}
    return digests | {chunk_key(number): name for number, name in enumerate(chunks)}


def state_from_rows(rows: Mapping[str, bytes]) -> ControlState:
    """Return the state of all rows, without its stamp.

    :raises DecodeError: a row is malformed
    """
    state = ControlState()
    for key, value in sorted(rows.items()):
        if key.startswith(EVACUATION):
            state.evacuations.add().MergeFromString(value)
        elif key.startswith(FIELD):
            state.MergeFromString(value)
    state.evacuations.sort(key=lambda e: e.order)
    state.configuration = b"".join(rows[key] for key in sorted(rows) if key.startswith(CHUNK))
    return state


@dataclass(slots=True, frozen=True)
class DigestTree:
    """The digests of a state's rows, summed up level by level.

    :param levels: the root; its nodes; their leaves
    """

    levels: tuple[tuple[bytes, ...], ...]

    @staticmethod
    def of_rows(digests: Mapping[str, bytes]) -> DigestTree:
        """Build the tree over the rows' digests, by key."""
        leaves: list[list[str]] = [[] for _ in range(LEAVES)]
        for key in sorted(digests):
            leaves[leaf_of(key)].append(key)
        level = tuple(digest(b"".join(k.encode() + b"\0" + digests[k] for k in keys)) for keys in leaves)
        levels = [level]
        while len(level) > 1:
            level = tuple(digest(b"".join(level[at : at + FAN_OUT])) for at in range(0, len(level), FAN_OUT))
            levels.insert(0, level)
        return DigestTree(tuple(levels))

    @property
    def root(self) -> bytes:
        """The digest over everything."""
        return self.levels[0][0]

    def range_digests(self, level: int, ranges: Sequence[int]) -> dict[int, bytes]:
        """Return the digests at a level, of the ranges below those of the level above."""
        if not 0 <= level <= DEPTH:
            return {}
        if level == 0:
            return {0: self.root}
        children = [FAN_OUT * parent + number for parent in ranges for number in range(FAN_OUT)]
        return {number: self.levels[level][number] for number in children if number < len(self.levels[level])}

    def differing_ranges(self, level: int, other: Mapping[int, bytes]) -> list[int]:
        """Return the ranges of a level whose digests differ from another tree's."""
        own = self.levels[level]
        return [
            number for number, value in sorted(other.items()) if number < len(own) and own[number] != value
        ]
