"""An AMQP stand-in broker in this process, publishers of its queues, and gateways that consume them."""

import asyncio
from contextlib import asynccontextmanager

from socketbench import gateway

from swiftwell.fronts.amqp.client import Client, trigger
from swiftwell.proof.trace import Trace
from swiftwell.standins.amqp import AmqpBroker


@asynccontextmanager
async def broker(**more):
    """The stand-in; its `port` and its `trace`."""
    server = AmqpBroker(Trace("amqp"), **more)
    server.port = server.start()
    try:
        yield server
    finally:
        server._server.stop()
        for connection in list(server.connections):
            connection.stream.close()


def node(port, more="", queue='"calls" exchange="calls"'):
    """The settings of a link to it."""
    return f'amqp-broker "b" {more} {{ address "127.0.0.1:{port}"; queue {queue} }}'


@asynccontextmanager
async def consuming(folder, port, workers, more="", queue='"calls" exchange="calls"', extra="", **other):
    """A gateway that consumes, once it does."""
    async with gateway(folder, workers, extra=node(port, more, queue) + "\n" + extra, **other) as gw:
        await up(gw)
        yield gw


async def up(gw, on=True):
    """Wait until the gateway consumes (or does not)."""
    for _ in range(600):
        if gw.amqp[0].consumer.up is on:
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the link did not come up")


class Asker:
    """A publisher that keeps its answers by correlation."""

    def __init__(self, name="asker"):
        self.answers, self.returned, self.confirms = {}, [], []
        self.client = Client(
            name,
            on_message=self._take,
            on_return=lambda event: self.returned.append(event.properties.correlation_id),
            on_confirm=lambda *told: self.confirms.append(told),
        )
        self.reply, self.count = f"answers/{name}", 0

    def _take(self, event):
        told = dict(event.properties.headers or {}) | {"body": event.body}
        self.answers.setdefault(event.properties.correlation_id, []).append(told)

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
        corr = f"q{self.count}"
        properties = trigger(key or f"{self.reply}/{corr}", reply or self.reply, corr, timeout, **more)
        self.client.publish(exchange, to or f"calls.t.{request_class}.f", properties, body)
        return corr

    async def answer(self, corr, within=5.0):
        for _ in range(int(within * 200)):
            if corr in self.answers:
                told = self.answers[corr][0]
                return told["status"], told["reason"]
            await asyncio.sleep(0.005)
        raise AssertionError(f"no answer to {corr}")

    async def call(self, *args, **more):
        return await self.answer(self.publish(*args, **more))
