"""Several router processes, workers that drain and restart, and a list service that fails in many forms.

Workers and the list service run in this process.  A command that reached a worker is judged by its time of
arrival, less the longest delay of this process's event loop.
"""

import asyncio
import json
import random
import signal
import statistics
import time
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

from platformbench import HOST, Front, document, endpoint, fields, frame, read_command, settings, worker_reply
from test_platform import RouterProcess, id_
from test_soak import CpuWaits, Lag

from swiftwell.standins.ports import ReservedPort

GRACE_S = 0.5
SOCKETS_S = 0.05  # by which the protocol extends every limit on sockets
BREAK_S, STOP_S = 2.0, 4.0  # until missed updates of a broken, a stopped list count as delivered
FUNCTIONS = tuple(f"{number:016x}" for number in range(0xA0, 0xA8))
READY, DRAINING, GONE = 0, 1, 2
STATUS = ("up", "draining", "removed")
REQUEST_TIMEOUT_S = 1.5  # of clients
# Forms in which the list stops; in the others it breaks.
STOPS = ("silent", "trickle", "ahead", "repeats", "moved")


@dataclass
class Arrival:
    """One command that reached a worker."""

    at_s: float
    kind: str  # call, order or query
    id: bytes


class CalcWorker:
    """A worker that loads functions on demand; while it drains it rejects everything new."""

    def __init__(self, number, random_, work_s=0.02):
        self.number, self.random, self.work_s, self.reserved = number, random_, work_s, ReservedPort()
        self.port = self.reserved.number
        self.id = f"s-{number:08x}"
        self.copies, self.arrivals = {}, []
        self.ran = []  # calls that must not run twice
        self.drains = []  # begin and end of each drain
        self.draining_since = self.back_at = None
        self.hangs = self.dead = False
        self._server, self._writers, self._tasks = None, set(), set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def drain(self):
        self.draining_since = time.monotonic()
        self.drains.append((self.draining_since, float("inf")))

    async def crash(self):
        """Ends the process: connections are reset and new ones refused."""
        self.dead = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.copies = {}
        await asyncio.sleep(0)

    async def restart(self, away_s):
        """Ends the process and starts it again without copies after `away_s`."""
        await self.crash()
        if self.draining_since is not None:
            self.drains[-1] = (self.draining_since, time.monotonic())
        await asyncio.sleep(away_s)
        self.draining_since, self.back_at, self.dead = None, time.monotonic(), False
        await self.start()

    async def close(self):
        self._server.close()
        self.reserved.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                self._handle(await read_command(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _handle(self, arguments, writer):
        if self.hangs:
            return
        if arguments[0] == b"HELO":
            writer.write(worker_reply(arguments[1], b"FIT"))
        elif arguments[0] == b"SPAWN":
            self._spawn(arguments, writer)
        elif arguments[0] == b"FN":
            self._call(arguments, writer)

    def _note(self, kind, id_):
        self.arrivals.append(Arrival(time.monotonic(), kind, id_))

    def _spawn(self, arguments, writer):
        options = dict(pair.split(b"=") for pair in arguments[2].split(b","))
        wanted = int(options[b"instances"])
        self._note("order" if wanted else "query", arguments[1])
        if self.draining_since is not None:
            writer.write(
                worker_reply(arguments[1], b"WAIT", b"instances=%d" % self.copies.get(options[b"name"], 0))
            )
            return
        copies = self.copies[options[b"name"]] = max(wanted, self.copies.get(options[b"name"], 0))
        writer.write(worker_reply(arguments[1], b"DONE", b"instances=%d" % copies))

    def _call(self, arguments, writer):
        self._note("call", arguments[1])
        if self.draining_since is not None:
            writer.write(worker_reply(arguments[1], b"WAIT"))
            return
        name = dict(pair.split(b"=") for pair in arguments[2].split(b","))[b"name"]
        copy_state = b"why=reused" if self.copies.get(name) else b"why=init"
        self.copies[name] = max(1, self.copies.get(name, 0))
        if b"lane=consigna" in arguments[2]:
            self.ran.append(arguments[1])
        task = asyncio.ensure_future(self._work(arguments, writer, copy_state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self, arguments, writer, copy_state):
        await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.work_s)
        if not writer.is_closing():
            writer.write(worker_reply(arguments[1], b"DONE", copy_state, b"did " + arguments[3]))


class ListService:
    """A service with the worker list; `mode` says how it fails, or is "well".

    silent: connections stay open without a frame; refusing: they are closed and new ones refused; one-frame:
    each gets one empty frame and is closed 0.7 s later; trickle: a frame that never ends; ahead: empty frames
    with the number of an event that never comes; repeats: the first event again and again.
    """

    def __init__(self):
        self.reserved, self.mode, self.events, self.records = ReservedPort(), "well", [], []
        self.port = self.reserved.number
        self._server, self._writers, self._tasks = None, set(), set()

    @property
    def number(self):
        return 1 + len(self.events)

    def add_event(self, *records):
        """Adds an event with (id, port, state) of each worker that changed."""
        self.events.append(frame(self.number + 1, 2, records))
        self.records.append(records)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def set_mode(self, mode):
        """Fails in this way, or is available, from now on."""
        self.mode = mode
        if mode in ("refusing", "one-frame"):
            for writer in list(self._writers):
                writer.close()
        if mode == "refusing":
            self._server.close()
        elif not self._server.is_serving():
            await self.start()

    async def close(self):
        self._server.close()
        self.reserved.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            held = int.from_bytes(await reader.readexactly(8), "big")
            await self._follow(held, writer)
        self._writers.discard(writer)
        writer.close()

    async def _follow(self, held, writer):
        mode, next_frame_at, first = self.mode, time.monotonic(), held
        if mode == "one-frame":
            writer.write(frame(held))
            await asyncio.sleep(0.7)
            return
        if mode == "trickle":
            writer.write(frame(held + 1, 1, [(1, 80, READY)] * 9_000)[:20])
        while not writer.is_closing():
            if self.mode != "well" and mode == "well":
                mode = self.mode  # a connection that stopped sends nothing more
            now = time.monotonic()
            if mode == "well" and self.number > held:
                writer.write(b"".join(self.events[held - 1 :]))
                held = self.number
            elif mode == "trickle":
                writer.write(bytes(160))  # 4 KB in 1.3 s
            elif now >= next_frame_at and mode in ("well", "ahead", "repeats"):
                next_frame_at = now + 1.0
                full_list = frame(first, 1, [(1, 80, READY)])
                writer.write({"well": frame(held), "ahead": frame(held + 1)}.get(mode, full_list))
            await asyncio.sleep(0.05)


@dataclass
class ClientResults:
    """What clients saw."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    late: list[tuple[int, float]] = field(default_factory=list)  # client, and s beyond its time-out
    unanswered: list[tuple[int, float, float]] = field(default_factory=list)  # client, when sent, when closed
    took_s: list[float] = field(default_factory=list)


class Client:
    """A client that calls and pauses in turn on one connection."""

    def __init__(self, port, number, seen, random_, pause_s):
        self.port, self.number, self.seen, self.random, self.pause_s = port, number, seen, random_, pause_s
        self.stopping = False

    async def run(self):
        while not self.stopping:
            with suppress(OSError):
                async with Front(self.port) as front:
                    while not self.stopping and await self._call(front):
                        await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.pause_s)
            await asyncio.sleep(0.01)

    async def _call(self, front):
        self.seen.requests += 1
        request_id = id_(self.number * 1_000_000 + self.seen.requests)
        request_class = "consigna" if self.random.random() < 0.15 else "lectura"
        function = FUNCTIONS[min(int(self.random.expovariate(0.5)), len(FUNCTIONS) - 1)]
        began = time.monotonic()
        status, _, _ = await front.ask(
            1, fields(request_id, request_class, wait="1500", HTTP_REQ_KEY=function)
        )
        took_s = time.monotonic() - began
        if status == 200:
            self.seen.served += 1
            self.seen.took_s.append(took_s)
        elif status in (429, 503):
            self.seen.refused += 1
        elif status:
            self.seen.failed += 1
        if not status:
            self.seen.unanswered.append((self.number, began, began + took_s))
        elif took_s > REQUEST_TIMEOUT_S + SOCKETS_S:
            self.seen.late.append((self.number, took_s - REQUEST_TIMEOUT_S))
        return bool(status)


@dataclass
class Verdict:
    """The result of a scenario."""

    late_calls: int
    late_orders: int
    doubled: int
    queries: int
    seen: ClientResults
    lag_s: float

    @property
    def served(self):
        return self.seen.served / max(1, self.seen.requests)

    @property
    def median_ms(self):
        return round(statistics.median(self.seen.took_s) * 1e3, 1)

    def __str__(self):
        seen = self.seen
        return (
            f"late calls {self.late_calls}, late orders {self.late_orders}, doubled {self.doubled}, "
            f"queries {self.queries}, served {seen.served} of {seen.requests}, refused {seen.refused}, "
            f"failed {seen.failed}, late answers {len(seen.late)}, unanswered {len(seen.unanswered)}, "
            f"median {self.median_ms} ms, "
            f"lag {self.lag_s * 1e3:.0f} ms"
        )


class Scene:
    """Routers, workers, clients and the list of one scenario."""

    def __init__(self, folder, routers, workers, seed=1, orders=True, **limits):
        self.folder, self.random = folder, random.Random(seed)
        self.workers = [CalcWorker(number, random.Random(seed + number)) for number in range(1, workers + 1)]
        self.list, self.lag, self.seen = ListService(), Lag(), ClientResults()
        self.routers, self.clients, self._tasks, self.logs = [], [], [], []
        self._count, self._limits = routers, limits
        self.orders = orders
        self.outage_at = self.broke_at = None  # when the outage began, and when the list first broke in it
        self.restarts = {}  # router: when it was restarted in the outage, with the list of that moment

    def config(self):
        """A router's configuration."""
        defaults = settings()
        changed = settings(
            **{
                "balancers": self._count,
                "family-info": defaults["family-info"]
                | {"may-load": self.orders, "order-timeout-ms": 10_000.0, "tells-warm": True},
                "rules": defaults["rules"] | {"drain-grace-ms": GRACE_S * 1e3, "cold-ms": 20_000.0},
                "limits": defaults["limits"] | self._limits,
            }
        )
        configuration = document([worker.port for worker in self.workers], self.list.port)
        return configuration | {"settings": changed}

    @asynccontextmanager
    async def playing(self, clients, pause_s):
        """Starts everything; clients call until the end."""
        async with AsyncExitStack() as stack:
            for part in (*self.workers, self.list):
                await part.start()
                stack.push_async_callback(part.close)
            for number in range(self._count):
                folder = self.folder / f"r{number}"
                folder.mkdir(parents=True)
                self.routers.append(stack.enter_context(RouterProcess(folder, self.config())))
            for router in self.routers:
                self._read_log(router)
            await asyncio.gather(*(router.up() for router in self.routers))
            self.waits = CpuWaits("self", *(router.process.pid for router in self.routers))
            monitors = [asyncio.ensure_future(monitor.watch()) for monitor in (self.lag, self.waits)]
            for number in range(clients * self._count):
                router = self.routers[number % self._count]
                client = Client(router.port, 1 + number, self.seen, self.random, pause_s)
                self.clients.append(client)
                self._tasks.append(asyncio.ensure_future(client.run()))
            try:
                yield self
                await self._finish()
            finally:
                for task in (*monitors, *self._tasks):
                    task.cancel()

    async def _finish(self):
        """Waits for the answers to all open calls."""
        for client in self.clients:
            client.stopping = True
        await asyncio.wait(self._tasks, timeout=3.0)

    def _read_log(self, router):
        """Reads a router's log, as a full pipe would block the router."""

        def read():
            with suppress(ValueError):  # closed with its process
                return router.process.stderr.read()

        self.logs.append(asyncio.ensure_future(asyncio.to_thread(read)))

    def _note_outage(self, mode):
        now = time.monotonic()
        self.outage_at = self.outage_at or now
        if mode not in STOPS:
            self.broke_at = self.broke_at or now

    async def outage(self, mode):
        """Begins an outage of the list in this form."""
        self._note_outage(mode)
        await self.list.set_mode(mode)

    async def moved_to_silence(self):
        """Moves the list to an address that accepts connections and sends nothing."""
        self._note_outage("moved")
        service = ListService()
        service.mode = "silent"
        await service.start()
        await self.move(service.port)
        return service

    async def move(self, port):
        """Gives each router a configuration with this port for the list, and SIGHUP."""
        for router in self.routers:
            configuration = json.loads(router.file.read_text()) | {"journal": f"{HOST}:{port}"}
            router.file.write_text(json.dumps(configuration))
            router.process.send_signal(signal.SIGHUP)

    def known(self):
        """The events of the list so far, in the form of a configuration."""
        first = [endpoint(worker.number, worker.port) for worker in self.workers]
        entries = [{"pos": 1, "hosts": {"index": 0, "snapshot": True, "endpoints": first}}]
        for number, records in enumerate(self.list.records, 2):
            changed = [endpoint(id_, port, STATUS[state]) for id_, port, state in records]
            entries.append({"pos": number, "hosts": {"index": 0, "snapshot": False, "endpoints": changed}})
        return {"pos": len(entries), "entries": entries}

    async def restart_router(self, number):
        """Kills a router and starts it again at its address, with the present list."""
        router = self.routers[number]
        router.process.kill()
        await asyncio.to_thread(router.process.wait)
        configuration = json.loads(router.file.read_text()) | {"known": self.known()}
        self.restarts[number] = time.monotonic()
        router.file.write_text(json.dumps(configuration))
        router.start()
        self._read_log(router)
        await router.up()

    def busiest(self):
        """The running, not draining worker with the most arrivals in the last second."""
        since = time.monotonic() - 1.0
        candidates = [worker for worker in self.workers if worker.draining_since is None and not worker.dead]
        return max(candidates, key=lambda worker: sum(arrival.at_s > since for arrival in worker.arrivals))

    def drain(self, worker):
        """Makes a worker drain; the list has the update at once, whether or not routers receive it."""
        worker.drain()
        self.list.add_event((worker.number, worker.port, DRAINING))

    def delivered_s(self, drained_at, router):
        """When a drain counts as delivered to a router; `router` is None if the sender is unknown."""
        delivered_at = self.outage_at + STOP_S
        if self.broke_at is not None:
            delivered_at = min(delivered_at, self.broke_at + BREAK_S)
        if router in self.restarts:  # it started in the outage with the list of that moment
            delivered_at = self.restarts[router]
        return max(drained_at, delivered_at)

    def _sender(self, arrival):
        """The router that sent a call, by the client's number in its id; None for other commands."""
        return (int(arrival.id, 16) // 1_000_000 - 1) % self._count if arrival.kind == "call" else None

    def verdict(self):
        """Judges what reached the workers."""
        late = {"call": 0, "order": 0, "query": 0}
        slack = GRACE_S + SOCKETS_S + self.lag.worst_s
        for worker in self.workers:
            for drained_at, ended_at in worker.drains:
                for arrival in worker.arrivals:
                    latest_s = self.delivered_s(drained_at, self._sender(arrival)) + slack
                    late[arrival.kind] += latest_s < arrival.at_s < ended_at
        ran = [id_ for worker in self.workers for id_ in worker.ran]
        queries = sum(arrival.kind == "query" for worker in self.workers for arrival in worker.arrivals)
        doubled = len(ran) - len(set(ran))
        return Verdict(late["call"], late["order"], doubled, queries, self.seen, self.lag.worst_s)
