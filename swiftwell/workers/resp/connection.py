"""One connection to a worker, which carries several requests at a time.

A request that nobody waits for any more must not run later.  Its bytes may still be on their way: after an
orderly close the kernel goes on delivering them, for minutes on a path that is cut off.  So a connection is
reset where a command is not known to have arrived, which makes both kernels drop it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status
from swiftwell.sockets import RETRY_S, TcpStream, cause_of, is_local, set_reset_on_close
from swiftwell.workers.resp import codec
from swiftwell.workers.resp.answer_permits import UNPERMITTED_BYTES, AnswerPermits
from swiftwell.workers.resp.codec import Answer, Parser, RespError
from swiftwell.workers.resp.command_history import MAX_KNOWN_IDS, CommandHistory

READ_BYTES = 16_384  # per read; an answer has some hundred bytes
MAX_UNSENT_BYTES = 1 << 20  # buffered for a worker that does not read
PERMISSION_VALID_S = 0.01  # then checked again; a loop iteration that is not delayed takes a few ms
WRITE_RETRY_S = 0.01  # until a connection whose kernel buffer is full is tried again
# Within which a worker must show that an abandoned request arrived.  A request may begin at most 0.1 s after
# its client has left.
ARRIVAL_TIMEOUT_S, ARRIVAL_LIMIT_S = 0.06, 0.09
POLLS_BEFORE_RESET = 3  # iterations of the event loop: poll, wake the reader, read
_PROBE_TAG = b"probe%d"  # tag of a command that only asks for an answer; no request id has this form
MAX_UNSOLICITED_ANSWERS = 4 * MAX_KNOWN_IDS  # in a row; late and repeated ones are far fewer


@dataclass(slots=True, eq=False)
class SendTime:
    """When a job's bytes were handed to the kernel.

    Separate from the job, so that callbacks that read it form no reference cycle with the job.
    """

    at_us: int = 0  # monotonic; 0 before that


@dataclass(slots=True, eq=False)
class Job:
    """An attempt or a load order on its way to a worker."""

    worker: str
    id: bytes  # of an attempt, or the tag of a load order
    data: bytes
    on_answer: Callable[[Answer], None]  # raises RespError if the answer is invalid
    on_end: Callable[[Status, Ran], None]  # called if the job ends without an answer
    cancellable: bool  # the worker can be told that the job is abandoned
    encode_again: Callable[[float], bytes]  # its bytes at a time, monotonic s; none if its time is up
    is_wanted: Callable[[], bool] = lambda: True  # whether the client waits for it still
    only_listed: bool = False  # only to the very process that the worker list names
    is_query: bool = False  # asks for the number of copies; also sent to a draining worker
    connection: Connection | None = None
    written: bool = False
    withdrawn: bool = False  # nobody waits for its answer
    moved: bool = False  # its first connection ended before anything was written
    done: bool = False
    delayed: bool = False  # permission to send was obtained in an earlier loop iteration
    started_s: float = 0.0  # monotonic
    queued_s: float = 0.0  # monotonic; when it was put on its connection, with permission to send
    send_time: SendTime = field(default_factory=SendTime)

    def needs_check(self, data: bytes, valid_since_s: float) -> bool:
        """Whether permission to send was obtained before `valid_since_s`, or no time was left by then."""
        return self.delayed or self.queued_s < valid_since_s or not data


# Bytes to be written, and what they belong to: a job, the tag of a probe, or nothing that is answered.
_Output = tuple[bytes, Job | bytes | None]


class Owner(Protocol):
    """The link, as its connections see it."""

    read_turns: ReadTurns
    answer_permits: AnswerPermits
    on_failure: Callable[[str, Exception], None]

    def connection_closed(self, connection: Connection, protocol_error: str, jobs: list[Job]) -> None:
        """A connection has ended with these jobs; `protocol_error` is set if it received invalid bytes."""

    def schedule_flush(self, connection: Connection) -> None:
        """The connection has data to write at the end of this loop iteration."""

    def address_is_current(self, connection: Connection) -> bool:
        """Whether the connection's address is still that of its worker."""
        ...

    def may_send(self, connection: Connection) -> bool:
        """Whether new work may still be sent to the connection's worker, at this address."""
        ...

    def is_listed_process(self, connection: Connection) -> bool:
        """Whether the connection leads for certain to the process that the worker list names."""
        ...

    def prove_arrivals_later(self, connection: Connection) -> None:
        """Jobs were written that share a connection."""

    def connection_opened(self, connection: Connection) -> None:
        """A connection has been established."""


class Connection:
    """A connection that opens at once; what is queued meanwhile is written once it is established."""

    def __init__(self, owner: Owner, worker: str, address: tuple[str, int]) -> None:
        self.owner, self.worker, self.address = owner, worker, address
        self.jobs: dict[bytes, Job] = {}
        self.history = CommandHistory()
        self.established = self.closed = False
        self.established_us = 0  # monotonic
        self.silent = False  # it was reset, as an abandoned request did not turn out to have arrived
        self.failure, self.reset = "", False  # the socket error that ended it
        self.failed_locally = False  # it was not established for a reason on this machine
        # Result of connecting: true if established, or if nothing is known of the process at the address;
        # false if that process did not answer.
        self.connect_result: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.last_used_s, self.last_received_s = time.monotonic(), 0.0
        self._parser = Parser()
        self._permit: asyncio.Future[None] | None = None  # to read a large answer
        self._output: list[_Output] = []
        self._blocked = False  # the kernel buffer is full: writing is tried again later
        self._close_requested = False
        self._probes = 0  # number of commands that only asked for an answer
        self._unsolicited_answers = 0  # since the last answer that a job waited for
        self._stream: TcpStream | None = None  # None until a socket could be created
        with suppress(OSError):
            self._stream = self._new_stream()

    async def run(self, connect_s: float) -> None:
        """Connect, and read until the connection ends."""
        protocol_error = ""
        try:
            await self._connect(time.monotonic() + connect_s)
            self._stream.set_nodelay(True)
            set_reset_on_close(self._stream, True)
            self.established, self.established_us = True, time.monotonic_ns() // 1_000
            self.connect_result.set_result(True)
            self.owner.connection_opened(self)
            self.owner.schedule_flush(self)
            reader = FairReader(self._stream, READ_BYTES, self.owner.read_turns)
            while True:
                self._receive(await reader.read())
                if self._permit is not None or self._parser.buffered_bytes > UNPERMITTED_BYTES:
                    await self._permission_to_read()
        except (OSError, TimeoutError, StreamClosedError) as error:
            self._record_failure(error)
        except RespError as error:
            protocol_error = str(error)
        except Exception as error:  # any error must end the jobs below and be logged
            protocol_error = f"{type(error).__name__}: {error}"
        finally:
            self._end(protocol_error)

    def _receive(self, data: bytes) -> None:
        """Process bytes from the worker; raises RespError if they, or what they end, can't be answers."""
        self.last_received_s = time.monotonic()
        for answer in self._parser.feed(data):
            self._answer(answer)
        self._parser.check()

    async def _permission_to_read(self) -> None:
        """Wait until more of a large answer may be read; raises StreamClosedError if the connection ends."""
        if self._parser.buffered_bytes <= UNPERMITTED_BYTES:
            self._give_back_permit()
            return
        if self._permit is None:
            self._permit = self.owner.answer_permits.request()
        try:
            await self._permit
        except asyncio.CancelledError:
            if self._permit is not None:  # the task was cancelled, not the permit
                raise
            raise StreamClosedError from None

    def _give_back_permit(self) -> None:
        permit, self._permit = self._permit, None
        if permit is not None:
            self.owner.answer_permits.give_back(permit)

    async def _connect(self, deadline_s: float) -> None:
        """Connect before `deadline_s`, monotonic.  Retries failures caused on this machine."""
        while True:
            try:
                if self._close_requested:
                    raise StreamClosedError
                if self._stream is None or self._stream.closed():
                    self._stream = self._new_stream()
                async with asyncio.timeout(max(0.0, deadline_s - time.monotonic())):
                    await self._stream.connect(self.address)
                return
            except (OSError, StreamClosedError) as error:
                if not is_local(cause_of(error)) or time.monotonic() + RETRY_S >= deadline_s:
                    raise
            await asyncio.sleep(RETRY_S)

    @staticmethod
    def _new_stream() -> TcpStream:
        return TcpStream(
            max_buffer_size=READ_BYTES * 4, read_chunk_size=READ_BYTES, max_write_buffer_size=MAX_UNSENT_BYTES
        )

    def _record_failure(self, error: BaseException) -> None:
        """Keep the error as text only, as the exception refers to the frame of `run`."""
        cause = cause_of(error)
        self.failure, self.reset = repr(cause), isinstance(cause, ConnectionResetError)
        self.failed_locally = not self.established and is_local(cause)

    def add(self, job: Job) -> None:
        """Queue a job, to be written at the end of this loop iteration or once connected."""
        job.connection = self
        self.last_used_s = job.queued_s = time.monotonic()
        self.jobs[job.id] = job
        self.history.add(job.id, self.jobs)
        job.delayed |= not self.established or self._blocked
        self._output.append((job.data, job))
        if self.established:
            self.owner.schedule_flush(self)

    def flush(self) -> None:
        """Write the queued output to the kernel in one call, and record how much of it was taken.

        What the kernel does not take stays in `_output` and not in the stream's buffer, from which nothing
        can be withdrawn: a worker that stalls and resumes would run calls that their clients gave up long
        ago.  Only the rest of a command that was cut in two goes to the stream's buffer, as the worker has
        its first part already.
        """
        if self.closed or not self.established or self._blocked or not self._output or self._stream.closed():
            return
        output = self._take_permitted()
        joined = b"".join([data for data, _ in output])
        if not joined:
            return
        sent_us = time.monotonic_ns() // 1_000
        try:
            sent = self._stream.write_to_fd(memoryview(joined))
        except BlockingIOError:
            sent = 0
        except OSError:  # the kernel took nothing
            self._stream.close(exc_info=True)
            return
        if sent < len(joined):
            self._keep_unsent(output, sent)
        for data, owner in output:
            if sent <= 0:
                break
            sent -= len(data)
            if isinstance(owner, Job):
                owner.written, owner.send_time.at_us, owner.data = True, sent_us, b""
                self.history.written(owner.id)
            elif owner is not None:
                self.history.written(owner)
        if len(self.jobs) > 1:
            self.owner.prove_arrivals_later(self)

    def prove_arrivals(self) -> None:
        """Ask for an answer if jobs that share the connection are not known to have arrived.

        So that it need not be reset for all of them once nobody waits for one.
        """
        if len(self.jobs) > 1 and not self.closed and not self.history.all_arrived:
            self._probe()

    def _take_permitted(self) -> list[_Output]:
        """Take the output that may be sent now; jobs that may not are ended.

        This is the last check of the worker's state, on every path to the kernel.  While a connection was
        being opened, its kernel buffer was full or this process was slow, the worker may have begun to drain,
        have left or have lost its address to another worker, or its lease may have expired; the time of a
        command that waited may be up.
        """
        queued, self._output = self._output, []
        now = time.monotonic()
        valid_since_s = now - PERMISSION_VALID_S
        may_send, reachable, permitted = self.owner.may_send(self), self.owner.address_is_current(self), []
        for data, job in queued:
            if isinstance(job, Job):
                allowed = reachable if job.is_query else may_send
                allowed = allowed and job.is_wanted()
                if job.only_listed and allowed:
                    allowed = self.owner.is_listed_process(self)
                if not allowed:
                    data = b""
                elif job.needs_check(data, valid_since_s):
                    data = job.encode_again(now)
                if not data:
                    del self.jobs[job.id]
                    job.done, job.connection = True, None
                    job.on_end(Status.MOOT, Ran.NEVER)
                    continue
            permitted.append((data, job))
        return permitted

    def _keep_unsent(self, output: list[_Output], sent: int) -> None:
        """The kernel took only the first `sent` bytes: queue the rest again."""
        self._blocked = True
        cut, complete = sent, 0  # bytes sent of the command that is cut, and number of those sent whole
        while cut >= len(output[complete][0]):
            cut -= len(output[complete][0])
            complete += 1
        unsent = output[complete + (cut > 0) :]
        for _, job in unsent:
            if isinstance(job, Job):
                job.delayed = True
        self._output = unsent + self._output
        if cut:
            try:
                self._stream.write(output[complete][0][cut:]).add_done_callback(self._unblock)
            except (StreamClosedError, StreamBufferFullError):
                self._stream.close()
        else:
            asyncio.get_running_loop().call_later(WRITE_RETRY_S, self._unblock)

    def _unblock(self, write: asyncio.Future[None] | None = None) -> None:
        if write is not None and not write.cancelled():
            write.exception()  # marks it as retrieved; `run` handles the end of the stream
        self._blocked = False
        if not self.closed:
            self.owner.schedule_flush(self)

    def _answer(self, answer: Answer) -> None:
        job, proves_arrival = self.jobs.get(answer[0]), self.history.answered(answer[0])
        if job is None:  # of a probe, late, repeated or of an unknown id
            self._unsolicited_answers += not proves_arrival
            if self._unsolicited_answers > MAX_UNSOLICITED_ANSWERS:
                raise RespError(f"more than {MAX_UNSOLICITED_ANSWERS} answers to no request")
            return
        self._unsolicited_answers = 0
        if swallowed := codec.swallowed_id(answer[3], self.history):
            raise RespError(f"body that contains the answer to {swallowed!r}")
        try:
            job.on_answer(answer)
        except RespError:  # of an answer that is not one: the job ends with its connection
            raise
        except Exception as error:  # concerns this answer only
            self.owner.on_failure("worker-answer", error)
            job.on_end(Status.ERROR, Ran.MAYBE)
        del self.jobs[answer[0]]
        job.done, self.last_used_s = True, self.last_received_s

    def keep_alive(self) -> None:
        """Make the worker answer, so that neither end closes the connection as unused."""
        self.last_used_s = time.monotonic()
        self._probe()

    def _probe(self) -> None:
        """Send a command that only asks for an answer, which proves that all before it has arrived."""
        self._probes += 1
        tag = _PROBE_TAG % self._probes
        self.history.add(tag, self.jobs)
        self._output.append((codec.hello_command(tag), tag))
        self.owner.schedule_flush(self)

    @property
    def usable(self) -> bool:
        """Whether new jobs may go here: it is open, and no abandoned request may still be on its way."""
        return not self.closed and not self.history.lacks_required_arrival

    def abandon(self, job: Job) -> None:
        """Stop waiting for a job: withdraw it if it is unwritten, else tell the worker."""
        del self.jobs[job.id]
        if not job.written:
            self._output = [entry for entry in self._output if entry[1] is not job]
        elif self.history.has_arrived(job.id):
            self._cancel(job)
        elif self.last_received_s < job.started_s and not self.jobs:
            self.close()  # silent since, and carries nothing else
        else:
            self._cancel(job)
            self._require_arrival(job)

    def withdraw(self, job: Job) -> None:
        """Nobody waits for the answer of a written job any more, which may still come."""
        if not job.withdrawn and not self.history.has_arrived(job.id):
            self._require_arrival(job)
        job.withdrawn = True

    def _require_arrival(self, job: Job) -> None:
        """A job that may still be on its way is dropped by a reset, unless an answer proves its arrival."""
        sequence = self.history.require_arrival(job.id)
        self._probe()
        latest_s = time.monotonic() + ARRIVAL_LIMIT_S
        asyncio.get_running_loop().call_later(
            ARRIVAL_TIMEOUT_S, self._reset_unless_arrived, sequence, latest_s
        )

    def _cancel(self, job: Job) -> None:
        if job.cancellable:
            self._output.append((codec.kill_command(job.id), None))
            self.owner.schedule_flush(self)

    def _reset_unless_arrived(self, sequence: int, latest_s: float, polls: int = POLLS_BEFORE_RESET) -> None:
        """Reset the connection if there is no proof after the sockets were polled once more either.

        Polling again ends at `latest_s`, monotonic, as an iteration of a busy event loop takes long.
        """
        arrived = self.history.has_arrived_up_to(sequence)
        if polls and not arrived and time.monotonic() < latest_s:
            asyncio.get_running_loop().call_soon(self._reset_unless_arrived, sequence, latest_s, polls - 1)
        elif not arrived and not self.closed:
            self.silent = True
            self.close()

    def close(self) -> None:
        """Close the connection; `run` ends its jobs.  What may still be on its way is dropped by a reset."""
        self._close_requested = True
        self._give_back_permit()
        if self._stream is not None and not self._stream.closed():
            if self.history.all_arrived:
                set_reset_on_close(self._stream, False)
            self._stream.close()

    def _end(self, protocol_error: str) -> None:
        self.closed = True
        self.close()
        if not self.connect_result.done():
            self.connect_result.set_result(self.failed_locally)
        jobs, self.jobs, self._output = list(self.jobs.values()), {}, []
        self.owner.connection_closed(self, protocol_error, jobs)
