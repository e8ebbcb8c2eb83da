"""The platform router on loopback sockets, with scripted clients, workers and journal service."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from platformbench import (
    HOST,
    Front,
    Journal,
    Worker,
    document,
    echo,
    fields,
    frame,
    params,
    request,
    reset,
    router,
    until,
    worker_reply,
)  # fmt: skip
from socketbench import run

from swiftwell.fronts.fastcgi import codec
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi import listener as lis
from swiftwell.fronts.fastcgi.pending import MAX_SILENT_SWEEPS
from swiftwell.platform.limits import RESERVED_DESCRIPTORS, divide_descriptors
from swiftwell.standins.ports import ReservedPort


def id_(number):
    return f"{number:016x}"


def test_a_request_is_served_with_the_workers_body(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            for number, body in enumerate((b"", bytes(range(256)) * 64), 1):
                status, _, answer = await front.ask(number, fields(id_(number)), body)
                assert (status, answer) == (200, b"did " + body)
            assert [arguments[1].decode() for arguments in worker.runs()] == [id_(1), id_(2)]
            assert [arguments[3] for arguments in worker.runs()] == [b"", bytes(range(256)) * 64]
            assert node.engine.ledger is None and not node.front.open_ids

    run(main())


def test_the_health_check_reports_whether_the_router_can_serve(tmp_path):
    async def main():
        async with router(tmp_path, [9]) as node, Front(node.port) as front:
            assert (await front.ask(1, {"SCRIPT_NAME": "/-/healthy"}))[0] == 200
            node.stop()
            assert (await front.ask(2, {"SCRIPT_NAME": "/-/healthy"}))[0] == 503
        async with router(tmp_path, []) as node, Front(node.port) as front:
            assert (await front.ask(1, {"SCRIPT_NAME": "/-/healthy"}))[0] == 503  # no worker is known

    run(main())


def test_a_refusal_names_a_retry_time_and_nothing_ran(tmp_path):
    async def main():
        async def full(worker, writer, arguments):
            writer.write(worker_reply(arguments[1], b"WAIT"))

        async with Worker(full) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            began = time.monotonic()
            status, headers, _ = await front.ask(1, fields(id_(1), "consigna"))
            assert status == 503 and int(headers["Srv-Wait-Ms"]) >= 1
            assert time.monotonic() - began < 1.0  # the answer does not wait for the deadline
            assert worker.runs()

    run(main())


@pytest.mark.parametrize("request_class, tries", [("consigna", 1), ("lectura", 3)])
def test_an_unsafe_request_is_not_retried_once_it_may_have_run(tmp_path, request_class, tries):
    async def main():
        async def broke(worker, writer, arguments):
            writer.write(worker_reply(arguments[1], b"BROKE"))

        async with (
            Worker(broke) as first,
            Worker(broke) as second,
            Worker(broke) as third,
            router(tmp_path, [first.port, second.port, third.port]) as node,
            Front(node.port) as front,
        ):
            status, headers, _ = await front.ask(1, fields(id_(1), request_class))
            assert sum(len(worker.runs()) for worker in (first, second, third)) == tries
            # An unsafe request is not refused either, as a refusal tells the client that a retry is safe.
            assert status == (502 if request_class == "consigna" else 503) and ("Srv-Wait-Ms" in headers) == (
                tries > 1
            )

    run(main())


def test_a_reset_of_an_unsafe_request_is_a_failure_without_a_retry(tmp_path):
    async def main():
        async with (
            Worker(reset) as first,
            Worker(echo) as second,
            router(tmp_path, [first.port]) as node,
            Front(node.port) as front,
        ):
            assert (await front.ask(1, fields(id_(1), "consigna")))[0] == 502
            assert len(first.runs()) == 1 and not second.runs()

    run(main())


def test_an_unsafe_request_is_retried_if_it_is_known_not_to_have_run(tmp_path):
    async def main():
        async def lack(worker, writer, arguments):
            writer.write(worker_reply(arguments[1], b"LACK"))

        async with (
            Worker(lack) as first,
            Worker(echo) as second,
            router(tmp_path, [first.port, second.port]) as node,
            Front(node.port) as front,
        ):
            statuses = [(await front.ask(n, fields(id_(n), "consigna")))[0] for n in range(1, 9)]
            assert statuses == [200] * 8 and len(second.runs()) == 8

    run(main())


def test_an_aborted_request_gets_no_content_and_frees_its_number(tmp_path):
    async def main():
        async def wait(worker, writer, arguments):
            if arguments[0] == b"FN" and arguments[1].decode() != id_(1):
                await echo(worker, writer, arguments)

        async with Worker(wait) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1))))
            await until(lambda: worker.runs())
            front.writer.write(codec.record(codec.ABORT, 1, b""))
            assert (await front.answer(1))[0] == 0  # END_REQUEST and no content
            assert (await front.ask(1, fields(id_(2)), b"x"))[0] == 200
            assert node.engine.counts["left"] == 1 and not node.front.open_ids

    run(main())


def test_a_request_with_the_id_of_an_open_one_is_rejected_and_never_reaches_a_worker(tmp_path):
    async def main():
        async def wait(worker, writer, arguments):
            await asyncio.sleep(0.2)
            await echo(worker, writer, arguments)

        async with (
            Worker(wait) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
            Front(node.port) as other,
        ):
            front.writer.write(request(1, fields(id_(1)), b"one"))
            await until(lambda: worker.runs())
            assert (await other.ask(1, fields(id_(1)), b"two"))[0] == 409
            assert (await front.answer(1))[0] == 200 and len(worker.runs()) == 1

    run(main())


BAD_INPUTS = {
    "noise": b"\xde\xad" * 200,
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "a wrong role": codec.begin(1, role=3),
    "no such class": request(1, fields(id_(1), "nothing")),
    "no such tenant": request(1, fields(id_(1), HTTP_REQ_OWNER="nobody")),
    "no id": request(1, fields(id_(1), HTTP_REQ_ID=None)),
    "a negative wait": request(1, fields(id_(1), HTTP_REQ_WAIT_MS="-1")),
    "a huge length": request(1, fields(id_(1), CONTENT_LENGTH="99999999")),
    "two under a number": codec.begin(1) + codec.begin(1),
    "a huge body": codec.begin(1) + codec.record(codec.PARAMS, 1, params(fields(id_(1))))
    + codec.record(codec.PARAMS, 1, b"") + codec.record(codec.STDIN, 1, b"x" * 60_000) * 20,
    "endless fields": codec.begin(1) + codec.record(codec.PARAMS, 1, b"x" * 60_000) * 20,
    "half a record": codec.begin(1)[:11],
    "half a request": request(1, fields(id_(1)))[:-8],
    "silence": b"",
}  # fmt: skip


@pytest.mark.parametrize("name", BAD_INPUTS)
def test_a_bad_client_gets_an_answer_or_a_close_and_nothing_reaches_a_worker(tmp_path, monkeypatch, name):
    monkeypatch.setattr(lis, "SWEEP_S", 0.02)  # time-outs of 2 s on the platform take 0.2 s here

    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(BAD_INPUTS[name])
            await front.read(lambda: bool(front.done))
            for raw in front.done.values():
                assert not raw.startswith(b"Status: 200")
            assert front.done or front.reader.at_eof()
            assert not worker.got
            async with Front(node.port) as other:  # other clients are still served
                assert (await other.ask(1, fields(id_(2))))[0] == 200

    run(main())


def test_a_connection_that_sent_a_request_may_stay_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(lis, "SWEEP_S", 0.02)

    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            assert (await front.ask(1, fields(id_(1))))[0] == 200
            await asyncio.sleep(0.02 * 4 * MAX_SILENT_SWEEPS)
            assert (await front.ask(2, fields(id_(2))))[0] == 200

    run(main())


def test_hundreds_of_silent_connections_do_not_block_other_clients(tmp_path):
    async def main():
        async with (
            Worker(echo) as worker,
            router(tmp_path, [worker.port], sockets=64) as node,
            Front(node.port) as usual,
        ):
            assert (await usual.ask(1, fields(id_(1))))[0] == 200
            silent = [await asyncio.open_connection(HOST, node.port) for _ in range(200)]
            async with Front(node.port) as late:
                assert (await late.ask(1, fields(id_(2))))[0] == 200
            assert (await usual.ask(2, fields(id_(3))))[0] == 200
            assert len(node.front) <= divide_descriptors(64).clients
            for _, writer in silent:
                writer.close()

    run(main())


def test_hundreds_of_requests_and_aborts_at_once(tmp_path):
    async def main():
        async def slow(worker, writer, arguments):
            await asyncio.sleep(0.02)
            await echo(worker, writer, arguments)

        async with Worker(slow) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            count = 20
            for round_ in range(15):
                base = 100 * round_ + 1
                front.writer.write(b"".join(request(n, fields(id_(base + n))) for n in range(1, count + 1)))
                front.writer.write(b"".join(codec.record(codec.ABORT, n, b"") for n in range(2, count + 1)))
                assert await front.read(lambda: len(front.done) == count)
                front.done.clear()
            await until(lambda: node.engine.open == 0)
            sizes = node.link.sizes()
            assert sizes["worker_jobs"] == 0 and not node.front.open_ids and not node.engine._calls_by_source

    run(main())


def test_a_client_that_does_not_read_is_closed_and_leaves_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(fc, "MAX_UNSENT_BYTES", 20_000)

    async def main():
        async def large(worker, writer, arguments):
            size = 10 if arguments[1].decode() == id_(99) else 200_000
            writer.write(worker_reply(arguments[1], b"DONE", b"-", b"x" * size))

        async with Worker(large) as worker, router(tmp_path, [worker.port]) as node:
            _reader, writer = await asyncio.open_connection(HOST, node.port, limit=1)
            writer.transport.pause_reading()
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            for number in range(1, 30):
                writer.write(request(number, fields(id_(number))))
            await until(lambda: not node.front.connections)
            writer.close()
            async with Front(node.port) as usual:
                assert (await usual.ask(1, fields(id_(99))))[0] == 200

    run(main())


def test_nothing_new_goes_to_a_draining_worker_or_to_the_old_id_of_an_address(tmp_path):
    async def main():
        async def serve(service, number, writer):
            if number == 1:
                writer.write(frame(2, 2, [(1, first.port, 1)]))
                await service.more.wait()
                # A new worker takes the address of the removed one.
                writer.write(frame(3, 2, [(1, first.port, 2), (3, first.port, 0), (2, second.port, 1)]))

        async with Worker(echo) as first, Worker(echo) as second, Journal(serve) as service:
            service.more = asyncio.Event()
            async with router(tmp_path, [first.port, second.port], journal=service.port) as node:
                await until(lambda: node.journal.sequence.last_number == 2)
                async with Front(node.port) as front:
                    for n in range(1, 9):
                        assert (await front.ask(n, fields(id_(n))))[0] == 200
                    assert not first.runs() and len(second.runs()) == 8
                    service.more.set()
                    await until(lambda: node.journal.sequence.last_number == 3)
                    for n in range(11, 19):
                        assert (await front.ask(n, fields(id_(n))))[0] == 200
                    assert len(first.runs()) == 8 and len(second.runs()) == 8
                left = {"s-00000002", "s-00000003"}
                await until(lambda: set(node.engine.router.workers) == left)
                assert "s-00000001" not in node.link._workers

    run(main())


def test_sighup_changes_the_journal_address_and_a_bad_file_is_logged_and_ignored(tmp_path):
    async def main():
        async def no_event(service, number, writer):
            writer.write(frame(1))

        async def one_event(service, number, writer):
            writer.write(frame(2, 2, [(2, worker.port, 0)]))

        async with (
            Worker(echo) as worker,
            Journal(no_event) as old,
            Journal(one_event) as new,
            router(tmp_path, [9], journal=old.port) as node,
        ):
            await until(lambda: old.asked)
            node.file.write_text("{")
            node.reload()
            assert node.journal.address == (HOST, old.port) and "configuration-kept" in node.lines.getvalue()
            node.file.write_text(json.dumps(document([9], journal=new.port)))
            node.reload()
            node.reload()
            await until(lambda: node.journal.sequence.last_number == 2)
            assert new.asked[0] == 1 and len(node.addresses) == 2

    run(main())


def test_a_failing_step_does_not_stop_the_loop(tmp_path):
    # The flag for a step in progress stayed set, and no later input was ever processed.
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            step, failed = node.engine.step, []

            def fail_once(*inputs):
                if not failed:
                    failed.append(inputs)
                    raise AssertionError("planted")
                return step(*inputs)

            node.engine.step = fail_once
            node.wake()
            await until(lambda: failed)
            assert (await front.ask(1, fields(id_(1))))[0] == 200

    run(main())


def test_all_tables_are_empty_once_every_call_is_answered(tmp_path):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            for round_ in range(30):
                async with Front(node.port) as front:
                    await front.ask(1, fields(id_(round_ + 1), HTTP_REQ_KEY=f"{round_:016x}"))
            await until(lambda: not node.front.connections)
            node._log_figures()
            sizes = json.loads(node.lines.getvalue().splitlines()[-1])["sizes"]
            for name in ("calls", "sources", "orders", "worker_jobs", "worker_orders", "module_calls"):
                assert sizes[name] == 0, name

    run(main())


def test_descriptors_are_divided_with_a_reserve_for_the_process():
    for sockets in (64, 256, 384, 1_024):
        limits = divide_descriptors(sockets)
        assert (
            limits.clients + limits.workers + RESERVED_DESCRIPTORS <= sockets
            and limits.clients >= sockets // 3
        )


class RouterProcess:
    """A router process."""

    def __init__(self, folder, configuration):
        self.reserved = ReservedPort()  # until the end: the router may be started again
        self.port = self.reserved.number
        self.file = folder / "config.json"
        self.file.write_text(json.dumps(configuration | {"listen": f"{HOST}:{self.port}"}))
        self.start()

    def start(self):
        command = [sys.executable, "-B", "-m", "swiftwell.platform"]
        environment = os.environ | {"EDGE_CONFIG": str(self.file), "EDGE_NAME": "n0"}
        self.process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.reserved.close()

    async def up(self):
        for _ in range(1_000):
            try:
                async with Front(self.port) as front:
                    return (await front.ask(1, {"SCRIPT_NAME": "/-/healthy"}))[0]
            except OSError:
                await asyncio.sleep(0.01)
        raise AssertionError("the router did not listen within 10 s")

    async def ended(self):
        return await asyncio.to_thread(self.process.wait, 20)


def test_after_sigterm_the_router_answers_requests_and_exits_with_0(tmp_path):
    async def main():
        async def slow(worker, writer, arguments):
            await asyncio.sleep(0.3)
            await echo(worker, writer, arguments)

        async with Worker(slow) as worker:
            with RouterProcess(tmp_path, document([worker.port])) as router_process:
                assert await router_process.up() == 200
                async with Front(router_process.port) as front:
                    front.writer.write(request(1, fields(id_(1))))
                    router_process.process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.2)
                    async with Front(router_process.port) as new:  # new connections still come
                        assert (await new.ask(1, fields(id_(2))))[0] == 200
                    assert (await front.answer(1))[0] == 200
                assert await router_process.ended() == 0

    run(main())


def test_sighup_during_and_after_the_start_does_not_end_the_router(tmp_path):
    async def main():
        with RouterProcess(tmp_path, document([9])) as router_process:
            await until(lambda: b"EARLY" in _handlers(router_process.process.pid))
            router_process.process.send_signal(signal.SIGHUP)
            assert await router_process.up() == 200
            router_process.process.send_signal(signal.SIGHUP)
            assert await router_process.up() == 200
            router_process.process.send_signal(signal.SIGTERM)
            assert await router_process.ended() == 0

    def _handlers(pid):
        """`EARLY` once the process catches SIGHUP, by its status file."""
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            caught = next(int(line.split()[1], 16) for line in file if line.startswith("SigCgt"))
        return b"EARLY" if caught & 1 << signal.SIGHUP - 1 else b""

    run(main())


@pytest.mark.parametrize("text", ["{", json.dumps(document([9]) | {"listen": "x"}), None])
def test_a_bad_configuration_gives_one_line_and_exit_code_2(tmp_path, text):
    file = tmp_path / "config.json"
    if text is not None:
        file.write_text(text)
    result = subprocess.run(
        [sys.executable, "-B", "-m", "swiftwell.platform"],
        env=os.environ | {"EDGE_CONFIG": str(file)}, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert result.returncode == 2 and str(file) in result.stderr and result.stderr.count("\n") == 1


def test_the_router_imports_no_tools_and_no_other_front():
    # The platform may grant as little as 32 MB of memory.
    program = "import sys, swiftwell.platform.node; print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    unwanted = ("lab", "standins", "cli", "fronts.mqtt", "fronts.amqp", "http")
    forbidden = (
        *(f"swiftwell.{name}" for name in unwanted),
        "numpy",
        "scipy",
        "matplotlib",
        "click",
        "pytest",
    )
    modules = result.stdout.split()
    assert "swiftwell.choice" in modules and not [name for name in modules if name.startswith(forbidden)]
    assert "prometheus_client" not in modules
