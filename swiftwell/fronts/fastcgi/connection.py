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

from tornado.iostream import StreamBufferFullError, StreamClosedError

from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.fronts.fastcgi.session import (
    MAX_BODY_BYTES,
    MAX_OPEN_REQUESTS,
    Event,
    RequestAborted,
    RequestReceived,
    response_head,
)
from swiftwell.fronts.fastcgi.turn_reader import READ_BYTES, READ_COST, ReaderOwner, TurnReader
from swiftwell.fronts.memory_budget import MemoryBudget
from swiftwell.fronts.overload import OverloadControl
from swiftwell.fronts.trigger import TOO_MANY, Answer, Kind, Trigger
from swiftwell.sockets import TcpStream, peek

CALL_BYTES = 6_000  # memory of an open request without its body: in the gateway, the module and the link
BODY_COPIES = 2  # of an open request: as received, and as written to a worker
# Costs in units of `work_scheduler`: of a connection's opening, a request that is answered without the
# gateway, one that becomes a call, and the end of an open call before its answer.
OPENING_COST, REQUEST_COST, CALL_COST, WITHDRAWAL_COST = 4, 1, 5, 2
MAX_UNSENT_UNDER_PRESSURE_BYTES = 16_384  # of a client that holds the most: about one answer
MAX_RECORD_UNDER_PRESSURE_BYTES = 4_096  # likewise, of a record that is incomplete
MAX_UNSENT_BYTES = 1 << 20  # beyond this a client counts as not reading; the output of one flush comes on top
# A client that left may be served for 0.1 s; after a part of that, its bytes are looked through for its end.
LOOK_AHEAD_AFTER_S = 0.03
MAX_UNREAD_BYTES = MAX_OPEN_REQUESTS * (MAX_BODY_BYTES + 1_024)  # of all that a client may have open
# Before a close, at most all that a client may have open is processed, in reads of a part each.
CLOSING_COST = MAX_OPEN_REQUESTS * (REQUEST_COST + READ_COST * (1 + MAX_BODY_BYTES // READ_BYTES))
REFUSAL_STATUS = {TOO_MANY: 429}  # HTTP status of a refusal by its reason; 503 for all others


class Owner(ReaderOwner, Protocol):
    """The listener, as its connections see it."""

    contract: rq.Contract
    healthy: Callable[[], bool]
    draining: bool
    open_ids: set[str]
    rejections: Counter[str]
    overload: OverloadControl
    memory: MemoryBudget[Connection]

    def mark_used(self, connection: Connection) -> None:
        """A request arrived or a response was sent: the connection becomes the last to be evicted."""

    def schedule_flush(self, connection: Connection) -> None:
        """The connection has output to write at the end of this loop iteration."""

    def request_withdrawn(self, held_bytes: int) -> None:
        """A request with so much memory was withdrawn: the gateway may hold it for a moment longer."""

    def connection_finishing(self, connection: Connection) -> None:
        """The connection has begun to close gracefully."""

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""


@dataclass(frozen=True, slots=True)
class Ref:
    """What is needed to answer a trigger."""

    connection: tuple[Connection]
    number: int


class Connection(TurnReader):
    """One connection and its session.

    `arrivals`: the clock of its bytes.
    """

    def __init__(self, listener: Owner, stream: TcpStream, number: int, arrivals: ArrivalClock) -> None:
        super().__init__(listener, stream, arrivals)
        self._listener: Owner = listener
        self.name = number
        self.triggers: dict[int, Trigger] = {}
        self._calls_bytes = 0  # memory of the open requests
        self._unsent_bytes = 0  # passed to the stream and not taken by the kernel yet
        self.silent_sweeps = 0  # since the connection was opened, or since its last request or response
        self._output: list[bytes] = []
        self._close_requested = False  # the client asked for the close after an answered request
        self._refusing = False  # requests are refused, as the connection is about to close
        self._writing: asyncio.Future[None] | None = None
        listener.scheduler.enter(self, OPENING_COST)

    @property
    def idle(self) -> bool:
        """Whether no request is read or open and no response is queued or in the stream's buffer.

        Every path that closes a connection checks this.  Checking only the session lost responses that were
        queued or half written, and requests that were read and not processed yet.
        """
        return self.session.idle and not (self._has_unprocessed or self._output or self.stream.writing())

    def _after_processing(self) -> None:
        self.silent_sweeps = 0 if self.session.had_request else self.silent_sweeps
        self._listener.account(self)
        if self.session.broken:
            self.finish()
        elif self.session.output:
            self.send(b"")

    def _handle(self, event: Event) -> int:
        """Handle one event and return its cost; an unexpected error concerns its request only."""
        try:
            if isinstance(event, RequestAborted):
                return self._request_aborted(event.number)
            return self._request_received(event)
        except Exception as error:
            self._listener.host.record_failure(f"client-{type(event).__name__.lower()}", error)
            self._answer_failed(event.number)
        return CALL_COST

    def _answer_failed(self, number: int) -> None:
        """Give a request whose handling failed its one answer: a refusal if the gateway never got it."""
        status = 502 if number in self.triggers else 503
        self._withdraw(number)
        self.answer(number, response_head(status))

    def _request_received(self, event: RequestReceived) -> int:
        """Handle a whole request; returns the cost."""
        listener, number = self._listener, event.number
        listener.mark_used(self)
        if rq.path(event.fields) == rq.HEALTH:
            self.answer(number, response_head(200 if listener.healthy() else 503))
            return REQUEST_COST
        if refusal := self._early_refusal(event):
            listener.rejections[f"503 {refusal}"] += 1
            self.answer(number, response_head(503, listener.contract.retry_after_ms))
            return REQUEST_COST
        try:
            trigger = self._read_trigger(event)
        except rq.Rejected as error:
            listener.rejections[f"{error.status} {error}"] += 1
            self.answer(number, response_head(error.status))
            return REQUEST_COST
        listener.open_ids.add(trigger.key)
        self.triggers[number] = trigger
        self._calls_bytes += _call_bytes(trigger)
        listener.host.submit(trigger)
        return CALL_COST

    def _early_refusal(self, event: RequestReceived) -> str:
        """Why a request is refused before it costs the gateway a call; "" if it isn't.

        Never under the id of an open request, which may run: a refusal would deny that.
        """
        listener, open_ids = self._listener, self._listener.open_ids
        if self._refusing or listener.draining:
            reason = "closing"
        elif listener.overload.admits(len(self.triggers), len(open_ids), len(listener.memory)):
            return ""
        else:
            reason = "overloaded"
        return "" if rq.is_open(event.fields, open_ids) else reason

    def _read_trigger(self, event: RequestReceived) -> Trigger:
        """The trigger of a request; raises Rejected if it is invalid or there is no room for it."""
        listener, number = self._listener, event.number
        newest = event.newest and not self._left_behind
        arrived_s = self._newest_arrived_s if newest else self._others_arrived_s
        trigger = rq.read(
            event.fields,
            event.body,
            listener.contract,
            f"{self.name}/{number}",
            Ref((self,), number),
            age_us=int((time.monotonic() - arrived_s) * 1e6),
        )
        if trigger.key in listener.open_ids:
            raise rq.Rejected(409, "Req-Id is open")
        if not listener.memory.may_add(self, _call_bytes(trigger)):
            raise rq.Rejected(503, "no memory for the request")
        return trigger

    def _request_aborted(self, number: int) -> int:
        """The client has aborted a request: it gets no response, but END_REQUEST frees its number."""
        cost = WITHDRAWAL_COST if number in self.triggers else REQUEST_COST
        self._withdraw(number)
        self.answer(number, b"")
        return cost

    def still_waits(self, trigger: Trigger) -> bool:
        """Whether the client waits for the answer to a trigger, by all that it has sent by now.

        Its ABORT, or its end, may wait for a turn behind other requests.
        """
        number = trigger.ref.number  # type: ignore[attr-defined]
        if self.triggers.get(number) is not trigger:
            return False
        if not self._has_unprocessed:
            return True
        if self._longest_unprocessed_s() > LOOK_AHEAD_AFTER_S:
            self._look_ahead(number)
        return number in self.triggers

    def _look_ahead(self, number: int) -> None:
        """Handle the end of the client, or its ABORT of a request, before what it sent earlier."""
        try:
            has_left, unread = peek(self.stream.socket, MAX_UNREAD_BYTES)
        except OSError:
            has_left, unread = True, b""
        if has_left:
            self.stream.close()
            self._listener.connection_ended(self)
        elif self.session.has_abort(number, self._completed_read() + self.stream.buffered() + unread):
            self._request_aborted(number)

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
        if self.is_queued:
            held_bytes += self._received_size
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
        elif self._events is None and self.session.held_bytes > MAX_RECORD_UNDER_PRESSURE_BYTES:
            self.session.discard("record incomplete while memory is short")
            self.finish()
        elif self.session.output:
            self.send(b"")

    @property
    def _finish_when_idle(self) -> bool:
        """Whether the client asked for the close, or the router drains, and only open responses remain."""
        drained = self._listener.draining and self.session.had_request and not self._has_unprocessed
        return self._close_requested or drained

    def sweep(self) -> None:
        """Reject requests that stay incomplete and close the connection if it is broken or silent."""
        self.silent_sweeps += 1
        timed_out_before = self.session.timed_out
        self.session.sweep(self._unread_bytes() if self.session.is_incomplete else 0)
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
        if self._refusing or self.stream.closed():
            return
        self._refusing = True
        if self._has_unprocessed:
            self._process(CLOSING_COST)  # requests that have arrived must be answered as well
        if self.finishing or self.stream.closed():  # they broke the connection, or the client has left
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

    def refuse_and_finish(self) -> None:
        """While draining: refuse what has arrived, and close the connection if no request is half sent."""
        self._listener.scheduler.charge_out_of_turn(self, round(self._process(CLOSING_COST)))
        if not (self.session.open or self.session.is_incomplete or self._has_unprocessed):
            self.finish()

    def close(self) -> None:
        """The connection has ended: its open requests can no longer be answered."""
        self._drop_events()
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
