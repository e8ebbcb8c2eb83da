"""The RESP link to workers: the interface of `workers/link`, over connections that carry several requests.

Requests are spread over several connections, as a connection that ends takes all its requests along.  As each
connection costs its worker a handshake, requests earn credit for further ones.  An attempt never goes to a
connection that knows its id already, so that no late answer is taken for its own.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from swiftwell.fair_reads import ReadTurns
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.resp import codec
from swiftwell.workers.resp.answer_permits import AnswerPermits
from swiftwell.workers.resp.codec import Answer
from swiftwell.workers.resp.connection import Connection, Job, SendTime

IDLE_CLOSE_SHARE = 0.7  # of the time after which a worker closes an unused connection: we close well before
ORDER_TIMEOUT_S = 10.0  # for load orders, where the settings give no time or a shorter one
MIN_CONNECTIONS_EACH = 2  # to a worker, however few descriptors there are: one connection may be silent
MAX_CONNECTIONS_EACH = 24  # to a worker: more than the attempts that the module sends to one at a time
CREDIT_PER_REQUEST = (
    0.05  # further connections a request earns: a handshake is a thousandth of 20 calls' work
)
PROOF_INTERVAL_S = 0.015  # in which answers to other requests mostly prove the arrival of those before them
MAX_CREDIT = 64.0  # further connections saved up: a wave of resets may end all connections to a busy worker


def _now_us() -> int:
    return time.monotonic_ns() // 1_000


@dataclass(frozen=True, slots=True)
class RespBounds:
    """Limits of the link."""

    connections: int  # to all workers
    streams: int = 32  # requests on a connection
    connect_s: float = 0.25
    idle_s: float = 30.0
    order_s: float = ORDER_TIMEOUT_S
    large_answers: int = 64  # that are read at a time, in memory each of up to `codec.MAX_BODY_BYTES`


@dataclass(slots=True, eq=False)
class _Worker:
    connections: list[Connection] = field(default_factory=list)
    liveness_check: Connection | None = None  # a connection opened to learn whether the process lives
    removed: bool = False


class RespLink:
    """All connections to workers.

    `address` looks up a worker's address; `enqueue` passes results to the engine; `ready` says whether new
    work may still go to a worker by the worker list, `serves` whether its lease proves that it does not
    drain; `wake` ensures that `flush` is called soon, also if the engine has nothing to do; `keeps_alive`
    says whether the last connection to each worker is kept, as it proves that the process is the same;
    `on_change` is told of each connection opened or closed; `on_failure` gets the stage of a contained
    failure and its error; `confirmed_since` says whether the worker list was known to be complete at a
    monotonic us or later; `still_waits` says whether a client still waits for the answer to its trigger.
    """

    def __init__(
        self,
        bounds: RespBounds,
        address: Callable[[str], tuple[str, int] | None],
        enqueue: Callable[[ports.Input], None],
        log: Callable[..., None],
        ready: Callable[[str], bool] = lambda worker: True,
        wake: Callable[[], None] | None = None,
        serves: Callable[[str], bool] = lambda worker: True,
        keeps_alive: Callable[[], bool] = lambda: False,
        on_change: Callable[[ports.WorkerConnected | ports.WorkerDisconnected], None] = lambda change: None,
        on_failure: Callable[[str, Exception], None] = lambda stage, error: None,
        confirmed_since: Callable[[int], bool] = lambda at_us: True,
        still_waits: Callable[[Trigger], bool] = lambda trigger: True,
    ) -> None:
        self._bounds, self._address, self._enqueue, self._log, self._ready = (
            bounds,
            address,
            enqueue,
            log,
            ready,
        )
        self._wake = wake or self._flush_soon
        self._serves, self._keeps_alive, self._on_change = serves, keeps_alive, on_change
        self.on_failure, self._confirmed_since = on_failure, confirmed_since
        self._still_waits = still_waits
        self._workers: dict[str, _Worker] = {}
        self._jobs: dict[tuple[str, int], Job] = {}
        self._orders: dict[int, Job] = {}
        self._unflushed: dict[Connection, None] = {}
        # Shared connections with new jobs: in this interval, and in the one before.
        self._unproven: dict[Connection, None] = {}
        self._unproven_before: dict[Connection, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self.read_turns = ReadTurns()
        self.answer_permits = AnswerPermits(bounds.large_answers)
        self.open, self._closed = 0, False
        self._credit = 0.0  # connections that may be opened although another one to the worker could be used
        self.counts = dict.fromkeys(("opened", "spoilt", "ended", "silent", "refused", "kept_alive"), 0)

    # Outputs of the engine.

    def start(self, act: ports.Start) -> None:
        """Start an attempt; its id on the wire is the client's own."""
        key, trigger, started_s = (act.id, act.number), act.trigger, time.monotonic()
        send_time = SendTime()

        def on_end(
            status: Status, ran: Ran, body: bytes = b"", copy_state: int = 0, calls_waiting: int = 0
        ) -> None:
            self._jobs.pop(key, None)
            latency = int((time.monotonic() - started_s) * 1e6)
            values = (act.id, act.number, status, ran, body, latency, copy_state, calls_waiting)
            self._enqueue(ports.AttemptEnd(*values, sent_us=send_time.at_us))

        def on_answer(answer: Answer) -> None:
            verdict = codec.run_verdict(answer[1], answer[2])
            on_end(
                verdict.status,
                verdict.ran,
                answer[3] if verdict.status is Status.OK else b"",
                verdict.copy_state,
                verdict.function_calls_waiting,
            )

        id_ = trigger.key.encode()
        deadline_us = (act.at_us or int(started_s * 1e6)) + act.left_us

        def encode(now_s: float) -> bytes:
            now_us = int(now_s * 1e6)
            left_us = deadline_us - now_us
            if left_us <= 0 or (act.send_before_us and now_us >= act.send_before_us):
                return b""
            return codec.run_command(
                id_, trigger.request_class, trigger.function, left_us, trigger.payload, trigger.token
            )

        job = Job(
            act.worker,
            id_,
            encode(started_s),
            on_answer,
            on_end,
            True,
            encode,
            lambda: self._still_waits(trigger),
            act.only_listed,
            started_s=started_s,
            send_time=send_time,
        )
        self._jobs[key] = job
        self._dispatch(job)

    def abandon(self, act: ports.Abandon) -> None:
        """Stop waiting for an attempt."""
        job = self._jobs.get((act.id, act.number))
        if job is None:  # the engine waits for this attempt's end in any case
            self._enqueue(ports.AttemptEnd(act.id, act.number, act.status, Ran.MAYBE))
        elif not job.done:
            self._abandon(job)
            job.on_end(*((act.status, Ran.MAYBE) if job.written else (Status.MOOT, Ran.NEVER)))

    def withdraw(self, act: ports.Withdraw) -> None:
        """Nobody waits for an attempt's answer any more.

        Take it back if it waits for a connection, or for a liveness check of its worker.  One that was
        written must have arrived by now, or must never do so; its answer may still come.
        """
        job = self._jobs.get((act.id, act.number))
        if job is None or job.done:
            return
        if not job.written:
            self._abandon(job)
            job.on_end(Status.MOOT, Ran.NEVER)
        elif job.connection:
            job.connection.withdraw(job)

    def recall(self, act: ports.Recall) -> None:
        """Forget a load order that the engine has timed out."""
        job = self._orders.pop(act.number, None)
        if job and not job.done:
            self._abandon(job)

    def order(self, act: ports.Order) -> None:
        """Send a load order, or a query for the number of copies."""
        number, started_s, send_time = act.number, time.monotonic(), SendTime()

        def on_end(status: Status, ran: Ran, copies: int = 0, answered: bool = False) -> None:
            self._orders.pop(number, None)
            latency = int((time.monotonic() - started_s) * 1e6)
            self._enqueue(
                ports.OrderEnd(number, status, copies, latency, answered=answered, sent_us=send_time.at_us)
            )

        def on_answer(answer: Answer) -> None:
            status, copies = codec.load_result(answer[1], answer[2])
            on_end(status, Ran.YES, copies, True)

        tag = b"o%d" % number
        data = codec.load_command(tag, act.function, act.copies)
        encode, is_query = lambda now_s: data, not act.copies
        job = Job(
            act.worker,
            tag,
            data,
            on_answer,
            on_end,
            False,
            encode,
            is_query=is_query,
            started_s=started_s,
            send_time=send_time,
        )
        self._orders[number] = job
        self._dispatch(job)

    @staticmethod
    def _abandon(job: Job) -> None:
        """Stop waiting for a job, which has no connection while its worker's liveness is checked."""
        job.done = True
        if job.connection:
            job.connection.abandon(job)

    def probe(self, act: ports.Ask) -> None:
        """Not supported here, as there is no saved worker list to check: report the probe as unanswered."""
        self._enqueue(ports.Asked(act.worker, False))

    # Connections.

    def _dispatch(self, job: Job) -> None:
        worker = self._workers.setdefault(job.worker, _Worker())
        if worker.removed and self._address(job.worker):
            worker.removed = False  # listed again: else each sweep would close its new connections
        self._credit = min(MAX_CREDIT, self._credit + CREDIT_PER_REQUEST)
        connection = self._pick(job, worker)
        if connection is None:
            self.counts["refused"] += 1
            job.done = True
            # A lack of connections is our own, and says nothing about the worker.
            listed = self._address(job.worker) is not None
            job.on_end(Status.MOOT if listed else Status.CONNECT_FAILED, Ran.NEVER)
        else:
            connection.add(job)

    def _pick(self, job: Job, worker: _Worker) -> Connection | None:
        """The least loaded connection; with enough credit, a new one rather than a busy one.

        Without the credit, routers of a large fleet with a few calls per second each opened a connection for
        every concurrent call, which made two handshakes for three calls.
        """
        address, best = self._address(job.worker), None
        for connection in worker.connections:
            usable = connection.usable and connection.address == address and job.id not in connection.history
            if job.only_listed:  # also where an arrival is not proven yet: there may be no other
                usable = self._may_carry_only_listed(connection, job, address)
            if (
                usable
                and len(connection.jobs) < self._bounds.streams
                and (
                    best is None
                    or (len(connection.jobs), not connection.established)
                    < (len(best.jobs), not best.established)
                )
            ):
                best = connection
        if job.only_listed or (best is not None and not best.jobs):  # a new connection proves nothing yet
            return best
        if address is not None and (best is None or self._credit >= 1) and self._may_open(worker):
            self._credit -= best is not None
            return self._open(job.worker, worker, address)
        return best

    def _may_carry_only_listed(
        self, connection: Connection, job: Job, address: tuple[str, int] | None
    ) -> bool:
        open_here = not connection.closed and connection.address == address
        return open_here and job.id not in connection.history and self.is_listed_process(connection)

    def _may_open(self, worker: _Worker) -> bool:
        """Whether the limits allow another connection to a worker."""
        limit_each = max(
            MIN_CONNECTIONS_EACH,
            min(MAX_CONNECTIONS_EACH, self._bounds.connections // max(1, len(self._workers))),
        )
        return len(worker.connections) < limit_each and self.open < self._bounds.connections

    def _open(self, name: str, worker: _Worker, address: tuple[str, int]) -> Connection:
        connection = Connection(self, name, address)
        worker.connections.append(connection)
        self.open += 1
        self.counts["opened"] += 1
        task = asyncio.ensure_future(connection.run(self._bounds.connect_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def connection_closed(self, connection: Connection, protocol_error: str, jobs: list[Job]) -> None:
        """A connection has ended: end its jobs or move them to another connection."""
        self.open -= 1
        self.counts["spoilt" if protocol_error else "silent" if connection.silent else "ended"] += 1
        if protocol_error:
            self._log("warning", "bad-answer", worker=connection.worker, why=protocol_error)
        self._unflushed.pop(connection, None)
        worker = self._workers.get(connection.worker)
        if worker:
            worker.connections.remove(connection)
            if connection.established:
                self._on_change(ports.WorkerDisconnected(connection.worker, _now_us()))
            if worker.removed and not worker.connections:
                del self._workers[connection.worker]
        for job in jobs:
            job.connection = None
        if self._closed:
            return
        if jobs:
            reason = protocol_error or ("silent" if connection.silent else connection.failure)
            self._log("info", "connection-ended", worker=connection.worker, why=reason, requests=len(jobs))
        if protocol_error:
            self._connection_lost(jobs, alive=True)
        elif connection.silent:
            self._connection_lost(jobs, alive=True, status=Status.TIMEOUT)
        elif connection.failed_locally:
            self._log("warning", "cannot-connect", worker=connection.worker, why=connection.failure)
            self._end_unsent(jobs)
        elif not connection.established and not connection.reset:  # refused, or no host at the address
            self._log("info", "connect-failed", worker=connection.worker, why=connection.failure)
            self._connection_lost(jobs, alive=False)
        elif jobs:
            self._check_liveness(connection.worker, jobs)

    def _check_liveness(self, name: str, jobs: list[Job]) -> None:
        """Open a connection to learn whether the worker's process died, or only one of its connections.

        The distinction matters because the module takes a reset for a restart, and then takes the worker for
        cold for a long time.  If the process died, all its connections are reset, and new ones are refused
        until it is started again.  If a new one is established at once, the process lives and only the
        attempts on the old connection are lost.  A connection that is reset while it is being opened was
        accepted by some process, which proves no more.
        """
        worker, address = self._workers.get(name), self._address(name)
        # An earlier check that has its result proves nothing about now.
        if worker and (worker.liveness_check is None or worker.liveness_check.connect_result.done()):
            worker.liveness_check = (
                self._open(name, worker, address) if address and self._may_open(worker) else None
            )
        if worker and worker.liveness_check:
            worker.liveness_check.connect_result.add_done_callback(
                lambda connected: self._connection_lost(jobs, connected.result())
            )
        else:
            # If our limits allow no connection, nothing is known of the worker: it counts as alive.
            self._connection_lost(jobs, alive=address is not None)

    def _connection_lost(self, jobs: list[Job], alive: bool, status: Status = Status.ERROR) -> None:
        """End the jobs of a lost connection; one that is unwritten goes to another connection, once.

        `status`: of the written ones, if the worker's process lives.
        """
        for job in jobs:
            if job.done:  # abandoned meanwhile
                continue
            if alive and not job.written and not job.moved:
                job.moved = job.delayed = True
                self._dispatch(job)
                continue
            job.done = True
            if job.written:
                job.on_end(status if alive else Status.RESET, Ran.MAYBE)
            else:
                job.on_end(Status.MOOT if alive else Status.CONNECT_FAILED, Ran.NEVER)

    @staticmethod
    def _end_unsent(jobs: list[Job]) -> None:
        """End jobs that could not be sent for a reason on this machine; that says nothing of the worker."""
        for job in jobs:
            if not job.done:
                job.done = True
                job.on_end(Status.MOOT, Ran.NEVER)

    def connection_opened(self, connection: Connection) -> None:
        """A connection has been established."""
        worker = self._workers.get(connection.worker)
        if worker:
            self._on_change(ports.WorkerConnected(connection.worker, _now_us()))

    def address_is_current(self, connection: Connection) -> bool:
        """Whether the connection's address is still that of its worker."""
        return self._address(connection.worker) == connection.address

    def may_send(self, connection: Connection) -> bool:
        """Whether new work may still be sent to the connection's worker, at this address."""
        worker = connection.worker
        return self.address_is_current(connection) and self._ready(worker) and self._serves(worker)

    def is_listed_process(self, connection: Connection) -> bool:
        """Whether the connection leads for certain to the process that the worker list names.

        It is to the process that was there when it was opened, and the list was complete after that.
        """
        return connection.established and self._confirmed_since(connection.established_us)

    def schedule_flush(self, connection: Connection) -> None:
        """The connection has data to write; the loop iteration at hand need not be one of the engine's."""
        self._unflushed[connection] = None
        self._wake()

    def prove_arrivals_later(self, connection: Connection) -> None:
        """Jobs were written that share a connection: their arrival is to be proven in one or two intervals.

        One timer for all connections, as each of thousands of calls a second would need one else.
        """
        if not self._unproven and not self._unproven_before:
            asyncio.get_running_loop().call_later(PROOF_INTERVAL_S, self._prove_arrivals)
        self._unproven[connection] = None

    def _prove_arrivals(self) -> None:
        due, self._unproven_before, self._unproven = self._unproven_before, self._unproven, {}
        if self._unproven_before:
            asyncio.get_running_loop().call_later(PROOF_INTERVAL_S, self._prove_arrivals)
        for connection in due:
            connection.prove_arrivals()

    def _flush_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """At the end of a loop iteration: one write on each connection that has output."""
        unflushed, self._unflushed = self._unflushed, {}
        for connection in unflushed:
            try:
                connection.flush()
            except Exception as error:  # what was written of its output is not known
                self.on_failure("worker-flush", error)
                connection.close()

    def worker_removed(self, worker_id: str) -> None:
        """A worker has left the list: its connections are closed once they are idle."""
        worker = self._workers.get(worker_id)
        if worker:
            worker.removed = True
            if not worker.connections:
                del self._workers[worker_id]

    def sweep(self) -> None:
        """Close connections that are idle for too long or useless, and time out old load orders."""
        now = time.monotonic()
        keeps_alive = self._keeps_alive()
        for name, worker in list(self._workers.items()):
            address = self._address(name)
            kept = self._keep_alive(worker, now) if keeps_alive and address else None
            for connection in list(worker.connections):
                stale = (
                    connection is not kept
                    and connection.last_used_s < now - IDLE_CLOSE_SHARE * self._bounds.idle_s
                )
                if not connection.jobs and (stale or worker.removed or connection.address != address):
                    connection.close()
            if address is None and not worker.connections:
                del self._workers[name]  # created by a job that was dispatched after the worker had left
        for job in [job for job in self._orders.values() if job.started_s < now - self._bounds.order_s]:
            self._abandon(job)
            job.on_end(Status.TIMEOUT, Ran.MAYBE)

    def _keep_alive(self, worker: _Worker, now: float) -> Connection | None:
        """Choose the connection of a worker that is kept, and send a keep-alive on it if it is idle."""
        established = [
            connection for connection in worker.connections if connection.established and connection.usable
        ]
        kept = max(
            established, key=lambda connection: (len(connection.jobs), connection.last_used_s), default=None
        )
        if kept and not kept.jobs and kept.last_used_s < now - IDLE_CLOSE_SHARE / 2 * self._bounds.idle_s:
            kept.keep_alive()
            self.counts["kept_alive"] += 1
        return kept

    def sizes(self) -> dict[str, int]:
        """Sizes of the link's tables, by their names in the metrics."""
        return {
            "worker_connections": self.open,
            "worker_jobs": len(self._jobs),
            "worker_orders": len(self._orders),
            "linked_workers": len(self._workers),
        }

    def close(self) -> None:
        """End all connections, without liveness checks, as these would open new ones."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
