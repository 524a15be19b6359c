"""The settings of the fleet's common work: deploy/fleet.json, by deploy/fleet.schema.json."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from vetchusher.datagrams import budget
from vetchusher.duties import Duty, Plan, Timing

from .document import read_document
from .errors import SettingsError
from .limits import read_key

if TYPE_CHECKING:
    from vetchusher.membership.rules import Rules

SCHEMA = "fleet.schema.json"
PERIOD_S = 10
REPORT = "report"  # the duty whose holder delivers the fleet's report


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """What one ingress is told of the work it shares.

    :param sink: URL of the reports; empty: they are only shown
    :param engine: URL of an etcd's JSON gateway that holds the duties; empty: our own voters do
    :param members: how the ingresses watch one another; None: they do not
    :param clock_rate: of the lease clock, other than 1 in tests only
    """

    plan: Plan
    period_s: int = PERIOD_S
    sink: str = ""
    key: bytes | None = None
    log_renewals: bool = False
    clock_rate: float = 1.0
    engine: str = ""
    members: Rules | None = None


def read_fleet(path: str, members: int, inbox_per_s: float = 0.0) -> FleetSettings:
    """:param members: ingresses of the cluster
    :param inbox_per_s: datagrams that each takes in; 0: not bounded
    :raises SettingsError: with one line that names the file and the place
    """
    tree = read_document(path, SCHEMA)
    plan = read_plan(path, tree, members, inbox_per_s)
    report, engine = tree.get("report", {}), str(tree.get("engine", ""))
    if report.get("sink") and REPORT not in {d.name for d in plan.duties}:
        raise SettingsError(f"{path}: report.sink: no duty is named {REPORT}, so nobody would deliver to it")
    return FleetSettings(
        plan,
        int(report.get("period_s", PERIOD_S)),
        str(report.get("sink", "")),
        read_key(path, tree, "key_file"),
        bool(tree.get("log_renewals", False)),
        float(tree.get("clock_rate", 1.0)),
        engine,
        read_members(path, tree.get("membership"), plan, inbox_per_s, bool(engine)),
    )


def read_plan(path: str, tree: dict[str, Any], members: int, inbox_per_s: float) -> Plan:
    """:raises SettingsError: with the place"""
    timing = Timing(
        int(tree.get("lease_ms", 2_000)) * 1000,
        float(tree.get("drift", 0.02)),
        int(tree.get("margin_ms", 10)) * 1000,
    )
    duties = tuple(Duty(d["name"], d.get("zone", "")) for d in tree["duties"])
    willing = tuple(tree.get("willing", range(members)))
    engine = str(tree.get("engine", ""))
    if "voters" not in tree and not engine:
        raise SettingsError(f"{path}: voters: is missing, and there is no engine")
    if "voters" in tree and engine:
        raise SettingsError(f"{path}: engine: voters vote as well; give one of the two")
    plan = Plan(
        members, tuple(tree.get("voters", (0,))), timing, duties, willing, tuple(tree.get("zones", ()))
    )
    if (fault := plan.fault()) is not None:
        raise SettingsError(f"{path}: {fault[0]}: {fault[1]}")
    if not engine and plan.messages_in() > budget.room(inbox_per_s):
        raise SettingsError(
            f"{path}: lease_ms: {len(duties)} duties make {plan.messages_in():.0f} datagrams a second at a "
            f"voter, and {budget.room(inbox_per_s):.0f} are left for them: lengthen the lease"
        )
    return plan


def read_members(
    path: str, tree: dict[str, Any] | None, plan: Plan, inbox_per_s: float, engine: bool
) -> Rules | None:
    """:raises SettingsError: with the place"""
    if tree is None:
        return None
    from vetchusher.membership.rules import Rules

    rules = Rules(
        plan.members,
        int(tree.get("period_ms", 1_000)) * 1000,
        int(tree.get("pause_ms", 2_000)) * 1000,
        plan.timing.drift,
        int(tree.get("upgrade_s", 60)) * 1_000_000,
    )
    if (fault := rules.fault()) is not None:
        raise SettingsError(f"{path}: membership.{fault[0]}: {fault[1]}")
    taken = 0.0 if engine else plan.messages_in()
    if taken + rules.out_per_s > budget.room(inbox_per_s):
        raise SettingsError(
            f"{path}: membership.period_ms: {rules.out_per_s:.0f} datagrams a second beside {taken:.0f} of "
            f"the duties, and {budget.room(inbox_per_s):.0f} are left for both: lengthen the period"
        )
    return rules
