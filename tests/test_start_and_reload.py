"""A start, and a new configuration, under calls that fail for a moment: tried again within their time."""

import json
import socket

from platformbench import HOST, Worker, document, echo, router, until
from socketbench import run
from test_endings import RunningClient
from test_platform import Process


def test_a_port_that_is_still_taken_at_our_start_is_tried_again(tmp_path):
    async def main():
        with Process(tmp_path, document([9])) as one:
            with socket.create_server((HOST, one.port)):
                line = one.process.stderr.readline()
                assert b"listen" in line and one.process.poll() is None
            assert await one.up() == 200

    run(main())


def test_a_watch_that_is_moved_and_cancelled_in_one_instant_ends():
    """It went on for ever, and its process with it: SIGHUP and the end of a stop in one turn."""

    async def main():
        async with RunningClient(9, lambda event: None) as following:  # nobody listens there
            await until(lambda: following.client._failures > 3)
            await until(lambda: following.client._stream is None)
            following.client.move((HOST, 8))
            following.task.cancel()
            await until(following.task.done)

    run(main())


def test_a_configuration_that_is_half_written_at_sighup_is_read_again(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [9], journal=9) as node:
            whole = node.file.read_text()
            moved = json.loads(whole)
            moved["journal"] = f"{HOST}:{worker.port}"
            node.file.write_text(whole[:100])
            node.reload()
            assert node.journal.at == (HOST, 9)
            node.file.write_text(json.dumps(moved))
            await until(lambda: node.journal.at == (HOST, worker.port))  # no second SIGHUP comes

    run(main())
