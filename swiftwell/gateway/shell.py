"""The shell: joins fronts, engine, ledger, list and workers on one Tornado loop, and carries outputs out.

Everything that happens is put in a list; once in a turn of the loop the engine takes it all in one step.
Nothing is
decided here.
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
from swiftwell.sites.admit import Rank
from swiftwell.sites.watch import BOARD, Watch
from swiftwell.starting.follow import LOOK_S, Follower
from swiftwell.starting.orders import Orders
from swiftwell.starting.part import Part, routers
from swiftwell.workers.link import Link, LinkBounds

if TYPE_CHECKING:
    from swiftwell.fronts.amqp.link import Link as AmqpLink

STOP_S = 5.0  # s that calls in flight may take once the gateway is told to end; then they get their answers
SWEEP_S = 1.0
FLEET_AGAIN_S = 0.5  # s between two tries to open the fleet's socket


class Gateway(BatchingLoop):
    """A running gateway.

    `make` builds the module's router; a benchmark puts another in its place.
    """

    def __init__(self, site: Site, logs: Logs, make: object = None) -> None:
        self.site = site
        told = site.told()
        if site.fleet and "cold" in site.fleet.budgets:  # no loan yet: others may have all that is lent
            own = Share("cold", len(site.fleet.member)).reserved_ppm
            told = replace(told, routers=routers(own))
        super().__init__(logs, {request_class.name: request_class.effect for request_class in told.classes})
        self._chance = random.Random(f"{site.name}/{self.clock.wall_us()}")
        keep = site.ledger
        self.ledger = Ledger(Bounds(keep.keep_s * 1_000_000, keep.entries, keep.bytes))
        seed = self._chance.getrandbits(32)
        extra = {} if make is None else {"make": make}
        self.engine = Engine(
            told, self.ledger, seed=seed, margin_us=site.margin_ms * 1_000, max_open=site.open_calls, **extra
        )
        w = site.workers
        bounds = LinkBounds(
            w.connections, w.connect_ms / 1e3, w.answer_bytes, order_s=w.order_timeout_ms / 1e3
        )
        self.link = Link(site.name, bounds, self._from_workers, self.log, self.clock.started_us)
        if w.worker_connections and site.fleet:  # no loan yet
            self.link.limit_connections(
                w.worker_connections * Share("", len(site.fleet.member)).reserved_ppm // TOTAL_PPM
            )
        self.keeper: SavedListStore | None = None
        self._service: sources.ListServiceClient | None = None
        self._lock = -1
        self.books = SnapshotFile(Path(site.state), self.log, self._loop.add_callback)
        self.resting: list[IOStream] = []
        self.adopted: Any = None
        self._opened: dict[str, list[socket.socket]] = {}  # listening already, nothing accepted yet
        self._offer: Any = None
        self.journal: Journal | None = None
        self.endpoint: Endpoint | None = None
        self.subscribers: list[Subscriber] = []
        self.amqp: list[AmqpLink] = []
        self.fleet: FleetLink | None = None
        self.follower: Follower | None = None
        self.orders: Orders | None = None
        self.watch: Watch | None = None
        self._tasks: list[asyncio.Task] = []
        self._health: Server | None = None
        self.health_port = self.listener_port = 0
        self._sweeper = PeriodicCallback(self._sweep, SWEEP_S * 1_000)
        self.ended = asyncio.Event()
        self._stopping = False

    def _after_step(self) -> None:
        if self.journal:
            self.journal.flush()

    def _execute(self, out: ports.Output) -> None:
        if isinstance(out, ports.Write) and self.journal:
            self.journal.append(out.record)
        elif isinstance(out, ports.Order) and self.orders:
            known = self.engine.router.functions.get(out.function)
            holders = known.workers_with_copies(self.clock.now_us()) if known else ()
            self.orders.order(out, len(holders))
        elif isinstance(out, ports.Recall) and self.orders and self.orders.recall(out):
            pass  # it had not gone out
        else:
            super()._execute(out)

    def _from_workers(self, what: ports.Input) -> None:
        """What happened at a worker."""
        if isinstance(what, ports.OrderEnd) and self.orders:
            self.orders.ended(what)
        if isinstance(what, ports.Asked) and self.watch and self.watch.asked(what):
            return
        self.enqueue(what)

    # Start and end.

    async def start(self) -> None:
        """Open everything; raises JournalError or OSError where something can't be."""
        self._lock_state()
        if self._has_effects:
            self._open_ledger()
        self.build_fronts()
        if self.site.listener:
            self.bind("mqtt")
        if self.site.health:
            self.bind("health")
        now = self.clock.now_us()
        if believed := self.books.load(now, self.clock.anchor_us):
            self.engine.start_at(now, self.clock.wall_us())
            self.engine.restore_router_state(believed)
        self._go(fresh=True)
        self.enqueue(ports.Listed(io.Members(io.ListKind.DELTA, ())))  # the module sets its first timers

    def take_over(self) -> None:
        """Own what `handover.state.restore` has put in; raises OSError."""
        from swiftwell.handover import state

        if self._has_effects:
            self.journal = self._journal()
        state.activate(self)
        if self.endpoint:
            self.endpoint.begin()
        self._go(fresh=False)
        self.resume()

    @property
    def _has_effects(self) -> bool:
        return any(effect is not io.Effect.SAFE for effect in self._effects.values())

    def _go(self, fresh: bool) -> None:
        """Follow the list, connect to brokers, sweep, and offer to hand over."""
        from swiftwell.handover.predecessor import HandoverServer

        self._follow_list(fresh)
        for link in (*self.subscribers, *self.amqp):
            self._tasks.append(asyncio.ensure_future(link.run()))
        if self.site.fleet:
            self._tasks.append(asyncio.ensure_future(self._join_fleet()))
        self._sweeper.start()
        self._offer = HandoverServer(self)
        self._offer.open()
        self._tasks.append(asyncio.ensure_future(self._offer.run()))

    def build_fronts(self) -> None:
        """Fronts without their sockets."""
        site = self.site
        deadlines, alone = site.deadlines_ms(), site.gateways == 1
        if site.listener:
            at = site.listener
            contract = Contract(site.topic, deadlines, site.hint, True, alone)
            bounds = EndpointBounds(
                at.connections, at.sessions, at.receive_maximum, at.packet_bytes, at.waiting_bytes,
                at.waiting_answers, at.open_calls, at.session_s, at.keep_alive_s,
            )  # fmt: skip
            self.endpoint = Endpoint(self, contract, bounds, self._admit)
        for broker in site.brokers:
            contract = Contract(site.topic, deadlines, site.hint, False, alone)
            link = BrokerLink(
                broker.name, tuple(map(host_port, broker.address)), broker.client_id or site.name,
                (f"{site.topic}/#",), broker.share, V5 if broker.version == "5.0" else V311,
                broker.username, broker.password, broker.keep_alive_s, broker.session_s,
                broker.receive_maximum, broker.packet_bytes, answers=broker.waiting_answers,
                open=broker.open_calls,
            )  # fmt: skip
            self.subscribers.append(Subscriber(self, contract, link, self._chance))
        if site.amqp:  # a tenth of a start, for those who use it
            from swiftwell.gateway.amqp import links

            self.amqp += links(self, site, deadlines, self._chance)
        if site.health:
            self._health = Server(self._answer)

    def open_new(self, offered: list[tuple[str, str, int]]) -> None:
        """Open the listening sockets that the running process does not have; raises OSError.

        Nothing is accepted from them before `take_over`.
        """
        for name, at in (("mqtt", self.site.listener), ("health", self.site.health)):
            if at and not any(one[0] == name and self.wants_listener(*one) for one in offered):
                self._opened[name] = bind_sockets(at.port, at.address, backlog=1_024)

    def bind(self, name: str) -> None:
        """Listen; raises OSError."""
        opened = self._opened.pop(name, None)
        if name == "mqtt" and self.endpoint and self.site.listener:
            at = self.site.listener
            self.listener_port = self.endpoint.listen(at.port, at.address, opened)
            self.log("info", "listening", address=f"{at.address}:{self.listener_port}")
        elif name == "health" and self._health and self.site.health:
            self.health_port = self._health.start_on(self.site.health.port, self.site.health.address, opened)

    def wants_listener(self, name: str, address: str, port: int) -> bool:
        """Whether a listening socket of another process is the one that these settings name."""
        at = self.site.listener if name == "mqtt" else self.site.health
        same = at is not None and at.address == address and at.port in (0, port)
        if same and name == "mqtt":
            self.listener_port = port
        elif same:
            self.health_port = port
        return same

    def nobody(self) -> Peer:
        """A peer for answers that can't go anywhere any more."""
        contract = Contract(self.site.topic, {}, self.site.hint, True, True)
        return Peer(self, contract, "nobody:", "", Session(1, 0), 1 << 30)

    def _lock_state(self) -> None:
        """One process for each state folder: two would write over each other's ledger and list."""
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
                self.ledger.gap_until, damage.until_us + site.ledger.keep_s * 1_000_000
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
        told = self._listed
        if workers.list:
            told_saved = lambda entries: self.enqueue(ports.Saved(entries))  # noqa: E731
            self._service = sources.ListServiceClient(
                workers.list.servers,
                workers.list.service,
                workers.list.wait_s,
                self.site.name,
                self.clock.started_us,
                told,
                self.log,
                self._chance,
                workers.list.peers,
                told_saved,
            )
            if workers.list.save:
                folder = Path(self.site.state) / "list"
                self.keeper = SavedListStore(
                    folder, self.clock, self.engine.roster, self.log, self._loop.add_callback
                )
                if fresh and (entries := self.keeper.load()):
                    told_saved(entries)
            if not (self.site.fleet and self.site.fleet.one_reader):
                self._tasks.append(asyncio.ensure_future(self._service.run()))
        elif workers.file:
            watching = sources.watch_file(Path(workers.file), self.clock.started_us, told, self.log)
            self._tasks.append(asyncio.ensure_future(watching))
        else:
            told(sources.static_list(workers))

    def _listed(self, members: io.Members) -> None:
        """A list from its source; with a reader for the zone it is told to the others as well."""
        if self.follower:
            self.follower.told(members)
        else:
            self._tell_list(members)

    def _tell_list(self, members: io.Members) -> None:
        self.enqueue(ports.Listed(members))

    async def _join_fleet(self) -> None:
        """Calls are served meanwhile, and without a fleet as well: nothing of them waits for it."""
        fleet = self.site.fleet
        assert fleet
        names = tuple(one.name for one in fleet.member)
        me = names.index(self.site.name)
        zone = fleet.member[me].zone
        shared = tuple(number for number, one in enumerate(fleet.member) if one.zone == zone)
        zones = len({one.zone for one in fleet.member})
        alone: asyncio.Task | None = None
        while True:
            try:
                told = FleetSettings(
                    names,
                    me,
                    fleet.epoch,
                    fleet.voters,
                    fleet.term_ms * 1_000,
                    fleet.period_ms * 1_000,
                    tuple(one.lease for one in fleet.drill),
                    fleet.budgets,
                    fleet.before,
                    self._boards(zone, shared),
                    read_key(fleet.key_file),
                )
                addresses = tuple(host_port(one.at) for one in fleet.member)
                listen = host_port(fleet.listen) if fleet.listen else addresses[me]
                link = FleetLink(told, listen, addresses, self.log)
                await link.start()
                break
            except OSError as error:  # a predecessor may still have the socket; a key file may come later
                self.log("error", "fleet-not-joined", why=str(error))
                if fleet.one_reader and self._service and alone is None:
                    alone = asyncio.ensure_future(self._service.run())
                    self._tasks.append(alone)
                await asyncio.sleep(FLEET_AGAIN_S)
        if alone:
            alone.cancel()
            self._tasks.remove(alone)
        self.fleet = link
        self.log("info", "fleet-joined", members=len(names), epoch=fleet.epoch)
        if fleet.one_reader and self._service:
            self.follower = Follower(
                link, f"list/{zone}", fleet.list_rate / zones, self.clock, self._tell_list, self.log,
                Backoff(self._chance),
            )  # fmt: skip
            self.follower.service = self._service
            self._tasks.append(asyncio.ensure_future(self.follower.run()))
        if fleet.sites:
            homes = [one.zone for one in fleet.member]
            self.watch = Watch(
                link, homes, self._ranks(), self.engine, self.clock, self.link.probe, self.log,
                self._chance.getrandbits(32),
            )  # fmt: skip
            self._tasks.append(asyncio.ensure_future(self.watch.run()))
        looks: list[Callable[[], None]] = []
        if fleet.one_order:
            self.orders = Orders(link, self.link.order, self.enqueue)
            looks.append(self.orders.look)
        if "cold" in fleet.budgets:
            looks.append(self._acting_by_part(link))
        if "connections" in fleet.budgets:
            looks.append(lambda: self._connect_by_part(link))
        if looks:
            self._tasks.append(asyncio.ensure_future(self._keep_looking(looks)))
        drills = [
            LeaseExercise(
                link, one.lease, self.site.name, host_port(one.resource), one.act_ms / 1e3, self.log
            ).run()
            for one in fleet.drill
        ]
        await asyncio.gather(*drills)

    def _boards(self, zone: str, shared: tuple[int, ...]) -> tuple[tuple[str, tuple[int, ...]], ...]:
        """The notice boards of this gateway: its zone's list, and the return of each site."""
        fleet = self.site.fleet
        assert fleet
        found = [(f"list/{zone}", shared)] if fleet.one_reader else []
        if fleet.sites:
            everybody = tuple(range(len(fleet.member)))
            found += [(BOARD + name, everybody) for name in sorted({one.zone for one in fleet.member})]
        return tuple(found)

    def _ranks(self) -> list[Rank]:
        """Classes in the order of sacrifice, without a plan: each the same part of the work."""
        fleet, classes = self.site.fleet, self.site.classes
        assert fleet
        named = [one for request_class in fleet.sacrifice for one in classes if one.name == request_class]
        rest = sorted((one for one in classes if one not in named), key=lambda one: (one.worth, one.name))
        return [Rank(one.name, "", 1 / len(classes), 1.0) for one in (*rest, *named)]

    @staticmethod
    async def _keep_looking(looks: list[Callable[[], None]]) -> None:
        """What is looked at now and then, all in one turn of the loop."""
        while True:
            for look in looks:
                look()
            await asyncio.sleep(LOOK_S)

    def _acting_by_part(self, link: FleetLink) -> Callable[[], None]:
        """Tell the module what part of the fleet's budget for starting workers is ours."""
        share = link.node.shares["cold"]
        part, before = Part(share.reserved_ppm), (0, 0)

        def look() -> None:
            nonlocal before
            now = link.now_us()
            divide, until = part.look(now, share.ppm(now)), share.loan_expires_at(now)
            if (divide, until) != before:
                before = divide, until
                ends = self.clock.now_us() + until - now if until else 0
                self.engine.set_budget_divisor(divide, ends, routers(share.reserved_ppm))
                self.log("debug", "fleet-part", routers=divide, at_us=self.clock.now_us(), until_us=ends)

        return look

    def _connect_by_part(self, link: FleetLink) -> None:
        """Keep to our part of the connections that a worker holds from all gateways.

        Rises and falls at once, half a step late at most; a process that stands still keeps what is open.
        """
        share, now = link.node.shares["connections"], link.now_us()
        parts = min(share.ppm(now), share.ppm(now + int(2e6 * LOOK_S)))
        self.link.limit_connections(self.site.workers.worker_connections * parts // TOTAL_PPM)

    def _admit(self, packet: Connect) -> Reason | None:
        users = self.site.listener.user if self.site.listener else ()
        if not users:
            return None
        for user in users:
            if packet.username == user.name and packet.password == user.password.encode():
                return None
        return Reason.BAD_CREDENTIALS

    async def _answer(self, request: Request, stream: IOStream) -> Response:
        if request.target == "/healthz":
            up = "up" if not self._stopping else "stopping"
            return Response(200 if not self._stopping else 503, {}, f"{up}\n".encode())
        if request.target == "/readyz":  # a balancer of clients sends nobody to one that can serve nobody
            ready = not self._stopping and any(one.ready for one in self.engine.router.workers.values())
            return Response(200 if ready else 503, {}, b"ready\n" if ready else b"no worker is known\n")
        if request.target == "/fleet":
            told = self.fleet.node.status(self.fleet.now_us()) if self.fleet else None
            if told is not None and self.watch:
                told |= self.watch.status()
            return Response(200, {"content-type": "application/json"}, msgspec.json.encode(told) + b"\n")
        if request.target.startswith("/sites/") and request.method == "POST" and self.watch:
            site, _, what = request.target[7:].rpartition("/")
            why = self.watch.order(site, what, request.headers.get("swiftwell-who", "unknown"))
            return Response(200 if not why else 404, {}, f"{why or 'ordered'}\n".encode())
        if request.target == "/metrics":
            from swiftwell.gateway.metrics import page  # a tenth of a start, for those who ask

            return Response(200, {"content-type": "text/plain"}, page(self))
        if request.target.startswith("/v1/health/service/") and self._service:
            return self._list_for_peers()
        return Response(404, {}, b"no such page\n")

    def _list_for_peers(self) -> Response:
        """What this gateway knows of workers, with the age of its live list, for one that starts without
        any."""
        assert self._service
        if not self._service.last_response_s:
            return Response(503, {}, b"no live list since the start\n")
        age_ms = max(0, int((time.monotonic() - self._service.last_response_s) * 1e3))
        shown = [
            sources.service_instance(one.entry, self.clock.wall_of(one.entry.started_us))
            for one in self.engine.roster.known.values()
            if not one.left_us
        ]
        headers = {"x-consul-index": str(self._service.index), "x-swiftwell-age-ms": str(age_ms)}
        return Response(200, headers, msgspec.json.encode(shown))

    def sizes(self) -> dict[str, int]:
        """The size of everything held."""
        found = tables(self.engine) | self.link.sizes()
        if self.endpoint:
            found |= {"connections": self.endpoint.connections, "sessions": len(self.endpoint.clients)}
        for link in self.amqp:
            found |= {f"{link.link.name}_{name}": size for name, size in link.consumer.sizes().items()}
        return found

    def _sweep(self) -> None:
        self.link.sweep()
        self.logs.sweep()
        self.books.write_if_due(
            self.clock.now_us(),
            lambda: snapshot.capture(self.engine.router, calls=False),
            self.clock.anchor_us,
        )
        if self.keeper and self._service:
            self.keeper.epoch = self._service.index
            self.keeper.save_if_due(int(self._service.last_response_s * 1e6))

    async def stop(self) -> None:
        """Take nothing new, let calls in flight end, answer what is left, close."""
        if self._stopping:
            return
        while self.frozen:  # a handover is at its last step: it ends within its limit, one way or the other
            await asyncio.sleep(0.01)
        self._stopping = True
        self.log("info", "stopping", calls=self.engine.open)
        if self.endpoint:
            self.endpoint.stop_listening()
        self.enqueue(ports.Stop())
        until = self.clock.now_us() + int(STOP_S * 1e6)
        while self.engine.open and self.clock.now_us() < until:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)  # the last answers go out
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
        if self._offer:
            self._offer.close()
        if self._lock >= 0:
            os.close(self._lock)
        self.log("info", "stopped")
        self.ended.set()

    def on_signals(self, successor: list[str] | None = None) -> None:
        """End at SIGTERM and SIGINT; at SIGUSR2 start a successor with these words, which takes over."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: asyncio.ensure_future(self.stop()))
        if successor:
            loop.add_signal_handler(signal.SIGUSR2, self._succeed, successor)

    def _succeed(self, words: list[str]) -> None:
        self.log("info", "successor", words=" ".join(words))
        subprocess.Popen(words, start_new_session=True, stdin=subprocess.DEVNULL)
