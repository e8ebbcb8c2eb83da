"""A small HTTP client that keeps its connection open between requests."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.http.http1 import BadMessage, Parser, Request, Response, encode

READ_BYTES = 65_536  # per read


class Unreachable(Exception):
    """No response arrived; the text says why."""


class Client:
    """Client of one server, for one request at a time; keeps the connection between requests."""

    def __init__(self, host: str, port: int, connect_s: float = 2.0, max_body: int = 8 << 20) -> None:
        self._host, self._port, self._connect_s, self._max_body = host, port, connect_s, max_body
        self._stream: IOStream | None = None

    async def fetch(self, request: Request, timeout_s: float) -> Response:
        """Send a request and wait for the response; raises Unreachable."""
        try:
            return await asyncio.wait_for(self._fetch(request), timeout_s)
        except (OSError, StreamClosedError, BadMessage, TimeoutError) as error:
            self.close()
            raise Unreachable(f"{self._host}:{self._port}: {str(error) or type(error).__name__}") from None

    async def _fetch(self, request: Request) -> Response:
        if self._stream is None or self._stream.closed():
            connecting = TCPClient().connect(self._host, self._port)
            self._stream = await asyncio.wait_for(connecting, self._connect_s)
        request.headers.setdefault("host", f"{self._host}:{self._port}")
        parser, reader = Parser(True, self._max_body), FairReader(self._stream, READ_BYTES, ReadTurns())
        await self._stream.write(encode(request))
        while True:
            for message in parser.feed(await reader.read()):
                if isinstance(message, Response):
                    if not parser.rest_may_be_response:
                        raise BadMessage("the length of a response does not fit")
                    if not message.keep_alive or not parser.idle:
                        self.close()
                    return message

    def close(self) -> None:
        """Close the connection."""
        if self._stream:
            self._stream.close()
        self._stream = None
