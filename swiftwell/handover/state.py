"""Everything of a running gateway as one versioned state with its descriptors: taken, given to another
process, or put back.

`freeze` stops reading and sending, so that nothing changes any more; `thaw` goes on as if nothing had been;
`restore` builds the same in a gateway that has not started; `activate` lets that one go.  Times are
monotonic us, one clock for all processes of a machine; the wall clock's anchor is carried, so that both
processes tell the same wall time.
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
from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.consumer import Claim, Consumer, Out, twin
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

VERSION = 1  # of the state; a reader takes any version, by the defaults below
_STORED_NAMES = {
    "request_class": "band",
    "redelivered": "again",
    "maybe_seen_elsewhere": "elsewhere",
    "rejection": "turned",
}  # the fields of a trigger that are stored under another name
_TRIGGER = {one.name: _STORED_NAMES.get(one.name, one.name) for one in fields(Trigger) if one.name != "ref"}


class RefState(msgspec.Struct):
    """Where an answer goes: its peer by kind ("client", "broker", "") and name."""

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
    also: list[RefState] = []


class TriggerState(msgspec.Struct):
    """A trigger; `values` by the stored names of its fields."""

    values: dict[str, Any]
    ref: RefState


class CallState(msgspec.Struct):
    """A call of the engine."""

    id: str
    trigger: TriggerState
    request_class: dict[str, Any] = msgspec.field(name="band")
    deadline_us: int
    claimed: bool = False
    waiters: list[tuple[TriggerState, int]] = []
    attempts: list[tuple[str, bool, str, int]] = []  # worker, out, ran, until
    settled: bool = False
    streaming: bool = False
    doubted: bool = False
    orphan: bool = False
    blames: int = 0


class SessionState(msgspec.Struct):
    """A session's two directions."""

    open: dict[int, int] = {}
    received: list[int] = []
    window: int = 65_535
    waiting: list[Publish] = []
    flight: list[tuple[int, Publish | None]] = []
    next: int = 0
    filters: dict[str, int] = {}


class ConnectionState(msgspec.Struct):
    """A connection: its descriptor's place in the list, and what it had half read and half sent."""

    fd: int
    version: int
    pending: bytes = b""
    unsent: bytes = b""
    connected: bool = False
    peer_most: int = 0
    heard: float = 0.0
    spoke: float = 0.0


class PeerState(msgspec.Struct):
    """A client of the endpoint (or a connection that has not said who it is, name ""), or a broker."""

    kind: str
    name: str
    session: SessionState = msgspec.field(default_factory=SessionState)
    generation: int = 0
    connection: ConnectionState | None = None
    expiry: float = 0.0
    until: float = 0.0
    keep_alive: float = 0.0
    will_at: float = 0.0
    will: Will | None = None
    up: bool = False


class JobState(msgspec.Struct):
    """An attempt or order on its way: "run" with (call, number), "order" with its number, "ask" with its
    worker."""

    kind: str
    worker: str
    id: str = ""
    number: int = 0
    fd: int = -1  # none: it was waiting for a connection, and is begun anew
    data: bytes = b""
    unsent: bytes = b""
    raw: bytes = b""  # what of its answer has come
    began: float = 0.0
    until: float = 0.0  # of orders and questions, monotonic s
    streamed: bool = False


class ListenerState(msgspec.Struct):
    """A listening socket."""

    name: str
    address: str
    port: int
    fd: int


class OutState(msgspec.Struct):
    """A message to an AMQP broker that it has not confirmed."""

    kind: str
    exchange: str
    key: str
    properties: Properties
    body: bytes = b""
    ref: RefState | None = None
    tries: int = 0
    returned: bool = False


class AmqpState(msgspec.Struct):
    """The link to an AMQP broker with its connection, if that is open."""

    name: str
    fd: int = -1
    pending: bytes = b""
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
    told: int = 0
    since: float = 0.0
    generation: int = 0
    seq: int = 0
    number: int = 0
    limit: int = 0
    barriers: list[list[tuple[TriggerState, float]]] = []
    outbox: list[OutState] = []
    flight: list[tuple[int, OutState]] = []
    done: list[RefState] = []  # answered of late, in case they are delivered again


class RosterState(msgspec.Struct):
    """What is known of workers, beside what the module knows."""

    known: list[dict[str, Any]] = []
    live: bool = False
    size_since: int = 0


class GatewayState(msgspec.Struct):
    """All of it."""

    version: int = VERSION
    name: str = ""
    anchor_us: int = 0
    calls: list[CallState] = []
    ledger: list[Record] = []
    running: list[tuple[str, str, str]] = []  # tenant, key, call
    holes_until: int = 0
    shut_why: str = ""
    segment: int = 0
    numbers: int = 0
    writes: int = 0
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
    """The state as bytes."""
    return msgspec.msgpack.encode(state)


def decode(raw: bytes) -> GatewayState:
    """And back; raises msgspec.DecodeError or msgspec.ValidationError."""
    return msgspec.msgpack.decode(raw, type=GatewayState)


# Streams at rest.


def _rest(stream: IOStream) -> None:
    """Read and send nothing more on a stream; what the kernel has stays there."""
    if not stream.closed() and stream._state is not None:
        IOLoop.current().remove_handler(stream.fileno())


def _wake(stream: IOStream) -> None:
    if not stream.closed() and stream._state is not None:
        IOLoop.current().add_handler(stream.fileno(), stream._handle_events, stream._state)


def _unsent(stream: IOStream) -> bytes:
    """What a stream has taken and not handed to the kernel, left where it is."""
    buffer = stream._write_buffer
    out, skip = [], buffer._first_pos
    for _, part in buffer._buffers:
        out.append(bytes(part[skip:]))
        skip = 0
    return b"".join(out)


def _servers(gateway: Gateway) -> list[tuple[str, Any]]:
    found = []
    if gateway.endpoint:
        found.append(("mqtt", gateway.endpoint._server))
    if gateway._health:
        found.append(("health", gateway._health))
    return found


def listening_sockets(gateway: Gateway) -> list[tuple[str, str, int]]:
    """Name, address and port of every listening socket."""
    return [
        (name, *sock.getsockname()[:2])
        for name, server in _servers(gateway)
        for sock in server._sockets.values()
    ]


def _streams(gateway: Gateway) -> list[IOStream]:
    out = []
    if gateway.endpoint:
        out += [connection.stream for connection in gateway.endpoint._connections]
    out += [s.peer.connection.stream for s in gateway.subscribers if s.peer.connection]
    out += [link.stream for link in gateway.amqp if link.stream]
    for worker in gateway.link._workers.values():
        out += [connection.stream for connection in worker.idle]
    out += [job.connection.stream for job in gateway.link.all_jobs() if job.connection]
    return out


def _sweeping(gateway: Gateway, on: bool) -> None:
    """What looks after sessions, keep-alives and idle connections must not change what is being taken."""
    for callback in [gateway._sweeper, *([gateway.endpoint._sweep] if gateway.endpoint else [])]:
        callback.start() if on else callback.stop()
    for link in (*gateway.subscribers, *gateway.amqp):
        link.resting = not on
    for link in gateway.amqp:
        link.consumer.rest(not on)


async def freeze(gateway: Gateway, within_s: float) -> None:
    """Come to rest: nothing is accepted, read or sent, the ledger is on disk, every input has been taken.

    Raises TimeoutError, after which `thaw` goes on.
    """
    for _, server in _servers(gateway):
        for fd in list(server._handlers):
            server._handlers.pop(fd)()
    gateway.resting = _streams(gateway)
    for stream in gateway.resting:
        _rest(stream)
    gateway.link.hold(True)
    _sweeping(gateway, False)
    until = time.monotonic() + within_s
    # What had been read already runs through; the ledger catches up.
    while True:
        for _ in range(3):
            await asyncio.sleep(0)
        idle = not gateway._inputs and not gateway._stepping and not gateway.engine.awaiting
        if idle and not (gateway.journal and gateway.journal.busy):
            break
        if time.monotonic() > until:
            raise TimeoutError("the ledger did not come to rest")
        await asyncio.sleep(0.001)
    gateway.frozen = True


def thaw(gateway: Gateway) -> None:
    """Go on as if nothing had been."""
    gateway.frozen = False
    for stream in gateway.resting:
        _wake(stream)
    gateway.resting = []
    for _, server in _servers(gateway):
        server.add_sockets(list(server._sockets.values()))
    gateway.link.hold(False)
    _sweeping(gateway, True)
    gateway.resume()


# Taking.


def capture(gateway: Gateway) -> tuple[GatewayState, list[int]]:
    """The state of a frozen gateway and the descriptors that go with it."""
    fds: list[int] = []

    def add(fd: int) -> int:
        fds.append(fd)
        return len(fds) - 1

    engine, ledger = gateway.engine, gateway.ledger
    state = GatewayState(name=gateway.site.name, anchor_us=gateway.clock.anchor_us)
    for name, server in _servers(gateway):
        for fd, sock in server._sockets.items():
            address, port = sock.getsockname()[:2]
            state.listeners.append(ListenerState(name, address, port, add(fd)))
    state.calls = [_call_out(gateway, call) for call in engine._calls.values()]
    state.ledger = ledger.records()
    state.running = [(t, k, e.call) for (t, k), e in ledger._entries.items() if e.call]
    state.holes_until, state.shut_why = ledger.gap_until, ledger.closed_reason
    state.numbers, state.writes, state.counts = engine._numbers, engine._writes, dict(engine.counts)
    # A gateway that hands over asks no worker: each of its orders is for copies.
    state.orders = [
        (number, order.worker, order.function, order.sent_us, order.due_us)
        for number, order in engine._orders.items()
    ]
    if gateway.endpoint:
        for client in gateway.endpoint.clients.values():
            one = PeerState("client", client.client, _session_out(client.session), client.generation)
            one.connection = _connection_out(client.connection, add)
            one.expiry, one.until, one.keep_alive = client.expiry, client.until, client.keep_alive
            one.will, one.will_at = client.will, client.will_at
            state.peers.append(one)
        known = {client.connection for client in gateway.endpoint.clients.values()}
        for connection in gateway.endpoint._connections - known:  # who has not said who it is
            if not connection.closed:
                state.peers.append(PeerState("client", "", connection=_connection_out(connection, add)))
    for s in gateway.subscribers:
        one = PeerState("broker", s.link.name, _session_out(s.peer.session), s.peer.generation, up=s.up)
        one.connection = _connection_out(s.peer.connection, add)
        state.peers.append(one)
    state.amqp = [_amqp_out(link, add) for link in gateway.amqp]
    for key, job in gateway.link._jobs.items():
        state.jobs.append(_job_out(job, add, "run", id=key[0], number=key[1]))
    for job, (kind, number) in gateway.link.others.items():
        state.jobs.append(_job_out(job, add, kind, number=number))
    for known in engine.roster.known.values():
        values = {one.name: getattr(known, one.name) for one in fields(Known) if one.name != "entry"}
        entry = {one.name: getattr(known.entry, one.name) for one in fields(io.WorkerEntry)}
        state.roster.known.append(values | {"entry": entry | {"state": known.entry.state.value}})
    state.roster.live, state.roster.size_since = engine.roster.live, engine.roster.size_since
    state.router = snapshot.capture(engine.router)
    if gateway._lock >= 0:
        state.lock = add(gateway._lock)
    if gateway.journal:
        state.ledger_lock, state.segment = add(gateway.journal._lock), gateway.journal._segment
    return state, fds


def _peer_key(peer: Peer) -> tuple[str, str]:
    kind, _, name = peer.source.partition(":")
    return ({"mqtt": "client", "broker": "broker"}.get(kind, ""), name)


def _amqp_out(link: AmqpLink, add: Any) -> AmqpState:
    consumer, session = link.consumer, link.consumer.session
    one = AmqpState(link.link.name, generation=consumer.generation, number=consumer._number)
    one.limit, one.since = consumer.prefetch.limit, consumer.since
    waiting = [*consumer.outbox, *(out for _, _, out in consumer.later)]
    one.outbox = [_out_out(out) for out in waiting]
    one.flight = [(number, _out_out(out)) for number, out in consumer.flight.items()]
    one.barriers = [
        [(_trigger_out(claim.trigger), claim.at) for claim in batch] for batch in consumer.barriers
    ]
    one.done = [_ref_out(ref) for ref in consumer.twins.values() if ref.acked]
    if session is None or session.state != "ready" or link.stream is None or link.stream.closed():
        return one  # the other process connects by itself
    one.fd = add(link.stream.socket.fileno())
    parked = b"".join(
        codec.encode_content(event.channel, event.method, event.properties, event.body, session.frame_max)
        for event in consumer.parked
        if event.properties
    )
    one.pending = parked + session.wire.pending()
    one.unsent = _unsent(link.stream) + bytes(session.out)
    one.frame_max, one.heartbeat_s = session.frame_max, session.heartbeat_s
    one.channel_max, one.channels = session.channel_max, dict(session.channels)
    one.can_block, one.can_confirm = session.can_block, session.can_confirm
    one.confirming, one.up, one.told = consumer._confirming, consumer.up, consumer._told
    one.blocked, one.paused, one.seq = consumer.blocked, consumer.paused, consumer.seq
    return one


def _out_out(out: Out) -> OutState:
    ref = _ref_out(out.ref) if out.ref else None
    return OutState(out.kind, out.exchange, out.key, out.properties, out.body, ref, out.tries, out.returned)


def _ref_out(ref: Ref | AmqpRef) -> RefState:
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
            [_ref_out(one) for one in ref.also],
        )
    peer, generation = ref.connection
    also = [_ref_out(one) for one in ref.also]
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
        also,
    )


def _trigger_out(trigger: Trigger) -> TriggerState:
    return TriggerState(
        {stored: getattr(trigger, name) for name, stored in _TRIGGER.items()},
        _ref_out(trigger.ref),  # type: ignore[arg-type]
    )


def _call_out(gateway: Gateway, call: Call) -> CallState:
    return CallState(
        call.id,
        _trigger_out(call.trigger),
        snapshot.encode_request_class(call.request_class),
        call.deadline_us,
        call.claimed,
        [(_trigger_out(w.trigger), w.deadline_us) for w in call.waiters],
        [(a.worker, a.in_flight, a.ran.value, a.deadline_us) for a in call.attempts],
        call.settled,
        call.streaming,
        call.may_have_run_before,
        call.orphan,
        call.failures_involved,
    )


def _session_out(session: Session) -> SessionState:
    box, out = session.inbox, session.outbox
    return SessionState(
        dict(box._open),
        sorted(box._received),
        out.window,
        list(out._waiting),
        list(out._flight.items()),
        out._next,
        dict(session.filters),
    )


def _connection_out(connection: Connection | None, add: Any) -> ConnectionState | None:
    if connection is None or connection.closed or connection.stream.closed():
        return None
    return ConnectionState(
        add(connection.stream.socket.fileno()),
        connection.version,
        bytes(connection.decoder._buffer),
        _unsent(connection.stream),
        connection.connected,
        connection.peer_most,
        connection.heard,
        connection.spoke,
    )


def _job_out(job: _Job, add: Any, kind: str, **more: Any) -> JobState:
    out = JobState(kind, job.worker, data=job.data, began=job.began, until=job.until, **more)
    out.streamed = job.first is not None
    connection = job.connection
    if connection and job.written and not connection.stream.closed():
        out.fd, out.unsent, out.raw = (
            add(connection.stream.socket.fileno()),
            _unsent(connection.stream),
            bytes(connection.raw),
        )
    return out


# Putting back.


def restore(gateway: Gateway, state: GatewayState, fds: list[int]) -> None:
    """Build the state in a gateway that has not started; nothing is read, sent or written until `activate`.

    Raises whatever is wrong; the descriptors are then the caller's to close.
    """
    gateway.clock.anchor_us = state.anchor_us
    engine, ledger = gateway.engine, gateway.ledger
    snapshot.restore(engine.router, state.router)
    engine.start_at(gateway.clock.now_us(), gateway.clock.wall_us())
    for record in state.ledger:
        ledger.replay(record)
    for tenant, key, call in state.running:
        ledger.reclaim(tenant, key, call)
    ledger.gap_until, ledger.closed_reason = state.holes_until, state.shut_why
    engine._numbers, engine._writes = state.numbers, state.writes
    engine.counts.update(state.counts)
    for known in state.roster.known:
        raw = dict(known.pop("entry"))
        entry = io.WorkerEntry(**raw | {"state": WorkerState(raw["state"])})
        names = {one.name for one in fields(Known)}
        engine.roster.known[entry.worker] = Known(entry, **{k: v for k, v in known.items() if k in names})
    engine.roster.live, engine.roster.size_since = state.roster.live, state.roster.size_since
    gateway.build_fronts()
    peers: dict[tuple[str, str], Peer] = {}
    for one in state.peers:
        _peer_in(gateway, one, fds, peers)
    for link in gateway.amqp:
        peers["amqp", link.link.name] = link.consumer  # type: ignore[assignment]
    for told in state.amqp:
        for link in gateway.amqp:
            if link.link.name == told.name:
                _amqp_in(gateway, link, told, peers)
    for call in state.calls:
        _call_in(gateway, call, peers)
    engine.restore_timers(
        (number, Order(worker, function, 1, sent_us, due_us))
        for number, worker, function, sent_us, due_us in state.orders
    )
    gateway.adopted = (state, fds)


def _peer_in(gateway: Gateway, one: PeerState, fds: list[int], peers: dict[tuple[str, str], Peer]) -> None:
    peer: Peer | None = None
    if one.kind == "client" and gateway.endpoint and one.name:
        client = gateway.endpoint.new_client(one.name)
        client.expiry, client.until, client.keep_alive = one.expiry, one.until, one.keep_alive
        client.will, client.will_at = one.will, one.will_at
        peer = client
    elif one.kind == "broker":
        peer = next((s.peer for s in gateway.subscribers if s.link.name == one.name), None)
    if peer is None:
        return  # its front is not part of the new settings: its connection ends with the old process
    session = peer.session
    session.inbox._open, session.inbox._received = dict(one.session.open), set(one.session.received)
    box = session.outbox
    box.window, box._waiting = one.session.window, deque(one.session.waiting)
    box._flight, box._next = OrderedDict(one.session.flight), one.session.next
    session.filters = dict(one.session.filters)
    peer.generation = one.generation
    peers[one.kind, one.name] = peer


def _connection_in(one: ConnectionState, fds: list[int], most_packet: int, most_out: int) -> Connection:
    sock = socket.socket(fileno=os.dup(fds[one.fd]))
    sock.setblocking(False)
    connection = Connection(IOStream(sock), one.version, most_packet, most_out)
    connection.decoder._buffer = bytearray(one.pending)
    connection.decoder.version, connection.connected, connection.peer_most = (
        one.version,
        one.connected,
        one.peer_most,
    )
    connection.heard, connection.spoke = one.heard or connection.heard, one.spoke or connection.spoke
    return connection


def _amqp_in(gateway: Gateway, link: AmqpLink, one: AmqpState, peers: dict[tuple[str, str], Peer]) -> None:
    consumer = link.consumer
    consumer.generation, consumer._number = one.generation, one.number
    consumer.prefetch.limit = consumer.prefetch._bounded(one.limit)
    for told in one.done:
        ref = _ref_in(told, peers, gateway)
        assert isinstance(ref, AmqpRef)
        consumer.twins[twin(ref)] = ref
    consumer.outbox = deque(_out_in(out, consumer, peers, gateway) for out in one.outbox)
    flight = [(number, _out_in(out, consumer, peers, gateway)) for number, out in one.flight]
    for batch in one.barriers:
        claims = [Claim(_trigger_in(told, peers, gateway), at) for told, at in batch]
        for claim in claims:
            consumer.waits_again(claim.trigger.ref)  # type: ignore[arg-type]
        consumer.barriers.append(claims)
    consumer.flight = OrderedDict(flight)
    if one.fd < 0:
        consumer._lost_publishing()
        return
    session = consumer.connected()
    session.out.clear()
    session.state, session.channels = "ready", dict(one.channels)
    session.frame_max = session.wire.decoder.most = one.frame_max
    session.heartbeat_s, session.channel_max = one.heartbeat_s, one.channel_max
    session.can_block, session.can_confirm = one.can_block, one.can_confirm
    consumer._confirming, consumer.up, consumer._told = one.confirming, one.up, one.told
    consumer.blocked, consumer.paused = one.blocked, one.paused
    consumer.seq, consumer.since = one.seq, one.since


def _out_in(one: OutState, consumer: Consumer, peers: dict[tuple[str, str], Peer], gateway: Gateway) -> Out:
    ref = _ref_in(one.ref, peers, gateway) if one.ref else None
    assert ref is None or isinstance(ref, AmqpRef)
    if ref:
        consumer.twins[twin(ref)] = ref
    return Out(one.kind, one.exchange, one.key, one.properties, one.body, ref, one.tries, one.returned)


def _ref_in(one: RefState, peers: dict[tuple[str, str], Peer], gateway: Gateway) -> Ref | AmqpRef:
    if one.kind == "amqp" and (consumer := peers.get((one.kind, one.name))):
        amqp = AmqpRef(
            (consumer, one.generation),
            one.id,
            one.reply,
            one.correlation or "",
            one.key,
            bool(one.qos),
            one.acked,
        )
        amqp.also = [_ref_in(also, peers, gateway) for also in one.also]  # type: ignore[misc]
        return amqp
    peer = peers.get((one.kind, one.name)) or gateway.nobody()
    ref = Ref(
        one.version, (peer, one.generation), one.id, one.qos, one.reply, one.correlation, one.key, one.acked
    )
    ref.also = [_ref_in(also, peers, gateway) for also in one.also]
    return ref


def _trigger_in(one: TriggerState, peers: dict[tuple[str, str], Peer], gateway: Gateway) -> Trigger:
    known = {name: one.values[stored] for name, stored in _TRIGGER.items() if stored in one.values}
    return Trigger(ref=_ref_in(one.ref, peers, gateway), **known)


def _call_in(gateway: Gateway, one: CallState, peers: dict[tuple[str, str], Peer]) -> None:
    engine = gateway.engine
    request_class = engine._request_classes.get(one.trigger.values["band"]) or snapshot.decode_request_class(
        one.request_class
    )
    call = Call(one.id, _trigger_in(one.trigger, peers, gateway), request_class, one.deadline_us, one.claimed)
    call.attempts = [Attempt(worker, out, Ran(ran), 0, until) for worker, out, ran, until in one.attempts]
    call.settled, call.streaming, call.may_have_run_before = one.settled, one.streaming, one.doubted
    call.orphan, call.failures_involved = one.orphan, one.blames
    for told, until in one.waiters:
        trigger = _trigger_in(told, peers, gateway)
        call.waiters.append(Waiter(trigger, 0, until))
        engine._calls_by_source.setdefault(trigger.source, {})[call.id] = None
        peer: Peer = trigger.ref.connection[0]  # type: ignore[attr-defined]
        peer.waits_again(trigger.ref)  # type: ignore[arg-type]
    engine._calls[call.id] = call


def activate(gateway: Gateway) -> None:
    """This process owns everything now: read, send, write."""
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
        gateway.journal.adopt(os.dup(fds[state.ledger_lock]), state.segment, state.writes)
    bounds = gateway.site.listener
    for one in state.peers:
        if one.connection is None:
            continue
        if one.kind == "client" and gateway.endpoint and bounds:
            connection = _connection_in(one.connection, fds, bounds.packet_bytes, bounds.waiting_bytes)
            gateway.endpoint.adopt(connection, gateway.endpoint.clients.get(one.name))
            if one.connection.unsent:
                connection.stream.write(one.connection.unsent)
        for s in gateway.subscribers:
            if one.kind == "broker" and s.link.name == one.name:
                connection = _connection_in(one.connection, fds, s.link.packet, s.link.waiting_out)
                s.adopt(connection, one.up)
                if one.connection.unsent:
                    connection.stream.write(one.connection.unsent)
    for told in state.amqp:
        for link in gateway.amqp:
            if link.link.name == told.name and told.fd >= 0:
                _amqp_adopt(link, told, fds)
    for job in state.jobs:
        _job_in(gateway, job, fds)
    for fd in fds:
        os.close(fd)


def _amqp_adopt(link: AmqpLink, one: AmqpState, fds: list[int]) -> None:
    sock = socket.socket(fileno=os.dup(fds[one.fd]))
    sock.setblocking(False)
    stream = IOStream(sock, max_write_buffer_size=link.link.waiting_out)
    link.adopt(stream)
    if one.unsent:
        stream.write(one.unsent)
    session = link.consumer.session
    if one.pending and session:
        link._take(session, one.pending)


def _job_in(gateway: Gateway, one: JobState, fds: list[int]) -> None:
    link = gateway.link
    job = link.job_again(
        one.kind, one.worker, one.id, one.number, one.data, one.began, one.until, one.streamed
    )
    if one.fd < 0:
        link._begin(job)
        return
    sock = socket.socket(fileno=os.dup(fds[one.fd]))
    sock.setblocking(False)
    connection = WorkerConnection(link, one.worker, IOStream(sock), link._bounds.answer)
    link._workers.setdefault(one.worker, _Worker()).open += 1
    link.carry_on(job, connection, one.unsent, one.raw)
