"""Feeds what the engine observes of workers to their leases, for when the list may be stale.  No I/O."""

from __future__ import annotations

from collections.abc import Callable

from swiftwell import interface as io
from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.gateway import ports
from swiftwell.interface import Status


class Evidence:
    """Feeds the leases; `emit` passes an event to the module, `log` writes a log line."""

    def __init__(
        self, leases: WorkerLeases, emit: Callable[[io.Event], None], log: Callable[..., None]
    ) -> None:
        self._leases, self._emit, self._log = leases, emit, log

    def advance(self, now_us: int) -> None:
        """Emit the changes that follow from the age of the list and from workers' answers."""
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
        elif staleness.confirmed_us is None:  # as after each start, until the source confirms the list
            self._log("info", "list-unconfirmed")
        else:
            reason, age_ms = staleness.reason(), (now_us - staleness.confirmed_us) // 1_000
            self._log("warning", "list-stale", age_ms=age_ms, why=reason)

    def connection(self, event: ports.WorkerConnected | ports.WorkerDisconnected, now_us: int) -> None:
        """A connection to a worker was established or closed; called before the outcomes it carried."""
        if isinstance(event, ports.WorkerConnected):
            self._leases.connected(event.worker, event.at_us)
            self.advance(now_us)
        else:
            self._leases.disconnected(event.worker, event.at_us)

    def call_ended(self, worker: str, end: ports.AttemptEnd) -> None:
        """A served call was accepted, so its worker was not draining when the call was sent."""
        if end.status is Status.OK:
            self._leases.record_accepted(worker, end.sent_us)

    def order_ended(self, worker: str, end: ports.OrderEnd, is_query: bool, now_us: int) -> None:
        """A draining worker rejects load orders and queries; a query is not rejected for any other reason."""
        if not end.answered:
            return
        if end.status is Status.OK:
            self._leases.record_accepted(worker, end.sent_us)
            self.advance(now_us)
        elif is_query and end.status is Status.FULL:
            self._leases.record_draining(worker)
            self._log("info", "worker", worker=worker, state="draining", by="its answer")
