"""One connection to a worker, with many requests on it at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from swiftwell.fronts.trigger import Ran
from swiftwell.interface import Status
from swiftwell.sockets import RETRY_S, TcpStream, cause_of, is_local
from swiftwell.workers.resp import codec
from swiftwell.workers.resp.codec import Answer, Parser, RespError

READ_BYTES = 16_384  # bytes taken in at once: an answer has some hundreds
MOST_UNSENT = 1 << 20  # bytes that may wait for a worker that does not read
FRESH_S = 0.01  # s for which leave to send stands: a turn that is not held up takes a few ms
AGAIN_S = 0.01  # s until a connection whose kernel buffer is full is tried again
KEEP_ALIVE_TAG = b"alive"  # of questions whether a connection works: no request's id has its form
MOST_KNOWN = 256  # ids remembered, so that a late answer is no other attempt's: some seconds' worth


@dataclass(slots=True, eq=False)
class Handover:
    """When a job's bytes were handed to the kernel; apart from the job, so that who asks forms no cycle."""

    at_us: int = 0  # monotonic; 0 while they were not


@dataclass(slots=True, eq=False)
class Job:
    """An attempt or an order on its way."""

    worker: str
    id: bytes  # or the tag
    data: bytes
    answered: Callable[[Answer], None]  # raises RespError on an answer that can't be one
    ended: Callable[[Status, Ran], None]  # without an answer
    gives_up: bool  # whether the worker can be told that it is given up
    again: Callable[[float], bytes]  # its bytes if it may still go at a time, monotonic s; else none
    asks: bool = False  # a question: also for a worker that drains
    connection: Connection | None = None
    written: bool = False
    moved: bool = False  # its first connection ended before anything was written
    over: bool = False
    waited: bool = False  # its leave to send is of an earlier turn
    began: float = 0.0  # monotonic s
    put: float = 0.0  # monotonic s at which it was put on its connection, with leave to send
    handover: Handover = field(default_factory=Handover)

    def needs_leave(self, data: bytes, fresh: float) -> bool:
        """Whether its leave is older than `fresh`, monotonic s, or it had no time left when it was put."""
        return self.waited or self.put < fresh or not data


class Owner(Protocol):
    """The link, as a connection sees it."""

    def closed(self, connection: Connection, why: str, jobs: list[Job]) -> None:
        """A connection has ended; these were on it.  `why` where its bytes were spoilt."""

    def dirty(self, connection: Connection) -> None:
        """Something is to be written at the end of the turn."""

    def reaches(self, connection: Connection) -> bool:
        """Whether a connection still leads to its worker."""
        ...

    def leave(self, connection: Connection) -> bool:
        """Whether new work may still go to a connection's worker, and there."""
        ...

    def came_up(self, connection: Connection) -> None:
        """A connection stands now."""


class Connection:
    """Opened at once; what is put on it while it comes up is written then."""

    def __init__(self, owner: Owner, worker: str, address: tuple[str, int]) -> None:
        self.owner, self.worker, self.address = owner, worker, address
        self.jobs: dict[bytes, Job] = {}
        self.known: dict[bytes, None] = {}
        self.up = self.over = self.doubted = False
        self.failure, self.reset = "", False  # what ended it, in the words of the socket
        self.failed_here = False  # it did not come up for a reason of this machine's
        # Whether it came up, or nothing is known of the process there: false where that did not answer.
        self.opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.used, self.heard = time.monotonic(), 0.0  # heard: bytes of the worker's
        self._parser = Parser()
        self._out: list[tuple[bytes, Job | None]] = []  # what waits to be written, and whose request it is
        self._blocked = False  # the kernel took no more: what waits is tried again later
        self._closed = False
        self._stream: TcpStream | None = None  # until a socket is had
        with suppress(OSError):
            self._stream = self._new_stream()

    async def run(self, connect_s: float) -> None:
        """Connect, and read until the connection ends."""
        why = ""
        try:
            await self._connect(time.monotonic() + connect_s)
            self._stream.set_nodelay(True)
            self.up = True
            self.opened.set_result(True)
            self.owner.came_up(self)
            self.owner.dirty(self)
            while True:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                self.heard, self.doubted = time.monotonic(), False
                for answer in self._parser.feed(data):
                    self._answer(answer)
                self._parser.check()
        except (OSError, TimeoutError, StreamClosedError) as error:
            self._failed(error)
        except RespError as error:
            why = str(error)
        except Exception as error:  # no end of it may go unseen: its jobs are ended below, the cause is told
            why = f"{type(error).__name__}: {error}"
        finally:
            self._end(why)

    async def _connect(self, until: float) -> None:
        """Come up by then, monotonic s.  What fails for a reason of this machine's is tried again."""
        while True:
            try:
                if self._closed:
                    raise StreamClosedError
                if self._stream is None or self._stream.closed():
                    self._stream = self._new_stream()
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    await self._stream.connect(self.address)
                return
            except (OSError, StreamClosedError) as error:
                if not is_local(cause_of(error)) or time.monotonic() + RETRY_S >= until:
                    raise
            await asyncio.sleep(RETRY_S)

    @staticmethod
    def _new_stream() -> TcpStream:
        return TcpStream(
            max_buffer_size=READ_BYTES * 4, read_chunk_size=READ_BYTES, max_write_buffer_size=MOST_UNSENT
        )

    def _failed(self, error: BaseException) -> None:
        """Remember what ended it, in words: the error itself refers to the frame of `run`."""
        cause = cause_of(error)
        self.failure, self.reset = repr(cause), isinstance(cause, ConnectionResetError)
        self.failed_here = not self.up and is_local(cause)

    def put(self, job: Job) -> None:
        """A job goes out at the end of this turn, or once the connection is up."""
        job.connection = self
        self.used = job.put = time.monotonic()
        self.jobs[job.id] = job
        self.known[job.id] = None
        if len(self.known) > MOST_KNOWN:
            # Never one that is open: a second attempt under its id would take its place here.
            oldest = next((one for one in self.known if one not in self.jobs), None)
            if oldest is not None:
                del self.known[oldest]
        job.waited |= not self.up or self._blocked
        self._out.append((job.data, job))
        if self.up:
            self.owner.dirty(self)

    def flush(self) -> None:
        """Hand what was gathered to the kernel, in one write, and know how far that came.

        What the kernel does not take stays here and not in the stream's buffer, where nothing could be taken
        back: a worker that stands still and wakes would run what its clients gave up long ago.  Only the
        command that is cut in two goes to the stream, as the worker has its first half already.
        """
        if self.over or not self.up or self._blocked or not self._out or self._stream.closed():
            return
        out = self._leave()
        whole = b"".join([data for data, _ in out])
        if not whole:
            return
        sent_us = time.monotonic_ns() // 1_000
        try:
            sent = self._stream.write_to_fd(memoryview(whole))
        except BlockingIOError:
            sent = 0
        except OSError:  # nothing was handed over
            self._stream.close(exc_info=True)
            return
        if sent < len(whole):
            self._keep(out, sent)
        for data, job in out:
            if sent <= 0:
                break
            sent -= len(data)
            if job is not None:
                job.written, job.handover.at_us = True, sent_us

    def _leave(self) -> list[tuple[bytes, Job | None]]:
        """What may go out now: the last look at the worker's state, on every path to the kernel.

        While a connection came up, or was full, or our own turn took long, the worker may have begun to
        drain, have gone, or have left its address to another, or the proof that it serves may have run out;
        for a command that is not fresh, so may its time.
        """
        found, self._out = self._out, []
        now = time.monotonic()
        fresh = now - FRESH_S
        leave, reaches, out = self.owner.leave(self), self.owner.reaches(self), []
        for data, job in found:
            if job is not None:
                allowed = reaches if job.asks else leave
                if not allowed:
                    data = b""
                elif job.needs_leave(data, fresh):
                    data = job.again(now)
                if not data:
                    del self.jobs[job.id]
                    job.over, job.connection = True, None
                    job.ended(Status.MOOT, Ran.NEVER)
                    continue
            out.append((data, job))
        return out

    def _keep(self, out: list[tuple[bytes, Job | None]], sent: int) -> None:
        """The kernel took only so many bytes."""
        self._blocked = True
        cut, gone = sent, 0  # bytes of the one that is cut, and how many went whole
        while cut >= len(out[gone][0]):
            cut -= len(out[gone][0])
            gone += 1
        rest = out[gone + (cut > 0) :]
        for _, job in rest:
            if job is not None:
                job.waited = True
        self._out = rest + self._out
        if cut:
            try:
                self._stream.write(out[gone][0][cut:]).add_done_callback(self._unblock)
            except (StreamClosedError, StreamBufferFullError):
                self._stream.close()
        else:
            asyncio.get_running_loop().call_later(AGAIN_S, self._unblock)

    def _unblock(self, written: asyncio.Future[None] | None = None) -> None:
        if written is not None and not written.cancelled():
            written.exception()  # the stream's end is the reader's matter
        self._blocked = False
        if not self.over:
            self.owner.dirty(self)

    def _answer(self, answer: Answer) -> None:
        job = self.jobs.get(answer[0])
        if job is None:
            return  # late, a second copy, or nobody's: passed over
        job.answered(answer)
        del self.jobs[answer[0]]
        job.over, self.used = True, self.heard

    def keep_alive(self) -> None:
        """Have the worker answer, so that neither end takes the connection for unused."""
        self.used = time.monotonic()
        self._out.append((codec.hello(KEEP_ALIVE_TAG), None))
        self.owner.dirty(self)

    def give_up(self, job: Job) -> None:
        """Nothing more is wanted of a job."""
        del self.jobs[job.id]
        if not job.written:
            self._out = [one for one in self._out if one[1] is not job]
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
        self._closed = True
        if self._stream is not None:
            self._stream.close()

    def _end(self, why: str) -> None:
        self.over = True
        self.close()
        if not self.opened.done():
            self.opened.set_result(self.failed_here)
        jobs, self.jobs, self._out = list(self.jobs.values()), {}, []
        self.owner.closed(self, why, jobs)
