"""What one tenant sends, or how it is configured, takes no service from the others.

An ingress in virtual time: servers have slots and a queue, clients have deadlines; `Play` carries out what
the routing asks for and reports what became of it, as the proxy does.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from testtools import TestCase

from tests.test_proxy import Open
from tests.test_routing import S, configuration, route, server, tenant
from vetchusher.errors import ErrorCode
from vetchusher.events import Event
from vetchusher.node.configuration_report import describe_configuration, warnings_of
from vetchusher.routing import (
    AttemptOutcome,
    RequestHead,
    RoutingContext,
    ServerSelector,
    admit_request,
)
from vetchusher.routing.actions import CancelAttempt, ForwardResponse, Reject, SendAttempt, WakeAt
from vetchusher.settings.configuration import RouteType

MS = 1000
ZONES = {"gulf-a": "gulf", "delta-a": "delta"}
ROUND_TRIP_US = {"gulf-a": MS, "delta-a": 70 * MS}
WORK_US = 40 * MS
SLOTS, QUEUE = 3, 6


@dataclass(slots=True)
class Demand:
    """Requests of one tenant: so many a second, with this deadline, given up after a time."""

    tenant: str
    path: str
    per_s: float
    deadline_ms: int = 2000
    leaves_after_us: int = 0


class Play:
    """One ingress, its servers and its clients."""

    def __init__(self, conf, servers, seed=5):
        self.rng = random.Random(seed)
        selector = ServerSelector(random.Random(seed + 1), "e1", "gulf", ZONES)
        self.context = RoutingContext(selector, Open(), Open(), random.Random(seed + 2), fresh_until=1 << 60)
        self.context.configure(conf)
        selector.set_servers(servers)
        self.busy = {one.instance: 0 for one in servers}
        self.events, self.order, self.now = [], itertools.count(), 0
        self.sent, self.served = {}, {}

    def at(self, when, what, *args):
        heapq.heappush(self.events, (when, next(self.order), what, args))

    def run(self, demands, until):
        for demand in demands:
            self.at(0, self.arrive, demand)
        while self.events and self.events[0][0] < until:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)
        return {name: self.served.get(name, 0) / sent for name, sent in self.sent.items()}

    def arrive(self, demand):
        self.at(self.now + int(self.rng.expovariate(demand.per_s) * S), self.arrive, demand)
        headers = [
            ("Host", "a.example"),
            ("X-Vetchusher-Attempt-Id", "id"),
            ("X-Vetchusher-Time-Remaining", str(demand.deadline_ms)),
            ("Authorization", f"Bearer key-{demand.tenant}"),
        ]
        self.sent[demand.tenant] = self.sent.get(demand.tenant, 0) + 1
        request = admit_request(self.context, RequestHead("GET", demand.path, headers, self.now)).unwrap()
        self.perform(request, demand, request.start(self.now))
        if demand.leaves_after_us:
            leave_at = self.now + demand.leaves_after_us
            self.at(leave_at, lambda: self.perform(request, demand, request.on_client_left(self.now)))

    def perform(self, request, demand, actions):
        for action in actions:
            match action:
                case SendAttempt():
                    self.send(request, demand, action)
                case WakeAt(at):
                    self.at(at, lambda: self.perform(request, demand, request.on_late(self.now)))
                case ForwardResponse():
                    self.served[demand.tenant] = self.served.get(demand.tenant, 0) + 1
                case CancelAttempt() | Reject():
                    pass

    def send(self, request, demand, action):
        """A server: it turns requests away when its queue is full, or when their time is over in it."""
        instance, trip = action.server.instance, ROUND_TRIP_US[action.server.zone]

        def end(after, outcome):
            self.at(self.now + after, self.ended, request, demand, action.number, outcome)

        if trip > action.connect_us:
            end(action.connect_us, AttemptOutcome.NO_CONNECTION)
            return
        left = action.deadline - self.now - trip
        if self.busy[instance] >= SLOTS + QUEUE:
            end(trip, AttemptOutcome.NOT_EXECUTED)
            return
        waits = max(0, self.busy[instance] + 1 - SLOTS) * WORK_US // SLOTS
        work = int(WORK_US * self.rng.uniform(0.5, 1.5))
        self.busy[instance] += 1
        if waits >= left:
            taken, outcome = left, AttemptOutcome.NOT_EXECUTED
        elif waits + work >= left:
            taken, outcome = left, self.rng.choice((AttemptOutcome.SERVER_ERROR, AttemptOutcome.TIMED_OUT))
        else:
            taken, outcome = waits + work, AttemptOutcome.ANSWERED
        self.at(self.now + taken, self.free, instance)
        end(trip + max(0, taken), outcome)

    def free(self, instance):
        self.busy[instance] -= 1

    def ended(self, request, demand, number, outcome):
        self.perform(request, demand, request.on_attempt_ended(self.now, number, outcome))


def conf(**changed_tenant):
    """Two tenants on the same routes; the first one is as urgent as may be, the other is not."""
    first = replace(tenant("first", "key-first"), priority=0, **changed_tenant)
    other = replace(tenant("other", "key-other"), priority=2)
    routes = (
        route("plain"),
        route("once", RouteType.UNSAFE),
        route("gulf", home_regions=frozenset({"gulf"})),
        route("split", targets=(("svc", 1.0), ("empty", 1.0))),
    )
    made = configuration(*routes, tenants=(first, other))
    return replace(made, services={**made.services, "empty": replace(made.services["svc"], name="empty")})


SERVERS = [server(f"i-{n}", "gulf-a" if n % 2 else "delta-a", capacity=SLOTS) for n in range(6)]
OTHERS = [Demand("other", "/plain/1", 20.0), Demand("other", "/once/1", 20.0)]
LENGTH = 20 * S


class OneTenantAndTheOthers(TestCase):
    def share_of_others(self, made, *demands, servers=SERVERS):
        served = Play(made, servers).run([*OTHERS, *demands], LENGTH)
        return served["other"]

    def test_alone_the_others_are_served(self):
        self.assertEqual(1.0, round(self.share_of_others(conf()), 2))

    def test_homes_that_exclude_one_another(self):
        made = conf(home_regions=frozenset({"delta"}))
        self.assertGreater(self.share_of_others(made, Demand("first", "/gulf/1", 20.0)), 0.99)

    def test_a_home_without_a_server(self):
        made = conf(home_regions=frozenset({"piedmont"}))
        self.assertGreater(self.share_of_others(made, Demand("first", "/plain/1", 20.0)), 0.99)

    def test_a_service_without_servers(self):
        share = self.share_of_others(conf(), Demand("first", "/split/1", 20.0))
        self.assertGreater(share, 0.99)

    def test_deadlines_too_short_to_be_met(self):
        for deadline_ms in (9, 15, 25, 40, 60, 90):
            demands = [Demand("first", path, 10.0, deadline_ms) for path in ("/plain/1", "/once/1")]
            self.assertGreater(self.share_of_others(conf(), *demands), 0.99, f"{deadline_ms} ms")

    def test_requests_that_their_client_gives_up(self):
        for leaves_after_us in (MS, 20 * MS, 60 * MS):
            demands = [Demand("first", path, 10.0, 2000, leaves_after_us) for path in ("/plain/1", "/once/1")]
            self.assertGreater(self.share_of_others(conf(), *demands), 0.99, f"{leaves_after_us} us")

    def test_a_home_whose_servers_are_all_full_does_not_shed_where_others_are_free(self):
        """The first tenant may use delta alone, and asks for more than delta's servers can do."""
        made = conf(home_regions=frozenset({"delta"}))
        share = self.share_of_others(made, Demand("first", "/plain/1", 300.0))
        self.assertGreater(share, 0.9)


class WhatIsTold(TestCase):
    """Refusals and their reasons, to the client and to the operator."""

    def test_a_request_that_no_region_may_serve_says_so(self):
        play = Play(conf(home_regions=frozenset({"delta"})), SERVERS)
        headers = [
            ("Host", "a.example"),
            ("X-Vetchusher-Attempt-Id", "id"),
            ("Authorization", "Bearer key-first"),
        ]
        request = admit_request(play.context, RequestHead("GET", "/gulf/1", headers, 0)).unwrap()
        [act] = request.start(0)
        self.assertEqual((ErrorCode.NO_REGION_ALLOWED, 503), (act.error.code, act.error.status))
        self.assertEqual("route and tenant have no home in common", act.error.text)

    def test_check_and_one_event_name_tenants_and_routes_without_a_common_home(self):
        self.assertEqual([], warnings_of(conf()))
        made = conf(home_regions=frozenset({"delta"}))
        [event] = warnings_of(made)
        self.assertEqual(Event.HOMES_DISJOINT, event.event)
        self.assertEqual({"version": 1, "tenants": 1, "first": "first on a.example/gulf/"}, event.facts)
        first, second = describe_configuration(made).splitlines()
        self.assertEqual("r1: 4 routes, 2 services, 2 tenants", first)
        self.assertEqual("no region may serve first on a.example/gulf/", second)

    def test_refusals_with_servers_free_are_logged_with_their_reason(self):
        play = Play(conf(home_regions=frozenset({"delta"})), SERVERS)
        play.run([*OTHERS, Demand("first", "/gulf/1", 20.0)], 6 * S)
        [event] = play.context.refusals.check(6 * S)
        self.assertEqual(Event.REFUSING_WITH_ROOM, event.event)
        self.assertGreater(event.facts["no_region"], 80)
        self.assertEqual({"requests", "no_region"}, set(event.facts))
        self.assertEqual([], play.context.refusals.check(12 * S))

    def test_shedding_is_logged_where_it_begins_and_ends(self):
        play = Play(conf(), SERVERS[:1])
        play.run([*OTHERS, Demand("first", "/plain/1", 200.0)], 6 * S)
        began = play.context.shedders.changes(6 * S)
        self.assertIn(Event.SHEDDING_BEGAN, {event.event for event in began})
        self.assertEqual({"2.1"}, {event.facts["level"] for event in began})
        ended = play.context.shedders.changes(60 * S)
        self.assertEqual({Event.SHEDDING_ENDED}, {event.event for event in ended})
        self.assertEqual(len(began), len(ended))
