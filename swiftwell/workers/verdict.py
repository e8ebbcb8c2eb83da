"""What a worker's answer proves about an attempt, for any protocol.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of an attempt, with what the worker reports of its load.

    `copy_state` says how the function's copy stood: 0 unknown, 1 warm, 2 loaded for this call, 3 loaded by
    another call that this one waited for, 4 its load failed.  `worker_calls_held` is -1 where the worker
    reports none.
    """

    status: Status
    ran: Ran
    copy_state: int = 0
    function_calls_waiting: int = 0
    worker_calls_held: float = -1.0
    draining: bool = False
    started_ms: float = 0.0  # the start that the worker reports, ms since 1970; 0 for none
