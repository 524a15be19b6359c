"""Run the system's tenant quotas in virtual time: ingresses in regions, coordinators, and injected faults.

The state machines of the ingresses and the coordinators run unchanged, each on a clock of its own.  `judge`
checks which requests they admit.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import accumulate

from vetchusher.distribution.wire_pb2 import Push, Totals
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.local_quota import LocalQuota
from vetchusher.settings.configuration import Tenant

from .judge import MS, SECOND, Demand, TenantRecord

SYNC_INTERVAL_US, HEARTBEAT_INTERVAL_US, TICK_INTERVAL_US = 150 * MS, 500 * MS, 50 * MS
HEARTBEAT_TIMEOUT_US = 60 * SECOND
# A partitioned coordinator serves until its lease ends; its successor starts later than that.
LEASE_US, TAKEOVER_DELAY_US = 1_350 * MS, 1_500 * MS


@dataclass(slots=True, frozen=True)
class Trouble:
    """One fault to inject at `at_us` for `duration_us`, in microseconds of virtual time.

    :param kind: `hot`: the load of tenant `which` times `factor`;
        `cut`, `mute`, `deaf`: a ratio `factor` of the ingresses is partitioned from everyone, in both
        directions, for what it sends, or for what is sent to it;
        `stall`: a ratio `factor` of the ingresses is suspended, for 3 s at most;
        `core`: the coordinator dies and another one takes over after the lease;
        `move`: another coordinator takes over at once;
        `split`: the coordinator is partitioned together with a ratio `factor` of the ingresses, and serves
        them until its lease ends;
        `restart`: a ratio `factor` of the ingresses restarts;
        `limit`: rate and burst of tenant `which` times `factor`;
        `shift`: the traffic of tenant `which` moves to one region;
        `loss`: a ratio `factor` of the messages is lost
    :param which: the tenant's number
    """

    kind: str
    at_us: int
    duration_us: int = 0
    factor: float = 0.0
    which: int = 0


@dataclass(slots=True)
class Scene:
    """The size, the traffic and the faults of one run.

    :param region_latency_us: mean one-way latency between regions without jitter
    :param length: duration in microseconds
    :param loss_ratio: ratio of lost messages
    :param delayed_ratio: ratio of messages delayed by up to 0.6 s, as on a saturated link
    """

    seed: int = 1
    ingresses: int = 9
    regions: int = 3
    region_latency_us: int = 55 * MS
    length: int = 30 * SECOND
    demands: tuple[Demand, ...] = (Demand(150, 150), Demand(10, 10))
    troubles: tuple[Trouble, ...] = ()
    loss_ratio: float = 0.0
    delayed_ratio: float = 0.01


@dataclass(slots=True)
class Ingress:
    """One ingress, its clock and the faults that affect it."""

    number: int
    region: int
    clock_offset_us: int
    quota: LocalQuota | None = None  # None while it is down
    incarnation: int = 0
    last_heartbeat_at: int = 0  # us of virtual time
    mute: int = 0  # active partitions that drop what it sends
    deaf: int = 0  # active partitions that drop what is sent to it
    stalled_until: int = 0  # us of virtual time

    def local_time(self, at: int) -> int:
        """Return the time of the ingress's clock (us) at a virtual time."""
        return at + self.clock_offset_us


@dataclass(slots=True)
class CoordinatorProcess:
    """A quota coordinator, its region and its clock.

    :param reachable_ingresses: those on its side of a partition; None without one
    """

    coordinator: QuotaCoordinator
    region: int
    clock_offset_us: int
    is_serving: bool = True
    reachable_ingresses: frozenset[int] | None = None


class World:
    """Owns all ingresses and coordinators, and the queue of pending events.  Times are microseconds."""

    def __init__(self, scene: Scene, make_quota: Callable[[str, int], LocalQuota] = LocalQuota) -> None:
        """:param make_quota: builds the quota of an ingress from its name and incarnation"""
        self.scene, self.make_quota = scene, make_quota
        self.rng = random.Random(scene.seed)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.last_event_number = self.now = self.byte_count = self.message_count = 0
        self.loss_ratio = scene.loss_ratio
        self.load_factors = [1.0] * len(scene.demands)
        self.tenants = {self.tenant_name(n): self.make_tenant(n, 1.0) for n in range(len(scene.demands))}
        self.tenant_records = [
            TenantRecord(
                d,
                d.rate,
                d.burst_size,
                [(0, d.rate, d.burst_size)],
                unused_tokens=d.burst_size,
                reference_tokens=d.burst_size,
            )
            for d in scene.demands
        ]
        self.ingresses = [
            Ingress(n, n % scene.regions, self.rng.randrange(10**10)) for n in range(scene.ingresses)
        ]
        self.epoch = 0
        self.coordinators: list[CoordinatorProcess] = []  # the newest is last
        self.ingress_weights = [self.draw_weights(d) for d in scene.demands]

    # -- tenants, ingresses, coordinators -------------------------------------------------

    def tenant_name(self, number: int) -> str:
        """Return the name of a tenant."""
        return f"tenant{number:02}"

    def make_tenant(self, number: int, factor: float) -> Tenant:
        """Return a tenant's configuration with its rate and burst times `factor`."""
        demand = self.scene.demands[number]
        return Tenant(
            self.tenant_name(number), (), None, demand.rate * factor, demand.burst_size * factor, frozenset()
        )

    def draw_weights(self, demand: Demand) -> list[float]:
        """Draw the cumulative weights by which a tenant's requests choose an ingress."""
        weights = [self.rng.random() ** demand.spread + 0.02 for _ in self.ingresses]
        home_region = self.rng.randrange(self.scene.regions)
        if demand.regional:
            weights = [
                w if i.region == home_region else 0.0 for w, i in zip(weights, self.ingresses, strict=True)
            ]
        return list(accumulate(weights))

    def schedule(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` in `delay_us`."""
        self.last_event_number += 1
        heapq.heappush(self.events, (self.now + delay_us, self.last_event_number, action))

    def start_ingress(self, ingress: Ingress) -> None:
        """Start the next incarnation of an ingress."""
        ingress.incarnation += 1
        ingress.quota = self.make_quota(f"edge{ingress.number}", ingress.incarnation)
        ingress.quota.configure(ingress.local_time(self.now), self.tenants)
        incarnation = ingress.incarnation
        self.schedule(
            self.rng.randrange(HEARTBEAT_INTERVAL_US // 5), lambda: self.send_heartbeat(ingress, incarnation)
        )
        self.schedule(self.rng.randrange(SYNC_INTERVAL_US), lambda: self.sync(ingress, incarnation))

    def start_coordinator(self) -> None:
        """Start a coordinator with the next epoch in a random region."""
        self.epoch += 1
        clock_offset_us = self.rng.randrange(10**10)
        process = CoordinatorProcess(
            QuotaCoordinator(self.epoch, self.now + clock_offset_us),
            self.rng.randrange(self.scene.regions),
            clock_offset_us,
        )
        process.coordinator.configure(self.now + clock_offset_us, self.tenants)
        self.coordinators.append(process)
        self.update_ingresses(process)

    def update_ingresses(self, process: CoordinatorProcess) -> None:
        """Give a coordinator the ingresses with a recent heartbeat, and repeat this while it serves."""
        if not process.is_serving:
            return
        nodes = {
            f"edge{i.number}": i.last_heartbeat_at + process.clock_offset_us
            for i in self.ingresses
            if self.now - i.last_heartbeat_at < HEARTBEAT_TIMEOUT_US
        }
        process.coordinator.set_ingresses(self.now + process.clock_offset_us, nodes)
        self.schedule(HEARTBEAT_INTERVAL_US, lambda: self.update_ingresses(process))

    # -- messages -------------------------------------------------------------------------

    def is_reachable(self, ingress: Ingress, process: CoordinatorProcess) -> bool:
        """Return whether a coordinator serves and is on the same side of a partition as the ingress."""
        if not process.is_serving:
            return False
        if process.reachable_ingresses is not None:
            return ingress.number in process.reachable_ingresses
        return not any(
            p.reachable_ingresses and ingress.number in p.reachable_ingresses
            for p in self.coordinators
            if p.is_serving
        )

    def can_receive(self, ingress: Ingress, process: CoordinatorProcess) -> bool:
        """Return whether a message of the coordinator is received by the ingress now."""
        return self.is_reachable(ingress, process) and not ingress.deaf and self.now >= ingress.stalled_until

    def draw_latency(self, ingress: Ingress, region: int) -> int:
        """Draw a one-latency_us latency (us) between an ingress and a region."""
        latency_us = self.scene.region_latency_us if ingress.region != region else MS
        latency_us += int(self.rng.expovariate(1.0 / (3 * MS)))
        if self.rng.random() < self.scene.delayed_ratio:
            latency_us += self.rng.randrange(600 * MS)
        return latency_us

    def send_heartbeat(self, ingress: Ingress, incarnation: int) -> None:
        """Send a heartbeat to the control nodes, which answer how many ingresses may be serving."""
        if ingress.incarnation != incarnation or ingress.quota is None:
            return
        if not ingress.mute and self.now >= ingress.stalled_until:
            ingress.last_heartbeat_at = self.now
            ingress_count = sum(
                self.now - i.last_heartbeat_at < HEARTBEAT_TIMEOUT_US and i.incarnation > 0
                for i in self.ingresses
            )
            quota = ingress.quota
            round_trip_us = 2 * self.draw_latency(ingress, (ingress.region + 1) % 3)
            if not ingress.deaf:
                self.schedule(
                    round_trip_us,
                    lambda: quota.set_ingresses(self.now + ingress.clock_offset_us, ingress_count, False),
                )
        self.schedule(HEARTBEAT_INTERVAL_US, lambda: self.send_heartbeat(ingress, incarnation))

    def sync(self, ingress: Ingress, incarnation: int) -> None:
        """Send a push, and repeat this at the sync interval."""
        if ingress.incarnation != incarnation or ingress.quota is None:
            return
        self.send_push(ingress, incarnation)
        self.schedule(SYNC_INTERVAL_US, lambda: self.sync(ingress, incarnation))

    def send_push(self, ingress: Ingress, incarnation: int) -> None:
        """Send the next push of an ingress to the newest coordinator that it reaches."""
        if ingress.incarnation != incarnation or ingress.quota is None or self.now < ingress.stalled_until:
            return
        push = ingress.quota.next_push(ingress.local_time(self.now))
        process = next((p for p in reversed(self.coordinators) if self.is_reachable(ingress, p)), None)
        if push is not None and process is not None:
            data = push.SerializeToString()
            self.count_message(data)
            if self.rng.random() >= self.loss_ratio and not ingress.mute:
                self.schedule(
                    self.draw_latency(ingress, process.region),
                    lambda: self.receive_push(ingress, incarnation, process, data),
                )

    def receive_push(
        self, ingress: Ingress, incarnation: int, process: CoordinatorProcess, data: bytes
    ) -> None:
        """Receive a push at a coordinator, and send the totals back."""
        if not self.is_reachable(ingress, process) or ingress.mute:
            return
        answer = process.coordinator.on_push(
            self.now + process.clock_offset_us, Push.FromString(data)
        ).SerializeToString()
        self.count_message(answer)
        self.send_alarm(process)
        if self.rng.random() >= self.loss_ratio:
            self.schedule(
                self.draw_latency(ingress, process.region),
                lambda: self.receive_totals(ingress, incarnation, process, answer),
            )

    def send_alarm(self, process: CoordinatorProcess) -> None:
        """Send the coordinator's alarm about exhausted tenants, if there is one, to all ingresses."""
        alarm = process.coordinator.alarm(self.now + process.clock_offset_us)
        if alarm is None:
            return
        data = alarm.SerializeToString()
        for ingress in self.ingresses:
            self.count_message(data)
            if self.rng.random() >= self.loss_ratio:
                latency_us = self.draw_latency(ingress, process.region)
                self.schedule(
                    latency_us,
                    lambda i=ingress, incarnation=ingress.incarnation: self.receive_alarm(  # type: ignore[misc]
                        i, incarnation, process, data
                    ),
                )

    def receive_alarm(
        self, ingress: Ingress, incarnation: int, process: CoordinatorProcess, data: bytes
    ) -> None:
        """Receive an alarm at an ingress."""
        if (
            ingress.quota is not None
            and ingress.incarnation == incarnation
            and self.can_receive(ingress, process)
        ):
            ingress.quota.on_alarm(ingress.local_time(self.now), Totals.FromString(data))

    def receive_totals(
        self, ingress: Ingress, incarnation: int, process: CoordinatorProcess, data: bytes
    ) -> None:
        """Receive totals at an ingress; one that is suspended processes them once it resumes."""
        if self.now < ingress.stalled_until:
            self.schedule(
                ingress.stalled_until - self.now,
                lambda: self.receive_totals(ingress, incarnation, process, data),
            )
        elif (
            ingress.quota is not None
            and ingress.incarnation == incarnation
            and self.can_receive(ingress, process)
        ):
            ingress.quota.on_totals(ingress.local_time(self.now), Totals.FromString(data))

    def count_message(self, data: bytes) -> None:
        """Count one message and its bytes."""
        self.byte_count += len(data)
        self.message_count += 1

    # -- requests ---------------------------------------------------------------------------

    def generate_request(self, number: int) -> None:
        """Send one request of a tenant to a random ingress, and schedule the next one."""
        record = self.tenant_records[number]
        rate = max(0.01, record.demand.rate * record.demand.load_ratio * self.load_factors[number])
        self.schedule(int(self.rng.expovariate(rate) * SECOND), lambda: self.generate_request(number))
        weights = self.ingress_weights[number]
        ingress = self.ingresses[bisect_left(weights, self.rng.random() * weights[-1])]
        self.handle_request(number, ingress)

    def handle_request(self, number: int, ingress: Ingress) -> None:
        """Decide one request at an ingress, and record the decision."""
        record = self.tenant_records[number]
        if self.now < ingress.stalled_until:
            self.schedule(ingress.stalled_until - self.now, lambda: self.handle_request(number, ingress))
            return
        if ingress.quota is None:
            return
        record.record_request(self.now)
        was_requested = ingress.quota.push_requested
        is_admitted = ingress.quota.admit(ingress.local_time(self.now), self.tenant_name(number))
        if ingress.quota.push_requested and not was_requested:
            incarnation = ingress.incarnation
            self.schedule(self.rng.randrange(TICK_INTERVAL_US), lambda: self.send_push(ingress, incarnation))
        if is_admitted:
            record.passed.append(self.now)
            record.unused_tokens -= 1.0
        elif record.unused_tokens >= 1.0:
            record.wrongly_rejected_count += 1
            record.refused_at.append((self.now, ingress.number))

    # -- faults ------------------------------------------------------------------------------

    def sample_ingresses(self, ratio: float) -> list[Ingress]:
        """Draw a ratio of the ingresses, at least one."""
        return self.rng.sample(self.ingresses, max(1, round(ratio * len(self.ingresses))))

    def inject(self, fault: Trouble) -> None:
        """Begin a fault by the method that is named after its kind."""
        getattr(self, f"inject_{fault.kind}")(fault)

    def inject_hot(self, fault: Trouble) -> None:
        """Multiply a tenant's load for a while."""
        self.load_factors[fault.which] = fault.factor
        self.schedule(fault.duration_us, lambda: self.load_factors.__setitem__(fault.which, 1.0))

    def inject_cut(self, fault: Trouble, directions: tuple[str, ...] = ("mute", "deaf")) -> None:
        """Partition some ingresses for a while, in the given directions."""
        affected = self.sample_ingresses(fault.factor)
        self.add_blocks(affected, directions, 1)
        self.schedule(fault.duration_us, lambda: self.add_blocks(affected, directions, -1))

    def inject_mute(self, fault: Trouble) -> None:
        """Drop what some ingresses send."""
        self.inject_cut(fault, ("mute",))

    def inject_deaf(self, fault: Trouble) -> None:
        """Drop what is sent to some ingresses."""
        self.inject_cut(fault, ("deaf",))

    def add_blocks(self, affected: list[Ingress], directions: tuple[str, ...], change: int) -> None:
        """Change the number of active partitions of ingresses by `change`, for each direction."""
        for ingress in affected:
            for direction in directions:
                setattr(ingress, direction, getattr(ingress, direction) + change)

    def inject_stall(self, fault: Trouble) -> None:
        """Suspend some ingresses."""
        for ingress in self.sample_ingresses(fault.factor):
            ingress.stalled_until = self.now + min(fault.duration_us, 3 * SECOND)

    def inject_move(self, fault: Trouble) -> None:
        """Replace the coordinator at once."""
        self.coordinators[-1].is_serving = False
        self.start_coordinator()

    def inject_shift(self, fault: Trouble) -> None:
        """Move a tenant's traffic to one region."""
        demand = replace(self.scene.demands[fault.which], regional=True)
        self.ingress_weights[fault.which] = self.draw_weights(demand)

    def inject_core(self, fault: Trouble) -> None:
        """Stop the coordinator; its successor starts after the lease."""
        self.coordinators[-1].is_serving = False
        self.schedule(TAKEOVER_DELAY_US + self.rng.randrange(SECOND), self.start_coordinator)

    def inject_split(self, fault: Trouble) -> None:
        """Partition the coordinator together with some ingresses until its lease ends."""
        process = self.coordinators[-1]
        process.reachable_ingresses = frozenset(i.number for i in self.sample_ingresses(fault.factor))
        self.schedule(LEASE_US, lambda: setattr(process, "is_serving", False))
        self.schedule(TAKEOVER_DELAY_US, self.start_coordinator)

    def inject_restart(self, fault: Trouble) -> None:
        """Restart some ingresses."""
        for ingress in self.sample_ingresses(fault.factor):
            ingress.quota = None
            self.schedule(300 * MS + self.rng.randrange(SECOND), lambda i=ingress: self.start_ingress(i))  # type: ignore[misc]

    def inject_limit(self, fault: Trouble) -> None:
        """Change a tenant's quota; processes receive the configuration at random times within a second."""
        tenant = self.make_tenant(fault.which, fault.factor)
        self.tenants = {**self.tenants, tenant.name: tenant}
        tenants = self.tenants
        record = self.tenant_records[fault.which]
        for ingress in self.ingresses:
            self.schedule(self.rng.randrange(SECOND), lambda i=ingress: self.configure(i, tenants))  # type: ignore[misc]
        for process in self.coordinators:
            self.schedule(
                self.rng.randrange(SECOND // 4),
                lambda p=process: p.coordinator.configure(self.now + p.clock_offset_us, tenants),  # type: ignore[misc]
            )
        is_lowered = fault.factor < 1.0
        self.schedule(
            SECOND if is_lowered else 0,
            lambda: record.change_limit(self.now, tenant.rate_per_s, tenant.burst_size),
        )

    def configure(self, ingress: Ingress, tenants: dict[str, Tenant]) -> None:
        """Apply a configuration at an ingress unless a newer one exists."""
        if ingress.quota is not None and tenants is self.tenants:
            ingress.quota.configure(ingress.local_time(self.now), tenants)

    def inject_loss(self, fault: Trouble) -> None:
        """Lose a ratio of all messages for a while."""
        self.loss_ratio = fault.factor
        self.schedule(fault.duration_us, lambda: setattr(self, "loss_ratio", self.scene.loss_ratio))

    # -- a run ----------------------------------------------------------------------------------

    def run(self) -> Found:
        """Run the scene to its end."""
        self.start_coordinator()
        for ingress in self.ingresses:
            self.start_ingress(ingress)
        # Traffic starts when all processes have exchanged messages.
        for number in range(len(self.tenant_records)):
            self.schedule(2 * SECOND, lambda n=number: self.generate_request(n))  # type: ignore[misc]
        for fault in self.scene.troubles:
            self.schedule(fault.at_us, lambda t=fault: self.inject(t))  # type: ignore[misc]
        while self.events and self.events[0][0] < self.scene.length:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return Found(
            self.tenant_records,
            self.byte_count / self.scene.length * SECOND / self.scene.ingresses,
            self.message_count,
        )


@dataclass(slots=True, frozen=True)
class Found:
    """The result of a run.

    :param bytes_each: bytes per second and ingress in both directions, without frame headers
    :param messages: messages in the whole run
    """

    books: list[TenantRecord]
    bytes_each: float
    messages: int

    def wrong(self) -> list[str]:
        """Return one line for each tenant that was admitted more than its bound in some window."""
        violations = []
        for number, record in enumerate(self.books):
            used_ratio, ended_at = record.worst()
            if used_ratio > 1.0:
                violations.append(
                    f"tenant {number} passed {used_ratio:.3f} of its bound until {ended_at / SECOND:.2f} s"
                )
        return violations
