"""Every decision of vetchusher.  Its types, events and actions: vetchusher/interface.py.

The ordinary path is the two-window sliding count: a request passes if the customer's global total of this
window, plus the last one's by its remaining weight, plus its own units stays within the limit.  A timer
pushes what passed and takes back the totals.  All else is a guard; its comment names the danger it is for.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import islice

from . import interface as api
from .fleet import SHED_SPAN, Shedding, holders, slowstart, subset, turn, widen
from .interface import Effect, FleetKind, Outcome, RequestClass, Scope, WorkerState
from .limits import SYNC_SLICES, SYNC_US, CallLine, Limits, Tuning, near
from .state import Attempt, Customer, Kind, Logbook, Window, Worker, mix64, window_length

# Tuned values: quota
STALE_US = 400_000  # us a customer's own units may stay unconfirmed before its totals are doubted
THIN_UNITS, THIN_DOORS = 3.0, 3.0  # of the limit a door beyond these: with less own traffic tells nothing
UNUSED_LEFT = 0.05  # of the burst: what must stay unused for the unused-quota exception
PASS_COST, COUNTED_LEAST = 0.2, 0.3  # stake where excess costs nothing; least share that totals hold
BEYOND_GAIN, PASS_LEAST = 0.12, 0.1  # weight of the newest sample in a plan's share beyond; passed at least
SHARE_GAIN, SHARE_LEAST = 0.3, 4.0  # newest sample of the share seen here; lumps below which it is chance
LAST_READ_US = 110_000  # us after a window's end when all have pushed what they passed in it
LOST_TOLERANCE = 1e-5  # relative: totals come back with seven digits
NAME_SPARE_US, NAME_MOST_US = 2_000_000, 60_000_000  # us a name outlives its use; none is kept longer
SWEPT = 8  # customers looked at each tick for idle ones: bounds memory under one-off crowds
# Routing and health
FIRST_GUESS_PART = 0.15  # of a class's aim: latency assumed before any answer
LATENCY_GAIN, SLOWNESS_GAIN = 0.05, 0.1  # weight of the newest answer: class and kind, and worker
CHOICES = 16  # workers looked at when two were no good: a whole fleet is too many
REPORT_US = 1_500_000  # us after which a load report says nothing
UTIL_HELD = 3.0  # requests held that a fully busy worker is taken to have, where only busyness is told
FAILS_TO_EJECT, EJECT_US = 3, 2_000_000  # failures in a row, one may be chance; us of rest
ERRORS_RARE, ERROR_GAIN = 0.15, 0.02  # share of errors below which one tells; weight of the newest attempt
RESTS_MOST = 3  # times a rest doubles
EJECT_MOST = 0.5  # of the ready workers: ejecting more would bury the rest
CONNECT_GAIN, LEAN_MOST = 0.2, 0.85  # weight of the newest connect; the rest tells when they work again
SHUT_US, SHUT_MOST = 250_000, 5  # us of rest after a refused connect, and the times it doubles
# Overload
LIMIT_FIRST = 8.0  # requests out at one worker from all gateways: a guess that no worker size makes a jam
LIMIT_LEAST, LIMIT_MOST = 0.2, 64.0  # the same from here
LIMIT_GOOD, LIMIT_BAD = 0.17, 0.27  # of the aim: an answer below raises the limit, above cuts it
BUSY_CUT = 0.93  # busy share: a worker driven at full has no room for chance
LIMIT_CUT, LIMIT_PAUSE_US = 0.7, 200_000  # factor of a cut, and us between two: one jam is one cut
LATE_PART, PROMPT_PART = 0.3, 0.1  # of the aim: later is late; a full queue turns away sooner than this
# Attempts
HEDGE_MEANS, RETRY_EARN, RETRY_MOST = 4.0, 0.1, 20.0  # means before a copy; retries earned each, kept
BACK_PART = 0.1  # of the aim: when clients refused in a jam shall come back; longer costs them the aim

Actions = list[api.Action]
TICK_TOKEN, LATE_TOKEN, WATCH_TOKEN, TOKEN_KIND = 1 << 60, 2 << 60, 3 << 60, 15 << 60
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


def prompt(event: api.AttemptEnded, spec: RequestClass) -> bool:
    """Whether a worker said at once that it is full.  Danger: one that takes long to say so has room and
    turns away one plan or class only; taken for a jam, it would be lost to all the others."""
    return event.latency < PROMPT_PART * spec.aim


class Quota:
    """Counts, pushes and the doubts about the counter."""

    def __init__(self, settings: api.Settings, log: Logbook, tuning: Tuning | None = None) -> None:
        self.settings = settings
        self.log = log
        self.born = -1
        self.customers: dict[int, Customer] = {}
        self.calls: dict[int, tuple[Customer, Window]] = {}
        self.held: dict[int, list[Job]] = {}  # by the name of the call they wait for
        self.limits = Limits(settings, self.customers, tuning)
        self.line = CallLine(settings)
        # Of the requests with a total: share beyond quota, by plan; apart, for customers seen here within a
        # window: behind many doors who comes so soon again asks for much, and would shut out all the others.
        self.beyond = [[0.0] * len(settings.plans) for _ in range(2)]
        self.counted = [1.0] * len(settings.plans)  # of the requests passed: share that totals hold, by plan
        self.stake = 0.0  # mean worth at stake in a request

    def customer(self, now: int, event: api.RequestArrived, acts: Actions) -> Customer:
        doors, key = event.doors, event.customer << 16 | event.plan_id
        if (who := self.customers.get(key)) is None:
            plan = self.settings.plans[event.plan_id]
            length = window_length(plan)
            index = now // length if length else 0
            doors = max(1.0, doors)
            # The ceiling store starts empty at birth: a restart must not refill it.
            level = min(plan.ceiling_burst, (now - self.born) * plan.ceiling_rate / 1e6) / doors
            cur, prev = Window(index), Window(index - 1)
            thin = self.settings.counter and length > 0 and plan.burst < THIN_UNITS * (doors - THIN_DOORS)
            who = Customer(key, plan, doors, length, cur, prev, now, level, now, thin, 1.0 / doors)
            self.customers[key] = who
            who.first = event.first_door
            self.limits.fill(who)
            if length and self.settings.counter and not thin:
                who.cur.known, who.prev.known = False, False
                self.line.line_up(who)  # the immediate read
                self.pump(now, acts)
        else:
            who.recent = now - who.seen_at < who.length
            who.seen_at, who.doors = now, max(doors, who.doors)
            self.roll(now, who)
        return who

    def roll(self, now: int, who: Customer) -> None:
        """Move to the window of `now`."""
        step = now // who.length - who.cur.index if who.length else 0
        if step == 1:
            who.noted -= who.prev.count()
            ended, who.cur = who.cur, Window(who.cur.index + 1)
            if ended.diff < 0.0 and not who.thin:  # given back, and not yet used by what passed since
                who.cur.settle(ended.diff)
                ended.settle(-ended.diff)
            who.prev = ended
            who.last_due = near(who) or who.prev.at < now - 3 * who.length // 2
            self.limits.fill_window(who, who.cur)
        elif step > 1:
            who.prev, who.cur = Window(who.cur.index + step - 1), Window(who.cur.index + step)
            who.unsure_since, who.noted, who.last_due = -1, 0.0, True
            self.limits.fill(who)
        if step:
            who.heard_at = -1

    def unused(self, now: int, who: Customer) -> float:
        gained = (now - who.unused_at) * who.plan.rate / 1e6
        total = who.cur.count() + who.prev.count()
        who.unused = min(who.plan.burst, who.unused + gained) - (total - who.noted)
        who.unused_at, who.noted = now, total
        return who.unused

    def usage(self, now: int, who: Customer, units: float, own: float) -> float:
        """Part of the limit used once these units pass; above 1 the request is beyond quota."""
        if not who.length:
            return 0.0
        weight = (who.length - now % who.length) / who.length
        limit = who.plan.burst
        unused = self.unused(now, who)
        used = who.cur.count() + who.prev.count() * weight + units
        if not who.counted and self.limits.whole(now, who):
            self.first_total(now, who)
        if who.thin and self.limits.marks.spent(now, who):
            return 2.0
        if who.thin and not self.blind(now, who):
            # Others pass as much without a call as this gateway does: totals lack it, not its own units.
            others = max(0.0, who.cur.count() - own) / self.counted[who.key & 0xFFFF]
            used, allowed = others + own + units, self.limits.marks.allowed(now, who)
            if own and used > allowed:
                self.limits.spent(now, who, used - own)
            return used / max(1e-9, allowed)
        if who.thin or not who.counted:
            allowed = self.limits.unknown_allowance(now, who, units)
            return (who.cur.mine + who.prev.mine * weight + units) / max(1e-9, allowed)
        stale = who.unsure_since >= 0 and now - who.unsure_since > STALE_US
        # Exception.  Danger: on old totals each gateway passes the rest: take others to pass as before.
        unused -= self.limits.lend(now, who, stale)
        used += who.lent
        if unused < units and who.plan.over_cost > who.plan.over_worth:
            # Exception.  Danger: what stale totals let through beyond the quota is forgotten two windows on.
            return max(2.0, used / limit)
        if used > limit and unused - units >= UNUSED_LEFT * limit:
            # Exception.  Danger: windows forget quota left unused before them; fresh totals show it.
            return 1.0
        return used / limit

    def first_total(self, now: int, who: Customer) -> None:
        """Begin the store at this window's turn: below half of the quota it was full but for chance."""
        known = who.prev.count()
        who.unused = min(who.plan.burst, 2.0 * max(0.0, who.plan.burst - known))
        who.unused_at, who.noted, who.counted = now - now % who.length, known, True

    def blind(self, now: int, who: Customer) -> bool:
        return who.heard_at < 0 or now - who.heard_at > STALE_US

    def hold(self, now: int, job: Job, acts: Actions) -> bool:
        """Exception.  Danger: behind hundreds of doors each sees a customer for the first time with almost
        every request; judged alone it is let in everywhere.  While an even share of the limit is less than
        a request, the request's units are pushed at once and it waits for that one answer."""
        who = job.who
        if not (who.thin and self.blind(now, who)) or self.limits.marks.spent(now, who):
            return False
        if job.deadline - now < 2 * self.settings.counter_timeout:
            return False
        name = mix64(mix64(who.key) + who.cur.index)
        if name not in self.calls:
            # Scarce calls go where most is at stake: worth that would be refused or paid for.
            stake = job.spec.worth * who.plan.price * job.units * (PASS_COST + who.plan.over_cost)
            self.stake += BEYOND_GAIN * (stake - self.stake)
            if self.line.paid(now) < min(2.0, max(1.0, self.stake / max(1e-9, stake))):
                return False
        job.held_in = who.cur
        who.cur.mine += job.units
        who.cur.diff += job.units
        self.held.setdefault(name, []).append(job)
        if name not in self.calls:
            who.cur.known = False  # the call must be made even if units taken back leave nothing to push
            self.push(who, acts)
        return True

    def passes_unseen(self, who: Customer, pick: float) -> bool:
        """Without a call to spare the plan's other requests tell the odds.  Danger: passing all costs more
        than it earns when most are beyond quota; passing none shuts honest customers out."""
        plan, beyond = who.plan, self.beyond[who.recent][who.key & 0xFFFF]
        gain = 1.0 - beyond * (1.0 + plan.over_cost - plan.over_worth)
        return pick < max(PASS_LEAST, gain)

    def give_back(self, job: Job) -> None:
        """Units that were counted but not passed.  Danger: left there, they shut out whoever comes next,
        whose units stay there as well; at forty gateways totals held twice what had passed."""
        if (window := job.held_in) is not None:
            window.mine -= job.units
            window.diff -= job.units
            self.line.queue(job.who)

    def under_ceiling(self, now: int, who: Customer, units: float) -> bool:
        """A fixed part of rate and burst, the slack never spent: safe whatever the counter does."""
        plan = who.plan
        if plan.ceiling_rate <= 0:
            return True
        gained = (now - who.ceiling_at) * plan.ceiling_rate / 1e6
        who.ceiling = min(plan.ceiling_burst / who.doors, who.ceiling + gained / who.doors)
        who.ceiling_at = now
        return who.ceiling >= units

    def bars(self, now: int, who: Customer, units: float) -> bool:
        """Whether the ceiling, or the share of the cap on open requests, keeps this one out."""
        cap = who.plan.open_limit * max(who.share, 1.0 / who.doors)
        return (cap > 0.0 and who.out >= max(1.0, cap)) or not self.under_ceiling(now, who, units)

    def take(self, now: int, who: Customer, units: float, counted: bool) -> None:
        if who.thin:
            plan_id = who.key & 0xFFFF
            share = self.counted[plan_id]
            share += BEYOND_GAIN * ((counted or not self.blind(now, who)) - share)
            self.counted[plan_id] = max(COUNTED_LEAST, share)
        if who.plan.ceiling_rate > 0:
            who.ceiling -= units
        if who.length and not counted:
            who.cur.mine += units
            who.alone += units
            self.owe(now, who, units)
            self.limits.passed(who)

    def settle(self, now: int, who: Customer, units: float) -> None:
        """Book what a request counted beyond its guess, or below it."""
        who.cur.mine += units
        self.owe(now, who, units)

    def owe(self, now: int, who: Customer, units: float) -> None:
        """Put units in the current diff and have it pushed."""
        who.cur.diff += units
        if self.settings.counter and (who.thin or who.cur.diff > 0.0):
            if who.unsure_since < 0:
                who.unsure_since = now
            if not who.thin:  # a call of its own tells nobody more than `counted` does
                self.line.queue(who)

    def tick(self, now: int, acts: Actions) -> None:
        """Push one slice of the customers that owe."""
        self.line.turn()
        self.pump(now, acts)
        self.sweep(now)
        self.limits.tick(now, acts.append)

    def pump(self, now: int, acts: Actions) -> None:
        """Make the calls that there are tokens for."""
        self.line.drop_old(now)
        while (who := self.line.take(now)) is not None:
            self.roll(now, who)
            if who.last_due and now % who.length > LAST_READ_US:
                # Danger: what the others passed at a window's end and pushed after this gateway's last
                # call for it stays unseen; forgotten at every turn, it adds up to a fifth of the quota.
                who.last_due, who.prev.known = False, False
            self.push(who, acts)

    def push(self, who: Customer, acts: Actions) -> None:
        for window in (who.prev, who.cur):
            # Danger: a total that others' corrections lower looks like one that lost counts.  What is below
            # nothing stays here until what passes next has used it: totals only grow.
            due = window.diff if who.thin else max(0.0, window.diff)
            if not due and not window.restore and window.known:
                continue
            name = mix64(mix64(who.key) + window.index)
            if name in self.calls:
                self.line.queue(who)
                continue
            window.sent, window.restoring = due, window.restore
            window.diff -= due
            window.restore = 0.0
            self.calls[name] = (who, window)
            self.line.called()
            life = min(NAME_MOST_US, 2 * who.length + NAME_SPARE_US)
            acts.append(api.Count(name, window.sent + window.restoring, life))

    def answered(self, now: int, event: api.CounterAnswered, acts: Actions) -> list[Job]:
        """Take in one answer; the requests that waited for it."""
        if event.name not in self.calls:
            return []
        who, window = self.calls.pop(event.name)
        sent, window.sent = window.sent, 0.0
        if event.outcome == Outcome.OK:
            self.line.answered(event.latency)
            must = window.seen + sent + window.restoring
            if who.thin:  # others may have taken back units of requests not passed
                must -= 2.0 * self.settings.most_units
            if event.total < must - LOST_TOLERANCE * must - 0.01:
                # Counts were lost.  Keep what stood there until the window ages out, and add again
                # only what this gateway had put in: the others restore theirs, nothing counts twice.
                window.floor = max(window.floor, window.total) + sent
                window.restore = min(window.acked, must - event.total)
                self.limits.health.lost_counts(now, (window.index + 2) * who.length)
                self.log.add(now, acts, "lost", "counter lost counts: keeping floors, restoring own")
                self.line.queue(who)
            elif window.floor:
                window.floor += sent
            elsewhere = event.total - must
            window.acked += sent
            window.seen = event.total
            window.total = max(event.total, window.floor)
            self.limits.total_came(now, who, window, sent, elsewhere)
            if not who.counted and window is who.prev:
                self.first_total(now, who)
            window.known = True
            if window is who.cur:
                who.heard_at = now
            if window.diff <= 0.0:
                who.unsure_since = -1
            if (total := who.cur.count() + who.prev.count()) >= SHARE_LEAST * self.limits.health.lump:
                who.share += SHARE_GAIN * (min(1.0, (who.cur.mine + who.prev.mine) / total) - who.share)
        else:
            self.limits.health.failed(now)
            if event.outcome != Outcome.ERROR:  # an unreadable answer tells nothing of the pace
                self.line.failed()
            if self.line.crawls():
                self.log.add(now, acts, "counter", "counter failing: customers held to their share here")
            if event.outcome in (Outcome.TIMEOUT, Outcome.ERROR):
                window.total += sent  # it may stand there: never sent twice
            else:
                window.diff += sent  # it does not stand there
                window.restore += window.restoring
            window.known = who.thin  # totals are old: read again when next due
            if who.unsure_since < 0:
                who.unsure_since = now
            self.line.queue(who)
        window.restoring = 0.0
        self.pump(now, acts)
        return self.held.pop(event.name, [])

    def sweep(self, now: int) -> None:
        """Drop customers idle for two windows, once their ceiling store would be full anyway."""
        for key in list(islice(self.customers, SWEPT)):
            who = self.customers.pop(key)
            idle = not (who.out or who.queued) and now - who.seen_at >= 2 * who.length
            if not (idle and self.under_ceiling(now, who, who.plan.ceiling_burst / who.doors - 1e-6)):
                self.customers[key] = who  # to the end of the line


class Fleet:
    """What is known of the workers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random, log: Logbook) -> None:
        self.settings = settings
        self.random = rng
        self.log = log
        self.workers: dict[int, Worker] = {}
        self.ready: list[Worker] = []
        self.kinds: dict[int, Kind] = {}
        self.near: list[Worker] = []  # the ready ones that this gateway prefers
        self.wide = 1  # slices of the fleet that this gateway prefers
        self.holders = settings.gateways  # gateways that prefer a worker
        self.cold_until = 0  # some worker may be cold until then
        self.errors = 0.0  # share of attempts that end with an error
        self.resting = 0  # ready workers ejected or on trial
        self.links: list[Worker] = []  # with a connection open from here
        self.light: Worker | None = None  # the last told to hold less than the mean, until the next choice
        self.held = 0.0  # mean that reports tell of others' requests at a worker
        self.refused = 0.0  # share of new connections that were refused, over all workers
        self.means = [c.aim * FIRST_GUESS_PART for c in settings.classes]
        self.shedding = Shedding(settings.gateways)

    def changed(self, now: int, event: api.FleetChanged) -> None:
        if event.kind == FleetKind.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.worker)
            worker = self.workers.get(entry.worker)
            if worker is None:
                kind = self.kinds.setdefault(entry.kind, Kind())
                worker = Worker(entry.worker, entry.zone, entry.cell, kind, 0.0)
                self.workers[entry.worker] = worker
            worker.zone, worker.cell = entry.zone, entry.cell
            worker.ready = entry.state == WorkerState.READY  # drains: nothing new from this instant
            if entry.started_at > worker.started_at:
                worker.started_at, worker.cold_until = entry.started_at, 0
        if event.kind != FleetKind.DELTA:
            for worker in self.workers.values():
                worker.ready = worker.ready and worker.id in named
        self.ready = [w for w in self.workers.values() if w.ready]
        self.settle()
        self.resting = sum(w.on_trial for w in self.ready)
        # Danger: fleets are replaced for ever; attempts still out hold their own reference.
        gone = {e.worker for e in event.entries if e.state == WorkerState.GONE}
        stays = self.workers.keys() - gone if event.kind == FleetKind.DELTA else named - gone
        self.workers = {w.id: w for w in self.workers.values() if w.id in stays}
        for worker in self.links:
            worker.linked = worker.ready
        self.links = [w for w in self.links if w.ready]

    def settle(self) -> None:
        """After a change: whom this gateway prefers, first limits, and the parts of cold workers' budgets."""
        rules, n = self.settings, len(self.ready)
        preferred = subset((w.id for w in self.ready), rules.index, rules.gateways)
        # Danger: both sides of a cut think the other dead.  Cold workers go by the settings' parts alone.
        wider = preferred
        if self.wide > 1:
            wider = subset((w.id for w in self.ready), rules.index, rules.gateways, self.wide)
        self.near = [w for w in self.ready if w.id in wider]
        self.holders, mine = holders(n, rules.gateways), turn(rules.index, n, rules.gateways)
        work = slowstart.work_of(max(self.means), rules.classes)
        for worker in self.workers.values():
            worker.near = worker.id in preferred
            if worker.started_at and not worker.cold_until:
                slowstart.begin(worker, work, rules, self.holders, mine)
                self.cold_until = max(self.cold_until, worker.cold_until)
            worker.limit = worker.limit or max(LIMIT_LEAST, LIMIT_FIRST / self.holders)

    def seen(self, living: int) -> None:
        """So many gateways serve: the others' workers are preferred by these as well."""
        wide = widen(self.wide, living, self.settings.gateways)
        if wide != self.wide:
            self.wide = wide
            self.settle()

    def open(self, now: int, worker: Worker, usage: float) -> bool:
        """Whether a worker may take one more request now."""
        if now < worker.ejected_until or now < worker.closed_until:
            return False
        if now < worker.cold_until and (now < worker.cold_next or not worker.near):
            return False
        if (worker.on_trial and worker.out) or worker.linked_until <= now < worker.shut_until:
            return False
        bound = worker.limit * (1.0 - SHED_SPAN * min(1.0, usage))
        if bound >= 1.0:
            return worker.out < bound
        # Below one, rests make up the fraction: one each from many gateways may already be a jam.
        return worker.out == 0 and now - worker.ended_at >= (1.0 / bound - 1.0) * self.means[0]

    def cost(self, now: int, worker: Worker) -> float:
        others = worker.others if now - worker.report_at < REPORT_US else self.held
        return worker.kind.slow * worker.slow * (1.0 + worker.out + others)

    def choose(self, now: int, job: Job, usage: float) -> Worker | None:
        """The cheaper of two random workers; if neither may take it, the cheapest of a few that may."""
        near, pick = self.near, self.random.random
        if not (n := len(near)):
            return None
        pair = [near[int(pick() * n)], near[int(pick() * n)]]
        # Danger: at hundreds of gateways no report of two random workers is fresh, and chance jams some.  The
        # last one told to hold little joins them, once: used until its next report it would be overrun.
        if self.light is not None and self.light.ready and now - self.light.report_at < REPORT_US:
            pair.append(self.light)
        self.light = None
        cold = slowstart.next_cold(now, near) if now < self.cold_until else []
        links = self.linked(now) if pick() < min(LEAN_MOST, self.refused) else []
        for some in (cold, links, pair, near, self.ready):
            if len(some) > CHOICES and not job.attempts:  # a keyed repeat may go to few of them
                start = int(pick() * len(some))
                some = [some[(start + i) % len(some)] for i in range(CHOICES)]
            if fit := [w for w in some if self.open(now, w, usage) and job.may_send(now, w)]:
                return min(fit, key=lambda w: self.cost(now, w))
        return None

    def linked(self, now: int) -> list[Worker]:
        """Exception.  Danger: new connections fail nearly everywhere while open ones work; drawn by chance
        among many workers, each request is lost to refused connects.  So connected workers go first, others
        get what these cannot take and a few first looks.  Also for full connection tables, hung listeners,
        lost routes for new flows.  Harm: few workers take the load here; bounds and lateness limit it."""
        some = []
        for _ in range(min(CHOICES, len(self.links))):
            at = int(self.random.random() * len(self.links))
            worker = self.links[at]
            if worker.ready and now < worker.linked_until:
                some.append(worker)
            else:
                worker.linked = False
                self.links[at] = self.links[-1]
                self.links.pop()
        return some

    def connected(self, now: int, worker: Worker, outcome: int) -> None:
        """What an ended attempt tells of connections; a time-out tells nothing."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            if now >= worker.linked_until:
                self.refused -= CONNECT_GAIN * self.refused
            worker.linked_until, worker.shut = now + self.settings.connection_idle, 0
            if not worker.linked and worker.ready:
                worker.linked = True
                self.links.append(worker)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            worker.linked_until = 0
        if outcome == Outcome.CONNECT_FAILED:
            worker.shut_until = now + (SHUT_US << worker.shut)
            worker.shut = min(SHUT_MOST, worker.shut + 1)
            self.refused += CONNECT_GAIN * (1.0 - self.refused)

    def sent(self, now: int, worker: Worker, class_id: int) -> None:
        worker.out += 1
        if now < worker.cold_until:
            work = slowstart.work_of(max(self.means[class_id], self.means[0]), self.settings.classes)
            pause = slowstart.pause(now, worker.started_at, work, self.settings, self.holders)
            worker.cold_next = max(now, worker.cold_next) + pause

    def ended(self, now: int, worker: Worker, job: Job, event: api.AttemptEnded, acts: Actions) -> None:
        worker.out -= 1
        worker.ended_at = now
        outcome = event.outcome
        self.errors += ERROR_GAIN * ((outcome == Outcome.ERROR) - self.errors)
        self.connected(now, worker, outcome)
        if event.load:
            self.reported(now, worker, event.load)
        if outcome == Outcome.OK:
            self.served(now, worker, job, event.latency)
        elif outcome == Outcome.FULL and prompt(event, job.spec):
            self.cut(now, worker)
            # Danger: where lists come late, those that drain are asked again and again.
            if worker.turned_away:
                worker.closed_until = now + (SHUT_US << min(SHUT_MOST, worker.turned_away))
            worker.turned_away += 1
        elif outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET):
            if outcome == Outcome.TIMEOUT:
                self.cut(now, worker)
            self.failed(now, worker, outcome == Outcome.ERROR, acts)

    def served(self, now: int, worker: Worker, job: Job, latency: int) -> None:
        mean = self.means[job.class_id]
        ratio = min(latency / mean, 8.0)
        worker.slow += SLOWNESS_GAIN * (ratio / worker.kind.slow - worker.slow)
        worker.kind.slow += LATENCY_GAIN * (ratio - worker.kind.slow)
        self.means[job.class_id] = mean + LATENCY_GAIN * (latency - mean)
        worker.fails = worker.turned_away = 0
        self.resting -= worker.on_trial
        worker.on_trial = False
        if latency > job.spec.aim * LIMIT_BAD:
            self.cut(now, worker)
        elif latency < job.spec.aim * LIMIT_GOOD and worker.out + 1 >= worker.limit * 0.5:
            worker.limit = min(LIMIT_MOST, worker.limit + 1.0 / max(1.0, worker.limit))

    def cut(self, now: int, worker: Worker) -> None:
        if now - worker.cut_at > LIMIT_PAUSE_US:
            worker.cut_at = now
            worker.limit = max(LIMIT_LEAST, worker.limit * LIMIT_CUT)

    def failed(self, now: int, worker: Worker, error: bool, acts: Actions) -> None:
        """Outlier ejection: whatever the cause, a worker that only fails gets a rest.  Danger: behind many
        gateways each meets it once in seconds; where errors are rare, one is no chance."""
        worker.fails += 1
        enough = 1 if error and self.errors < ERRORS_RARE else FAILS_TO_EJECT
        if now < worker.ejected_until or (worker.fails < enough and not worker.on_trial):
            return
        if not worker.on_trial and self.resting + 1 > EJECT_MOST * len(self.ready):
            return
        self.resting += not worker.on_trial
        worker.rests = min(RESTS_MOST, worker.rests + 1) if now < worker.ejected_until + 5 * EJECT_US else 0
        worker.ejected_until, worker.on_trial, worker.fails = now + (EJECT_US << worker.rests), True, 0
        self.log.add(now, acts, "eject", f"worker {worker.id:#x} ejected after failures in a row")

    def reported(self, now: int, worker: Worker, load: tuple[float, ...]) -> None:
        told = dict(zip(self.settings.load_fields, load, strict=False))
        busy = told.get("busy", 0.0)
        if busy > BUSY_CUT and told.get("queue", 1.0) >= 1.0:
            self.cut(now, worker)
        held = told.get("inflight", told.get("queue", 0.0) + UTIL_HELD * min(1.0, busy))
        worker.others = max(0.0, held - worker.out)
        self.held += LATENCY_GAIN * (worker.others - self.held)
        worker.report_at = now
        if worker.others < self.held:
            self.light = worker


@dataclass(slots=True)
class Job:
    """One accepted request.  The legal moves of its effect class stand here and nowhere else."""

    id: int
    class_id: int
    spec: RequestClass
    who: Customer
    units: float
    deadline: int
    may_duplicate: bool
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    over: bool = False
    streaming: bool = False
    held_in: Window | None = None  # its units stand there before it passed
    luck: float = 1.0  # its one draw against shedding, made before any wait
    counts: bool = True  # its units are in the quota's windows

    def may_have_run(self) -> Attempt | None:
        return next((a for a in self.attempts if not a.never_ran), None)

    def may_send(self, now: int, worker: Worker) -> bool:
        """Danger: an effect that happens twice."""
        if self.over or self.streaming or (self.out and not self.may_duplicate):
            return False
        if self.attempts and any(a.worker is worker for a in self.attempts):
            return False  # not illegal, but a worker that failed it once is the wrong one
        first = self.may_have_run()
        if first is None or self.spec.effect == Effect.SAFE:
            return True
        # Half the window: the repeat must arrive, wait and start while the key is remembered.
        if self.spec.effect == Effect.UNSAFE or now - first.sent_at >= self.spec.repeat_window // 2:
            return False
        if self.spec.scope == Scope.ZONE:  # all that may have run are in the first one's group
            return first.worker.zone == worker.zone
        return self.spec.scope == Scope.ALL or first.worker.cell == worker.cell

    def may_refuse(self) -> bool:
        """A refusal says that trying again is harmless."""
        if self.spec.effect == Effect.SAFE or self.may_have_run() is None:
            return True
        return self.spec.effect == Effect.KEYED and self.spec.scope == Scope.ALL


class AdmissionPolicy:
    """One gateway's decisions.  Feed it events in order; carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, tuning: Tuning | None = None) -> None:
        self.settings = settings
        log = Logbook()
        self.quota = Quota(settings, log, tuning)
        self.fleet = Fleet(settings, random.Random(seed), log)
        self.jobs: dict[int, Job] = {}
        self.retries = 1.0  # little: many gateways start together

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
            self.attempt_ended(now, event, acts)
        elif isinstance(event, api.RequestArrived):
            self.request_arrived(now, event, acts)
        elif isinstance(event, api.CounterAnswered):
            for held in self.quota.answered(now, event, acts):
                self.decide(now, held, acts)
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
            if (job := self.jobs.get(event.request)) is not None:
                job.streaming = isinstance(event, api.AnswerBegan)
                if not job.streaming:
                    self.finish(job, acts)
        return acts

    def request_arrived(self, now: int, event: api.RequestArrived, acts: Actions) -> None:
        quota = self.quota
        who = quota.customer(now, event, acts)
        spec, copies = self.settings.classes[event.class_id], self.settings.may_duplicate
        job = Job(event.request, event.class_id, spec, who, event.units, now + event.time_left, copies)
        self.jobs[job.id] = job
        job.luck = self.fleet.random.random()
        # A wait is for those that only the total can refuse: any other would spend a call in vain.
        sure = quota.bars(now, who, job.units) or self.fleet.shedding.sheds(0.0, job.luck)
        if sure or not quota.hold(now, job, acts):
            self.decide(now, job, acts)

    def decide(self, now: int, job: Job, acts: Actions) -> None:
        """Pass or refuse a request at its first attempt."""
        quota, who, counted = self.quota, job.who, job.held_in is not None
        if job.over:
            quota.give_back(job)
            return
        quota.roll(now, who)
        usage = quota.usage(now, who, 0.0 if counted else job.units, job.units if counted else 0.0)
        if who.thin and counted and not quota.blind(now, who):
            beyond, plan_id = quota.beyond[who.recent], who.key & 0xFFFF
            beyond[plan_id] += BEYOND_GAIN * ((usage > 1.0) - beyond[plan_id])
        elif who.thin and usage <= 1.0 and quota.blind(now, who):
            usage = usage if quota.passes_unseen(who, self.fleet.random.random()) else 2.0
        worker = None
        free = usage > 1.0 and self.spares(who)
        barred = quota.bars(now, who, job.units) or self.fleet.shedding.sheds(usage, job.luck)
        if (usage <= 1.0 or free) and not barred:
            worker = self.fleet.choose(now, job, usage)
        if worker is None:
            quota.give_back(job)
            acts.append(api.Refuse(job.id, self.advice(job.spec) if usage <= 1.0 else 0))
            self.finish(job, acts)
            return
        if free and counted:
            quota.give_back(job)
        quota.take(now, who, job.units, counted or free)
        job.counts = not free
        self.retries = min(RETRY_MOST, self.retries + RETRY_EARN)
        self.send(now, job, worker, acts)

    def spares(self, who: Customer) -> bool:
        """Exception.  Danger: totals lag and windows are coarse; each honest request refused for that loses
        its whole worth.  Where excess costs nothing and the fleet is idle enough, it passes uncounted."""
        return who.plan.over_worth > who.plan.over_cost and self.fleet.shedding.spare()

    def advice(self, spec: RequestClass) -> int:
        """When to come back after a jam's excess: soon enough for the aim, or the answer earns nothing."""
        return min(self.settings.max_retry_after, int(spec.aim * BACK_PART)) * self.settings.retry_after

    def send(self, now: int, job: Job, worker: Worker, acts: Actions) -> None:
        job.attempts.append(Attempt(worker, now))
        job.out += 1
        job.who.out += 1
        self.fleet.sent(now, worker, job.class_id)
        # Danger: lost answers hold places until the client leaves, though late answers earn nothing.
        wait = 0 if job.spec.late_share or job.spec.effect != Effect.UNSAFE else job.spec.aim
        acts.append(api.Send(job.id, worker.id, wait))
        if len(job.attempts) == 1:
            acts.append(api.SetTimer(int(job.spec.aim * LATE_PART), LATE_TOKEN | job.id))

    def timer_fired(self, now: int, token: int, acts: Actions) -> None:
        kind = token & TOKEN_KIND
        if kind == TICK_TOKEN:
            self.quota.tick(now, acts)
            acts.append(api.SetTimer(SYNC_US // SYNC_SLICES, TICK_TOKEN))
        elif kind == WATCH_TOKEN:
            acts.append(api.SubscribeFleet(True))
        elif kind == LATE_TOKEN and (late := self.jobs.get(token & ~TOKEN_KIND)) is not None:
            self.late(now, late, acts)

    def late(self, now: int, job: Job, acts: Actions) -> None:
        """The first attempt is late: note it, and send a second copy where that is harmless.  Danger: answers
        that never come, whatever ate them; a worker stuck with the request."""
        if job.attempts[0].out and not job.attempts[0].judged:
            job.attempts[0].judged = True
            self.fleet.shedding.judge(now, True)
        if job.over or job.out != 1 or job.spec.effect == Effect.UNSAFE or not job.may_duplicate:
            return
        wait = job.attempts[0].sent_at + int(self.fleet.means[job.class_id] * HEDGE_MEANS) - now
        if wait > 0:  # late, but not unusually so
            acts.append(api.SetTimer(wait, LATE_TOKEN | job.id))
        else:
            self.again(now, job, 1.0, False, acts)

    def again(self, now: int, job: Job, usage: float, free: bool, acts: Actions) -> bool:
        """A further attempt, if the request may have one and the fleet is not jammed."""
        if len(job.attempts) >= self.settings.max_attempts or now >= job.deadline - self.settings.tick:
            return False
        if not (free or self.retries >= 1.0) or self.fleet.shedding.sheds(1.0, self.fleet.random.random()):
            return False
        worker = self.fleet.choose(now, job, usage)
        if worker is not None:
            self.retries -= 0.0 if free else 1.0
            self.send(now, job, worker, acts)
        return worker is not None

    def attempt_ended(self, now: int, event: api.AttemptEnded, acts: Actions) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out = False
        attempt.never_ran = event.outcome in NEVER_RAN
        job.out -= 1
        job.who.out -= 1
        if not attempt.judged and event.outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            late = event.latency > LATE_PART * job.spec.aim
            # Danger: one that drains turns all away; judged each time, it would look like a jam of them all.
            full = event.outcome == Outcome.FULL and prompt(event, job.spec)
            self.fleet.shedding.judge(now, late or (full and not attempt.worker.turned_away))
        self.fleet.ended(now, attempt.worker, job, event, acts)
        if event.settled and self.settings.post_paid and job.who.length and job.counts:
            self.quota.roll(now, job.who)
            self.quota.settle(now, job.who, event.settled - job.units)
        if event.request_over or job.over:
            self.finish(job, acts)
        else:
            self.go_on(now, job, attempt, acts)

    def go_on(self, now: int, job: Job, last: Attempt, acts: Actions) -> None:
        """After a failed attempt: try another worker, wait for a copy still out, or end it."""
        # The worker did no work: such a retry adds no load, but in a jam it finds the next full queue.
        free = last.never_ran and not self.fleet.shedding.jammed()
        if self.again(now, job, 0.0, free, acts):
            return
        if job.out or job.streaming:
            return
        acts.append(api.Refuse(job.id) if job.may_refuse() else api.Fail(job.id))
        self.finish(job, acts)

    def finish(self, job: Job, acts: Actions) -> None:
        """The request is over: recall copies still out, forget it once all have ended."""
        if not job.over:
            job.over = True
            if job.out and self.settings.may_cancel and not job.streaming:
                acts += [api.Cancel(job.id, n) for n, a in enumerate(job.attempts) if a.out]
        if not job.out:
            self.jobs.pop(job.id, None)
