"""The MQTT endpoint: clients connect to the gateway itself, publish triggers and receive answers.

It is not a broker: messages outside the trigger topics are rejected.  Subscriptions are granted but have no
effect, as each answer is sent to the client whose trigger it answers.  A will on a trigger topic is submitted
as a trigger.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from swiftwell.fair_reads import ProcessingTurns
from swiftwell.fronts.host import Host
from swiftwell.fronts.mqtt.codec import (
    V5,
    V311,
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
    Unsubscribe,
    Will,
    check_filter,
)
from swiftwell.fronts.mqtt.connection import READ_BYTES, Connection
from swiftwell.fronts.mqtt.contract import Contract
from swiftwell.fronts.mqtt.peer import AnswerRouter, Peer
from swiftwell.fronts.mqtt.session import Session, handshake_window

CONNECT_TIMEOUT_S = 10.0  # until the CONNECT is received
SWEEP_INTERVAL_S = 1.0  # between checks of keep-alives and session expiry


@dataclass(frozen=True, slots=True)
class EndpointBounds:
    """Limits of the listener, from the site's settings."""

    max_connections: int = 10_000
    max_sessions: int = 20_000  # with or without a connection
    receive_maximum: int = 256  # announced to clients
    max_packet_bytes: int = 262_144
    max_unsent_bytes: int = 1_048_576  # of output to one client
    max_answers: int = 256  # of one client, waiting to be sent
    max_open: int = 1_024  # triggers without an answer of one client
    max_session_s: int = 3_600  # session expiry
    max_keep_alive_s: int = 300  # also for clients that request none


class _Client(Peer):
    """The session of a client."""

    will: Will | None = None
    keep_alive: float = 0.0
    expiry: float = 0.0  # s that the session is kept after its connection ends
    expires_at: float = 0.0  # end of a session without a connection
    will_at: float = 0.0  # time to submit the will


class Endpoint(AnswerRouter):
    """The listener and its sessions.

    `admit` decides who may connect: it returns None, or the reason code with which to reject the client.
    """

    def __init__(
        self,
        host: Host,
        contract: Contract,
        bounds: EndpointBounds,
        admit: Callable[[Connect], Reason | None],
    ) -> None:
        self._host, self._contract, self._bounds, self._admit = host, contract, bounds, admit
        self.clients: dict[str, _Client] = {}
        self._connections: set[Connection] = set()
        self.turns = ProcessingTurns(READ_BYTES)
        self._tasks: set[asyncio.Task] = set()
        self._server = _Server(self)
        self._sweep = PeriodicCallback(self.sweep, SWEEP_INTERVAL_S * 1_000)
        self._assigned_ids = 0

    def begin(self) -> None:
        """Start the periodic check of keep-alives and sessions."""
        self._sweep.start()

    def listen(self, port: int, address: str, sockets: list[socket.socket] | None = None) -> int:
        """Listen on the open `sockets` or on new ones; returns the port (port 0 selects a free one)."""
        self._server.add_sockets(sockets or bind_sockets(port, address, backlog=1_024))
        self.begin()
        return next(iter(self._server._sockets.values())).getsockname()[1]

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._sweep.stop()
        self._server.stop()
        for connection in list(self._connections):
            connection.close(Reason.SHUTTING_DOWN, "the gateway ends")

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(self, stream: IOStream) -> None:
        """Serve one connection until it ends."""
        bounds = self._bounds
        stream.set_nodelay(True)
        connection = Connection(stream, 0, bounds.max_packet_bytes, bounds.max_unsent_bytes, self.turns)
        if len(self._connections) >= bounds.max_connections:
            # Closed without a CONNACK, which would require reading the CONNECT for the protocol version.
            connection.abort("too many connections")
            self._host.log("warning", "connection-refused", connections=len(self._connections))
            return
        await self._run(connection, [])

    def new_client(self, client_id: str) -> _Client:
        """Create a session for a client."""
        bounds = self._bounds
        session = Session(bounds.receive_maximum, bounds.max_answers)
        client = _Client(self._host, self._contract, f"mqtt:{client_id}", client_id, session, bounds.max_open)
        self.clients[client_id] = client
        return client

    def adopt(self, connection: Connection, client: _Client | None) -> None:
        """Serve a connection of the previous process; `client` is None before its CONNECT."""
        connection.server, connection.turns = True, self.turns
        connection.decoder.restore(connection.connected)
        if client:
            client.connection = connection
        task = asyncio.ensure_future(self._run(connection, [client] if client else []))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection: Connection, client: list[_Client]) -> None:
        self._connections.add(connection)

        def on_packet(packet: Packet) -> None:
            if isinstance(packet, Connect):
                if new_client := self._accept_client(connection, packet):
                    client.append(new_client)
            elif client:
                self._on_packet(client[0], connection, packet)

        try:
            await connection.run(on_packet)
        finally:
            self._connections.discard(connection)
            if client:
                self._on_connection_lost(client[0], connection)
            elif connection.close_reason and not connection.close_reason.startswith("closed"):
                self._host.log("info", "connection-ended", why=connection.close_reason)

    def _accept_client(self, connection: Connection, packet: Connect) -> _Client | None:
        properties, bounds = packet.properties, self._bounds
        v5 = packet.version == V5
        client_id = packet.client_id
        properties_sent: dict[str, object] = {}
        if not client_id:
            if not v5 and not packet.clean:
                connection.close(Reason.CLIENT_ID, "a session needs a client identifier")
                return None
            self._assigned_ids += 1
            client_id = properties_sent["assigned_client_id"] = (
                f"auto-{self._assigned_ids}-{int(time.time() * 1000):x}"
            )
        reject_reason = self._admit(packet)
        if packet.will and packet.will.retain:
            reject_reason = Reason.RETAIN
        if len(self.clients) >= bounds.max_sessions and client_id not in self.clients:
            reject_reason = Reason.QUOTA
        if reject_reason is not None:
            connection.close(reject_reason, "this client may not connect")
            return None
        client, present = self.clients.get(client_id), False
        if client and client.connection:
            client.connection.close(Reason.TAKEN_OVER, "the client connected again")
            self._on_connection_lost(client, client.connection)
            client = self.clients.get(client_id)
        if client and packet.clean:
            self._end_session(client)
            client = None
        present = client is not None
        if client is None:
            client = self.new_client(client_id)
        client.session.outbox.window = handshake_window(properties)
        connection.peer_max_packet_bytes = properties.get("maximum_packet", 0)
        requested_expiry = (
            properties.get("session_expiry", 0) if v5 else 0 if packet.clean else bounds.max_session_s
        )
        client.expiry = min(requested_expiry, bounds.max_session_s)
        client.keep_alive = min(packet.keep_alive or bounds.max_keep_alive_s, bounds.max_keep_alive_s)
        client.will, client.will_at = packet.will, 0.0
        if v5:
            properties_sent |= {
                "receive_maximum": bounds.receive_maximum,
                "maximum_packet": bounds.max_packet_bytes,
                "retain_available": 0,
            }
            properties_sent |= {"shared_available": 0, "subscription_ids_available": 0}
            if client.expiry != requested_expiry:
                properties_sent["session_expiry"] = int(client.expiry)
            if client.keep_alive != packet.keep_alive:
                properties_sent["server_keep_alive"] = int(client.keep_alive)
        elif not packet.keep_alive:
            client.keep_alive = float("inf")  # 3.1.1 has no means to assign another keep-alive
        client.attach(connection)
        connection.connected = True
        connection.send([Connack(present, 0, properties_sent)])
        client.send(list(client.session.outbox.resume()))
        return client

    def _on_packet(self, client: _Client, connection: Connection, packet: Packet) -> None:
        match packet:
            case Publish():
                if packet.retain:
                    raise ProtocolError(Reason.RETAIN, "triggers are not retained")
                if "topic_alias" in packet.properties:
                    raise ProtocolError(Reason.TOPIC_ALIAS, "no topic alias is allowed")
                client.on_publish(packet)
            case Ack():
                client.on_ack(packet)
            case Ping() if packet.type is Type.PINGREQ:
                connection.send([Ping(Type.PINGRESP)])
            case Subscribe():
                connection.send(
                    [Suback(Type.SUBACK, packet.id, [self._subscribe(client, *f) for f in packet.filters])]
                )
            case Unsubscribe():
                known = [client.session.filters.pop(name, None) for name in packet.filters]
                reasons = [Reason.OK if options is not None else Reason.NO_SUBSCRIPTION for options in known]
                connection.send([Suback(Type.UNSUBACK, packet.id, list(reasons))])
            case Disconnect():
                if packet.reason != Reason.DISCONNECT_WITH_WILL:
                    client.will = None
                if connection.version == V5 and "session_expiry" in packet.properties:
                    if not client.expiry and packet.properties["session_expiry"]:
                        raise ProtocolError(Reason.PROTOCOL_ERROR, "a session expiry is set at the end only")
                    client.expiry = min(packet.properties["session_expiry"], self._bounds.max_session_s)
                connection.abort("disconnected")
            case _:
                raise ProtocolError(Reason.PROTOCOL_ERROR, f"a {type(packet).__name__} from a client")

    def _subscribe(self, client: _Client, name: str, options: int) -> int:
        try:
            check_filter(name)
        except ProtocolError:
            return Reason.FILTER_INVALID if client.connection and client.connection.version != V311 else 0x80
        if name.startswith("$share/"):
            return (
                Reason.SHARED_UNSUPPORTED if client.connection and client.connection.version != V311 else 0x80
            )
        if len(client.session.filters) >= 64:
            return Reason.QUOTA if client.connection and client.connection.version != V311 else 0x80
        client.session.filters[name] = options
        return options & 3

    def _on_connection_lost(self, client: _Client, connection: Connection) -> None:
        """Handle the end of a client's connection; the session may outlive it."""
        if client.connection is not connection:
            return
        self._host.log("info", "client-lost", client=client.client, why=connection.close_reason)
        client.detach(connection)
        now = time.monotonic()
        if client.will:
            delay = client.will.properties.get("will_delay", 0)
            client.will_at = now + min(delay, client.expiry)
        client.expires_at = now + client.expiry
        if client.expiry == 0:
            self._end_session(client)

    def _end_session(self, client: _Client) -> None:
        """End a session."""
        if self.clients.get(client.client) is client:
            del self.clients[client.client]
        self._host.gone(client.source)
        self._submit_will(client)

    def _submit_will(self, client: _Client) -> None:
        will, client.will = client.will, None
        if will:
            self._host.log("info", "will", client=client.client, topic=will.topic)
            # The will gets a source of its own: its call has no recipient for an answer and must not be
            # cancelled because the client is gone.
            sender = Peer(self._host, self._contract, f"will:{client.client}", "", Session(1, 0), 1)
            sender.submit_trigger(Publish(will.topic, will.payload, 0, properties=dict(will.properties)), V5)

    def sweep(self) -> None:
        """Close silent connections, submit wills that are due and end expired sessions."""
        now = time.monotonic()
        for connection in list(self._connections):
            if not connection.connected and now - connection.received_at > CONNECT_TIMEOUT_S:
                connection.abort("no CONNECT received")
        for client in list(self.clients.values()):
            connection = client.connection
            if connection:
                if now - connection.received_at > 1.5 * client.keep_alive:
                    connection.close(Reason.KEEP_ALIVE, "nothing was heard for one and a half keep-alives")
                continue
            if client.will and now >= client.will_at:
                self._submit_will(client)
            if now >= client.expires_at:
                self._end_session(client)


class _Server(TCPServer):
    """Passes accepted connections to the endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await self._endpoint.serve(stream)
