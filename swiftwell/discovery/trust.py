"""How far a saved list is trusted: by its age, by each entry's, and by what workers have said since.
Decisions only.

Days old means caution, not confidence; days old is also better than nothing.  The caution is cheap because a
worker can be asked how many copies stand: an answer proves that a process is there, says whether it drains,
and may name its start.  So nothing is offered on an old word alone, and a wrong entry costs a question
instead of a call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

FRESH_US = (
    30_000_000  # us: a restart takes less; what was true so lately is used at once, and asked beside it
)
RECENT_US = 3_600_000_000  # us: within it a process that answers is most likely the one that was listed
AT_ONCE = 8  # questions of one gateway without an answer: some workers hang, and must not hold up the others
ASKS_PER_S = 50.0  # questions a second that one worker may get from all gateways that start together
ANSWER_US = 1_000_000  # us until a question counts as unanswered: a stalled worker needs longer than a LAN
FIRST_AGAIN_US, MOST_AGAIN_US = 1_000_000, 60_000_000  # us until a missing worker is asked again; doubles
LINGER_US = 30_000_000  # us for which a worker that left the list is kept, as draining: lists flap
SAME_START_US = 2_000_000  # us between two words of one start: the list's clock and the worker's may differ


class Grade(IntEnum):
    """How old a word of a worker is."""

    FRESH = 0  # offered at once, as it was listed
    RECENT = 1  # offered once it has answered, as it was listed
    OLD = 2  # offered once it has answered, as one that has just started unless it says that it has not


def grade(age_us: int | None) -> Grade:
    """The grade of a word so old; None is an age that can't be known, from a clock that was set back.

    >>> grade(5_000_000).name, grade(86_400_000_000).name, grade(None).name
    ('FRESH', 'OLD', 'OLD')
    """
    if age_us is None or age_us > RECENT_US:
        return Grade.OLD
    return Grade.FRESH if age_us <= FRESH_US else Grade.RECENT


@dataclass(frozen=True, slots=True)
class Offer:
    """How a worker that was asked may be used: at what start, where it is offered at all."""

    use: bool
    started_us: int = 0


def offer(how: Grade, saved_start: int, said_start: int, now_us: int) -> Offer:
    """How a worker that has answered is offered to the module, which treats a late start as a cold worker.

    `saved_start`, `said_start`: monotonic us, 0 where nothing is told.  A process that says another start
    than the list did has been replaced: it is as old as it says.  An old entry whose process says nothing
    may have been replaced an hour ago or just now, so it is taken as just started: rule 4 bears the doubt
    for as long as a warm-up.
    """
    if said_start:
        same = bool(saved_start) and abs(said_start - saved_start) < SAME_START_US
        return Offer(True, saved_start if same else said_start)
    return Offer(True, now_us if how is Grade.OLD else saved_start)


def gap_us(gateways: int, workers: int) -> int:
    """Time between two questions of one gateway once `AT_ONCE` are out.

    If all gateways start in one minute, each asks every worker: spread so that no worker is asked more than
    `ASKS_PER_S` times a second.
    """
    return int(gateways / ASKS_PER_S / max(1, workers) * 1e6)


def again_us(failures: int) -> int:
    """Time until a worker that did not answer is asked again."""
    return min(MOST_AGAIN_US, FIRST_AGAIN_US << min(failures, 6))


# Saving.

LEAST_GAP_US = 5_000_000  # us between two writings: a flapping list must not wear out the disk
REFRESH_US = 60_000_000  # us after which an unchanged list is written again, for when workers last answered
COLLAPSE = 0.5  # of the saved workers: a list with fewer looks like an accident of the service
COLLAPSE_US = 600_000_000  # us for which such a list must hold before it replaces the saved one


def may_save(now_us: int, saved_us: int, saved: int, listed: int, since_us: int, changed: bool) -> bool:
    """Whether the list in force may replace the saved one.

    `saved_us`: when it was last written, `saved`: workers in it; `listed`: workers now, `since_us`: since
    when there are so few.  An empty list never does: with it a restart could not serve anybody.
    """
    if not listed or now_us - saved_us < (LEAST_GAP_US if changed else REFRESH_US):
        return False
    return listed >= COLLAPSE * saved or now_us - since_us >= COLLAPSE_US
