"""Triggers through an AMQP broker beside an MQTT broker: calls a second, latency, CPU a call.

One gateway pinned to one core; two stand-in brokers of each kind in processes of their own, so that no broker
is the narrow place; publishers in two processes.  The same classes, functions, bodies and rates, in turn in
one run.

    python -m benchmarks.fronts [--seconds 8] [--turns 3]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

import psutil

from benchmarks.path import ALL
from swiftwell.fronts.amqp import client as amqp
from swiftwell.fronts.mqtt.client import Client
from swiftwell.fronts.mqtt.codec import Publish
from swiftwell.proof.verdict import quantile

SITE = """
name "bench"
state "{state}"
margin-ms 20
class "lectura" wanted-ms=1000 deadline-ms=5000
class "consigna" effect="unsafe" wanted-ms=1000 deadline-ms=5000
kind "k" memory-mb=100000
workers {{ {workers}; orders false; idle-life-ms 600000; attempts 3 }}
log level="error"
health port=0
{brokers}
"""
FRONTS = {
    "mqtt": 'mqtt-broker "b{n}" receive-maximum=2000 {{ address "127.0.0.1:{port}" }}',
    "amqp": 'amqp-broker "b{n}" {{ address "127.0.0.1:{port}"; queue "calls" exchange="calls" }}',
}
LOADS = (("fastest", 0, "lectura"), ("at 400", 400, "lectura"), ("unsafe at 150", 150, "consigna"))
WINDOW = 128  # calls of one process without an answer, where it publishes as fast as it can


async def load(front: str, port: int, rate: float, seconds: float, request_class: str, tag: str) -> None:
    """One publishing process: open loop at a rate, or a window of calls where the rate is 0."""
    latencies: list[float] = []
    sent: dict[str, float] = {}
    kinds: dict[str, int] = {}
    window = asyncio.Semaphore(WINDOW)

    def took(corr: str, kind: str) -> None:
        kinds[kind] = kinds.get(kind, 0) + 1
        if corr in sent:
            latencies.append((time.perf_counter() - sent.pop(corr)) * 1e3)
            window.release()

    reply = f"answers/{tag}"
    publish = await (over_mqtt if front == "mqtt" else over_amqp)(port, reply, took)
    chance, count, began = random.Random(tag), 0, time.perf_counter()
    due = began
    while time.perf_counter() - began < seconds:
        if rate:
            due += chance.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
        else:
            await window.acquire()
        count += 1
        corr = f"{tag}-{count}"
        sent[corr] = due if rate else time.perf_counter()
        publish(request_class, f"f{int(60 ** chance.random()) - 1}", corr)
    spent = time.perf_counter() - began
    for _ in range(200):
        if not sent:
            break
        await asyncio.sleep(0.02)
    told = {"per_second": len(latencies) / spent, "latencies": latencies, "kinds": kinds, "left": len(sent)}
    print(json.dumps(told), flush=True)


async def over_mqtt(port: int, reply: str, took):  # type: ignore[no-untyped-def]
    def take(message: Publish) -> None:
        told = dict(message.properties["user"])
        took(message.properties["correlation_data"].decode(), told["status"])

    client = Client(reply, on_message=take, receive=60_000)
    await client.connect("127.0.0.1", port)
    await client.subscribe(reply)

    def publish(request_class: str, function: str, corr: str) -> None:
        user = [("key", corr), ("timeout-ms", "4500"), ("sent-ms", f"{time.time() * 1e3:.3f}")]
        properties = {"response_topic": reply, "correlation_data": corr.encode(), "user": user}
        client.publish(Publish(f"calls/t/{request_class}/{function}", b"x" * 100, 1, properties=properties))

    return publish


async def over_amqp(port: int, reply: str, took):  # type: ignore[no-untyped-def]
    def take(event) -> None:  # type: ignore[no-untyped-def]
        took(event.properties.correlation_id, event.properties.headers["status"])

    client = amqp.Client(reply, on_message=take)
    await client.connect("127.0.0.1", port)
    await client.declare_reply_queue(reply)

    def publish(request_class: str, function: str, corr: str) -> None:
        properties = amqp.trigger(corr, reply, corr, 4_500)
        client.publish("calls", f"calls.t.{request_class}.{function}", properties, b"x" * 100)

    return publish


async def spawn(*words: str, core: int | None = None) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *words, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        limit=1 << 26,
    )  # fmt: skip
    psutil.Process(process.pid).cpu_affinity(ALL[:-1] if core is None else [core])
    return process


async def heard(process: asyncio.subprocess.Process) -> dict:
    assert process.stdout
    return json.loads(await process.stdout.readline())


async def measure(args: argparse.Namespace) -> None:
    """All of it."""
    parts: list[asyncio.subprocess.Process] = []
    results: dict[tuple[str, str], list[dict]] = {}
    with tempfile.TemporaryDirectory() as folder:
        base = Path(folder)
        try:
            file = base / "ports"
            parts.append(await spawn("benchmarks.path", "worker", str(file), "24"))
            while not file.exists() or not file.read_text():
                await asyncio.sleep(0.05)
            workers = "; ".join(f'worker "127.0.0.1:{p}" kind="k"' for p in json.loads(file.read_text()))
            for turn in range(args.turns):
                for front in ("mqtt", "amqp"):
                    await one_front(args, base, front, turn, workers, parts, results)
        finally:
            for part in parts:
                if part.returncode is None:
                    part.kill()
    for name, _, _ in LOADS:
        for key in ("per_second", "p50", "p99", "cpu_us"):
            x, y = (
                sorted(row[key] for row in results[front, name])[args.turns // 2]
                for front in ("amqp", "mqtt")
            )
            print(f"{name:14} {key:10} amqp {x:9.2f}  mqtt {y:9.2f}  ratio {x / y:.2f}")


async def one_front(args, base, front, turn, workers, parts, results) -> None:  # type: ignore[no-untyped-def]
    kind = "broker" if front == "mqtt" else "amqp"
    brokers = [await spawn("swiftwell", "standin", kind) for _ in range(2)]
    parts += brokers
    ports = [(await heard(one))["port"] for one in brokers]
    site = base / f"{front}{turn}.kdl"
    nodes = "\n".join(FRONTS[front].format(n=n, port=port) for n, port in enumerate(ports))
    site.write_text(SITE.format(state=base / f"{front}{turn}", workers=workers, brokers=nodes))
    gateway = await spawn("swiftwell", "serve", str(site), "--ready", core=ALL[-1])
    parts.append(gateway)
    await heard(gateway)
    await asyncio.sleep(1.0)
    process = psutil.Process(gateway.pid)
    for number, (name, rate, request_class) in enumerate([("warm", 100, "lectura"), *LOADS]):
        seconds = args.seconds if number else 2
        before = sum(process.cpu_times()[:2])
        words = [str(rate / 2), str(seconds), request_class]
        crowd = [
            await spawn("benchmarks.fronts", "load", front, str(port), *words, f"{turn}-{number}-{n}")
            for n, port in enumerate(ports)
        ]
        told = [await heard(one) for one in crowd]
        for one in crowd:
            await one.wait()
        if not number:
            continue
        spent = sum(process.cpu_times()[:2]) - before
        latencies = [value for one in told for value in one["latencies"]]
        row = {
            "per_second": sum(one["per_second"] for one in told),
            "p50": quantile(latencies, 0.5),
            "p99": quantile(latencies, 0.99),
            "cpu_us": spent / max(1, len(latencies)) * 1e6,
            "kinds": [one["kinds"] for one in told],
            "left": sum(one["left"] for one in told),
        }
        results.setdefault((front, name), []).append(row)
        print(
            front, name, {k: round(v, 2) if isinstance(v, float) else v for k, v in row.items()}, flush=True
        )
    for one in (gateway, *brokers):
        one.terminate()
        await one.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["load"]:
        front, port, rate, seconds, request_class, tag = sys.argv[2:]
        asyncio.run(
            load(front, int(port), float(rate), float(seconds), request_class, tag + str(os.getpid()))
        )
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--seconds", type=float, default=8)
        parser.add_argument("--turns", type=int, default=3)
        asyncio.run(measure(parser.parse_args()))
