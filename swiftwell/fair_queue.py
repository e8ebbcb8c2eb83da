"""Start-time fair queueing: who goes next among flows that want more work than can be done.  No I/O.

Every flow has a finish tag: what it has been charged so far, in virtual time.  A flow that asks for a turn
gets a start tag, the larger of the virtual time and its finish tag; the smallest start tag goes first and
sets the virtual time.  So a flow that used little goes before those that used much, whatever the number and
size of its turns, and each is served once before another one is served twice for the same work.  Source:
Goyal, Vin and Cheng, "Start-time Fair Queuing" (1996).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Generic, TypeVar


class Flow:
    """The place of one flow in a queue; subclasses are what is queued."""

    __slots__ = ("finish_tag", "is_queued", "start_tag")

    def __init__(self) -> None:
        self.start_tag = self.finish_tag = 0.0
        self.is_queued = False


AnyFlow = TypeVar("AnyFlow", bound=Flow)


class FairQueue(Generic[AnyFlow]):
    """Flows that wait for a turn.

    A flow that has never been charged starts at the virtual time, before flows that have used their share.
    Charge it with `enter` for what its arrival costs: with a positive cost the virtual time advances however
    fast flows come and go, so that nobody is passed over for ever.

    >>> queue, busy, light = FairQueue(), Flow(), Flow()
    >>> queue.push(busy), queue.pop() is busy, queue.charge(busy, 5), queue.push(busy), queue.push(light)
    (None, True, None, None, None)
    >>> queue.pop() is light
    True
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._heap: list[tuple[float, float, int, AnyFlow]] = []  # start tag, finish tag, order of arrival
        self._sequence = 0
        self._queued = 0

    def __len__(self) -> int:
        return self._queued

    def __iter__(self) -> Iterator[AnyFlow]:
        return (flow for *_, flow in self._heap if flow.is_queued)

    def enter(self, flow: AnyFlow, cost: float) -> None:
        """A new flow, whose arrival cost so much."""
        flow.finish_tag = self.virtual_time + cost

    def push(self, flow: AnyFlow) -> None:
        """Queue a flow; no effect if it is queued already."""
        if flow.is_queued:
            return
        flow.is_queued = True
        self._queued += 1
        self._sequence += 1
        flow.start_tag = max(self.virtual_time, flow.finish_tag)
        # Of equal start tags, the flow that used less goes first.
        heapq.heappush(self._heap, (flow.start_tag, flow.finish_tag, self._sequence, flow))

    def serve(self, flow: AnyFlow) -> None:
        """Give a flow its turn at once, as none is queued."""
        flow.start_tag = max(self.virtual_time, flow.finish_tag)
        self.virtual_time = flow.start_tag

    def discard(self, flow: AnyFlow) -> None:
        """Take a flow out of the queue, if it is there."""
        if flow.is_queued:
            flow.is_queued = False
            self._queued -= 1

    def pop(self) -> AnyFlow | None:
        """Take the next flow out of the queue; None if none is queued."""
        while self._heap:
            start_tag, _, _, flow = heapq.heappop(self._heap)
            # An entry is stale if its flow was discarded, or was queued again after that.
            if flow.is_queued and flow.start_tag == start_tag:
                flow.is_queued = False
                self._queued -= 1
                self.virtual_time = max(self.virtual_time, start_tag)
                return flow
        return None

    def charge(self, flow: AnyFlow, cost: float) -> None:
        """A flow has used so much, in its turn or out of turn."""
        flow.finish_tag = max(self.virtual_time, flow.finish_tag) + cost
