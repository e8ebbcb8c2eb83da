"""The engine's record of a load order, or of a query, that has no answer yet.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Order:
    """A load order in flight; with `copies` 0 it is a query.  Times are monotonic us; `due_us` 0: no time
    limit."""

    worker: str
    function: str
    copies: int
    sent_us: int
    due_us: int  # when it counts as unanswered
    timer: int = 0  # for `due_us`

    @property
    def is_query(self) -> bool:
        """Whether it only queries how many copies stand."""
        return not self.copies
