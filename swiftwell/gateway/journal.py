"""The journal of the ledger on disk: an append-only log in segments, with group commit.

A record is `magic(2) length(4) xxh3_64(8) body`, its body msgpack of `effects.Record`.  At the start all
segments are
read.  What can't be read at the very end of the last segment is the write that a kill cut short: it is cut
off.
Unreadable bytes with a readable record behind them are damage: they are told, and the ledger knows that keys
may be missing (docs/notes/ledger.md weighs this against SQLite and LMDB, whose recovery takes the first bad
frame for
the end).
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
HEAD = struct.Struct(">2sIQ")
MOST_RECORD = 1 << 20  # bytes: longer lengths are damage; the answers kept are far shorter
SEGMENT = 8 << 20  # bytes after which a new segment is begun with what still holds


class JournalError(Exception):
    """The journal can't be opened or written; the text names the file and what to do."""


@dataclass(frozen=True, slots=True)
class Damage:
    """Unreadable bytes inside a segment; lost records are not younger than `until_us`."""

    file: str
    offset: int
    length: int
    until_us: int


def encode(record: Record) -> bytes:
    """A record as it lies on disk."""
    body = msgspec.msgpack.encode(record)
    return HEAD.pack(MAGIC, len(body), xxhash.xxh3_64_intdigest(body)) + body


def _at(data: bytes, offset: int) -> tuple[Record, int] | None:
    """The record at an offset and where it ends, if a whole and sound one stands there."""
    if offset + HEAD.size > len(data):
        return None
    magic, length, digest = HEAD.unpack_from(data, offset)
    end = offset + HEAD.size + length
    if magic != MAGIC or length > MOST_RECORD or end > len(data):
        return None
    body = data[offset + HEAD.size : end]
    if xxhash.xxh3_64_intdigest(body) != digest:
        return None
    try:
        return msgspec.msgpack.decode(body, type=Record), end
    except msgspec.DecodeError:
        return None


def scan(data: bytes) -> Iterator[tuple[int, int, Record | None]]:
    """The stretches of a segment: (start, end, record), with None for unreadable ones."""
    offset = 0
    while offset < len(data):
        found = _at(data, offset)
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
            if _at(data, offset):
                yield start, offset, None
                break


class Journal:
    """The log of one ledger, in a folder of its own that one process may hold at a time.

    `append` returns a number; `on_durable(number)` is called, on the caller's thread through `post`, once
    all records up
    to it are on disk, and `on_failure(text)` when the disk fails.  Records that come while a commit is under
    way share the next one.
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
        self._waiting: list[bytes] = []
        self._number = 0  # of the last record taken
        self._busy = False
        self._fd = -1
        self._segment = 0
        self._size = 0
        self._base = 0  # size of the segment when it was begun: what still held then
        self._lock = -1
        self.commits = 0
        self.failed = ""

    def open(self) -> tuple[list[Record], list[Damage]]:
        """Lock the folder, read what is there, cut off a torn end, and stand ready to append.

        Raises JournalError where the folder can't be used or another process holds it.
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
            return self._read()
        except OSError as error:
            raise JournalError(f"{error.filename or self._folder}: {error.strerror}") from None

    def _read(self) -> tuple[list[Record], list[Damage]]:
        records: list[Record] = []
        damages: list[Damage] = []
        names = sorted(self._folder.glob("*.log"))
        for name in names:
            data, open_damage = name.read_bytes(), None
            for start, end, record in scan(data):
                if record is None:
                    open_damage = (start, end)
                    continue
                if open_damage:  # a sound record behind it: not a torn end
                    damages.append(
                        Damage(str(name), open_damage[0], open_damage[1] - open_damage[0], record.at_us)
                    )
                    open_damage = None
                records.append(record)
            if open_damage and name == names[-1]:
                with open(name, "r+b") as file:
                    file.truncate(open_damage[0])
                    os.fsync(file.fileno())
            elif open_damage:  # the end of a segment that was closed whole
                until = max((r.at_us for r in records), default=0)
                damages.append(Damage(str(name), open_damage[0], open_damage[1] - open_damage[0], until))
        self._segment = int(names[-1].stem) if names else 0
        if names:
            self._fd = os.open(names[-1], os.O_WRONLY | os.O_APPEND)
            self._size = os.fstat(self._fd).st_size
        else:
            self._begin([])
        return records, damages

    @property
    def busy(self) -> bool:
        """Something is not on disk yet."""
        return self._busy or (bool(self._waiting) and not self.failed)

    def adopt(self, lock: int, segment: int, number: int) -> None:
        """Go on with a journal that another process had, by its lock; it writes no more.  Raises OSError.

        `number` is that of its last record: an engine that counts on goes on waiting for the same numbers.
        """
        self._lock, self._segment, self._number = lock, segment, number
        self._fd = os.open(self._folder / f"{segment:08d}.log", os.O_WRONLY | os.O_APPEND)
        self._size = self._base = os.fstat(self._fd).st_size

    def _begin(self, records: list[Record]) -> None:
        """Begin a segment with what still holds, then drop the older ones: in that order, so a kill loses
        nothing."""
        old = sorted(self._folder.glob("*.log"))
        path = self._folder / f"{self._segment + 1:08d}.log"
        part = path.with_suffix(".part")
        blob = b"".join(map(encode, records))
        fd = os.open(part, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
        try:
            _write(fd, blob)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(part, path)
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        fd = os.open(path, os.O_WRONLY | os.O_APPEND)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._segment, self._size, self._base = fd, self._segment + 1, len(blob), len(blob)
        for name in old:
            name.unlink()

    def append(self, record: Record) -> int:
        """Take a record for the next commit."""
        self._number += 1
        self._waiting.append(encode(record))
        return self._number

    def flush(self) -> None:
        """Start a commit of what waits, unless one is under way; call once per turn of the loop."""
        if self._busy or not self._waiting or self.failed:
            return
        batch, self._waiting, self._busy = b"".join(self._waiting), [], True
        # The snapshot is taken here, on the ledger's own thread; it holds the batch's records already.
        turn = self._snapshot() if self._size + len(batch) > max(SEGMENT, 2 * self._base) else None
        self._pool.submit(self._commit, batch, self._number, turn)

    def _commit(self, batch: bytes, number: int, turn: list[Record] | None) -> None:
        try:
            if turn is not None:
                self._begin(turn)
            else:
                _write(self._fd, batch)
                os.fdatasync(self._fd)
                self._size += len(batch)
            self.commits += 1
            self._post(lambda: self._done(number))
        except OSError as error:
            text = f"{self._folder}: {error.strerror or error}"
            # A write may have gone in halfway and an fsync error is told once only: what follows
            # could not be trusted, so nothing more is written until a restart has read it all again.
            self._post(lambda: self._broken(text))

    def _done(self, number: int) -> None:
        self._busy = False
        self._on_durable(number)
        self.flush()

    def _broken(self, text: str) -> None:
        self._busy, self.failed = False, text
        self._waiting.clear()
        self._on_failure(text)

    def close(self) -> None:
        """Write what waits and let the folder go."""
        self._pool.shutdown(wait=True)
        if self._fd >= 0:
            if self._waiting and not self.failed:
                with contextlib.suppress(OSError):
                    _write(self._fd, b"".join(self._waiting))
                    os.fdatasync(self._fd)
            os.close(self._fd)
        if self._lock >= 0:
            os.close(self._lock)
        self._fd = self._lock = -1


def _write(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
