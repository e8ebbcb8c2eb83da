"""A replicated key-value log: one member writes small entries, all others come to hold the same.  No I/O.

Each change of an entry gets the next index, and a member that holds everything up to an index fetches what
came after it, a few entries a datagram.  A member that takes over as writer begins a generation of its own,
above every generation it has seen; the highest generation is the valid one.  Two generations may be written
at the same time for a while, as after a partition: a member that learns of the higher one switches to it as a
whole, and keeps what it has until then.

The last index of a generation is announced to FANOUT members at once by every member that reaches it, and
again with each heartbeat, a counter that the writer raises while it hears from the source of the entries.  A
heartbeat that does not rise means that the writer is gone, or cut off from its source: the entries may be
outdated then, and the user of the log asks elsewhere.  Each member sends FANOUT datagrams a heartbeat, and a
few for what it lacks, whatever the number of members.

The log is no lock: its user decides who may write (by a lease, or in turns).
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping

from swiftwell.fleet.messages import LogChunk, LogFetch, LogSummary, Message

# Members told at once by each that learns of a change: 200 are reached in five steps, even if one is lost.
FANOUT = 3
FETCH_TIMEOUT_US = 200_000  # us until a fetch counts as lost: a hundred times the latency of a LAN
# Bytes of entries in a datagram: with header, indexes and authentication code it stays under 256.
MAX_CHUNK_BYTES = 150
CHUNKS_PER_FETCH = 8  # chunks sent for one fetch: 60 entries take two
MAX_ENTRIES = 10_000  # as many as a worker list may have
MAX_ENTRY_BYTES = 140  # of a name with its value: an entry has to fit in a chunk
MAX_OUT_OF_ORDER_CHUNKS = 2 * CHUNKS_PER_FETCH  # chunks kept until those before them arrive
# Deleted entries kept, beyond as many as there are others, before a new generation begins.
MAX_DELETED_ENTRIES = 64
WRITER_MASK = 0xFFFF  # bits of a generation that hold its writer's index: the limit of a roster
MAX_GENERATION = 1 << 62  # generations from here on are ignored, so that no sender can use up the numbers
STARTUP_INTERVAL_US = 100_000  # us between two summaries sent by a member that holds nothing yet


class ReplicatedLog:
    """One member's copy.  `group`: indexes of the members that share the log, including this one."""

    def __init__(
        self, name: str, me: int, group: tuple[int, ...], now: int, period_us: int, seed: int
    ) -> None:
        self.name, self.me, self.period_us = name, me, period_us
        self.others = tuple(number for number in group if number != me)
        self._group = frozenset(self.others)  # a set, as it is checked for each datagram
        self._random = random.Random(f"{seed}/{name}/{me}")
        self._current = _Generation(0)  # the valid generation
        self.heartbeat, self.heartbeat_at = 0, 0  # the highest of this generation, and when it rose
        self.writer = -1  # of the current generation
        self.changed = False  # since the user last reset it
        self.received_at = 0  # when any member of the group last sent us anything
        # When another member last announced a generation that we don't hold yet.
        self.newer_seen_at = -1 << 62
        # Members to contact first; a member that holds nothing contacts any of the group.
        self.alive: Collection[int] = ()
        self.counts: Counter[str] = Counter()
        self._incoming: _Generation | None = None  # a higher generation that is not complete yet
        self._latest_known = (0, 0)  # the highest generation and index announced
        # The generation begun by us in this incarnation; those of an earlier one count as another writer's.
        self._own_generation = 0
        self._fetch_from = -1  # the member that last announced something that we lack
        self._fetched_at = now - FETCH_TIMEOUT_US
        self._announce = False
        self._next_summary_at = now + int(self._random.random() * STARTUP_INTERVAL_US)

    # For the user.

    @property
    def generation(self) -> int:
        """The valid generation here; 0 if there is none."""
        return self._current.number

    @property
    def last_index(self) -> int:
        """The index of the last change held here."""
        return self._current.last_index

    def entries(self) -> dict[str, bytes]:
        """The entries that are not deleted."""
        return {name: value for name, (_, value) in self._current.log.items() if value}

    @property
    def is_writer(self) -> bool:
        """Whether the valid generation here is ours."""
        return self.generation == self._own_generation > 0

    def begin_generation(self, now: int, wall_ms: int) -> None:
        """Become the writer: begin a generation above every one seen, by the wall clock if that is higher."""
        highest = max(self.generation, self._latest_known[0], self._incoming.number if self._incoming else 0)
        kept = self.entries()
        self._current, self._incoming = (
            _Generation(max(wall_ms, (highest >> 16) + 1) << 16 | self.me),
            None,
        )
        self._current.log = {name: (index, value) for index, (name, value) in enumerate(kept.items(), 1)}
        self._current.last_index = len(kept)
        self._own_generation, self.writer = self.generation, self.me
        self.heartbeat, self.heartbeat_at, self._latest_known = 1, now, (self.generation, self.last_index)
        self._announce = True
        self.counts["begun"] += 1

    def write(self, now: int, wall_ms: int, entries: Mapping[str, bytes]) -> None:
        """Replace all entries; only the differences are sent.  Raises ValueError."""
        too_long = [
            name for name, value in entries.items() if len(name.encode()) + len(value) > MAX_ENTRY_BYTES
        ]
        if too_long or len(entries) > MAX_ENTRIES or not all(entries.values()):
            raise ValueError(f"replicated log {self.name}: {len(entries)} entries, too long: {too_long[:3]}")
        if not self.is_writer:
            self.begin_generation(now, wall_ms)
        current = self._current
        changes = [
            (name, value) for name, value in entries.items() if current.log.get(name, (0, b""))[1] != value
        ]
        changes += [(name, b"") for name, (_, value) in current.log.items() if value and name not in entries]
        for name, value in changes:
            current.last_index += 1
            current.log.pop(name, None)  # so that the log stays sorted by index
            current.log[name] = current.last_index, value
        if changes:
            self._latest_known, self._announce = (self.generation, self.last_index), True
            self.counts["written"] += len(changes)
        if len(current.log) > 2 * len(entries) + MAX_DELETED_ENTRIES:
            self.begin_generation(now, wall_ms)  # a new generation leaves the deleted entries out

    def raise_heartbeat(self, now: int) -> None:
        """The writer has just heard from the source of the entries."""
        if self.is_writer:
            self.heartbeat, self.heartbeat_at = self.heartbeat + 1, now

    def record_contact(self, now: int, member: int) -> None:
        """A datagram came from a member, whatever it held."""
        if member in self._group:
            self.received_at = now

    def heartbeat_age_us(self, now: int) -> int | None:
        """How long ago the heartbeat last rose; None if there was none."""
        return now - self.heartbeat_at if self.generation else None

    # Messages.

    def step(self, now: int) -> list[tuple[int, Message]]:
        """Do what is due; return the messages to send."""
        outgoing: list[tuple[int, Message]] = []
        if self._announce:
            self._announce = False
            outgoing += [(to, self._summary()) for to in self._sample_members(FANOUT)]
        if (
            self._latest_known > (self.generation, self.last_index)
            and now - self._fetched_at >= FETCH_TIMEOUT_US
        ):
            # The reply to the last fetch, or a chunk of it, was lost.
            outgoing += self._fetch(now, self._fetch_from, self._latest_known[0])
        if now >= self._next_summary_at:
            starting = not self.generation
            self._next_summary_at = now + (STARTUP_INTERVAL_US if starting else self.period_us)
            outgoing += [
                (to, self._summary())
                for to in self._sample_members(FANOUT if starting or self.is_writer else 1)
            ]
        return outgoing

    def _summary(self) -> LogSummary:
        return LogSummary(self.name, self.generation, self.last_index, self.heartbeat)

    def _sample_members(self, count: int) -> list[int]:
        alive = set(self.alive) if self.generation else ()
        members = [member for member in self.others if member in alive] or self.others
        return self._random.sample(members, min(count, len(members)))

    def handle(self, now: int, sender: int, message: Message) -> list[tuple[int, Message]]:
        """Handle a message of a member of the group; return the replies."""
        if sender not in self._group or not 0 <= getattr(message, "generation", 0) < MAX_GENERATION:
            self.counts["stranger"] += 1
            return []
        match message:
            case LogSummary():
                return self._handle_summary(now, sender, message)
            case LogFetch():
                return [(sender, chunk) for chunk in self._chunks_for(message)]
            case LogChunk():
                return self._handle_chunk(now, sender, message)
        return []

    def _handle_summary(self, now: int, sender: int, message: LogSummary) -> list[tuple[int, Message]]:
        if (message.generation, message.last_index) > (self.generation, self.last_index):
            self._latest_known, self._fetch_from = (
                max(self._latest_known, (message.generation, message.last_index)),
                sender,
            )
            if message.generation > self.generation:
                self.newer_seen_at = now
            if now - self._fetched_at < FETCH_TIMEOUT_US:
                return []
            return self._fetch(now, sender, message.generation)
        if message.generation == self.generation and message.heartbeat > self.heartbeat:
            # Only for the generation that is complete here: the heartbeat says that what we hold is fresh.
            self.heartbeat, self.heartbeat_at, self._announce = message.heartbeat, now, True
        elif (message.generation, message.last_index) < (self.generation, self.last_index):
            return [(sender, self._summary())]
        return []

    def _fetch(self, now: int, sender: int, generation: int) -> list[tuple[int, Message]]:
        self._fetched_at = now
        self.counts["fetches"] += 1
        if generation == self.generation:
            return [(sender, LogFetch(self.name, generation, self.last_index))]
        if self._incoming is None or self._incoming.number < generation:
            self._incoming = _Generation(generation)
        return [(sender, LogFetch(self.name, self._incoming.number, self._incoming.last_index))]

    def _chunks_for(self, message: LogFetch) -> list[LogChunk]:
        """The entries after the requested index, up to CHUNKS_PER_FETCH chunks."""
        if message.generation != self.generation or (
            message.after_index >= self.last_index and self.last_index
        ):
            return []
        cuts: list[tuple[int, list[tuple[str, bytes]]]] = []  # last index and entries of each chunk
        entries: list[tuple[str, bytes]] = []
        size, to_index = 0, message.after_index
        for name, (index, value) in self._current.log.items():
            if index <= message.after_index:
                continue
            length = len(name.encode()) + len(value) + 4
            if entries and size + length > MAX_CHUNK_BYTES:
                cuts.append((to_index, entries))
                if len(cuts) == CHUNKS_PER_FETCH:
                    break
                entries, size = [], 0
            entries.append((name, value))
            size, to_index = size + length, index
        else:
            cuts.append((self.last_index, entries))
        self.counts["parts"] += len(cuts)
        chunks, after_index = [], message.after_index
        for position, (to_index, entries) in enumerate(cuts, 1):
            chunks.append(
                LogChunk(
                    self.name,
                    self.generation,
                    after_index,
                    to_index,
                    self.last_index,
                    position == len(cuts),
                    entries,
                )
            )
            after_index = to_index
        return chunks

    def _handle_chunk(self, now: int, sender: int, message: LogChunk) -> list[tuple[int, Message]]:
        if (
            not message.after_index <= message.to_index <= message.last_index
            or len(self._current.log) > 2 * MAX_ENTRIES
        ):
            self.counts["bad-part"] += 1
            return []
        self._latest_known = max(self._latest_known, (message.generation, message.last_index))
        if message.generation == self.generation and not self.is_writer:
            generation = self._current
        elif self._incoming and message.generation == self._incoming.number > self.generation:
            generation = self._incoming
        else:
            return []
        before = generation.last_index
        generation.add(message)
        complete = generation.last_index >= message.last_index
        if complete and generation is self._incoming:
            self._current, self._incoming = generation, None
            self.writer = generation.number & WRITER_MASK
            self.heartbeat, self.heartbeat_at, self.changed = 0, now, True
        elif generation is self._current and generation.last_index > before:
            self.changed = True
        if complete:
            self._announce = self._announce or generation.last_index > before or not message.last_index
            self._fetched_at = now - FETCH_TIMEOUT_US
        return self._fetch(now, sender, message.generation) if message.final and not complete else []

    def sizes(self) -> dict[str, int]:
        """The number of entries held, deleted ones included."""
        return {"entries": len(self._current.log), "coming": len(self._incoming.log) if self._incoming else 0}


class _Generation:
    """A generation of the log, as far as it has arrived."""

    def __init__(self, number: int) -> None:
        self.number, self.last_index = number, 0  # everything up to this index is here
        self.log: dict[str, tuple[int, bytes]] = {}  # name: index and value, b"" if deleted; sorted by index
        self._out_of_order: dict[int, LogChunk] = {}  # chunks whose predecessors are late or lost

    def add(self, chunk: LogChunk) -> None:
        """Add a chunk of this generation; chunks may come in any order."""
        if chunk.after_index > self.last_index:
            if len(self._out_of_order) < MAX_OUT_OF_ORDER_CHUNKS:
                self._out_of_order[chunk.after_index] = chunk
            return
        self._append(chunk)
        while self._out_of_order:
            first = min(self._out_of_order)
            if first > self.last_index:
                break
            self._append(self._out_of_order.pop(first))

    def _append(self, chunk: LogChunk) -> None:
        """Append the entries of a chunk in order.

        The chunk does not carry the index of each entry: each gets the highest that it can have, so that a
        member that fetches from us after some index receives too much rather than too little.
        """
        if chunk.to_index <= self.last_index:
            return
        for position, (name, value) in enumerate(chunk.entries):
            self.log.pop(name, None)
            self.log[name] = chunk.to_index - (len(chunk.entries) - 1 - position), value
        self.last_index = chunk.to_index
