"""The control channel of a stand-in: one JSON object per line on standard input, `{"do": NAME, ...}`.

Responses are JSON lines on standard output.  A script has the same lines with `at`, in seconds after the
start.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import msgspec

Command = Callable[..., object]


class Controls:
    """Executes commands by name.  An unknown name or a wrong field is reported and changes nothing."""

    def __init__(self, commands: dict[str, Command]) -> None:
        self._commands = commands

    def run(self, line: str | bytes) -> dict[str, Any]:
        """Executes one command and returns its response."""
        try:
            command = msgspec.json.decode(line, type=dict[str, Any])
            name = command.pop("do")
            if name not in self._commands:
                raise ValueError(f"unknown command {name!r}; known: {', '.join(sorted(self._commands))}")
            return {"ok": True, "do": name, "result": self._commands[name](**command)}
        except (msgspec.DecodeError, KeyError, ValueError, TypeError) as error:
            return {"ok": False, "error": f"{type(error).__name__}: {error}"}

    async def listen(self) -> None:
        """Executes the commands on standard input until it ends."""
        reader = asyncio.StreamReader(limit=1 << 20)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            if line.strip():
                say(self.run(line))


def say(message: dict[str, Any]) -> None:
    """Writes a message as one JSON line to standard output."""
    sys.stdout.write(msgspec.json.encode(message).decode() + "\n")
    sys.stdout.flush()
