"""Standard descriptors of a process that was started with some of them closed."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_closed() -> None:
    """Open the closed ones on /dev/null; to be called before anything else is opened.

    Else a socket may get such a number: what is written to standard error would go to a peer, and libuv ends
    the process when it closes the socket.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number, which is this one
