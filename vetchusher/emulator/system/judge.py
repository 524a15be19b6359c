"""The rules, as clients, servers, the platform and the operator see them: a judge of the whole system.

It is told what was sent, what arrived, what was answered and what was acknowledged, and which machines were
in touch; it asks no process anything.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.routing.headers import SUBSCRIBER
from vetchusher.settings.node import Bounds

PROMISES = (408, 421, 429, 503)
DENIALS = (401, 403, 404)
# Stricter than the rule, which binds machines in touch only: by the design no machine denies by what was
# overtaken longer ago than a primary's lease, a beat's answer and the freshness of it last together.
DENIED_US = 5 * SECOND
HANDED_OUT_US = 2 * SECOND  # a reading is no older: the lease behind it, or the time since it was passed on


@dataclass(slots=True, frozen=True)
class Asked:
    """One request of a client.

    :param life: of the process that took it
    """

    id: str
    path: str
    tenant: str
    repeatable: bool
    region: str
    ingress: str
    life: int
    sent_at: int

    @property
    def target(self) -> str:
        return f"{self.path}x"


@dataclass(slots=True, frozen=True)
class Place:
    """A server as it was when a request came."""

    instance: str
    service: str
    zone: str
    region: str
    cold: bool
    left_at: int | None  # since when the platform's list shows it draining or gone


@dataclass(slots=True, frozen=True)
class Version:
    """What a configuration allows, by path: the service."""

    number: int
    services: Mapping[str, str]


class Judge:
    """Owner of all that was seen in one run.

    :param homes: regions in which a path may be served, where not all
    :param quotas: rate and burst by tenant
    :param cold_rate: of a cold server (1/s)
    :param in_touch: whether a machine was, for `contact_ms` before now
    """

    def __init__(
        self,
        bounds: Bounds,
        homes: Mapping[str, frozenset[str]],
        quotas: Mapping[str, tuple[float, float]],
        cold_rate: float,
        in_touch: Callable[[str], bool],
    ) -> None:
        self.bounds, self.homes, self.quotas, self.in_touch = bounds, homes, quotas, in_touch
        self.cold_most = cold_rate * bounds.cold_overrun + bounds.cold_slack
        self.at = 0
        self.wrong: list[str] = []
        self.versions: list[Version] = []
        self.acks: list[tuple[int, int]] = []  # when, and the highest acknowledged then
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list[int]] = defaultdict(list)  # by request: when
        self.statuses: dict[str, int] = {}
        self.answers: dict[
            bytes, tuple[str, int]
        ] = {}  # of servers, by their bodies: to whom, and the status
        self.arrivals: dict[str, int] = Counter()
        self.extra: dict[str, list[int]] = defaultdict(list)  # by service: arrivals beyond the first
        self.wanted: dict[str, list[int]] = defaultdict(list)  # by service: requests for it
        self.passed: dict[str, list[int]] = defaultdict(list)  # by tenant
        self.cold: dict[str, list[int]] = defaultdict(list)  # by instance: sent and arrived
        self.floors: dict[tuple[str, int], list[tuple[int, int]]] = defaultdict(
            list
        )  # by life: when, version
        self.evacuated: dict[str, int] = {}  # by zone: acknowledged when
        self.unsettled: dict[str, int] = Counter()  # by zone: orders of evacuation that are not acknowledged
        self.stands: dict[str, bool | None] = {}  # by zone: what was ordered last; None: two at a time were
        self.platform_well: int | None = 0  # since when; None: it is not

    def say(self, rule: str, what: str) -> None:
        self.wrong.append(f"{self.at / SECOND:.3f} s: {rule}: {what}")

    # -- the operator ---------------------------------------------------------------------------

    def sends(self, version: Version) -> None:
        self.versions.append(version)

    def acknowledged(self, number: int) -> None:
        self.acks.append((self.at, max([number, *(n for _, n in self.acks[-1:])])))

    def floor(self, at: int) -> int:
        """The highest version acknowledged by then."""
        return max((number for when, number in self.acks if when <= at), default=0)

    def read_out(self, machine: str, number: int) -> None:
        """A core machine handed that version out just now, as the one in force."""
        if number < self.floor(self.at - HANDED_OUT_US):
            self.say(
                "OLD", f"{machine} handed r{number} out, r{self.floor(self.at)} was acknowledged long ago"
            )

    def read_back(self, number: int | None) -> None:
        """At the end: the version that came, None where none did."""
        if number is None or number < self.floor(self.at):
            self.say("LOST", f"r{number} was read at the end, r{self.floor(self.at)} had been acknowledged")

    def orders(self, zone: str, on: bool) -> None:
        self.unsettled[zone] += 1
        self.stands[zone] = on if self.unsettled[zone] == 1 else None

    def settled(self, zone: str) -> None:
        """The order is acknowledged."""
        self.unsettled[zone] -= 1

    def evacuations(self, in_force: Mapping[str, bool]) -> None:
        """At the end: of orders to a zone that were given one after the other, the last one stands."""
        for zone, on in self.stands.items():
            if on is not None and not self.unsettled[zone] and in_force.get(zone, False) != on:
                self.say(
                    "LOST", f"{zone} is {'not ' if on else ''}evacuated, the opposite was acknowledged last"
                )

    # -- clients and servers --------------------------------------------------------------------

    def asks(self, asked: Asked) -> None:
        self.asked[asked.id] = asked
        for service in {v.services.get(asked.path, "") for v in self.versions} - {""}:
            self.wanted[service].append(self.at)

    def arrives(self, asked: Asked, place: Place) -> None:
        """A request at the server that it was meant for."""
        self.arrivals[asked.id] += 1
        if self.arrivals[asked.id] > 1:
            self.extra[place.service].append(self.at)
        named = f"{asked.path} by {asked.ingress} at {place.instance}"
        if asked.path in self.homes and place.region not in self.homes[asked.path]:
            self.say("HOME", named)
        if place.cold and self.at - asked.sent_at <= SECOND:
            self.cold[place.instance].append(self.at)
            recent = bisect_right(self.cold[place.instance], self.at - SECOND)
            if len(self.cold[place.instance]) - recent > self.cold_most:
                self.say("FAILBACK", f"{len(self.cold[place.instance]) - recent} in a second, {named}")
        if not self.in_touch(asked.ingress):
            return
        since, well = place.left_at, self.platform_well
        if since is not None and well is not None and self.at > max(since, well) + self.bounds.drain_ms * MS:
            self.say("DRAIN", f"{named}, {(self.at - since) / SECOND:.1f} s after it left")
        since = self.evacuated.get(place.zone)
        if since is not None and self.at > since + self.bounds.evacuation_ms * MS:
            self.say("EVAC", f"{named}, {(self.at - since) / SECOND:.1f} s after")

    def runs_at(self, asked: Asked, place: Place) -> None:
        runs = self.runs[asked.id]
        runs.append(self.at)
        self.passed[asked.tenant].append(self.at)
        if not asked.repeatable and len(runs) > 1:
            self.say("TWICE", f"{asked.path} by {asked.ingress}")
        if not asked.repeatable and self.statuses.get(asked.id) in PROMISES:
            self.say("REFUSED", f"{asked.path} runs after {self.statuses[asked.id]}")
        allowed = [v.number for v in self.versions if v.services.get(asked.path) == place.service]
        if not allowed:
            self.say("ROUTE", f"{asked.path} by {asked.ingress} at {place.service}")
        self.handled(asked, allowed, f"run by {place.service}")

    def reaches(self, asked: Asked | None, id: str, target: str, headers: Mapping[str, str]) -> None:
        """What a server was sent: a request of a client, and as that client sent it."""
        if asked is None or target != asked.target:
            self.say("UNASKED", f"{target} under {id}")
        elif "Authorization" in headers or headers.get(SUBSCRIBER) != asked.tenant:
            self.say("UNASKED", f"{target} of {asked.tenant}, under another name or with its key")

    def delivered(self, asked: Asked, status: int, answer: bytes) -> None:
        """What a client got of a server."""
        if self.answers.get(answer) != (asked.id, status):
            self.say("MIXED", f"{asked.path} by {asked.ingress} got {status}, {self.answers.get(answer)} was")

    def answered(self, asked: Asked, status: int) -> None:
        self.statuses[asked.id] = status
        if not asked.repeatable and status in PROMISES and self.runs[asked.id]:
            self.say("REFUSED", f"{asked.path} was answered {status} by {asked.ingress} and has run")
        if status in DENIALS:
            allowed = [v.number for v in self.versions if asked.path not in v.services]
            if max(allowed, default=-1) < self.floor(asked.sent_at - DENIED_US):
                self.say("DENIED", f"{asked.path} was answered {status} by {asked.ingress}")
            self.handled(asked, allowed, f"answered {status}")

    def handled(self, asked: Asked, allowed: list[int], how: str) -> None:
        """:param allowed: the versions by which it was handled so, in order"""
        newest, named = max(allowed, default=0), f"{asked.path} of {asked.ingress}/{asked.life} was {how}"
        floor = self.floor(asked.sent_at - self.bounds.config_apply_ms * MS)
        if newest < floor and self.in_touch(asked.ingress):
            self.say("CONFIG", f"{named} after r{floor}")
        floors = self.floors[asked.ingress, asked.life]
        slack = asked.sent_at - self.bounds.revert_slack_ms * MS
        before = max((number for when, number in floors if when < slack), default=0)
        if newest < before:
            self.say("CONFIG", f"{named} and had shown r{before}")
        if allowed and (not floors or floors[-1][1] < allowed[0]):
            floors.append((self.at, allowed[0]))

    # -- at the end -----------------------------------------------------------------------------

    def ends(self) -> list[str]:
        """The rules that count; all that was seen wrong."""
        bounds = self.bounds
        for tenant, (rate, burst) in self.quotas.items():
            most = (rate * bounds.quota_window_s + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
            worst = fullest(self.passed[tenant], int(bounds.quota_window_s * SECOND))
            if worst > most:
                self.say("QUOTA", f"{worst} of {tenant} passed, {most:.0f} may")
        for service, times in self.extra.items():
            self.budget(service, times)
        return self.wrong

    def budget(self, service: str, times: list[int]) -> None:
        bounds, wanted = self.bounds, self.wanted[service]
        span = int(bounds.budget_window_s * SECOND)

        def asked(begin: int) -> int:
            return bisect_left(wanted, begin + span) - bisect_left(wanted, begin)

        for first, begin in enumerate(times):
            count = bisect_left(times, begin + span) - first
            most = max(asked(begin), asked(begin - span), asked(begin - span // 2))
            allowed = bounds.retry_budget_ratio * most + bounds.budget_slack
            if count > allowed:
                self.say("BUDGET", f"{count} extra arrivals at {service}, {allowed:.0f} may")
                return


def fullest(times: list[int], span: int) -> int:
    """Most that lie in any span."""
    return max((i + 1 - bisect_right(times, at - span) for i, at in enumerate(times)), default=0)


@dataclass(slots=True)
class Calm:
    """Since when something has been without trouble.

    :param known: troubles that last
    """

    since: int = -(1 << 60)
    known: set[str] = field(default_factory=set)

    def begins(self, what: str) -> None:
        self.known.add(what)

    def ends(self, what: str, at: int) -> None:
        if what in self.known:
            self.known.discard(what)
            self.since = at

    def hit(self, at: int) -> None:
        """A trouble of a moment."""
        self.since = at

    def lasts(self, at: int, span: int) -> bool:
        return not self.known and at - self.since >= span
