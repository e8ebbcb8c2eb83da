"""System calls that fail temporarily for a reason of the router's machine must not count against a worker.

The tests make methods of Python's socket class fail a given number of times.
"""

import errno
import socket

from platformbench import Front, Worker, echo, fields, reset, router
from socketbench import run
from test_platform import id_

LOCAL = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN, errno.ENFILE)


class Failing:
    """Makes the next `sockets` creations of a socket and the next `connects` of non-blocking sockets fail."""

    def __init__(self, monkeypatch, code):
        self.code, self.sockets, self.connects, self.failed = code, 0, 0, 0
        init, connect = socket.socket.__init__, socket.socket.connect

        def failing_init(sock, *args, **more):
            if self.sockets > 0 and not more.get("fileno"):
                self.sockets -= 1
                self.fail()
            init(sock, *args, **more)

        def failing_connect(sock, address):
            if self.connects > 0 and not sock.getblocking():
                self.connects -= 1
                self.fail()
            return connect(sock, address)

        monkeypatch.setattr(socket.socket, "__init__", failing_init)
        monkeypatch.setattr(socket.socket, "connect", failing_connect)

    def fail(self):
        self.failed += 1
        raise OSError(self.code, "planted")


def counts_as_healthy(node, name="s-00000001"):
    """Whether a worker counts as up and warm."""
    worker = node.engine.router.workers[name]
    return not worker.failures and worker.warm_at <= node.clock.now_us()


async def serve_despite_failures(folder, failing, **failures):
    """Check that a request is served and its worker stays healthy though system calls fail so many times."""
    async with Worker(echo) as worker, router(folder, [worker.port]) as node, Front(node.port) as front:
        for name, times in failures.items():
            setattr(failing, name, times)
        status, _, _ = await front.ask(1, fields(id_(1)))
        assert failing.failed == sum(failures.values())
        assert status == 200 and counts_as_healthy(node)


def test_a_connect_that_fails_locally_is_retried_and_does_not_count_against_the_worker(tmp_path, monkeypatch):
    for code in LOCAL:
        with monkeypatch.context() as patch:
            run(serve_despite_failures(tmp_path, Failing(patch, code), connects=3))


def test_a_socket_that_cannot_be_created_is_retried_and_does_not_count_against_the_worker(
    tmp_path, monkeypatch
):
    for code in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM):
        with monkeypatch.context() as patch:
            run(serve_despite_failures(tmp_path, Failing(patch, code), sockets=3))


def test_a_worker_that_cannot_be_probed_for_a_local_reason_does_not_count_as_dead(tmp_path, monkeypatch):
    async def main():
        failing = Failing(monkeypatch, errno.EADDRNOTAVAIL)

        async def resets(worker, writer, arguments):
            failing.connects = 1_000  # all, until the connect timeout
            await reset(worker, writer, arguments)

        async with (
            Worker(resets) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            assert (await front.ask(1, fields(id_(1), "consigna")))[0] == 502
            assert failing.failed > 1 and counts_as_healthy(node)
            failing.connects = 0

    run(main())
