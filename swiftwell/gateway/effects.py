"""The ledger of effects: which keys have an effect under way, done, or in doubt.  Decisions only, no I/O.

Rule 2 outlives a call here: the module keeps one call from running twice, the ledger keeps a *key* from it,
over
redelivery, publishers' retries and restarts.  `Ledger.claim` decides what a trigger that names a key may do;
the shell makes each `Record` durable (gateway/journal.py) and tells when it is.

Time is wall-clock microseconds, as entries outlive the process.  A clock set back makes entries look
younger, so
they are kept longer, which is the safe side; the shell gives a clock anchored at its start, so that a step
forward
while it runs makes nothing older (a step between two runs does, as far as it goes).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.interface import Effect

MOST_BODY = 65_536  # bytes of an answer kept for repeats; a longer one is told as done, without its body


class Step(Enum):
    """What a record in the journal says of its key."""

    INTENT = "intent"  # it may run from here on
    DONE = "done"  # served, with the answer to give again
    MAY_HAVE_RUN = "doubt"  # failed: it may have run
    FREE = "free"  # refused: it is known not to have run, the key is as if never seen


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One line of the journal; `at_us` is wall-clock time, `print_` the digest of what was asked."""

    step: Step
    tenant: str
    key: str
    at_us: int
    request_digest: bytes = b""
    body: bytes = b""
    worker: str = ""
    first_us: int = 0  # when the effect may have run first: workers' memory of a keyed call counts from then


class Verdict(Enum):
    """What a trigger that names a key may do."""

    RUN = "run"  # it is the first: make the intent durable, then run
    JOIN = "join"  # it is running: share its answer
    ALREADY_DONE = "told"  # it was done: give the recorded answer
    MAY_HAVE_RUN = "doubt"  # it may have run: fail
    CONFLICT = "conflict"  # the key stands for something else: refuse
    CLOSED = "shut"  # it is the first, and the ledger can take no intent: refuse
    NOT_NOW = "not now"  # it is the first, and may not run for another reason: refuse


@dataclass(slots=True)
class Entry:
    """What is known of a key."""

    step: Step
    at_us: int
    request_digest: bytes
    body: bytes = b""
    worker: str = ""
    call: str = ""  # the running call, in this process
    first_us: int = 0  # when it may have run first


@dataclass(frozen=True, slots=True)
class Bounds:
    """How long and how much the ledger keeps; the site's settings state it.

    `keep_us`: for so long after its last record a key is remembered.  `entries`, `bytes`: at most so much;
    an entry
    within `keep_us` is never dropped to make room: the ledger shuts instead, as a forgotten key could run
    twice.
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
        self.gap_until = 0  # wall time until which a key unknown here may yet have run
        self.evicted = 0  # entries forgotten by age

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes(self) -> int:
        """Bytes that the entries take, by the account that `Bounds.bytes` limits."""
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
        """Decide on a trigger; on RUN the key is claimed for `call`.

        `elsewhere`: another gateway may have been given it.  `remembers_us`: how long every worker drops
        repeats of a
        keyed class, 0 where only some do.  `may_run`: else it is only looked up.
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
            # A keyed class that every worker drops repeats of may run again while they all still remember.
            if not (may_run and effect is Effect.KEYED and now_us < entry.first_us + dedup_window_us):
                return Verdict.MAY_HAVE_RUN, entry
            first_us = entry.first_us
        elif now_us < self.gap_until or maybe_seen_elsewhere:
            # Records were lost, or another gateway's ledger would know: it may have run.
            return Verdict.MAY_HAVE_RUN, None
        if not may_run:
            return Verdict.NOT_NOW, None
        if self.closed_reason or self._full(key):
            return Verdict.CLOSED, None
        claimed = Entry(Step.INTENT, now_us, request_digest, call=call, first_us=first_us)
        self._put((tenant, key), claimed)
        return Verdict.RUN, claimed

    def settle(self, now_us: int, tenant: str, key: str, answer: Answer) -> Record | None:
        """The call that had claimed a key has its final answer; returns what to write down."""
        entry = self._entries.get((tenant, key))
        if entry is None:
            return None
        if answer.kind is Kind.REFUSED and entry.first_us == entry.at_us:
            # Only of a first run: a refused repeat of a keyed call leaves its earlier run in doubt.
            self._drop((tenant, key))
            return Record(Step.FREE, tenant, key, now_us)
        step = Step.DONE if answer.kind is Kind.SERVED else Step.MAY_HAVE_RUN
        body = answer.body if len(answer.body) <= MOST_BODY else b""
        ended = Entry(step, now_us, entry.request_digest, body, answer.worker, "", entry.first_us)
        self._put((tenant, key), ended)
        return self.record(tenant, key, ended)

    @staticmethod
    def record(tenant: str, key: str, entry: Entry) -> Record:
        """An entry as the journal holds it."""
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
        """Take in a record of an earlier life; an intent without an end may have run."""
        key = (record.tenant, record.key)
        if record.step is Step.FREE:
            self._drop(key)
        else:
            self._put(
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
        """A key that was replayed is claimed by a call that runs on in this process."""
        entry = self._entries.get((tenant, key))
        if entry is not None:
            self._put((tenant, key), replace(entry, call=call))

    def records(self) -> list[Record]:
        """What a new journal must hold so that nothing is forgotten."""
        return [self.record(tenant, key, entry) for (tenant, key), entry in self._entries.items()]

    def evict_expired(self, now_us: int) -> None:
        """Drop what is older than the bound; running calls stay.

        Entries stand in the order of their last record; where the clock was set back an old entry behind a
        younger
        one waits for it, so it is kept longer and never shorter.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.at_us + self.bounds.keep_us > now_us:
                return
            if entry.call:
                entry.at_us = now_us
                self._entries.move_to_end(key)
                continue
            self._drop(key)
            self.evicted += 1

    def _full(self, key: str) -> bool:
        # Room for the largest answer is set aside, or an effect could run whose answer finds no room.
        return (
            len(self._entries) >= self.bounds.entries
            or self._bytes + MOST_BODY + len(key) > self.bounds.bytes
        )

    def _size(self, key: tuple[str, str], entry: Entry) -> int:
        reserve = MOST_BODY if entry.call else len(entry.body)
        # 100 bytes: the overhead of the record.
        return len(key[0]) + len(key[1]) + len(entry.request_digest) + reserve + 100

    def _put(self, key: tuple[str, str], entry: Entry) -> None:
        self._drop(key)
        self._entries[key] = entry
        self._bytes += self._size(key, entry)

    def _drop(self, key: tuple[str, str]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._bytes -= self._size(key, entry)
