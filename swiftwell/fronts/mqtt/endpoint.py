"""The endpoint: consoles and substation gateways connect to the gateway itself, publish triggers and get
answers.

It is no broker: messages outside the trigger topics are turned away, subscriptions are granted and mean
only that
answers may come, and an answer goes to the client that asked.  A will on a trigger topic becomes a trigger.
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
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.contract import Contract
from swiftwell.fronts.mqtt.peer import Answers, Peer
from swiftwell.fronts.mqtt.session import Session, handshake_window

GREETING_S = 10.0  # s a connection may take to its CONNECT
SWEEP_S = 1.0  # s between looks at keep-alives and ended sessions


@dataclass(frozen=True, slots=True)
class EndpointBounds:
    """What the listener allows; the site's settings state it."""

    connections: int = 10_000
    sessions: int = 20_000  # connected or waiting for their client
    receive: int = 256  # Receive Maximum announced
    packet: int = 262_144  # bytes
    waiting_out: int = 1_048_576  # bytes that may wait for one client
    answers: int = 256  # answers that may wait for one client's acknowledgements
    open: int = 1_024  # triggers of one client without an answer
    session_s: int = 3_600  # session expiry granted at most
    keep_alive_s: int = 300  # at most, also for clients that ask for none


class _Client(Peer):
    """A client's session."""

    will: Will | None = None
    keep_alive: float = 0.0
    expiry: float = 0.0  # s that the session outlives its connection
    until: float = 0.0  # when it ends, where no connection stands
    will_at: float = 0.0  # when its will is due


class Endpoint(Answers):
    """The listener and its sessions.

    `admit` says who may connect: it returns None, or the reason code that turns the client away.
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
        self._tasks: set[asyncio.Task] = set()
        self._server = _Server(self)
        self._sweep = PeriodicCallback(self.sweep, SWEEP_S * 1_000)
        self._numbers = 0

    def begin(self) -> None:
        """Look after keep-alives and sessions from now on."""
        self._sweep.start()

    def listen(self, port: int, address: str, opened: list[socket.socket] | None = None) -> int:
        """Begin to listen, on sockets that are open already or on new ones; returns the port (a free one for
        0)."""
        self._server.add_sockets(opened or bind_sockets(port, address, backlog=1_024))
        self.begin()
        return next(iter(self._server._sockets.values())).getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connections."""
        self._server.stop()

    def close(self) -> None:
        """End all connections."""
        self._sweep.stop()
        self._server.stop()
        for connection in list(self._connections):
            connection.close(Reason.SHUTTING_DOWN, "the gateway ends")

    @property
    def connections(self) -> int:
        return len(self._connections)

    async def serve(self, stream: IOStream) -> None:
        """Serve one connection until it ends."""
        bounds = self._bounds
        stream.set_nodelay(True)
        connection = Connection(stream, 0, bounds.packet, bounds.waiting_out)
        if len(self._connections) >= bounds.connections:
            # Closed without a word: an answer would need the version, hence a packet read for each.
            connection.abort("too many connections")
            self._host.log("warning", "connection-refused", connections=len(self._connections))
            return
        await self._run(connection, [])

    def new_client(self, client_id: str) -> _Client:
        """A session for a client."""
        bounds = self._bounds
        session = Session(bounds.receive, bounds.answers)
        client = _Client(self._host, self._contract, f"mqtt:{client_id}", client_id, session, bounds.open)
        self.clients[client_id] = client
        return client

    def adopt(self, connection: Connection, client: _Client | None) -> None:
        """Serve a connection that another process had; `client` where it has said who it is."""
        connection.server = True
        connection.decoder.greeted(connection.connected)
        if client:
            client.connection = connection
        task = asyncio.ensure_future(self._run(connection, [client] if client else []))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, connection: Connection, client: list[_Client]) -> None:
        self._connections.add(connection)

        def take(packet: Packet) -> None:
            if isinstance(packet, Connect):
                if opened := self._open(connection, packet):
                    client.append(opened)
            elif client:
                self._packet(client[0], connection, packet)

        try:
            await connection.run(take)
        finally:
            self._connections.discard(connection)
            if client:
                self._lost(client[0], connection)
            elif connection.why and not connection.why.startswith("closed"):
                self._host.log("info", "connection-ended", why=connection.why)

    def _open(self, connection: Connection, packet: Connect) -> _Client | None:
        properties, bounds = packet.properties, self._bounds
        v5 = packet.version == V5
        client_id = packet.client_id
        told: dict[str, object] = {}
        if not client_id:
            if not v5 and not packet.clean:
                connection.close(Reason.CLIENT_ID, "a session needs a client identifier")
                return None
            self._numbers += 1
            client_id = told["assigned_client_id"] = f"auto-{self._numbers}-{int(time.time() * 1000):x}"
        refused = self._admit(packet)
        if packet.will and packet.will.retain:
            refused = Reason.RETAIN
        if len(self.clients) >= bounds.sessions and client_id not in self.clients:
            refused = Reason.QUOTA
        if refused is not None:
            connection.close(refused, "this client may not connect")
            return None
        client, present = self.clients.get(client_id), False
        if client and client.connection:
            client.connection.close(Reason.TAKEN_OVER, "the client connected again")
            self._lost(client, client.connection)
            client = self.clients.get(client_id)
        if client and packet.clean:
            self._end(client)
            client = None
        present = client is not None
        if client is None:
            client = self.new_client(client_id)
        client.session.outbox.window = handshake_window(properties)
        connection.peer_most = properties.get("maximum_packet", 0)
        asked = properties.get("session_expiry", 0) if v5 else 0 if packet.clean else bounds.session_s
        client.expiry = min(asked, bounds.session_s)
        client.keep_alive = min(packet.keep_alive or bounds.keep_alive_s, bounds.keep_alive_s)
        client.will, client.will_at = packet.will, 0.0
        if v5:
            told |= {
                "receive_maximum": bounds.receive,
                "maximum_packet": bounds.packet,
                "retain_available": 0,
            }
            told |= {"shared_available": 0, "subscription_ids_available": 0}
            if client.expiry != asked:
                told["session_expiry"] = int(client.expiry)
            if client.keep_alive != packet.keep_alive:
                told["server_keep_alive"] = int(client.keep_alive)
        elif not packet.keep_alive:
            client.keep_alive = float("inf")  # 3.1.1 can't be told of another keep-alive
        client.attach(connection)
        connection.connected = True
        connection.send([Connack(present, 0, told)])
        client.send(list(client.session.outbox.resume()))
        return client

    def _packet(self, client: _Client, connection: Connection, packet: Packet) -> None:
        match packet:
            case Publish():
                if packet.retain:
                    raise ProtocolError(Reason.RETAIN, "triggers are not retained")
                if "topic_alias" in packet.properties:
                    raise ProtocolError(Reason.TOPIC_ALIAS, "no topic alias is allowed")
                client.message(packet)
            case Ack():
                client.acks(packet)
            case Ping() if packet.type is Type.PINGREQ:
                connection.send([Ping(Type.PINGRESP)])
            case Subscribe():
                connection.send(
                    [Suback(Type.SUBACK, packet.id, [self._subscribe(client, *f) for f in packet.filters])]
                )
            case Unsubscribe():
                known = [client.session.filters.pop(name, None) for name in packet.filters]
                reasons = [Reason.OK if one is not None else Reason.NO_SUBSCRIPTION for one in known]
                connection.send([Suback(Type.UNSUBACK, packet.id, list(reasons))])
            case Disconnect():
                if packet.reason != Reason.DISCONNECT_WITH_WILL:
                    client.will = None
                if connection.version == V5 and "session_expiry" in packet.properties:
                    if not client.expiry and packet.properties["session_expiry"]:
                        raise ProtocolError(Reason.PROTOCOL_ERROR, "a session expiry is set at the end only")
                    client.expiry = min(packet.properties["session_expiry"], self._bounds.session_s)
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

    def _lost(self, client: _Client, connection: Connection) -> None:
        """A client's connection has ended; its session may go on without."""
        if client.connection is not connection:
            return
        self._host.log("info", "client-lost", client=client.client, why=connection.why)
        client.detach(connection)
        now = time.monotonic()
        if client.will:
            delay = client.will.properties.get("will_delay", 0)
            client.will_at = now + min(delay, client.expiry)
        client.until = now + client.expiry
        if client.expiry == 0:
            self._end(client)

    def _end(self, client: _Client) -> None:
        """A session has ended."""
        if self.clients.get(client.client) is client:
            del self.clients[client.client]
        self._host.gone(client.source)
        self._last_will(client)

    def _last_will(self, client: _Client) -> None:
        will, client.will = client.will, None
        if will:
            self._host.log("info", "will", client=client.client, topic=will.topic)
            # A source of its own: the answer has nobody to go to, and the client's leaving must not undo it.
            ghost = Peer(self._host, self._contract, f"will:{client.client}", "", Session(1, 0), 1)
            ghost.trigger(Publish(will.topic, will.payload, 0, properties=dict(will.properties)), V5)

    def sweep(self) -> None:
        """Close what is silent or overdue, end sessions whose time is up."""
        now = time.monotonic()
        for connection in list(self._connections):
            if not connection.connected and now - connection.heard > GREETING_S:
                connection.abort("no CONNECT came")
        for client in list(self.clients.values()):
            connection = client.connection
            if connection:
                if now - connection.heard > 1.5 * client.keep_alive:
                    connection.close(Reason.KEEP_ALIVE, "nothing was heard for one and a half keep-alives")
                continue
            if client.will and now >= client.will_at:
                self._last_will(client)
            if now >= client.until:
                self._end(client)


class _Server(TCPServer):
    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await self._endpoint.serve(stream)
