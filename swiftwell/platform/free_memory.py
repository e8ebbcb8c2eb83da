"""Gives memory that the C library keeps for later allocations back to the kernel."""

from __future__ import annotations


def release_free_memory() -> bool:
    """Return whole free pages of the heap to the kernel; returns whether there were any.

    Does nothing where the C library has no malloc_trim(3).  Takes some milliseconds for a hundred megabytes.
    """
    import ctypes  # only when it is needed, as most processes never do

    try:
        return bool(ctypes.CDLL(None).malloc_trim(0))
    except (OSError, AttributeError):
        return False
