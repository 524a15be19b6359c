"""Every variant of every kind of trouble that the bench's `kinds` command explains, as data.

A variant has the fixed fields of an entry; moments and lengths are drawn when it is put into a day.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

Value = str | int | float


class Group(Enum):
    """What a variant is to the core, the machines that hold the control state."""

    REPLACEMENT = "replacement"  # a core machine is gone for good and an empty one comes
    LOSS = "loss"  # a core machine is down, cut off, frozen or without its disk for a while
    HALVES = "halves"  # the core is cut into two halves, whatever the deployment tolerates
    STRAIN = "strain"  # no core machine is lost, but clocks, disks, connections or answers are harmed
    CHANGE = "change"  # orders of the operator
    TRAFFIC = "traffic"  # clients, servers and ingresses


@dataclass(slots=True, frozen=True)
class Variant:
    """One way of one kind of trouble.

    :param planned: belongs to the day's planned work
    :param lasts: takes a `for_s`
    :param counted: takes a `count` of core machines, as many as the deployment tolerates
    """

    kind: str
    group: Group
    how: str = ""
    fields: tuple[tuple[str, Value], ...] = ()
    planned: bool = False
    lasts: bool = True
    counted: bool = False

    @property
    def name(self) -> str:
        """Kind, class of machines and variant, as coverage counts them."""
        place = "core" if ("on", "core") in self.fields else ""
        return " ".join(word for word in (self.kind, place, self.how) if word)


@dataclass(slots=True, frozen=True)
class _Rows:
    """Builds the variants of one kind that differ in `how` alone."""

    kind: str
    group: Group
    hows: Sequence[str] = ("",)
    fields: tuple[tuple[str, Value], ...] = ()
    planned: bool = False
    lasts: bool = True
    counted: bool = False
    planned_hows: frozenset[str] = frozenset()

    def variants(self) -> Iterator[Variant]:
        for how in self.hows:
            planned = self.planned or how in self.planned_hows
            yield Variant(self.kind, self.group, how, self.fields, planned, self.lasts, self.counted)


ON_CORE = (("on", "core"),)
CORE_CUTS = (
    "",
    "one_way",
    "leader",
    "reader",
    "seed",
    "seeds",
    "both",
    "hard",
    "refuse",
    "reset",
    "leader one_way",
    "leader refuse",
    "leader reset",
    "leader race",
    "leader seeds",
    "leader both",
    "one_way reset",
    "meet drain",
    "leader meet drain",
    "leader one_way meet drain",
    "leader race hard",
    "behind",
    "all",
    "near",
    "oldest",
    "lure",
    "relieve",
)
HALVES = ("split", "split", "split reset", "split meet", "split race", "split both", "split relieve")
CORE_KILLS = (
    "",
    "leader",
    "reader",
    "seed",
    "power",
    "power leader",
    "leader race",
    "leader hard",
    "leader race drain",
    "meet drain",
    "power leader meet drain",
)
REPLACEMENT_HOWS = ("", "planned", "leader", "planned leader", "seed", "reader")
ACKNOWLEDGING = ("", "kill", "timed", "taken")
WIPING = (*ACKNOWLEDGING, "oldest")

CORE_ROWS: tuple[_Rows, ...] = (
    _Rows(
        "replace_core",
        Group.REPLACEMENT,
        REPLACEMENT_HOWS,
        lasts=False,
        planned_hows=frozenset(how for how in REPLACEMENT_HOWS if "planned" in how),
    ),
    _Rows("core_cut", Group.LOSS, CORE_CUTS, counted=True),
    _Rows("core_cut", Group.HALVES, HALVES),
    _Rows("node_kill", Group.LOSS, CORE_KILLS, ON_CORE, counted=True),
    _Rows("after_ack_kill", Group.LOSS, ACKNOWLEDGING, counted=True),
    _Rows("after_ack_wipe", Group.LOSS, WIPING, counted=True),
    _Rows("node_freeze", Group.LOSS, ("", "leader"), ON_CORE, counted=True),
    _Rows("node_slow", Group.LOSS, ("", "leader"), (*ON_CORE, ("x", 5.0)), counted=True),
    _Rows("herd_kill", Group.LOSS, ("", "power", "race drain", "taken", "taken all", "off"), ON_CORE),
    _Rows("zone_loss", Group.LOSS, ("", "race", "race drain", "meet drain")),
    _Rows("zone_cut", Group.LOSS, ("", "refuse", "reset", "drop race drain")),
    _Rows("roll_term", Group.LOSS, ("", "busy"), (*ON_CORE, ("gap_s", 1.0)), planned=True, lasts=False),
    _Rows("disk_stall", Group.STRAIN, ("", "leader"), counted=True),
    _Rows("disk_slow", Group.STRAIN, ("", "leader"), (("x", 30.0),), counted=True),
    _Rows("disk_full", Group.STRAIN, ("", "leader"), counted=True),
    _Rows("clock_step", Group.STRAIN, ("", "back", "ahead", "leader"), (("share", 0.4),)),
    _Rows("reset_conns", Group.STRAIN, ("", "leader"), (*ON_CORE, ("x", 0.5)), counted=True),
    _Rows("hup", Group.STRAIN, ("",), (*ON_CORE, ("share", 1.0), ("gap_s", 1.0)), planned=True, lasts=False),
    _Rows("seed_turnover", Group.STRAIN, planned=True, lasts=False),
    _Rows("ack_lost", Group.STRAIN, ("",), (("share", 1.0), ("x", 0.7))),
)
CHANGE_ROWS: tuple[_Rows, ...] = (
    _Rows("config_race", Group.CHANGE, ("",), (("count", 3), ("gap_s", 0.4)), planned=True, lasts=False),
    _Rows("config_race", Group.CHANGE, ("",), (("count", 2), ("gap_s", 1.0)), planned=True, lasts=False),
    _Rows("big_config", Group.CHANGE, ("",), (("count", 250),), planned=True, lasts=False),
    _Rows("revoke", Group.CHANGE, ("",), (("count", 2), ("gap_s", 0.7)), planned=True, lasts=False),
    _Rows("evacuate", Group.CHANGE, ("", "warm"), planned=True),
)
TRAFFIC_ROWS: tuple[_Rows, ...] = (
    _Rows("burst", Group.TRAFFIC, ("",), (("x", 1.7),)),
    _Rows("hot_tenant", Group.TRAFFIC, ("",), (("x", 6.0),)),
    _Rows("retry_abuse", Group.TRAFFIC, ("",), (("share", 0.3), ("x", 2.0))),
    _Rows("srv_crash", Group.TRAFFIC, ("", "dark", "gone", "dark gone"), (("share", 0.12),)),
    _Rows("srv_slow", Group.TRAFFIC, ("",), (("share", 0.15), ("x", 4.0))),
    _Rows(
        "srv_grey",
        Group.TRAFFIC,
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        (("share", 0.12), ("x", 0.4)),
    ),
    _Rows("srv_lying_health", Group.TRAFFIC, ("errors", "hang", "reset", "bad"), (("share", 0.1),)),
    _Rows("srv_flap", Group.TRAFFIC, ("",), (("share", 0.1), ("gap_s", 1.4))),
    _Rows("idle_race", Group.TRAFFIC, ("",), (("share", 0.5), ("x", 320.0))),
    _Rows("release", Group.TRAFFIC, ("",), (("share", 0.4), ("gap_s", 1.0)), planned=True, lasts=False),
    _Rows("scale_in", Group.TRAFFIC, ("", "spot"), (("share", 0.12),), planned=True, lasts=False),
    _Rows("scale_out", Group.TRAFFIC, ("",), (("share", 0.25), ("gap_s", 2.0)), planned=True, lasts=False),
    _Rows("replace_with_reuse", Group.TRAFFIC, ("", "drain", "dark"), (("share", 0.15),), lasts=False),
    _Rows("cold_return", Group.TRAFFIC, ("", "dark")),
    _Rows("answer_lost", Group.TRAFFIC, ("", "reset"), (("share", 0.5), ("x", 0.04))),
    _Rows("garble", Group.TRAFFIC, ("", "extra", "extra late"), (("share", 0.4), ("x", 0.02))),
    _Rows("node_kill", Group.TRAFFIC, ("", "power"), (("share", 0.16),)),
    _Rows("node_cut", Group.TRAFFIC, ("", "servers", "reset", "refuse"), (("share", 0.2),)),
    _Rows("node_freeze", Group.TRAFFIC, ("",), (("share", 0.15),)),
    _Rows("node_slow", Group.TRAFFIC, ("",), (("share", 0.15), ("x", 5.0))),
    _Rows("herd_kill", Group.TRAFFIC, ("", "power"), (("share", 0.5),)),
    _Rows("roll_term", Group.TRAFFIC, ("", "busy"), (("gap_s", 1.0),), planned=True, lasts=False),
    _Rows("hup", Group.TRAFFIC, ("",), (("share", 0.3), ("gap_s", 1.0)), planned=True, lasts=False),
    _Rows("reset_conns", Group.TRAFFIC, ("",), (("share", 0.2), ("x", 0.5))),
)
CHANGE_HOWS = ("timeout", "idle", "weights", "route", "quota", "tenant")
ALWAYS_ALLOWED = frozenset({"config_change"})


def variants_of(kinds: Iterable[str], invalid: Sequence[str]) -> list[Variant]:
    """Every known variant of some kinds; a kind that is not known stands alone, as plain trouble.

    :param invalid: the ways of a configuration that the deployment must refuse
    """
    allowed = frozenset(kinds) | ALWAYS_ALLOWED
    bad = _Rows("bad_config", Group.CHANGE, invalid, (("count", 2), ("gap_s", 0.7)), True, False)
    changes = _Rows("config_change", Group.CHANGE, CHANGE_HOWS, planned=True, lasts=False)
    rows = (*CORE_ROWS, *CHANGE_ROWS, *TRAFFIC_ROWS, bad, changes)
    known = [variant for row in rows if row.kind in allowed for variant in row.variants()]
    unknown = sorted(allowed - {variant.kind for variant in known})
    return [*known, *(Variant(kind, Group.TRAFFIC) for kind in unknown)]


@dataclass(slots=True, frozen=True)
class Closing:
    """A closing fault; none where `kind` is empty."""

    kind: str = ""
    how: str = ""

    @property
    def name(self) -> str:
        return f"{self.kind} {self.how}".strip() or "none"


CLOSINGS = (
    Closing(),
    Closing("power_off_all"),
    Closing("kill_all"),
    *(Closing("wipe_after_ack", how) for how in ("", "aimed", "timed", "taken", "oldest", "timed oldest")),
    Closing("power_off_all", "timed"),
    Closing("kill_all", "timed"),
)
