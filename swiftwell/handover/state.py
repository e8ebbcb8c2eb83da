"""Captures a running gateway as one versioned state with its file descriptors, and restores it in another
process.

`freeze` stops reading and sending, so that nothing changes any more; `thaw` resumes after a failed handover.
`restore` builds the captured state in a gateway that has not started; `activate` starts that gateway.  Times
are monotonic us unless noted: all processes of a machine share that clock.  The wall clock's anchor is
carried over, so that both processes read the same wall time.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import OrderedDict, deque
from dataclasses import fields
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from swiftwell import interface as io
from swiftwell.discovery.roster import Known
from swiftwell.fair_reads import ProcessingTurns
from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.consumer import Consumer, OutgoingMessage, PendingAck, message_identity
from swiftwell.fronts.amqp.contract import Ref as AmqpRef
from swiftwell.fronts.amqp.link import Link as AmqpLink
from swiftwell.fronts.mqtt.codec import Publish, Will
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.contract import Ref
from swiftwell.fronts.mqtt.peer import Peer
from swiftwell.fronts.mqtt.session import Session
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway.calls import Attempt, Call, Waiter
from swiftwell.gateway.effects import Record
from swiftwell.gateway.orders import Order
from swiftwell.handover import snapshot
from swiftwell.interface import State as WorkerState
from swiftwell.workers.link import _Connection as WorkerConnection
from swiftwell.workers.link import _Job, _Worker

if TYPE_CHECKING:
    from swiftwell.gateway.shell import Gateway

VERSION = 1  # of the state; a reader accepts any version, by the defaults in the structs below
_STORED_NAMES = {
    "request_class": "band",
    "redelivered": "again",
    "maybe_seen_elsewhere": "elsewhere",
    "rejection": "turned",
}  # the fields of a trigger that are stored under another name
_TRIGGER_NAMES = {
    field.name: _STORED_NAMES.get(field.name, field.name) for field in fields(Trigger) if field.name != "ref"
}


class RefState(msgspec.Struct, rename={"later_deliveries": "also"}):
    """The address of an answer: its peer by kind ("client", "broker", "amqp" or "") and name, with what
    acknowledges the message."""

    kind: str
    name: str
    generation: int
    version: int
    id: int
    qos: int
    reply: str
    correlation: Any = None
    key: str = ""
    acked: bool = False
    later_deliveries: list[RefState] = []  # of the same message


class TriggerState(msgspec.Struct):
    """A trigger; `values` has the stored names of its fields."""

    values: dict[str, Any]
    ref: RefState


class CallState(
    msgspec.Struct,
    rename={"request_class": "band", "may_have_run_before": "doubted", "failures_involved": "blames"},
):
    """A call of the engine."""

    id: str
    trigger: TriggerState
    request_class: dict[str, Any]
    deadline_us: int
    claimed: bool = False
    waiters: list[tuple[TriggerState, int]] = []  # trigger, deadline
    attempts: list[tuple[str, bool, str, int]] = []  # worker, in flight, ran, deadline
    settled: bool = False
    streaming: bool = False
    may_have_run_before: bool = False
    orphan: bool = False
    failures_involved: int = 0


class SessionState(
    msgspec.Struct,
    rename={"unacknowledged": "open", "awaiting_pubrel": "received", "in_flight": "flight"},
):
    """An MQTT session: its inbox (first two fields), its outbox, and its subscriptions."""

    unacknowledged: dict[int, int] = {}  # packet identifier: QoS
    awaiting_pubrel: list[int] = []
    window: int = 65_535
    waiting: list[Publish] = []
    in_flight: list[tuple[int, Publish | None]] = []
    next: int = 0
    filters: dict[str, int] = {}  # topic filter: subscription options


class ConnectionState(
    msgspec.Struct,
    rename={
        "unparsed": "pending",
        "peer_max_packet": "peer_most",
        "received_at": "heard",
        "sent_at": "spoke",
    },
):
    """An MQTT connection: the index of its descriptor, and the bytes that are partly read or not yet sent."""

    fd: int
    version: int
    unparsed: bytes = b""
    unsent: bytes = b""
    connected: bool = False
    peer_max_packet: int = 0
    received_at: float = 0.0  # monotonic s, as `sent_at`
    sent_at: float = 0.0


class PeerState(msgspec.Struct, rename={"expiry_s": "expiry", "expires_at": "until"}):
    """A client of the endpoint, or a broker.  A connection that has sent no CONNECT yet has the name "".
    Times are monotonic s."""

    kind: str
    name: str
    session: SessionState = msgspec.field(default_factory=SessionState)
    generation: int = 0
    connection: ConnectionState | None = None
    expiry_s: float = 0.0
    expires_at: float = 0.0
    keep_alive: float = 0.0
    will_at: float = 0.0
    will: Will | None = None
    up: bool = False


class JobState(
    msgspec.Struct, rename={"partial_response": "raw", "started_s": "began", "deadline_s": "until"}
):
    """An exchange with a worker in progress.

    An attempt ("run") has call and attempt number, an order ("order") its number, a query ("ask") only the
    worker.
    """

    kind: str
    worker: str
    id: str = ""
    number: int = 0
    fd: int = -1  # -1: it waited for a connection, and is started anew
    data: bytes = b""
    unsent: bytes = b""
    partial_response: bytes = b""
    started_s: float = 0.0  # monotonic
    deadline_s: float = 0.0  # of orders and queries, monotonic
    streamed: bool = False


class ListenerState(msgspec.Struct):
    """A listening socket."""

    name: str
    address: str
    port: int
    fd: int


class OutboundState(msgspec.Struct, rename={"routing_key": "key"}):
    """A message to an AMQP broker that the broker has not confirmed."""

    kind: str
    exchange: str
    routing_key: str
    properties: Properties
    body: bytes = b""
    ref: RefState | None = None
    tries: int = 0
    returned: bool = False


class AmqpState(
    msgspec.Struct,
    rename={
        "unparsed": "pending",
        "sent_prefetch": "told",
        "connected_at": "since",
        "publish_seq": "seq",
        "message_number": "number",
        "prefetch_limit": "limit",
        "in_flight": "flight",
        "answered": "done",
    },
):
    """The link to an AMQP broker, with its connection if that is open."""

    name: str
    fd: int = -1
    unparsed: bytes = b""
    unsent: bytes = b""
    frame_max: int = 4_096
    heartbeat_s: int = 0
    channel_max: int = 0
    channels: dict[int, str] = {}
    can_block: bool = False
    can_confirm: bool = False
    confirming: bool = False
    up: bool = False
    blocked: bool = False
    paused: bool = False
    sent_prefetch: int = 0
    connected_at: float = 0.0
    generation: int = 0
    publish_seq: int = 0
    message_number: int = 0
    prefetch_limit: int = 0
    barriers: list[list[tuple[TriggerState, float]]] = []  # batches of triggers, with the time of each claim
    outbox: list[OutboundState] = []
    in_flight: list[tuple[int, OutboundState]] = []
    answered: list[RefState] = []  # recently, kept to recognize redeliveries


class RosterState(msgspec.Struct):
    """What the roster knows of workers beyond the state of the router."""

    known: list[dict[str, Any]] = []
    live: bool = False
    size_since: int = 0


class GatewayState(
    msgspec.Struct,
    rename={
        "gap_until": "holes_until",
        "closed_reason": "shut_why",
        "last_number": "numbers",
        "last_write": "writes",
    },
):
    """The state of a gateway; descriptors are indexes into the list that goes with it."""

    version: int = VERSION
    name: str = ""
    anchor_us: int = 0
    calls: list[CallState] = []
    ledger: list[Record] = []
    running: list[tuple[str, str, str]] = []  # tenant, key, call
    gap_until: int = 0
    closed_reason: str = ""
    segment: int = 0
    last_number: int = 0
    last_write: int = 0
    counts: dict[str, int] = {}
    orders: list[tuple[int, str, str, int, int]] = []  # number, worker, function, sent, due
    peers: list[PeerState] = []
    jobs: list[JobState] = []
    listeners: list[ListenerState] = []
    amqp: list[AmqpState] = []
    roster: RosterState = msgspec.field(default_factory=RosterState)
    router: snapshot.RouterSnapshot = msgspec.field(default_factory=snapshot.RouterSnapshot)
    lock: int = -1
    ledger_lock: int = -1


def encode(state: GatewayState) -> bytes:
    """The state as msgpack."""
    return msgspec.msgpack.encode(state)


def decode(raw: bytes) -> GatewayState:
    """The state in msgpack; raises msgspec.DecodeError or its subclass ValidationError."""
    return msgspec.msgpack.decode(raw, type=GatewayState)


# Freezing.


def _pause_stream(stream: IOStream) -> None:
    """Stop reading and sending on a stream; what the kernel has buffered stays there."""
    if not stream.closed() and stream._state is not None:
        IOLoop.current().remove_handler(stream.fileno())


def _resume_stream(stream: IOStream) -> None:
    if not stream.closed() and stream._state is not None:
        IOLoop.current().add_handler(stream.fileno(), stream._handle_events, stream._state)


def _unsent(stream: IOStream) -> bytes:
    """A copy of what a stream has accepted and not yet passed to the kernel."""
    buffer = stream._write_buffer
    chunks, skip = [], buffer._first_pos
    for _, chunk in buffer._buffers:
        chunks.append(bytes(chunk[skip:]))
        skip = 0
    return b"".join(chunks)


def _servers(gateway: Gateway) -> list[tuple[str, Any]]:
    servers = []
    if gateway.endpoint:
        servers.append(("mqtt", gateway.endpoint._server))
    if gateway._health:
        servers.append(("health", gateway._health))
    return servers


def listening_sockets(gateway: Gateway) -> list[tuple[str, str, int]]:
    """Name, address and port of every listening socket."""
    return [
        (name, *sock.getsockname()[:2])
        for name, server in _servers(gateway)
        for sock in server._sockets.values()
    ]


def _streams(gateway: Gateway) -> list[IOStream]:
    """Every open stream to clients, brokers and workers."""
    streams = []
    if gateway.endpoint:
        streams += [connection.stream for connection in gateway.endpoint._connections]
    streams += [s.peer.connection.stream for s in gateway.subscribers if s.peer.connection]
    streams += [link.stream for link in gateway.amqp if link.stream]
    for worker in gateway.link._workers.values():
        streams += [connection.stream for connection in worker.idle]
    streams += [job.connection.stream for job in gateway.link.all_jobs() if job.connection]
    return streams


def _processing_turns(gateway: Gateway) -> list[ProcessingTurns]:
    """The turns of all MQTT connections."""
    turns = [gateway.endpoint.turns] if gateway.endpoint else []
    return turns + [s.peer.connection.turns for s in gateway.subscribers if s.peer.connection]


def _set_maintenance(gateway: Gateway, on: bool) -> None:
    """Start or stop the timers for sessions, keep-alives and idle connections, which would change the state
    while it is captured."""
    for callback in [gateway._sweeper, *([gateway.endpoint._sweep] if gateway.endpoint else [])]:
        callback.start() if on else callback.stop()
    for link in (*gateway.subscribers, *gateway.amqp):
        link.handover_paused = not on
    for link in gateway.amqp:
        link.consumer.set_handover_paused(not on)


async def freeze(gateway: Gateway, timeout_s: float) -> None:
    """Make the gateway idle: nothing is accepted, read or sent, every input has been handled, and the ledger
    is on disk.

    Raises TimeoutError, after which `thaw` resumes.
    """
    for _, server in _servers(gateway):
        for fd in list(server._handlers):
            server._handlers.pop(fd)()
    gateway.paused_streams = _streams(gateway)
    for stream in gateway.paused_streams:
        _pause_stream(stream)
    for turns in _processing_turns(gateway):
        turns.pause()  # what was read waits in its decoder, which is handed over
    gateway.link.set_paused(True)
    _set_maintenance(gateway, False)
    deadline = time.monotonic() + timeout_s
    # Inputs that had been read already are handled; the ledger writes what they caused.
    while True:
        for _ in range(3):
            await asyncio.sleep(0)
        idle = not gateway._inputs and not gateway._stepping and not gateway.engine.pending_intents
        if idle and not (gateway.journal and gateway.journal.busy):
            break
        if time.monotonic() > deadline:
            raise TimeoutError("the gateway or its ledger did not become idle in time")
        await asyncio.sleep(0.001)
    gateway.frozen = True


def thaw(gateway: Gateway) -> None:
    """Resume a gateway that `freeze` stopped."""
    gateway.frozen = False
    for stream in gateway.paused_streams:
        _resume_stream(stream)
    gateway.paused_streams = []
    for turns in _processing_turns(gateway):
        turns.resume()
    for _, server in _servers(gateway):
        server.add_sockets(list(server._sockets.values()))
    gateway.link.set_paused(False)
    _set_maintenance(gateway, True)
    gateway.resume()


# Capturing.


def capture(gateway: Gateway) -> tuple[GatewayState, list[int]]:
    """The state of a frozen gateway and the file descriptors that go with it."""
    fds: list[int] = []

    def add_fd(fd: int) -> int:
        fds.append(fd)
        return len(fds) - 1

    engine, ledger = gateway.engine, gateway.ledger
    state = GatewayState(name=gateway.site.name, anchor_us=gateway.clock.anchor_us)
    for name, server in _servers(gateway):
        for fd, sock in server._sockets.items():
            address, port = sock.getsockname()[:2]
            state.listeners.append(ListenerState(name, address, port, add_fd(fd)))
    state.calls = [_capture_call(gateway, call) for call in engine._calls.values()]
    state.ledger = ledger.records()
    state.running = [
        (tenant, key, entry.call) for (tenant, key), entry in ledger._entries.items() if entry.call
    ]
    state.gap_until, state.closed_reason = ledger.gap_until, ledger.closed_reason
    state.last_number, state.last_write, state.counts = (
        engine._last_number,
        engine._last_write,
        dict(engine.counts),
    )
    # A gateway that hands over sends no queries: each of its orders is for copies.
    state.orders = [
        (number, order.worker, order.function, order.sent_us, order.due_us)
        for number, order in engine._orders.items()
    ]
    if gateway.endpoint:
        for client in gateway.endpoint.clients.values():
            peer = PeerState("client", client.client, _capture_session(client.session), client.generation)
            peer.connection = _capture_connection(client.connection, add_fd)
            peer.expiry_s, peer.expires_at, peer.keep_alive = (
                client.expiry,
                client.expires_at,
                client.keep_alive,
            )
            peer.will, peer.will_at = client.will, client.will_at
            state.peers.append(peer)
        known = {client.connection for client in gateway.endpoint.clients.values()}
        for connection in gateway.endpoint._connections - known:  # no CONNECT received yet
            if not connection.closed:
                state.peers.append(
                    PeerState("client", "", connection=_capture_connection(connection, add_fd))
                )
    for s in gateway.subscribers:
        peer = PeerState("broker", s.link.name, _capture_session(s.peer.session), s.peer.generation, up=s.up)
        peer.connection = _capture_connection(s.peer.connection, add_fd)
        state.peers.append(peer)
    state.amqp = [_capture_amqp(link, add_fd) for link in gateway.amqp]
    for key, job in gateway.link._jobs.items():
        state.jobs.append(_capture_job(job, add_fd, "run", id=key[0], number=key[1]))
    for job, (kind, number) in gateway.link.timed_jobs.items():
        state.jobs.append(_capture_job(job, add_fd, kind, number=number))
    for known in engine.roster.known.values():
        values = {field.name: getattr(known, field.name) for field in fields(Known) if field.name != "entry"}
        entry = {field.name: getattr(known.entry, field.name) for field in fields(io.WorkerEntry)}
        state.roster.known.append(values | {"entry": entry | {"state": known.entry.state.value}})
    state.roster.live, state.roster.size_since = engine.roster.live, engine.roster.size_since
    state.router = snapshot.capture(engine.router)
    if gateway._lock >= 0:
        state.lock = add_fd(gateway._lock)
    if gateway.journal:
        state.ledger_lock, state.segment = add_fd(gateway.journal._lock), gateway.journal._segment
    return state, fds


def _peer_key(peer: Peer) -> tuple[str, str]:
    """Kind and name under which a peer is stored."""
    kind, _, name = peer.source.partition(":")
    return ({"mqtt": "client", "broker": "broker"}.get(kind, ""), name)


def _capture_amqp(link: AmqpLink, add_fd: Any) -> AmqpState:
    consumer, session = link.consumer, link.consumer.session
    state = AmqpState(
        link.link.name, generation=consumer.generation, message_number=consumer._last_message_number
    )
    state.prefetch_limit, state.connected_at = consumer.prefetch.limit, consumer.connected_at
    waiting = [*consumer.outbox, *(message for _, _, message in consumer.delayed_retries)]
    state.outbox = [_capture_outbound(message) for message in waiting]
    state.in_flight = [
        (number, _capture_outbound(message)) for number, message in consumer.unconfirmed.items()
    ]
    state.barriers = [
        [(_capture_trigger(claim.trigger), claim.received_at) for claim in batch]
        for batch in consumer.pending_acks
    ]
    state.answered = [_capture_ref(ref) for ref in consumer.known_triggers.values() if ref.acked]
    if session is None or session.state != "ready" or link.stream is None or link.stream.closed():
        return state  # the other process makes a connection of its own
    state.fd = add_fd(link.stream.socket.fileno())
    parked = b"".join(
        codec.encode_content(event.channel, event.method, event.properties, event.body, session.frame_max)
        for event in consumer.deferred
        if event.properties
    )
    state.unparsed = parked + session.wire.pending()
    state.unsent = _unsent(link.stream) + bytes(session.send_buffer)
    state.frame_max, state.heartbeat_s = session.frame_max, session.heartbeat_s
    state.channel_max, state.channels = session.channel_max, dict(session.channels)
    state.can_block, state.can_confirm = session.supports_blocked, session.supports_confirms
    state.confirming, state.up, state.sent_prefetch = (
        consumer._can_publish,
        consumer.up,
        consumer._announced_prefetch,
    )
    state.blocked, state.paused, state.publish_seq = consumer.blocked, consumer.paused, consumer.publish_seq
    return state


def _capture_outbound(message: OutgoingMessage) -> OutboundState:
    ref = _capture_ref(message.ref) if message.ref else None
    return OutboundState(
        message.kind,
        message.exchange,
        message.key,
        message.properties,
        message.body,
        ref,
        message.attempts,
        message.returned,
    )


def _capture_ref(ref: Ref | AmqpRef) -> RefState:
    if isinstance(ref, AmqpRef):
        consumer, generation = ref.connection
        return RefState(
            "amqp",
            consumer.link.name,
            generation,
            0,
            ref.tag,
            int(ref.safe),
            ref.reply,
            ref.correlation,
            ref.key,
            ref.acked,
            [_capture_ref(delivery) for delivery in ref.redeliveries],
        )
    peer, generation = ref.connection
    later_deliveries = [_capture_ref(delivery) for delivery in ref.redeliveries]
    return RefState(
        *_peer_key(peer),
        generation,
        ref.version,
        ref.id,
        ref.qos,
        ref.reply,
        ref.correlation,
        ref.key,
        ref.acked,
        later_deliveries,
    )


def _capture_trigger(trigger: Trigger) -> TriggerState:
    return TriggerState(
        {stored: getattr(trigger, name) for name, stored in _TRIGGER_NAMES.items()},
        _capture_ref(trigger.ref),  # type: ignore[arg-type]
    )


def _capture_call(gateway: Gateway, call: Call) -> CallState:
    return CallState(
        call.id,
        _capture_trigger(call.trigger),
        snapshot.encode_request_class(call.request_class),
        call.deadline_us,
        call.claimed,
        [(_capture_trigger(waiter.trigger), waiter.deadline_us) for waiter in call.waiters],
        [
            (attempt.worker, attempt.in_flight, attempt.ran.value, attempt.deadline_us)
            for attempt in call.attempts
        ],
        call.settled,
        call.streaming,
        call.may_have_run_before,
        call.orphan,
        call.failures_involved,
    )


def _capture_session(session: Session) -> SessionState:
    inbox, outbox = session.inbox, session.outbox
    return SessionState(
        dict(inbox._unacknowledged),
        sorted(inbox._awaiting_pubrel),
        outbox.window,
        list(outbox._waiting),
        list(outbox._in_flight.items()),
        outbox._last_id,
        dict(session.filters),
    )


def _capture_connection(connection: Connection | None, add_fd: Any) -> ConnectionState | None:
    if connection is None or connection.closed or connection.stream.closed():
        return None
    return ConnectionState(
        add_fd(connection.stream.socket.fileno()),
        connection.version,
        bytes(connection.decoder._buffer),
        _unsent(connection.stream),
        connection.connected,
        connection.peer_max_packet_bytes,
        connection.received_at,
        connection.sent_at,
    )


def _capture_job(job: _Job, add_fd: Any, kind: str, **identity: Any) -> JobState:
    state = JobState(
        kind, job.worker, data=job.data, started_s=job.started_s, deadline_s=job.deadline_s, **identity
    )
    state.streamed = job.on_first_byte is not None
    connection = job.connection
    if connection and job.written and not connection.stream.closed():
        state.fd, state.unsent, state.partial_response = (
            add_fd(connection.stream.socket.fileno()),
            _unsent(connection.stream),
            bytes(connection.received),
        )
    return state


# Restoring.


def restore(gateway: Gateway, state: GatewayState, fds: list[int]) -> None:
    """Build the state in a gateway that has not started; nothing is read, sent or written until `activate`.

    Any error in the state is raised as it is; the caller then closes the descriptors.
    """
    gateway.clock.anchor_us = state.anchor_us
    engine, ledger = gateway.engine, gateway.ledger
    snapshot.restore(engine.router, state.router)
    engine.start_at(gateway.clock.now_us(), gateway.clock.wall_us())
    for record in state.ledger:
        ledger.replay(record)
    for tenant, key, call_id in state.running:
        ledger.reclaim(tenant, key, call_id)
    ledger.gap_until, ledger.closed_reason = state.gap_until, state.closed_reason
    engine._last_number, engine._last_write = state.last_number, state.last_write
    engine.counts.update(state.counts)
    for known in state.roster.known:
        raw = dict(known.pop("entry"))
        entry = io.WorkerEntry(**raw | {"state": WorkerState(raw["state"])})
        names = {field.name for field in fields(Known)}
        engine.roster.known[entry.worker] = Known(
            entry, **{name: value for name, value in known.items() if name in names}
        )
    engine.roster.live, engine.roster.size_since = state.roster.live, state.roster.size_since
    gateway.build_fronts()
    peers: dict[tuple[str, str], Peer] = {}
    for peer in state.peers:
        _restore_peer(gateway, peer, fds, peers)
    for link in gateway.amqp:
        peers["amqp", link.link.name] = link.consumer  # type: ignore[assignment]
    for amqp in state.amqp:
        for link in gateway.amqp:
            if link.link.name == amqp.name:
                _restore_amqp(gateway, link, amqp, peers)
    for call in state.calls:
        _restore_call(gateway, call, peers)
    engine.restore_timers(
        (number, Order(worker, function, 1, sent_us, due_us))
        for number, worker, function, sent_us, due_us in state.orders
    )
    gateway.adopted = (state, fds)


def _restore_peer(
    gateway: Gateway, state: PeerState, fds: list[int], peers: dict[tuple[str, str], Peer]
) -> None:
    peer: Peer | None = None
    if state.kind == "client" and gateway.endpoint and state.name:
        client = gateway.endpoint.new_client(state.name)
        client.expiry, client.expires_at, client.keep_alive = (
            state.expiry_s,
            state.expires_at,
            state.keep_alive,
        )
        client.will, client.will_at = state.will, state.will_at
        peer = client
    elif state.kind == "broker":
        peer = next((s.peer for s in gateway.subscribers if s.link.name == state.name), None)
    if peer is None:
        return  # its front is not in the new settings: its connection ends with the old process
    session = peer.session
    session.inbox._unacknowledged, session.inbox._awaiting_pubrel = (
        dict(state.session.unacknowledged),
        set(state.session.awaiting_pubrel),
    )
    outbox = session.outbox
    outbox.window, outbox._waiting = state.session.window, deque(state.session.waiting)
    outbox._in_flight, outbox._last_id = OrderedDict(state.session.in_flight), state.session.next
    session.filters = dict(state.session.filters)
    peer.generation = state.generation
    peers[state.kind, state.name] = peer


def _restore_connection(
    state: ConnectionState, fds: list[int], max_packet: int, max_unsent: int
) -> Connection:
    sock = socket.socket(fileno=os.dup(fds[state.fd]))
    sock.setblocking(False)
    connection = Connection(IOStream(sock), state.version, max_packet, max_unsent)
    connection.decoder._buffer = bytearray(state.unparsed)
    connection.decoder.version, connection.connected, connection.peer_max_packet_bytes = (
        state.version,
        state.connected,
        state.peer_max_packet,
    )
    connection.received_at, connection.sent_at = (
        state.received_at or connection.received_at,
        state.sent_at or connection.sent_at,
    )
    return connection


def _restore_amqp(
    gateway: Gateway, link: AmqpLink, state: AmqpState, peers: dict[tuple[str, str], Peer]
) -> None:
    consumer = link.consumer
    consumer.generation, consumer._last_message_number = state.generation, state.message_number
    consumer.prefetch.limit = consumer.prefetch._bounded(state.prefetch_limit)
    for answered in state.answered:
        ref = _restore_ref(answered, peers, gateway)
        assert isinstance(ref, AmqpRef)
        consumer.known_triggers[message_identity(ref)] = ref
    consumer.outbox = deque(_restore_outbound(message, consumer, peers, gateway) for message in state.outbox)
    in_flight = [
        (number, _restore_outbound(message, consumer, peers, gateway)) for number, message in state.in_flight
    ]
    for batch in state.barriers:
        claims = [PendingAck(_restore_trigger(trigger, peers, gateway), at) for trigger, at in batch]
        for claim in claims:
            consumer.restore_open_trigger(claim.trigger.ref)  # type: ignore[arg-type]
        consumer.pending_acks.append(claims)
    consumer.unconfirmed = OrderedDict(in_flight)
    if state.fd < 0:
        consumer._reset_publish_channel()
        return
    session = consumer.connected()
    session.send_buffer.clear()
    session.state, session.channels = "ready", dict(state.channels)
    session.frame_max = session.wire.decoder.max_frame_bytes = state.frame_max
    session.heartbeat_s, session.channel_max = state.heartbeat_s, state.channel_max
    session.supports_blocked, session.supports_confirms = state.can_block, state.can_confirm
    consumer._can_publish, consumer.up, consumer._announced_prefetch = (
        state.confirming,
        state.up,
        state.sent_prefetch,
    )
    consumer.blocked, consumer.paused = state.blocked, state.paused
    consumer.publish_seq, consumer.connected_at = state.publish_seq, state.connected_at


def _restore_outbound(
    state: OutboundState, consumer: Consumer, peers: dict[tuple[str, str], Peer], gateway: Gateway
) -> OutgoingMessage:
    ref = _restore_ref(state.ref, peers, gateway) if state.ref else None
    assert ref is None or isinstance(ref, AmqpRef)
    if ref:
        consumer.known_triggers[message_identity(ref)] = ref
    return OutgoingMessage(
        state.kind,
        state.exchange,
        state.routing_key,
        state.properties,
        state.body,
        ref,
        state.tries,
        state.returned,
    )


def _restore_ref(state: RefState, peers: dict[tuple[str, str], Peer], gateway: Gateway) -> Ref | AmqpRef:
    if state.kind == "amqp" and (consumer := peers.get((state.kind, state.name))):
        amqp_ref = AmqpRef(
            (consumer, state.generation),
            state.id,
            state.reply,
            state.correlation or "",
            state.key,
            bool(state.qos),
            state.acked,
        )
        amqp_ref.redeliveries = [
            _restore_ref(delivery, peers, gateway) for delivery in state.later_deliveries
        ]  # type: ignore[misc]
        return amqp_ref
    peer = peers.get((state.kind, state.name)) or gateway.discarding_peer()
    ref = Ref(
        state.version,
        (peer, state.generation),
        state.id,
        state.qos,
        state.reply,
        state.correlation,
        state.key,
        state.acked,
    )
    ref.redeliveries = [_restore_ref(delivery, peers, gateway) for delivery in state.later_deliveries]
    return ref


def _restore_trigger(state: TriggerState, peers: dict[tuple[str, str], Peer], gateway: Gateway) -> Trigger:
    known = {name: state.values[stored] for name, stored in _TRIGGER_NAMES.items() if stored in state.values}
    return Trigger(ref=_restore_ref(state.ref, peers, gateway), **known)


def _restore_call(gateway: Gateway, state: CallState, peers: dict[tuple[str, str], Peer]) -> None:
    engine = gateway.engine
    request_class = engine._request_classes.get(
        state.trigger.values["band"]
    ) or snapshot.decode_request_class(state.request_class)
    call = Call(
        state.id,
        _restore_trigger(state.trigger, peers, gateway),
        request_class,
        state.deadline_us,
        state.claimed,
    )
    call.attempts = [
        Attempt(worker, in_flight, Ran(ran), 0, deadline_us)
        for worker, in_flight, ran, deadline_us in state.attempts
    ]
    call.settled, call.streaming, call.may_have_run_before = (
        state.settled,
        state.streaming,
        state.may_have_run_before,
    )
    call.orphan, call.failures_involved = state.orphan, state.failures_involved
    for trigger_state, deadline_us in state.waiters:
        trigger = _restore_trigger(trigger_state, peers, gateway)
        call.waiters.append(Waiter(trigger, 0, deadline_us))
        engine._calls_by_source.setdefault(trigger.source, {})[call.id] = None
        peer: Peer = trigger.ref.connection[0]  # type: ignore[attr-defined]
        peer.restore_open_trigger(trigger.ref)  # type: ignore[arg-type]
    engine._calls[call.id] = call


def activate(gateway: Gateway) -> None:
    """Start the restored gateway: from here this process reads, sends and writes."""
    state, fds = gateway.adopted
    gateway.adopted = None
    names = {listener.name: listener for listener in state.listeners}
    for name, server in _servers(gateway):
        listener = names.get(name)
        if listener and gateway.wants_listener(name, listener.address, listener.port):
            sock = socket.socket(fileno=os.dup(fds[listener.fd]))
            sock.setblocking(False)
            server.add_sockets([sock])
        else:
            gateway.bind(name)
    if state.lock >= 0:
        gateway._lock = os.dup(fds[state.lock])
    if gateway.journal and state.ledger_lock >= 0:
        gateway.journal.adopt(os.dup(fds[state.ledger_lock]), state.segment, state.last_write)
    bounds = gateway.site.listener
    for peer in state.peers:
        if peer.connection is None:
            continue
        if peer.kind == "client" and gateway.endpoint and bounds:
            connection = _restore_connection(peer.connection, fds, bounds.packet_bytes, bounds.waiting_bytes)
            gateway.endpoint.adopt(connection, gateway.endpoint.clients.get(peer.name))
            if peer.connection.unsent:
                connection.stream.write(peer.connection.unsent)
        for s in gateway.subscribers:
            if peer.kind == "broker" and s.link.name == peer.name:
                connection = _restore_connection(
                    peer.connection, fds, s.link.max_packet_bytes, s.link.max_unsent_bytes
                )
                s.adopt(connection, peer.up)
                if peer.connection.unsent:
                    connection.stream.write(peer.connection.unsent)
    for amqp in state.amqp:
        for link in gateway.amqp:
            if link.link.name == amqp.name and amqp.fd >= 0:
                _adopt_amqp_connection(link, amqp, fds)
    for job in state.jobs:
        _resume_job(gateway, job, fds)
    for fd in fds:
        os.close(fd)


def _adopt_amqp_connection(link: AmqpLink, state: AmqpState, fds: list[int]) -> None:
    sock = socket.socket(fileno=os.dup(fds[state.fd]))
    sock.setblocking(False)
    stream = IOStream(sock, max_write_buffer_size=link.link.max_unsent_bytes)
    link.adopt(stream)
    if state.unsent:
        stream.write(state.unsent)
    session = link.consumer.session
    if state.unparsed and session:
        link._on_data(session, state.unparsed)


def _resume_job(gateway: Gateway, state: JobState, fds: list[int]) -> None:
    link = gateway.link
    job = link.restore_job(
        state.kind,
        state.worker,
        state.id,
        state.number,
        state.data,
        state.started_s,
        state.deadline_s,
        state.streamed,
    )
    if state.fd < 0:
        link._dispatch(job)
        return
    sock = socket.socket(fileno=os.dup(fds[state.fd]))
    sock.setblocking(False)
    connection = WorkerConnection(link, state.worker, IOStream(sock), link._bounds.answer)
    link._workers.setdefault(state.worker, _Worker()).open += 1
    link.resume_job(job, connection, state.unsent, state.partial_response)
