"""Handles the messages that a control node receives from other processes: one handler for each kind."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from vetchusher import control
from vetchusher.directory.presence import Presence
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.subscriber import Subscriber

from .context import NodeContext
from .incarnations import IncarnationTracker
from .leader_roles import LeaderRoles
from .order_service import OrderService
from .peer_network import Channel
from .repair_driver import REPAIR_MESSAGES, RepairDriver
from .rollout_role import RolloutRole
from .subscriber_driver import SubscriberDriver
from .update_publisher import UpdatePublisher


@dataclass(slots=True, frozen=True)
class ControlNodeParts:
    """The parts of a control node that receive messages."""

    replica: control.Replica
    repair_driver: RepairDriver
    presence: Presence
    publisher: UpdatePublisher
    leader_roles: LeaderRoles
    orders: OrderService
    subscriber: Subscriber
    subscriber_driver: SubscriberDriver
    rollouts: RolloutRole


class PeerMessageHandler:
    """Passes each frame to the part that handles it; drops those of earlier incarnations of a sender."""

    def __init__(
        self,
        context: NodeContext,
        feed: Callable[[control.Input], None],
        parts: ControlNodeParts,
    ) -> None:
        """Begin with no incarnation known.

        :param feed: passes an input to the replica
        """
        self.context = context
        self.feed = feed
        self.parts = parts
        self.incarnations = IncarnationTracker()
        self.handlers: dict[str, Callable[[wire.Frame, Channel], None]] = {
            "control": self.on_control_message,
            "heartbeat": self.on_heartbeat,
            "pull": parts.publisher.on_pull,
            "push": self.on_quota_push,
            "order": self.on_order,
            "heartbeat_reply": self.on_heartbeat_reply,
            "rollout_report": self.on_rollout_report,
        }

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Handle a frame that is not a reply; a kind that this release does not know is ignored."""
        kind = frame.WhichOneof("body") or ""
        handler = self.handlers.get(kind)
        if handler is not None and not self.is_stale(kind, frame, channel):
            handler(frame, channel)

    def is_stale(self, kind: str, frame: wire.Frame, channel: Channel) -> bool:
        """Return whether a message was sent by an earlier incarnation than the newest known of its sender.

        Safety: such a message may report the contents of a disk that has been lost since, or an ingress that
        has ended.
        """
        incarnation = {"control": frame.control.life, "heartbeat": frame.heartbeat.life}.get(kind, 0)
        return not self.incarnations.is_current(kind, frame.sender, incarnation, channel.number)

    def on_control_message(self, frame: wire.Frame, channel: Channel) -> None:
        """Pass a message of the control protocol to the replica, or to the repair of its copy."""
        received = control.Received(frame.sender, frame.zone, frame.control)
        if frame.control.WhichOneof("kind") in REPAIR_MESSAGES:
            self.parts.repair_driver.on_message(received)
        else:
            self.feed(received)

    def on_heartbeat(self, frame: wire.Frame, channel: Channel) -> None:
        """Record that an ingress or control node is up, and reply."""
        for event in self.parts.presence.on_heartbeat(self.context.now(), frame.heartbeat):
            self.context.log_event(event)
        self.parts.publisher.on_heartbeat(frame, channel)

    def on_heartbeat_reply(self, frame: wire.Frame, channel: Channel) -> None:
        """Handle a version vector that another control node sent without a request."""
        outputs = self.parts.subscriber.on_heartbeat_reply(
            self.context.now(), frame.sender, 0, frame.heartbeat_reply
        )
        self.parts.subscriber_driver.perform(outputs)

    def on_quota_push(self, frame: wire.Frame, channel: Channel) -> None:
        """Add the usage that an ingress reports and reply with the totals; ignored unless this node leads."""
        coordinator = self.parts.leader_roles.quota_coordinator
        if coordinator is None or not self.parts.replica.is_leader(self.context.now()):
            return
        now = self.context.now()
        channel.reply(frame, wire.Frame(totals=coordinator.on_push(now, frame.push)))
        alarm = coordinator.alarm(self.context.now())
        if alarm is not None:
            self.parts.publisher.broadcast(wire.Frame(totals=alarm))

    def on_rollout_report(self, frame: wire.Frame, channel: Channel) -> None:
        """Pass an ingress's report on roll-outs to the supervisor."""
        self.parts.rollouts.on_report(frame.rollout_report)

    def on_order(self, frame: wire.Frame, channel: Channel) -> None:
        """Execute an order that another control node forwarded."""
        task = self.context.loop.create_task(self.parts.orders.on_forwarded_order(frame, channel))
        # Retrieving the exception keeps asyncio from logging "Task exception was never retrieved".
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
