"""Parses worker lists, from a file or from a list service, into entries.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from swiftwell import interface as io
from swiftwell.settings.document import Node, Problem, SettingsError, parse
from swiftwell.settings.schema import Reader, setting

_STATES = {"running": io.State.READY, "draining": io.State.DRAINING, "gone": io.State.GONE}
MAX_WORKERS = 10_000


@dataclass(frozen=True, kw_only=True)
class _FileWorker:
    """A `worker` node of a file."""

    address: str = setting(arg=True, low=3, doc="HOST:PORT")
    kind: str = setting("", doc="kind of machine")
    zone: str = setting("", doc="room or zone")
    cell: int = setting(0, low=0, high=1_000_000, doc="group of workers that share deduplication")
    state: str = setting("running", choice=tuple(_STATES), doc="state of the worker")
    started_ms: float = setting(
        0.0, low=0, high=1e15, doc="Unix ms at which its process started; 0 if unknown"
    )


@dataclass(frozen=True, kw_only=True)
class _File:
    worker: tuple[_FileWorker, ...] = setting((), max_count=MAX_WORKERS, doc="a worker")


def parse_worker_file(
    text: str, file: str, to_monotonic_us: Callable[[float], int]
) -> tuple[io.WorkerEntry, ...]:
    """The workers of a file of `worker` nodes; raises SettingsError.

    `to_monotonic_us` converts a start from Unix ms.
    """
    reader = Reader(file)
    listed: _File = reader.read(_File, Node("", [], {}, parse(text, file), 1))
    addresses = [worker.address for worker in listed.worker]
    for worker in listed.worker:
        if addresses.count(worker.address) > 1:
            reader.add_problem(reader.line_of(worker), f"worker {worker.address!r} is given twice")
    if reader.problems:
        raise SettingsError(reader.problems)
    return tuple(
        io.WorkerEntry(
            worker.address,
            _STATES[worker.state],
            worker.kind,
            1.0,
            to_monotonic_us(worker.started_ms),
            worker.zone,
            worker.cell,
        )
        for worker in listed.worker
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


_decode_list = msgspec.json.Decoder(list[msgspec.Raw]).decode
_decode_instance = msgspec.json.Decoder(_Instance).decode


def parse_instances(
    body: bytes, to_monotonic_us: Callable[[float], int]
) -> tuple[tuple[io.WorkerEntry, ...], list[Problem]]:
    """The workers of a response in the form of Consul's health endpoint, and what was malformed in it.

    Raises SettingsError if the response as a whole can't be parsed.  A malformed entry is left out and
    reported; the others are used.
    """
    try:
        instances = _decode_list(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Problem("list", 0, f"not a list of instances: {error}")]) from None
    entries: dict[str, io.WorkerEntry] = {}
    problems: list[Problem] = []
    for number, raw in enumerate(instances[:MAX_WORKERS]):
        try:
            instance = _decode_instance(raw)
            meta = instance.Service.Meta
            if not instance.Service.Address or not 0 < instance.Service.Port < 65_536:
                raise ValueError("no address or port")
            worker = f"{instance.Service.Address}:{instance.Service.Port}"
            draining = any(check.Status != "passing" for check in instance.Checks)
            entries[worker] = io.WorkerEntry(
                worker,
                io.State.DRAINING if draining or meta.get("state") == "draining" else io.State.READY,
                meta.get("kind", ""),
                1.0,
                to_monotonic_us(float(meta.get("started_ms", "0"))),
                meta.get("zone", ""),
                int(meta.get("cell", "0")),
            )
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError, OverflowError) as error:
            problems.append(Problem("list", number, f"entry left out: {error}"))
    return tuple(entries.values()), problems
