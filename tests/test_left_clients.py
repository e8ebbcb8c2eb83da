"""No attempt of a request is sent more than 0.1 s after its client closed its connection or cancelled.

The tests block the router's event loop while both the client's close and the event that allows an attempt to
be sent wait in the kernel; the next poll finds them in either order.
"""

import asyncio
import os
import socket
import time

import uvloop
from platformbench import Front, Worker, echo, fields, request, router, until, worker_reply
from test_endings import long_deadline_settings, reset_on_close, waiting_for_connection
from test_platform import id_
from test_request_deadlines import connect

from swiftwell.fronts.fastcgi import codec

STALL_S = 0.2  # twice the 0.1 s that are allowed
LEAVING = ("abort", "close", "reset")


def run_on_both_loops(main):
    """Run on asyncio's and uvloop's event loop: they differ in the order of timers, callbacks and sockets."""

    async def bounded():
        async with asyncio.timeout(40):
            await main()

    asyncio.run(bounded())
    uvloop.run(bounded())


def leave(sock, how):
    """Make a client leave at once, with no loop iteration between this and the kernel."""
    if how == "abort":
        sock.sendall(codec.record(codec.ABORT, 2, b""))
        return
    if how == "reset":
        reset_on_close(sock)
    sock.close()


async def only_others_ran(node, workers, others):
    """Whether only `others` and a later request of another client reached a worker."""
    await until(lambda: node.engine.open == 0 and not node.front.open_ids)
    async with Front(node.port) as other:
        assert (await other.ask(1, fields(id_(99), wait="6000")))[0] == 200
    ran = [arguments[1].decode() for worker in workers for arguments in worker.runs()]
    return ran == [*others, id_(99)]


def test_no_attempt_is_sent_for_a_client_that_left_during_a_long_loop_iteration(tmp_path):
    async def main():
        for how in LEAVING:
            async with (
                Worker(echo) as worker,
                router(tmp_path, [worker.port]) as node,
                Front(node.port) as front,
            ):
                assert (await front.ask(1, fields(id_(1))))[0] == 200  # a connection to the worker is open
                sock, start = connect(node.port), node.link.start

                def slow_start(output, start=start, sock=sock, how=how, node=node):
                    start(output)
                    node.link.start = start
                    leave(sock, how)  # the router has not read it yet
                    time.sleep(STALL_S)

                node.link.start = slow_start
                sock.sendall(request(2, fields(id_(2))))
                await until(lambda node=node, slow=slow_start: node.link.start is not slow)
                assert await only_others_ran(node, [worker], [id_(1)])
                sock.close()

    run_on_both_loops(main)


def test_no_attempt_is_sent_for_a_client_that_left_when_the_connection_was_established_in_a_stall(tmp_path):
    async def main():
        async with waiting_for_connection(tmp_path) as (gate, node, front):
            own = socket.socket(fileno=os.dup(front.writer.get_extra_info("socket").fileno()))
            own.shutdown(socket.SHUT_RDWR)  # the router has not polled it yet
            own.close()
            filler, _ = gate.socket.accept()  # frees the backlog: the next SYN, within 1 s, connects
            time.sleep(1.3)
            await gate.open()
            assert await only_others_ran(node, [gate], [])
            filler.close()

    run_on_both_loops(main)


def test_no_attempt_is_sent_for_a_client_that_left_while_the_send_buffer_was_full_in_a_stall(tmp_path):
    async def main():
        async def answers(worker, writer, arguments):
            if arguments[0] == b"FN":
                writer.write(worker_reply(arguments[1], b"DONE", b"-", b""))

        async with (
            Worker(answers) as worker,
            router(tmp_path, [worker.port], settings=long_deadline_settings()) as node,
            Front(node.port) as front,
        ):
            sock = connect(node.port)
            assert (await front.ask(1, fields(id_(1), wait="6000")))[0] == 200
            (connection,) = node.link._workers["s-00000001"].connections
            connection._blocked = True  # as if the kernel's send buffer were full
            sock.sendall(request(2, fields(id_(2), wait="6000")))
            await until(lambda: node.link._jobs and connection._output)
            asyncio.get_running_loop().call_later(STALL_S / 2, connection._unblock)
            leave(sock, "close")
            time.sleep(STALL_S)  # the timer is due and the client's close is not read yet
            assert await only_others_ran(node, [worker], [id_(1)])

    run_on_both_loops(main)


def test_a_client_that_stays_through_a_stall_is_served(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1))))
            await asyncio.sleep(0)
            time.sleep(STALL_S)
            assert (await front.answer(1))[0] == 200
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(1)]

    run_on_both_loops(main)
