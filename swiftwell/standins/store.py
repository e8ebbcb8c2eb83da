"""The model store that all calc servers fetch from: slow when crowded, refuses past a limit, stops when
pushed."""

from __future__ import annotations

import asyncio
import time

from tornado.iostream import IOStream

from swiftwell.http.http1 import Request, Response
from swiftwell.http.server import Server
from swiftwell.proof.trace import Trace

STOP_AFTER_S = 1.0  # s of being pushed beyond three times its room after which it stops
STOPPED_S = 3.0  # s that it stays stopped then


class Store:
    """`room` fetches at a time take `fetch_s` each; more take longer in proportion; past `most` they are
    refused."""

    def __init__(self, trace: Trace, fetch_s: float = 0.3, room: int = 8, most: int = 64) -> None:
        self.trace, self._fetch_s, self._room, self._most = trace, fetch_s, room, most
        self._here = 0
        self._stopped_until = 0.0
        self._pushed_since = 0.0
        self.slow = 1.0
        self.server = Server(self._answer)
        self.fetches = 0

    def start(self, port: int = 0) -> int:
        """Listen; returns the port."""
        return self.server.start_on(port)

    def fault(self, name: str, for_s: float, times: float = 5.0) -> None:
        """stop: no fetch ends; slow: each takes `times` as long."""
        self.trace.note("fault", worker="store", fault=name, for_s=for_s)
        if name == "stop":
            self._stopped_until = time.monotonic() + for_s
        elif name == "slow":
            self.slow = times
            asyncio.get_running_loop().call_later(for_s, setattr, self, "slow", 1.0)
        else:
            raise ValueError(f"no fault {name!r}")

    async def _answer(self, request: Request, stream: IOStream) -> Response:
        if self._here >= self._most:
            self.trace.note("store-refused")
            return Response(503, {}, b"too many fetches\n")
        self._here += 1
        self.fetches += 1
        self.trace.note("fetch", function=request.target[7:])
        try:
            await self._serve()
        finally:
            self._here -= 1
        return Response(200, {}, b"model")

    async def _serve(self) -> None:
        """A part of the fetch at a time, at the pace that the crowd allows."""
        left = self._fetch_s
        while left > 0:
            step = 0.01
            await asyncio.sleep(step)
            now = time.monotonic()
            if now < self._stopped_until:
                continue
            left -= step / max(1.0, self._here / self._room) / self.slow
            if self._here > 3 * self._room:
                self._pushed_since = self._pushed_since or now
                if now - self._pushed_since > STOP_AFTER_S:
                    self.trace.note("store-stopped")
                    self._stopped_until, self._pushed_since = now + STOPPED_S, 0.0
            else:
                self._pushed_since = 0.0
