"""Ports of tests and stand-ins: nobody else gets one between its choice and its use.

A port was found free, closed and bound later; a stand-in that was given it meanwhile could bind it as well
and then failed to listen: "Address already in use", and a day had no workers.
"""

import asyncio
import errno
import socket

import pytest

from swiftwell.proof.trace import Trace
from swiftwell.standins.listing import Listing
from swiftwell.standins.ports import HOST, ReservedPort


def bound(port, reuse=True):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(reuse))
    sock.bind((HOST, port))
    return sock


def test_who_is_given_a_port_that_another_one_found_free_cannot_listen():
    given = bound(0)  # a stand-in, before it listens
    found_free = bound(given.getsockname()[1])  # a router whose port was found free earlier
    found_free.listen()
    with pytest.raises(OSError) as error:
        given.listen()
    assert error.value.errno == errno.EADDRINUSE
    given.close()
    found_free.close()


def test_a_reserved_port_is_given_to_nobody_else_and_can_be_listened_on_again_and_again():
    reserved = ReservedPort()
    with pytest.raises(OSError, match="in use"):
        bound(reserved.number, reuse=False)
    others = [bound(0) for _ in range(200)]
    assert reserved.number not in {other.getsockname()[1] for other in others}
    for other in others:
        other.close()
    for _ in range(3):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, reserved.number))
        listening = bound(reserved.number)
        listening.listen()
        socket.create_connection((HOST, reserved.number)).close()
        listening.accept()[0].close()
        listening.close()
    reserved.close()
    bound(reserved.number).close()


def test_a_stand_in_keeps_its_port_while_it_does_not_listen():
    async def main():
        listing = Listing(Trace("list"), 0.0)
        port = listing.start()
        listing.fault("down", 0.05)
        with pytest.raises(OSError, match="in use"):
            bound(port, reuse=False)
        await asyncio.sleep(0.2)
        socket.create_connection((HOST, port)).close()
        listing.server.stop()

    asyncio.run(main())
