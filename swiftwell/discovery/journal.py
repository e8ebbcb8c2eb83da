"""Client of the journal service, which streams numbered events of the worker list.

Events come as binary frames from the service and as JSON in the configuration.  `FrameDecoder` turns bytes
into events, `EventSequence` drops repeated events and detects gaps, and `WorkerAddresses` holds where each
worker is; none of them does I/O.  `JournalClient` keeps a connection and resumes after the last whole event.
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

MAX_FRAME_RECORDS = 20_000  # far more workers than a tier has
SILENCE_TIMEOUT_S = SOURCE_TIMEOUT_US / 1e6  # without a frame, of which one a second is promised
MIN_CONFIRMING_AGE_S = 0.5  # age of a connection from which its empty frames count; the first proves nothing
MIN_PROGRESS_BYTES = 4_096  # of a frame within the silence timeout, else it is silence; about 150 workers
READ_BYTES = 16_384  # per read, which may hold 600 workers
POLL_INTERVAL_S = 0.1  # between checks for silence
RETRY_DELAY_RANGE_S = (0.02, 0.1)  # a missed update may count as delivered 2 s after a break
CONNECT_TIMEOUT_S = 0.5
MIN_STABLE_S = 1.0  # lifetime of a connection that resets the back-off
MAX_RETRY_DELAY_S = 1.0  # where the service rejects connections again and again

_HEADER = Struct(">IQB")
_FRAME_HEAD_BYTES = 9  # number and kind, which a frame's length includes
_RECORD = Struct(">I4sHBBBHIQ")
EMPTY, FULL_LIST, CHANGES = 0, 1, 2  # kinds of frames
_STATES = (State.READY, State.DRAINING, State.GONE)
_STATE_BY_STATUS = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}


class FrameError(ValueError):
    """Invalid frames; nothing later on the connection can be decoded."""


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker in an event; `since_ms` is when a late starter started, Unix ms, or 0."""

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
    """Event `number`: the full list, or the workers that have changed."""

    number: int
    is_full_list: bool
    workers: tuple[Worker, ...]


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT; raises ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host, int(port)


def parse_events(document: dict[str, Any]) -> tuple[Event, ...]:
    """The events that the configuration holds for the start; raises ValueError."""
    events, last_number = [], document.get("pos")
    if not isinstance(last_number, int) or not isinstance(document.get("entries"), list):
        raise ValueError("expected pos, a number, and entries, a list")
    for index, entry in enumerate(document["entries"]):
        try:
            hosts = entry["hosts"]
            workers = tuple(_parse_worker(endpoint) for endpoint in hosts["endpoints"])
            events.append(Event(int(entry["pos"]), bool(hosts["snapshot"]), workers))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"entries.{index}: {type(error).__name__} {error}") from None
        except ValueError as error:
            raise ValueError(f"entries.{index}: {error}") from None
    if events and events[-1].number != last_number:
        raise ValueError(f"pos is {last_number}, expected {events[-1].number}, the last entry's")
    return tuple(events)


def _parse_worker(endpoint: dict[str, Any]) -> Worker:
    state = _STATE_BY_STATUS.get(endpoint["status"])
    if state is None:
        raise ValueError(f"status {endpoint['status']!r}, expected one of {', '.join(_STATE_BY_STATUS)}")
    address = parse_address(endpoint["address"])
    weight, since_ms = float(endpoint.get("weight", 1.0)), float(endpoint.get("since_ms", 0))
    return Worker(
        str(endpoint["name"]), address, state, str(endpoint.get("zone", "")), str(endpoint.get("type", "")),
        int(endpoint.get("group", 0)), weight, since_ms,
    )  # fmt: skip


class FrameDecoder:
    """Decodes the bytes of one connection into events; `None` stands for an empty frame."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._zones, self._kinds = zones, kinds
        self._buffer = bytearray()
        self.latest_number = 0  # the service's last event, by the last empty frame

    def feed(self, data: bytes) -> list[Event | None]:
        """Takes received bytes and returns the events that are complete; raises FrameError."""
        buffer, events = self._buffer, []
        buffer += data
        while len(buffer) >= _HEADER.size:
            length, number, kind = _HEADER.unpack_from(buffer)
            if not _FRAME_HEAD_BYTES <= length <= _FRAME_HEAD_BYTES + MAX_FRAME_RECORDS * _RECORD.size:
                raise FrameError(f"invalid frame length: {length} bytes")
            size = length - _FRAME_HEAD_BYTES
            if kind > CHANGES or size % _RECORD.size or (kind == EMPTY and size):
                raise FrameError(f"invalid frame: kind {kind} with {size} bytes of records")
            if len(buffer) < 4 + length:
                break
            if kind == EMPTY:
                self.latest_number = number
                events.append(None)
            else:
                records = _RECORD.iter_unpack(bytes(buffer[_HEADER.size : 4 + length]))
                events.append(Event(number, kind == FULL_LIST, tuple(map(self._worker, records))))
            del buffer[: 4 + length]
        return events

    def _worker(self, record: tuple) -> Worker:
        id_, host, port, state, zone, kind, cell, weight, since_ms = record
        if state >= len(_STATES) or zone >= len(self._zones) or kind >= len(self._kinds) or not port:
            raise FrameError(
                f"invalid record of worker s-{id_:08x}: state {state}, zone {zone}, kind {kind}, port {port}"
            )
        return Worker(
            f"s-{id_:08x}", (socket.inet_ntoa(host), port), _STATES[state], self._zones[zone],
            self._kinds[kind], cell, weight / 1_000, float(since_ms),
        )  # fmt: skip


class EventSequence:
    """Accepts each event number once and in order."""

    def __init__(self) -> None:
        self.last_number = 0  # of the last accepted event
        self.duplicates = 0

    def accept(self, event: Event) -> bool:
        """Whether an event is new; raises FrameError if one before it is missing."""
        if event.number <= self.last_number:
            self.duplicates += 1
            return False
        if event.number != self.last_number + 1 and not event.is_full_list:
            raise FrameError(
                f"event {event.number} follows {self.last_number}; events in between are missing"
            )
        self.last_number = event.number
        return True


class WorkerAddresses:
    """Address and state of each worker, by id: an address may later belong to another worker."""

    def __init__(self) -> None:
        self._addresses: dict[str, tuple[str, int]] = {}
        self._draining: set[str] = set()

    def __len__(self) -> int:
        return len(self._addresses)

    def get(self, worker: str) -> tuple[str, int] | None:
        return self._addresses.get(worker)

    def apply(self, event: Event) -> list[str]:
        """Applies an event and returns the workers that it removes."""
        gone = [worker.id for worker in event.workers if worker.state is State.GONE]
        if event.is_full_list:
            listed = {worker.id for worker in event.workers}
            gone += [worker for worker in self._addresses if worker not in listed]
        self._addresses |= {worker.id: worker.address for worker in event.workers}
        for worker in event.workers:
            (self._draining.add if worker.state is State.DRAINING else self._draining.discard)(worker.id)
        for worker in gone:
            self._addresses.pop(worker, None)
            self._draining.discard(worker)
        return gone

    def is_ready(self, worker: str) -> bool:
        """Whether the list allows new calls to a worker."""
        return worker in self._addresses and worker not in self._draining


class JournalClient:
    """Follows the service until cancelled; `on_event` takes each new event.

    `staleness` is kept up to date; `read_until_us` gives the monotonic us up to which all received bytes have
    been read.
    """

    def __init__(
        self,
        address: tuple[str, int],
        new_decoder: Callable[[], FrameDecoder],
        on_event: Callable[[Event], None],
        log: Callable[..., None],
        random_: random.Random,
        staleness: ListStaleness | None = None,
        read_until_us: Callable[[], int] = lambda: time.monotonic_ns() // 1_000,
    ) -> None:
        self.address, self._new_decoder, self._on_event, self._log, self._random = (
            address,
            new_decoder,
            on_event,
            log,
            random_,
        )
        self._staleness, self._read_until_us = staleness or ListStaleness(read_until_us()), read_until_us
        self.sequence = EventSequence()
        self.connections = 0
        self._stream: TcpStream | None = None
        self._failures = 0
        self._address_changed = asyncio.Event()
        self._confirms_list = True  # whether empty frames on the current connection confirm the list
        self._requested_number = 0  # last missing event for which a connection was renewed

    def apply_initial(self, events: Iterable[Event]) -> None:
        """Takes the events of a configuration and skips those already accepted.

        The first event that leaves a gap ends it: its changes don't apply to the list held here, and the
        service sends everything after the last accepted number.
        """
        for event in events:
            try:
                is_new = self.sequence.accept(event)
            except FrameError as error:
                self._log("warning", "journal-gap", why=str(error), held=self.sequence.last_number)
                return
            if is_new:
                self._on_event(event)

    def stop_confirming(self) -> None:
        """Ignores empty frames of the current connection as confirmations: the service may have moved."""
        self._confirms_list = False

    def reconnect(self, address: tuple[str, int]) -> None:
        """Connects to the service at this address and resumes after the last accepted event."""
        self.address, self._failures = address, 0
        self._address_changed.set()  # also ends a back-off, which was for the other address
        if self._stream:
            self._stream.close()

    async def run(self) -> None:
        """Keeps a connection until cancelled."""
        while True:
            began = time.monotonic()
            self._address_changed.clear()
            try:
                reason = await self._follow()
            except Exception as error:  # if this task ended, the list would never change again
                reason = f"failed: {type(error).__name__}: {error}"
            lifetime_s = time.monotonic() - began
            self._failures = 0 if lifetime_s >= MIN_STABLE_S else self._failures + 1
            self._log(
                "info",
                "journal-left",
                at=f"{self.address[0]}:{self.address[1]}",
                why=reason,
                held=self.sequence.last_number,
            )
            delay_s = self._random.uniform(*RETRY_DELAY_RANGE_S) * 2 ** min(self._failures, 8)
            # Not `wait_for`, which loses a cancellation that comes as the event is set (Python 3.11).
            with suppress(TimeoutError):
                async with asyncio.timeout(min(delay_s, MAX_RETRY_DELAY_S)):
                    await self._address_changed.wait()

    async def _follow(self) -> str:
        """Follows one connection from the last accepted number to its end; returns why it ended."""
        self.connections += 1
        self._confirms_list = True
        try:
            stream = self._stream = TcpStream()
        except OSError as error:  # no descriptor; one may be free at the next try
            return f"{type(error).__name__}: {error}"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(self.address)
            stream.set_nodelay(True)
            self._staleness.connection_seen(self._read_until_us())
            stream.write(self.sequence.last_number.to_bytes(8, "big"))
            return await self._read(stream, self._new_decoder())
        except (OSError, TimeoutError, StreamClosedError) as error:
            if not self._address_changed.is_set() and not is_local(cause_of(error)):
                self._staleness.connection_broken()
            return f"{type(error).__name__}: {error}"
        except FrameError as error:
            self._staleness.connection_broken()
            return str(error)
        finally:
            stream.close()
            if self._stream is stream:
                self._stream = None

    async def _read(self, stream: TcpStream, decoder: FrameDecoder) -> str:
        reading, silent_s, checked_at, progress_bytes = None, 0.0, time.monotonic(), 0
        connected_at, has_frame = checked_at, False
        try:
            while True:
                reading = reading or asyncio.ensure_future(_read_some(stream))
                done, _ = await asyncio.wait((reading,), timeout=POLL_INTERVAL_S)
                # A stall of this process counts for one interval: what came meanwhile is read only after it.
                now = time.monotonic()
                silent_s, checked_at = silent_s + min(now - checked_at, POLL_INTERVAL_S), now
                if done:
                    data, reading = reading.result(), None
                    events, progress_bytes = decoder.feed(data), progress_bytes + len(data)
                    # A long list may take its time, but a frame that trickles in is silence.
                    if events or progress_bytes >= MIN_PROGRESS_BYTES:
                        silent_s, progress_bytes = 0.0, 0
                    for event in events:
                        self._take(event)
                    if (
                        has_frame
                        and now - connected_at >= MIN_CONFIRMING_AGE_S
                        and events
                        and events[-1] is None
                    ):
                        self._confirm_list(decoder.latest_number)
                    has_frame = has_frame or bool(events)
                self._staleness.connection_seen(self._read_until_us())
                # An empty frame names an event that never came.  The connection is renewed only once for each
                # such number, as the protocol does not say that it is the number of the last event.
                if decoder.latest_number > max(self.sequence.last_number, self._requested_number):
                    self._requested_number = decoder.latest_number
                    return f"events up to {decoder.latest_number} are missing"
                if silent_s > SILENCE_TIMEOUT_S:
                    return "silent"
        finally:
            if reading:
                reading.cancel()

    def _take(self, event: Event | None) -> None:
        last_number = self.sequence.last_number
        if event is None or not self.sequence.accept(event):
            return
        try:
            self._on_event(event)
        except Exception:  # the event was not applied, so it must be requested again
            self.sequence.last_number = last_number
            raise

    def _confirm_list(self, latest_number: int) -> None:
        """Handles an empty frame, by which no event follows `latest_number`.

        The first frame of a connection confirms nothing: a service that breaks off again and again sends one.
        """
        if self._confirms_list and latest_number == self.sequence.last_number:
            self._staleness.confirm(self._read_until_us())


async def _read_some(stream: TcpStream) -> bytes:
    return await stream.read_bytes(READ_BYTES, partial=True)
