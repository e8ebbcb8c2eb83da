"""The journal service: events of the list of workers, numbered, as frames and as JSON.

`Frames` turns bytes into events, `Feed` says which of them are news, `Addresses` knows where a worker is;
none of them does I/O.  `Client` keeps a connection and asks again from the last whole event.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from struct import Struct
from typing import Any

from tornado.iostream import StreamClosedError

from swiftwell.discovery.staleness import SOURCE_TIMEOUT_US, ListStaleness
from swiftwell.interface import State
from swiftwell.sockets import TcpStream, cause_of, is_local

MOST_RECORDS = 20_000  # records of a frame: a list of so many workers is far beyond a tier
SILENT_S = SOURCE_TIMEOUT_US / 1e6  # s without a frame, one a second is promised: the service has stopped
SETTLED_S = 0.5  # s that a connection must stand for its word that nothing is new: the first costs nothing
LEAST_PROGRESS = 4_096  # bytes of a frame within that time that show that it comes: 150 workers of thousands
LOOK_S = 0.1  # s between looks at it
AGAIN_S = (0.02, 0.1)  # s before asking again; what was missed may count as told 2 s after a break
CONNECT_S = 0.5  # s until a connection counts as failed
LIVED_S = 1.0  # s that a connection must have lived to be asked for again at once
MOST_AGAIN_S = 1.0  # s between tries at most, where the service turns us away again and again

_HEAD = Struct(">IQB")
_AFTER_LENGTH = 9  # bytes of number and kind
_RECORD = Struct(">I4sHBBBHIQ")
NOTHING, WHOLE, CHANGES = 0, 1, 2
_STATES = (State.READY, State.DRAINING, State.GONE)
_WORDS = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}


class FrameError(ValueError):
    """Bytes that are no frames: the connection can't be trusted any more."""


@dataclass(frozen=True, slots=True)
class Worker:
    """One worker as the journal tells it; `since_ms` is the Unix millisecond of a late start, or 0."""

    id: str
    address: tuple[str, int]
    state: State
    zone: str
    kind: str
    cell: int
    weight: float
    since_ms: float


@dataclass(frozen=True, slots=True)
class Event:
    """Event `number`: the whole list, or what has changed."""

    number: int
    whole: bool
    workers: tuple[Worker, ...]


def address(text: str) -> tuple[str, int]:
    """HOST:PORT; raises ValueError."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def known(found: dict[str, Any]) -> tuple[Event, ...]:
    """The events of the start, as the configuration keeps them; raises ValueError."""
    events, last = [], found.get("pos")
    if not isinstance(last, int) or not isinstance(found.get("entries"), list):
        raise ValueError("expected pos, a number, and entries, a list")
    for at, one in enumerate(found["entries"]):
        try:
            hosts = one["hosts"]
            workers = tuple(_from_json(entry) for entry in hosts["endpoints"])
            events.append(Event(int(one["pos"]), bool(hosts["snapshot"]), workers))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"entries.{at}: {type(error).__name__} {error}") from None
        except ValueError as error:
            raise ValueError(f"entries.{at}: {error}") from None
    if events and events[-1].number != last:
        raise ValueError(f"pos is {last}, expected {events[-1].number}, the last entry's")
    return tuple(events)


def _from_json(entry: dict[str, Any]) -> Worker:
    state = _WORDS.get(entry["status"])
    if state is None:
        raise ValueError(f"status {entry['status']!r}, expected one of {', '.join(_WORDS)}")
    at = address(entry["address"])
    weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms", 0))
    return Worker(
        str(entry["name"]), at, state, str(entry.get("zone", "")), str(entry.get("type", "")),
        int(entry.get("group", 0)), weight, since,
    )  # fmt: skip


class Frames:
    """Bytes of one connection into events; `None` stands for an empty frame."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._zones, self._kinds = zones, kinds
        self._rest = bytearray()
        self.told = 0  # number of the last event, by the last empty frame

    def feed(self, data: bytes) -> list[Event | None]:
        """Raises FrameError."""
        rest, found = self._rest, []
        rest += data
        while len(rest) >= _HEAD.size:
            length, number, kind = _HEAD.unpack_from(rest)
            if not _AFTER_LENGTH <= length <= _AFTER_LENGTH + MOST_RECORDS * _RECORD.size:
                raise FrameError(f"a frame of {length} bytes")
            size = length - _AFTER_LENGTH
            if kind > CHANGES or size % _RECORD.size or (kind == NOTHING and size):
                raise FrameError(f"a frame of kind {kind} with {size} bytes")
            if len(rest) < 4 + length:
                break
            if kind == NOTHING:
                self.told = number
                found.append(None)
            else:
                records = _RECORD.iter_unpack(bytes(rest[_HEAD.size : 4 + length]))
                found.append(Event(number, kind == WHOLE, tuple(map(self._worker, records))))
            del rest[: 4 + length]
        return found

    def _worker(self, record: tuple) -> Worker:
        id_, at, port, state, zone, kind, cell, weight, started = record
        if state >= len(_STATES) or zone >= len(self._zones) or kind >= len(self._kinds) or not port:
            raise FrameError(f"a record of worker s-{id_:08x} that can't be used")
        return Worker(
            f"s-{id_:08x}", (socket.inet_ntoa(at), port), _STATES[state], self._zones[zone],
            self._kinds[kind], cell, weight / 1_000, float(started),
        )  # fmt: skip


class Feed:
    """Which events are news: each number once, in order."""

    def __init__(self) -> None:
        self.held = 0  # number of the last event
        self.repeated = 0

    def take(self, event: Event) -> bool:
        """Whether an event is news; raises FrameError where one before it is missing."""
        if event.number <= self.held:
            self.repeated += 1
            return False
        if event.number != self.held + 1 and not event.whole:
            raise FrameError(f"event {event.number} after {self.held}")
        self.held = event.number
        return True


class Addresses:
    """Where each worker is.  Workers are known by id: an address may be another's later."""

    def __init__(self) -> None:
        self._of: dict[str, tuple[str, int]] = {}
        self._draining: set[str] = set()

    def __len__(self) -> int:
        return len(self._of)

    def get(self, worker: str) -> tuple[str, int] | None:
        return self._of.get(worker)

    def take(self, event: Event) -> list[str]:
        """Learn from an event; the workers that are gone by it."""
        gone = [worker.id for worker in event.workers if worker.state is State.GONE]
        if event.whole:
            named = {worker.id for worker in event.workers}
            gone += [worker for worker in self._of if worker not in named]
        self._of |= {worker.id: worker.address for worker in event.workers}
        for worker in event.workers:
            (self._draining.add if worker.state is State.DRAINING else self._draining.discard)(worker.id)
        for worker in gone:
            self._of.pop(worker, None)
            self._draining.discard(worker)
        return gone

    def ready(self, worker: str) -> bool:
        """Whether new work may go to a worker, by the last word of it."""
        return worker in self._of and worker not in self._draining


class Client:
    """Follows the service for ever; `tell` takes each event that is news.

    `staleness` learns how the list stands; `seen_us` gives the monotonic us up to which all that came has
    been read.
    """

    def __init__(
        self,
        at: tuple[str, int],
        frames: Callable[[], Frames],
        tell: Callable[[Event], None],
        log: Callable[..., None],
        chance: random.Random,
        staleness: ListStaleness | None = None,
        seen_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000,
    ) -> None:
        self.at, self._frames, self._tell, self._log, self._chance = at, frames, tell, log, chance
        self._staleness, self._seen_us = staleness or ListStaleness(seen_us()), seen_us
        self.feed = Feed()
        self.connections = 0
        self._stream: TcpStream | None = None
        self._failures = 0
        self._moved = asyncio.Event()
        self._trusted = True  # what the service says on the connection at hand shows how the list stands
        self._missed = 0  # number up to which events were missed and asked for again

    def start(self, events: Iterable[Event]) -> None:
        """Take the events of a configuration; those already held are passed over.

        One that does not follow what is held ends it: its changes would be taken for a list that they are not
        of, and the service tells all from the number held.
        """
        for event in events:
            try:
                news = self.feed.take(event)
            except FrameError as error:
                self._log("warning", "journal-gap", why=str(error), held=self.feed.held)
                return
            if news:
                self._tell(event)

    def distrust(self) -> None:
        """The service may have moved: what the connection at hand says shows nothing any more."""
        self._trusted = False

    def move(self, at: tuple[str, int]) -> None:
        """The service has another address: ask there, from the last event held."""
        self.at, self._failures = at, 0
        self._moved.set()  # also out of a rest between two tries: it was for the other address
        if self._stream:
            self._stream.close()

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            began = time.monotonic()
            self._moved.clear()
            try:
                why = await self._follow()
            except Exception as error:  # a watch that ended for good would be a list that never changes again
                why = f"failed: {type(error).__name__}: {error}"
            lived = time.monotonic() - began
            self._failures = 0 if lived >= LIVED_S else self._failures + 1
            self._log("info", "journal-left", at=f"{self.at[0]}:{self.at[1]}", why=why, held=self.feed.held)
            wait = self._chance.uniform(*AGAIN_S) * 2 ** min(self._failures, 8)
            # Not `wait_for`: one whose event is set as it is cancelled forgets that it was (Python 3.11).
            with suppress(TimeoutError):
                async with asyncio.timeout(min(wait, MOST_AGAIN_S)):
                    await self._moved.wait()

    async def _follow(self) -> str:
        """One connection, from the number held to its end; why it ended."""
        self.connections += 1
        self._trusted = True
        try:
            stream = self._stream = TcpStream()
        except OSError as error:  # no descriptor: later there may be one
            return f"{type(error).__name__}: {error}"
        try:
            async with asyncio.timeout(CONNECT_S):
                await stream.connect(self.at)
            stream.set_nodelay(True)
            self._staleness.connection_seen(self._seen_us())
            stream.write(self.feed.held.to_bytes(8, "big"))
            return await self._read(stream, self._frames())
        except (OSError, TimeoutError, StreamClosedError) as error:
            if not self._moved.is_set() and not is_local(cause_of(error)):
                self._staleness.connection_broken()
            return f"{type(error).__name__}: {error}"
        except FrameError as error:
            self._staleness.connection_broken()
            return str(error)
        finally:
            stream.close()
            if self._stream is stream:
                self._stream = None

    async def _read(self, stream: TcpStream, frames: Frames) -> str:
        reading, quiet, looked, progress = None, 0.0, time.monotonic(), 0
        asked, spoken = looked, False
        try:
            while True:
                reading = reading or asyncio.ensure_future(_some(stream))
                done, _ = await asyncio.wait((reading,), timeout=LOOK_S)
                # A stall of our own counts for one look, as what came meanwhile is read only after it.
                now = time.monotonic()
                quiet, looked = quiet + min(now - looked, LOOK_S), now
                if done:
                    data, reading = reading.result(), None
                    events, progress = frames.feed(data), progress + len(data)
                    # A long list may take its time; bytes that trickle into a frame for ever are silence.
                    if events or progress >= LEAST_PROGRESS:
                        quiet, progress = 0.0, 0
                    for event in events:
                        self._take(event)
                    if spoken and now - asked >= SETTLED_S and events and events[-1] is None:
                        self._shown_current(frames.told)
                    spoken = spoken or bool(events)
                self._staleness.connection_seen(self._seen_us())
                # "Nothing new" after an event that never came: a watch that only sounds alive.  Asked anew
                # once for each such number, as the page does not say that an empty frame's number means it.
                if frames.told > max(self.feed.held, self._missed):
                    self._missed = frames.told
                    return f"events up to {frames.told} are missing"
                if quiet > SILENT_S:
                    return "silent"
        finally:
            if reading:
                reading.cancel()

    def _take(self, event: Event | None) -> None:
        held = self.feed.held
        if event is None or not self.feed.take(event):
            return
        try:
            self._tell(event)
        except Exception:  # it was not taken: it is to be told again
            self.feed.held = held
            raise

    def _shown_current(self, last: int) -> None:
        """The service says that nothing is new after its event `last`.

        Its first frame on a connection shows nothing: a service that breaks off again and again says as much.
        """
        if self._trusted and last == self.feed.held:
            self._staleness.confirm(self._seen_us())


async def _some(stream: TcpStream) -> bytes:
    return await stream.read_bytes(65_536, partial=True)
