"""The timer wheel returns the same timers as the heap."""

from hypothesis import given
from hypothesis import strategies as st

from swiftwell.gateway.timer_wheel import SLOTS, TICK_US, TimerHeap, TimerWheel

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 3 * SLOTS * TICK_US)),
        st.tuples(st.just("cancel"), st.integers(0, 30)),
        st.tuples(st.just("advance"), st.integers(0, 2 * SLOTS * TICK_US)),
    ),
    max_size=60,
)


@given(STEPS)
def test_wheel_and_heap_agree_to_a_tick(steps):
    wheel, heap, now, count = TimerWheel(0), TimerHeap(), 0, 0
    numbers = []
    for action, value in steps:
        if action == "add":
            count += 1
            due = -(-(now + value) // TICK_US) * TICK_US  # rounded up to the wheel's tick
            numbers.append((wheel.add(now + value, count), heap.add(due, count)))
        elif action == "cancel" and value < len(numbers):
            wheel.cancel(numbers[value][0])
            heap.cancel(numbers[value][1])
        elif action == "advance":
            now += value
            assert wheel.due(now) == heap.due(now // TICK_US * TICK_US)
        assert len(wheel) == len(heap)
        early = wheel.next_us()
        exact = heap.next_us()
        assert (early is None) == (exact is None)
        if exact is not None:
            assert early <= max(exact, now + TICK_US)
    assert wheel.due(now + 4 * SLOTS * TICK_US) == heap.due(now + 4 * SLOTS * TICK_US)


@given(st.lists(st.integers(0, 5 * TICK_US), max_size=40), st.integers(1, 7), st.sets(st.integers(0, 39)))
def test_timers_that_are_due_together_come_in_order_some_at_a_time(delays, limit, cancelled):
    wheel, heap = TimerWheel(0), TimerHeap()
    numbers = [(wheel.add(delay, n), heap.add(-(-delay // TICK_US), n)) for n, delay in enumerate(delays)]
    now, returned, batch = 10 * TICK_US, wheel.due(10 * TICK_US, limit), [0]
    for n in cancelled & set(range(len(delays))) - set(returned):
        wheel.cancel(numbers[n][0])
        heap.cancel(numbers[n][1])
    while batch:
        assert not len(wheel) or wheel.next_us() <= now
        batch = wheel.due(now, limit)
        assert len(batch) <= limit
        returned += batch
    assert returned == heap.due(10) and not len(wheel)


def test_cancelled_timers_do_not_pile_up_in_the_heap():
    heap = TimerHeap()
    for number in range(10_000):
        heap.cancel(heap.add(1_000_000 + number, number))
    assert len(heap._heap) < 200
