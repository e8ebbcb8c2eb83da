"""What the engine knows of a call: its attempts, and who waits for its answer.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftwell import interface as io
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.interface import Effect


@dataclass(slots=True, eq=False)
class Waiter:
    """One trigger that waits for a call's answer."""

    trigger: Trigger
    timer: int = 0
    until_us: int = 0  # when its own time ends, where that is before the call's; 0 where it is not


@dataclass(slots=True, eq=False)
class Attempt:
    """What the engine knows of one attempt."""

    worker: str
    out: bool = True
    ran: Ran = Ran.MAYBE
    timer: int = 0
    until_us: int = 0
    sent_us: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """A call from its trigger until nothing of it is outstanding."""

    id: str
    trigger: Trigger
    request_class: io.RequestClass
    deadline_us: int
    claimed: bool
    waiters: list[Waiter] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    timer: int = 0  # the guard of its deadline
    awaits: int = 0  # the number of the intent's write; 0 once the module may have the call
    settled: bool = False  # the final answer stands; kept while attempts are out
    streaming: bool = False  # its answer has begun
    doubted: bool = False  # an earlier call of its key may have run
    orphan: bool = False  # the module will not answer it: the engine does, when its attempts have ended
    blames: int = 0

    def ran(self) -> Ran:
        """What is known of the whole call."""
        worst = Ran.NEVER
        for attempt in self.attempts:
            if attempt.ran is Ran.YES:
                return Ran.YES
            if attempt.ran is Ran.MAYBE:
                worst = Ran.MAYBE
        return worst

    def send_by_us(self) -> int:
        """Until when a further attempt may go out: while repeats are dropped; 0 where there is no bound."""
        if self.request_class.effect is not Effect.KEYED:
            return 0
        bound = next((attempt for attempt in self.attempts if attempt.ran is not Ran.NEVER), None)
        return bound.sent_us + self.request_class.memory_us if bound else 0

    def out(self) -> bool:
        return any(attempt.out for attempt in self.attempts)
