"""The plan for a loss, failure detection, load shedding, and the return in slices.  No I/O."""

import itertools
import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from swiftwell.cli.main import main
from swiftwell.proof.explore import replay, walk
from swiftwell.proof.explore_sites import ReturnModel, Scope
from swiftwell.settings import sites as document
from swiftwell.settings.document import SettingsError
from swiftwell.sites.admission import MIN_CALLS, STEP_INTERVAL_US, Admission, ClassShare
from swiftwell.sites.failure_detection import (
    FLAP_US,
    GOOD_US,
    SUSPECT_US,
    TRANSITIONS,
    WINDOW_US,
    SiteFailureDetector,
    SiteState,
    WindowObservation,
)
from swiftwell.sites.plan import (
    MAX_UTILIZATION,
    Demand,
    Place,
    Sites,
    admission,
    differences,
    inversions,
    plan,
    plans,
    shedding_order,
)
from swiftwell.sites.recovery import (
    FRESH_US,
    HOLD_US,
    SETTLE_US,
    SLICES,
    OperatorCommand,
    RecoveryCoordinator,
    RecoveryFollower,
    RecoveryProgress,
    SliceObservation,
    visible_workers,
)

EXAMPLE = Path(__file__).parents[1] / "examples" / "sites.kdl"


def three_sites(rate=10.0, memory=10_000.0, order=("low", "high")):
    places = tuple(Place(name, 4.0, memory) for name in "abc")
    demands = tuple(
        Demand(request_class, "", name, rate, 0.1, worth, 5, 100.0)
        for name in "abc"
        for request_class, worth in (("low", 1.0), ("high", 5.0))
    )
    return Sites(places, demands, order)


def test_with_no_site_lost_all_calls_are_served_at_their_origin():
    sites = three_sites()
    prices = dict.fromkeys(itertools.permutations("abc", 2), 0.1)
    sites = Sites(sites.places, sites.demands, sites.order, prices)
    result = plan(sites, ())
    assert result.kept_whole and result.worth == 1.0 and result.missing_work == 0
    assert all(flow.origin == flow.place for flow in result.flows)


def test_when_a_site_is_lost_the_lowest_class_is_refused_first_and_the_highest_fully_served():
    result = plan(three_sites(rate=15.0), ("b",))  # 9 s of work a second arrive, capacity for 6.4 is left
    assert result.admitted["high", ""] == 1.0 and 0.4 < result.admitted["low", ""] < 0.5
    assert all(used <= MAX_UTILIZATION + 1e-6 for used in result.work.values()) and "b" not in result.work
    assert result.missing_work == pytest.approx(9 - MAX_UTILIZATION * 8, abs=1e-3)
    two_lost = plan(three_sites(rate=15.0), ("a", "b"))
    assert two_lost.admitted["low", ""] == 0 and two_lost.admitted["high", ""] == pytest.approx(
        3.2 / 4.5, abs=1e-3
    )
    assert inversions(three_sites(), two_lost.admitted) == 0
    assert inversions(three_sites(), {("low", ""): 1, ("high", ""): 0.5}) == 1


def test_memory_limits_what_a_surviving_site_takes_and_the_plan_states_what_is_missing():
    result = plan(three_sites(rate=5.0, memory=1_200.0), ("c",))  # each class has 500 MB of copies at a site
    assert result.admitted["high", ""] == 1.0 and result.admitted["low", ""] < 1
    assert all(mb <= 1_200.1 for mb in result.memory.values()) and result.missing_mb == pytest.approx(
        600, abs=1
    )


def test_allowed_places_are_kept_and_classes_without_an_order_are_ranked_by_worth_per_work():
    sites = three_sites(rate=15.0, order=())
    assert shedding_order(sites) == ["low", "high"]
    bound = Sites(sites.places, sites.demands, (), {}, {"a": ("a",)})
    result = plan(bound, ("a",))
    assert {flow.origin for flow in result.flows} == {"b", "c"}
    assert [entry.request_class for entry in admission(bound, result)] == ["low", "high"]


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
def test_no_plan_exceeds_the_capacity_left_or_serves_a_lower_class_before_a_higher_one(loads, work, memory):
    places = tuple(Place(name, amount, memory) for name, amount in zip("abc", work, strict=True))
    demands = tuple(
        Demand(request_class, "", place, rate, work_s, worth, 3, 90.0)
        for request_class, place, rate, work_s, worth in loads
    )
    sites = Sites(places, demands)
    for result in plans(sites):
        for place in places:
            if place.name in result.lost:
                assert place.name not in result.work
            else:
                assert result.work[place.name] <= MAX_UTILIZATION + 1e-3
                assert result.memory[place.name] <= memory * 1.001 + 1
        for demand in demands:
            class_and_origin = demand.request_class, demand.place
            sent = sum(flow.rate for flow in result.flows if (flow.band, flow.origin) == class_and_origin)
            arriving = sum(
                other.rate for other in demands if (other.request_class, other.place) == class_and_origin
            )
            assert sent <= arriving * 1.001 + 1e-3
    # Without memory limits the order is strict: a class is cut only where those before it get nothing.
    unlimited = Sites(tuple(Place(place.name, place.work, 1e9) for place in places), demands)
    for result in plans(unlimited):
        order = shedding_order(unlimited)
        cut = [request_class for request_class in order if result.admitted[request_class, ""] < 0.999]
        for earlier, later in itertools.pairwise(order):
            if later in cut:
                assert result.admitted[earlier, ""] < 0.02, (order, result.admitted)


def test_the_example_is_planned_and_errors_in_documents_name_the_place(tmp_path):
    runner = CliRunner()
    out = tmp_path / "plan.json"
    planned = runner.invoke(main, ["sites", "plan", str(EXAMPLE), "--out", str(out), "--json"])
    rows = json.loads(planned.stdout)["plans"]
    assert planned.exit_code == 1 and len(rows) == 7 and rows[0]["lost"] == []
    assert all(dict((entry[0], entry[2]) for entry in row["admitted"])["consigna"] > 0.99 for row in rows)
    assert runner.invoke(main, ["sites", "show", str(out)]).exit_code == 0
    other = tmp_path / "sites.kdl"
    other.write_text(EXAMPLE.read_text().replace("count=6", "count=1"))
    runner.invoke(main, ["sites", "plan", str(other), "--out", str(tmp_path / "new.json")])
    changed = runner.invoke(main, ["sites", "diff", str(out), str(tmp_path / "new.json")])
    assert changed.exit_code == 1 and "lectura admitted" in changed.output
    assert runner.invoke(main, ["sites", "diff", str(out), str(out)]).output.strip() == "no difference"
    site = 'site "a" { workers "k" count=1 cores=1 memory-mb=1; load "x" rate=1 work-ms=1 }'
    other.write_text(site + '\nsacrifice "y"\n')
    invalid = runner.invoke(main, ["sites", "check", str(other)])
    assert invalid.exit_code == 2 and "at least two" in invalid.output and "class 'y'" in invalid.output
    assert runner.invoke(main, ["sites", "show", str(other)]).exit_code == 2
    with pytest.raises(SettingsError, match="can't be read"):
        document.load(tmp_path / "none.kdl")
    assert differences([], plans(three_sites(), 0)) == ["nothing lost: new"]


# --- failure detection ---------------------------------------------------------------------------------

GOOD, LATE = (
    WindowObservation(members_heard=2, members=2, listed=4, **{outcome: 10}) for outcome in ("good", "slow")
)
BAD = WindowObservation(bad=10, members=2, listed=4, failed=frozenset("wxyz"))
ANY = st.sampled_from([GOOD, BAD, LATE, WindowObservation()])
SECOND = 1_000_000


class DetectorView:
    """One router's failure detector, fed a window at a time."""

    def __init__(self, sites="abc", home="a"):
        self.detector, self.now, self.changes = SiteFailureDetector(tuple(sites), home, 0), 0, []

    def run(self, seconds, **observed):
        for _ in range(round(seconds * SECOND / WINDOW_US)):
            self.now += WINDOW_US
            observations = dict.fromkeys(self.detector.sites, GOOD) | observed
            self.changes += self.detector.step(self.now, observations)
        return self

    def states(self):
        return [self.detector.state(name) for name in self.detector.sites]


def test_a_site_that_vanishes_is_lost_within_two_seconds_and_returns_only_after_it_serves_again():
    view = DetectorView().run(2)
    view.detector.record_opinion(view.now, 5, "b", False)
    view.run(2, b=BAD)
    assert view.states() == [SiteState.UP, SiteState.LOST, SiteState.UP]
    assert [change.after for change in view.changes] == [SiteState.SUSPECTED, SiteState.LOST]
    assert "bad 10" in view.changes[-1].reason and "members heard 0/2" in view.changes[-1].reason
    view.run(1.5)
    assert view.detector.state("b") is SiteState.LOST
    view.run(1.5)
    assert view.detector.state("b") is SiteState.RETURNING
    assert (
        view.detector.return_completed(view.now, "b").after is SiteState.UP
        and view.detector.return_completed(view.now, "b") is None
    )


def test_a_hiccup_few_calls_or_one_bad_worker_do_not_count_as_a_lost_site():
    view = DetectorView().run(1).run(0.5, b=BAD).run(1)
    assert view.states() == [SiteState.UP] * 3
    view.run(
        20,
        b=WindowObservation(good=7, bad=3, members_heard=2, members=2),
        c=WindowObservation(bad=1, members=2),
    )
    # In b, three in ten fail; in c, one call in 0.5 s is merged over 2 s, and shows one worker only.
    assert view.states() == [SiteState.UP, SiteState.UP, SiteState.SUSPECTED]
    view.run(20, c=replace(BAD, failed=frozenset("w")))
    assert view.detector.state("c") is SiteState.SUSPECTED  # one worker of four is not the site


def test_a_site_that_is_no_longer_listed_is_lost_and_returns_in_slices():
    view = DetectorView()
    view.detector.record_opinion(view.now, 5, "b", False)
    view.run(2, b=WindowObservation(members=2, gone=True))
    assert view.detector.state("b") is SiteState.LOST and "none is listed" in view.changes[-1].reason
    view.run(4)
    assert view.detector.state("b") is SiteState.RETURNING


def test_opinions_of_routers_that_are_served_prevent_a_loss_and_old_opinions_do_not():
    view = DetectorView()
    for _ in range(12):
        for member in (4, 5, 6):
            view.detector.record_opinion(view.now, member, "b", True)
        view.detector.record_opinion(view.now, 7, "b", False)
        view.run(0.5, b=BAD)
    assert view.detector.state("b") is SiteState.SUSPECTED  # our path to it failed, not the site
    view.run(6, b=BAD)
    assert view.detector.state("b") is SiteState.LOST


def test_a_router_that_is_cut_off_does_not_declare_the_other_sites_lost():
    view = DetectorView("abcd").run(1).run(6, b=BAD, c=BAD, d=BAD)
    assert view.states() == [SiteState.UP, SiteState.ISOLATED, SiteState.ISOLATED, SiteState.ISOLATED]
    view.run(4)
    assert view.states() == [SiteState.UP] * 4
    # Workers of the other sites died, but their members send messages: we are not cut off.
    workers_dead = replace(BAD, members_heard=2)
    view.run(4, b=workers_dead, c=workers_dead, d=workers_dead)  # no opinions of others: three times as long
    assert view.states() == [SiteState.UP, SiteState.LOST, SiteState.LOST, SiteState.LOST]


def test_a_site_that_answers_too_late_is_slow_and_flaps_are_counted():
    view = DetectorView().run(3, b=LATE)
    assert view.detector.state("b") is SiteState.SLOW
    view.run(3)
    assert view.detector.state("b") is SiteState.UP
    for _ in range(4):
        view.run(4, b=BAD).run(4)
        assert view.detector.state("b") is SiteState.RETURNING
        view.detector.return_completed(view.now, "b")
    assert view.detector.flaps(view.now, "b") == 3
    assert view.detector.flaps(view.now + FLAP_US, "b") == 0


def test_only_a_router_that_the_site_never_served_joins_a_coordinated_return():
    """Guards against one router whose wrong view of a site hid it from all routers that the site served."""
    view = DetectorView()
    assert (
        view.detector.join_return(0, "b").after is SiteState.RETURNING
        and view.detector.join_return(0, "b") is None
    )
    view = DetectorView().run(1)
    assert view.detector.join_return(view.now, "b") is None and view.detector.state("b") is SiteState.UP


def test_an_operator_drains_and_releases_a_site():
    view = DetectorView()
    assert (
        view.detector.drain(0, "b", "ops").reason == "by ops" and view.detector.drain(0, "b", "ops") is None
    )
    view.run(5, b=WindowObservation())
    assert view.detector.state("b") is SiteState.DRAINED
    assert view.detector.release(view.now, "b", "ops").after is SiteState.RETURNING
    assert view.detector.release(view.now, "b", "ops") is None


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(ANY, ANY, st.booleans()), max_size=120))
def test_only_listed_transitions_happen_and_a_site_that_serves_does_not_stay_lost(windows):
    view = DetectorView()
    for b, c, opinion in windows:
        view.detector.record_opinion(view.now, 5, "b", opinion)
        view.run(WINDOW_US / SECOND, b=b, c=c)
    for change in view.changes:
        assert change.after in TRANSITIONS[change.before] and change.reason
    view.run((GOOD_US + SUSPECT_US) / SECOND + 2)
    assert all(state in (SiteState.UP, SiteState.RETURNING) for state in view.states())


# --- the return -----------------------------------------------------------------------------------------

WARM = SliceObservation(calls=20, served=20)


def test_slices_are_added_one_by_one_after_the_last_one_has_served_for_its_time():
    coordinator, now, steps = RecoveryCoordinator(0, None, 7), 0, []
    while not coordinator.done and now < 60 * SECOND:
        now += SECOND // 2
        if reason := coordinator.step(now, WARM):
            steps.append((now, coordinator.slice, reason))
    assert [slice_ for _, slice_, _ in steps] == [1, 2, 3, 4, 5]
    gaps = [b[0] - a[0] for a, b in itertools.pairwise(steps)]
    assert all(gap >= SETTLE_US for gap in gaps) and coordinator.done
    assert coordinator.progress(5) == RecoveryProgress(5, 5, 7, done=True)
    workers = [f"w{n:02}" for n in range(16)]
    sizes = [len(visible_workers(workers, n)) for n in range(6)]
    assert sizes == [0, 2, 4, 8, 12, 16] and set(visible_workers(workers, 2)) <= set(
        visible_workers(workers, 3)
    )
    assert all(b <= 2 * a for a, b in itertools.pairwise(sizes[1:]))


@pytest.mark.parametrize(
    "bad",
    [SliceObservation(20, 10), SliceObservation(20, 20, workers_failed=1)],
    ids=["fails", "a worker failed"],
)
def test_at_the_first_sign_of_overload_a_slice_is_taken_back_and_waits(bad):
    coordinator, now = RecoveryCoordinator(0, None, 1), 0
    while coordinator.slice < 3:
        now += SECOND // 2
        coordinator.step(now, WARM)
    before = coordinator.settle_us()
    assert "slice 2" in coordinator.step(now + 1, bad) and coordinator.settle_us() == 2 * before
    for _ in range(int(HOLD_US / SECOND) - 1):
        now += SECOND
        assert not coordinator.step(now, WARM)
    idle = RecoveryCoordinator(now, coordinator.progress(0), 2)
    for _ in range(100):
        now += SECOND
        assert not idle.step(now, SliceObservation(0, 0))  # a slice without calls gives no evidence
    slow = RecoveryCoordinator(now, coordinator.progress(0), 2)
    for _ in range(100):
        now += SECOND
        assert not slow.step(now, SliceObservation(20, 20, relative_latency=3.0))


def test_a_successor_continues_the_return_and_operators_hold_hurry_and_call_it_off():
    successor = RecoveryCoordinator(100, RecoveryProgress(3, 0, 4, "none", 1), 9)
    assert successor.slice == 3 and successor.settle_us() == 2 * SETTLE_US
    assert not successor.step(101, WARM)  # the whole time again
    successor.set_command(OperatorCommand.HURRY)
    assert successor.settle_us() == SETTLE_US
    successor.set_command(OperatorCommand.HOLD)
    assert not successor.step(100 * SECOND, WARM)
    assert RecoveryCoordinator(0, successor.progress(0), 10).command is OperatorCommand.HOLD
    successor.set_command(OperatorCommand.OFF)
    assert "called off" in successor.step(101 * SECOND, WARM) and successor.slice == 0
    assert not successor.step(102 * SECOND, WARM)


def test_a_router_follows_recent_progress_of_the_newest_coordinator_one_slice_at_a_time():
    follower = RecoveryFollower()
    assert follower.step(None, 0) == 0 and follower.step(RecoveryProgress(4, 0, 5), None) == 0
    assert [follower.step(RecoveryProgress(4, 0, 5), 0) for _ in range(5)] == [1, 2, 3, 4, 4]
    assert follower.step(RecoveryProgress(5, 0, 5), FRESH_US + 1) == 4  # old progress adds no slice
    assert follower.step(RecoveryProgress(2, 0, 5), 0) == 2  # taken back at once
    assert follower.step(RecoveryProgress(5, 0, 3), 0) == 2  # of an older coordinator
    assert follower.step(RecoveryProgress(len(SLICES), 0, 6), 0) == 3


# --- load shedding -------------------------------------------------------------------------------------

ORDER = (ClassShare("low", "", 0.5, 0.4), ClassShare("mid", "", 0.3, 1.0), ClassShare("high", "", 0.2, 1.0))


def test_the_order_is_cut_from_its_start_and_all_routers_refuse_the_same_calls():
    shedding, other = Admission(ORDER), Admission(ORDER)
    assert shedding.admits("low", "", "k1")
    shedding.begin(0)
    other.begin(0)
    assert shedding.admitted_share("low", "") == pytest.approx(0.4) and shedding.admitted_share(
        "mid", ""
    ) == 1.0 == shedding.admitted_share("new", "")
    keys = [f"call-{n}" for n in range(4_000)]
    admitted = [key for key in keys if shedding.admits("low", "", key)]
    assert admitted == [key for key in keys if other.admits("low", "", key)]
    assert 0.37 < len(admitted) / len(keys) < 0.43
    waits = [shedding.retry_after_ms(key) for key in keys]
    assert min(waits) >= 2_000 and max(waits) < 4_000 and len(set(waits)) > 1_000
    shedding.end()
    assert all(shedding.admits("low", "", key) for key in keys)


def test_the_cut_deepens_while_admitted_calls_are_late_and_is_restored_slowly_to_the_plan():
    shedding, now, shares = Admission(ORDER), 0, []
    shedding.begin(now)
    for late in (True, True, True, False, False):
        for _ in range(MIN_CALLS):
            shedding.record_call(not late)
        now += STEP_INTERVAL_US
        assert shedding.step(now)
        shares.append([round(shedding.admitted_share(entry.request_class, ""), 2) for entry in ORDER])
    assert shares[0] == [0.1, 1.0, 1.0] and shares[1] == [0.0, 0.67, 1.0] and shares[2] == [0.0, 0.17, 1.0]
    assert shares[3] == [0.0, 0.27, 1.0]
    assert all(a <= b <= c for a, b, c in shares)  # no inversion at any step
    for _ in range(60):
        for _ in range(MIN_CALLS):
            shedding.record_call(True)
        now += STEP_INTERVAL_US
        shedding.step(now)
    assert shedding.cut == shedding.plan_cut


# --- explored ------------------------------------------------------------------------------------------


class NeverWaits(RecoveryCoordinator):
    """Treats every slice as settled at once."""

    def settle_us(self):
        return 0


class SkipsSlices(RecoveryFollower):
    """Shows all slices of the progress at once."""

    def step(self, progress, silent_us):
        super().step(progress, silent_us)
        self.visible_slices = progress.slice if progress.token >= self.token else self.visible_slices
        return self.visible_slices


class IgnoresTokens(RecoveryFollower):
    """Follows the last sender, whatever its token."""

    def step(self, progress, silent_us):
        self.visible_slices = min(progress.slice, self.visible_slices + 1)
        self.token = max(self.token, progress.token)
        return self.visible_slices


class NeverRetries(RecoveryCoordinator):
    """Adds no slice ever again once one was taken back."""

    def step(self, now, observation):
        reason = super().step(now, observation)
        if self._retry_at:
            self._retry_at = 1 << 60
        return reason


@pytest.mark.parametrize(
    "injected, breach",
    [
        ({"conductor": NeverWaits}, "slice 2 after"),
        ({"follower": SkipsSlices}, "at once"),
        ({"follower": IgnoresTokens}, "followed token 1 after 2"),
        ({"conductor": NeverRetries}, "no way out"),
    ],
)
def test_a_fault_injected_into_the_return_is_found_and_replayed(injected, breach):
    model = type("Faulty", (ReturnModel,), injected)(Scope())
    found = walk(model, 60_000)
    assert breach in found.breach, found
    assert replay(model, found.trace).breach == found.breach


def test_the_return_is_explored_exhaustively_in_a_small_scope():
    found = walk(ReturnModel(Scope(leases=1, jumps=3, good_windows=3)), 60_000)
    assert found.whole and not found.breach and found.states > 200, found
