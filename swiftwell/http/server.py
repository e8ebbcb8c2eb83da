"""A small HTTP server over the parser: for health pages and stand-ins."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from swiftwell.http.http1 import BadMessage, Begun, Parser, Request, Response, encode

Handler = Callable[[Request, IOStream], Awaitable[Response | None]]


class Server(TCPServer):
    """Answers requests one after the other on each connection.

    The handler may write to the stream itself and return None, which ends the connection.
    """

    def __init__(
        self, handler: Handler, most_body: int = 1 << 20, opened: Callable[[int], None] = lambda open: None
    ) -> None:
        super().__init__()
        self._handler, self._most, self._opened = handler, most_body, opened
        self.streams: set[IOStream] = set()

    def start_on(
        self, port: int, address: str = "127.0.0.1", opened: list[socket.socket] | None = None
    ) -> int:
        """Listen, on sockets that are open already or on new ones; returns the port (a free one for 0)."""
        self.add_sockets(opened or bind_sockets(port, address, backlog=1_024))
        return next(iter(self._sockets.values())).getsockname()[1]

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        stream.set_nodelay(True)
        self.streams.add(stream)
        self._opened(len(self.streams))
        parser = Parser(False, self._most)
        try:
            while True:
                for message in parser.feed(await stream.read_bytes(65_536, partial=True)):
                    if isinstance(message, Begun):
                        continue
                    assert isinstance(message, Request)
                    answer = await self._handler(message, stream)
                    if answer is None:
                        return
                    answer.keep = answer.keep and message.keep
                    await stream.write(encode(answer))
                    if not answer.keep:
                        return
        except BadMessage as error:
            if not stream.closed():
                await stream.write(encode(Response(400, {}, f"{error}\n".encode(), keep=False)))
        except StreamClosedError:
            pass
        finally:
            self.streams.discard(stream)
            stream.close()
