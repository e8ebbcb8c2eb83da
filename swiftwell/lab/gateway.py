"""Emulates a gateway in virtual time: the real engine with its module, ledger and worker list.

The engine is driven through its inputs and outputs only.  The shell that does I/O around it is modelled:
iterations of the event loop, commits of the ledger, connections to workers, polls of the worker list, kills.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.gateway.effects import Bounds, Ledger, Record
from swiftwell.gateway.engine import Engine
from swiftwell.handover import crash, snapshot
from swiftwell.interface import Effect, Status
from swiftwell.lab import constants
from swiftwell.lab.servers import Answer, Server
from swiftwell.lab.world import World
from swiftwell.standins.model import Work

LEDGER_BOUNDS = Bounds(86_400_000_000, 200_000, 1 << 28)
ORDER_TIMEOUT_US = 10_000_000  # for the answer to a load order
MAX_ANSWER_BYTES = 1 << 20
_COPY_STATES = {"warm": 1, "loaded": 2, "waited": 3}
RouterFactory = Callable[[io.Settings, int], Router]


@dataclass(frozen=True, slots=True)
class Plan:
    """The configuration that all gateways of a day share."""

    settings: io.Settings
    margin_us: int
    max_open: int = 20_000
    connections: int = 64
    router_factory: RouterFactory = Router
    hint: Callable[[str], Any] = lambda function: None
    save_snapshots: bool = True  # periodically; only read after a kill


class Gateway:
    """One gateway; `up` while its process runs."""

    def __init__(self, world: World, name: str, plan: Plan, servers: dict[str, Server]) -> None:
        self.world, self.name, self.plan, self._servers = world, name, plan, servers
        self._network_random = world.stream(f"network/{name}")
        self._disk_random = world.stream(f"disk/{name}")
        self._effects = {request_class.name: request_class.effect for request_class in plan.settings.classes}
        self.disk: list[Record] = []  # the durable records, kept across kills
        self._snapshot: tuple[int, snapshot.RouterSnapshot] | None = None
        self.up = False
        self.incarnation = 0
        # Called with True when the process starts, with False when it is killed.
        self.lifecycle_listeners: list[Callable[[bool], None]] = []
        self.request_list: Callable[[Gateway], None] = lambda gateway: None
        self.engine: Engine = None  # type: ignore[assignment]

    # Start and kill.

    def start(self) -> None:
        """Starts a process with the records on its disk."""
        world = self.world
        self.incarnation += 1
        self.up = True
        ledger = Ledger(LEDGER_BOUNDS)
        for record in self.disk:
            ledger.replay(record)
        seed = self.world.stream(f"seed/{self.name}").below(1 << 32)
        self.engine = Engine(
            self.plan.settings, ledger, seed=seed, margin_us=self.plan.margin_us, max_open=self.plan.max_open,
            router_factory=self.plan.router_factory,
        )  # fmt: skip
        self._inputs: list[ports.Input] = []
        self._stepping = False
        self._armed_at = 0
        self._free_at = 0
        self._unwritten: list[Record] = []
        self._committing = False
        self._connections: dict[str, int] = {}  # by worker
        self._in_flight: dict[tuple[str, int], str] = {}  # by attempt: its worker, "" without a connection
        if self._snapshot:
            saved_at, saved = self._snapshot
            if router_state := crash.usable_part(saved, world.now - saved_at, True):
                self.engine.start_at(world.now, world.wall())
                self.engine.restore_router_state(router_state)
        world.record("ready", "runner", gw=self.name, port=self.port)
        self.enqueue(ports.Listed(io.Members(io.ListKind.DELTA, ())))
        self.request_list(self)
        if self.plan.save_snapshots:
            world.after(crash.WRITE_INTERVAL_US, self._save_snapshot, self.incarnation)
        for listener in self.lifecycle_listeners:
            listener(True)

    @property
    def port(self) -> int:
        """A port number that identifies the gateway; nothing listens on it."""
        return 10_000 + int(self.name.rpartition("-")[2])

    def kill(self, downtime_s: float) -> None:
        """Kills the process; it is started again `downtime_s` later."""
        self.world.record("killed", "runner", gw=self.name)
        self.up = False
        self.incarnation += 1
        for listener in self.lifecycle_listeners:
            listener(False)
        self.world.after((downtime_s + constants.GATEWAY_START_S) * 1e6, self.start)

    def _save_snapshot(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self._snapshot = (self.world.now, snapshot.capture(self.engine.router, calls=False))
            self.world.after(crash.WRITE_INTERVAL_US, self._save_snapshot, incarnation)

    # Event loop.

    def enqueue(self, input_: ports.Input) -> None:
        """Queues an input for the next iteration of the event loop, which runs once the loop is free."""
        self._inputs.append(input_)
        if not self._stepping:
            self._stepping = True
            self.world.at(self._free_at, self._step, self.incarnation)

    def _step(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self._stepping = False
        inputs, self._inputs = self._inputs, []
        world = self.world
        self._free_at = world.now + int(constants.INPUT_COST_US * (len(inputs) or 1))
        for output in self.engine.step(world.now, world.wall(), inputs):
            self._execute(output)
        self._start_commit()
        self._arm()

    def _arm(self) -> None:
        due_at = self.engine.next_us()
        if due_at is not None and not (self._armed_at and self._armed_at <= due_at):
            self._armed_at = max(due_at, self.world.now)
            self.world.at(due_at, self._on_timer, self.incarnation, self._armed_at)

    def _on_timer(self, incarnation: int, due_at: int) -> None:
        if incarnation != self.incarnation or due_at != self._armed_at:
            return
        self._armed_at = 0
        if not self._stepping:
            self._step(incarnation)

    def _execute(self, output: ports.Output) -> None:
        match output:
            case ports.Start():
                self._start(output)
            case ports.Reply():
                output.trigger.ref.replied(output.trigger, output.answer)  # type: ignore[attr-defined]
            case ports.Accepted():
                output.trigger.ref.accepted(output.trigger)  # type: ignore[attr-defined]
            case ports.Write():
                self._unwritten.append(output.record)
            case ports.Abandon():
                if (output.id, output.number) in self._in_flight:
                    self._end_attempt(
                        output.id,
                        output.number,
                        ports.AttemptEnd(output.id, output.number, output.status, Ran.MAYBE),
                    )
            case ports.Order():
                self._order(output)
            case ports.Ask():
                self._probe(output)
            case _:
                pass

    # The ledger's disk.

    def _start_commit(self) -> None:
        if self._committing or not self._unwritten:
            return
        batch, self._unwritten, self._committing = self._unwritten, [], True
        us = self._disk_random.lognormal(constants.COMMIT_US, constants.COMMIT_SIGMA)
        self.world.after(us, self._on_commit, self.incarnation, batch)

    def _on_commit(self, incarnation: int, batch: list[Record]) -> None:
        if incarnation != self.incarnation:
            return
        self.disk += batch
        self._committing = False
        self.enqueue(ports.Durable(self.engine._last_write - len(self._unwritten)))
        self._start_commit()

    # The link to workers.

    def _worker_delay_us(self) -> float:
        return self._network_random.lognormal(constants.WORKER_DELAY_US, constants.WORKER_DELAY_SIGMA)

    def _start(self, start: ports.Start) -> None:
        key, started_at = (start.id, start.number), self.world.now
        self._in_flight[key] = ""
        server = self._servers.get(start.worker)
        if (
            server is None
            or server.refuses()
            or self._connections.get(start.worker, 0) >= self.plan.connections
        ):
            self.world.after(
                constants.CONNECT_REFUSED_US, self._no_connection, self.incarnation, key, started_at
            )
            return
        self._connections[start.worker] = self._connections.get(start.worker, 0) + 1
        self._in_flight[key] = start.worker
        trigger = start.trigger
        work = Work(
            f"{self.name}/{start.id}/{start.number}", trigger.function, 0.0, trigger.memory_mb or 100.0,
            max(1, trigger.lanes), trigger.key, trigger.request_class,
        )  # fmt: skip
        incarnation = self.incarnation

        def on_answer(answer: Answer) -> None:
            self.world.after(
                self._worker_delay_us(), self._on_answer, incarnation, start, key, started_at, answer
            )

        self.world.after(self._worker_delay_us(), server.run, self.name, work.id, work, on_answer)

    def _no_connection(self, incarnation: int, key: tuple[str, int], started_at: int) -> None:
        if incarnation == self.incarnation:
            end = ports.AttemptEnd(
                *key, Status.CONNECT_FAILED, Ran.NEVER, latency_us=self.world.now - started_at
            )
            self._end_attempt(*key, end)

    def _on_answer(
        self, incarnation: int, start: ports.Start, key: tuple[str, int], started_at: int, answer: Answer
    ) -> None:
        if incarnation != self.incarnation:
            return
        if key not in self._in_flight:
            return
        latency = self.world.now - started_at
        if answer.lost:
            self._end_attempt(*key, ports.AttemptEnd(*key, Status.RESET, Ran.MAYBE, latency_us=latency))
            return
        if len(answer.body) > MAX_ANSWER_BYTES:
            end = ports.AttemptEnd(*key, Status.ERROR, Ran.MAYBE, latency_us=latency, too_large=True)
            self._end_attempt(*key, end)
            return
        status, ran = {
            "": (Status.OK, Ran.YES),
            "full": (Status.FULL, Ran.NEVER),
            "draining": (Status.FULL, Ran.NEVER),
            "miss": (Status.MISS, Ran.NEVER),
        }.get(answer.verdict, (Status.ERROR, Ran.MAYBE))
        end = ports.AttemptEnd(
            *key, status, ran, answer.body if status is Status.OK else b"", latency,
            _COPY_STATES.get(answer.copy_state, 0), answer.function_calls_waiting,
            float(answer.worker_calls_held), answer.draining,
            started_us=answer.started_us, answered=True,
        )  # fmt: skip
        self._end_attempt(*key, end)

    def _end_attempt(self, id_: str, number: int, end: ports.AttemptEnd) -> None:
        # An abandoned attempt closes its connection; the worker still runs the calls it has received.
        worker = self._in_flight.pop((id_, number), "")
        if worker:
            self._connections[worker] -= 1
        self.enqueue(end)

    def _order(self, order: ports.Order) -> None:
        server, incarnation, started_at = self._servers.get(order.worker), self.incarnation, self.world.now
        state = {"over": False}

        def end(status: Status, answer: Answer | None) -> None:
            if state["over"] or incarnation != self.incarnation:
                return
            state["over"] = True
            latency = self.world.now - started_at
            if answer is None:
                self.enqueue(ports.OrderEnd(order.number, status, 0, latency))
                return
            statuses = {"": Status.OK, "full": Status.FULL, "draining": Status.FULL}
            self.enqueue(
                ports.OrderEnd(
                    order.number, statuses.get(answer.verdict, Status.ERROR), answer.copies, latency,
                    answer.draining, answer.started_us, True,
                )
            )  # fmt: skip

        if server is None or server.refuses():
            self.world.after(constants.CONNECT_REFUSED_US, end, Status.CONNECT_FAILED, None)
            return

        def on_answer(answer: Answer) -> None:
            self.world.after(self._worker_delay_us(), end, Status.RESET, None if answer.lost else answer)

        self.world.after(
            self._worker_delay_us(),
            server.order,
            self.name,
            order.function,
            order.copies,
            order.memory_mb,
            order.lanes,
            on_answer,
        )
        self.world.after(ORDER_TIMEOUT_US, end, Status.TIMEOUT, None)

    def _probe(self, probe: ports.Ask) -> None:
        server, incarnation = self._servers.get(probe.worker), self.incarnation
        state = {"over": False}

        def end(answer: Answer | None) -> None:
            if state["over"] or incarnation != self.incarnation:
                return
            state["over"] = True
            answered = answer is not None and not answer.lost
            draining = bool(answer and answer.draining)
            self.enqueue(
                ports.Asked(probe.worker, answered, draining, answer.started_us if answer and answered else 0)
            )

        if server is None or server.refuses():
            self.world.after(constants.CONNECT_REFUSED_US, end, None)
            return

        def on_answer(answer: Answer) -> None:
            self.world.after(self._worker_delay_us(), end, answer)

        self.world.after(self._worker_delay_us(), server.order, self.name, "-", 0, 0.0, 1, on_answer)
        self.world.after(probe.timeout_us, end, None)

    # Interface to the fronts.

    def effect(self, request_class: str) -> Effect | None:
        """Returns the effect of a request class, None if it is unknown."""
        return self._effects.get(request_class)

    def submit(self, trigger: Trigger) -> None:
        """Takes a trigger, whose `ref` receives the answer."""
        self.enqueue(ports.Arrive(trigger))

    def client_delay_us(self) -> float:
        """Draws the one-way delay of a message between this gateway and a client or broker."""
        return self._network_random.lognormal(constants.CLIENT_DELAY_US, constants.CLIENT_DELAY_SIGMA)
