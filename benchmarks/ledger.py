"""Commits a second: our journal with group commit, SQLite in WAL mode in groups and alone, on this disk."""

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
    """A record of usual size."""
    return Record(Step.INTENT, "estate", f"console-{number}", 1_700_000_000_000_000 + number, b"d" * 16)


def journal(folder: Path, group: int) -> float:
    """Durable records a second, `group` arriving in each turn of the loop."""
    more = threading.Semaphore(0)
    posts: list = []
    one = Journal(folder, lambda act: (posts.append(act), more.release()), lambda n: None, print, list)
    one.open()
    count, began = 0, time.perf_counter()
    while time.perf_counter() - began < SECONDS:
        for _ in range(group):
            count += 1
            one.append(record(count))
        one.flush()
        more.acquire()
        posts.pop(0)()
    spent = time.perf_counter() - began
    one.close()
    return count / spent


def sqlite(folder: Path, group: int) -> float:
    """The same in SQLite, WAL, synchronous FULL."""
    db = sqlite3.connect(folder / "l.db", isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute(
        "create table keys (tenant text, key text, at int, step text, print blob, primary key (tenant, key))"
    )
    count, began = 0, time.perf_counter()
    while time.perf_counter() - began < SECONDS:
        db.execute("begin")
        for _ in range(group):
            count += 1
            r = record(count)
            values = (r.tenant, r.key, r.at_us, r.step.value, r.request_digest)
            db.execute("insert or replace into keys values (?, ?, ?, ?, ?)", values)
        db.execute("commit")
    spent = time.perf_counter() - began
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
