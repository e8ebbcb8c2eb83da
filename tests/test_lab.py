"""The emulator (repeatable days, the checker, the models of servers and store) and experiments."""

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


def emulate(name, seed=1, router_factory=Router, **changes):
    title, day = days.load(name)
    emulation = Emulation(title, replace(day, **changes), seed, router_factory=router_factory)
    return emulation, emulation.run()


# All days but those with handovers, which need processes, and with outdated saved lists.
DAYS = [
    "quiet", "bad-morning", "deploy-day", "store-trouble", "gateway-killed", "overload", "keyed",
    "cold-morning", "all-restart", "amqp-morning", "both-fronts", "amqp-burst", "amqp-slow", "amqp-killed",
]  # fmt: skip


@pytest.mark.parametrize("name", DAYS)
def test_every_rule_holds_in_virtual_time(name):
    _, verdict = emulate(name, 1)
    assert verdict["rules_kept"], (name, verdict["breaches"][:5])
    assert verdict["calls"] > 200 and verdict["served"] > verdict["calls"] * 0.5


DIGEST = """
import hashlib, msgspec, sys
from swiftwell.lab import experiment, report, stats
from swiftwell.lab.baselines import DESIGNS
from swiftwell.lab.emulator import Emulation
from swiftwell.proof import days
emulation = Emulation(*days.load("bad-morning"), seed=int(sys.argv[1]))
verdict = emulation.run()
print(hashlib.sha256(msgspec.json.encode([emulation.world.events, verdict])).hexdigest())
"""


def test_one_seed_is_one_day_in_any_process():
    def digest(seed, hash_seed):
        command = [sys.executable, "-c", DIGEST, str(seed)]
        return subprocess.run(
            command, capture_output=True, text=True, check=True, env={"PYTHONHASHSEED": hash_seed, "PATH": ""}
        ).stdout

    first = digest(3, "0")
    assert first == digest(3, "12345") and first != digest(4, "0")
    emulation, verdict = emulate("bad-morning", 3)
    in_this_process = hashlib.sha256(msgspec.json.encode([emulation.world.events, verdict])).hexdigest()
    assert in_this_process == first.strip()


def test_two_designs_meet_the_same_day():
    """With another router, the same calls for the same functions arrive at the same times."""

    class RoundRobinRouter(Router):
        def _place(self, call):
            self._send(call, self.ready[call.number % len(self.ready)], False)
            return True

    calls_by_design = []
    for router_factory in (Router, RoundRobinRouter):
        emulation, _ = emulate("quiet", 5, router_factory)
        events = emulation.world.events
        calls_by_design.append([
            (event["t"], event["key"], event["function"]) for event in events
            if event["ev"] == "try" and event["corr"].endswith(".0")
        ])  # fmt: skip
    assert calls_by_design[0] == calls_by_design[1] and len(calls_by_design[0]) > 200


def test_the_checker_sees_a_planted_breach_of_each_rule():
    """Checks that the checker reports events into which a breach of a rule was inserted."""
    emulation, verdict = emulate("quiet", 1)
    assert verdict["rules_kept"]
    events = emulation.world.events
    limits = emulation.day.limits()
    from swiftwell.proof.rules import check

    def broken(insert_breach):
        return check(insert_breach([dict(event) for event in events]), limits).broken

    def unanswered(events_copy):
        corr = next(event["corr"] for event in events_copy if event["ev"] == "answer")
        return [event for event in events_copy if not (event["ev"] == "answer" and event["corr"] == corr)]

    def doubled(events_copy):
        ran = next(event for event in events_copy if event["ev"] == "ran" and event["band"] == "consigna")
        at = events_copy.index(ran)
        return [*events_copy[: at + 1], dict(ran), *events_copy[at + 1 :]]

    def drained(events_copy):
        received = [event for event in events_copy if event["ev"] == "recv"][-1]
        list_update = {
            "t": received["t"] - 900_000,
            "who": "list",
            "ev": "told",
            "state": "draining",
            "started": 0,
        }
        list_update |= {"gw": received["gw"], "worker": received["worker"]}
        return sorted([list_update, *events_copy], key=lambda event: event["t"])

    def fell(events_copy):
        return [*events_copy, {"t": events_copy[-1]["t"], "who": "fleet", "ev": "fell", "worker": "w"}]

    assert broken(unanswered)["answered_once"] == 1
    assert broken(doubled)["effects_once"] == 1
    assert broken(drained)["drains"] >= 1
    assert broken(fell)["cold"] == 1


def test_a_router_that_breaks_a_rule_is_caught_in_virtual_time():
    class IgnoresDraining(Router):
        """Sends to draining workers too, as it takes every worker for ready."""

        def _on_members(self, event):
            ready_entries = tuple(replace(entry, state=io.State.READY) for entry in event.entries)
            super()._on_members(event._replace(entries=ready_entries))

    _, verdict = emulate("deploy-day", 1, IgnoresDraining)
    assert verdict["rules"]["drains"] > 0 and not verdict["rules_kept"]


def test_streams_are_independent_and_even():
    first, second = Stream(1, "a"), Stream(1, "b")
    draws = [first.uniform() for _ in range(5_000)]
    first_again = Stream(1, "a")
    assert draws[:50] == [first_again.uniform() for _ in range(50)]
    assert draws[:50] != [second.uniform() for _ in range(50)]
    assert abs(sum(draws) / 5_000 - 0.5) < 0.02 and 0 <= min(draws) <= max(draws) < 1
    waits = [first.exponential(3.0) for _ in range(20_000)]
    assert abs(sum(waits) / 20_000 - 3.0) < 0.1
    lognormal_draws = sorted(first.lognormal(100.0, 0.5) for _ in range(20_001))
    assert abs(lognormal_draws[10_000] - 100.0) < 3
    assert sorted(first.sample(9, 9)) == list(range(9)) and len(set(first.sample(5, 9))) == 5


def test_things_of_one_time_happen_in_the_order_asked_for():
    world, calls = World(1), []
    for number in range(5):
        world.at(START_US + 10, calls.append, number)
    world.at(START_US + 5, calls.append, "first")
    world.at(0, calls.append, "now")  # a time in the past means now
    world.run(START_US + 100)
    assert calls == ["now", "first", 0, 1, 2, 3, 4] and world.now == START_US + 100


def test_the_store_shares_its_pace_and_refuses_and_stops():
    world, results = World(1), []
    store = Store(world, 100_000, capacity=2, max_fetches=8)
    for number in range(4):
        store.fetch(f"f{number}", lambda ok, n=number: results.append((world.now - START_US, n, ok)))
    world.run(START_US + 10_000_000)
    # Four fetches at half speed take 200 ms instead of 100.
    assert [ok for _, _, ok in results] == [True] * 4 and all(abs(t - 200_000) < 10 for t, _, _ in results)
    results.clear()
    for _ in range(9):
        store.fetch("f", lambda ok: results.append((world.now, 0, ok)))
    world.run(world.now + 1)
    assert [ok for _, _, ok in results] == [False]
    world.run(world.now + 20_000_000)
    assert len(results) == 9
    store.fault("stop", 1.0)
    started_at = world.now
    store.fetch("g", lambda ok: results.append((world.now, 1, ok)))
    world.run(started_at + 5_000_000)
    assert abs(results[-1][0] - started_at - 1_100_000) < 10
    store.fault("slow", 10.0, 3.0)
    started_at = world.now
    store.fetch("h", lambda ok: results.append((world.now, 2, ok)))
    world.run(started_at + 5_000_000)
    assert abs(results[-1][0] - started_at - 300_000) < 10


def make_server(world, **machine):
    store = Store(world, 100_000, 8, 64)
    states = []
    server = Server(
        world, "w", "k", Machine(4.0, 1.0, 1_000.0, **machine), {"": 50_000.0}, store, OrderedDict(), True,
        lambda server, state: states.append(state),
    )  # fmt: skip
    server.states = states
    return server


def send_call(world, server, number=0, request_class="safe"):
    answers = []
    server.run(
        "gw",
        f"c{number}",
        Work(f"c{number}", "f", 0.0, key=f"k{number}", request_class=request_class),
        answers.append,
    )
    return answers


def test_a_server_serves_and_each_fault_shows():
    world = World(1)
    server = make_server(world)
    answers = send_call(world, server)
    world.run(world.now + 1_000_000)
    assert answers[0].copy_state == "loaded" and answers[0].verdict == "" and answers[0].body
    server.fault("full", 1.0, request_class="safe")
    assert send_call(world, server)[0].verdict == "full" and not send_call(
        world, server, request_class="other"
    )
    world.run(world.now + 2_000_000)
    for fault, has_expected_answer in (
        ("reset", lambda answers: answers[0].lost),
        ("mute", lambda answers: not answers),
        ("large", lambda answers: len(answers[0].body) > 1 << 20),
        ("twice", lambda answers: answers[0].answered_twice),
    ):
        server.fault(fault, 1.0)
        answers = send_call(world, server)
        world.run(world.now + 1_500_000)
        assert has_expected_answer(answers), fault
    server.fault("refuse", 1.0)
    assert server.refuses()
    world.run(world.now + 2_000_000)
    for fault in ("hang", "pause"):
        server.fault(fault, 2.0)
        answers, started_at = send_call(world, server), world.now
        world.run(started_at + 1_900_000)
        assert not answers, fault
        world.run(started_at + 3_000_000)
        assert answers and answers[0].verdict == "", fault
    server.fault("slow", 5.0, slowdown_factor=10.0)
    answers, started_at = send_call(world, server), world.now
    world.run(started_at + 240_000)
    assert not answers
    world.run(started_at + 5_500_000)
    assert answers
    server.fault("die_after", 5.0)
    answers = send_call(world, server)
    world.run(world.now + 1_000_000)
    assert answers[0].lost and server.down and world.events[-1]["ev"] == "died"
    world.run(world.now + 2_500_000)
    assert not server.down and server.states == ["gone", "running"]
    server.drain(0.5, stop_after_s=1.0)
    assert send_call(world, server)[0].verdict == "draining"
    world.run(world.now + 2_000_000)
    assert server.states[2:] == ["draining", "gone", "running"]


def test_a_cold_server_is_pushed_over_by_too_much():
    world = World(1)
    server = make_server(
        world, cold_share=0.1, cold_us=10_000_000, crash_multiple=1.0, crash_window_us=1_000_000
    )
    server.die(0.1)
    world.run(world.now + 200_000)
    answers_by_call = [send_call(world, server, number) for number in range(40)]
    assert server.down and any(event["ev"] == "fell" for event in world.events)
    assert all(answers[0].lost for answers in answers_by_call if answers)


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
    spec = experiment.read(EXPERIMENT, "e.kdl")
    assert len(list(experiment.cells(spec))) == 8
    rows = experiment.run(spec, tmp_path / "one", processes=1)
    experiment.run(spec, tmp_path / "many", processes=4)
    expected_bytes = (tmp_path / "one" / "results.npz").read_bytes()
    assert (tmp_path / "many" / "results.npz").read_bytes() == expected_bytes
    # Killed half-way: some lines are written, the last one is truncated.
    lines = (tmp_path / "one" / "cells.jsonl").read_bytes().split(b"\n")
    (tmp_path / "killed").mkdir()
    (tmp_path / "killed" / "cells.jsonl").write_bytes(b"\n".join(lines[:3]) + b"\n" + lines[3][:40])
    progress = []
    experiment.run(spec, tmp_path / "killed", 1, lambda done, of: progress.append((done, of)))
    assert progress[0] == (3, 8) and progress[-1] == (8, 8)
    assert (tmp_path / "killed" / "results.npz").read_bytes() == expected_bytes
    progress_again = []
    experiment.run(spec, tmp_path / "killed", 1, lambda done, of: progress_again.append(done))
    assert progress_again == [8]  # no cell is played twice
    columns = np.load(tmp_path / "one" / "results.npz")
    assert list(columns["design"]) == [row["design"] for row in rows] and len(columns["service"]) == 8
    page = tmp_path / "report.html"
    emulation, _ = emulate("quiet", 1, seconds=5.0)
    lines = [report.timeline(emulation.world.events, "quiet")]
    report.write(page, "title", spec, rows, lines)
    text = page.read_text()
    assert text.count("<svg") == 4  # three results by rate, and the time line
    for reference in ("<script", "src=", "url(http", 'href="http', "<link"):
        assert reference not in text  # the page loads nothing from elsewhere
    assert "module" in text and "rate 0.2" in text


@pytest.mark.parametrize(
    ("change", "line", "message"),
    [
        ('designs "module" "bets"', 1, "unknown design 'bets'"),
        ('days "nowhere"', 0, "can't be read"),
        ("seeds 0", 1, "seeds: expected an integer from 1"),
        ('factor "colour" { levels 1 }', 1, "colour"),
        ('factor "rate"', 1, "levels"),
    ],
)
def test_an_experiment_that_is_wrong_says_where(change, line, message):
    text = (
        change
        + "\n"
        + "\n".join(row for row in EXPERIMENT.split("\n") if row.split(" ")[0] != change.split(" ")[0])
    )
    if "days" not in text:
        text += '\ndays "quiet"\n'
    with pytest.raises(SettingsError) as error:
        experiment.read(text, "e.kdl")
    assert any(problem.line == line and message in str(problem) for problem in error.value.problems), [
        str(problem) for problem in error.value.problems
    ]


def test_differences_are_of_pairs_and_their_intervals_hold_what_they_should():
    generator = np.random.default_rng(3)
    covered = 0
    for _ in range(60):
        # Days differ far more than designs do.
        day_levels = generator.normal(0.5, 0.2, 12)
        rows = [
            {"day": "d", "design": design, "seed": seed, "service": day + effect + generator.normal(0, 0.01)}
            for seed, day in enumerate(day_levels)
            for design, effect in (("module", 0.0), ("other", 0.02))
        ]
        ((_, difference),) = stats.differences(rows, "service", "module").items()
        covered += difference.low <= 0.02 <= difference.high
        assert difference.count == 12 and difference.high - difference.low < 0.03
    assert covered >= 48  # 57 are expected at 95 %
    assert (
        stats.interval([0.5, 0.5, 0.5]).low == 0.5
        and not stats.interval([-1.0, 1.0, 0.3, -0.2]).excludes_zero
    )
    assert stats.interval([0.2, 0.21, 0.22, 0.2]).excludes_zero


@pytest.mark.parametrize("design", sorted(DESIGNS))
def test_each_design_plays_a_quiet_day(design):
    _, verdict = emulate("quiet", 1, DESIGNS[design], seconds=5.0)
    assert verdict["served"] > 0.8 * verdict["calls"] > 40
