"""One connection of a front server, with its session.

A connection is closed gracefully (`finish`) in three steps: all responses are written, our side is shut down,
and what still arrives is read and discarded until the client closes too.  Closing a socket with unread bytes
would send a reset, which destroys the last response if the client has not read it yet.
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

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.fronts.fastcgi.session import Event, RequestAborted, RequestReceived, Session, response_head
from swiftwell.fronts.host import Host
from swiftwell.fronts.memory_budget import MemoryBudget
from swiftwell.fronts.trigger import TOO_MANY, Answer, Kind, Trigger

CALL_BYTES = 6_000  # memory of an open request without its body: in the gateway, the module and the link
BODY_COPIES = 2  # of an open request: as received, and as written to a worker
READ_BYTES = 4_096  # per read, which may hold 128 requests without parameters
MAX_UNSENT_UNDER_PRESSURE_BYTES = 16_384  # of a client that holds the most: about one answer
MAX_RECORD_UNDER_PRESSURE_BYTES = 4_096  # likewise, of a record that is incomplete
MAX_UNSENT_BYTES = 1 << 20  # beyond this a client counts as not reading; the output of one flush comes on top
REFUSAL_STATUS = {TOO_MANY: 429}  # HTTP status of a refusal by its reason; 503 for all others


class Owner(Protocol):
    """The listener, as its connections see it."""

    host: Host
    contract: rq.Contract
    healthy: Callable[[], bool]
    draining: bool
    open_ids: set[str]
    rejections: Counter[str]
    read_turns: ReadTurns
    memory: MemoryBudget[Connection]

    def unseen_s(self) -> float:
        """Upper bound of the time for which the event loop has not polled its sockets."""
        ...

    def mark_used(self, connection: Connection) -> None:
        """A request arrived or a response was sent: the connection becomes the last to be evicted."""

    def schedule_flush(self, connection: Connection) -> None:
        """The connection has output to write at the end of this loop iteration."""

    def account(self, connection: Connection) -> None:
        """What the connection holds may have changed."""

    def request_withdrawn(self, held_bytes: int) -> None:
        """A request with so much memory was withdrawn: the gateway may hold it for a moment longer."""

    def connection_finishing(self, connection: Connection) -> None:
        """The connection has begun to close gracefully."""

    def connection_ended(self, connection: Connection) -> None:
        """The connection has ended."""

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""


@dataclass(frozen=True, slots=True)
class Ref:
    """What is needed to answer a trigger."""

    connection: tuple[Connection]
    number: int


class Connection:
    """One connection and its session.

    `arrivals`: the clock of its bytes.  `left_behind`: the read of its first bytes may have left others in
    the kernel.
    """

    def __init__(
        self,
        listener: Owner,
        stream: IOStream,
        number: int,
        arrivals: ArrivalClock,
        left_behind: bool = False,
    ) -> None:
        self._listener, self.stream, self.name = listener, stream, number
        self.session = Session()
        self._arrivals = arrivals
        mark_empty = lambda: arrivals.mark_empty(time.monotonic())  # noqa: E731
        self._reader = FairReader(stream, READ_BYTES, listener.read_turns, mark_empty, left_behind)
        self.triggers: dict[int, Trigger] = {}
        self._calls_bytes = 0  # memory of the open requests
        self._unsent_bytes = 0  # passed to the stream and not taken by the kernel yet
        self.silent_sweeps = 0  # since the connection was opened, or since its last request or response
        self._output: list[bytes] = []
        self._close_requested = False  # the client asked for the close after an answered request
        self.finishing = False  # no further request is taken
        self._writing: asyncio.Future[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is read or open and no response is queued or in the stream's buffer.

        Every path that closes a connection checks this.  Checking only the session lost responses that were
        queued or half written, and requests that were read and not processed yet.
        """
        return self.session.idle and not (self._unprocessed_read or self._output or self.stream.writing())

    @property
    def _unprocessed_read(self) -> bool:
        """Whether `run` has something to process: a completed read, or bytes that wait for their turn."""
        return self._reader.has_unprocessed or self._reader.waits_for_turn

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while True:
                data = await self._reader.read()
                if not self.finishing:  # else read only so that nothing is unread at the close
                    self.receive(data, len(data) >= READ_BYTES)
        except (OSError, StreamClosedError):
            pass
        finally:
            # The exception of the last read refers to this frame, so keeping it would form a reference cycle;
            # thousands of these per minute caused full garbage collections of 0.15 s, in which no response
            # was sent.
            self._reader.close()
            self.stream.close()
            self._listener.connection_ended(self)

    def receive(self, data: bytes, left_behind: bool) -> None:
        """Process bytes from the client.  `left_behind`: the kernel may hold bytes that came after them."""
        newest_s, others_s = self._arrivals.ages_s(
            self.stream.socket, time.monotonic(), self._listener.unseen_s(), left_behind
        )
        try:
            for event in self.session.events(data):
                newest = isinstance(event, RequestReceived) and event.newest and not left_behind
                self._handle(event, newest_s if newest else others_s)
        except Exception as error:  # what follows in the stream can't be told
            self._listener.host.record_failure("client-records", error)
            self.session.broken = "records that could not be processed"
        self.silent_sweeps = 0 if self.session.had_request else self.silent_sweeps
        self._listener.account(self)
        if self.session.broken:
            self.finish()
        elif self.session.output:
            self.send(b"")

    def _handle(self, event: Event, age_s: float) -> None:
        """Handle one event; an unexpected error concerns its request only."""
        try:
            if isinstance(event, RequestReceived):
                self._request_received(event, age_s)
            elif isinstance(event, RequestAborted):
                self._request_aborted(event.number)
        except Exception as error:
            self._listener.host.record_failure(f"client-{type(event).__name__.lower()}", error)
            self._answer_failed(event.number)

    def _answer_failed(self, number: int) -> None:
        """Give a request whose handling failed its one answer: a refusal if the gateway never got it."""
        status = 502 if number in self.triggers else 503
        self._withdraw(number)
        self.answer(number, response_head(status))

    def _request_received(self, event: RequestReceived, age_s: float) -> None:
        """Handle a whole request whose last byte arrived `age_s` ago."""
        listener, number = self._listener, event.number
        listener.mark_used(self)
        path = rq.path(event.fields)
        if path == rq.HEALTH:
            self.answer(number, response_head(200 if listener.healthy() else 503))
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
                raise rq.Rejected(409, "Req-Id is open")
            if not listener.memory.may_add(self, _call_bytes(trigger)):
                raise rq.Rejected(503, "no memory for the request")
        except rq.Rejected as error:
            listener.rejections[f"{error.status} {error}"] += 1
            self.answer(number, response_head(error.status))
            return
        listener.open_ids.add(trigger.key)
        self.triggers[number] = trigger
        self._calls_bytes += _call_bytes(trigger)
        listener.host.submit(trigger)

    def _request_aborted(self, number: int) -> None:
        """The client has aborted a request: it gets no response, but END_REQUEST frees its number."""
        self._withdraw(number)
        self.answer(number, b"")

    def _withdraw(self, number: int) -> None:
        """Tell the gateway that a request's client can no longer be answered."""
        trigger = self.triggers.pop(number, None)
        if trigger:
            self._release(trigger)
            self._listener.request_withdrawn(_call_bytes(trigger))
            self._listener.host.gone(trigger.source)

    def _release(self, trigger: Trigger) -> None:
        """A request is not open any more."""
        self._listener.open_ids.discard(trigger.key)
        self._calls_bytes -= _call_bytes(trigger)

    def accepted(self, trigger: Trigger) -> None:
        """Nothing to do: clients of this front get no message before the response."""

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Send the final answer of a trigger."""
        number = trigger.ref.number  # type: ignore[attr-defined]
        if self.triggers.get(number) is not trigger:
            return  # the client aborted the request in this same loop iteration
        del self.triggers[number]
        self._release(trigger)
        try:
            content = _response_content(answer)
        except Exception as error:
            self._listener.host.record_failure("client-answer", error)
            content = response_head(502)
        self.answer(number, content)

    def answer(self, number: int, content: bytes) -> None:
        """Send the one response to an open request."""
        self._close_requested |= not self.session.open.get(number, True)
        self.silent_sweeps = 0
        self._listener.mark_used(self)
        self.send(self.session.finish_request(number, content))

    def send(self, data: bytes) -> None:
        """Queue bytes, which are written at the end of this loop iteration."""
        if data:
            self._output.append(data)
        self._listener.schedule_flush(self)

    def flush(self) -> None:
        """Write the queued output to the kernel in one call."""
        output, self._output = self.session.output + self._output, []
        self.session.output = []
        if self.stream.closed():
            return
        try:
            if output:
                joined = b"".join(output)
                # The limit applies to what was unsent before: large responses of one iteration don't show
                # that a client has stopped reading.  With a fixed limit they closed the connections of
                # clients that did read, and every response was lost.
                self.stream.max_write_buffer_size = MAX_UNSENT_BYTES + len(joined)
                self._writing = self._write(joined)
        except (StreamClosedError, StreamBufferFullError):
            self._listener.log("client-does-not-read", connection=self.name)
            self.stream.close()
        self._listener.account(self)
        if self._finish_when_idle and self.session.idle:
            self.finish()

    def _write(self, data: bytes) -> asyncio.Future[None]:
        writing = self.stream.write(data)
        if not writing.done():
            self._unsent_bytes += len(data)
            writing.add_done_callback(lambda _: self._written(len(data)))
        return writing

    def _written(self, size: int) -> None:
        self._unsent_bytes -= size
        self._listener.account(self)

    @property
    def held_bytes(self) -> int:
        """The memory that the client makes this process hold."""
        if self.stream.closed():
            return 0
        held_bytes = self._calls_bytes + self._unsent_bytes + self.session.held_bytes
        return held_bytes + sum(map(len, self._output)) if self._output else held_bytes

    def give_way(self) -> None:
        """Release what can be released of the held memory, as the clients hold too much.

        Incomplete requests are refused.  A client that does not read its answers is closed; so is one that
        holds a record half sent.  Requests that a worker may run keep their memory until they are answered.
        """
        self.session.reject_incomplete(503)
        if self._unsent_bytes > MAX_UNSENT_UNDER_PRESSURE_BYTES:
            self._listener.log("client-does-not-read", connection=self.name)
            self.stream.close()
        elif self.session.held_bytes > MAX_RECORD_UNDER_PRESSURE_BYTES:
            self.session.discard("record incomplete while memory is short")
            self.finish()
        elif self.session.output:
            self.send(b"")

    @property
    def _finish_when_idle(self) -> bool:
        """Whether the client asked for the close, or the router drains, and only open responses remain."""
        drained = self._listener.draining and self.session.had_request and not self._unprocessed_read
        return self._close_requested or drained

    def sweep(self) -> None:
        """Reject requests that stay incomplete and close the connection if it is broken or silent."""
        self.silent_sweeps += 1
        timed_out_before = self.session.timed_out
        self.session.sweep()
        if timed_out := self.session.timed_out - timed_out_before:
            self._listener.rejections["408 request incomplete"] += timed_out
        if self.session.output:
            self._listener.schedule_flush(self)
        # A connection without a request yet is closed only if idle: its first request may be half read.
        if self.session.broken or (
            self.idle and not self.session.had_request and self.silent_sweeps > MAX_SILENT_SWEEPS
        ):
            self.finish()

    def finish(self) -> None:
        """Close the connection gracefully (see the module's docstring).

        Open requests first get their one response, status 502: they were taken, their outcome is unknown, and
        the connection can carry no later response.
        """
        if self.finishing or self.stream.closed():
            return
        if data := self._reader.take_unprocessed():
            # Requests that have been read must be answered as well.
            self.receive(data, len(data) >= READ_BYTES)
            if self.finishing:  # these bytes broke the connection, which has called `finish`
                return
        self.finishing = True
        for number in list(self.triggers):
            self._withdraw(number)
            self._output.append(self.session.finish_request(number, response_head(502)))
        self._listener.connection_finishing(self)
        self.flush()
        if self.stream.writing() and self._writing is not None:
            self._writing.add_done_callback(lambda _: self._shutdown_write())
        else:
            self._shutdown_write()

    def _shutdown_write(self) -> None:
        """Shut down our side: the client sees the end of the stream after the last response."""
        if self._writing is not None and self._writing.done() and not self._writing.cancelled():
            self._writing.exception()  # marks it as retrieved; `run` handles the end of the stream
        if not self.stream.closed():
            try:
                self.stream.socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.stream.close()

    def close(self) -> None:
        """The connection has ended: its open requests can no longer be answered."""
        for number in list(self.triggers):
            self._withdraw(number)


def _call_bytes(trigger: Trigger) -> int:
    """The memory that an open request takes until it is answered."""
    return CALL_BYTES + BODY_COPIES * len(trigger.payload)


def _response_content(answer: Answer) -> bytes:
    """The CGI response that carries a final answer."""
    match answer.kind:
        case Kind.SERVED:
            return response_head(200) + answer.body
        case Kind.REFUSED:
            return response_head(REFUSAL_STATUS.get(answer.reason, 503), -(-answer.wait_us // 1_000))
        case _:
            return response_head(502)
