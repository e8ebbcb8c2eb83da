"""A stand-in for an MQTT broker, written from the public standards, with faults to inject.

It has sessions, QoS 0 to 2, shared subscriptions, message expiry and wills, but no retained messages.  It
shares the codec with the gateway, so paho-mqtt is its independent peer in the tests.
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
from swiftwell.standins.ports import ReservedPort

RECEIVE_MAXIMUM = 1_000
MAX_WAITING = 50_000  # messages queued for one client


@dataclass(eq=False)
class _Client:
    id: str
    session: Session
    connection: Connection | None = None
    session_expiry_s: float = 0.0
    session_expires_at: float = 0.0
    keep_alive_s: float = 0.0
    will: Publish | None = None
    # Queued messages, each with its expiry time; 0 if it never expires.
    waiting: deque[tuple[Publish, float]] = field(default_factory=deque)


class _Server(TCPServer):
    def __init__(self, broker: Broker) -> None:
        super().__init__()
        self._broker = broker

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await self._broker.serve(stream)


class Broker:
    """The broker.  `fault` injects faults."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self._clients: dict[str, _Client] = {}
        self._connections: set[Connection] = set()
        self._server = _Server(self)
        self._port = 0
        self._reserved: ReservedPort | None = None
        self._next_member: dict[str, int] = {}
        self._fault_ends_at: dict[str, float] = {}
        self._sweeper: object = None

    def start(self, port: int = 0) -> int:
        """Starts listening and returns the port."""
        if not port:
            self._reserved = ReservedPort()  # it listens there again after some faults
            port = self._reserved.number
        self._server.listen(port, "127.0.0.1", backlog=1_024)
        self._port = next(iter(self._server._sockets.values())).getsockname()[1]
        IOLoop.current().call_later(0.5, self._sweep)
        return self._port

    def fault(self, name: str, for_s: float = 1.0, keep: bool = True) -> None:
        """Injects a fault for `for_s` seconds.

        restart: the broker is down; with `keep` it keeps its sessions.  stall: packets from clients wait.
        lose_acks: acknowledgements from clients are ignored.  duplicate: messages are delivered twice,
        acknowledgements are ignored, and all connections are cut at the end.
        """
        self.trace.note("fault", worker="broker", fault=name, for_s=for_s)
        if name == "restart":
            self._restart(for_s, keep)
        elif name in ("stall", "lose_acks", "duplicate"):
            self._fault_ends_at[name] = time.monotonic() + for_s
            if name == "duplicate":
                IOLoop.current().call_later(for_s, self._abort_connections)
        else:
            raise ValueError(f"unknown fault {name!r}")

    def _has_fault(self, name: str) -> bool:
        return time.monotonic() < self._fault_ends_at.get(name, 0.0)

    def _abort_connections(self) -> None:
        """Aborts every connection, so that unacknowledged messages are delivered again."""
        for connection in list(self._connections):
            connection.abort("cut by a fault")

    def _restart(self, for_s: float, keep: bool) -> None:
        self._server.stop()
        for connection in list(self._connections):
            connection.abort("the broker restarts")
        if not keep:
            self._clients.clear()
        self.trace.note("broker-down", keep=keep)
        IOLoop.current().call_later(for_s, self._listen_again)

    def _listen_again(self) -> None:
        self._server = _Server(self)
        self._server.listen(self._port, "127.0.0.1", backlog=1_024)
        self.trace.note("broker-up")

    async def serve(self, stream: IOStream) -> None:
        """Serves one connection."""
        stream.set_nodelay(True)
        connection = Connection(stream, 0, 1 << 24, 1 << 26)
        self._connections.add(connection)
        opened_client: list[_Client] = []
        packets: asyncio.Queue[Packet] = asyncio.Queue()

        def on_packet(packet: Packet) -> None:
            if isinstance(packet, Connect):
                if opened := self._open(connection, packet):
                    opened_client.append(opened)
            elif opened_client and (self._has_fault("stall") or not packets.empty()):
                packets.put_nowait(packet)
            elif opened_client:
                self._handle_packet(opened_client[0], connection, packet)

        async def process_delayed() -> None:
            while True:
                packet = await packets.get()
                while self._has_fault("stall"):
                    await asyncio.sleep(0.05)
                if not connection.closed:
                    self._handle_packet(opened_client[0], connection, packet)

        delayed_task = asyncio.ensure_future(process_delayed())
        try:
            await connection.run(on_packet)
        finally:
            delayed_task.cancel()
            self._connections.discard(connection)
            if opened_client:
                self._on_connection_lost(opened_client[0], connection)

    def _open(self, connection: Connection, packet: Connect) -> _Client | None:
        if not packet.client_id and not packet.clean:
            connection.close(Reason.CLIENT_ID, "a session needs a client identifier")
            return None
        client_id = packet.client_id or f"auto-{time.monotonic_ns():x}"
        client = self._clients.get(client_id)
        if client and client.connection:
            client.connection.close(Reason.TAKEN_OVER, "the client connected again")
            self._on_connection_lost(client, client.connection)
            client = self._clients.get(client_id)
        session_present = client is not None and not packet.clean
        if not session_present or client is None:
            client = self._clients[client_id] = _Client(client_id, Session(RECEIVE_MAXIMUM, MAX_WAITING))
        is_v5 = packet.version == V5
        client.connection = connection
        client.session_expiry_s = (
            packet.properties.get("session_expiry", 0) if is_v5 else 0 if packet.clean else 3_600
        )
        client.keep_alive_s = packet.keep_alive
        client.session.outbox.window = handshake_window(packet.properties)
        client.will = None
        if packet.will:
            will = packet.will
            properties = {name: value for name, value in will.properties.items() if name != "will_delay"}
            client.will = Publish(will.topic, will.payload, will.qos, properties=properties)
        connection.peer_max_packet_bytes = packet.properties.get("maximum_packet", 0)
        connection.connected = True
        connack_properties: dict[str, object] = (
            {"receive_maximum": RECEIVE_MAXIMUM, "retain_available": 0} if is_v5 else {}
        )
        if is_v5 and not packet.client_id:
            connack_properties["assigned_client_id"] = client_id
        connection.send([Connack(session_present, 0, connack_properties)])
        self.trace.note("client", client=client_id, state="up", present=session_present)
        for resumed in client.session.outbox.resume():
            if isinstance(resumed, Publish):
                self._trace_delivery(client, resumed)
            connection.send([resumed])
        self._deliver(client)
        return client

    def _handle_packet(self, client: _Client, connection: Connection, packet: Packet) -> None:
        match packet:
            case Publish():
                if packet.retain:
                    raise ProtocolError(Reason.RETAIN, "nothing is retained here")
                is_new, replies = client.session.inbox.receive(packet)
                connection.send(list(replies))
                if is_new:
                    self.trace.note("from", client=client.id, **_trace_fields(packet))
                    subscriber_count = self.route(packet)
                    reason = (
                        Reason.OK if subscriber_count or connection.version != V5 else Reason.NO_SUBSCRIBERS
                    )
                    connection.send(list(client.session.inbox.acknowledge(packet.id, reason)))
            case Ack() if packet.type is Type.PUBREL:
                connection.send(list(client.session.inbox.on_pubrel(packet)))
            case Ack():
                if self._has_fault("lose_acks") or self._has_fault("duplicate"):
                    return
                connection.send(list(client.session.outbox.on_ack(packet)))
                self._deliver(client)
            case Ping() if packet.type is Type.PINGREQ:
                connection.send([Ping(Type.PINGRESP)])
            case Subscribe():
                reasons = [
                    self._subscribe(client, connection, name, options) for name, options in packet.filters
                ]
                connection.send([Suback(Type.SUBACK, packet.id, reasons)])
            case Unsubscribe():
                removed = [client.session.filters.pop(name, None) for name in packet.filters]
                reasons = [0 if options is not None else Reason.NO_SUBSCRIPTION for options in removed]
                connection.send([Suback(Type.UNSUBACK, packet.id, list(reasons))])
            case Disconnect():
                if packet.reason != Reason.DISCONNECT_WITH_WILL:
                    client.will = None
                if "session_expiry" in packet.properties:
                    client.session_expiry_s = packet.properties["session_expiry"]
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

    def _on_connection_lost(self, client: _Client, connection: Connection) -> None:
        if client.connection is not connection:
            return
        client.connection = None
        client.session.inbox.disconnected()
        client.session_expires_at = time.monotonic() + client.session_expiry_s
        self.trace.note("client", client=client.id, state="down", why=connection.close_reason)
        will, client.will = client.will, None
        if will:
            self.route(will)
        if not client.session_expiry_s and self._clients.get(client.id) is client:
            del self._clients[client.id]

    def route(self, message: Publish) -> int:
        """Queues a message for its subscribers and returns their number; a shared group counts as one."""
        shared: dict[str, list[tuple[_Client, int]]] = {}
        subscriber_count = 0
        for client in list(self._clients.values()):
            max_qos = -1
            for name, options in client.session.filters.items():
                if name.startswith("$share/"):
                    _, group, topic_filter = name.split("/", 2)
                    if matches(topic_filter, message.topic):
                        shared.setdefault(f"{group}/{topic_filter}", []).append((client, options & 3))
                elif matches(name, message.topic):
                    max_qos = max(max_qos, options & 3)
            if max_qos >= 0:
                subscriber_count += 1
                self._enqueue(client, message, max_qos)
        for group, members in shared.items():
            candidates = [member for member in members if member[0].connection] or members
            member_index = self._next_member[group] = self._next_member.get(group, -1) + 1
            subscriber_count += 1
            self._enqueue(
                *candidates[member_index % len(candidates)][:1],
                message,
                candidates[member_index % len(candidates)][1],
            )
        return subscriber_count

    def _enqueue(self, client: _Client, message: Publish, qos: int) -> None:
        if len(client.waiting) >= MAX_WAITING or (not client.connection and not min(qos, message.qos)):
            return
        expiry_s = message.properties.get("message_expiry")
        expires_at = time.monotonic() + expiry_s if expiry_s is not None else 0.0
        copy = Publish(
            message.topic, message.payload, min(qos, message.qos), properties=dict(message.properties)
        )
        client.waiting.append((copy, expires_at))
        self._deliver(client)

    def _deliver(self, client: _Client) -> None:
        """Delivers queued messages within the client's window; drops expired ones (MQTT 5.0, 3.3.2.3.3)."""
        while (
            client.waiting and client.connection and len(client.session.outbox) < client.session.outbox.window
        ):
            message, expires_at = client.waiting.popleft()
            if expires_at:
                remaining_s = expires_at - time.monotonic()
                if remaining_s <= 0:
                    self.trace.note("expired", client=client.id, **_trace_fields(message))
                    continue
                message.properties["message_expiry"] = max(1, int(remaining_s))
            _, packets = client.session.outbox.enqueue(message)
            for packet in packets:
                self._trace_delivery(client, packet)
            client.connection.send(list(packets))
            if self._has_fault("duplicate") and message.qos:
                duplicates = [replace(packet, dup=True) for packet in packets]
                for packet in duplicates:
                    self._trace_delivery(client, packet)
                client.connection.send(list(duplicates))

    def _trace_delivery(self, client: _Client, message: Publish) -> None:
        self.trace.note("to", client=client.id, dup=message.dup, **_trace_fields(message))

    def _sweep(self) -> None:
        IOLoop.current().call_later(0.5, self._sweep)
        now = time.monotonic()
        for client in list(self._clients.values()):
            connection = client.connection
            if (
                connection
                and client.keep_alive_s
                and now - connection.received_at > 1.5 * client.keep_alive_s
            ):
                connection.close(Reason.KEEP_ALIVE, "silent")
            elif (
                not connection and now > client.session_expires_at and self._clients.get(client.id) is client
            ):
                del self._clients[client.id]


def _trace_fields(message: Publish) -> dict[str, object]:
    """The trace fields that describe a message."""
    correlation = message.properties.get("correlation_data", b"")
    return {"topic": message.topic, "qos": message.qos, "corr": correlation.decode("latin-1")}
