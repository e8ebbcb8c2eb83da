"""Bad clients of a router that send requests at full speed, a process of their own.

Arguments: port, kind, number of connections.  Each connection keeps to the platform's counts: at most 32 open
requests, bodies of at most 16 KiB.  The clients end with the process, after `MAX_S` at the latest.
"""

import asyncio
import itertools
import os
import sys
import threading

from platformbench import HOST, fields, request

from swiftwell.fronts.fastcgi import codec

MAX_S = 60.0
AT_ONCE = 32  # open requests on a connection, at most
LARGEST = 16_384  # bytes of a body
SMALL_BATCH = 3  # requests, whose bytes do not fill one read
RETRY_S = 0.05

ids = itertools.count(1 << 63 | os.getpid() << 40)


def valid(number, body=b""):
    return request(number, fields(f"{next(ids):016x}", wait="2500"), body)


def withdrawn(number):
    return valid(number) + codec.record(codec.ABORT, number, b"")


def health_check(number):
    return request(number, {"SCRIPT_NAME": "/-/healthy"})


def without_fields(number):
    end_of_params = codec.record(codec.PARAMS, number, b"")
    return codec.begin(number) + end_of_params + codec.record(codec.STDIN, number, b"")


class Client:
    """One bad client; it reads all that is sent to it."""

    def __init__(self, port):
        self.port = port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    async def play(self, build, at_once, on_new_connections):
        """Send `at_once` requests together, again and again once all of them have ended."""
        while True:
            try:
                await self.connect()
                while True:
                    self.writer.write(b"".join(build(number) for number in range(1, at_once + 1)))
                    await self.read_ends(at_once)
                    if on_new_connections:
                        break
            except OSError:
                await asyncio.sleep(RETRY_S)
            finally:
                if hasattr(self, "writer"):
                    self.writer.transport.abort()

    async def read_ends(self, count):
        """Read until so many requests have ended, by the header of their END_REQUEST."""
        header = bytes((codec.VERSION, codec.END, 0))
        ends = 0
        while ends < count:
            data = await self.reader.read(65_536)
            if not data:
                raise ConnectionError
            ends += data.count(header)


# What a client sends, how many at once, and whether each time on a new connection.
KINDS = {
    "small": (valid, AT_ONCE, False),
    "bodies": (lambda number: valid(number, b"b" * LARGEST), AT_ONCE, False),
    "withdrawn": (withdrawn, AT_ONCE, False),
    "health": (health_check, AT_ONCE, False),
    "without-fields": (without_fields, AT_ONCE, False),
    "no-full-read": (valid, SMALL_BATCH, False),
    "new-connections": (valid, SMALL_BATCH, True),
}


async def main(port, kinds, connections):
    chosen = itertools.cycle(kinds)
    await asyncio.gather(*(Client(port).play(*KINDS[next(chosen)]) for _ in range(connections)))


if __name__ == "__main__":
    threading.Timer(MAX_S, os._exit, (0,)).start()
    wanted = list(KINDS) if sys.argv[2] == "mixed" else [sys.argv[2]]
    asyncio.run(main(int(sys.argv[1]), wanted, int(sys.argv[3])))
