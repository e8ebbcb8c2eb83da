"""TCP sockets that tell local failures from those of the peer, and tolerate transient local failures.

`connect`, `socket`, `send` and `recv` may fail for lack of a descriptor, local port, buffer or route on this
machine.  That says nothing about the peer, and the same call may succeed a moment later.
"""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import termios
from contextlib import suppress
from struct import Struct
from typing import Any

from tornado.iostream import IOStream

RETRY_S = 0.02  # until a call that failed locally is tried again
# Local errors for which no connection can be opened (connect(2), socket(2)).
LOCAL_ERRORS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENFILE,
        errno.EMFILE,
    )
)
# Transient errors of calls on an open connection (send(2), recv(2)).
_PASSING_ERRORS = frozenset((errno.ENOBUFS, errno.ENOMEM))


_LINGER = Struct("ii")  # struct linger: on or off, seconds
_INT = Struct("i")


def set_reset_on_close(stream: IOStream, on: bool) -> None:
    """Whether the end of a connection, also by the end of the process, resets it.

    Then both kernels drop what has not been delivered; after an orderly close they go on delivering it
    (socket(7), SO_LINGER).
    """
    if stream.closed():
        return
    with suppress(OSError):  # the connection has ended
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(on, 0))


def is_local(error: BaseException) -> bool:
    """Whether an error was caused on this machine, so that it says nothing about the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERRORS


def cause_of(error: BaseException) -> BaseException:
    """The error of the socket that is behind the error of a stream."""
    return getattr(error, "real_error", None) or error


def peek(connected: socket.socket, max_bytes: int) -> tuple[bool, bytes]:
    """Whether the peer has closed its side, and unread bytes, which stay unread.  Raises OSError."""
    poll = select.poll()
    poll.register(connected, select.POLLRDHUP)
    if poll.poll(0):  # POLLHUP and POLLERR are always told as well
        return True, b""
    try:
        return False, connected.recv(max_bytes, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False, b""


def unread_bytes(connected: socket.socket) -> int:
    """Size of the bytes that have arrived and are not read; 0 if that is not known."""
    try:
        result = fcntl.ioctl(connected, termios.FIONREAD, bytes(_INT.size))
    except OSError:
        return 0
    return _INT.unpack(result)[0]


class _TcpSocket(socket.socket):
    def connect(self, address: Any) -> None:
        try:
            super().connect(address)
        except BlockingIOError as error:
            if error.errno == errno.EAGAIN:  # no local port is free: no connection was started
                raise OSError(errno.EADDRNOTAVAIL, "no local port") from error
            raise


class TcpStream(IOStream):
    """A stream over a new TCP socket, or over an accepted one."""

    def __init__(self, connected: socket.socket | None = None, **bounds: int) -> None:
        """Raises OSError if no socket can be created."""
        super().__init__(connected or _TcpSocket(socket.AF_INET, socket.SOCK_STREAM), **bounds)

    @property
    def buffered_size(self) -> int:
        """Size of what `buffered` returns."""
        return len(self._read_buffer)

    def buffered(self) -> bytes:
        """What was read from the socket and not returned: some is read while no read is pending."""
        return bytes(self._read_buffer)

    def close(self, exc_info: Any = False) -> None:
        """Like the base method, but drops the traceback of the error, whose frames refer to the stream.

        Otherwise each stream that was reset forms a reference cycle, and thousands of them make full garbage
        collections slow.
        """
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def write_to_fd(self, data: memoryview) -> int:
        """Like the base method, but a lack of buffers counts as a full buffer."""
        try:
            return super().write_to_fd(data)
        except OSError as error:
            if error.errno in _PASSING_ERRORS:
                raise BlockingIOError(errno.EAGAIN, "no buffer") from error
            raise

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Like the base method, but a lack of memory counts as no data yet."""
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno in _PASSING_ERRORS:
                return None
            raise
