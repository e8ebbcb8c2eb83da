"""The file with the router's last snapshot: saved periodically, and read at the start after a kill."""

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


class SavedSnapshot(
    msgspec.Struct, rename={"boot_id": "boot", "captured_at_us": "mono_us", "router": "books"}
):
    """A snapshot with what its age is computed from."""

    boot_id: str
    captured_at_us: int  # monotonic
    router: snapshot.RouterSnapshot
    anchor_us: int = 0  # wall clock less monotonic clock in the process that wrote it; 0: unknown


def encode(saved: SavedSnapshot) -> bytes:
    """The bytes of the file: magic, checksum, msgpack."""
    body = msgspec.msgpack.encode(saved)
    return MAGIC + xxhash.xxh3_64_digest(body) + body


def decode(raw: bytes) -> SavedSnapshot:
    """The snapshot in the bytes of a file; raises ValueError with what is wrong."""
    body = raw[16:]
    if raw[:8] != MAGIC or len(raw) < 16:
        raise ValueError("not a snapshot file, or truncated")
    if xxhash.xxh3_64_digest(body) != raw[8:16]:
        raise ValueError("checksum mismatch")
    try:
        return msgspec.msgpack.decode(body, type=SavedSnapshot)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None


class SnapshotFile:
    """The snapshot file of one gateway.

    It is written in a thread of its own, so that calls never wait for it.  A write error is logged once until
    it changes.
    """

    def __init__(self, folder: Path, log: Callable[..., None], post: Callable[..., None]) -> None:
        self._path, self._log, self._post = folder / "books", log, post
        self._boot_id = boot_id()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="books")
        self._writing, self._written_at, self._logged_error = False, 0, ""

    def load(self, now_us: int, anchor_us: int = 0) -> snapshot.RouterSnapshot | None:
        """The part of the saved snapshot that a process starting now may use."""
        try:
            saved = decode(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._log("warning", "books-unusable", file=str(self._path), why=str(error))
            return None
        same_boot = bool(saved.boot_id) and saved.boot_id == self._boot_id
        age_us = now_us - saved.captured_at_us
        shift_us = saved.anchor_us - anchor_us if saved.anchor_us and anchor_us else 0
        usable = crash.usable_part(saved.router, age_us, same_boot, shift_us)
        workers = len(usable.workers) if usable else 0
        self._log("info", "books", age_s=round(age_us / 1e6, 1), workers=workers, same_boot=same_boot)
        return usable

    def write_if_due(
        self, now_us: int, capture: Callable[[], snapshot.RouterSnapshot], anchor_us: int = 0
    ) -> None:
        """Write the snapshot that `capture` returns, if a write is due.  It needs no calls: after a kill
        their outcome is unknown, so they are not restored."""
        if self._writing or now_us - self._written_at < crash.WRITE_INTERVAL_US:
            return
        self._writing, self._written_at = True, now_us
        self._pool.submit(self._write, SavedSnapshot(self._boot_id, now_us, capture(), anchor_us))

    def _write(self, saved: SavedSnapshot) -> None:
        problem = ""
        try:
            temporary = self._path.with_suffix(".part")
            temporary.write_bytes(encode(saved))  # no fsync: it has to survive a kill, not a power loss
            os.replace(temporary, self._path)
        except OSError as error:
            problem = f"{self._path}: {error.strerror or error}"
        self._post(lambda: self._on_written(problem))

    def _on_written(self, problem: str) -> None:
        self._writing = False
        if problem and problem != self._logged_error:
            self._log("warning", "books-not-written", why=problem)
        self._logged_error = problem

    def close(self) -> None:
        """Wait for a write in progress."""
        self._pool.shutdown(wait=True)
