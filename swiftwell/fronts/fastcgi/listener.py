"""The listener: connections of front servers, within their limit of descriptors.

Connections on which no byte has arrived are cheap (`pending`).  When descriptors run short, the oldest of
these is evicted first, then the least recently used idle connection.  A connection that is not idle is never
evicted; the new one is closed instead.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from collections import Counter
from collections.abc import Callable

from tornado.ioloop import PeriodicCallback

from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.acceptor import Acceptor
from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.connection import Connection
from swiftwell.fronts.fastcgi.pending import FIRST_READ_BYTES, PendingConnections, reject
from swiftwell.fronts.fastcgi.turn_reader import READ_BYTES
from swiftwell.fronts.host import Host
from swiftwell.fronts.memory_budget import MemoryBudget
from swiftwell.fronts.overload import WAIT_SHARE, OverloadControl
from swiftwell.sockets import TcpStream
from swiftwell.work_scheduler import WorkScheduler

COUNTS = ("accepted", "evicted", "refused", "broken", "exhausted", "gave_way")
DEFAULT_MEMORY_BYTES = 64_000_000  # that clients may hold together
SWEEP_S = 0.25  # between sweeps; silence is counted in sweeps, so that a stall of ours counts as one only
LINGER_S = 0.5  # wait for the client's close after ours: some round trips and a slow read
DRAIN_BATCH = 16  # connections closed at a time: closing 670 takes some 30 ms of a core, 0.3 s on a tenth
MAX_BUSY_CLOSES = 4  # of them, those whose requests have to be refused first
DRAIN_POLL_S = 0.01  # between checks whether all connections have ended
MAX_LINGERING = 8  # closing connections beyond the clients' limit: a third of the process's spare descriptors
EVICTION_SCAN = 32  # connections checked to find an idle one; bounds the cost of a flood when none is idle
MAX_REASONS = 64  # distinct reasons of rejections that are counted


class Listener:
    """Accepts connections of clients, at most `max_connections` at a time, and serves them.

    `healthy`: whether the router can serve requests.  `unseen_s`: upper bound of the time for which the event
    loop has not polled its sockets.  `memory_bytes`: budget of what clients may hold together.
    """

    def __init__(
        self,
        host: Host,
        contract: rq.Contract,
        max_connections: int,
        healthy: Callable[[], bool],
        unseen_s: Callable[[], float] = lambda: 0.0,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
    ) -> None:
        self.host, self.contract, self.healthy = host, contract, healthy
        self.max_connections = max_connections
        self.unseen_s = unseen_s
        self.scheduler = WorkScheduler(self._note_wait, host.record_failure)
        self.overload = OverloadControl(WAIT_SHARE * contract.shortest_target_us / 1e6)
        self.memory: MemoryBudget[Connection] = MemoryBudget(memory_bytes)
        self._withdrawn_bytes = [0, 0]  # of requests withdrawn since the last sweep, and in the one before
        self.port = 0  # set by `open`
        self.draining = False
        self.open_ids: set[str] = set()  # ids of open requests
        self.connections: dict[Connection, None] = {}  # least recently used first
        self.closing: dict[Connection, None] = {}  # closed by us, waiting for the client's close
        self.pending = PendingConnections(self._opened, host.record_failure)
        self.rejections: Counter[str] = Counter()
        self.counts = dict.fromkeys(COUNTS, 0)
        self._acceptor = Acceptor(self._accepted, self._exhausted, unseen_s, host.record_failure)
        self._unflushed: dict[Connection, None] = {}
        self._relieving = False
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)
        self._sweeper = PeriodicCallback(self.sweep, SWEEP_S * 1_000)

    def open(self, address: str, port: int) -> int:
        """Listen on this address only; returns the port.  Raises OSError."""
        self.port = self._acceptor.open(address, port)
        self._sweeper.start()
        return self.port

    def __len__(self) -> int:
        """Descriptors held by clients, without closing connections that the spare descriptors allow for."""
        return len(self.connections) + len(self.pending) + max(0, len(self.closing) - MAX_LINGERING)

    def _accepted(self, connected: socket.socket, arrivals: ArrivalClock) -> None:
        while len(self) >= self.max_connections:  # an evicted connection may hold its descriptor for a while
            if not self._evict():
                self.counts["refused"] += 1
                reject(connected)
                return
        self.counts["accepted"] += 1
        self.pending.add(connected, arrivals)

    def _opened(self, connected: socket.socket, data: bytes, arrivals: ArrivalClock) -> None:
        """Serve a connection whose first bytes have arrived, until it ends."""
        with contextlib.suppress(OSError):  # the client has reset it; the next read tells
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = TcpStream(connected, max_buffer_size=2 * READ_BYTES, read_chunk_size=READ_BYTES)
        connection = Connection(self, stream, next(self._numbers), arrivals)
        self.connections[connection] = None
        # `run` starts before the engine processes these bytes, so that an end of the connection which arrived
        # with them withdraws their requests.
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.receive(data, len(data) >= FIRST_READ_BYTES)

    def _note_wait(self, now_s: float, waited_s: float, others_wait: bool) -> None:
        """A connection's bytes are processed now, after waiting for their turn."""
        self.overload.note_wait(now_s, waited_s, others_wait, len(self.open_ids), len(self.memory))

    def _exhausted(self) -> None:
        """The process is out of descriptors: free one that a client holds."""
        self.counts["exhausted"] += 1
        self._evict()

    def _evict(self) -> bool:
        """Close a connection to make room for a new one; returns whether that was possible."""
        if len(self.closing) > MAX_LINGERING:
            self._close_now(next(iter(self.closing)))  # the one that has been closing for longest
            return True
        if not self.pending.evict_oldest() and not self._evict_unused():
            return False
        self.counts["evicted"] += 1
        return True

    def _evict_unused(self) -> bool:
        """Close the least recently used idle connection; busy ones are skipped and marked as used now."""
        for connection in list(itertools.islice(self.connections, EVICTION_SCAN)):
            if connection.idle and not connection.stream.closed():
                connection.finish()
                if connection in self.connections:  # `finish` did nothing as its stream had closed already
                    self._close_now(connection)
                return True
            self.mark_used(connection)
        return False

    def _close_now(self, connection: Connection) -> None:
        connection.finishing = True  # ignores bytes that were read and not processed yet
        connection.stream.close()
        self.connection_ended(connection)

    def mark_used(self, connection: Connection) -> None:
        """A request arrived or a response was sent: the connection becomes the last to be evicted."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def account(self, connection: Connection) -> None:
        """What the connection holds may have changed: whoever holds most gives way if it is too much."""
        if connection in self.connections or connection in self.closing:
            self.memory.update(connection, connection.held_bytes)
            if self.memory.exceeded and not self._relieving:
                self._relieve()

    def _relieve(self) -> None:
        self._relieving = True
        try:
            for connection in self.memory.above_share():
                if not self.memory.exceeded:
                    break
                self.counts["gave_way"] += 1
                connection.give_way()
                self.account(connection)
        finally:
            self._relieving = False

    def request_withdrawn(self, held_bytes: int) -> None:
        """A request with so much memory was withdrawn: the gateway may hold it for a moment longer."""
        self._withdrawn_bytes[0] += held_bytes
        self._account_withdrawn()

    def _account_withdrawn(self) -> None:
        self.memory.set_unowned(sum(self._withdrawn_bytes))

    def connection_finishing(self, connection: Connection) -> None:
        """A connection has begun to close gracefully; after `LINGER_S` it is closed in any case."""
        del self.connections[connection]
        self.closing[connection] = None
        asyncio.get_running_loop().call_later(LINGER_S, connection.stream.close)

    def connection_ended(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self.connections or connection in self.closing:
            self.connections.pop(connection, None)
            self.closing.pop(connection, None)
            self._unflushed.pop(connection, None)
            self.scheduler.discard(connection)
            connection.close()
            self.memory.update(connection, 0)
            if connection.session.broken:
                self.counts["broken"] += 1
                self.log("client-broken", why=connection.session.broken)

    def log(self, event: str, **fields: object) -> None:
        """Write a log line."""
        self.host.log("info", event, **fields)

    def schedule_flush(self, connection: Connection) -> None:
        """The connection has output to write at the end of this loop iteration."""
        self._unflushed[connection] = None
        self.host.wake()

    def flush(self) -> None:
        """At the end of a loop iteration: one write on each connection that has output."""
        unflushed, self._unflushed = self._unflushed, {}
        for connection in unflushed:
            try:
                connection.flush()
            except Exception as error:  # what was written of its output is not known
                self.host.record_failure("client-flush", error)
                self._close_now(connection)

    def sweep(self) -> None:
        """Called periodically: closes silent connections and rejects requests that stay incomplete."""
        self.pending.sweep()
        self._withdrawn_bytes = [0, self._withdrawn_bytes[0]]
        self._account_withdrawn()
        for connection in list(self.connections):
            try:
                connection.sweep()
            except Exception as error:
                self.host.record_failure("client-sweep", error)
        self.flush()
        if len(self.rejections) > MAX_REASONS:  # the counts are logged periodically
            self.rejections.clear()

    def drain(self) -> None:
        """Refuse requests and new connections; `close_answered` closes those that are open."""
        self.draining = True
        self._acceptor.accept_all()
        self._acceptor.close()

    def close_answered(self) -> None:
        """While draining: close a batch of the connections without an open call.

        Requests that have arrived on them are refused first.  A client that sends without a pause is never
        idle, so waiting for that would leave it, and all like it, to the end of the process.
        """
        room = DRAIN_BATCH
        for connection in list(self.connections):
            if room <= 0:
                break
            if connection.idle:
                connection.finish()
                room -= 1
            elif connection.is_queued and not connection.triggers:
                connection.refuse_and_finish()
                room -= DRAIN_BATCH // MAX_BUSY_CLOSES

    def owes_answers(self) -> bool:
        """Whether any client waits for a response, also on connections not accepted or not read yet."""
        if self._acceptor.accept_all() | self.pending.read_all():
            return True
        return not all(connection.idle for connection in self.connections) or any(
            connection.stream.writing() for connection in self.closing
        )

    async def shutdown(self, deadline_s: float) -> None:
        """Close all connections gracefully, and forcibly at `deadline_s` (monotonic)."""
        self._sweeper.stop()
        self._acceptor.accept_all()
        self._acceptor.close()
        self.pending.close()
        for connection in list(self.connections):
            if time.monotonic() < deadline_s:
                connection.finish()
        while self.closing and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def close(self) -> None:
        """Close all connections immediately."""
        self._sweeper.stop()
        self._acceptor.close()
        self.pending.close()
        for connection in [*self.connections, *self.closing]:
            connection.stream.close()
