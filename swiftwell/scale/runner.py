"""Runs the cases of a plan one after the other and stores their rows; skips cases that have a row."""

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

_MODULES = {RoutingCase: "hollow_router", ColdCase: "cold_workers", OutageCase: "outage_questions"}
CASE_TIMEOUT_S = 900.0  # timeout of a case


def run_case(case: Case, root: str = ".") -> dict[str, float]:
    """Run one case from the checkout `root` and return its values."""
    match case:
        case RoutingCase() | ColdCase() | OutageCase():
            module = _MODULES[type(case)]
            command = [sys.executable, "-m", f"swiftwell.scale.{module}", json.dumps(asdict(case))]
            done = subprocess.run(
                command, cwd=root, capture_output=True, text=True, timeout=CASE_TIMEOUT_S, check=True
            )
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


def run_cases(
    cases: Iterable[Case],
    file: Path,
    build: str,
    root: str,
    on_row: Callable[[results.Row], None],
    predict: Callable[[Case, list[results.Row]], dict[str, float]] = lambda case, rows: {},
) -> int:
    """Run the cases that have no row in the file yet and return how many were run."""
    rows, run_count = results.read(file), 0
    stored_keys = {row.key for row in rows}
    for case in cases:
        if results.row_key(build, case) in stored_keys:
            continue
        predicted = predict(case, rows)
        row = results.row(build, root, case, run_case(case, root), predicted)
        results.append(file, row)
        rows.append(row)
        on_row(row)
        run_count += 1
    return run_count
