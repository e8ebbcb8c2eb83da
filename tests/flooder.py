"""Bad clients of a router, a process of their own: each sends one kind of message without an end.

They send at full speed.  Arguments: port, kind, number of clients.  They end with the process, after `MAX_S`
at the latest.  Each prints "answered" at the first bytes from the router and "closed" at the end of its
connection.
"""

import itertools
import os
import socket
import sys
import threading
import time

from platformbench import HOST, params

from swiftwell.fronts.fastcgi import codec

MAX_S = 40.0
CHUNK_BYTES = 300_000

BEGIN = codec.begin(1)
END_OF_PARAMS = codec.record(codec.PARAMS, 1, b"")
WITHOUT_FIELDS = BEGIN + END_OF_PARAMS + codec.record(codec.STDIN, 1, b"")
UNKNOWN_CLASS = (
    BEGIN
    + codec.record(codec.PARAMS, 1, params({"SCRIPT_NAME": "/api/v2/none", "REQUEST_METHOD": "POST"}))
    + END_OF_PARAMS
    + codec.record(codec.STDIN, 1, b"")
)

# The first bytes of each kind, and those that it repeats.
KINDS = {
    "params": (BEGIN, codec.record(codec.PARAMS, 1, b"x" * 64)),
    "params-large": (BEGIN, codec.record(codec.PARAMS, 1, b"x" * 8_000)),
    "body-bytes": (BEGIN + END_OF_PARAMS, codec.record(codec.STDIN, 1, b"x")),
    "body-of-nobody": (b"", codec.record(codec.STDIN, 9, b"")),
    "management": (b"", codec.record(codec.GET_VALUES, 0, b"")),
    "unknown-management": (b"", codec.record(77, 0, b"")),
    "data": (b"", codec.record(codec.DATA, 1, b"")),
    "begin-and-abort": (b"", BEGIN + codec.record(codec.ABORT, 1, b"")),
    "requests-without-fields": (b"", WITHOUT_FIELDS),
    "requests-of-no-class": (b"", UNKNOWN_CLASS),
    "unread-answers": (b"", codec.record(codec.GET_VALUES, 0, params({"FCGI_MAX_REQS": ""}))),
}
READS_NOTHING = {"unread-answers"}


def tell(what):
    """Print a line in one piece, as several clients do so at a time."""
    os.write(sys.stdout.fileno(), f"{what}\n".encode())


def read(client, ended):
    """Read all that the router sends, and tell of the first bytes and of the end."""
    try:
        if client.recv(1):
            tell("answered")
        while client.recv(1 << 16):
            pass
    except OSError:
        pass
    ended.set()


def flood(port, kind):
    first, repeated = KINDS[kind]
    chunk = repeated * (CHUNK_BYTES // len(repeated))
    ended = threading.Event()
    with socket.create_connection((HOST, port)) as client:
        if kind not in READS_NOTHING:
            threading.Thread(target=read, args=(client, ended), daemon=True).start()
        try:
            client.sendall(first)
            while not ended.is_set():
                client.sendall(chunk)
        except OSError:
            pass
    tell("closed")


def main():
    port, kind, count = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
    threading.Timer(MAX_S, os._exit, (0,)).start()
    for _ in itertools.repeat(None, count):
        threading.Thread(target=flood, args=(port, kind), daemon=True).start()
    while os.getppid() != 1:  # else the test has ended
        time.sleep(0.1)


if __name__ == "__main__":
    main()
