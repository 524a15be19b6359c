"""A simulated cluster in virtual time: an event queue, nodes with clocks of their own and a faulty network.

The state machines run unchanged. The simulations derived from `ClusterWorld` (duties, membership) define
which state machine runs on a node, what its actions other than datagrams mean, and which invariants hold.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

from vetchusher.datagrams import SendDatagram

MS = 1_000
SECOND = 1_000_000
MAX_QUEUED_DATAGRAMS = 200  # received while a process is paused; the kernel's socket buffer holds no more


class StateMachine(Protocol):
    """The interface that the simulation needs of the state machine on a node."""

    def receive_datagram(self, now: int, sender: int, data: bytes) -> list[Any]:
        """Handle a datagram at `now` (us on the node's clock), and return the resulting actions."""
        ...

    def stop(self, now: int) -> list[Any]:
        """Begin an orderly shutdown at `now` (us on the node's clock), and return the resulting actions."""
        ...


P = TypeVar("P", bound=StateMachine)


@dataclass(slots=True)
class ClusterScene:
    """The parameters of one simulation run.

    :param duration_us: duration of the run (us of virtual time)
    :param duplicate_ratio: share of the datagrams that are sent twice
    :param delayed_ratio: share of the datagrams that are delayed by up to `max_delay_us`
    :param min_latency_ms: shortest network latency (ms)
    :param max_latency_ms: longest network latency (ms)
    :param max_clock_drift: largest relative error of a node's clock rate
    :param mean_fault_interval_us: mean time between two faults (us)
    :param fault_names: names of the faults to inject; empty: all
    :param fault_unit_us: time unit of fault durations (us)
    :param pause_units: possible lengths of a process pause (in `fault_unit_us`)
    """

    seed: int = 1
    members: int = 5
    duration_us: int = 120 * SECOND
    loss: float = 0.07
    duplicate_ratio: float = 0.02
    delayed_ratio: float = 0.01
    max_delay_us: int = 2 * SECOND
    min_latency_ms: int = 4
    max_latency_ms: int = 23
    max_clock_drift: float = 0.01
    faults: bool = True
    mean_fault_interval_us: int = 6 * SECOND
    fault_names: tuple[str, ...] = ()
    fault_unit_us: int = 2 * SECOND
    pause_units: tuple[float, ...] = (0.5, 1.0, 3.0, 10.0)


@dataclass(slots=True)
class Node(Generic[P]):
    """One process: its clock, its state machine, and whether it runs.

    :param incarnation: incarnation, unique among all processes of the run
    :param clock_rate: speed of the clock relative to virtual time
    :param clock_offset_us: reading of the clock at virtual time 0 (us)
    :param queued_datagrams: datagrams, as (sender, data), received while the process was paused
    """

    number: int
    incarnation: int
    state_machine: P
    clock_rate: float
    clock_offset_us: int
    running: bool = True
    queued_datagrams: list[tuple[int, bytes]] = field(default_factory=list)

    def now(self, at: int) -> int:
        """Return the node's clock (us) at the virtual time `at` (us)."""
        return self.clock_offset_us + int(at * self.clock_rate)


class ClusterWorld(Generic[P]):
    """A simulated cluster. It owns all nodes and the event queue.

    Derived classes override the hooks below.
    """

    tick_us = SECOND // 10

    def __init__(self, scene: ClusterScene) -> None:
        """Create an empty cluster; `run_scene` starts the nodes."""
        self.scene = scene
        self.rng = random.Random(scene.seed)
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.event_serial = 0
        self.now_us = 0  # virtual time (us)
        self.nodes: dict[int, Node[P]] = {}
        self.replaced_nodes: list[Node[P]] = []  # processes that an upgrade replaced and that still run
        self.incarnations = 0
        self.not_receiving: set[int] = set()  # nodes that receive nothing
        self.not_sending: set[int] = set()  # nodes whose datagrams are all lost
        self.blocked_links: set[tuple[int, int]] = set()  # blocked links, as (sender, receiver)
        self.partition_of: list[int] = [0] * scene.members  # by node: its side of a network partition
        self.loss = scene.loss
        self.last_fault = "start"
        self.injected_faults: Counter[str] = Counter()
        self.event_count = self.datagram_count = 0
        self.datagrams_sent = [0] * scene.members
        self.bytes_sent = [0] * scene.members
        self.violations: list[str] = []

    # -- hooks for derived simulations ------------------------------------------------

    def create_state_machine(self, number: int, now: int) -> P:
        """Create and start the state machine of a new process; `now` is the process's clock (us)."""
        raise NotImplementedError

    def on_tick(self, node: Node[P]) -> None:
        """Run the periodic work of a node; called each `tick_us` while it runs."""
        raise NotImplementedError

    def on_action(self, node: Node[P], act: Any) -> None:
        """Handle an action of a state machine other than sending a datagram."""

    def after_event(self) -> None:
        """Check the invariants; called after each event."""

    def on_started(self, node: Node[P]) -> None:
        """Handle the start of a process; an older process of the same number may still run."""

    def on_replaced_ended(self, node: Node[P]) -> None:
        """Handle the end of a process replaced by an upgrade; it is already removed from `replaced_nodes`."""

    def pick_target(self) -> int:
        """Pick the node that the next fault hits."""
        return self.rng.randrange(self.scene.members)

    def fault_injectors(self) -> dict[str, Callable[[int], None]]:
        """Return the faults by name, each a function that takes the number of the target node."""
        return {
            "stopped": self.pause,
            "killed": self.kill,
            "deaf": lambda n: self.mark_temporarily(self.not_receiving, n),
            "unheard": lambda n: self.mark_temporarily(self.not_sending, n),
            "cut in two": lambda n: self.partition(2),
            "cut in three": lambda n: self.partition(3),
            "loss 30%": lambda n: self.raise_loss(0.3),
            "sigterm": self.sigterm,
            "upgrade": self.upgrade,
        }

    # -- time and messages ------------------------------------------------------------

    def after(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback `delay` us of virtual time from now."""
        self.event_serial += 1
        heapq.heappush(self.event_queue, (self.now_us + delay, self.event_serial, callback))

    def report_violation(self, what: str) -> None:
        """Record an invariant violation, with the current virtual time."""
        self.violations.append(f"{self.now_us / SECOND:.3f} s: {what}")

    def start(self, number: int) -> Node[P]:
        """Start a new process for a node number, with a drawn clock, and return it."""
        self.incarnations += 1
        max_drift = self.scene.max_clock_drift
        rate = 1.0 + self.rng.choice((-max_drift, 0.0, max_drift))
        offset = self.rng.randrange(10**9)
        node = Node(
            number,
            self.incarnations,
            self.create_state_machine(number, offset + int(self.now_us * rate)),
            rate,
            offset,
        )
        self.nodes[number] = node
        self.on_started(node)
        self.tick(node)
        return node

    def is_alive(self, node: Node[P]) -> bool:
        """Return whether the process has not ended, running or paused."""
        return self.nodes.get(node.number) is node or node in self.replaced_nodes

    def tick(self, node: Node[P]) -> None:
        """Run a node's periodic work and schedule the next tick, until the process ends."""
        if not self.is_alive(node):
            return
        if node.running:
            self.on_tick(node)
        self.after(self.tick_us, lambda: self.tick(node))

    def apply_actions(self, node: Node[P], actions: list[Any]) -> None:
        """Apply the actions of a node's state machine: send datagrams, hand all others to `on_action`."""
        for action in actions:
            if isinstance(action, SendDatagram):
                self.send(node.number, action.to, action.data)
            else:
                self.on_action(node, action)

    def send(self, sender: int, to: int, data: bytes) -> None:
        """Send a datagram through the network, which may lose, duplicate or delay it."""
        self.datagram_count += 1
        self.datagrams_sent[sender] += 1
        self.bytes_sent[sender] += len(data)
        rng, scene = self.rng, self.scene
        for _ in range(1 + (rng.random() < scene.duplicate_ratio)):
            if rng.random() < self.loss:
                continue
            latency_us = rng.randrange(scene.min_latency_ms * MS, scene.max_latency_ms * MS)
            if rng.random() < scene.delayed_ratio:
                latency_us = rng.randrange(scene.max_delay_us)
            self.after(latency_us, lambda: self.deliver(sender, to, data))

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        """Deliver a datagram unless a fault blocks its path or the receiver is down."""
        if (
            sender in self.not_sending
            or to in self.not_receiving
            or self.partition_of[sender] != self.partition_of[to]
        ):
            return
        if (sender, to) in self.blocked_links:
            return
        candidates = [
            n for n in [self.nodes.get(to), *self.replaced_nodes] if n is not None and n.number == to
        ]
        if not candidates:
            return
        # Two processes share the address during an upgrade; the kernel picks one by the sender's address.
        node = candidates[sender % len(candidates)]
        if not node.running:
            if len(node.queued_datagrams) < MAX_QUEUED_DATAGRAMS:
                node.queued_datagrams.append((sender, data))
            return
        self.apply_actions(node, node.state_machine.receive_datagram(node.now(self.now_us), sender, data))

    # -- faults -----------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Inject a drawn fault at a drawn node, and schedule the next one."""
        injectors = self.fault_injectors()
        name = self.rng.choice(list(self.scene.fault_names or injectors))
        self.injected_faults[name] += 1
        self.last_fault = name
        injectors[name](self.pick_target())
        self.after(int(self.rng.expovariate(1.0 / self.scene.mean_fault_interval_us)) + 1, self.inject_fault)

    def pause(self, number: int, length: int = 0) -> None:
        """Pause a process.

        :param length: duration (us); 0: drawn from the scene
        """
        node = self.nodes.get(number)
        if node is not None and node.running:
            node.running = False
            drawn_us = int(self.rng.choice(self.scene.pause_units) * self.scene.fault_unit_us)
            self.after(length or drawn_us, lambda: self.resume(node))

    def resume(self, node: Node[P]) -> None:
        """Resume a paused process; it first handles the datagrams that were queued meanwhile."""
        node.running = True
        queued, node.queued_datagrams = node.queued_datagrams, []
        if self.is_alive(node):
            for sender, data in queued:
                self.apply_actions(
                    node, node.state_machine.receive_datagram(node.now(self.now_us), sender, data)
                )

    def kill(self, number: int, after: int | None = None) -> None:
        """Kill a process and schedule its restart.

        :param after: time until the restart (us); None: drawn
        """
        if self.nodes.pop(number, None) is not None:
            restart_delay_us = self.rng.randrange(self.scene.fault_unit_us * 3) if after is None else after
            self.after(restart_delay_us, lambda: self.restart(number))

    def restart(self, number: int) -> None:
        """Restart a node if no process runs for it."""
        if number not in self.nodes:
            self.start(number)

    def mark_temporarily(self, marked: set[Any], number: Any) -> None:
        """Add a node to a set of faulty nodes, and remove it after a drawn time."""
        marked.add(number)
        self.after(self.rng.randrange(self.scene.fault_unit_us * 4), lambda: marked.discard(number))

    def partition(self, parts: int) -> None:
        """Partition the network into `parts` drawn sides for a drawn time."""
        self.partition_of = [self.rng.randrange(parts) for _ in self.partition_of]
        self.after(self.rng.randrange(self.scene.fault_unit_us * 4), self.heal_partition)

    def heal_partition(self) -> None:
        """End a network partition."""
        self.partition_of = [0] * self.scene.members

    def raise_loss(self, loss: float) -> None:
        """Raise the loss ratio of the network to `loss` for a drawn time."""
        self.loss = loss
        self.after(
            self.rng.randrange(self.scene.fault_unit_us * 4), lambda: setattr(self, "loss", self.scene.loss)
        )

    def sigterm(self, number: int) -> None:
        """Shut a process down in order, and kill it 500 ms later."""
        node = self.nodes.get(number)
        if node is not None and node.running:
            self.apply_actions(node, node.state_machine.stop(node.now(self.now_us)))
            self.after(500 * MS, lambda: self.kill(number) if self.nodes.get(number) is node else None)

    def upgrade(self, number: int) -> None:
        """Start a second process of the same number beside the first one.

        The first one is told to stop after 1 s, and ends after 2 s.
        """
        old = self.nodes.get(number)
        if old is None or not old.running or any(o.number == number for o in self.replaced_nodes):
            return
        self.replaced_nodes.append(old)
        self.start(number)
        self.after(
            SECOND,
            lambda: (
                self.apply_actions(old, old.state_machine.stop(old.now(self.now_us))) if old.running else None
            ),
        )
        self.after(2 * SECOND, lambda: self.end_replaced(old))

    def end_replaced(self, old: Node[P]) -> None:
        """End a process that an upgrade replaced."""
        self.replaced_nodes.remove(old)
        self.on_replaced_ended(old)

    # -- a run ------------------------------------------------------------------------

    def run_scene(self, events: int = 0) -> None:
        """Run the simulation.

        It ends at the scene's length, or after `events` events if that is not 0, or after
        more than 20 violations.
        """
        for number in range(self.scene.members):
            self.start(number)
        if self.scene.faults:
            self.after(3 * self.scene.fault_unit_us, self.inject_fault)
        while self.event_queue and (
            self.event_count < events if events else self.event_queue[0][0] < self.scene.duration_us
        ):
            when, _, callback = heapq.heappop(self.event_queue)
            self.before_advance(when)
            self.now_us = when
            callback()
            self.event_count += 1
            self.after_event()
            if len(self.violations) > 20:
                break

    def before_advance(self, when: int) -> None:
        """Handle the advance of virtual time to `when` (us); called before each event."""
