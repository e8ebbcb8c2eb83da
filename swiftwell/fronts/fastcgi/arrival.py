"""How long ago a client's bytes arrived: they may have waited in the kernel while the event loop was busy.

A request's time counts from the arrival of its last byte, not from our read.  Bytes that a read returns have
arrived since the loop last polled its sockets, which gives an upper bound of their age.  The kernel's figure
for the newest bytes of a connection (`TCP_INFO`) is another one, which is not there on every kernel.
"""

from __future__ import annotations

import socket
from struct import Struct

# struct tcp_info of Linux (uapi/linux/tcp.h): 8 bytes of state and options, then 32-bit counters.
_COUNTERS_OFFSET = 8
_COUNTER = Struct("=I")
# Positions among the counters of the ms since data was last sent, and received.
_LAST_DATA_SENT, _LAST_DATA_RECEIVED = 9, 11
_TCP_INFO_BYTES = _COUNTERS_OFFSET + 13 * _COUNTER.size
KERNEL_TICK_S = 0.01  # resolution of the kernel's ages, at most


def _tcp_info_age_s(connected: socket.socket, counter: int) -> float | None:
    try:
        tcp_info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    if len(tcp_info) < _TCP_INFO_BYTES:
        return None
    return _COUNTER.unpack_from(tcp_info, _COUNTERS_OFFSET + counter * _COUNTER.size)[0] / 1_000


def newest_age_s(connected: socket.socket) -> float | None:
    """Age of the newest bytes by TCP_INFO, at the resolution of the kernel's tick; None if not available."""
    return _tcp_info_age_s(connected, _LAST_DATA_RECEIVED)


def connection_age_s(connected: socket.socket) -> float | None:
    """Upper bound of an accepted connection's age, on which nothing was sent yet; None if not available.

    The kernel counts the time since the last data sent from the establishment on.
    """
    age_s = _tcp_info_age_s(connected, _LAST_DATA_SENT)
    return None if age_s is None else age_s + KERNEL_TICK_S


class ArrivalClock:
    """Ages of the requests of one connection.

    `empty_s`: when the connection was last known to have no unread bytes, monotonic s; for a connection that
    was just accepted, when it was last known not to exist.  `backlogged`: the event loop has polled since
    then without serving it, as it waited in the listening socket's backlog.
    """

    __slots__ = ("_backlogged", "_empty_s")

    def __init__(self, empty_s: float, backlogged: bool = False) -> None:
        self._empty_s, self._backlogged = empty_s, backlogged

    def mark_empty(self, now_s: float) -> None:
        """The connection has no unread bytes."""
        self._empty_s, self._backlogged = now_s, False

    def mark_left_behind(self) -> None:
        """Nothing is read from now on: what arrives waits for the next read, however often the loop polls."""
        self._backlogged = True

    def since_empty_s(self, now_s: float) -> float:
        """For how long bytes may have waited at most that are not read yet."""
        return now_s - self._empty_s

    def ages_s(
        self, connected: socket.socket, now_s: float, unseen_s: float, left_behind: bool
    ) -> tuple[float, float]:
        """Finite upper bounds of the age of the newest bytes of a read, and of all its other bytes.

        `unseen_s`: upper bound of the time for which the event loop has not polled its sockets, which says
        nothing of bytes that an earlier read, or an earlier batch of accepts, left behind.  `left_behind`:
        this read did so too, or may have.
        """
        waited_s = now_s - self._empty_s
        unseen = waited_s if self._backlogged else min(waited_s, unseen_s)
        if left_behind:
            self._backlogged = True
        else:
            self.mark_empty(now_s)
        newest = newest_age_s(connected) if unseen > 0 else None
        return (unseen if newest is None else min(newest, unseen)), unseen


class BacklogClock:
    """Since when the connections in a listening socket's backlog may have waited; `now_s` is monotonic s.

    Nothing arrived before the socket listened, and nothing that a later accept returns arrived before an
    accept that found the backlog empty.
    """

    def __init__(self, now_s: float) -> None:
        self._empty_s = now_s
        self._left_behind = False  # accepting stopped before the backlog was empty

    def mark_empty(self, now_s: float) -> None:
        """The backlog has no connection."""
        self._empty_s, self._left_behind = now_s, False

    def mark_left_behind(self) -> None:
        """Accepting stops, and the backlog may still have connections."""
        self._left_behind = True

    def accepted(self, connected: socket.socket, now_s: float, unseen_s: float) -> ArrivalClock:
        """The clock of a connection that was accepted now.

        `unseen_s`: as in `ArrivalClock.ages_s`; if nothing was left behind, an earlier poll would have shown
        the connection.
        """
        age_s = connection_age_s(connected) if self._left_behind else unseen_s
        established_s = self._empty_s if age_s is None else now_s - age_s
        return ArrivalClock(max(self._empty_s, established_s), self._left_behind)
