"""Every decision of vetchusher.  Its types, events and actions: vetchusher/interface.py.

The ordinary path is the two-window sliding count: a request passes if the customer's global total of this
window, plus the last one's by its remaining weight, plus its own units stays within the limit.  A timer
pushes what passed and takes back the totals.  All else is a guard; its comment names the danger it is for.
"""

from __future__ import annotations

import random

from vetchusher import interface as api
from vetchusher.interface import Actions, FleetKind
from vetchusher.limits import SYNC_SLICES, SYNC_US, Tuning
from vetchusher.state import Logbook

from .choice import Fleet
from .quota import Quota
from .refusals import Refusals
from .repeats import LATE_TOKEN, TICK_TOKEN, TOKEN_KIND, WATCH_TOKEN, Repeats

__all__ = ["AdmissionPolicy"]


class AdmissionPolicy:
    """One gateway's decisions.  Feed it events in order; carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, tuning: Tuning | None = None) -> None:
        self.settings = settings
        log = Logbook()
        self.quota = Quota(settings, log, tuning)
        self.fleet = Fleet(settings, random.Random(seed), log)
        self.repeats = Repeats(settings, self.quota, self.fleet)
        self.refusals = Refusals(settings, self.quota, self.fleet, self.repeats)

    def handle(self, now: int, event: api.Event) -> Actions:
        """All that is to be done about one event; stale and unknown events give nothing."""
        acts: Actions = []
        if self.quota.born < 0:
            self.quota.born = now
            self.quota.limits.begin(now)
            if self.settings.counter:
                acts.append(api.SetTimer(SYNC_US // SYNC_SLICES, TICK_TOKEN))
            if self.settings.subscribe:
                acts.append(api.SubscribeFleet(True))
        if isinstance(event, api.AttemptEnded):
            self.repeats.attempt_ended(now, event, acts)
        elif isinstance(event, api.RequestArrived):
            self.refusals.request_arrived(now, event, acts)
        elif isinstance(event, api.CounterAnswered):
            for held in self.quota.answered(now, event, acts):
                self.refusals.decide(now, held, acts)
        elif isinstance(event, api.TimerFired):
            self.timer_fired(now, event.token, acts)
        elif isinstance(event, api.PeerMessage):
            self.quota.limits.heard(now, event.sender, event.data)
        elif isinstance(event, api.TierSeen):
            self.fleet.seen(len(event.living))
            self.quota.line.seen(len(event.living))
            self.quota.limits.seen(event.living)
        elif isinstance(event, api.FleetChanged):
            self.fleet.changed(now, event)
            if event.kind == FleetKind.FAILED and self.settings.subscribe:
                acts.append(api.SetTimer(self.settings.ask_within // 8, WATCH_TOKEN))
        elif isinstance(event, api.ClientGone | api.AnswerBegan):
            if (job := self.repeats.jobs.get(event.request)) is not None:
                job.streaming = isinstance(event, api.AnswerBegan)
                if not job.streaming:
                    self.repeats.finish(job, acts)
        return acts

    def timer_fired(self, now: int, token: int, acts: Actions) -> None:
        kind = token & TOKEN_KIND
        if kind == TICK_TOKEN:
            self.quota.tick(now, acts)
            acts.append(api.SetTimer(SYNC_US // SYNC_SLICES, TICK_TOKEN))
        elif kind == WATCH_TOKEN:
            acts.append(api.SubscribeFleet(True))
        elif kind == LATE_TOKEN and (late := self.repeats.jobs.get(token & ~TOKEN_KIND)) is not None:
            self.repeats.late(now, late, acts)
