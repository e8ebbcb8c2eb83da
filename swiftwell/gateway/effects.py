"""The ledger of effects: which keys have an effect that is running, done, or may have run.  No I/O.

The module ensures that one call does not run twice (rule 2); the ledger ensures the same for a key, over
redelivery, publishers' retries and restarts.  `Ledger.claim` decides what a trigger that names a key may do;
the shell makes each `Record` durable (gateway/journal.py) and reports when it is.

Workers drop repeats of a keyed call for a window from its first run on, which may be as early as the
hand-over of its first attempt that may have run.  So the window counts from that hand-over, and no attempt
may arrive after it: a repeat is handed over before its end, and once there is one, every attempt of the call
is given up `calls.MAX_ARRIVAL_DELAY_US` before it.  A link drops what is given up and not known to have
arrived within that time, by a reset of its connection.  What a worker's own machine has taken and not read
is out of reach.

Times are wall-clock microseconds, as entries outlive the process.  If the clock is set back, entries look
younger and are kept longer, which is the safe side.  The shell passes a clock anchored at its start, so that
a step forward during a run makes no entry older; a step forward between two runs does, by its size.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.interface import Effect

MAX_BODY_BYTES = 65_536  # of an answer kept for repeats; a longer one is reported as done, without its body


class Step(Enum):
    """State of a key, as a record in the journal states it."""

    INTENT = "intent"  # it may run from now on
    DONE = "done"  # served; the record holds the answer for repeats
    MAY_HAVE_RUN = "doubt"  # failed: it may have run
    FREE = "free"  # refused: it did not run, and the key counts as never seen


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record of the journal; `at_us` is wall-clock time."""

    step: Step
    tenant: str
    key: str
    at_us: int
    request_digest: bytes = b""  # of the request's class, function and payload
    body: bytes = b""
    worker: str = ""
    first_us: int = 0  # when the effect may first have run: from then on workers drop repeats of a keyed call


class Verdict(Enum):
    """What a trigger that names a key may do."""

    RUN = "run"  # the key is new: make the intent durable, then run
    JOIN = "join"  # it is running: share its answer
    ALREADY_DONE = "told"  # it is done: give the recorded answer
    MAY_HAVE_RUN = "doubt"  # it may have run: fail
    CONFLICT = "conflict"  # the key belongs to another request: refuse
    CLOSED = "shut"  # the key is new, but the ledger accepts no intent: refuse
    NOT_NOW = "not now"  # the key is new, but may not run for another reason: refuse


@dataclass(slots=True)
class Entry:
    """The state of a key."""

    step: Step
    at_us: int
    request_digest: bytes
    body: bytes = b""
    worker: str = ""
    call: str = ""  # id of the running call in this process
    first_us: int = 0  # when it may first have run


@dataclass(frozen=True, slots=True)
class Bounds:
    """How long and how much the ledger keeps, from the site's settings.

    `keep_us`: time that a key is kept after its last record.  `entries`, `bytes`: limits of the size; an
    entry within `keep_us` is never evicted to make room.  The ledger closes instead, as a forgotten key could
    run twice.
    """

    keep_us: int
    entries: int
    bytes: int


class Ledger:
    """The table of keys, oldest record first.

    >>> ledger = Ledger(Bounds(60_000_000, 10, 1_000))
    >>> ledger.claim(0, "t", "k", b"p", False, Effect.UNSAFE, "call-1", 0)[0].name
    'RUN'
    >>> ledger.claim(1, "t", "k", b"p", False, Effect.UNSAFE, "call-2", 0)
    (<Verdict.JOIN: 'join'>, 'call-1')
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._entries: OrderedDict[tuple[str, str], Entry] = OrderedDict()
        self._bytes = 0
        self.closed_reason = ""  # set while the journal can't be written
        self.gap_until = 0  # wall time until which an unknown key may have run, as records were lost
        self.evicted = 0  # entries evicted by age

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes(self) -> int:
        """Size of the entries in bytes, as `Bounds.bytes` limits it."""
        return self._bytes

    def claim(
        self,
        now_us: int,
        tenant: str,
        key: str,
        request_digest: bytes,
        maybe_seen_elsewhere: bool,
        effect: Effect,
        call: str,
        dedup_window_us: int,
        may_run: bool = True,
    ) -> tuple[Verdict, str | Entry | None]:
        """Decide what a trigger may do; on RUN the key is claimed for `call`.

        `maybe_seen_elsewhere`: another gateway may have received it.  `dedup_window_us`: how long all workers
        drop repeats of a keyed class, 0 if only some do.  `may_run`: if false, the key is only looked up.
        Returns the verdict with the running call (JOIN), the entry (RUN, ALREADY_DONE, MAY_HAVE_RUN) or None.
        """
        self.evict_expired(now_us)
        entry, first_us = self._entries.get((tenant, key)), now_us
        if entry is not None:
            if entry.request_digest and entry.request_digest != request_digest:
                return Verdict.CONFLICT, None
            if entry.call:
                return Verdict.JOIN, entry.call
            if entry.step is Step.DONE:
                return Verdict.ALREADY_DONE, entry
            # A keyed call may run again within the time in which all workers drop its repeats.
            if not (may_run and effect is Effect.KEYED and now_us < entry.first_us + dedup_window_us):
                return Verdict.MAY_HAVE_RUN, entry
            first_us = entry.first_us
        elif now_us < self.gap_until or maybe_seen_elsewhere:
            # Records were lost, or only another gateway's ledger has the key: it may have run.
            return Verdict.MAY_HAVE_RUN, None
        if not may_run:
            return Verdict.NOT_NOW, None
        if self.closed_reason or self._is_full(key):
            return Verdict.CLOSED, None
        claimed = Entry(Step.INTENT, now_us, request_digest, call=call, first_us=first_us)
        self._store((tenant, key), claimed)
        return Verdict.RUN, claimed

    def settle(self, now_us: int, tenant: str, key: str, answer: Answer) -> Record | None:
        """Record the final answer of the call that claimed a key; returns the record to write."""
        entry = self._entries.get((tenant, key))
        if entry is None:
            return None
        if answer.kind is Kind.REFUSED and entry.first_us == entry.at_us:
            # On the first run only: after a refused repeat of a keyed call its earlier run may have run.
            self._remove((tenant, key))
            return Record(Step.FREE, tenant, key, now_us)
        step = Step.DONE if answer.kind is Kind.SERVED else Step.MAY_HAVE_RUN
        body = answer.body if len(answer.body) <= MAX_BODY_BYTES else b""
        settled = Entry(step, now_us, entry.request_digest, body, answer.worker, "", entry.first_us)
        self._store((tenant, key), settled)
        return self.record(tenant, key, settled)

    @staticmethod
    def record(tenant: str, key: str, entry: Entry) -> Record:
        """Convert an entry to its record in the journal."""
        return Record(
            entry.step,
            tenant,
            key,
            entry.at_us,
            entry.request_digest,
            entry.body,
            entry.worker,
            entry.first_us,
        )

    def replay(self, record: Record) -> None:
        """Apply a record of an earlier process; an intent without a later record may have run."""
        key = (record.tenant, record.key)
        if record.step is Step.FREE:
            self._remove(key)
        else:
            self._store(
                key,
                Entry(
                    record.step,
                    record.at_us,
                    record.request_digest,
                    record.body,
                    record.worker,
                    "",
                    record.first_us,
                ),
            )

    def reclaim(self, tenant: str, key: str, call: str) -> None:
        """Claim a replayed key for a call that continues in this process."""
        entry = self._entries.get((tenant, key))
        if entry is not None:
            self._store((tenant, key), replace(entry, call=call))

    def records(self) -> list[Record]:
        """All entries as records, for a new segment of the journal."""
        return [self.record(tenant, key, entry) for (tenant, key), entry in self._entries.items()]

    def evict_expired(self, now_us: int) -> None:
        """Evict entries older than `Bounds.keep_us`, except those of running calls.

        Entries are in the order of their last record.  If the clock was set back, an old entry behind a
        younger one is evicted after it, so it is kept longer and never shorter.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.at_us + self.bounds.keep_us > now_us:
                return
            if entry.call:
                entry.at_us = now_us
                self._entries.move_to_end(key)
                continue
            self._remove(key)
            self.evicted += 1

    def _is_full(self, key: str) -> bool:
        # Room for the largest answer is reserved; else an effect could run whose answer finds no room.
        return (
            len(self._entries) >= self.bounds.entries
            or self._bytes + MAX_BODY_BYTES + len(key) > self.bounds.bytes
        )

    def _entry_bytes(self, key: tuple[str, str], entry: Entry) -> int:
        reserve = MAX_BODY_BYTES if entry.call else len(entry.body)
        # 100 bytes: overhead of the record.
        return len(key[0]) + len(key[1]) + len(entry.request_digest) + reserve + 100

    def _store(self, key: tuple[str, str], entry: Entry) -> None:
        self._remove(key)
        self._entries[key] = entry
        self._bytes += self._entry_bytes(key, entry)

    def _remove(self, key: tuple[str, str]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._bytes -= self._entry_bytes(key, entry)
