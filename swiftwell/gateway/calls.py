"""The engine's record of a call: its attempts, and the triggers that wait for its answer.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftwell import interface as io
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.interface import Effect

# An attempt that is given up may still arrive for this long; a link drops it by then.
MAX_ARRIVAL_DELAY_US = 100_000


@dataclass(slots=True, eq=False)
class Waiter:
    """A trigger that waits for a call's answer."""

    trigger: Trigger
    timer: int = 0
    deadline_us: int = 0  # its own deadline if that is before the call's, else 0


@dataclass(slots=True, eq=False)
class Attempt:
    """The engine's record of an attempt."""

    worker: str
    in_flight: bool = True  # no outcome yet
    ran: Ran = Ran.MAYBE
    timer: int = 0
    deadline_us: int = 0
    sent_us: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """A call, from its trigger until it has its final answer and no attempt in flight."""

    id: str
    trigger: Trigger
    request_class: io.RequestClass
    deadline_us: int
    claimed: bool  # it has claimed its key in the ledger
    waiters: list[Waiter] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    timer: int = 0  # answers the call if the module does not by its deadline
    pending_write: int = 0  # number of the write of its intent; 0 once that is durable or not needed
    settled: bool = False  # it has its final answer; kept while attempts are in flight
    streaming: bool = False  # the first byte of its answer has arrived
    may_have_run_before: bool = False  # an earlier call with its key may have run
    orphan: bool = False  # the engine answers it, not the module, once its attempts have ended
    failures_involved: int = 0  # failures of the module while it handled this call

    def ran(self) -> Ran:
        """Whether any attempt ran."""
        result = Ran.NEVER
        for attempt in self.attempts:
            if attempt.ran is Ran.YES:
                return Ran.YES
            if attempt.ran is Ran.MAYBE:
                result = Ran.MAYBE
        return result

    def send_before_us(self) -> int:
        """Time after which no further attempt is sent, as workers no longer drop repeats; 0 without one."""
        if self.request_class.effect is not Effect.KEYED:
            return 0
        first_sent = next((attempt for attempt in self.attempts if attempt.ran is not Ran.NEVER), None)
        return first_sent.sent_us + self.request_class.memory_us if first_sent else 0

    def give_up_by_us(self) -> int:
        """Time by which all attempts of a keyed call that is repeated must be given up; 0 without one.

        Workers drop repeats for a time from the first run on, which may be as early as the first attempt.  A
        later attempt may wait on its way, and so may the first one while a repeat runs.
        """
        send_before_us = self.send_before_us()
        return max(1, send_before_us - MAX_ARRIVAL_DELAY_US) if send_before_us else 0

    def has_attempts_in_flight(self) -> bool:
        return any(attempt.in_flight for attempt in self.attempts)
