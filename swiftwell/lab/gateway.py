"""A gateway in virtual time: the real engine with its module, ledger and list, and a shell of its own.

The engine is driven through its inputs and outputs only.  What the shell of sockets does around it is
modelled: turns of its loop, commits of the ledger, connections to workers, a list that is asked for, a kill.
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
from swiftwell.lab import constants as c
from swiftwell.lab.servers import Answer, Server
from swiftwell.lab.world import World
from swiftwell.standins.model import Work

KEEP = Bounds(86_400_000_000, 200_000, 1 << 28)
ORDER_US = 10_000_000  # us that the link waits for an order's answer
ANSWER_BYTES = 1 << 20
_FOUND = {"warm": 1, "loaded": 2, "waited": 3}
RouterFactory = Callable[[io.Settings, int], Router]


@dataclass(frozen=True, slots=True)
class Plan:
    """What all gateways of a day share."""

    told: io.Settings
    margin_us: int
    max_open: int = 20_000
    connections: int = 64
    router_factory: RouterFactory = Router
    hint: Callable[[str], Any] = lambda function: None
    books: bool = True  # written now and then; nobody reads them on a day without a kill


class Gateway:
    """One gateway; `up` while its process runs."""

    def __init__(self, world: World, name: str, plan: Plan, servers: dict[str, Server]) -> None:
        self.world, self.name, self.plan, self._servers = world, name, plan, servers
        self._delay = world.stream(f"network/{name}")
        self._disk_chance = world.stream(f"disk/{name}")
        self._effects = {request_class.name: request_class.effect for request_class in plan.told.classes}
        self.disk: list[Record] = []  # what is durable, and outlives a kill
        self._books: tuple[int, snapshot.RouterBooks] | None = None
        self.up = False
        self.life = 0
        self.on_life: list[Callable[[bool], None]] = []  # fronts hear of start and kill
        self.list_now: Callable[[Gateway], None] = lambda gateway: None
        self.engine: Engine = None  # type: ignore[assignment]

    # Life.

    def start(self) -> None:
        """A process starts, with what is on its disk."""
        world = self.world
        self.life += 1
        self.up = True
        ledger = Ledger(KEEP)
        for record in self.disk:
            ledger.replay(record)
        seed = self.world.stream(f"seed/{self.name}").below(1 << 32)
        self.engine = Engine(
            self.plan.told, ledger, seed=seed, margin_us=self.plan.margin_us, max_open=self.plan.max_open,
            router_factory=self.plan.router_factory,
        )  # fmt: skip
        self._inputs: list[ports.Input] = []
        self._stepping = False
        self._armed = 0
        self._free_at = 0
        self._waiting: list[Record] = []
        self._committing = False
        self._open: dict[str, int] = {}  # worker: connections to it
        self._out: dict[tuple[str, int], str] = {}  # attempts that are out: their worker, "" without one
        if self._books:
            at, books = self._books
            if believed := crash.believe(books, world.now - at, True):
                self.engine.start_at(world.now, world.wall())
                self.engine.restore_router_state(believed)
        world.note("ready", "runner", gw=self.name, port=self.port)
        self.enqueue(ports.Listed(io.Members(io.ListKind.DELTA, ())))
        self.list_now(self)
        if self.plan.books:
            world.after(crash.EVERY_US, self._write_books, self.life)
        for told in self.on_life:
            told(True)

    @property
    def port(self) -> int:
        """A number that stands for where it listens."""
        return 10_000 + int(self.name.rpartition("-")[2])

    def kill(self, away_s: float) -> None:
        """Killed outright, and started again after so long."""
        self.world.note("killed", "runner", gw=self.name)
        self.up = False
        self.life += 1
        for told in self.on_life:
            told(False)
        self.world.after((away_s + c.GATEWAY_START_S) * 1e6, self.start)

    def _write_books(self, life: int) -> None:
        if life == self.life and self.up:
            self._books = (self.world.now, snapshot.take(self.engine.router, calls=False))
            self.world.after(crash.EVERY_US, self._write_books, life)

    # Turns.

    def enqueue(self, given: ports.Input) -> None:
        """Something happened; taken in this turn of the loop, once the loop is free."""
        self._inputs.append(given)
        if not self._stepping:
            self._stepping = True
            self.world.at(self._free_at, self._turn, self.life)

    def _turn(self, life: int) -> None:
        if life != self.life:
            return
        self._stepping = False
        inputs, self._inputs = self._inputs, []
        world = self.world
        self._free_at = world.now + int(c.INPUT_COST_US * (len(inputs) or 1))
        for out in self.engine.step(world.now, world.wall(), inputs):
            self._carry(out)
        self._flush()
        self._arm()

    def _arm(self) -> None:
        due = self.engine.next_us()
        if due is not None and not (self._armed and self._armed <= due):
            self._armed = max(due, self.world.now)
            self.world.at(due, self._due, self.life, self._armed)

    def _due(self, life: int, due: int) -> None:
        if life != self.life or due != self._armed:
            return
        self._armed = 0
        if not self._stepping:
            self._turn(life)

    def _carry(self, out: ports.Output) -> None:
        match out:
            case ports.Start():
                self._start(out)
            case ports.Reply():
                out.trigger.ref.replied(out.trigger, out.answer)  # type: ignore[attr-defined]
            case ports.Accepted():
                out.trigger.ref.accepted(out.trigger)  # type: ignore[attr-defined]
            case ports.Write():
                self._waiting.append(out.record)
            case ports.Abandon():
                if (out.id, out.number) in self._out:
                    self._end(out.id, out.number, ports.AttemptEnd(out.id, out.number, out.status, Ran.MAYBE))
            case ports.Order():
                self._order(out)
            case ports.Ask():
                self._ask(out)
            case _:
                pass

    # The ledger's disk.

    def _flush(self) -> None:
        if self._committing or not self._waiting:
            return
        batch, self._waiting, self._committing = self._waiting, [], True
        us = self._disk_chance.lognormal(c.COMMIT_US, c.COMMIT_SIGMA)
        self.world.after(us, self._durable, self.life, batch)

    def _durable(self, life: int, batch: list[Record]) -> None:
        if life != self.life:
            return
        self.disk += batch
        self._committing = False
        self.enqueue(ports.Durable(self.engine._last_write - len(self._waiting)))
        self._flush()

    # The link to workers.

    def _wire_us(self) -> float:
        return self._delay.lognormal(c.WORKER_DELAY_US, c.WORKER_DELAY_SIGMA)

    def _start(self, out: ports.Start) -> None:
        key, began = (out.id, out.number), self.world.now
        self._out[key] = ""
        server = self._servers.get(out.worker)
        if server is None or server.refuses() or self._open.get(out.worker, 0) >= self.plan.connections:
            self.world.after(c.CONNECT_REFUSED_US, self._no_connection, self.life, key, began)
            return
        self._open[out.worker] = self._open.get(out.worker, 0) + 1
        self._out[key] = out.worker
        trigger = out.trigger
        work = Work(
            f"{self.name}/{out.id}/{out.number}", trigger.function, 0.0, trigger.memory_mb or 100.0,
            max(1, trigger.lanes), trigger.key, trigger.request_class,
        )  # fmt: skip
        life = self.life

        def told(answer: Answer) -> None:
            self.world.after(self._wire_us(), self._answered, life, out, key, began, answer)

        self.world.after(self._wire_us(), server.run, self.name, work.id, work, told)

    def _no_connection(self, life: int, key: tuple[str, int], began: int) -> None:
        if life == self.life:
            end = ports.AttemptEnd(*key, Status.CONNECT_FAILED, Ran.NEVER, latency_us=self.world.now - began)
            self._end(*key, end)

    def _answered(
        self, life: int, out: ports.Start, key: tuple[str, int], began: int, answer: Answer
    ) -> None:
        if life != self.life:
            return
        if key not in self._out:
            return
        latency = self.world.now - began
        if answer.lost:
            self._end(*key, ports.AttemptEnd(*key, Status.RESET, Ran.MAYBE, latency_us=latency))
            return
        if len(answer.body) > ANSWER_BYTES:
            end = ports.AttemptEnd(*key, Status.ERROR, Ran.MAYBE, latency_us=latency, too_large=True)
            self._end(*key, end)
            return
        status, ran = {
            "": (Status.OK, Ran.YES),
            "full": (Status.FULL, Ran.NEVER),
            "draining": (Status.FULL, Ran.NEVER),
            "miss": (Status.MISS, Ran.NEVER),
        }.get(answer.verdict, (Status.ERROR, Ran.MAYBE))
        end = ports.AttemptEnd(
            *key, status, ran, answer.body if status is Status.OK else b"", latency,
            _FOUND.get(answer.found, 0), answer.crowd, float(answer.held), answer.draining,
            started_us=answer.started_us, answered=True,
        )  # fmt: skip
        self._end(*key, end)

    def _end(self, id_: str, number: int, end: ports.AttemptEnd) -> None:
        # An attempt that is given up closes its connection; what the worker has of it, it runs on.
        worker = self._out.pop((id_, number), "")
        if worker:
            self._open[worker] -= 1
        self.enqueue(end)

    def _order(self, out: ports.Order) -> None:
        server, life, began = self._servers.get(out.worker), self.life, self.world.now
        state = {"over": False}

        def end(status: Status, answer: Answer | None) -> None:
            if state["over"] or life != self.life:
                return
            state["over"] = True
            latency = self.world.now - began
            if answer is None:
                self.enqueue(ports.OrderEnd(out.number, status, 0, latency))
                return
            found = {"": Status.OK, "full": Status.FULL, "draining": Status.FULL}
            self.enqueue(
                ports.OrderEnd(
                    out.number, found.get(answer.verdict, Status.ERROR), answer.copies, latency,
                    answer.draining, answer.started_us, True,
                )
            )  # fmt: skip

        if server is None or server.refuses():
            self.world.after(c.CONNECT_REFUSED_US, end, Status.CONNECT_FAILED, None)
            return

        def told(answer: Answer) -> None:
            self.world.after(self._wire_us(), end, Status.RESET, None if answer.lost else answer)

        self.world.after(
            self._wire_us(), server.order, self.name, out.function, out.copies, out.memory_mb, out.lanes, told
        )
        self.world.after(ORDER_US, end, Status.TIMEOUT, None)

    def _ask(self, out: ports.Ask) -> None:
        server, life = self._servers.get(out.worker), self.life
        state = {"over": False}

        def end(answer: Answer | None) -> None:
            if state["over"] or life != self.life:
                return
            state["over"] = True
            heard = answer is not None and not answer.lost
            draining = bool(answer and answer.draining)
            self.enqueue(
                ports.Asked(out.worker, heard, draining, answer.started_us if answer and heard else 0)
            )

        if server is None or server.refuses():
            self.world.after(c.CONNECT_REFUSED_US, end, None)
            return

        def told(answer: Answer) -> None:
            self.world.after(self._wire_us(), end, answer)

        self.world.after(self._wire_us(), server.order, self.name, "-", 0, 0.0, 1, told)
        self.world.after(out.timeout_us, end, None)

    # What fronts use.

    def effect(self, request_class: str) -> Effect | None:
        """What a repeat of a class does."""
        return self._effects.get(request_class)

    def submit(self, trigger: Trigger) -> None:
        """Take a trigger, whose `ref` hears of its answer."""
        self.enqueue(ports.Arrive(trigger))

    def client_us(self) -> float:
        """A message's way between this gateway and a client or a broker."""
        return self._delay.lognormal(c.CLIENT_DELAY_US, c.CLIENT_DELAY_SIGMA)
