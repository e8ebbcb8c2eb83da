"""Accepted connections on which no byte has arrived yet.

Each costs a descriptor and a reader in the event loop; its stream, session and task are created with the
first bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from swiftwell.fronts.fastcgi.arrival import ArrivalClock
from swiftwell.fronts.fastcgi.session import RequestReceived, Session, response_head

EVICTION_READS = 4  # connections checked to find a silent one; bounds the cost of accepting a connection
FIRST_READ_BYTES = 2_048  # of a connection: a batch of accepted ones may have as many first bytes at once
MAX_REJECTED_BYTES = 65_536  # read of a connection that is rejected: the largest request fits
MAX_SILENT_SWEEPS = 8  # 2 s without a byte; the platform requires the close within 3 s


@dataclass(slots=True, eq=False)
class _Pending:
    connected: socket.socket
    arrivals: ArrivalClock
    silent_sweeps: int = 0


def reject(connected: socket.socket) -> None:
    """Close a connection for lack of descriptors, after a 503 for each request that it has sent already."""
    session = Session()
    with contextlib.suppress(OSError):  # no bytes yet, or the client has left
        for event in session.events(connected.recv(MAX_REJECTED_BYTES)):
            if isinstance(event, RequestReceived):
                session.output.append(session.finish_request(event.number, response_head(503)))
        connected.sendall(b"".join(session.output))
        connected.shutdown(socket.SHUT_WR)
    connected.close()


class PendingConnections:
    """The pending connections, ordered by arrival.

    `on_first_bytes` gets a connection, its first bytes (at most `FIRST_READ_BYTES`) and their clock.
    `on_failure` gets the stage of a contained failure and its error.
    """

    def __init__(
        self,
        on_first_bytes: Callable[[socket.socket, bytes, ArrivalClock], None],
        on_failure: Callable[[str, Exception], None],
    ) -> None:
        self._on_first_bytes, self._on_failure = on_first_bytes, on_failure
        self._pending: dict[int, _Pending] = {}  # by descriptor

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, connected: socket.socket, arrivals: ArrivalClock) -> None:
        """Add a connection and try to read: most clients have sent their request by now."""
        pending = _Pending(connected, arrivals)
        self._pending[connected.fileno()] = pending
        if not self._read(pending):
            asyncio.get_running_loop().add_reader(connected.fileno(), self._readable, connected.fileno())

    def evict_oldest(self) -> bool:
        """Close the oldest connection that is still silent; returns whether there was one.

        Checks only `EVICTION_READS` connections, as each one that is not silent is opened, which takes time.
        """
        for pending in list(itertools.islice(self._pending.values(), EVICTION_READS)):
            if not self._read(pending):  # if bytes have arrived by now, it is served instead
                self._close(pending)
                return True
        return False

    def read_all(self) -> bool:
        """Read from every connection once; returns whether any had bytes."""
        return any([self._read(pending) for pending in list(self._pending.values())])

    def sweep(self) -> None:
        """Close connections silent for too long.  Counted in sweeps, so that a stall of ours closes none."""
        for pending in list(self._pending.values()):
            pending.silent_sweeps += 1
            if pending.silent_sweeps > MAX_SILENT_SWEEPS and not self._read(pending):
                self._close(pending)

    def close(self) -> None:
        """Close all connections, except that those whose first bytes have arrived are opened."""
        for pending in list(self._pending.values()):
            if not self._read(pending):
                self._close(pending)

    def _readable(self, descriptor: int) -> None:
        pending = self._pending.get(descriptor)
        if pending is not None:
            self._read(pending)

    def _read(self, pending: _Pending) -> bool:
        """Open a connection if its first bytes have arrived, close it if it has ended.

        Returns whether it did either.
        """
        try:
            data = pending.connected.recv(FIRST_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            pending.arrivals.mark_empty(time.monotonic())
            return False
        except OSError:
            data = b""
        if not data:
            self._close(pending)
            return True
        self._remove(pending)
        try:
            self._on_first_bytes(pending.connected, data, pending.arrivals)
        except Exception as error:  # must not keep others from being served
            self._on_failure("client-open", error)
            pending.connected.close()
        return True

    def _remove(self, pending: _Pending) -> None:
        descriptor = pending.connected.fileno()
        del self._pending[descriptor]
        asyncio.get_running_loop().remove_reader(descriptor)

    def _close(self, pending: _Pending) -> None:
        self._remove(pending)
        pending.connected.close()
