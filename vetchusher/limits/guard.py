"""The face of `limits`: one ingress's view of the counter's state and of what its peers passed.

Decides what is sent to which peer, and how far the counter's totals can be trusted.  It owns the peers' sums
(`Spends`), the queue of firms with updates, and each peer's last contact.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher import interface as api
from vetchusher.state import Customer, Window, window_length

from . import codec
from .health import CounterHealth, State
from .marks import Mark, Marks
from .promised import promise
from .spends import Spends
from .tuning import Tuning

ANSWER_US = 1_000_000  # us for which a peer that asks is sent updates
IDLE_PAUSES = 2  # pauses between two messages without updates: two of them are still within `heard_us`
SENDS = 2  # times that each update is sent: one datagram in fourteen is lost
INBOX_PART = 0.6  # of what a peer takes in that all the others together may send it
DISAGREE_UNITS = 1.5  # the peers' own sums beyond a fresh total, that chance and clocks do not make
MOST_MARKS = 64  # marks sent at a tick; beyond that the oldest are dropped
MOST_UPDATES = 4_096  # firms with updates; beyond that a firm waits for its next command
HOT_PART = 0.7  # of the burst, used in two windows: above this an update is sent though only in doubt
WARM_PART = 0.05  # of the burst: below this a firm is not in the backlog of a newborn peer

Emit = Callable[[api.Action], None]


@dataclass(slots=True)
class Peer:
    """What is known of one other ingress; there are as many as the settings count."""

    heard_at: int = -1
    life: int = 0
    state: State = State.TRUSTED
    asks_until: int = 0
    newborn_until: int = 0
    spoken_at: int = 0
    updates: dict[int, int] = field(default_factory=dict)  # by customer key: times it is still to be sent
    backlog: list[int] = field(default_factory=list)  # customers still to be sent to it, as it is newborn
    backlog_life: int = 0  # the life for which the backlog was made


class Limits:
    """Keeps quotas where the counter's totals do not.

    :param customers: the module's own records, by key: read, and their windows' `told` written here
    :param tuning: what operators may set; None for the measured figures
    """

    def __init__(
        self, settings: api.Settings, customers: dict[int, Customer], tuning: Tuning | None = None
    ) -> None:
        self.settings = settings
        self.customers = customers
        self.tuning = tuning or Tuning()
        self.seal = codec.seal_with(self.tuning.key) if self.tuning.key is not None else None
        self.health = CounterHealth(self.tuning, settings.most_units)
        self.spends = Spends()
        self.marks = Marks()
        self.lengths = [window_length(p) for p in settings.plans]
        self.updates: deque[tuple[Customer, Mark]] = deque(maxlen=MOST_MARKS)  # for the next tick
        self.peers: dict[int, Peer] = {}
        self.on = settings.peers and settings.counter and settings.gateways > 1
        self.born = -1
        self.life = 0
        self.logged_state = State.TRUSTED
        self.foreign = 0  # datagrams that could not be used
        self.gone: frozenset[int] = frozenset()  # ingresses taken to be dead or to have left

    def begin(self, now: int) -> None:
        self.born, self.life = now, now // 1_000 & 0xFFFFFFFF

    # -- what the module asks ---------------------------------------------------------

    def whole(self, now: int, who: Customer) -> bool:
        """Whether all ingresses of a customer's set have reported their use lately."""
        if not self.on:
            return False
        for number in self.set_of(who):
            peer = self.peers.get(number)
            if peer is None or peer.heard_at < 0 or now - peer.heard_at > self.tuning.heard_us:
                return False
        return True

    def others(self, now: int, who: Customer, stale: bool) -> float:
        """Units that the others are taken to pass for each own one since the last view that held everybody's.

        :param stale: own units have gone without a total for long
        """
        split = self.health.state is State.SPLIT
        if not (stale or split):
            return 0.0
        if self.whole(now, who):
            who.alone = 0.0
            return 0.0
        if split:
            return who.doors - 1.0  # totals that hold own units only teach a share of all
        even = 1.0 / who.doors
        if self.health.state is State.LOST:
            return 2.0 / (who.share + even) - 1.0  # half learned, half even: all parts add up to one
        return 1.0 / max(who.share, even) - 1.0

    def lend(self, now: int, who: Customer, stale: bool) -> float:
        """Units now taken off a customer's store for what the others are assumed to pass; below nothing: they
        are given back, as a view that holds everybody's shows what passed."""
        if others := self.others(now, who, stale):
            taken, who.alone = who.alone * others, 0.0
            if not who.lent:
                who.lent_at = now
            who.lent += taken
        elif who.lent:
            # Danger: only two windows are shown; what passed before them, unseen, would be forgotten.
            shown = now - (who.prev.index * who.length)
            part = min(1.0, shown / max(1, now - who.lent_at))
            taken, who.lent = -who.lent * part, 0.0
        else:
            return 0.0
        who.unused -= taken
        return taken

    def unknown_allowance(self, now: int, who: Customer, units: float) -> float:
        """What may pass here for a customer whose total is not known.

        Danger: an ingress that starts, or meets a customer, while the counter is away would open a second
        allowance: a share of the burst that may be spent elsewhere.  It gets its part of the rate since.
        """
        even = max(who.plan.burst / who.doors, 2.0 * units)
        if self.health.state not in (State.LOST, State.FRESH, State.SPLIT):
            return even
        since = max(self.born, self.health.since)
        return min(even, units + (now - since) * who.plan.rate / who.doors / 1e6)

    # -- what the module reports --------------------------------------------------------

    def passed(self, who: Customer) -> None:
        """A command of this customer was sent on."""
        if not self.on or who.thin or not who.length:
            return
        for number in self.set_of(who):
            updates = self.peer(number).updates
            if len(updates) < MOST_UPDATES or who.key in updates:
                updates[who.key] = SENDS

    def spent(self, now: int, who: Customer, count: float) -> None:
        """A total shows that a customer's store is spent; see `Marks.note`."""
        mark = self.marks.note(now, who, count)
        if mark is not None and self.on:
            self.updates.append((who, mark))

    def fill(self, who: Customer) -> None:
        """Set in a customer's windows what the peers reported of them before."""
        if self.spends.records:
            for window in (who.cur, who.prev):
                self.fill_window(who, window)

    def fill_window(self, who: Customer, window: Window) -> None:
        if self.spends.records:
            window.told = self.spends.total((codec.firm_number(who.key), window.index))

    def total_came(self, now: int, who: Customer, window: Window, own: float, others: float) -> None:
        """A total of this window came and is in its `total`; see `CounterHealth.answered`."""
        begun = window.at if window.at >= 0 else window.index * who.length if window is who.cur else -1
        window.at = now
        self.health.answered(now, own, others, begun)
        beyond = window.told + window.mine - window.total - window.diff
        disagree = window.told and beyond > DISAGREE_UNITS + 2.0 * self.settings.most_units
        if disagree and self.health.state in (State.TRUSTED, State.DOUBTED, State.RETURNED):
            self.health.split(now)
        if self.health.state is not State.SPLIT:
            who.alone = who.cur.diff + who.prev.diff

    def heard(self, now: int, sender: int, data: bytes) -> None:
        """Take in a datagram; one that cannot be used is counted and ignored."""
        if data[:1] == codec.MARK_KIND:
            self.receive_marks(now, sender, data)
            return
        try:
            message = codec.read(data, self.seal)
        except codec.UnreadableError:
            self.foreign += 1
            return
        wrong = message.sender != sender or sender == self.settings.index or sender >= self.settings.gateways
        if not self.on or wrong or abs(now // 1_000 - message.sent_ms) > codec.FRESH_MS:
            self.foreign += 1
            return
        peer = self.peer(sender)
        peer.heard_at, peer.life, peer.state = now, message.life, message.state
        if message.flags & codec.ASKS:
            peer.asks_until = now + ANSWER_US
        if message.flags & codec.NEWBORN:
            peer.newborn_until = now + ANSWER_US
        for entry in message.entries:
            self.merge(now, message, entry)

    def receive_marks(self, now: int, sender: int, data: bytes) -> None:
        try:
            claimed, entries = codec.read_marks(data, now // 1_000, self.seal)
        except codec.UnreadableError:
            self.foreign += 1
            return
        if not self.on or claimed != sender or sender == self.settings.index:
            self.foreign += 1
            return
        for firm, at_ms, window, count in entries:
            key, at = codec.key_of(firm), min(now, at_ms * 1_000)
            length = self.length_of(key)
            if now - at < length and (index := codec.nearest(window, at // length)) is not None:
                self.marks.keep(key, Mark(at, index, count))

    def send_marks(self, emit: Emit) -> None:
        """Send marks to the customer's other ingresses.  Danger: without, each makes a call for it."""
        while self.updates:
            who, mark = self.updates.popleft()
            if (firm := codec.firm_number(who.key)) < 0:
                continue
            entry = codec.write_mark(firm, mark.at // 1_000, mark.index, mark.count)
            data = codec.write_marks(self.settings.index, [entry], self.seal)
            for number in self.set_of(who):
                if number not in self.gone:
                    emit(api.Say(data, number))

    def seen(self, living: tuple[int, ...]) -> None:
        """Marks are sent to the living only.  What may pass never depends on this view: counts of an ingress
        that is gone are missed like those of one that is cut off."""
        self.gone = frozenset(range(self.settings.gateways)) - set(living)

    def merge(self, now: int, message: codec.Message, entry: codec.Entry) -> None:
        key = codec.key_of(entry.firm)
        length = self.length_of(key)
        if not length or (index := codec.nearest(entry.window, now // length)) is None:
            return
        writer = (self.settings.index, 0) if entry.echo else (message.sender, message.life)
        total = self.spends.note((entry.firm, index), writer, entry.amount, (index + 2) * length)
        who = self.customers.get(key)
        if who is not None:
            for window in (who.cur, who.prev):
                if window.index == index:
                    window.told = total

    # -- sending ---------------------------------------------------------------------

    def tick(self, now: int, emit: Emit) -> None:
        """Send what is due, and log a change of state."""
        if self.health.state is not self.logged_state:
            self.logged_state = self.health.state
            emit(self.describe())
        self.marks.sweep(now, self.lengths)
        if not self.on:
            return
        self.send_marks(emit)
        self.spends.sweep(now)
        newborn = now - self.born < self.tuning.newborn_us
        uneasy = newborn or self.health.uneasy(now)
        if newborn:
            for number in range(self.settings.gateways):
                if number != self.settings.index and self.near(number):
                    self.peer(number)
        pause = self.pause()
        for number, peer in self.peers.items():
            if not uneasy and now >= peer.asks_until and now >= peer.newborn_until:
                continue
            # With no updates, an occasional message says that nothing passed.
            if now - peer.spoken_at >= pause * (1 if peer.updates or peer.backlog else IDLE_PAUSES):
                peer.spoken_at = now
                self.send(now, number, peer, uneasy, newborn, emit)

    def pause(self) -> int:
        """Between two messages to one peer: all senders together must stay within what it takes in."""
        inbox = self.settings.peer_in_per_s
        return max(
            self.tuning.speak_us, int(len(self.peers) * 1e6 / (INBOX_PART * inbox)) if inbox > 0 else 0
        )

    def send(self, now: int, number: int, peer: Peer, uneasy: bool, newborn: bool, emit: Emit) -> None:
        flags = codec.ASKS * uneasy | codec.NEWBORN * newborn
        head = codec.Message(self.settings.index, self.life, self.health.state, flags, now // 1_000)
        # While totals are only suspected, what cannot change a decision soon is not worth its bytes.
        calm = not newborn and State.TRUSTED is self.health.state is peer.state and now >= peer.newborn_until
        entries = self.entries_for(now, number, peer, calm)
        emit(api.Say(codec.write(head, entries, self.seal), number))

    def entries_for(self, now: int, number: int, peer: Peer, calm: bool) -> list[bytes]:
        """Entries for one peer, those that can change a decision first; they count as sent."""
        self.refill_backlog(now, peer)
        most = codec.room(self.seal is not None) // 7
        due = sorted(peer.updates, key=self.urgency, reverse=True)[:most]
        if calm:
            due = [key for key in due if self.urgency(key) >= HOT_PART]
        parts: list[bytes] = []
        left = codec.room(self.seal is not None)
        for key in due:
            who = self.customers.get(key)
            told = self.entries_of(now, who, number, peer) if who is not None else []
            if sum(map(len, told)) > left:
                break
            left -= sum(map(len, told))
            parts += told
            peer.updates[key] -= 1
            if who is None or peer.updates[key] <= 0:
                del peer.updates[key]
        while peer.backlog and left > 0:
            who = self.customers.get(peer.backlog[-1])
            told = self.entries_of(now, who, number, peer) if who is not None else []
            if sum(map(len, told)) > left:
                break
            left -= sum(map(len, told))
            parts += told
            peer.backlog.pop()
        return parts

    def refill_backlog(self, now: int, peer: Peer) -> None:
        """Danger: a newborn peer without counter totals would take every firm's store to be full."""
        if now < peer.newborn_until and peer.backlog_life != peer.life:
            peer.backlog_life = peer.life
            peer.backlog = [
                k for k, w in self.customers.items() if self.urgency(k) >= WARM_PART and not w.thin
            ]
            peer.backlog.sort(key=self.urgency)

    def urgency(self, key: int) -> float:
        who = self.customers.get(key)
        if who is None or who.plan.burst <= 0.0:
            return 0.0
        used: float = who.cur.count() + who.prev.count()
        return used / who.plan.burst

    def entries_of(self, now: int, who: Customer, number: int, peer: Peer) -> list[bytes]:
        firm = codec.firm_number(who.key)
        if firm < 0 or who.thin or not who.length:
            return []
        parts = []
        for window in (who.cur, who.prev):
            if now >= (window.index + 2) * who.length:
                continue
            if window.mine > 0.0:
                parts.append(codec.Entry(firm, window.index % codec.WINDOWS, window.mine))
            if now < peer.newborn_until:
                former = self.spends.former((firm, window.index), number, peer.life)
                if former > 0.0:
                    parts.append(codec.Entry(firm, window.index % codec.WINDOWS, former, True))
        return [codec.write_entry(p) for p in parts]

    # -- small things -----------------------------------------------------------------

    def length_of(self, key: int) -> int:
        """Microseconds of a customer's window; 0: its plan has no rate, or there is no such plan."""
        plan_id = key & 0xFFFF
        return self.lengths[plan_id] if plan_id < len(self.lengths) else 0

    def peer(self, number: int) -> Peer:
        found = self.peers.get(number)
        if found is None:
            found = self.peers[number] = Peer()
        return found

    def near(self, number: int) -> bool:
        """Whether a newborn asks this one: nobody's set is known yet, and hundreds would be too many."""
        away = (number - self.settings.index) % self.settings.gateways
        return min(away, self.settings.gateways - away) <= 4

    def set_of(self, who: Customer) -> list[int]:
        if not who.set:
            rules = self.settings
            members = range(int(who.first), int(who.first) + min(rules.gateways, int(-(-who.doors // 1))))
            who.set = [m % rules.gateways for m in members if m % rules.gateways != rules.index]
        return who.set

    def describe(self) -> api.Log:
        """The counter's state and what is promised in it, for the plan whose promise is widest."""
        rules, state = self.settings, self.health.state
        name = state.name.lower()
        bounds = [
            (promise(p, float(rules.gateways), rules.most_units, state, self.on, self.tuning), p)
            for p in rules.plans
            if p.rate > 0 and p.over_cost > p.over_worth
        ]
        if not bounds:
            return api.Log(f"counter {name}", {"counter": name})
        bound, plan = max(bounds, key=lambda b: b[0].part)
        text = (
            f"counter {name}: a customer of plan {plan.name or '?'} is overspent by at most "
            f"{bound.units:.1f} units, {bound.part:.3f} of its minute"
        )
        facts: dict[str, object] = {
            "counter": name,
            "plan": plan.name,
            "overspend_units": round(bound.units, 2),
            "overspend_part": round(bound.part, 4),
            "view_age_ms": bound.age_us // 1000,
            "peers_heard": sum(p.heard_at >= 0 for p in self.peers.values()),
            "datagrams_dropped": self.foreign,
        }
        return api.Log(text, facts)
