"""The counter's state, the peers' counts, and what one ingress makes of both."""

from dataclasses import replace

import pytest
from helpers import PLAN, SECOND, SETTINGS, START, CounterService, Gate
from hypothesis import given
from hypothesis import strategies as st

from vetchusher import interface as api
from vetchusher.interface import Outcome
from vetchusher.limits import CounterHealth, State, Tuning, codec, promise
from vetchusher.limits.spends import MOST_LIVES, Spends

MS = 1_000
WINDOW = 4 * SECOND
KEY = b"a key that the ingresses share"
SEALED = codec.seal_with(KEY)
STEADY = (replace(PLAN, name="mellan"),)


LOST_US, RETURN_US, SPLIT_MOST_US = Tuning().lost_us, Tuning().return_us, Tuning().split_most_us


# ---- the counter's state ------------------------------------------------------------


def health(now=0, own=100.0, others=200.0):
    """A counter that has shown others' units for a while."""
    state = CounterHealth()
    state.answered(now, own, others, now)
    return state


def steps(state, *told):
    """Feed (ms, kind): x fails, . has others' units, o has none, - is of a name asked for rarely."""
    for at, kind in told:
        if kind == "x":
            state.failed(at * MS)
        else:
            begun = {"-": 0}.get(kind, (at - 50) * MS)
            state.answered(at * MS, 1.0, 0.0 if kind == "o" else 1.0, begun)
    return state.state


def each(first, last, step, kind):
    return [(at, kind) for at in range(first, last, step)]


@pytest.mark.parametrize(
    ("told", "becomes"),
    [
        ([], State.TRUSTED),
        ([(10, "x")], State.TRUSTED),  # one failure may be chance
        ([(10, "x"), (20, "x")], State.DOUBTED),
        ([(10, "x"), (20, "x"), *each(30, 400, 50, ".")], State.TRUSTED),
        (each(10, 290, 40, "x"), State.DOUBTED),
        (each(10, 400, 40, "x"), State.LOST),
        ([*each(10, 400, 40, "x"), (500, ".")], State.RETURNED),
        ([*each(10, 400, 40, "x"), *each(500, 1400, 50, ".")], State.RETURNED),
        ([*each(10, 400, 40, "x"), *each(500, 1700, 50, ".")], State.TRUSTED),
        ([*each(10, 400, 40, "x"), *each(500, 900, 50, "."), *each(950, 1400, 40, "x")], State.LOST),
        ([(10 * n, "x" if n % 5 else ".") for n in range(1, 40)], State.DOUBTED),  # slow: one call in five
        (each(100, 300, 50, "o"), State.TRUSTED),
        (each(100, 1000, 50, "o"), State.SPLIT),
        ([*each(100, 1000, 50, "o"), (1100, "-")], State.SPLIT),  # units from before the split show late
        ([*each(100, 1000, 50, "o"), (1100, ".")], State.RETURNED),
        ([*each(100, 1000, 50, "o"), *each(1100, 2500, 50, ".")], State.TRUSTED),
    ],
)
def test_the_state_follows_the_outcomes(told, becomes):
    assert steps(health(), *told) == becomes


def test_without_traffic_from_elsewhere_no_split_is_seen():
    state = CounterHealth()
    assert steps(state, *each(50, 20_000, 50, "o")) == State.TRUSTED  # the only ingress


def test_a_split_that_nobody_confirms_is_over_after_a_while():
    state = health()
    steps(state, *each(100, 1000, 50, "o"))
    last = SPLIT_MOST_US // MS + 2000
    assert steps(state, *each(1000, last, 500, "o")) in (State.RETURNED, State.TRUSTED)
    assert steps(state, *each(last, last + 5000, 50, "o")) == State.TRUSTED


def test_lost_counts_make_it_fresh_until_they_matter_no_longer():
    state = health()
    state.lost_counts(1_000, 9 * SECOND)
    assert state.state == State.FRESH and state.uneasy(1_000)
    state.answered(8 * SECOND, 1.0, 1.0, 7 * SECOND)
    assert state.state == State.FRESH
    state.answered(9 * SECOND, 1.0, 1.0, 8 * SECOND)
    state.answered(10 * SECOND + RETURN_US, 1.0, 1.0, 10 * SECOND)
    assert state.state == State.TRUSTED and not state.uneasy(12 * SECOND + RETURN_US)


@given(st.lists(st.tuples(st.integers(1, 400), st.sampled_from("x.o-L")), max_size=80))
def test_whatever_comes_the_state_says_when_it_last_heard(steps_taken):
    """Lost means nothing came for a while; any answer ends it; enough good ones end all else."""
    state, at, good_at = health(), 0, 0
    for gap, kind in steps_taken:
        at += gap
        if kind == "L":
            state.lost_counts(at * MS, at * MS + WINDOW)
        else:
            steps(state, (at, kind))
        good_at = at if kind in ".o-" else good_at
        if state.state == State.LOST:
            assert (at - good_at) * MS >= LOST_US
        if kind in ".o-":
            assert state.state != State.LOST
    steps(state, *each(at + 50, at + 50 + (SPLIT_MOST_US + 4 * RETURN_US) // MS, 50, "."))
    assert state.state == State.TRUSTED


# ---- messages -----------------------------------------------------------------------


entries = st.builds(
    codec.Entry,
    firm=st.integers(0, (1 << 40) - 1),
    window=st.integers(0, codec.WINDOWS - 1),
    amount=st.integers(0, codec.MOST_AMOUNT).map(lambda n: n / codec.PARTS),
    echo=st.booleans(),
)
messages = st.builds(
    codec.Message,
    sender=st.integers(0, 65_535),
    life=st.integers(0, (1 << 32) - 1),
    state=st.sampled_from(State),
    flags=st.integers(0, 3),
    sent_ms=st.integers(0, (1 << 64) - 1),
    entries=st.lists(entries, max_size=20).map(tuple),
)
seals = st.sampled_from([None, SEALED])


def written(message, seal=None):
    return codec.write(message, [codec.write_entry(e) for e in message.entries], seal)


@given(messages, seals)
def test_what_is_written_is_read(message, seal):
    assert codec.read(written(message, seal), seal) == message


@given(st.binary(max_size=300), seals)
def test_noise_is_unreadable_or_a_message_and_nothing_else(data, seal):
    try:
        message = codec.read(data, seal)
    except codec.UnreadableError as err:
        assert "\n" not in str(err)
    else:
        assert seal is None and len(message.entries) <= codec.MOST_BYTES


@given(messages, st.data())
def test_a_sealed_message_changed_anywhere_is_not_read(message, data):
    raw = bytearray(written(message, SEALED))
    raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
    with pytest.raises(codec.UnreadableError):
        codec.read(bytes(raw), SEALED)


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"", "too few"),
        (bytes(15), "too few"),
        (bytes(257), "too many"),
        (bytes([2]) + bytes(15), "version 2"),
        (bytes([1, 0x0F]) + bytes(14), "no such state"),
        (bytes([1, 0xF0]) + bytes(14), "no such state"),
        (bytes([1]) + bytes(15) + bytes(6), "cut short"),
        (bytes([1]) + bytes(15) + bytes(5) + b"\x80\x01", "unknown mark"),
        (bytes([1]) + bytes(15) + bytes(6) + b"\xff", "does not end"),
        (bytes([1]) + bytes(15) + bytes(6) + b"\xff\xff\xff\xff\x01", "does not end"),
    ],
)
def test_what_is_malformed_is_named(data, says):
    with pytest.raises(codec.UnreadableError, match=says):
        codec.read(data, None)


def test_another_key_and_no_key_do_not_read_each_other():
    raw = written(codec.Message(0, 1, State.LOST, 1, 5, ()), SEALED)
    for seal in (None, codec.seal_with(b"another")):
        with pytest.raises(codec.UnreadableError):
            codec.read(raw, seal)


@pytest.mark.parametrize(
    ("key", "number"),
    [
        (7 << 16 | 2, 7 << 7 | 2),
        (((1 << 33) - 1) << 16 | 127, (1 << 40) - 1),
        (1 << 33 << 16, -1),
        (7 << 16 | 128, -1),
    ],
)
def test_firms_that_fit_have_a_number(key, number):
    assert codec.firm_number(key) == number
    assert number < 0 or codec.key_of(number) == key


def test_amounts_are_told_rounded_up():
    part = codec.write_entry(codec.Entry(1, 0, 1.01))
    (entry,) = codec.read(codec.write(codec.Message(0, 1, State.LOST, 0, 5), [part], None), None).entries
    assert entry.amount == 1.0625


# ---- what peers passed --------------------------------------------------------------


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(1, 40)), max_size=60),
    st.randoms(use_true_random=False),
)
def test_sums_merge_alike_in_any_order_and_however_often(told, rng):
    one, two = Spends(), Spends()
    for who, life, amount in told:
        one.note((7, 1), (who, life), float(amount), WINDOW)
    again = told + told[: len(told) // 2]
    rng.shuffle(again)
    for who, life, amount in again:
        two.note((7, 1), (who, life), float(amount), WINDOW)
    best = {}
    for who, life, amount in told:
        best[who, life] = max(best.get((who, life), 0), amount)
    assert one.total((7, 1)) == two.total((7, 1)) == sum(best.values())


def test_records_are_bounded_and_swept():
    spends = Spends(most=10)
    for firm in range(30):
        spends.note((firm, 1), (0, 1), 1.0, WINDOW)
    assert list(spends.records) == [(firm, 1) for firm in range(20, 30)]
    for life in range(MOST_LIVES + 10):
        spends.note((29, 1), (1, life), 1.0, WINDOW)
    assert spends.total((29, 1)) == MOST_LIVES
    spends.sweep(WINDOW - 1, looks=100)
    assert len(spends.records) == 10
    for _ in range(10):
        spends.sweep(WINDOW)
    assert not spends.records


# ---- ingresses together -------------------------------------------------------------


class Cluster:
    """Some ingresses, a counter that can be taken away, and datagrams carried by hand."""

    def __init__(self, count=2, plans=STEADY, **changed):
        self.settings = replace(
            SETTINGS, gateways=count, plans=plans, peers=True, peer_in_per_s=100.0, **changed
        )
        self.count = count
        self.service = CounterService()
        self.gates = [self.new(i) for i in range(count)]
        self.said = []  # (from, to, bytes), oldest first
        self.up = True
        self.through = True

    def new(self, index, now=START):
        gate = Gate(replace(self.settings, index=index), now=now)
        gate.policy.fleet.shedding.late = 0.0
        return gate

    def exchange(self):
        """Answer all calls, or let them time out, and carry what was said."""
        for number, gate in enumerate(self.gates):
            if gate is None:
                continue
            if self.up:
                self.service.serve(gate)
            else:
                for call in list(gate.calls):
                    gate.count(call, 0.0, Outcome.TIMEOUT)
            for act in gate.acts:
                if isinstance(act, api.Say):
                    self.said.append((number, act.peer, act.data))
            gate.acts.clear()
        if self.through:
            self.carry()

    def carry(self):
        said, self.said = self.said, []
        for sender, to, data in said:
            if self.gates[to] is not None:
                self.gates[to].do(api.PeerMessage(sender, data))

    def run(self, span, step=20 * MS):
        for _ in range(span // step):
            for gate in self.gates:
                if gate is not None:
                    gate.advance(step)
            self.exchange()

    def passed(self, number, tries, gap=120 * MS, customer=7):
        """How many of these commands pass at one ingress, with a gap between them."""
        done = 0
        for _ in range(tries):
            gate = self.gates[number]
            if gate.passes(customer=customer, doors=float(self.count), first_door=0.0):
                gate.end(gate.sends[-1])
                done += 1
            self.run(gap)
        return done

    def state(self, number):
        return self.gates[number].policy.quota.limits.health.state

    def lose(self):
        """The counter is gone, and all have noticed."""
        self.up = False
        for customer in range(50, 60):  # traffic that has nothing to do with what is looked at
            for gate in self.gates:
                if gate.passes(customer=customer, doors=1.0):
                    gate.end(gate.sends[-1])  # else it would look like a jam, and some be refused for that
            self.run(100 * MS)
        assert all(self.state(n) == State.LOST for n in range(self.count))


@pytest.fixture
def cluster():
    made = Cluster()
    made.passed(0, 1)
    made.passed(1, 1)
    return made


def spend(cluster, number, most=40):
    """Commands at one ingress until it refuses, with time for news after the last."""
    done = 0
    while done < most and cluster.passed(number, 1, 40 * MS):
        done += 1
    cluster.run(300 * MS)
    return done


REFILL = 5.0  # units a second
BURST = 20.0


def allowance(cluster, since):
    """What a store that saw everything would have passed since then, had it been full."""
    return BURST + REFILL * (cluster.gates[0].now - since) / SECOND


def test_two_ingresses_that_each_hold_the_rest_pass_it_once(cluster):
    since = cluster.gates[0].now
    cluster.lose()
    total = 2 + spend(cluster, 0) + spend(cluster, 1)
    assert BURST <= total <= allowance(cluster, since) + 2


def test_two_ingresses_that_hear_nothing_pass_a_part_each(cluster):
    since = cluster.gates[0].now
    cluster.through = False
    cluster.lose()
    total = 2 + spend(cluster, 0) + spend(cluster, 1)
    assert total <= allowance(cluster, since) + 2


def test_a_firm_whose_traffic_moves_during_the_loss_is_served_at_its_new_door(cluster):
    cluster.lose()
    assert cluster.passed(0, 6) == 6
    assert cluster.passed(1, 8) == 8  # well inside its quota, though all of it came elsewhere so far


def test_an_ingress_reborn_amid_the_loss_opens_no_second_allowance(cluster):
    since = cluster.gates[0].now
    cluster.lose()
    total = 2 + spend(cluster, 1) + spend(cluster, 0)
    cluster.gates[1] = cluster.new(1, cluster.gates[0].now)
    cluster.run(300 * MS)
    total += spend(cluster, 1)
    assert total <= allowance(cluster, since) + 2


def test_a_reborn_ingress_hears_of_its_own_former_life_from_its_peers(cluster):
    cluster.lose()
    spent = spend(cluster, 1)
    assert spent >= 5
    cluster.gates[1] = cluster.new(1, cluster.gates[0].now)
    cluster.run(300 * MS)
    quota = cluster.gates[1].policy.quota
    cluster.gates[1].passes(customer=7, doors=2.0, first_door=0.0)
    who = quota.customers[7 << 16]
    assert who.prev.told + who.cur.told >= spent - 1  # the first of them is counted in an older window


def test_a_reborn_ingress_alone_gets_its_part_of_the_rate_only(cluster):
    cluster.through = False
    cluster.lose()
    reborn = cluster.gates[1] = cluster.new(1, cluster.gates[0].now)
    for customer in range(50, 53):
        reborn.passes(customer=customer, doors=1.0)
        cluster.run(200 * MS)
    assert cluster.state(1) == State.LOST
    since = reborn.policy.quota.limits.health.since
    assert spend(cluster, 1) <= 2 + REFILL / 2 * (reborn.now - since) / SECOND


def test_messages_that_come_again_or_late_change_nothing(cluster):
    cluster.lose()
    cluster.through = False
    cluster.passed(0, 5)
    said = [m for m in cluster.said if m[1] == 1]
    cluster.through = True
    cluster.carry()
    limits = cluster.gates[1].policy.quota.limits
    before = {p: r.total for p, r in limits.spends.records.items()}
    for _, _, data in said * 3:
        cluster.gates[1].do(api.PeerMessage(0, data))
    assert before and {p: r.total for p, r in limits.spends.records.items()} == before


@pytest.mark.parametrize(
    ("message", "sender"),
    [
        (codec.Message(0, 5, State.LOST, 0, (START + 3 * SECOND) // 1_000), 0),  # from a clock far ahead
        (codec.Message(0, 5, State.LOST, 0, (START - 3 * SECOND) // 1_000), 0),  # old, or said again
        (codec.Message(0, 5, State.LOST, 0, START // 1_000), 2),  # not who it says
        (codec.Message(1, 5, State.LOST, 0, START // 1_000), 1),  # from oneself
        (codec.Message(9, 5, State.LOST, 0, START // 1_000), 9),  # from nobody of the cluster
    ],
)
def test_messages_that_cannot_be_true_are_dropped(message, sender):
    cluster = Cluster(3)
    limits = cluster.gates[1].policy.quota.limits
    part = codec.write_entry(codec.Entry(codec.firm_number(7 << 16), START // WINDOW % codec.WINDOWS, 9.0))
    cluster.gates[1].do(api.PeerMessage(sender, codec.write(message, [part], None)))
    assert limits.foreign == 1 and not limits.spends.records and not limits.peers


@pytest.mark.parametrize("ahead", [-40, -2, 2, 40])
def test_entries_of_other_windows_count_nowhere(ahead):
    cluster = Cluster()
    head = codec.Message(0, 5, State.LOST, 0, START // 1_000)
    place = (START // WINDOW + ahead) % codec.WINDOWS
    part = codec.write_entry(codec.Entry(codec.firm_number(7 << 16), place, 9.0))
    cluster.gates[1].do(api.PeerMessage(0, codec.write(head, [part], None)))
    assert not cluster.gates[1].policy.quota.limits.spends.records


def test_a_counter_emptied_at_a_windows_turn_opens_no_second_allowance(cluster):
    since = cluster.gates[0].now
    total = 2 + spend(cluster, 0)
    gate = cluster.gates[0]
    cluster.run(WINDOW - gate.now % WINDOW)
    cluster.service.totals.clear()
    total += spend(cluster, 1) + spend(cluster, 0)
    assert total <= allowance(cluster, since) + 2


def test_totals_that_run_backwards_are_floors_and_show_in_the_state(cluster):
    spend(cluster, 0)
    cluster.service.totals = {name: total / 2 for name, total in cluster.service.totals.items()}
    cluster.run(SECOND)
    assert cluster.passed(0, 1) <= 1
    cluster.run(200 * MS)
    assert State.FRESH in (cluster.state(0), cluster.state(1))


def test_a_call_without_an_answer_counts_as_added_and_is_never_sent_again(cluster):
    cluster.up = False
    before = sum(cluster.service.totals.values())
    passed = cluster.passed(0, 3)
    cluster.up = True
    cluster.run(SECOND)
    assert sum(cluster.service.totals.values()) == before
    who = cluster.gates[0].policy.quota.customers[7 << 16]
    assert who.cur.count() + who.prev.count() >= 2 + passed


def test_no_word_goes_out_while_the_counter_is_trusted(cluster):
    cluster.run(3 * SECOND)
    spoken = [p.spoken_at for g in cluster.gates for p in g.policy.quota.limits.peers.values()]
    cluster.passed(0, 5)
    cluster.passed(1, 5)
    assert spoken == [p.spoken_at for g in cluster.gates for p in g.policy.quota.limits.peers.values()]


def test_where_peers_may_not_speak_nothing_is_said():
    cluster = Cluster()
    cluster.gates = [Gate(replace(cluster.settings, index=i, peers=False)) for i in range(2)]
    cluster.passed(0, 1)
    cluster.lose()
    assert not any(isinstance(a, api.Say) for g in cluster.gates for a in g.acts) and not cluster.said


def test_each_change_of_state_is_logged_with_its_promise(cluster):
    lines = []
    limits = cluster.gates[0].policy.quota.limits
    limits.health.lost_counts(cluster.gates[0].now, cluster.gates[0].now)
    limits.tick(cluster.gates[0].now, lines.append)
    limits.tick(cluster.gates[0].now, lines.append)
    (log,) = [a for a in lines if isinstance(a, api.Log)]
    assert log.text.startswith("counter fresh: a customer of plan mellan")


@pytest.mark.parametrize("peers", [False, True])
def test_what_is_promised_grows_with_doors_and_with_the_age_of_what_is_known(peers):
    plan = STEADY[0]
    units = {s: promise(plan, 3.0, 1.0, s, peers).units for s in State}
    assert units[State.TRUSTED] == min(units.values())
    assert promise(plan, 4.0, 1.0, State.LOST, peers).units > units[State.LOST]
    assert promise(plan, 1.0, 1.0, State.LOST, peers).units == 0.0
