"""The settings of one gateway at one site: the document's classes, the checks across them, and what they
mean to the
module."""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from swiftwell import interface as io
from swiftwell.fronts.amqp.redelivery import Redelivered
from swiftwell.fronts.message_reader import FunctionHint
from swiftwell.settings.document import Node, SettingsError, parse, text_of
from swiftwell.settings.schema import Reader, setting

_DAY_MS = 86_400_000
_EFFECTS = {"safe": io.Effect.SAFE, "keyed": io.Effect.KEYED, "unsafe": io.Effect.UNSAFE}


@dataclass(frozen=True, kw_only=True)
class Class:
    """A class of calls."""

    name: str = setting(arg=True, low=1, doc="name of the class, a level of the trigger topic")
    effect: str = setting(
        "safe",
        choice=tuple(_EFFECTS),
        doc="safe to repeat, keyed (workers drop repeats), or unsafe (must never run twice)",
    )
    wanted_ms: int = setting(low=1, high=_DAY_MS, doc="ms within which an answer has its full worth")
    deadline_ms: int = setting(low=1, high=_DAY_MS, doc="ms after which its clients give up at the latest")
    worth: float = setting(
        1.0, low=0.0, high=1e6, doc="what an answer in time is worth against other classes"
    )
    late_worth: float = setting(0.0, low=0.0, high=1.0, doc="part of the worth that a late answer has")
    scope: str = setting(
        "all", choice=("all", "zone", "cell"), doc="keyed: which workers drop repeats of each other's calls"
    )
    memory_ms: int = setting(0, low=0, high=_DAY_MS, doc="keyed: ms for which workers drop repeats")
    streamed: bool = setting(False, doc="answers begin before they end")


@dataclass(frozen=True, kw_only=True)
class MachineKind:
    """A kind of machine."""

    name: str = setting(arg=True, low=1, doc="name, as the list of workers states it")
    memory_mb: float = setting(low=1, high=1e9, doc="MB for loaded copies")


@dataclass(frozen=True, kw_only=True)
class Function:
    """What is known of functions beforehand."""

    pattern: str = setting(
        arg=True, low=1, doc="function or pattern with * and ?; the first that fits counts"
    )
    memory_mb: float = setting(0.0, low=0, high=1e9, doc="MB that a loaded copy takes")
    lanes: int = setting(1, low=1, high=1024, doc="calls that a copy runs at a time")
    load_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms that a load usually takes; 0 is unknown")
    work_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms that a call usually takes; 0 is unknown")


@dataclass(frozen=True, kw_only=True)
class StaticWorker:
    """A worker that is always on the list."""

    address: str = setting(arg=True, low=3, doc="HOST:PORT")
    kind: str = setting("", doc="kind of machine")
    zone: str = setting("", doc="room or zone")
    cell: int = setting(0, low=0, high=1_000_000, doc="group that drops repeats together")


@dataclass(frozen=True, kw_only=True)
class ListService:
    """Servers that know the workers."""

    servers: tuple[str, ...] = setting((), doc="HOST:PORT of each server, in the order they are tried")
    service: str = setting("calc", low=1, doc="name of the service that the workers are instances of")
    wait_s: int = setting(10, low=1, high=600, doc="s that a question may wait for a change")
    peers: tuple[str, ...] = setting(
        (), doc="HOST:PORT of other gateways' health pages, asked while no server answers"
    )
    save: bool = setting(True, doc="keep the list in the state folder, to start from when no server answers")


@dataclass(frozen=True, kw_only=True)
class Workers:
    """Workers and what they can do."""

    worker: tuple[StaticWorker, ...] = setting((), doc="a worker that is always on the list")
    file: str = setting("", doc="file of `worker` nodes, watched for changes")
    list: ListService | None = setting(None, doc="a list service, asked for changes")
    zone: str = setting("", doc="zone of this gateway")
    orders: bool = setting(True, doc="workers take orders to load")
    misses: bool = setting(False, doc="a worker without a copy answers miss, it loads by order only")
    idle_life_ms: int = setting(10_000, low=0, high=_DAY_MS, doc="ms that an idle copy stays loaded at least")
    order_timeout_ms: int = setting(10_000, low=1, high=_DAY_MS, doc="ms until an order counts as unanswered")
    load_free: float = setting(
        0.0, low=0, high=1e6, doc="orders to load allowed in a window, whatever the traffic"
    )
    load_share: float = setting(
        0.0, low=0, high=1e3, doc="and so many more for each call taken in the window"
    )
    load_window_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms of that window; 0 is no limit")
    attempts: int = setting(3, low=1, high=16, doc="attempts for one call at most")
    second_copies: bool = setting(False, doc="a second attempt may start while the first runs")
    cancel: bool = setting(True, doc="an attempt may be given up before its time")
    cold_share: float = setting(1.0, low=0.001, high=1, doc="part of its work that a started worker can do")
    cold_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms until a started worker is warm")
    fall_multiple: float = setting(1.0, low=0.001, high=1e3, doc="times that part at which it falls over")
    fall_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms of such load after which it falls over")
    connections: int = setting(64, low=1, high=4096, doc="connections to one worker at most")
    worker_connections: int = setting(
        0, low=0, high=1_000_000,
        doc="connections to one worker from all gateways together: the fleet's budget `connections`; 0 none",
    )  # fmt: skip
    connect_ms: int = setting(250, low=1, high=60_000, doc="ms until a connection counts as failed")
    answer_bytes: int = setting(1 << 20, low=1, high=1 << 28, doc="bytes of an answer at most")


@dataclass(frozen=True, kw_only=True)
class User:
    """A user name with its password."""

    name: str = setting(arg=True, low=1, doc="user name")
    password: str = setting(low=1, doc="password")


@dataclass(frozen=True, kw_only=True)
class Listener:
    """The MQTT endpoint."""

    address: str = setting("127.0.0.1", low=1, doc="address to listen on")
    port: int = setting(1883, low=0, high=65_535, doc="port; 0 takes a free one")
    connections: int = setting(10_000, low=1, high=1_000_000, doc="connections at most")
    sessions: int = setting(20_000, low=1, high=1_000_000, doc="sessions at most, connected or not")
    receive_maximum: int = setting(256, low=1, high=65_535, doc="unacknowledged triggers of one client")
    packet_bytes: int = setting(262_144, low=64, high=1 << 28, doc="bytes of a packet at most")
    waiting_bytes: int = setting(1 << 22, low=1_024, high=1 << 30, doc="bytes that may wait for one client")
    waiting_answers: int = setting(256, low=1, high=65_535, doc="answers that may wait for one client")
    open_calls: int = setting(1_024, low=1, high=1_000_000, doc="triggers of one client without an answer")
    session_s: int = setting(
        3_600, low=0, high=_DAY_MS, doc="s that a session outlives its connection at most"
    )
    keep_alive_s: int = setting(300, low=1, high=65_535, doc="s between two packets of a client at most")
    user: tuple[User, ...] = setting((), doc="who may connect; without any, everyone may")


@dataclass(frozen=True, kw_only=True)
class Broker:
    """An MQTT broker that brings triggers."""

    name: str = setting(arg=True, low=1, doc="name, for the log")
    address: tuple[str, ...] = setting(doc="HOST:PORT, one or several that are tried in turn")
    client_id: str = setting("", doc="client identifier; the gateway's name where none is given")
    share: str = setting("", doc="name of a shared subscription, where several gateways take turns")
    version: str = setting("5.0", choice=("5.0", "3.1.1"), doc="protocol version")
    username: str = setting("", doc="user name")
    password: str = setting("", doc="password")
    keep_alive_s: int = setting(30, low=1, high=65_535, doc="s between two packets of ours at most")
    session_s: int = setting(3_600, low=0, high=_DAY_MS, doc="s that the broker keeps our session")
    receive_maximum: int = setting(256, low=1, high=65_535, doc="triggers that we leave unacknowledged")
    packet_bytes: int = setting(262_144, low=64, high=1 << 28, doc="bytes of a packet at most")
    waiting_answers: int = setting(10_000, low=1, high=65_535, doc="answers that may wait for the broker")
    open_calls: int = setting(10_000, low=1, high=1_000_000, doc="its triggers without an answer")


@dataclass(frozen=True, kw_only=True)
class AmqpQueue:
    """A queue that triggers come from."""

    name: str = setting(arg=True, low=1, high=255, doc="name of the queue")
    declare: bool = setting(True, doc="make it where it is not there; else it must be there")
    durable: bool = setting(True, doc="it outlives a restart of the broker")
    exchange: str = setting("", low=0, high=255, doc="exchange that it is bound to; none: written to by name")
    exchange_type: str = setting("topic", choice=("topic", "direct", "fanout"), doc="type of the exchange")
    key: tuple[str, ...] = setting((), doc="routing keys that it is bound by; none is all")
    dead_letter: str = setting("", low=0, high=255, doc="exchange for what the broker drops, as it is made")
    max_priority: int = setting(0, low=0, high=255, doc="priorities that it knows, as it is made; 0 is none")


@dataclass(frozen=True, kw_only=True)
class AmqpBroker:
    """An AMQP 0-9-1 broker that brings triggers."""

    name: str = setting(arg=True, low=1, doc="name, for the log")
    address: tuple[str, ...] = setting(doc="HOST:PORT, one or several that are tried in turn")
    queues: tuple[AmqpQueue, ...] = setting(node="queue", doc="a queue that triggers come from")
    vhost: str = setting("/", low=1, high=255, doc="virtual host")
    username: str = setting("guest", doc="user name")
    password: str = setting("guest", doc="password")
    heartbeat_s: int = setting(30, low=1, high=3_600, doc="s between heartbeats that we ask for")
    frame_bytes: int = setting(131_072, low=4_096, high=1 << 24, doc="bytes of a frame that we ask for")
    body_bytes: int = setting(262_144, low=1, high=1 << 28, doc="bytes of a trigger at most")
    prefetch_least: int = setting(1, low=1, high=65_535, doc="unanswered triggers that we hold at least")
    prefetch_most: int = setting(2_000, low=1, high=65_535, doc="and at most; equal to the least it is fixed")
    redelivered: str = setting(
        "known",
        choice=tuple(one.value for one in Redelivered),
        doc="triggers with effects that were delivered before: run what is known not to have run, or never",
    )
    dead_letter: str = setting("", low=0, high=255, doc="exchange for what can't be read, with the reason")
    unroutable: str = setting("", low=0, high=255, doc="queue for answers whose reply queue is gone")
    waiting_answers: int = setting(10_000, low=1, high=1_000_000, doc="answers that may wait for the broker")
    waiting_bytes: int = setting(1 << 24, low=1 << 16, high=1 << 30, doc="bytes that may wait for it")
    open_calls: int = setting(10_000, low=1, high=1_000_000, doc="its triggers without an answer")


@dataclass(frozen=True, kw_only=True)
class LedgerSettings:
    """The ledger of effects."""

    folder: str = setting("ledger", low=1, doc="folder, below the state folder")
    keep_s: int = setting(
        86_400, low=1, high=31_536_000, doc="s that a key is remembered after its last record"
    )
    entries: int = setting(
        200_000, low=1, high=100_000_000, doc="keys at most; beyond it unsafe calls are refused"
    )
    bytes: int = setting(1 << 28, low=1 << 17, high=1 << 34, doc="bytes of keys and answers at most")


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """The log."""

    format: str = setting("console", choice=("console", "json"), doc="form of a line")
    level: str = setting("info", choice=("debug", "info", "warning", "error"), doc="least level written")
    per_kind: int = setting(
        20, low=1, high=100_000, doc="lines of one kind in ten seconds; the rest is counted"
    )


@dataclass(frozen=True, kw_only=True)
class Health:
    """The page for health and figures."""

    address: str = setting("127.0.0.1", low=1, doc="address to listen on")
    port: int = setting(0, low=0, high=65_535, doc="port; 0 takes a free one")


@dataclass(frozen=True, kw_only=True)
class FleetMember:
    """One gateway of the fleet; the order of the members is the roster, the same at every one of them."""

    name: str = setting(arg=True, low=1, doc="name of the gateway, as its own settings have it")
    at: str = setting(low=1, doc="HOST:PORT where its datagrams go")
    zone: str = setting("", doc="its zone: members of one share a reader of the list")


@dataclass(frozen=True, kw_only=True)
class FleetDrill:
    """An exercise: whoever holds the lease acts at a resource, again and again."""

    lease: str = setting(arg=True, low=1, doc="name of the lease")
    resource: str = setting(low=1, doc="HOST:PORT of the resource")
    act_ms: int = setting(50, low=1, high=60_000, doc="ms that an act takes")


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Gateways that agree: who lives, who may act alone, what part of a budget is whose."""

    listen: str = setting("", doc="HOST:PORT to receive at; empty is our own `at`")
    epoch: int = setting(1, low=1, high=1 << 31, doc="number of this roster; grows with every change of it")
    voters: int = setting(3, low=1, high=9, doc="members that grant each lease")
    term_ms: int = setting(10_000, low=500, high=600_000, doc="ms of a lease; also the silence after a start")
    period_ms: int = setting(1_000, low=50, high=60_000, doc="ms between two pings of ours")
    key_file: str = setting("", doc="file with the key that datagrams are checked by; empty is no check")
    member: tuple[FleetMember, ...] = setting((), node="member", doc="a member of the roster")
    before: tuple[str, ...] = setting((), doc="names of the roster that this epoch replaces, while it does")
    budgets: tuple[str, ...] = setting(
        (), doc="names of budgets that are divided; `cold` is what starting workers are offered"
    )
    one_reader: bool = setting(
        False, doc="one member a zone asks the list service and passes the list on to the others"
    )
    one_order: bool = setting(
        False,
        doc="a function's copy is ordered once, by whoever is let by the member asked for that function",
    )
    list_rate: float = setting(
        3.0,
        low=0.01,
        high=1_000,
        doc="questions a second that all zones together ask the list service while nobody reads",
    )
    sites: bool = setting(
        False, doc="members' zones are sites: their loss is judged, load refused by order, their return paced"
    )
    sacrifice: tuple[str, ...] = setting(
        (),
        doc="classes in the order in which they are refused while a site is lost; none is by worth",
    )
    drill: tuple[FleetDrill, ...] = setting((), node="drill", doc="an exercise")


@dataclass(frozen=True, kw_only=True)
class Site:
    """A gateway at its site."""

    name: str = setting("gateway", low=1, doc="name of this gateway, unique among all that share workers")
    state: str = setting("state", low=1, doc="folder for what outlives the process")
    gateways: int = setting(1, low=1, high=100_000, doc="gateways that share the workers, this one included")
    position: int = setting(0, low=0, high=100_000, doc="number of this gateway among them, from 0")
    topic: str = setting("calls", low=1, doc="first levels of the trigger topics")
    tick_ms: int = setting(2, low=1, high=100, doc="ms within which a timer of the module comes")
    margin_ms: int = setting(10, low=0, high=10_000, doc="ms kept back from each call for its answer's way")
    open_calls: int = setting(
        20_000, low=1, high=1_000_000, doc="calls at a time; beyond it they are refused"
    )
    max_wait_ms: int = setting(
        2_000, low=0, high=_DAY_MS, doc="ms that a refusal asks a client to wait at most"
    )
    classes: tuple[Class, ...] = setting((), node="class", doc="a class of calls")
    kinds: tuple[MachineKind, ...] = setting((), node="kind", doc="a kind of machine")
    functions: tuple[Function, ...] = setting(
        (), node="function", doc="what is known of functions beforehand"
    )
    workers: Workers = setting(Workers, doc="where calls run")
    listener: Listener | None = setting(None, node="mqtt-listener", doc="the MQTT endpoint")
    brokers: tuple[Broker, ...] = setting((), node="mqtt-broker", doc="an MQTT broker that brings triggers")
    amqp: tuple[AmqpBroker, ...] = setting((), node="amqp-broker", doc="an AMQP broker that brings triggers")
    ledger: LedgerSettings = setting(LedgerSettings, doc="the ledger of effects")
    log: LogSettings = setting(LogSettings, doc="the log")
    health: Health | None = setting(None, doc="the page for health and figures")
    fleet: Fleet | None = setting(None, doc="the fleet that this gateway belongs to")

    def told(self) -> io.Settings:
        """What the module is told; the rest keeps the neutral defaults of the interface."""
        workers = self.workers
        return io.Settings(
            classes=tuple(
                io.RequestClass(
                    name=c.name,
                    target_us=c.wanted_ms * 1_000,
                    deadline_us=c.deadline_ms * 1_000,
                    effect=_EFFECTS[c.effect],
                    scope=c.scope,
                    memory_us=c.memory_ms * 1_000,
                    streamed=c.streamed,
                    worth=c.worth,
                    late_worth=c.late_worth,
                )
                for c in self.classes
            ),
            routers=self.gateways,
            position=self.position,
            tick_us=self.tick_ms * 1_000,
            zone=workers.zone,
            kind_memory_mb=tuple((kind.name, kind.memory_mb) for kind in self.kinds),
            idle_life_us=workers.idle_life_ms * 1_000,
            may_load=workers.orders,
            misses=workers.misses,
            load_free=workers.load_free,
            load_share=workers.load_share,
            load_window_us=workers.load_window_ms * 1_000,
            order_timeout_us=workers.order_timeout_ms * 1_000,
            tells_warm=True,
            tells_crowd=True,
            may_cancel=workers.cancel,
            second_copies=workers.second_copies,
            retry_after=self.max_wait_ms > 0,
            max_retry_after_us=self.max_wait_ms * 1_000,
            max_attempts=workers.attempts,
            cold_share=workers.cold_share,
            cold_us=workers.cold_ms * 1_000,
            fall_multiple=workers.fall_multiple,
            fall_us=workers.fall_ms * 1_000,
        )

    def deadlines_ms(self) -> dict[str, float]:
        """Each class's deadline."""
        return {one.name: float(one.deadline_ms) for one in self.classes}

    def hint(self, function: str) -> FunctionHint:
        """What is known of a function beforehand."""
        for one in self.functions:
            if fnmatchcase(function, one.pattern):
                return FunctionHint(one.memory_mb, one.lanes, one.work_ms * 1_000, one.load_ms * 1_000)
        return FunctionHint()


def host_port(text: str) -> tuple[str, int]:
    """HOST:PORT as its parts; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _addresses(reader: Reader, line: int, what: str, addresses: tuple[str, ...]) -> None:
    for address in addresses:
        try:
            host_port(address)
        except ValueError as error:
            reader.wrong(line, f"{what}: {error}")


def _twice(reader: Reader, what: str, names: list[tuple[str, object]]) -> None:
    seen: set[str] = set()
    for name, owner in names:
        if name in seen:
            reader.wrong(reader.line(owner), f"{what} {name!r} is given twice")
        seen.add(name)


def _check(reader: Reader, site: Site) -> None:
    """What no single field can tell."""
    if not site.classes:
        reader.wrong(1, "no class of calls: at least one `class NAME` is expected")
    for one in site.classes:
        line = reader.line(one)
        if one.wanted_ms and one.deadline_ms and one.wanted_ms > one.deadline_ms:
            reader.wrong(line, f"class {one.name}: wanted-ms is beyond deadline-ms")
        if one.effect == "keyed" and not one.memory_ms:
            reader.wrong(line, f"class {one.name}: keyed wants memory-ms, for how long workers drop repeats")
        if "/" in (one.name or "") or set(one.name or "") & set("+#"):
            reader.wrong(line, f"class {one.name}: a class is one level of a topic, without / + #")
        longest = site.ledger.keep_s * 1_000
        if one.effect != "safe" and one.deadline_ms and one.deadline_ms * 4 > longest:
            reader.wrong(
                line, f"class {one.name}: ledger keep-s wants four times its deadline at least, for retries"
            )
    _twice(reader, "class", [(one.name, one) for one in site.classes])
    _twice(reader, "kind", [(one.name, one) for one in site.kinds])
    _twice(reader, "mqtt-broker", [(one.name, one) for one in site.brokers])
    _twice(reader, "amqp-broker", [(one.name, one) for one in site.amqp])
    _twice(reader, "worker", [(one.address, one) for one in site.workers.worker])
    kinds = {kind.name for kind in site.kinds}
    for worker in site.workers.worker:
        _addresses(reader, reader.line(worker), "worker", (worker.address or "",))
        if worker.kind and worker.kind not in kinds:
            reader.wrong(reader.line(worker), f"worker: no kind {worker.kind!r} is given")
    line = reader.line(site.workers)
    given = bool(site.workers.worker) + bool(site.workers.file) + (site.workers.list is not None)
    if given != 1:
        reader.wrong(line, "workers wants one of: worker nodes, a file, a list")
    if site.workers.list:
        _addresses(reader, reader.line(site.workers.list), "servers", site.workers.list.servers)
        _addresses(reader, reader.line(site.workers.list), "peers", site.workers.list.peers)
        if not site.workers.list.servers:
            reader.wrong(reader.line(site.workers.list), "list wants servers, HOST:PORT of each")
    for broker in site.brokers:
        _addresses(reader, reader.line(broker), f"mqtt-broker {broker.name}", broker.address)
    for amqp in site.amqp:
        _amqp(reader, amqp)
    if site.listener is None and not site.brokers and not site.amqp:
        text = "nothing brings calls: an `mqtt-listener`, an `mqtt-broker` or an `amqp-broker` is expected"
        reader.wrong(1, text)
    if site.listener and site.listener.waiting_bytes < site.workers.answer_bytes + 65_536:
        reader.wrong(
            reader.line(site.listener),
            "waiting-bytes wants room for an answer of workers answer-bytes and 65536 bytes more",
        )
    if site.fleet:
        _fleet(reader, site)
    elif site.workers.worker_connections:
        reader.wrong(line, "worker-connections wants a fleet with the budget `connections`")
    if site.position >= site.gateways:
        reader.wrong(1, f"position {site.position} wants to be below gateways, {site.gateways}")


def _fleet(reader: Reader, site: Site) -> None:
    fleet = site.fleet
    assert fleet
    line, names = reader.line(fleet), [one.name for one in fleet.member]
    _twice(reader, "fleet: member", [(one.name, one) for one in fleet.member])
    _twice(reader, "fleet: drill", [(one.lease, one) for one in fleet.drill])
    if site.name not in names:
        reader.wrong(line, f"fleet: no member {site.name!r}: this gateway's own name is expected among them")
    if fleet.voters > len(names):
        reader.wrong(line, f"fleet: voters {fleet.voters} is more than its {len(names)} members")
    for one in fleet.member:
        _addresses(reader, reader.line(one), f"fleet: member {one.name}", (one.at,))
    for drill in fleet.drill:
        _addresses(reader, reader.line(drill), f"fleet: drill {drill.lease}", (drill.resource,))
    if fleet.listen:
        _addresses(reader, line, "fleet: listen", (fleet.listen,))
    if fleet.one_order and site.workers.load_window_ms:
        text = "fleet: one-order wants no load-window-ms: orders that are held back count before they go"
        reader.wrong(line, text)
    if fleet.sites and len({one.zone for one in fleet.member}) < 2:
        reader.wrong(line, "fleet: sites wants members in two zones at least")
    for request_class in fleet.sacrifice:
        if request_class not in [one.name for one in site.classes]:
            reader.wrong(line, f"fleet: sacrifice names no class {request_class!r}")
    told = site.workers.worker_connections
    if bool(told) != ("connections" in fleet.budgets):
        reader.wrong(line, "fleet: budget connections and worker-connections in workers want each other")
    elif told and told < 2 * len(names):
        text = (
            f"workers: worker-connections wants twice the members, {2 * len(names)}: half of it is never lent"
        )
        reader.wrong(reader.line(site.workers), text)
    if fleet.one_reader and not site.workers.list:
        reader.wrong(line, "fleet: one-reader wants a `list` in workers, which it reads for the others")


def _amqp(reader: Reader, one: AmqpBroker) -> None:
    line, name = reader.line(one), f"amqp-broker {one.name}"
    _addresses(reader, line, name, one.address or ())
    _twice(reader, f"{name}: queue", [(queue.name, queue) for queue in one.queues or ()])
    if not one.queues:
        reader.wrong(line, f"{name}: no queue: at least one `queue NAME` is expected")
    if one.prefetch_least > one.prefetch_most:
        reader.wrong(line, f"{name}: prefetch-least is beyond prefetch-most")
    for queue in one.queues or ():
        if not queue.declare and (queue.exchange or queue.dead_letter or queue.max_priority):
            reader.wrong(
                reader.line(queue),
                f"{name}: queue {queue.name} is not made here (declare false), so it takes no exchange, "
                "dead-letter or max-priority",
            )
        if queue.key and not queue.exchange:
            reader.wrong(reader.line(queue), f"{name}: queue {queue.name} has keys, and no exchange for them")


def read(text: str, file: str) -> Site:
    """A document as the settings of a site; raises SettingsError with everything that is wrong."""
    nodes = parse(text, file)
    reader = Reader(file)
    site: Site = reader.read(Site, Node("", [], {}, nodes, 1))
    _check(reader, site)
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return site


def load(path: Path) -> Site:
    """Read a file; raises SettingsError, also where the file can't be read."""
    return read(text_of(path), str(path))
