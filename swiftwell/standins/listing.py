"""The list of workers as a service, late by design: long polling in Consul's form (GET
/v1/health/service/NAME)."""

from __future__ import annotations

import asyncio
import socket
import time
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from swiftwell.http.http1 import Request, Response, encode
from swiftwell.http.server import Server
from swiftwell.proof.trace import Trace


class Listing:
    """What it was told of workers it shows `late_s` later.

    `put` takes an instance: worker, state ("running", "draining", "gone"), kind, zone, cell, started_ms.
    """

    def __init__(self, trace: Trace, late_s: float = 0.5) -> None:
        self.trace, self.late_s = trace, late_s
        self._known: dict[str, dict[str, object]] = {}
        self.index = 1
        self._changed = asyncio.Event()
        self._told: dict[
            str, dict[str, tuple[str, object]]
        ] = {}  # gateway: worker: (state, start) that it was told
        self._faults: dict[str, float] = {}
        self.server = Server(self._answer)
        self._port = 0

    def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        self._port = self.server.start_on(port)
        return self._port

    def put(self, worker: str, state: str = "running", now: bool = False, **meta: object) -> None:
        """A worker's state has changed."""
        if now:
            self._show(worker, state, meta)
        else:
            IOLoop.current().call_later(self.late_s, self._show, worker, state, meta)

    def _show(self, worker: str, state: str, meta: dict[str, object]) -> None:
        if state == "gone":
            self._known.pop(worker, None)
        else:
            self._known[worker] = {"state": state, **meta}
        self.index += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def fault(self, name: str, for_s: float) -> None:
        """down, hang, cut (answers truncated), empty, half, back (the index goes backwards), malformed,
        slow."""
        if name not in ("down", "hang", "cut", "empty", "half", "back", "malformed", "slow"):
            raise ValueError(f"no fault {name!r}")
        self.trace.note("fault", worker="list", fault=name, for_s=for_s)
        self._faults[name] = time.monotonic() + for_s
        if name == "down":
            self.server.stop()
            for stream in list(self.server.streams):
                stream.close()
            IOLoop.current().call_later(for_s, self._again)
        self._changed.set()
        self._changed = asyncio.Event()

    def _again(self) -> None:
        self.server = Server(self._answer)
        self.server.start_on(self._port)

    def _has(self, fault: str) -> bool:
        return time.monotonic() < self._faults.get(fault, 0.0)

    async def _answer(self, request: Request, stream: IOStream) -> Response | None:
        target = urlsplit(request.target)
        if not target.path.startswith("/v1/health/service/"):
            return Response(404, {}, b"no such resource\n")
        query = {name: values[-1] for name, values in parse_qs(target.query).items()}
        gateway = request.headers.get("swiftwell-gateway", "")
        self.trace.note("list-asked", gw=gateway)
        asked = int(query.get("index", "0")) if query.get("index", "0").isdigit() else 0
        wait = float(query.get("wait", "10s").rstrip("s") or 10)
        until = time.monotonic() + wait
        while asked >= self.index and asked and time.monotonic() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.01, until - time.monotonic()))
            except TimeoutError:
                break
        if self._has("hang"):
            await asyncio.sleep(max(0.0, self._faults["hang"] - time.monotonic()))
            return None
        return await self._told_to(gateway, stream, asked == 0)

    async def _told_to(self, gateway: str, stream: IOStream, anew: bool) -> Response | None:
        shown = dict(self._known)
        if self._has("empty"):
            shown = {}
        elif self._has("half"):
            shown = dict(list(shown.items())[::2])
        if self._has("slow"):
            await asyncio.sleep(1.0)
        body: list[object] = [_instance(worker, meta) for worker, meta in shown.items()]
        if self._has("malformed"):
            body[::3] = ["not an instance" for _ in body[::3]]
        index = max(1, self.index - 3) if self._has("back") else self.index
        answer = Response(200, {"x-consul-index": str(index)}, msgspec.json.encode(body))
        if self._has("cut"):
            await stream.write(encode(answer)[: -len(answer.body) // 2])
            return None
        # Noted just before it is written: a gateway can't have learnt it sooner, and the checker's grace
        # counts from
        # here, which is the stricter side.
        if _left(stream):
            return None  # to a process that is not there any more: the one started since was told nothing
        before, after = self._told.get(gateway, {}), {}
        for worker, meta in shown.items():
            after[worker] = (str(meta["state"]), meta.get("started_ms", 0))
            if anew or before.get(worker) != after[worker]:  # a new process knows nothing of what was told
                self.trace.note(
                    "told", gw=gateway, worker=worker, state=after[worker][0], started=after[worker][1]
                )
        for worker in before:
            if worker not in after:
                self.trace.note("told", gw=gateway, worker=worker, state="gone", started=0)
        self._told[gateway] = after
        return answer


def _left(stream: IOStream) -> bool:
    """Whether who asked is gone: a stream that is not read does not see its end."""
    try:
        return stream.closed() or stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _instance(worker: str, meta: dict[str, object]) -> dict[str, object]:
    host, _, port = worker.rpartition(":")
    passing = "passing" if meta["state"] == "running" else "warning"
    strings = {name: str(value) for name, value in meta.items()}
    return {
        "Node": {"Node": host},
        "Service": {"ID": worker, "Service": "calc", "Address": host, "Port": int(port), "Meta": strings},
        "Checks": [{"CheckID": "service", "Status": passing}],
    }
