"""Publishers: consoles and substation gateways that publish triggers, wait, retry with the same key, and
sometimes disconnect early.

Arrivals follow a random schedule and do not wait for answers.  Each attempt is traced with a correlation of
its own; a retry keeps the key.  Answers are recorded with their time and kind; the checker decides whether
they are right.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

import msgspec

from swiftwell.fronts.mqtt.client import Client, Refused
from swiftwell.fronts.mqtt.codec import V5, V311, Publish
from swiftwell.proof.trace import Trace


@dataclass(frozen=True, slots=True)
class CallProfile:
    """How publishers make the calls of one request class.

    `share`: the weight of the class among all calls.  `timeout_s`: how long a publisher waits for an answer.
    `functions`: number of functions that calls are drawn from.  `target_latency_s`: the latency that is
    wanted.  `answer_value`: the value of an answer in time.
    """

    request_class: str
    share: float
    timeout_s: float
    functions: int
    qos: int = 1
    tenant: str = "estate"
    target_latency_s: float = 1.0
    answer_value: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What is published: `rate` triggers per second for `for_s` seconds.

    `bursts` holds (start in s, length in s, factor on the rate).
    """

    rate: float
    for_s: float
    profiles: tuple[CallProfile, ...]
    clients: int = 4
    retries: int = 2
    retry_s: float = 0.3
    honour_share: float = 0.0  # fraction of refusals after which the requested wait is kept
    disconnect_share: float = 0.0  # fraction of attempts whose publisher disconnects before the answer
    single_use_share: float = 0.0  # fraction of calls for a function that is called only once
    bursts: tuple[tuple[float, float, float], ...] = ()
    skew_ms: float = 0.0  # how far the publishers' clocks are ahead of the clock of this process


@dataclass(slots=True, eq=False)
class Call:
    key: str
    profile: CallProfile
    function: str
    tries: int = 0
    over: bool = False
    started_at: float = 0.0
    unanswered: bool = False  # an attempt ended without an answer
    retry_after_s: float = 0.0  # time to wait that the last refusal asked for


class Publishers:
    """A group of clients that share the calls of a plan.

    `addresses` are HOST:PORT of endpoints or brokers, which the clients use in rotation.  `version` is the
    protocol version of MQTT, 4 or 5.
    """

    def __init__(
        self, trace: Trace, plan: Plan, addresses: list[str], seed: int, version: int = V5, name: str = "pub",
        topic: str = "calls",
    ) -> None:  # fmt: skip
        self.trace, self.plan, self._addresses, self._version = trace, plan, addresses, version
        self._random = random.Random(seed)
        self._name, self._topic = name, topic
        self._clients: list[Any] = []
        self._pending: dict[str, tuple[Call, asyncio.Future[str], int]] = {}
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self._clients_connecting: set[int] = set()

    async def run(self) -> None:
        """Publishes the plan and waits until every attempt has ended."""
        for number in range(self.plan.clients):
            self._clients.append(self._make_client(number))
            await self._connect(number)
        start = time.monotonic()
        for at in self._arrival_times():
            await asyncio.sleep(max(0.0, start + at - time.monotonic()))
            task = asyncio.ensure_future(self._run_call(self._draw_call()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(set(self._tasks), timeout=1.0)
        for client in self._clients:
            client._on_end = None
            await client.close()

    def _make_client(self, number: int) -> Any:
        return Client(
            f"{self._name}-{number}", self._version, on_message=self._on_message, session_s=600,
            on_end=lambda reason: self._on_connection_end(number, reason),
        )  # fmt: skip

    async def _open_connection(self, number: int, host: str, port: int) -> None:
        """Connects one client and subscribes it to its answers."""
        _mark_as_retries(self._clients[number])
        await self._clients[number].connect(host, port)
        await self._clients[number].subscribe(f"answers/{self._name}-{number}")

    def _publish(self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float) -> None:
        self._clients[number].publish(self._build_publish(call, correlation, number, attempt, timeout_s))

    async def _connect(self, number: int) -> None:
        """Connects a client, retrying with each address in rotation.

        Only one such task may run per client, as concurrent connections would take over from each other.
        """
        if number in self._clients_connecting:
            return
        self._clients_connecting.add(number)
        try:
            await self._connect_with_retries(number)
        finally:
            self._clients_connecting.discard(number)

    async def _connect_with_retries(self, number: int) -> None:
        address_index = number
        while True:
            host, _, port = self._addresses[address_index % len(self._addresses)].rpartition(":")
            address_index += len(self._addresses) > 1
            self.trace.note("connecting", client=f"{self._name}-{number}", to=f"{host}:{port}")
            try:
                await self._open_connection(number, host, int(port))
                if self._clients[number].connection is None:
                    continue  # the connection was lost again meanwhile
                self.trace.note("connected", client=f"{self._name}-{number}", to=f"{host}:{port}")
                return
            except (Refused, OSError, TimeoutError):
                await asyncio.sleep(self._random.uniform(0.1, 0.3))

    def _on_connection_end(self, number: int, reason: str) -> None:
        self.trace.note("disconnected", client=f"{self._name}-{number}", why=reason)
        task = asyncio.ensure_future(self._connect(number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _arrival_times(self) -> list[float]:
        plan, at, arrival_times = self.plan, 0.0, []
        while True:
            rate_factor = 1.0
            for start, length, factor in plan.bursts:
                if start <= at < start + length:
                    rate_factor *= factor
            at += self._random.expovariate(plan.rate * rate_factor)
            if at >= plan.for_s:
                return arrival_times
            arrival_times.append(at)

    def _draw_call(self) -> Call:
        plan = self.plan
        profile = self._random.choices(plan.profiles, [profile.share for profile in plan.profiles])[0]
        self._number += 1
        if self._random.random() < plan.single_use_share:
            function = f"once/{self._name}-{self._number}"
        else:  # most calls go to a few functions
            rank = int(profile.functions ** self._random.random()) - 1
            function = f"heat/{profile.request_class}-{rank}"
        return Call(f"{self._name}-{self._number}", profile, function)

    async def _run_call(self, call: Call) -> None:
        """Makes all attempts of one call."""
        number = self._random.randrange(len(self._clients))
        call.started_at = time.monotonic()
        for attempt in range(self.plan.retries + 1):
            timeout_s = call.profile.timeout_s * (1.0 if attempt == 0 else self._random.uniform(0.5, 1.0))
            kind = await self._attempt(call, number, attempt, timeout_s)
            if kind in ("served", "left"):
                return
            call.unanswered |= kind != "refused"
            if kind == "failed" and call.profile.request_class.startswith("consigna"):
                return  # it may have run; a retry with the same key would get the same answer
            await asyncio.sleep(self._retry_delay_s(call, kind))

    def _retry_delay_s(self, call: Call, kind: str) -> float:
        """Delay until the next attempt: what the refusal asked for, or the plan's own with jitter."""
        honours_wait = kind == "refused" and call.retry_after_s and self.plan.honour_share
        honours_wait = honours_wait and self._random.random() < self.plan.honour_share
        return call.retry_after_s if honours_wait else self.plan.retry_s * self._random.uniform(0.5, 1.5)

    async def _attempt(self, call: Call, number: int, attempt: int, timeout_s: float) -> str:
        client = self._clients[number]
        if client.connection is None:
            self.trace.note("unsent", key=call.key)
            await asyncio.sleep(timeout_s / 2)
            return "unsent"
        correlation = f"{call.key}.{attempt}"
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = (call, future, number)
        now = time.monotonic_ns() // 1_000
        leaves = self._random.random() < self.plan.disconnect_share
        if leaves:
            return await self._publish_and_disconnect(call, correlation, number, attempt, timeout_s)
        self._trace_attempt(call, correlation, f"{self._name}-{number}", attempt, now, timeout_s)
        self._publish(call, correlation, number, attempt, timeout_s)
        try:
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            self.trace.note("gave-up", corr=correlation)
            return "gave-up"

    def _trace_attempt(
        self, call: Call, correlation: str, client: str, number: int, now: int, timeout_s: float
    ) -> None:
        profile = call.profile
        self.trace.note(
            "try",
            client=client,
            corr=correlation,
            key=call.key,
            band=profile.request_class,
            tenant=profile.tenant,
            function=call.function,
            number=number,
            until=now + int(timeout_s * 1e6),
            worth=profile.answer_value,
            wanted=int(profile.target_latency_s * 1e6),
        )

    async def _publish_and_disconnect(
        self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float
    ) -> str:
        """Publishes from a separate client, which disconnects before its answer."""
        name = f"{self._name}-leaver-{correlation}"
        client = Client(name, self._version)
        self._pending.pop(correlation, None)
        host, _, port = self._addresses[number % len(self._addresses)].rpartition(":")
        try:
            await client.connect(host, int(port))
        except (Refused, OSError, TimeoutError):
            return "unsent"
        self.trace.note("connected", client=name, to=f"{host}:{port}")
        self._trace_attempt(call, correlation, name, attempt, time.monotonic_ns() // 1_000, timeout_s)
        self.trace.note("left", corr=correlation)
        client.publish(self._build_publish(call, correlation, number, attempt, timeout_s))
        await asyncio.sleep(self._random.uniform(0.01, 0.1))
        client.abort()
        return "left"

    def _build_publish(
        self, call: Call, correlation: str, number: int, attempt: int, timeout_s: float
    ) -> Publish:
        topic = f"{self._topic}/{call.profile.tenant}/{call.profile.request_class}/{call.function}"
        sent_ms = time.time() * 1e3 + self.plan.skew_ms
        timeout_ms = timeout_s * 1e3
        if self._version == V311:
            envelope = {
                "body": {"call": call.key}, "key": call.key, "reply": f"answers/{self._name}-{number}",
                "correlation": correlation, "timeout_ms": timeout_ms, "sent_ms": sent_ms, "attempt": attempt,
            }  # fmt: skip
            return Publish(topic, msgspec.json.encode(envelope), call.profile.qos)
        user_properties = [
            ("key", call.key),
            ("timeout-ms", f"{timeout_ms:.0f}"),
            ("sent-ms", f"{sent_ms:.3f}"),
        ]
        if attempt:
            user_properties += [("attempt", str(attempt)), ("unanswered", str(int(call.unanswered)))]
        properties = {
            "response_topic": f"answers/{self._name}-{number}",
            "correlation_data": correlation.encode(),
            "message_expiry": int(timeout_s) + 1,
            "user": user_properties,
        }
        return Publish(topic, f"{call.key} payload".encode(), call.profile.qos, properties=properties)

    def _on_message(self, message: Publish) -> None:
        if self._version == V311:
            envelope = msgspec.json.decode(message.payload)
            correlation, kind, reason = envelope["correlation"], envelope["status"], envelope["reason"]
            wait_ms = envelope.get("wait_ms", 0)
        else:
            user = dict(message.properties.get("user", []))
            correlation = message.properties.get("correlation_data", b"").decode()
            kind, reason, wait_ms = user.get("status", ""), user.get("reason", ""), user.get("wait-ms", 0)
        self._on_answer(correlation, kind, reason, message.dup, wait_ms)

    def _on_answer(self, correlation: str, kind: str, reason: str, dup: bool, wait_ms: object = 0) -> None:
        self.trace.note("answer", corr=correlation, kind=kind, reason=reason, dup=dup)
        if correlation not in self._pending:
            return
        call, future, _ = self._pending[correlation]
        if not future.done():
            call.retry_after_s = float(str(wait_ms)) / 1e3
            future.set_result(kind)


def _mark_as_retries(client: Client) -> None:
    """Marks unacknowledged messages as retries, because they may now reach another gateway.

    Only in MQTT 5.0: the messages of a 3.1.1 publisher are sent again unchanged, with DUP set if the session
    is resumed.
    """
    for message in client.session.outbox.unacknowledged():
        user = message.properties.get("user")
        if user and ("unanswered", "1") not in user:
            message.properties["user"] = [pair for pair in user if pair[0] not in ("attempt", "unanswered")]
            message.properties["user"] += [("attempt", "1"), ("unanswered", "1")]
