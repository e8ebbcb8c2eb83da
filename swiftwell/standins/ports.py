"""Loopback ports that stay reserved while nothing listens on them.

A port that is found free, closed and bound later may be taken meanwhile by another program, or by an outgoing
connection.  A socket that is bound to the port and does not listen keeps it: a listening socket can share it
if both allow that (SO_REUSEADDR), while the kernel gives it to nobody else, and connections to it are refused
until someone listens.
"""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


class ReservedPort:
    """A TCP port that belongs to this process, and to what it tells of it, until `close`."""

    def __init__(self) -> None:
        """Raises OSError if no port is free."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Bound before it may be shared: the kernel must choose a port that nobody uses.
        self._socket.bind((HOST, 0))
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.number: int = self._socket.getsockname()[1]

    def close(self) -> None:
        """Give the port back."""
        self._socket.close()
