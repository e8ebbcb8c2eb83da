"""The datagram socket of the fleet: sends and receives for `FleetNode.step`, and makes no decisions."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path

from swiftwell.fleet.members import Status
from swiftwell.fleet.node import TICK_US, FleetNode, FleetSettings

MAX_PENDING_DATAGRAMS = 2_048  # received datagrams that wait for the next step: ten of each of 200 peers
CLOCK_RATE_VARIABLE = "SWIFTWELL_FLEET_CLOCK_RATE"  # tests only: the rate of this process's fleet clock


class FleetLink(asyncio.DatagramProtocol):
    """A router's connection to its fleet.  `addresses` are those of the roster, including our own."""

    def __init__(
        self,
        settings: FleetSettings,
        listen: tuple[str, int],
        addresses: tuple[tuple[str, int], ...],
        log: Callable[..., None],
    ) -> None:
        self._settings, self._listen, self._addresses, self._log = settings, listen, addresses, log
        self._rate = float(os.environ.get(CLOCK_RATE_VARIABLE, "1"))
        self._started_at = time.monotonic_ns() // 1_000
        now, wall_ms = self.now_us(), time.time_ns() // 1_000_000
        self.node = FleetNode(settings, now, wall_ms, int.from_bytes(os.urandom(4), "big"))
        self._received: list[bytes] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._step_scheduled = False
        self._tick: asyncio.TimerHandle | None = None
        self._logged_tokens: dict[str, int] = {}  # lease: token at the last step, 0 if not held
        self.dropped = 0

    def now_us(self) -> int:
        """The fleet clock of this process: monotonic; only its rate is relied on."""
        now = time.monotonic_ns() // 1_000
        return self._started_at + int((now - self._started_at) * self._rate)

    async def start(self) -> None:
        """Open the socket; raises OSError."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._step()

    def close(self) -> None:
        """Release all leases, tell the voters, and close the socket."""
        for name in self.node.leases:
            self.node.set_lease_wanted(self.now_us(), name, False)
        self._step()
        if self._tick:
            self._tick.cancel()
        if self._transport:
            self._transport.close()
            self._transport = None

    def wake(self) -> None:
        """Schedule a step in this iteration of the event loop, as there is something to handle or send."""
        if not self._step_scheduled:
            self._step_scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue a datagram for the next step."""
        if len(self._received) >= MAX_PENDING_DATAGRAMS:
            self.dropped += 1
            return
        self._received.append(data)
        self.wake()

    def error_received(self, exc: Exception) -> None:
        """Ignored: caused by sending to a peer that is down, which the failure detector notices anyhow."""

    def _step(self) -> None:
        self._step_scheduled = False
        if self._transport is None:
            return
        received, self._received = self._received, []
        now = self.now_us()
        for to, raw in self.node.step(now, received):
            self.send(to, raw)
        self._log_changes(now)
        if self._tick:
            self._tick.cancel()
        self._tick = asyncio.get_running_loop().call_later(TICK_US / 1e6, self._step)

    def send(self, to: int, raw: bytes) -> None:
        """Send one datagram to the member with this roster index."""
        if self._transport is not None:
            self._transport.sendto(raw, self._addresses[to])

    def _log_changes(self, now: int) -> None:
        """Log the changes of members and leases."""
        roster = self._settings.roster
        members = self.node.members
        changes, members.changes = members.changes, []
        for number, status in changes:
            level = "info" if status is Status.ALIVE else "warning"
            self._log(level, "fleet-member", member=roster[number], status=status.name.lower())
        for name, lease in self.node.leases.items():
            token = lease.token if lease.holds(now) else 0
            if bool(token) != bool(self._logged_tokens.get(name, 0)):
                self._log("info", "fleet-lease", lease=name, held=bool(token), token=lease.token)
            self._logged_tokens[name] = token


def read_key(path: str) -> bytes:
    """The content of the key file, or empty if none is configured; raises OSError."""
    return Path(path).read_bytes().strip() if path else b""
