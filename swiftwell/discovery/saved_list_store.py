"""Saves the worker list of a running gateway to disk and loads it at the start.

Files are written by a thread of their own, so that the event loop does not wait for the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from swiftwell import interface as io
from swiftwell.discovery import saved, trust
from swiftwell.discovery.roster import Roster
from swiftwell.gateway.clock import Clock


class SavedListStore:
    """The saved list of one gateway.

    `save_if_due` is called every second and writes the list when `trust.may_save` allows it; `post` runs a
    callback on the event loop.
    """

    def __init__(
        self, folder: Path, clock: Clock, roster: Roster, log: Callable[..., None], post: Callable[..., None]
    ) -> None:
        self._folder, self._clock, self._roster, self._log, self._post = folder, clock, roster, log, post
        self._boot = saved.boot_id()
        self._saved_us = 0
        self._saved_count = 0
        self._saved_state: object = None
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="list")
        self._writing = False
        self._logged_failure = ""  # so that a full disk is logged once, not every second
        self.epoch = 0

    def load(self) -> tuple[tuple[io.WorkerEntry, int | None], ...]:
        """The saved list with the age of each entry; a file that can't be used is logged."""
        result = saved.read(self._folder)
        for problem in result.problems:
            self._log("error", "saved-list-unusable", why=problem)
        if result.saved is None:
            return ()
        saved_list = result.saved
        wall_us, mono_us = self._clock.wall_us(), self._clock.now_us()
        self._saved_count = len(saved_list.workers)
        list_age_us = saved.age_us(saved_list, saved_list.wall_us, wall_us, mono_us, self._boot)
        entries = []
        for worker in saved_list.workers:
            reported_us = max(worker.listed_us, worker.answered_us)
            state = io.State.DRAINING if worker.draining else io.State.READY
            started_us = self._clock.started_us(worker.started_us / 1_000)
            entry = io.WorkerEntry(
                worker.worker, state, worker.kind, 1.0, started_us, worker.zone, worker.cell
            )
            entries.append((entry, saved.age_us(saved_list, reported_us, wall_us, mono_us, self._boot)))
        age_s = None if list_age_us is None else list_age_us // 1_000_000
        self._log(
            "info",
            "saved-list",
            file=result.file,
            workers=len(entries),
            age_s=age_s,
            epoch=saved_list.epoch,
        )
        return tuple(entries)

    def save_if_due(self, listed_us: int) -> None:
        """Saves the list if it is due; `listed_us` is when the last live list came, 0 if none has."""
        if not listed_us or self._writing:
            return
        now_us, wall_us = self._clock.now_us(), self._clock.wall_us()
        listed = [known for known in self._roster.known.values() if not known.left_us]
        state = tuple(
            sorted((known.entry.worker, known.entry.state.value, known.entry.started_us) for known in listed)
        )
        changed = state != self._saved_state
        last_saved_us = self._saved_us or now_us - trust.REFRESH_INTERVAL_US
        if not trust.may_save(
            now_us, last_saved_us, self._saved_count, len(listed), self._roster.size_since, changed
        ):
            return
        workers = tuple(
            saved.SavedWorker(
                known.entry.worker,
                known.entry.kind,
                known.entry.zone,
                known.entry.cell,
                known.entry.state is not io.State.READY,
                max(1, known.entry.started_us - now_us + wall_us) if known.entry.started_us else 0,
                wall_us - (now_us - listed_us) if known.listed_us else 0,
                max(0, wall_us - (now_us - known.answered_us)) if known.answered_us else 0,
            )
            for known in listed
        )
        saved_list = saved.SavedList(self.epoch, wall_us, now_us, self._boot, workers)
        self._writing, self._saved_us, self._saved_count, self._saved_state = (
            True,
            now_us,
            len(workers),
            state,
        )
        self._pool.submit(self._write, saved_list)

    def _write(self, saved_list: saved.SavedList) -> None:
        try:
            saved.write(self._folder, saved_list)
            failure = ""
        except OSError as error:
            failure = f"{self._folder}: {error.strerror or error}"
        self._post(lambda: self._written(failure))

    def _written(self, failure: str) -> None:
        self._writing = False
        if failure and failure != self._logged_failure:
            self._log("error", "saved-list-not-written", why=failure)
        self._logged_failure = failure

    def close(self) -> None:
        """Waits until a write in progress has ended."""
        self._pool.shutdown(wait=True)
