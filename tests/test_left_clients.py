"""A client that closed or cancelled has gone: no attempt of its request begins more than 0.1 s later.

The loop of the router is held still while both the client's end and what lets an attempt go out lie in the
kernel; on the next look it finds them in either order.
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

STALL_S = 0.2  # s: twice what is granted
WAYS = ("abort", "close", "reset")


def played(main):
    """On both loops: they differ in what comes first, timers, calls or sockets."""

    async def bounded():
        async with asyncio.timeout(40):
            await main()

    asyncio.run(bounded())
    uvloop.run(bounded())


def end(sock, how):
    """A client gives up, at once: no turn of a loop is between this and the kernel."""
    if how == "abort":
        sock.sendall(codec.record(codec.ABORT, 2, b""))
        return
    if how == "reset":
        reset_on_close(sock)
    sock.close()


async def only_others_ran(node, workers, others):
    """Whether nothing but a later request of another client reached a worker."""
    await until(lambda: node.engine.open == 0 and not node.front.open_ids)
    async with Front(node.port) as other:
        assert (await other.ask(1, fields(id_(99), wait="6000")))[0] == 200
    ran = [words[1].decode() for worker in workers for words in worker.runs()]
    return ran == [*others, id_(99)]


def test_no_attempt_goes_out_for_a_client_that_left_while_our_turn_took_long(tmp_path):
    async def main():
        for how in WAYS:
            async with (
                Worker(echo) as worker,
                router(tmp_path, [worker.port]) as node,
                Front(node.port) as front,
            ):
                assert (await front.ask(1, fields(id_(1))))[0] == 200  # a connection to the worker stands
                sock, start = connect(node.port), node.link.start

                def slow_turn(act, start=start, sock=sock, how=how, node=node):
                    start(act)
                    node.link.start = start
                    end(sock, how)  # it lies in the kernel, unread
                    time.sleep(STALL_S)

                node.link.start = slow_turn
                sock.sendall(request(2, fields(id_(2))))
                await until(lambda node=node, slow=slow_turn: node.link.start is not slow)
                assert await only_others_ran(node, [worker], [id_(1)])
                sock.close()

    played(main)


def test_no_attempt_goes_out_for_a_client_that_left_as_its_connection_came_up_in_a_stall(tmp_path):
    async def main():
        async with waiting_for_connection(tmp_path) as (gate, node, front):
            own = socket.socket(fileno=os.dup(front.writer.get_extra_info("socket").fileno()))
            own.shutdown(socket.SHUT_RDWR)  # the router has not looked at it
            own.close()
            filler, _ = gate.socket.accept()  # room: the connection comes up with the next SYN, within 1 s
            time.sleep(1.3)
            await gate.open()
            assert await only_others_ran(node, [gate], [])
            filler.close()

    played(main)


def test_no_attempt_goes_out_for_a_client_that_left_while_its_workers_buffer_was_full_in_a_stall(tmp_path):
    async def main():
        async def answers(worker, writer, words):
            if words[0] == b"FN":
                writer.write(worker_reply(words[1], b"DONE", b"-", b""))

        async with (
            Worker(answers) as worker,
            router(tmp_path, [worker.port], settings=long_deadline_settings()) as node,
            Front(node.port) as front,
        ):
            sock = connect(node.port)
            assert (await front.ask(1, fields(id_(1), wait="6000")))[0] == 200
            (one,) = node.link._workers["s-00000001"].connections
            one._blocked = True  # as if the kernel had taken no more
            sock.sendall(request(2, fields(id_(2), wait="6000")))
            await until(lambda: node.link._jobs and one._output)
            asyncio.get_running_loop().call_later(STALL_S / 2, one._unblock)
            end(sock, "close")
            time.sleep(STALL_S)  # the timer has come due and the client's end waits
            assert await only_others_ran(node, [worker], [id_(1)])

    played(main)


def test_a_client_that_stays_through_a_stall_is_served(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1))))
            await asyncio.sleep(0)
            time.sleep(STALL_S)
            assert (await front.answer(1))[0] == 200
            assert [words[1].decode() for words in worker.runs()] == [id_(1)]

    played(main)
