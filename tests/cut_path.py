"""A network path to a worker that can be cut, as a relay in the test's process.

While it is cut, connections stay open and silent and new ones carry nothing.  What was sent meanwhile is
taken and held, as by a kernel or a middlebox, and delivered once the path is back, also behind an orderly
end; after a reset it is dropped.
"""

import asyncio
import contextlib
import socket
import struct

HOST = "127.0.0.1"


class CutPath:
    """The path to one worker; `port` is the one that routers use."""

    def __init__(self, worker_port):
        self._worker_port, self._up = worker_port, asyncio.Event()
        self._up.set()
        self.writers = []
        self.held_bytes = self.resets = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._relay, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.close()

    def cut(self):
        self._up.clear()

    def restore(self):
        self._up.set()

    async def _relay(self, reader, writer):
        worker_reader, worker_writer = await asyncio.open_connection(HOST, self._worker_port)
        self.writers += [writer, worker_writer]
        await asyncio.gather(
            self._carry(reader, worker_writer), self._carry(worker_reader, writer), return_exceptions=True
        )

    async def _carry(self, reader, writer):
        """Read all the time, as a kernel does; write only while the path is up."""
        held, ended = asyncio.Queue(), False

        async def deliver():
            while data := await held.get():
                await self._up.wait()
                writer.write(data)
            await self._up.wait()
            writer.close()

        delivering = asyncio.ensure_future(deliver())
        try:
            while data := await reader.read(1 << 16):
                self.held_bytes += 0 if self._up.is_set() else len(data)
                held.put_nowait(data)
            ended = True
            held.put_nowait(b"")
            await delivering
        except ConnectionError:
            self.resets += 1
        finally:
            if not ended:
                delivering.cancel()
                with contextlib.suppress(OSError):  # it has ended
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
