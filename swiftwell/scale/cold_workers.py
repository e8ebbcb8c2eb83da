"""Load on cold workers from all routers together: the production decision modules in one virtual time.

    python -m swiftwell.scale.cold_workers '{"routers": 20, "seed": 1}'

Cold workers replace most workers within a few seconds while calls go on; traffic is spread unevenly over the
routers.  The settings allow a cold worker N calls in the window `FALL_US`, its budget.  More than
N + 2 sqrt(N) + 2 calls in the window count as a fall (overload).  The result holds (calls - N) / sqrt(N) at
the worst cold worker and instant.
"""

from __future__ import annotations

import heapq
import json
import math
import random
import sys
from collections import deque
from dataclasses import asdict, dataclass, replace

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.scale import hollow_router as hollow
from swiftwell.scale.cases import ColdCase
from swiftwell.scale.popularity import Popularity

MEAN_CALL_US = 50_000  # mean time of a call on a lane of a warm worker
LANES = 4  # calls that a worker runs at the same time
UTILIZATION = 0.55  # share of the capacity of all warm workers: high enough that routers use the cold ones
FUNCTION_COUNT = 60
EXPONENT = 1.0
COLD_US, COLD_SHARE, FALL_MULTIPLE, FALL_US = 10_000_000, 0.2, 2.0, 1_000_000
WARM_UP_S = 12.0  # calls before workers are replaced, so that routers have learnt the usual latencies
REPLACE_S = 7.0  # time within which the workers are replaced
AFTER_REPLACEMENT_S = 8.0  # calls after the replacement
REPLACED_SHARE = 0.6  # share of the workers that are replaced
TRAFFIC_SIGMA = 0.7  # sigma of the log-normal traffic shares: some routers get several times the mean
SLACK = 2.0  # a random excess over N of up to SLACK sqrt(N) + SLACK calls is no fall


@dataclass(frozen=True, slots=True)
class ColdResult:
    """Figures over all cold workers of a run."""

    calls: int
    cold_calls: int
    worst_excess: float  # largest (calls - N) / sqrt(N)
    worst_of_limit: float  # largest calls / (N + 2 sqrt(N) + 2)
    falls: int  # calls that found their worker over its limit
    used: float  # mean share of the budget in use


class Server:
    """A simulated worker: its lanes, and the calls that it got recently while cold."""

    def __init__(self, name: str, started: int) -> None:
        self.name, self.started = name, started
        self.lane_free_at = [0] * LANES  # when each lane is free
        self.recent_calls: deque[int] = deque()

    def relative_speed(self, now: int) -> float:
        """Return the speed, as a share of a warm worker's."""
        if not self.started:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_US)

    def run_call(self, now: int, work: float) -> int:
        """Run a call and return when it is done."""
        begin = max(now, heapq.heappop(self.lane_free_at))
        done = begin + int(work / self.relative_speed(now))
        heapq.heappush(self.lane_free_at, done)
        return done

    def call_budget(self, now: int) -> float:
        """Return how many mean calls the settings allow in the window that ends now."""
        return FALL_MULTIPLE * self.relative_speed(now) * LANES / MEAN_CALL_US * FALL_US

    def is_cold(self, now: int) -> bool:
        """Return whether the worker is still warming up."""
        return bool(self.started) and now < self.started + COLD_US


class Fleet:
    """All routers, workers and clients of a run."""

    def __init__(self, case: ColdCase) -> None:
        self.case, self._rng = case, random.Random(case.seed)
        settings = replace(
            hollow.settings(case.routers), cold_us=COLD_US, cold_share=COLD_SHARE,
            fall_multiple=FALL_MULTIPLE, fall_us=FALL_US,
        )  # fmt: skip
        self.routers = [
            Router(replace(settings, position=index, zone=f"z{index % 6}"), case.seed)
            for index in range(case.routers)
        ]
        self.servers = {name: Server(name, 0) for name in (f"w-{index}" for index in range(case.workers))}
        self._events: list[tuple[int, int, int, object]] = []
        self._sequence = 0
        self._attempts: dict[tuple[int, str], int] = {}
        self._zones = {name: f"z{index % 6}" for index, name in enumerate(self.servers)}
        self.calls = self.cold_calls = self.falls = 0
        self.worst_excess, self.worst_of_limit = -math.inf, 0.0
        self._budget_shares: list[float] = []

    def run(self) -> ColdResult:
        """Run the case to its end."""
        now = 1_000_000
        entries = tuple(self._entry(server) for server in self.servers.values())
        for index in range(len(self.routers)):
            self._handle(now, index, io.Members(io.ListKind.FULL, entries))
        end = now + int((WARM_UP_S + REPLACE_S + AFTER_REPLACEMENT_S) * 1e6)
        self._schedule_run(now, end)
        while self._events and self._events[0][0] <= end:
            now, _, index, event = heapq.heappop(self._events)
            if isinstance(event, str):
                self._replace(now, event)
            else:
                self._handle(now, index, event)
        used = sum(self._budget_shares) / len(self._budget_shares) if self._budget_shares else 0.0
        return ColdResult(
            self.calls, self.cold_calls, round(self.worst_excess, 2), round(self.worst_of_limit, 3),
            self.falls, round(used, 3),
        )  # fmt: skip

    def _entry(self, server: Server, state: io.State = io.State.READY) -> io.WorkerEntry:
        return io.WorkerEntry(server.name, state, "std", 1.0, server.started, self._zones[server.name], 0)

    def _schedule_run(self, now: int, end: int) -> None:
        weights = [self._rng.lognormvariate(0.0, TRAFFIC_SIGMA) for _ in self.routers]
        calls_per_s = UTILIZATION * self.case.workers * LANES / MEAN_CALL_US * 1e6
        functions = Popularity(FUNCTION_COUNT, EXPONENT)
        arrives_at = float(now)
        while (arrives_at := arrives_at + self._rng.expovariate(calls_per_s) * 1e6) < end:
            router_index = self._rng.choices(range(len(weights)), weights)[0]
            name = f"fn-{functions.draw(self._rng)}"
            call = io.Request(
                f"c-{self._sequence}", "lectura", "", name, 1_500_000, 0, hollow.COPY_MB, 2, 0, False
            )
            self._schedule(int(arrives_at), router_index, call)
        replaced_names = self._rng.sample(sorted(self.servers), int(REPLACED_SHARE * self.case.workers))
        for name in replaced_names:
            replaced_at = now + int((WARM_UP_S + self._rng.random() * REPLACE_S) * 1e6)
            self._schedule(replaced_at, 0, name)

    def _replace(self, now: int, name: str) -> None:
        old = self.servers.pop(name)
        new = Server(f"{name}-new", now)
        self.servers[new.name], self._zones[new.name] = new, self._zones[name]
        changed = (self._entry(old, io.State.GONE), self._entry(new))
        for index in range(len(self.routers)):
            self._handle(now, index, io.Members(io.ListKind.DELTA, changed))

    def _schedule(self, at: int, index: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, index, event))

    def _handle(self, now: int, index: int, event: io.Event) -> None:
        for action in self.routers[index].handle(now, [event]):
            if isinstance(action, io.SetTimer):
                self._schedule(now + action.delay_us, index, io.Timer(action.token))
            elif isinstance(action, io.Send):
                self._send(now, index, action)

    def _send(self, now: int, index: int, action: io.Send) -> None:
        self.calls += 1
        key = index, action.id
        number = self._attempts[key] = self._attempts.get(key, -1) + 1
        server = self.servers.get(action.worker)
        if server is None:  # replaced since the router chose it
            outcome = io.Outcome(
                action.id, number, action.worker, io.Status.CONNECT_FAILED, 1_000, False, 0, ()
            )
            self._schedule(now + 1_000, index, outcome)
            return
        done = server.run_call(now, self._rng.expovariate(1 / MEAN_CALL_US))
        if server.is_cold(now):
            self._count_cold_call(now, server)
        outcome = io.Outcome(
            action.id, number, action.worker, io.Status.OK, done - now, True, hollow.REUSED, ()
        )
        self._schedule(done, index, outcome)

    def _count_cold_call(self, now: int, server: Server) -> None:
        self.cold_calls += 1
        server.recent_calls.append(now)
        while server.recent_calls[0] <= now - FALL_US:
            server.recent_calls.popleft()
        budget, recent_calls = server.call_budget(now), len(server.recent_calls)
        limit = budget + SLACK * math.sqrt(budget) + SLACK
        self._budget_shares.append(recent_calls / budget)
        self.worst_excess = max(self.worst_excess, (recent_calls - budget) / math.sqrt(budget))
        self.worst_of_limit = max(self.worst_of_limit, recent_calls / limit)
        self.falls += recent_calls > limit


def main() -> int:
    """Run one case in this process and print its result as JSON."""
    print(json.dumps(asdict(Fleet(ColdCase(**json.loads(sys.argv[1]))).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
