"""A day in virtual time: the same day file, the same checker, the same verdict, at sizes that sockets don't
reach."""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import replace
from pathlib import Path
from typing import Any

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.gateway.ports import Listed
from swiftwell.lab import constants as c
from swiftwell.lab.clients import Crowd
from swiftwell.lab.fronts import AmqpBroker, Endpoint, MqttBroker
from swiftwell.lab.gateway import Gateway, RouterFactory, Plan
from swiftwell.lab.servers import Server, Store
from swiftwell.lab.world import START_US, World
from swiftwell.proof import days
from swiftwell.proof.rules import check
from swiftwell.proof.verdict import sharing, verdict
from swiftwell.settings import site as settings
from swiftwell.standins.fleet import crowd_plan, machine

END_S = 30.0  # s that publishers may take beyond their calls
SETTLE_S = 0.5  # s from the gateways' start to the first call


class ListService:
    """The list of workers: late by so much, and told to each gateway that asks."""

    def __init__(self, world: World, late_us: float) -> None:
        self._world, self._late_us = world, late_us
        self._known: dict[str, tuple[str, str, int]] = {}  # worker: state, kind, start
        self._told: dict[str, dict[str, tuple[str, int]]] = {}
        self.gateways: list[Gateway] = []
        self._faults: dict[str, int] = {}
        self._asked: set[str] = set()  # gateways whose question is being answered
        self._shown: tuple[io.WorkerEntry, ...] = ()  # the list as entries, shared by all that are told it
        self._of: dict[str, tuple[str, int]] | None = None

    def put(self, server: Server, state: str, now: bool = False) -> None:
        """A worker's state has changed."""
        self._world.after(0 if now else self._late_us, self._put, server.name, state, server.kind,
                          server.started_us)  # fmt: skip

    def _put(self, name: str, state: str, kind: str, started: int) -> None:
        if state == "gone":
            self._known.pop(name, None)
        else:
            self._known[name] = (state, kind, started)
        self.tell_all()

    def fault(self, name: str, for_s: float) -> None:
        """down, hang, cut, malformed and back are answers of no use; empty and half are wrong ones."""
        self._world.note("fault", "list", worker="list", fault=name, for_s=for_s)
        self._faults[name] = self._world.now + int(for_s * 1e6)
        self._world.after(for_s * 1e6 + 50_000, self.tell_all)
        if name in ("empty", "half"):
            self.tell_all()

    def _has(self, *names: str) -> bool:
        return any(self._world.now < self._faults.get(name, 0) for name in names)

    def tell_all(self) -> None:
        """Answer every question that waits."""
        for gateway in self.gateways:
            self.tell(gateway)

    def tell(self, gateway: Gateway) -> None:
        """Answer a gateway's question; one answer tells all changes until it is written."""
        if gateway.name in self._asked:
            return
        self._asked.add(gateway.name)
        self._world.after(c.LIST_ANSWER_US + gateway.client_us(), self._answer, gateway, gateway.life)

    def _answer(self, gateway: Gateway, life: int) -> None:
        self._asked.discard(gateway.name)
        if gateway.life != life or not gateway.up:
            return
        if self._has("down", "hang", "cut", "malformed", "back"):
            return
        shown = {} if self._has("empty") else dict(self._known)
        if self._has("half"):
            shown = dict(list(shown.items())[::2])
        after = {worker: (state, started) for worker, (state, _, started) in shown.items()}
        before = self._told.get(gateway.name, {})
        if after == before and before:
            return
        for worker, (state, started) in after.items():
            if before.get(worker) != after[worker]:
                self._world.note("told", "list", gw=gateway.name, worker=worker, state=state, started=started)
        for worker in before:
            if worker not in after:
                self._world.note("told", "list", gw=gateway.name, worker=worker, state="gone", started=0)
        self._told[gateway.name] = after
        states = {"running": io.State.READY, "draining": io.State.DRAINING}
        if after != self._of:
            self._of = after
            self._shown = tuple(
                io.WorkerEntry(worker, states[state], kind, 1.0, started, "", 0)
                for worker, (state, kind, started) in shown.items()
            )
        entries = self._shown
        gateway.enqueue(Listed(io.Members(io.ListKind.FULL, entries)))

    def forget(self, gateway: Gateway) -> None:
        """A gateway that starts asks for everything."""
        self._told.pop(gateway.name, None)
        self.tell(gateway)


class Emulation:
    """One day in virtual time.  `make` puts another router in the module's place, for comparison."""

    def __init__(
        self, name: str, day: days.Day, seed: int, scale: float = 1.0, make: RouterFactory = Router
    ) -> None:
        self.name, self.seed = name, seed
        day, scale = days.scaled(day, scale)
        self.day, self._scale = day, scale
        self.world = world = World(seed)
        site = settings.read(
            days.site(day, 0, Path("state"), 0, ["127.0.0.1:1"], "127.0.0.1:1", amqp="127.0.0.1:1"), name
        )
        self._work_us = {one.name: one.work_ms * 1e3 for one in day.classes}
        f = day.fleet
        room, most = max(1, round(f.store_room * scale)), max(2, round(f.store_most * scale))
        self.store = Store(world, f.fetch_ms * 1e3, room, most)
        self.list = ListService(world, f.list_late_ms * 1e3)
        self.servers = self._servers()
        by_name = {server.name: server for server in self.servers}
        self.gateways = []
        for number in range(day.gateways):
            told = replace(site.router_settings(), position=number)
            plan = Plan(
                told, site.margin_ms * 1_000, site.open_calls, site.workers.connections, make, site.hint,
                any(one.do == "kill-gateway" for one in day.troubles),
            )  # fmt: skip
            gateway = Gateway(world, f"gw-{number}", plan, by_name)
            gateway.list_now = self.list.forget
            self.gateways.append(gateway)
        self.list.gateways = self.gateways
        alone = day.gateways == 1
        link = site.amqp[0]
        make_front = {
            "endpoint": lambda: Endpoint(world, self.gateways, alone),
            "broker": lambda: MqttBroker(world, self.gateways, day.share, alone),
            "amqp": lambda: AmqpBroker(world, self.gateways, alone, link.prefetch_least, link.prefetch_most),
        }
        used = {crowd.via for crowd in day.crowds} | {one.do for one in day.troubles}
        self.fronts: dict[str, Any] = {via: make_front[via]() for via in make_front if via in used}
        self.crowds = self._crowds()

    def _servers(self) -> list[Server]:
        day, out = self.day, []
        keys: OrderedDict[str, int] = OrderedDict()
        for kind in day.kinds:
            made = machine(day, kind)
            for _ in range(max(1, round(kind.workers * self._scale))):
                name = f"127.0.0.1:{20_000 + len(out)}"
                server = Server(
                    self.world, name, kind.name, made, self._work_us, self.store, keys, day.warm,
                    self.list.put,
                )  # fmt: skip
                out.append(server)
                self.list.put(server, "running", now=True)
        return out

    def _crowds(self) -> list[Crowd]:
        return [
            Crowd(self.world, crowd.name, crowd_plan(self.day, crowd, self._scale), self.fronts[crowd.via])
            for crowd in self.day.crowds
        ]

    def run(self) -> dict[str, Any]:
        """Play it; its verdict, as a day through sockets has it."""
        began, world = time.perf_counter(), self.world
        for gateway in self.gateways:
            gateway.start()
        world.run(START_US + int(SETTLE_S * 1e6))
        for crowd in self.crowds:
            crowd.over = self._crowd_over
            crowd.start()
        start = world.now
        for number, one in enumerate(self.day.troubles):
            world.at(start + one.at * 1e6, self._trouble, number, one)
        until = start + int((self.day.seconds + END_S) * 1e6)
        world.run(until)
        spent = time.perf_counter() - began
        found = check(world.events, self.day.limits())
        told = verdict(self.name, self.seed, (world.now - start) / 1e6, world.events, found)
        told["rules_kept"] = not any(found.broken.values()) and not found.lost and not found.doubled
        if any(crowd.via == "amqp" for crowd in self.day.crowds):
            told["sharing"] = sharing(world.events)
        self.spent_s = spent  # not part of the verdict, which is the same every time
        return told

    def _crowd_over(self) -> None:
        self.world.stopped = all(crowd.done and not crowd.open for crowd in self.crowds)

    def _trouble(self, number: int, one: days.Trouble) -> None:
        match one.do:
            case "kill-gateway":
                self.gateways[one.gateway].kill(one.for_s)
            case "restart" | "upgrade":
                pass  # handovers are a matter of sockets and processes: not emulated
            case "store":
                self.store.fault(one.fault, one.for_s)
            case "list":
                self.list.fault(one.fault, one.for_s)
            case "broker" | "amqp":
                self.fronts[one.do].fault(one.fault, one.for_s, one.keep, one.lose_s)
            case _:
                chance = self.world.stream(f"trouble/{number}")
                count = min(one.workers, len(self.servers))
                for index, picked in enumerate(chance.sample(count, len(self.servers))):
                    self.world.after(index * one.one_by_one_s * 1e6, self._one, one, self.servers[picked])

    def _one(self, one: days.Trouble, server: Server) -> None:
        match one.do:
            case "die":
                server.die(one.for_s)
            case "drain":
                server.drain(one.for_s)
            case name:
                server.fault(name.replace("-", "_"), one.for_s, one.times, one.band)
