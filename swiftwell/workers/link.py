"""The link to workers: carries out attempts and orders over pooled connections, and says what each end
proves.

An attempt goes through `waiting for a connection` (never ran), then `written` (may have run, from the first
byte handed to
the kernel on), until its end.  There is one attempt on a connection at a time, so no answer can be another's;
bytes that nobody asked for end the connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.http.http1 import BadMessage, Begun, Parser, Response, TooLarge, encode
from swiftwell.interface import Status
from swiftwell.workers import protocol

IDLE_S = 30.0  # s that an unused connection is kept


@dataclass(frozen=True, slots=True)
class LinkBounds:
    """What the link allows; the site's settings state it."""

    connections: int = 64  # to one worker
    connect_s: float = 0.25
    answer: int = 1 << 20  # bytes of an answer's body
    idle: int = 16  # unused connections kept to one worker
    order_s: float = 10.0


@dataclass(slots=True, eq=False)
class _Job:
    """An attempt or an order on its way."""

    worker: str
    data: bytes
    ended: Callable[[_End], None]
    began: float
    first: Callable[[], None] | None = None
    connection: _Connection | None = None
    written: bool = False
    over: bool = False
    timer: object = None
    until: float = 0.0  # of orders and questions: when they count as unanswered, monotonic s


@dataclass(slots=True)
class _End:
    """How a job ended: an answer, or a status with what it proves."""

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

    def __init__(self, link: Link, worker: str, stream: IOStream, most: int) -> None:
        self.link, self.worker, self.stream = link, worker, stream
        self.parser = Parser(True, most)
        self.job: _Job | None = None
        self.since = 0.0
        self.raw = bytearray()  # what of the job's answer has come, for a process that goes on with it

    async def read(self) -> None:
        """Read answers until the connection ends; always reading, so that a peer's closing is seen at
        once."""
        too_large, why = False, ""
        try:
            while True:
                data = await self.stream.read_bytes(65_536, partial=True)
                job = self.job
                if job is None:  # a worker that answers twice
                    why = "bytes that nobody asked for"
                    break
                self.raw += data
                for message in self.parser.feed(data):
                    if isinstance(message, Begun):
                        if job.first and not job.over:
                            job.first()
                        continue
                    assert isinstance(message, Response)
                    self.job = None
                    reuse = message.keep and self.parser.idle
                    if reuse:
                        self.link.release(self)
                    self.link.end(job, _End(message, Status.OK, Ran.YES))
                    if not reuse:
                        return
        except StreamClosedError:
            pass
        except TooLarge as error:
            too_large, why = True, str(error)
        except BadMessage as error:
            why = str(error)
        finally:
            if why:
                self.link.log("warning", "bad-answer", worker=self.worker, why=why)
            self.link.closed(self, Status.ERROR if why else Status.RESET, too_large)


class Link:
    """All connections to workers.

    `put` takes what happened to the engine; it is called from the loop, never from within `start` or `order`.
    """

    def __init__(
        self,
        gateway: str,
        bounds: LinkBounds,
        put: Callable[[ports.Input], None],
        log: Callable[..., None],
        started: Callable[[float], int] = lambda ms: 0,
    ) -> None:
        self._gateway, self._bounds, self._put, self.log = gateway, bounds, put, log
        self._started = started  # a worker's start in wall-clock ms as monotonic us
        self.most = bounds.connections  # to one worker now; see `allow`
        self._workers: dict[str, _Worker] = {}
        self._jobs: dict[tuple[str, int], _Job] = {}
        self.others: dict[_Job, tuple[str, int]] = {}  # orders and questions: kind, number
        self._held = False
        self._waiting: list[_Job] = []
        self._client = TCPClient()
        self._tasks: set[asyncio.Task] = set()
        self._loop = IOLoop.current()

    def start(self, act: ports.Start) -> None:
        """Begin an attempt."""
        request = protocol.run(self._gateway, act.worker, act.id, act.number, act.left_us, act.trigger)
        job = self._run_job(act.worker, act.id, act.number, encode(request), time.monotonic(), act.streamed)
        self._begin(job)

    def _run_job(self, worker: str, id_: str, number: int, data: bytes, began: float, streamed: bool) -> _Job:
        key = (id_, number)

        def ended(end: _End) -> None:
            self._jobs.pop(key, None)
            latency = int((time.monotonic() - began) * 1e6)
            if end.response is None:
                told = ports.AttemptEnd(
                    id_, number, end.status, end.ran, latency_us=latency, too_large=end.too_large
                )
            else:
                v = protocol.ran(end.response)
                told = ports.AttemptEnd(
                    id_,
                    number,
                    v.status,
                    v.ran,
                    end.response.body if v.status is Status.OK else b"",
                    latency,
                    v.found,
                    v.crowd,
                    v.held,
                    v.draining,
                    started_us=self._started(v.started_ms),
                    answered=True,
                )
            self._put(told)

        job = _Job(worker, data, ended, began)
        if streamed:
            job.first = lambda: self._put(ports.FirstByte(id_, number))
        self._jobs[key] = job
        return job

    def abandon(self, act: ports.Abandon) -> None:
        """Stop waiting for an attempt: its connection is of no further use."""
        job = self._jobs.get((act.id, act.number))
        if job:
            self._stop(job, act.status)

    def withdraw(self, act: ports.Withdraw) -> None:
        """Take back an attempt that waits for a connection."""
        job = self._jobs.get((act.id, act.number))
        if job and not job.written:
            self._stop(job, Status.MOOT)

    def recall(self, act: ports.Recall) -> None:
        """Forget an order that waits for a connection: it has ended in the engine's books."""
        for job in [
            job for job, of in self.others.items() if of == ("order", act.number) and not job.written
        ]:
            self._stop(job, Status.MOOT)

    def order(self, act: ports.Order) -> None:
        """Send an order to load, or a question."""
        request = protocol.hold(self._gateway, act.worker, act.function, act.copies, act.memory_mb, act.lanes)
        now = time.monotonic()
        self._begin(self._order_job(act.worker, act.number, encode(request), now, now + self._bounds.order_s))

    def _order_job(self, worker: str, number: int, data: bytes, began: float, until: float) -> _Job:
        def ended(end: _End) -> None:
            self._over(job)
            latency = int((time.monotonic() - began) * 1e6)
            status, copies, draining, start = end.status, 0, False, 0
            if end.response is not None:
                status, copies, draining = protocol.held(end.response)
                start = self._started(protocol.started_ms(end.response))
            heard = end.response is not None
            self._put(ports.OrderEnd(number, status, copies, latency, draining, start, heard))

        job = _Job(worker, data, ended, began)
        return self._limited(job, "order", number, until)

    def ask(self, act: ports.Ask) -> None:
        """Ask a worker whether it is there; any answer says so."""
        request = protocol.hold(self._gateway, act.worker, protocol.NO_FUNCTION, 0, 0.0, 1)
        now = time.monotonic()
        self._begin(self._ask_job(act.worker, encode(request), now, now + act.timeout_us / 1e6))

    def _ask_job(self, worker: str, data: bytes, began: float, until: float) -> _Job:
        def ended(end: _End) -> None:
            self._over(job)
            draining, start = False, 0
            if end.response is not None:
                draining = protocol.held(end.response)[2]
                start = self._started(protocol.started_ms(end.response))
            self._put(ports.Asked(worker, end.response is not None, draining, start))

        job = _Job(worker, data, ended, began)
        return self._limited(job, "ask", 0, until)

    def _limited(self, job: _Job, kind: str, number: int, until: float) -> _Job:
        """A job with a time limit of the link's own."""
        job.until = until
        job.timer = self._loop.call_later(max(0.0, until - time.monotonic()), self._stop, job, Status.TIMEOUT)
        self.others[job] = (kind, number)
        return job

    def _over(self, job: _Job) -> None:
        self._loop.remove_timeout(job.timer)
        self.others.pop(job, None)

    # Another process goes on with what this one did (handover/state.py).

    def all_jobs(self) -> list[_Job]:
        """Everything on its way."""
        return [*self._jobs.values(), *self.others]

    def hold(self, on: bool) -> None:
        """Open no connection while on: what waits for one is begun anew by whoever goes on."""
        self._held = on
        if not on:
            waiting, self._waiting = self._waiting, []
            for job in waiting:
                self._begin(job)

    def job_again(
        self,
        kind: str,
        worker: str,
        id_: str,
        number: int,
        data: bytes,
        began: float,
        until: float,
        streamed: bool,
    ) -> _Job:
        """A job that another process had."""
        if kind == "run":
            return self._run_job(worker, id_, number, data, began, streamed)
        if kind == "order":
            return self._order_job(worker, number, data, began, until)
        return self._ask_job(worker, data, began, until)

    def carry_on(self, job: _Job, connection: _Connection, unsent: bytes, raw: bytes) -> None:
        """Its request has been written, at least in part, on this connection; so much of its answer has
        come."""
        connection.job, job.connection, job.written = job, connection, True
        connection.raw += raw
        if unsent:
            connection.stream.write(unsent)
        for message in connection.parser.feed(raw):  # less than a whole answer, or it would have ended there
            assert isinstance(message, Begun)
        task = asyncio.ensure_future(connection.read())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin(self, job: _Job) -> None:
        if job.over:
            return
        if self._held:
            self._waiting.append(job)
            return
        worker = self._workers.setdefault(job.worker, _Worker())
        while worker.idle:
            connection = worker.idle.pop()
            if not connection.stream.closed():
                self._write(job, connection)
                return
        if worker.open >= self.most:
            # Told on a later turn: the engine is in the middle of its outputs.  Full, as the bound is ours:
            # after a failed connection the module forgets the copies there and takes it for a starting one.
            self._loop.add_callback(self.end, job, _End(None, Status.FULL, Ran.NEVER))
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
            self._tidy(job.worker)
            self.end(job, _End(None, Status.CONNECT_FAILED, Ran.NEVER))
            return
        stream.set_nodelay(True)
        connection = _Connection(self, job.worker, stream, self._bounds.answer)
        if job.over:  # given up while the connection was opened: keep it for the next
            self.release(connection)
        elif self._held:  # nothing may be written now
            self._waiting.append(job)
            self.release(connection)
        else:
            self._write(job, connection)
        await connection.read()

    def _write(self, job: _Job, connection: _Connection) -> None:
        connection.job, job.connection = job, connection
        connection.raw.clear()
        try:
            connection.stream.write(job.data)
        except (StreamClosedError, StreamBufferFullError):
            # Nothing was handed over: the stream knew that it was closed.  The reader ends the job.
            return
        job.written = True

    def _stop(self, job: _Job, status: Status) -> None:
        if job.over:
            return
        connection = job.connection
        end = _End(None, status, Ran.MAYBE) if job.written else _End(None, Status.MOOT, Ran.NEVER)
        if connection:
            connection.job = None
            connection.stream.close()
        self.end(job, end)

    def end(self, job: _Job, end: _End) -> None:
        """A job has ended, once."""
        if not job.over:
            job.over = True
            job.ended(end)

    def release(self, connection: _Connection) -> None:
        """A connection is free again."""
        worker = self._workers.setdefault(connection.worker, _Worker())
        connection.job, connection.since = None, time.monotonic()
        if len(worker.idle) < self._bounds.idle and worker.open <= self.most:
            worker.idle.append(connection)
        else:
            connection.stream.close()

    def allow(self, most: int) -> None:
        """So many connections to one worker from now on, one at least; unused ones beyond it are closed."""
        self.most = max(1, min(most, self._bounds.connections))
        for worker in self._workers.values():
            for _ in range(min(worker.open - self.most, len(worker.idle))):
                worker.idle.pop().stream.close()

    def closed(self, connection: _Connection, status: Status, too_large: bool) -> None:
        """A connection has ended; so has the job on it."""
        connection.stream.close()
        worker = self._workers.get(connection.worker)
        if worker:
            worker.open -= 1
            if connection in worker.idle:
                worker.idle.remove(connection)
            self._tidy(connection.worker)
        job, connection.job = connection.job, None
        if job and job.written:
            self.end(job, _End(None, status, Ran.MAYBE, too_large))
        elif job:
            self.end(job, _End(None, Status.CONNECT_FAILED, Ran.NEVER))

    def _tidy(self, name: str) -> None:
        worker = self._workers.get(name)
        if worker and not worker.open:
            del self._workers[name]

    def sweep(self) -> None:
        """Close what was not used for long."""
        before = time.monotonic() - IDLE_S
        for worker in list(self._workers.values()):
            for connection in [c for c in worker.idle if c.since < before]:
                connection.stream.close()

    def sizes(self) -> dict[str, int]:
        """What stands now."""
        return {
            "worker_connections": sum(worker.open for worker in self._workers.values()),
            "worker_jobs": len(self._jobs),
        }

    def close(self) -> None:
        """End everything."""
        for task in list(self._tasks):
            task.cancel()
        for worker in list(self._workers.values()):
            for connection in list(worker.idle):
                connection.stream.close()
