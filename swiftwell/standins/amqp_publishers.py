"""Publishers over AMQP: the same plans, attempts and traces as over MQTT."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from swiftwell.fronts.amqp.client import Client, Refused, trigger
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.wire import Incoming
from swiftwell.standins.publishers import Call, Publishers


class AmqpPublishers(Publishers):
    """A group of clients of an AMQP broker, which publish triggers to `exchange`."""

    exchange = "calls"

    def _make_client(self, number: int) -> Any:
        return Client(
            f"{self._name}-{number}", on_message=self._on_reply, on_return=self._on_return,
            on_end=lambda reason: self._on_connection_end(number, reason),
        )  # fmt: skip

    async def _open_connection(self, number: int, host: str, port: int) -> None:
        try:
            await self._clients[number].connect(host, port)
            await self._clients[number].declare_reply_queue(f"answers/{self._name}-{number}")
        except Refused as error:
            # For instance, the reply queue still belongs to a lost connection that the broker takes for open.
            self._clients[number].abort()
            raise OSError(str(error)) from None

    def _publish(self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float) -> None:
        key, properties, body = self._build_amqp_message(call, correlation, number, attempt, timeout_s)
        self._clients[number].publish(self.exchange, key, properties, body)

    def _build_amqp_message(
        self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float
    ) -> tuple[str, Properties, bytes]:
        profile = call.profile
        function = call.function.replace("/", ".")
        retry_headers: dict[str, object] = {}
        if attempt:
            retry_headers = {"attempt": attempt, "unanswered": int(call.unanswered)}
        properties = trigger(
            call.key, f"answers/{self._name}-{number}", correlation, timeout_s * 1e3,
            time.time() * 1e3 + self.plan.skew_ms, **retry_headers,
        )  # fmt: skip
        properties.priority = min(9, round(profile.answer_value))
        return (
            f"{self._topic}.{profile.tenant}.{profile.request_class}.{function}",
            properties,
            f"{call.key} payload".encode(),
        )

    async def _publish_and_disconnect(
        self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float
    ) -> str:
        name = f"{self._name}-leaver-{correlation}"
        client = Client(name)
        self._pending.pop(correlation, None)
        host, _, port = self._addresses[number % len(self._addresses)].rpartition(":")
        try:
            await client.connect(host, int(port))
        except (Refused, OSError, TimeoutError):
            return "unsent"
        self.trace.note("connected", client=name, to=f"{host}:{port}")
        self._trace_attempt(call, correlation, name, attempt, time.monotonic_ns() // 1_000, timeout_s)
        self.trace.note("left", corr=correlation)
        key, properties, body = self._build_amqp_message(call, correlation, number, attempt, timeout_s)
        client.publish(self.exchange, key, properties, body)
        await asyncio.sleep(self._random.uniform(0.01, 0.1))
        client.abort()
        return "left"

    def _on_reply(self, event: Incoming) -> None:
        properties = event.properties
        headers = (properties.headers if properties else None) or {}
        correlation = (properties.correlation_id if properties else None) or ""
        dup = bool(headers.get("repeated"))
        kind, reason = str(headers.get("status", "")), str(headers.get("reason", ""))
        self._on_answer(correlation, kind, reason, dup, headers.get("wait-ms", 0))

    def _on_return(self, event: Incoming) -> None:
        """Traces a trigger that was routed to no queue, which therefore gets no answer."""
        correlation = (event.properties.correlation_id if event.properties else None) or ""
        self.trace.note("returned", corr=correlation)
