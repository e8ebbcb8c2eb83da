"""Fixtures for AMQP tests: a stand-in broker in this process, consuming gateways and a publisher."""

import asyncio
from contextlib import asynccontextmanager

from socketbench import gateway

from swiftwell.fronts.amqp.client import Client, trigger
from swiftwell.proof.trace import Trace
from swiftwell.standins.amqp import AmqpBroker


@asynccontextmanager
async def broker(**more):
    """The stand-in broker, with its `port` and `trace`."""
    server = AmqpBroker(Trace("amqp"), **more)
    server.port = server.start()
    try:
        yield server
    finally:
        server._server.stop()
        for connection in list(server.connections):
            connection.stream.close()


def node(port, more="", queue='"calls" exchange="calls"'):
    """The settings of a link to the broker."""
    return f'amqp-broker "b" {more} {{ address "127.0.0.1:{port}"; queue {queue} }}'


@asynccontextmanager
async def consuming(folder, port, workers, more="", queue='"calls" exchange="calls"', extra="", **other):
    """A gateway, as soon as it consumes."""
    async with gateway(folder, workers, extra=node(port, more, queue) + "\n" + extra, **other) as gw:
        await up(gw)
        yield gw


async def up(gw, on=True):
    """Wait until the gateway consumes, or no longer does with `on` false."""
    for _ in range(600):
        if gw.amqp[0].consumer.up is on:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the link did not change its state within 6 s")


class Publisher:
    """A publisher that collects its answers by correlation identifier."""

    def __init__(self, name="publisher"):
        self.answers, self.returned, self.confirms = {}, [], []
        self.client = Client(
            name,
            on_message=self._on_answer,
            on_return=lambda event: self.returned.append(event.properties.correlation_id),
            on_confirm=lambda *confirm: self.confirms.append(confirm),
        )
        self.reply, self.count = f"answers/{name}", 0

    def _on_answer(self, event):
        answer = dict(event.properties.headers or {}) | {"body": event.body}
        self.answers.setdefault(event.properties.correlation_id, []).append(answer)

    async def connect(self, port, reply=True):
        await self.client.connect("127.0.0.1", port)
        if reply:
            await self.client.declare_reply_queue(self.reply)
        return self

    def publish(
        self,
        request_class="lectura",
        key="",
        timeout=2_000,
        body=b"x",
        exchange="calls",
        to=None,
        reply=None,
        **more,
    ):
        self.count += 1
        correlation = f"q{self.count}"
        properties = trigger(
            key or f"{self.reply}/{correlation}", reply or self.reply, correlation, timeout, **more
        )
        self.client.publish(exchange, to or f"calls.t.{request_class}.f", properties, body)
        return correlation

    async def answer(self, correlation, within=5.0):
        for _ in range(int(within * 200)):
            if correlation in self.answers:
                answer = self.answers[correlation][0]
                return answer["status"], answer["reason"]
            await asyncio.sleep(0.005)
        raise AssertionError(f"no answer to {correlation}")

    async def call(self, *args, **more):
        return await self.answer(self.publish(*args, **more))
