"""How much time a trigger has left: what its publisher says, against clocks that differ.  Decisions only,
no I/O.

Publishers state a patience (`timeout-ms`), or a moment by their own clock (`deadline-ms`), and may say when
they sent
(`sent-ms`, their clock again).  What went by on the way is `arrival - sent - skew`; the skew is learnt for
each
publisher as the least difference seen of late, as a message can be late but never early.
All times here are wall-clock milliseconds; ours is anchored at the process's start and moves with its steady
clock, so that a step of our own clock changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_SKEW_MS = (
    2_000  # of a publisher heard through a broker: clocks kept by NTP stay far within; more is delay
)
STEP_MS = 30_000  # a difference that moves so far is a clock that was set, or a message long queued
AGREE_MS = 1_000  # differences so close tell the same clock
STEPS = 3  # messages through a broker that must agree before a clock counts as set: queued ones differ
BUCKET_MS = 300_000  # the least difference is forgotten after one to two of these: clocks drift
MOST = 10_000  # publishers remembered


@dataclass(slots=True)
class _Clock:
    base: float  # ms: least difference in this bucket
    before: float  # and in the one before
    since: float  # when this bucket began
    odd: float = 0.0  # a difference far off that was seen of late
    odds: int = 0  # so many times in a row


class Skew:
    """What is known of publishers' clocks."""

    def __init__(self) -> None:
        self._clocks: OrderedDict[str, _Clock] = OrderedDict()

    def __len__(self) -> int:
        return len(self._clocks)

    def transit_ms(
        self, publisher: str, sent_ms: float, now_ms: float, direct: bool, fresh: bool = True
    ) -> float:
        """How long a message was under way.

        `direct`: it came over the publisher's own connection, so that an odd difference is its clock's and
        not a queue's.  `fresh`: no message can have waited at the broker for us of late.  One that may have
        waited teaches nothing but that a clock is further ahead: a gateway that starts before a full queue
        would take the wait for skew, and answer all of it late.  Unknown clocks count as set right then.
        """
        difference = now_ms - sent_ms
        clock = self._clocks.get(publisher)
        if not (fresh or direct):
            if clock is None:
                return max(0.0, difference)
            if difference < clock.base:
                self._learn(clock, difference, now_ms, direct)
            return max(0.0, difference - min(clock.base, clock.before))
        if clock is None:
            # Nothing is known yet.  Through a broker, what exceeds the usual skew was a queue: else a trigger
            # that waited there for a minute would be run a minute after its publisher left.
            base = difference if direct else min(difference, MAX_SKEW_MS)
            clock = self._clocks[publisher] = _Clock(base, base, now_ms)
            if len(self._clocks) > MOST:
                self._clocks.popitem(last=False)
        else:
            self._clocks.move_to_end(publisher)
            self._learn(clock, difference, now_ms, direct)
        return max(0.0, difference - min(clock.base, clock.before))

    def _learn(self, clock: _Clock, difference: float, now_ms: float, direct: bool) -> None:
        if now_ms - clock.since > BUCKET_MS:
            clock.before, clock.since = clock.base, now_ms
            clock.base = difference if abs(difference - clock.before) < STEP_MS else clock.before
        if abs(difference - min(clock.base, clock.before)) < STEP_MS:
            clock.odds = 0
            clock.base = min(clock.base, difference)
            return
        clock.odds = clock.odds + 1 if clock.odds and abs(difference - clock.odd) < AGREE_MS else 1
        clock.odd = difference
        if direct or difference < clock.base or clock.odds >= STEPS:
            clock.base = clock.before = difference
            clock.since, clock.odds = now_ms, 0


@dataclass(frozen=True, slots=True)
class Told:
    """What a message says of its time, in ms; None where it says nothing."""

    timeout_ms: float | None = None
    deadline_ms: float | None = None
    sent_ms: float | None = None
    expiry_ms: float | None = None  # what is left of a broker's message expiry: needs no clock


def left_us(
    told: Told, most_ms: float, publisher: str, now_ms: float, direct: bool, skew: Skew, fresh: bool = True
) -> int:
    """The time until the publisher gives up, in whole microseconds; never more than its class's deadline.

    `most_ms`: the deadline of the class, also where nothing is told.
    """
    patience = most_ms if told.timeout_ms is None else told.timeout_ms
    if told.sent_ms is not None:
        if told.deadline_ms is not None:
            patience = min(patience, told.deadline_ms - told.sent_ms)
        patience -= skew.transit_ms(publisher, told.sent_ms, now_ms, direct, fresh)
    elif told.deadline_ms is not None:
        patience = min(patience, told.deadline_ms - now_ms)  # at face value: nothing tells the skew
    if told.expiry_ms is not None:
        patience = min(patience, told.expiry_ms)
    return max(0, int(min(patience, most_ms) * 1_000))
