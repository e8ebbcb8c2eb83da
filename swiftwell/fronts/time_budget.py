"""The time that a trigger has left, from what its publisher states, despite clock skew.  No I/O.

Publishers state a timeout (`timeout-ms`) or a deadline by their own clock (`deadline-ms`), and may state when
they sent the message (`sent-ms`, by their clock too).  The transit time is `arrival - sent - skew`.  The skew
is estimated for each publisher as the smallest recent difference, as a message can be late but never early.

All times here are wall-clock milliseconds.  Our own is anchored at the start of the process and advances with
the monotonic clock, so that a step of our wall clock has no effect.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_SKEW_MS = 2_000  # first estimate through a broker: NTP clocks are well within, any more is delay
STEP_MS = 30_000  # a difference that moves this far is a clock that was set, or a message long queued
SAME_CLOCK_MS = 1_000  # differences this close show the same clock
STEP_CONFIRMATIONS = 3  # agreeing messages through a broker that show a step: queued messages differ
BUCKET_MS = 300_000  # the minimum is forgotten after one to two buckets, as clocks drift
MAX_PUBLISHERS = 10_000  # remembered, least recently used are dropped


@dataclass(slots=True)
class _Clock:
    minimum: float  # smallest difference in this bucket, ms
    previous_minimum: float  # in the bucket before
    bucket_start: float
    outlier: float = 0.0  # the latest difference of more than STEP_MS from the minimum
    outlier_count: int = 0  # agreeing outliers in a row


class ClockSkew:
    """Estimates the clock skew of publishers."""

    def __init__(self) -> None:
        self._clocks: OrderedDict[str, _Clock] = OrderedDict()

    def __len__(self) -> int:
        return len(self._clocks)

    def transit_ms(
        self, publisher: str, sent_ms: float, now_ms: float, direct: bool, fresh: bool = True
    ) -> float:
        """The transit time of a message.

        `direct`: it came over the publisher's own connection, so that an outlier is due to its clock and not
        to a queue.  `fresh`: no recent message can have waited for us at the broker.  A message that may have
        waited only shows that a clock is further ahead: a gateway that starts with a full queue would take
        the waiting time for skew, and answer all of it late.  The skew of an unknown clock is then taken as
        zero.
        """
        difference = now_ms - sent_ms
        clock = self._clocks.get(publisher)
        if not (fresh or direct):
            if clock is None:
                return max(0.0, difference)
            if difference < clock.minimum:
                self._update(clock, difference, now_ms, direct)
            return max(0.0, difference - min(clock.minimum, clock.previous_minimum))
        if clock is None:
            # The first message.  Through a broker, a difference beyond MAX_SKEW_MS is queueing: else a
            # trigger that waited there for a minute would run a minute after its publisher left.
            minimum = difference if direct else min(difference, MAX_SKEW_MS)
            clock = self._clocks[publisher] = _Clock(minimum, minimum, now_ms)
            if len(self._clocks) > MAX_PUBLISHERS:
                self._clocks.popitem(last=False)
        else:
            self._clocks.move_to_end(publisher)
            self._update(clock, difference, now_ms, direct)
        return max(0.0, difference - min(clock.minimum, clock.previous_minimum))

    def _update(self, clock: _Clock, difference: float, now_ms: float, direct: bool) -> None:
        if now_ms - clock.bucket_start > BUCKET_MS:
            clock.previous_minimum, clock.bucket_start = clock.minimum, now_ms
            clock.minimum = (
                difference if abs(difference - clock.previous_minimum) < STEP_MS else clock.previous_minimum
            )
        if abs(difference - min(clock.minimum, clock.previous_minimum)) < STEP_MS:
            clock.outlier_count = 0
            clock.minimum = min(clock.minimum, difference)
            return
        clock.outlier_count = (
            clock.outlier_count + 1
            if clock.outlier_count and abs(difference - clock.outlier) < SAME_CLOCK_MS
            else 1
        )
        clock.outlier = difference
        if direct or difference < clock.minimum or clock.outlier_count >= STEP_CONFIRMATIONS:
            clock.minimum = clock.previous_minimum = difference
            clock.bucket_start, clock.outlier_count = now_ms, 0


@dataclass(frozen=True, slots=True)
class TimeFields:
    """The time fields of a message, in ms; None if absent."""

    timeout_ms: float | None = None
    deadline_ms: float | None = None
    sent_ms: float | None = None
    expiry_ms: float | None = None  # rest of the broker's message expiry; independent of clocks


def left_us(
    fields: TimeFields,
    max_ms: float,
    publisher: str,
    now_ms: float,
    direct: bool,
    skew: ClockSkew,
    fresh: bool = True,
) -> int:
    """The time until the publisher gives up, in whole microseconds.

    `max_ms`: the deadline of the class, which is the limit, and the default without time fields.
    """
    left_ms = max_ms if fields.timeout_ms is None else fields.timeout_ms
    if fields.sent_ms is not None:
        if fields.deadline_ms is not None:
            left_ms = min(left_ms, fields.deadline_ms - fields.sent_ms)
        left_ms -= skew.transit_ms(publisher, fields.sent_ms, now_ms, direct, fresh)
    elif fields.deadline_ms is not None:
        left_ms = min(left_ms, fields.deadline_ms - now_ms)  # taken literally, as the skew is unknown
    if fields.expiry_ms is not None:
        left_ms = min(left_ms, fields.expiry_ms)
    return max(0, int(min(left_ms, max_ms) * 1_000))
