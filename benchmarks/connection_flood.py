"""What a flood of client connections costs a router, and what is left for its other clients.

    python -m benchmarks.connection_flood [--rates 0 200 500 1000 2000] [--seconds 4] [--roots . OTHER]

A real router process (`python -m swiftwell.platform`) on one core, a stand-in worker that answers at once,
one steady client with `CALLS` requests a second on kept connections and on new ones, and a process that opens
so many connections a second and says nothing on them.  `--roots` names checkouts of the program; their turns
alternate, so that two builds are measured beside each other.  One JSON line a turn.  Not run in CI: it
measures time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from swiftwell.fronts.fastcgi import codec

HOST = "127.0.0.1"
CALLS = 60  # requests a second of the steady client: what a busy router of a large fleet sees
NEW_EVERY = 4  # every so many requests come on a connection of their own
WITHIN_S = 0.4  # s in which an answer is useful
DEADLINE_S = 1.5  # s a client waits
READY_S = 20.0  # s for a router to serve its first request
SOCKETS = 1_024  # descriptors of the router: the platform's largest


def _settings() -> dict:
    lane = {"name": "lectura", "effect": "idempotent", "target-ms": 400.0, "deadline-ms": 1500.0}
    return {
        "balancers": 1, "position": 0, "tick-ms": 1.0, "discovery": "pushed",
        "lanes": [lane | {"value": 2.0}], "customers": [{"name": "acme", "portion": 1.0, "quota-rps": 10.0}],
        "failure-domains": ["east"], "flavors": ["std"], "locality": "east",
        "family-info": {"idle-life-ms": 5000.0, "may-load": False, "memory-mb-by-kind": [8000.0]},
        "limits": {"cancel": True, "max-attempts": 3, "retry-after": True, "max-retry-after-ms": 2000.0,
                   "streams-per-conn": 32, "conn-idle-ms": 30000.0, "dial-timeout-ms": 250.0},
        "rules": {"cold-ms": 1000.0, "cold-share": 0.2, "fall-multiple": 2.0, "overload-for-ms": 3000.0},
    }  # fmt: skip


def _configuration(port: int, worker: int) -> dict:
    endpoint = {"address": f"{HOST}:{worker}", "group": 0, "name": "s-00000001", "since_ms": 0,
                "status": "up", "type": "std", "weight": 1.0, "zone": "east"}  # fmt: skip
    hosts = {"index": 0, "snapshot": True, "endpoints": [endpoint]}
    return {
        "name": "n0", "listen": f"{HOST}:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "journal": f"{HOST}:9",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]}, "settings": _settings(),
    }  # fmt: skip


def _request(number: int) -> bytes:
    fields = {
        "SCRIPT_NAME": "/api/v2/lectura", "REQUEST_METHOD": "POST", "HTTP_REQ_ID": f"{number:016x}",
        "HTTP_REQ_WAIT_MS": "1500", "HTTP_REQ_OWNER": "acme", "HTTP_REQ_KEY": "7f3a9c21e0b4d655",
        "HTTP_REQ_COST": "8.2", "HTTP_X_TAGS": "memory_mb:512;lanes:2;load_ms:300",
    }  # fmt: skip
    params = b"".join(codec.pair(name.encode(), value.encode()) for name, value in fields.items())
    return b"".join(
        (codec.begin(1), codec.record(codec.PARAMS, 1, params), codec.record(codec.PARAMS, 1, b""),
         codec.record(codec.STDIN, 1, b""))
    )  # fmt: skip


async def _worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers each request at once."""
    try:
        while True:
            words = []
            for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            if words[0] in (b"FN", b"SPAWN"):
                said = (words[1], b"DONE", b"why=reused" if words[0] == b"FN" else b"instances=1", b"")
                writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in said))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


class Client:
    """The steady client."""

    def __init__(self, port: int) -> None:
        self.port, self._free, self.times = port, [], []

    async def ask(self, number: int) -> None:
        """One request; its time is noted, infinite where it was not served."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S):
                served = await self._exchange(number)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            served = False
        self.times.append(time.monotonic() - began if served else float("inf"))

    async def _exchange(self, number: int) -> bool:
        if number % NEW_EVERY and self._free:
            reader, writer = self._free.pop()
        else:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        kept = False
        try:
            writer.write(_request(number))
            content = b""
            while True:
                head = await reader.readexactly(codec.HEADER)
                body = await reader.readexactly(int.from_bytes(head[4:6], "big") + head[6])
                if head[1] == codec.END:
                    break
                content += body
            kept = bool(number % NEW_EVERY)
            return content.startswith(b"Status: 200")
        finally:
            if kept:
                self._free.append((reader, writer))
            else:
                writer.close()


def _flood(port: int, rate: float, seconds: float) -> None:
    """Open connections at a rate and say nothing; those that the router ended are closed as they are seen."""
    began, opened, held = time.monotonic(), 0, []
    while (spent := time.monotonic() - began) < seconds:
        while opened < rate * spent:
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((HOST, port))
            held.append(one)
            opened += 1
        if len(held) > 1_500:
            for one in held[:500]:
                one.close()
            del held[:500]
        time.sleep(0.002)


async def _turn(root: str, rate: float, seconds: float) -> dict:
    worker = await asyncio.start_server(_worker, HOST, 0)
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(_configuration(port, worker.sockets[0].getsockname()[1]), file)
        file.flush()
        router = subprocess.Popen(
            [sys.executable, "-B", "-m", "swiftwell.platform"], cwd=root, stderr=subprocess.DEVNULL,
            env=os.environ | {"EDGE_CONFIG": file.name}, preexec_fn=lambda: os.sched_setaffinity(0, {1}),
        )  # fmt: skip
        try:
            return await _measure(router, port, rate, seconds) | {"root": root, "rate": rate}
        finally:
            router.kill()
            router.wait()
            worker.close()


async def _measure(router: subprocess.Popen, port: int, rate: float, seconds: float) -> dict:
    client = Client(port)
    until = time.monotonic() + READY_S
    while not (client.times and client.times[-1] < DEADLINE_S):
        if time.monotonic() > until:
            raise RuntimeError("the router served nothing")
        await client.ask(0)
        await asyncio.sleep(0.05)
    client.times.clear()
    flood = multiprocessing.Process(target=_flood, args=(port, rate, seconds))
    flood.start()
    process = psutil.Process(router.pid)
    before, began = process.cpu_times(), time.monotonic()
    asked, number = [], 1
    while (spent := time.monotonic() - began) < seconds:
        while number < CALLS * spent:
            asked.append(asyncio.ensure_future(client.ask(number)))
            number += 1
        await asyncio.sleep(0.002)
    after = process.cpu_times()
    await asyncio.gather(*asked)
    flood.join()
    times = sorted(client.times)
    return {
        "calls": len(times),
        "in_time": round(sum(one <= WITHIN_S for one in times) / len(times), 3),
        "p50_ms": round(min(times[len(times) // 2], DEADLINE_S) * 1e3, 1),
        "p99_ms": round(min(times[int(len(times) * 0.99)], DEADLINE_S) * 1e3, 1),
        "cores": round((after.user + after.system - before.user - before.system) / seconds, 3),
    }


def main() -> int:
    """The command line; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rates", type=float, nargs="+", default=[0, 200, 500, 1_000, 2_000, 4_000])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--roots", nargs="+", default=["."])
    args = parser.parse_args()
    for root in args.roots:
        if not (Path(root) / "swiftwell" / "platform").is_dir():
            parser.error(f"--roots: {root}: expected a checkout of the program")
    for rate in args.rates:
        for root in args.roots:
            print(json.dumps(asyncio.run(_turn(root, rate, args.seconds))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
