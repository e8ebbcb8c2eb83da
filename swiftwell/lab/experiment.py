"""Experiments: a KDL file of days, factors, designs and seeds; every cell played once, on all cores.

A cell is one day at one level of each factor, with one design and one seed.  Finished cells are added to a
file of JSON lines, each with its own digest, so a run that was killed goes on where it was; at the end they
stand in one columnar file (`.npz`, one array for each column).
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

# What a factor changes of a day: its name and what a level of it does.
FACTORS: dict[str, Callable[[days.Day, float], days.Day]] = {
    "rate": lambda day, level: replace(
        day, crowds=tuple(replace(crowd, rate=crowd.rate * level) for crowd in day.crowds)
    ),
    "gateways": lambda day, level: replace(day, gateways=max(1, round(level))),
    "workers": lambda day, level: replace(
        day, kinds=tuple(replace(kind, workers=max(1, round(kind.workers * level))) for kind in day.kinds)
    ),
    "work": lambda day, level: replace(
        day, classes=tuple(replace(one, work_ms=one.work_ms * level) for one in day.classes)
    ),
    "memory": lambda day, level: replace(
        day, kinds=tuple(replace(kind, memory_mb=kind.memory_mb * level) for kind in day.kinds)
    ),
    "functions": lambda day, level: replace(
        day,
        classes=tuple(replace(one, functions=max(1, round(one.functions * level))) for one in day.classes),
    ),
    "retries": lambda day, level: replace(
        day, crowds=tuple(replace(crowd, retries=round(level)) for crowd in day.crowds)
    ),
    "trouble": lambda day, level: replace(
        day, troubles=tuple(replace(one, for_s=one.for_s * level) for one in day.troubles) if level else ()
    ),
    "seconds": lambda day, level: replace(day, seconds=level),
}


@dataclass(frozen=True, kw_only=True)
class Factor:
    """Something of a day that is varied."""

    name: str = setting(arg=True, choice=tuple(FACTORS), doc="what: times the day's own, or so many")
    levels: tuple[float, ...] = setting(doc="its levels")


@dataclass(frozen=True, kw_only=True)
class Experiment:
    """An experiment."""

    doc: str = setting("", doc="what it is to find out")
    days: tuple[str, ...] = setting(doc="days, by name or path")
    designs: tuple[str, ...] = setting(("module",), doc="designs; the first is what others are held against")
    seeds: int = setting(8, low=1, high=1_000, doc="seeds, from 1")
    factors: tuple[Factor, ...] = setting((), node="factor", doc="something of the days that is varied")


@dataclass(frozen=True, slots=True)
class Cell:
    """One emulation of an experiment."""

    day: str
    design: str
    seed: int
    levels: tuple[tuple[str, float], ...]

    def digest(self, texts: dict[str, str]) -> str:
        """What it is, with the text of its day: another text is another cell."""
        what = [self.day, self.design, self.seed, self.levels, texts[self.day]]
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(what))


def read(text: str, file: str) -> Experiment:
    """An experiment's text; raises SettingsError."""
    reader = Reader(file)
    found: Experiment = reader.read(Experiment, Node("", [], {}, parse(text, file), 1))
    for design in found.designs or ():
        if design not in DESIGNS:
            reader.add_problem(1, f"no design {design!r}; known: {', '.join(DESIGNS)}")
    for name in found.days or ():
        try:
            days.load(name)
        except SettingsError as error:
            reader.problems += error.problems
    for factor in found.factors:
        if not factor.levels:
            reader.add_problem(reader.line_of(factor), f"factor {factor.name} has no levels")
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return found


def load(path: Path) -> Experiment:
    """An experiment's file; raises SettingsError."""
    return read(read_document(path), str(path))


def cells(experiment: Experiment) -> Iterator[Cell]:
    """All cells, those of one seed together."""
    names = [factor.name for factor in experiment.factors]
    grid = list(itertools.product(*(factor.levels for factor in experiment.factors)))
    for seed in range(1, experiment.seeds + 1):
        for day, levels, design in itertools.product(experiment.days, grid, experiment.designs):
            yield Cell(day, design, seed, tuple(zip(names, levels, strict=True)))


def play(cell: Cell) -> dict[str, Any]:
    """One cell as a row: what it is, and its figures."""
    name, day = days.load(cell.day)
    for factor, level in cell.levels:
        day = FACTORS[factor](day, level)
    emulation = Emulation(name, day, cell.seed, make=DESIGNS[cell.design])
    told = emulation.run()
    worth, latency = told["worth"], told["latency_ms"]
    return {
        "day": name,
        "design": cell.design,
        "seed": cell.seed,
        **dict(cell.levels),
        "calls": told["calls"],
        "service": worth["answered_in_time"] / worth["asked"] if worth["asked"] else 0.0,
        "end_service": end_service(emulation.world.events, day.seconds),
        "tries": sum(one["ev"] == "try" for one in emulation.world.events) / max(1, told["calls"]),
        "served": told["served"] / max(1, told["calls"]),
        "refused": told["refused"] / max(1, told["calls"]),
        "failed": told["failed"] / max(1, told["calls"]),
        "p50_ms": latency["p50"],
        "p99_ms": latency["p99"],
        "loads": told.get("fetch", 0),
        "rules_broken": sum(told["rules"].values()) + told["lost"] + told["doubled"],
    }


def end_service(events: list[dict[str, Any]], seconds: float) -> float:
    """Worth answered in time against worth asked, of calls of the day's last third: what a trouble long gone
    still costs."""
    tries = [one for one in events if one["ev"] == "try"]
    since = min((one["t"] for one in tries), default=0) + int(seconds * 2e6 / 3)
    first: dict[str, dict[str, Any]] = {}
    served: dict[str, int] = {}
    for one in tries:
        first.setdefault(one["key"], one)
    for one in events:
        if one["ev"] == "answer" and one["kind"] == "served":
            served.setdefault(one["corr"].rpartition(".")[0], one["t"])
    late = {key: one for key, one in first.items() if one["t"] >= since}
    asked = sum(one["worth"] for one in late.values())
    in_time = sum(
        one["worth"] for key, one in late.items() if key in served and served[key] - one["t"] <= one["wanted"]
    )
    return in_time / asked if asked else 0.0


class Store:
    """Finished cells, on disk: a line each, whole or not there."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.rows: dict[str, dict[str, Any]] = {}
        if path.exists():
            for line in path.read_bytes().split(b"\n")[:-1]:
                try:
                    told = msgspec.json.decode(line, type=dict[str, Any])
                    self.rows[told["cell"]] = told["row"]
                except (msgspec.DecodeError, KeyError):
                    continue  # cut short by a kill: played again

    def add(self, digest: str, row: dict[str, Any]) -> None:
        """A cell has been played."""
        self.rows[digest] = row
        with open(self._path, "ab") as file:
            # A line that a kill cut short must not swallow this one.
            if file.tell() and not _ends_a_line(self._path):
                file.write(b"\n")
            file.write(msgspec.json.encode({"cell": digest, "row": row}) + b"\n")


def _ends_a_line(path: Path) -> bool:
    with open(path, "rb") as file:
        file.seek(-1, os.SEEK_END)
        return file.read(1) == b"\n"


def run(
    experiment: Experiment, out: Path, processes: int = 0,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> list[dict[str, Any]]:  # fmt: skip
    """Play what has not been played yet; all rows, in the order of `cells` whatever the processes did."""
    out.mkdir(parents=True, exist_ok=True)
    store = Store(out / "cells.jsonl")
    texts = {day: msgspec.json.encode(days.load(day)[1]).decode() for day in experiment.days}
    wanted = [(cell, cell.digest(texts)) for cell in cells(experiment)]
    todo = [(cell, digest) for cell, digest in wanted if digest not in store.rows]
    progress(len(wanted) - len(todo), len(wanted))
    if processes == 1 or len(todo) < 2:
        for count, (cell, digest) in enumerate(todo, 1):
            store.add(digest, play(cell))
            progress(len(wanted) - len(todo) + count, len(wanted))
    elif todo:
        with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
            waiting = {pool.submit(play, cell): digest for cell, digest in todo}
            for count, done in enumerate(as_completed(waiting), 1):
                store.add(waiting[done], done.result())
                progress(len(wanted) - len(todo) + count, len(wanted))
    rows = [store.rows[digest] for _, digest in wanted]
    save(out / "results.npz", rows)
    return rows


def save(path: Path, rows: list[dict[str, Any]]) -> None:
    """Rows as columns in one file: the same rows are the same bytes."""
    columns = {name: np.array([row[name] for row in rows]) for name in rows[0]} if rows else {}
    part = path.with_suffix(".part.npz")
    np.savez(part, **columns)
    os.replace(part, path)
