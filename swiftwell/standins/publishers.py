"""Publishers: consoles and substation gateways that publish triggers, wait, retry with the same key, and
sometimes leave.

Arrivals are drawn ahead and do not wait for answers.  Each try is traced with its own correlation; a retry
keeps the
key.  Answers are taken with their time and kind; whether they are right is the checker's matter.
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
class Habit:
    """A class of calls as publishers make it."""

    request_class: str
    share: float
    patience_s: float
    functions: int
    qos: int = 1
    tenant: str = "estate"
    wanted_s: float = 1.0
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What is published: `rate` triggers a second for `for_s`, times `bursts` (start, length, times)."""

    rate: float
    for_s: float
    habits: tuple[Habit, ...]
    clients: int = 4
    retries: int = 2
    retry_s: float = 0.3
    honour: float = 0.0  # share of refusals after which the told wait is kept to
    leave: float = 0.0  # share of tries whose publisher leaves before the answer
    one_off: float = 0.0  # share of calls for a function that nobody asks for again
    bursts: tuple[tuple[float, float, float], ...] = ()
    skew_ms: float = 0.0  # publishers' clocks against ours


@dataclass(slots=True, eq=False)
class Call:
    key: str
    habit: Habit
    function: str
    tries: int = 0
    over: bool = False
    began: float = 0.0
    unanswered: bool = False  # a try ended without an answer
    wait_s: float = 0.0  # for which the last refusal sent it away


class Publishers:
    """A crowd of clients that share the calls of a plan.

    `addresses`: HOST:PORT of endpoints or brokers, clients take them in turn.  `version` 4 or 5.
    """

    def __init__(
        self, trace: Trace, plan: Plan, addresses: list[str], seed: int, version: int = V5, name: str = "pub",
        topic: str = "calls",
    ) -> None:  # fmt: skip
        self.trace, self.plan, self._addresses, self._version = trace, plan, addresses, version
        self._chance = random.Random(seed)
        self._name, self._topic = name, topic
        self._clients: list[Any] = []
        self._waiting: dict[str, tuple[Call, asyncio.Future[str], int]] = {}
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self._connecting: set[int] = set()

    async def run(self) -> None:
        """Publish the plan and wait for every try's end."""
        for number in range(self.plan.clients):
            self._clients.append(self._client(number))
            await self._connect(number)
        start = time.monotonic()
        for at in self._arrivals():
            await asyncio.sleep(max(0.0, start + at - time.monotonic()))
            task = asyncio.ensure_future(self._call(self._draw()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(set(self._tasks), timeout=1.0)
        for client in self._clients:
            client._on_end = None
            await client.close()

    def _client(self, number: int) -> Any:
        return Client(
            f"{self._name}-{number}", self._version, on_message=self._answer, session_s=600,
            on_end=lambda why: self._ended(number, why),
        )  # fmt: skip

    async def _open(self, number: int, host: str, port: int) -> None:
        """Connect one client, so that it can be answered."""
        _mark(self._clients[number])
        await self._clients[number].connect(host, port)
        await self._clients[number].subscribe(f"answers/{self._name}-{number}")

    def _send(self, call: Call, corr: str, number: int, attempt: int, patience: float) -> None:
        self._clients[number].publish(self._message(call, corr, number, attempt, patience))

    async def _connect(self, number: int) -> None:
        """Connect, again and again: addresses in turn.  One at a time for a client, or they take over from
        each other."""
        if number in self._connecting:
            return
        self._connecting.add(number)
        try:
            await self._until_connected(number)
        finally:
            self._connecting.discard(number)

    async def _until_connected(self, number: int) -> None:
        turn = number
        while True:
            host, _, port = self._addresses[turn % len(self._addresses)].rpartition(":")
            turn += len(self._addresses) > 1
            self.trace.note("connecting", client=f"{self._name}-{number}", to=f"{host}:{port}")
            try:
                await self._open(number, host, int(port))
                if self._clients[number].connection is None:
                    continue  # lost again meanwhile
                self.trace.note("connected", client=f"{self._name}-{number}", to=f"{host}:{port}")
                return
            except (Refused, OSError, TimeoutError):
                await asyncio.sleep(self._chance.uniform(0.1, 0.3))

    def _ended(self, number: int, why: str) -> None:
        self.trace.note("disconnected", client=f"{self._name}-{number}", why=why)
        task = asyncio.ensure_future(self._connect(number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _arrivals(self) -> list[float]:
        plan, at, out = self.plan, 0.0, []
        while True:
            times = 1.0
            for start, length, factor in plan.bursts:
                if start <= at < start + length:
                    times *= factor
            at += self._chance.expovariate(plan.rate * times)
            if at >= plan.for_s:
                return out
            out.append(at)

    def _draw(self) -> Call:
        plan = self.plan
        habit = self._chance.choices(plan.habits, [h.share for h in plan.habits])[0]
        self._number += 1
        if self._chance.random() < plan.one_off:
            function = f"once/{self._name}-{self._number}"
        else:  # a few functions draw most calls
            rank = int(habit.functions ** self._chance.random()) - 1
            function = f"heat/{habit.request_class}-{rank}"
        return Call(f"{self._name}-{self._number}", habit, function)

    async def _call(self, call: Call) -> None:
        """All tries of one call."""
        number = self._chance.randrange(len(self._clients))
        call.began = time.monotonic()
        for attempt in range(self.plan.retries + 1):
            patience = call.habit.patience_s * (1.0 if attempt == 0 else self._chance.uniform(0.5, 1.0))
            kind = await self._try(call, number, attempt, patience)
            if kind in ("served", "left"):
                return
            call.unanswered |= kind != "refused"
            if kind == "failed" and call.habit.request_class.startswith("consigna"):
                return  # it may have run; asking again with the same key would say the same
            await asyncio.sleep(self._rest(call, kind))

    def _rest(self, call: Call, kind: str) -> float:
        """Seconds until the next try: as told, or as their own habit is."""
        told = kind == "refused" and call.wait_s and self.plan.honour
        told = told and self._chance.random() < self.plan.honour
        return call.wait_s if told else self.plan.retry_s * self._chance.uniform(0.5, 1.5)

    async def _try(self, call: Call, number: int, attempt: int, patience: float) -> str:
        client = self._clients[number]
        if client.connection is None:
            self.trace.note("unsent", key=call.key)
            await asyncio.sleep(patience / 2)
            return "unsent"
        corr = f"{call.key}.{attempt}"
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._waiting[corr] = (call, future, number)
        now = time.monotonic_ns() // 1_000
        leaves = self._chance.random() < self.plan.leave
        if leaves:
            return await self._leaver(call, corr, number, attempt, patience)
        self._note(call, corr, f"{self._name}-{number}", attempt, now, patience)
        self._send(call, corr, number, attempt, patience)
        try:
            return await asyncio.wait_for(asyncio.shield(future), patience)
        except TimeoutError:
            self.trace.note("gave-up", corr=corr)
            return "gave-up"

    def _note(self, call: Call, corr: str, client: str, number: int, now: int, patience: float) -> None:
        habit = call.habit
        self.trace.note(
            "try",
            client=client,
            corr=corr,
            key=call.key,
            band=habit.request_class,
            tenant=habit.tenant,
            function=call.function,
            number=number,
            until=now + int(patience * 1e6),
            worth=habit.worth,
            wanted=int(habit.wanted_s * 1e6),
        )

    async def _leaver(self, call: Call, corr: str, number: int, attempt: int, patience: float) -> str:
        """A publisher of its own that goes away before its answer."""
        name = f"{self._name}-leaver-{corr}"
        client = Client(name, self._version)
        self._waiting.pop(corr, None)
        host, _, port = self._addresses[number % len(self._addresses)].rpartition(":")
        try:
            await client.connect(host, int(port))
        except (Refused, OSError, TimeoutError):
            return "unsent"
        self.trace.note("connected", client=name, to=f"{host}:{port}")
        self._note(call, corr, name, attempt, time.monotonic_ns() // 1_000, patience)
        self.trace.note("left", corr=corr)
        client.publish(self._message(call, corr, number, attempt, patience))
        await asyncio.sleep(self._chance.uniform(0.01, 0.1))
        client.abort()
        return "left"

    def _message(self, call: Call, corr: str, number: int, attempt: int, patience: float) -> Publish:
        topic = f"{self._topic}/{call.habit.tenant}/{call.habit.request_class}/{call.function}"
        sent = time.time() * 1e3 + self.plan.skew_ms
        timeout = patience * 1e3
        if self._version == V311:
            envelope = {
                "body": {"call": call.key}, "key": call.key, "reply": f"answers/{self._name}-{number}",
                "correlation": corr, "timeout_ms": timeout, "sent_ms": sent, "attempt": attempt,
            }  # fmt: skip
            return Publish(topic, msgspec.json.encode(envelope), call.habit.qos)
        user = [("key", call.key), ("timeout-ms", f"{timeout:.0f}"), ("sent-ms", f"{sent:.3f}")]
        if attempt:
            user += [("attempt", str(attempt)), ("unanswered", str(int(call.unanswered)))]
        properties = {
            "response_topic": f"answers/{self._name}-{number}",
            "correlation_data": corr.encode(),
            "message_expiry": int(patience) + 1,
            "user": user,
        }
        return Publish(topic, f"{call.key} payload".encode(), call.habit.qos, properties=properties)

    def _answer(self, message: Publish) -> None:
        if self._version == V311:
            told = msgspec.json.decode(message.payload)
            corr, kind, reason = told["correlation"], told["status"], told["reason"]
            wait = told.get("wait_ms", 0)
        else:
            user = dict(message.properties.get("user", []))
            corr = message.properties.get("correlation_data", b"").decode()
            kind, reason, wait = user.get("status", ""), user.get("reason", ""), user.get("wait-ms", 0)
        self._told(corr, kind, reason, message.dup, wait)

    def _told(self, corr: str, kind: str, reason: str, dup: bool, wait_ms: object = 0) -> None:
        self.trace.note("answer", corr=corr, kind=kind, reason=reason, dup=dup)
        if corr not in self._waiting:
            return
        call, future, _ = self._waiting[corr]
        if not future.done():
            call.wait_s = float(str(wait_ms)) / 1e3
            future.set_result(kind)


def _mark(client: Client) -> None:
    """What was sent and not acknowledged may go to another gateway now: it is marked as tried before.

    In 5.0 only; a 3.1.1 publisher's messages go out again as they are, marked DUP where the session goes on.
    """
    for message in client.session.outbox.unacknowledged():
        user = message.properties.get("user")
        if user and ("unanswered", "1") not in user:
            message.properties["user"] = [pair for pair in user if pair[0] not in ("attempt", "unanswered")]
            message.properties["user"] += [("attempt", "1"), ("unanswered", "1")]
