"""What the engine learns of workers while the list may be stale, for the decisions and the log.  No I/O."""

from __future__ import annotations

from collections.abc import Callable

from swiftwell import interface as io
from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.gateway import ports
from swiftwell.interface import Status


class Evidence:
    """Feeds the leases; `emit` takes what the decisions are to be told, `log` a line."""

    def __init__(
        self, leases: WorkerLeases, emit: Callable[[io.Event], None], log: Callable[..., None]
    ) -> None:
        self._leases, self._emit, self._log = leases, emit, log

    def advance(self, now_us: int) -> None:
        """What the age of the list, and workers' own answers, mean to the decisions by now."""
        for event in self._leases.advance(now_us):
            if isinstance(event, io.ListState):
                self._log_list(event.stale, now_us)
            else:
                self._log("info", "worker", worker=event.worker, state="starting", by="its connections")
            self._emit(event)

    def _log_list(self, stale: bool, now_us: int) -> None:
        staleness = self._leases.staleness
        if not stale:
            self._log("info", "list-current")
        elif staleness.confirmed_us is None:  # as after every start, until the source has said that it is so
            self._log("info", "list-unconfirmed")
        else:
            why, age_ms = staleness.reason(), (now_us - staleness.confirmed_us) // 1_000
            self._log("warning", "list-stale", age_ms=age_ms, why=why)

    def connection(self, given: ports.WorkerConnected | ports.WorkerDisconnected, now_us: int) -> None:
        """A connection to a worker came up or ended, told ahead of what it brought."""
        if isinstance(given, ports.WorkerConnected):
            self._leases.connected(given.worker, given.at_us)
            self.advance(now_us)
        else:
            self._leases.disconnected(given.worker, given.at_us)

    def call_ended(self, worker: str, end: ports.AttemptEnd) -> None:
        """A call that was served was taken, so that its worker did not drain when it came."""
        if end.status is Status.OK:
            self._leases.record_accepted(worker, end.sent_us)

    def order_ended(self, worker: str, end: ports.OrderEnd, asked: bool, now_us: int) -> None:
        """A worker that drains turns orders and questions away; a question has no other reason to be."""
        if not end.answered:
            return
        if end.status is Status.OK:
            self._leases.record_accepted(worker, end.sent_us)
            self.advance(now_us)
        elif asked and end.status is Status.FULL:
            self._leases.record_draining(worker)
            self._log("info", "worker", worker=worker, state="draining", by="its answer")
