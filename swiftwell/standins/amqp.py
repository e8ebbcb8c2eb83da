"""An AMQP 0-9-1 broker stand-in, from the public specification: exchanges, queues, acknowledgements, dead
letters, expiry, confirms, alarms; faults.

It shares the codec with the gateway, so pika is its independent peer in the tests.  No transactions, no
headers exchange; virtual hosts are one.
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

FRAME_MAX = 131_072
HEARTBEAT_S = 60
MOST_BODY = 1 << 24
ACKS_S = 10.0  # s for which acknowledged messages are kept, for a crash that loses acknowledgements
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
    """A message in one queue; `place` orders it among those of its priority, also after it came back."""

    place: int
    exchange: str
    key: str
    properties: Properties
    body: bytes
    priority: int = 0
    until: float = 0.0  # when it expires, monotonic s; 0 never
    redelivered: bool = False

    def __lt__(self, other: _Message) -> bool:
        return (-self.priority, self.place) < (-other.priority, other.place)


@dataclass(eq=False)
class _Queue:
    name: str
    durable: bool
    arguments: dict[str, Any]
    owner: _Connection | None = None  # of an exclusive queue
    auto_delete: bool = False
    ready: list[_Message] = field(default_factory=list)  # a heap
    consumers: deque[_Consumer] = field(default_factory=deque)
    had_consumers: bool = False

    def put(self, message: _Message) -> None:
        heapq.heappush(self.ready, message)


@dataclass(eq=False)
class _Consumer:
    channel: _Channel
    tag: str
    queue: _Queue
    no_ack: bool
    prefetch: int  # of this consumer; 0 is no limit
    unacked: int = 0

    def room(self) -> bool:
        if self.no_ack:
            return True
        whole = self.channel.prefetch
        if whole and len(self.channel.unacked) >= whole:
            return False
        return not self.prefetch or self.unacked < self.prefetch


@dataclass(eq=False)
class _Channel:
    number: int
    connection: _Connection
    prefetch: int = 0  # of the channel
    each: int = 0  # of consumers to come
    unacked: OrderedDict[int, tuple[_Queue, _Message, _Consumer | None]] = field(default_factory=OrderedDict)
    consumers: dict[str, _Consumer] = field(default_factory=dict)
    tags: int = 0
    confirms: int = -1  # publications so far; -1: not in confirm mode
    closing: bool = False


class _Connection:
    """One client."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.wire = Wire(FRAME_MAX, MOST_BODY)
        self.frame_max, self.heartbeat_s = FRAME_MAX, HEARTBEAT_S
        self.channels: dict[int, _Channel] = {}
        self.state = "greeting"
        self.name = "?"
        self.can_block = self.published = False
        self.heard = self.spoke = time.monotonic()

    def write(self, data: bytes) -> None:
        self.spoke = time.monotonic()
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
    """The broker.  `users`: names with their passwords; None takes everybody."""

    def __init__(
        self, trace: Trace, users: dict[str, str] | None = None, heartbeat_s: int = HEARTBEAT_S
    ) -> None:
        self.trace, self._users, self._heartbeat_s = trace, users, heartbeat_s
        self._server = _Server(self)
        self._port = 0
        self.exchanges: dict[str, tuple[str, bool]] = {}  # type, durable
        self.bindings: dict[str, list[tuple[str, str, str]]] = {}  # source: (queue or exchange, name, key)
        self.queues: dict[str, _Queue] = {}
        self.connections: set[_Connection] = set()
        self._places = 0
        self._faults: dict[str, float] = {}
        self._acked: deque[tuple[float, _Queue, _Message]] = deque()
        for name, kind in (("amq.direct", "direct"), ("amq.topic", "topic"), ("amq.fanout", "fanout")):
            self.exchanges[name] = (kind, True)
        self.pieces = 0  # bytes of a body in one frame, for peers that must put bodies together; 0 is most

    def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        self._server.listen(port, "127.0.0.1", backlog=1_024)
        self._port = next(iter(self._server._sockets.values())).getsockname()[1]
        IOLoop.current().call_later(0.2, self._sweep)
        return self._port

    def fault(
        self, name: str, for_s: float = 1.0, keep: bool = True, lose_s: float = 0.0, queue: str = ""
    ) -> None:
        """restart (away for `for_s`; `keep` what is durable; acknowledgements of the last `lose_s` are lost),
        stall (nothing is read or written), alarm (publications are blocked), nack (publications are turned
        down), channel_error (each consuming channel is closed), cut (connections are lost), delete (`queue`).
        """
        self.trace.note("fault", worker="broker", fault=name, for_s=for_s)
        match name:
            case "restart":
                self._restart(for_s, keep, lose_s)
            case "stall" | "nack":
                self._faults[name] = time.monotonic() + for_s
            case "alarm":
                self._faults[name] = time.monotonic() + for_s
                self._tell_blocked(True)
                IOLoop.current().call_later(for_s, self._tell_blocked, False)
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
                raise ValueError(f"no fault {name!r}")

    def _has(self, name: str) -> bool:
        return time.monotonic() < self._faults.get(name, 0.0)

    def _tell_blocked(self, on: bool) -> None:
        for connection in self.connections:
            if connection.can_block and connection.published:
                connection.send(0, codec.Blocked("memory alarm") if on else codec.Unblocked())

    def _restart(self, for_s: float, keep: bool, lose_s: float) -> None:
        self._server.stop()
        since = time.monotonic() - lose_s
        for connection in list(self.connections):
            connection.stream.close()
            self._gone(connection, "the broker restarts")
        for name, queue in list(self.queues.items()):
            if not queue.durable or not keep:
                del self.queues[name]
            queue.ready = [one for one in queue.ready if one.properties.delivery_mode == 2]
            heapq.heapify(queue.ready)
        self.exchanges = {
            name: one for name, one in self.exchanges.items() if (one[1] and keep) or name.startswith("amq.")
        }
        for at, queue, message in self._acked:
            if at >= since and lose_s and message.properties.delivery_mode == 2:
                message.redelivered = True
                queue.put(message)
        self._acked.clear()
        self.trace.note("broker-down", keep=keep)
        IOLoop.current().call_later(for_s, self._again)

    def _again(self) -> None:
        self._server = _Server(self)
        self._server.listen(self._port, "127.0.0.1", backlog=1_024)
        self.trace.note("broker-up")

    # Connections.

    async def serve(self, stream: IOStream) -> None:
        """Serve one connection."""
        stream.set_nodelay(True)
        connection = _Connection(stream)
        self.connections.add(connection)
        why = "closed by the client"
        try:
            greeting = await stream.read_bytes(8)
            if greeting != codec.PROTOCOL_HEADER:
                await stream.write(codec.PROTOCOL_HEADER)  # 4.2.2: told which version is spoken, and closed
                return
            properties = {"product": "stand-in", "capabilities": CAPABILITIES}
            connection.send(0, codec.Start(0, 9, properties, b"PLAIN AMQPLAIN", b"en_US"))
            connection.state = "start"
            while connection.state != "over":
                data = await stream.read_bytes(262_144, partial=True)
                while self._has("stall"):
                    await asyncio.sleep(0.02)
                connection.heard = time.monotonic()
                for one in connection.wire.feed(data):
                    if one is not None and connection.state != "over":
                        self._take(connection, one)
        except StreamClosedError:
            pass
        except AmqpError as error:
            why = f"{error.code.name}: {error}"
            self.trace.note("violation", client=connection.name, code=int(error.code), why=str(error))
            connection.send(0, codec.Close(int(error.code), str(error)[:200], *error.method))
            await asyncio.sleep(0.05)
        finally:
            stream.close()
            self._gone(connection, why)

    def _gone(self, connection: _Connection, why: str) -> None:
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self.trace.note("client", client=connection.name, state="down", why=why)
        connection.state = "over"
        for channel in list(connection.channels.values()):
            self._end_channel(channel)
        for queue in [one for one in self.queues.values() if one.owner is connection]:
            self._delete(queue)

    def _take(self, connection: _Connection, one: Incoming) -> None:
        if one.channel == 0:
            self._on_connection(connection, one.method)
            return
        if connection.state != "ready":
            raise AmqpError(Code.COMMAND_INVALID, "the connection is not open", one.method.id)
        channel = connection.channels.get(one.channel)
        if isinstance(one.method, codec.ChannelOpen):
            if channel:
                raise AmqpError(Code.CHANNEL_ERROR, f"channel {one.channel} is open", one.method.id)
            connection.channels[one.channel] = _Channel(one.channel, connection)
            connection.send(one.channel, codec.ChannelOpenOk())
            return
        if channel is None:
            raise AmqpError(Code.CHANNEL_ERROR, f"channel {one.channel} is not open", one.method.id)
        if channel.closing:
            if isinstance(one.method, codec.ChannelCloseOk):
                del connection.channels[one.channel]
            return
        try:
            self._on_channel(channel, one)
        except AmqpError as error:
            if not error.ends_channel_only:
                raise
            error.method = one.method.id
            self._close_channel(channel, error)

    def _close_channel(self, channel: _Channel, error: AmqpError) -> None:
        self.trace.note("channel-error", client=channel.connection.name, code=int(error.code), why=str(error))
        self._end_channel(channel)
        channel.closing = True
        channel.connection.channels[channel.number] = channel
        channel.connection.wire.discard_content(channel.number)
        close = codec.ChannelClose(int(error.code), str(error)[:200], *error.method)
        channel.connection.send(channel.number, close)

    def _end_channel(self, channel: _Channel) -> None:
        """Its consumers are gone, and what it did not acknowledge goes back to its place."""
        for consumer in list(channel.consumers.values()):
            self._cancel(consumer)
        back = list(channel.unacked.values())
        channel.unacked.clear()
        for queue, message, _ in back:
            message.redelivered = True
            queue.put(message)
        for queue in {id(queue): queue for queue, _, _ in back}.values():
            self._flow(queue)
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
        told = method.client_properties
        connection.name = str(told.get("connection_name") or name)
        can = told.get("capabilities")
        connection.can_block = isinstance(can, dict) and bool(can.get("connection.blocked"))
        connection.send(0, codec.Tune(2_047, FRAME_MAX, self._heartbeat_s))
        connection.state = "tune"

    # Channels.

    def _on_channel(self, channel: _Channel, one: Incoming) -> None:
        method, send = one.method, channel.connection.send
        match method:
            case codec.Publish():
                self._publish(channel, method, one)
            case codec.Ack():
                for queue, message, consumer in self._settled(channel, method.delivery_tag, method.multiple):
                    self._acked.append((time.monotonic(), queue, message))
                    self._freed(consumer, queue)
            case codec.Nack():
                self._refused(channel, method.delivery_tag, method.multiple, method.requeue)
            case codec.Reject():
                self._refused(channel, method.delivery_tag, False, method.requeue)
            case codec.Qos():
                if method.global_:
                    channel.prefetch = method.prefetch_count
                else:
                    channel.each = method.prefetch_count
                send(channel.number, codec.QosOk())
                for consumer in channel.consumers.values():
                    self._flow(consumer.queue)
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
                back = list(channel.unacked)
                for tag in back:
                    self._refused(channel, tag, False, True)
                if isinstance(method, codec.Recover):
                    send(channel.number, codec.RecoverOk())
            case codec.ConfirmSelect():
                channel.confirms = max(0, channel.confirms)
                if not method.nowait:
                    send(channel.number, codec.ConfirmSelectOk())
            case codec.FlowOk():
                pass
            case codec.Flow():
                send(channel.number, codec.FlowOk(method.active))
            case codec.ChannelClose():
                self._end_channel(channel)
                send(channel.number, codec.ChannelCloseOk())
            case _:
                self._declare(channel, method)

    def _declare(self, channel: _Channel, method: Method) -> None:
        """Exchanges, queues and bindings."""
        told: Method | None = None
        match method:
            case codec.ExchangeDeclare():
                self._exchange(method)
                told = codec.ExchangeDeclareOk()
            case codec.ExchangeDelete():
                self.exchanges.pop(method.exchange, None)
                self.bindings.pop(method.exchange, None)
                told = codec.ExchangeDeleteOk()
            case codec.ExchangeBind():
                self._known_exchange(method.destination)
                self._bind(method.source, ("exchange", method.destination, method.routing_key))
                told = codec.ExchangeBindOk()
            case codec.ExchangeUnbind():
                self._unbind(method.source, ("exchange", method.destination, method.routing_key))
                told = codec.ExchangeUnbindOk()
            case codec.QueueDeclare():
                queue = self._queue(channel, method)
                told = codec.QueueDeclareOk(queue.name, len(queue.ready), len(queue.consumers))
            case codec.QueueBind():
                queue = self._known_queue(channel, method.queue)
                self._bind(method.exchange, ("queue", queue.name, method.routing_key))
                told = codec.QueueBindOk()
            case codec.QueueUnbind():
                self._unbind(method.exchange, ("queue", method.queue, method.routing_key))
                told = codec.QueueUnbindOk()
            case codec.QueuePurge():
                queue = self._known_queue(channel, method.queue)
                told = codec.QueuePurgeOk(len(queue.ready))
                queue.ready.clear()
            case codec.QueueDelete():
                told = self._delete_queue(channel, method)
            case _:
                raise AmqpError(Code.NOT_IMPLEMENTED, f"{type(method).__name__} is not known", method.id)
        if not getattr(method, "nowait", False):
            channel.connection.send(channel.number, told)

    def _exchange(self, method: codec.ExchangeDeclare) -> None:
        known = self.exchanges.get(method.exchange)
        if method.passive or method.exchange == "":
            self._known_exchange(method.exchange)
        elif known and known != (method.type, method.durable):
            raise AmqpError(Code.PRECONDITION_FAILED, f"exchange {method.exchange} is of another kind")
        elif method.type not in ("direct", "topic", "fanout"):
            raise AmqpError(Code.COMMAND_INVALID, f"exchange type {method.type}", method.id)
        else:
            self.exchanges[method.exchange] = (method.type, method.durable)

    def _known_exchange(self, name: str) -> None:
        if name and name not in self.exchanges:
            raise AmqpError(Code.NOT_FOUND, f"no exchange {name!r}")

    def _bind(self, source: str, binding: tuple[str, str, str]) -> None:
        self._known_exchange(source)
        if not source:
            raise AmqpError(Code.ACCESS_REFUSED, "the default exchange takes no bindings")
        known = self.bindings.setdefault(source, [])
        if binding not in known:
            known.append(binding)

    def _unbind(self, source: str, binding: tuple[str, str, str]) -> None:
        if binding in self.bindings.get(source, ()):
            self.bindings[source].remove(binding)

    def _queue(self, channel: _Channel, method: codec.QueueDeclare) -> _Queue:
        name = method.queue
        if not name:
            self._places += 1
            name = f"amq.gen-{self._places}"
        queue = self.queues.get(name)
        if queue is None:
            if method.passive:
                raise AmqpError(Code.NOT_FOUND, f"no queue {name!r}")
            owner = channel.connection if method.exclusive else None
            queue = _Queue(name, method.durable, method.arguments or {}, owner, method.auto_delete)
            self.queues[name] = queue
            return queue
        self._owned(channel, queue)
        if not method.passive and (queue.durable, queue.arguments) != (
            method.durable,
            method.arguments or {},
        ):
            raise AmqpError(Code.PRECONDITION_FAILED, f"queue {name!r} is declared otherwise")
        return queue

    def _owned(self, channel: _Channel, queue: _Queue) -> None:
        if queue.owner and queue.owner is not channel.connection:
            raise AmqpError(Code.RESOURCE_LOCKED, f"queue {queue.name!r} is another connection's")

    def _known_queue(self, channel: _Channel, name: str) -> _Queue:
        queue = self.queues.get(name)
        if queue is None:
            raise AmqpError(Code.NOT_FOUND, f"no queue {name!r}")
        self._owned(channel, queue)
        return queue

    def _delete_queue(self, channel: _Channel, method: codec.QueueDelete) -> Method:
        queue = self.queues.get(method.queue)
        if queue is None:
            return codec.QueueDeleteOk(0)
        self._owned(channel, queue)
        if (method.if_unused and queue.consumers) or (method.if_empty and queue.ready):
            raise AmqpError(Code.PRECONDITION_FAILED, f"queue {queue.name!r} is in use or not empty")
        self._delete(queue)
        return codec.QueueDeleteOk(len(queue.ready))

    def _delete(self, queue: _Queue) -> None:
        self.queues.pop(queue.name, None)
        for bindings in self.bindings.values():
            bindings[:] = [one for one in bindings if one[:2] != ("queue", queue.name)]
        for consumer in list(queue.consumers):
            self._cancel(consumer)
            connection = consumer.channel.connection
            if connection.state == "ready":  # the consumers are told (an extension that clients ask for)
                connection.send(consumer.channel.number, codec.Cancel(consumer.tag, True))

    def _consume(self, channel: _Channel, method: codec.Consume) -> None:
        queue = self._known_queue(channel, method.queue)
        self._places += 1
        tag = method.consumer_tag or f"amq.ctag-{self._places}"
        if tag in channel.consumers:
            raise AmqpError(Code.NOT_ALLOWED, f"consumer {tag!r} is there already", method.id)
        if method.exclusive and queue.consumers:
            raise AmqpError(Code.ACCESS_REFUSED, f"queue {queue.name!r} has consumers")
        consumer = _Consumer(channel, tag, queue, method.no_ack, channel.each)
        channel.consumers[tag] = consumer
        queue.consumers.append(consumer)
        queue.had_consumers = True
        if not method.nowait:
            channel.connection.send(channel.number, codec.ConsumeOk(tag))
        self._flow(queue)

    def _cancel(self, consumer: _Consumer) -> None:
        consumer.channel.consumers.pop(consumer.tag, None)
        queue = consumer.queue
        if consumer in queue.consumers:
            queue.consumers.remove(consumer)
        if queue.auto_delete and queue.had_consumers and not queue.consumers:
            self._delete(queue)

    def _get(self, channel: _Channel, method: codec.Get) -> None:
        queue = self._known_queue(channel, method.queue)
        message = self._next(queue)
        if message is None:
            channel.connection.send(channel.number, codec.GetEmpty())
            return
        tag = self._handed(channel, queue, message, None, method.no_ack)
        told = codec.GetOk(tag, message.redelivered, message.exchange, message.key, len(queue.ready))
        self._send_content(channel, told, message)

    # Messages.

    def _publish(self, channel: _Channel, method: codec.Publish, one: Incoming) -> None:
        connection = channel.connection
        if method.immediate:
            raise AmqpError(Code.NOT_IMPLEMENTED, "immediate is not known", method.id)
        self._known_exchange(method.exchange)
        properties = one.properties
        assert properties
        if one.too_large:
            raise AmqpError(Code.PRECONDITION_FAILED, f"a body of more than {MOST_BODY} bytes")
        if properties.expiration is not None and not properties.expiration.isdigit():
            raise AmqpError(Code.PRECONDITION_FAILED, f"expiration {properties.expiration!r}")
        if channel.confirms >= 0:
            channel.confirms += 1
        if not connection.published:
            connection.published = True
            if self._has("alarm") and connection.can_block:
                connection.send(0, codec.Blocked("memory alarm"))
        elif self._has("alarm") and connection.can_block:
            self.trace.note("published-blocked", client=connection.name, corr=properties.correlation_id or "")
        if channel.confirms >= 0 and self._has("nack"):
            connection.send(channel.number, codec.Nack(channel.confirms, False, False))
            return
        self.trace.note(
            "from", client=connection.name, **_seen(method.exchange, method.routing_key, properties)
        )
        found = self.route(method.exchange, method.routing_key, properties, one.body)
        if not found and method.mandatory:
            told = codec.Return(Code.NO_ROUTE, "NO_ROUTE", method.exchange, method.routing_key)
            raw = codec.encode_content(channel.number, told, properties, one.body, connection.frame_max)
            connection.write(raw)
        if channel.confirms >= 0:
            connection.send(channel.number, codec.Ack(channel.confirms))

    def route(self, exchange: str, key: str, properties: Properties, body: bytes) -> int:
        """Put a message into every queue that it belongs to; how many."""
        found: set[str] = set()
        seen: set[str] = set()
        ways = [exchange]
        if not exchange:
            found = {key} & self.queues.keys()
            ways = []
        while ways:
            source = ways.pop()
            if source in seen:
                continue
            seen.add(source)
            kind = self.exchanges.get(source, ("", False))[0]
            for what, name, pattern in self.bindings.get(source, ()):
                if kind == "fanout" or (matches(pattern, key) if kind == "topic" else pattern == key):
                    if what == "queue":
                        found.add(name)
                    else:
                        ways.append(name)
        for name in sorted(found):
            if queue := self.queues.get(name):
                self._enqueue(queue, exchange, key, properties, body)
        return len(found)

    def _enqueue(self, queue: _Queue, exchange: str, key: str, properties: Properties, body: bytes) -> None:
        self._places += 1
        most = int(queue.arguments.get("x-max-priority", 0))
        times = [float(properties.expiration)] if properties.expiration is not None else []
        if "x-message-ttl" in queue.arguments:
            times.append(float(queue.arguments["x-message-ttl"]))
        until = time.monotonic() + min(times) / 1e3 if times else 0.0
        priority = min(most, properties.priority or 0)
        queue.put(_Message(self._places, exchange, key, properties, body, priority, until))
        self._flow(queue)

    def _next(self, queue: _Queue) -> _Message | None:
        """The message to deliver next; those that have expired are dead letters."""
        while queue.ready:
            message = heapq.heappop(queue.ready)
            if message.until and time.monotonic() >= message.until:
                self.trace.note("expired", **_seen(message.exchange, message.key, message.properties))
                self._dead(queue, message, "expired")
                continue
            return message
        return None

    def _dead(self, queue: _Queue, message: _Message, reason: str) -> None:
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
        before = headers.get("x-death")
        headers["x-death"] = [death, *(before if isinstance(before, list) else [])]
        headers.setdefault("x-first-death-reason", reason)
        headers.setdefault("x-first-death-queue", queue.name)
        properties = replace(message.properties, headers=headers, expiration=None)
        key = queue.arguments.get("x-dead-letter-routing-key", message.key)
        self.trace.note("dead", reason=reason, **_seen(exchange, key, properties))
        self.route(exchange, key, properties, message.body)

    def _flow(self, queue: _Queue) -> None:
        """Deliver what waits to consumers that have room, in turn."""
        while queue.ready and queue.consumers:
            for _ in range(len(queue.consumers)):
                consumer = queue.consumers[0]
                queue.consumers.rotate(-1)
                if consumer.room():
                    break
            else:
                return
            message = self._next(queue)
            if message is None:
                return
            channel = consumer.channel
            tag = self._handed(channel, queue, message, consumer, consumer.no_ack)
            told = codec.Deliver(consumer.tag, tag, message.redelivered, message.exchange, message.key)
            self.trace.note(
                "to", client=channel.connection.name, dup=message.redelivered, queue=queue.name,
                **_seen(message.exchange, message.key, message.properties),
            )  # fmt: skip
            self._send_content(channel, told, message)

    def _handed(
        self, channel: _Channel, queue: _Queue, message: _Message, consumer: _Consumer | None, no_ack: bool
    ) -> int:
        channel.tags += 1
        if not no_ack:
            channel.unacked[channel.tags] = (queue, message, consumer)
            if consumer:
                consumer.unacked += 1
        return channel.tags

    def _send_content(self, channel: _Channel, method: Method, message: _Message) -> None:
        connection = channel.connection
        raw = codec.encode_content(
            channel.number, method, message.properties, message.body, connection.frame_max, self.pieces
        )
        connection.write(raw)

    def _settled(
        self, channel: _Channel, tag: int, multiple: bool
    ) -> list[tuple[_Queue, _Message, _Consumer | None]]:
        """The deliveries that an acknowledgement is of; an unknown one is an error (1.8.3.13)."""
        if multiple:
            tags = [one for one in channel.unacked if one <= tag or not tag]
        else:
            tags = [tag] if tag in channel.unacked else []
        if not tags and (not multiple or tag > channel.tags):
            raise AmqpError(Code.PRECONDITION_FAILED, f"unknown delivery tag {tag}")
        out = [channel.unacked.pop(one) for one in tags]
        for _, _, consumer in out:
            if consumer:
                consumer.unacked -= 1
        return out

    def _freed(self, consumer: _Consumer | None, queue: _Queue) -> None:
        """A delivery is over: its channel's consumers may have room again."""
        self._flow(queue)
        if consumer:
            for other in list(consumer.channel.consumers.values()):
                if other.queue is not queue:
                    self._flow(other.queue)

    def _refused(self, channel: _Channel, tag: int, multiple: bool, requeue: bool) -> None:
        for queue, message, consumer in self._settled(channel, tag, multiple):
            if requeue:
                message.redelivered = True
                queue.put(message)
            else:
                self._dead(queue, message, "rejected")
            self._freed(consumer, queue)

    def _sweep(self) -> None:
        IOLoop.current().call_later(0.2, self._sweep)
        now = time.monotonic()
        while self._acked and now - self._acked[0][0] > ACKS_S:
            self._acked.popleft()
        if self._has("stall"):
            return
        for connection in list(self.connections):
            beat = connection.heartbeat_s
            if not beat or connection.state != "ready":
                continue
            if now - connection.heard > 2 * beat:
                connection.stream.close()
                self._gone(connection, "no heartbeat")
            elif now - connection.spoke > beat / 2:
                connection.write(codec.HEARTBEAT_FRAME)
        for queue in list(self.queues.values()):
            expired = bool(queue.ready) and 0 < queue.ready[0].until <= now
            if expired and (message := self._next(queue)) is not None:
                queue.put(message)


def matches(pattern: str, key: str) -> bool:
    """Whether a topic binding takes a key: * is one word, # any number.

    >>> matches("a.#.c", "a.c"), matches("a.*", "a.b.c")
    (True, False)
    """
    words, rest = pattern.split("."), key.split(".")
    reach = {0}  # places in the pattern that the words so far can have led to
    reach |= _empty(words, reach)
    for word in rest:
        after = set()
        for at in reach:
            if at < len(words):
                if words[at] == "#":
                    after.add(at)
                elif words[at] in ("*", word):
                    after.add(at + 1)
        reach = after | _empty(words, after)
    return len(words) in reach


def _empty(words: list[str], reach: set[int]) -> set[int]:
    """Where # can lead to by taking no word."""
    out = set()
    for at in reach:
        while at < len(words) and words[at] == "#":
            at += 1
            out.add(at)
    return out


def _seen(exchange: str, key: str, properties: Properties) -> dict[str, object]:
    """What a trace says of a message."""
    return {"topic": key, "exchange": exchange, "corr": properties.correlation_id or ""}
