"""The listener: connections of front servers, within the descriptors that are theirs.

When they run short the oldest connection that never asked goes first, then the one unused for longest; one
that is not idle at every depth never goes, a new one is closed instead.

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
from itertools import count

from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.fastcgi.session import Aborted, Session, Whole, head
from swiftwell.fronts.host import Host
from swiftwell.fronts.trigger import TOO_MANY, Answer, Kind, Trigger

READ_BYTES = 65_536  # bytes taken in at once: four of the largest bodies
MOST_UNSENT = 1 << 20  # bytes that wait for a client beyond which it does not read; one turn's answers on top
LOOK_S = 0.25  # s between looks; counted in looks, a stall of ours is one look and closes nobody
SILENT_LOOKS = 8  # looks a new connection may say nothing whole for: 2 s, clients are owed a close within 3
BACKLOG = 512  # connections that the machine accepts for us meanwhile: hundreds come at once
LINGER_S = 0.5  # s that an ended connection waits for its client's close: some round trips and a slow read
SHUT_LOOK_S = 0.01  # s between looks whether all connections have ended
MOST_ENDING = 8  # such connections beyond the clients' descriptors: a third of the process's spare ones
REFUSED = {TOO_MANY: 429}  # the status of a refusal by its reason; 503 for the others


@dataclass(frozen=True, slots=True)
class Ref:
    """What answering a trigger takes."""

    connection: tuple[Connection]
    number: int


class Connection:
    """One connection and its session."""

    def __init__(self, listener: Listener, stream: IOStream, number: int) -> None:
        self._listener, self.stream, self.name = listener, stream, number
        self.session = Session()
        self.triggers: dict[int, Trigger] = {}
        self.looks = 0  # since it came, or since something of it last ended
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
        read = self._reading is not None and self._reading.done()
        return self.session.idle and not (read or self._out or self.stream.writing())

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while True:
                self._reading = self.stream.read_bytes(READ_BYTES, partial=True)
                data = await self._reading
                self._reading = None
                if self.ending:  # read only so that nothing lies unread at the close
                    continue
                for event in self.session.events(data):
                    if isinstance(event, Whole):
                        self._whole(event)
                    elif isinstance(event, Aborted):
                        self._aborted(event.number)
                self.looks = 0 if self.session.asked else self.looks
                if self.session.broken:
                    self.finish()
                elif self.session.out:
                    self.send(b"")
        except (OSError, StreamClosedError):
            pass
        finally:
            self.stream.close()
            self._listener.ended(self)

    def _whole(self, event: Whole) -> None:
        listener, number = self._listener, event.number
        at = rq.path(event.fields)
        if at == rq.HEALTH:
            self.answer(number, head(200 if listener.healthy() else 503))
            return
        try:
            trigger = rq.read(
                event.fields, event.body, listener.contract, f"{self.name}/{number}", Ref((self,), number)
            )
            if trigger.key in listener.ids:
                raise rq.Turned(409, "Req-Id is open")
        except rq.Turned as error:
            listener.turned[f"{error.status} {error}"] += 1
            self.answer(number, head(error.status))
            return
        listener.ids.add(trigger.key)
        self.triggers[number] = trigger
        listener.host.submit(trigger)

    def _aborted(self, number: int) -> None:
        """The client gave up: no answer is owed, END_REQUEST frees the number."""
        self._forget(number)
        self.answer(number, b"")

    def _forget(self, number: int) -> None:
        trigger = self.triggers.pop(number, None)
        if trigger:
            self._listener.ids.discard(trigger.key)
            self._listener.host.gone(trigger.source)

    def accepted(self, trigger: Trigger) -> None:
        """Clients of this front are told nothing before the answer."""

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """The final answer."""
        number = trigger.ref.number  # type: ignore[attr-defined]
        if self.triggers.get(number) is not trigger:
            return  # the client gave up, in this very turn
        del self.triggers[number]
        self._listener.ids.discard(trigger.key)
        match answer.kind:
            case Kind.SERVED:
                content = head(200) + answer.body
            case Kind.REFUSED:
                content = head(REFUSED.get(answer.reason, 503), -(-answer.wait_us // 1_000))
            case _:
                content = head(502)
        self.answer(number, content)

    def answer(self, number: int, content: bytes) -> None:
        """The one answer to an open request."""
        self._closing |= not self.session.open.get(number, True)
        self.looks = 0
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
        if self._closing and self.session.idle:
            self.finish()

    def look(self) -> None:
        """Now and then: turn away what stays incomplete."""
        self.looks += 1
        self.session.look()
        if self.session.out:
            self._listener.dirty(self)
        # One that never asked goes only while it is idle: its first request may be half read right now.
        if self.session.broken or (self.idle and not self.session.asked and self.looks > SILENT_LOOKS):
            self.finish()

    def finish(self) -> None:
        """End it by draining: see the head of this file.

        Requests that are open get their one answer first, a failure: it is known of them that they were
        taken, not what became of them, and their connection can say no more.
        """
        if self.ending or self.stream.closed():
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


class Listener(TCPServer):
    """`most`: connections at a time.  `healthy`: whether the router can serve."""

    def __init__(self, host: Host, contract: rq.Contract, most: int, healthy: Callable[[], bool]) -> None:
        super().__init__(max_buffer_size=2 * READ_BYTES, read_chunk_size=READ_BYTES)
        self.host, self.contract, self.healthy, self._most = host, contract, healthy, most
        self.ids: set[str] = set()  # ids of open requests
        self.connections: dict[Connection, None] = {}
        self.ending: dict[Connection, None] = {}  # finished ones that wait for their client's close
        self.turned: Counter[str] = Counter()
        self.counts = dict.fromkeys(("accepted", "evicted", "refused", "broken"), 0)
        self._dirty: dict[Connection, None] = {}
        self._handling: set[asyncio.Task] = set()
        self._numbers = count(1)
        self._sweeper = PeriodicCallback(self.look, LOOK_S * 1_000)

    def open(self, address: str, port: int) -> int:
        """Listen on this address only; the port.  Raises OSError."""
        sockets = bind_sockets(port, address, family=socket.AF_INET, backlog=BACKLOG)
        self.add_sockets(sockets)
        self._sweeper.start()
        return sockets[0].getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a connection."""
        while len(self.connections) + max(0, len(self.ending) - MOST_ENDING) >= self._most:
            if not self._evict():
                self.counts["refused"] += 1
                stream.close()
                return
        self.counts["accepted"] += 1
        stream.set_nodelay(True)
        connection = Connection(self, stream, next(self._numbers))
        self.connections[connection] = None
        await connection.run()

    def _evict(self) -> bool:
        """Make room for one more connection."""
        if len(self.ending) > MOST_ENDING:
            self._cut(next(iter(self.ending)))  # the one that has lingered for longest
            return True
        idle = [one for one in self.connections if one.idle and not one.stream.closed()]
        silent = [one for one in idle if not one.session.asked]
        # Oldest first: what came in this very turn has had no chance to be read yet.
        victim = next(iter(silent), None) or max(idle, key=lambda one: one.looks, default=None)
        if victim is None:
            return False
        self.counts["evicted"] += 1
        victim.finish()
        if victim in self.connections:  # its stream had closed already
            self._cut(victim)
        return True

    def _cut(self, connection: Connection) -> None:
        connection.ending = True  # what was read and not looked at yet is no longer taken
        connection.stream.close()
        self.ended(connection)

    def finishing(self, connection: Connection) -> None:
        """A connection has begun to end; within a bound it is closed, whatever its client does."""
        del self.connections[connection]
        self.ending[connection] = None
        asyncio.get_running_loop().call_later(LINGER_S, connection.stream.close)

    def ended(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self.connections or connection in self.ending:
            self.connections.pop(connection, None)
            self.ending.pop(connection, None)
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
        self.host.stir()

    def flush(self) -> None:
        """The end of a turn: one write for each connection that has something."""
        dirty, self._dirty = self._dirty, {}
        for connection in dirty:
            connection.flush()

    def look(self) -> None:
        """Now and then: silent connections and requests that stay incomplete."""
        for connection in list(self.connections):
            connection.look()
        self.flush()
        if len(self.turned) > 64:  # kinds of turned requests are few; a line of each period tells them
            self.turned.clear()

    def owes(self) -> bool:
        """Whether anything is owed to any client, also on connections that were not looked at yet."""
        if self._take_waiting():
            return True
        return not all(one.idle for one in self.connections) or any(
            one.stream.writing() for one in self.ending
        )

    def _take_waiting(self) -> bool:
        """Connections that the machine accepted for us: closing the listener would reset them."""
        found = False
        for listening in self._sockets.values():
            while True:
                try:
                    connected, address = listening.accept()
                except OSError:  # none waits
                    break
                found = True
                connected.setblocking(False)
                stream = IOStream(connected, max_buffer_size=2 * READ_BYTES, read_chunk_size=READ_BYTES)
                task = asyncio.ensure_future(self.handle_stream(stream, address))
                self._handling.add(task)
                task.add_done_callback(self._handling.discard)
        return found

    async def shut(self, until: float) -> None:
        """End all connections by draining them; by `until`, monotonic s, whatever their clients do."""
        self._sweeper.stop()
        self.stop()
        for connection in list(self.connections):
            connection.finish()
        while self.ending and time.monotonic() < until:
            await asyncio.sleep(SHUT_LOOK_S)
        self.close()

    def close(self) -> None:
        """End all connections at once."""
        self._sweeper.stop()
        self.stop()
        for connection in [*self.connections, *self.ending]:
            connection.stream.close()
