"""The envelope of every message between ingresses that is not about quotas.

    kind u8 (3) | topic u8 | sender u16 | life u32 | cluster u32 | body | seal: 12 bytes where a key is set

`life` on the wire is the incarnation of the sender: it distinguishes a process from an earlier one with the
same number.  `cluster` is a digest of the settings that all ingresses must share, so that ingresses that
would count majorities or leases differently ignore each other.  All numbers are little-endian; one message is
at most 256 bytes and does not depend on any other.
"""

from __future__ import annotations

import struct
from collections import Counter
from dataclasses import dataclass

from vetchusher.limits import codec

KIND = 3
_HEAD = struct.Struct("<BBHII")


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """A message from a member of this cluster, without its envelope.

    :param incarnation: of the sender
    """

    topic: int
    sender: int
    incarnation: int
    body: bytes


class Envelope:
    """Encodes this ingress's messages and decodes those of the others.

    `refused` counts the datagrams that could not be used: one entry per reason, so its size is bounded.
    """

    def __init__(
        self, number: int, incarnation: int, members: int, cluster: int, key: bytes | None = None
    ) -> None:
        """Create the envelope of one process.

        :param number: number of this ingress
        :param incarnation: of this process
        :param members: size of the cluster
        :param cluster: digest of the shared settings
        :param key: seals the messages; None: they are sent without a seal
        """
        self.number, self.incarnation, self.members, self.cluster = number, incarnation, members, cluster
        self.seal = codec.keyed_tag(key) if key is not None else None
        self.refused: Counter[str] = Counter()

    def write(self, topic: int, body: bytes) -> bytes:
        """Encode a message.

        :raises ValueError: if it would be longer than 256 bytes
        """
        head = _HEAD.pack(KIND, topic, self.number, self.incarnation, self.cluster)
        return codec.append_tag(head + body, self.seal)

    def read(self, sender: int, data: bytes) -> ReceivedMessage | None:
        """Decode a datagram.

        Returns None, and counts it, if it is truncated, forged, from another cluster, from an address that
        isn't its sender's, or one's own.

        :param sender: the ingress from whose address it came
        """
        try:
            end = codec.verify_tag(data, _HEAD.size, self.seal)
        except codec.MalformedDatagramError as err:
            self.refuse("forged" if "seal" in str(err) else "truncated")
            return None
        kind, topic, claimed, life, cluster = _HEAD.unpack_from(data)
        if kind != KIND or cluster != self.cluster:
            self.refuse("foreign")
            return None
        if (
            claimed != sender
            or sender >= self.members
            or (sender == self.number and life == self.incarnation)
        ):
            self.refuse("misplaced")
            return None
        return ReceivedMessage(topic, sender, life, data[_HEAD.size : end])

    def refuse(self, reason: str) -> None:
        """Count a datagram that could not be used."""
        self.refused[reason] += 1
