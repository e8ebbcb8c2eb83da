"""The MQTT subscriber: the gateway receives triggers from a broker and publishes answers through it."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fronts.host import Backoff, Host
from swiftwell.fronts.mqtt.codec import (
    V5,
    Ack,
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    ProtocolError,
    Publish,
    Reason,
    Suback,
    Subscribe,
    Type,
)
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.contract import Contract
from swiftwell.fronts.mqtt.peer import AnswerRouter, Peer
from swiftwell.fronts.mqtt.session import SUBSCRIBE_ID, Session, handshake_window

CONNECT_TIMEOUT_S = 5.0  # including the handshake


@dataclass(frozen=True, slots=True)
class BrokerLink:
    """The settings of one broker, which may have several addresses."""

    name: str
    addresses: tuple[tuple[str, int], ...]
    client_id: str
    topics: tuple[str, ...]  # topic filters to subscribe to
    share: str = ""  # name of the shared subscription; "": not shared
    version: int = V5
    username: str = ""
    password: str = ""
    keep_alive_s: int = 30
    session_s: int = 3_600
    receive_maximum: int = 256
    max_packet_bytes: int = 262_144
    max_unsent_bytes: int = 4_194_304
    max_answers: int = 10_000
    max_open: int = 10_000


class Subscriber(AnswerRouter):
    """Keeps a connection to one broker until `close`."""

    def __init__(self, host: Host, contract: Contract, link: BrokerLink, rng: random.Random) -> None:
        self._host, self.link, self._backoff = host, link, Backoff(rng)
        session = Session(link.receive_maximum, link.max_answers)
        self.peer = Peer(host, contract, f"broker:{link.name}", "", session, link.max_open, bool(link.share))
        self._closing = False
        self._adopted: Connection | None = None
        self.handover_paused = False  # nothing may be sent
        self._subscribed = asyncio.Event()
        self.up = False

    async def run(self) -> None:
        """Connect and serve, and reconnect with back-off, until `close`; addresses are tried in turn."""
        address_number = 0
        while not self._closing:
            address = self.link.addresses[address_number % len(self.link.addresses)]
            address_number += 1
            started_at = time.monotonic()
            if self._adopted:
                connection, self._adopted = self._adopted, None
                reason = await self._read_until_closed(connection)
            else:
                reason = await self._serve_connection(address)
            if self._closing:
                return
            self._backoff.connection_ended(time.monotonic() - started_at)
            delay_s = self._backoff.next_delay_s()
            self._host.log(
                "warning", "broker-lost", broker=self.link.name, address=f"{address[0]}:{address[1]}",
                why=reason, again_in_s=round(delay_s, 2),
            )  # fmt: skip
            await asyncio.sleep(delay_s)

    def adopt(self, connection: Connection, up: bool) -> None:
        """Continue a connection of the previous process; called before `run`."""
        self._adopted, self.up = connection, up
        self.peer.connection = connection
        if up:
            self._subscribed.set()

    async def _serve_connection(self, address: tuple[str, int]) -> str:
        """Serve one connection until it ends; returns the reason."""
        link = self.link
        try:
            stream: IOStream = await asyncio.wait_for(
                TCPClient().connect(address[0], address[1], max_buffer_size=4 * link.max_packet_bytes),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            return f"no connection: {str(error) or type(error).__name__}"
        stream.set_nodelay(True)
        connection = Connection(stream, link.version, link.max_packet_bytes, link.max_unsent_bytes)
        connection.send([self._connect_packet()])
        return await self._read_until_closed(connection)

    async def _read_until_closed(self, connection: Connection) -> str:
        keep_alive_task = asyncio.create_task(self._check_keep_alive(connection))
        try:
            await connection.run(lambda packet: self._on_packet(connection, packet))
        finally:
            keep_alive_task.cancel()
            self.up = False
            self._subscribed.clear()
            self.peer.detach(connection)
        return connection.close_reason

    def _connect_packet(self) -> Connect:
        link = self.link
        properties: dict[str, object] = {}
        if link.version == V5:
            properties = {"receive_maximum": link.receive_maximum, "maximum_packet": link.max_packet_bytes}
            properties["session_expiry"] = link.session_s
        return Connect(
            link.client_id,
            clean=link.session_s == 0,
            keep_alive=link.keep_alive_s,
            username=link.username or None,
            password=link.password.encode() if link.password else None,
            version=link.version,
            properties=properties,
        )

    async def _check_keep_alive(self, connection: Connection) -> None:
        """Ping an idle connection, and abort a silent one."""
        started_at = time.monotonic()
        while not connection.closed:
            await asyncio.sleep(min(1.0, self.link.keep_alive_s / 4))
            now = time.monotonic()
            if self.handover_paused:
                continue
            if not connection.connected:
                if now - started_at > CONNECT_TIMEOUT_S:
                    connection.abort("no CONNACK received")
            elif now - connection.received_at > 1.5 * self.link.keep_alive_s:
                connection.abort("no packet for 1.5 keep-alive intervals")
            elif now - max(connection.sent_at, connection.received_at) > self.link.keep_alive_s / 2:
                connection.send([Ping(Type.PINGREQ)])

    def _on_packet(self, connection: Connection, packet: Packet) -> None:
        if not connection.connected:
            if not isinstance(packet, Connack):
                raise ProtocolError(Reason.PROTOCOL_ERROR, "the first packet is not a CONNACK")
            self._on_connack(connection, packet)
            return
        match packet:
            case Publish():
                if packet.retain:  # of unknown age, so not a current call
                    self.peer.session.inbox.receive(packet)
                    connection.send(list(self.peer.session.inbox.acknowledge(packet.id)))
                    self._host.log("warning", "retained-ignored", topic=packet.topic[:120])
                    return
                if "topic_alias" in packet.properties:
                    raise ProtocolError(Reason.TOPIC_ALIAS, "no topic alias is allowed")
                self.peer.on_publish(packet)
            case Ack():
                self.peer.on_ack(packet)
            case Suback():
                if any(reason >= 0x80 for reason in packet.reasons):
                    connection.close(
                        Reason.UNSPECIFIED, f"the broker refused the subscription: {packet.reasons}"
                    )
                else:
                    self.up = True
                    self._subscribed.set()
                    self._host.log("info", "broker-up", broker=self.link.name)
            case Disconnect():
                connection.abort(f"the broker ended the connection, reason {packet.reason:#x}")
            case Ping():
                pass
            case _:
                raise ProtocolError(Reason.PROTOCOL_ERROR, f"a {type(packet).__name__} from a broker")

    def _on_connack(self, connection: Connection, packet: Connack) -> None:
        if packet.reason:
            connection.abort(f"the broker refused the connection, reason {packet.reason:#x}")
            return
        connection.connected = True
        outbox = self.peer.session.outbox
        outbox.window = handshake_window(packet.properties)
        connection.peer_max_packet_bytes = packet.properties.get("maximum_packet", 0)
        self.peer.attach(connection)
        group = f"$share/{self.link.share}/" if self.link.share else ""
        # Retain handling 2: the broker sends no retained messages on subscribing.
        options = 2 | (0x20 if connection.version == V5 else 0)
        connection.send([Subscribe(SUBSCRIBE_ID, [(group + topic, options) for topic in self.link.topics])])
        packets = outbox.resume() if packet.session_present else outbox.reset()
        if not packet.session_present:
            # The broker has lost the session: the packet identifiers received before are void.
            self.peer.session.inbox = Session(self.link.receive_maximum, 0).inbox
        connection.send(list(packets))

    async def subscribed(self) -> None:
        """Wait until the broker has granted the subscription."""
        await self._subscribed.wait()

    def close(self) -> None:
        """End the link; the broker keeps the session until it expires."""
        self._closing = True
        if self.peer.connection:
            self.peer.connection.close(Reason.OK, "")
