"""The fleet's one datagram socket: carries `FleetNode.step`'s words, and nothing is decided here."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path

from swiftwell.fleet.members import Status
from swiftwell.fleet.node import TICK_US, FleetNode, FleetSettings

MOST_CAME = 2_048  # datagrams that wait for the next step: ten of each of 200 peers
RATE_SWITCH = "SWIFTWELL_FLEET_CLOCK_RATE"  # tests only: how fast this process's fleet clock runs


class FleetLink(asyncio.DatagramProtocol):
    """One router's place in its fleet.  `addresses` are those of the roster, ours included."""

    def __init__(
        self,
        told: FleetSettings,
        listen: tuple[str, int],
        addresses: tuple[tuple[str, int], ...],
        log: Callable[..., None],
    ) -> None:
        self._told, self._listen, self._addresses, self._log = told, listen, addresses, log
        self._rate = float(os.environ.get(RATE_SWITCH, "1"))
        self._began = time.monotonic_ns() // 1_000
        now, wall = self.now_us(), time.time_ns() // 1_000_000
        self.node = FleetNode(told, now, wall, int.from_bytes(os.urandom(4), "big"))
        self._came: list[bytes] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._woken = False
        self._tick: asyncio.TimerHandle | None = None
        self._held: dict[str, int] = {}
        self.dropped = 0

    def now_us(self) -> int:
        """The fleet's clock of this process: steady, trusted for its rate only."""
        now = time.monotonic_ns() // 1_000
        return self._began + int((now - self._began) * self._rate)

    async def start(self) -> None:
        """Raises OSError."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        self._step()

    def close(self) -> None:
        """Give every lease up and say so."""
        for name in self.node.leases:
            self.node.want(self.now_us(), name, False)
        self._step()
        if self._tick:
            self._tick.cancel()
        if self._transport:
            self._transport.close()
            self._transport = None

    def wake(self) -> None:
        """Take a step in this turn: something is to be said."""
        if not self._woken:
            self._woken = True
            asyncio.get_running_loop().call_soon(self._step)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Kept for this turn's step."""
        if len(self._came) >= MOST_CAME:
            self.dropped += 1
            return
        self._came.append(data)
        self.wake()

    def error_received(self, exc: Exception) -> None:
        """A peer that is away answers so; its silence tells enough."""

    def _step(self) -> None:
        self._woken = False
        if self._transport is None:
            return
        came, self._came = self._came, []
        now = self.now_us()
        for to, raw in self.node.step(now, came):
            self.send(to, raw)
        self._tell(now)
        if self._tick:
            self._tick.cancel()
        self._tick = asyncio.get_running_loop().call_later(TICK_US / 1e6, self._step)

    def send(self, to: int, raw: bytes) -> None:
        """One datagram to a position of the roster."""
        if self._transport is not None:
            self._transport.sendto(raw, self._addresses[to])

    def _tell(self, now: int) -> None:
        """Log lines for what changed."""
        roster = self._told.roster
        members = self.node.members
        changes, members.changes = members.changes, []
        for number, status in changes:
            level = "info" if status is Status.ALIVE else "warning"
            self._log(level, "fleet-member", member=roster[number], status=status.name.lower())
        for name, lease in self.node.leases.items():
            token = lease.token if lease.holds(now) else 0
            if bool(token) != bool(self._held.get(name, 0)):
                self._log("info", "fleet-lease", lease=name, held=bool(token), token=lease.token)
            self._held[name] = token


def key_of(path: str) -> bytes:
    """The key file's bytes; raises OSError.  Empty where none is set."""
    return Path(path).read_bytes().strip() if path else b""
