"""Plays a day in virtual time, with the same day file, checker and verdict as over sockets.

It reaches sizes that sockets don't.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import replace
from pathlib import Path
from typing import Any

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.gateway.ports import Listed
from swiftwell.lab import constants
from swiftwell.lab.clients import Crowd
from swiftwell.lab.fronts import AmqpBroker, Endpoint, MqttBroker
from swiftwell.lab.gateway import Gateway, Plan, RouterFactory
from swiftwell.lab.servers import Server, Store
from swiftwell.lab.world import START_US, World
from swiftwell.proof import days
from swiftwell.proof.rules import check
from swiftwell.proof.verdict import sharing, verdict
from swiftwell.settings import site as settings
from swiftwell.standins.fleet import crowd_plan, machine

END_S = 30.0  # limit for open calls after the day's end
SETTLE_S = 0.5  # from the gateways' start to the first call


class ListService:
    """The list service: publishes worker states after a delay and answers the gateways' long polls."""

    def __init__(self, world: World, delay_us: float) -> None:
        self._world, self._delay_us = world, delay_us
        self._known: dict[str, tuple[str, str, int]] = {}  # by worker: state, kind, start time
        self._sent_lists: dict[str, dict[str, tuple[str, int]]] = {}
        self.gateways: list[Gateway] = []
        self._faults: dict[str, int] = {}
        self._answering: set[str] = set()  # gateways with an answer on its way
        self._last_entries: tuple[io.WorkerEntry, ...] = ()  # the last list, shared by all gateways
        self._last_states: dict[str, tuple[str, int]] | None = None

    def set_state(self, server: Server, state: str, now: bool = False) -> None:
        """Publishes a worker's changed state, after the delay unless `now`."""
        self._world.after(0 if now else self._delay_us, self._set_state, server.name, state, server.kind,
                          server.started_us)  # fmt: skip

    def _set_state(self, name: str, state: str, kind: str, started: int) -> None:
        if state == "gone":
            self._known.pop(name, None)
        else:
            self._known[name] = (state, kind, started)
        self.answer_all()

    def fault(self, name: str, for_s: float) -> None:
        """Injects a fault.

        down, hang, cut, malformed and back give no usable answer; empty and half give a wrong one.
        """
        self._world.record("fault", "list", worker="list", fault=name, for_s=for_s)
        self._faults[name] = self._world.now + int(for_s * 1e6)
        self._world.after(for_s * 1e6 + 50_000, self.answer_all)
        if name in ("empty", "half"):
            self.answer_all()

    def _has_fault(self, *names: str) -> bool:
        return any(self._world.now < self._faults.get(name, 0) for name in names)

    def answer_all(self) -> None:
        """Answers the pending polls of all gateways."""
        for gateway in self.gateways:
            self.answer(gateway)

    def answer(self, gateway: Gateway) -> None:
        """Answers a gateway's poll; the answer holds all changes up to the time it is written."""
        if gateway.name in self._answering:
            return
        self._answering.add(gateway.name)
        self._world.after(
            constants.LIST_ANSWER_US + gateway.client_delay_us(), self._answer, gateway, gateway.incarnation
        )

    def _answer(self, gateway: Gateway, incarnation: int) -> None:
        self._answering.discard(gateway.name)
        if gateway.incarnation != incarnation or not gateway.up:
            return
        if self._has_fault("down", "hang", "cut", "malformed", "back"):
            return
        visible = {} if self._has_fault("empty") else dict(self._known)
        if self._has_fault("half"):
            visible = dict(list(visible.items())[::2])
        current = {worker: (state, started) for worker, (state, _, started) in visible.items()}
        previous = self._sent_lists.get(gateway.name, {})
        if current == previous and previous:
            return
        for worker, (state, started) in current.items():
            if previous.get(worker) != current[worker]:
                self._world.record(
                    "told", "list", gw=gateway.name, worker=worker, state=state, started=started
                )
        for worker in previous:
            if worker not in current:
                self._world.record("told", "list", gw=gateway.name, worker=worker, state="gone", started=0)
        self._sent_lists[gateway.name] = current
        states = {"running": io.State.READY, "draining": io.State.DRAINING}
        if current != self._last_states:
            self._last_states = current
            self._last_entries = tuple(
                io.WorkerEntry(worker, states[state], kind, 1.0, started, "", 0)
                for worker, (state, kind, started) in visible.items()
            )
        entries = self._last_entries
        gateway.enqueue(Listed(io.Members(io.ListKind.FULL, entries)))

    def send_full_list(self, gateway: Gateway) -> None:
        """Sends the full list to a gateway that has started."""
        self._sent_lists.pop(gateway.name, None)
        self.answer(gateway)


class Emulation:
    """One day in virtual time.  `router_factory` replaces the module's router, for comparisons."""

    def __init__(
        self, name: str, day: days.Day, seed: int, scale: float = 1.0, router_factory: RouterFactory = Router
    ) -> None:
        self.name, self.seed = name, seed
        day, scale = days.scaled(day, scale)
        self.day, self._scale = day, scale
        self.world = world = World(seed)
        site = settings.read(
            days.site(day, 0, Path("state"), 0, ["127.0.0.1:1"], "127.0.0.1:1", amqp="127.0.0.1:1"), name
        )
        self._work_us = {entry.name: entry.work_ms * 1e3 for entry in day.classes}
        fleet = day.fleet
        store_capacity, store_max_fetches = (
            max(1, round(fleet.store_room * scale)), max(2, round(fleet.store_most * scale)),
        )  # fmt: skip
        self.store = Store(world, fleet.fetch_ms * 1e3, store_capacity, store_max_fetches)
        self.list = ListService(world, fleet.list_late_ms * 1e3)
        self.servers = self._servers()
        by_name = {server.name: server for server in self.servers}
        self.gateways = []
        for number in range(day.gateways):
            router_settings = replace(site.router_settings(), position=number)
            plan = Plan(
                router_settings, site.margin_ms * 1_000, site.open_calls, site.workers.connections,
                router_factory, site.hint,
                any(trouble.do == "kill-gateway" for trouble in day.troubles),
            )  # fmt: skip
            gateway = Gateway(world, f"gw-{number}", plan, by_name)
            gateway.request_list = self.list.send_full_list
            self.gateways.append(gateway)
        self.list.gateways = self.gateways
        single_gateway = day.gateways == 1
        link = site.amqp[0]
        make_front = {
            "endpoint": lambda: Endpoint(world, self.gateways, single_gateway),
            "broker": lambda: MqttBroker(world, self.gateways, day.share, single_gateway),
            "amqp": lambda: AmqpBroker(
                world, self.gateways, single_gateway, link.prefetch_least, link.prefetch_most
            ),
        }
        used_fronts = {crowd.via for crowd in day.crowds} | {trouble.do for trouble in day.troubles}
        self.fronts: dict[str, Any] = {via: make_front[via]() for via in make_front if via in used_fronts}
        self.crowds = self._crowds()

    def _servers(self) -> list[Server]:
        day, servers = self.day, []
        keys: OrderedDict[str, int] = OrderedDict()
        for kind in day.kinds:
            server_machine = machine(day, kind)
            for _ in range(max(1, round(kind.workers * self._scale))):
                name = f"127.0.0.1:{20_000 + len(servers)}"
                server = Server(
                    self.world, name, kind.name, server_machine, self._work_us, self.store, keys, day.warm,
                    self.list.set_state,
                )  # fmt: skip
                servers.append(server)
                self.list.set_state(server, "running", now=True)
        return servers

    def _crowds(self) -> list[Crowd]:
        return [
            Crowd(self.world, crowd.name, crowd_plan(self.day, crowd, self._scale), self.fronts[crowd.via])
            for crowd in self.day.crowds
        ]

    def run(self) -> dict[str, Any]:
        """Plays the day and returns its verdict, in the same form as over sockets."""
        wall_started, world = time.perf_counter(), self.world
        for gateway in self.gateways:
            gateway.start()
        world.run(START_US + int(SETTLE_S * 1e6))
        for crowd in self.crowds:
            crowd.on_finished = self._on_crowd_finished
            crowd.start()
        start = world.now
        for number, trouble in enumerate(self.day.troubles):
            world.at(start + trouble.at * 1e6, self._apply_trouble, number, trouble)
        end = start + int((self.day.seconds + END_S) * 1e6)
        world.run(end)
        spent_s = time.perf_counter() - wall_started
        check_result = check(world.events, self.day.limits())
        result = verdict(self.name, self.seed, (world.now - start) / 1e6, world.events, check_result)
        result["rules_kept"] = (
            not any(check_result.broken.values()) and not check_result.lost and not check_result.doubled
        )
        if any(crowd.via == "amqp" for crowd in self.day.crowds):
            result["sharing"] = sharing(world.events)
        self.spent_s = spent_s  # kept out of the verdict, which depends on the seed alone
        return result

    def _on_crowd_finished(self) -> None:
        self.world.stopped = all(crowd.arrivals_ended and not crowd.open_calls for crowd in self.crowds)

    def _apply_trouble(self, number: int, trouble: days.Trouble) -> None:
        match trouble.do:
            case "kill-gateway":
                self.gateways[trouble.gateway].kill(trouble.for_s)
            case "restart" | "upgrade":
                pass  # not emulated: a handover needs sockets and processes
            case "store":
                self.store.fault(trouble.fault, trouble.for_s)
            case "list":
                self.list.fault(trouble.fault, trouble.for_s)
            case "broker" | "amqp":
                self.fronts[trouble.do].fault(trouble.fault, trouble.for_s, trouble.keep, trouble.lose_s)
            case _:
                random = self.world.stream(f"trouble/{number}")
                count = min(trouble.workers, len(self.servers))
                for index, picked in enumerate(random.sample(count, len(self.servers))):
                    self.world.after(
                        index * trouble.one_by_one_s * 1e6,
                        self._apply_to_server,
                        trouble,
                        self.servers[picked],
                    )

    def _apply_to_server(self, trouble: days.Trouble, server: Server) -> None:
        match trouble.do:
            case "die":
                server.die(trouble.for_s)
            case "drain":
                server.drain(trouble.for_s)
            case name:
                server.fault(name.replace("-", "_"), trouble.for_s, trouble.times, trouble.band)
