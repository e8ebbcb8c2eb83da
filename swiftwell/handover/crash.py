"""Decides how much of the last saved snapshot may be used after the process was killed.  No I/O.

A snapshot is saved every few seconds.  After a kill nobody knows what became of the calls in flight, so no
call is restored.  What rules 3, 4 and 5 count (back-off from workers, sends to cold workers, load orders) is
kept whole, as forgetting it would allow too much.  Estimates of copies expire by the times that they carry.
"""

from __future__ import annotations

from msgspec.structs import replace

from swiftwell.handover.snapshot import RouterSnapshot, WorkerSnapshot

WRITE_INTERVAL_US = 3_000_000
COPIES_MAX_AGE_US = 30_000_000  # beyond it, other loads may have evicted the copies
LATENCIES_MAX_AGE_US = 3_600_000_000  # beyond it, latencies and the differences between workers are outdated


def usable_part(
    snapshot: RouterSnapshot, age_us: int | None, same_boot: bool, shift_us: int = 0
) -> RouterSnapshot | None:
    """The part of a saved snapshot that a new process may use, or None for nothing.

    `age_us` is None if it can't be known.  The times in a snapshot are monotonic, so they mean nothing after
    a restart of the machine.  `shift_us` is how far the dead process's anchor of the wall clock was ahead of
    ours.  Worker starts are wall-clock times from the worker list: unless they are shifted by it, each worker
    looks like another process and its estimated copies would be dropped when the list names it.
    """
    if not same_boot or age_us is None or age_us < 0:
        return None
    copies_usable, latencies_usable = age_us <= COPIES_MAX_AGE_US, age_us <= LATENCIES_MAX_AGE_US
    workers = [
        _usable_worker(worker, copies_usable, latencies_usable, shift_us) for worker in snapshot.workers
    ]
    if not latencies_usable:
        return replace(_always_usable(snapshot), workers=workers)
    return replace(
        _always_usable(snapshot),
        workers=workers,
        mean_latency_us=snapshot.mean_latency_us,
        expected_latency=snapshot.expected_latency,
        kind_relative_latency=snapshot.kind_relative_latency,
        median_relative_latency=snapshot.median_relative_latency,
        expected_held=snapshot.expected_held,
    )


def _always_usable(snapshot: RouterSnapshot) -> RouterSnapshot:
    """What is kept at any age: the windows of the load rate limit (rule 5), and the retry tokens that were
    left, at most half of a full bucket."""
    return RouterSnapshot(
        recent_arrivals=snapshot.recent_arrivals,
        recent_orders=snapshot.recent_orders,
        retry_tokens=min(snapshot.retry_tokens, RouterSnapshot().retry_tokens / 2),
        now=snapshot.now,
    )


def _usable_worker(
    worker: WorkerSnapshot, copies_usable: bool, latencies_usable: bool, shift_us: int
) -> WorkerSnapshot:
    """A worker without calls, marked as stopping until a list or the worker itself has confirmed it."""
    usable = WorkerSnapshot(
        worker.worker,
        "Stopping",
        worker.kind,
        worker.weight,
        worker.started_us + shift_us if worker.started_us else 0,
        worker.zone,
        worker.cell,
        recent_sends=worker.recent_sends,
        backoff_until=worker.backoff_until,
        failures=worker.failures,
        warm_at=worker.warm_at + shift_us if worker.warm_at else 0,
    )
    if copies_usable:
        usable = replace(
            usable,
            copies=worker.copies,
            load_backoff=worker.load_backoff,
            rejections=worker.rejections,
            full_until=worker.full_until,
        )
    if latencies_usable:
        usable = replace(
            usable,
            concurrency_limit=worker.concurrency_limit,
            relative_latency=worker.relative_latency,
            relative_latency_at=worker.relative_latency_at,
        )
    return usable
