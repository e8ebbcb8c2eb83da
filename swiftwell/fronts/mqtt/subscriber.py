"""The subscriber: the gateway is a client of a broker, takes triggers from it and publishes answers through
it."""

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
from swiftwell.fronts.mqtt.peer import Answers, Peer
from swiftwell.fronts.mqtt.session import SUBSCRIBE_ID, Session, handshake_window

CONNECT_S = 5.0  # s for a connection and its handshake


@dataclass(frozen=True, slots=True)
class BrokerLink:
    """One broker (or several addresses of one), as the settings name it."""

    name: str
    addresses: tuple[tuple[str, int], ...]
    client_id: str
    topics: tuple[str, ...]  # filters to subscribe to
    share: str = ""  # name of the shared subscription; "" is none
    version: int = V5
    username: str = ""
    password: str = ""
    keep_alive_s: int = 30
    session_s: int = 3_600
    receive: int = 256
    packet: int = 262_144
    waiting_out: int = 4_194_304
    answers: int = 10_000
    open: int = 10_000


class Subscriber(Answers):
    """The link to one broker, kept up until `close`."""

    def __init__(self, host: Host, contract: Contract, link: BrokerLink, chance: random.Random) -> None:
        self._host, self.link, self._backoff = host, link, Backoff(chance)
        session = Session(link.receive, link.answers)
        self.peer = Peer(host, contract, f"broker:{link.name}", "", session, link.open, bool(link.share))
        self._closing = False
        self._adopted: Connection | None = None
        self.resting = False  # nothing may be sent now
        self._subscribed = asyncio.Event()
        self.up = False

    async def run(self) -> None:
        """Connect, serve, come back; addresses in turn."""
        turn = 0
        while not self._closing:
            address = self.link.addresses[turn % len(self.link.addresses)]
            turn += 1
            began = time.monotonic()
            if self._adopted:
                connection, self._adopted = self._adopted, None
                why = await self._serve(connection)
            else:
                why = await self._once(address)
            if self._closing:
                return
            self._backoff.connection_ended(time.monotonic() - began)
            wait = self._backoff.next_delay_s()
            self._host.log("warning", "broker-lost", broker=self.link.name,
            address=f"{address[0]}:{address[1]}",
            why=why,
                           again_in_s=round(wait, 2))  # fmt: skip
            await asyncio.sleep(wait)

    def adopt(self, connection: Connection, up: bool) -> None:
        """Go on with a connection that another process had; before `run`."""
        self._adopted, self.up = connection, up
        self.peer.connection = connection
        if up:
            self._subscribed.set()

    async def _once(self, address: tuple[str, int]) -> str:
        """One connection, from its opening to its end; why it ended."""
        link = self.link
        try:
            stream: IOStream = await asyncio.wait_for(
                TCPClient().connect(address[0], address[1], max_buffer_size=4 * link.packet), CONNECT_S
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            return f"no connection: {str(error) or type(error).__name__}"
        stream.set_nodelay(True)
        connection = Connection(stream, link.version, link.packet, link.waiting_out)
        connection.send([self._greeting()])
        return await self._serve(connection)

    async def _serve(self, connection: Connection) -> str:
        keeper = asyncio.create_task(self._keep(connection))
        try:
            await connection.run(lambda packet: self._packet(connection, packet))
        finally:
            keeper.cancel()
            self.up = False
            self._subscribed.clear()
            self.peer.detach(connection)
        return connection.why

    def _greeting(self) -> Connect:
        link = self.link
        properties: dict[str, object] = {}
        if link.version == V5:
            properties = {"receive_maximum": link.receive, "maximum_packet": link.packet}
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

    async def _keep(self, connection: Connection) -> None:
        """Ping an idle connection, end a silent one."""
        began = time.monotonic()
        while not connection.closed:
            await asyncio.sleep(min(1.0, self.link.keep_alive_s / 4))
            now = time.monotonic()
            if self.resting:
                continue
            if not connection.connected:
                if now - began > CONNECT_S:
                    connection.abort("no CONNACK came")
            elif now - connection.heard > 1.5 * self.link.keep_alive_s:
                connection.abort("nothing was heard for one and a half keep-alives")
            elif now - max(connection.spoke, connection.heard) > self.link.keep_alive_s / 2:
                connection.send([Ping(Type.PINGREQ)])

    def _packet(self, connection: Connection, packet: Packet) -> None:
        if not connection.connected:
            if not isinstance(packet, Connack):
                raise ProtocolError(Reason.PROTOCOL_ERROR, "the first packet is not a CONNACK")
            self._greeted(connection, packet)
            return
        match packet:
            case Publish():
                if packet.retain:  # kept since nobody knows when: not a call of now
                    self.peer.session.inbox.take(packet)
                    connection.send(list(self.peer.session.inbox.done(packet.id)))
                    self._host.log("warning", "retained-ignored", topic=packet.topic[:120])
                    return
                if "topic_alias" in packet.properties:
                    raise ProtocolError(Reason.TOPIC_ALIAS, "no topic alias is allowed")
                self.peer.message(packet)
            case Ack():
                self.peer.acks(packet)
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

    def _greeted(self, connection: Connection, packet: Connack) -> None:
        if packet.reason:
            connection.abort(f"the broker refused us, reason {packet.reason:#x}")
            return
        connection.connected = True
        outbox = self.peer.session.outbox
        outbox.window = handshake_window(packet.properties)
        connection.peer_most = packet.properties.get("maximum_packet", 0)
        self.peer.attach(connection)
        group = f"$share/{self.link.share}/" if self.link.share else ""
        # Retain handling 2: nothing that was retained is sent for the subscription.
        options = 2 | (0x20 if connection.version == V5 else 0)
        connection.send([Subscribe(SUBSCRIBE_ID, [(group + topic, options) for topic in self.link.topics])])
        again = outbox.resume() if packet.session_present else outbox.reset()
        if not packet.session_present:
            # The broker has forgotten which of our receipts stand; so have its identifiers.
            self.peer.session.inbox = Session(self.link.receive, 0).inbox
        connection.send(list(again))

    async def subscribed(self) -> None:
        """Wait until triggers may come."""
        await self._subscribed.wait()

    def close(self) -> None:
        """End the link; the broker keeps the session for as long as was agreed."""
        self._closing = True
        if self.peer.connection:
            self.peer.connection.close(Reason.OK, "")
