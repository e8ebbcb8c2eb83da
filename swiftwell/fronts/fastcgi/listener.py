"""The listener: connections of front servers, within the descriptors that are theirs.

A connection on which nothing has come costs next to nothing (`pending`).  When descriptors run short the
oldest of these goes first, then the connection unused for longest; one that is not idle at every depth never
goes, the new one is closed instead.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from collections import Counter
from collections.abc import Callable

from tornado.ioloop import PeriodicCallback

from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.acceptor import Acceptor
from swiftwell.fronts.fastcgi.connection import READ_BYTES, Connection
from swiftwell.fronts.fastcgi.pending import PendingConnections, turn_away
from swiftwell.fronts.host import Host
from swiftwell.sockets import TcpStream

SWEEP_S = 0.25  # s between sweeps; silence is counted in sweeps: a stall of ours is one, and closes nobody
LINGER_S = 0.5  # s that an ended connection waits for its client's close: some round trips and a slow read
DRAIN_BATCH = 16  # connections ended in one go: 670 take some 30 ms of a core, 0.3 s on a tenth of one
DRAIN_POLL_S = 0.01  # s between checks whether all connections have ended
MOST_ENDING = 8  # such connections beyond the clients' descriptors: a third of the process's spare ones
EVICTION_SCAN = 32  # connections looked at for one that is idle: bounds what a flood costs when none is
MAX_REASONS = 64  # reasons of requests turned away that are counted apart


class Listener:
    """`max_connections`: at a time, of clients.  `healthy`: whether the router can serve.

    `unseen_s`: for how long, at most, the loop may have looked at no socket.
    """

    def __init__(
        self,
        host: Host,
        contract: rq.Contract,
        max_connections: int,
        healthy: Callable[[], bool],
        unseen_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.host, self.contract, self.healthy = host, contract, healthy
        self.max_connections = max_connections
        self.unseen_s = unseen_s
        self.port = 0  # once it is open
        self.draining = False
        self.open_ids: set[str] = set()  # ids of open requests
        self.connections: dict[Connection, None] = {}  # the one unused for longest first
        self.closing: dict[Connection, None] = {}  # finished ones that wait for their client's close
        self.pending = PendingConnections(self._opened, READ_BYTES)
        self.rejections: Counter[str] = Counter()
        self.counts = dict.fromkeys(("accepted", "evicted", "refused", "broken", "exhausted"), 0)
        self._acceptor = Acceptor(self._accepted, self._exhausted)
        self._dirty: dict[Connection, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)
        self._sweeper = PeriodicCallback(self.sweep, SWEEP_S * 1_000)

    def open(self, address: str, port: int) -> int:
        """Listen on this address only; the port.  Raises OSError."""
        self.port = self._acceptor.open(address, port)
        self._sweeper.start()
        return self.port

    def __len__(self) -> int:
        """Descriptors that clients hold, but for those that linger within the process's spare ones."""
        return len(self.connections) + len(self.pending) + max(0, len(self.closing) - MOST_ENDING)

    def _accepted(self, connected: socket.socket) -> None:
        while len(self) >= self.max_connections:  # one that is ended still holds its descriptor for a while
            if not self._evict():
                self.counts["refused"] += 1
                turn_away(connected, READ_BYTES)
                return
        self.counts["accepted"] += 1
        self.pending.add(connected)

    def _opened(self, connected: socket.socket, data: bytes, looked_s: float) -> None:
        """A connection's first bytes have come: it is served until it ends."""
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = TcpStream(connected, max_buffer_size=2 * READ_BYTES, read_chunk_size=READ_BYTES)
        connection = Connection(self, stream, next(self._numbers), looked_s)
        self.connections[connection] = None
        # Its reader runs before the turn that takes these bytes: an end that came with them withdraws them.
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.receive(data)

    def _exhausted(self) -> None:
        """No descriptor is left in the process: one of the clients' is given back."""
        self.counts["exhausted"] += 1
        self._evict()

    def _evict(self) -> bool:
        """Make room for one more connection."""
        if len(self.closing) > MOST_ENDING:
            self._cut(next(iter(self.closing)))  # the one that has lingered for longest
            return True
        if not self.pending.evict_oldest() and not self._evict_unused():
            return False
        self.counts["evicted"] += 1
        return True

    def _evict_unused(self) -> bool:
        """End the connection unused for longest; those in use are passed over and count as used now."""
        for connection in list(itertools.islice(self.connections, EVICTION_SCAN)):
            if connection.idle and not connection.stream.closed():
                connection.finish()
                if connection in self.connections:  # its stream had closed already
                    self._cut(connection)
                return True
            self.used(connection)
        return False

    def _cut(self, connection: Connection) -> None:
        connection.ending = True  # what was read and not looked at yet is no longer taken
        connection.stream.close()
        self.ended(connection)

    def used(self, connection: Connection) -> None:
        """A request came on it, or an answer went out: it is the last to be evicted."""
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def finishing(self, connection: Connection) -> None:
        """A connection has begun to end; within a bound it is closed, whatever its client does."""
        del self.connections[connection]
        self.closing[connection] = None
        asyncio.get_running_loop().call_later(LINGER_S, connection.stream.close)

    def ended(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self.connections or connection in self.closing:
            self.connections.pop(connection, None)
            self.closing.pop(connection, None)
            self._dirty.pop(connection, None)
            connection.close()
            if connection.session.broken:
                self.counts["broken"] += 1
                self.log("client-broken", why=connection.session.broken)

    def log(self, event: str, **fields: object) -> None:
        """A line for the log."""
        self.host.log("info", event, **fields)

    def dirty(self, connection: Connection) -> None:
        """Something is to be written at the end of the turn."""
        self._dirty[connection] = None
        self.host.wake()

    def flush(self) -> None:
        """The end of a turn: one write for each connection that has something."""
        dirty, self._dirty = self._dirty, {}
        for connection in dirty:
            connection.flush()

    def sweep(self) -> None:
        """Now and then: silent connections and requests that stay incomplete."""
        self.pending.sweep()
        for connection in list(self.connections):
            connection.sweep()
        self.flush()
        if len(self.rejections) > MAX_REASONS:  # a line of each period tells them
            self.rejections.clear()

    def drain(self) -> None:
        """From now on a connection ends as soon as nothing is owed on it; new ones are still served."""
        self.draining = True

    def close_idle(self) -> None:
        """While draining: end some of the connections on which nothing is owed."""
        idle = (one for one in list(self.connections) if one.idle)
        for connection in itertools.islice(idle, DRAIN_BATCH):
            connection.finish()

    def owes_answers(self) -> bool:
        """Whether anything is owed to any client, also on connections that were not looked at yet."""
        if self._acceptor.accept_all() | self.pending.read_all():
            return True
        return not all(one.idle for one in self.connections) or any(
            one.stream.writing() for one in self.closing
        )

    async def shutdown(self, until: float) -> None:
        """End all connections by draining them; by `until`, monotonic s, whatever their clients do."""
        self._sweeper.stop()
        self._acceptor.accept_all()
        self._acceptor.close()
        self.pending.close()
        for connection in list(self.connections):
            connection.finish()
        while self.closing and time.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def close(self) -> None:
        """End all connections at once."""
        self._sweeper.stop()
        self._acceptor.close()
        self.pending.close()
        for connection in [*self.connections, *self.closing]:
            connection.stream.close()
