"""A resource that lease holders act on.  It records the start, the end and the fencing token of each act."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import msgspec

MAX_OPEN_ACTS = 64  # recent acts searched for open ones; each process has one open act at most


@dataclass(slots=True)
class Act:
    """One act of a holder; times are of the machine's monotonic clock, in us.

    `ended` is 0 while the act is open.  `cut`: its connection ended, or a newer token ended it.
    """

    who: str
    token: int
    began: int
    ended: int = 0
    cut: bool = False


class Resource:
    """Listens on loopback.

    With `checks`, it rejects a token older than the highest one seen, and a newer token ends the acts that
    are open under older ones, so that a holder that was paused during an act can't go on with it.
    """

    def __init__(self, checks: bool = True) -> None:
        self.checks = checks
        self.acts: list[Act] = []
        self.turned_away: list[tuple[str, int, int]] = []  # holder, token, highest token at the time
        self.highest = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Starts listening and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def close(self) -> None:
        """Stops accepting connections."""
        if self._server:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_acts: dict[int, Act] = {}
        try:
            while line := await reader.readline():
                message = msgspec.json.decode(line, type=dict[str, object])
                now, token = time.monotonic_ns() // 1_000, int(message["token"])  # type: ignore[call-overload]
                response: dict[str, object] = {"ok": True}
                if message["do"] == "begin":
                    if self.checks and token < self.highest:
                        self.turned_away.append((str(message["who"]), token, self.highest))
                        response = {"ok": False, "seen": self.highest}
                    else:
                        self.highest = max(self.highest, token)
                        if self.checks:
                            for act in self.acts[-MAX_OPEN_ACTS:]:
                                if not act.ended and act.token < token:
                                    act.ended, act.cut = now, True
                        open_acts[token] = Act(str(message["who"]), token, now)
                        self.acts.append(open_acts[token])
                elif token in open_acts:
                    act = open_acts.pop(token)
                    response = {"ok": not act.cut, "seen": self.highest}
                    act.ended = act.ended or now
                writer.write(msgspec.json.encode(response) + b"\n")
        except (ConnectionError, msgspec.DecodeError, KeyError, ValueError):
            pass
        finally:
            for act in open_acts.values():
                act.cut, act.ended = True, act.ended or time.monotonic_ns() // 1_000
            writer.close()
