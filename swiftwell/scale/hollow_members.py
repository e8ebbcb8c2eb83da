"""A process with many hollow members of a fleet: the production membership code over real datagrams.

    python -m swiftwell.scale.hollow_members '{"first": 0, "count": 5, "ports": [...], ...}'

Reads commands as JSON lines from standard input and answers each with one line.  `stats` takes the members
that are alive and returns `Stats`; `cut` takes the members to which all datagrams are dropped from then on.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import sys
from dataclasses import asdict, dataclass

import psutil

from swiftwell.fleet.link import FleetLink
from swiftwell.fleet.node import FleetSettings

HOST = "127.0.0.1"


class HollowLink(FleetLink):
    """A fleet link that counts its datagrams and drops those that `Faults` selects."""

    def __init__(self, settings: FleetSettings, ports: list[int], faults: Faults) -> None:
        addresses = tuple((HOST, port) for port in ports)
        super().__init__(settings, addresses[settings.me], addresses, lambda *args, **fields: None)
        self._faults, self.datagrams, self.bytes = faults, 0, 0

    def send(self, to: int, raw: bytes) -> None:
        """Send a datagram, unless a fault drops it."""
        self.datagrams += 1
        self.bytes += len(raw)
        if not self._faults.drops(to):
            super().send(to, raw)


class Faults:
    """Faults of the network between members: random loss, and members that cannot be reached."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.loss, self.cut = 0.0, frozenset[int]()

    def drops(self, to: int) -> bool:
        """Return whether to drop a datagram to this member."""
        return to in self.cut or self._rng.random() < self.loss


@dataclass(frozen=True, slots=True)
class Stats:
    """Sums over all members of a process."""

    members: int
    right: int  # members whose view holds exactly the members alive
    died: int  # times that a member was declared dead
    datagrams: int
    bytes: int
    cpu_s: float
    memory_mb: float


class Host:
    """All members of this process."""

    def __init__(
        self, first: int, count: int, ports: list[int], period_us: int, loss: float, seed: int
    ) -> None:
        names = tuple(f"m-{number}" for number in range(len(ports)))
        self.faults = Faults(seed)
        self.faults.loss = loss
        self.links = [
            HollowLink(FleetSettings(names, me, period_us=period_us), ports, self.faults)
            for me in range(first, first + count)
        ]

    async def run(self) -> None:
        """Run the members until standard input ends."""
        for link in self.links:
            await link.start()
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            print(json.dumps(self._command(json.loads(line))), flush=True)

    def _command(self, command: dict) -> dict:
        match command:
            case {"stats": living}:
                return asdict(self._stats(set(living)))
            case {"cut": members}:
                self.faults.cut = frozenset(members)
        return {}

    def _stats(self, living: set[int]) -> Stats:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return Stats(
            members=len(self.links),
            right=sum(set(link.node.members.alive()) == living for link in self.links),
            died=sum(link.node.members.counts["died"] for link in self.links),
            datagrams=sum(link.datagrams for link in self.links),
            bytes=sum(link.bytes for link in self.links),
            cpu_s=usage.ru_utime + usage.ru_stime,
            memory_mb=psutil.Process().memory_info().rss / 1e6,
        )


def main() -> int:
    """Run one process of members."""
    print("{}", flush=True)  # tells the parent that the process runs
    asyncio.run(Host(**json.loads(sys.argv[1])).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
