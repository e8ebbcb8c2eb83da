"""A bad client: one request whose parameters never end, sent at full speed; what comes back is read.

Arguments: the router's port, and for how many seconds it sends.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as st

CONTENT = b"x" * 64  # of each record
RECORDS = 5_000  # in one call


def main() -> None:
    port, seconds = int(sys.argv[1]), float(sys.argv[2])
    began = time.monotonic()
    first, ended = [], []  # when the first bytes came from the router, and when it closed

    def read() -> None:
        try:
            while data := client.recv(1 << 16):
                first.append((time.monotonic() - began, data[28:60]))
        except OSError:
            pass
        ended.append(time.monotonic() - began)

    sent, more = 0, st.record(st.PARAMS, 1, CONTENT) * RECORDS
    with socket.create_connection((st.HOST, port)) as client:
        reading = threading.Thread(target=read, daemon=True)
        reading.start()
        try:
            client.sendall(st.begin(1))
            while not ended and time.monotonic() < began + seconds:
                client.sendall(more)
                sent += len(more)
        except OSError:
            pass
        print(f"sent {sent} bytes in {time.monotonic() - began:.2f} s")
        print(f"first bytes from the router after {first[0][0]:.3f} s" if first else "nothing came back")
        print(f"closed by the router after {ended[0]:.3f} s" if ended else "not closed by the router")


main()
