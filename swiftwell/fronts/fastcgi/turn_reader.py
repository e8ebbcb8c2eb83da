"""Reads one client's connection and processes what it read in turns of bounded work.

Bytes wait in three places: in the kernel, in a read that is complete, and in the session while a read is
being processed.  Whoever closes a connection, or judges what its client has left undone, asks for all of
them.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from typing import Any, Protocol

from tornado.iostream import StreamClosedError

from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.session import Event, Session
from swiftwell.fronts.host import Host
from swiftwell.sockets import TcpStream, unread_bytes
from swiftwell.work_scheduler import Participant, WorkScheduler

READ_BYTES = 4_096  # per read, which may hold 128 requests without parameters
READ_COST = 1  # units of `work_scheduler`
_END = object()  # of the events of a read


class ReaderOwner(Protocol):
    """The listener, as the reader of a connection sees it."""

    host: Host
    scheduler: WorkScheduler

    def unseen_s(self) -> float:
        """Upper bound of the time for which the event loop has not polled its sockets."""
        ...

    def account(self, connection: Any) -> None:
        """What the connection holds may have changed."""

    def connection_ended(self, connection: Any) -> None:
        """The connection has ended."""


class TurnReader(Participant):
    """The bytes of one connection, and the session that they belong to.

    `arrivals`: the clock of its bytes.
    """

    def __init__(self, listener: ReaderOwner, stream: TcpStream, arrivals: ArrivalClock) -> None:
        super().__init__()
        self._listener, self.stream, self._arrivals = listener, stream, arrivals
        self.session = Session()
        self.finishing = False  # no further request is taken
        # At most one read is complete and not passed to the session, and at most one is being processed.
        self._reading: asyncio.Future[bytes] | None = None
        self._reads = 0  # that were started
        self._events: Iterator[Event | None] | None = None  # of the read that is being processed
        self._newest_arrived_s = self._others_arrived_s = 0.0  # when its bytes had arrived, monotonic
        self._left_behind = False  # it may have left bytes in the kernel
        self._processed: asyncio.Future[None] | None = None  # set once that read is processed

    @property
    def has_work(self) -> bool:
        """Whether a read is to be processed."""
        return self._events is not None

    @property
    def _waits_for_bytes(self) -> bool:
        """Whether all that was there at the last read is processed."""
        return self._reading is not None and not self._reading.done()

    @property
    def _has_unprocessed(self) -> bool:
        """Whether there are bytes to process: of a read, or in the kernel, which will be read next."""
        return self._events is not None or not self._waits_for_bytes

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while True:
                if self._events is not None:
                    self._processed = asyncio.get_running_loop().create_future()
                    await self._processed
                if self._reading is None:
                    self._start_read()
                number = self._reads
                data = await self._reading  # type: ignore[misc]
                if self._reading is not None and self._reads == number:  # else it was processed already
                    self._reading = None
                    self.receive(data, len(data) >= READ_BYTES)
        except (OSError, StreamClosedError):
            pass
        finally:
            # The exception of the last read refers to this frame, so keeping it would form a reference cycle;
            # thousands of these per minute caused full garbage collections of 0.15 s, in which no response
            # was sent.
            self._reading = None
            self.stream.close()
            self._listener.connection_ended(self)

    def _start_read(self) -> None:
        """Begin to read; raises StreamClosedError if the connection has ended."""
        self._reads += 1
        self._reading = self.stream.read_bytes(READ_BYTES, partial=True)
        if self._waits_for_bytes:
            self._arrivals.mark_empty(time.monotonic())

    def receive(self, data: bytes, left_behind: bool) -> None:
        """Take bytes from the client, which are processed in turns.

        `left_behind`: the kernel may hold bytes that came after them.
        """
        self._begin_events(data, left_behind)
        self._listener.scheduler.submit(self)
        if self.is_queued:
            self._arrivals.mark_left_behind()
            self._listener.account(self)

    @property
    def _received_size(self) -> int:
        """Size of what was read and is not passed to the session yet."""
        return len(self._completed_read()) + self.stream.buffered_size

    def _begin_events(self, data: bytes, left_behind: bool) -> None:
        now_s = time.monotonic()
        newest_s, others_s = self._arrivals.ages_s(
            self.stream.socket, now_s, self._listener.unseen_s(), left_behind
        )
        self._newest_arrived_s, self._others_arrived_s = now_s - newest_s, now_s - others_s
        self._left_behind = left_behind
        # What comes once the connection closes is read only so that nothing is unread at the close.
        self._events = iter(()) if self.finishing else self.session.events(data)

    def take_turn(self, max_cost: int) -> int:
        """Process bytes that have arrived, for about this cost; returns what it was."""
        cost = self._process(max_cost)
        if self._events is not None:
            self._arrivals.mark_left_behind()
        return round(cost)

    def _longest_unprocessed_s(self) -> float:
        """For how long bytes may have waited at most that are not processed yet."""
        now_s = time.monotonic()
        since_empty_s = self._arrivals.since_empty_s(now_s)
        return since_empty_s if self._events is None else max(since_empty_s, now_s - self._others_arrived_s)

    def _process(self, max_cost: float) -> float:
        """Process bytes that have arrived, until this has cost so much; returns the cost."""
        cost, session = 0.0, self.session
        try:
            if self._events is None:
                self._begin_next_read()
            while cost < max_cost and self._events is not None:
                event = next(self._events, _END)
                if event is _END:
                    self._begin_next_read()
                    cost += READ_COST
                elif event is not None:
                    cost += self._handle(event)
                cost += session.cost
                session.cost = 0.0
                if self.stream.closed():
                    self._drop_events()
        except Exception as error:  # what follows in the stream can't be told
            self._listener.host.record_failure("client-records", error)
            self.session.broken = "records that could not be processed"
            self._drop_events()
        self._after_processing()
        return cost

    def _handle(self, event: Event) -> int:
        """Handle an event of the session; returns the cost."""
        raise NotImplementedError

    def _after_processing(self) -> None:
        """Called after a turn, and after work out of turn."""
        raise NotImplementedError

    def _begin_next_read(self) -> None:
        """Go on with bytes that have arrived since the last read, if there are any."""
        if data := self._read_at_once():
            self._begin_events(data, len(data) >= READ_BYTES)
        else:
            self._drop_events()

    def _drop_events(self) -> None:
        """Nothing is being processed any more."""
        self._events = None
        self._listener.scheduler.discard(self)
        if self._processed is not None and not self._processed.done():
            self._processed.set_result(None)

    def _read_at_once(self) -> bytes:
        """Further bytes that have arrived, if any.  If the client has left, the connection ends."""
        if self._reading is None:
            with contextlib.suppress(StreamClosedError):
                self._start_read()
        if self.stream.closed():
            self._listener.connection_ended(self)
        return self._take_completed_read()

    def _completed_read(self) -> bytes:
        """The bytes that `run` is about to get, if any."""
        reading = self._reading
        if reading is None or not reading.done() or reading.cancelled() or reading.exception():
            return b""
        return reading.result()

    def _take_completed_read(self) -> bytes:
        """Like `_completed_read`, and `run` does not get them."""
        if data := self._completed_read():
            self._reading = None
        return data

    def _unread_bytes(self) -> int:
        """Size of what the client has sent and is not passed to the session yet."""
        return self._received_size + unread_bytes(self.stream.socket)
