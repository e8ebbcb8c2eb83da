"""Fleet members in hollow processes: their start, a steady state, and a fault between the processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from swiftwell.fleet.members import PERIOD_US
from swiftwell.proof.gateway_fleet import free_ports
from swiftwell.scale.cases import MembershipCase

VIEWS_PERIODS = 25.0  # periods within which all views must be right, after the start and after a fault
STEADY_PERIODS = 8.0  # periods over which costs are measured
FAULT_PERIODS = 15.0  # duration of a stop or a cut, in periods
POLL_PERIODS = 0.25  # periods between two checks of the views: the resolution of the reported times


@dataclass(frozen=True, slots=True)
class MembershipResult:
    """Times are in seconds, -1 if it did not happen within `VIEWS_PERIODS`; costs are per member."""

    views_s: float  # until all views were right after the start
    known_s: float  # until all views showed the fault
    healed_s: float  # until all views were right after the end of the fault; 0 if it does not end
    right_at_end: float  # share of the views that were right
    cores: float
    datagrams_per_s: float
    bytes_per_s: float
    worst_second_datagrams: float
    worst_second_bytes: float
    memory_mb: float
    false_deaths: int  # times that a live and reachable member was declared dead


class HollowProcess:
    """A process of hollow members; `members` are their positions in the fleet."""

    def __init__(self, members: range) -> None:
        self.members = members
        self.alive = True
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, case: MembershipCase, ports: list[int]) -> None:
        """Start the process; raises OSError."""
        spec = {
            "first": self.members.start, "count": len(self.members), "ports": ports,
            "period_us": int(PERIOD_US * case.stretch), "loss": case.loss,
            "seed": case.seed + self.members.start,
        }  # fmt: skip
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "swiftwell.scale.hollow_members", json.dumps(spec),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await self._process.stdout.readline()

    async def execute(self, command: dict[str, object]) -> dict[str, float]:
        """Send a command and return its reply."""
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return json.loads(await self._process.stdout.readline())

    def signal(self, number: int) -> None:
        """Send a signal that kills, stops or resumes the process."""
        self.alive = number == signal.SIGCONT
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()


def divide_members(members: range, processes: int) -> list[HollowProcess]:
    """Divide the members among processes of about equal size."""
    bounds = [members.start + len(members) * number // processes for number in range(processes + 1)]
    return [HollowProcess(range(*pair)) for pair in itertools.pairwise(bounds)]


class Trial:
    """One run of a case: its processes, the expected views, and the peak rates."""

    def __init__(self, case: MembershipCase) -> None:
        self.case = case
        self.period_s = PERIOD_US * case.stretch / 1e6
        self.processes = divide_members(range(case.members), case.processes)
        self.expected: Callable[[HollowProcess], Iterable[int]] = lambda process: range(case.members)
        self._peak_datagrams = self._peak_bytes = 0.0
        self._last_sample: tuple[float, float, float] | None = None  # time, datagrams, bytes

    async def run(self) -> MembershipResult:
        """Run the case."""
        ports = free_ports(self.case.members)
        try:
            started = time.monotonic()
            await asyncio.gather(*(process.start(self.case, ports) for process in self.processes))
            views_s = await self._wait_for_views(started)
            steady = await self._measure_steady_state()
            false_deaths = (await self._total_stats())["died"]
            self._last_sample = None
            known_s, healed_s = await FAULTS[self.case.fault](self)
            sums = await self._total_stats()
            return MembershipResult(
                views_s, known_s, healed_s, round(sums["right"] / sums["members"], 4), *steady,
                round(self._peak_datagrams, 1), round(self._peak_bytes, 1),
                round(sums["memory_mb"] / sums["members"], 3), int(false_deaths),
            )  # fmt: skip
        finally:
            await asyncio.gather(*(process.end() for process in self.processes))

    async def _total_stats(self) -> dict[str, float]:
        living = [process for process in self.processes if process.alive]
        replies = await asyncio.gather(
            *(process.execute({"stats": list(self.expected(process))}) for process in living)
        )
        sums = {name: sum(reply[name] for reply in replies) for name in replies[0]}
        self._record_peaks(sums)
        return sums

    def _record_peaks(self, sums: dict[str, float]) -> None:
        now, members = time.monotonic(), sums["members"]
        if self._last_sample is not None and now - self._last_sample[0] >= 1.0:
            member_seconds = (now - self._last_sample[0]) * members
            self._peak_datagrams = max(
                self._peak_datagrams, (sums["datagrams"] - self._last_sample[1]) / member_seconds
            )
            self._peak_bytes = max(self._peak_bytes, (sums["bytes"] - self._last_sample[2]) / member_seconds)
        if self._last_sample is None or now - self._last_sample[0] >= 1.0:
            self._last_sample = now, sums["datagrams"], sums["bytes"]

    async def _wait_for_views(self, started: float) -> float:
        """Return the seconds from `started` until every view is as expected, or -1 after a timeout."""
        deadline = time.monotonic() + VIEWS_PERIODS * self.period_s
        while time.monotonic() < deadline:
            sums = await self._total_stats()
            if sums["right"] == sums["members"]:
                return round(time.monotonic() - started, 2)
            await asyncio.sleep(POLL_PERIODS * self.period_s)
        return -1.0

    async def _measure_steady_state(self) -> tuple[float, float, float]:
        """Return cores, datagrams per second and bytes per second of a member."""
        before, started = await self._total_stats(), time.monotonic()
        await asyncio.sleep(STEADY_PERIODS * self.period_s)
        after = await self._total_stats()
        member_seconds = (time.monotonic() - started) * after["members"]
        rates = ((after[name] - before[name]) / member_seconds for name in ("cpu_s", "datagrams", "bytes"))
        cores, datagrams, size = rates
        return round(cores, 5), round(datagrams, 2), round(size, 1)

    async def kill(self) -> tuple[float, float]:
        """Kill one process with its members."""
        victim = self.processes[0]
        victim.signal(signal.SIGKILL)
        remaining = [member for member in range(self.case.members) if member not in victim.members]
        self.expected = lambda process: remaining
        return await self._wait_for_views(time.monotonic()), 0.0

    async def stop(self) -> tuple[float, float]:
        """Pause one process, then resume it."""
        victim, all_members = self.processes[0], self.expected
        victim.signal(signal.SIGSTOP)
        started = time.monotonic()
        remaining = [member for member in range(self.case.members) if member not in victim.members]
        self.expected = lambda process: remaining
        known_s = await self._wait_for_views(started)
        await asyncio.sleep(max(0.0, started + FAULT_PERIODS * self.period_s - time.monotonic()))
        victim.signal(signal.SIGCONT)
        self.expected = all_members
        return known_s, await self._wait_for_views(time.monotonic())

    async def cut(self) -> tuple[float, float]:
        """Partition the processes into halves that cannot reach each other, then heal the partition."""
        all_members, half = self.expected, len(self.processes) // 2
        sides = (self.processes[:half], self.processes[half:])
        members = [[member for process in side for member in process.members] for side in sides]
        for side, others in ((sides[0], members[1]), (sides[1], members[0])):
            await asyncio.gather(*(process.execute({"cut": others}) for process in side))
        started = time.monotonic()
        self.expected = lambda process: members[process in sides[1]]
        known_s = await self._wait_for_views(started)
        await asyncio.sleep(max(0.0, started + FAULT_PERIODS * self.period_s - time.monotonic()))
        await asyncio.gather(*(process.execute({"cut": []}) for process in self.processes))
        self.expected = all_members
        return known_s, await self._wait_for_views(time.monotonic())


FAULTS: dict[str, Callable[[Trial], Awaitable[tuple[float, float]]]] = {
    "kill": Trial.kill, "stop": Trial.stop, "cut": Trial.cut,
}  # fmt: skip


async def run(case: MembershipCase) -> MembershipResult:
    """Run one case."""
    return await Trial(case).run()
