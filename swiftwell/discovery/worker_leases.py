"""What is proven of each worker by its own answers: a lease of evidence that it serves, and that its process
is the one that the list names.  No I/O; monotonic us.

While the list is current its word is enough.  Once something that went unheard may count as told, a send
needs proof that the worker did not drain at most the grace ago: a call that it took or a question that it
answered, each of which counts from when it was handed over.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell import interface as io
from swiftwell.discovery.staleness import ListStaleness

NEVER_US = -(1 << 62)
DECISION_US = 100_000  # us of a lease left at a decision, for the way to the hand-over: a connection, a turn
HANDOVER_US = 60_000  # us left at the hand-over: a process with a part of a core may be held before its write
DECISION_PART = 4  # a decision leaves one part in so many of the grace at most: a short one leaves a lease
HANDOVER_PART = 8  # likewise the hand-over
RECONNECT_US = 100_000  # us without a connection within which no process ends, starts anew and listens again


@dataclass(slots=True)
class _Lease:
    """What is known of one worker."""

    proven_us: int = NEVER_US  # it did not drain then
    draining: bool = False  # it said so itself, and nothing since says otherwise
    connections: int = 0
    same_since_us: int = NEVER_US  # connections stood without a gap since then: one process all the time
    parted_us: int = NEVER_US  # the last one ended


class WorkerLeases:
    """Leases of all workers; `grace_us` None where no rule on drains is told, so that no proof is needed."""

    def __init__(self, staleness: ListStaleness, grace_us: int | None) -> None:
        self.staleness, self._grace_us = staleness, grace_us
        self._leases: dict[str, _Lease] = {}
        self._events: list[io.Restarted | io.ListState] = []
        self.stale = False  # as the events told it last
        self._decision_us = min(DECISION_US, (grace_us or 0) // DECISION_PART)
        self._handover_us = min(HANDOVER_US, (grace_us or 0) // HANDOVER_PART)

    def __len__(self) -> int:
        return len(self._leases)

    # What is asked.

    def list_serves(self, now_us: int) -> bool:
        """Whether a send that is decided now keeps the rule by the list's word alone."""
        if self._grace_us is None:
            return True
        return now_us + self._decision_us <= self.staleness.told_us() + self._grace_us

    def serves(self, worker: str, now_us: int) -> bool:
        """Whether a send to a listed worker that is decided now keeps the rule on drains."""
        return self._holds(worker, now_us + self._decision_us)

    def may_hand_over(self, worker: str, now_us: int) -> bool:
        """The same for bytes that are handed to the kernel now."""
        return self._holds(worker, now_us + self._handover_us)

    def _holds(self, worker: str, until_us: int) -> bool:
        if self._grace_us is None:
            return True
        lease = self._leases.get(worker)
        if lease is not None and lease.draining:
            return False
        proven_us = self.staleness.told_us()
        if lease is not None:
            proven_us = max(proven_us, lease.proven_us)
        return until_us <= proven_us + self._grace_us

    def counts(self, now_us: int) -> dict[str, int]:
        """How many workers are proven to serve, drain by their own word, and are unproven."""
        found = {"proven": 0, "draining": 0, "unproven": 0}
        for name, lease in self._leases.items():
            state = "proven" if self.serves(name, now_us) else "unproven"
            found["draining" if lease.draining else state] += 1
        return found

    # What is learnt.

    def took(self, worker: str, sent_us: int) -> None:
        """It took a call, or answered a question, that was handed over at `sent_us`."""
        lease = self._leases.get(worker)
        if lease is None:
            return
        lease.proven_us = max(lease.proven_us, sent_us)
        if lease.draining:  # what drained has ended, and another process answers in its place
            lease.draining = False
            self._restarted(worker, lease, sent_us)

    def turned_away(self, worker: str) -> None:
        """It answered a question as a worker that drains."""
        lease = self._leases.get(worker)
        if lease is not None:
            lease.draining, lease.proven_us = True, NEVER_US

    def connected(self, worker: str, at_us: int) -> None:
        """A connection to it came up."""
        lease = self._leases.get(worker)
        if lease is None:
            return
        lease.connections += 1
        if lease.connections == 1 and at_us > lease.parted_us + RECONNECT_US:
            lease.same_since_us = at_us
            if self.stale:
                self._identify(worker, lease, at_us)

    def disconnected(self, worker: str, at_us: int) -> None:
        """A connection to it ended; with the last one ends what is proven, as its process may have."""
        lease = self._leases.get(worker)
        if lease is None or not lease.connections:
            return
        lease.connections -= 1
        if not lease.connections:
            lease.parted_us, lease.proven_us = at_us, NEVER_US

    def listed(self, worker: str) -> None:
        """The list has news of it, which overrule what it said itself."""
        self._leases.setdefault(worker, _Lease()).draining = False

    def forget(self, worker: str) -> None:
        """It has left the list."""
        self._leases.pop(worker, None)

    def advance(self, now_us: int) -> list[io.Restarted | io.ListState]:
        """Let time pass; what the decisions are to be told, in order."""
        stale = self._grace_us is not None and self.staleness.stale(now_us)
        if stale is not self.stale:
            self.stale = stale
            self._events.append(io.ListState(stale))
            for worker, lease in self._leases.items():
                self._turn(worker, lease, now_us)
        found, self._events = self._events, []
        return found

    def _turn(self, worker: str, lease: _Lease, now_us: int) -> None:
        """The list has become stale, or is current again and knows better than what workers said."""
        if not self.stale:
            lease.draining = False
        elif lease.connections:
            self._identify(worker, lease, now_us)

    def _identify(self, worker: str, lease: _Lease, now_us: int) -> None:
        """A process that was not met while the list was current may have started since, unheard."""
        if lease.same_since_us > self.staleness.identity_us() + RECONNECT_US:
            self._restarted(worker, lease, now_us)

    def _restarted(self, worker: str, lease: _Lease, at_us: int) -> None:
        lease.same_since_us = at_us
        self._events.append(io.Restarted(worker))
