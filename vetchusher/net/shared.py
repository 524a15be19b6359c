"""I/O for the work that the load balancers of a site share: voting lock, report sink, lease engine."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

from vetchusher.datagrams.parts import SharedWork
from vetchusher.duties.work import DutiesWork
from vetchusher.settings.fleet import FleetSettings

from . import effects as fx
from .config import Config
from .reducer import SHARED_WORK_TIMER_TOKEN
from .runtime import Runtime
from .sink import ReportSink
from .votes import VotingLock

if TYPE_CHECKING:
    from vetchusher.membership.work import MembershipWork

    from .engine import LeaseEngineClient


class SharedServices:
    """This process's part of the shared work; created, opened and closed by `LoadBalancer`."""

    def __init__(
        self, runtime: Runtime, config: Config, fleet: FleetSettings, rng: random.Random, path: str
    ) -> None:
        """Create the parts that the settings switch on, and register them with the reducer."""
        self.runtime = runtime
        work_class: type[DutiesWork] = DutiesWork
        self.engine: LeaseEngineClient | None = None
        if fleet.engine:
            from vetchusher.duties.engine_work import EngineDutiesWork

            from .engine import LeaseEngineClient

            work_class, self.engine = EngineDutiesWork, LeaseEngineClient(runtime, fleet.engine)
        self.work = work_class(
            fleet.plan,
            config.settings.index,
            max(1, runtime.clock.now() // 1000 & 0xFFFFFFFF),
            runtime.clock.offset_us,
            time.monotonic_ns(),
            rng,
            self.report_figures,
            fleet.key,
            fleet.period_s,
            fleet.log_renewals,
            fleet.clock_rate,
        )
        self.members: MembershipWork | None = None
        if fleet.members is not None:
            from vetchusher.membership.work import MembershipWork

            self.members = MembershipWork(
                fleet.members,
                config.settings.index,
                max(1, runtime.clock.now() // 1000),
                runtime.clock.offset_us,
                self.work.pace,
                lambda: self.work.envelope,
                rng,
            )
        further_parts = (self.members,) if self.members is not None else ()
        self.parts = SharedWork(self.work, further_parts)
        runtime.reducer.shared_work = self.parts
        self.votes = VotingLock(runtime, config.name, fleet.plan.digest(), path)
        self.sink = ReportSink(runtime, fleet.sink, self.work.may_deliver)

    def report_figures(self) -> tuple[int, ...]:
        """Return the figures of a report, in the order of `duties.report.FIGURE_NAMES`."""
        reducer = self.runtime.reducer
        request_counts = reducer.counts
        counts = (
            sum(request_counts.served),
            sum(request_counts.rejected),
            sum(request_counts.failed),
            request_counts.attempts,
        )
        return (*counts, reducer.open_request_count(), reducer.skipped_servers())

    def open(self) -> None:
        """Start the shared work, and voting if this process is a voter.

        :raises OSError: if the lock file cannot be opened
        """
        self.parts.begin(self.runtime.clock.now())
        if self.engine is None and self.work.duties.number in self.work.duties.plan.voters:
            self.votes.open()
        self.runtime.feed(fx.TimerDue(SHARED_WORK_TIMER_TOKEN))

    def roles_status(self) -> dict[str, Any]:
        """Return the state of the singleton roles, as the console shows it."""
        return self.work.status(self.runtime.clock.now())

    def members_status(self) -> dict[str, Any] | None:
        """Return the state of the membership, or None where it is off."""
        return self.members.status(self.runtime.clock.now()) if self.members is not None else None

    def readiness_notes(self) -> str:
        """Return known problems with this process's messages to its peers; empty if none."""
        return self.members.connectivity_fault(self.runtime.clock.now()) if self.members is not None else ""

    async def close(self) -> None:
        """End the shared work, then close its parts."""
        self.runtime.feed(fx.ProcessEnding())
        await self.sink.close()
        if self.engine is not None:
            await self.engine.close()
        self.votes.close()
