"""Roll-outs of new versions: orders, exposure, verdict, and both ends."""

import random
from dataclasses import replace

from returns.result import Success
from testtools import TestCase

from tests.test_fairness import QUEUE, ROUND_TRIP_US, SLOTS, WORK_US, Demand, Play
from tests.test_routing import S, Scene, configuration, route, server
from vetchusher import control
from vetchusher.control.rollouts import rollout_of
from vetchusher.control.state import apply_order, first_state
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.emulator.system.world import Scene as WorldScene
from vetchusher.emulator.system.world import World
from vetchusher.errors import ErrorCode
from vetchusher.node import api_calls
from vetchusher.node.api_endpoints import (
    CONTROL_ENDPOINTS,
    OperatorRequest,
    parse_initiate_rollout,
    response_of,
)
from vetchusher.rollout.directive import Directive, directives_of, rollout_rows
from vetchusher.rollout.exposure import MARGIN_RATIO, ExposureBudget
from vetchusher.rollout.supervisor import GIVE_UP_RATIO, PROMOTE_RATIO, SILENT_US, Supervisor
from vetchusher.rollout.verdict import Counts, Fault, Watch
from vetchusher.routing import AttemptOutcome
from vetchusher.routing.rollouts import Rollouts
from vetchusher.settings.configuration import RouteType

MS = 1000
DURATION_MS = 12_000
ORDER = api_calls.InitiateRollout("a", "v2", DURATION_MS)
READ = api_calls.RetrieveRollout("a")


class Orders(TestCase):
    def test_the_operators_calls_are_taken(self):
        for method, path in (("POST", "/rollouts/initiate"), ("GET", "/rollouts/svc/retrieve")):
            taken = [e for e in CONTROL_ENDPOINTS if e.method == method and e.path.fullmatch(path)]
            self.assertEqual(1, len(taken), f"{method} {path}")

    def test_bodies_that_are_no_order_are_rejected_in_one_line(self):
        good = b'{"service":"a","target_version":"v2","duration_s":12.5}'
        self.assertEqual(
            api_calls.InitiateRollout("a", "v2", 12_500),
            parse_initiate_rollout(OperatorRequest({}, {}, good)).unwrap(),
        )
        for body in (
            b"",
            b"[]",
            b"{",
            good.replace(b'"a"', b'""'),
            good.replace(b'"a"', b"7"),
            good.replace(b'"v2"', b"null"),
            good.replace(b'"v2"', b'"v\\n2"'),
            good.replace(b"12.5", b"0"),
            good.replace(b"12.5", b"-1"),
            good.replace(b"12.5", b'"12"'),
            good.replace(b"12.5", b"true"),
            good.replace(b"12.5", b"1e99"),
            good.replace(b"12.5", b"NaN"),
        ):
            fault = parse_initiate_rollout(OperatorRequest({}, {}, body)).failure()
            self.assertEqual((ErrorCode.INVALID_ORDER, 1), (fault.code, len(fault.text.splitlines())), body)

    def test_answers_on_the_wire(self):
        answers = [
            response_of(Success(api_calls.RolloutInitiated())),
            response_of(Success(api_calls.RolloutRetrieved("reverted", "v2"))),
        ]
        bodies = [b"{}", b'{"state":"reverted","target_version":"v2"}']
        self.assertEqual([(200, body) for body in bodies], [(a.status, a.body) for a in answers])


class States(TestCase):
    """The state machine of a roll-out, explored whole: every order in every state."""

    def test_each_state_is_reached_once_and_the_end_is_final(self):
        begun = apply_order(first_state(), control.RolloutOrder("a", "v2", 12_000)).unwrap()
        number = rollout_of(begun, "a").number
        allowed = {
            (wire.IN_PROGRESS, wire.PROMOTING),
            (wire.IN_PROGRESS, wire.REVERTED),
            (wire.PROMOTING, wire.COMPLETED),
            (wire.PROMOTING, wire.REVERTED),
        }
        seen, waiting = {}, [begun]
        while waiting:
            state = waiting.pop()
            before = rollout_of(state, "a").state
            if before in seen:
                continue
            seen[before] = state
            for wanted in wire.RolloutState.values():
                after = apply_order(state, control.RolloutDecision("a", number, wanted)).unwrap()
                reached = rollout_of(after, "a").state
                self.assertEqual(wanted if (before, wanted) in allowed else before, reached)
                self.assertIs(
                    state, apply_order(state, control.RolloutDecision("a", number + 1, wanted)).unwrap()
                )
                waiting.append(after)
        self.assertEqual(set(wire.RolloutState.values()), set(seen))
        for reached, state in seen.items():
            again = apply_order(state, control.RolloutOrder("a", "v2", 99)).unwrap()
            self.assertIs(state, again)  # a repeat, held up on its way
            other = apply_order(state, control.RolloutOrder("a", "v3", 12_000))
            if reached in (wire.IN_PROGRESS, wire.PROMOTING):
                self.assertEqual(ErrorCode.VERSION_CONFLICT, other.failure().code)
            else:
                self.assertEqual((number + 1, "v3"), (rollout_of(other.unwrap(), "a").number, "v3"))

    def test_rows_tell_ingresses_the_same(self):
        state = apply_order(first_state(), control.RolloutOrder("a", "v2", 12_000)).unwrap()
        rows = rollout_rows(state.rollouts)
        self.assertEqual({"a": Directive("a", "v2", wire.IN_PROGRESS, 1)}, directives_of(rows))
        for junk in (b"", b"[]", b'["v2",9,1]', b'["v2",0,"x"]', b"{}"):
            self.assertEqual({}, directives_of({"rollout/a": junk}))


class Committed(TestCase):
    """Orders of roll-outs at core machines in virtual time."""

    def setUp(self):
        super().setUp()
        self.world = World(WorldScene(seed=11, loss=0.0))
        self.world.warm_up()
        self.world.run(self.world.clock.at + S)

    def ask(self, name, call):
        told = []
        self.world.call(name, call, told.append)
        self.world.run(self.world.clock.at + 400 * MS)
        return told[0] if told else None

    def states(self):
        found = [self.ask(name, READ) for name in ("1", "2", "3")]
        return [one.unwrap().state for one in found if isinstance(one, Success)]

    def test_an_order_is_acknowledged_read_back_and_survives_the_loss_of_all_power(self):
        self.assertEqual(ErrorCode.NOT_FOUND, self.ask("1", READ).failure().code)
        self.assertEqual(Success(api_calls.RolloutInitiated()), self.ask("2", ORDER))
        self.assertEqual(["in_progress"] * 3, self.states())
        self.assertEqual(Success(api_calls.RolloutInitiated()), self.ask("3", ORDER))
        other = replace(ORDER, target_version="v3")
        self.assertEqual(409, self.ask("1", other).failure().status)
        unknown = replace(ORDER, service="nowhere")
        self.assertEqual(400, self.ask("1", unknown).failure().status)
        for name in ("1", "2", "3"):
            self.world.end(name, True)
        self.world.run(self.world.clock.at + S)
        for name in ("1", "2", "3"):
            self.world.start(name)
        self.world.run(self.world.clock.at + 6 * S)
        told = [self.ask(name, READ) for name in ("1", "2", "3")]
        self.assertEqual(["v2"] * 3, [one.unwrap().target_version for one in told])

    def test_ingresses_are_told_and_a_version_of_which_nothing_is_known_is_reverted(self):
        self.ask("1", ORDER)
        for name in ("e1", "e2", "e3"):
            directives = self.world.machines[name].part.proxy.selector.directives
            self.assertEqual("v2", directives["a"].target_version)
        self.world.run(self.world.clock.at + int(GIVE_UP_RATIO * DURATION_MS) * MS)
        self.assertEqual(["reverted"] * 3, self.states())
        self.assertEqual([], self.world.wrong())


class Exposure(TestCase):
    def test_the_sum_of_all_ingresses_stays_within_the_ratio_whoever_restarts(self):
        rng, ratio = random.Random(3), 0.1
        budgets = [ExposureBudget(ratio) for _ in range(9)]
        requests = exposed = 0
        for _ in range(20_000):
            number = rng.randrange(len(budgets))
            if rng.random() < 0.001:
                budgets[number] = ExposureBudget(ratio)  # it restarts, and counts anew
            budget = budgets[number]
            budget.on_request()
            requests += 1
            if budget.may_expose():
                budget.on_exposed()
                exposed += 1
            self.assertLessEqual(exposed, ratio * requests)
        self.assertGreater(exposed, 0.08 * requests)

    def versions(self, state, fresh_until=1 << 60):
        """The versions that 400 requests of one ingress are sent to."""
        old = [server(f"o-{n}", version="v1", capacity=400) for n in range(4)]
        new = [server(f"n-{n}", version="v2", capacity=400) for n in range(4)]
        scene = Scene(*old, *new, conf=configuration(route("safe", RouteType.SAFE, max_attempts=1)))
        scene.ground.fresh_until = fresh_until
        scene.ground.set_rollouts({"svc": Directive("svc", "v2", state, 1)})
        seen = []
        for _ in range(400):
            request = scene.request()
            [act, *_] = request.start(0)
            seen.append(act.server.version)
            request.on_attempt_ended(1000, act.number, AttemptOutcome.ANSWERED)
        return seen

    def test_each_state_sends_requests_where_it_may(self):
        exposed = self.versions(wire.IN_PROGRESS).count("v2")
        self.assertTrue(0 < exposed <= 0.1 * MARGIN_RATIO * 400, exposed)
        self.assertEqual({"v2"}, set(self.versions(wire.PROMOTING)))
        self.assertEqual({"v2"}, set(self.versions(wire.COMPLETED)))
        self.assertEqual({"v1"}, set(self.versions(wire.REVERTED)))

    def test_an_ingress_that_does_not_know_what_is_in_force_exposes_nothing(self):
        self.assertEqual({"v1"}, set(self.versions(wire.IN_PROGRESS, fresh_until=-1)))

    def test_a_reverted_version_gets_nothing_even_if_nobody_else_is_there(self):
        scene = Scene(server("n-1", version="v2"))
        scene.ground.set_rollouts({"svc": Directive("svc", "v2", wire.REVERTED, 1)})
        self.assertIsNone(scene.choice.choose(0, "svc", None))

    def test_retries_of_an_exposed_request_go_to_the_old_version(self):
        old = [server(f"o-{n}", version="v1") for n in range(2)]
        scene = Scene(*old, server("n-1", version="v2"))
        scene.ground.set_rollouts({"svc": Directive("svc", "v2", wire.IN_PROGRESS, 1)})
        exposed = 0
        for _ in range(200):
            request = scene.request()
            [act, *_] = request.start(0)
            while act.server.version == "v2":
                exposed += 1
                [act, *_] = request.on_attempt_ended(1000, act.number, AttemptOutcome.SERVER_ERROR)
                self.assertEqual("v1", act.server.version)
            request.on_attempt_ended(2000, act.number, AttemptOutcome.ANSWERED)
        self.assertGreaterEqual(exposed, 3)


class Verdict(TestCase):
    def answers_to_alarm(self, rng, errors, slow, most=4000):
        """How many answers of a new version it takes to speak against it; None: nothing does."""
        watch = Watch()
        watch.add("r", Counts(2000, 8, 40), Counts())
        for number in range(most):
            watch.add("r", Counts(), Counts(1, int(rng.random() < errors), int(rng.random() < slow)))
            if watch.alarm() is not None:
                return number + 1
        return None

    def test_a_good_version_raises_no_alarm(self):
        rng = random.Random(5)
        self.assertEqual([None] * 40, [self.answers_to_alarm(rng, 0.004, 0.02) for _ in range(40)])

    def test_a_bad_version_is_noticed_before_its_50th_bad_answer(self):
        rng = random.Random(6)
        for errors, slow in ((0.2, 0.02), (0.4, 0.02), (1.0, 0.02), (0.004, 0.3), (0.004, 0.6), (0.004, 1.0)):
            bad = max(errors, slow)
            taken = [self.answers_to_alarm(rng, errors, slow) for _ in range(40)]
            self.assertTrue(all(one is not None and one * bad < 50 for one in taken), (errors, slow, taken))

    def test_a_version_that_turns_bad_late_is_noticed_as_soon(self):
        watch = Watch()
        watch.add("r", Counts(5000, 20, 100), Counts(3000, 12, 60))
        self.assertIsNone(watch.alarm())
        watch.add("r", Counts(), Counts(40, 20, 1))
        self.assertEqual((Fault.ERRORS, "r"), (watch.alarm().fault, watch.alarm().route))

    def test_one_route_alone_shows_among_many(self):
        watch = Watch()
        watch.add("busy", Counts(5000, 20, 100), Counts(2000, 8, 40))
        watch.add("thin", Counts(100, 1, 2), Counts(20, 9, 0))
        self.assertEqual("thin", watch.alarm().route)

    def test_what_the_old_version_does_as_well_speaks_against_neither(self):
        watch = Watch()
        watch.add("r", Counts(4000, 600, 800), Counts(400, 62, 84))
        self.assertIsNone(watch.alarm())


class Whole(Play):
    """One ingress in virtual time whose service is rolled out, and the supervisor that it reports to.

    :param misdeed: of a new server: takes play, path and usual work, returns work and outcome
    """

    def __init__(self, misdeed, seed=9):
        old = [server(f"o-{n}", version="v1", capacity=SLOTS) for n in range(12)]
        new = [server(f"n-{n}", version="v2", capacity=SLOTS) for n in range(12)]
        super().__init__(configuration(route("plain"), route("other"), tenants=()), [*old, *new], seed)
        self.misdeed = misdeed
        self.supervisor = Supervisor()
        self.rollout = wire.Rollout(service="svc", target_version="v2", duration_ms=DURATION_MS, number=1)
        self.exposed = self.arrived = 0
        self.decided_at = {}
        self.apply()
        self.at(0, self.report)

    def apply(self):
        self.supervisor.observe(self.now, [self.rollout])
        self.context.set_rollouts({"svc": Directive("svc", "v2", self.rollout.state, 1)})

    def report(self):
        self.at(self.now + 200 * MS, self.report)
        seen = self.context.rollouts.reports(self.now, self.context.choice.open_at_other_versions)
        self.supervisor.on_report(self.now, wire.RolloutReport(node="e1", life=1, services=seen))
        for decision in self.supervisor.decide(self.now):
            if decision.state == wire.COMPLETED:
                assert self.context.choice.open_at_other_versions("svc", "v2") == 0
            self.rollout = wire.Rollout(
                service="svc", target_version="v2", duration_ms=DURATION_MS, number=1, state=decision.state
            )
            self.decided_at[decision.state] = self.now
            self.apply()

    def send(self, request, demand, action):
        self.arrived += action.number == 0
        if action.server.version == "v1":
            super().send(request, demand, action)
            return
        self.exposed += wire.PROMOTING not in self.decided_at
        instance, trip = action.server.instance, ROUND_TRIP_US[action.server.zone]
        if self.busy[instance] >= SLOTS + QUEUE:
            self.at(self.now + trip, self.ended, request, demand, action.number, AttemptOutcome.NOT_EXECUTED)
            return
        work, outcome = self.misdeed(self, demand.path, int(WORK_US * self.rng.uniform(0.5, 1.5)))
        left = action.deadline - self.now - trip
        if work >= left:
            work, outcome = left, AttemptOutcome.TIMED_OUT
        self.busy[instance] += 1
        self.at(self.now + work, self.free, instance)
        self.at(self.now + trip + work, self.ended, request, demand, action.number, outcome)

    def play(self):
        self.run([Demand("t", "/plain/1", 120.0), Demand("t", "/other/1", 30.0)], DURATION_MS * MS)
        return self


def good(play, path, work):
    return work, AttemptOutcome.ANSWERED


def errors(play, path, work):
    return work, AttemptOutcome.SERVER_ERROR if play.rng.random() < 0.4 else AttemptOutcome.ANSWERED


def slow(play, path, work):
    return work * (8 if play.rng.random() < 0.5 else 1), AttemptOutcome.ANSWERED


def late(play, path, work):
    return errors(play, path, work) if play.now > 3 * S else good(play, path, work)


def one_route(play, path, work):
    return errors(play, path, work) if path.startswith("/other") else good(play, path, work)


def hangs(play, path, work):
    return 100 * S if play.rng.random() < 0.5 else work, AttemptOutcome.ANSWERED


def under_load(play, path, work):
    busy = sum(play.busy[name] for name in play.busy if name.startswith("n"))
    return errors(play, path, work) if busy >= 4 else good(play, path, work)


class RollOut(TestCase):
    def test_a_good_version_is_completed_by_its_term_with_nothing_left_open_at_the_old_one(self):
        for seed in range(4):
            play = Whole(good, seed).play()
            self.assertEqual(wire.COMPLETED, play.rollout.state)
            self.assertTrue(play.decided_at[wire.PROMOTING] >= PROMOTE_RATIO * DURATION_MS * MS)
            self.assertLessEqual(play.exposed, 0.1 * play.arrived)

    def test_a_bad_version_is_reverted_with_few_requests_harmed(self):
        for misdeed in (errors, slow, late, one_route, hangs, under_load):
            for seed in range(4):
                play = Whole(misdeed, seed).play()
                self.assertEqual(wire.REVERTED, play.rollout.state, (misdeed.__name__, seed))
                self.assertLessEqual(play.exposed, 0.1 * play.arrived, misdeed.__name__)

    def test_an_ingress_out_of_touch_holds_up_the_completion_until_near_the_term(self):
        supervisor = Supervisor()
        rollout = wire.Rollout(service="svc", target_version="v2", duration_ms=10_000, number=1)
        supervisor.observe(0, [rollout])
        promoted = wire.Rollout()
        promoted.CopyFrom(rollout)
        promoted.state = wire.PROMOTING

        def report(now, node, open_old):
            told = wire.ServiceEvidence(service="svc", number=1, open_old=open_old, state=wire.PROMOTING)
            supervisor.on_report(now, wire.RolloutReport(node=node, life=1, services=[told]))

        supervisor.observe(5 * S, [promoted])
        report(5 * S, "silent", 3)
        for now in range(5 * S, 10 * S, S // 5):
            report(now, "heard", 1 if now < 6 * S else 0)
            decided = [one.state for one in supervisor.decide(now)]
            near_term = now >= max(9_500 * MS, 5 * S + SILENT_US)
            self.assertEqual([wire.COMPLETED] if near_term else [], decided, now)

    def test_a_repeated_report_adds_nothing_and_a_restarted_ingress_counts_anew(self):
        supervisor = Supervisor()
        supervisor.observe(
            0, [wire.Rollout(service="svc", target_version="v2", duration_ms=10_000, number=1)]
        )
        counted = wire.VersionCounts(answers=10, errors=1)
        seen = wire.RouteEvidence(route="r", new_version=counted)
        for life in (1, 1, 1, 2, 2):
            told = wire.ServiceEvidence(service="svc", number=1, routes=[seen])
            supervisor.on_report(0, wire.RolloutReport(node="e1", life=life, services=[told]))
        self.assertEqual(Counts(20, 2, 0), supervisor.under_way["svc"].watch.total.new)
        stale = wire.ServiceEvidence(service="svc", number=9, routes=[seen])
        supervisor.on_report(0, wire.RolloutReport(node="e2", life=1, services=[stale]))
        self.assertEqual(Counts(20, 2, 0), supervisor.under_way["svc"].watch.total.new)

    def test_a_later_roll_out_of_a_service_has_a_budget_of_its_own(self):
        rollouts = Rollouts(0.1)
        rollouts.set_directives({"svc": Directive("svc", "v2", wire.IN_PROGRESS, 1)})
        first = rollouts.active["svc"].budget
        rollouts.set_directives({"svc": Directive("svc", "v2", wire.PROMOTING, 1)})
        self.assertIs(first, rollouts.active["svc"].budget)
        rollouts.set_directives({"svc": Directive("svc", "v2", wire.REVERTED, 1)})
        self.assertEqual({}, rollouts.active)
        rollouts.set_directives({"svc": Directive("svc", "v3", wire.IN_PROGRESS, 2)})
        self.assertIsNot(first, rollouts.active["svc"].budget)
