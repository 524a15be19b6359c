"""Every decision of a gateway; the settings, events and actions are in vetchusher/interface.py.

A two-window sliding count admits a request if its tenant's global total of this window, plus the previous
one's by its remaining share, plus its own units stay within the limit; a timer pushes counts, reads totals.
"""

from __future__ import annotations

import random

from vetchusher import interface as api
from vetchusher.interface import Actions, FleetKind
from vetchusher.limits import PUSH_INTERVAL_US, PUSH_SLICES, Tuning
from vetchusher.state import ThrottledLog

from .choice import Fleet
from .quota import Quota
from .refusals import Admission
from .repeats import LATE_TIMER, RESUBSCRIBE_TIMER, TICK_TIMER, TIMER_KIND_MASK, AttemptTracker

__all__ = ["AdmissionPolicy"]


class AdmissionPolicy:
    """The decisions of one gateway: takes events in order, and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int, tuning: Tuning | None = None) -> None:
        """Start without workers and tenants; `seed` fixes all random choices."""
        self.settings = settings
        log = ThrottledLog()
        self.quota = Quota(settings, log, tuning)
        self.fleet = Fleet(settings, random.Random(seed), log)
        self.attempts = AttemptTracker(settings, self.quota, self.fleet)
        self.admission = Admission(settings, self.quota, self.fleet, self.attempts)

    def handle(self, now: int, event: api.Event) -> Actions:
        """Return the actions that an event calls for; stale and unknown events call for none."""
        actions: Actions = []
        if self.quota.started_at < 0:
            self.quota.started_at = now
            self.quota.limits.start(now)
            if self.settings.counter:
                actions.append(api.SetTimer(PUSH_INTERVAL_US // PUSH_SLICES, TICK_TIMER))
            if self.settings.subscribe:
                actions.append(api.SubscribeFleet(True))
        if isinstance(event, api.AttemptEnded):
            self.attempts.on_attempt_ended(now, event, actions)
        elif isinstance(event, api.RequestArrived):
            self.admission.on_request(now, event, actions)
        elif isinstance(event, api.CounterAnswered):
            for waiting in self.quota.on_counter_answer(now, event, actions):
                self.admission.decide(now, waiting, actions)
        elif isinstance(event, api.TimerFired):
            self.on_timer(now, event.token, actions)
        elif isinstance(event, api.PeerMessage):
            self.quota.limits.datagram_received(now, event.sender, event.data)
        elif isinstance(event, api.LiveGatewaysChanged):
            self.fleet.set_live_gateways(len(event.live_gateways))
            self.quota.call_queue.set_gateway_count(len(event.live_gateways))
            self.quota.limits.set_live_gateways(event.live_gateways)
        elif isinstance(event, api.FleetChanged):
            self.fleet.update(now, event)
            if event.kind == FleetKind.FAILED and self.settings.subscribe:
                actions.append(api.SetTimer(self.settings.resubscribe_within // 8, RESUBSCRIBE_TIMER))
        elif isinstance(event, api.ClientDisconnected | api.ResponseStarted):
            if (job := self.attempts.jobs.get(event.request)) is not None:
                job.streaming = isinstance(event, api.ResponseStarted)
                if not job.streaming:
                    self.attempts.finish(job, actions)
        return actions

    def on_timer(self, now: int, token: int, actions: Actions) -> None:
        """Dispatch a timer by the kind in its token; the low bits of a late timer are the request."""
        kind = token & TIMER_KIND_MASK
        if kind == TICK_TIMER:
            self.quota.tick(now, actions)
            actions.append(api.SetTimer(PUSH_INTERVAL_US // PUSH_SLICES, TICK_TIMER))
        elif kind == RESUBSCRIBE_TIMER:
            actions.append(api.SubscribeFleet(True))
        elif kind == LATE_TIMER and (late := self.attempts.jobs.get(token & ~TIMER_KIND_MASK)) is not None:
            self.attempts.on_late_timer(now, late, actions)
