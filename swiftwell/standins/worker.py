"""A calc server on a socket: the worker protocol over the model, with faults.  docs/worker-protocol.md is
its contract."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from urllib.parse import unquote

import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from swiftwell.http.client import Client, Unreachable
from swiftwell.http.http1 import Request, Response, encode
from swiftwell.http.server import Server
from swiftwell.proof.trace import Trace
from swiftwell.standins.model import CalcServer, Done, Effect, Failed, Fell, Fetch, Machine, Stand, Work

FOREVER_S = 3_600.0
WARM_FOR_MS = 172_800_000.0  # ms that a server which is warm from the start has been up: two days


def _now() -> int:
    return time.monotonic_ns() // 1_000


class Worker:
    """One calc server.  `work_us` draws a call's work; `store` is HOST:PORT of the model store, "" for none.

    `changed` is told ("running", "draining", "gone") when the process's state changes, as its supervisor
    would see it.
    """

    def __init__(
        self, trace: Trace, machine: Machine, seed: int, work_us: dict[str, float], store: str = "",
        warm: bool = True, changed: object = None, keys: OrderedDict[str, int] | None = None,
    ) -> None:  # fmt: skip
        self.trace, self.machine, self._store = trace, machine, store
        self._chance = random.Random(seed)
        self._work_us = work_us
        self._changed, self._keys = changed, keys
        self.model = CalcServer(machine, _now(), cold=not warm, keys=keys)
        self.started_ms = time.time() * 1e3 - (WARM_FOR_MS if warm else 0)
        self._server: Server | None = None
        self.name, self._port = "", 0
        self._waiting: dict[Work, asyncio.Future[str]] = {}
        self._orders: dict[str, list[asyncio.Future[bool]]] = {}
        self._timer: object = None
        self._tasks: set[asyncio.Task] = set()
        self.draining = self.down = False
        self.tells_start = True
        self._full: dict[str, float] = {}
        self._until: dict[str, float] = {}  # fault: when it ends
        self._life = 0

    # Start and end of the process that this stands for.

    def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        self._server = Server(self._answer, on_open=self._connected)
        self._port = self._server.start_on(port)
        self.name = f"127.0.0.1:{self._port}"
        return self._port

    def die(self, back_s: float = FOREVER_S) -> None:
        """The process ends at once; a new one starts at the same address, cold and empty."""
        if self.down:
            return
        self.down = True
        self._life += 1
        self.trace.note("died", worker=self.name)
        assert self._server
        self._server.stop()
        for stream in list(self._server.streams):
            stream.close()
        self._waiting.clear()
        self._orders.clear()
        self._until.clear()
        self._full.clear()
        self._tell("gone")
        if back_s < FOREVER_S:
            IOLoop.current().call_later(back_s, self._back)

    def _back(self) -> None:
        self.model = CalcServer(self.machine, _now(), cold=True, keys=self._keys)
        self.started_ms = time.time() * 1e3
        self.draining = self.down = False
        self._server = Server(self._answer, on_open=self._connected)
        self._server.start_on(self._port)
        self.trace.note("started", worker=self.name)
        self._tell("running")

    def drain(self, back_s: float = FOREVER_S, end_s: float = 5.0) -> None:
        """Finish what is here, take nothing new, end, and come back as a new process."""
        self.draining = True
        self.trace.note("draining", worker=self.name)
        self._tell("draining")
        IOLoop.current().call_later(end_s, self.die, back_s)

    def _connected(self, open: int) -> None:
        self.trace.note("connection", worker=self.name, open=open)

    def _tell(self, state: str) -> None:
        if self._changed:
            self._changed(self, state)  # type: ignore[operator]

    # Faults; each ends after `for_s`.

    def fault(self, name: str, for_s: float = FOREVER_S, **more: float | str) -> None:
        """hang, pause, slow (times), full (band), mute, reset, die_after, twice, large (bytes), refuse."""
        self.trace.note("fault", worker=self.name, fault=name, for_s=for_s)
        if name not in (
            "hang",
            "pause",
            "slow",
            "full",
            "mute",
            "reset",
            "die_after",
            "twice",
            "large",
            "refuse",
        ):
            raise ValueError(f"no fault {name!r}")
        if name == "full":
            self._full[str(more.get("band", ""))] = time.monotonic() + for_s
            return
        self._until[name] = time.monotonic() + for_s
        if name in ("hang", "pause"):
            self.model.advance(_now())
            self.model.frozen = True
            IOLoop.current().call_later(for_s, self._thaw)
        elif name == "slow":
            self._carry(self.model.advance(_now()))
            self.model.slow = float(more.get("times", 5.0))
            IOLoop.current().call_later(for_s, self._normal)
        elif name == "large":
            self._large = int(more.get("bytes", 4_000_000))
        elif name == "refuse" and self._server:
            self._server.stop()
            for stream in list(self._server.streams):
                stream.close()
            IOLoop.current().call_later(for_s, self._listen_again)

    def _listen_again(self) -> None:
        if not self.down:
            self._server = Server(self._answer, on_open=self._connected)
            self._server.start_on(self._port)

    def _thaw(self) -> None:
        self.model.advance(_now())
        self.model.frozen = False
        self._arm()

    def _normal(self) -> None:
        self._carry(self.model.advance(_now()))
        self.model.slow = 1.0
        self._arm()

    def _has(self, fault: str) -> bool:
        return time.monotonic() < self._until.get(fault, 0.0)

    # Serving.

    async def _answer(self, request: Request, stream: IOStream) -> Response | None:
        life = self._life
        gateway = request.headers.get("swiftwell-gateway", "")
        while self._has("pause"):  # stands still: what comes waits in its socket
            await asyncio.sleep(0.005)
        if life != self._life:
            return None
        if request.target.startswith("/run/"):
            answer = await self._run(request, stream, gateway, life)
        elif request.target.startswith("/copies/"):
            answer = await self._copies(request, gateway)
        else:
            answer = Response(404, {}, b"no such resource\n")
        if answer and self.tells_start:
            answer.headers["swiftwell-started-ms"] = f"{self.started_ms:.3f}"
        return answer

    def _refusal(self, request_class: str) -> str:
        if self.draining:
            return "draining"
        until = max(self._full.get(request_class, 0.0), self._full.get("", 0.0))
        return "full" if time.monotonic() < until else ""

    async def _run(self, request: Request, stream: IOStream, gateway: str, life: int) -> Response | None:
        h = request.headers
        request_class, key = unquote(h.get("swiftwell-class", "")), unquote(h.get("swiftwell-key", ""))
        function, call = unquote(request.target[5:]), h.get("swiftwell-call", "")
        self.trace.note(
            "recv", worker=self.name, gw=gateway, call=call, key=key, band=request_class, function=function
        )
        verdict = self._refusal(request_class)
        work = Work(
            call, function, self._draw(request_class), float(h.get("swiftwell-memory-mb", "100")),
            max(1, int(h.get("swiftwell-lanes", "1"))), key, request_class,
        )  # fmt: skip
        if not verdict:
            taken, effects = self.model.arrive(_now(), work)
            verdict = "" if taken == "taken" else taken
            if not verdict:
                self._waiting[work] = asyncio.get_running_loop().create_future()
            self._carry(effects)
        report = {"swiftwell-held": str(self.model.held), "swiftwell-crowd": str(work.crowd)}
        if verdict:
            self.trace.note("turned", worker=self.name, gw=gateway, call=call, verdict=verdict)
            status = 404 if verdict == "miss" else 503
            return Response(status, {"swiftwell-verdict": verdict, **report})
        future = self._waiting.get(work)
        if future is None:  # pushed over by this very call
            return None
        end = await future
        if life != self._life:
            return None
        if end != "done":
            return Response(500, report, b"the model could not be loaded\n")
        return await self._finish(work, stream, report)

    async def _finish(self, work: Work, stream: IOStream, report: dict[str, str]) -> Response | None:
        if self._has("mute"):  # the answer is lost; the connection stays open
            self.trace.note("muted", worker=self.name, call=work.id)
            await stream.read_until_close()
            return None
        body = f"{work.function} {work.id}".encode()
        if self._has("large"):
            body = bytes(self._large)
        answer = Response(200, {"swiftwell-found": work.found, **report}, body)
        if self._has("reset"):
            await stream.write(encode(answer)[:-3])
            return None
        if self._has("twice"):
            await stream.write(encode(answer))
        return answer

    async def _copies(self, request: Request, gateway: str) -> Response:
        function = unquote(request.target[8:])
        if request.method == "GET":
            self.trace.note("asked", worker=self.name, gw=gateway)
            answer = _count(self.model.copies(function))
            if self.draining:
                self.trace.note("turned", worker=self.name, gw=gateway, call="ask", verdict="draining")
                answer.headers["swiftwell-verdict"] = "draining"
            return answer
        if request.method == "DELETE":
            self._carry(self.model.unload(_now(), function))
            return _count(self.model.copies(function))
        self.trace.note("order", worker=self.name, gw=gateway, function=function)
        if self.draining:
            self.trace.note("turned", worker=self.name, gw=gateway, call="order", verdict="draining")
            return Response(503, {"swiftwell-verdict": "draining"})
        h = request.headers
        told, effects = self.model.hold(
            _now(), function, int(h.get("swiftwell-copies", "1")), float(h.get("swiftwell-memory-mb", "100")),
            max(1, int(h.get("swiftwell-lanes", "1"))),
        )  # fmt: skip
        future: asyncio.Future[bool] | None = None
        if told == "coming":
            future = asyncio.get_running_loop().create_future()
            self._orders.setdefault(function, []).append(future)
        self._carry(effects)
        if told == "full":
            return Response(503, {"swiftwell-verdict": "full"})
        if future and not await future:
            return Response(500, {}, b"the load failed\n")
        return _count(self.model.copies(function))

    def _draw(self, request_class: str) -> float:
        mean = self._work_us.get(request_class, self._work_us.get("", 100_000.0))
        return self._chance.uniform(0.5, 1.5) * mean

    # Carrying out what the model wants.

    def _carry(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Fetch():
                    task = asyncio.ensure_future(self._fetch(effect.function, self._life))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case Done():
                    self._done(effect.work)
                case Failed():
                    self._resolve(effect.work, "failed")
                case Stand():
                    for future in self._orders.pop(effect.function, ()):
                        if not future.done():
                            future.set_result(effect.ok)
                case Fell():
                    self.trace.note("fell", worker=self.name)
                    self.die()
                    return
        self._arm()

    def _done(self, work: Work) -> None:
        if not work.repeated:
            self.trace.note(
                "ran", worker=self.name, call=work.id, key=work.key, band=work.request_class, found=work.found
            )
        if self._has("die_after"):  # after the effect, before its answer
            del self._until["die_after"]
            self.die(2.0)
            return
        self._resolve(work, "done")

    def _resolve(self, work: Work, how: str) -> None:
        future = self._waiting.pop(work, None)
        if future and not future.done():
            future.set_result(how)

    def _arm(self) -> None:
        if self._timer:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None
        due = self.model.next(_now())
        if due is not None and not self.down:
            self._timer = IOLoop.current().call_later(max(0.0, (due - _now()) / 1e6), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if not self.down:
            self._carry(self.model.advance(_now()))

    async def _fetch(self, function: str, life: int) -> None:
        ok = True
        if self._store:
            host, _, port = self._store.rpartition(":")
            client = Client(host, int(port))
            try:
                answer = await client.fetch(Request("GET", "/model/" + function.replace(" ", "%20")), 30.0)
                ok = answer.status == 200
            except (Unreachable, StreamClosedError):
                ok = False
            client.close()
        if life == self._life:
            self._carry(self.model.fetched(_now(), function, ok))


def _count(copies: int) -> Response:
    return Response(200, {"content-type": "application/json"}, msgspec.json.encode({"copies": copies}))
