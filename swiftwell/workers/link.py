"""The HTTP link to workers: sends attempts and load orders over pooled connections, reports their results.

An attempt first waits for a connection (it never ran), then counts as written (it may have run, from the
first byte handed to the kernel on) until it ends.  A connection carries one attempt at a time, so an answer
can't be taken for that of another attempt; bytes that arrive without a request end the connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.http.http1 import BadMessage, MessageStarted, Parser, Response, TooLarge, encode
from swiftwell.interface import Status
from swiftwell.sockets import set_reset_on_close
from swiftwell.workers import protocol

READ_BYTES = 65_536  # per read
IDLE_TIMEOUT_S = 30.0  # unused connections are closed after this


@dataclass(frozen=True, slots=True)
class LinkBounds:
    """Limits of the link, from the settings of the site."""

    connections: int = 64  # to one worker
    connect_s: float = 0.25
    answer: int = 1 << 20  # bytes of a response body
    idle: int = 16  # unused connections kept to one worker
    order_s: float = 10.0


@dataclass(slots=True, eq=False)
class _Job:
    """An attempt, a load order or a probe on its way to a worker."""

    worker: str
    data: bytes
    on_end: Callable[[_JobResult], None]
    started_s: float  # monotonic s
    on_first_byte: Callable[[], None] | None = None
    connection: _Connection | None = None
    written: bool = False
    done: bool = False
    timer: object = None
    deadline_s: float = 0.0  # of load orders and probes: when they count as unanswered, monotonic s


@dataclass(slots=True)
class _JobResult:
    """How a job ended: with a response, or with a status and whether the worker may have run it."""

    response: Response | None
    status: Status
    ran: Ran
    too_large: bool = False


@dataclass(slots=True, eq=False)
class _Worker:
    idle: list[_Connection] = field(default_factory=list)
    open: int = 0


class _Connection:
    """One connection to a worker and the job on it."""

    def __init__(self, link: Link, worker: str, stream: IOStream, max_body: int) -> None:
        self.link, self.worker, self.stream = link, worker, stream
        self.parser = Parser(True, max_body)
        self.job: _Job | None = None
        self.idle_since_s = 0.0
        self.received = bytearray()  # bytes of the job's answer so far, for a process that takes the job over

    async def read(self) -> None:
        """Read answers until the connection ends.

        A read is always pending, so that the peer's close is noticed at once.
        """
        too_large, error_text = False, ""
        reader = FairReader(self.stream, READ_BYTES, self.link.read_turns)
        try:
            while True:
                data = await reader.read()
                job = self.job
                if job is None:  # e.g. a worker that answers twice
                    error_text = "received bytes without an open request"
                    break
                self.received += data
                for message in self.parser.feed(data):
                    if isinstance(message, MessageStarted):
                        if job.on_first_byte and not job.done:
                            job.on_first_byte()
                        continue
                    assert isinstance(message, Response)
                    if not self.parser.rest_may_be_response:
                        raise BadMessage("the length of a response does not fit")
                    self.job = None
                    set_reset_on_close(self.stream, False)
                    reuse = message.keep_alive and self.parser.idle
                    if reuse:
                        self.link.release(self)
                    self.link.finish(job, _JobResult(message, Status.OK, Ran.YES))
                    if not reuse:
                        return
        except StreamClosedError:
            pass
        except TooLarge as error:
            too_large, error_text = True, str(error)
        except BadMessage as error:
            error_text = str(error)
        finally:
            if error_text:
                self.link.log("warning", "bad-answer", worker=self.worker, why=error_text)
            self.link.connection_closed(self, Status.ERROR if error_text else Status.RESET, too_large)


class Link:
    """All connections to workers.

    `enqueue` passes results to the engine; it is called from the event loop, never from within `start` or
    `order`.
    """

    def __init__(
        self,
        gateway: str,
        bounds: LinkBounds,
        enqueue: Callable[[ports.Input], None],
        log: Callable[..., None],
        start_time_us: Callable[[float], int] = lambda ms: 0,
    ) -> None:
        self._gateway, self._bounds, self._enqueue, self.log = gateway, bounds, enqueue, log
        self._start_time_us = start_time_us  # converts a worker's start from wall-clock ms to monotonic us
        self.max_connections = bounds.connections  # to one worker; see `limit_connections`
        self._workers: dict[str, _Worker] = {}
        self._jobs: dict[tuple[str, int], _Job] = {}
        self.timed_jobs: dict[_Job, tuple[str, int]] = {}  # load orders and probes: kind, number
        self._paused = False
        self._waiting: list[_Job] = []
        self._client = TCPClient()
        self._tasks: set[asyncio.Task] = set()
        self.read_turns = ReadTurns()
        self._loop = IOLoop.current()

    def start(self, act: ports.Start) -> None:
        """Start an attempt."""
        request = protocol.run_request(
            self._gateway, act.worker, act.id, act.number, act.left_us, act.trigger
        )
        job = self._run_job(act.worker, act.id, act.number, encode(request), time.monotonic(), act.streamed)
        self._dispatch(job)

    def _run_job(
        self, worker: str, id_: str, number: int, data: bytes, started_s: float, streamed: bool
    ) -> _Job:
        key = (id_, number)

        def on_end(result: _JobResult) -> None:
            self._jobs.pop(key, None)
            latency = int((time.monotonic() - started_s) * 1e6)
            if result.response is None:
                end = ports.AttemptEnd(
                    id_, number, result.status, result.ran, latency_us=latency, too_large=result.too_large
                )
            else:
                verdict = protocol.run_verdict(result.response)
                end = ports.AttemptEnd(
                    id_,
                    number,
                    verdict.status,
                    verdict.ran,
                    result.response.body if verdict.status is Status.OK else b"",
                    latency,
                    verdict.copy_state,
                    verdict.function_calls_waiting,
                    verdict.worker_calls_held,
                    verdict.draining,
                    started_us=self._start_time_us(verdict.started_ms),
                    answered=True,
                )
            self._enqueue(end)

        job = _Job(worker, data, on_end, started_s)
        if streamed:
            job.on_first_byte = lambda: self._enqueue(ports.FirstByte(id_, number))
        self._jobs[key] = job
        return job

    def abandon(self, act: ports.Abandon) -> None:
        """Stop waiting for an attempt.  Its connection is closed, as its answer may still arrive there."""
        job = self._jobs.get((act.id, act.number))
        if job:
            self._cancel(job, act.status)

    def withdraw(self, act: ports.Withdraw) -> None:
        """Take back an attempt that waits for a connection."""
        job = self._jobs.get((act.id, act.number))
        if job and not job.written:
            self._cancel(job, Status.MOOT)

    def recall(self, act: ports.Recall) -> None:
        """Take back a load order that waits for a connection: the engine counts it as ended."""
        for job in [
            job for job, of in self.timed_jobs.items() if of == ("order", act.number) and not job.written
        ]:
            self._cancel(job, Status.MOOT)

    def order(self, act: ports.Order) -> None:
        """Send a load order, or a query for the number of copies."""
        request = protocol.load_request(
            self._gateway, act.worker, act.function, act.copies, act.memory_mb, act.lanes
        )
        now = time.monotonic()
        self._dispatch(
            self._order_job(act.worker, act.number, encode(request), now, now + self._bounds.order_s)
        )

    def _order_job(self, worker: str, number: int, data: bytes, started_s: float, deadline_s: float) -> _Job:
        def on_end(result: _JobResult) -> None:
            self._clear_deadline(job)
            latency = int((time.monotonic() - started_s) * 1e6)
            status, copies, draining, start = result.status, 0, False, 0
            if result.response is not None:
                status, copies, draining = protocol.load_result(result.response)
                start = self._start_time_us(protocol.started_ms(result.response))
            answered = result.response is not None
            self._enqueue(ports.OrderEnd(number, status, copies, latency, draining, start, answered))

        job = _Job(worker, data, on_end, started_s)
        return self._with_deadline(job, "order", number, deadline_s)

    def probe(self, act: ports.Ask) -> None:
        """Probe whether a worker is there; any answer proves it."""
        request = protocol.load_request(self._gateway, act.worker, protocol.NO_FUNCTION, 0, 0.0, 1)
        now = time.monotonic()
        self._dispatch(self._probe_job(act.worker, encode(request), now, now + act.timeout_us / 1e6))

    def _probe_job(self, worker: str, data: bytes, started_s: float, deadline_s: float) -> _Job:
        def on_end(result: _JobResult) -> None:
            self._clear_deadline(job)
            draining, start = False, 0
            if result.response is not None:
                draining = protocol.load_result(result.response)[2]
                start = self._start_time_us(protocol.started_ms(result.response))
            self._enqueue(ports.Asked(worker, result.response is not None, draining, start))

        job = _Job(worker, data, on_end, started_s)
        return self._with_deadline(job, "ask", 0, deadline_s)

    def _with_deadline(self, job: _Job, kind: str, number: int, deadline_s: float) -> _Job:
        """Start the link's own timer for a job."""
        job.deadline_s = deadline_s
        job.timer = self._loop.call_later(
            max(0.0, deadline_s - time.monotonic()), self._cancel, job, Status.TIMEOUT
        )
        self.timed_jobs[job] = (kind, number)
        return job

    def _clear_deadline(self, job: _Job) -> None:
        self._loop.remove_timeout(job.timer)
        self.timed_jobs.pop(job, None)

    # Handover: another process takes over the jobs and connections of this one (handover/state.py).

    def all_jobs(self) -> list[_Job]:
        """All jobs that have not ended."""
        return [*self._jobs.values(), *self.timed_jobs]

    def set_paused(self, on: bool) -> None:
        """While paused, open no connection.  Waiting jobs start again in the process that takes over."""
        self._paused = on
        if not on:
            waiting, self._waiting = self._waiting, []
            for job in waiting:
                self._dispatch(job)

    def restore_job(
        self,
        kind: str,
        worker: str,
        id_: str,
        number: int,
        data: bytes,
        started_s: float,
        deadline_s: float,
        streamed: bool,
    ) -> _Job:
        """Recreate a job taken over from another process."""
        if kind == "run":
            return self._run_job(worker, id_, number, data, started_s, streamed)
        if kind == "order":
            return self._order_job(worker, number, data, started_s, deadline_s)
        return self._probe_job(worker, data, started_s, deadline_s)

    def resume_job(self, job: _Job, connection: _Connection, unsent: bytes, received: bytes) -> None:
        """Continue a job on the connection that carries it.

        At least a part of its request has been written there, and `received` is what of its answer has come.
        """
        connection.job, job.connection, job.written = job, connection, True
        connection.received += received
        if unsent:
            connection.stream.write(unsent)
        for message in connection.parser.feed(received):  # never a whole answer: the job would have ended
            assert isinstance(message, MessageStarted)
        task = asyncio.ensure_future(connection.read())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _dispatch(self, job: _Job) -> None:
        """Send a job over an idle connection, or open one within the limit."""
        if job.done:
            return
        if self._paused:
            self._waiting.append(job)
            return
        worker = self._workers.setdefault(job.worker, _Worker())
        while worker.idle:
            connection = worker.idle.pop()
            if not connection.stream.closed():
                self._write(job, connection)
                return
        if worker.open >= self.max_connections:
            # Reported in a later loop iteration, as the engine is processing its outputs right now.  FULL and
            # not CONNECT_FAILED, as the limit is ours: after a failed connection the module forgets the
            # worker's copies and takes the worker for a starting one.
            self._loop.add_callback(self.finish, job, _JobResult(None, Status.FULL, Ran.NEVER))
            return
        worker.open += 1
        task = asyncio.ensure_future(self._connect(job, worker))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, job: _Job, worker: _Worker) -> None:
        host, _, port = job.worker.rpartition(":")
        try:
            stream = await asyncio.wait_for(self._client.connect(host, int(port)), self._bounds.connect_s)
        except (OSError, ValueError, StreamClosedError, TimeoutError):
            worker.open -= 1
            self._forget_if_unused(job.worker)
            self.finish(job, _JobResult(None, Status.CONNECT_FAILED, Ran.NEVER))
            return
        stream.set_nodelay(True)
        connection = _Connection(self, job.worker, stream, self._bounds.answer)
        if job.done:  # abandoned while the connection was opened: keep it for the next job
            self.release(connection)
        elif self._paused:  # nothing may be written now
            self._waiting.append(job)
            self.release(connection)
        else:
            self._write(job, connection)
        await connection.read()

    def _write(self, job: _Job, connection: _Connection) -> None:
        connection.job, job.connection = job, connection
        connection.received.clear()
        try:
            connection.stream.write(job.data)
        except (StreamClosedError, StreamBufferFullError):
            # No byte went to the kernel, as the stream knew that it was closed.  `read` ends the job.
            return
        # A request that nobody waits for any more must not be delivered later, see `workers/resp/connection`.
        set_reset_on_close(connection.stream, True)
        job.written = True

    def _cancel(self, job: _Job, status: Status) -> None:
        if job.done:
            return
        connection = job.connection
        result = (
            _JobResult(None, status, Ran.MAYBE) if job.written else _JobResult(None, Status.MOOT, Ran.NEVER)
        )
        if connection:
            connection.job = None
            connection.stream.close()
        self.finish(job, result)

    def finish(self, job: _Job, result: _JobResult) -> None:
        """Report the result of a job, unless it has ended already."""
        if not job.done:
            job.done = True
            job.on_end(result)

    def release(self, connection: _Connection) -> None:
        """Return a connection to the pool."""
        worker = self._workers.setdefault(connection.worker, _Worker())
        connection.job, connection.idle_since_s = None, time.monotonic()
        if len(worker.idle) < self._bounds.idle and worker.open <= self.max_connections:
            worker.idle.append(connection)
        else:
            connection.stream.close()

    def limit_connections(self, limit: int) -> None:
        """Set the limit of connections to one worker, at least 1; idle connections above it are closed."""
        self.max_connections = max(1, min(limit, self._bounds.connections))
        for worker in self._workers.values():
            for _ in range(min(worker.open - self.max_connections, len(worker.idle))):
                worker.idle.pop().stream.close()

    def connection_closed(self, connection: _Connection, status: Status, too_large: bool) -> None:
        """A connection has ended, and with it the job that it carried."""
        connection.stream.close()
        worker = self._workers.get(connection.worker)
        if worker:
            worker.open -= 1
            if connection in worker.idle:
                worker.idle.remove(connection)
            self._forget_if_unused(connection.worker)
        job, connection.job = connection.job, None
        if job and job.written:
            self.finish(job, _JobResult(None, status, Ran.MAYBE, too_large))
        elif job:
            self.finish(job, _JobResult(None, Status.CONNECT_FAILED, Ran.NEVER))

    def _forget_if_unused(self, name: str) -> None:
        worker = self._workers.get(name)
        if worker and not worker.open:
            del self._workers[name]

    def sweep(self) -> None:
        """Close connections that have been idle for `IDLE_TIMEOUT_S`."""
        before = time.monotonic() - IDLE_TIMEOUT_S
        for worker in list(self._workers.values()):
            for connection in [c for c in worker.idle if c.idle_since_s < before]:
                connection.stream.close()

    def sizes(self) -> dict[str, int]:
        """Numbers of open connections and of attempts in flight, by the names in the metrics."""
        return {
            "worker_connections": sum(worker.open for worker in self._workers.values()),
            "worker_jobs": len(self._jobs),
        }

    def close(self) -> None:
        """Cancel all tasks and close all idle connections."""
        for task in list(self._tasks):
            task.cancel()
        for worker in list(self._workers.values()):
            for connection in list(worker.idle):
                connection.stream.close()
