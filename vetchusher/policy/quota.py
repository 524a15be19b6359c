"""Counts, their pushes, and the guards against what the counter does not tell; its danger stands at each."""

from __future__ import annotations

from itertools import islice

from vetchusher import interface as api
from vetchusher.interface import Actions, Outcome
from vetchusher.limits import CallLine, Limits, Tuning, near
from vetchusher.state import Customer, Job, Logbook, Window, mix64, window_length

# Tuned values
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

    def learn(self, who: Customer, beyond: bool) -> None:
        """A request with a total was beyond quota, or not: the odds for those without."""
        shares, plan_id = self.beyond[who.recent], who.key & 0xFFFF
        shares[plan_id] += BEYOND_GAIN * (beyond - shares[plan_id])

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
