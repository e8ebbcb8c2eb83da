"""A relay between processes, for datagrams and TCP: cuts by direction, loss, delay, duplication and resets.

Members are numbered.  A cut names ordered pairs of them, so that one direction can be cut alone.  The sender
of a datagram is known by its port, because a member sends and receives on one socket.  Random faults are
drawn from a seed.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

MAX_DELAYED = 100_000  # delayed datagrams held at a time; far more than 200 processes send in a second
READ_BYTES = 1 << 16


@dataclass(slots=True)
class Faults:
    """The faults of a network.

    `cut` holds ordered pairs (from, to); `loss` and `twice` are the probabilities that a datagram is lost or
    duplicated.
    """

    cut: set[tuple[int, int]] = field(default_factory=set)
    loss: float = 0.0
    twice: float = 0.0
    delay_s: float = 0.0  # maximum; drawn uniformly for each datagram, so that datagrams are reordered

    def split(self, *groups: set[int]) -> None:
        """Cuts the groups off from each other in both directions."""
        self.cut |= {(i, j) for a in groups for b in groups if a is not b for i in a for j in b}

    def deafen(self, those: set[int], others: set[int]) -> None:
        """Cuts one direction: nothing that `others` send reaches `those`."""
        self.cut |= {(i, j) for i in others for j in those if i != j}


class Relay:
    """Relays datagrams.  The others reach member j at `ports[j]`; j itself listens at `targets[j]`."""

    def __init__(self, targets: list[int], seed: int) -> None:
        self.targets, self.faults = targets, Faults()
        self._random = random.Random(seed)
        self.ports: list[int] = []
        self._transports: list[asyncio.DatagramTransport] = []
        self._members = {port: number for number, port in enumerate(targets)}
        self._delayed = 0
        self.passed = self.lost = self.unknown_senders = 0

    async def start(self) -> None:
        """Opens a socket on loopback for each member."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.targets)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _RelayProtocol(self, number), local_addr=("127.0.0.1", 0)
            )
            self.ports.append(transport.get_extra_info("sockname")[1])
            self._transports.append(transport)

    def receive(self, port: int, to: int, data: bytes) -> None:
        """Forwards, delays, duplicates or drops a datagram from port `port` to member `to`."""
        faults, rng, sender = self.faults, self._random, self._members.get(port, -1)
        if sender < 0:
            self.unknown_senders += 1
            return
        if (sender, to) in faults.cut or rng.random() < faults.loss or self._delayed >= MAX_DELAYED:
            self.lost += 1
            return
        for _ in range(2 if rng.random() < faults.twice else 1):
            self.passed += 1
            if faults.delay_s:
                self._delayed += 1
                delay_s = rng.random() * faults.delay_s
                asyncio.get_running_loop().call_later(delay_s, self._send_delayed, to, data)
            else:
                self._send(to, data)

    def _send_delayed(self, to: int, data: bytes) -> None:
        self._delayed -= 1
        self._send(to, data)

    def _send(self, to: int, data: bytes) -> None:
        transport = self._transports[to]
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self.targets[to]))

    def close(self) -> None:
        """Closes every socket."""
        for transport in self._transports:
            transport.close()


class _RelayProtocol(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, number: int) -> None:
        self._relay, self._number = relay, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._relay.receive(addr[1], self._number, data)


class Lines:
    """Relays TCP connections from each member to one server, which has the number `server` in cut pairs.

    A cut holds bytes back without an error, as a network does, until it is removed.  `reset` ends connections
    with a TCP reset.
    """

    def __init__(self, members: int, server: int, target: int) -> None:
        self.faults, self._server, self._target = Faults(), server, target
        self._members = members
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []
        self._open_writers: dict[int, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens a port for each member."""
        for number in range(self._members):
            server = await asyncio.start_server(
                lambda reader, writer, number=number: self._serve(number, reader, writer), "127.0.0.1", 0
            )
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_writers = self._open_writers.setdefault(number, set())
        writers = [writer]
        open_writers.add(writer)
        try:
            while (number, self._server) in self.faults.cut:
                await asyncio.sleep(0.02)
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._target)
            writers.append(server_writer)
            open_writers.add(server_writer)
            transfers = {
                asyncio.ensure_future(self._forward((number, self._server), reader, server_writer)),
                asyncio.ensure_future(self._forward((self._server, number), server_reader, writer)),
            }
            self._tasks |= transfers
            await asyncio.wait(transfers, return_when=asyncio.FIRST_COMPLETED)
            for transfer in transfers:
                transfer.cancel()
            self._tasks -= transfers
        except OSError:
            pass  # the server is not reachable; its client sees the connection end
        finally:
            for open_writer in writers:
                open_writers.discard(open_writer)
                open_writer.close()

    async def _forward(
        self, pair: tuple[int, int], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while pair in self.faults.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def reset(self, number: int) -> int:
        """Resets the connections of a member and returns their number."""
        writers = list(self._open_writers.get(number, ()))
        for open_writer in writers:
            open_writer.transport.abort()
        return len(writers)

    def close(self) -> None:
        """Stops accepting connections and ends the open ones."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for number in range(self._members):
            self.reset(number)
