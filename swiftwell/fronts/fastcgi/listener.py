"""The listener: connections of front servers, within the descriptors that are theirs.

When they run short the oldest connection that never asked goes first, then the one unused for longest; one
with a request begun or open never goes, a new one is closed instead.
"""

from __future__ import annotations

import socket
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
MOST_UNSENT = 1 << 20  # bytes that may wait for a client that does not read
LOOK_S = 0.25  # s between looks; counted in looks, a stall of ours is one look and closes nobody
SILENT_LOOKS = 8  # looks a new connection may say nothing whole for: 2 s, clients are owed a close within 3
BACKLOG = 512  # connections that the machine accepts for us meanwhile: hundreds come at once
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

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while True:
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
                for event in self.session.receive(data):
                    if isinstance(event, Whole):
                        self._whole(event)
                    elif isinstance(event, Aborted):
                        self._aborted(event.number)
                self.looks = 0 if self.session.asked else self.looks
                if self.session.out or self.session.broken:
                    self.send(b"")
                if self.session.broken:
                    return self.flush()
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
                self.stream.write(b"".join(out))
        except (StreamClosedError, StreamBufferFullError):
            self._listener.log("client-does-not-read", connection=self.name)
            self.stream.close()
        if self.session.broken or (self._closing and self.session.idle):
            self.stream.close()

    def look(self) -> None:
        """Now and then: turn away what stays incomplete."""
        self.looks += 1
        self.session.look()
        if self.session.out:
            self._listener.dirty(self)
        if self.session.broken or (not self.session.asked and self.looks > SILENT_LOOKS):
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
        self.turned: Counter[str] = Counter()
        self.counts = dict.fromkeys(("accepted", "evicted", "refused", "broken"), 0)
        self._dirty: dict[Connection, None] = {}
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
        if len(self.connections) >= self._most and not self._evict():
            self.counts["refused"] += 1
            stream.close()
            return
        self.counts["accepted"] += 1
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MOST_UNSENT
        connection = Connection(self, stream, next(self._numbers))
        self.connections[connection] = None
        await connection.run()

    def _evict(self) -> bool:
        """Make room for one more connection."""
        idle = [one for one in self.connections if one.session.idle and not one.stream.closed()]
        silent = [one for one in idle if not one.session.asked]
        # Oldest first: what came in this very turn has had no chance to be read yet.
        victim = next(iter(silent), None) or max(idle, key=lambda one: one.looks, default=None)
        if victim is None:
            return False
        self.counts["evicted"] += 1
        victim.stream.close()
        self.ended(victim)
        return True

    def ended(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self.connections:
            del self.connections[connection]
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

    def close(self) -> None:
        """End all connections."""
        self._sweeper.stop()
        self.stop()
        for connection in list(self.connections):
            connection.stream.close()
