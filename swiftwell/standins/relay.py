"""A relay between processes, for datagrams and TCP: cuts by direction, loss, delay, doubling, resets; a seed.

Members are numbered; a fault names ordered pairs of them, so that one direction can be cut alone.  Datagrams
are told apart by the port they come from: a member sends and receives on one socket.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

MOST_WAITING = 100_000  # datagrams that wait for their delay: far beyond what 200 processes send in a second
CHUNK = 1 << 16  # bytes read from a connection at a time


@dataclass(slots=True)
class Faults:
    """What happens on the way; `cut` holds ordered pairs (from, to)."""

    cut: set[tuple[int, int]] = field(default_factory=set)
    loss: float = 0.0
    twice: float = 0.0
    delay_s: float = 0.0  # at most; drawn evenly, so datagrams overtake each other

    def split(self, *groups: set[int]) -> None:
        """Cut the groups off from each other, both ways."""
        self.cut |= {(i, j) for a in groups for b in groups if a is not b for i in a for j in b}

    def deafen(self, those: set[int], others: set[int]) -> None:
        """One-way: nothing that the others say reaches those."""
        self.cut |= {(i, j) for i in others for j in those if i != j}


class Relay:
    """Datagrams: one socket for each member; `ports[j]` is where the others find j, which listens at
    `targets[j]`."""

    def __init__(self, targets: list[int], seed: int) -> None:
        self.targets, self.faults = targets, Faults()
        self._chance = random.Random(seed)
        self.ports: list[int] = []
        self._transports: list[asyncio.DatagramTransport] = []
        self._members = {port: number for number, port in enumerate(targets)}
        self._waiting = 0
        self.passed = self.lost = self.strange = 0

    async def start(self) -> None:
        """Open every socket on loopback."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.targets)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Inbox(self, number), local_addr=("127.0.0.1", 0)
            )
            self.ports.append(transport.get_extra_info("sockname")[1])
            self._transports.append(transport)

    def take(self, port: int, to: int, data: bytes) -> None:
        """A datagram on its way."""
        faults, chance, sender = self.faults, self._chance, self._members.get(port, -1)
        if sender < 0:
            self.strange += 1
            return
        if (sender, to) in faults.cut or chance.random() < faults.loss or self._waiting >= MOST_WAITING:
            self.lost += 1
            return
        for _ in range(2 if chance.random() < faults.twice else 1):
            self.passed += 1
            if faults.delay_s:
                self._waiting += 1
                late = chance.random() * faults.delay_s
                asyncio.get_running_loop().call_later(late, self._later, to, data)
            else:
                self._send(to, data)

    def _later(self, to: int, data: bytes) -> None:
        self._waiting -= 1
        self._send(to, data)

    def _send(self, to: int, data: bytes) -> None:
        transport = self._transports[to]
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.targets[to]))

    def close(self) -> None:
        """Close every socket."""
        for transport in self._transports:
            transport.close()


class _Inbox(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, number: int) -> None:
        self._relay, self._number = relay, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._relay.take(addr[1], self._number, data)


class Lines:
    """TCP from each member to one server, numbered `server` in the pairs that are cut.

    A cut holds bytes back and says nothing, as a network does; they go on when it heals.  `reset` ends
    connections with a reset.
    """

    def __init__(self, members: int, server: int, target: int) -> None:
        self.faults, self._server, self._target = Faults(), server, target
        self._members = members
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []
        self._open: dict[int, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """A port for each member."""
        for number in range(self._members):
            server = await asyncio.start_server(
                lambda reader, writer, number=number: self._serve(number, reader, writer), "127.0.0.1", 0
            )
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        mine = self._open.setdefault(number, set())
        ends = [writer]
        mine.add(writer)
        try:
            while (number, self._server) in self.faults.cut:
                await asyncio.sleep(0.02)
            there, back = await asyncio.open_connection("127.0.0.1", self._target)
            ends.append(back)
            mine.add(back)
            ways = {
                asyncio.ensure_future(self._pass((number, self._server), reader, back)),
                asyncio.ensure_future(self._pass((self._server, number), there, writer)),
            }
            self._tasks |= ways
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
            self._tasks -= ways
        except OSError:
            pass  # the server is away: its client sees a connection that ends
        finally:
            for one in ends:
                mine.discard(one)
                one.close()

    async def _pass(
        self, pair: tuple[int, int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while pair in self.faults.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def reset(self, number: int) -> int:
        """Reset a member's connections; how many there were."""
        ends = list(self._open.get(number, ()))
        for one in ends:
            one.transport.abort()
        return len(ends)

    def close(self) -> None:
        """Accept nothing more, end what is open."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for number in range(self._members):
            self.reset(number)
