"""The emulator: one seed is one day whatever the process, the checker sees what it must, models behave."""

import hashlib
import subprocess
import sys
from collections import OrderedDict
from dataclasses import replace

import msgspec
import numpy as np
import pytest

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.lab import experiment, report, stats
from swiftwell.lab.baselines import DESIGNS
from swiftwell.lab.emulator import Emulation
from swiftwell.lab.servers import Server, Store
from swiftwell.lab.world import START_US, Stream, World
from swiftwell.proof import days
from swiftwell.settings.document import SettingsError
from swiftwell.standins.model import Machine, Work


def emulate(name, seed=1, make=Router, **changes):
    title, day = days.load(name)
    emulation = Emulation(title, replace(day, **changes), seed, make=make)
    return emulation, emulation.run()


# Everything but handovers, which are of processes, and days of old saved lists.
DAYS = [
    "quiet", "bad-morning", "deploy-day", "store-trouble", "gateway-killed", "overload", "keyed",
    "cold-morning", "all-restart", "amqp-morning", "both-fronts", "amqp-burst", "amqp-slow", "amqp-killed",
]  # fmt: skip


@pytest.mark.parametrize("name", DAYS)
def test_every_rule_holds_in_virtual_time(name):
    _, told = emulate(name, 1)
    assert told["rules_kept"], (name, told["breaches"][:5])
    assert told["calls"] > 200 and told["served"] > told["calls"] * 0.5


DIGEST = """
import hashlib, msgspec, sys
from swiftwell.lab import experiment, report, stats
from swiftwell.lab.baselines import DESIGNS
from swiftwell.lab.emulator import Emulation
from swiftwell.proof import days
one = Emulation(*days.load("bad-morning"), seed=int(sys.argv[1]))
told = one.run()
print(hashlib.sha256(msgspec.json.encode([one.world.events, told])).hexdigest())
"""


def test_one_seed_is_one_day_in_any_process():
    def digest(seed, hashing):
        words = [sys.executable, "-c", DIGEST, str(seed)]
        return subprocess.run(
            words, capture_output=True, text=True, check=True, env={"PYTHONHASHSEED": hashing, "PATH": ""}
        ).stdout

    first = digest(3, "0")
    assert first == digest(3, "12345") and first != digest(4, "0")
    emulation, told = emulate("bad-morning", 3)
    here = hashlib.sha256(msgspec.json.encode([emulation.world.events, told])).hexdigest()
    assert here == first.strip()


def test_two_designs_meet_the_same_day():
    """Another router: the same calls at the same times, for the same functions, with the same work."""

    class Anywhere(Router):
        def _place(self, call):
            self._send(call, self.ready[call.number % len(self.ready)], False)
            return True

    seen = []
    for make in (Router, Anywhere):
        emulation, _ = emulate("quiet", 5, make)
        events = emulation.world.events
        seen.append([
            (one["t"], one["key"], one["function"]) for one in events
            if one["ev"] == "try" and one["corr"].endswith(".0")
        ])  # fmt: skip
    assert seen[0] == seen[1] and len(seen[0]) > 200


def test_the_checker_sees_a_planted_breach_of_each_rule():
    """The same checker as over sockets; here it is fed by a world in which a rule is broken on purpose."""
    emulation, told = emulate("quiet", 1)
    assert told["rules_kept"]
    events = emulation.world.events
    limits = emulation.day.limits()
    from swiftwell.proof.rules import check

    def broken(change):
        return check(change([dict(one) for one in events]), limits).broken

    def unanswered(found):
        corr = next(one["corr"] for one in found if one["ev"] == "answer")
        return [one for one in found if not (one["ev"] == "answer" and one["corr"] == corr)]

    def doubled(found):
        ran = next(one for one in found if one["ev"] == "ran" and one["band"] == "consigna")
        at = found.index(ran)
        return [*found[: at + 1], dict(ran), *found[at + 1 :]]

    def drained(found):
        one = [one for one in found if one["ev"] == "recv"][-1]
        told = {"t": one["t"] - 900_000, "who": "list", "ev": "told", "state": "draining", "started": 0}
        told |= {"gw": one["gw"], "worker": one["worker"]}
        return sorted([told, *found], key=lambda event: event["t"])

    def fell(found):
        return [*found, {"t": found[-1]["t"], "who": "fleet", "ev": "fell", "worker": "w"}]

    assert broken(unanswered)["answered_once"] == 1
    assert broken(doubled)["effects_once"] == 1
    assert broken(drained)["drains"] >= 1
    assert broken(fell)["cold"] == 1


def test_a_router_that_breaks_a_rule_is_caught_in_virtual_time():
    class Stubborn(Router):
        """Goes on sending to workers whatever the list says of them."""

        def _on_members(self, event):
            kept = tuple(replace(one, state=io.State.READY) for one in event.entries)
            super()._on_members(event._replace(entries=kept))

    _, told = emulate("deploy-day", 1, Stubborn)
    assert told["rules"]["drains"] > 0 and not told["rules_kept"]


def test_streams_are_independent_and_even():
    one, two = Stream(1, "a"), Stream(1, "b")
    draws = [one.uniform() for _ in range(5_000)]
    again = Stream(1, "a")
    assert draws[:50] == [again.uniform() for _ in range(50)]
    assert draws[:50] != [two.uniform() for _ in range(50)]
    assert abs(sum(draws) / 5_000 - 0.5) < 0.02 and 0 <= min(draws) <= max(draws) < 1
    waits = [one.exponential(3.0) for _ in range(20_000)]
    assert abs(sum(waits) / 20_000 - 3.0) < 0.1
    tail = sorted(one.lognormal(100.0, 0.5) for _ in range(20_001))
    assert abs(tail[10_000] - 100.0) < 3
    assert sorted(one.sample(9, 9)) == list(range(9)) and len(set(one.sample(5, 9))) == 5


def test_things_of_one_time_happen_in_the_order_asked_for():
    world, seen = World(1), []
    for number in range(5):
        world.at(START_US + 10, seen.append, number)
    world.at(START_US + 5, seen.append, "first")
    world.at(0, seen.append, "now")  # never before now
    world.run(START_US + 100)
    assert seen == ["now", "first", 0, 1, 2, 3, 4] and world.now == START_US + 100


def test_the_store_shares_its_pace_and_refuses_and_stops():
    world, told = World(1), []
    store = Store(world, 100_000, room=2, most=8)
    for number in range(4):
        store.fetch(f"f{number}", lambda ok, n=number: told.append((world.now - START_US, n, ok)))
    world.run(START_US + 10_000_000)
    # Four at half pace: 200 ms instead of 100.
    assert [ok for _, _, ok in told] == [True] * 4 and all(abs(t - 200_000) < 10 for t, _, _ in told)
    told.clear()
    for _ in range(9):
        store.fetch("f", lambda ok: told.append((world.now, 0, ok)))
    world.run(world.now + 1)
    assert [ok for _, _, ok in told] == [False]
    world.run(world.now + 20_000_000)
    assert len(told) == 9
    store.fault("stop", 1.0)
    begun = world.now
    store.fetch("g", lambda ok: told.append((world.now, 1, ok)))
    world.run(begun + 5_000_000)
    assert abs(told[-1][0] - begun - 1_100_000) < 10
    store.fault("slow", 10.0, 3.0)
    begun = world.now
    store.fetch("h", lambda ok: told.append((world.now, 2, ok)))
    world.run(begun + 5_000_000)
    assert abs(told[-1][0] - begun - 300_000) < 10


def server(world, **machine):
    store = Store(world, 100_000, 8, 64)
    states = []
    one = Server(
        world, "w", "k", Machine(4.0, 1.0, 1_000.0, **machine), {"": 50_000.0}, store, OrderedDict(), True,
        lambda server, state: states.append(state),
    )  # fmt: skip
    one.states = states
    return one


def asks(world, one, number=0, request_class="safe"):
    got = []
    one.run(
        "gw",
        f"c{number}",
        Work(f"c{number}", "f", 0.0, key=f"k{number}", request_class=request_class),
        got.append,
    )
    return got


def test_a_server_serves_and_each_fault_shows():
    world = World(1)
    one = server(world)
    got = asks(world, one)
    world.run(world.now + 1_000_000)
    assert got[0].found == "loaded" and got[0].verdict == "" and got[0].body
    one.fault("full", 1.0, request_class="safe")
    assert asks(world, one)[0].verdict == "full" and not asks(world, one, request_class="other")
    world.run(world.now + 2_000_000)
    for fault, check in (
        ("reset", lambda got: got[0].lost),
        ("mute", lambda got: not got),
        ("large", lambda got: len(got[0].body) > 1 << 20),
        ("twice", lambda got: got[0].extra),
    ):
        one.fault(fault, 1.0)
        got = asks(world, one)
        world.run(world.now + 1_500_000)
        assert check(got), fault
    one.fault("refuse", 1.0)
    assert one.refuses()
    world.run(world.now + 2_000_000)
    for fault in ("hang", "pause"):
        one.fault(fault, 2.0)
        got, begun = asks(world, one), world.now
        world.run(begun + 1_900_000)
        assert not got, fault
        world.run(begun + 3_000_000)
        assert got and got[0].verdict == "", fault
    one.fault("slow", 5.0, times=10.0)
    got, begun = asks(world, one), world.now
    world.run(begun + 240_000)
    assert not got
    world.run(begun + 5_500_000)
    assert got
    one.fault("die_after", 5.0)
    got = asks(world, one)
    world.run(world.now + 1_000_000)
    assert got[0].lost and one.down and world.events[-1]["ev"] == "died"
    world.run(world.now + 2_500_000)
    assert not one.down and one.states == ["gone", "running"]
    one.drain(0.5, end_s=1.0)
    assert asks(world, one)[0].verdict == "draining"
    world.run(world.now + 2_000_000)
    assert one.states[2:] == ["draining", "gone", "running"]


def test_a_cold_server_is_pushed_over_by_too_much():
    world = World(1)
    one = server(world, cold_share=0.1, cold_us=10_000_000, crash_multiple=1.0, crash_window_us=1_000_000)
    one.die(0.1)
    world.run(world.now + 200_000)
    got = [asks(world, one, number) for number in range(40)]
    assert one.down and any(event["ev"] == "fell" for event in world.events)
    assert all(told[0].lost for told in got if told)


# Experiments.

EXPERIMENT = """
doc "Two designs at two rates."
days "quiet"
designs "module" "random"
seeds 2
factor "rate" { levels 0.2 0.4 }
factor "seconds" { levels 4 }
"""


def test_an_experiment_goes_on_after_a_kill_and_is_the_same_on_any_processes(tmp_path):
    found = experiment.read(EXPERIMENT, "e.kdl")
    assert len(list(experiment.cells(found))) == 8
    one = experiment.run(found, tmp_path / "one", processes=1)
    experiment.run(found, tmp_path / "many", processes=4)
    whole = (tmp_path / "one" / "results.npz").read_bytes()
    assert (tmp_path / "many" / "results.npz").read_bytes() == whole
    # Killed half-way: some lines are there, the last one cut short.
    lines = (tmp_path / "one" / "cells.jsonl").read_bytes().split(b"\n")
    (tmp_path / "killed").mkdir()
    (tmp_path / "killed" / "cells.jsonl").write_bytes(b"\n".join(lines[:3]) + b"\n" + lines[3][:40])
    progress = []
    experiment.run(found, tmp_path / "killed", 1, lambda done, of: progress.append((done, of)))
    assert progress[0] == (3, 8) and progress[-1] == (8, 8)
    assert (tmp_path / "killed" / "results.npz").read_bytes() == whole
    again = []
    experiment.run(found, tmp_path / "killed", 1, lambda done, of: again.append(done))
    assert again == [8]  # nothing is played twice
    columns = np.load(tmp_path / "one" / "results.npz")
    assert list(columns["design"]) == [row["design"] for row in one] and len(columns["service"]) == 8
    page = tmp_path / "report.html"
    emulation, _ = emulate("quiet", 1, seconds=5.0)
    lines = [report.timeline(emulation.world.events, "quiet")]
    report.write(page, "title", found, one, lines)
    text = page.read_text()
    assert text.count("<svg") == 4  # three figures by rate, and the time line
    for word in ("<script", "src=", "url(http", 'href="http', "<link"):
        assert word not in text  # it needs no other file
    assert "module" in text and "rate 0.2" in text


@pytest.mark.parametrize(
    ("change", "line", "why"),
    [
        ('designs "module" "bets"', 1, "no design 'bets'"),
        ('days "nowhere"', 0, "can't be read"),
        ("seeds 0", 1, "seeds: expected an integer from 1"),
        ('factor "colour" { levels 1 }', 1, "colour"),
        ('factor "rate"', 1, "levels"),
    ],
)
def test_an_experiment_that_is_wrong_says_where(change, line, why):
    text = (
        change
        + "\n"
        + "\n".join(one for one in EXPERIMENT.split("\n") if one.split(" ")[0] != change.split(" ")[0])
    )
    if "days" not in text:
        text += '\ndays "quiet"\n'
    with pytest.raises(SettingsError) as error:
        experiment.read(text, "e.kdl")
    assert any(problem.line == line and why in str(problem) for problem in error.value.problems), [
        str(problem) for problem in error.value.problems
    ]


def test_differences_are_of_pairs_and_their_intervals_hold_what_they_should():
    chance = np.random.default_rng(3)
    inside = 0
    for _ in range(60):
        days_ = chance.normal(0.5, 0.2, 12)  # days differ much more than designs do
        rows = [
            {"day": "d", "design": design, "seed": seed, "service": day + add + chance.normal(0, 0.01)}
            for seed, day in enumerate(days_)
            for design, add in (("module", 0.0), ("other", 0.02))
        ]
        ((_, told),) = stats.differences(rows, "service", "module").items()
        inside += told.low <= 0.02 <= told.high
        assert told.count == 12 and told.high - told.low < 0.03
    assert inside >= 48  # 57 are expected of 95 %
    assert stats.interval([0.5, 0.5, 0.5]).low == 0.5 and not stats.interval([-1.0, 1.0, 0.3, -0.2]).tells
    assert stats.interval([0.2, 0.21, 0.22, 0.2]).tells


@pytest.mark.parametrize("design", sorted(DESIGNS))
def test_each_design_plays_a_quiet_day(design):
    _, told = emulate("quiet", 1, DESIGNS[design], seconds=5.0)
    assert told["served"] > 0.8 * told["calls"] > 40
