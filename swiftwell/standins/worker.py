"""A calc server that serves the worker protocol (docs/worker-protocol.md) from the model, with faults."""

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
from swiftwell.standins.model import (
    CalcServer,
    Crashed,
    Done,
    Effect,
    Failed,
    Fetch,
    LoadOrderEnded,
    Machine,
    Work,
)
from swiftwell.standins.ports import ReservedPort

FOREVER_S = 3_600.0
WARM_UPTIME_MS = 172_800_000.0  # uptime that a server reports which is warm from the start: two days


def _now_us() -> int:
    return time.monotonic_ns() // 1_000


class Worker:
    """One calc server.

    `work_us` holds the mean work of a call by request class.  `store` is HOST:PORT of the model store, or ""
    for none.  `on_state_change` is called with this worker and its state ("running", "draining", "gone") when
    the process changes state, as its supervisor would see it.  `keys` are the idempotency keys by which a
    group of servers drops repeated calls together.
    """

    def __init__(
        self, trace: Trace, machine: Machine, seed: int, work_us: dict[str, float], store: str = "",
        warm: bool = True, on_state_change: object = None, keys: OrderedDict[str, int] | None = None,
    ) -> None:  # fmt: skip
        self.trace, self.machine, self._store = trace, machine, store
        self._random = random.Random(seed)
        self._work_us = work_us
        self._on_state_change, self._keys = on_state_change, keys
        self.model = CalcServer(machine, _now_us(), cold=not warm, keys=keys)
        self.started_ms = time.time() * 1e3 - (WARM_UPTIME_MS if warm else 0)
        self._server: Server | None = None
        self._reserved: ReservedPort | None = None
        self.name, self._port = "", 0
        self._call_futures: dict[Work, asyncio.Future[str]] = {}
        self._order_futures: dict[str, list[asyncio.Future[bool]]] = {}
        self._timer: object = None
        self._tasks: set[asyncio.Task] = set()
        self.draining = self.down = False
        self.reports_start_time = True
        self._full_until: dict[str, float] = {}
        self._fault_ends_at: dict[str, float] = {}  # when each active fault ends
        self._incarnation = 0

    # Start and end of the simulated process.

    def start(self, port: int = 0) -> int:
        """Starts listening and returns the port."""
        self._server = Server(self._handle_request, on_open=self._on_connection_open)
        if not port:
            self._reserved = ReservedPort()  # it listens there again after some faults
            port = self._reserved.number
        self._port = self._server.start_on(port)
        self.name = f"127.0.0.1:{self._port}"
        return self._port

    def die(self, back_s: float = FOREVER_S) -> None:
        """Ends the process at once.

        After `back_s` a new one starts at the same address, cold and without copies; no new one starts if
        `back_s` is at least FOREVER_S.
        """
        if self.down:
            return
        self.down = True
        self._incarnation += 1
        self.trace.note("died", worker=self.name)
        assert self._server
        self._server.stop()
        for stream in list(self._server.streams):
            stream.close()
        self._call_futures.clear()
        self._order_futures.clear()
        self._fault_ends_at.clear()
        self._full_until.clear()
        self._notify_state_change("gone")
        if back_s < FOREVER_S:
            IOLoop.current().call_later(back_s, self._restart)

    def _restart(self) -> None:
        self.model = CalcServer(self.machine, _now_us(), cold=True, keys=self._keys)
        self.started_ms = time.time() * 1e3
        self.draining = self.down = False
        self._server = Server(self._handle_request, on_open=self._on_connection_open)
        self._server.start_on(self._port)
        self.trace.note("started", worker=self.name)
        self._notify_state_change("running")

    def drain(self, back_s: float = FOREVER_S, end_s: float = 5.0) -> None:
        """Rejects new calls, ends the process after `end_s`, and starts a new one `back_s` later."""
        self.draining = True
        self.trace.note("draining", worker=self.name)
        self._notify_state_change("draining")
        IOLoop.current().call_later(end_s, self.die, back_s)

    def _on_connection_open(self, open_connections: int) -> None:
        self.trace.note("connection", worker=self.name, open=open_connections)

    def _notify_state_change(self, state: str) -> None:
        if self._on_state_change:
            self._on_state_change(self, state)  # type: ignore[operator]

    # Faults.  Each ends after `for_s`.

    def fault(self, name: str, for_s: float = FOREVER_S, **more: float | str) -> None:
        """Injects a fault for `for_s` seconds.

        hang: calls make no progress.  pause: as hang, and requests are not read.  slow (times): calls run
        slower by that factor.  full (band): rejects calls of the request class, or all calls if it is empty.
        mute: responses are dropped and the connection stays open.  reset: a response is truncated and the
        connection ends.  die_after: the process ends after the next call's effect and before its response.
        twice: each response is sent twice.  large (bytes): the response has a body of that size.  refuse:
        the server does not listen.
        """
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
            raise ValueError(f"unknown fault {name!r}")
        if name == "full":
            self._full_until[str(more.get("band", ""))] = time.monotonic() + for_s
            return
        self._fault_ends_at[name] = time.monotonic() + for_s
        if name in ("hang", "pause"):
            self.model.advance(_now_us())
            self.model.frozen = True
            IOLoop.current().call_later(for_s, self._unfreeze)
        elif name == "slow":
            self._execute(self.model.advance(_now_us()))
            self.model.slow = float(more.get("times", 5.0))
            IOLoop.current().call_later(for_s, self._end_slowdown)
        elif name == "large":
            self._large_body_bytes = int(more.get("bytes", 4_000_000))
        elif name == "refuse" and self._server:
            self._server.stop()
            for stream in list(self._server.streams):
                stream.close()
            IOLoop.current().call_later(for_s, self._listen_again)

    def _listen_again(self) -> None:
        if not self.down:
            self._server = Server(self._handle_request, on_open=self._on_connection_open)
            self._server.start_on(self._port)

    def _unfreeze(self) -> None:
        self.model.advance(_now_us())
        self.model.frozen = False
        self._schedule_tick()

    def _end_slowdown(self) -> None:
        self._execute(self.model.advance(_now_us()))
        self.model.slow = 1.0
        self._schedule_tick()

    def _has_fault(self, fault: str) -> bool:
        return time.monotonic() < self._fault_ends_at.get(fault, 0.0)

    # Serving.

    async def _handle_request(self, request: Request, stream: IOStream) -> Response | None:
        incarnation = self._incarnation
        gateway = request.headers.get("swiftwell-gateway", "")
        while self._has_fault("pause"):  # a paused process leaves requests unread in its socket
            await asyncio.sleep(0.005)
        if incarnation != self._incarnation:
            return None
        if request.target.startswith("/run/"):
            response = await self._handle_call(request, stream, gateway, incarnation)
        elif request.target.startswith("/copies/"):
            response = await self._handle_copies(request, gateway)
        else:
            response = Response(404, {}, b"no such resource\n")
        if response and self.reports_start_time:
            response.headers["swiftwell-started-ms"] = f"{self.started_ms:.3f}"
        return response

    def _rejection(self, request_class: str) -> str:
        if self.draining:
            return "draining"
        full_until = max(self._full_until.get(request_class, 0.0), self._full_until.get("", 0.0))
        return "full" if time.monotonic() < full_until else ""

    async def _handle_call(
        self, request: Request, stream: IOStream, gateway: str, incarnation: int
    ) -> Response | None:
        headers = request.headers
        request_class, key = (
            unquote(headers.get("swiftwell-class", "")),
            unquote(headers.get("swiftwell-key", "")),
        )
        function, call = unquote(request.target[5:]), headers.get("swiftwell-call", "")
        self.trace.note(
            "recv", worker=self.name, gw=gateway, call=call, key=key, band=request_class, function=function
        )
        verdict = self._rejection(request_class)
        work = Work(
            call, function, self._draw_work_us(request_class),
            float(headers.get("swiftwell-memory-mb", "100")),
            max(1, int(headers.get("swiftwell-lanes", "1"))), key, request_class,
        )  # fmt: skip
        if not verdict:
            admission, effects = self.model.arrive(_now_us(), work)
            verdict = "" if admission == "taken" else admission
            if not verdict:
                self._call_futures[work] = asyncio.get_running_loop().create_future()
            self._execute(effects)
        report = {"swiftwell-held": str(self.model.held), "swiftwell-crowd": str(work.function_calls_waiting)}
        if verdict:
            self.trace.note("turned", worker=self.name, gw=gateway, call=call, verdict=verdict)
            status = 404 if verdict == "miss" else 503
            return Response(status, {"swiftwell-verdict": verdict, **report})
        future = self._call_futures.get(work)
        if future is None:  # this call crashed the server
            return None
        outcome = await future
        if incarnation != self._incarnation:
            return None
        if outcome != "done":
            return Response(500, report, b"the model could not be loaded\n")
        return await self._respond(work, stream, report)

    async def _respond(self, work: Work, stream: IOStream, report: dict[str, str]) -> Response | None:
        if self._has_fault("mute"):  # the response is lost and the connection stays open
            self.trace.note("muted", worker=self.name, call=work.id)
            await stream.read_until_close()
            return None
        body = f"{work.function} {work.id}".encode()
        if self._has_fault("large"):
            body = bytes(self._large_body_bytes)
        response = Response(200, {"swiftwell-found": work.copy_state, **report}, body)
        if self._has_fault("reset"):
            await stream.write(encode(response)[:-3])
            return None
        if self._has_fault("twice"):
            await stream.write(encode(response))
        return response

    async def _handle_copies(self, request: Request, gateway: str) -> Response:
        function = unquote(request.target[8:])
        if request.method == "GET":
            self.trace.note("asked", worker=self.name, gw=gateway)
            response = _copy_count_response(self.model.copies(function))
            if self.draining:
                self.trace.note("turned", worker=self.name, gw=gateway, call="ask", verdict="draining")
                response.headers["swiftwell-verdict"] = "draining"
            return response
        if request.method == "DELETE":
            self._execute(self.model.unload(_now_us(), function))
            return _copy_count_response(self.model.copies(function))
        self.trace.note("order", worker=self.name, gw=gateway, function=function)
        if self.draining:
            self.trace.note("turned", worker=self.name, gw=gateway, call="order", verdict="draining")
            return Response(503, {"swiftwell-verdict": "draining"})
        headers = request.headers
        order_state, effects = self.model.order_load(
            _now_us(), function, int(headers.get("swiftwell-copies", "1")),
            float(headers.get("swiftwell-memory-mb", "100")),
            max(1, int(headers.get("swiftwell-lanes", "1"))),
        )  # fmt: skip
        future: asyncio.Future[bool] | None = None
        if order_state == "coming":
            future = asyncio.get_running_loop().create_future()
            self._order_futures.setdefault(function, []).append(future)
        self._execute(effects)
        if order_state == "full":
            return Response(503, {"swiftwell-verdict": "full"})
        if future and not await future:
            return Response(500, {}, b"the load failed\n")
        return _copy_count_response(self.model.copies(function))

    def _draw_work_us(self, request_class: str) -> float:
        mean = self._work_us.get(request_class, self._work_us.get("", 100_000.0))
        return self._random.uniform(0.5, 1.5) * mean

    # Execution of the model's effects.

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Fetch():
                    task = asyncio.ensure_future(self._fetch(effect.function, self._incarnation))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case Done():
                    self._on_call_done(effect.work)
                case Failed():
                    self._resolve(effect.work, "failed")
                case LoadOrderEnded():
                    for future in self._order_futures.pop(effect.function, ()):
                        if not future.done():
                            future.set_result(effect.ok)
                case Crashed():
                    self.trace.note("fell", worker=self.name)
                    self.die()
                    return
        self._schedule_tick()

    def _on_call_done(self, work: Work) -> None:
        if not work.repeated:
            self.trace.note(
                "ran",
                worker=self.name,
                call=work.id,
                key=work.key,
                band=work.request_class,
                found=work.copy_state,
            )
        if self._has_fault("die_after"):  # after the effect of the call and before its response
            del self._fault_ends_at["die_after"]
            self.die(2.0)
            return
        self._resolve(work, "done")

    def _resolve(self, work: Work, outcome: str) -> None:
        future = self._call_futures.pop(work, None)
        if future and not future.done():
            future.set_result(outcome)

    def _schedule_tick(self) -> None:
        if self._timer:
            IOLoop.current().remove_timeout(self._timer)
            self._timer = None
        due_us = self.model.next_due(_now_us())
        if due_us is not None and not self.down:
            self._timer = IOLoop.current().call_later(max(0.0, (due_us - _now_us()) / 1e6), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if not self.down:
            self._execute(self.model.advance(_now_us()))

    async def _fetch(self, function: str, incarnation: int) -> None:
        ok = True
        if self._store:
            host, _, port = self._store.rpartition(":")
            client = Client(host, int(port))
            try:
                response = await client.fetch(Request("GET", "/model/" + function.replace(" ", "%20")), 30.0)
                ok = response.status == 200
            except (Unreachable, StreamClosedError):
                ok = False
            client.close()
        if incarnation == self._incarnation:
            self._execute(self.model.on_fetched(_now_us(), function, ok))


def _copy_count_response(copies: int) -> Response:
    return Response(200, {"content-type": "application/json"}, msgspec.json.encode({"copies": copies}))
