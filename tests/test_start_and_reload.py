"""A start and a configuration reload retry calls that fail temporarily."""

import json
import socket

from platformbench import HOST, Worker, document, echo, router, until
from socketbench import run
from test_endings import RunningClient
from test_platform import RouterProcess


def test_a_start_retries_a_port_that_is_still_in_use(tmp_path):
    async def main():
        with RouterProcess(tmp_path, document([9])) as router_process:
            with socket.create_server((HOST, router_process.port)):
                line = router_process.process.stderr.readline()
                assert b"listen" in line and router_process.process.poll() is None
            assert await router_process.up() == 200

    run(main())


def test_a_journal_client_that_is_moved_and_cancelled_in_one_turn_ends():
    """SIGHUP in the same loop turn as the end of a shutdown left the client and its process running."""

    async def main():
        async with RunningClient(9, lambda event: None) as following:  # nothing listens there
            await until(lambda: following.client._failures > 3)
            await until(lambda: following.client._stream is None)
            following.client.reconnect((HOST, 8))
            following.task.cancel()
            await until(following.task.done)

    run(main())


def test_a_reload_retries_a_configuration_that_is_half_written(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [9], journal=9) as node:
            complete = node.file.read_text()
            moved = json.loads(complete)
            moved["journal"] = f"{HOST}:{worker.port}"
            node.file.write_text(complete[:100])
            node.reload()
            assert node.journal.address == (HOST, 9)
            node.file.write_text(json.dumps(moved))
            await until(lambda: node.journal.address == (HOST, worker.port))  # without a second SIGHUP

    run(main())
