"""How long ago a client's bytes arrived: they may have waited in the kernel while the event loop was busy.

A request's time counts from the arrival of its last byte, not from our read.  Bytes that a read returns have
arrived since the loop last polled its sockets, which gives an upper bound of their age.  The kernel's figure
for the newest bytes of a connection (`TCP_INFO`) is another one.  It may refer to earlier bytes (seen on
Linux 6.18 for short segments after an idle period), so it is never used alone.
"""

from __future__ import annotations

import socket
from struct import Struct

# struct tcp_info of Linux (uapi/linux/tcp.h): 8 bytes of state and options, then 32-bit counters, of which
# the tenth is tcpi_last_data_recv, in ms.
_FIELD_OFFSET = 8 + 9 * 4
_FIELD = Struct("=I")
_TCP_INFO_BYTES = _FIELD_OFFSET + _FIELD.size


def newest_age_s(connected: socket.socket) -> float | None:
    """Age of the newest bytes by TCP_INFO, at the resolution of the kernel's tick; None if not available."""
    try:
        tcp_info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    if len(tcp_info) < _TCP_INFO_BYTES:
        return None
    return _FIELD.unpack_from(tcp_info, _FIELD_OFFSET)[0] / 1_000


class ArrivalClock:
    """Ages of the requests of one connection.

    `empty_s`: when the connection was last known to have no unread bytes, monotonic s.
    """

    __slots__ = ("_backlogged", "_empty_s")

    def __init__(self, empty_s: float) -> None:
        self._empty_s = empty_s
        self._backlogged = False  # the last read left bytes in the kernel

    def mark_empty(self, now_s: float) -> None:
        """The connection has no unread bytes."""
        self._empty_s, self._backlogged = now_s, False

    def ages_s(
        self, connected: socket.socket, now_s: float, unseen_s: float, left_behind: bool
    ) -> tuple[float, float]:
        """Upper bounds of the age of the newest bytes of a read, and of all its other bytes.

        `unseen_s`: upper bound of the time for which the event loop has not polled its sockets, which says
        nothing of bytes that an earlier read left behind.  `left_behind`: this read did so
        too, or may have.
        """
        waited_s = now_s - self._empty_s
        unseen = waited_s if self._backlogged else min(waited_s, unseen_s)
        if left_behind:
            self._backlogged = True
        else:
            self.mark_empty(now_s)
        newest = newest_age_s(connected) if unseen > 0 else None
        return (unseen if newest is None else min(newest, unseen)), unseen
