"""Bad clients: each connection sends 32 requests at once, and the same again as soon as they are answered."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins2 as sb

AT_ONCE = 32  # open requests on a connection, at most


async def client(port: int) -> None:
    """One bad client.  It holds one connection at a time, and reads what is sent to it."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(sb.HOST, port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        try:
            writer.write(sb.fcgi_request(1, {"SCRIPT_NAME": "/-/healthy"}))  # see case 6
            await reader.read(4_096)
            while True:
                for number in range(1, AT_ONCE + 1):
                    fields = sb.fields_of(os.urandom(8).hex(), "lectura", 2_500)
                    writer.write(sb.fcgi_request(number, fields))
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
