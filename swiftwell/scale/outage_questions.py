"""Queries of routers to workers while the worker list is silent, in virtual time.

    python -m swiftwell.scale.outage_questions '{"routers": 200, "workers": 120}'

Runs the production decision modules and worker leases.  The list is current for `CURRENT_LIST_S`, then
silent.  Workers are simulated, and a share of them drains.  A query is a load order of zero copies, which
asks a worker how many copies of a function it has.
"""

from __future__ import annotations

import heapq
import json
import random
import sys
from collections import Counter
from dataclasses import asdict, dataclass, replace

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.discovery.staleness import STALE_AFTER_STOP_US, ListStaleness
from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.scale import hollow_router as hollow
from swiftwell.scale.cases import OutageCase
from swiftwell.scale.popularity import Popularity

DRAIN_GRACE_US = 500_000  # as set in the operators' deployments
CURRENT_LIST_S = 4.0  # calls while the list is current
MEASURED_S = 6.0  # measured part of the outage, from when the list is stale
ROUND_TRIP_US = 500  # to a worker and back
FUNCTION_COUNT = 2_000
DRAINING_SHARE = 0.05  # share of the workers that drain once the list is silent
START_US = 1_000_000


@dataclass(frozen=True, slots=True)
class OutageResult:
    """Figures over the measured time."""

    calls: int
    served: int
    questions: int  # queries
    asked_per_s: float  # mean queries per second of a router
    most_per_s: int  # maximum of one router in one second
    worker_per_s: float  # mean queries per second at a worker
    worker_most_per_s: int  # maximum at one worker in one second
    late_sends: int  # calls sent to draining workers after the list is stale and the grace period is over


@dataclass(frozen=True, slots=True)
class _Answer:
    """A worker's answer; it proves that the worker accepted work at `proven_at`, None if it drains."""

    event: io.Outcome | io.Loaded
    proven_at: int | None


class Outage:
    """Routers, their worker leases, and simulated workers."""

    def __init__(self, case: OutageCase) -> None:
        self.case, self._rng = case, random.Random(case.seed)
        settings = replace(
            hollow.settings(case.routers), may_load=True, order_timeout_us=10_000_000,
            drain_grace_us=DRAIN_GRACE_US,
        )  # fmt: skip
        self._stale_at = START_US + int(CURRENT_LIST_S * 1e6) + STALE_AFTER_STOP_US
        self.routers: list[Router] = []
        self.leases: list[WorkerLeases] = []
        for index in range(case.routers):
            router = Router(replace(settings, position=index, zone=f"z{index % 6}"), case.seed)
            router.leases = WorkerLeases(ListStaleness(START_US), DRAIN_GRACE_US)
            self.routers.append(router)
            self.leases.append(router.leases)
        self._events: list[tuple[int, int, int, object]] = []
        self._sequence = 0
        self._attempts: Counter[tuple[int, str]] = Counter()
        self._draining: set[str] = set()
        self._queries_by_router: Counter[tuple[int, int]] = Counter()  # by router and second
        self._queries_by_worker: Counter[tuple[str, int]] = Counter()  # by worker and second
        self.calls = self.served = self.late_sends = 0

    def run(self) -> OutageResult:
        """Run the case to its end."""
        entries = tuple(map(hollow.entry, range(self.case.workers)))
        names = [entry.worker for entry in entries]
        for index, leases in enumerate(self.leases):
            for name in names:
                leases.listed(name)
                leases.connected(name, START_US)
            leases.staleness.confirm(START_US + int(CURRENT_LIST_S * 1e6))
            self._handle(START_US, index, io.Members(io.ListKind.FULL, entries))
        self._draining = set(self._rng.sample(names, int(DRAINING_SHARE * len(names))))
        end = self._stale_at + int(MEASURED_S * 1e6)
        self._schedule_calls(end)
        while self._events and self._events[0][0] <= end:
            now, _, index, event = heapq.heappop(self._events)
            self._handle(now, index, event)
        return self._result()

    def _result(self) -> OutageResult:
        queries = sum(self._queries_by_router.values())
        return OutageResult(
            self.calls, self.served, queries,
            round(queries / self.case.routers / MEASURED_S, 2),
            max(self._queries_by_router.values(), default=0),
            round(queries / self.case.workers / MEASURED_S, 2),
            max(self._queries_by_worker.values(), default=0), self.late_sends,
        )  # fmt: skip

    def _schedule_calls(self, end: int) -> None:
        functions = Popularity(FUNCTION_COUNT, self.case.exponent)
        calls_per_s = self.case.routers * self.case.calls_per_s
        arrives_at = float(START_US)
        while (arrives_at := arrives_at + self._rng.expovariate(calls_per_s) * 1e6) < end:
            name = f"fn-{functions.draw(self._rng)}"
            call = io.Request(
                f"c-{self._sequence}", "lectura", "", name, 1_500_000, 0, hollow.COPY_MB, 2, 0, False
            )
            self._schedule(int(arrives_at), self._rng.randrange(self.case.routers), call)

    def _schedule(self, at: int, index: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, index, event))

    def _handle(self, now: int, index: int, event: object) -> None:
        router, leases = self.routers[index], self.leases[index]
        events = leases.advance(now)
        if isinstance(event, _Answer):
            if event.proven_at is None:
                leases.record_draining(event.event.worker)
            else:
                leases.record_accepted(event.event.worker, event.proven_at)
            event = event.event
        is_measured = now >= self._stale_at
        self.calls += is_measured and isinstance(event, io.Request)
        self.served += is_measured and isinstance(event, io.Outcome) and event.status is io.Status.OK
        for action in router.handle(now, [*events, event]):
            if isinstance(action, io.SetTimer):
                self._schedule(now + action.delay_us, index, io.Timer(action.token))
            elif isinstance(action, io.Send):
                self._send(now, index, action)
            elif isinstance(action, io.Load):
                self._load(now, index, action)

    def _is_draining(self, worker: str, now: int) -> bool:
        return worker in self._draining and now >= START_US + int(CURRENT_LIST_S * 1e6)

    def _send(self, now: int, index: int, action: io.Send) -> None:
        number = self._attempts[index, action.id]
        self._attempts[index, action.id] += 1
        if self._is_draining(action.worker, now):
            self.late_sends += now > self._stale_at + DRAIN_GRACE_US
            outcome = io.Outcome(
                action.id, number, action.worker, io.Status.FULL, ROUND_TRIP_US, False, 0, ()
            )
            self._schedule(now + ROUND_TRIP_US, index, outcome)
            return
        outcome = io.Outcome(
            action.id, number, action.worker, io.Status.OK, hollow.SERVICE_US, True, hollow.REUSED, ()
        )
        self._schedule(now + hollow.SERVICE_US, index, _Answer(outcome, now))

    def _load(self, now: int, index: int, action: io.Load) -> None:
        is_query = not action.copies
        if is_query and now >= self._stale_at:
            second = (now - self._stale_at) // 1_000_000
            self._queries_by_router[index, second] += 1
            self._queries_by_worker[action.worker, second] += 1
        is_draining = self._is_draining(action.worker, now)
        status = io.Status.FULL if is_draining else io.Status.OK
        loaded = io.Loaded(
            action.worker, action.function, status, ROUND_TRIP_US, 0 if is_draining else 1, is_query
        )
        if is_draining and not is_query:
            self._schedule(now + ROUND_TRIP_US, index, loaded)
        else:
            self._schedule(now + ROUND_TRIP_US, index, _Answer(loaded, None if is_draining else now))


def main() -> int:
    """Run one case in this process and print its result as JSON."""
    print(json.dumps(asdict(Outage(OutageCase(**json.loads(sys.argv[1]))).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
