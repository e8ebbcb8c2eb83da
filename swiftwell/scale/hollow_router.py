"""A hollow router: the production decision module with its list and calls, in virtual time, without sockets.

    python -m swiftwell.scale.hollow_router '{"workers": 1000, ...}'

prints one JSON object.  It runs in its own process, so that memory and processor time are the module's.  The
workers are simulated: each call is answered after `SERVICE_US` by a copy that is already loaded.
"""

from __future__ import annotations

import gc
import heapq
import json
import random
import statistics
import sys
import time
from dataclasses import asdict, dataclass

import psutil

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.scale.cases import RoutingCase
from swiftwell.scale.popularity import Popularity
from swiftwell.scale.target import TARGET

SERVICE_US = 50_000  # time that a worker takes for a call
COPY_MB = 200.0
WORKER_MB = 8_000.0
REUSED = 1  # note of an answer from a copy that was already loaded
KINDS = (("std", WORKER_MB),)


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """Processor times are those of the thread, in microseconds; memory is the growth by the module, in MB."""

    calls: int
    served: int
    call_us: float  # mean, with the timers and answers of the call
    call_p99_us: float  # 99th percentile of the arrival of a call
    change_us: float  # mean of a change of the list
    list_us: float  # of taking the full list
    cores: float  # share of one core over the virtual time
    memory_mb: float
    workers_used: int
    functions_seen: int
    order_entries: int  # workers in the rankings of all functions


def settings(routers: int) -> io.Settings:
    """Return the settings of a large fleet whose workers load functions by themselves."""
    lectura = io.RequestClass("lectura", 400_000, 1_500_000, io.Effect.SAFE, "all", 0, False, 1.0, 0.1)
    return io.Settings(
        classes=(lectura,), tenants=(), routers=routers, position=1, tick_us=1_000, zone="z0",
        kind_memory_mb=KINDS, idle_life_us=10_000_000, may_load=False, misses=False, load_free=0,
        load_share=0, load_window_us=0, order_timeout_us=0, tells_warm=False, tells_crowd=False,
        asked_discovery=False, ask_within_us=0, may_cancel=True, may_probe=False, peers=False,
        second_copies=False, retry_after=True, max_retry_after_us=2_000_000, max_attempts=3,
        answer_slack_us=0, cold_share=0.2, cold_us=10_000_000, fall_multiple=3.0, fall_us=1_000_000,
        sized_weights=False,
    )  # fmt: skip


def entry(number: int, generation: int = 0, state: io.State = io.State.READY) -> io.WorkerEntry:
    """Return an entry of the worker list."""
    return io.WorkerEntry(
        f"s-{number:06x}{generation:02x}", state, "std", 1.0, 0, f"z{number % TARGET.zones}", 0
    )


class HollowRouter:
    """The decision module of one router in virtual time."""

    def __init__(self, case: RoutingCase) -> None:
        self.case = case
        self._rng = random.Random(case.seed)
        self._popularity = Popularity(case.functions, case.exponent)
        self._generations = [0] * case.workers
        self._events: list[tuple[int, int, object]] = []
        self._sequence = 0
        self._attempts: dict[str, int] = {}
        self._arrival_cpu_ns: list[int] = []
        self._change_cpu_ns: list[int] = []
        self._cpu_ns = self.served = 0
        self._used_workers: set[str] = set()
        gc.collect()
        rss_before = psutil.Process().memory_info().rss
        self.router = Router(settings(case.routers), case.seed)
        self._rss_before = rss_before

    def run(self) -> RoutingResult:
        """Run the case to its end."""
        case, now = self.case, 1_000_000
        entries = tuple(entry(number) for number in range(case.workers))
        list_ns = self._handle(now, io.Members(io.ListKind.FULL, entries))
        self._cpu_ns = 0
        end = now + int(case.seconds * 1e6)
        self._schedule_load(now, end)
        while self._events and self._events[0][0] <= end:
            now, _, event = heapq.heappop(self._events)
            cpu_ns = self._handle(now, event)
            if isinstance(event, io.Request):
                self._arrival_cpu_ns.append(cpu_ns)
            elif isinstance(event, io.Members):
                self._change_cpu_ns.append(cpu_ns)
        return self._result(list_ns)

    def _schedule_load(self, now: int, end: int) -> None:
        """Schedule calls and changes of the list at random times."""
        for rate_per_s, make_event in (
            (self.case.calls_per_s, self._request),
            (self.case.changes_per_s, self._change),
        ):
            at = float(now)
            while rate_per_s and (at := at + self._rng.expovariate(rate_per_s) * 1e6) < end:
                self._schedule(int(at), make_event())

    def _request(self) -> io.Request:
        number, function = self._sequence, self._popularity.draw(self._rng)
        name = f"fn-{function:08x}"
        return io.Request(f"call-{number}", "lectura", "", name, 1_500_000, 0, COPY_MB, 2, 0, False)

    def _change(self) -> io.Members:
        """Return a change of the list that replaces a random worker."""
        number = self._rng.randrange(self.case.workers)
        gone = entry(number, self._generations[number], io.State.GONE)
        self._generations[number] = (self._generations[number] + 1) % 256
        return io.Members(io.ListKind.DELTA, (gone, entry(number, self._generations[number])))

    def _schedule(self, at: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, event))

    def _handle(self, now: int, event: io.Event) -> int:
        started_ns = time.thread_time_ns()
        actions = self.router.handle(now, [event])
        cpu_ns = time.thread_time_ns() - started_ns
        self._cpu_ns += cpu_ns
        for action in actions:
            self._execute(now, action)
        return cpu_ns

    def _execute(self, now: int, action: io.Action) -> None:
        match action:
            case io.SetTimer():
                self._schedule(now + action.delay_us, io.Timer(action.token))
            case io.Send():
                number = self._attempts[action.id] = self._attempts.get(action.id, -1) + 1
                self._used_workers.add(action.worker)
                self.served += 1
                outcome = io.Outcome(
                    action.id, number, action.worker, io.Status.OK, SERVICE_US, True, REUSED, ()
                )
                self._schedule(now + SERVICE_US, outcome)

    def _result(self, list_ns: int) -> RoutingResult:
        arrivals = sorted(self._arrival_cpu_ns) or [0]
        calls = max(1, len(self._arrival_cpu_ns))
        memory = psutil.Process().memory_info().rss - self._rss_before
        return RoutingResult(
            calls=len(self._arrival_cpu_ns),
            served=self.served,
            call_us=round((self._cpu_ns - sum(self._change_cpu_ns)) / calls / 1e3, 1),
            call_p99_us=round(arrivals[int(0.99 * (len(arrivals) - 1))] / 1e3, 1),
            change_us=round(statistics.fmean(self._change_cpu_ns) / 1e3, 1) if self._change_cpu_ns else 0.0,
            list_us=round(list_ns / 1e3, 1),
            cores=round(self._cpu_ns / 1e9 / self.case.seconds, 4),
            memory_mb=round(memory / 1e6, 1),
            workers_used=len(self._used_workers),
            functions_seen=len(self.router.functions),
            order_entries=sum(len(function.ranked_workers) for function in self.router.functions.values()),
        )


def main() -> int:
    """Run one case in this process and print its result as JSON."""
    print(json.dumps(asdict(HollowRouter(RoutingCase(**json.loads(sys.argv[1]))).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
