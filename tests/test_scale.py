"""Tests of scale runs: invalid cases, fits, result rows, the report page, small runs with real processes."""

import random
from dataclasses import asdict
from pathlib import Path

import pytest
from click.testing import CliRunner

from swiftwell.cli.scale import PAGE, RESULTS, scale
from swiftwell.scale import cases, fits, real_member, report, results, runner, slopes
from swiftwell.scale.popularity import Popularity

ROOT = Path(__file__).resolve().parent.parent
QUICK = cases.RoutingCase(workers=30, functions=50, seconds=1.0)


def invoke(*arguments):
    return CliRunner().invoke(scale, list(arguments))


@pytest.mark.parametrize(
    "arguments, expected_text",
    [
        (("routing", "wokers=5"), "wokers"),
        (("routing", "workers=many"), "workers: 'many', expected a number"),
        (("routing", "workers=9000000"), "workers: 9000000, expected 1 to 200,000"),
        (("routing", "workers"), "FACTOR=SIZE"),
        (("membership", "members=5000"), "members: 5000, expected 4 to 800"),
        (("membership", "members=5"), "5 in 10 processes"),
        (("membership", "fault=flood"), "expected one of kill, stop, cut"),
        (("everything",), "'everything': expected one of small, "),
        (("small", "--root", "/nowhere"), "--root: /nowhere"),
    ],
)
def test_bad_input_is_one_clear_error_and_nothing_is_started(tmp_path, monkeypatch, arguments, expected_text):
    monkeypatch.setattr(runner, "run_case", lambda *_: pytest.fail("a case was started"))
    result = invoke("run", *arguments, "--file", str(tmp_path / "rows.jsonl"))
    assert result.exit_code == 2 and expected_text in result.output and len(result.output.splitlines()) == 1
    assert not list(tmp_path.iterdir())


def test_a_spoilt_result_file_is_named_with_its_line(tmp_path):
    file = tmp_path / "rows.jsonl"
    file.write_text('{"build": 1}\n')
    result = invoke("report", "--file", str(file))
    assert result.exit_code == 2 and f"{file}:1" in result.output


def test_the_committed_page_holds_what_the_committed_rows_say():
    rows = results.read(ROOT / RESULTS)
    text = (ROOT / PAGE).read_text(encoding="utf-8")
    assert rows and report.fill(text, rows) == text


def test_a_page_that_differs_from_its_rows_is_found(tmp_path):
    rows = results.read(ROOT / RESULTS)
    page = tmp_path / "page.md"
    page.write_text(report.fill("<!-- scale:routing -->\n<!-- /scale -->\n", rows).replace("|", "!", 1))
    assert invoke("report", "--check", "--file", str(ROOT / RESULTS), "--page", str(page)).exit_code == 1
    with pytest.raises(report.ReportError, match="scale:nothing"):
        report.fill("<!-- scale:nothing -->\n<!-- /scale -->", rows)


@pytest.mark.parametrize("law", [law for law in fits.LAWS if law != "constant"])
def test_the_law_that_made_the_figures_is_found(law):
    sizes = [50, 100, 200, 400, 800, 1_600]
    values = [3.0 + 0.5 * fits.LAWS[law](size) for size in sizes]
    found = fits.best(sizes, values)
    assert found.law == law and found.slope == pytest.approx(0.5, rel=1e-3)
    assert found.crossing(values[3], 10_000) == pytest.approx(400, rel=1e-3)
    assert found.crossing(1e18, 10_000) == float("inf")


def test_an_interval_widens_with_what_the_figures_miss():
    rng, sizes = random.Random(1), [50, 100, 200, 400, 800]
    exact = fits.fit(sizes, [2.0 * size for size in sizes], "linear")
    noisy = fits.fit(sizes, [2.0 * size * rng.uniform(0.8, 1.2) for size in sizes], "linear")
    assert exact.slope_high - exact.slope_low < 0.01 < noisy.slope_high - noisy.slope_low
    assert noisy.slope_low <= 2.0 <= noisy.slope_high


def test_most_functions_are_rare_at_the_target():
    assert Popularity(55_000).rare_share(230_000) == pytest.approx(0.69, abs=0.01)


def test_a_hollow_router_serves_its_calls_and_is_the_same_each_time():
    first, second = runner.run_case(QUICK), runner.run_case(QUICK)
    assert first["calls"] > 100 and first["served"] > 0.9 * first["calls"]
    compared = ("calls", "served", "workers_used", "functions_seen", "order_entries")
    assert [first[field] for field in compared] == [second[field] for field in compared]


def test_rows_are_kept_and_a_case_that_is_there_is_passed_over(tmp_path):
    file, reported = tmp_path / "rows.jsonl", []
    assert runner.run_cases([QUICK], file, "after", ".", reported.append) == 1
    assert runner.run_cases([QUICK], file, "after", ".", reported.append) == 0
    (row,) = results.read(file)
    assert row == reported[0] and row.factors == asdict(QUICK) and row.key == results.row_key("after", QUICK)


def test_a_large_size_is_predicted_from_smaller_ones_before_it_is_run():
    base = cases.RoutingCase()
    rows = [
        results.Row("after", "", "", "routing", asdict(base) | {"workers": workers},
                    dict.fromkeys(slopes.PREDICTED_QUANTITIES, 2.0 * workers), {})
        for workers in (100, 1_000, 10_000)
    ]  # fmt: skip
    predicted = slopes.predict(cases.RoutingCase(workers=40_000), rows)
    assert predicted["call_us"] == pytest.approx(80_000, rel=0.01) and set(predicted) == set(
        slopes.PREDICTED_QUANTITIES
    )
    assert slopes.predict(cases.RoutingCase(workers=4_000), rows) == {}


@pytest.mark.parametrize("fault", cases.FAULTS)
def test_members_in_several_processes_see_a_fault_between_them_and_its_end(fault):
    values = runner.run_case(cases.MembershipCase(members=8, processes=2, stretch=0.2, fault=fault))
    assert values["views_s"] > 0 and values["known_s"] > 0 and values["healed_s"] >= 0
    assert values["right_at_end"] == 1.0 and values["datagrams_per_s"] > 0


def test_a_real_gateway_joins_hollow_members(monkeypatch):
    monkeypatch.setattr(real_member, "STEADY_S", 1.0)  # shorter, as this test does not check the costs
    values = runner.run_case(cases.MemberCase(members=8, processes=2))
    assert values["seen"] == 9 and values["view_s"] > 0 and values["datagrams_per_s"] > 0


def test_a_real_router_follows_a_hollow_list_and_serves():
    values = runner.run_case(cases.ListCase(workers=40, changes_per_s=5.0, calls_per_s=40.0, seconds=2.0))
    assert values["calls"] > 50 and values["in_time"] > 0.9 and values["changes"] >= 5
    assert values["list_bytes_per_s"] > 0 and values["memory_mb"] > 0
