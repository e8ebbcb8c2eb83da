"""Stand-ins for cases 6 and up: clients, workers, paths, the journal service and the platform.

Only the standard library is used, and the wire formats are written anew here, not taken from the router.
A case runs its stand-ins in one process and the router in a process of its own, started by the deploy file's
`run`.  Everything listens on loopback addresses and on ports that the kernel chose.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
KEY = "7f3a9c21e0b4d655"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
_RESET = struct.pack("ii", 1, 0)


class Record:
    """`record.txt` of a case: one line for each thing that happened, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.add("run", trouble=int(TROUBLE))

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, event: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


def lane(name: str, effect: str, deadline_ms: float = 2_500.0, target_ms: float = 600.0, **more: object):
    return {"name": name, "effect": effect, "target-ms": target_ms, "deadline-ms": deadline_ms,
            "dedup-scope": "all", "memory-span-ms": 5_000.0, "value": 2.0, "late-value": 0.2,
            "streamed": False, **more}  # fmt: skip


def settings(**more: object) -> dict:
    """Settings of the form and with the figures of temuco-red, with less traffic."""
    base = {
        "balancers": 1, "position": 0, "tick-ms": 4.0, "discovery": "pushed", "domain-type": "warm",
        "customers": [{"name": "acme", "portion": 1.0, "quota-rps": 100.0}],
        "failure-domains": ["temuco-1"], "flavors": ["estandar"], "locality": "temuco-1",
        "lanes": [lane("lectura", "idempotent"), lane("consigna", "at_most_once")],
        "family-info": {"idle-life-ms": 11_000.0, "may-load": True, "memory-mb-by-kind": [13_376.0],
                        "miss-mode": "load", "order-timeout-ms": 10_000.0, "load-free": 0.0,
                        "load-share": 0.0, "load-window-ms": 0.0, "tells-warm": True, "tells-crowd": True},
        "limits": {"cancel": True, "conn-idle-ms": 30_000.0, "dial-timeout-ms": 250.0, "max-attempts": 3,
                   "max-open": 22_362, "max-retry-after-ms": 2_000.0, "peers": False, "probes": False,
                   "retry-after": True, "second-copies": False, "streams-per-conn": 32},
        "rules": {"answer-slack-ms": 16.0, "ask-within-ms": 10_000.0, "cold-ms": 17_000.0,
                  "cold-share": 0.16, "drain-grace-ms": 500.0, "fall-multiple": 2.0,
                  "overload-for-ms": 3_000.0},
    }  # fmt: skip
    for name, value in more.items():
        name = name.replace("_", "-")
        if isinstance(value, dict):
            base[name] = base[name] | value
        else:
            base[name] = value
    return base


def endpoint(number: int, port: int, status: str = "up", host: str = HOST, **more: object) -> dict:
    return {"name": f"s-{number:08x}", "address": f"{host}:{port}", "zone": "temuco-1", "type": "estandar",
            "group": 0, "status": status, "weight": 1, "since_ms": 0, **more}  # fmt: skip


class Router:
    """The router's process, started by `run` of the deploy file."""

    def __init__(
        self, record: Record, endpoints: list[dict], journal: int, conf: dict, **limits: int
    ) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="case-")
        with socket.socket() as probe:  # a free port; nothing else here takes ports meanwhile
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1_024} | limits
        self.endpoints, self.conf, self.events = endpoints, conf, 1
        self.file = Path(self.folder.name) / "config.json"
        self.write(journal)
        self.process: asyncio.subprocess.Process | None = None

    def write(self, journal: int) -> None:
        known = [{"pos": 1, "hosts": {"index": 0, "snapshot": True, "endpoints": self.endpoints}}]
        document = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": self.limits, "peer_listen": f"{HOST}:7946", "peers": [f"{HOST}:7946"],
            "journal": f"{HOST}:{journal}", "known": {"pos": 1, "entries": known}, "settings": self.conf,
        }  # fmt: skip
        part = self.file.with_suffix(".new")
        part.write_text(json.dumps(document))
        part.rename(self.file)

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "EDGE_NAME": "n0", "EDGE_LISTEN": f"{HOST}:{self.port}", "EDGE_CONFIG": str(self.file),
            "TMPDIR": self.folder.name,
        }  # fmt: skip
        self.log = (Path(self.folder.name) / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.add("router", pid="started")
        for _ in range(150):  # the platform waits 30 s
            await asyncio.sleep(0.2)
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with Client(self.port) as client:
                    status, _, _ = await client.ask("", path="/-/healthy", limit_s=2.0)
                    if status == 200:
                        self.record.add("router", healthy=1)
                        return
        raise NotRun("the router did not become ready")

    def memory_mb(self) -> float:
        """Resident memory of the process, as the platform sees it."""
        text = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(text[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def send(self, number: signal.Signals) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        with contextlib.suppress(OSError):
            self.log.close()
        if keep := os.environ.get("KEEP_LOG"):
            Path(keep).write_bytes((Path(self.folder.name) / "log").read_bytes())
        self.folder.cleanup()


class NotRun(Exception):
    """The case could not run."""


# Clients: FastCGI 1.0, Responder, KEEP_CONN.

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def fcgi(kind: int, number: int, content: bytes = b"") -> bytes:
    return struct.pack(">BBHHBx", 1, kind, number, len(content), 0) + content


def fcgi_begin(number: int) -> bytes:
    return fcgi(BEGIN, number, bytes((0, 1, 1, 0, 0, 0, 0, 0)))


def fcgi_pairs(fields: dict[str, str]) -> bytes:
    parts = []
    for name, value in fields.items():
        for text in (name, value):
            size = len(text.encode())
            parts.append(bytes((size,)) if size < 128 else struct.pack(">I", size | 1 << 31))
        parts += [name.encode(), value.encode()]
    return b"".join(parts)


def fcgi_request(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    parts = [fcgi_begin(number), fcgi(PARAMS, number, fcgi_pairs(fields)), fcgi(PARAMS, number)]
    if body:
        parts.append(fcgi(STDIN, number, body))
    return b"".join((*parts, fcgi(STDIN, number)))


def fields_of(id_: str, kind: str, wait_ms: int, key: str = KEY, owner: str = "acme") -> dict[str, str]:
    return {"SCRIPT_NAME": f"/api/v2/{kind}", "REQUEST_METHOD": "POST", "HTTP_REQ_ID": id_,
            "HTTP_REQ_WAIT_MS": str(wait_ms), "HTTP_REQ_OWNER": owner, "HTTP_REQ_KEY": key,
            "HTTP_REQ_COST": "8.2", "HTTP_X_TAGS": "memory_mb:512;lanes:4"}  # fmt: skip


class Client:
    """A connection of a front server.  `answers`: by number, the status, headers and body."""

    def __init__(self, port: int) -> None:
        self._port, self._number = port, 0
        self._waits: dict[int, asyncio.Future] = {}
        self._parts: dict[int, bytes] = {}
        self.closed = asyncio.Event()

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, self._port)
        self._task = asyncio.ensure_future(self._read())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()
        self.writer.close()

    async def _read(self) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                _, kind, number, size, padding = struct.unpack(">BBHHBx", await self.reader.readexactly(8))
                content = (await self.reader.readexactly(size + padding))[:size]
                if kind == STDOUT:
                    self._parts[number] = self._parts.get(number, b"") + content
                elif kind == END:
                    wait = self._waits.pop(number, None)
                    if wait and not wait.done():
                        wait.set_result(_cgi(self._parts.pop(number, b"")))
        self.closed.set()
        for wait in self._waits.values():
            if not wait.done():
                wait.set_result((0, {}, b""))

    def begin(self, id_: str, kind: str = "lectura", wait_ms: int = 2_500, body: bytes = b"",
              path: str = "", **more: str) -> tuple[int, asyncio.Future]:  # fmt: skip
        """Send a request; returns its number and a future of status, headers and body."""
        self._number += 1
        fields = {"SCRIPT_NAME": path} if path else fields_of(id_, kind, wait_ms, **more)
        wait = self._waits[self._number] = asyncio.get_running_loop().create_future()
        self.writer.write(fcgi_request(self._number, fields, body))
        return self._number, wait

    async def ask(self, id_: str, *, limit_s: float = 20.0, **more: object) -> tuple[int, dict, bytes]:
        """Status, headers and body of a request; 0 where the connection ended, -1 without an answer."""
        try:
            async with asyncio.timeout(limit_s):
                return await self.begin(id_, **more)[1]
        except TimeoutError:
            return -1, {}, b""

    def abort(self, number: int) -> None:
        self.writer.write(fcgi(ABORT, number))


def _cgi(raw: bytes) -> tuple[int, dict, bytes]:
    if not raw:
        return 0, {}, b""
    head, _, body = raw.partition(b"\r\n\r\n")
    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n"))
    return int(headers["Status"].split()[0]), headers, body


# Workers: RESP.


def resp(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class Worker:
    """A worker.  It runs each request for `work_s` and answers; `runs` is what reached it, with the time.

    A KILL or the end of a connection stops nothing, as the pages allow.  `answer` may be replaced.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.05, host: str = HOST) -> None:
        self.name, self.record, self.work_s, self.host = name, record, work_s, host
        self.runs: list[tuple[float, str, str]] = []  # time, id, class
        self.orders: list[tuple[float, dict[str, str]]] = []
        self.loaded: set[str] = set()
        self.draining = False
        self._tasks: set[asyncio.Task] = set()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, port: int = 0) -> Worker:
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            while True:
                arguments = []
                for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    arguments.append((await reader.readexactly(size + 2))[:-2])
                self.command(writer, arguments)
        writer.close()

    def command(self, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
        if arguments[0] == b"HELO":
            writer.write(resp(arguments[1], b"FIT", b"-", b""))
        elif arguments[0] == b"SPAWN":
            fields = _fields(arguments[2])
            count = int(fields["instances"])
            if count:
                self.orders.append((self.record.now(), fields))
                self.record.add("order", worker=self.name, function=fields["name"], instances=count)
                self.loaded.add(fields["name"])
            stand = 1 if fields["name"] in self.loaded else 0
            word = b"WAIT" if self.draining else b"DONE"
            writer.write(resp(arguments[1], word, b"instances=%d" % stand, b""))
        elif arguments[0] == b"FN":
            fields = _fields(arguments[2])
            id_ = arguments[1].decode()
            if self.draining:
                self.record.add("turned-away", worker=self.name, id=id_)
                writer.write(resp(arguments[1], b"WAIT", b"-", b""))
                return
            self.runs.append((self.record.now(), id_, fields["lane"]))
            self.record.add("run", worker=self.name, id=id_, lane=fields["lane"], ttl=fields["ttl"])
            task = asyncio.ensure_future(self._run(writer, id_, fields, arguments[3]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif arguments[0] == b"KILL":
            self.record.add("kill", worker=self.name, id=arguments[1].decode())

    async def _run(self, writer: asyncio.StreamWriter, id_: str, fields: dict, body: bytes) -> None:
        note = b"why=reused" if fields["name"] in self.loaded else b"why=init"
        self.loaded.add(fields["name"])
        await asyncio.sleep(self.work_s)
        self.answer(writer, id_, fields, note, body)

    def answer(self, writer: asyncio.StreamWriter, id_: str, fields: dict, note: bytes, body: bytes) -> None:
        if not writer.is_closing():
            writer.write(resp(id_.encode(), b"DONE", note + b",rivals=0", b"did " + body))

    async def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def _fields(text: bytes) -> dict[str, str]:
    return dict(part.split("=", 1) for part in text.decode().split(",")) if text != b"-" else {}


class NetworkPath:
    """The network path to one server; `port` is the one that the router is told.

    While it is cut, open connections stay open and silent: what was sent is kept and delivered once the path
    is back, as a kernel sends again what was not acknowledged, unless the connection was reset.  New ones
    never come up: nothing that was sent on them is delivered.
    """

    def __init__(self, record: Record, name: str, to_port: int) -> None:
        self.record, self.name, self._to_port = record, name, to_port
        self._up = asyncio.Event()
        self._up.set()
        self._tasks: set[asyncio.Task] = set()
        self.resets = 0

    async def start(self) -> NetworkPath:
        self.server = await asyncio.start_server(self._relay, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self) -> None:
        self._up.clear()
        self.record.add("path", name=self.name, state="cut")

    def restore(self) -> None:
        self._up.set()
        self.record.add("path", name=self.name, state="back")

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        if not self._up.is_set():  # a new connection never comes up: it carries nothing, and ends in a reset
            with contextlib.suppress(asyncio.CancelledError):
                await self._up.wait()
            _reset(writer)
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(HOST, self._to_port)
        except OSError:
            _reset(writer)
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._carry(reader, other_writer), self._carry(other_reader, writer))

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        held: asyncio.Queue[bytes] = asyncio.Queue()

        async def deliver() -> None:
            with contextlib.suppress(OSError):
                while data := await held.get():
                    await self._up.wait()
                    writer.write(data)
                await self._up.wait()
                writer.close()

        delivering = asyncio.ensure_future(deliver())
        try:
            while data := await reader.read(1 << 16):
                held.put_nowait(data)
            held.put_nowait(b"")
            await delivering
        except (OSError, asyncio.CancelledError):  # reset: what is still held is dropped
            self.resets += 1
            self.record.add("path", name=self.name, reset=1)
            delivering.cancel()
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


STATES = {"up": 0, "draining": 1, "removed": 2}


class Journal:
    """A journal service: it sends every event after the number asked for, and an empty frame each second."""

    def __init__(self, record: Record, first: list[dict]) -> None:
        self.record = record
        self.events: list[bytes] = [self._frame(1, 1, first)]
        self._changed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self.silent = False

    async def start(self, port: int = 0) -> Journal:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """The service is down: it refuses connections, and the open ones end."""
        self.record.add("journal", up=0)
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @staticmethod
    def _frame(number: int, kind: int, endpoints: list[dict]) -> bytes:
        payload = b""
        for entry in endpoints:
            host, _, port = entry["address"].rpartition(":")
            payload += struct.pack(
                ">I4sHBBBHIQ", int(entry["name"][2:], 16), socket.inet_aton(host), int(port),
                STATES[entry["status"]], 0, 0, entry["group"], int(entry["weight"] * 1_000),
                int(entry["since_ms"]),
            )  # fmt: skip
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def tell(self, endpoints: list[dict]) -> None:
        self.events.append(self._frame(len(self.events) + 1, 2, endpoints))
        for entry in endpoints:
            self.record.add("told", worker=entry["name"], state=entry["status"])
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            number = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                if not self.silent:
                    for frame in self.events[number:]:
                        writer.write(frame)
                    number = len(self.events)
                    writer.write(struct.pack(">IQB", 9, number, 0))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self._changed.wait()
        writer.close()


def main(folder: str, case) -> None:
    """Run a case, which returns a text if the rule was broken, else None; the exit code says which."""
    record = Record(Path(folder).resolve())
    loop_ended = False

    async def run() -> str | None:
        nonlocal loop_ended
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            result = await case(record)
        loop_ended = True
        return result

    try:
        broken = asyncio.run(run())
    except NotRun as error:
        record.add("not-run", why=error)
        print(f"not run: {error}")
        raise SystemExit(NOT_RUN) from None
    except (TimeoutError, asyncio.CancelledError, OSError, FileNotFoundError) as error:
        record.add("not-run", why=f"{type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}")
        raise SystemExit(NOT_RUN) from None
    record.add("result", broken=broken or "no")
    print(f"broken: {broken}" if broken else "held")
    sys.stdout.flush()
    raise SystemExit(BROKEN if broken else HELD)
