"""Keeps the list of a running gateway on disk, and brings it back at the start.  Writing is done beside the
loop."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from swiftwell import interface as io
from swiftwell.discovery import saved, trust
from swiftwell.discovery.roster import Roster
from swiftwell.gateway.clock import Clock


class Keeper:
    """The saved list of one gateway.  `look` is called every second, and writes when `trust.may_save` says
    so."""

    def __init__(
        self, folder: Path, clock: Clock, roster: Roster, log: Callable[..., None], post: Callable[..., None]
    ) -> None:
        self._folder, self._clock, self._roster, self._log, self._post = folder, clock, roster, log, post
        self._boot = saved.boot_id()
        self._saved_us = 0
        self._count = 0
        self._shape: object = None
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="list")
        self._busy = False
        self._told = ""  # the failure told last: a full disk is told once, not every second
        self.epoch = 0

    def load(self) -> tuple[tuple[io.WorkerEntry, int | None], ...]:
        """The saved list with the age of each entry; what could not be used is logged."""
        found = saved.read(self._folder)
        for problem in found.problems:
            self._log("error", "saved-list-unusable", why=problem)
        if found.saved is None:
            return ()
        told = found.saved
        wall, mono = self._clock.wall_us(), self._clock.now_us()
        self._count = len(told.workers)
        age_us = saved.age_us(told, told.wall_us, wall, mono, self._boot)
        out = []
        for one in told.workers:
            word = max(one.listed_us, one.answered_us)
            state = io.State.DRAINING if one.draining else io.State.READY
            start = self._clock.started_us(one.started_us / 1_000)
            entry = io.WorkerEntry(one.worker, state, one.kind, 1.0, start, one.zone, one.cell)
            out.append((entry, saved.age_us(told, word, wall, mono, self._boot)))
        age = None if age_us is None else age_us // 1_000_000
        self._log("info", "saved-list", file=found.file, workers=len(out), age_s=age, epoch=told.epoch)
        return tuple(out)

    def look(self, listed_us: int) -> None:
        """Write the list if it is time; `listed_us` is when the live list last spoke, 0 before it has."""
        if not listed_us or self._busy:
            return
        now, wall = self._clock.now_us(), self._clock.wall_us()
        known = [one for one in self._roster.known.values() if not one.left_us]
        shape = tuple(
            sorted((one.entry.worker, one.entry.state.value, one.entry.started_us) for one in known)
        )
        changed = shape != self._shape
        first = self._saved_us or now - trust.REFRESH_INTERVAL_US
        if not trust.may_save(now, first, self._count, len(known), self._roster.size_since, changed):
            return
        workers = tuple(
            saved.SavedWorker(
                one.entry.worker,
                one.entry.kind,
                one.entry.zone,
                one.entry.cell,
                one.entry.state is not io.State.READY,
                max(1, one.entry.started_us - now + wall) if one.entry.started_us else 0,
                wall - (now - listed_us) if one.listed_us else 0,
                max(0, wall - (now - one.answered_us)) if one.answered_us else 0,
            )
            for one in known
        )
        told = saved.SavedList(self.epoch, wall, now, self._boot, workers)
        self._busy, self._saved_us, self._count, self._shape = True, now, len(workers), shape
        self._pool.submit(self._write, told)

    def _write(self, told: saved.SavedList) -> None:
        try:
            saved.write(self._folder, told)
            why = ""
        except OSError as error:
            why = f"{self._folder}: {error.strerror or error}"
        self._post(lambda: self._written(why))

    def _written(self, why: str) -> None:
        self._busy = False
        if why and why != self._told:
            self._log("error", "saved-list-not-written", why=why)
        self._told = why

    def close(self) -> None:
        """Wait for a writing that is under way."""
        self._pool.shutdown(wait=True)
