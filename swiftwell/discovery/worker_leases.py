"""Leases on workers, renewed by the workers' own answers.  No I/O; times are monotonic us.

A lease proves that a worker was not draining at some time, and that its process is the one that the list
names.  While the list is current, it is enough without a lease.  Once a missed list update may count as
delivered, a send needs proof that the worker was not draining at most a grace period ago: a call that it
accepted or a query that it answered, each counted from the time at which it was sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell import interface as io
from swiftwell.discovery.staleness import ListStaleness

NEVER_US = -(1 << 62)
# Time that must be left of a lease at a decision, as a connection and a loop turn may follow, and at the
# write, as a process with a fraction of a core may be descheduled before it.  Each margin is at most the
# grace period by its divisor, so that a short grace period still gives a usable lease.
DECISION_MARGIN_US = 100_000
WRITE_MARGIN_US = 60_000
DECISION_MARGIN_DIVISOR = 4
WRITE_MARGIN_DIVISOR = 8
MIN_RESTART_US = 100_000  # the least time in which a process can end, start and listen again


@dataclass(slots=True)
class _Lease:
    """What is known of one worker."""

    proven_us: int = NEVER_US  # when it was last known not to drain
    draining: bool = False  # by its own answer, which nothing later contradicts
    connections: int = 0
    same_process_since_us: int = NEVER_US  # connected without a gap since then, hence to one process
    connected_us: int = NEVER_US  # connected since then; another process may follow at once
    disconnected_us: int = NEVER_US  # when the last connection ended


class WorkerLeases:
    """Leases of all workers.  Without a drain rule `grace_us` is None, and no proof is needed."""

    def __init__(self, staleness: ListStaleness, grace_us: int | None) -> None:
        self.staleness, self._grace_us = staleness, grace_us
        self._leases: dict[str, _Lease] = {}
        self._events: list[io.Restarted | io.ListState] = []
        self.stale = False  # as last reported by `advance`
        self._decision_margin_us = min(DECISION_MARGIN_US, (grace_us or 0) // DECISION_MARGIN_DIVISOR)
        self._write_margin_us = min(WRITE_MARGIN_US, (grace_us or 0) // WRITE_MARGIN_DIVISOR)

    def __len__(self) -> int:
        return len(self._leases)

    # Queries.

    def list_suffices(self, now_us: int) -> bool:
        """Whether the list alone allows a send that is decided now, to any worker that it names as ready."""
        if self._grace_us is None:
            return True
        return now_us + self._decision_margin_us <= self.staleness.stale_from_us() + self._grace_us

    def may_send(self, worker: str, now_us: int) -> bool:
        """Whether the drain rule allows a send to a listed worker that is decided now."""
        return self._is_valid_until(worker, now_us + self._decision_margin_us)

    def may_write(self, worker: str, now_us: int) -> bool:
        """Whether the drain rule allows bytes for a listed worker to be passed to the kernel now."""
        return self._is_valid_until(worker, now_us + self._write_margin_us)

    def _is_valid_until(self, worker: str, end_us: int) -> bool:
        if self._grace_us is None:
            return True
        lease = self._leases.get(worker)
        if lease is not None and lease.draining:
            return False
        proven_us = self.staleness.stale_from_us()
        if lease is not None:
            proven_us = max(proven_us, lease.proven_us)
        return end_us <= proven_us + self._grace_us

    def is_listed_process(self, worker: str) -> bool:
        """Whether we are connected to the very process that the list names.

        Unlike for a lease, belief is not enough: a repeat at a process of another group is a second effect.
        The list was complete at a time at which the connection was open.
        """
        lease = self._leases.get(worker)
        return lease is not None and lease.connections > 0 and self.list_confirmed_since(lease.connected_us)

    def list_confirmed_since(self, at_us: int) -> bool:
        """Whether the source showed at this time or later that no update was missing."""
        confirmed_us = self.staleness.confirmed_us
        return confirmed_us is not None and confirmed_us >= at_us

    def counts(self, now_us: int) -> dict[str, int]:
        """Numbers of workers that are proven to serve, drain by their own answer, and are neither."""
        result = {"proven": 0, "draining": 0, "unproven": 0}
        for name, lease in self._leases.items():
            state = "proven" if self.may_send(name, now_us) else "unproven"
            result["draining" if lease.draining else state] += 1
        return result

    # Updates.

    def record_accepted(self, worker: str, sent_us: int) -> None:
        """Records that the worker accepted a call, or answered a query, that was sent at `sent_us`."""
        lease = self._leases.get(worker)
        if lease is None:
            return
        lease.proven_us = max(lease.proven_us, sent_us)
        if lease.draining:  # the draining process has ended, and another one answers at its address
            lease.draining = False
            self._record_restart(worker, lease, sent_us)

    def record_draining(self, worker: str) -> None:
        """Records that the worker answered a query as one that drains."""
        lease = self._leases.get(worker)
        if lease is not None:
            lease.draining, lease.proven_us = True, NEVER_US

    def connected(self, worker: str, at_us: int) -> None:
        """Records that a connection to the worker was opened."""
        lease = self._leases.get(worker)
        if lease is None:
            return
        lease.connections += 1
        if lease.connections == 1:
            lease.connected_us = at_us
        if lease.connections == 1 and at_us > lease.disconnected_us + MIN_RESTART_US:
            lease.same_process_since_us = at_us
            if self.stale:
                self._check_identity(worker, lease, at_us)

    def disconnected(self, worker: str, at_us: int) -> None:
        """Records that a connection ended; without any, the process may have ended, so the lease ends."""
        lease = self._leases.get(worker)
        if lease is None or not lease.connections:
            return
        lease.connections -= 1
        if not lease.connections:
            lease.disconnected_us, lease.proven_us = at_us, NEVER_US

    def listed(self, worker: str) -> None:
        """Records a list update for the worker, which overrules its own answers."""
        self._leases.setdefault(worker, _Lease()).draining = False

    def forget(self, worker: str) -> None:
        """Removes a worker that has left the list."""
        self._leases.pop(worker, None)

    def advance(self, now_us: int) -> list[io.Restarted | io.ListState]:
        """Moves time on and returns the events for the router since the last call, in order."""
        stale = self._grace_us is not None and self.staleness.is_stale(now_us)
        if stale is not self.stale:
            self.stale = stale
            self._events.append(io.ListState(stale))
            for worker, lease in self._leases.items():
                self._staleness_changed(worker, lease, now_us)
        events, self._events = self._events, []
        return events

    def _staleness_changed(self, worker: str, lease: _Lease, now_us: int) -> None:
        """A list that is current again overrules workers' answers; a stale one proves no identity."""
        if not self.stale:
            lease.draining = False
        elif lease.connections:
            self._check_identity(worker, lease, now_us)

    def _check_identity(self, worker: str, lease: _Lease, now_us: int) -> None:
        """Reports a restart unless the process was connected while the list was current."""
        if lease.same_process_since_us > self.staleness.identity_confirmed_us() + MIN_RESTART_US:
            self._record_restart(worker, lease, now_us)

    def _record_restart(self, worker: str, lease: _Lease, at_us: int) -> None:
        lease.same_process_since_us = at_us
        self._events.append(io.Restarted(worker))
