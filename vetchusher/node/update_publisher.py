"""Publishes a control node's sources: answers pulls, and sends version vectors to senders of heartbeats."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import Source

from .peer_network import Channel, PeerNetwork
from .update_cache import UpdateCache

MAX_WATCHERS = 2048


class UpdatePublisher:
    """Owner of the watchers: machines that sent a heartbeat, and are sent each new version vector."""

    def __init__(
        self,
        network: PeerNetwork,
        sources: Mapping[str, Source],
        heartbeat_reply: Callable[[], wire.HeartbeatReply],
    ) -> None:
        """Begin without watchers.

        :param heartbeat_reply: returns the reply to a heartbeat as of the time of the call
        """
        self.network = network
        self.sources = sources
        self.heartbeat_reply = heartbeat_reply
        self.cache = UpdateCache(sources)
        self.watchers: dict[str, Channel] = {}  # by address

    def on_heartbeat(self, frame: wire.Frame, channel: Channel) -> None:
        """Add the sender to the watchers and reply, with the updates that it lacks if it asks for them."""
        heartbeat = frame.heartbeat
        if heartbeat.ip in self.watchers or len(self.watchers) < MAX_WATCHERS:
            self.watchers[heartbeat.ip] = channel
        updates = b""
        if heartbeat.wants_news:
            updates = self.cache.updates_for(heartbeat.vector, in_heartbeat_reply=True)
        channel.reply(frame, wire.Frame(heartbeat_reply=self.heartbeat_reply()), updates)

    def on_pull(self, frame: wire.Frame, channel: Channel) -> None:
        """Reply to a pull with the updates that the sender lacks."""
        channel.reply(frame, wire.Frame(), self.updates_for(frame.pull.vector))

    def updates_for(self, vector: Iterable[wire.SourceAt]) -> bytes:
        """Return, encoded, the updates that are newer than a version vector."""
        return self.cache.updates_for(vector)

    def notify_watchers(self) -> None:
        """Send the version vector to all watchers, so that those that lack updates pull them at once."""
        self.broadcast(wire.Frame(heartbeat_reply=self.heartbeat_reply()))

    def broadcast(self, frame: wire.Frame) -> None:
        """Send a frame to all watchers; remove those whose connection does not take it."""
        self.network.sign(frame)
        for ip, channel in list(self.watchers.items()):
            if not channel.write(frame):
                del self.watchers[ip]
