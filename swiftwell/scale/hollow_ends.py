"""Stand-ins for the peers of a real router process on loopback: workers, journal service, front server."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Iterable
from struct import Struct

from swiftwell.fronts.fastcgi import codec

HOST = "127.0.0.1"
ZONES = ("z0", "z1", "z2", "z3", "z4", "z5")
SOCKETS = 1_024  # file descriptors of a router: the largest limit that the platform gives
MAX_OPEN = 32  # concurrent requests on a connection of a front server
DEADLINE_S = 1.5  # time that a client waits for its answer
FULL_LIST, CHANGES, NO_CHANGES = 1, 2, 0  # frame kinds of the journal service
READY, GONE = 0, 2  # worker states in the records of a frame
_FRAME_HEADER = Struct(">IQB")
_RECORD = Struct(">I4sHBBBHIQ")


def settings(routers: int = 1) -> dict[str, object]:
    """Return the `settings` of a router's configuration, in the platform's layout."""
    lane = {
        "name": "lectura",
        "effect": "idempotent",
        "target-ms": 400.0,
        "deadline-ms": 1500.0,
        "value": 2.0,
    }
    return {
        "balancers": routers, "position": 0, "tick-ms": 1.0, "discovery": "pushed", "lanes": [lane],
        "customers": [{"name": "acme", "portion": 1.0, "quota-rps": 10.0}],
        "failure-domains": list(ZONES), "flavors": ["std"], "locality": ZONES[0],
        "family-info": {"idle-life-ms": 10_000.0, "may-load": False, "memory-mb-by-kind": [8_000.0]},
        "limits": {"cancel": True, "max-attempts": 3, "retry-after": True, "max-retry-after-ms": 2_000.0,
                   "streams-per-conn": 32, "conn-idle-ms": 30_000.0, "dial-timeout-ms": 250.0},
        "rules": {"cold-ms": 1_000.0, "cold-share": 0.2, "fall-multiple": 2.0, "overload-for-ms": 3_000.0},
    }  # fmt: skip


def configuration(
    port: int, worker_port: int, journal_port: int = 9, workers: int = 1, routers: int = 1
) -> dict[str, object]:
    """Return the EDGE_CONFIG of a router whose workers all share the address of one stand-in."""
    endpoints = [
        {"address": f"{HOST}:{worker_port}", "group": 0, "name": f"s-{number:08x}", "since_ms": 0,
         "status": "up", "type": "std", "weight": 1.0, "zone": ZONES[number % len(ZONES)]}
        for number in range(1, workers + 1)
    ]  # fmt: skip
    hosts = {"index": 0, "snapshot": True, "endpoints": endpoints}
    return {
        "name": "n0", "listen": f"{HOST}:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "journal": f"{HOST}:{journal_port}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]}, "settings": settings(routers),
    }  # fmt: skip


async def serve_worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection of a worker that answers each request at once from a loaded copy."""
    try:
        while True:
            arguments = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                arguments.append((await reader.readexactly(size + 2))[:-2])
            if arguments[0] in (b"FN", b"SPAWN"):
                reply = (
                    arguments[1],
                    b"DONE",
                    b"why=reused" if arguments[0] == b"FN" else b"instances=1",
                    b"",
                )
                writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(field), field) for field in reply))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


class JournalService:
    """Sends list changes at a fixed rate and counts the bytes; each change replaces the oldest worker."""

    def __init__(self, workers: int, changes_per_s: float, worker_port: int) -> None:
        self._workers, self._changes_per_s, self._port = workers, changes_per_s, worker_port
        self._next = itertools.count(workers + 1)
        self.bytes_written = self.changes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one router that follows the list."""
        try:
            number = int.from_bytes(await reader.readexactly(8), "big")
            oldest_worker, started, keepalive_sent_at = 1, time.monotonic(), 0.0
            while True:
                if time.monotonic() - keepalive_sent_at >= 1.0:
                    self._write(writer, number, NO_CHANGES)
                    keepalive_sent_at = time.monotonic()
                while (
                    self._changes_per_s and self.changes < (time.monotonic() - started) * self._changes_per_s
                ):
                    number, self.changes = number + 1, self.changes + 1
                    self._write(writer, number, CHANGES, ((oldest_worker, GONE), (next(self._next), READY)))
                    oldest_worker += 1
                await writer.drain()
                await asyncio.sleep(0.005)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def _write(
        self, writer: asyncio.StreamWriter, number: int, kind: int, records: Iterable[tuple[int, int]] = ()
    ) -> None:
        payload = b"".join(
            _RECORD.pack(id_, b"\x7f\0\0\1", self._port, state, id_ % len(ZONES), 0, 0, 1_000, 0)
            for id_, state in records
        )
        frame = _FRAME_HEADER.pack(9 + len(payload), number, kind) + payload
        self.bytes_written += len(frame)
        writer.write(frame)


def request(number: int, id_: int, function_key: int = 0x7F3A9C21E0B4D655) -> bytes:
    """Encode a complete FastCGI request with the request ID `number`."""
    fields = {
        "SCRIPT_NAME": "/api/v2/lectura", "REQUEST_METHOD": "POST", "HTTP_REQ_ID": f"{id_:016x}",
        "HTTP_REQ_WAIT_MS": f"{DEADLINE_S * 1e3:.0f}", "HTTP_REQ_OWNER": "acme",
        "HTTP_REQ_KEY": f"{function_key:016x}", "HTTP_REQ_COST": "8.2",
        "HTTP_X_TAGS": "memory_mb:512;lanes:2;load_ms:300",
    }  # fmt: skip
    params = b"".join(codec.pair(name.encode(), value.encode()) for name, value in fields.items())
    parts = (codec.begin(number), codec.record(codec.PARAMS, number, params))
    end_records = (codec.record(codec.PARAMS, number, b""), codec.record(codec.STDIN, number, b""))
    return b"".join(parts + end_records)


class FrontServer:
    """A connection of a front server, which carries concurrent requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._free_request_ids = list(range(1, MAX_OPEN + 1))
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self.closed_by_router = False  # whether the router closed the connection
        self._task = asyncio.ensure_future(self._read())

    @classmethod
    async def connect(cls, port: int) -> FrontServer:
        """Open a connection to a router; raises OSError."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def call(self, id_: int, function_key: int = 0x7F3A9C21E0B4D655) -> bool:
        """Return whether a request was served by its deadline; false too if no request ID is free."""
        if not self._free_request_ids:
            return False
        number = self._free_request_ids.pop()
        answer = self._pending[number] = asyncio.get_running_loop().create_future()
        self._writer.write(request(number, id_, function_key))
        try:
            async with asyncio.timeout(DEADLINE_S):
                return await answer
        except TimeoutError:
            return False  # the request ID stays in use, because the answer may still come

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()

    async def _read(self) -> None:
        bodies: dict[int, bytes] = {}
        try:
            while True:
                head = await self._reader.readexactly(codec.HEADER_BYTES)
                kind, number = head[1], int.from_bytes(head[2:4], "big")
                body = await self._reader.readexactly(int.from_bytes(head[4:6], "big") + head[6])
                if kind == codec.STDOUT:
                    bodies[number] = bodies.get(number, b"") + body
                elif kind == codec.END:
                    self._resolve(number, bodies.pop(number, b"").startswith(b"Status: 200"))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_router = True
            for number in list(self._pending):
                self._resolve(number, False)

    def _resolve(self, number: int, served: bool) -> None:
        answer = self._pending.pop(number, None)
        self._free_request_ids.append(number)
        if answer is not None and not answer.done():
            answer.set_result(served)
