"""The link to workers that speak RESP: the seam of workers/link, over connections of many requests.

Requests are spread over several connections, as a connection that ends takes along what is on it; but each
costs its worker a handshake, so further ones are earned by requests.  An attempt never goes where its id is
known already, so that no late answer is taken for its own.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.resp import codec
from swiftwell.workers.resp.codec import Answer
from swiftwell.workers.resp.connection import Connection, Handover, Job

IDLE_PART = 0.7  # of the time after which a worker closes an unused connection: ours go well before
ORDER_S = 10.0  # s until an order is forgotten here, where the settings tell no time or a shorter one
LEAST_EACH = 2  # connections to a worker, whatever the descriptors: one may be silent
MOST_EACH = 24  # connections to a worker: more than the attempts that the module lets out to one
EARNED = 0.05  # further connections a request earns: a handshake is a thousandth of twenty calls' work
MOST_EARNED = 64.0  # further connections saved up: a wave of resets may take all of a busy worker's


def _now_us() -> int:
    return time.monotonic_ns() // 1_000


@dataclass(frozen=True, slots=True)
class RespBounds:
    """What the link allows."""

    connections: int  # to all workers
    streams: int = 32  # requests on a connection
    connect_s: float = 0.25
    idle_s: float = 30.0
    order_s: float = ORDER_S


@dataclass(slots=True, eq=False)
class _Worker:
    connections: list[Connection] = field(default_factory=list)
    judging: Connection | None = None  # shows whether the process lives
    gone: bool = False


class RespLink:
    """All connections to workers.

    `address` says where a worker is; `put` takes what happened to the engine; `ready` says whether new work
    may still go to a worker by the list, `serves` whether it is proven not to drain; `wake` sees to it that
    `flush` is called soon, also where the engine has nothing to do; `keeps_alive` says whether each worker's
    last connection is to be kept, as it shows that the process is the same; `stands` hears of connections.
    """

    def __init__(
        self,
        bounds: RespBounds,
        address: Callable[[str], tuple[str, int] | None],
        put: Callable[[ports.Input], None],
        log: Callable[..., None],
        ready: Callable[[str], bool] = lambda worker: True,
        wake: Callable[[], None] | None = None,
        serves: Callable[[str], bool] = lambda worker: True,
        keeps_alive: Callable[[], bool] = lambda: False,
        stands: Callable[[ports.WorkerConnected | ports.WorkerDisconnected], None] = lambda given: None,
    ) -> None:
        self._bounds, self._address, self._put, self._log, self._ready = bounds, address, put, log, ready
        self._wake = wake or self._flush_soon
        self._serves, self._keeps_alive, self._stands = serves, keeps_alive, stands
        self._workers: dict[str, _Worker] = {}
        self._jobs: dict[tuple[str, int], Job] = {}
        self._orders: dict[int, Job] = {}
        self._dirty: dict[Connection, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self.open, self._closed = 0, False
        self._earned = 0.0  # connections that may be opened beside one of the same worker that would do
        self.counts = dict.fromkeys(("opened", "spoilt", "ended", "refused", "kept_alive"), 0)

    # What the engine wants.

    def start(self, act: ports.Start) -> None:
        """Begin an attempt; its wire id is the client's own."""
        key, trigger, began = (act.id, act.number), act.trigger, time.monotonic()
        handover = Handover()

        def end(status: Status, ran: Ran, body: bytes = b"", found: int = 0, crowd: int = 0) -> None:
            self._jobs.pop(key, None)
            latency = int((time.monotonic() - began) * 1e6)
            ended = (act.id, act.number, status, ran, body, latency, found, crowd)
            self._put(ports.AttemptEnd(*ended, sent_us=handover.at_us))

        def answered(answer: Answer) -> None:
            v = codec.verdict(answer[1], answer[2])
            end(v.status, v.ran, answer[3] if v.status is Status.OK else b"", v.found, v.crowd)

        id_ = trigger.key.encode()
        until_us = (act.at_us or int(began * 1e6)) + act.left_us

        def words(now_s: float) -> bytes:
            now_us = int(now_s * 1e6)
            left = until_us - now_us
            if left <= 0 or (act.send_before_us and now_us >= act.send_before_us):
                return b""
            return codec.run(
                id_, trigger.request_class, trigger.function, left, trigger.payload, trigger.token
            )

        job = Job(act.worker, id_, words(began), answered, end, True, words, began=began, handover=handover)
        self._jobs[key] = job
        self._begin(job)

    def abandon(self, act: ports.Abandon) -> None:
        """Stop waiting for an attempt."""
        job = self._jobs.get((act.id, act.number))
        if job is None:  # whatever became of it, its call must not wait for ever
            self._put(ports.AttemptEnd(act.id, act.number, act.status, Ran.MAYBE))
        elif not job.over:
            self._give_up(job)
            job.ended(*((act.status, Ran.MAYBE) if job.written else (Status.MOOT, Ran.NEVER)))

    def withdraw(self, act: ports.Withdraw) -> None:
        """Take back an attempt that waits for a connection, or for its worker to be judged."""
        job = self._jobs.get((act.id, act.number))
        if job and not job.over and not job.written:
            self._give_up(job)
            job.ended(Status.MOOT, Ran.NEVER)

    def recall(self, act: ports.Recall) -> None:
        """Forget an order: its time is up in the engine's books, where it has ended."""
        job = self._orders.pop(act.number, None)
        if job and not job.over:
            self._give_up(job)

    def order(self, act: ports.Order) -> None:
        """Send an order to load, or a question."""
        number, began, handover = act.number, time.monotonic(), Handover()

        def end(status: Status, ran: Ran, copies: int = 0, heard: bool = False) -> None:
            self._orders.pop(number, None)
            latency = int((time.monotonic() - began) * 1e6)
            self._put(ports.OrderEnd(number, status, copies, latency, answered=heard, sent_us=handover.at_us))

        def answered(answer: Answer) -> None:
            status, copies = codec.stands(answer[1], answer[2])
            end(status, Ran.YES, copies, True)

        tag = b"o%d" % number
        data = codec.hold(tag, act.function, act.copies)
        resend, asks = lambda now_s: data, not act.copies
        job = Job(act.worker, tag, data, answered, end, False, resend, asks, began=began, handover=handover)
        self._orders[number] = job
        self._begin(job)

    @staticmethod
    def _give_up(job: Job) -> None:
        """Nothing more is wanted of a job; it may be on no connection, while its worker is judged."""
        job.over = True
        if job.connection:
            job.connection.give_up(job)

    def ask(self, act: ports.Ask) -> None:
        """Nobody is asked here: there is no saved list to check."""
        self._put(ports.Asked(act.worker, False))

    # Connections.

    def _begin(self, job: Job) -> None:
        worker = self._workers.setdefault(job.worker, _Worker())
        if worker.gone and self._address(job.worker):
            worker.gone = False  # listed again: else each sweep closed what it had just opened
        self._earned = min(MOST_EARNED, self._earned + EARNED)
        connection = self._pick(job, worker)
        if connection is None:
            self.counts["refused"] += 1
            job.over = True
            # A want of connections is our own, and tells nothing of the worker.
            known = self._address(job.worker) is not None
            job.ended(Status.MOOT if known else Status.CONNECT_FAILED, Ran.NEVER)
        else:
            connection.put(job)

    def _pick(self, job: Job, worker: _Worker) -> Connection | None:
        """The connection with the least on it; a new one sooner than a second request on one, if earned.

        A router of hundreds with some calls a second opens few: each had its own for every call at work, and
        all together two handshakes for three calls.
        """
        address, best = self._address(job.worker), None
        for one in worker.connections:
            usable = not one.over and not one.doubted and one.address == address and job.id not in one.known
            if (
                usable
                and len(one.jobs) < self._bounds.streams
                and (best is None or (len(one.jobs), not one.up) < (len(best.jobs), not best.up))
            ):
                best = one
        if best is not None and not best.jobs:
            return best
        if address is not None and (best is None or self._earned >= 1) and self._room(worker):
            self._earned -= best is not None
            return self._open(job.worker, worker, address)
        return best

    def _room(self, worker: _Worker) -> bool:
        each = max(LEAST_EACH, min(MOST_EACH, self._bounds.connections // max(1, len(self._workers))))
        return len(worker.connections) < each and self.open < self._bounds.connections

    def _open(self, name: str, worker: _Worker, address: tuple[str, int]) -> Connection:
        connection = Connection(self, name, address)
        worker.connections.append(connection)
        self.open += 1
        self.counts["opened"] += 1
        task = asyncio.ensure_future(connection.run(self._bounds.connect_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def closed(self, connection: Connection, why: str, jobs: list[Job]) -> None:
        """A connection has ended."""
        self.open -= 1
        self.counts["spoilt" if why else "ended"] += 1
        if why:
            self._log("warning", "bad-answer", worker=connection.worker, why=why)
        self._dirty.pop(connection, None)
        worker = self._workers.get(connection.worker)
        if worker:
            worker.connections.remove(connection)
            if connection.up:
                self._stands(ports.WorkerDisconnected(connection.worker, _now_us()))
            if worker.gone and not worker.connections:
                del self._workers[connection.worker]
        for job in jobs:
            job.connection = None
        if self._closed:
            return
        if jobs:
            why_ended = why or connection.failure
            self._log("info", "connection-ended", worker=connection.worker, why=why_ended, requests=len(jobs))
        if why:
            self._lost(jobs, lives=True)
        elif connection.failed_here:
            self._log("warning", "cannot-connect", worker=connection.worker, why=connection.failure)
            self._never_sent(jobs)
        elif not connection.up and not connection.reset:  # refused, or nobody there
            self._log("info", "connect-failed", worker=connection.worker, why=connection.failure)
            self._lost(jobs, lives=False)
        elif jobs:
            self._judge(connection.worker, jobs)

    def _judge(self, name: str, jobs: list[Job]) -> None:
        """Whether a process died or a connection broke: the module takes a reset for a start, cold for long.

        All connections of a process that died are reset and new ones refused until it is started anew; where
        one comes up at once the process lives, and only the attempts on the old one are lost.  One that is
        reset while it comes up was accepted by somebody: it proves no more.
        """
        worker, address = self._workers.get(name), self._address(name)
        if worker and (worker.judging is None or worker.judging.opened.done()):  # an older one proves nothing
            worker.judging = self._open(name, worker, address) if address and self._room(worker) else None
        if worker and worker.judging:
            worker.judging.opened.add_done_callback(lambda opened: self._lost(jobs, opened.result()))
        else:
            self._lost(jobs, lives=address is not None)  # for want of room of ours nothing is known

    def _lost(self, jobs: list[Job], lives: bool) -> None:
        """Attempts whose connection ended; one of which nothing was written goes on where it can, once."""
        for job in jobs:
            if job.over:  # given up meanwhile
                continue
            if lives and not job.written and not job.moved:
                job.moved = job.waited = True
                self._begin(job)
                continue
            job.over = True
            if job.written:
                job.ended(Status.ERROR if lives else Status.RESET, Ran.MAYBE)
            else:
                job.ended(Status.MOOT if lives else Status.CONNECT_FAILED, Ran.NEVER)

    @staticmethod
    def _never_sent(jobs: list[Job]) -> None:
        """Attempts that could not go out for a reason of ours: no word against their worker."""
        for job in jobs:
            if not job.over:
                job.over = True
                job.ended(Status.MOOT, Ran.NEVER)

    def came_up(self, connection: Connection) -> None:
        """A connection stands now."""
        worker = self._workers.get(connection.worker)
        if worker:
            self._stands(ports.WorkerConnected(connection.worker, _now_us()))

    def reaches(self, connection: Connection) -> bool:
        """Whether a connection still leads to its worker."""
        return self._address(connection.worker) == connection.address

    def leave(self, connection: Connection) -> bool:
        """Whether new work may still go to a connection's worker, and there."""
        worker = connection.worker
        return self.reaches(connection) and self._ready(worker) and self._serves(worker)

    def dirty(self, connection: Connection) -> None:
        """Something is to be written at the end of the turn, which need not be one of the engine's."""
        self._dirty[connection] = None
        self._wake()

    def _flush_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """The end of a turn: one write for each connection that has something."""
        dirty, self._dirty = self._dirty, {}
        for connection in dirty:
            connection.flush()

    def gone(self, worker_id: str) -> None:
        """A worker has left the list: its connections go once nothing is on them."""
        worker = self._workers.get(worker_id)
        if worker:
            worker.gone = True
            if not worker.connections:
                del self._workers[worker_id]

    def sweep(self) -> None:
        """Close what was not used for long or is of no use, and give up old orders."""
        now = time.monotonic()
        keeps_alive = self._keeps_alive()
        for name, worker in list(self._workers.items()):
            address = self._address(name)
            kept = self._keep_alive(worker, now) if keeps_alive and address else None
            for one in list(worker.connections):
                stale = one is not kept and one.used < now - IDLE_PART * self._bounds.idle_s
                if not one.jobs and (stale or one.doubted or worker.gone or one.address != address):
                    one.close()
            if address is None and not worker.connections:
                del self._workers[name]  # made anew by what was still on its way to one that had gone
        for job in [job for job in self._orders.values() if job.began < now - self._bounds.order_s]:
            self._give_up(job)
            job.ended(Status.TIMEOUT, Ran.MAYBE)

    def _keep_alive(self, worker: _Worker, now: float) -> Connection | None:
        """The one connection of a worker that is kept, by a word where it is not in use."""
        standing = [one for one in worker.connections if one.up and not one.over and not one.doubted]
        kept = max(standing, key=lambda one: (len(one.jobs), one.used), default=None)
        if kept and not kept.jobs and kept.used < now - IDLE_PART / 2 * self._bounds.idle_s:
            kept.keep_alive()
            self.counts["kept_alive"] += 1
        return kept

    def sizes(self) -> dict[str, int]:
        """What stands now."""
        return {
            "worker_connections": self.open,
            "worker_jobs": len(self._jobs),
            "worker_orders": len(self._orders),
            "linked_workers": len(self._workers),
        }

    def close(self) -> None:
        """End everything; no worker is judged any more, as that would open connections anew."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
