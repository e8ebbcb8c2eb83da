"""Rules for a saved worker list: how far each entry is trusted, and when the file is replaced.  No I/O.

Entries that are days old are still better than none, but need caution.  Caution is cheap, as a worker can be
queried for its number of copies: an answer proves that a process is there, says whether it drains, and may
name its start time.  So no worker is offered on an old entry alone, and a wrong entry costs a query instead
of a call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

FRESH_AGE_US = 30_000_000  # longer than a restart; an entry this young is used at once and queried as well
RECENT_AGE_US = 3_600_000_000  # up to this age a process that answers is most likely the listed one
MAX_OPEN_QUERIES = 8  # of one gateway: some workers hang, and must not hold up the others
MAX_QUERIES_PER_S = 50.0  # that one worker may get from all gateways that start together
QUERY_TIMEOUT_US = 1_000_000  # a stalled worker needs longer than the network
MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 1_000_000, 60_000_000  # of a worker without an answer; doubles
UNLISTED_RETENTION_US = 30_000_000  # kept as draining: lists may drop a worker and name it again
START_TOLERANCE_US = 2_000_000  # between two reports of one start: the list's and the worker's clock differ


class Grade(IntEnum):
    """How far an entry is trusted, by its age."""

    FRESH = 0  # offered at once, as it was listed
    RECENT = 1  # offered once it has answered, as it was listed
    OLD = 2  # offered once it has answered, as just started unless its answer names an earlier start


def grade(age_us: int | None) -> Grade:
    """The grade of an entry of this age; None is an age that can't be known, as the clock was set back.

    >>> grade(5_000_000).name, grade(86_400_000_000).name, grade(None).name
    ('FRESH', 'OLD', 'OLD')
    """
    if age_us is None or age_us > RECENT_AGE_US:
        return Grade.OLD
    return Grade.FRESH if age_us <= FRESH_AGE_US else Grade.RECENT


@dataclass(frozen=True, slots=True)
class Offer:
    """How a worker that answered is offered to the router: whether at all, and with which start time."""

    use: bool
    started_us: int = 0


def offer(entry_grade: Grade, saved_start_us: int, reported_start_us: int, now_us: int) -> Offer:
    """How a worker that has answered is offered to the router, which treats a late start as a cold worker.

    The starts are monotonic us, 0 where unknown.  A process that reports another start than the list has
    replaced the listed one and is as old as it reports.  An old entry whose process reports no start may have
    been replaced an hour ago or just now; it is taken as just started, so that the router's limit for cold
    workers (rule 4) covers the uncertainty for the time of a warm-up.
    """
    if reported_start_us:
        same = bool(saved_start_us) and abs(reported_start_us - saved_start_us) < START_TOLERANCE_US
        return Offer(True, saved_start_us if same else reported_start_us)
    return Offer(True, now_us if entry_grade is Grade.OLD else saved_start_us)


def query_interval_us(gateways: int, workers: int) -> int:
    """Time between two queries of one gateway once `MAX_OPEN_QUERIES` have been sent.

    If all gateways start within a minute, each queries every worker; the interval keeps the queries at each
    worker to `MAX_QUERIES_PER_S`.
    """
    return int(gateways / MAX_QUERIES_PER_S / max(1, workers) * 1e6)


def retry_delay_us(failures: int) -> int:
    """Time until a worker that did not answer is queried again."""
    return min(MAX_RETRY_DELAY_US, MIN_RETRY_DELAY_US << min(failures, 6))


# Saving.

MIN_SAVE_INTERVAL_US = 5_000_000  # a list that changes all the time must not wear out the disk
REFRESH_INTERVAL_US = 60_000_000  # an unchanged list is saved for the times of the workers' answers
COLLAPSE_RATIO = 0.5  # of the saved workers; a smaller list looks like a fault of the list service
COLLAPSE_CONFIRM_US = 600_000_000  # for which a smaller list must hold before it replaces the saved one


def may_save(now_us: int, saved_us: int, saved: int, listed: int, since_us: int, changed: bool) -> bool:
    """Whether the current list may replace the saved one.

    `saved_us` is when the file was last written, `saved` the number of workers in it; `listed` is the number
    of workers now, which has been about the same since `since_us`.  An empty list is never saved: a gateway
    that restarted with it could not serve anybody.
    """
    if not listed or now_us - saved_us < (MIN_SAVE_INTERVAL_US if changed else REFRESH_INTERVAL_US):
        return False
    return listed >= COLLAPSE_RATIO * saved or now_us - since_us >= COLLAPSE_CONFIRM_US
