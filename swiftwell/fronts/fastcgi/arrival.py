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
    """Ages of the requests of one connection.  `checked_s`: when it was last checked, monotonic s."""

    __slots__ = ("_checked_s",)

    def __init__(self, checked_s: float) -> None:
        self._checked_s = checked_s

    def ages_s(self, connected: socket.socket, now_s: float, unseen_s: float) -> tuple[float, float]:
        """Upper bounds of the age of the newest bytes of a read, and of all its other bytes.

        `unseen_s`: upper bound of the time for which the event loop has not polled its sockets.
        """
        unseen, self._checked_s = min(now_s - self._checked_s, unseen_s), now_s
        newest = newest_age_s(connected) if unseen > 0 else None
        return (unseen if newest is None else min(newest, unseen)), unseen
