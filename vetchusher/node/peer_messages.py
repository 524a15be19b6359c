"""Messages of other processes at a control node: one handler for each kind of frame."""

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
    """The parts of a control node that messages concern."""

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
    """Owner of the incarnations heard from; the handlers hand each frame to the part that it concerns."""

    def __init__(
        self,
        context: NodeContext,
        feed: Callable[[control.Input], None],
        parts: ControlNodeParts,
    ) -> None:
        """Begin with no incarnation known.

        :param feed: hands an input to the replica
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
        """Take a frame that is no reply; a kind that this release does not know is ignored."""
        kind = frame.WhichOneof("body") or ""
        handler = self.handlers.get(kind)
        if handler is not None and not self.is_stale(kind, frame, channel):
            handler(frame, channel)

    def is_stale(self, kind: str, frame: wire.Frame, channel: Channel) -> bool:
        """Return whether a later incarnation of the sender was heard from.

        Safety: a stale message may report a disk that is lost since, or an ingress that has ended.
        """
        incarnation = {"control": frame.control.life, "heartbeat": frame.heartbeat.life}.get(kind, 0)
        return not self.incarnations.is_current(kind, frame.sender, incarnation, channel.number)

    def on_control_message(self, frame: wire.Frame, channel: Channel) -> None:
        """Hand a message of the control state to the replica, or to the repair of its copy."""
        received = control.Received(frame.sender, frame.zone, frame.control)
        if frame.control.WhichOneof("kind") in REPAIR_MESSAGES:
            self.parts.repair_driver.on_message(received)
        else:
            self.feed(received)

    def on_heartbeat(self, frame: wire.Frame, channel: Channel) -> None:
        """Note that an ingress or control node is up, and answer."""
        for event in self.parts.presence.on_heartbeat(self.context.now(), frame.heartbeat):
            self.context.log_event(event)
        self.parts.publisher.on_heartbeat(frame, channel)

    def on_heartbeat_reply(self, frame: wire.Frame, channel: Channel) -> None:
        """Take a version vector that another control node sent unasked."""
        outputs = self.parts.subscriber.on_heartbeat_reply(
            self.context.now(), frame.sender, 0, frame.heartbeat_reply
        )
        self.parts.subscriber_driver.perform(outputs)

    def on_quota_push(self, frame: wire.Frame, channel: Channel) -> None:
        """Count what an ingress admitted, and answer with totals, while this machine leads."""
        coordinator = self.parts.leader_roles.quota_coordinator
        if coordinator is None or not self.parts.replica.is_leader(self.context.now()):
            return
        now = self.context.now()
        channel.reply(frame, wire.Frame(totals=coordinator.on_push(now, frame.push)))
        alarm = coordinator.alarm(self.context.now())
        if alarm is not None:
            self.parts.publisher.broadcast(wire.Frame(totals=alarm))

    def on_rollout_report(self, frame: wire.Frame, channel: Channel) -> None:
        """Take what an ingress has seen of roll-outs."""
        self.parts.rollouts.on_report(frame.rollout_report)

    def on_order(self, frame: wire.Frame, channel: Channel) -> None:
        """Carry out an order that another control node forwarded."""
        task = self.context.loop.create_task(self.parts.orders.on_forwarded_order(frame, channel))
        # The result is read here, so that a failure is not reported as one that nobody looked at.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
