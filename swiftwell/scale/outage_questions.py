"""What routers ask workers while the list is away: the shipped decisions and leases in one virtual time.

    python -m swiftwell.scale.outage_questions '{"routers": 200, "workers": 120}'

The list is current for `BEFORE_S`, then silent; workers are hollow, and a part of them drains.
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

GRACE_US = 500_000  # as the operators' deployments tell it
BEFORE_S = 4.0  # s of calls under a list that is well
AFTER_S = 6.0  # s of the outage that are counted, once the list is stale
ANSWER_US = 500  # us to a worker and back
FUNCTIONS = 2_000
DRAINING = 0.05  # of the workers drain once the list is away
START_US = 1_000_000


@dataclass(frozen=True, slots=True)
class OutageResult:
    """Over the counted time."""

    calls: int
    served: int
    questions: int
    asked_per_s: float  # questions a second of a router, in the mean
    most_per_s: int  # of one router in one second
    worker_per_s: float  # questions a second at a worker, in the mean
    worker_most_per_s: int  # at one worker in one second
    late_sends: int  # to draining workers, later than told and the grace


@dataclass(frozen=True, slots=True)
class _Answer:
    """A worker's answer, and when it proves that the worker served; None where it says that it drains."""

    event: io.Outcome | io.Loaded
    proven_us: int | None


class Outage:
    """Routers, their leases, and hollow workers."""

    def __init__(self, case: OutageCase) -> None:
        self.case, self._chance = case, random.Random(case.seed)
        told = replace(
            hollow.settings(case.routers), may_load=True, order_timeout_us=10_000_000,
            drain_grace_us=GRACE_US,
        )  # fmt: skip
        self._stale_us = START_US + int(BEFORE_S * 1e6) + STALE_AFTER_STOP_US
        self.routers: list[Router] = []
        self.leases: list[WorkerLeases] = []
        for at in range(case.routers):
            router = Router(replace(told, position=at, zone=f"z{at % 6}"), case.seed)
            router.leases = WorkerLeases(ListStaleness(START_US), GRACE_US)
            self.routers.append(router)
            self.leases.append(router.leases)
        self._due: list[tuple[int, int, int, object]] = []
        self._sequence = 0
        self._attempts: Counter[tuple[int, str]] = Counter()
        self._draining: set[str] = set()
        self._asked: Counter[tuple[int, int]] = Counter()  # router, second
        self._met: Counter[tuple[str, int]] = Counter()  # worker, second
        self.calls = self.served = self.late = 0

    def run(self) -> OutageResult:
        """Play it."""
        entries = tuple(map(hollow.entry, range(self.case.workers)))
        names = [entry.worker for entry in entries]
        for at, leases in enumerate(self.leases):
            for name in names:
                leases.listed(name)
                leases.connected(name, START_US)
            leases.staleness.confirm(START_US + int(BEFORE_S * 1e6))
            self._tell(START_US, at, io.Members(io.ListKind.FULL, entries))
        self._draining = set(self._chance.sample(names, int(DRAINING * len(names))))
        end = self._stale_us + int(AFTER_S * 1e6)
        self._plan(end)
        while self._due and self._due[0][0] <= end:
            now, _, at, event = heapq.heappop(self._due)
            self._tell(now, at, event)
        return self._result()

    def _result(self) -> OutageResult:
        questions = sum(self._asked.values())
        return OutageResult(
            self.calls, self.served, questions,
            round(questions / self.case.routers / AFTER_S, 2), max(self._asked.values(), default=0),
            round(questions / self.case.workers / AFTER_S, 2), max(self._met.values(), default=0), self.late,
        )  # fmt: skip

    def _plan(self, end: int) -> None:
        functions = Popularity(FUNCTIONS, self.case.exponent)
        per_s = self.case.routers * self.case.calls_per_s
        at = float(START_US)
        while (at := at + self._chance.expovariate(per_s) * 1e6) < end:
            name = f"fn-{functions.draw(self._chance)}"
            call = io.Request(
                f"c-{self._sequence}", "lectura", "", name, 1_500_000, 0, hollow.COPY_MB, 2, 0, False
            )
            self._add(int(at), self._chance.randrange(self.case.routers), call)

    def _add(self, at: int, router: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (at, self._sequence, router, event))

    def _tell(self, now: int, at: int, event: object) -> None:
        router, leases = self.routers[at], self.leases[at]
        events = leases.advance(now)
        if isinstance(event, _Answer):
            if event.proven_us is None:
                leases.record_draining(event.event.worker)
            else:
                leases.record_accepted(event.event.worker, event.proven_us)
            event = event.event
        counted = now >= self._stale_us
        self.calls += counted and isinstance(event, io.Request)
        self.served += counted and isinstance(event, io.Outcome) and event.status is io.Status.OK
        for action in router.handle(now, [*events, event]):
            if isinstance(action, io.SetTimer):
                self._add(now + action.delay_us, at, io.Timer(action.token))
            elif isinstance(action, io.Send):
                self._send(now, at, action)
            elif isinstance(action, io.Load):
                self._load(now, at, action)

    def _drains(self, worker: str, now: int) -> bool:
        return worker in self._draining and now >= START_US + int(BEFORE_S * 1e6)

    def _send(self, now: int, at: int, action: io.Send) -> None:
        number = self._attempts[at, action.id]
        self._attempts[at, action.id] += 1
        if self._drains(action.worker, now):
            self.late += now > self._stale_us + GRACE_US
            outcome = io.Outcome(action.id, number, action.worker, io.Status.FULL, ANSWER_US, False, 0, ())
            self._add(now + ANSWER_US, at, outcome)
            return
        outcome = io.Outcome(
            action.id, number, action.worker, io.Status.OK, hollow.SERVICE_US, True, hollow.REUSED, ()
        )
        self._add(now + hollow.SERVICE_US, at, _Answer(outcome, now))

    def _load(self, now: int, at: int, action: io.Load) -> None:
        asked = not action.copies
        if asked and now >= self._stale_us:
            second = (now - self._stale_us) // 1_000_000
            self._asked[at, second] += 1
            self._met[action.worker, second] += 1
        drains = self._drains(action.worker, now)
        status = io.Status.FULL if drains else io.Status.OK
        loaded = io.Loaded(action.worker, action.function, status, ANSWER_US, 0 if drains else 1, asked)
        if drains and not asked:
            self._add(now + ANSWER_US, at, loaded)
        else:
            self._add(now + ANSWER_US, at, _Answer(loaded, None if drains else now))


def main() -> int:
    """One play, in this process."""
    print(json.dumps(asdict(Outage(OutageCase(**json.loads(sys.argv[1]))).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
