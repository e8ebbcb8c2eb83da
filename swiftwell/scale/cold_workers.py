"""What cold workers get from the sum of all routers: the shipped decision modules in one virtual time.

    python -m swiftwell.scale.cold_workers '{"routers": 20, "seed": 1}'

Most workers are replaced by cold ones within some seconds while calls go on; traffic is spread unevenly over
the routers.  A cold worker's budget is N calls in the span that the settings name, what they allow it then;
it falls at more than N + 2 root N + 2.  What is told is (calls - N) / root N at the worst cold worker and
instant.
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

WORK_US = 50_000  # us of a call on a lane of a warm worker
LANES = 4  # calls that a worker runs at a time
LOAD = 0.55  # of what all warm workers can do: enough that the cold ones are wanted
FUNCTIONS = 60
EXPONENT = 1.0
COLD_US, COLD_SHARE, FALL_MULTIPLE, FALL_US = 10_000_000, 0.2, 2.0, 1_000_000
WARM_UP_S = 12.0  # s of calls before workers are replaced: routers know what is usual
REPLACE_S = 7.0  # s over which they are
AFTER_S = 8.0  # s of calls after that
REPLACED = 0.6  # of the workers
UNEVEN = 0.7  # sigma of the log-normal parts of the traffic: some routers get several times the mean
SLACK = 2.0  # roots of N, and calls, beyond N that are put down to chance


@dataclass(frozen=True, slots=True)
class ColdResult:
    """Over all cold workers of a play."""

    calls: int
    cold_calls: int
    worst_excess: float  # (calls - N) / root N
    worst_of_limit: float  # calls over N + 2 root N + 2
    falls: int
    used: float  # of their budgets, in the mean


class Server:
    """A worker: lanes, calls that wait, and what a cold one got of late."""

    def __init__(self, name: str, started: int) -> None:
        self.name, self.started = name, started
        self.lanes = [0] * LANES  # when each is free
        self.got: deque[int] = deque()

    def speed(self, now: int) -> float:
        """Of a warm one's."""
        if not self.started:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_US)

    def take(self, now: int, work: float) -> int:
        """Run a call; when it is done."""
        begin = max(now, heapq.heappop(self.lanes))
        done = begin + int(work / self.speed(now))
        heapq.heappush(self.lanes, done)
        return done

    def budget(self, now: int) -> float:
        """Calls of mean work that the settings allow within the span now."""
        return FALL_MULTIPLE * self.speed(now) * LANES / WORK_US * FALL_US

    def cold(self, now: int) -> bool:
        """Whether its warm-up is not over."""
        return bool(self.started) and now < self.started + COLD_US


class Fleet:
    """All routers, workers and clients of a play."""

    def __init__(self, case: ColdCase) -> None:
        self.case, self._chance = case, random.Random(case.seed)
        told = replace(
            hollow.settings(case.routers), cold_us=COLD_US, cold_share=COLD_SHARE,
            fall_multiple=FALL_MULTIPLE, fall_us=FALL_US,
        )  # fmt: skip
        self.routers = [
            Router(replace(told, position=at, zone=f"z{at % 6}"), case.seed) for at in range(case.routers)
        ]
        self.servers = {name: Server(name, 0) for name in (f"w-{at}" for at in range(case.workers))}
        self._due: list[tuple[int, int, int, object]] = []
        self._sequence = 0
        self._attempts: dict[tuple[int, str], int] = {}
        self._zones = {name: f"z{at % 6}" for at, name in enumerate(self.servers)}
        self.calls = self.cold_calls = self.falls = 0
        self.worst_excess, self.worst_of_limit = -math.inf, 0.0
        self._shares: list[float] = []

    def run(self) -> ColdResult:
        """Play it."""
        now = 1_000_000
        entries = tuple(self._entry(server) for server in self.servers.values())
        for at in range(len(self.routers)):
            self._tell(now, at, io.Members(io.ListKind.FULL, entries))
        end = now + int((WARM_UP_S + REPLACE_S + AFTER_S) * 1e6)
        self._plan(now, end)
        while self._due and self._due[0][0] <= end:
            now, _, at, event = heapq.heappop(self._due)
            if isinstance(event, str):
                self._replace(now, event)
            else:
                self._tell(now, at, event)
        used = sum(self._shares) / len(self._shares) if self._shares else 0.0
        return ColdResult(
            self.calls, self.cold_calls, round(self.worst_excess, 2), round(self.worst_of_limit, 3),
            self.falls, round(used, 3),
        )  # fmt: skip

    def _entry(self, server: Server, state: io.State = io.State.READY) -> io.WorkerEntry:
        return io.WorkerEntry(server.name, state, "std", 1.0, server.started, self._zones[server.name], 0)

    def _plan(self, now: int, end: int) -> None:
        parts = [self._chance.lognormvariate(0.0, UNEVEN) for _ in self.routers]
        per_s = LOAD * self.case.workers * LANES / WORK_US * 1e6
        functions = Popularity(FUNCTIONS, EXPONENT)
        at = float(now)
        while (at := at + self._chance.expovariate(per_s) * 1e6) < end:
            router = self._chance.choices(range(len(parts)), parts)[0]
            name = f"fn-{functions.draw(self._chance)}"
            call = io.Request(
                f"c-{self._sequence}", "lectura", "", name, 1_500_000, 0, hollow.COPY_MB, 2, 0, False
            )
            self._add(int(at), router, call)
        replaced = self._chance.sample(sorted(self.servers), int(REPLACED * self.case.workers))
        for name in replaced:
            moment = now + int((WARM_UP_S + self._chance.random() * REPLACE_S) * 1e6)
            self._add(moment, 0, name)

    def _replace(self, now: int, name: str) -> None:
        old = self.servers.pop(name)
        new = Server(f"{name}-new", now)
        self.servers[new.name], self._zones[new.name] = new, self._zones[name]
        changed = (self._entry(old, io.State.GONE), self._entry(new))
        for at in range(len(self.routers)):
            self._tell(now, at, io.Members(io.ListKind.DELTA, changed))

    def _add(self, at: int, router: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (at, self._sequence, router, event))

    def _tell(self, now: int, at: int, event: io.Event) -> None:
        for action in self.routers[at].handle(now, [event]):
            if isinstance(action, io.SetTimer):
                self._add(now + action.delay_us, at, io.Timer(action.token))
            elif isinstance(action, io.Send):
                self._send(now, at, action)

    def _send(self, now: int, at: int, action: io.Send) -> None:
        self.calls += 1
        key = at, action.id
        number = self._attempts[key] = self._attempts.get(key, -1) + 1
        server = self.servers.get(action.worker)
        if server is None:  # replaced meanwhile
            outcome = io.Outcome(
                action.id, number, action.worker, io.Status.CONNECT_FAILED, 1_000, False, 0, ()
            )
            self._add(now + 1_000, at, outcome)
            return
        done = server.take(now, self._chance.expovariate(1 / WORK_US))
        if server.cold(now):
            self._count(now, server)
        outcome = io.Outcome(
            action.id, number, action.worker, io.Status.OK, done - now, True, hollow.REUSED, ()
        )
        self._add(done, at, outcome)

    def _count(self, now: int, server: Server) -> None:
        self.cold_calls += 1
        server.got.append(now)
        while server.got[0] <= now - FALL_US:
            server.got.popleft()
        budget, got = server.budget(now), len(server.got)
        limit = budget + SLACK * math.sqrt(budget) + SLACK
        self._shares.append(got / budget)
        self.worst_excess = max(self.worst_excess, (got - budget) / math.sqrt(budget))
        self.worst_of_limit = max(self.worst_of_limit, got / limit)
        self.falls += got > limit


def main() -> int:
    """One play, in this process."""
    print(json.dumps(asdict(Fleet(ColdCase(**json.loads(sys.argv[1]))).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
