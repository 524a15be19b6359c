"""One gateway's view of the counter's state and of the usage that its peers report.

`Limits` decides which messages are sent to which peer and how far the counter's totals can be trusted.  It
owns the usage reported by peers (`PeerUsage`), the queue of customers with updates, and each peer's last
contact.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher import interface as api
from vetchusher.state import Tenant, Window, window_length

from . import codec
from .health import CounterHealth, State
from .marks import ExhaustionNotice, ExhaustionTable
from .promised import overshoot_bound
from .spends import PeerUsage
from .tuning import Tuning

REPLY_PERIOD_US = 1_000_000  # time for which a peer that asks for reports is sent updates
# Send intervals between messages without updates; twice this time is still within `Tuning.peer_timeout_us`.
IDLE_INTERVALS = 2
SENDS_PER_UPDATE = 2  # each update is repeated because one datagram in fourteen is lost
INBOX_RATIO = 0.6  # part of a peer's incoming datagrams that quota messages of all others together may use
# Units by which usage reported by peers may exceed a current total; random variation and clock differences
# between gateways stay below this.
MAX_DISCREPANCY_UNITS = 1.5
MAX_NOTICES_PER_TICK = 64  # notices sent in a tick; beyond that the oldest are dropped
MAX_PENDING_UPDATES = 4_096  # customers per peer; others wait for their next command
# Usage in two windows, as a part of the burst, from which an update is sent while a split is only suspected.
# Updates below it cannot change a decision soon.
HIGH_USAGE_RATIO = 0.7
MIN_BACKLOG_USAGE_RATIO = 0.05  # part of the burst: customers below this are left out of a peer's backlog

Emit = Callable[[api.Action], None]  # takes an action for the runtime to carry out


@dataclass(slots=True)
class Peer:
    """State kept for one other gateway, of at most as many as the settings count.  Times are in us."""

    received_at: int = -1  # the last message from it; -1: none yet
    incarnation: int = 0
    state: State = State.TRUSTED
    reply_until: int = 0  # it asked for reports until then
    just_started_until: int = 0  # it is sent its backlog and its own earlier usage until then
    sent_at: int = 0  # the last message to it
    # By customer key, how often the update is still to be sent.
    pending_updates: dict[int, int] = field(default_factory=dict)
    backlog: list[int] = field(default_factory=list)  # customer keys still to be sent to it after its start
    backlog_incarnation: int = 0  # the incarnation for which the backlog was made


class Limits:
    """Keeps quotas while the counter's totals are stale, incomplete or missing.

    :param customers: the decision module's records by customer key; this class reads them and writes the
        field `peer_total` of their windows
    :param tuning: parameters set by operators; None for the defaults
    """

    def __init__(
        self, settings: api.Settings, customers: dict[int, Tenant], tuning: Tuning | None = None
    ) -> None:
        """Create the state of a gateway that has not started yet; see `start`."""
        self.settings = settings
        self.customers = customers
        self.tuning = tuning or Tuning()
        self.tag_function = codec.keyed_tag(self.tuning.key) if self.tuning.key is not None else None
        self.health = CounterHealth(self.tuning, settings.max_units)
        self.peer_usage = PeerUsage()
        self.exhaustion = ExhaustionTable()
        self.window_lengths_us = [window_length(plan) for plan in settings.plans]
        # Notices to send at the next tick.
        self.pending_notices: deque[tuple[Tenant, ExhaustionNotice]] = deque(maxlen=MAX_NOTICES_PER_TICK)
        self.peers: dict[int, Peer] = {}
        self.peers_enabled = settings.peers and settings.counter and settings.gateways > 1
        self.started_at = -1
        self.incarnation = 0
        self.logged_state = State.TRUSTED
        self.rejected_datagrams = 0  # number of rejected datagrams
        self.departed: frozenset[int] = frozenset()  # gateways taken to have failed or left

    def start(self, now: int) -> None:
        """Start this incarnation, whose number is the start time in ms, modulo 2**32."""
        self.started_at, self.incarnation = now, now // 1_000 & 0xFFFFFFFF

    # -- queries of the decision module -----------------------------------------------

    def view_complete(self, now: int, customer: Tenant) -> bool:
        """Return whether all others of the customer's gateways reported within `Tuning.peer_timeout_us`."""
        if not self.peers_enabled:
            return False
        for number in self.other_gateways_of(customer):
            peer = self.peers.get(number)
            if peer is None or peer.received_at < 0 or now - peer.received_at > self.tuning.peer_timeout_us:
                return False
        return True

    def assumed_peer_ratio(self, now: int, customer: Tenant, stale: bool) -> float:
        """Return the units that the other gateways are assumed to admit per unit admitted here.

        It applies to own units since the last complete view and is 0 while the view is complete.

        :param stale: whether own units have been without a newer total for too long
        """
        split = self.health.state is State.SPLIT
        if not (stale or split):
            return 0.0
        if self.view_complete(now, customer):
            customer.own_since_total = 0.0
            return 0.0
        if split:
            return customer.gateways - 1.0  # totals with only own units make the learned share 1
        even_share = 1.0 / customer.gateways
        if self.health.state is State.LOST:
            # The mean of the learned and the even share: these means add up to one over all gateways.
            return 2.0 / (customer.share + even_share) - 1.0
        return 1.0 / max(customer.share, even_share) - 1.0

    def adjust_assumed_usage(self, now: int, customer: Tenant, stale: bool) -> float:
        """Charge a customer's bucket with the usage that the other gateways are assumed to have admitted.

        Once a complete view shows their usage, assumed units are credited back.

        :returns: the units charged; negative if they are credited
        """
        if peer_ratio := self.assumed_peer_ratio(now, customer, stale):
            charged, customer.own_since_total = customer.own_since_total * peer_ratio, 0.0
            if not customer.assumed_others:
                customer.assumed_since = now
            customer.assumed_others += charged
        elif customer.assumed_others:
            # Totals show only the last two windows.  Units assumed before these are not credited: usage that
            # was admitted elsewhere then, and never seen, would otherwise be forgotten.
            visible_us = now - (customer.prev.index * customer.window_us)
            visible_ratio = min(1.0, visible_us / max(1, now - customer.assumed_since))
            charged, customer.assumed_others = -customer.assumed_others * visible_ratio, 0.0
        else:
            return 0.0
        customer.unused -= charged
        return charged

    def allowance_without_total(self, now: int, customer: Tenant, units: float) -> float:
        """Return the units that may be admitted here for a customer whose total is not known.

        A gateway that starts, or first sees a customer, while the counter is unavailable would otherwise
        grant the burst a second time, as it may have been used at other gateways.  It is therefore limited to
        its part of the rate since its start or the start of the present state.
        """
        even_share = max(customer.plan.burst / customer.gateways, 2.0 * units)
        if self.health.state not in (State.LOST, State.FRESH, State.SPLIT):
            return even_share
        since = max(self.started_at, self.health.entered_at)
        return min(even_share, units + (now - since) * customer.plan.rate / customer.gateways / 1e6)

    # -- reports of the decision module -------------------------------------------------

    def command_admitted(self, customer: Tenant) -> None:
        """Queue an update for the customer's other gateways after a command of the customer was admitted."""
        if not self.peers_enabled or customer.sparse or not customer.window_us:
            return
        for number in self.other_gateways_of(customer):
            updates = self.get_or_add_peer(number).pending_updates
            if len(updates) < MAX_PENDING_UPDATES or customer.key in updates:
                updates[customer.key] = SENDS_PER_UPDATE

    def quota_exhausted(self, now: int, customer: Tenant, window_units: float) -> None:
        """Handle a total that shows an exhausted quota; see `ExhaustionTable.total_exceeded`."""
        notice = self.exhaustion.total_exceeded(now, customer, window_units)
        if notice is not None and self.peers_enabled:
            self.pending_notices.append((customer, notice))

    def load_peer_usage(self, customer: Tenant) -> None:
        """Set the usage that peers have reported in both windows of a customer."""
        if self.peer_usage.records:
            for window in (customer.cur, customer.prev):
                self.load_window_peer_usage(customer, window)

    def load_window_peer_usage(self, customer: Tenant, window: Window) -> None:
        """Set the usage that peers have reported in one window of a customer."""
        if self.peer_usage.records:
            window.peer_total = self.peer_usage.total((codec.tenant_number(customer.key), window.index))

    def total_received(
        self, now: int, customer: Tenant, window: Window, own_units: float, peer_units: float
    ) -> None:
        """Handle a total of this window, already stored in it; see `CounterHealth.total_received`."""
        previous_at = (
            window.answered_at
            if window.answered_at >= 0
            else window.index * customer.window_us
            if window is customer.cur
            else -1
        )
        window.answered_at = now
        self.health.total_received(now, own_units, peer_units, previous_at)
        excess_units = window.peer_total + window.own - window.total - window.unpushed
        is_discrepant = (
            window.peer_total and excess_units > MAX_DISCREPANCY_UNITS + 2.0 * self.settings.max_units
        )
        if is_discrepant and self.health.state in (State.TRUSTED, State.DOUBTED, State.RETURNED):
            self.health.split_detected(now)
        if self.health.state is not State.SPLIT:
            customer.own_since_total = customer.cur.unpushed + customer.prev.unpushed

    def datagram_received(self, now: int, sender: int, data: bytes) -> None:
        """Handle a datagram from a peer; one that cannot be used is counted and ignored."""
        if data[:1] == codec.NOTICE_KIND:
            self.notices_received(now, sender, data)
            return
        try:
            message = codec.decode_message(data, self.tag_function)
        except codec.MalformedDatagramError:
            self.rejected_datagrams += 1
            return
        wrong_sender = (
            message.sender != sender or sender == self.settings.index or sender >= self.settings.gateways
        )
        if (
            not self.peers_enabled
            or wrong_sender
            or abs(now // 1_000 - message.sent_ms) > codec.MAX_CLOCK_SKEW_MS
        ):
            self.rejected_datagrams += 1
            return
        peer = self.get_or_add_peer(sender)
        peer.received_at, peer.incarnation, peer.state = now, message.incarnation, message.state
        if message.flags & codec.WANTS_REPLY:
            peer.reply_until = now + REPLY_PERIOD_US
        if message.flags & codec.JUST_STARTED:
            peer.just_started_until = now + REPLY_PERIOD_US
        for entry in message.entries:
            self.merge_entry(now, message, entry)

    def notices_received(self, now: int, sender: int, data: bytes) -> None:
        """Handle a datagram of exhaustion notices; one that cannot be used is counted and ignored."""
        try:
            claimed_sender, entries = codec.decode_notices(data, now // 1_000, self.tag_function)
        except codec.MalformedDatagramError:
            self.rejected_datagrams += 1
            return
        if not self.peers_enabled or claimed_sender != sender or sender == self.settings.index:
            self.rejected_datagrams += 1
            return
        for tenant, exhausted_at_ms, window, units in entries:
            key, exhausted_at = codec.customer_key(tenant), min(now, exhausted_at_ms * 1_000)
            length_us = self.window_length_us(key)
            if (
                now - exhausted_at < length_us
                and (index := codec.nearest_window(window, exhausted_at // length_us)) is not None
            ):
                self.exhaustion.store_if_newer(key, ExhaustionNotice(exhausted_at, index, units))

    def send_notices(self, emit: Emit) -> None:
        """Send exhaustion notices to the customers' other live gateways.

        Without a notice, each of these would make its own counter call for the customer.
        """
        while self.pending_notices:
            customer, notice = self.pending_notices.popleft()
            if (tenant := codec.tenant_number(customer.key)) < 0:
                continue
            entry = codec.encode_notice(
                tenant, notice.exhausted_at // 1_000, notice.window_index, notice.window_units
            )
            data = codec.encode_notices(self.settings.index, [entry], self.tag_function)
            for number in self.other_gateways_of(customer):
                if number not in self.departed:
                    emit(api.SendDatagram(data, number))

    def set_live_gateways(self, live_gateways: tuple[int, ...]) -> None:
        """Set the live gateways, to which exhaustion notices are sent.

        Admission never depends on this set: reports of a departed gateway are missing for it in the same way
        as those of a partitioned one.
        """
        self.departed = frozenset(range(self.settings.gateways)) - set(live_gateways)

    def merge_entry(self, now: int, message: codec.Message, entry: codec.Entry) -> None:
        """Merge an entry of a peer's message, unless it is for another window or an unknown plan."""
        key = codec.customer_key(entry.tenant)
        length_us = self.window_length_us(key)
        if not length_us or (index := codec.nearest_window(entry.window, now // length_us)) is None:
            return
        # Units of this gateway's earlier incarnations are kept under incarnation 0.
        writer = (self.settings.index, 0) if entry.echo else (message.sender, message.incarnation)
        total = self.peer_usage.merge((entry.tenant, index), writer, entry.units, (index + 2) * length_us)
        customer = self.customers.get(key)
        if customer is not None:
            for window in (customer.cur, customer.prev):
                if window.index == index:
                    window.peer_total = total

    # -- sending ---------------------------------------------------------------------

    def tick(self, now: int, emit: Emit) -> None:
        """Send the messages that are due, and log a change of the counter's state."""
        if self.health.state is not self.logged_state:
            self.logged_state = self.health.state
            emit(self.describe_state())
        self.exhaustion.sweep(now, self.window_lengths_us)
        if not self.peers_enabled:
            return
        self.send_notices(emit)
        self.peer_usage.sweep(now)
        just_started = now - self.started_at < self.tuning.startup_us
        wants_reply = just_started or self.health.needs_peer_reports(now)
        if just_started:
            for number in range(self.settings.gateways):
                if number != self.settings.index and self.is_neighbor(number):
                    self.get_or_add_peer(number)
        interval_us = self.send_interval_us()
        for number, peer in self.peers.items():
            if not wants_reply and now >= peer.reply_until and now >= peer.just_started_until:
                continue
            # A message without updates tells the peer that no command was admitted here since.
            if now - peer.sent_at >= interval_us * (
                1 if peer.pending_updates or peer.backlog else IDLE_INTERVALS
            ):
                peer.sent_at = now
                self.send_message(now, number, peer, wants_reply, just_started, emit)

    def send_interval_us(self) -> int:
        """Return the time (us) between two messages to one peer.

        All senders together must stay within the peer's budget of incoming datagrams.
        """
        inbox_per_s = self.settings.peer_datagrams_per_s
        return max(
            self.tuning.message_interval_us,
            int(len(self.peers) * 1e6 / (INBOX_RATIO * inbox_per_s)) if inbox_per_s > 0 else 0,
        )

    def send_message(
        self, now: int, number: int, peer: Peer, wants_reply: bool, just_started: bool, emit: Emit
    ) -> None:
        """Send one message to a peer.

        :param wants_reply: whether to ask the peer for reports
        :param just_started: whether to ask it also for the usage of this gateway's earlier incarnations
        """
        flags = codec.WANTS_REPLY * wants_reply | codec.JUST_STARTED * just_started
        header = codec.Message(self.settings.index, self.incarnation, self.health.state, flags, now // 1_000)
        # A split: totals hold only own units. While one is only suspected, only high usage is sent.
        high_usage_only = (
            not just_started
            and State.TRUSTED is self.health.state is peer.state
            and now >= peer.just_started_until
        )
        entries = self.select_entries(now, number, peer, high_usage_only)
        emit(api.SendDatagram(codec.encode_message(header, entries, self.tag_function), number))

    def select_entries(self, now: int, number: int, peer: Peer, high_usage_only: bool) -> list[bytes]:
        """Return encoded entries for one peer, by descending usage, and count them as sent.

        :param high_usage_only: whether to leave out updates of customers below `HIGH_USAGE_RATIO`
        """
        self.refill_backlog(now, peer)
        # An entry takes at least 7 bytes.
        max_entries = codec.entry_capacity_bytes(self.tag_function is not None) // 7
        due = sorted(peer.pending_updates, key=self.usage_ratio, reverse=True)[:max_entries]
        if high_usage_only:
            due = [key for key in due if self.usage_ratio(key) >= HIGH_USAGE_RATIO]
        selected: list[bytes] = []
        free_bytes = codec.entry_capacity_bytes(self.tag_function is not None)
        for key in due:
            customer = self.customers.get(key)
            entries = (
                self.encode_customer_entries(now, customer, number, peer) if customer is not None else []
            )
            if sum(map(len, entries)) > free_bytes:
                break
            free_bytes -= sum(map(len, entries))
            selected += entries
            peer.pending_updates[key] -= 1
            if customer is None or peer.pending_updates[key] <= 0:
                del peer.pending_updates[key]
        while peer.backlog and free_bytes > 0:
            customer = self.customers.get(peer.backlog[-1])
            entries = (
                self.encode_customer_entries(now, customer, number, peer) if customer is not None else []
            )
            if sum(map(len, entries)) > free_bytes:
                break
            free_bytes -= sum(map(len, entries))
            selected += entries
            peer.backlog.pop()
        return selected

    def refill_backlog(self, now: int, peer: Peer) -> None:
        """Queue all customers with notable usage for a peer that has just started.

        Without them, such a peer would take every customer's bucket to be full while it gets no totals.
        """
        if now < peer.just_started_until and peer.backlog_incarnation != peer.incarnation:
            peer.backlog_incarnation = peer.incarnation
            peer.backlog = [
                key
                for key, customer in self.customers.items()
                if self.usage_ratio(key) >= MIN_BACKLOG_USAGE_RATIO and not customer.sparse
            ]
            peer.backlog.sort(key=self.usage_ratio)

    def usage_ratio(self, key: int) -> float:
        """Return the customer's usage in both windows as a part of its burst; 0 if it is unknown."""
        customer = self.customers.get(key)
        if customer is None or customer.plan.burst <= 0.0:
            return 0.0
        used: float = customer.cur.count() + customer.prev.count()
        return used / customer.plan.burst

    def encode_customer_entries(self, now: int, customer: Tenant, number: int, peer: Peer) -> list[bytes]:
        """Encode a customer's usage for a peer; one that has just started also gets its own earlier usage."""
        tenant = codec.tenant_number(customer.key)
        if tenant < 0 or customer.sparse or not customer.window_us:
            return []
        entries = []
        for window in (customer.cur, customer.prev):
            if now >= (window.index + 2) * customer.window_us:
                continue
            if window.own > 0.0:
                entries.append(codec.Entry(tenant, window.index % codec.WINDOW_MODULUS, window.own))
            if now < peer.just_started_until:
                earlier_units = self.peer_usage.units_of_earlier_incarnations(
                    (tenant, window.index), number, peer.incarnation
                )
                if earlier_units > 0.0:
                    entries.append(
                        codec.Entry(tenant, window.index % codec.WINDOW_MODULUS, earlier_units, True)
                    )
        return [codec.encode_entry(entry) for entry in entries]

    # -- helpers ----------------------------------------------------------------------

    def window_length_us(self, key: int) -> int:
        """Return the window length (us) of a customer's plan; 0 if it has no rate or does not exist."""
        plan_id = key & 0xFFFF
        return self.window_lengths_us[plan_id] if plan_id < len(self.window_lengths_us) else 0

    def get_or_add_peer(self, number: int) -> Peer:
        """Return the state of the gateway with this index, created on first use."""
        peer = self.peers.get(number)
        if peer is None:
            peer = self.peers[number] = Peer()
        return peer

    def is_neighbor(self, number: int) -> bool:
        """Return whether that gateway is among the four nearest on either side, by index.

        Only these are asked for reports after a start: no customer's set is known then, and asking hundreds
        of gateways would take too many messages.
        """
        distance = (number - self.settings.index) % self.settings.gateways
        return min(distance, self.settings.gateways - distance) <= 4

    def other_gateways_of(self, customer: Tenant) -> list[int]:
        """Return the indexes of the other gateways that receive the customer's commands."""
        if not customer.peers:
            settings = self.settings
            members = range(
                int(customer.first_gateway),
                int(customer.first_gateway) + min(settings.gateways, int(-(-customer.gateways // 1))),
            )
            customer.peers = [
                m % settings.gateways for m in members if m % settings.gateways != settings.index
            ]
        return customer.peers

    def describe_state(self) -> api.Log:
        """Return a log event with the counter's state and the largest overshoot bound of any plan."""
        settings, state = self.settings, self.health.state
        name = state.name.lower()
        bounds = [
            (
                overshoot_bound(
                    plan, float(settings.gateways), settings.max_units, state, self.peers_enabled, self.tuning
                ),
                plan,
            )
            for plan in settings.plans
            if plan.rate > 0 and plan.over_cost > plan.over_value
        ]
        if not bounds:
            return api.Log(f"counter {name}", {"counter": name})
        bound, plan = max(bounds, key=lambda candidate: candidate[0].minute_ratio)
        text = (
            f"counter {name}: a customer of plan {plan.name or '?'} is overspent by at most "
            f"{bound.units:.1f} units, {bound.minute_ratio:.3f} of its minute"
        )
        facts: dict[str, object] = {
            "counter": name,
            "plan": plan.name,
            "overspend_units": round(bound.units, 2),
            "overspend_part": round(bound.minute_ratio, 4),
            "view_age_ms": bound.view_age_us // 1000,
            "peers_heard": sum(peer.received_at >= 0 for peer in self.peers.values()),
            "datagrams_dropped": self.rejected_datagrams,
        }
        return api.Log(text, facts)
