"""Timer wheel against timer heap at 100,000 pending timers, as the engine uses them: most are cancelled
before they are due.
"""

from __future__ import annotations

import random
import time

from swiftwell.gateway.timer_wheel import TimerHeap, TimerWheel

PENDING, ROUNDS = 100_000, 200_000


def run(timers: TimerHeap | TimerWheel) -> float:
    """Microseconds for one timer: set, and taken back (nine of ten) or come due."""
    chance = random.Random(1)
    now, live = 0, []
    for number in range(PENDING):
        live.append(timers.add(now + chance.randrange(2_500_000), number))
    began = time.perf_counter()
    for number in range(ROUNDS):
        now += 10
        live.append(timers.add(now + 2_500_000, number))
        at = chance.randrange(len(live))
        live[at], live[-1] = live[-1], live[at]
        one = live.pop()
        if number % 10:
            timers.cancel(one)
        if number % 50 == 0:
            timers.due(now)
            timers.next_us()
    return (time.perf_counter() - began) / ROUNDS * 1e6


if __name__ == "__main__":
    heap, wheel = run(TimerHeap()), run(TimerWheel(0))
    print(
        f"pending {PENDING}: heap {heap:.2f} us, wheel {wheel:.2f} us a timer, wheel/heap {wheel / heap:.2f}"
    )
