"""Bad clients: requests with fields that can't be used and without an end, 32 at once on each connection."""

from __future__ import annotations

import asyncio
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

AT_ONCE = 32  # open requests on a connection, at most
FIELDS = 2_730  # with names and values of two bytes: 16,380 bytes


def request(number: int) -> bytes:
    """A request whose fields mean nothing; its body begins and does not end."""
    pairs = (struct.pack(">BBHH", 2, 2, name, name ^ 0x5A5A) for name in range(FIELDS))
    parts = (sb.fcgi(sb.PARAMS, number, b"".join(pairs)), sb.fcgi(sb.PARAMS, number))
    return b"".join((sb.fcgi_begin(number), *parts, sb.fcgi(sb.STDIN, number, b"endless")))


ALL = b"".join(request(number) for number in range(1, AT_ONCE + 1))


async def client(port: int) -> None:
    """One bad client: the same again as soon as all of it was turned away.  It reads what is sent to it."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(sb.HOST, port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        try:
            while True:
                writer.write(ALL)
                ends = 0
                while ends < AT_ONCE:
                    data = await reader.read(65_536)
                    if not data:
                        raise ConnectionError
                    ends += data.count(b"Status: ")
        except OSError:
            pass
        finally:
            writer.transport.abort()


async def main(port: int, connections: int) -> None:
    await asyncio.gather(*(client(port) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
