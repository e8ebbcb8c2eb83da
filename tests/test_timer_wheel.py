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


def test_cancelled_timers_do_not_pile_up_in_the_heap():
    heap = TimerHeap()
    for number in range(10_000):
        heap.cancel(heap.add(1_000_000 + number, number))
    assert len(heap._heap) < 200
