"""What the engine knows of an order to load, or of a question, that has no answer yet.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Order:
    """An order that is out; `copies` 0 only asks.  Times are monotonic us; `due_us` 0 where none is told."""

    worker: str
    function: str
    copies: int
    sent_us: int
    due_us: int  # when it counts as unanswered
    timer: int = 0  # of that moment

    @property
    def asks(self) -> bool:
        """Whether it is a question."""
        return not self.copies
