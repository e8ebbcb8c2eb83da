"""The link to one AMQP broker: sockets, heartbeats, coming back.  What it means is the consumer's."""

from __future__ import annotations

import asyncio
import random
import time

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fronts.amqp.consumer import BrokerLink, Consumer
from swiftwell.fronts.amqp.contract import Contract
from swiftwell.fronts.amqp.prefetch import TICK_US
from swiftwell.fronts.amqp.session import Ended, Session
from swiftwell.fronts.host import Backoff, Host

CONNECT_S = 5.0  # s for a connection and its handshake
CHUNK = 262_144  # bytes read at once


class Link:
    """One broker, kept up until `close`; its addresses are tried in turn."""

    def __init__(
        self, host: Host, contract: Contract, link: BrokerLink, chance: random.Random, alone: bool
    ) -> None:
        self._host, self.link, self._backoff = host, link, Backoff(chance)
        self.consumer = Consumer(host, contract, link, self._wake, alone)
        self.stream: IOStream | None = None
        self.resting = False
        self._adopted: IOStream | None = None
        self._closing = self._flushing = False
        self.heard = self.spoke = 0.0
        self._why = ""

    async def run(self) -> None:
        """Connect, serve, come back."""
        looking = asyncio.ensure_future(self._look())
        turn = 0
        try:
            while not self._closing:
                host, port = self.link.addresses[turn % len(self.link.addresses)]
                turn += 1
                began = time.monotonic()
                why = await self._once(host, port)
                if self._closing:
                    return
                self._backoff.connection_ended(time.monotonic() - began)
                wait = self._backoff.next_delay_s()
                self._host.log(
                    "warning", "broker-lost", broker=self.link.name, address=f"{host}:{port}", why=why,
                    again_in_s=round(wait, 2),
                )  # fmt: skip
                await asyncio.sleep(wait)
        finally:
            looking.cancel()

    def adopt(self, stream: IOStream) -> None:
        """Go on with a connection that another process had; before `run`."""
        self._adopted = self.stream = stream
        self.heard = self.spoke = time.monotonic()

    async def _once(self, host: str, port: int) -> str:
        """One connection, from its opening to its end; why it ended."""
        if self._adopted and self.consumer.session:
            stream, self._adopted = self._adopted, None
            return await self._serve(stream, self.consumer.session)
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), CONNECT_S)
        except (OSError, StreamClosedError, TimeoutError) as error:
            return f"no connection: {str(error) or type(error).__name__}"
        stream.set_nodelay(True)
        stream.max_write_buffer_size = self.link.waiting_out
        self.heard = self.spoke = time.monotonic()
        return await self._serve(stream, self.consumer.connected())

    async def _serve(self, stream: IOStream, session: Session) -> str:
        self.stream, self._why = stream, ""
        began = time.monotonic()
        keeper = asyncio.ensure_future(self._keep(session, began))
        try:
            self._flush()
            while session.state != "over":
                data = await stream.read_bytes(CHUNK, partial=True)
                self.heard = time.monotonic()
                self._take(session, data)
        except StreamClosedError:
            self._why = self._why or "closed by the broker"
        finally:
            keeper.cancel()
            stream.close()
            self.stream = None
            self.consumer.disconnected()
        return self._why

    def _take(self, session: Session, data: bytes) -> None:
        for event in session.feed(data):
            if isinstance(event, Ended):
                self._why = self._why or f"{event.code} {event.text}"
            self.consumer.event(event)
        self.consumer.after_batch()
        self._flush()

    async def _keep(self, session: Session, began: float) -> None:
        """Heartbeats both ways (4.2.7): ours at half the interval, theirs missed for two of it is the end."""
        while True:
            await asyncio.sleep(min(1.0, (session.heartbeat_s or self.link.login.heartbeat_s) / 4))
            now = time.monotonic()
            if self.resting:
                continue
            if session.state != "ready" and now - began > CONNECT_S:
                return self._abort("the handshake took too long")
            if not session.heartbeat_s:
                continue
            if now - self.heard > 2 * session.heartbeat_s:
                return self._abort("nothing was heard for two heartbeats")
            if now - self.spoke > session.heartbeat_s / 2:
                session.beat()
                self._flush()

    def _abort(self, why: str) -> None:
        self._why = self._why or why
        if self.stream:
            self.stream.close()

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(TICK_US / 1e6)
            if not self.resting:
                self.consumer.look(time.monotonic_ns() // 1_000)

    def _wake(self) -> None:
        """There is something to send: once in a turn of the loop, with all that this turn gives."""
        if not self._flushing:
            self._flushing = True
            IOLoop.current().add_callback(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        session = self.consumer.session
        if session is None or self.stream is None or not session.out or self.resting:
            return
        self.spoke = time.monotonic()
        try:
            # The future is not waited for: the bound on the buffer is the back pressure.
            self.stream.write(session.take())
        except StreamBufferFullError:
            self._abort("the broker does not read what it is sent")
        except StreamClosedError:
            pass

    def close(self) -> None:
        """End the link; what is not acknowledged goes to other gateways, or waits for this one."""
        self._closing = True
        session = self.consumer.session
        if session and self.stream:
            session.close()
            self._flush()
            IOLoop.current().call_later(0.2, self._abort, "closed")
