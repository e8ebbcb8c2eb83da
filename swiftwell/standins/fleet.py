"""The calc servers of a day with their store and list, for one process, and its publishers, for another."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from swiftwell.fronts.mqtt.codec import V5, V311
from swiftwell.proof.days import Crowd as DayCrowd
from swiftwell.proof.days import Day, DayKind
from swiftwell.proof.trace import Trace
from swiftwell.standins.amqp_publishers import AmqpPublishers
from swiftwell.standins.listing import Listing
from swiftwell.standins.model import Machine
from swiftwell.standins.publishers import CallProfile, Plan, Publishers
from swiftwell.standins.store import Store
from swiftwell.standins.worker import Worker


class Fleet:
    """Everything behind the gateways of a day."""

    def __init__(self, trace: Trace, day: Day, seed: int, scale: float) -> None:
        self._day, self._trace = day, trace
        self._random = random.Random(f"fleet/{seed}")
        fleet = day.fleet
        room, max_fetches = max(1, round(fleet.store_room * scale)), max(2, round(fleet.store_most * scale))
        self._store = Store(trace, fleet.fetch_ms / 1e3, room, max_fetches)
        self._worker_list = Listing(trace, fleet.list_late_ms / 1e3)
        self._workers: list[Worker] = []
        self._kinds: list[str] = []
        self._scale = scale
        # Shared by all servers, so that they drop repeated calls together.
        self._keys: OrderedDict[str, int] = OrderedDict()

    def start(self) -> dict[str, Any]:
        """Starts everything and returns the addresses."""
        day = self._day
        store = f"127.0.0.1:{self._store.start()}"
        work_us = {request_class.name: request_class.work_ms * 1e3 for request_class in day.classes}
        for kind in day.kinds:
            config = machine(day, kind)
            for _ in range(max(1, round(kind.workers * self._scale))):
                seed = self._random.getrandbits(32)
                worker = Worker(
                    self._trace, config, seed, work_us, store, day.warm, self._on_state_change, self._keys
                )
                worker.start()
                self._workers.append(worker)
                self._kinds.append(kind.name)
                self._publish_state(worker, "running", now=True)
        return {
            "workers": [worker.name for worker in self._workers],
            "lists": [f"127.0.0.1:{self._worker_list.start()}"],
            "store": store,
            "kinds": self._kinds,
            "started_ms": [worker.started_ms for worker in self._workers],
        }

    def _on_state_change(self, worker: Worker, state: str) -> None:
        self._publish_state(worker, state, now=False)

    def _publish_state(self, worker: Worker, state: str, now: bool) -> None:
        number, together = self._workers.index(worker), self._day.together
        kind, zone = self._kinds[number], ""
        if together and together.sites:
            zone = f"z{number % together.zones}"
        self._worker_list.put(
            worker.name, state, now, kind=kind, started_ms=worker.started_ms, zone=zone, cell=0
        )

    def commands(self) -> dict[str, Callable[..., object]]:
        """The commands of the control channel."""
        return {
            "fault": lambda worker, **more: self._workers[worker].fault(**more),
            "die": lambda worker, **more: self._workers[worker].die(**more),
            "drain": lambda worker, **more: self._workers[worker].drain(**more),
            "store": self._store.fault,
            "list": self._worker_list.fault,
        }


def machine(day: Day, kind: DayKind) -> Machine:
    """The configuration of a calc server of one kind on a day."""
    return Machine(
        kind.cores, kind.speed, kind.memory_mb, day.fleet.queue, day.fleet.loads,
        start_us=day.fleet.start_ms * 1_000, cold_share=day.cold_share, cold_us=day.cold_ms * 1_000,
        crash_multiple=day.fall_multiple, crash_window_us=day.fall_ms * 1_000,
        rejects_unloaded=day.fleet.misses,
        key_retention_us=max((request_class.memory_ms for request_class in day.classes), default=0) * 1_000,
    )  # fmt: skip


def crowd_plan(day: Day, crowd: DayCrowd, scale: float) -> Plan:
    """The publishing plan of one crowd of a day."""
    profiles = tuple(
        CallProfile(
            request_class.name, request_class.share, request_class.deadline_ms / 1e3,
            request_class.functions, request_class.qos, target_latency_s=request_class.wanted_ms / 1e3,
            answer_value=request_class.worth,
        )
        for request_class in day.classes
    )  # fmt: skip
    return Plan(
        crowd.rate * scale, day.seconds, profiles, crowd.clients, crowd.retries,
        honour_share=crowd.honour, disconnect_share=crowd.leave,
        single_use_share=crowd.one_off,
        bursts=tuple((burst.at, burst.for_s, burst.times) for burst in day.bursts),
        skew_ms=crowd.skew_ms,
    )  # fmt: skip


def crowds(
    trace: Trace, day: Day, seed: int, scale: float, addresses: dict[str, list[str]]
) -> list[Publishers]:
    """Creates the publishers of a day."""
    groups = []
    for number, crowd in enumerate(day.crowds):
        plan = crowd_plan(day, crowd, scale)
        version = V5 if crowd.version == "5.0" else V311
        publishers_class = AmqpPublishers if crowd.via == "amqp" else Publishers
        groups.append(
            publishers_class(trace, plan, addresses[crowd.via], seed * 1_000 + number, version, crowd.name)
        )
    return groups
