"""A digest tree over the rows of a state: two machines exchange few bytes to find where their copies differ.

A row is a chunk of the configuration, an evacuation, or one other field of the state. Each row belongs to one
of 256 leaves, by its key; sixteen leaves form a node, and sixteen nodes form the root. The tree is computed
from the rows' digests, which the store has in memory, so no row is read for it. Source: Merkle 1987.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from blake3 import blake3

from vetchusher.distribution.wire_pb2 import ControlState

FAN_OUT = 16
LEAVES = FAN_OUT * FAN_OUT
DEPTH = 2  # levels below the root: level 1 are nodes, level 2 are leaves
DIGEST_BYTES = 16
CHUNK_PREFIX, EVACUATION_PREFIX, FIELD_PREFIX = (
    "chunk/",
    "evacuation/",
    "field/",
)  # prefixes of the rows' keys
# Fields of the state that have no row with the prefix `FIELD_PREFIX`.
FIELDS_WITHOUT_ROW = {
    "stamp",
    "configuration",
    "configuration_left_out",
    "evacuations",
}


def digest(value: bytes) -> bytes:
    """Return the digest of a value, of `DIGEST_BYTES`."""
    return blake3(value).digest(DIGEST_BYTES)


def leaf_of(key: str) -> int:
    """Return the number of the leaf to which a row belongs."""
    return digest(key.encode())[0]


def chunk_key(number: int) -> str:
    """Return the key of a chunk's row, by its position in the configuration."""
    return f"{CHUNK_PREFIX}{number:08d}"


def field_rows(state: ControlState) -> dict[str, bytes]:
    """Return the rows, by key, of everything but the configuration.

    A field that this release does not know is in none of them.
    """
    rows = {
        f"{EVACUATION_PREFIX}{evacuation.zone}": evacuation.SerializeToString(deterministic=True)
        for evacuation in state.evacuations
    }
    without_configuration = ControlState()
    without_configuration.CopyFrom(state)
    without_configuration.ClearField("configuration")  # several MB, which are not to be copied for each field
    for field, _ in state.ListFields():
        if field.name not in FIELDS_WITHOUT_ROW:
            single_field = ControlState()
            single_field.CopyFrom(without_configuration)
            for other, _ in without_configuration.ListFields():
                if other.name != field.name:
                    single_field.ClearField(other.name)
            rows[f"{FIELD_PREFIX}{field.name}"] = single_field.SerializeToString(deterministic=True)
    return rows


def row_digests(state: ControlState, chunks: Iterable[bytes]) -> dict[str, bytes]:
    """Return the digests of a state's rows, by key.

    :param chunks: digests of the configuration's chunks, in their order
    """
    digests = {key: digest(value) for key, value in field_rows(state).items()}
    return digests | {chunk_key(number): chunk for number, chunk in enumerate(chunks)}


def state_from_rows(rows: Mapping[str, bytes]) -> ControlState:
    """Return the state that consists of these rows; its stamp is not set.

    :raises DecodeError: a row is malformed
    """
    state = ControlState()
    for key, value in sorted(rows.items()):
        if key.startswith(EVACUATION_PREFIX):
            state.evacuations.add().MergeFromString(value)
        elif key.startswith(FIELD_PREFIX):
            state.MergeFromString(value)
    state.evacuations.sort(key=lambda evacuation: evacuation.order)
    state.configuration = b"".join(rows[key] for key in sorted(rows) if key.startswith(CHUNK_PREFIX))
    return state


@dataclass(slots=True, frozen=True)
class DigestTree:
    """The digest tree of a state's rows.

    :param levels: digests by level: the root, the nodes, the leaves
    """

    levels: tuple[tuple[bytes, ...], ...]

    @staticmethod
    def of_rows(digests: Mapping[str, bytes]) -> DigestTree:
        """Build the tree from the rows' digests, by key."""
        leaves: list[list[str]] = [[] for _ in range(LEAVES)]
        for key in sorted(digests):
            leaves[leaf_of(key)].append(key)
        level = tuple(
            digest(b"".join(key.encode() + b"\0" + digests[key] for key in keys)) for keys in leaves
        )
        levels = [level]
        while len(level) > 1:
            level = tuple(
                digest(b"".join(level[start : start + FAN_OUT])) for start in range(0, len(level), FAN_OUT)
            )
            levels.insert(0, level)
        return DigestTree(tuple(levels))

    @property
    def root(self) -> bytes:
        """The digest over all rows."""
        return self.levels[0][0]

    def range_digests(self, level: int, ranges: Sequence[int]) -> dict[int, bytes]:
        """Return the digests of ranges at a level, by number; empty if there is no such level.

        :param ranges: numbers of ranges at the level above, whose children are returned; unused at level 0
        """
        if not 0 <= level <= DEPTH:
            return {}
        if level == 0:
            return {0: self.root}
        children = [FAN_OUT * parent + number for parent in ranges for number in range(FAN_OUT)]
        return {number: self.levels[level][number] for number in children if number < len(self.levels[level])}

    def differing_ranges(self, level: int, other: Mapping[int, bytes]) -> list[int]:
        """Return the numbers of the ranges at a level whose digests differ from another tree's.

        :param other: digests of the other tree, by number; ranges that are not in it are not compared
        """
        own = self.levels[level]
        return [
            number for number, value in sorted(other.items()) if number < len(own) and own[number] != value
        ]
