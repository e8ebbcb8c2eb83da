"""The control channel of a stand-in: one JSON object a line on standard input, `{"do": NAME, ...}`.

Answers are JSON lines on standard output.  A script gives the same lines with `at`, seconds after the start.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import msgspec

Do = Callable[..., object]


class Controls:
    """Carries out commands by name; unknown names and wrong fields are told and change nothing."""

    def __init__(self, commands: dict[str, Do]) -> None:
        self._commands = commands

    def run(self, line: str | bytes) -> dict[str, Any]:
        """One command; what it answered."""
        try:
            order = msgspec.json.decode(line, type=dict[str, Any])
            name = order.pop("do")
            if name not in self._commands:
                raise ValueError(f"no command {name!r}; known: {', '.join(sorted(self._commands))}")
            return {"ok": True, "do": name, "result": self._commands[name](**order)}
        except (msgspec.DecodeError, KeyError, ValueError, TypeError) as error:
            return {"ok": False, "error": f"{type(error).__name__}: {error}"}

    async def listen(self) -> None:
        """Carry out standard input, line by line; ends the process's main task at its end."""
        reader = asyncio.StreamReader(limit=1 << 20)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            if line.strip():
                say(self.run(line))


def say(told: dict[str, Any]) -> None:
    """One line to whoever controls us."""
    sys.stdout.write(msgspec.json.encode(told).decode() + "\n")
    sys.stdout.flush()
