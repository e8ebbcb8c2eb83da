"""Members of a fleet in hollow processes: a start, a steady time, and a fault between the processes."""

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

VIEWS_PERIODS = 25.0  # periods until all views have to be right, at a start and after a fault
STEADY_PERIODS = 8.0  # periods over which costs are counted
FAULT_PERIODS = 15.0  # periods that a stop or a cut lasts
POLL_PERIODS = 0.25  # periods between two looks at the views: the grain of the times reported


@dataclass(frozen=True, slots=True)
class MembershipResult:
    """Times are in seconds, -1 where it did not happen within `VIEWS_PERIODS`; costs are a member's."""

    views_s: float  # until all views were right after the start
    known_s: float  # until all had noticed the fault
    healed_s: float  # until all views were right again after its end; 0 where it has none
    right_at_end: float  # share of the views
    cores: float
    datagrams_per_s: float
    bytes_per_s: float
    worst_second_datagrams: float
    worst_second_bytes: float
    memory_mb: float
    false_deaths: int  # times that a member which lived and could be reached was taken for dead


class Process:
    """One process of members, and the positions of these."""

    def __init__(self, members: range) -> None:
        self.members = members
        self.alive = True
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, case: MembershipCase, ports: list[int]) -> None:
        """Raises OSError."""
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

    async def ask(self, command: dict[str, object]) -> dict[str, float]:
        """Carry out a command."""
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return json.loads(await self._process.stdout.readline())

    def signal(self, number: int) -> None:
        """Kill, stop or wake it."""
        self.alive = number == signal.SIGCONT
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill it and wait."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()


def divided(members: range, processes: int) -> list[Process]:
    """Processes of like size for these members."""
    bounds = [members.start + len(members) * number // processes for number in range(processes + 1)]
    return [Process(range(*pair)) for pair in itertools.pairwise(bounds)]


class Trial:
    """One case: its processes, what is expected of their views, and what was counted."""

    def __init__(self, case: MembershipCase) -> None:
        self.case = case
        self.period_s = PERIOD_US * case.stretch / 1e6
        self.processes = divided(range(case.members), case.processes)
        self.expected: Callable[[Process], Iterable[int]] = lambda process: range(case.members)
        self._worst_datagrams = self._worst_bytes = 0.0
        self._last: tuple[float, float, float] | None = None  # time, datagrams, bytes

    async def run(self) -> MembershipResult:
        """Play it."""
        ports = free_ports(self.case.members)
        try:
            began = time.monotonic()
            await asyncio.gather(*(process.start(self.case, ports) for process in self.processes))
            views_s = await self._until_right(began)
            steady = await self._steady()
            died = (await self._sums())["died"]
            self._last = None
            known_s, healed_s = await FAULTS[self.case.fault](self)
            sums = await self._sums()
            return MembershipResult(
                views_s, known_s, healed_s, round(sums["right"] / sums["members"], 4), *steady,
                round(self._worst_datagrams, 1), round(self._worst_bytes, 1),
                round(sums["memory_mb"] / sums["members"], 3), int(died),
            )  # fmt: skip
        finally:
            await asyncio.gather(*(process.end() for process in self.processes))

    async def _sums(self) -> dict[str, float]:
        living = [process for process in self.processes if process.alive]
        told = await asyncio.gather(
            *(process.ask({"stats": list(self.expected(process))}) for process in living)
        )
        sums = {name: sum(one[name] for one in told) for name in told[0]}
        self._note_worst(sums)
        return sums

    def _note_worst(self, sums: dict[str, float]) -> None:
        now, members = time.monotonic(), sums["members"]
        if self._last is not None and now - self._last[0] >= 1.0:
            spent = (now - self._last[0]) * members
            self._worst_datagrams = max(self._worst_datagrams, (sums["datagrams"] - self._last[1]) / spent)
            self._worst_bytes = max(self._worst_bytes, (sums["bytes"] - self._last[2]) / spent)
        if self._last is None or now - self._last[0] >= 1.0:
            self._last = now, sums["datagrams"], sums["bytes"]

    async def _until_right(self, began: float) -> float:
        """Seconds since `began` until every view is as expected; -1 where it never was."""
        until = time.monotonic() + VIEWS_PERIODS * self.period_s
        while time.monotonic() < until:
            sums = await self._sums()
            if sums["right"] == sums["members"]:
                return round(time.monotonic() - began, 2)
            await asyncio.sleep(POLL_PERIODS * self.period_s)
        return -1.0

    async def _steady(self) -> tuple[float, float, float]:
        """Cores, datagrams and bytes a second of a member."""
        before, began = await self._sums(), time.monotonic()
        await asyncio.sleep(STEADY_PERIODS * self.period_s)
        after = await self._sums()
        spent = (time.monotonic() - began) * after["members"]
        rates = ((after[name] - before[name]) / spent for name in ("cpu_s", "datagrams", "bytes"))
        cores, datagrams, size = rates
        return round(cores, 5), round(datagrams, 2), round(size, 1)

    async def kill(self) -> tuple[float, float]:
        """One process, with its part of the members, dies."""
        victim = self.processes[0]
        victim.signal(signal.SIGKILL)
        left = [one for one in range(self.case.members) if one not in victim.members]
        self.expected = lambda process: left
        return await self._until_right(time.monotonic()), 0.0

    async def stop(self) -> tuple[float, float]:
        """One process stands still, then wakes."""
        victim, whole = self.processes[0], self.expected
        victim.signal(signal.SIGSTOP)
        began = time.monotonic()
        left = [one for one in range(self.case.members) if one not in victim.members]
        self.expected = lambda process: left
        known_s = await self._until_right(began)
        await asyncio.sleep(max(0.0, began + FAULT_PERIODS * self.period_s - time.monotonic()))
        victim.signal(signal.SIGCONT)
        self.expected = whole
        return known_s, await self._until_right(time.monotonic())

    async def cut(self) -> tuple[float, float]:
        """Half of the processes and the other half don't hear each other, then do again."""
        whole, half = self.expected, len(self.processes) // 2
        sides = (self.processes[:half], self.processes[half:])
        members = [[one for process in side for one in process.members] for side in sides]
        for side, others in ((sides[0], members[1]), (sides[1], members[0])):
            await asyncio.gather(*(process.ask({"cut": others}) for process in side))
        began = time.monotonic()
        self.expected = lambda process: members[process in sides[1]]
        known_s = await self._until_right(began)
        await asyncio.sleep(max(0.0, began + FAULT_PERIODS * self.period_s - time.monotonic()))
        await asyncio.gather(*(process.ask({"cut": []}) for process in self.processes))
        self.expected = whole
        return known_s, await self._until_right(time.monotonic())


FAULTS: dict[str, Callable[[Trial], Awaitable[tuple[float, float]]]] = {
    "kill": Trial.kill, "stop": Trial.stop, "cut": Trial.cut,
}  # fmt: skip


async def run(case: MembershipCase) -> MembershipResult:
    """Play one case."""
    return await Trial(case).run()
