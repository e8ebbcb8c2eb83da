"""A small AMQP publisher, for `swiftwell call --amqp` and for simulated publishers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Method, Properties
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Ended, Login, Ready, Session
from swiftwell.fronts.amqp.wire import Incoming

CHANNEL = 1
READ_BYTES = 65_536  # per read


class Refused(Exception):
    """The broker refused the connection or a request; the text says why."""


class Client:
    """One publisher with a reply queue of its own.

    `on_message` is called for answers, `on_return` for messages that no queue takes, `on_confirm` with the
    number of a publication and whether it was accepted, and `on_end` when the connection is lost.
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
        self._login = Login(name, username, password, heartbeat_s=heartbeat_s, max_body_bytes=1 << 24)
        self._on_message, self._on_return = on_message, on_return
        self._on_confirm, self._on_end = on_confirm, on_end
        self.session: Session | None = None
        self.connection: IOStream | None = None
        self.blocked = False
        self.publish_count = 0  # publications on this connection
        self._pending_reply: asyncio.Future[Method] | None = None
        self._task: asyncio.Task | None = None
        self._heartbeat_task: asyncio.Task | None = None
        self._close_reason = ""

    async def connect(self, host: str, port: int, timeout_s: float = 5.0) -> None:
        """Connect, log in and open a channel in confirm mode; raises Refused or OSError."""
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), timeout_s)
        except (StreamClosedError, TimeoutError) as error:
            raise Refused(f"no connection to {host}:{port}: {error or 'timed out'}") from None
        stream.set_nodelay(True)
        session = self.session = Session(self._login)
        self.publish_count, self.blocked, self._close_reason = 0, False, ""
        session.send_protocol_header()
        ready = self._expect_reply()
        self._task = asyncio.ensure_future(self._run(stream, session))
        self._flush(stream)
        try:
            await asyncio.wait_for(ready, timeout_s)
            self.connection = stream
            await self.request(codec.ConfirmSelect())
        except TimeoutError:
            stream.close()
            raise Refused("the handshake took too long") from None
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats(stream, session))

    def _expect_reply(self) -> asyncio.Future[Method]:
        self._pending_reply = asyncio.get_running_loop().create_future()
        return self._pending_reply

    async def request(self, method: Method, timeout_s: float = 5.0) -> Method:
        """Send a method and wait for its reply; raises Refused."""
        if self.session is None or self.connection is None:
            raise Refused("not connected")
        future = self._expect_reply()
        self.session.send(CHANNEL, method)
        self._flush(self.connection)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise Refused(f"no answer to {type(method).__name__}") from None

    async def declare_reply_queue(self, name: str) -> str:
        """Declare an exclusive queue for answers and consume it; returns its name."""
        reply = await self.request(codec.QueueDeclare(0, name, exclusive=True, auto_delete=True))
        assert isinstance(reply, codec.QueueDeclareOk)
        await self.request(codec.Consume(0, reply.queue, "answers", no_ack=True))
        return reply.queue

    def publish(self, exchange: str, key: str, properties: Properties, body: bytes) -> int:
        """Publish with `mandatory`; returns the number of the publication, or 0 without a connection."""
        if self.session is None or self.connection is None:
            return 0
        self.publish_count += 1
        self.session.publish(CHANNEL, codec.Publish(0, exchange, key, mandatory=True), properties, body)
        self._flush(self.connection)
        return self.publish_count

    async def _run(self, stream: IOStream, session: Session) -> None:
        reader = FairReader(stream, READ_BYTES, ReadTurns())
        try:
            while session.state != "over":
                data = await reader.read()
                for event in session.feed(data):
                    self._on_event(session, event)
                self._flush(stream)
        except StreamClosedError:
            self._close_reason = self._close_reason or "closed by the broker"
        finally:
            stream.close()
            if self._heartbeat_task:
                self._heartbeat_task.cancel()
            if self._pending_reply and not self._pending_reply.done():
                self._pending_reply.set_exception(Refused(self._close_reason))
            if self.connection is stream:
                self.connection = None
                if self._on_end:
                    self._on_end(self._close_reason)

    def _on_event(self, session: Session, event: object) -> None:
        match event:
            case Ready():
                session.open_channel(CHANNEL)
            case Ended():
                self._close_reason = self._close_reason or f"{event.code} {event.text}"
            case ChannelEnded():
                self._close_reason = f"{event.code} {event.text}"
                session.close()
            case Blocked():
                self.blocked = event.active
            case Incoming():
                self._on_incoming(event)

    def _on_incoming(self, event: Incoming) -> None:
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
                if self._pending_reply and not self._pending_reply.done():
                    self._pending_reply.set_result(event.method)

    async def _send_heartbeats(self, stream: IOStream, session: Session) -> None:
        while session.heartbeat_s and session.state == "ready":
            await asyncio.sleep(session.heartbeat_s / 2)
            session.send_heartbeat()
            self._flush(stream)

    def _flush(self, stream: IOStream) -> None:
        if self.session and self.session.send_buffer and not stream.closed():
            stream.write(self.session.take_send_buffer())

    def abort(self) -> None:
        """Close the socket without closing the AMQP connection."""
        if self.connection:
            self.connection.close()

    async def close(self) -> None:
        """Close the AMQP connection."""
        if self.session and self.connection:
            stream, self.connection = self.connection, None
            self.session.close()
            self._flush(stream)
        if self._task:
            await asyncio.wait([self._task], timeout=1.0)


def trigger(
    key: str,
    reply: str,
    correlation: str,
    timeout_ms: float,
    sent_ms: float | None = None,
    **extra_headers: object,
) -> Properties:
    """The message properties of a trigger (see docs/amqp.md), with `extra_headers`."""
    headers: dict[str, object] = {"key": key, "timeout-ms": round(timeout_ms)}
    headers["sent-ms"] = time.time() * 1e3 if sent_ms is None else sent_ms
    headers |= {name.replace("_", "-"): value for name, value in extra_headers.items()}
    return Properties(
        headers=headers,
        delivery_mode=2,
        correlation_id=correlation,
        reply_to=reply,
        expiration=str(max(1, round(timeout_ms))),
    )
