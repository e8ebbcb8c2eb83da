"""Compares the timer wheel with the timer heap at 100,000 pending timers, in the usage of the engine.

Most timers are cancelled before they are due.
"""

from __future__ import annotations

import random
import time

from swiftwell.gateway.timer_wheel import TimerHeap, TimerWheel

PENDING, ROUNDS = 100_000, 200_000


def run(timers: TimerHeap | TimerWheel) -> float:
    """Return microseconds per timer: it is set, and then cancelled (nine in ten) or due."""
    rng = random.Random(1)
    now, handles = 0, []
    for number in range(PENDING):
        handles.append(timers.add(now + rng.randrange(2_500_000), number))
    started = time.perf_counter()
    for number in range(ROUNDS):
        now += 10
        handles.append(timers.add(now + 2_500_000, number))
        index = rng.randrange(len(handles))
        handles[index], handles[-1] = handles[-1], handles[index]
        handle = handles.pop()
        if number % 10:
            timers.cancel(handle)
        if number % 50 == 0:
            timers.due(now)
            timers.next_us()
    return (time.perf_counter() - started) / ROUNDS * 1e6


if __name__ == "__main__":
    heap, wheel = run(TimerHeap()), run(TimerWheel(0))
    print(
        f"pending {PENDING}: heap {heap:.2f} us, wheel {wheel:.2f} us a timer, wheel/heap {wheel / heap:.2f}"
    )
