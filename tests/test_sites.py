"""The plan of a loss, how a loss is known, what is refused first, and the return in slices.  No I/O."""

import itertools
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from swiftwell.cli.main import main
from swiftwell.settings import sites as document
from swiftwell.settings.document import SettingsError
from swiftwell.sites.plan import (
    HEADROOM,
    Demand,
    Place,
    Sites,
    admission,
    differences,
    inversions,
    plan,
    plans,
    sacrifice,
)

EXAMPLE = Path(__file__).parents[1] / "examples" / "sites.kdl"


def three(rate=10.0, memory=10_000.0, order=("low", "high")):
    places = tuple(Place(name, 4.0, memory) for name in "abc")
    demands = tuple(
        Demand(band, "", name, rate, 0.1, worth, 5, 100.0)
        for name in "abc"
        for band, worth in (("low", 1.0), ("high", 5.0))
    )
    return Sites(places, demands, order)


def test_with_nothing_lost_everybody_is_served_at_home():
    sites = three()
    prices = dict.fromkeys(itertools.permutations("abc", 2), 0.1)
    sites = Sites(sites.places, sites.demands, sites.order, prices)
    told = plan(sites, ())
    assert told.kept_whole and told.worth == 1.0 and told.missing_work == 0
    assert all(one.origin == one.place for one in told.flows)


def test_when_a_site_is_lost_the_lowest_class_gives_way_first_and_the_highest_is_whole():
    told = plan(three(rate=15.0), ("b",))  # 9 s of work a second come, 6.4 are left
    assert told.admitted["high", ""] == 1.0 and 0.4 < told.admitted["low", ""] < 0.5
    assert all(part <= HEADROOM + 1e-6 for part in told.work.values()) and "b" not in told.work
    assert told.missing_work == pytest.approx(9 - HEADROOM * 8, abs=1e-3)
    two = plan(three(rate=15.0), ("a", "b"))
    assert two.admitted["low", ""] == 0 and two.admitted["high", ""] == pytest.approx(3.2 / 4.5, abs=1e-3)
    assert inversions(three(), two.admitted) == 0
    assert inversions(three(), {("low", ""): 1, ("high", ""): 0.5}) == 1


def test_memory_limits_what_a_survivor_can_take_and_the_plan_says_what_is_missing():
    told = plan(three(rate=5.0, memory=1_200.0), ("c",))  # each class has 500 MB of copies at a site
    assert told.admitted["high", ""] == 1.0 and told.admitted["low", ""] < 1
    assert all(mb <= 1_200.1 for mb in told.memory.values()) and told.missing_mb == pytest.approx(600, abs=1)


def test_who_may_serve_whom_is_kept_and_classes_without_an_order_go_by_worth_for_work():
    sites = three(rate=15.0, order=())
    assert sacrifice(sites) == ["low", "high"]
    bound = Sites(sites.places, sites.demands, (), {}, {"a": ("a",)})
    told = plan(bound, ("a",))
    assert {one.origin for one in told.flows} == {"b", "c"}
    assert [one.band for one in admission(bound, told)] == ["low", "high"]


@settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("wxyz"), st.sampled_from("abc"), st.floats(0.1, 60), st.floats(0.005, 0.3),
            st.floats(0.1, 9),
        ),
        min_size=1, max_size=12,
    ),
    st.lists(st.floats(0.5, 30), min_size=3, max_size=3),
    st.floats(300, 20_000),
)  # fmt: skip
def test_no_plan_asks_more_than_survivors_have_or_serves_a_lower_class_before_a_higher(loads, work, memory):
    places = tuple(Place(name, amount, memory) for name, amount in zip("abc", work, strict=True))
    demands = tuple(Demand(b, "", at, rate, w, worth, 3, 90.0) for b, at, rate, w, worth in loads)
    sites = Sites(places, demands)
    for told in plans(sites):
        for place in places:
            if place.name in told.lost:
                assert place.name not in told.work
            else:
                assert told.work[place.name] <= HEADROOM + 1e-3
                assert told.memory[place.name] <= memory * 1.001 + 1
        for demand in demands:
            which = demand.band, demand.place
            sent = sum(one.rate for one in told.flows if (one.band, one.origin) == which)
            came = sum(one.rate for one in demands if (one.band, one.place) == which)
            assert sent <= came * 1.001 + 1e-3
    # Without limits of memory the order is strict: a class is cut only where those before it get nothing.
    roomy = Sites(tuple(Place(p.name, p.work, 1e9) for p in places), demands)
    for told in plans(roomy):
        order = sacrifice(roomy)
        cut = [band for band in order if told.admitted[band, ""] < 0.999]
        for earlier, later in itertools.pairwise(order):
            if later in cut:
                assert told.admitted[earlier, ""] < 0.02, (order, told.admitted)


def test_the_example_is_planned_and_bad_documents_say_where(tmp_path):
    runner = CliRunner()
    out = tmp_path / "plan.json"
    told = runner.invoke(main, ["sites", "plan", str(EXAMPLE), "--out", str(out), "--json"])
    found = json.loads(told.stdout)["plans"]
    assert told.exit_code == 1 and len(found) == 7 and found[0]["lost"] == []
    assert all(dict((a[0], a[2]) for a in one["admitted"])["consigna"] > 0.99 for one in found)
    assert runner.invoke(main, ["sites", "show", str(out)]).exit_code == 0
    other = tmp_path / "sites.kdl"
    other.write_text(EXAMPLE.read_text().replace("count=6", "count=1"))
    runner.invoke(main, ["sites", "plan", str(other), "--out", str(tmp_path / "new.json")])
    changed = runner.invoke(main, ["sites", "diff", str(out), str(tmp_path / "new.json")])
    assert changed.exit_code == 1 and "lectura admitted" in changed.output
    assert runner.invoke(main, ["sites", "diff", str(out), str(out)]).output.strip() == "no difference"
    site = 'site "a" { workers "k" count=1 cores=1 memory-mb=1; load "x" rate=1 work-ms=1 }'
    other.write_text(site + '\nsacrifice "y"\n')
    wrong = runner.invoke(main, ["sites", "check", str(other)])
    assert wrong.exit_code == 2 and "at least two" in wrong.output and "class 'y'" in wrong.output
    assert runner.invoke(main, ["sites", "show", str(other)]).exit_code == 2
    with pytest.raises(SettingsError, match="can't be read"):
        document.load(tmp_path / "none.kdl")
    assert differences([], plans(three(), 0)) == ["nothing lost: new"]
