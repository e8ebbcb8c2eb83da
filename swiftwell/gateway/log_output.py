"""Where log lines go: whatever becomes of their reader, nobody waits for it and nothing fails.

A pipe without a reader, one whose reader has stopped, a full disk or a closed descriptor cost lines, which
are counted.
"""

from __future__ import annotations

import io
import os
import select
from typing import TextIO

# A pipe that is ready for writing takes this many bytes without waiting (pipe(7), PIPE_BUF).
_MAX_WRITE_BYTES = select.PIPE_BUF
_READY_EVENTS = select.POLLOUT | select.POLLERR | select.POLLHUP  # an error shows at the write


class LogOutput:
    """Writes text to a stream; `dropped` is the number of writes of which something was lost."""

    def __init__(self, out: TextIO | None) -> None:
        """`out` is None in a process whose standard error was closed at its start."""
        self._out = out
        self.dropped = 0
        self._cut = False  # the last line was written in part
        self._poll: select.poll | None = None
        try:
            self._descriptor = out.fileno()
        except (io.UnsupportedOperation, ValueError, AttributeError):  # in memory, or closed
            return
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write text, or drop what can't be written at once."""
        try:
            if self._out is None:
                self.dropped += 1
            elif self._poll is None:
                self._out.write(text)
            elif not self._write_at_once(text.encode(errors="backslashreplace")):
                self.dropped += 1
        except (OSError, ValueError):  # ValueError: a stream in memory is closed
            self.dropped += 1

    def _write_at_once(self, data: bytes) -> bool:
        """Past the stream's buffer, which would keep what failed and try it again at the process's end."""
        assert self._poll is not None
        if self._cut:
            data = b"\n" + data
        at = 0
        while at < len(data):
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & _READY_EVENTS:
                self._cut |= at > 0
                return False
            at += os.write(self._descriptor, data[at : at + _MAX_WRITE_BYTES])
        self._cut = False
        return True

    def flush(self) -> None:
        """Nothing to do: no write is held back."""
