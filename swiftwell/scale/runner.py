"""Plays the cases of a plan one after the other and keeps their rows; a case that is there is passed over."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable, Iterable
from dataclasses import asdict
from pathlib import Path

from swiftwell.scale import results
from swiftwell.scale.cases import (
    Case,
    ColdCase,
    ListCase,
    MemberCase,
    MembershipCase,
    OutageCase,
    RoutingCase,
)

_PROGRAMS = {RoutingCase: "hollow_router", ColdCase: "cold_workers", OutageCase: "outage_questions"}
CASE_S = 900.0  # s for a case at most


def play(case: Case, root: str = ".") -> dict[str, float]:
    """The values of one case, run from the checkout `root`."""
    match case:
        case RoutingCase() | ColdCase() | OutageCase():
            module = _PROGRAMS[type(case)]
            words = [sys.executable, "-m", f"swiftwell.scale.{module}", json.dumps(asdict(case))]
            done = subprocess.run(words, cwd=root, capture_output=True, text=True, timeout=CASE_S, check=True)
            return json.loads(done.stdout)
        case MembershipCase():
            from swiftwell.scale import membership

            return asdict(asyncio.run(membership.run(case)))
        case MemberCase():
            from swiftwell.scale import real_member

            return asdict(asyncio.run(real_member.run(case)))
        case ListCase():
            from swiftwell.scale import real_router

            return asdict(asyncio.run(real_router.run(case, root)))
    raise TypeError(type(case).__name__)


def play_all(
    cases: Iterable[Case],
    file: Path,
    build: str,
    root: str,
    say: Callable[[results.Row], None],
    predict: Callable[[Case, list[results.Row]], dict[str, float]] = lambda case, rows: {},
) -> int:
    """Play what the file does not hold yet; how many cases were played."""
    rows, played = results.read(file), 0
    there = {row.key for row in rows}
    for case in cases:
        if results.name(build, case) in there:
            continue
        predicted = predict(case, rows)
        row = results.row(build, root, case, play(case, root), predicted)
        results.append(file, row)
        rows.append(row)
        say(row)
        played += 1
    return played
