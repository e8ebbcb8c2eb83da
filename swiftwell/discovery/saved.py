"""File format of the saved worker list: two generations with a version and a checksum.

A file is `SWLIST` + version(2) + length(4) + xxh3_64(8) + msgpack.  A new list is written to `current.part`
and synced; then `current` is renamed to `previous` and `current.part` to `current`, so that one list is left
if the process is killed at any step.
"""

from __future__ import annotations

import contextlib
import os
import struct
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

MAGIC, VERSION = b"SWLIST", 1
HEADER = struct.Struct(">6sHIQ")
MAX_FILE_BYTES = 64 << 20  # ten thousand workers take one or two MB
FILE_NAMES = ("current", "previous")


class SavedWorker(msgspec.Struct, frozen=True):
    """One worker of a saved list.  Times are Unix us; 0 is never or unknown."""

    worker: str
    kind: str = ""
    zone: str = ""
    cell: int = 0
    draining: bool = False
    started_us: int = 0
    listed_us: int = 0
    answered_us: int = 0


class SavedList(msgspec.Struct, frozen=True):
    """A list with what its age is computed from.

    `epoch` is the list service's index; `wall_us` and `mono_us` are the times of both clocks when the list
    was saved; `boot` is the machine's boot ID, as `mono_us` holds for one boot only.
    """

    epoch: int
    wall_us: int
    mono_us: int
    boot: str
    workers: tuple[SavedWorker, ...]


class UnusableFile(Exception):
    """A file that can't be used; the message names it and says why."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The list that was read, its file, and what was wrong with the files tried before it."""

    saved: SavedList | None
    file: str
    problems: tuple[str, ...]


def boot_id() -> str:
    """The boot ID of this machine; "" if it has none."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def encode(saved: SavedList, version: int = VERSION) -> bytes:
    """Encodes a list as a file's bytes."""
    body = msgspec.msgpack.encode(saved)
    return HEADER.pack(MAGIC, version, len(body), xxhash.xxh3_64_intdigest(body)) + body


def decode(raw: bytes, file: str) -> SavedList:
    """Decodes a file's bytes; raises UnusableFile, with a text of its own for a newer version."""
    if len(raw) < HEADER.size:
        raise UnusableFile(f"{file}: cut short, {len(raw)} bytes")
    magic, version, length, digest = HEADER.unpack_from(raw)
    if magic != MAGIC:
        raise UnusableFile(f"{file}: not a saved list")
    if version > VERSION:
        raise UnusableFile(f"{file}: of a newer version, {version}; this program reads up to {VERSION}")
    body = raw[HEADER.size :]
    if len(body) < length:
        raise UnusableFile(f"{file}: cut short, {len(body)} of {length} bytes")
    if xxhash.xxh3_64_intdigest(body[:length]) != digest:
        raise UnusableFile(f"{file}: damaged, its checksum is wrong")
    try:
        return msgspec.msgpack.decode(body[:length], type=SavedList)
    except msgspec.DecodeError as error:
        raise UnusableFile(f"{file}: damaged, {error}") from None


def read(folder: Path) -> ReadResult:
    """Reads the newest list that can be used: `current`, else `previous`."""
    problems = []
    for name in FILE_NAMES:
        path = folder / name
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise UnusableFile(f"{path}: larger than {MAX_FILE_BYTES} bytes")
            return ReadResult(decode(path.read_bytes(), str(path)), str(path), tuple(problems))
        except FileNotFoundError:
            continue
        except OSError as error:
            problems.append(f"{path}: {error.strerror}")
        except UnusableFile as error:
            problems.append(str(error))
    return ReadResult(None, "", tuple(problems))


def write(folder: Path, saved: SavedList) -> None:
    """Writes a list; raises OSError, which leaves the earlier files in place.

    A `current` of a newer version is renamed to `newer` rather than to `previous`, so that it is still there
    when a rollback to this version is itself undone.
    """
    folder.mkdir(parents=True, exist_ok=True)
    current, new = folder / FILE_NAMES[0], folder / "current.part"
    fd = os.open(new, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
    try:
        remaining = memoryview(encode(saved))
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]
        os.fsync(fd)
    finally:
        os.close(fd)
    _crash_point("written")
    with contextlib.suppress(FileNotFoundError):
        is_newer = False
        try:
            decode(current.read_bytes(), "")
        except UnusableFile as error:
            is_newer = "newer version" in str(error)
        os.rename(current, folder / ("newer" if is_newer else FILE_NAMES[1]))
    _crash_point("moved")
    os.rename(new, current)
    _crash_point("renamed")
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _crash_point(name: str) -> None:
    """Does nothing; a test replaces it to kill the process at this step."""


def age_us(saved: SavedList, reported_us: int, wall_us: int, mono_us: int, boot: str) -> int | None:
    """The age of a report of a saved list, made at `reported_us`; None if it can't be known.

    Within one boot of the machine the monotonic clock gives the time since the list was saved, even if the
    wall clock was changed meanwhile.  Otherwise the wall clock gives it; if the list lies in the future, the
    clock was set back by an unknown time.
    """
    since_saved_us = mono_us - saved.mono_us if boot and boot == saved.boot else wall_us - saved.wall_us
    if since_saved_us < 0 or not reported_us:
        return None
    return since_saved_us + max(0, saved.wall_us - reported_us)
