"""One HTTP request over a connection of its own, or over one that is kept for the next."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.http.http1 import BadMessage, Parser, Request, Response, encode


class Unreachable(Exception):
    """No answer came; the text says what happened."""


class Client:
    """Asks one server, keeping its connection between requests; one request at a time."""

    def __init__(self, host: str, port: int, connect_s: float = 2.0, most_body: int = 8 << 20) -> None:
        self._host, self._port, self._connect_s, self._most = host, port, connect_s, most_body
        self._stream: IOStream | None = None

    async def ask(self, request: Request, within_s: float) -> Response:
        """Ask and wait for the answer; raises Unreachable."""
        try:
            return await asyncio.wait_for(self._ask(request), within_s)
        except (OSError, StreamClosedError, BadMessage, TimeoutError) as error:
            self.close()
            raise Unreachable(f"{self._host}:{self._port}: {str(error) or type(error).__name__}") from None

    async def _ask(self, request: Request) -> Response:
        if self._stream is None or self._stream.closed():
            connecting = TCPClient().connect(self._host, self._port)
            self._stream = await asyncio.wait_for(connecting, self._connect_s)
        request.headers.setdefault("host", f"{self._host}:{self._port}")
        parser = Parser(True, self._most)
        await self._stream.write(encode(request))
        while True:
            for message in parser.feed(await self._stream.read_bytes(65_536, partial=True)):
                if isinstance(message, Response):
                    if not message.keep or not parser.idle:
                        self.close()
                    return message

    def close(self) -> None:
        """Drop the connection."""
        if self._stream:
            self._stream.close()
        self._stream = None
