"""Preferred workers: shared by all routers, moved little by a change, found in a bounded time."""

import random
from dataclasses import replace
from statistics import fmean, pstdev

import pytest

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.choice import Router
from swiftwell.placement import CANDIDATES, SPLIT, Ring
from swiftwell.scale import hollow_router as hollow


def worker(name, state=io.State.READY):
    entry = io.WorkerEntry(name, state, "std", 1.0, 0, "", 0)
    return rs.Worker(entry, rs.stable_hash(name), 0, 1_000.0, 4.0)


def ring_of(workers):
    ring = Ring()
    for one in workers:
        ring.update([one])
    return ring


def keys(count):
    return [rs.stable_hash(f"fn/{number}") for number in range(count)]


@pytest.mark.parametrize("size", [1, 2, 12, 120, CANDIDATES])
def test_a_fleet_within_the_candidates_has_the_order_of_all_its_workers(size):
    workers = [worker(f"w{number}") for number in range(size)]
    ring = ring_of(workers)
    for key in keys(50):
        whole = sorted(workers, key=lambda one: (one.key ^ key) * SPLIT % 2**64)
        assert ring.preferred(key, 9) == whole[:9]


def test_routers_that_heard_of_workers_in_another_order_prefer_the_same():
    workers = [worker(f"w{number}") for number in range(2_000)]
    gone = worker("gone")
    one = Ring()
    one.update(workers)  # a whole list
    other = ring_of([gone, *random.Random(1).sample(workers, len(workers))])
    gone.entry = replace(gone.entry, state=io.State.GONE)
    other.update([gone])
    assert one.workers == other.workers
    assert all(one.preferred(key, 12) == other.preferred(key, 12) for key in keys(200))


@pytest.mark.parametrize("size", [120, 1_000, 4_000])
def test_a_worker_that_leaves_moves_few_homes(size):
    workers = [worker(f"w{number}") for number in range(size)]
    ring, some = ring_of(workers), keys(2_000)
    before = {key: set(ring.preferred(key, 4)) for key in some}
    left = workers[7]
    left.entry = replace(left.entry, state=io.State.DRAINING)
    ring.update([left])
    after = {key: set(ring.preferred(key, 4)) for key in some}
    assert not any(left in homes for homes in after.values())
    moved = sum(len(before[key] - after[key]) for key in some)
    assert moved <= 3 * 4 * len(some) / size + 12  # its own, and as many where a newcomer ranks before others


def test_a_longer_order_begins_with_nearly_the_same_workers():
    ring = ring_of(worker(f"w{number}") for number in range(4_000))
    kept = [len(set(ring.preferred(key, 64)) & set(ring.preferred(key, 128))) / 64 for key in keys(200)]
    assert fmean(kept) > 0.9


def test_each_worker_is_home_to_a_like_share_of_the_functions():
    ring = ring_of(worker(f"w{number}") for number in range(1_000))
    homes = dict.fromkeys(ring.workers, 0)
    for key in keys(50_000):
        for one in ring.preferred(key, 2):
            homes[one] += 1
    # By chance alone the spread would be 10 in 100; the ring adds about as much again.
    assert pstdev(homes.values()) / fmean(homes.values()) < 0.18


def test_a_worker_listed_again_takes_the_place_of_its_earlier_record():
    ring = ring_of([worker("a"), worker("b")])
    again = worker("a")
    ring.update([again])
    assert len(ring.workers) == 2 and any(one is again for one in ring.workers)


def test_a_whole_list_that_leaves_workers_out_takes_them_off_the_ring():
    workers = [worker(f"w{number}") for number in range(300)]
    ring = Ring()
    ring.update(workers)
    for one in workers[:200]:
        one.entry = replace(one.entry, state=io.State.GONE)
    ring.update(workers)
    assert ring.workers == sorted(workers[200:], key=lambda one: one.key)


def test_a_long_order_is_made_anew_once_a_period_and_never_sends_to_a_worker_that_has_gone():
    router = Router(hollow.settings(routers=1_400), seed=1)
    entries = [hollow.entry(number) for number in range(400)]
    now, number, made, sent_to_gone = 1_000_000, 0, [], []
    prefer = router.ring.preferred
    router.ring.preferred = lambda key, count: made.append(count) or prefer(key, count)

    def call():
        nonlocal now, number
        now, number = now + 5_000, number + 1
        request = io.Request(f"c-{number}", "lectura", "", "hot", 1_500_000, 0, 200.0, 2, 0, False)
        (send,) = (one for one in router.handle(now, [request]) if isinstance(one, io.Send))
        done = io.Outcome(send.id, 0, send.worker, io.Status.OK, 50_000, True, hollow.REUSED, ())
        router.handle(now, [done])
        return send.worker

    router.handle(now, [io.Members(io.ListKind.FULL, tuple(entries))])
    for _ in range(2_000):
        call()
    assert router.functions["hot"].homes > CANDIDATES
    made.clear()
    for gone in entries[:100]:  # over half a second
        left = replace(gone, state=io.State.GONE)
        router.handle(now, [io.Members(io.ListKind.DELTA, (left,))])
        sent_to_gone.append(call() == gone.worker)
    assert len(made) <= 2 and not any(sent_to_gone)
    now += 1_000_000
    call()
    assert not {one.worker for one in entries[:100]} & {
        one.entry.worker for one in router.functions["hot"].order
    }
