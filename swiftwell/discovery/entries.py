"""Lists of workers to entries: the file's form and the list service's.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from swiftwell import interface as io
from swiftwell.settings.document import Node, Problem, SettingsError, parse
from swiftwell.settings.schema import Reader, setting

_STATES = {"running": io.State.READY, "draining": io.State.DRAINING, "gone": io.State.GONE}
MOST_WORKERS = 10_000


@dataclass(frozen=True, kw_only=True)
class _Listed:
    """A worker in a file."""

    address: str = setting(arg=True, low=3, doc="HOST:PORT")
    kind: str = setting("", doc="kind of machine")
    zone: str = setting("", doc="room or zone")
    cell: int = setting(0, low=0, high=1_000_000, doc="group that drops repeats together")
    state: str = setting("running", choice=tuple(_STATES), doc="what it does")
    started_ms: float = setting(
        0.0, low=0, high=1e15, doc="ms since 1970 at which its process started; 0 is untold"
    )


@dataclass(frozen=True, kw_only=True)
class _File:
    worker: tuple[_Listed, ...] = setting((), many=MOST_WORKERS, doc="a worker")


def from_file(text: str, file: str, started: Callable[[float], int]) -> tuple[io.WorkerEntry, ...]:
    """The workers of a file of `worker` nodes; raises SettingsError.

    `started` turns a start in wall-clock ms into the module's time.
    """
    reader = Reader(file)
    listed: _File = reader.read(_File, Node("", [], {}, parse(text, file), 1))
    names = [one.address for one in listed.worker]
    for one in listed.worker:
        if names.count(one.address) > 1:
            reader.wrong(reader.line(one), f"worker {one.address!r} is given twice")
    if reader.problems:
        raise SettingsError(reader.problems)
    return tuple(
        io.WorkerEntry(
            one.address, _STATES[one.state], one.kind, 1.0, started(one.started_ms), one.zone, one.cell
        )
        for one in listed.worker
    )


class _Service(msgspec.Struct):
    Address: str = ""
    Port: int = 0
    Meta: dict[str, str] = {}


class _Check(msgspec.Struct):
    Status: str = "passing"


class _Instance(msgspec.Struct):
    Service: _Service
    Checks: list[_Check] = []


_decode = msgspec.json.Decoder(list[msgspec.Raw]).decode
_one = msgspec.json.Decoder(_Instance).decode


def from_service(
    body: bytes, started: Callable[[float], int]
) -> tuple[tuple[io.WorkerEntry, ...], list[Problem]]:
    """The instances of a health answer in Consul's form, and what was malformed in it.

    Raises SettingsError where the answer as a whole can't be read.  An entry that can't be read is left out
    and told: the
    others still hold.
    """
    try:
        raw = _decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Problem("list", 0, f"not a list of instances: {error}")]) from None
    entries: dict[str, io.WorkerEntry] = {}
    problems: list[Problem] = []
    for number, one in enumerate(raw[:MOST_WORKERS]):
        try:
            found = _one(one)
            meta = found.Service.Meta
            if not found.Service.Address or not 0 < found.Service.Port < 65_536:
                raise ValueError("no address or port")
            worker = f"{found.Service.Address}:{found.Service.Port}"
            draining = any(check.Status != "passing" for check in found.Checks)
            entries[worker] = io.WorkerEntry(
                worker,
                io.State.DRAINING if draining or meta.get("state") == "draining" else io.State.READY,
                meta.get("kind", ""),
                1.0,
                started(float(meta.get("started_ms", "0"))),
                meta.get("zone", ""),
                int(meta.get("cell", "0")),
            )
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError, OverflowError) as error:
            problems.append(Problem("list", number, f"entry left out: {error}"))
    return tuple(entries.values()), problems
