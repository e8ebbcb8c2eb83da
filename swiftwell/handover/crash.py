"""How much of the last written books may be believed after a kill.  A decision, no I/O.

Books are written every few seconds.  After a kill nobody knows what the calls in flight did, so none is
carried; what rules 3, 4 and 5 count is kept whole, as forgetting would allow too much; beliefs fade by the
times that they carry.
"""

from __future__ import annotations

from msgspec.structs import replace

from swiftwell.handover.snapshot import RouterSnapshot, WorkerSnapshot

WRITE_INTERVAL_US = 3_000_000  # us between two writings
COPIES_MAX_AGE_US = (
    30_000_000  # us: older books say nothing of warm copies, which others may have pushed out since
)
LATENCIES_MAX_AGE_US = (
    3_600_000_000  # us: older books say nothing of how long calls take or how workers differ
)


def usable_part(
    books: RouterSnapshot, age_us: int | None, same_boot: bool, shift_us: int = 0
) -> RouterSnapshot | None:
    """The part of written books that a new start takes; None for nothing.

    `age_us` None: it can't be known.  The books' times are steady ones: after a restart of the machine they
    mean nothing.  `shift_us`: by so much the dead process's anchor of the wall clock was ahead of ours.
    Workers' starts are wall times told by the list: unless they are moved by it, each looks like another
    process's, and everything believed of its copies would be dropped when the list names it.
    """
    if not same_boot or age_us is None or age_us < 0:
        return None
    fresh, usual = age_us <= COPIES_MAX_AGE_US, age_us <= LATENCIES_MAX_AGE_US
    workers = [_worker(one, fresh, usual, shift_us) for one in books.workers]
    if not usual:
        return replace(_empty(books), workers=workers)
    return replace(
        _empty(books),
        workers=workers,
        latency=books.latency,
        usual=books.usual,
        kind_pace=books.kind_pace,
        median=books.median,
        usual_held=books.usual_held,
    )


def _empty(books: RouterSnapshot) -> RouterSnapshot:
    """What is kept in any case: the windows of rule 5, and no more retries than are left."""
    return RouterSnapshot(
        taken=books.taken,
        orders=books.orders,
        retries=min(books.retries, RouterSnapshot().retries / 2),
        now=books.now,
    )


def _worker(one: WorkerSnapshot, fresh: bool, usual: bool, shift_us: int) -> WorkerSnapshot:
    """A worker's books without calls; not offered until a list or the worker itself has named it."""
    kept = WorkerSnapshot(
        one.worker,
        "Stopping",
        one.kind,
        one.weight,
        one.started_us + shift_us if one.started_us else 0,
        one.zone,
        one.cell,
        sends=one.sends,
        rest_until=one.rest_until,
        failures=one.failures,
        warm_at=one.warm_at + shift_us if one.warm_at else 0,
    )
    if fresh:
        kept = replace(kept, copies=one.copies, shut=one.shut, refused=one.refused, full_until=one.full_until)
    if usual:
        kept = replace(kept, cap=one.cap, pace=one.pace, pace_at=one.pace_at)
    return kept
