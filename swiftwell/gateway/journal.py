"""The journal of the ledger on disk: an append-only log in segments, with group commit.

A record is `magic(2) length(4) xxh3_64(8) body`, its body the msgpack of `effects.Record`.  All segments are
read at the start.  Unreadable bytes at the very end of the last segment are a write that was interrupted, and
are truncated.  Unreadable bytes before a readable record are damage: they are reported, so that the ledger
knows that keys may be missing (docs/notes/ledger.md compares this with SQLite and LMDB, whose recovery takes
the first bad frame for the end).
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

from swiftwell.gateway.effects import Record

MAGIC = b"\xc5\x1e"
HEADER = struct.Struct(">2sIQ")
MAX_RECORD_BYTES = 1 << 20  # longer lengths are damage; the answers kept are far shorter
SEGMENT_BYTES = 8 << 20  # size after which a new segment is begun with the records that are still valid


class JournalError(Exception):
    """The journal can't be opened or written; the text names the file and the cause."""


@dataclass(frozen=True, slots=True)
class Damage:
    """Unreadable bytes inside a segment; the lost records are not younger than `newest_us`."""

    file: str
    offset: int
    length: int
    newest_us: int


def encode(record: Record) -> bytes:
    """A record in the form that is stored on disk."""
    body = msgspec.msgpack.encode(record)
    return HEADER.pack(MAGIC, len(body), xxhash.xxh3_64_intdigest(body)) + body


def _record_at(data: bytes, offset: int) -> tuple[Record, int] | None:
    """The record at an offset and the offset of its end; None if there is no complete and valid record."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, digest = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if magic != MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[offset + HEADER.size : end]
    if xxhash.xxh3_64_intdigest(body) != digest:
        return None
    try:
        return msgspec.msgpack.decode(body, type=Record), end
    except msgspec.DecodeError:
        return None


def scan(data: bytes) -> Iterator[tuple[int, int, Record | None]]:
    """The parts of a segment as (start, end, record); the record is None for unreadable bytes."""
    offset = 0
    while offset < len(data):
        found = _record_at(data, offset)
        if found:
            yield offset, found[1], found[0]
            offset = found[1]
            continue
        start = offset
        while True:
            offset = data.find(MAGIC, offset + 1)
            if offset < 0:
                yield start, len(data), None
                return
            if _record_at(data, offset):
                yield start, offset, None
                break


class Journal:
    """The journal of one ledger, in a folder of its own that one process may hold at a time.

    `append` returns a number.  `on_durable(number)` is called through `post`, on the caller's thread, once
    all records up to that number are on disk; `on_failure(text)` is called when the disk fails.  Records that
    are appended during a commit share the next one.
    """

    def __init__(
        self,
        folder: Path,
        post: Callable[[Callable[[], None]], None],
        on_durable: Callable[[int], None],
        on_failure: Callable[[str], None],
        snapshot: Callable[[], list[Record]],
    ) -> None:
        self._folder, self._post, self._snapshot = folder, post, snapshot
        self._on_durable, self._on_failure = on_durable, on_failure
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self._pending: list[bytes] = []
        self._last_number = 0  # of the last record appended
        self._committing = False
        self._fd = -1
        self._segment = 0
        self._size = 0
        self._base_size = 0  # size of the segment when it was begun
        self._lock = -1
        self.commits = 0
        self.failed = ""

    def open(self) -> tuple[list[Record], list[Damage]]:
        """Lock the folder, read its records, truncate an incomplete last one, and prepare to append.

        Raises JournalError if the folder can't be used or another process holds it.
        """
        import fcntl

        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self._folder / "lock", os.O_CREAT | os.O_RDWR, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise JournalError(f"{self._folder}: another gateway holds this ledger") from None
        except OSError as error:
            raise JournalError(f"{self._folder}: {error.strerror}") from None
        try:
            return self._read_segments()
        except OSError as error:
            raise JournalError(f"{error.filename or self._folder}: {error.strerror}") from None

    def _read_segments(self) -> tuple[list[Record], list[Damage]]:
        records: list[Record] = []
        damages: list[Damage] = []
        names = sorted(self._folder.glob("*.log"))
        for name in names:
            data, open_damage = name.read_bytes(), None
            for start, end, record in scan(data):
                if record is None:
                    open_damage = (start, end)
                    continue
                if open_damage:  # a valid record follows: not an interrupted write
                    damages.append(
                        Damage(str(name), open_damage[0], open_damage[1] - open_damage[0], record.at_us)
                    )
                    open_damage = None
                records.append(record)
            if open_damage and name == names[-1]:
                with open(name, "r+b") as file:
                    file.truncate(open_damage[0])
                    os.fsync(file.fileno())
            elif open_damage:  # the end of a segment that was complete once
                newest_us = max((record.at_us for record in records), default=0)
                damages.append(Damage(str(name), open_damage[0], open_damage[1] - open_damage[0], newest_us))
        self._segment = int(names[-1].stem) if names else 0
        if names:
            self._fd = os.open(names[-1], os.O_WRONLY | os.O_APPEND)
            self._size = os.fstat(self._fd).st_size
        else:
            self._begin_segment([])
        return records, damages

    @property
    def busy(self) -> bool:
        """Whether a record is not on disk yet."""
        return self._committing or (bool(self._pending) and not self.failed)

    def adopt(self, lock: int, segment: int, number: int) -> None:
        """Continue the journal of a process that has stopped writing, with its lock.  Raises OSError.

        `number` is that of its last record, as the engine continues its count and waits for the same numbers.
        """
        self._lock, self._segment, self._last_number = lock, segment, number
        self._fd = os.open(self._folder / f"{segment:08d}.log", os.O_WRONLY | os.O_APPEND)
        self._size = self._base_size = os.fstat(self._fd).st_size

    def _begin_segment(self, records: list[Record]) -> None:
        """Begin a segment with the records that are still valid, then delete the older segments.

        In this order, so that a kill loses nothing.
        """
        old = sorted(self._folder.glob("*.log"))
        path = self._folder / f"{self._segment + 1:08d}.log"
        temporary = path.with_suffix(".part")
        data = b"".join(map(encode, records))
        fd = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temporary, path)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        fd = os.open(path, os.O_WRONLY | os.O_APPEND)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._segment, self._size, self._base_size = fd, self._segment + 1, len(data), len(data)
        for name in old:
            name.unlink()

    def append(self, record: Record) -> int:
        """Add a record to the next commit."""
        self._last_number += 1
        self._pending.append(encode(record))
        return self._last_number

    def flush(self) -> None:
        """Start a commit of the pending records, unless one is running; called once per loop iteration."""
        if self._committing or not self._pending or self.failed:
            return
        batch, self._pending, self._committing = b"".join(self._pending), [], True
        # The snapshot is taken here, on the ledger's own thread; it includes the batch's records already.
        snapshot = (
            self._snapshot() if self._size + len(batch) > max(SEGMENT_BYTES, 2 * self._base_size) else None
        )
        self._pool.submit(self._commit, batch, self._last_number, snapshot)

    def _commit(self, batch: bytes, number: int, snapshot: list[Record] | None) -> None:
        try:
            if snapshot is not None:
                self._begin_segment(snapshot)
            else:
                _write_all(self._fd, batch)
                os.fdatasync(self._fd)
                self._size += len(batch)
            self.commits += 1
            self._post(lambda: self._on_committed(number))
        except OSError as error:
            text = f"{self._folder}: {error.strerror or error}"
            # A write may be partial, and the kernel reports an fsync error only once.  What follows could not
            # be trusted, so nothing more is written until a restart has read everything again.
            self._post(lambda: self._on_write_error(text))

    def _on_committed(self, number: int) -> None:
        self._committing = False
        self._on_durable(number)
        self.flush()

    def _on_write_error(self, text: str) -> None:
        self._committing, self.failed = False, text
        self._pending.clear()
        self._on_failure(text)

    def close(self) -> None:
        """Write the pending records and release the folder."""
        self._pool.shutdown(wait=True)
        if self._fd >= 0:
            if self._pending and not self.failed:
                with contextlib.suppress(OSError):
                    _write_all(self._fd, b"".join(self._pending))
                    os.fdatasync(self._fd)
            os.close(self._fd)
        if self._lock >= 0:
            os.close(self._lock)
        self._fd = self._lock = -1


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
