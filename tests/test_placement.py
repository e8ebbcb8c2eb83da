"""Preferred workers: the same at all routers, changed little by a list update, found in bounded time."""

import random
from dataclasses import replace
from statistics import fmean, pstdev

import pytest

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.choice import Router
from swiftwell.placement import HASH_MULTIPLIER, MIN_RANKED, Ring
from swiftwell.scale import hollow_router as hollow


def worker(name, state=io.State.READY):
    entry = io.WorkerEntry(name, state, "std", 1.0, 0, "", 0)
    return rs.Worker(entry, rs.stable_hash(name), 0, 1_000.0, 4.0)


def ring_of(workers):
    ring = Ring()
    for added in workers:
        ring.update([added])
    return ring


def keys(count):
    return [rs.stable_hash(f"fn/{number}") for number in range(count)]


@pytest.mark.parametrize("size", [1, 2, 12, 120, MIN_RANKED])
def test_a_fleet_of_at_most_min_ranked_workers_is_ranked_whole(size):
    workers = [worker(f"w{number}") for number in range(size)]
    ring = ring_of(workers)
    for key in keys(50):
        ranked = sorted(workers, key=lambda known: (known.key ^ key) * HASH_MULTIPLIER % 2**64)
        assert ring.preferred(key, 9) == ranked[:9]


def test_routers_that_got_the_workers_in_another_order_prefer_the_same():
    workers = [worker(f"w{number}") for number in range(2_000)]
    gone = worker("gone")
    ring = Ring()
    ring.update(workers)  # a full list
    other = ring_of([gone, *random.Random(1).sample(workers, len(workers))])
    gone.entry = replace(gone.entry, state=io.State.GONE)
    other.update([gone])
    assert ring.workers == other.workers
    assert all(ring.preferred(key, 12) == other.preferred(key, 12) for key in keys(200))


@pytest.mark.parametrize("size", [120, 1_000, 4_000])
def test_a_worker_that_leaves_changes_few_preferred_workers(size):
    workers = [worker(f"w{number}") for number in range(size)]
    ring, functions = ring_of(workers), keys(2_000)
    before = {key: set(ring.preferred(key, 4)) for key in functions}
    left = workers[7]
    left.entry = replace(left.entry, state=io.State.DRAINING)
    ring.update([left])
    after = {key: set(ring.preferred(key, 4)) for key in functions}
    assert not any(left in preferred for preferred in after.values())
    changed = sum(len(before[key] - after[key]) for key in functions)
    # Those of the worker itself, and as many where a worker new to the segment ranks before others.
    assert changed <= 3 * 4 * len(functions) / size + 12


def test_a_longer_ranking_begins_with_nearly_the_same_workers():
    ring = ring_of(worker(f"w{number}") for number in range(4_000))
    kept = [len(set(ring.preferred(key, 64)) & set(ring.preferred(key, 128))) / 64 for key in keys(200)]
    assert fmean(kept) > 0.9


def test_each_worker_is_preferred_for_a_similar_share_of_the_functions():
    ring = ring_of(worker(f"w{number}") for number in range(1_000))
    counts = dict.fromkeys(ring.workers, 0)  # functions for which each worker is preferred
    for key in keys(50_000):
        for preferred in ring.preferred(key, 2):
            counts[preferred] += 1
    # By chance alone the standard deviation would be 10 % of the mean; the ring adds about as much again.
    assert pstdev(counts.values()) / fmean(counts.values()) < 0.18


def test_a_worker_listed_again_replaces_its_earlier_entry():
    ring = ring_of([worker("a"), worker("b")])
    again = worker("a")
    ring.update([again])
    assert len(ring.workers) == 2 and any(known is again for known in ring.workers)


def test_a_full_list_that_omits_workers_removes_them_from_the_ring():
    workers = [worker(f"w{number}") for number in range(300)]
    ring = Ring()
    ring.update(workers)
    for gone in workers[:200]:
        gone.entry = replace(gone.entry, state=io.State.GONE)
    ring.update(workers)
    assert ring.workers == sorted(workers[200:], key=lambda known: known.key)


def test_a_long_ranking_is_renewed_once_per_sweep_and_no_call_goes_to_a_worker_that_is_gone():
    router = Router(hollow.settings(routers=1_400), seed=1)
    entries = [hollow.entry(number) for number in range(400)]
    now, number, rankings, sent_to_gone = 1_000_000, 0, [], []
    preferred = router.ring.preferred
    router.ring.preferred = lambda key, count: rankings.append(count) or preferred(key, count)

    def call():
        nonlocal now, number
        now, number = now + 5_000, number + 1
        request = io.Request(f"c-{number}", "lectura", "", "hot", 1_500_000, 0, 200.0, 2, 0, False)
        (send,) = (action for action in router.handle(now, [request]) if isinstance(action, io.Send))
        outcome = io.Outcome(send.id, 0, send.worker, io.Status.OK, 50_000, True, hollow.REUSED, ())
        router.handle(now, [outcome])
        return send.worker

    router.handle(now, [io.Members(io.ListKind.FULL, tuple(entries))])
    for _ in range(2_000):
        call()
    assert router.functions["hot"].preferred_count > MIN_RANKED
    rankings.clear()
    for gone in entries[:100]:  # within half a second
        update = replace(gone, state=io.State.GONE)
        router.handle(now, [io.Members(io.ListKind.DELTA, (update,))])
        sent_to_gone.append(call() == gone.worker)
    assert len(rankings) <= 2 and not any(sent_to_gone)
    now += 1_000_000
    call()
    assert not {entry.worker for entry in entries[:100]} & {
        ranked.entry.worker for ranked in router.functions["hot"].ranked_workers
    }
