"""Compares triggers through an AMQP broker and an MQTT broker: calls per second, latency, CPU per call.

One gateway is pinned to one core.  Two stand-in brokers of each kind run in their own processes, so that no
broker is the bottleneck, and so do two publishers.  Both fronts get the same classes, functions, bodies and
rates and alternate within one run.

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

from benchmarks.path import CORES
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
MAX_OUTSTANDING = 128  # unanswered calls of one process when it publishes as fast as it can


async def load(front: str, port: int, rate: float, seconds: float, request_class: str, tag: str) -> None:
    """Publish from one process: open loop at a rate, or a window of outstanding calls if it is 0."""
    latencies: list[float] = []
    sent: dict[str, float] = {}
    kinds: dict[str, int] = {}
    window = asyncio.Semaphore(MAX_OUTSTANDING)

    def on_answer(correlation: str, kind: str) -> None:
        kinds[kind] = kinds.get(kind, 0) + 1
        if correlation in sent:
            latencies.append((time.perf_counter() - sent.pop(correlation)) * 1e3)
            window.release()

    reply = f"answers/{tag}"
    publish = await (connect_mqtt if front == "mqtt" else connect_amqp)(port, reply, on_answer)
    rng, count, started = random.Random(tag), 0, time.perf_counter()
    due_at = started
    while time.perf_counter() - started < seconds:
        if rate:
            due_at += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
        else:
            await window.acquire()
        count += 1
        correlation = f"{tag}-{count}"
        sent[correlation] = due_at if rate else time.perf_counter()
        publish(request_class, f"f{int(60 ** rng.random()) - 1}", correlation)
    spent = time.perf_counter() - started
    for _ in range(200):
        if not sent:
            break
        await asyncio.sleep(0.02)
    summary = {
        "per_second": len(latencies) / spent,
        "latencies": latencies,
        "kinds": kinds,
        "left": len(sent),
    }
    print(json.dumps(summary), flush=True)


async def connect_mqtt(port: int, reply: str, on_answer):  # type: ignore[no-untyped-def]
    def on_receive(message: Publish) -> None:
        user = dict(message.properties["user"])
        on_answer(message.properties["correlation_data"].decode(), user["status"])

    client = Client(reply, on_message=on_receive, receive=60_000)
    await client.connect("127.0.0.1", port)
    await client.subscribe(reply)

    def publish(request_class: str, function: str, correlation: str) -> None:
        user = [("key", correlation), ("timeout-ms", "4500"), ("sent-ms", f"{time.time() * 1e3:.3f}")]
        properties = {"response_topic": reply, "correlation_data": correlation.encode(), "user": user}
        client.publish(Publish(f"calls/t/{request_class}/{function}", b"x" * 100, 1, properties=properties))

    return publish


async def connect_amqp(port: int, reply: str, on_answer):  # type: ignore[no-untyped-def]
    def on_receive(event) -> None:  # type: ignore[no-untyped-def]
        on_answer(event.properties.correlation_id, event.properties.headers["status"])

    client = amqp.Client(reply, on_message=on_receive)
    await client.connect("127.0.0.1", port)
    await client.declare_reply_queue(reply)

    def publish(request_class: str, function: str, correlation: str) -> None:
        properties = amqp.trigger(correlation, reply, correlation, 4_500)
        client.publish("calls", f"calls.t.{request_class}.{function}", properties, b"x" * 100)

    return publish


async def spawn(*arguments: str, core: int | None = None) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        limit=1 << 26,
    )  # fmt: skip
    psutil.Process(process.pid).cpu_affinity(CORES[:-1] if core is None else [core])
    return process


async def read_message(process: asyncio.subprocess.Process) -> dict:
    assert process.stdout
    return json.loads(await process.stdout.readline())


async def measure(args: argparse.Namespace) -> None:
    """Measure both fronts in turn and print the ratios."""
    processes: list[asyncio.subprocess.Process] = []
    results: dict[tuple[str, str], list[dict]] = {}
    with tempfile.TemporaryDirectory() as folder:
        base = Path(folder)
        try:
            file = base / "ports"
            processes.append(await spawn("benchmarks.path", "worker", str(file), "24"))
            while not file.exists() or not file.read_text():
                await asyncio.sleep(0.05)
            workers = "; ".join(f'worker "127.0.0.1:{p}" kind="k"' for p in json.loads(file.read_text()))
            for turn in range(args.turns):
                for front in ("mqtt", "amqp"):
                    await measure_front(args, base, front, turn, workers, processes, results)
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
    for name, _, _ in LOADS:
        for key in ("per_second", "p50", "p99", "cpu_us"):
            x, y = (
                sorted(row[key] for row in results[front, name])[args.turns // 2]
                for front in ("amqp", "mqtt")
            )
            print(f"{name:14} {key:10} amqp {x:9.2f}  mqtt {y:9.2f}  ratio {x / y:.2f}")


async def measure_front(args, base, front, turn, workers, processes, results) -> None:  # type: ignore[no-untyped-def]
    kind = "broker" if front == "mqtt" else "amqp"
    brokers = [await spawn("swiftwell", "standin", kind) for _ in range(2)]
    processes += brokers
    ports = [(await read_message(broker))["port"] for broker in brokers]
    site = base / f"{front}{turn}.kdl"
    nodes = "\n".join(FRONTS[front].format(n=n, port=port) for n, port in enumerate(ports))
    site.write_text(SITE.format(state=base / f"{front}{turn}", workers=workers, brokers=nodes))
    gateway = await spawn("swiftwell", "serve", str(site), "--ready", core=CORES[-1])
    processes.append(gateway)
    await read_message(gateway)
    await asyncio.sleep(1.0)
    process = psutil.Process(gateway.pid)
    for number, (name, rate, request_class) in enumerate([("warm", 100, "lectura"), *LOADS]):
        seconds = args.seconds if number else 2
        before = sum(process.cpu_times()[:2])
        arguments = [str(rate / 2), str(seconds), request_class]
        publishers = [
            await spawn("benchmarks.fronts", "load", front, str(port), *arguments, f"{turn}-{number}-{n}")
            for n, port in enumerate(ports)
        ]
        summaries = [await read_message(publisher) for publisher in publishers]
        for publisher in publishers:
            await publisher.wait()
        if not number:
            continue
        spent = sum(process.cpu_times()[:2]) - before
        latencies = [value for summary in summaries for value in summary["latencies"]]
        row = {
            "per_second": sum(summary["per_second"] for summary in summaries),
            "p50": quantile(latencies, 0.5),
            "p99": quantile(latencies, 0.99),
            "cpu_us": spent / max(1, len(latencies)) * 1e6,
            "kinds": [summary["kinds"] for summary in summaries],
            "left": sum(summary["left"] for summary in summaries),
        }
        results.setdefault((front, name), []).append(row)
        print(
            front, name, {k: round(v, 2) if isinstance(v, float) else v for k, v in row.items()}, flush=True
        )
    for child in (gateway, *brokers):
        child.terminate()
        await child.wait()


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
