"""Reads the settings of the work that the ingresses of a cluster share.

The file is deploy/fleet.json, validated by deploy/fleet.schema.json.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from vetchusher.datagrams import budget
from vetchusher.duties import Duty, Plan, Timing

from .document import read_document
from .errors import SettingsError
from .limits import read_key

if TYPE_CHECKING:
    from vetchusher.membership.rules import MembershipTiming

SCHEMA_FILE = "fleet.schema.json"
DEFAULT_REPORT_PERIOD_S = 10
REPORT_DUTY = "report"  # duty whose holder delivers the cluster's reports


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """One ingress's settings for the shared work.

    :param plan: duties, voters and lease times, which must be the same at every ingress
    :param period_s: interval between two reports
    :param sink: URL to which reports are posted; empty: they are only displayed
    :param key: authenticates messages between ingresses; None: they are not authenticated
    :param log_renewals: whether each renewal of a lease is logged
    :param clock_rate: rate of the lease clock; other than 1 in tests only
    :param engine: URL of the JSON gateway of an etcd that stores the leases; empty: the voters grant them
    :param members: parameters of the failure detection between ingresses; None: it is off
    """

    plan: Plan
    period_s: int = DEFAULT_REPORT_PERIOD_S
    sink: str = ""
    key: bytes | None = None
    log_renewals: bool = False
    clock_rate: float = 1.0
    engine: str = ""
    members: MembershipTiming | None = None


def read_fleet(path: str, members: int, inbox_per_s: float = 0.0) -> FleetSettings:
    """Read and validate a fleet file.

    :param members: number of ingresses in the cluster
    :param inbox_per_s: datagrams per second that each ingress accepts; 0: unlimited
    :raises SettingsError: with one line that names the file and the field
    """
    tree = read_document(path, SCHEMA_FILE)
    plan = read_plan(path, tree, members, inbox_per_s)
    report, engine = tree.get("report", {}), str(tree.get("engine", ""))
    if report.get("sink") and REPORT_DUTY not in {d.name for d in plan.duties}:
        raise SettingsError(
            f"{path}: report.sink: no duty is named {REPORT_DUTY}, so no ingress would deliver reports"
        )
    return FleetSettings(
        plan,
        int(report.get("period_s", DEFAULT_REPORT_PERIOD_S)),
        str(report.get("sink", "")),
        read_key(path, tree, "key_file"),
        bool(tree.get("log_renewals", False)),
        float(tree.get("clock_rate", 1.0)),
        engine,
        read_membership(path, tree.get("membership"), plan, inbox_per_s, bool(engine)),
    )


def read_plan(path: str, tree: dict[str, Any], members: int, inbox_per_s: float) -> Plan:
    """Build the plan of duties, voters and leases, and check that its datagrams fit the budget.

    :raises SettingsError: with one line that names the file and the field
    """
    timing = Timing(
        int(tree.get("lease_ms", 2_000)) * 1000,
        float(tree.get("drift", 0.02)),
        int(tree.get("margin_ms", 10)) * 1000,
    )
    duties = tuple(Duty(d["name"], d.get("zone", "")) for d in tree["duties"])
    willing = tuple(tree.get("willing", range(members)))
    engine = str(tree.get("engine", ""))
    if "voters" not in tree and not engine:
        raise SettingsError(f"{path}: voters: is missing, and no engine is configured")
    if "voters" in tree and engine:
        raise SettingsError(f"{path}: engine: voters vote as well; configure only one of the two")
    plan = Plan(
        members, tuple(tree.get("voters", (0,))), timing, duties, willing, tuple(tree.get("zones", ()))
    )
    if (fault := plan.fault()) is not None:
        raise SettingsError(f"{path}: {fault[0]}: {fault[1]}")
    if not engine and plan.load_per_s() > budget.limit_per_s(inbox_per_s):
        raise SettingsError(
            f"{path}: lease_ms: {len(duties)} duties make {plan.load_per_s():.0f} datagrams a second at a "
            f"voter, and {budget.limit_per_s(inbox_per_s):.0f} are available to them: increase the lease"
        )
    return plan


def read_membership(
    path: str, tree: dict[str, Any] | None, plan: Plan, inbox_per_s: float, engine: bool
) -> MembershipTiming | None:
    """Build the parameters of failure detection, and check that its datagrams fit the budget.

    The budget is shared with the datagrams of the duties, which an external engine replaces.

    :param tree: the section `membership`; None: the file has none
    :param engine: whether an external engine stores the leases
    :returns: None if there is no such section
    :raises SettingsError: with one line that names the file and the field
    """
    if tree is None:
        return None
    from vetchusher.membership.rules import MembershipTiming

    rules = MembershipTiming(
        plan.members,
        int(tree.get("period_ms", 1_000)) * 1000,
        int(tree.get("pause_ms", 2_000)) * 1000,
        plan.timing.drift,
        int(tree.get("upgrade_s", 60)) * 1_000_000,
    )
    if (fault := rules.fault()) is not None:
        raise SettingsError(f"{path}: membership.{fault[0]}: {fault[1]}")
    duty_datagrams_per_s = 0.0 if engine else plan.load_per_s()
    if duty_datagrams_per_s + rules.sends_per_s > budget.limit_per_s(inbox_per_s):
        raise SettingsError(
            f"{path}: membership.period_ms: {rules.sends_per_s:.0f} datagrams a second beside "
            f"{duty_datagrams_per_s:.0f} of the duties, and {budget.limit_per_s(inbox_per_s):.0f} are "
            f"available to both: increase the period"
        )
    return rules
