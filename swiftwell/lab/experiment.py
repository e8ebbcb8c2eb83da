"""Experiments: a KDL file names days, factors, designs and seeds; each cell is played once, on all cores.

A cell is one day at one level of each factor, with one design and one seed.  Each finished cell is appended
with its digest to a file of JSON lines, so that a run that was killed can be resumed; at the end all results
are written to one columnar file (`.npz`, one array per column).
"""

from __future__ import annotations

import itertools
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import xxhash

from swiftwell.lab.baselines import DESIGNS
from swiftwell.lab.emulator import Emulation
from swiftwell.proof import days
from swiftwell.settings.document import Node, SettingsError, parse, read_document
from swiftwell.settings.schema import Reader, setting

# By factor name: how a level of it changes a day.
FACTORS: dict[str, Callable[[days.Day, float], days.Day]] = {
    "rate": lambda day, level: replace(
        day, crowds=tuple(replace(crowd, rate=crowd.rate * level) for crowd in day.crowds)
    ),
    "gateways": lambda day, level: replace(day, gateways=max(1, round(level))),
    "workers": lambda day, level: replace(
        day, kinds=tuple(replace(kind, workers=max(1, round(kind.workers * level))) for kind in day.kinds)
    ),
    "work": lambda day, level: replace(
        day, classes=tuple(replace(entry, work_ms=entry.work_ms * level) for entry in day.classes)
    ),
    "memory": lambda day, level: replace(
        day, kinds=tuple(replace(kind, memory_mb=kind.memory_mb * level) for kind in day.kinds)
    ),
    "functions": lambda day, level: replace(
        day,
        classes=tuple(
            replace(entry, functions=max(1, round(entry.functions * level))) for entry in day.classes
        ),
    ),
    "retries": lambda day, level: replace(
        day, crowds=tuple(replace(crowd, retries=round(level)) for crowd in day.crowds)
    ),
    "trouble": lambda day, level: replace(
        day,
        troubles=tuple(replace(trouble, for_s=trouble.for_s * level) for trouble in day.troubles)
        if level
        else (),
    ),
    "seconds": lambda day, level: replace(day, seconds=level),
}


@dataclass(frozen=True, kw_only=True)
class Factor:
    """A property of a day that is varied."""

    name: str = setting(
        arg=True,
        choice=tuple(FACTORS),
        doc="property; a level is a factor on the day's value, or a count or length",
    )
    levels: tuple[float, ...] = setting(doc="levels to play")


@dataclass(frozen=True, kw_only=True)
class Experiment:
    """The settings of an experiment."""

    doc: str = setting("", doc="question that the experiment answers")
    days: tuple[str, ...] = setting(doc="days to play, by name or path")
    designs: tuple[str, ...] = setting(
        ("module",), doc="designs to play; the first is the baseline of the comparisons"
    )
    seeds: int = setting(8, low=1, high=1_000, doc="number of seeds, counted from 1")
    factors: tuple[Factor, ...] = setting((), node="factor", doc="property of the days that is varied")


@dataclass(frozen=True, slots=True)
class Cell:
    """One emulation of an experiment."""

    day: str
    design: str
    seed: int
    levels: tuple[tuple[str, float], ...]

    def digest(self, texts: dict[str, str]) -> str:
        """Returns a digest of the cell and its day's text, so that a changed day is played again."""
        identity = [self.day, self.design, self.seed, self.levels, texts[self.day]]
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(identity))


def read(text: str, file: str) -> Experiment:
    """Reads an experiment from text; raises SettingsError."""
    reader = Reader(file)
    experiment: Experiment = reader.read(Experiment, Node("", [], {}, parse(text, file), 1))
    for design in experiment.designs or ():
        if design not in DESIGNS:
            reader.add_problem(1, f"unknown design {design!r}; known designs: {', '.join(DESIGNS)}")
    for name in experiment.days or ():
        try:
            days.load(name)
        except SettingsError as error:
            reader.problems += error.problems
    for factor in experiment.factors:
        if not factor.levels:
            reader.add_problem(reader.line_of(factor), f"factor {factor.name} has no levels")
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return experiment


def load(path: Path) -> Experiment:
    """Reads an experiment from a file; raises SettingsError."""
    return read(read_document(path), str(path))


def cells(experiment: Experiment) -> Iterator[Cell]:
    """Returns all cells, seed by seed."""
    names = [factor.name for factor in experiment.factors]
    grid = list(itertools.product(*(factor.levels for factor in experiment.factors)))
    for seed in range(1, experiment.seeds + 1):
        for day, levels, design in itertools.product(experiment.days, grid, experiment.designs):
            yield Cell(day, design, seed, tuple(zip(names, levels, strict=True)))


def play(cell: Cell) -> dict[str, Any]:
    """Plays a cell and returns its row: the columns that identify it and its results."""
    name, day = days.load(cell.day)
    for factor, level in cell.levels:
        day = FACTORS[factor](day, level)
    emulation = Emulation(name, day, cell.seed, router_factory=DESIGNS[cell.design])
    verdict = emulation.run()
    worth, latency = verdict["worth"], verdict["latency_ms"]
    return {
        "day": name,
        "design": cell.design,
        "seed": cell.seed,
        **dict(cell.levels),
        "calls": verdict["calls"],
        "service": worth["answered_in_time"] / worth["asked"] if worth["asked"] else 0.0,
        "end_service": end_service(emulation.world.events, day.seconds),
        "tries": sum(event["ev"] == "try" for event in emulation.world.events) / max(1, verdict["calls"]),
        "served": verdict["served"] / max(1, verdict["calls"]),
        "refused": verdict["refused"] / max(1, verdict["calls"]),
        "failed": verdict["failed"] / max(1, verdict["calls"]),
        "p50_ms": latency["p50"],
        "p99_ms": latency["p99"],
        "loads": verdict.get("fetch", 0),
        "rules_broken": sum(verdict["rules"].values()) + verdict["lost"] + verdict["doubled"],
    }


def end_service(events: list[dict[str, Any]], seconds: float) -> float:
    """Returns the share of worth answered in time among the calls of the day's last third.

    It shows what a trouble still costs after it has ended.
    """
    tries = [event for event in events if event["ev"] == "try"]
    since = min((event["t"] for event in tries), default=0) + int(seconds * 2e6 / 3)
    first_tries: dict[str, dict[str, Any]] = {}
    served_at: dict[str, int] = {}
    for event in tries:
        first_tries.setdefault(event["key"], event)
    for event in events:
        if event["ev"] == "answer" and event["kind"] == "served":
            served_at.setdefault(event["corr"].rpartition(".")[0], event["t"])
    late_tries = {key: event for key, event in first_tries.items() if event["t"] >= since}
    asked = sum(event["worth"] for event in late_tries.values())
    in_time = sum(
        event["worth"]
        for key, event in late_tries.items()
        if key in served_at and served_at[key] - event["t"] <= event["wanted"]
    )
    return in_time / asked if asked else 0.0


class Store:
    """Finished cells on disk, one JSON line each; an incomplete line is ignored."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.rows: dict[str, dict[str, Any]] = {}
        if path.exists():
            for line in path.read_bytes().split(b"\n")[:-1]:
                try:
                    entry = msgspec.json.decode(line, type=dict[str, Any])
                    self.rows[entry["cell"]] = entry["row"]
                except (msgspec.DecodeError, KeyError):
                    continue  # truncated by a kill; the cell is played again

    def add(self, digest: str, row: dict[str, Any]) -> None:
        """Appends the row of a played cell."""
        self.rows[digest] = row
        with open(self._path, "ab") as file:
            # Don't append to a line that was truncated by a kill.
            if file.tell() and not _ends_with_newline(self._path):
                file.write(b"\n")
            file.write(msgspec.json.encode({"cell": digest, "row": row}) + b"\n")


def _ends_with_newline(path: Path) -> bool:
    with open(path, "rb") as file:
        file.seek(-1, os.SEEK_END)
        return file.read(1) == b"\n"


def run(
    experiment: Experiment, out: Path, processes: int = 0,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> list[dict[str, Any]]:  # fmt: skip
    """Plays the cells that are not stored yet and returns all rows in the order of `cells`."""
    out.mkdir(parents=True, exist_ok=True)
    store = Store(out / "cells.jsonl")
    texts = {day: msgspec.json.encode(days.load(day)[1]).decode() for day in experiment.days}
    wanted = [(cell, cell.digest(texts)) for cell in cells(experiment)]
    pending = [(cell, digest) for cell, digest in wanted if digest not in store.rows]
    progress(len(wanted) - len(pending), len(wanted))
    if processes == 1 or len(pending) < 2:
        for count, (cell, digest) in enumerate(pending, 1):
            store.add(digest, play(cell))
            progress(len(wanted) - len(pending) + count, len(wanted))
    elif pending:
        with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
            futures = {pool.submit(play, cell): digest for cell, digest in pending}
            for count, future in enumerate(as_completed(futures), 1):
                store.add(futures[future], future.result())
                progress(len(wanted) - len(pending) + count, len(wanted))
    rows = [store.rows[digest] for _, digest in wanted]
    save(out / "results.npz", rows)
    return rows


def save(path: Path, rows: list[dict[str, Any]]) -> None:
    """Writes rows as columns to one file; equal rows give equal bytes."""
    columns = {name: np.array([row[name] for row in rows]) for name in rows[0]} if rows else {}
    temporary = path.with_suffix(".part.npz")
    np.savez(temporary, **columns)
    os.replace(temporary, path)
