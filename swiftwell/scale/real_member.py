"""A real gateway process in a fleet of hollow members: checks the costs and the view of hollow members.

The gateway (`swiftwell serve`) has position 0 of the roster and gets no calls.  Its processor time less that
of the same gateway without a fleet is the cost of membership for a real process.
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
from swiftwell.scale.membership import HollowProcess, divide_members

HOST = "127.0.0.1"
JOIN_PERIODS = 30.0  # periods within which its view must hold all members
STEADY_S = 8.0  # time over which costs are measured
PAGE_TIMEOUT_S = 3.0  # timeout of its health page
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
    """Times are in seconds, -1 if its view did not hold all members within `JOIN_PERIODS`."""

    view_s: float
    seen: int  # members in its view at the end, itself included
    cores: float  # with the fleet
    alone_cores: float  # of the same gateway without a fleet
    hollow_cores: float  # of a hollow member in the same time
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
        self._health_port = 0  # set by `start`
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; raises OSError, or ValueError if it does not report its ports."""
        command = [sys.executable, "-B", "-m", "swiftwell", "serve", str(self._site), "--ready"]
        self._process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        self._health_port = json.loads(await self._process.stdout.readline())["health"]

    async def fleet(self) -> dict:
        """Fetch the fleet page of the gateway."""

        def read() -> dict:
            connection = http.client.HTTPConnection(HOST, self._health_port, timeout=PAGE_TIMEOUT_S)
            try:
                connection.request("GET", "/fleet")
                return json.loads(connection.getresponse().read()) or {}
            finally:
                connection.close()

        return await asyncio.to_thread(read)

    def usage(self) -> tuple[float, float]:
        """Return its processor time in seconds and its memory in MB."""
        stats = psutil.Process(self._process.pid)
        times = stats.cpu_times()
        return times.user + times.system, stats.memory_info().rss / 1e6

    async def end(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


async def run(case: MemberCase) -> MemberResult:
    """Run one case."""
    ports = free_ports(case.members + 1)
    roster = "\n".join(f'member "m-{index}" at="{HOST}:{port}"' for index, port in enumerate(ports))
    fleet_case = MembershipCase(members=case.members + 1, processes=case.processes, seed=case.seed)
    hollow = divide_members(range(1, case.members + 1), case.processes)
    with tempfile.TemporaryDirectory() as folder:
        standalone = Gateway(Path(folder) / "alone", "")
        fleet_gateway = Gateway(Path(folder) / "among", f"fleet {{\n{roster}\n}}")
        try:
            await standalone.start()
            await asyncio.gather(
                fleet_gateway.start(), *(process.start(fleet_case, ports) for process in hollow)
            )
            view_s = await _wait_for_all(fleet_gateway, case.members + 1)
            return await _measure(view_s, fleet_gateway, standalone, hollow)
        finally:
            await asyncio.gather(
                fleet_gateway.end(), standalone.end(), *(process.end() for process in hollow)
            )


async def _count_members_seen(gateway: Gateway) -> int:
    view = await gateway.fleet()
    return 1 + sum(member["status"] != "dead" for member in view.get("members", []))


async def _wait_for_all(gateway: Gateway, members: int) -> float:
    started = time.monotonic()
    while time.monotonic() < started + JOIN_PERIODS * PERIOD_US / 1e6:
        if await _count_members_seen(gateway) == members:
            return round(time.monotonic() - started, 2)
        await asyncio.sleep(0.25)
    return -1.0


async def _measure(
    view_s: float, fleet_gateway: Gateway, standalone: Gateway, hollow: list[HollowProcess]
) -> MemberResult:
    async def counts() -> tuple[float, ...]:
        replies = await asyncio.gather(*(process.execute({"stats": []}) for process in hollow))
        members = sum(reply["members"] for reply in replies)
        per_member = (sum(reply[name] for reply in replies) / members for name in ("cpu_s", "datagrams"))
        sent = (await fleet_gateway.fleet())["counts"].get("sent", 0)
        return time.monotonic(), fleet_gateway.usage()[0], standalone.usage()[0], sent, *per_member

    before = await counts()
    await asyncio.sleep(STEADY_S)
    after = await counts()
    spent, cores, alone_cores, sent, hollow_cores, hollow_sent = (
        last - first for first, last in zip(before, after, strict=True)
    )
    return MemberResult(
        view_s=view_s,
        seen=await _count_members_seen(fleet_gateway),
        cores=round(cores / spent, 5),
        alone_cores=round(alone_cores / spent, 5),
        hollow_cores=round(hollow_cores / spent, 5),
        datagrams_per_s=round(sent / spent, 2),
        hollow_datagrams_per_s=round(hollow_sent / spent, 2),
        memory_mb=round(fleet_gateway.usage()[1], 1),
        alone_memory_mb=round(standalone.usage()[1], 1),
    )
