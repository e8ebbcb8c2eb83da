"""How a process's file descriptors are divided.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, journal service, and some to spare
CLIENT_DIVISOR = 3  # the platform promises that clients hold at most one descriptor in so many


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits for connections from clients and to workers."""

    clients: int
    workers: int


def divide_descriptors(descriptors: int) -> ConnectionLimits:
    """Gives clients the third that the platform promises, and half of the rest for clients that exceed it.

    >>> divide_descriptors(1_024)
    ConnectionLimits(clients=670, workers=330)
    """
    promised = descriptors // CLIENT_DIVISOR
    remaining = max(2, descriptors - RESERVED_DESCRIPTORS - promised)
    return ConnectionLimits(promised + remaining // 2, remaining - remaining // 2)
