"""An MQTT broker stand-in, from the public standards: sessions, QoS 0 to 2, shared subscriptions, expiry,
wills; faults.

It shares the codec with the gateway, so paho-mqtt is its independent peer in the tests.  No retained
messages.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field, replace

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

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
    check_filter,
    matches,
)
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.session import Session, handshake_window
from swiftwell.proof.trace import Trace

RECEIVE = 1_000
BOUND = 50_000  # messages that may wait for one client


@dataclass(eq=False)
class _Client:
    id: str
    session: Session
    connection: Connection | None = None
    expiry: float = 0.0
    until: float = 0.0
    keep_alive: float = 0.0
    will: Publish | None = None
    waiting: deque[tuple[Publish, float]] = field(
        default_factory=deque
    )  # (message, when it expires; 0 never)


class _Server(TCPServer):
    def __init__(self, broker: Broker) -> None:
        super().__init__()
        self._broker = broker

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await self._broker.serve(stream)


class Broker:
    """The broker.  Its faults are methods' names in `fault`."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self._clients: dict[str, _Client] = {}
        self._connections: set[Connection] = set()
        self._server = _Server(self)
        self._port = 0
        self._turn: dict[str, int] = {}
        self._faults: dict[str, float] = {}
        self._sweeper: object = None

    def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        self._server.listen(port, "127.0.0.1", backlog=1_024)
        self._port = next(iter(self._server._sockets.values())).getsockname()[1]
        IOLoop.current().call_later(0.5, self._sweep)
        return self._port

    def fault(self, name: str, for_s: float = 1.0, keep: bool = True) -> None:
        """restart (away for `for_s`; `keep` its sessions), stall (reads and writes nothing), lose_acks
        (those that
        clients send for what they got), duplicate (what is delivered comes twice, over a lost connection)."""
        self.trace.note("fault", worker="broker", fault=name, for_s=for_s)
        if name == "restart":
            self._restart(for_s, keep)
        elif name in ("stall", "lose_acks", "duplicate"):
            self._faults[name] = time.monotonic() + for_s
            if name == "duplicate":
                IOLoop.current().call_later(for_s, self._cut)
        else:
            raise ValueError(f"no fault {name!r}")

    def _has(self, name: str) -> bool:
        return time.monotonic() < self._faults.get(name, 0.0)

    def _cut(self) -> None:
        """Lose every connection: what was not acknowledged is delivered again."""
        for connection in list(self._connections):
            connection.abort("cut by a fault")

    def _restart(self, for_s: float, keep: bool) -> None:
        self._server.stop()
        for connection in list(self._connections):
            connection.abort("the broker restarts")
        if not keep:
            self._clients.clear()
        self.trace.note("broker-down", keep=keep)
        IOLoop.current().call_later(for_s, self._again)

    def _again(self) -> None:
        self._server = _Server(self)
        self._server.listen(self._port, "127.0.0.1", backlog=1_024)
        self.trace.note("broker-up")

    async def serve(self, stream: IOStream) -> None:
        """Serve one connection."""
        stream.set_nodelay(True)
        connection = Connection(stream, 0, 1 << 24, 1 << 26)
        self._connections.add(connection)
        client: list[_Client] = []
        packets: asyncio.Queue[Packet] = asyncio.Queue()

        def take(packet: Packet) -> None:
            if isinstance(packet, Connect):
                if opened := self._open(connection, packet):
                    client.append(opened)
            elif client and (self._has("stall") or not packets.empty()):
                packets.put_nowait(packet)
            elif client:
                self._packet(client[0], connection, packet)

        async def stalled() -> None:
            while True:
                packet = await packets.get()
                while self._has("stall"):
                    await asyncio.sleep(0.05)
                if not connection.closed:
                    self._packet(client[0], connection, packet)

        late = asyncio.ensure_future(stalled())
        try:
            await connection.run(take)
        finally:
            late.cancel()
            self._connections.discard(connection)
            if client:
                self._lost(client[0], connection)

    def _open(self, connection: Connection, packet: Connect) -> _Client | None:
        if not packet.client_id and not packet.clean:
            connection.close(Reason.CLIENT_ID, "a session needs a client identifier")
            return None
        client_id = packet.client_id or f"auto-{time.monotonic_ns():x}"
        client = self._clients.get(client_id)
        if client and client.connection:
            client.connection.close(Reason.TAKEN_OVER, "the client connected again")
            self._lost(client, client.connection)
            client = self._clients.get(client_id)
        present = client is not None and not packet.clean
        if not present or client is None:
            client = self._clients[client_id] = _Client(client_id, Session(RECEIVE, BOUND))
        v5 = packet.version == V5
        client.connection = connection
        client.expiry = packet.properties.get("session_expiry", 0) if v5 else 0 if packet.clean else 3_600
        client.keep_alive = packet.keep_alive
        client.session.outbox.window = handshake_window(packet.properties)
        client.will = None
        if packet.will:
            will = packet.will
            properties = {name: value for name, value in will.properties.items() if name != "will_delay"}
            client.will = Publish(will.topic, will.payload, will.qos, properties=properties)
        connection.peer_max_packet_bytes = packet.properties.get("maximum_packet", 0)
        connection.connected = True
        told: dict[str, object] = {"receive_maximum": RECEIVE, "retain_available": 0} if v5 else {}
        if v5 and not packet.client_id:
            told["assigned_client_id"] = client_id
        connection.send([Connack(present, 0, told)])
        self.trace.note("client", client=client_id, state="up", present=present)
        for again in client.session.outbox.resume():
            if isinstance(again, Publish):
                self._note_delivery(client, again)
            connection.send([again])
        self._flow(client)
        return client

    def _packet(self, client: _Client, connection: Connection, packet: Packet) -> None:
        match packet:
            case Publish():
                if packet.retain:
                    raise ProtocolError(Reason.RETAIN, "nothing is retained here")
                fresh, now = client.session.inbox.receive(packet)
                connection.send(list(now))
                if fresh:
                    self.trace.note("from", client=client.id, **_seen(packet))
                    found = self.route(packet)
                    reason = Reason.OK if found or connection.version != V5 else Reason.NO_SUBSCRIBERS
                    connection.send(list(client.session.inbox.acknowledge(packet.id, reason)))
            case Ack() if packet.type is Type.PUBREL:
                connection.send(list(client.session.inbox.on_pubrel(packet)))
            case Ack():
                if self._has("lose_acks") or self._has("duplicate"):
                    return
                connection.send(list(client.session.outbox.on_ack(packet)))
                self._flow(client)
            case Ping() if packet.type is Type.PINGREQ:
                connection.send([Ping(Type.PINGRESP)])
            case Subscribe():
                reasons = [
                    self._subscribe(client, connection, name, options) for name, options in packet.filters
                ]
                connection.send([Suback(Type.SUBACK, packet.id, reasons)])
            case Unsubscribe():
                known = [client.session.filters.pop(name, None) for name in packet.filters]
                reasons = [0 if one is not None else Reason.NO_SUBSCRIPTION for one in known]
                connection.send([Suback(Type.UNSUBACK, packet.id, list(reasons))])
            case Disconnect():
                if packet.reason != Reason.DISCONNECT_WITH_WILL:
                    client.will = None
                if "session_expiry" in packet.properties:
                    client.expiry = packet.properties["session_expiry"]
                connection.abort("disconnected")
            case _:
                raise ProtocolError(Reason.PROTOCOL_ERROR, f"a {type(packet).__name__} from a client")

    def _subscribe(self, client: _Client, connection: Connection, name: str, options: int) -> int:
        try:
            check_filter(name)
        except ProtocolError as error:
            return int(error.reason) if connection.version != V311 else 0x80
        client.session.filters[name] = options
        return options & 3

    def _lost(self, client: _Client, connection: Connection) -> None:
        if client.connection is not connection:
            return
        client.connection = None
        client.session.inbox.disconnected()
        client.until = time.monotonic() + client.expiry
        self.trace.note("client", client=client.id, state="down", why=connection.close_reason)
        will, client.will = client.will, None
        if will:
            self.route(will)
        if not client.expiry and self._clients.get(client.id) is client:
            del self._clients[client.id]

    def route(self, message: Publish) -> int:
        """Hand a message to its subscribers; how many there are."""
        shared: dict[str, list[tuple[_Client, int]]] = {}
        found = 0
        for client in list(self._clients.values()):
            best = -1
            for name, options in client.session.filters.items():
                if name.startswith("$share/"):
                    _, group, plain = name.split("/", 2)
                    if matches(plain, message.topic):
                        shared.setdefault(f"{group}/{plain}", []).append((client, options & 3))
                elif matches(name, message.topic):
                    best = max(best, options & 3)
            if best >= 0:
                found += 1
                self._queue(client, message, best)
        for group, members in shared.items():
            up = [member for member in members if member[0].connection] or members
            turn = self._turn[group] = self._turn.get(group, -1) + 1
            found += 1
            self._queue(*up[turn % len(up)][:1], message, up[turn % len(up)][1])
        return found

    def _queue(self, client: _Client, message: Publish, qos: int) -> None:
        if len(client.waiting) >= BOUND or (not client.connection and not min(qos, message.qos)):
            return
        expiry = message.properties.get("message_expiry")
        until = time.monotonic() + expiry if expiry is not None else 0.0
        copy = Publish(
            message.topic, message.payload, min(qos, message.qos), properties=dict(message.properties)
        )
        client.waiting.append((copy, until))
        self._flow(client)

    def _flow(self, client: _Client) -> None:
        """Deliver what waits, as far as the client's window goes; what has expired is dropped (3.3.2.3.3)."""
        while (
            client.waiting and client.connection and len(client.session.outbox) < client.session.outbox.window
        ):
            message, until = client.waiting.popleft()
            if until:
                left = until - time.monotonic()
                if left <= 0:
                    self.trace.note("expired", client=client.id, **_seen(message))
                    continue
                message.properties["message_expiry"] = max(1, int(left))
            _, now = client.session.outbox.enqueue(message)
            for one in now:
                self._note_delivery(client, one)
            client.connection.send(list(now))
            if self._has("duplicate") and message.qos:
                again = [replace(one, dup=True) for one in now]
                for one in again:
                    self._note_delivery(client, one)
                client.connection.send(list(again))

    def _note_delivery(self, client: _Client, message: Publish) -> None:
        self.trace.note("to", client=client.id, dup=message.dup, **_seen(message))

    def _sweep(self) -> None:
        IOLoop.current().call_later(0.5, self._sweep)
        now = time.monotonic()
        for client in list(self._clients.values()):
            connection = client.connection
            if connection and client.keep_alive and now - connection.received_at > 1.5 * client.keep_alive:
                connection.close(Reason.KEEP_ALIVE, "silent")
            elif not connection and now > client.until and self._clients.get(client.id) is client:
                del self._clients[client.id]


def _seen(message: Publish) -> dict[str, object]:
    """What a trace says of a message."""
    correlation = message.properties.get("correlation_data", b"")
    return {"topic": message.topic, "qos": message.qos, "corr": correlation.decode("latin-1")}
