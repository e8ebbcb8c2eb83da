"""The settings of one gateway at one site.

Holds the classes of the document, the checks across fields, and the conversion to the router's settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from swiftwell import interface as io
from swiftwell.fronts.amqp.redelivery import RedeliveryPolicy
from swiftwell.fronts.message_reader import FunctionHint
from swiftwell.settings.document import Node, SettingsError, parse, read_document
from swiftwell.settings.schema import Reader, setting

_DAY_MS = 86_400_000
_EFFECTS = {"safe": io.Effect.SAFE, "keyed": io.Effect.KEYED, "unsafe": io.Effect.UNSAFE}


@dataclass(frozen=True, kw_only=True)
class RequestClassSettings:
    """A class of calls."""

    name: str = setting(arg=True, low=1, doc="name of the class, a level of the trigger topic")
    effect: str = setting(
        "safe",
        choice=tuple(_EFFECTS),
        doc="safe to repeat, keyed (workers drop repeats), or unsafe (must never run twice)",
    )
    wanted_ms: int = setting(low=1, high=_DAY_MS, doc="ms within which an answer has its full value")
    deadline_ms: int = setting(low=1, high=_DAY_MS, doc="ms after which its clients time out at the latest")
    worth: float = setting(
        1.0, low=0.0, high=1e6, doc="value of an answer in time, relative to other classes"
    )
    late_worth: float = setting(0.0, low=0.0, high=1.0, doc="share of that value that a late answer keeps")
    scope: str = setting(
        "all",
        choice=("all", "zone", "cell"),
        doc="keyed: the group of workers that deduplicate calls together",
    )
    memory_ms: int = setting(
        0, low=0, high=_DAY_MS, doc="keyed: ms for which workers remember a key to drop repeats"
    )
    streamed: bool = setting(False, doc="answers are streamed")


@dataclass(frozen=True, kw_only=True)
class MachineKind:
    """A kind of machine."""

    name: str = setting(arg=True, low=1, doc="name, as in the worker list")
    memory_mb: float = setting(low=1, high=1e9, doc="memory for loaded copies in MB")


@dataclass(frozen=True, kw_only=True)
class Function:
    """Expected properties of the functions that match a pattern."""

    pattern: str = setting(arg=True, low=1, doc="function or pattern with * and ?; the first match applies")
    memory_mb: float = setting(0.0, low=0, high=1e9, doc="memory of a loaded copy in MB")
    lanes: int = setting(1, low=1, high=1024, doc="calls that a copy runs concurrently")
    load_ms: int = setting(0, low=0, high=_DAY_MS, doc="usual ms of a load; 0 if unknown")
    work_ms: int = setting(0, low=0, high=_DAY_MS, doc="usual ms of a call; 0 if unknown")


@dataclass(frozen=True, kw_only=True)
class StaticWorker:
    """A worker that is always listed."""

    address: str = setting(arg=True, low=3, doc="HOST:PORT")
    kind: str = setting("", doc="kind of machine")
    zone: str = setting("", doc="zone")
    cell: int = setting(0, low=0, high=1_000_000, doc="group of workers that share deduplication")


@dataclass(frozen=True, kw_only=True)
class ListService:
    """A service that lists the workers."""

    servers: tuple[str, ...] = setting(
        (), doc="HOST:PORT of each server, in the order in which they are tried"
    )
    service: str = setting("calc", low=1, doc="name of the service whose instances are the workers")
    wait_s: int = setting(10, low=1, high=600, doc="s that a query may wait for a change")
    peers: tuple[str, ...] = setting(
        (), doc="HOST:PORT of other gateways' health endpoints, queried while no server answers"
    )
    save: bool = setting(True, doc="save the list in the state folder, for a start while no server answers")


@dataclass(frozen=True, kw_only=True)
class Workers:
    """The workers, their capabilities and limits."""

    worker: tuple[StaticWorker, ...] = setting((), doc="a worker that is always on the list")
    file: str = setting("", doc="file of `worker` nodes, reloaded when it changes")
    list: ListService | None = setting(None, doc="a list service, queried for changes")
    zone: str = setting("", doc="zone of this gateway")
    orders: bool = setting(True, doc="workers accept load orders")
    misses: bool = setting(False, doc="a worker without a copy answers `miss` and loads only by load order")
    idle_life_ms: int = setting(10_000, low=0, high=_DAY_MS, doc="minimum ms that an idle copy stays loaded")
    order_timeout_ms: int = setting(
        10_000, low=1, high=_DAY_MS, doc="ms after which a load order counts as unanswered"
    )
    load_free: float = setting(
        0.0, low=0, high=1e6, doc="load orders allowed in a window regardless of traffic"
    )
    load_share: float = setting(
        0.0, low=0, high=1e3, doc="further load orders allowed for each call accepted in the window"
    )
    load_window_ms: int = setting(0, low=0, high=_DAY_MS, doc="length of that window in ms; 0 for no limit")
    attempts: int = setting(3, low=1, high=16, doc="maximum attempts for a call")
    second_copies: bool = setting(False, doc="a second attempt may start while the first is in flight")
    cancel: bool = setting(True, doc="an attempt may be cancelled before its deadline")
    cold_share: float = setting(1.0, low=0.001, high=1, doc="share of its capacity that a cold worker has")
    cold_ms: int = setting(0, low=0, high=_DAY_MS, doc="ms after its start until a worker is warm")
    fall_multiple: float = setting(
        1.0, low=0.001, high=1e3, doc="multiple of that share at which a cold worker collapses from overload"
    )
    fall_ms: int = setting(
        0, low=0, high=_DAY_MS, doc="ms of such overload after which a cold worker collapses"
    )
    connections: int = setting(64, low=1, high=4096, doc="maximum connections to a worker")
    worker_connections: int = setting(
        0, low=0, high=1_000_000,
        doc="connections to one worker from all gateways: the fleet's budget `connections`; 0 for no limit",
    )  # fmt: skip
    connect_ms: int = setting(
        250, low=1, high=60_000, doc="ms after which a connection attempt counts as failed"
    )
    answer_bytes: int = setting(1 << 20, low=1, high=1 << 28, doc="maximum bytes of an answer")


@dataclass(frozen=True, kw_only=True)
class User:
    """A user name with its password."""

    name: str = setting(arg=True, low=1, doc="user name")
    password: str = setting(low=1, doc="password")


@dataclass(frozen=True, kw_only=True)
class Listener:
    """The MQTT endpoint."""

    address: str = setting("127.0.0.1", low=1, doc="address to listen on")
    port: int = setting(1883, low=0, high=65_535, doc="port; 0 for a free one")
    connections: int = setting(10_000, low=1, high=1_000_000, doc="maximum connections")
    sessions: int = setting(20_000, low=1, high=1_000_000, doc="maximum sessions, connected or not")
    receive_maximum: int = setting(256, low=1, high=65_535, doc="maximum unacknowledged triggers of a client")
    packet_bytes: int = setting(262_144, low=64, high=1 << 28, doc="maximum bytes of a packet")
    waiting_bytes: int = setting(1 << 22, low=1_024, high=1 << 30, doc="maximum bytes queued for a client")
    waiting_answers: int = setting(256, low=1, high=65_535, doc="maximum answers queued for a client")
    open_calls: int = setting(1_024, low=1, high=1_000_000, doc="maximum unanswered triggers of a client")
    session_s: int = setting(
        3_600, low=0, high=_DAY_MS, doc="maximum s that a session outlives its connection"
    )
    keep_alive_s: int = setting(300, low=1, high=65_535, doc="maximum s between two packets of a client")
    user: tuple[User, ...] = setting((), doc="a user that may connect; without any, every client may")


@dataclass(frozen=True, kw_only=True)
class Broker:
    """An MQTT broker to receive triggers from."""

    name: str = setting(arg=True, low=1, doc="name, for the log")
    address: tuple[str, ...] = setting(doc="HOST:PORT of one or more addresses, tried in turn")
    client_id: str = setting("", doc="client identifier; the gateway's name by default")
    share: str = setting("", doc="name of a shared subscription, if several gateways share the triggers")
    version: str = setting("5.0", choice=("5.0", "3.1.1"), doc="protocol version")
    username: str = setting("", doc="user name")
    password: str = setting("", doc="password")
    keep_alive_s: int = setting(30, low=1, high=65_535, doc="maximum s between two packets of this gateway")
    session_s: int = setting(3_600, low=0, high=_DAY_MS, doc="s that the broker keeps the session")
    receive_maximum: int = setting(256, low=1, high=65_535, doc="maximum unacknowledged triggers")
    packet_bytes: int = setting(262_144, low=64, high=1 << 28, doc="maximum bytes of a packet")
    waiting_answers: int = setting(10_000, low=1, high=65_535, doc="maximum answers queued for the broker")
    open_calls: int = setting(10_000, low=1, high=1_000_000, doc="maximum unanswered triggers of the broker")


@dataclass(frozen=True, kw_only=True)
class AmqpQueue:
    """A queue to receive triggers from."""

    name: str = setting(arg=True, low=1, high=255, doc="name of the queue")
    declare: bool = setting(True, doc="declare the queue; if false, it must exist")
    durable: bool = setting(True, doc="the queue survives a restart of the broker")
    exchange: str = setting(
        "",
        low=0,
        high=255,
        doc="exchange that the queue is bound to; by default only the default exchange reaches it",
    )
    exchange_type: str = setting("topic", choice=("topic", "direct", "fanout"), doc="type of the exchange")
    key: tuple[str, ...] = setting((), doc="routing keys of the binding; by default all")
    dead_letter: str = setting(
        "", low=0, high=255, doc="dead-letter exchange that the queue is declared with"
    )
    max_priority: int = setting(
        0, low=0, high=255, doc="maximum priority that the queue is declared with; 0 for none"
    )


@dataclass(frozen=True, kw_only=True)
class AmqpBroker:
    """An AMQP 0-9-1 broker to receive triggers from."""

    name: str = setting(arg=True, low=1, doc="name, for the log")
    address: tuple[str, ...] = setting(doc="HOST:PORT of one or more addresses, tried in turn")
    queues: tuple[AmqpQueue, ...] = setting(node="queue", doc="a queue to receive triggers from")
    vhost: str = setting("/", low=1, high=255, doc="virtual host")
    username: str = setting("guest", doc="user name")
    password: str = setting("guest", doc="password")
    heartbeat_s: int = setting(30, low=1, high=3_600, doc="requested s between heartbeats")
    frame_bytes: int = setting(131_072, low=4_096, high=1 << 24, doc="requested maximum bytes of a frame")
    body_bytes: int = setting(262_144, low=1, high=1 << 28, doc="maximum bytes of a trigger")
    prefetch_least: int = setting(
        1, low=1, high=65_535, doc="lower bound of the prefetch, in unanswered triggers"
    )
    prefetch_most: int = setting(
        2_000, low=1, high=65_535, doc="upper bound of the prefetch; if equal to the lower, it is fixed"
    )
    redelivered: str = setting(
        "known",
        choice=tuple(policy.value for policy in RedeliveryPolicy),
        doc="redelivered triggers with effects: run those known not to have run, or never run them",
    )
    dead_letter: str = setting(
        "", low=0, high=255, doc="exchange for triggers that can't be read, with the reason"
    )
    unroutable: str = setting("", low=0, high=255, doc="queue for answers whose reply queue no longer exists")
    waiting_answers: int = setting(10_000, low=1, high=1_000_000, doc="maximum answers queued for the broker")
    waiting_bytes: int = setting(
        1 << 24, low=1 << 16, high=1 << 30, doc="maximum bytes queued for the broker"
    )
    open_calls: int = setting(10_000, low=1, high=1_000_000, doc="maximum unanswered triggers of the broker")


@dataclass(frozen=True, kw_only=True)
class LedgerSettings:
    """The ledger, which records calls with effects."""

    folder: str = setting("ledger", low=1, doc="folder, below the state folder")
    keep_s: int = setting(86_400, low=1, high=31_536_000, doc="s that a key is kept after its last record")
    entries: int = setting(
        200_000, low=1, high=100_000_000, doc="maximum keys; beyond that, unsafe calls are refused"
    )
    bytes: int = setting(1 << 28, low=1 << 17, high=1 << 34, doc="maximum bytes of keys and answers")


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Format, level and rate limit of the log."""

    format: str = setting("console", choice=("console", "json"), doc="format of a line")
    level: str = setting(
        "info", choice=("debug", "info", "warning", "error"), doc="minimum level that is written"
    )
    per_kind: int = setting(
        20, low=1, high=100_000, doc="maximum lines of one kind in ten seconds; further ones are only counted"
    )


@dataclass(frozen=True, kw_only=True)
class Health:
    """The HTTP endpoint for health and metrics."""

    address: str = setting("127.0.0.1", low=1, doc="address to listen on")
    port: int = setting(0, low=0, high=65_535, doc="port; 0 for a free one")


@dataclass(frozen=True, kw_only=True)
class FleetMember:
    """A gateway of the fleet; the order of the members is the roster and must be the same at all of them."""

    name: str = setting(arg=True, low=1, doc="name of the gateway, as its own settings have it")
    at: str = setting(low=1, doc="HOST:PORT that datagrams for it are sent to")
    zone: str = setting("", doc="its zone: the members of a zone share a reader of the worker list")


@dataclass(frozen=True, kw_only=True)
class FleetDrill:
    """A lease exercise: the holder of the lease repeats an action at a resource."""

    lease: str = setting(arg=True, low=1, doc="name of the lease")
    resource: str = setting(low=1, doc="HOST:PORT of the resource")
    act_ms: int = setting(50, low=1, high=60_000, doc="ms that an action takes")


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """A fleet of gateways, which agree on membership, leases and shares of budgets."""

    listen: str = setting("", doc="HOST:PORT to receive at; by default this gateway's own `at`")
    epoch: int = setting(
        1, low=1, high=1 << 31, doc="number of this roster; must grow with each change of it"
    )
    voters: int = setting(3, low=1, high=9, doc="members that grant each lease")
    term_ms: int = setting(
        10_000,
        low=500,
        high=600_000,
        doc="ms that a lease lasts; also the ms after a start in which this gateway grants none",
    )
    period_ms: int = setting(1_000, low=50, high=60_000, doc="ms between two pings of this gateway")
    key_file: str = setting(
        "", doc="file with the key that authenticates datagrams; empty for no authentication"
    )
    member: tuple[FleetMember, ...] = setting((), node="member", doc="a member of the roster")
    before: tuple[str, ...] = setting(
        (), doc="member names of the roster that this epoch replaces, during the change"
    )
    budgets: tuple[str, ...] = setting(
        (), doc="names of the budgets that the members divide; `cold` is the load offered to cold workers"
    )
    one_reader: bool = setting(
        False, doc="one member of each zone queries the list service and passes the list on"
    )
    one_order: bool = setting(
        False,
        doc="a copy of a function is ordered only once: one member per function permits its load orders",
    )
    list_rate: float = setting(
        3.0,
        low=0.01,
        high=1_000,
        doc="queries a second from all zones to the list service while no member reads it",
    )
    sites: bool = setting(
        False, doc="zones are sites: detect their loss, refuse classes in order, ramp up their return"
    )
    sacrifice: tuple[str, ...] = setting(
        (),
        doc="classes in the order in which they are refused while a site is lost; by default by worth",
    )
    drill: tuple[FleetDrill, ...] = setting((), node="drill", doc="a lease exercise")


@dataclass(frozen=True, kw_only=True)
class Site:
    """The settings of a gateway."""

    name: str = setting(
        "gateway", low=1, doc="name of this gateway, unique among those that share the workers"
    )
    state: str = setting("state", low=1, doc="folder for data that outlives the process")
    gateways: int = setting(1, low=1, high=100_000, doc="gateways that share the workers, this one included")
    position: int = setting(0, low=0, high=100_000, doc="number of this gateway among them, from 0")
    topic: str = setting("calls", low=1, doc="leading levels of the trigger topics")
    tick_ms: int = setting(2, low=1, high=100, doc="ms within which a due timer of the router fires")
    margin_ms: int = setting(
        10, low=0, high=10_000, doc="ms of each call's deadline reserved for returning the answer"
    )
    open_calls: int = setting(
        20_000, low=1, high=1_000_000, doc="maximum open calls; beyond that, calls are refused"
    )
    max_wait_ms: int = setting(
        2_000, low=0, high=_DAY_MS, doc="maximum ms that a refusal asks a client to wait"
    )
    classes: tuple[RequestClassSettings, ...] = setting((), node="class", doc="a class of calls")
    kinds: tuple[MachineKind, ...] = setting((), node="kind", doc="a kind of machine")
    functions: tuple[Function, ...] = setting((), node="function", doc="expected properties of functions")
    workers: Workers = setting(Workers, doc="where calls run")
    listener: Listener | None = setting(None, node="mqtt-listener", doc="the MQTT endpoint")
    brokers: tuple[Broker, ...] = setting(
        (), node="mqtt-broker", doc="an MQTT broker to receive triggers from"
    )
    amqp: tuple[AmqpBroker, ...] = setting(
        (), node="amqp-broker", doc="an AMQP broker to receive triggers from"
    )
    ledger: LedgerSettings = setting(LedgerSettings, doc="the ledger of effects")
    log: LogSettings = setting(LogSettings, doc="the log")
    health: Health | None = setting(None, doc="the HTTP endpoint for health and metrics")
    fleet: Fleet | None = setting(None, doc="the fleet that this gateway belongs to")

    def router_settings(self) -> io.Settings:
        """Returns the router's settings; those without a setting here keep the defaults of `interface`."""
        workers = self.workers
        return io.Settings(
            classes=tuple(
                io.RequestClass(
                    name=class_.name,
                    target_us=class_.wanted_ms * 1_000,
                    deadline_us=class_.deadline_ms * 1_000,
                    effect=_EFFECTS[class_.effect],
                    scope=class_.scope,
                    memory_us=class_.memory_ms * 1_000,
                    streamed=class_.streamed,
                    worth=class_.worth,
                    late_worth=class_.late_worth,
                )
                for class_ in self.classes
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
        """Returns the deadline of each class in ms."""
        return {class_.name: float(class_.deadline_ms) for class_ in self.classes}

    def hint(self, function: str) -> FunctionHint:
        """Returns the expected properties of a function."""
        for known in self.functions:
            if fnmatchcase(function, known.pattern):
                return FunctionHint(
                    known.memory_mb, known.lanes, known.work_ms * 1_000, known.load_ms * 1_000
                )
        return FunctionHint()


def host_port(text: str) -> tuple[str, int]:
    """Splits HOST:PORT; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _check_addresses(reader: Reader, line: int, what: str, addresses: tuple[str, ...]) -> None:
    for address in addresses:
        try:
            host_port(address)
        except ValueError as error:
            reader.add_problem(line, f"{what}: {error}")


def _check_duplicates(reader: Reader, what: str, names: list[tuple[str, object]]) -> None:
    seen: set[str] = set()
    for name, owner in names:
        if name in seen:
            reader.add_problem(reader.line_of(owner), f"{what} {name!r} is given twice")
        seen.add(name)


def _check(reader: Reader, site: Site) -> None:
    """Checks rules that involve more than one field."""
    if not site.classes:
        reader.add_problem(1, "no class of calls: expected at least one `class NAME`")
    for class_ in site.classes:
        line = reader.line_of(class_)
        if class_.wanted_ms and class_.deadline_ms and class_.wanted_ms > class_.deadline_ms:
            reader.add_problem(line, f"class {class_.name}: wanted-ms is greater than deadline-ms")
        if class_.effect == "keyed" and not class_.memory_ms:
            reader.add_problem(
                line,
                f"class {class_.name}: effect keyed needs memory-ms, the time for which workers drop repeats",
            )
        if "/" in (class_.name or "") or set(class_.name or "") & set("+#"):
            reader.add_problem(
                line, f"class {class_.name}: a class name is one topic level and must not contain / + #"
            )
        keep_ms = site.ledger.keep_s * 1_000
        if class_.effect != "safe" and class_.deadline_ms and class_.deadline_ms * 4 > keep_ms:
            reader.add_problem(
                line,
                f"class {class_.name}: ledger keep-s must be at least four times its deadline, for retries",
            )
    _check_duplicates(reader, "class", [(class_.name, class_) for class_ in site.classes])
    _check_duplicates(reader, "kind", [(kind.name, kind) for kind in site.kinds])
    _check_duplicates(reader, "mqtt-broker", [(broker.name, broker) for broker in site.brokers])
    _check_duplicates(reader, "amqp-broker", [(broker.name, broker) for broker in site.amqp])
    _check_duplicates(reader, "worker", [(worker.address, worker) for worker in site.workers.worker])
    kinds = {kind.name for kind in site.kinds}
    for worker in site.workers.worker:
        _check_addresses(reader, reader.line_of(worker), "worker", (worker.address or "",))
        if worker.kind and worker.kind not in kinds:
            reader.add_problem(reader.line_of(worker), f"worker: kind {worker.kind!r} is not declared")
    line = reader.line_of(site.workers)
    source_count = bool(site.workers.worker) + bool(site.workers.file) + (site.workers.list is not None)
    if source_count != 1:
        reader.add_problem(line, "workers: expected exactly one of: worker nodes, a file, a list")
    if site.workers.list:
        _check_addresses(reader, reader.line_of(site.workers.list), "servers", site.workers.list.servers)
        _check_addresses(reader, reader.line_of(site.workers.list), "peers", site.workers.list.peers)
        if not site.workers.list.servers:
            reader.add_problem(reader.line_of(site.workers.list), "list: expected servers, HOST:PORT of each")
    for broker in site.brokers:
        _check_addresses(reader, reader.line_of(broker), f"mqtt-broker {broker.name}", broker.address)
    for amqp in site.amqp:
        _check_amqp(reader, amqp)
    if site.listener is None and not site.brokers and not site.amqp:
        text = "no source of calls: expected an `mqtt-listener`, an `mqtt-broker` or an `amqp-broker`"
        reader.add_problem(1, text)
    if site.listener and site.listener.waiting_bytes < site.workers.answer_bytes + 65_536:
        reader.add_problem(
            reader.line_of(site.listener),
            "waiting-bytes must be at least workers answer-bytes plus 65536 bytes",
        )
    if site.fleet:
        _check_fleet(reader, site)
    elif site.workers.worker_connections:
        reader.add_problem(line, "worker-connections needs a fleet with the budget `connections`")
    if site.position >= site.gateways:
        reader.add_problem(1, f"position {site.position} must be less than gateways, {site.gateways}")


def _check_fleet(reader: Reader, site: Site) -> None:
    fleet = site.fleet
    assert fleet
    line, names = reader.line_of(fleet), [member.name for member in fleet.member]
    _check_duplicates(reader, "fleet: member", [(member.name, member) for member in fleet.member])
    _check_duplicates(reader, "fleet: drill", [(drill.lease, drill) for drill in fleet.drill])
    if site.name not in names:
        reader.add_problem(
            line, f"fleet: no member {site.name!r}: expected this gateway's own name among them"
        )
    if fleet.voters > len(names):
        reader.add_problem(line, f"fleet: voters {fleet.voters} is greater than its {len(names)} members")
    for member in fleet.member:
        _check_addresses(reader, reader.line_of(member), f"fleet: member {member.name}", (member.at,))
    for drill in fleet.drill:
        _check_addresses(reader, reader.line_of(drill), f"fleet: drill {drill.lease}", (drill.resource,))
    if fleet.listen:
        _check_addresses(reader, line, "fleet: listen", (fleet.listen,))
    if fleet.one_order and site.workers.load_window_ms:
        text = (
            "fleet: one-order excludes load-window-ms: delayed load orders would count before they are sent"
        )
        reader.add_problem(line, text)
    if fleet.sites and len({member.zone for member in fleet.member}) < 2:
        reader.add_problem(line, "fleet: sites needs members in at least two zones")
    for request_class in fleet.sacrifice:
        if request_class not in [class_.name for class_ in site.classes]:
            reader.add_problem(line, f"fleet: sacrifice names an unknown class {request_class!r}")
    worker_connections = site.workers.worker_connections
    if bool(worker_connections) != ("connections" in fleet.budgets):
        reader.add_problem(
            line, "fleet: budget connections and worker-connections in workers need each other"
        )
    elif worker_connections and worker_connections < 2 * len(names):
        text = (
            f"workers: worker-connections must be at least twice the members, {2 * len(names)}: "
            "half of it is never lent"
        )
        reader.add_problem(reader.line_of(site.workers), text)
    if fleet.one_reader and not site.workers.list:
        reader.add_problem(
            line, "fleet: one-reader needs a `list` in workers, which one member reads for the others"
        )


def _check_amqp(reader: Reader, broker: AmqpBroker) -> None:
    line, name = reader.line_of(broker), f"amqp-broker {broker.name}"
    _check_addresses(reader, line, name, broker.address or ())
    _check_duplicates(reader, f"{name}: queue", [(queue.name, queue) for queue in broker.queues or ()])
    if not broker.queues:
        reader.add_problem(line, f"{name}: no queue: expected at least one `queue NAME`")
    if broker.prefetch_least > broker.prefetch_most:
        reader.add_problem(line, f"{name}: prefetch-least is greater than prefetch-most")
    for queue in broker.queues or ():
        if not queue.declare and (queue.exchange or queue.dead_letter or queue.max_priority):
            reader.add_problem(
                reader.line_of(queue),
                f"{name}: queue {queue.name} is not declared (declare false) and must not have exchange, "
                "dead-letter or max-priority",
            )
        if queue.key and not queue.exchange:
            reader.add_problem(reader.line_of(queue), f"{name}: queue {queue.name} has keys but no exchange")


def read(text: str, file: str) -> Site:
    """Parses the settings of a site; raises SettingsError with all problems."""
    nodes = parse(text, file)
    reader = Reader(file)
    site: Site = reader.read(Site, Node("", [], {}, nodes, 1))
    _check(reader, site)
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return site


def load(path: Path) -> Site:
    """Reads a settings file; raises SettingsError, also if the file can't be read."""
    return read(read_document(path), str(path))
