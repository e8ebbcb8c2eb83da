"""A small MQTT client: for `swiftwell call`, and for the publishers that stand in for consoles and
substations."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fronts.mqtt.codec import (
    V5,
    Ack,
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    Publish,
    Suback,
    Subscribe,
    Type,
)
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.session import SUBSCRIBE_ID, Session, handshake_window


class Refused(Exception):
    """The server did not take the connection; the text says why."""


class Client:
    """One client.  Messages that come are acknowledged and handed to `on_message`; `on_end` hears of a lost
    connection.

    `on_ack` hears of each acknowledgement of what was published: (packet identifier, reason code).
    """

    def __init__(
        self,
        client_id: str,
        version: int = V5,
        *,
        on_message: Callable[[Publish], None] | None = None,
        on_ack: Callable[[int, int], None] | None = None,
        on_end: Callable[[str], None] | None = None,
        receive: int = 1_000,
        session_s: int = 0,
        keep_alive: int = 60,
        username: str | None = None,
        password: str | None = None,
    ) -> None:
        self._id, self._version = client_id, version
        self._on_message, self._on_ack, self._on_end = on_message, on_ack, on_end
        self._receive, self._session_s, self._keep_alive = receive, session_s, keep_alive
        self._username, self._password = username, password
        self.session = Session(receive, 100_000)
        self.connection: Connection | None = None
        self._ready: asyncio.Future[Connack] | None = None
        self._granted: asyncio.Future[list[int]] | None = None
        self._task: asyncio.Task | None = None
        self._pinger: asyncio.Task | None = None

    async def connect(self, host: str, port: int, within_s: float = 5.0) -> Connack:
        """Connect and greet; raises Refused or OSError."""
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), within_s)
        except (StreamClosedError, TimeoutError) as error:
            raise Refused(f"no connection to {host}:{port}: {error or 'timed out'}") from None
        stream.set_nodelay(True)
        connection = self.connection = Connection(stream, self._version, 1 << 24, 1 << 24)
        properties: dict[str, object] = {}
        if self._version == V5:
            properties = {"receive_maximum": self._receive, "session_expiry": self._session_s}
        greeting = Connect(
            self._id, self._session_s == 0, self._keep_alive, self._username,
            self._password.encode() if self._password is not None else None, None, self._version, properties,
        )  # fmt: skip
        self._ready = asyncio.get_running_loop().create_future()
        # What is published before the CONNACK waits: sent at once, it would be sent again when the session
        # turns out to be new, and come twice.
        self.session.outbox.window = 0
        connection.send([greeting])
        self._task = asyncio.ensure_future(self._run(connection))
        try:
            told = await asyncio.wait_for(self._ready, within_s)
        except TimeoutError:
            connection.abort("no CONNACK came")
            raise Refused("no CONNACK came") from None
        if told.reason:
            raise Refused(
                f"refused with reason {told.reason:#x} {told.properties.get('reason_string', '')}".strip()
            )
        self.session.outbox.window = handshake_window(told.properties)
        connection.connected = True
        again = self.session.outbox.resume() if told.session_present else self.session.outbox.reset()
        connection.send(list(again))
        self._pinger = asyncio.ensure_future(self._ping(connection))
        return told

    async def _run(self, connection: Connection) -> None:
        await connection.run(self._packet)
        if self._pinger:
            self._pinger.cancel()
        for future in (self._ready, self._granted):
            if future and not future.done():
                future.set_exception(Refused(connection.why))
        if self.connection is connection:
            self.connection = None
            self.session.inbox.disconnected()
            if self._on_end:
                self._on_end(connection.why)

    async def _ping(self, connection: Connection) -> None:
        while not connection.closed:
            await asyncio.sleep(self._keep_alive / 2)
            connection.send([Ping(Type.PINGREQ)])

    def _packet(self, packet: Packet) -> None:
        match packet:
            case Connack():
                if self._ready and not self._ready.done():
                    self._ready.set_result(packet)
            case Publish():
                fresh, now = self.session.inbox.take(packet)
                self._send(list(now))
                if fresh:
                    if self._on_message:
                        self._on_message(packet)
                    self._send(list(self.session.inbox.done(packet.id)))
            case Ack() if packet.type is Type.PUBREL:
                self._send(list(self.session.inbox.released(packet)))
            case Ack():
                self._send(list(self.session.outbox.acked(packet)))
                if self._on_ack and packet.type is not Type.PUBCOMP:
                    self._on_ack(packet.id, packet.reason)
            case Suback():
                if self._granted and not self._granted.done():
                    self._granted.set_result(packet.reasons)
            case Disconnect() if self.connection:
                self.connection.abort(f"the server ended the connection, reason {packet.reason:#x}")

    def _send(self, packets: list[Packet]) -> None:
        if self.connection and packets:
            self.connection.send(packets)

    async def subscribe(self, *filters: str, qos: int = 1) -> list[int]:
        """Subscribe; what was granted."""
        self._granted = asyncio.get_running_loop().create_future()
        self._send([Subscribe(SUBSCRIBE_ID, [(one, qos) for one in filters])])
        return await asyncio.wait_for(self._granted, 5.0)

    def publish(self, message: Publish) -> int:
        """Publish; the packet identifier if it went out at once, else 0."""
        _, now = self.session.outbox.put(message)
        self._send(list(now))
        return now[-1].id if now else 0

    def drop(self) -> None:
        """Lose the connection without a word."""
        if self.connection:
            self.connection.abort("dropped")

    async def close(self) -> None:
        """Say goodbye."""
        if self.connection:
            self._send([Disconnect()])
            self.connection.abort("closed")
        if self._task:
            await asyncio.wait([self._task], timeout=1.0)
