"""A process serves and ends on its schedule whatever becomes of the reader of its log.

The first line at SIGTERM could not be written, so that the shutdown never began, nor at a second SIGTERM.
"""

import io
import json
import os
import signal
import subprocess
import sys

import pytest
from platformbench import HOST, Front, Worker, document, echo, fields
from socketbench import SITE, run
from test_platform import RouterProcess, id_

from swiftwell.gateway.log_output import LogOutput
from swiftwell.gateway.logs import Logs

WAYS = ("reader-gone", "reader-stopped", "disk-full", "closed")


def standard_error(way):
    """The standard error of a process, and what must stay open with it."""
    if way == "disk-full":
        return os.open("/dev/full", os.O_WRONLY), None
    if way == "closed":
        return None, None
    reading, writing = os.pipe()
    if way == "reader-gone":
        os.close(reading)
        return writing, None
    os.set_blocking(writing, False)
    try:
        while os.write(writing, b"." * 4_096):
            pass
    except BlockingIOError:
        os.set_blocking(writing, True)
    return writing, reading


def start(command, way, **more):
    """A process with this standard error."""
    descriptor, kept_open = standard_error(way)
    try:
        if descriptor is None:
            command = ["/bin/sh", "-c", 'exec "$@" 2>&-', "sh", *command]
        return subprocess.Popen(command, stderr=descriptor, **more), kept_open
    finally:
        if descriptor is not None:
            os.close(descriptor)


class LoglessRouter(RouterProcess):
    """A router process whose log can't be written in one of the `WAYS`."""

    def __init__(self, folder, configuration, way):
        self.way, self.kept_open = way, None
        super().__init__(folder, configuration)

    def start(self):
        command = [sys.executable, "-B", "-m", "swiftwell.platform"]
        environment = os.environ | {"EDGE_CONFIG": str(self.file), "EDGE_NAME": "n0"}
        self.process, self.kept_open = start(command, self.way, env=environment)
        self.process.stderr = io.BytesIO()  # closed at the end by the base class

    def __exit__(self, *error):
        super().__exit__(*error)
        if self.kept_open is not None:
            os.close(self.kept_open)


@pytest.mark.parametrize("way", WAYS)
def test_a_router_serves_and_ends_although_its_log_cannot_be_written(tmp_path, way):
    async def main():
        async with Worker(echo) as worker:
            with LoglessRouter(tmp_path, document([worker.port]), way) as router_process:
                assert await router_process.up() == 200
                async with Front(router_process.port) as front:
                    assert (await front.ask(1, fields(id_(1))))[0] == 200
                    assert (await front.ask(2, fields("no id")))[0] == 400
                    router_process.process.send_signal(signal.SIGHUP)
                    assert (await front.ask(3, fields(id_(3))))[0] == 200
                router_process.process.send_signal(signal.SIGTERM)
                assert await router_process.ended() == 0

    run(main())


@pytest.mark.parametrize("form", ["json", "console"])
@pytest.mark.parametrize("way", WAYS)
def test_a_gateway_starts_and_ends_although_its_log_cannot_be_written(tmp_path, way, form):
    site = tmp_path / "site.kdl"
    more = {"orders": "orders false;", "more": "", "listener": "", "extra": f'log format="{form}"'}
    site.write_text(SITE.format(state=tmp_path, workers=f'worker "{HOST}:9" kind="k"', **more))
    command = [sys.executable, "-B", "-m", "swiftwell", "serve", str(site), "--ready"]
    process, kept_open = start(command, way, stdout=subprocess.PIPE, text=True)
    try:
        assert json.loads(process.stdout.readline())["pid"] == process.pid
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        if kept_open is not None:
            os.close(kept_open)


def test_lines_that_could_not_be_written_are_counted_and_a_cut_one_ends():
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as out:
        output, lines = LogOutput(out), 0
        while not output.dropped:
            output.write("x" * 10_000 + "\n")  # more than the pipe takes at once
            lines += 1
        received = os.read(reading, 1 << 20)
        output.write("the next line\n")
        received += os.read(reading, 1 << 20)
        assert output.dropped == 1 and received.split(b"\n")[-2] == b"the next line"
        assert received.count(b"x" * 10_000 + b"\n") >= lines - 1
        os.close(reading)
        output.write("nobody reads this\n")
        assert output.dropped == 2
    output.write("nor this\n")
    assert output.dropped == 3
    closed = LogOutput(None)
    closed.write("nor this\n")
    assert closed.dropped == 1


def test_a_log_in_memory_is_written_as_before():
    out = io.StringIO()
    logs = Logs("json", out=out)
    logs.write("info", "listening", port=1)
    assert json.loads(out.getvalue())["port"] == 1 and logs.dropped_lines == 0
    out.close()
    logs.write("info", "listening", port=1)
    assert logs.dropped_lines == 1
