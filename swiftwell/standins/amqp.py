"""A stand-in for an AMQP 0-9-1 broker, written from the public specification, with faults to inject.

It has exchanges, queues, acknowledgements, dead letters, expiry, publisher confirms and memory alarms, but no
transactions, no headers exchange and only one virtual host.  It shares the codec with the gateway, so pika is
its independent peer in the tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import AmqpError, Code, Method, Properties
from swiftwell.fronts.amqp.wire import Incoming, Wire
from swiftwell.proof.trace import Trace
from swiftwell.standins.ports import ReservedPort

FRAME_MAX = 131_072
HEARTBEAT_S = 60
MAX_BODY_BYTES = 1 << 24
ACKED_RETENTION_S = 10.0  # acknowledged messages are kept for a restart that loses acknowledgements
CAPABILITIES = {
    "publisher_confirms": True,
    "exchange_exchange_bindings": True,
    "basic.nack": True,
    "consumer_cancel_notify": True,
    "connection.blocked": True,
    "per_consumer_qos": True,
}


@dataclass(slots=True, eq=False)
class _Message:
    """A message in one queue.

    `position` orders messages of the same priority, also after a message was requeued.
    """

    position: int
    exchange: str
    key: str
    properties: Properties
    body: bytes
    priority: int = 0
    expires_at: float = 0.0  # monotonic, in s; 0 if it never expires
    redelivered: bool = False

    def __lt__(self, other: _Message) -> bool:
        return (-self.priority, self.position) < (-other.priority, other.position)


@dataclass(eq=False)
class _Queue:
    name: str
    durable: bool
    arguments: dict[str, Any]
    owner: _Connection | None = None  # the connection that owns an exclusive queue
    auto_delete: bool = False
    ready: list[_Message] = field(default_factory=list)  # a heap
    consumers: deque[_Consumer] = field(default_factory=deque)
    had_consumers: bool = False

    def enqueue(self, message: _Message) -> None:
        heapq.heappush(self.ready, message)


@dataclass(eq=False)
class _Consumer:
    channel: _Channel
    tag: str
    queue: _Queue
    no_ack: bool
    prefetch: int  # limit for this consumer; 0 for none
    unacked: int = 0

    def has_capacity(self) -> bool:
        if self.no_ack:
            return True
        channel_prefetch = self.channel.prefetch
        if channel_prefetch and len(self.channel.unacked) >= channel_prefetch:
            return False
        return not self.prefetch or self.unacked < self.prefetch


@dataclass(eq=False)
class _Channel:
    number: int
    connection: _Connection
    prefetch: int = 0  # limit for the whole channel; 0 for none
    consumer_prefetch: int = 0  # limit for each consumer that starts from now on; 0 for none
    unacked: OrderedDict[int, tuple[_Queue, _Message, _Consumer | None]] = field(default_factory=OrderedDict)
    consumers: dict[str, _Consumer] = field(default_factory=dict)
    last_tag: int = 0
    publish_count: int = -1  # number of publications; -1 if the channel is not in confirm mode
    closing: bool = False


class _Connection:
    """The connection of one client."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.wire = Wire(FRAME_MAX, MAX_BODY_BYTES)
        self.frame_max, self.heartbeat_s = FRAME_MAX, HEARTBEAT_S
        self.channels: dict[int, _Channel] = {}
        self.state = "greeting"
        self.name = "?"
        self.supports_blocked = self.published = False
        self.received_at = self.sent_at = time.monotonic()

    def write(self, data: bytes) -> None:
        self.sent_at = time.monotonic()
        if not self.stream.closed():
            with contextlib.suppress(StreamClosedError):
                self.stream.write(data)

    def send(self, channel: int, method: Method) -> None:
        self.write(codec.encode(channel, method))


class _Server(TCPServer):
    def __init__(self, broker: AmqpBroker) -> None:
        super().__init__()
        self._broker = broker

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await self._broker.serve(stream)


class AmqpBroker:
    """The broker.  `users` holds passwords by user name; None accepts every login."""

    def __init__(
        self, trace: Trace, users: dict[str, str] | None = None, heartbeat_s: int = HEARTBEAT_S
    ) -> None:
        self.trace, self._users, self._heartbeat_s = trace, users, heartbeat_s
        self._server = _Server(self)
        self._port = 0
        self._reserved: ReservedPort | None = None
        self.exchanges: dict[str, tuple[str, bool]] = {}  # (type, durable)
        # By source exchange: ("queue" or "exchange", name, routing key).
        self.bindings: dict[str, list[tuple[str, str, str]]] = {}
        self.queues: dict[str, _Queue] = {}
        self.connections: set[_Connection] = set()
        self._last_number = 0
        self._fault_ends_at: dict[str, float] = {}
        self._acked: deque[tuple[float, _Queue, _Message]] = deque()
        for name, kind in (("amq.direct", "direct"), ("amq.topic", "topic"), ("amq.fanout", "fanout")):
            self.exchanges[name] = (kind, True)
        # Body bytes per frame, to test that peers reassemble bodies; 0 for as many as a frame holds.
        self.max_body_frame_bytes = 0

    def start(self, port: int = 0) -> int:
        """Starts listening and returns the port."""
        if not port:
            self._reserved = ReservedPort()  # it listens there again after some faults
            port = self._reserved.number
        self._server.listen(port, "127.0.0.1", backlog=1_024)
        self._port = next(iter(self._server._sockets.values())).getsockname()[1]
        IOLoop.current().call_later(0.2, self._sweep)
        return self._port

    def fault(
        self, name: str, for_s: float = 1.0, keep: bool = True, lose_s: float = 0.0, queue: str = ""
    ) -> None:
        """Injects a fault, for `for_s` seconds where it lasts.

        restart: the broker is down; with `keep` it keeps what is durable, and it loses the acknowledgements
        of the last `lose_s` seconds.  stall: nothing is read and no heartbeats are sent.  alarm: publications
        are blocked.  nack: publications are rejected.  channel_error: each channel on which a gateway has
        consumers is closed.  cut: connections are closed.  delete: the queue `queue` is deleted.
        """
        self.trace.note("fault", worker="broker", fault=name, for_s=for_s)
        match name:
            case "restart":
                self._restart(for_s, keep, lose_s)
            case "stall" | "nack":
                self._fault_ends_at[name] = time.monotonic() + for_s
            case "alarm":
                self._fault_ends_at[name] = time.monotonic() + for_s
                self._send_blocked(True)
                IOLoop.current().call_later(for_s, self._send_blocked, False)
            case "channel_error":
                for connection in list(self.connections):
                    for channel in list(connection.channels.values()):
                        if channel.consumers and connection.name.startswith("gw"):
                            self._close_channel(channel, AmqpError(Code.PRECONDITION_FAILED, "by a fault"))
            case "cut":
                for connection in list(self.connections):
                    connection.stream.close()
            case "delete":
                self._delete(self.queues[queue])
            case _:
                raise ValueError(f"unknown fault {name!r}")

    def _has_fault(self, name: str) -> bool:
        return time.monotonic() < self._fault_ends_at.get(name, 0.0)

    def _send_blocked(self, blocked: bool) -> None:
        for connection in self.connections:
            if connection.supports_blocked and connection.published:
                connection.send(0, codec.Blocked("memory alarm") if blocked else codec.Unblocked())

    def _restart(self, for_s: float, keep: bool, lose_s: float) -> None:
        self._server.stop()
        since = time.monotonic() - lose_s
        for connection in list(self.connections):
            connection.stream.close()
            self._on_connection_lost(connection, "the broker restarts")
        for name, queue in list(self.queues.items()):
            if not queue.durable or not keep:
                del self.queues[name]
            queue.ready = [message for message in queue.ready if message.properties.delivery_mode == 2]
            heapq.heapify(queue.ready)
        self.exchanges = {
            name: exchange
            for name, exchange in self.exchanges.items()
            if (exchange[1] and keep) or name.startswith("amq.")
        }
        for at, queue, message in self._acked:
            if at >= since and lose_s and message.properties.delivery_mode == 2:
                message.redelivered = True
                queue.enqueue(message)
        self._acked.clear()
        self.trace.note("broker-down", keep=keep)
        IOLoop.current().call_later(for_s, self._listen_again)

    def _listen_again(self) -> None:
        self._server = _Server(self)
        self._server.listen(self._port, "127.0.0.1", backlog=1_024)
        self.trace.note("broker-up")

    # Connections.

    async def serve(self, stream: IOStream) -> None:
        """Serves one connection."""
        stream.set_nodelay(True)
        connection = _Connection(stream)
        self.connections.add(connection)
        reason = "closed by the client"
        try:
            greeting = await stream.read_bytes(8)
            if greeting != codec.PROTOCOL_HEADER:
                await stream.write(codec.PROTOCOL_HEADER)  # 4.2.2: send the supported version and close
                return
            properties = {"product": "stand-in", "capabilities": CAPABILITIES}
            connection.send(0, codec.Start(0, 9, properties, b"PLAIN AMQPLAIN", b"en_US"))
            connection.state = "start"
            while connection.state != "over":
                data = await stream.read_bytes(262_144, partial=True)
                while self._has_fault("stall"):
                    await asyncio.sleep(0.02)
                connection.received_at = time.monotonic()
                for incoming in connection.wire.feed(data):
                    if incoming is not None and connection.state != "over":
                        self._dispatch(connection, incoming)
        except StreamClosedError:
            pass
        except AmqpError as error:
            reason = f"{error.code.name}: {error}"
            self.trace.note("violation", client=connection.name, code=int(error.code), why=str(error))
            connection.send(0, codec.Close(int(error.code), str(error)[:200], *error.method))
            await asyncio.sleep(0.05)
        finally:
            stream.close()
            self._on_connection_lost(connection, reason)

    def _on_connection_lost(self, connection: _Connection, reason: str) -> None:
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self.trace.note("client", client=connection.name, state="down", why=reason)
        connection.state = "over"
        for channel in list(connection.channels.values()):
            self._release_channel(channel)
        for queue in [queue for queue in self.queues.values() if queue.owner is connection]:
            self._delete(queue)

    def _dispatch(self, connection: _Connection, incoming: Incoming) -> None:
        if incoming.channel == 0:
            self._on_connection(connection, incoming.method)
            return
        if connection.state != "ready":
            raise AmqpError(Code.COMMAND_INVALID, "the connection is not open", incoming.method.id)
        channel = connection.channels.get(incoming.channel)
        if isinstance(incoming.method, codec.ChannelOpen):
            if channel:
                raise AmqpError(Code.CHANNEL_ERROR, f"channel {incoming.channel} is open", incoming.method.id)
            connection.channels[incoming.channel] = _Channel(incoming.channel, connection)
            connection.send(incoming.channel, codec.ChannelOpenOk())
            return
        if channel is None:
            raise AmqpError(Code.CHANNEL_ERROR, f"channel {incoming.channel} is not open", incoming.method.id)
        if channel.closing:
            if isinstance(incoming.method, codec.ChannelCloseOk):
                del connection.channels[incoming.channel]
            return
        try:
            self._on_channel(channel, incoming)
        except AmqpError as error:
            if not error.ends_channel_only:
                raise
            error.method = incoming.method.id
            self._close_channel(channel, error)

    def _close_channel(self, channel: _Channel, error: AmqpError) -> None:
        self.trace.note("channel-error", client=channel.connection.name, code=int(error.code), why=str(error))
        self._release_channel(channel)
        channel.closing = True
        channel.connection.channels[channel.number] = channel
        channel.connection.wire.discard_content(channel.number)
        close = codec.ChannelClose(int(error.code), str(error)[:200], *error.method)
        channel.connection.send(channel.number, close)

    def _release_channel(self, channel: _Channel) -> None:
        """Cancels the consumers of a channel and requeues its unacknowledged messages in their positions."""
        for consumer in list(channel.consumers.values()):
            self._cancel(consumer)
        unacked = list(channel.unacked.values())
        channel.unacked.clear()
        for queue, message, _ in unacked:
            message.redelivered = True
            queue.enqueue(message)
        for queue in {id(queue): queue for queue, _, _ in unacked}.values():
            self._deliver(queue)
        channel.connection.channels.pop(channel.number, None)

    def _on_connection(self, connection: _Connection, method: Method) -> None:
        match method, connection.state:
            case codec.StartOk(), "start":
                self._login(connection, method)
            case codec.TuneOk(), "tune":
                connection.frame_max = min(method.frame_max or FRAME_MAX, FRAME_MAX)
                connection.wire.decoder.max_frame_bytes = connection.frame_max
                connection.heartbeat_s = method.heartbeat
                connection.state = "open"
            case codec.Open(), "open":
                if method.virtual_host != "/":
                    raise AmqpError(Code.NOT_ALLOWED, f"no virtual host {method.virtual_host!r}", method.id)
                connection.send(0, codec.OpenOk())
                connection.state = "ready"
                self.trace.note("client", client=connection.name, state="up")
            case codec.Close(), _:
                connection.send(0, codec.CloseOk())
                connection.state = "over"
            case codec.CloseOk(), _:
                connection.state = "over"
            case _:
                text = f"{type(method).__name__} while in {connection.state}"
                raise AmqpError(Code.COMMAND_INVALID, text, method.id)

    def _login(self, connection: _Connection, method: codec.StartOk) -> None:
        _, name, password = [*method.response.decode(errors="replace").split("\0"), "", "", ""][:3]
        if self._users is not None and self._users.get(name) != password:
            raise AmqpError(Code.ACCESS_REFUSED, "the login was refused", method.id)
        client_properties = method.client_properties
        connection.name = str(client_properties.get("connection_name") or name)
        capabilities = client_properties.get("capabilities")
        connection.supports_blocked = isinstance(capabilities, dict) and bool(
            capabilities.get("connection.blocked")
        )
        connection.send(0, codec.Tune(2_047, FRAME_MAX, self._heartbeat_s))
        connection.state = "tune"

    # Channels.

    def _on_channel(self, channel: _Channel, incoming: Incoming) -> None:
        method, send = incoming.method, channel.connection.send
        match method:
            case codec.Publish():
                self._publish(channel, method, incoming)
            case codec.Ack():
                for queue, message, consumer in self._take_settled(
                    channel, method.delivery_tag, method.multiple
                ):
                    self._acked.append((time.monotonic(), queue, message))
                    self._on_settled(consumer, queue)
            case codec.Nack():
                self._reject(channel, method.delivery_tag, method.multiple, method.requeue)
            case codec.Reject():
                self._reject(channel, method.delivery_tag, False, method.requeue)
            case codec.Qos():
                if method.global_:
                    channel.prefetch = method.prefetch_count
                else:
                    channel.consumer_prefetch = method.prefetch_count
                send(channel.number, codec.QosOk())
                for consumer in channel.consumers.values():
                    self._deliver(consumer.queue)
            case codec.Consume():
                self._consume(channel, method)
            case codec.Cancel():
                if consumer := channel.consumers.get(method.consumer_tag):
                    self._cancel(consumer)
                if not method.nowait:
                    send(channel.number, codec.CancelOk(method.consumer_tag))
            case codec.Get():
                self._get(channel, method)
            case codec.Recover() | codec.RecoverAsync():
                unacked_tags = list(channel.unacked)
                for tag in unacked_tags:
                    self._reject(channel, tag, False, True)
                if isinstance(method, codec.Recover):
                    send(channel.number, codec.RecoverOk())
            case codec.ConfirmSelect():
                channel.publish_count = max(0, channel.publish_count)
                if not method.nowait:
                    send(channel.number, codec.ConfirmSelectOk())
            case codec.FlowOk():
                pass
            case codec.Flow():
                send(channel.number, codec.FlowOk(method.active))
            case codec.ChannelClose():
                self._release_channel(channel)
                send(channel.number, codec.ChannelCloseOk())
            case _:
                self._declare(channel, method)

    def _declare(self, channel: _Channel, method: Method) -> None:
        """Handles the methods that declare, bind and delete exchanges and queues."""
        response: Method | None = None
        match method:
            case codec.ExchangeDeclare():
                self._declare_exchange(method)
                response = codec.ExchangeDeclareOk()
            case codec.ExchangeDelete():
                self.exchanges.pop(method.exchange, None)
                self.bindings.pop(method.exchange, None)
                response = codec.ExchangeDeleteOk()
            case codec.ExchangeBind():
                self._check_exchange(method.destination)
                self._bind(method.source, ("exchange", method.destination, method.routing_key))
                response = codec.ExchangeBindOk()
            case codec.ExchangeUnbind():
                self._unbind(method.source, ("exchange", method.destination, method.routing_key))
                response = codec.ExchangeUnbindOk()
            case codec.QueueDeclare():
                queue = self._declare_queue(channel, method)
                response = codec.QueueDeclareOk(queue.name, len(queue.ready), len(queue.consumers))
            case codec.QueueBind():
                queue = self._find_queue(channel, method.queue)
                self._bind(method.exchange, ("queue", queue.name, method.routing_key))
                response = codec.QueueBindOk()
            case codec.QueueUnbind():
                self._unbind(method.exchange, ("queue", method.queue, method.routing_key))
                response = codec.QueueUnbindOk()
            case codec.QueuePurge():
                queue = self._find_queue(channel, method.queue)
                response = codec.QueuePurgeOk(len(queue.ready))
                queue.ready.clear()
            case codec.QueueDelete():
                response = self._delete_queue(channel, method)
            case _:
                raise AmqpError(Code.NOT_IMPLEMENTED, f"{type(method).__name__} is not known", method.id)
        if not getattr(method, "nowait", False):
            channel.connection.send(channel.number, response)

    def _declare_exchange(self, method: codec.ExchangeDeclare) -> None:
        known = self.exchanges.get(method.exchange)
        if method.passive or method.exchange == "":
            self._check_exchange(method.exchange)
        elif known and known != (method.type, method.durable):
            raise AmqpError(Code.PRECONDITION_FAILED, f"exchange {method.exchange} is of another kind")
        elif method.type not in ("direct", "topic", "fanout"):
            raise AmqpError(Code.COMMAND_INVALID, f"exchange type {method.type}", method.id)
        else:
            self.exchanges[method.exchange] = (method.type, method.durable)

    def _check_exchange(self, name: str) -> None:
        if name and name not in self.exchanges:
            raise AmqpError(Code.NOT_FOUND, f"no exchange {name!r}")

    def _bind(self, source: str, binding: tuple[str, str, str]) -> None:
        self._check_exchange(source)
        if not source:
            raise AmqpError(Code.ACCESS_REFUSED, "the default exchange takes no bindings")
        known = self.bindings.setdefault(source, [])
        if binding not in known:
            known.append(binding)

    def _unbind(self, source: str, binding: tuple[str, str, str]) -> None:
        if binding in self.bindings.get(source, ()):
            self.bindings[source].remove(binding)

    def _declare_queue(self, channel: _Channel, method: codec.QueueDeclare) -> _Queue:
        name = method.queue
        if not name:
            self._last_number += 1
            name = f"amq.gen-{self._last_number}"
        queue = self.queues.get(name)
        if queue is None:
            if method.passive:
                raise AmqpError(Code.NOT_FOUND, f"no queue {name!r}")
            owner = channel.connection if method.exclusive else None
            queue = _Queue(name, method.durable, method.arguments or {}, owner, method.auto_delete)
            self.queues[name] = queue
            return queue
        self._check_owner(channel, queue)
        if not method.passive and (queue.durable, queue.arguments) != (
            method.durable,
            method.arguments or {},
        ):
            raise AmqpError(Code.PRECONDITION_FAILED, f"queue {name!r} is declared otherwise")
        return queue

    def _check_owner(self, channel: _Channel, queue: _Queue) -> None:
        if queue.owner and queue.owner is not channel.connection:
            raise AmqpError(Code.RESOURCE_LOCKED, f"queue {queue.name!r} is another connection's")

    def _find_queue(self, channel: _Channel, name: str) -> _Queue:
        queue = self.queues.get(name)
        if queue is None:
            raise AmqpError(Code.NOT_FOUND, f"no queue {name!r}")
        self._check_owner(channel, queue)
        return queue

    def _delete_queue(self, channel: _Channel, method: codec.QueueDelete) -> Method:
        queue = self.queues.get(method.queue)
        if queue is None:
            return codec.QueueDeleteOk(0)
        self._check_owner(channel, queue)
        if (method.if_unused and queue.consumers) or (method.if_empty and queue.ready):
            raise AmqpError(Code.PRECONDITION_FAILED, f"queue {queue.name!r} is in use or not empty")
        self._delete(queue)
        return codec.QueueDeleteOk(len(queue.ready))

    def _delete(self, queue: _Queue) -> None:
        self.queues.pop(queue.name, None)
        for bindings in self.bindings.values():
            bindings[:] = [binding for binding in bindings if binding[:2] != ("queue", queue.name)]
        for consumer in list(queue.consumers):
            self._cancel(consumer)
            connection = consumer.channel.connection
            if connection.state == "ready":  # consumer_cancel_notify, an extension that clients request
                connection.send(consumer.channel.number, codec.Cancel(consumer.tag, True))

    def _consume(self, channel: _Channel, method: codec.Consume) -> None:
        queue = self._find_queue(channel, method.queue)
        self._last_number += 1
        tag = method.consumer_tag or f"amq.ctag-{self._last_number}"
        if tag in channel.consumers:
            raise AmqpError(Code.NOT_ALLOWED, f"consumer {tag!r} is there already", method.id)
        if method.exclusive and queue.consumers:
            raise AmqpError(Code.ACCESS_REFUSED, f"queue {queue.name!r} has consumers")
        consumer = _Consumer(channel, tag, queue, method.no_ack, channel.consumer_prefetch)
        channel.consumers[tag] = consumer
        queue.consumers.append(consumer)
        queue.had_consumers = True
        if not method.nowait:
            channel.connection.send(channel.number, codec.ConsumeOk(tag))
        self._deliver(queue)

    def _cancel(self, consumer: _Consumer) -> None:
        consumer.channel.consumers.pop(consumer.tag, None)
        queue = consumer.queue
        if consumer in queue.consumers:
            queue.consumers.remove(consumer)
        if queue.auto_delete and queue.had_consumers and not queue.consumers:
            self._delete(queue)

    def _get(self, channel: _Channel, method: codec.Get) -> None:
        queue = self._find_queue(channel, method.queue)
        message = self._take_next(queue)
        if message is None:
            channel.connection.send(channel.number, codec.GetEmpty())
            return
        tag = self._register_delivery(channel, queue, message, None, method.no_ack)
        method_ok = codec.GetOk(tag, message.redelivered, message.exchange, message.key, len(queue.ready))
        self._send_content(channel, method_ok, message)

    # Messages.

    def _publish(self, channel: _Channel, method: codec.Publish, incoming: Incoming) -> None:
        connection = channel.connection
        if method.immediate:
            raise AmqpError(Code.NOT_IMPLEMENTED, "immediate is not known", method.id)
        self._check_exchange(method.exchange)
        properties = incoming.properties
        assert properties
        if incoming.too_large:
            raise AmqpError(Code.PRECONDITION_FAILED, f"a body of more than {MAX_BODY_BYTES} bytes")
        if properties.expiration is not None and not properties.expiration.isdigit():
            raise AmqpError(Code.PRECONDITION_FAILED, f"expiration {properties.expiration!r}")
        if channel.publish_count >= 0:
            channel.publish_count += 1
        if not connection.published:
            connection.published = True
            if self._has_fault("alarm") and connection.supports_blocked:
                connection.send(0, codec.Blocked("memory alarm"))
        elif self._has_fault("alarm") and connection.supports_blocked:
            self.trace.note("published-blocked", client=connection.name, corr=properties.correlation_id or "")
        if channel.publish_count >= 0 and self._has_fault("nack"):
            connection.send(channel.number, codec.Nack(channel.publish_count, False, False))
            return
        self.trace.note(
            "from", client=connection.name, **_trace_fields(method.exchange, method.routing_key, properties)
        )
        queue_names = self.route(method.exchange, method.routing_key, properties, incoming.body)
        if not queue_names and method.mandatory:
            returned = codec.Return(Code.NO_ROUTE, "NO_ROUTE", method.exchange, method.routing_key)
            raw = codec.encode_content(
                channel.number, returned, properties, incoming.body, connection.frame_max
            )
            connection.write(raw)
        if channel.publish_count >= 0:
            connection.send(channel.number, codec.Ack(channel.publish_count))

    def route(self, exchange: str, key: str, properties: Properties, body: bytes) -> int:
        """Enqueues a message in every queue that it is routed to and returns their number."""
        queue_names: set[str] = set()
        visited: set[str] = set()
        sources = [exchange]
        if not exchange:
            queue_names = {key} & self.queues.keys()
            sources = []
        while sources:
            source = sources.pop()
            if source in visited:
                continue
            visited.add(source)
            kind = self.exchanges.get(source, ("", False))[0]
            for target, name, pattern in self.bindings.get(source, ()):
                if kind == "fanout" or (matches(pattern, key) if kind == "topic" else pattern == key):
                    if target == "queue":
                        queue_names.add(name)
                    else:
                        sources.append(name)
        for name in sorted(queue_names):
            if queue := self.queues.get(name):
                self._enqueue(queue, exchange, key, properties, body)
        return len(queue_names)

    def _enqueue(self, queue: _Queue, exchange: str, key: str, properties: Properties, body: bytes) -> None:
        self._last_number += 1
        max_priority = int(queue.arguments.get("x-max-priority", 0))
        ttls_ms = [float(properties.expiration)] if properties.expiration is not None else []
        if "x-message-ttl" in queue.arguments:
            ttls_ms.append(float(queue.arguments["x-message-ttl"]))
        expires_at = time.monotonic() + min(ttls_ms) / 1e3 if ttls_ms else 0.0
        priority = min(max_priority, properties.priority or 0)
        queue.enqueue(_Message(self._last_number, exchange, key, properties, body, priority, expires_at))
        self._deliver(queue)

    def _take_next(self, queue: _Queue) -> _Message | None:
        """Takes the next message from a queue; expired ones become dead letters."""
        while queue.ready:
            message = heapq.heappop(queue.ready)
            if message.expires_at and time.monotonic() >= message.expires_at:
                self.trace.note("expired", **_trace_fields(message.exchange, message.key, message.properties))
                self._dead_letter(queue, message, "expired")
                continue
            return message
        return None

    def _dead_letter(self, queue: _Queue, message: _Message, reason: str) -> None:
        exchange = queue.arguments.get("x-dead-letter-exchange")
        if exchange is None:
            return
        headers = dict(message.properties.headers or {})
        death = {
            "reason": reason,
            "queue": queue.name,
            "exchange": message.exchange,
            "routing-keys": [message.key],
            "count": 1,
            "time": codec.Timestamp(int(time.time())),
        }
        if message.properties.expiration is not None:
            death["original-expiration"] = message.properties.expiration
        earlier_deaths = headers.get("x-death")
        headers["x-death"] = [death, *(earlier_deaths if isinstance(earlier_deaths, list) else [])]
        headers.setdefault("x-first-death-reason", reason)
        headers.setdefault("x-first-death-queue", queue.name)
        properties = replace(message.properties, headers=headers, expiration=None)
        key = queue.arguments.get("x-dead-letter-routing-key", message.key)
        self.trace.note("dead", reason=reason, **_trace_fields(exchange, key, properties))
        self.route(exchange, key, properties, message.body)

    def _deliver(self, queue: _Queue) -> None:
        """Delivers ready messages to the consumers below their prefetch limits, in rotation."""
        while queue.ready and queue.consumers:
            for _ in range(len(queue.consumers)):
                consumer = queue.consumers[0]
                queue.consumers.rotate(-1)
                if consumer.has_capacity():
                    break
            else:
                return
            message = self._take_next(queue)
            if message is None:
                return
            channel = consumer.channel
            tag = self._register_delivery(channel, queue, message, consumer, consumer.no_ack)
            delivery = codec.Deliver(consumer.tag, tag, message.redelivered, message.exchange, message.key)
            self.trace.note(
                "to", client=channel.connection.name, dup=message.redelivered, queue=queue.name,
                **_trace_fields(message.exchange, message.key, message.properties),
            )  # fmt: skip
            self._send_content(channel, delivery, message)

    def _register_delivery(
        self, channel: _Channel, queue: _Queue, message: _Message, consumer: _Consumer | None, no_ack: bool
    ) -> int:
        channel.last_tag += 1
        if not no_ack:
            channel.unacked[channel.last_tag] = (queue, message, consumer)
            if consumer:
                consumer.unacked += 1
        return channel.last_tag

    def _send_content(self, channel: _Channel, method: Method, message: _Message) -> None:
        connection = channel.connection
        raw = codec.encode_content(
            channel.number,
            method,
            message.properties,
            message.body,
            connection.frame_max,
            self.max_body_frame_bytes,
        )
        connection.write(raw)

    def _take_settled(
        self, channel: _Channel, tag: int, multiple: bool
    ) -> list[tuple[_Queue, _Message, _Consumer | None]]:
        """Removes and returns the deliveries that a tag covers; an unknown tag is an error (1.8.3.13)."""
        if multiple:
            tags = [unacked_tag for unacked_tag in channel.unacked if unacked_tag <= tag or not tag]
        else:
            tags = [tag] if tag in channel.unacked else []
        if not tags and (not multiple or tag > channel.last_tag):
            raise AmqpError(Code.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        deliveries = [channel.unacked.pop(tag) for tag in tags]
        for _, _, consumer in deliveries:
            if consumer:
                consumer.unacked -= 1
        return deliveries

    def _on_settled(self, consumer: _Consumer | None, queue: _Queue) -> None:
        """Resumes delivery after a delivery was settled; its channel may be below its limit again."""
        self._deliver(queue)
        if consumer:
            for other in list(consumer.channel.consumers.values()):
                if other.queue is not queue:
                    self._deliver(other.queue)

    def _reject(self, channel: _Channel, tag: int, multiple: bool, requeue: bool) -> None:
        for queue, message, consumer in self._take_settled(channel, tag, multiple):
            if requeue:
                message.redelivered = True
                queue.enqueue(message)
            else:
                self._dead_letter(queue, message, "rejected")
            self._on_settled(consumer, queue)

    def _sweep(self) -> None:
        IOLoop.current().call_later(0.2, self._sweep)
        now = time.monotonic()
        while self._acked and now - self._acked[0][0] > ACKED_RETENTION_S:
            self._acked.popleft()
        if self._has_fault("stall"):
            return
        for connection in list(self.connections):
            heartbeat_s = connection.heartbeat_s
            if not heartbeat_s or connection.state != "ready":
                continue
            if now - connection.received_at > 2 * heartbeat_s:
                connection.stream.close()
                self._on_connection_lost(connection, "no heartbeat")
            elif now - connection.sent_at > heartbeat_s / 2:
                connection.write(codec.HEARTBEAT_FRAME)
        for queue in list(self.queues.values()):
            expired = bool(queue.ready) and 0 < queue.ready[0].expires_at <= now
            if expired and (message := self._take_next(queue)) is not None:
                queue.enqueue(message)


def matches(pattern: str, key: str) -> bool:
    """Whether a topic pattern matches a routing key: * is one word, # any number of words.

    >>> matches("a.#.c", "a.c"), matches("a.*", "a.b.c")
    (True, False)
    """
    pattern_words, key_words = pattern.split("."), key.split(".")
    positions = {0}  # positions in the pattern reachable with the words read so far
    positions |= _skip_wildcards(pattern_words, positions)
    for word in key_words:
        next_positions = set()
        for position in positions:
            if position < len(pattern_words):
                if pattern_words[position] == "#":
                    next_positions.add(position)
                elif pattern_words[position] in ("*", word):
                    next_positions.add(position + 1)
        positions = next_positions | _skip_wildcards(pattern_words, next_positions)
    return len(pattern_words) in positions


def _skip_wildcards(pattern_words: list[str], positions: set[int]) -> set[int]:
    """The further positions reachable when # matches no word."""
    reached = set()
    for position in positions:
        while position < len(pattern_words) and pattern_words[position] == "#":
            position += 1
            reached.add(position)
    return reached


def _trace_fields(exchange: str, key: str, properties: Properties) -> dict[str, object]:
    """The trace fields that describe a message."""
    return {"topic": key, "exchange": exchange, "corr": properties.correlation_id or ""}
