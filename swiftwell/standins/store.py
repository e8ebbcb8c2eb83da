"""The model store that calc servers fetch from: it slows down, rejects and stops serving as load rises."""

from __future__ import annotations

import asyncio
import time

from tornado.iostream import IOStream

from swiftwell.http.http1 import Request, Response
from swiftwell.http.server import Server
from swiftwell.proof.trace import Trace

STOP_AFTER_S = 1.0  # it stops serving after this long with more than three times `room` fetches
STOPPED_S = 3.0  # how long it then stays stopped


class Store:
    """A store at which up to `room` concurrent fetches take `fetch_s` each.

    With more, each takes longer in proportion.  A fetch is rejected while `max_fetches` others are in
    progress.
    """

    def __init__(self, trace: Trace, fetch_s: float = 0.3, room: int = 8, max_fetches: int = 64) -> None:
        self.trace, self._fetch_s, self._room, self._max_fetches = trace, fetch_s, room, max_fetches
        self._active_fetches = 0
        self._stopped_until = 0.0
        self._overloaded_since = 0.0
        self.slow = 1.0
        self.server = Server(self._handle_request)
        self.fetches = 0

    def start(self, port: int = 0) -> int:
        """Starts listening and returns the port."""
        return self.server.start_on(port)

    def fault(self, name: str, for_s: float, times: float = 5.0) -> None:
        """Injects a fault for `for_s` seconds.  stop: no fetch ends.  slow: each takes `times` as long."""
        self.trace.note("fault", worker="store", fault=name, for_s=for_s)
        if name == "stop":
            self._stopped_until = time.monotonic() + for_s
        elif name == "slow":
            self.slow = times
            asyncio.get_running_loop().call_later(for_s, setattr, self, "slow", 1.0)
        else:
            raise ValueError(f"unknown fault {name!r}")

    async def _handle_request(self, request: Request, stream: IOStream) -> Response:
        if self._active_fetches >= self._max_fetches:
            self.trace.note("store-refused")
            return Response(503, {}, b"too many fetches\n")
        self._active_fetches += 1
        self.fetches += 1
        self.trace.note("fetch", function=request.target[7:])
        try:
            await self._transfer()
        finally:
            self._active_fetches -= 1
        return Response(200, {}, b"model")

    async def _transfer(self) -> None:
        """Advances a fetch in steps, at a rate that depends on the number of concurrent fetches."""
        remaining_s = self._fetch_s
        while remaining_s > 0:
            step_s = 0.01
            await asyncio.sleep(step_s)
            now = time.monotonic()
            if now < self._stopped_until:
                continue
            remaining_s -= step_s / max(1.0, self._active_fetches / self._room) / self.slow
            if self._active_fetches > 3 * self._room:
                self._overloaded_since = self._overloaded_since or now
                if now - self._overloaded_since > STOP_AFTER_S:
                    self.trace.note("store-stopped")
                    self._stopped_until, self._overloaded_since = now + STOPPED_S, 0.0
            else:
                self._overloaded_since = 0.0
