"""One connection of a front server, over its session.

A connection ends in three steps (`finish`): what was said goes out whole, our side is shut, and what still
comes is read and thrown away until the client closes too.  A plain close with bytes unread sends a reset,
which takes the last answer from a client that has not read it yet.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.fronts.fastcgi.session import Aborted, Session, Whole, head
from swiftwell.fronts.host import Host
from swiftwell.fronts.trigger import TOO_MANY, Answer, Kind, Trigger

READ_BYTES = 65_536  # bytes taken in at once: four of the largest bodies
MOST_UNSENT = 1 << 20  # bytes that wait for a client beyond which it does not read; one turn's answers on top
REFUSAL_STATUS = {TOO_MANY: 429}  # the status of a refusal by its reason; 503 for the others


class Owner(Protocol):
    """The listener, as a connection sees it."""

    host: Host
    contract: rq.Contract
    healthy: Callable[[], bool]
    draining: bool
    open_ids: set[str]
    rejections: Counter[str]

    def unseen_s(self) -> float:
        """For how long, at most, the loop may have looked at no socket."""
        ...

    def used(self, connection: Connection) -> None:
        """A request came on it, or an answer went out: it is the last to be evicted."""

    def dirty(self, connection: Connection) -> None:
        """Something is to be written at the end of the turn."""

    def finishing(self, connection: Connection) -> None:
        """It has begun to end."""

    def ended(self, connection: Connection) -> None:
        """It has ended."""

    def log(self, event: str, **fields: object) -> None:
        """A line for the log."""


@dataclass(frozen=True, slots=True)
class Ref:
    """What answering a trigger takes."""

    connection: tuple[Connection]
    number: int


class Connection:
    """One connection and its session.  `looked_s`: monotonic s at which it was last known to be empty."""

    def __init__(self, listener: Owner, stream: IOStream, number: int, looked_s: float) -> None:
        self._listener, self.stream, self.name = listener, stream, number
        self.session = Session()
        self._arrivals = ArrivalClock(looked_s)
        self.triggers: dict[int, Trigger] = {}
        self.sweeps = 0  # since it came, or since something of it last ended
        self._out: list[bytes] = []
        self._closing = False
        self.ending = False  # nothing more is taken from it
        self._reading: asyncio.Future[bytes] | None = None
        self._writing: asyncio.Future[None] | None = None

    @property
    def idle(self) -> bool:
        """Nothing of it is owed at any depth: half read, open, gathered, or in the stream's buffer.

        Every path that closes asks this.  By the session alone an answer that was gathered or half written
        went down with its connection, and so did a request that was read and not looked at yet.
        """
        return self.session.idle and not (self._has_read or self._out or self.stream.writing())

    @property
    def _has_read(self) -> bool:
        """Whether bytes, or an end, were read that were not looked at yet."""
        return self._reading is not None and self._reading.done()

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while True:
                self._reading = self.stream.read_bytes(READ_BYTES, partial=True)
                data = await self._reading
                self._reading = None
                if not self.ending:  # else read only so that nothing lies unread at the close
                    self.receive(data)
        except (OSError, StreamClosedError):
            pass
        finally:
            # Its exception refers to this frame: kept here it would be a cycle, and thousands of these in a
            # minute made full collections of 0.15 s, in which no answer went out.
            self._reading = None
            self.stream.close()
            self._listener.ended(self)

    def receive(self, data: bytes) -> None:
        """Take bytes of the client's."""
        newest, others = self._arrivals.ages_s(
            self.stream.socket, time.monotonic(), self._listener.unseen_s()
        )
        more = len(data) >= READ_BYTES  # the kernel may hold what came after these
        for event in self.session.events(data):
            if isinstance(event, Whole):
                self._whole(event, newest if event.newest and not more else others)
            elif isinstance(event, Aborted):
                self._aborted(event.number)
        self.sweeps = 0 if self.session.asked else self.sweeps
        if self.session.broken:
            self.finish()
        elif self.session.out:
            self.send(b"")

    def _whole(self, event: Whole, age_s: float) -> None:
        """A request that has come whole, and how long ago its last byte came."""
        listener, number = self._listener, event.number
        listener.used(self)
        at = rq.path(event.fields)
        if at == rq.HEALTH:
            self.answer(number, head(200 if listener.healthy() else 503))
            return
        try:
            trigger = rq.read(
                event.fields,
                event.body,
                listener.contract,
                f"{self.name}/{number}",
                Ref((self,), number),
                age_us=int(age_s * 1e6),
            )
            if trigger.key in listener.open_ids:
                raise rq.Turned(409, "Req-Id is open")
        except rq.Turned as error:
            listener.rejections[f"{error.status} {error}"] += 1
            self.answer(number, head(error.status))
            return
        listener.open_ids.add(trigger.key)
        self.triggers[number] = trigger
        listener.host.submit(trigger)

    def _aborted(self, number: int) -> None:
        """The client gave up: no answer is owed, END_REQUEST frees the number."""
        self._forget(number)
        self.answer(number, b"")

    def _forget(self, number: int) -> None:
        trigger = self.triggers.pop(number, None)
        if trigger:
            self._listener.open_ids.discard(trigger.key)
            self._listener.host.gone(trigger.source)

    def accepted(self, trigger: Trigger) -> None:
        """Clients of this front are told nothing before the answer."""

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """The final answer."""
        number = trigger.ref.number  # type: ignore[attr-defined]
        if self.triggers.get(number) is not trigger:
            return  # the client gave up, in this very turn
        del self.triggers[number]
        self._listener.open_ids.discard(trigger.key)
        match answer.kind:
            case Kind.SERVED:
                content = head(200) + answer.body
            case Kind.REFUSED:
                content = head(REFUSAL_STATUS.get(answer.reason, 503), -(-answer.wait_us // 1_000))
            case _:
                content = head(502)
        self.answer(number, content)

    def answer(self, number: int, content: bytes) -> None:
        """The one answer to an open request."""
        self._closing |= not self.session.open.get(number, True)
        self.sweeps = 0
        self._listener.used(self)
        self.send(self.session.answered(number, content))

    def send(self, data: bytes) -> None:
        """Goes out at the end of this turn."""
        if data:
            self._out.append(data)
        self._listener.dirty(self)

    def flush(self) -> None:
        """Hand what was gathered to the kernel, in one write."""
        out, self._out = self.session.out + self._out, []
        self.session.out = []
        if self.stream.closed():
            return
        try:
            if out:
                whole = b"".join(out)
                # By what waited before: many large answers of one turn say nothing of who reads them.  They
                # ended the connection of a client that read all the while, and each answer with it.
                self.stream.max_write_buffer_size = MOST_UNSENT + len(whole)
                self._writing = self.stream.write(whole)
        except (StreamClosedError, StreamBufferFullError):
            self._listener.log("client-does-not-read", connection=self.name)
            self.stream.close()
        if self._ends_once_idle and self.session.idle:
            self.finish()

    @property
    def _ends_once_idle(self) -> bool:
        """Whether its client, or a router that stops, wants it to end with the answers that are open."""
        drained = self._listener.draining and self.session.asked and not self._has_read
        return self._closing or drained

    def sweep(self) -> None:
        """Now and then: turn away what stays incomplete."""
        self.sweeps += 1
        self.session.sweep()
        if self.session.out:
            self._listener.dirty(self)
        # One that never asked goes only while it is idle: its first request may be half read right now.
        if self.session.broken or (self.idle and not self.session.asked and self.sweeps > MAX_SILENT_SWEEPS):
            self.finish()

    def finish(self) -> None:
        """End it by draining: see the head of this file.

        Requests that are open get their one answer first, a failure: it is known of them that they were
        taken, not what became of them, and their connection can say no more.
        """
        if self.ending or self.stream.closed():
            return
        if self._has_read and not self._reading.cancelled() and self._reading.exception() is None:
            data, self._reading = self._reading.result(), None
            self.receive(data)  # what was read is owed an answer as well
            if self.ending:  # it broke the connection, which has ended it
                return
        self.ending = True
        for number in list(self.triggers):
            self._forget(number)
            self._out.append(self.session.answered(number, head(502)))
        self._listener.finishing(self)
        self.flush()
        if self.stream.writing() and self._writing is not None:
            self._writing.add_done_callback(lambda _: self._shut())
        else:
            self._shut()

    def _shut(self) -> None:
        """Nothing more is said; the client sees the end after the last answer."""
        if self._writing is not None and self._writing.done() and not self._writing.cancelled():
            self._writing.exception()  # a stream that closed under it has ended it already
        if not self.stream.closed():
            try:
                self.stream.socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.stream.close()

    def close(self) -> None:
        """The connection has ended: nobody can be answered on it."""
        for number in list(self.triggers):
            self._forget(number)
