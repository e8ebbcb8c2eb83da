"""Emulates publishers in virtual time, with the behaviour of the stand-ins that publish over sockets.

It covers random arrivals, functions chosen by rank, time-outs, retries, leaving and reconnecting.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from swiftwell.lab import constants
from swiftwell.lab.fronts import AmqpBroker, Endpoint, Message, MqttBroker
from swiftwell.lab.world import World
from swiftwell.standins.publishers import CallProfile, Plan


@dataclass(slots=True, eq=False)
class _Call:
    """A publisher's call, with its state over all tries."""

    key: str
    habit: CallProfile
    function: str
    client: int
    tries: int = 0
    unanswered: bool = False  # a try ended without a refusal; it may have run
    awaited_corr: str = ""  # the try whose answer is awaited


@dataclass(slots=True, eq=False)
class _Client:
    """A client of the crowd with its connection."""

    number: int
    gateway: int = -1  # -1: not connected, or connected to a broker
    up: bool = False
    next_gateway: int = 0
    unacked: dict[str, Message] = field(default_factory=dict)


class Crowd:
    """One crowd of a day, which publishes to `front`."""

    def __init__(
        self, world: World, name: str, plan: Plan, front: Endpoint | MqttBroker | AmqpBroker
    ) -> None:
        self.world, self._name, self._plan, self._front = world, name, plan, front
        self._arrival_random = world.stream(f"arrivals/{name}")
        self._call_random = world.stream(f"draws/{name}")
        self._behaviour_random = world.stream(f"habits/{name}")
        self._reconnect_random = world.stream(f"waits/{name}")
        self._clients = [_Client(number) for number in range(plan.clients)]
        self._call_count = 0
        self.open_calls = 0  # calls without a final result
        self.arrivals_ended = False  # no call arrives any more
        self.on_finished: Callable[[], None] = lambda: None  # called when arrivals and all calls have ended
        self._started_at = world.now

    def start(self) -> None:
        """Connects all clients and starts to publish."""
        if isinstance(self._front, Endpoint):
            for index, gateway in enumerate(self._front.gateways):
                gateway.lifecycle_listeners.append(
                    lambda up, i=index: None if up else self._on_gateway_down(i)
                )
            for client in self._clients:
                client.next_gateway = client.number
                self._connect(client)
        else:
            for client in self._clients:
                client.up = True
                self._record_connected(client, "127.0.0.1:1")
        self._started_at = self.world.now
        self._schedule_arrival(0.0)

    # Connections.

    def _connect(self, client: _Client) -> None:
        front = self._front
        assert isinstance(front, Endpoint)
        index = client.next_gateway % len(front.gateways)
        gateway = front.gateways[index]
        client.next_gateway += len(front.gateways) > 1
        if not gateway.up:
            self.world.after(
                self._reconnect_random.uniform(*constants.RECONNECT_RANGE_S) * 1e6, self._connect, client
            )
            return
        client.gateway, client.up = index, True
        self._record_connected(client, f"127.0.0.1:{gateway.port}")
        for message in list(client.unacked.values()):  # may go to another gateway than before
            message.attempt, message.unanswered = max(1, message.attempt), True
            front.publish(index, message, True)

    def _record_connected(self, client: _Client, to: str) -> None:
        self.world.record("connected", "publishers", client=self._client_name(client.number), to=to)

    def _on_gateway_down(self, index: int) -> None:
        for client in self._clients:
            if client.up and client.gateway == index:
                client.up, client.gateway = False, -1
                name = self._client_name(client.number)
                self.world.record("disconnected", "publishers", client=name, why="closed by the peer")
                self.world.after(
                    self._reconnect_random.uniform(*constants.RECONNECT_RANGE_S) * 1e6, self._connect, client
                )

    def _client_name(self, number: int) -> str:
        return f"{self._name}-{number}"

    # Calls.

    def _schedule_arrival(self, at_s: float) -> None:
        """Schedules the next arrival, independent of answers."""
        rate_factor = 1.0
        for start, length, factor in self._plan.bursts:
            if start <= at_s < start + length:
                rate_factor *= factor
        at_s += self._arrival_random.exponential(1.0 / (self._plan.rate * rate_factor))
        if at_s >= self._plan.for_s:
            self.arrivals_ended = True
            if not self.open_calls:
                self.on_finished()
            return
        self.world.at(self._started_at + at_s * 1e6, self._arrive, at_s)

    def _arrive(self, at_s: float) -> None:
        self.open_calls += 1  # before `_next`, which ends the crowd when no call is open
        self._schedule_arrival(at_s)
        plan, call_random = self._plan, self._call_random
        pick = call_random.uniform(0, sum(habit.share for habit in plan.profiles))
        habit = plan.profiles[-1]
        for candidate in plan.profiles:
            pick -= candidate.share
            if pick < 0:
                habit = candidate
                break
        self._call_count += 1
        if call_random.uniform() < plan.single_use_share:
            function = f"once/{self._name}-{self._call_count}"
        else:
            rank = int(habit.functions ** call_random.uniform()) - 1
            function = f"heat/{habit.request_class}-{rank}"
        client = call_random.below(len(self._clients))
        self._start_try(_Call(f"{self._name}-{self._call_count}", habit, function, client))

    def _start_try(self, call: _Call) -> None:
        behaviour_random, habit, attempt = self._behaviour_random, call.habit, call.tries
        call.tries += 1
        timeout_s = habit.timeout_s * (1.0 if attempt == 0 else behaviour_random.uniform(0.5, 1.0))
        leaves = behaviour_random.uniform() < self._plan.disconnect_share
        client = self._clients[call.client]
        if not client.up:
            self.world.record("unsent", "publishers", key=call.key)
            self.world.after(timeout_s / 2 * 1e6, self._end_try, call, "unsent")
            return
        corr = f"{call.key}.{attempt}"
        name = f"{self._name}-leaver-{corr}" if leaves else self._client_name(call.client)
        now = self.world.now
        message = Message(
            name, corr, call.key, habit.request_class, habit.tenant, call.function, now, int(timeout_s * 1e6),
            lambda answered, kind, reason, dup: self._answer(call, answered, kind, reason, dup),
            attempt=attempt, unanswered=call.unanswered, qos=habit.qos,
            priority=min(9, round(habit.answer_value)),
        )  # fmt: skip
        if leaves:
            gateway = client.gateway if isinstance(self._front, Endpoint) else -1
            to = self._front.gateways[gateway].port if isinstance(self._front, Endpoint) else 1
            self.world.record("connected", "publishers", client=name, to=f"127.0.0.1:{to}")
        self.world.record(
            "try", "publishers", client=name, corr=corr, key=call.key,
            band=habit.request_class, tenant=habit.tenant, function=call.function, number=attempt,
            until=now + message.timeout_us, worth=habit.answer_value,
            wanted=int(habit.target_latency_s * 1e6),
        )  # fmt: skip
        if leaves:
            self.world.record("left", "publishers", corr=corr)
            message.on_answer = lambda *args: None
            self._send(client, message)
            self._end_try(call, "left")
            return
        call.awaited_corr = corr
        client.unacked[corr] = message
        message.on_ack = lambda acked: client.unacked.pop(acked.corr, None) and None
        self._send(client, message)
        self.world.after(message.timeout_us, self._on_timeout, call, corr)

    def _send(self, client: _Client, message: Message) -> None:
        if isinstance(self._front, Endpoint):
            self._front.publish(client.gateway, message)
        else:
            self.world.after(constants.CLIENT_DELAY_US, self._front.publish, message)

    def _answer(self, call: _Call, message: Message, kind: str, reason: str, dup: bool) -> None:
        self.world.record("answer", "publishers", corr=message.corr, kind=kind, reason=reason, dup=dup)
        if call.awaited_corr == message.corr:
            call.awaited_corr = ""
            self._end_try(call, kind, message.retry_after_us if kind == "refused" else 0)

    def _on_timeout(self, call: _Call, corr: str) -> None:
        self._clients[call.client].unacked.pop(corr, None)
        if call.awaited_corr == corr:
            call.awaited_corr = ""
            self.world.record("gave-up", "publishers", corr=corr)
            self._end_try(call, "gave-up")

    def _end_try(self, call: _Call, outcome: str, retry_after_us: int = 0) -> None:
        """Ends a try: the call is finished, or is tried again after a wait."""
        call.unanswered |= outcome != "refused"
        never_retry = outcome == "failed" and call.habit.request_class.startswith("consigna")
        if outcome in ("served", "left") or never_retry or call.tries > self._plan.retries:
            self.open_calls -= 1
            if self.arrivals_ended and not self.open_calls:
                self.on_finished()
            return
        honour = self._plan.honour_share
        if retry_after_us and honour and self._behaviour_random.uniform() < honour:
            wait_us: float = retry_after_us
        else:
            wait_us = self._plan.retry_s * self._behaviour_random.uniform(0.5, 1.5) * 1e6
        self.world.after(wait_us, self._start_try, call)
