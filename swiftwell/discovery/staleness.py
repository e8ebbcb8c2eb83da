"""Tracks whether the worker list is current while its source may be unreachable.

No I/O; times are monotonic us.

By the protocol, a router is held responsible for a list update that it missed `STALE_AFTER_BREAK_US` after
its source broke the connection, and `STALE_AFTER_STOP_US` after the source stopped or moved: from then on the
list is stale.  The router can't know when the source broke or stopped, only that it was not before the last
moment at which the source showed that no update was missing.
"""

from __future__ import annotations

STALE_AFTER_BREAK_US = 2_000_000  # from a broken connection until missed updates count as delivered
STALE_AFTER_STOP_US = 4_000_000  # the same after the source stopped or changed its address
SOURCE_TIMEOUT_US = 1_500_000  # without a frame; the source promises one a second


class ListStaleness:
    """State of one list source.  At `started_us` this process began, with the list of its configuration."""

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.confirmed_us: int | None = None  # when the source last showed that no update was missing
        self._connection_seen_us = started_us  # when a connection to it was last seen open
        self._first_break_us: int | None = None  # lower bound of the first break since `confirmed_us`

    def confirm(self, at_us: int) -> None:
        """Records that the source showed that at this time no update was missing."""
        if self.confirmed_us is None or at_us > self.confirmed_us:
            self.confirmed_us = at_us
            self._first_break_us = None
        self.connection_seen(at_us)

    def connection_seen(self, at_us: int) -> None:
        """Records that a connection to the source was open at this time."""
        self._connection_seen_us = max(self._connection_seen_us, at_us)

    def connection_broken(self) -> None:
        """Records that the source ended a connection, or that none could be made."""
        if self._first_break_us is None:
            self._first_break_us = self._connection_seen_us

    def reason(self) -> str:
        """What happened to the source since it was last confirmed, for the log."""
        if self.confirmed_us is None:
            return "unconfirmed"
        return "silent" if self._first_break_us is None else "broken"

    def stale_from_us(self) -> int:
        """The earliest time from which a missed update may count as delivered.

        A source that was already unreachable when this process began may have been so for long, so a missed
        update then counts as delivered at once.
        """
        if self.confirmed_us is None:
            return self.started_us
        stale_from_us = self.confirmed_us + STALE_AFTER_STOP_US
        if self._first_break_us is not None:
            stale_from_us = min(stale_from_us, self._first_break_us + STALE_AFTER_BREAK_US)
        return stale_from_us

    def is_stale(self, now_us: int) -> bool:
        """Whether a missed update may count as delivered by now."""
        return now_us >= self.stale_from_us()

    def is_overdue(self, now_us: int) -> bool:
        """Whether the source has not confirmed the list for longer than its promised interval allows."""
        return now_us - (self.confirmed_us or self.started_us) > SOURCE_TIMEOUT_US

    def identity_confirmed_us(self) -> int:
        """Until when the process at each worker's address is taken for the one that the list names.

        A router that starts while the source is unreachable accepts the processes that it meets in its first
        `STALE_AFTER_BREAK_US` as the listed ones; otherwise it would serve next to nothing until every worker
        had warmed up.
        """
        return max(self.confirmed_us or 0, self.started_us + STALE_AFTER_BREAK_US)
