"""Commits per second on this disk: our journal with group commit, and SQLite in WAL mode, by group size."""

from __future__ import annotations

import sqlite3
import sys
import tempfile
import threading
import time
from pathlib import Path

from swiftwell.gateway.effects import Record, Step
from swiftwell.gateway.journal import Journal

SECONDS = 3.0


def record(number: int) -> Record:
    """Return a record of typical size."""
    return Record(Step.INTENT, "estate", f"console-{number}", 1_700_000_000_000_000 + number, b"d" * 16)


def journal(folder: Path, group: int) -> float:
    """Return the durable records per second with `group` records per iteration of the loop."""
    flushed = threading.Semaphore(0)
    callbacks: list = []
    writer = Journal(
        folder, lambda callback: (callbacks.append(callback), flushed.release()), lambda n: None, print, list
    )
    writer.open()
    count, started = 0, time.perf_counter()
    while time.perf_counter() - started < SECONDS:
        for _ in range(group):
            count += 1
            writer.append(record(count))
        writer.flush()
        flushed.acquire()
        callbacks.pop(0)()
    spent = time.perf_counter() - started
    writer.close()
    return count / spent


def sqlite(folder: Path, group: int) -> float:
    """Return the same for SQLite in WAL mode with synchronous=FULL."""
    db = sqlite3.connect(folder / "l.db", isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute(
        "create table keys (tenant text, key text, at int, step text, print blob, primary key (tenant, key))"
    )
    count, started = 0, time.perf_counter()
    while time.perf_counter() - started < SECONDS:
        db.execute("begin")
        for _ in range(group):
            count += 1
            entry = record(count)
            values = (entry.tenant, entry.key, entry.at_us, entry.step.value, entry.request_digest)
            db.execute("insert or replace into keys values (?, ?, ?, ?, ?)", values)
        db.execute("commit")
    spent = time.perf_counter() - started
    db.close()
    return count / spent


if __name__ == "__main__":
    base = Path(sys.argv[1]) if len(sys.argv) > 1 else None
    for group in (1, 10, 100):
        with tempfile.TemporaryDirectory(dir=base) as a, tempfile.TemporaryDirectory(dir=base) as b:
            ours, theirs = journal(Path(a), group), sqlite(Path(b), group)
        print(
            f"group {group:3}: journal {ours:8.0f}/s, sqlite wal {theirs:8.0f}/s, ratio {ours / theirs:.2f}"
        )
