"""Duties among real processes: faults between them, votes handed over, the calls of operators."""

import asyncio
import json
import random
import subprocess
import sys

import orjson
import pytest
from net_helpers import OK, run, stage, tree, until

from vetchusher.duties import Duty, Plan, Timing
from vetchusher.duties.engine import EngineDuties
from vetchusher.emulator.duties.audit import Holding, gaps, holdings, wrong
from vetchusher.emulator.duties.rig import FAULTS, Cluster, SinkServer
from vetchusher.emulator.outside.etcd import Etcd, EtcdServer
from vetchusher.emulator.rig import listen
from vetchusher.net import cli, fleet_cli, handover, votes
from vetchusher.settings import SettingsError
from vetchusher.settings.fleet import FleetSettings, read_fleet

CALM = ("killed", "stopped 3 leases", "upgrade", "sigterm", "unheard", "all voters but one restarted")


def test_one_holder_at_a_time_whatever_befalls_real_processes(tmp_path):
    """Safety by the logs, whatever the machine is busy with; that somebody holds again, without a limit."""

    async def script(cluster):
        await cluster.until_held()
        for kind in CALM:
            await cluster.fault(kind)
            await cluster.until_held()

    async def scene():
        return await Cluster(tmp_path, lease_ms=1_000).run(script)

    outcome = run(scene())
    assert not outcome.wrong
    assert len(outcome.faults) == len(CALM) and set(CALM) <= set(FAULTS)
    assert len({h.token for h in outcome.held if h.duty == "report"}) >= 4 and outcome.periods


def line(event, token, at, until=0, **more):
    return json.dumps({"event": event, "duty": "d", "token": token, "at_ns": at, "until_ns": until} | more)


GOOD = [
    (1, 1, line("duty taken", 5, 100, 200)),
    (1, 1, line("duty renewed", 5, 150, 300)),
    (1, 1, line("duty left", 5, 250, reason="released")),
    (2, 2, line("duty taken", 6, 260, 400)),
    (2, 2, "not JSON"),
]


@pytest.mark.parametrize(
    ("lines", "taken", "fault"),
    [
        (GOOD, [(1, 5), (2, 5), (4, 6)], None),
        (GOOD[:2] + GOOD[3:], [], "both held for 0.0 ms"),  # it never left: held to 300
        ([GOOD[0], (2, 2, line("duty taken", 6, 150, 400))], [], "both held"),
        ([GOOD[0], (2, 2, line("duty taken", 5, 250, 400))], [], "token 5 of (2, 2) after 5"),
        (GOOD, [(1, 6), (2, 5)], "token 5 was taken after 6"),
        (GOOD, [(1, 5), (1, 6)], "period 1 was taken after 1"),
    ],
)
def test_the_checker_finds_each_broken_rule(lines, taken, fault):
    faults = wrong(holdings(lines), taken)
    assert (fault is None and not faults) or fault in faults[0]


def test_gaps_are_times_without_a_holder():
    found = [Holding("d", (1, 1), 5, 0, 10), Holding("d", (2, 1), 6, 30, 40), Holding("d", (1, 2), 7, 40, 50)]
    assert gaps(found, "d") == [(10, 20)]


# ---- one process -------------------------------------------------------------------------

ALONE = Plan(1, (0,), Timing(400_000), (Duty("report"), Duty("drain")), (0,))


def told(console, port, members=1):
    extra = {"peer_listen": f"127.0.0.1:{port}", "peers": [f"127.0.0.1:{port}"] * members}
    return extra | {"console": f"127.0.0.1:{console}"}


def test_holder_delivers_each_period_once_and_operators_see_and_move_it(tmp_path, monkeypatch, capsys):
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scene():
        from contextlib import AsyncExitStack

        from net_helpers import free_port, settings

        sink = SinkServer()
        async with AsyncExitStack() as opened:
            port = await listen(opened, sink.serve)
            fleet = FleetSettings(ALONE, 1, f"http://127.0.0.1:{port}/r")
            console = free_port()
            limits = settings()["limits"] | {"peers": True}
            given = told(console, free_port())
            async with stage(lambda a: OK, told=given, fleet=fleet, limits=limits, balancers=1) as (
                node,
                _,
                _,
            ):
                work = node.shared.work
                await until(lambda: len(sink.taken) >= 2)
                shown = work.shown(node.runtime.clock.now())
                assert [d["holder"] for d in shown["duties"]] == [0, 0] and shown["remembers"]

                async def fleet_call(*words):
                    given = {w: w in words for w in ("duties", "report", "move", "free", "on", "off")}
                    given |= {"--console": f"127.0.0.1:{console}", "DUTY": words[1] if len(words) > 1 else ""}
                    given["NUMBER"] = words[2] if len(words) > 2 else ""
                    code = await asyncio.to_thread(fleet_cli.fleet_command, given)
                    return code, capsys.readouterr()

                code, seen = await fleet_call("duties")
                assert code == 0 and [json.loads(x)["duty"] for x in seen.out.splitlines()] == [
                    "report",
                    "drain",
                ]
                code, seen = await fleet_call("report")
                assert code == 0 and json.loads(seen.out)["missing"] == []
                for words, code, text in (
                    (("move", "drain", "7"), 3, "ingress 7 is not willing"),
                    (("move", "dance", "0"), 3, "no duty is named 'dance'"),
                    (("move", "drain", "x"), 2, "not the number of an ingress: 'x'"),
                    (("free", "on"), 0, ""),
                    (("move", "drain", "0"), 3, "drain is not held here, and by whom is not known"),
                ):
                    got, seen = await fleet_call(*words)
                    assert got == code and text in seen.err and seen.err.count("\n") == (code != 0)
                assert not work.duties.holds()
                assert (await fleet_call("free", "off"))[0] == 0
                await until(work.duties.holds)
        periods = [p for p, _ in sink.taken]
        assert periods == sorted(set(periods))

    run(scene())


def test_votes_pass_to_the_next_process_once_and_only_one_holds_them(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    class Runtime:
        def __init__(self):
            self.carriers, self.fed, self.loop = {}, [], self

        def feed(self, event):
            self.fed.append(event)
            if isinstance(event, votes.fx.VoteEnds):
                self.carriers[votes.fx.KeepMemory](votes.fx.KeepMemory([(5, (1, 2), 5, (1, 2), 70), None]))

        def call_later(self, delay, what):
            self.again = what

    older, newer, third = Runtime(), Runtime(), Runtime()
    first, second = votes.Votes(older, "n0", 9, ""), votes.Votes(newer, "n0", 9, "")
    first.open()
    assert older.fed == [votes.fx.VoteBegins(None)]
    second.open()
    assert not newer.fed  # the older one still votes
    first.close()
    newer.again()
    assert newer.fed == [votes.fx.VoteBegins([(5, (1, 2), 5, (1, 2), 70), None])]
    second.keep([None])
    second.descriptor = votes.os.close(second.descriptor) or -1  # killed: its copy is out of date, not this
    (tmp_path / "vetchusher-n0.votes.json").write_text("torn {")
    last = votes.Votes(third, "n0", 9, "")
    last.open()
    assert third.fed == [votes.fx.VoteBegins(None)] and not list(tmp_path.glob("*.votes.json"))
    last.close()


@pytest.mark.parametrize(
    "raw", [b"[]", b'{"format":"vetchusher-votes","version":2}', b'{"format":"x"}', b"{"]
)
def test_foreign_and_later_files_are_worth_nothing(tmp_path, raw):
    path = tmp_path / "votes"
    path.write_bytes(raw)
    with pytest.raises(ValueError):
        handover.read(path, handover.VOTES)


def test_the_rules_hold_over_an_engine_that_stalls_fails_over_and_loses_leases(tmp_path):
    engine = EtcdServer(Etcd())

    async def script(cluster):
        first = await cluster.until_held()
        for kind in ("killed", "stopped 3 leases", "sigterm"):
            await cluster.fault(kind)
            await cluster.until_held()
        holder = await cluster.until_held()
        engine.model.stalls = True  # the holder stops by itself, in time
        while cluster.holder() is not None:
            await cluster.last(0.2)
        engine.model.stalls = False
        engine.model.compact()
        await cluster.until_held()
        engine.model.lose_leases()  # whoever holds learns it from its next keep-alive
        await cluster.last(1.0)
        await cluster.until_held()
        assert first is not None and holder is not None

    async def scene():
        return await Cluster(tmp_path, members=3, lease_ms=1_000, engine=engine).run(script)

    outcome = run(scene())
    early = [fault for fault in outcome.wrong if "both held" in fault]
    assert (
        len(outcome.wrong) == len(early) <= 2
    )  # tokens grow, the sink took none twice; see the note on early loss
    assert {h.reason for h in outcome.held} >= {"stopping", "cut off", "ran out"}


@pytest.mark.parametrize("seed", range(6))
def test_never_two_holders_over_an_engine_in_virtual_time(seed):
    """Calls are late, lost with what they did, or answered when given up; the engine fails over."""
    rng, engine = random.Random(seed), Etcd()
    timing = Timing(2_000_000)
    plan = Plan(3, (0,), timing, (Duty("a"), Duty("b")), (0, 1, 2))
    members = [EngineDuties(plan, n, n + 1, random.Random(seed * 7 + n)) for n in range(3)]
    answers, tokens, held = [], [0, 0], 0
    for member in members:
        member.begin(0)
    for now in range(0, 120_000_000, 20_000):
        engine.failing = now // 1_000_000 % 31 == 30
        engine.stalls = now // 1_000_000 % 17 == 16
        if now % 10_000_000 == 0:
            rng.choice((engine.compact, lambda: engine.fail_over(now)))()  # noqa: B023
        for number, member in enumerate(members):
            stopped = (now // 1_000_000 + number * 11) % 23 < 4  # long enough to wake too late
            done = [([], [])] if stopped else [member.tick(now)]
            for answer in [a for a in answers if a[0] == number and a[1] <= now and not stopped]:
                done.append(member.answered(now, *answer[2:]))
                answers.remove(answer)
            for notes, asks in done:
                for note in notes:
                    if note.what == "taken":
                        duty = "ab".index(note.duty)
                        assert note.token > tokens[duty]
                        tokens[duty] = note.token
                for ask in asks:
                    told = engine.call(now, ask.path, ask.body)
                    if told is not None and "error" not in told and rng.random() > 0.1:
                        late = rng.randrange(3_000_000) if rng.random() < 0.1 else 30_000
                        answers.append((number, now + late, ask.call, told))
        for duty in (0, 1):
            holders = [m for m in members if m.token(now, duty) is not None]
            assert len(holders) <= 1
            held += len(holders)
    assert held > 4_000 and min(tokens) > 2


# ---- settings ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"voters": [0, 1], "duties": [{"name": "a"}]}', "voters: 2 of them"),
        ('{"voters": [0, 1, 7], "duties": [{"name": "a"}]}', "voters: there is no ingress 7"),
        ('{"voters": [0, 1, 2], "duties": [{"name": "A"}]}', "duties[0].name"),
        ('{"voters": [0, 1, 2], "duties": []}', "duties: 0 of them"),
        (
            '{"voters": [0], "duties": [{"name": "a"}], "lease_ms": 60, "margin_ms": 40}',
            "lease_ms: drift and",
        ),
        ('{"voters": [0], "duties": [{"name": "a"}], "report": {"sink": "http://h:1/"}}', "report.sink"),
        (
            '{"voters": [0], "duties": [{"name": "a"}], "report": {"sink": "http://127.0.0.1:1/"}}',
            "report.sink: no duty is named report",
        ),
        ('{"duties": [{"name": "a"}]}', "voters: is missing"),
        ('{"voters": [0], "engine": "http://127.0.0.1:1", "duties": [{"name": "a"}]}', "engine: voters vote"),
        ('{"voters": [0], "duties": [{"name": "a"}], "key_file": "none"}', "key_file"),
        ('{"voters": [0], "duties": [{"name": "a"}], "unheard_of": 1}', "unheard_of"),
    ],
)
def test_fleet_settings_that_cannot_be_used_are_named(tmp_path, text, place):
    path = tmp_path / "fleet.json"
    path.write_text(text)
    with pytest.raises(SettingsError, match=r"^[^\n]*$") as caught:
        read_fleet(str(path), 5)
    assert place in str(caught.value)


@pytest.mark.parametrize(
    ("duties", "lease", "inbox", "fits"), [(1, 2000, 100, 1), (7, 2000, 100, 1), (9, 2000, 100, 0)]
)
def test_duties_that_would_crowd_out_the_counts_of_quotas_are_refused(tmp_path, duties, lease, inbox, fits):
    path = tmp_path / "fleet.json"
    names = [{"name": f"d{n}"} for n in range(duties)]
    path.write_text(json.dumps({"voters": [0, 1, 2], "lease_ms": lease, "duties": names}))
    if fits:
        assert read_fleet(str(path), 5, inbox).plan.messages_in() <= 0.4 * inbox
        return
    with pytest.raises(SettingsError, match="lease_ms: 9 duties make 5"):
        read_fleet(str(path), 5, inbox)


def test_a_fleet_file_without_peers_is_one_line_and_a_code(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(tree()))
    assert cli.main(["check-config", "--config", str(path), "--fleet", "deploy/fleet.json"]) == 2
    assert "needs settings.limits.peers" in capsys.readouterr().err


def test_what_is_switched_off_is_not_loaded():
    code = (
        "import sys, vetchusher.net.cli; "
        "off = ('vetchusher.duties', 'vetchusher.datagrams', 'vetchusher.membership.'); "
        "on = {m for m in sys.modules if m.startswith(off)}; "
        "sys.exit(on != {'vetchusher.membership.backoff'})"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=60).returncode == 0


def test_the_shipped_settings_are_usable():
    assert read_fleet("deploy/fleet.json", 3).plan.fault() is None
