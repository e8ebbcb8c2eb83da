"""A gateway in this process on free ports, with workers and clients that the test controls."""

import asyncio
import io as text
from contextlib import asynccontextmanager

from swiftwell.fronts.mqtt.client import Client
from swiftwell.fronts.mqtt.codec import V5, Publish
from swiftwell.gateway.logs import Logs
from swiftwell.gateway.shell import Gateway
from swiftwell.settings.site import read

SITE = """
name "gw"
state "{state}"
margin-ms 20
class "lectura" wanted-ms=1000 deadline-ms=3000
class "consigna" effect="unsafe" wanted-ms=1000 deadline-ms=3000
kind "k" memory-mb=10000
workers {{ {workers}; {orders} idle-life-ms 60000; {more} }}
mqtt-listener port=0 {listener}
{extra}
"""


def run(main):
    """Run a test's coroutine with a time limit."""

    async def bounded():
        async with asyncio.timeout(40):
            await main

    asyncio.run(bounded())


@asynccontextmanager
async def gateway(
    folder, addresses=(), *, more="", listener="", extra="", router_factory=None, orders=False, workers=""
):
    """A running gateway with these workers."""
    listed = "; ".join(f'worker "{address}" kind="k"' for address in addresses)
    workers = workers or listed or 'worker "127.0.0.1:9" kind="k"'
    site = read(
        SITE.format(
            orders="" if orders else "orders false;",
            state=folder,
            workers=workers,
            more=more,
            listener=listener,
            extra=extra,
        ),
        "test.kdl",
    )
    log = text.StringIO()
    started = Gateway(site, Logs("json", "debug", 1_000, log), router_factory)
    started.lines = log
    await started.start()
    try:
        yield started
    finally:
        await started.stop()


@asynccontextmanager
async def raw_worker(answer):
    """An HTTP server that awaits `answer(number, head, reader, writer)` for one request at a time."""
    count = 0
    tasks = set()

    async def serve(reader, writer):
        nonlocal count
        tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [line for line in head.split(b"\r\n") if line.startswith(b"content-length")]
                await reader.readexactly(int(length[0].split(b":")[1]))
                count += 1
                if await answer(count, head.decode(), reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


def http(body=b"done", status="200 OK", more=""):
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{more}\r\n".encode() + body


async def serving(number, head, reader, writer):
    """Answer every call at once."""
    writer.write(http())
    await writer.drain()


class Console:
    """An MQTT client that publishes triggers and keeps their answers by correlation data."""

    def __init__(self, name="console", version=V5, **more):
        self.answers, self.order, self.acks = {}, [], []
        self.client = Client(
            name, version, on_message=self._on_message, on_ack=lambda *a: self.acks.append(a), **more
        )
        self.count = 0

    def _on_message(self, message):
        correlation = message.properties.get("correlation_data", b"").decode()
        answer = dict(message.properties.get("user", [])) | {"body": message.payload}
        self.answers.setdefault(correlation, []).append(answer)

    async def connect(self, port):
        await self.client.connect("127.0.0.1", port)
        return self

    def publish(self, request_class="lectura", key="", timeout=2_000, qos=1, topic="", payload=b"x", user=()):
        self.count += 1
        correlation = f"q{self.count}"
        pairs = [("timeout-ms", str(timeout)), *user, *([("key", key)] if key else [])]
        properties = {"response_topic": "answers/c", "correlation_data": correlation.encode(), "user": pairs}
        self.client.publish(
            Publish(topic or f"calls/t/{request_class}/f", payload, qos, properties=properties)
        )
        return correlation

    async def answer(self, correlation, within=5.0):
        """The answer to a trigger: (status, reason)."""
        for _ in range(int(within * 200)):
            if correlation in self.answers:
                answer = self.answers[correlation][0]
                return answer["status"], answer["reason"]
            await asyncio.sleep(0.005)
        raise AssertionError(f"no answer to {correlation}")

    async def call(self, *args, **more):
        return await self.answer(self.publish(*args, **more))
