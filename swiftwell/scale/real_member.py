"""A real gateway process among hollow members: the check on what hollow members cost and see.

The gateway (`swiftwell serve`) takes position 0 of the roster, without calls; its processor time beside that
of the same gateway without a fleet is what membership costs a real process.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from swiftwell.fleet.members import PERIOD_US
from swiftwell.proof.gateway_fleet import free_ports
from swiftwell.scale.cases import MemberCase, MembershipCase
from swiftwell.scale.membership import Process, divided

HOST = "127.0.0.1"
JOIN_PERIODS = 30.0  # periods until its view has to hold all members
STEADY_S = 8.0  # s over which costs are counted
WITHIN_S = 3.0  # s for its page to answer
SITE = """
name "m-0"
state "{state}"
class "lectura" wanted-ms=1000 deadline-ms=3000
kind "k" memory-mb=10000
workers {{ worker "127.0.0.1:9" kind="k"; orders false; idle-life-ms 60000 }}
mqtt-listener port=0
health port=0
{fleet}
"""


@dataclass(frozen=True, slots=True)
class MemberResult:
    """Times in seconds, -1 where its view did not hold all members within `JOIN_PERIODS`."""

    view_s: float
    seen: int  # members in its view at the end
    cores: float  # with the fleet
    alone_cores: float  # the same gateway without one
    hollow_cores: float  # of a hollow member meanwhile
    datagrams_per_s: float
    hollow_datagrams_per_s: float
    memory_mb: float
    alone_memory_mb: float


class Gateway:
    """`swiftwell serve` with a health page."""

    def __init__(self, folder: Path, fleet: str) -> None:
        folder.mkdir()
        self._site = folder / "site.kdl"
        self._site.write_text(SITE.format(state=folder / "state", fleet=fleet))
        self._health = 0  # the port of its page
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Raises OSError, ValueError where it does not say where it serves."""
        words = [sys.executable, "-B", "-m", "swiftwell", "serve", str(self._site), "--ready"]
        self._process = await asyncio.create_subprocess_exec(
            *words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        self._health = json.loads(await self._process.stdout.readline())["health"]

    async def fleet(self) -> dict:
        """Its page of the fleet."""

        def read() -> dict:
            page = http.client.HTTPConnection(HOST, self._health, timeout=WITHIN_S)
            try:
                page.request("GET", "/fleet")
                return json.loads(page.getresponse().read()) or {}
            finally:
                page.close()

        return await asyncio.to_thread(read)

    def usage(self) -> tuple[float, float]:
        """Processor time in s, and memory in MB."""
        stats = psutil.Process(self._process.pid)
        times = stats.cpu_times()
        return times.user + times.system, stats.memory_info().rss / 1e6

    async def end(self) -> None:
        """Kill it and wait."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


async def run(case: MemberCase) -> MemberResult:
    """Play one case."""
    ports = free_ports(case.members + 1)
    roster = "\n".join(f'member "m-{at}" at="{HOST}:{port}"' for at, port in enumerate(ports))
    told = MembershipCase(members=case.members + 1, processes=case.processes, seed=case.seed)
    hollow = divided(range(1, case.members + 1), case.processes)
    with tempfile.TemporaryDirectory() as folder:
        alone = Gateway(Path(folder) / "alone", "")
        among = Gateway(Path(folder) / "among", f"fleet {{\n{roster}\n}}")
        try:
            await alone.start()
            await asyncio.gather(among.start(), *(process.start(told, ports) for process in hollow))
            view_s = await _until_all(among, case.members + 1)
            return await _measure(view_s, among, alone, hollow)
        finally:
            await asyncio.gather(among.end(), alone.end(), *(process.end() for process in hollow))


async def _seen(gateway: Gateway) -> int:
    page = await gateway.fleet()
    return 1 + sum(one["status"] != "dead" for one in page.get("members", []))


async def _until_all(gateway: Gateway, members: int) -> float:
    began = time.monotonic()
    while time.monotonic() < began + JOIN_PERIODS * PERIOD_US / 1e6:
        if await _seen(gateway) == members:
            return round(time.monotonic() - began, 2)
        await asyncio.sleep(0.25)
    return -1.0


async def _measure(view_s: float, among: Gateway, alone: Gateway, hollow: list[Process]) -> MemberResult:
    async def counts() -> tuple[float, ...]:
        sums = await asyncio.gather(*(process.ask({"stats": []}) for process in hollow))
        members = sum(one["members"] for one in sums)
        per_member = (sum(one[name] for one in sums) / members for name in ("cpu_s", "datagrams"))
        sent = (await among.fleet())["counts"].get("sent", 0)
        return time.monotonic(), among.usage()[0], alone.usage()[0], sent, *per_member

    before = await counts()
    await asyncio.sleep(STEADY_S)
    after = await counts()
    spent, cores, alone_cores, sent, hollow_cores, hollow_sent = (
        last - first for first, last in zip(before, after, strict=True)
    )
    return MemberResult(
        view_s=view_s,
        seen=await _seen(among),
        cores=round(cores / spent, 5),
        alone_cores=round(alone_cores / spent, 5),
        hollow_cores=round(hollow_cores / spent, 5),
        datagrams_per_s=round(sent / spent, 2),
        hollow_datagrams_per_s=round(hollow_sent / spent, 2),
        memory_mb=round(among.usage()[1], 1),
        alone_memory_mb=round(alone.usage()[1], 1),
    )
