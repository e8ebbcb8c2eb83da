"""A small HTTP server, for health pages and stand-ins."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from swiftwell.fair_reads import FairReader, ReadTurns
from swiftwell.http.http1 import BadMessage, MessageStarted, Parser, Request, Response, encode

READ_BYTES = 16_384  # per read, which may hold some hundred small requests

Handler = Callable[[Request, IOStream], Awaitable[Response | None]]


class Server(TCPServer):
    """Answers the requests of a connection one after the other.

    A handler may write to the stream itself and return None, which closes the connection.
    `on_open` gets the number of open connections whenever one is opened.
    """

    def __init__(
        self, handler: Handler, max_body: int = 1 << 20, on_open: Callable[[int], None] = lambda open: None
    ) -> None:
        super().__init__()
        self._handler, self._max_body, self._on_open = handler, max_body, on_open
        self.streams: set[IOStream] = set()
        self._read_turns = ReadTurns()

    def start_on(
        self, port: int, address: str = "127.0.0.1", sockets: list[socket.socket] | None = None
    ) -> int:
        """Listen on `sockets` if given, else on new ones; returns the port, a free one for 0."""
        self.add_sockets(sockets or bind_sockets(port, address, backlog=1_024))
        return next(iter(self._sockets.values())).getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a connection until it ends."""
        stream.set_nodelay(True)
        self.streams.add(stream)
        self._on_open(len(self.streams))
        parser, reader = Parser(False, self._max_body), FairReader(stream, READ_BYTES, self._read_turns)
        try:
            while True:
                for message in parser.feed(await reader.read()):
                    if isinstance(message, MessageStarted):
                        continue
                    assert isinstance(message, Request)
                    response = await self._handler(message, stream)
                    if response is None:
                        return
                    response.keep_alive = response.keep_alive and message.keep_alive
                    await stream.write(encode(response))
                    if not response.keep_alive:
                        return
                    await asyncio.sleep(0)  # a read may hold many requests
        except BadMessage as error:
            if not stream.closed():
                await stream.write(encode(Response(400, {}, f"{error}\n".encode(), keep_alive=False)))
        except StreamClosedError:
            pass
        finally:
            self.streams.discard(stream)
            stream.close()
