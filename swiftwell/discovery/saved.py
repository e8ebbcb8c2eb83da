"""The saved list on disk: two generations, checksummed and versioned, written so that a kill at any step
leaves one.

A file is `SWLIST` + version(2) + length(4) + xxh3_64(8) + msgpack.  `current` is written beside as
`current.part` and synced; then `current` becomes `previous`, and the part `current`.
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
HEAD = struct.Struct(">6sHIQ")
MOST = 64 << 20  # bytes of a file that may be read: ten thousand workers take one or two
NAMES = ("current", "previous")


class SavedWorker(msgspec.Struct, frozen=True):
    """One worker of a saved list.  Times are wall-clock us; 0 is never or untold."""

    worker: str
    kind: str = ""
    zone: str = ""
    cell: int = 0
    draining: bool = False
    started_us: int = 0
    listed_us: int = 0
    answered_us: int = 0


class SavedList(msgspec.Struct, frozen=True):
    """A list with what tells its age.

    `epoch` is the list service's index; `wall_us` and `mono_us` are both of the moment of saving, `boot`
    names the machine's run that `mono_us` belongs to.
    """

    epoch: int
    wall_us: int
    mono_us: int
    boot: str
    workers: tuple[SavedWorker, ...]


class Unusable(Exception):
    """A file that can't be used; the text names it and says why."""


@dataclass(frozen=True, slots=True)
class Found:
    """What reading brought: the list, the file it came from, and what was wrong with files before it."""

    saved: SavedList | None
    file: str
    problems: tuple[str, ...]


def boot_id() -> str:
    """The name of this run of the machine; "" where it tells none."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def encode(saved: SavedList, version: int = VERSION) -> bytes:
    """A list as it lies on disk."""
    body = msgspec.msgpack.encode(saved)
    return HEAD.pack(MAGIC, version, len(body), xxhash.xxh3_64_intdigest(body)) + body


def decode(raw: bytes, file: str) -> SavedList:
    """A file's bytes as a list; raises Unusable.  A newer version is told apart from damage."""
    if len(raw) < HEAD.size:
        raise Unusable(f"{file}: cut short, {len(raw)} bytes")
    magic, version, length, digest = HEAD.unpack_from(raw)
    if magic != MAGIC:
        raise Unusable(f"{file}: not a saved list")
    if version > VERSION:
        raise Unusable(f"{file}: of a newer version, {version}; this program reads up to {VERSION}")
    body = raw[HEAD.size :]
    if len(body) < length:
        raise Unusable(f"{file}: cut short, {len(body)} of {length} bytes")
    if xxhash.xxh3_64_intdigest(body[:length]) != digest:
        raise Unusable(f"{file}: damaged, its checksum is wrong")
    try:
        return msgspec.msgpack.decode(body[:length], type=SavedList)
    except msgspec.DecodeError as error:
        raise Unusable(f"{file}: damaged, {error}") from None


def read(folder: Path) -> Found:
    """The newest list that can be used, `current` before `previous`."""
    problems = []
    for name in NAMES:
        path = folder / name
        try:
            if path.stat().st_size > MOST:
                raise Unusable(f"{path}: larger than {MOST} bytes")
            return Found(decode(path.read_bytes(), str(path)), str(path), tuple(problems))
        except FileNotFoundError:
            continue
        except OSError as error:
            problems.append(f"{path}: {error.strerror}")
        except Unusable as error:
            problems.append(str(error))
    return Found(None, "", tuple(problems))


def write(folder: Path, saved: SavedList) -> None:
    """Write a list; raises OSError, after which what was there before still is.

    A `current` that this program can't read because it is newer is set aside, not overwritten: after a roll
    back and forward again it is still there.
    """
    folder.mkdir(parents=True, exist_ok=True)
    current, part = folder / NAMES[0], folder / "current.part"
    fd = os.open(part, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
    try:
        view = memoryview(encode(saved))
        while view:
            view = view[os.write(fd, view) :]
        os.fsync(fd)
    finally:
        os.close(fd)
    _step("written")
    with contextlib.suppress(FileNotFoundError):
        newer = False
        try:
            decode(current.read_bytes(), "")
        except Unusable as error:
            newer = "newer version" in str(error)
        os.rename(current, folder / ("newer" if newer else NAMES[1]))
    _step("moved")
    os.rename(part, current)
    _step("renamed")
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _step(name: str) -> None:
    """A place where a test may end the process."""


def age_us(saved: SavedList, word_us: int, wall_us: int, mono_us: int, boot: str) -> int | None:
    """The age of a word of a saved list; None where it can't be known.

    Within one run of the machine the steady clock tells how long ago the list was saved, whatever was done
    to the wall clock meanwhile.  Else the wall clock does; a list from the future means that it was set
    back, by how much nobody can tell.
    """
    since = mono_us - saved.mono_us if boot and boot == saved.boot else wall_us - saved.wall_us
    if since < 0 or not word_us:
        return None
    return since + max(0, saved.wall_us - word_us)
