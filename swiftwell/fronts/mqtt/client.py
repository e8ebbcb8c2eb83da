"""A small MQTT client, for `swiftwell call` and for simulated publishers."""

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
    """The server refused the connection; the text says why."""


class Client:
    """One client; received messages are acknowledged and passed to `on_message`.

    `on_ack` is called with packet identifier and reason code of each acknowledged publication, and `on_end`
    when the connection is lost.
    """

    def __init__(
        self,
        client_id: str,
        version: int = V5,
        *,
        on_message: Callable[[Publish], None] | None = None,
        on_ack: Callable[[int, int], None] | None = None,
        on_end: Callable[[str], None] | None = None,
        receive_maximum: int = 1_000,
        session_s: int = 0,
        keep_alive: int = 60,
        username: str | None = None,
        password: str | None = None,
    ) -> None:
        self._id, self._version = client_id, version
        self._on_message, self._on_ack, self._on_end = on_message, on_ack, on_end
        self._receive_maximum, self._session_s, self._keep_alive = receive_maximum, session_s, keep_alive
        self._username, self._password = username, password
        self.session = Session(receive_maximum, 100_000)
        self.connection: Connection | None = None
        self._connack: asyncio.Future[Connack] | None = None
        self._subscribed: asyncio.Future[list[int]] | None = None
        self._task: asyncio.Task | None = None
        self._ping_task: asyncio.Task | None = None

    async def connect(self, host: str, port: int, timeout_s: float = 5.0) -> Connack:
        """Connect and complete the handshake; raises Refused or OSError."""
        try:
            stream = await asyncio.wait_for(TCPClient().connect(host, port), timeout_s)
        except (StreamClosedError, TimeoutError) as error:
            raise Refused(f"no connection to {host}:{port}: {error or 'timed out'}") from None
        stream.set_nodelay(True)
        connection = self.connection = Connection(stream, self._version, 1 << 24, 1 << 24)
        properties: dict[str, object] = {}
        if self._version == V5:
            properties = {"receive_maximum": self._receive_maximum, "session_expiry": self._session_s}
        connect = Connect(
            self._id, self._session_s == 0, self._keep_alive, self._username,
            self._password.encode() if self._password is not None else None, None, self._version, properties,
        )  # fmt: skip
        self._connack = asyncio.get_running_loop().create_future()
        # Messages published before the CONNACK are queued.  If they were sent at once and the session turned
        # out to be new, they would be sent again and arrive twice.
        self.session.outbox.window = 0
        connection.send([connect])
        self._task = asyncio.ensure_future(self._run(connection))
        try:
            connack = await asyncio.wait_for(self._connack, timeout_s)
        except TimeoutError:
            connection.abort("no CONNACK received")
            raise Refused("no CONNACK received") from None
        if connack.reason:
            raise Refused(
                f"refused with reason {connack.reason:#x} "
                f"{connack.properties.get('reason_string', '')}".strip()
            )
        self.session.outbox.window = handshake_window(connack.properties)
        connection.connected = True
        packets = self.session.outbox.resume() if connack.session_present else self.session.outbox.reset()
        connection.send(list(packets))
        self._ping_task = asyncio.ensure_future(self._ping(connection))
        return connack

    async def _run(self, connection: Connection) -> None:
        await connection.run(self._on_packet)
        if self._ping_task:
            self._ping_task.cancel()
        for future in (self._connack, self._subscribed):
            if future and not future.done():
                future.set_exception(Refused(connection.close_reason))
        if self.connection is connection:
            self.connection = None
            self.session.inbox.disconnected()
            if self._on_end:
                self._on_end(connection.close_reason)

    async def _ping(self, connection: Connection) -> None:
        while not connection.closed:
            await asyncio.sleep(self._keep_alive / 2)
            connection.send([Ping(Type.PINGREQ)])

    def _on_packet(self, packet: Packet) -> None:
        match packet:
            case Connack():
                if self._connack and not self._connack.done():
                    self._connack.set_result(packet)
            case Publish():
                is_new, replies = self.session.inbox.receive(packet)
                self._send(list(replies))
                if is_new:
                    if self._on_message:
                        self._on_message(packet)
                    self._send(list(self.session.inbox.acknowledge(packet.id)))
            case Ack() if packet.type is Type.PUBREL:
                self._send(list(self.session.inbox.on_pubrel(packet)))
            case Ack():
                self._send(list(self.session.outbox.on_ack(packet)))
                if self._on_ack and packet.type is not Type.PUBCOMP:
                    self._on_ack(packet.id, packet.reason)
            case Suback():
                if self._subscribed and not self._subscribed.done():
                    self._subscribed.set_result(packet.reasons)
            case Disconnect() if self.connection:
                self.connection.abort(f"the server ended the connection, reason {packet.reason:#x}")

    def _send(self, packets: list[Packet]) -> None:
        if self.connection and packets:
            self.connection.send(packets)

    async def subscribe(self, *filters: str, qos: int = 1) -> list[int]:
        """Subscribe; returns the reason codes of the SUBACK."""
        self._subscribed = asyncio.get_running_loop().create_future()
        self._send([Subscribe(SUBSCRIBE_ID, [(topic_filter, qos) for topic_filter in filters])])
        return await asyncio.wait_for(self._subscribed, 5.0)

    def publish(self, message: Publish) -> int:
        """Publish; returns the packet identifier if the message is sent at once, else 0."""
        _, packets = self.session.outbox.enqueue(message)
        self._send(list(packets))
        return packets[-1].id if packets else 0

    def abort(self) -> None:
        """Close the socket without a DISCONNECT."""
        if self.connection:
            self.connection.abort("dropped")

    async def close(self) -> None:
        """Disconnect."""
        if self.connection:
            self._send([Disconnect()])
            self.connection.abort("closed")
        if self._task:
            await asyncio.wait([self._task], timeout=1.0)
