"""Shares each iteration of the event loop fairly among connections whose bytes have to be processed.

What bytes cost is known only once they are processed: a read of 4,096 bytes holds a part of one body, or a
dozen requests.  So a connection does a bounded amount of work in a turn and reports its cost, turns are given
in the order of a fair queue, and an iteration ends its turns once they have cost `WORK_PER_ITERATION`.
Sockets, timers and what is not scheduled here are served in between.

Costs are in units of about the processor time of the cheapest request: a refusal without the gateway.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from swiftwell.fair_queue import FairQueue, Flow

WORK_PER_ITERATION = 40  # units: some 2 ms of a core; answers of workers wait for as long
WORK_PER_TURN = 5  # units; connections that are always busy wait for so much of each other one


class Participant(Flow):
    """A connection that shares the event loop with others."""

    def __init__(self) -> None:
        super().__init__()
        self.waits_since_s = 0.0  # monotonic

    @property
    def has_work(self) -> bool:
        """Whether it wants another turn."""
        raise NotImplementedError

    def take_turn(self, max_cost: int) -> int:
        """Do work of about this cost; returns what it was."""
        raise NotImplementedError


class WorkScheduler:
    """Gives turns to connections.

    `on_wait` gets the time of each turn, the seconds for which it was waited, and whether others wait still;
    `on_failure` the stage of a contained failure and its error.
    """

    def __init__(
        self,
        on_wait: Callable[[float, float, bool], None] = lambda now_s, waited_s, others_wait: None,
        on_failure: Callable[[str, Exception], None] = lambda stage, error: None,
    ) -> None:
        self._on_wait, self._on_failure = on_wait, on_failure
        self._queue: FairQueue[Participant] = FairQueue()
        self._current: Participant | None = None  # whose turn it is
        self._spent = 0  # in this iteration of the event loop
        self._iteration_scheduled = False
        self.turns = 0
        self._longest_wait_s = 0.0

    def __len__(self) -> int:
        """Number of connections that wait for a turn."""
        return len(self._queue)

    def enter(self, participant: Participant, cost: int) -> None:
        """A new connection, whose opening cost so much."""
        self._queue.enter(participant, cost)

    def submit(self, participant: Participant) -> None:
        """A connection has work; its turn comes at once if none waits and this iteration has room for it."""
        if participant.is_queued or participant is self._current:
            return
        if self._current is None and self._spent < WORK_PER_ITERATION and not len(self._queue):
            self._queue.serve(participant)
            participant.waits_since_s = time.monotonic()
            self._give_turn(participant)
        else:
            self._push(participant)
        if self._current is None:
            self._give_turns()

    def _push(self, participant: Participant) -> None:
        participant.waits_since_s = time.monotonic()
        self._queue.push(participant)

    def discard(self, participant: Participant) -> None:
        """A connection has no work any more."""
        self._queue.discard(participant)

    def charge_out_of_turn(self, participant: Participant, cost: int) -> None:
        """A connection did work out of turn: its next turns come later."""
        self._queue.charge(participant, cost)

    def take_longest_wait_s(self) -> float:
        """The longest wait for a turn since the last call, also of those that wait still."""
        longest_wait_s, self._longest_wait_s = self._longest_wait_s, 0.0
        now_s = time.monotonic()
        return max(longest_wait_s, *(now_s - participant.waits_since_s for participant in self._queue), 0.0)

    def _give_turns(self) -> None:
        while self._spent < WORK_PER_ITERATION and (participant := self._queue.pop()) is not None:
            self._give_turn(participant)
        if not self._iteration_scheduled:
            self._iteration_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _give_turn(self, participant: Participant) -> None:
        now_s, others_wait = time.monotonic(), len(self._queue) > 0
        waited_s = now_s - participant.waits_since_s
        self._longest_wait_s = max(self._longest_wait_s, waited_s)
        self.turns += 1
        self._on_wait(now_s, waited_s, others_wait)
        self._current, cost = participant, 1
        try:
            cost = participant.take_turn(WORK_PER_TURN if others_wait else WORK_PER_ITERATION - self._spent)
        except Exception as error:  # concerns this connection only
            self._on_failure("client-turn", error)
        finally:
            self._current = None
        self._spent += cost
        self._queue.charge(participant, cost)
        if participant.has_work:
            self._push(participant)

    def _begin_iteration(self) -> None:
        self._iteration_scheduled = False
        self._spent = 0
        if len(self._queue):
            self._give_turns()
