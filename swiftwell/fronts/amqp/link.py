"""The link to one AMQP broker: socket I/O, heartbeats and reconnecting.  The consumer holds the logic."""

from __future__ import annotations

import asyncio
import random
import time

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.fronts.amqp.consumer import BrokerLink, Consumer
from swiftwell.fronts.amqp.contract import Contract
from swiftwell.fronts.amqp.prefetch import TICK_US
from swiftwell.fronts.amqp.session import Ended, Session
from swiftwell.fronts.host import Backoff, Host

CONNECT_TIMEOUT_S = 5.0  # including the handshake
READ_BYTES = 65_536  # per read, which may hold 8,192 frames


class Link:
    """Keeps a connection to one broker until `close`; its addresses are tried in turn."""

    def __init__(
        self, host: Host, contract: Contract, link: BrokerLink, rng: random.Random, alone: bool
    ) -> None:
        self._host, self.link, self._backoff = host, link, Backoff(rng)
        self.consumer = Consumer(host, contract, link, self._wake, alone)
        self.stream: IOStream | None = None
        self.handover_paused = False
        self._adopted: IOStream | None = None
        self._closing = self._flushing = False
        self.received_at = self.sent_at = 0.0
        self._close_reason = ""

    async def run(self) -> None:
        """Connect and serve, and reconnect with back-off, until `close`."""
        tick_task = asyncio.ensure_future(self._tick_forever())
        address_number = 0
        try:
            while not self._closing:
                host, port = self.link.addresses[address_number % len(self.link.addresses)]
                address_number += 1
                started_at = time.monotonic()
                reason = await self._serve_connection(host, port)
                if self._closing:
                    return
                self._backoff.connection_ended(time.monotonic() - started_at)
                delay_s = self._backoff.next_delay_s()
                self._host.log(
                    "warning", "broker-lost", broker=self.link.name, address=f"{host}:{port}", why=reason,
                    again_in_s=round(delay_s, 2),
                )  # fmt: skip
                await asyncio.sleep(delay_s)
        finally:
            tick_task.cancel()

    def adopt(self, stream: IOStream) -> None:
        """Continue a connection of the previous process; called before `run`."""
        self._adopted = self.stream = stream
        self.received_at = self.sent_at = time.monotonic()

    async def _serve_connection(self, host: str, port: int) -> str:
        """Serve one connection until it ends; returns the reason."""
        if self._adopted and self.consumer.session:
            stream, self._adopted = self._adopted, None
            return await self._read_until_closed(stream, self.consumer.session)
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), CONNECT_TIMEOUT_S)
        except (OSError, StreamClosedError, TimeoutError) as error:
            return f"no connection: {str(error) or type(error).__name__}"
        stream.set_nodelay(True)
        stream.max_write_buffer_size = self.link.max_unsent_bytes
        self.received_at = self.sent_at = time.monotonic()
        return await self._read_until_closed(stream, self.consumer.connected())

    async def _read_until_closed(self, stream: IOStream, session: Session) -> str:
        self.stream, self._close_reason = stream, ""
        started_at, reader = time.monotonic(), FairReader(stream, READ_BYTES, ReadTurns())
        heartbeat_task = asyncio.ensure_future(self._check_heartbeats(session, started_at))
        try:
            self._flush()
            while session.state != "over":
                data = await reader.read()
                self.received_at = time.monotonic()
                self._on_data(session, data)
        except StreamClosedError:
            self._close_reason = self._close_reason or "closed by the broker"
        except Exception as error:  # the link must go on with a new connection
            self._host.record_failure("amqp-connection", error)
            self._close_reason = f"failed: {type(error).__name__}: {error}"
        finally:
            heartbeat_task.cancel()
            stream.close()
            self.stream = None
            self.consumer.disconnected()
        return self._close_reason

    def _on_data(self, session: Session, data: bytes) -> None:
        for event in session.feed(data):
            if isinstance(event, Ended):
                self._close_reason = self._close_reason or f"{event.code} {event.text}"
            self.consumer.on_event(event)
        self.consumer.after_batch()
        self._flush()

    async def _check_heartbeats(self, session: Session, started_at: float) -> None:
        """Send a heartbeat each half interval, and abort after two intervals without input (4.2.7)."""
        while True:
            await asyncio.sleep(min(1.0, (session.heartbeat_s or self.link.login.heartbeat_s) / 4))
            now = time.monotonic()
            if self.handover_paused:
                continue
            if session.state != "ready" and now - started_at > CONNECT_TIMEOUT_S:
                return self._abort("the handshake took too long")
            if not session.heartbeat_s:
                continue
            if now - self.received_at > 2 * session.heartbeat_s:
                return self._abort("no input for two heartbeat intervals")
            if now - self.sent_at > session.heartbeat_s / 2:
                session.send_heartbeat()
                self._flush()

    def _abort(self, reason: str) -> None:
        self._close_reason = self._close_reason or reason
        if self.stream:
            self.stream.close()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_US / 1e6)
            if not self.handover_paused:
                self.consumer.tick(time.monotonic_ns() // 1_000)

    def _wake(self) -> None:
        """Schedule one flush at the end of the current loop iteration."""
        if not self._flushing:
            self._flushing = True
            IOLoop.current().add_callback(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        session = self.consumer.session
        if session is None or self.stream is None or not session.send_buffer or self.handover_paused:
            return
        self.sent_at = time.monotonic()
        try:
            # The future is not awaited: the bounded write buffer provides the back pressure.
            self.stream.write(session.take_send_buffer())
        except StreamBufferFullError:
            self._abort("the broker does not read; the send buffer is full")
        except StreamClosedError:
            pass

    def close(self) -> None:
        """End the link; the broker keeps unacknowledged triggers for other gateways or for the next start."""
        self._closing = True
        session = self.consumer.session
        if session and self.stream:
            session.close()
            self._flush()
            IOLoop.current().call_later(0.2, self._abort, "closed")
