"""Publishers over AMQP: the same plans, tries and traces as over MQTT."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from swiftwell.fronts.amqp.client import Client, Refused, trigger
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.wire import Incoming
from swiftwell.standins.publishers import Call, Publishers


class AmqpPublishers(Publishers):
    """A crowd of clients of an AMQP broker; `exchange` takes their triggers."""

    exchange = "calls"

    def _client(self, number: int) -> Any:
        return Client(
            f"{self._name}-{number}", on_message=self._message_in, on_return=self._returned,
            on_end=lambda why: self._ended(number, why),
        )  # fmt: skip

    async def _open(self, number: int, host: str, port: int) -> None:
        try:
            await self._clients[number].connect(host, port)
            await self._clients[number].declare_reply_queue(f"answers/{self._name}-{number}")
        except Refused as error:
            # A reply queue of a connection that the broker has not missed yet, for instance.
            self._clients[number].abort()
            raise OSError(str(error)) from None

    def _send(self, call: Call, corr: str, number: int, attempt: int, patience: float) -> None:
        key, properties, body = self._amqp(call, corr, number, attempt, patience)
        self._clients[number].publish(self.exchange, key, properties, body)

    def _amqp(
        self, call: Call, corr: str, number: int, attempt: int, patience: float
    ) -> tuple[str, Properties, bytes]:
        habit = call.habit
        function = call.function.replace("/", ".")
        more: dict[str, object] = {}
        if attempt:
            more = {"attempt": attempt, "unanswered": int(call.unanswered)}
        properties = trigger(
            call.key, f"answers/{self._name}-{number}", corr, patience * 1e3,
            time.time() * 1e3 + self.plan.skew_ms, **more,
        )  # fmt: skip
        properties.priority = min(9, round(habit.worth))
        return (
            f"{self._topic}.{habit.tenant}.{habit.request_class}.{function}",
            properties,
            f"{call.key} payload".encode(),
        )

    async def _leaver(self, call: Call, corr: str, number: int, attempt: int, patience: float) -> str:
        name = f"{self._name}-leaver-{corr}"
        client = Client(name)
        self._waiting.pop(corr, None)
        host, _, port = self._addresses[number % len(self._addresses)].rpartition(":")
        try:
            await client.connect(host, int(port))
        except (Refused, OSError, TimeoutError):
            return "unsent"
        self.trace.note("connected", client=name, to=f"{host}:{port}")
        self._note(call, corr, name, attempt, time.monotonic_ns() // 1_000, patience)
        self.trace.note("left", corr=corr)
        key, properties, body = self._amqp(call, corr, number, attempt, patience)
        client.publish(self.exchange, key, properties, body)
        await asyncio.sleep(self._chance.uniform(0.01, 0.1))
        client.abort()
        return "left"

    def _message_in(self, event: Incoming) -> None:
        properties = event.properties
        headers = (properties.headers if properties else None) or {}
        corr = (properties.correlation_id if properties else None) or ""
        dup = bool(headers.get("repeated"))
        kind, reason = str(headers.get("status", "")), str(headers.get("reason", ""))
        self._told(corr, kind, reason, dup, headers.get("wait-ms", 0))

    def _returned(self, event: Incoming) -> None:
        """No queue took the trigger: nobody will answer it."""
        corr = (event.properties.correlation_id if event.properties else None) or ""
        self.trace.note("returned", corr=corr)
