"""A small AMQP publisher: for `swiftwell call --amqp`, and for the publishers that stand in for systems of
offices and plants."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Method, Properties
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Ended, Login, Ready, Session
from swiftwell.fronts.amqp.wire import Incoming

CHANNEL = 1


class Refused(Exception):
    """The broker did not take the connection, or what was asked; the text says why."""


class Client:
    """One publisher with a reply queue of its own.

    `on_message` hears of answers, `on_return` of messages that no queue takes, `on_confirm` of publications
    by their number, `on_end` of a lost connection.
    """

    def __init__(
        self,
        name: str,
        *,
        on_message: Callable[[Incoming], None] | None = None,
        on_return: Callable[[Incoming], None] | None = None,
        on_confirm: Callable[[int, bool], None] | None = None,
        on_end: Callable[[str], None] | None = None,
        username: str = "guest",
        password: str = "guest",
        heartbeat_s: int = 30,
    ) -> None:
        self._login = Login(name, username, password, heartbeat_s=heartbeat_s, most_body=1 << 24)
        self._on_message, self._on_return = on_message, on_return
        self._on_confirm, self._on_end = on_confirm, on_end
        self.session: Session | None = None
        self.connection: IOStream | None = None  # None while it is not open
        self.blocked = False
        self.count = 0  # publications on this connection
        self._asked: asyncio.Future[Method] | None = None
        self._task: asyncio.Task | None = None
        self._beating: asyncio.Task | None = None
        self._why = ""

    async def connect(self, host: str, port: int, within_s: float = 5.0) -> None:
        """Connect, log in and open a channel in confirm mode; raises Refused or OSError."""
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), within_s)
        except (StreamClosedError, TimeoutError) as error:
            raise Refused(f"no connection to {host}:{port}: {error or 'timed out'}") from None
        stream.set_nodelay(True)
        session = self.session = Session(self._login)
        self.count, self.blocked, self._why = 0, False, ""
        session.greet()
        ready = self._expect()
        self._task = asyncio.ensure_future(self._run(stream, session))
        self._flush(stream)
        try:
            await asyncio.wait_for(ready, within_s)
            self.connection = stream
            await self.ask(codec.ConfirmSelect())
        except TimeoutError:
            stream.close()
            raise Refused("the handshake took too long") from None
        self._beating = asyncio.ensure_future(self._beat(stream, session))

    def _expect(self) -> asyncio.Future[Method]:
        self._asked = asyncio.get_running_loop().create_future()
        return self._asked

    async def ask(self, method: Method, within_s: float = 5.0) -> Method:
        """Send a method and wait for its answer; raises Refused."""
        if self.session is None or self.connection is None:
            raise Refused("not connected")
        future = self._expect()
        self.session.send(CHANNEL, method)
        self._flush(self.connection)
        try:
            return await asyncio.wait_for(future, within_s)
        except TimeoutError:
            raise Refused(f"no answer to {type(method).__name__}") from None

    async def reply_queue(self, name: str) -> str:
        """Make a queue for answers, this connection's own, and consume it; its name."""
        told = await self.ask(codec.QueueDeclare(0, name, exclusive=True, auto_delete=True))
        assert isinstance(told, codec.QueueDeclareOk)
        await self.ask(codec.Consume(0, told.queue, "answers", no_ack=True))
        return told.queue

    def publish(self, exchange: str, key: str, properties: Properties, body: bytes) -> int:
        """Publish, mandatory; the publication's number, 0 where there is no connection."""
        if self.session is None or self.connection is None:
            return 0
        self.count += 1
        self.session.publish(CHANNEL, codec.Publish(0, exchange, key, mandatory=True), properties, body)
        self._flush(self.connection)
        return self.count

    async def _run(self, stream: IOStream, session: Session) -> None:
        try:
            while session.state != "over":
                data = await stream.read_bytes(262_144, partial=True)
                for event in session.feed(data):
                    self._event(session, event)
                self._flush(stream)
        except StreamClosedError:
            self._why = self._why or "closed by the broker"
        finally:
            stream.close()
            if self._beating:
                self._beating.cancel()
            if self._asked and not self._asked.done():
                self._asked.set_exception(Refused(self._why))
            if self.connection is stream:
                self.connection = None
                if self._on_end:
                    self._on_end(self._why)

    def _event(self, session: Session, event: object) -> None:
        match event:
            case Ready():
                session.open_channel(CHANNEL)
            case Ended():
                self._why = self._why or f"{event.code} {event.text}"
            case ChannelEnded():
                self._why = f"{event.code} {event.text}"
                session.close()
            case Blocked():
                self.blocked = event.on
            case Incoming():
                self._incoming(event)

    def _incoming(self, event: Incoming) -> None:
        match event.method:
            case codec.Deliver():
                if self._on_message:
                    self._on_message(event)
            case codec.Return():
                if self._on_return:
                    self._on_return(event)
            case codec.Ack() | codec.Nack():
                if self._on_confirm:
                    self._on_confirm(event.method.delivery_tag, isinstance(event.method, codec.Ack))
            case _:
                if self._asked and not self._asked.done():
                    self._asked.set_result(event.method)

    async def _beat(self, stream: IOStream, session: Session) -> None:
        while session.heartbeat_s and session.state == "ready":
            await asyncio.sleep(session.heartbeat_s / 2)
            session.beat()
            self._flush(stream)

    def _flush(self, stream: IOStream) -> None:
        if self.session and self.session.out and not stream.closed():
            stream.write(self.session.take())

    def drop(self) -> None:
        """Lose the connection without a word."""
        if self.connection:
            self.connection.close()

    async def close(self) -> None:
        """Say goodbye."""
        if self.session and self.connection:
            stream, self.connection = self.connection, None
            self.session.close()
            self._flush(stream)
        if self._task:
            await asyncio.wait([self._task], timeout=1.0)


def trigger(
    key: str, reply: str, correlation: str, timeout_ms: float, sent_ms: float | None = None, **more: object
) -> Properties:
    """The properties of a trigger as docs/amqp.md tells; `more` are further headers."""
    headers: dict[str, object] = {"key": key, "timeout-ms": round(timeout_ms)}
    headers["sent-ms"] = time.time() * 1e3 if sent_ms is None else sent_ms
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    return Properties(
        headers=headers,
        delivery_mode=2,
        correlation_id=correlation,
        reply_to=reply,
        expiration=str(max(1, round(timeout_ms))),
    )
