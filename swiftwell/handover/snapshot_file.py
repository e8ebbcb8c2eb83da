"""The module's books on disk, written now and then for a crash, and read at the next start."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import xxhash

from swiftwell.discovery.saved import boot_id
from swiftwell.handover import crash, snapshot

MAGIC = b"SWBOOKS1"


class SavedSnapshot(msgspec.Struct):
    """Books with what tells their age."""

    boot: str
    mono_us: int
    books: snapshot.RouterSnapshot
    anchor_us: int = 0  # wall clock less steady clock, as that process had it; 0 is untold


def encode(kept: SavedSnapshot) -> bytes:
    """As a file's bytes."""
    body = msgspec.msgpack.encode(kept)
    return MAGIC + xxhash.xxh3_64_digest(body) + body


def decode(raw: bytes) -> SavedSnapshot:
    """And back; raises ValueError with what is wrong."""
    body = raw[16:]
    if raw[:8] != MAGIC or len(raw) < 16:
        raise ValueError("not written by this program, or cut short")
    if xxhash.xxh3_64_digest(body) != raw[8:16]:
        raise ValueError("damaged, its checksum is wrong")
    try:
        return msgspec.msgpack.decode(body, type=SavedSnapshot)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None


class SnapshotFile:
    """The file of one gateway.  A failure to write is told once; calls do not wait for it."""

    def __init__(self, folder: Path, log: Callable[..., None], post: Callable[..., None]) -> None:
        self._path, self._log, self._post = folder / "books", log, post
        self._boot = boot_id()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="books")
        self._busy, self._at, self._told = False, 0, ""

    def load(self, now_us: int, anchor_us: int = 0) -> snapshot.RouterSnapshot | None:
        """What a start now may believe of the last books."""
        try:
            kept = decode(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._log("warning", "books-unusable", file=str(self._path), why=str(error))
            return None
        same = bool(kept.boot) and kept.boot == self._boot
        age = now_us - kept.mono_us
        shift = kept.anchor_us - anchor_us if kept.anchor_us and anchor_us else 0
        believed = crash.usable_part(kept.books, age, same, shift)
        workers = len(believed.workers) if believed else 0
        self._log("info", "books", age_s=round(age / 1e6, 1), workers=workers, same_boot=same)
        return believed

    def write_if_due(
        self, now_us: int, take: Callable[[], snapshot.RouterSnapshot], anchor_us: int = 0
    ) -> None:
        """Write what `take` gives, if it is time: books without calls, which a start could not believe."""
        if self._busy or now_us - self._at < crash.WRITE_INTERVAL_US:
            return
        self._busy, self._at = True, now_us
        self._pool.submit(self._write, SavedSnapshot(self._boot, now_us, take(), anchor_us))

    def _write(self, kept: SavedSnapshot) -> None:
        why = ""
        try:
            part = self._path.with_suffix(".part")
            part.write_bytes(encode(kept))  # not synced: they are for a kill, not for a loss of power
            os.replace(part, self._path)
        except OSError as error:
            why = f"{self._path}: {error.strerror or error}"
        self._post(lambda: self._written(why))

    def _written(self, why: str) -> None:
        self._busy = False
        if why and why != self._told:
            self._log("warning", "books-not-written", why=why)
        self._told = why

    def close(self) -> None:
        """Wait for a writing that is under way."""
        self._pool.shutdown(wait=True)
