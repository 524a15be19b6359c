"""A request's way without sockets: the table of claims, stories of one request, and the choice of server."""

import random
from dataclasses import replace
from unittest.mock import patch

from returns.result import Failure
from testtools import TestCase

from vetchusher.discovery.server import Server
from vetchusher.errors import ErrorCode
from vetchusher.routing import (
    AttemptOutcome,
    RequestHead,
    RouteTable,
    RoutingContext,
    ServerSelector,
    admit_request,
    subsets,
)
from vetchusher.routing.actions import CancelAttempt, ForwardResponse, Reject, SendAttempt, WakeAt
from vetchusher.routing.claims import CLAIM_OF, Claim, next_step, outcome_of
from vetchusher.routing.headers import request_headers
from vetchusher.routing.routes import allowed_regions
from vetchusher.routing.subsets import Subsets, ingresses_per_server, rank
from vetchusher.settings.configuration import ClientLimits, Configuration, Route, RouteType, Service, Tenant

S = 1_000_000
ZONES = {"gulf-a": "gulf", "gulf-b": "gulf", "delta-a": "delta"}


def route(name, kind=RouteType.SAFE, **changed):
    given = {"public": False, "home_regions": frozenset(), "targets": (("svc", 1.0),), "max_attempts": 2}
    given |= {"host": "a.example", "path_prefix": f"/{name}/", "timeout_ms": 2000, "target_ms": 500}
    return Route(name=name, route_type=kind, priority=1, **(given | changed))


def tenant(name, *keys, rate=0.0, homes=()):
    return Tenant(name, keys, None, rate, rate, frozenset(homes))


def configuration(*routes, tenants=()):
    services = {"svc": Service("svc", "/health", 100, 3.0, 10.0)}
    return Configuration(1, routes, services, ClientLimits(), {t.name: t for t in tenants}, bool(tenants))


def server(name, zone="gulf-a", **changed):
    return replace(Server(name, "svc", f"{name}:80", zone, capacity=4), **changed)


class Purse:
    """Tally and budget in one: it says how often it was asked."""

    def __init__(self, quota=1000, extra=1000):
        self.quota, self.extra, self.firsts, self.room_us = quota, extra, 0, 0

    def admit(self, now, tenant):
        self.quota -= 1
        return self.quota >= 0

    def retry_after_us(self, now, tenant):
        return self.room_us

    def on_request(self, now, service):
        self.firsts += 1

    def take_attempt(self, now, service, *, leave_reserve=False):
        self.extra -= 1
        return self.extra >= 0


class Scene:
    """An ingress's ground, and one request on it at a time."""

    def __init__(self, *servers, conf=None, purse=None, node="edge-1"):
        choice = ServerSelector(random.Random(3), node, "gulf", ZONES)
        self.purse = purse or Purse()
        self.ground = RoutingContext(choice, self.purse, self.purse, random.Random(4), fresh_until=1 << 60)
        self.choice = choice
        self.ground.configure(conf or configuration(route("safe"), route("once", RouteType.UNSAFE)))
        choice.set_servers(servers)

    def judge(self, target="/safe/1", now=0, **headers):
        given = {"Host": "A.example:80", "X-Vetchusher-Attempt-Id": "id-1"}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        return admit_request(self.ground, RequestHead("GET", target, list(given.items()), now))

    def request(self, *told, **headers):
        return self.judge(*told, **headers).unwrap()


def kinds(acts):
    """The acts in short: who it is sent to, or how it ends."""
    shown = {
        SendAttempt: lambda a: a.server.instance,
        Reject: lambda a: a.error.code,
        ForwardResponse: lambda a: "answer",
    }
    shown |= {CancelAttempt: lambda a: f"cancel {a.number}", WakeAt: lambda a: "wake"}
    return [shown[type(act)](act) for act in acts]


class Claims(TestCase):
    def test_what_was_seen_and_what_may_follow(self):
        refuse, fail, answer = ErrorCode.NOT_EXECUTED, ErrorCode.MAYBE_EXECUTED, None
        table = {  # seen: (again, otherwise) for what is repeatable, for what is not
            AttemptOutcome.NO_CONNECTION: ((True, refuse), (True, refuse)),
            AttemptOutcome.NOT_WRITTEN: ((True, refuse), (True, refuse)),
            AttemptOutcome.NOT_EXECUTED: ((True, refuse), (True, refuse)),
            AttemptOutcome.MISDIRECTED: ((True, refuse), (True, refuse)),
            AttemptOutcome.RESET: ((True, fail), (False, fail)),
            AttemptOutcome.TIMED_OUT: ((True, fail), (False, fail)),
            AttemptOutcome.GARBLED: ((True, fail), (False, fail)),
            AttemptOutcome.CANCELLED: ((True, fail), (False, fail)),
            AttemptOutcome.SERVER_ERROR: ((True, answer), (False, answer)),
            AttemptOutcome.ANSWERED: ((False, answer), (False, answer)),
        }
        self.assertEqual(set(AttemptOutcome), set(table))
        for seen, expected in table.items():
            found = tuple((n.may_retry, n.otherwise) for n in (next_step(seen, True), next_step(seen, False)))
            self.assertEqual(expected, found, seen)

    def test_what_an_answer_shows(self):
        for status, not_executed, ours, sealed, seen in (
            (200, False, True, True, AttemptOutcome.ANSWERED),
            (200, False, True, False, AttemptOutcome.GARBLED),
            (200, True, True, True, AttemptOutcome.NOT_EXECUTED),
            (404, False, True, False, AttemptOutcome.ANSWERED),
            (500, False, True, False, AttemptOutcome.SERVER_ERROR),
            (504, False, True, False, AttemptOutcome.SERVER_ERROR),
            (503, True, True, False, AttemptOutcome.NOT_EXECUTED),
            (503, False, True, True, AttemptOutcome.GARBLED),
            (429, False, True, False, AttemptOutcome.GARBLED),
            (408, False, True, False, AttemptOutcome.GARBLED),
            (421, False, True, False, AttemptOutcome.MISDIRECTED),
            (421, True, False, False, AttemptOutcome.GARBLED),
            (503, True, False, False, AttemptOutcome.GARBLED),
        ):
            self.assertEqual(
                seen, outcome_of(status, not_executed, ours, sealed), (status, not_executed, ours)
            )


class Routes(TestCase):
    def test_longest_prefix_of_the_host(self):
        table = RouteTable(
            configuration(
                route("all", path_prefix="/"),
                route("a"),
                route("ab", path_prefix="/a/b/"),
                route("other", host="b.example", path_prefix="/a/"),
            )
        )
        for host, target, name in (
            ("a.example", "/a/b/c", "ab"),
            ("A.EXAMPLE:8388", "/a/b", "a"),
            ("a.example", "/a?/a/b/", "all"),
            ("b.example", "/a/?x", "other"),
            ("b.example", "/", None),
            ("c.example", "/a/", None),
        ):
            found = table.find(host, target)
            self.assertEqual(name, found.name if found else None, (host, target))

    def test_homes_of_route_and_tenant_both_bind(self):
        at = route("r", home_regions=frozenset({"gulf", "delta"}))
        self.assertIsNone(allowed_regions(route("r"), tenant("t")))
        self.assertEqual({"gulf", "delta"}, allowed_regions(at, tenant("t")))
        self.assertEqual({"delta"}, allowed_regions(at, tenant("t", homes=["delta", "isle"])))
        self.assertEqual(frozenset(), allowed_regions(at, tenant("t", homes=["isle"])))


class Headers(TestCase):
    def test_what_passes_on(self):
        given = [
            ("Connection", "x-hop, close"),
            ("X-Hop", "1"),
            ("Keep-Alive", "timeout=3"),
            ("TE", "trailers"),
        ]
        given += [
            ("Proxy-Authorization", "x"),
            ("Upgrade", "h2c"),
            ("Authorization", "Bearer k"),
            ("Host", "h"),
        ]
        given += [("x-vetchusher-subscriber", "t"), ("X-VETCHUSHER-target-instance", "i"), ("Cookie", "a")]
        given += [("Content-Length", "3"), ("X-Vetchusher-Time-Remaining", "9"), ("cookie", "b")]
        cookies = [("Cookie", "a"), ("Cookie", "b")]
        self.assertEqual(cookies, request_headers(given, True))
        self.assertEqual([("Authorization", "Bearer k"), *cookies], request_headers(given, False))


class Stories(TestCase):
    def test_one_request_from_try_to_try(self):
        """Each line: route, servers, extra tries allowed; then what is seen and what follows it."""
        full, reset, refused = AttemptOutcome.NOT_EXECUTED, AttemptOutcome.RESET, AttemptOutcome.NO_CONNECTION
        for target, names, extra, story in (
            ("/safe/1", "ab", 9, [(AttemptOutcome.ANSWERED, "answer")]),
            ("/safe/1", "ab", 9, [(reset, "again"), (AttemptOutcome.ANSWERED, "answer")]),
            ("/safe/1", "abc", 9, [(reset, "again"), (full, ErrorCode.MAYBE_EXECUTED)]),
            ("/safe/1", "abc", 9, [(full, "again"), (full, ErrorCode.NOT_EXECUTED)]),
            ("/safe/1", "a", 9, [(reset, ErrorCode.MAYBE_EXECUTED)]),
            ("/safe/1", "ab", 0, [(reset, ErrorCode.MAYBE_EXECUTED)]),
            ("/safe/1", "ab", 0, [(AttemptOutcome.SERVER_ERROR, "answer")]),
            ("/safe/1", "ab", 9, [(AttemptOutcome.SERVER_ERROR, "again"), (reset, "answer")]),
            ("/once/1", "ab", 9, [(reset, ErrorCode.MAYBE_EXECUTED)]),
            ("/once/1", "ab", 9, [(AttemptOutcome.SERVER_ERROR, "answer")]),
            ("/once/1", "ab", 9, [(full, "again"), (reset, ErrorCode.MAYBE_EXECUTED)]),
            ("/once/1", "ab", 0, [(full, ErrorCode.NOT_EXECUTED)]),
            # what never reached a server is no extra try, yet there is an end of it
            ("/once/1", "abcd", 0, [(refused, "again"), (refused, "again"), (full, ErrorCode.NOT_EXECUTED)]),
            ("/safe/1", "abcdef", 9, [(refused, "again")] * 3 + [(refused, ErrorCode.NOT_EXECUTED)]),
        ):
            scene = Scene(*map(server, names), purse=Purse(extra=extra))
            request = scene.request(target)
            sent = [a for a in request.start(0) if isinstance(a, SendAttempt)]
            for number, (seen, expected) in enumerate(story):
                (act,) = request.on_attempt_ended(1000, number, seen)
                if isinstance(act, SendAttempt):
                    sent.append(act)
                self.assertEqual(
                    expected, "again" if isinstance(act, SendAttempt) else kinds([act])[0], story
                )
            self.assertEqual(len(sent), len({s.server.instance for s in sent}), story)
            self.assertEqual(0, sum(s.open_requests for s in scene.choice.server_states.values()))

    def test_late_one_gets_a_second_copy_and_the_first_good_answer_wins(self):
        """
        ingress            a            b
          | --- 0 --------->|            |
          | (late) --- 1 ---+----------->|
          |                 |  reset ----|      the other one is still out
          | --------------->|(none: of two attempts both are made)
          |<---- 200 -------|
        """
        scene = Scene(server("a"), server("b"))
        request = scene.request()
        first, wake = request.start(0)
        self.assertEqual((0, 333_333), (first.number, wake.at))
        (second,) = request.on_late(wake.at)
        self.assertNotEqual(first.server, second.server)
        self.assertEqual([], request.on_late(wake.at + 1))
        self.assertEqual([], request.on_attempt_ended(S, 1, AttemptOutcome.RESET))
        self.assertEqual(["answer"], kinds(request.on_attempt_ended(S, 0, AttemptOutcome.ANSWERED)))

        request = scene.request(now=2 * S)
        request.start(2 * S)
        request.on_late(3 * S)
        self.assertEqual(
            ["cancel 0", "answer"], kinds(request.on_attempt_ended(3 * S, 1, AttemptOutcome.ANSWERED))
        )
        self.assertEqual([], request.on_attempt_ended(3 * S, 0, AttemptOutcome.ANSWERED))

    def test_what_never_had_a_chance(self):
        conf = configuration(
            route("safe"), route("open", public=True), tenants=[tenant("t", "k-1", rate=5.0, homes=["delta"])]
        )
        scene = Scene(server("a"), conf=conf, purse=Purse(quota=0))
        key = {"Authorization": "bearer  k-1"}
        for target, headers, kind in (
            ("/none/1", key, ErrorCode.ROUTE_NOT_FOUND),
            ("/safe/1", {}, ErrorCode.UNAUTHENTICATED),
            ("/safe/1", {"Authorization": "Bearer k-2"}, ErrorCode.UNAUTHENTICATED),
            ("/safe/1", {**key, "X-Vetchusher-Attempt-Id": ""}, ErrorCode.MALFORMED_REQUEST),
            ("*", key, ErrorCode.MALFORMED_REQUEST),
        ):
            judged = scene.judge(target, **headers)
            self.assertEqual(kind, judged.failure().code if isinstance(judged, Failure) else judged)
        self.assertEqual(["a", "wake"], kinds(scene.request("/open/1").start(0)))
        self.assertEqual(
            [ErrorCode.NO_SERVER_AVAILABLE], kinds(scene.request(**key).start(0))
        )  # its homes have none
        self.assertEqual((0, 1), (scene.purse.quota, scene.purse.firsts))  # nothing was counted for it
        scene.choice.set_servers([server("b", "delta-a")])
        for room_us, least, most in ((0, 100_000, 100_000), (S, S, 3 * S // 2), (9 * S, 2 * S, 2 * S)):
            scene.purse.room_us = room_us  # the tally says when there may be room
            (over,) = scene.request(**key).start(0)
            self.assertEqual(ErrorCode.QUOTA_EXCEEDED, over.error.code)
            self.assertTrue(least <= over.error.retry_after_us <= most, over.error.retry_after_us)
        scene.ground.fresh_until = -1
        for target, headers in (("/none/1", key), ("/safe/1", {})):
            fault = scene.judge(target, **headers).failure()
            self.assertEqual((503, True), (fault.status, fault.retry_after_us > 0))

    def test_time_left_is_the_least_of_both_and_the_way_is_taken_off(self):
        scene = Scene(server("a"))
        for told, deadline, header in (
            ("900", 892_000, "889"),
            ("9000", 1_992_000, "1989"),
            ("x", 1_992_000, "1989"),
        ):
            send = scene.request(X_Vetchusher_Time_Remaining=told).start(0)[0]
            self.assertEqual(deadline, send.deadline)
            self.assertEqual([header], [v for n, v in send.headers if n == "X-Vetchusher-Time-Remaining"])
        request = scene.request(X_Vetchusher_Time_Remaining="100")
        self.assertEqual([ErrorCode.NO_SERVER_AVAILABLE], kinds(request.start(92_000)))


class Explorer(TestCase):
    def test_no_course_of_events_breaks_a_promise(self):
        """Whatever is seen in whatever order: what may run once is not sent again once it may have run, a
        promise is made only where nothing ran, tries keep their bounds, each place is given back."""
        rng = random.Random(11)
        for course in range(1500):
            names = "abcdefg"[: rng.randint(1, 7)]
            scene = Scene(
                *(server(n, rng.choice(list(ZONES))) for n in names), purse=Purse(extra=rng.randint(0, 3))
            )
            extra = scene.purse.extra
            request = scene.request(rng.choice(["/safe/1", "/once/1"]))
            now, out, claims, sends, final = 0, {}, [], 0, None
            acts = request.start(now)
            while final is None or out:
                for act in acts:
                    match act:
                        case SendAttempt():
                            self.assertIsNone(final, course)
                            self.assertTrue(request.repeatable or set(claims) <= {Claim.NEVER_RAN}, course)
                            out[act.number] = act.server.instance
                            sends += 1
                        case CancelAttempt():
                            del out[act.number]
                        case ForwardResponse() | Reject():
                            self.assertIsNone(final, course)
                            final = act
                            if isinstance(act, Reject) and act.error.status == 503:
                                self.assertTrue(not out and set(claims) <= {Claim.NEVER_RAN}, course)
                acts = []
                if out:
                    now += rng.randint(1, 700_000)
                    if rng.random() < 0.2:
                        acts = request.on_late(now)
                    else:
                        number = rng.choice(list(out))
                        del out[number]
                        seen = rng.choice([s for s in AttemptOutcome if s is not AttemptOutcome.CANCELLED])
                        claims.append(CLAIM_OF[seen])
                        acts = request.on_attempt_ended(now, number, seen, rng.random() < 0.5)
                else:
                    self.assertIsNotNone(final, course)
            arrived = sum(claim is not Claim.NEVER_RAN for claim in claims)
            self.assertTrue(arrived <= request.route.max_attempts and sends <= 4, course)
            self.assertTrue(arrived <= 1 + extra, course)
            self.assertEqual(0, sum(s.open_requests for s in scene.choice.server_states.values()), course)


class Choices(TestCase):
    def count(self, choice, times=60, now=0, allowed=None):
        found = [choice.choose(now, "svc", allowed) for _ in range(times)]
        return {one.instance if one else None for one in found}

    def test_own_region_first_then_the_nearest_with_room(self):
        scene = Scene(
            server("a"), server("b", "gulf-b"), server("far", "delta-a"), server("d", draining=True)
        )
        choice = scene.choice
        self.assertEqual({"a", "b"}, self.count(choice))
        self.assertEqual({"far"}, self.count(choice, allowed=frozenset({"delta"})))
        for _ in range(4):
            choice.on_sent(0, "a")
            choice.on_sent(0, "b")
        self.assertEqual({"far"}, self.count(choice))
        self.assertEqual({None}, self.count(choice, allowed=frozenset({"gulf"})))
        choice.on_ended(0, "a", AttemptOutcome.MISDIRECTED, 1000)
        self.assertEqual({"far"}, self.count(choice))
        choice.on_ended(0, "b", AttemptOutcome.ANSWERED, 1000)
        self.assertEqual({"b"}, self.count(choice))
        choice.set_evacuated(frozenset({"gulf-b", "delta-a"}), 0)
        self.assertEqual({None}, self.count(choice))

    def test_full_ones_get_less_and_slow_ones_are_avoided(self):
        choice = Scene(server("a", capacity=8), server("b", capacity=8)).choice
        for _ in range(20):
            choice.on_sent(0, "a")
            choice.on_ended(0, "a", AttemptOutcome.ANSWERED, 400_000)
            choice.on_sent(0, "b")
            choice.on_ended(0, "b", AttemptOutcome.ANSWERED, 20_000)
        self.assertEqual({"b"}, self.count(choice))
        for _ in range(8):
            choice.on_sent(0, "b")
        choice.on_ended(0, "b", AttemptOutcome.NOT_EXECUTED, 1000)
        self.assertEqual({"a"}, self.count(choice))
        for _ in range(40):
            choice.on_sent(0, "b")
            choice.on_ended(0, "b", AttemptOutcome.RESET, 1000, reset_at_once=True)
        self.assertEqual(1.0, choice.server_states["b"].open_limit)

    def test_quick_failures_do_not_attract(self):
        choice = Scene(server("a"), server("b")).choice
        for name, seen, took in [
            ("b", AttemptOutcome.ANSWERED, 20_000),
            ("a", AttemptOutcome.SERVER_ERROR, 1000),
        ] * 2:
            choice.on_sent(0, name)
            choice.on_ended(0, name, seen, took)
        self.assertEqual({"b"}, self.count(choice))

    def test_cold_ones_are_for_their_owner_and_slowly(self):
        """
        now      0 ..... 1 s ........................ 5 s        6 s .......... 11 s
        cold     #####################################           evacuated ends, ###
        owner    (waits)  edge-1: 3 at once, 10 a second         edge-1 again
        """
        cold = server("c", cold_until=5 * S, cold_owner="edge-1", owned_from=S)
        scene = Scene(cold, server("other", cold_until=5 * S, cold_owner="edge-2"))
        choice = scene.choice
        self.assertIsNone(choice.choose(2 * S, "svc", None))  # out of touch: it may be the owner no more
        choice.cold_budget_until = 20 * S
        passed = {}
        for now in range(0, 5 * S, 10_000):
            if (found := choice.choose(now, "svc", None)) is not None:
                choice.on_sent(now, found.instance)
                choice.on_ended(now, found.instance, AttemptOutcome.ANSWERED, 1000)
                passed.setdefault(found.instance, []).append(now)
        self.assertEqual({"c"}, set(passed))
        self.assertTrue(passed["c"][0] == S and 40 <= len(passed["c"]) <= 44)
        worst = max(sum(1 for b in passed["c"] if a <= b < a + S) for a in passed["c"])
        self.assertTrue(worst <= 13, worst)
        self.assertEqual("other", choice.choose(5 * S, "svc", None, {"c"}).instance)
        choice.set_evacuated(frozenset({"gulf-a"}), 5 * S)
        choice.set_evacuated(frozenset(), 6 * S)
        self.assertIsNone(choice.choose(11 * S - 1, "svc", None, {"c"}))
        self.assertEqual("other", choice.choose(11 * S, "svc", None, {"c"}).instance)

    def test_never_more_than_half_of_a_service_rests(self):
        names = "abcdef"
        choice = Scene(*map(server, names)).choice
        notes = []
        for round in range(30):
            for name in names:
                choice.on_sent(round * 1000, name)
                notes.append(choice.on_ended(round * 1000, name, AttemptOutcome.NO_CONNECTION, 1000))
        self.assertEqual(3, len([note for note in notes if note]))
        self.assertEqual(3, len(self.count(choice, now=30_000) - {None}))
        self.assertEqual(6, len(self.count(choice, now=S)))  # the first rest is short
        choice.on_sent(S, "a")
        again = choice.on_ended(S, "a", AttemptOutcome.NO_CONNECTION, 1000)
        self.assertEqual(800, again.facts["for_ms"])  # the next one longer

    def test_what_may_run_once_keeps_away_from_those_that_fail_now_and_then(self):
        """
        a   ok ok ok 500 ok ok        one in a few fails: as quick as the others
        b   ok ok ok ok  ok ok
        c   ok ok ok (hangs, given up in favour of a second copy)
        """
        choice = Scene(server("a"), server("b"), server("c")).choice
        for name, seens in [
            (
                "a",
                [AttemptOutcome.ANSWERED] * 3 + [AttemptOutcome.SERVER_ERROR] + [AttemptOutcome.ANSWERED] * 2,
            ),
            ("b", [AttemptOutcome.ANSWERED] * 6),
            ("c", [AttemptOutcome.ANSWERED] * 3 + [AttemptOutcome.CANCELLED]),
        ]:
            for seen in seens:
                choice.on_sent(0, name)
                choice.on_ended(0, name, seen, 100_000 if seen is AttemptOutcome.CANCELLED else 20_000)
        once = {choice.choose(0, "svc", None, (), 2 * S).instance for _ in range(200)}
        self.assertEqual({"b"}, once)
        worth = {name: choice.health.expected_cost(0, choice.server_states[name], 2 * S) for name in "abc"}
        self.assertTrue(worth["b"] < worth["a"] and worth["b"] < worth["c"], worth)
        later = {
            name: choice.health.expected_cost(60 * S, choice.server_states[name], 2 * S) for name in "abc"
        }
        self.assertTrue(max(later.values()) < 1.01 * min(later.values()), later)  # trust comes back

    def test_a_silent_server_is_left_before_its_first_request_ends(self):
        choice = Scene(server("a"), server("b")).choice
        for name in "ab":
            choice.on_sent(0, name)
            choice.on_ended(20_000, name, AttemptOutcome.ANSWERED, 20_000)
        choice.on_sent(20_000, "a")
        choice.on_sent(480_000, "b")
        self.assertEqual({"b"}, self.count(choice, now=500_000))
        choice.on_response_begun("a", 20_000)  # its head has come: the client reads slowly
        choice.on_sent(490_000, "b")
        self.assertEqual({"a"}, self.count(choice, now=500_000))


class Patch(TestCase):
    """Which servers each of many ingresses keeps to."""

    ZONES = ("gulf-a", "gulf-b", "gulf-c")

    def held(self, ingresses, servers):
        zones = {f"edge-{n}": self.ZONES[n % 3] for n in ingresses}
        found = {}
        for me in zones:
            mine = Subsets(me)
            mine.ingresses(zones)
            found[me] = {s for s in servers if mine.contains(f"i-{s}", self.ZONES[s % 3], len(servers))}
        return found

    def test_all_servers_are_worked_by_as_many_and_one_change_moves_little(self):
        for ingresses, servers in ((29, 47), (29, 5), (3, 8), (170, 60), (12, 300)):
            before = self.held(range(ingresses), range(servers))
            number, last = ingresses_per_server(ingresses, servers), f"edge-{ingresses - 1}"
            for one in range(servers):
                self.assertEqual(number, sum(1 for held in before.values() if one in held))
            after = self.held(range(ingresses - 1), range(servers))
            fewer = self.held(range(ingresses), range(servers - 1))
            for changed, some in (
                (
                    after,
                    servers * abs(number - ingresses_per_server(ingresses - 1, servers)) + len(before[last]),
                ),
                (fewer, servers * abs(number - ingresses_per_server(ingresses, servers - 1)) + number),
            ):
                moved = sum(len(held ^ before[me]) for me, held in changed.items())
                self.assertTrue(moved <= some, (ingresses, servers, moved, some))
        self.assertEqual(set(range(8)), self.held(range(3), range(8))["edge-0"])  # few: all

    def test_what_is_kept_as_ingresses_come_and_go_is_what_would_be_reckoned_anew(self):
        rng = random.Random(7)
        servers = [(f"i-{n}", self.ZONES[n % 3]) for n in range(60)]
        zones = {f"edge-{n}": self.ZONES[n % 3] for n in range(40)}
        kept = Subsets("edge-0")
        for _ in range(120):
            name = f"edge-{rng.randrange(1, 60)}"
            if name in zones and rng.random() < 0.6:
                del zones[name]
            else:
                zones[name] = rng.choice(self.ZONES)  # it may be another's now
            if rng.random() < 0.05:
                zones["edge-0"] = rng.choice(self.ZONES)
            kept.ingresses(zones)
            anew = Subsets("edge-0")
            anew.ingresses(zones)
            for instance, zone in servers:
                self.assertEqual(anew.contains(instance, zone, 60), kept.contains(instance, zone, 60))
                self.assertEqual(anew.places[instance].before, kept.places[instance].before)

    def test_one_ingress_more_ranks_that_one_only(self):
        zones = {f"edge-{n}": "gulf-a" for n in range(100)}
        kept, ranked = Subsets("edge-0"), []
        kept.ingresses(zones)
        for n in range(50):
            kept.contains(f"i-{n}", "gulf-a", 50)
        with patch.object(
            subsets, "rank", lambda name, instance: ranked.append(name) or rank(name, instance)
        ):
            kept.ingresses(zones | {"edge-new": "gulf-a"})
            for n in range(50):
                kept.contains(f"i-{n}", "gulf-a", 50)
        self.assertEqual(["edge-new"] * 50, ranked)

    def test_the_own_zone_first_and_beyond_the_patch_where_that_does_badly(self):
        zones = {f"edge-{n}": ("gulf-a", "gulf-b")[n % 2] for n in range(30)}
        servers = [server(f"s{n}", ("gulf-a", "gulf-b")[n % 2]) for n in range(40)]
        choice = Scene(*servers, node="edge-4").choice
        choice.set_ingresses(zones)
        near = {choice.choose(0, "svc", None).instance for _ in range(300)}
        self.assertTrue(3 <= len(near) <= 16, near)
        self.assertEqual({"gulf-a"}, {choice.server_states[name].server.zone for name in near})
        for name in near:
            for _ in range(3):
                choice.on_ended(1000, name, AttemptOutcome.NO_CONNECTION, 1000)
        beyond = {choice.choose(2000, "svc", None).instance for _ in range(300)}
        self.assertTrue(len(beyond - near) > 10)
