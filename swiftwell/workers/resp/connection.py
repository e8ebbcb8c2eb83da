"""One connection to a worker, with many requests on it at a time."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status
from swiftwell.workers.resp import codec
from swiftwell.workers.resp.codec import Answer, Parser, RespError

READ_BYTES = 16_384  # bytes taken in at once: an answer has some hundreds
MOST_UNSENT = 1 << 20  # bytes that may wait for a worker that does not read
MOST_KNOWN = 256  # ids remembered, so that a late answer is no other attempt's: some seconds' worth


@dataclass(slots=True, eq=False)
class Job:
    """An attempt or an order on its way."""

    worker: str
    id: bytes  # or the tag
    data: bytes
    answered: Callable[[Answer], None]  # raises RespError on an answer that can't be one
    ended: Callable[[Status, Ran], None]  # without an answer
    gives_up: bool  # whether the worker can be told that it is given up
    connection: Connection | None = None
    written: bool = False
    moved: bool = False  # its first connection ended before anything was written
    over: bool = False
    began: float = 0.0


class Owner(Protocol):
    """The link, as a connection sees it."""

    def closed(self, connection: Connection, why: str, jobs: list[Job]) -> None:
        """A connection has ended; these were on it.  `why` where its bytes were spoilt."""

    def dirty(self, connection: Connection) -> None:
        """Something is to be written at the end of the turn."""


class Connection:
    """Opened at once; what is put on it while it comes up is written then."""

    def __init__(self, owner: Owner, worker: str, address: tuple[str, int]) -> None:
        self.owner, self.worker, self.address = owner, worker, address
        self.jobs: dict[bytes, Job] = {}
        self.known: dict[bytes, None] = {}
        self.up = self.over = self.doubted = False
        self.failure, self.reset = "", False  # what ended it, in the words of the socket
        self.opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()  # whether it came up
        self.used, self.heard = time.monotonic(), 0.0  # heard: bytes of the worker's
        self._parser = Parser()
        self._out: list[tuple[bytes, Job | None]] = []  # what waits to be written, and whose request it is
        self._stream = IOStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            max_buffer_size=READ_BYTES * 4,
            read_chunk_size=READ_BYTES,
            max_write_buffer_size=MOST_UNSENT,
        )

    async def run(self, connect_s: float) -> None:
        """Connect, and read until the connection ends."""
        why = ""
        try:
            await asyncio.wait_for(self._stream.connect(self.address), connect_s)
            self._stream.set_nodelay(True)
            self.up = True
            self.opened.set_result(True)
            self.flush()
            while True:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                self.heard, self.doubted = time.monotonic(), False
                for answer in self._parser.feed(data):
                    self._answer(answer)
        except (OSError, TimeoutError, StreamClosedError) as error:
            cause = getattr(error, "real_error", None) or error
            self.failure, self.reset = repr(cause), isinstance(cause, ConnectionResetError)
        except RespError as error:
            why = str(error)
        finally:
            self._end(why)

    def put(self, job: Job) -> None:
        """A job goes out at the end of this turn, or once the connection is up."""
        job.connection = self
        self.used = time.monotonic()
        self.jobs[job.id] = job
        self.known[job.id] = None
        if len(self.known) > MOST_KNOWN:
            del self.known[next(iter(self.known))]
        self._out.append((job.data, job))
        if self.up:
            self.owner.dirty(self)

    def flush(self) -> None:
        """Hand what was gathered to the kernel, in one write."""
        if self.over or not self.up or not self._out:
            return
        out, self._out = self._out, []
        try:
            self._stream.write(b"".join([data for data, _ in out]))
        except (StreamClosedError, StreamBufferFullError):  # nothing was handed over
            self._stream.close()
            return
        for _, job in out:
            if job is not None:
                job.written = True

    def _answer(self, answer: Answer) -> None:
        job = self.jobs.get(answer[0])
        if job is None:
            return  # late, a second copy, or nobody's: passed over
        job.answered(answer)
        del self.jobs[answer[0]]
        job.over, self.used = True, self.heard

    def give_up(self, job: Job) -> None:
        """Nothing more is wanted of a job."""
        del self.jobs[job.id]
        if not job.written:
            self._out.remove((job.data, job))
            return
        if self.heard < job.began:
            self.doubted = True  # silent ever since it was sent: nothing new goes here
        if self.doubted and not self.jobs:
            self.close()  # which gives it up as well
        elif job.gives_up:
            self._out.append((codec.kill(job.id), None))
            self.owner.dirty(self)

    def close(self) -> None:
        """End the connection."""
        self._stream.close()

    def _end(self, why: str) -> None:
        self.over = True
        self._stream.close()
        if not self.opened.done():
            self.opened.set_result(False)
        jobs, self.jobs = list(self.jobs.values()), {}
        self.owner.closed(self, why, jobs)
