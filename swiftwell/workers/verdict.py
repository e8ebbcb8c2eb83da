"""What a worker's answer says of an attempt, whatever protocol it came over.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer says of an attempt."""

    status: Status
    ran: Ran
    found: int = 0
    crowd: int = 0
    held: float = -1.0
    draining: bool = False
    started_ms: float = 0.0  # the worker's own word of its start, ms since 1970
