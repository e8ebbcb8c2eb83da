"""The shell: connects fronts, engine, ledger, worker list and workers on one Tornado loop.

It collects the inputs of one loop iteration, passes them to the engine in one step and executes its outputs.
Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import random
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from swiftwell import interface as io
from swiftwell.discovery import sources
from swiftwell.discovery.saved_list_store import SavedListStore
from swiftwell.fleet.lease_exercise import LeaseExercise
from swiftwell.fleet.link import FleetLink, read_key
from swiftwell.fleet.node import FleetSettings
from swiftwell.fleet.shares import TOTAL_PPM, Share
from swiftwell.fronts.host import Backoff
from swiftwell.fronts.mqtt.codec import V5, V311, Connect, Reason
from swiftwell.fronts.mqtt.contract import Contract
from swiftwell.fronts.mqtt.endpoint import Endpoint, EndpointBounds
from swiftwell.fronts.mqtt.peer import Peer
from swiftwell.fronts.mqtt.session import Session
from swiftwell.fronts.mqtt.subscriber import BrokerLink, Subscriber
from swiftwell.gateway import ports
from swiftwell.gateway.effects import Bounds, Ledger
from swiftwell.gateway.engine import Engine, tables
from swiftwell.gateway.event_loop import BatchingLoop
from swiftwell.gateway.journal import Journal
from swiftwell.gateway.logs import Logs
from swiftwell.handover import snapshot
from swiftwell.handover.snapshot_file import SnapshotFile
from swiftwell.http.http1 import Request, Response
from swiftwell.http.server import Server
from swiftwell.settings.site import Site, host_port
from swiftwell.sites.admission import ClassShare
from swiftwell.sites.health_observations import LOG_PREFIX, SiteMonitor
from swiftwell.starting.list_follower import STEP_INTERVAL_S, ListFollower
from swiftwell.starting.orders import Orders
from swiftwell.starting.ramp_share import RampShare, router_count
from swiftwell.workers.link import Link, LinkBounds

if TYPE_CHECKING:
    from swiftwell.fronts.amqp.link import Link as AmqpLink

STOP_TIMEOUT_S = 5.0  # that calls in flight may take once the gateway stops; then they are answered
SWEEP_INTERVAL_S = 1.0
FLEET_RETRY_S = 0.5  # between attempts to open the fleet's socket


class Gateway(BatchingLoop):
    """A running gateway.

    `router_factory`: builds the module's router; a benchmark passes another one.
    """

    def __init__(self, site: Site, logs: Logs, router_factory: object = None) -> None:
        self.site = site
        settings = site.router_settings()
        if site.fleet and "cold" in site.fleet.budgets:  # no loan yet: others may hold all that is lent
            own = Share("cold", len(site.fleet.member)).reserved_ppm
            settings = replace(settings, routers=router_count(own))
        super().__init__(
            logs, {request_class.name: request_class.effect for request_class in settings.classes}
        )
        self._random = random.Random(f"{site.name}/{self.clock.wall_us()}")
        limits = site.ledger
        self.ledger = Ledger(Bounds(limits.keep_s * 1_000_000, limits.entries, limits.bytes))
        seed = self._random.getrandbits(32)
        options = {} if router_factory is None else {"router_factory": router_factory}
        self.engine = Engine(
            settings,
            self.ledger,
            seed=seed,
            margin_us=site.margin_ms * 1_000,
            max_open=site.open_calls,
            **options,
        )
        workers = site.workers
        bounds = LinkBounds(
            workers.connections,
            workers.connect_ms / 1e3,
            workers.answer_bytes,
            order_s=workers.order_timeout_ms / 1e3,
        )
        self.link = Link(site.name, bounds, self._on_worker_input, self.log, self.clock.started_us)
        if workers.worker_connections and site.fleet:  # no loan yet
            self.link.limit_connections(
                workers.worker_connections * Share("", len(site.fleet.member)).reserved_ppm // TOTAL_PPM
            )
        self.keeper: SavedListStore | None = None
        self._list_service: sources.ListServiceClient | None = None
        self._lock = -1
        self.books = SnapshotFile(Path(site.state), self.log, self._loop.add_callback)
        self.paused_streams: list[IOStream] = []  # during a handover
        self.adopted: Any = None  # state and descriptors taken over, until `take_over`
        self._early_sockets: dict[str, list[socket.socket]] = {}  # listening, but not accepting yet
        self._handover_offer: Any = None
        self.journal: Journal | None = None
        self.endpoint: Endpoint | None = None
        self.subscribers: list[Subscriber] = []
        self.amqp: list[AmqpLink] = []
        self.fleet: FleetLink | None = None
        self.follower: ListFollower | None = None
        self.orders: Orders | None = None
        self.watch: SiteMonitor | None = None
        self._tasks: list[asyncio.Task] = []
        self._health: Server | None = None
        self.health_port = self.listener_port = 0
        self._sweeper = PeriodicCallback(self._sweep, SWEEP_INTERVAL_S * 1_000)
        self.ended = asyncio.Event()
        self._stopping = False

    def _after_step(self) -> None:
        if self.journal:
            self.journal.flush()

    def _execute(self, output: ports.Output) -> None:
        if isinstance(output, ports.Write) and self.journal:
            self.journal.append(output.record)
        elif isinstance(output, ports.Order) and self.orders:
            function = self.engine.router.functions.get(output.function)
            holders = function.workers_with_copies(self.clock.now_us()) if function else ()
            self.orders.order(output, len(holders))
        elif isinstance(output, ports.Recall) and self.orders and self.orders.recall(output):
            pass  # it was not sent yet
        else:
            super()._execute(output)

    def _on_worker_input(self, input_: ports.Input) -> None:
        """Handle an input from the link to the workers."""
        if isinstance(input_, ports.OrderEnd) and self.orders:
            self.orders.ended(input_)
        if isinstance(input_, ports.Asked) and self.watch and self.watch.on_probe_result(input_):
            return
        self.enqueue(input_)

    # Start and stop.

    async def start(self) -> None:
        """Start the gateway; raises JournalError or OSError if something can't be opened."""
        self._lock_state()
        if self._has_effects:
            self._open_ledger()
        self.build_fronts()
        if self.site.listener:
            self.bind("mqtt")
        if self.site.health:
            self.bind("health")
        now = self.clock.now_us()
        if saved := self.books.load(now, self.clock.anchor_us):
            self.engine.start_at(now, self.clock.wall_us())
            self.engine.restore_router_state(saved)
        self._start_tasks(fresh=True)
        # So that the module sets its first timers.
        self.enqueue(ports.Listed(io.Members(io.ListKind.DELTA, ())))

    def take_over(self) -> None:
        """Activate what `handover.state.restore` has restored; raises OSError."""
        from swiftwell.handover import state

        if self._has_effects:
            self.journal = self._journal()
        state.activate(self)
        if self.endpoint:
            self.endpoint.begin()
        self._start_tasks(fresh=False)
        self.resume()

    @property
    def _has_effects(self) -> bool:
        return any(effect is not io.Effect.SAFE for effect in self._effects.values())

    def _start_tasks(self, fresh: bool) -> None:
        """Start to follow the worker list, connect to brokers, sweep, and offer a handover."""
        from swiftwell.handover.predecessor import HandoverServer

        self._follow_list(fresh)
        for link in (*self.subscribers, *self.amqp):
            self._tasks.append(asyncio.ensure_future(link.run()))
        if self.site.fleet:
            self._tasks.append(asyncio.ensure_future(self._join_fleet()))
        self._sweeper.start()
        self._handover_offer = HandoverServer(self)
        self._handover_offer.open()
        self._tasks.append(asyncio.ensure_future(self._handover_offer.run()))

    def build_fronts(self) -> None:
        """Build the fronts, without their sockets."""
        site = self.site
        deadlines, alone = site.deadlines_ms(), site.gateways == 1
        if site.listener:
            listener = site.listener
            contract = Contract(site.topic, deadlines, site.hint, True, alone)
            bounds = EndpointBounds(
                listener.connections, listener.sessions, listener.receive_maximum, listener.packet_bytes,
                listener.waiting_bytes, listener.waiting_answers, listener.open_calls, listener.session_s,
                listener.keep_alive_s,
            )  # fmt: skip
            self.endpoint = Endpoint(self, contract, bounds, self._authenticate)
        for broker in site.brokers:
            contract = Contract(site.topic, deadlines, site.hint, False, alone)
            link = BrokerLink(
                broker.name, tuple(map(host_port, broker.address)), broker.client_id or site.name,
                (f"{site.topic}/#",), broker.share, V5 if broker.version == "5.0" else V311,
                broker.username, broker.password, broker.keep_alive_s, broker.session_s,
                broker.receive_maximum, broker.packet_bytes, max_answers=broker.waiting_answers,
                max_open=broker.open_calls,
            )  # fmt: skip
            self.subscribers.append(Subscriber(self, contract, link, self._random))
        if site.amqp:  # imported only if used: it takes a tenth of a start
            from swiftwell.gateway.amqp import links

            self.amqp += links(self, site, deadlines, self._random)
        if site.health:
            self._health = Server(self._handle_http)

    def open_new_listeners(self, offered: list[tuple[str, str, int]]) -> None:
        """Open the listening sockets that the running process does not offer; raises OSError.

        No connection is accepted from them before `take_over`.
        """
        for name, settings in (("mqtt", self.site.listener), ("health", self.site.health)):
            if settings and not any(
                listener[0] == name and self.wants_listener(*listener) for listener in offered
            ):
                self._early_sockets[name] = bind_sockets(settings.port, settings.address, backlog=1_024)

    def bind(self, name: str) -> None:
        """Start to listen; raises OSError."""
        sockets = self._early_sockets.pop(name, None)
        if name == "mqtt" and self.endpoint and self.site.listener:
            listener = self.site.listener
            self.listener_port = self.endpoint.listen(listener.port, listener.address, sockets)
            self.log("info", "listening", address=f"{listener.address}:{self.listener_port}")
        elif name == "health" and self._health and self.site.health:
            self.health_port = self._health.start_on(self.site.health.port, self.site.health.address, sockets)

    def wants_listener(self, name: str, address: str, port: int) -> bool:
        """Whether a listening socket of another process is the one that the settings name."""
        settings = self.site.listener if name == "mqtt" else self.site.health
        same = settings is not None and settings.address == address and settings.port in (0, port)
        if same and name == "mqtt":
            self.listener_port = port
        elif same:
            self.health_port = port
        return same

    def discarding_peer(self) -> Peer:
        """A peer that discards answers whose recipient is gone."""
        contract = Contract(self.site.topic, {}, self.site.hint, True, True)
        return Peer(self, contract, "nobody:", "", Session(1, 0), 1 << 30)

    def _lock_state(self) -> None:
        """Lock the state folder: two processes would overwrite each other's ledger and list."""
        folder = Path(self.site.state)
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(folder / "lock", os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise OSError(f"{folder}: another gateway holds this state folder") from None

    def _open_ledger(self) -> None:
        site = self.site
        self.journal = self._journal()
        records, damages = self.journal.open()
        for record in records:
            self.ledger.replay(record)
        self.ledger.evict_expired(self.clock.wall_us())
        for damage in damages:
            self.ledger.gap_until = max(
                self.ledger.gap_until, damage.newest_us + site.ledger.keep_s * 1_000_000
            )
            self.log("error", "ledger-damaged", file=damage.file, offset=damage.offset, bytes=damage.length)
        self.log(
            "info", "ledger", folder=str(self._ledger_folder), keys=len(self.ledger), records=len(records)
        )

    @property
    def _ledger_folder(self) -> Path:
        return Path(self.site.state) / self.site.ledger.folder

    def _journal(self) -> Journal:
        return Journal(
            self._ledger_folder,
            lambda act: self._loop.add_callback(act),
            lambda number: self.enqueue(ports.Durable(number)),
            lambda why: self.enqueue(ports.LedgerDown(why)),
            self.ledger.records,
        )

    def _follow_list(self, fresh: bool) -> None:
        workers = self.site.workers
        on_list = self._on_list
        if workers.list:
            on_saved_list = lambda entries: self.enqueue(ports.Saved(entries))  # noqa: E731
            self._list_service = sources.ListServiceClient(
                workers.list.servers,
                workers.list.service,
                workers.list.wait_s,
                self.site.name,
                self.clock.started_us,
                on_list,
                self.log,
                self._random,
                workers.list.peers,
                on_saved_list,
            )
            if workers.list.save:
                folder = Path(self.site.state) / "list"
                self.keeper = SavedListStore(
                    folder, self.clock, self.engine.roster, self.log, self._loop.add_callback
                )
                if fresh and (entries := self.keeper.load()):
                    on_saved_list(entries)
            if not (self.site.fleet and self.site.fleet.one_reader):
                self._tasks.append(asyncio.ensure_future(self._list_service.run()))
        elif workers.file:
            watching = sources.watch_file(Path(workers.file), self.clock.started_us, on_list, self.log)
            self._tasks.append(asyncio.ensure_future(watching))
        else:
            on_list(sources.static_list(workers))

    def _on_list(self, members: io.Members) -> None:
        """Handle a worker list from its source; with one reader for the zone, also pass it to the others."""
        if self.follower:
            self.follower.on_service_list(members)
        else:
            self._enqueue_list(members)

    def _enqueue_list(self, members: io.Members) -> None:
        self.enqueue(ports.Listed(members))

    async def _join_fleet(self) -> None:
        """Join the fleet; calls are served meanwhile, and also without a fleet."""
        fleet = self.site.fleet
        assert fleet
        names = tuple(member.name for member in fleet.member)
        me = names.index(self.site.name)
        zone = fleet.member[me].zone
        zone_members = tuple(number for number, member in enumerate(fleet.member) if member.zone == zone)
        zones = len({member.zone for member in fleet.member})
        own_list_task: asyncio.Task | None = None
        while True:
            try:
                settings = FleetSettings(
                    names,
                    me,
                    fleet.epoch,
                    fleet.voters,
                    fleet.term_ms * 1_000,
                    fleet.period_ms * 1_000,
                    tuple(drill.lease for drill in fleet.drill),
                    fleet.budgets,
                    fleet.before,
                    self._replicated_logs(zone, zone_members),
                    read_key(fleet.key_file),
                )
                addresses = tuple(host_port(member.at) for member in fleet.member)
                listen = host_port(fleet.listen) if fleet.listen else addresses[me]
                link = FleetLink(settings, listen, addresses, self.log)
                await link.start()
                break
            except OSError as error:
                # The previous process may still hold the socket, or the key file may be written later.
                self.log("error", "fleet-not-joined", why=str(error))
                if fleet.one_reader and self._list_service and own_list_task is None:
                    own_list_task = asyncio.ensure_future(self._list_service.run())
                    self._tasks.append(own_list_task)
                await asyncio.sleep(FLEET_RETRY_S)
        if own_list_task:
            own_list_task.cancel()
            self._tasks.remove(own_list_task)
        self.fleet = link
        self.log("info", "fleet-joined", members=len(names), epoch=fleet.epoch)
        if fleet.one_reader and self._list_service:
            self.follower = ListFollower(
                link, f"list/{zone}", fleet.list_rate / zones, self.clock, self._enqueue_list, self.log,
                Backoff(self._random),
            )  # fmt: skip
            self.follower.service = self._list_service
            self._tasks.append(asyncio.ensure_future(self.follower.run()))
        if fleet.sites:
            zone_of_member = [member.zone for member in fleet.member]
            self.watch = SiteMonitor(
                link, zone_of_member, self._class_ranks(), self.engine, self.clock, self.link.probe, self.log,
                self._random.getrandbits(32),
            )  # fmt: skip
            self._tasks.append(asyncio.ensure_future(self.watch.run()))
        periodic_tasks: list[Callable[[], None]] = []
        if fleet.one_order:
            self.orders = Orders(link, self.link.order, self.enqueue)
            periodic_tasks.append(self.orders.step)
        if "cold" in fleet.budgets:
            periodic_tasks.append(self._budget_updater(link))
        if "connections" in fleet.budgets:
            periodic_tasks.append(lambda: self._limit_connections(link))
        if periodic_tasks:
            self._tasks.append(asyncio.ensure_future(self._run_periodically(periodic_tasks)))
        drills = [
            LeaseExercise(
                link, drill.lease, self.site.name, host_port(drill.resource), drill.act_ms / 1e3, self.log
            ).run()
            for drill in fleet.drill
        ]
        await asyncio.gather(*drills)

    def _replicated_logs(
        self, zone: str, zone_members: tuple[int, ...]
    ) -> tuple[tuple[str, tuple[int, ...]], ...]:
        """This gateway's replicated logs with their members: its zone's list, and each site's recovery."""
        fleet = self.site.fleet
        assert fleet
        logs = [(f"list/{zone}", zone_members)] if fleet.one_reader else []
        if fleet.sites:
            all_members = tuple(range(len(fleet.member)))
            logs += [
                (LOG_PREFIX + name, all_members) for name in sorted({member.zone for member in fleet.member})
            ]
        return tuple(logs)

    def _class_ranks(self) -> list[ClassShare]:
        """Classes in the order of shedding, if there is no plan; each has the same share of the work."""
        fleet, classes = self.site.fleet, self.site.classes
        assert fleet
        named = [
            settings
            for request_class in fleet.sacrifice
            for settings in classes
            if settings.name == request_class
        ]
        others = sorted(
            (settings for settings in classes if settings not in named),
            key=lambda settings: (settings.worth, settings.name),
        )
        return [ClassShare(settings.name, "", 1 / len(classes), 1.0) for settings in (*others, *named)]

    @staticmethod
    async def _run_periodically(tasks: list[Callable[[], None]]) -> None:
        """Run the tasks every `LOOK_S`, all in one iteration of the loop."""
        while True:
            for task in tasks:
                task()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _budget_updater(self, link: FleetLink) -> Callable[[], None]:
        """A task that tells the module this gateway's share of the fleet's budget for starting workers."""
        share = link.node.shares["cold"]
        part, previous = RampShare(share.reserved_ppm), (0, 0)

        def update() -> None:
            nonlocal previous
            now = link.now_us()
            divisor, expires_at = part.update(now, share.ppm(now)), share.loan_expires_at(now)
            if (divisor, expires_at) != previous:
                previous = divisor, expires_at
                expires_us = self.clock.now_us() + expires_at - now if expires_at else 0
                self.engine.set_budget_divisor(divisor, expires_us, router_count(share.reserved_ppm))
                self.log(
                    "debug", "fleet-part", routers=divisor, at_us=self.clock.now_us(), until_us=expires_us
                )

        return update

    def _limit_connections(self, link: FleetLink) -> None:
        """Limit this gateway's connections to its share of those that a worker accepts from all gateways.

        The limit rises and falls at once, at most half a period late; a process that is paused keeps its open
        connections.
        """
        share, now = link.node.shares["connections"], link.now_us()
        parts = min(share.ppm(now), share.ppm(now + int(2e6 * STEP_INTERVAL_S)))
        self.link.limit_connections(self.site.workers.worker_connections * parts // TOTAL_PPM)

    def _authenticate(self, packet: Connect) -> Reason | None:
        users = self.site.listener.user if self.site.listener else ()
        if not users:
            return None
        for user in users:
            if packet.username == user.name and packet.password == user.password.encode():
                return None
        return Reason.BAD_CREDENTIALS

    async def _handle_http(self, request: Request, stream: IOStream) -> Response:
        if request.target == "/healthz":
            up = "up" if not self._stopping else "stopping"
            return Response(200 if not self._stopping else 503, {}, f"{up}\n".encode())
        if request.target == "/readyz":  # so that load balancers avoid a gateway without a ready worker
            ready = not self._stopping and any(worker.ready for worker in self.engine.router.workers.values())
            return Response(200 if ready else 503, {}, b"ready\n" if ready else b"no worker is known\n")
        if request.target == "/fleet":
            status = self.fleet.node.status(self.fleet.now_us()) if self.fleet else None
            if status is not None and self.watch:
                status |= self.watch.status()
            return Response(200, {"content-type": "application/json"}, msgspec.json.encode(status) + b"\n")
        if request.target.startswith("/sites/") and request.method == "POST" and self.watch:
            site, _, command = request.target[7:].rpartition("/")
            error = self.watch.execute_command(site, command, request.headers.get("swiftwell-who", "unknown"))
            return Response(200 if not error else 404, {}, f"{error or 'ordered'}\n".encode())
        if request.target == "/metrics":
            from swiftwell.gateway.metrics import page  # imported only if used: it takes a tenth of a start

            return Response(200, {"content-type": "text/plain"}, page(self))
        if request.target.startswith("/v1/health/service/") and self._list_service:
            return self._list_for_peers()
        return Response(404, {}, b"no such page\n")

    def _list_for_peers(self) -> Response:
        """The known workers and the age of the live list, for a gateway that starts without a list."""
        assert self._list_service
        if not self._list_service.last_response_s:
            return Response(503, {}, b"no live list since the start\n")
        age_ms = max(0, int((time.monotonic() - self._list_service.last_response_s) * 1e3))
        instances = [
            sources.service_instance(known.entry, self.clock.wall_ms_of(known.entry.started_us))
            for known in self.engine.roster.known.values()
            if not known.left_us
        ]
        headers = {"x-consul-index": str(self._list_service.index), "x-swiftwell-age-ms": str(age_ms)}
        return Response(200, headers, msgspec.json.encode(instances))

    def sizes(self) -> dict[str, int]:
        """The size of each table, queue and pool."""
        sizes = tables(self.engine) | self.link.sizes()
        if self.endpoint:
            sizes |= {"connections": self.endpoint.connections, "sessions": len(self.endpoint.clients)}
        for link in self.amqp:
            sizes |= {f"{link.link.name}_{name}": size for name, size in link.consumer.sizes().items()}
        return sizes

    def _sweep(self) -> None:
        self.link.sweep()
        self.logs.sweep()
        self.books.write_if_due(
            self.clock.now_us(),
            lambda: snapshot.capture(self.engine.router, calls=False),
            self.clock.anchor_us,
        )
        if self.keeper and self._list_service:
            self.keeper.epoch = self._list_service.index
            self.keeper.save_if_due(int(self._list_service.last_response_s * 1e6))

    async def stop(self) -> None:
        """Accept nothing new, let calls in flight end, answer the remaining ones, and close."""
        if self._stopping:
            return
        while self.frozen:  # a handover is in its last step, which has a time limit
            await asyncio.sleep(0.01)
        self._stopping = True
        self.log("info", "stopping", calls=self.engine.open)
        if self.endpoint:
            self.endpoint.stop_listening()
        self.enqueue(ports.Stop())
        deadline_us = self.clock.now_us() + int(STOP_TIMEOUT_S * 1e6)
        while self.engine.open and self.clock.now_us() < deadline_us:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)  # for the last answers to be sent
        for link in (*self.subscribers, *self.amqp):
            link.close()
        if self.endpoint:
            self.endpoint.close()
        for task in self._tasks:
            task.cancel()
        if self.fleet:
            self.fleet.close()
        if self._health:
            self._health.stop()
        self._sweeper.stop()
        self.link.close()
        if self.journal:
            self.journal.close()
        if self.keeper:
            self.keeper.close()
        self.books.close()
        if self._handover_offer:
            self._handover_offer.close()
        if self._lock >= 0:
            os.close(self._lock)
        self.log("info", "stopped")
        self.ended.set()

    def on_signals(self, successor: list[str] | None = None) -> None:
        """Stop on SIGTERM and SIGINT; on SIGUSR2 start a successor by this command line, to take over."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: asyncio.ensure_future(self.stop()))
        if successor:
            loop.add_signal_handler(signal.SIGUSR2, self._start_successor, successor)

    def _start_successor(self, command: list[str]) -> None:
        self.log("info", "successor", words=" ".join(command))
        subprocess.Popen(command, start_new_session=True, stdin=subprocess.DEVNULL)
