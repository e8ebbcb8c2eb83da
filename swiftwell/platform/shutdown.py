"""Schedule of a shutdown: what happens when after SIGTERM, so that every call is answered before SIGKILL.

No I/O and no clock.  The platform sends SIGKILL no earlier than the longest deadline (counted as 3 s at most)
plus 0.7 s after SIGTERM.  Until then requests may come on open connections, and each that came within 0.7 s
has its whole deadline.  With short deadlines all the time left is the longest deadline, so each step takes a
fraction of it.
"""

from __future__ import annotations

from dataclasses import dataclass

LAST_REQUEST_S = 0.7  # after SIGTERM; requests that come by then have their whole deadline
MAX_DEADLINE_S = 3.0  # the longest deadline that the platform allows for
REFUSE_S, REFUSE_FRACTION = 0.05, 1 / 4  # after `LAST_REQUEST_S`, for requests that are delayed on their way
ANSWER_S, ANSWER_FRACTION = 0.25, 1 / 2  # before SIGKILL, for the network and slow clients
CLOSE_S, CLOSE_FRACTION = 0.1, 1 / 4  # before SIGKILL
EXIT_S, EXIT_FRACTION = 0.05, 1 / 8  # before SIGKILL


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times in seconds after SIGTERM.

    `refuse_s`: from then on requests are refused, and each connection is closed as soon as no answer is due
    on it; `answer_s`: every call is answered by then, with what is known of it; `close_s`: closing of all
    connections begins; `exit_s`: the process exits, whatever is left.
    """

    refuse_s: float
    answer_s: float
    close_s: float
    exit_s: float

    @staticmethod
    def of(longest_deadline_s: float) -> ShutdownSchedule:
        """The schedule of a deployment with this longest deadline."""
        available_s = min(longest_deadline_s, MAX_DEADLINE_S)
        kill_s = LAST_REQUEST_S + available_s
        return ShutdownSchedule(
            refuse_s=LAST_REQUEST_S + min(REFUSE_S, available_s * REFUSE_FRACTION),
            answer_s=kill_s - min(ANSWER_S, available_s * ANSWER_FRACTION),
            close_s=kill_s - min(CLOSE_S, available_s * CLOSE_FRACTION),
            exit_s=kill_s - min(EXIT_S, available_s * EXIT_FRACTION),
        )
