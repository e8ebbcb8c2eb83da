"""How the descriptors of a process are divided.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

OWN = 24  # descriptors of the process itself: standard ones, loop, listener, journal service, some to spare
CLIENTS = 3  # clients hold at most one descriptor in so many: the platform's word


@dataclass(frozen=True, slots=True)
class Share:
    """Connections of clients and to workers."""

    clients: int
    workers: int


def divide(sockets: int) -> Share:
    """Clients get the third that the platform grants and half of what is left for those who misbehave.

    >>> divide(1_024)
    Share(clients=670, workers=330)
    """
    granted = sockets // CLIENTS
    left = max(2, sockets - OWN - granted)
    return Share(granted + left // 2, left - left // 2)
