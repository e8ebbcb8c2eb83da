"""A service that lists the workers: Consul's long polling (GET /v1/health/service/NAME), with a set delay."""

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
from swiftwell.standins.ports import ReservedPort


class Listing:
    """A worker list that shows each change `late_s` after it was reported with `put`."""

    def __init__(self, trace: Trace, late_s: float = 0.5) -> None:
        self.trace, self.late_s = trace, late_s
        self._shown: dict[str, dict[str, object]] = {}
        self.index = 1
        self._changed = asyncio.Event()
        # By gateway and worker: the state and the start time that the gateway was last sent.
        self._sent: dict[str, dict[str, tuple[str, object]]] = {}
        self._fault_ends_at: dict[str, float] = {}
        self.server = Server(self._handle_request)
        self._port = 0
        self._reserved: ReservedPort | None = None

    def start(self, port: int = 0) -> int:
        """Starts listening and returns the port."""
        if not port:
            self._reserved = ReservedPort()  # it listens there again after some faults
            port = self._reserved.number
        self._port = self.server.start_on(port)
        return self._port

    def put(self, worker: str, state: str = "running", now: bool = False, **meta: object) -> None:
        """Reports a change of a worker, listed at once if `now` is set.

        `state` is "running", "draining" or "gone".  `meta` has the keys kind, zone, cell and started_ms.
        """
        if now:
            self._show(worker, state, meta)
        else:
            IOLoop.current().call_later(self.late_s, self._show, worker, state, meta)

    def _show(self, worker: str, state: str, meta: dict[str, object]) -> None:
        if state == "gone":
            self._shown.pop(worker, None)
        else:
            self._shown[worker] = {"state": state, **meta}
        self.index += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def fault(self, name: str, for_s: float) -> None:
        """Injects a fault for `for_s` seconds.

        down: the server does not listen.  hang: requests get no response.  cut: responses are truncated.
        empty: no workers are listed.  half: every second worker is listed.  back: the index goes backwards.
        malformed: every third entry is not an instance.  slow: responses take one second longer.
        """
        if name not in ("down", "hang", "cut", "empty", "half", "back", "malformed", "slow"):
            raise ValueError(f"unknown fault {name!r}")
        self.trace.note("fault", worker="list", fault=name, for_s=for_s)
        self._fault_ends_at[name] = time.monotonic() + for_s
        if name == "down":
            self.server.stop()
            for stream in list(self.server.streams):
                stream.close()
            IOLoop.current().call_later(for_s, self._listen_again)
        self._changed.set()
        self._changed = asyncio.Event()

    def _listen_again(self) -> None:
        self.server = Server(self._handle_request)
        self.server.start_on(self._port)

    def _has_fault(self, fault: str) -> bool:
        return time.monotonic() < self._fault_ends_at.get(fault, 0.0)

    async def _handle_request(self, request: Request, stream: IOStream) -> Response | None:
        target = urlsplit(request.target)
        if not target.path.startswith("/v1/health/service/"):
            return Response(404, {}, b"no such resource\n")
        parameters = {name: values[-1] for name, values in parse_qs(target.query).items()}
        gateway = request.headers.get("swiftwell-gateway", "")
        self.trace.note("list-asked", gw=gateway)
        client_index = int(parameters.get("index", "0")) if parameters.get("index", "0").isdigit() else 0
        wait_s = float(parameters.get("wait", "10s").rstrip("s") or 10)
        deadline = time.monotonic() + wait_s
        while client_index >= self.index and client_index and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.01, deadline - time.monotonic()))
            except TimeoutError:
                break
        if self._has_fault("hang"):
            await asyncio.sleep(max(0.0, self._fault_ends_at["hang"] - time.monotonic()))
            return None
        return await self._respond(gateway, stream, client_index == 0)

    async def _respond(self, gateway: str, stream: IOStream, is_first_request: bool) -> Response | None:
        listed = dict(self._shown)
        if self._has_fault("empty"):
            listed = {}
        elif self._has_fault("half"):
            listed = dict(list(listed.items())[::2])
        if self._has_fault("slow"):
            await asyncio.sleep(1.0)
        body: list[object] = [_encode_instance(worker, meta) for worker, meta in listed.items()]
        if self._has_fault("malformed"):
            body[::3] = ["not an instance" for _ in body[::3]]
        index = max(1, self.index - 3) if self._has_fault("back") else self.index
        response = Response(200, {"x-consul-index": str(index)}, msgspec.json.encode(body))
        if self._has_fault("cut"):
            await stream.write(encode(response)[: -len(response.body) // 2])
            return None
        # Traced just before the response is written.  A gateway can't have received it sooner, and the
        # checker's grace period starts here, which is the stricter side.
        if _has_disconnected(stream):
            return None  # the process that asked has ended; one started since has not received this
        previous, current = self._sent.get(gateway, {}), {}
        for worker, meta in listed.items():
            current[worker] = (str(meta["state"]), meta.get("started_ms", 0))
            # The first request comes from a new process, which has no earlier state.
            if is_first_request or previous.get(worker) != current[worker]:
                self.trace.note(
                    "told", gw=gateway, worker=worker, state=current[worker][0], started=current[worker][1]
                )
        for worker in previous:
            if worker not in current:
                self.trace.note("told", gw=gateway, worker=worker, state="gone", started=0)
        self._sent[gateway] = current
        return response


def _has_disconnected(stream: IOStream) -> bool:
    """Whether the client has disconnected; peeks at the socket, as a stream notices this only when read."""
    try:
        return stream.closed() or stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _encode_instance(worker: str, meta: dict[str, object]) -> dict[str, object]:
    host, _, port = worker.rpartition(":")
    status = "passing" if meta["state"] == "running" else "warning"
    metadata = {name: str(value) for name, value in meta.items()}
    return {
        "Node": {"Node": host},
        "Service": {"ID": worker, "Service": "calc", "Address": host, "Port": int(port), "Meta": metadata},
        "Checks": [{"CheckID": "service", "Status": status}],
    }
