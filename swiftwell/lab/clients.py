"""Publishers in virtual time: arrivals by a law, functions by their rank, patience, retries, leaving,
reconnecting; as the stand-ins that publish over sockets do."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from swiftwell.lab import constants as c
from swiftwell.lab.fronts import AmqpBroker, Endpoint, Message, MqttBroker
from swiftwell.lab.world import World
from swiftwell.standins.publishers import CallProfile, Plan


@dataclass(slots=True, eq=False)
class _Call:
    key: str
    habit: CallProfile
    function: str
    client: int
    tries: int = 0
    unanswered: bool = False
    waiting: str = ""  # the try that is waited for


@dataclass(slots=True, eq=False)
class _Client:
    number: int
    gateway: int = -1  # -1: not connected, or through a broker
    up: bool = False
    turn: int = 0
    unacked: dict[str, Message] = field(default_factory=dict)


class Crowd:
    """One crowd of a day.  `front` is where it publishes."""

    def __init__(
        self, world: World, name: str, plan: Plan, front: Endpoint | MqttBroker | AmqpBroker
    ) -> None:
        self.world, self._name, self._plan, self._front = world, name, plan, front
        self._arrivals = world.stream(f"arrivals/{name}")
        self._draws = world.stream(f"draws/{name}")
        self._habits = world.stream(f"habits/{name}")
        self._waits = world.stream(f"waits/{name}")
        self._clients = [_Client(number) for number in range(plan.clients)]
        self._number = 0
        self.open = 0  # calls that have not ended
        self.done = False  # no more arrive
        self.over: Callable[[], None] = lambda: None  # told once nothing is open any more
        self._begun = world.now

    def start(self) -> None:
        """Connect everybody, and begin to publish."""
        if isinstance(self._front, Endpoint):
            for index, gateway in enumerate(self._front.gateways):
                gateway.on_life.append(lambda up, i=index: None if up else self._lost(i))
            for client in self._clients:
                client.turn = client.number
                self._connect(client)
        else:
            for client in self._clients:
                client.up = True
                self._connected(client, "127.0.0.1:1")
        self._begun = self.world.now
        self._next(0.0)

    # Connections.

    def _connect(self, client: _Client) -> None:
        front = self._front
        assert isinstance(front, Endpoint)
        index = client.turn % len(front.gateways)
        gateway = front.gateways[index]
        client.turn += len(front.gateways) > 1
        if not gateway.up:
            self.world.after(self._waits.uniform(*c.RECONNECT_S) * 1e6, self._connect, client)
            return
        client.gateway, client.up = index, True
        self._connected(client, f"127.0.0.1:{gateway.port}")
        for message in list(client.unacked.values()):  # may go to another gateway now
            message.attempt, message.unanswered = max(1, message.attempt), True
            front.publish(index, message, True)

    def _connected(self, client: _Client, to: str) -> None:
        self.world.note("connected", "publishers", client=self._client_name(client.number), to=to)

    def _lost(self, index: int) -> None:
        for client in self._clients:
            if client.up and client.gateway == index:
                client.up, client.gateway = False, -1
                name = self._client_name(client.number)
                self.world.note("disconnected", "publishers", client=name, why="closed by the peer")
                self.world.after(self._waits.uniform(*c.RECONNECT_S) * 1e6, self._connect, client)

    def _client_name(self, number: int) -> str:
        return f"{self._name}-{number}"

    # Calls.

    def _next(self, at_s: float) -> None:
        """The next arrival: drawn ahead, it does not wait for answers."""
        times = 1.0
        for start, length, factor in self._plan.bursts:
            if start <= at_s < start + length:
                times *= factor
        at_s += self._arrivals.exponential(1.0 / (self._plan.rate * times))
        if at_s >= self._plan.for_s:
            self.done = True
            if not self.open:
                self.over()
            return
        self.world.at(self._begun + at_s * 1e6, self._arrive, at_s)

    def _arrive(self, at_s: float) -> None:
        self.open += 1  # before the next is drawn: the day is over when none comes and none is open
        self._next(at_s)
        plan, draws = self._plan, self._draws
        pick = draws.uniform(0, sum(habit.share for habit in plan.profiles))
        habit = plan.profiles[-1]
        for one in plan.profiles:
            pick -= one.share
            if pick < 0:
                habit = one
                break
        self._number += 1
        if draws.uniform() < plan.single_use_share:
            function = f"once/{self._name}-{self._number}"
        else:
            rank = int(habit.functions ** draws.uniform()) - 1
            function = f"heat/{habit.request_class}-{rank}"
        client = draws.below(len(self._clients))
        self._try(_Call(f"{self._name}-{self._number}", habit, function, client))

    def _try(self, call: _Call) -> None:
        habits, habit, attempt = self._habits, call.habit, call.tries
        call.tries += 1
        patience = habit.timeout_s * (1.0 if attempt == 0 else habits.uniform(0.5, 1.0))
        leaves = habits.uniform() < self._plan.disconnect_share
        client = self._clients[call.client]
        if not client.up:
            self.world.note("unsent", "publishers", key=call.key)
            self.world.after(patience / 2 * 1e6, self._ended, call, "unsent")
            return
        corr = f"{call.key}.{attempt}"
        name = f"{self._name}-leaver-{corr}" if leaves else self._client_name(call.client)
        now = self.world.now
        message = Message(
            name, corr, call.key, habit.request_class, habit.tenant, call.function, now, int(patience * 1e6),
            lambda m, kind, reason, dup: self._answer(call, m, kind, reason, dup), attempt=attempt,
            unanswered=call.unanswered, qos=habit.qos, priority=min(9, round(habit.answer_value)),
        )  # fmt: skip
        if leaves:
            gateway = client.gateway if isinstance(self._front, Endpoint) else -1
            to = self._front.gateways[gateway].port if isinstance(self._front, Endpoint) else 1
            self.world.note("connected", "publishers", client=name, to=f"127.0.0.1:{to}")
        self.world.note(
            "try", "publishers", client=name, corr=corr, key=call.key,
            band=habit.request_class, tenant=habit.tenant, function=call.function, number=attempt,
            until=now + message.patience_us, worth=habit.answer_value,
            wanted=int(habit.target_latency_s * 1e6),
        )  # fmt: skip
        if leaves:
            self.world.note("left", "publishers", corr=corr)
            message.heard = lambda *told: None
            self._send(client, message)
            self._ended(call, "left")
            return
        call.waiting = corr
        client.unacked[corr] = message
        message.acked = lambda m: client.unacked.pop(m.corr, None) and None
        self._send(client, message)
        self.world.after(message.patience_us, self._gave_up, call, corr)

    def _send(self, client: _Client, message: Message) -> None:
        if isinstance(self._front, Endpoint):
            self._front.publish(client.gateway, message)
        else:
            self.world.after(c.CLIENT_US, self._front.publish, message)

    def _answer(self, call: _Call, message: Message, kind: str, reason: str, dup: bool) -> None:
        self.world.note("answer", "publishers", corr=message.corr, kind=kind, reason=reason, dup=dup)
        if call.waiting == message.corr:
            call.waiting = ""
            self._ended(call, kind, message.wait_us if kind == "refused" else 0)

    def _gave_up(self, call: _Call, corr: str) -> None:
        self._clients[call.client].unacked.pop(corr, None)
        if call.waiting == corr:
            call.waiting = ""
            self.world.note("gave-up", "publishers", corr=corr)
            self._ended(call, "gave-up")

    def _ended(self, call: _Call, how: str, told_us: int = 0) -> None:
        """A try has ended: the call is over, or is tried again after a while."""
        call.unanswered |= how != "refused"
        once = how == "failed" and call.habit.request_class.startswith("consigna")
        if how in ("served", "left") or once or call.tries > self._plan.retries:
            self.open -= 1
            if self.done and not self.open:
                self.over()
            return
        honour = self._plan.honour_share
        if told_us and honour and self._habits.uniform() < honour:
            wait_us: float = told_us
        else:
            wait_us = self._plan.retry_s * self._habits.uniform(0.5, 1.5) * 1e6
        self.world.after(wait_us, self._try, call)
