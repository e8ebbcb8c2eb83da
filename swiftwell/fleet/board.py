"""A notice board: one member writes small entries under names, all others come to hold the same.  No I/O.

What is passed on is a log: each change of an entry has the next number, and a member that holds everything
up to a number asks for what came after it, a few entries a datagram.  A member that takes the writing over
begins an edition of its own, above every one it has seen; the highest edition is the one that counts.  Two
editions may be written at once for a while, as when a fleet was cut: whoever hears of the higher one moves to
it whole, and keeps what it has until then.

News of an edition's last number goes to FAN members at once from everyone that gets there, and again with
each beat, a number that the writer raises while it has itself heard from where the entries come from.  A beat
that stands still says that the writer is gone, or deaf: what is on the board may be old then, and its user
asks elsewhere.  Each member sends FAN datagrams a beat and a few for what it lacks, however many there are.

A board is no lock: who may write is its user's matter (a lease, or a turn).
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping

from swiftwell.fleet.words import Fetch, Notice, Part, Word

FAN = 3  # members told at once by each that learns: news reaches 200 in five steps, if one is lost as well
FETCH_AGAIN_US = 200_000  # us until what was asked for counts as lost: a hundred times a LAN's way
PART_BYTES = 150  # of entries in a datagram: with header, numbers and check it stays under 256
WINDOW = 8  # parts sent for one question: 60 entries take two
MOST_ENTRIES = 10_000  # names on a board: as many as a list of workers may have
MOST_ENTRY = 140  # bytes of a name and its value: one has to fit a part
MOST_AHEAD = 2 * WINDOW  # parts kept that came before their turn
MOST_GONE = 64  # names that are off the board, beyond as many as are on it, until an edition is begun anew
POSITION = 0xFFFF  # bits of an edition that hold its writer's position: a roster's bound
MOST_EDITION = 1 << 62  # an edition above this is none: nobody may use the numbers up
ASKING_US = 100_000  # us between two rounds of questions of one that holds nothing yet


class Board:
    """One member's copy.  `group`: positions of those who share it, ours included."""

    def __init__(
        self, name: str, me: int, group: tuple[int, ...], now: int, period_us: int, seed: int
    ) -> None:
        self.name, self.me, self.period_us = name, me, period_us
        self.others = tuple(number for number in group if number != me)
        self._group = frozenset(self.others)  # looked at for each datagram
        self._chance = random.Random(f"{seed}/{name}/{me}")
        self._here = _Copy(0)  # the edition that counts
        self.beat, self.beat_at = 0, 0  # the highest of this edition, and when it rose
        self.writer = -1  # of the edition that is here
        self.changed = False  # since the user last looked
        self.heard_at = 0  # when any of the group last spoke to us, of whatever
        self.coming_at = -1 << 62  # when we last heard of an edition of another's that we don't hold yet
        # Whom to tell first; one that holds nothing asks all of the group.
        self.living: Collection[int] = ()
        self.counts: Counter[str] = Counter()
        self._next: _Copy | None = None  # of a higher edition, not whole yet
        self._known = (0, 0)  # the highest edition and number heard of
        self._ours = 0  # the edition that we began in this life; one of an earlier life is another's
        self._teller = -1  # who last told of something that we lack
        self._asked_at = now - FETCH_AGAIN_US
        self._tell = False
        self._round_at = now + int(self._chance.random() * ASKING_US)

    # For the user.

    @property
    def edition(self) -> int:
        """The one that counts here; 0 is none."""
        return self._here.edition

    @property
    def number(self) -> int:
        """Of its last change that is here."""
        return self._here.number

    def entries(self) -> dict[str, bytes]:
        """What stands on it."""
        return {name: value for name, (_, value) in self._here.log.items() if value}

    @property
    def writing(self) -> bool:
        """Whether the edition that counts here is ours."""
        return self.edition == self._ours > 0

    def begin(self, now: int, wall_ms: int) -> None:
        """Write from now on: an edition above every one seen, by the wall clock where that is above them."""
        above = max(self.edition, self._known[0], self._next.edition if self._next else 0)
        kept = self.entries()
        self._here, self._next = _Copy(max(wall_ms, (above >> 16) + 1) << 16 | self.me), None
        self._here.log = {name: (at, value) for at, (name, value) in enumerate(kept.items(), 1)}
        self._here.number = len(kept)
        self._ours, self.writer = self.edition, self.me
        self.beat, self.beat_at, self._known = 1, now, (self.edition, self.number)
        self._tell = True
        self.counts["begun"] += 1

    def write(self, now: int, wall_ms: int, entries: Mapping[str, bytes]) -> None:
        """All that stands on it from now on; only differences are passed on.  Raises ValueError."""
        too_long = [one for one, value in entries.items() if len(one.encode()) + len(value) > MOST_ENTRY]
        if too_long or len(entries) > MOST_ENTRIES or not all(entries.values()):
            raise ValueError(f"board {self.name}: {len(entries)} entries, too long: {too_long[:3]}")
        if not self.writing:
            self.begin(now, wall_ms)
        here = self._here
        new = [(name, value) for name, value in entries.items() if here.log.get(name, (0, b""))[1] != value]
        new += [(name, b"") for name, (_, value) in here.log.items() if value and name not in entries]
        for name, value in new:
            here.number += 1
            here.log.pop(name, None)  # so that the log stays in the order of numbers
            here.log[name] = here.number, value
        if new:
            self._known, self._tell = (self.edition, self.number), True
            self.counts["written"] += len(new)
        if len(here.log) > 2 * len(entries) + MOST_GONE:
            self.begin(now, wall_ms)  # names that are off are told by not being there

    def beats(self, now: int) -> None:
        """The writer has just heard from where the entries come from."""
        if self.writing:
            self.beat, self.beat_at = self.beat + 1, now

    def heard(self, now: int, member: int) -> None:
        """A member spoke to us, of whatever."""
        if member in self._group:
            self.heard_at = now

    def silent_us(self, now: int) -> int | None:
        """How long the beat has stood still; None where none was heard."""
        return now - self.beat_at if self.edition else None

    # Words.

    def step(self, now: int) -> list[tuple[int, Word]]:
        """What is due."""
        out: list[tuple[int, Word]] = []
        if self._tell:
            self._tell = False
            out += [(to, self._notice()) for to in self._some(FAN)]
        if self._known > (self.edition, self.number) and now - self._asked_at >= FETCH_AGAIN_US:
            out += self._fetch(now, self._teller, self._known[0])  # an answer, or a part of it, was lost
        if now >= self._round_at:
            asking = not self.edition
            self._round_at = now + (ASKING_US if asking else self.period_us)
            out += [(to, self._notice()) for to in self._some(FAN if asking or self.writing else 1)]
        return out

    def _notice(self) -> Notice:
        return Notice(self.name, self.edition, self.number, self.beat)

    def _some(self, count: int) -> list[int]:
        alive = set(self.living) if self.edition else ()
        whom = [one for one in self.others if one in alive] or self.others
        return self._chance.sample(whom, min(count, len(whom)))

    def take(self, now: int, sender: int, word: Word) -> list[tuple[int, Word]]:
        """A word of one of the group; what is said back."""
        if sender not in self._group or not 0 <= getattr(word, "edition", 0) < MOST_EDITION:
            self.counts["stranger"] += 1
            return []
        match word:
            case Notice():
                return self._noticed(now, sender, word)
            case Fetch():
                return [(sender, part) for part in self._parts(word)]
            case Part():
                return self._part(now, sender, word)
        return []

    def _noticed(self, now: int, sender: int, word: Notice) -> list[tuple[int, Word]]:
        if (word.edition, word.number) > (self.edition, self.number):
            self._known, self._teller = max(self._known, (word.edition, word.number)), sender
            if word.edition > self.edition:
                self.coming_at = now
            if now - self._asked_at < FETCH_AGAIN_US:
                return []
            return self._fetch(now, sender, word.edition)
        if word.edition == self.edition and word.beat > self.beat:
            # Only of the edition that is whole here: a beat says that what we hold is fresh.
            self.beat, self.beat_at, self._tell = word.beat, now, True
        elif (word.edition, word.number) < (self.edition, self.number):
            return [(sender, self._notice())]
        return []

    def _fetch(self, now: int, sender: int, edition: int) -> list[tuple[int, Word]]:
        self._asked_at = now
        self.counts["fetches"] += 1
        if edition == self.edition:
            return [(sender, Fetch(self.name, edition, self.number))]
        if self._next is None or self._next.edition < edition:
            self._next = _Copy(edition)
        return [(sender, Fetch(self.name, self._next.edition, self._next.number))]

    def _parts(self, word: Fetch) -> list[Part]:
        """What came after the number that one holds, as far as a window goes."""
        if word.edition != self.edition or (word.have >= self.number and self.number):
            return []
        cuts: list[tuple[int, list[tuple[str, bytes]]]] = []  # upto, and what is said
        said: list[tuple[str, bytes]] = []
        size, upto = 0, word.have
        for name, (number, value) in self._here.log.items():
            if number <= word.have:
                continue
            length = len(name.encode()) + len(value) + 4
            if said and size + length > PART_BYTES:
                cuts.append((upto, said))
                if len(cuts) == WINDOW:
                    break
                said, size = [], 0
            said.append((name, value))
            size, upto = size + length, number
        else:
            cuts.append((self.number, said))
        self.counts["parts"] += len(cuts)
        out, after = [], word.have
        for at, (upto, said) in enumerate(cuts, 1):
            out.append(Part(self.name, self.edition, after, upto, self.number, at == len(cuts), said))
            after = upto
        return out

    def _part(self, now: int, sender: int, word: Part) -> list[tuple[int, Word]]:
        if not word.after <= word.upto <= word.last or len(self._here.log) > 2 * MOST_ENTRIES:
            self.counts["bad-part"] += 1
            return []
        self._known = max(self._known, (word.edition, word.last))
        if word.edition == self.edition and not self.writing:
            copy = self._here
        elif self._next and word.edition == self._next.edition > self.edition:
            copy = self._next
        else:
            return []
        before = copy.number
        copy.take(word)
        whole = copy.number >= word.last
        if whole and copy is self._next:
            self._here, self._next = copy, None
            self.writer = copy.edition & POSITION
            self.beat, self.beat_at, self.changed = 0, now, True
        elif copy is self._here and copy.number > before:
            self.changed = True
        if whole:
            self._tell = self._tell or copy.number > before or not word.last
            self._asked_at = now - FETCH_AGAIN_US
        return self._fetch(now, sender, word.edition) if word.final and not whole else []

    def sizes(self) -> dict[str, int]:
        """Everything held."""
        return {"entries": len(self._here.log), "coming": len(self._next.log) if self._next else 0}


class _Copy:
    """An edition, as far as it is here."""

    def __init__(self, edition: int) -> None:
        self.edition, self.number = edition, 0  # all up to that number
        self.log: dict[str, tuple[int, bytes]] = {}  # name: its number and value, b"" is off; by number
        self._ahead: dict[int, Part] = {}  # parts whose predecessors are late or lost

    def take(self, part: Part) -> None:
        """A part of this edition, in any order."""
        if part.after > self.number:
            if len(self._ahead) < MOST_AHEAD:
                self._ahead[part.after] = part
            return
        self._put(part)
        while self._ahead:
            first = min(self._ahead)
            if first > self.number:
                break
            self._put(self._ahead.pop(first))

    def _put(self, part: Part) -> None:
        """Entries in their order.

        Their own numbers are not told: each gets the highest that it can have, so that whoever asks us for
        what came after a number is told too much rather than too little.
        """
        if part.upto <= self.number:
            return
        for at, (name, value) in enumerate(part.entries):
            self.log.pop(name, None)
            self.log[name] = part.upto - (len(part.entries) - 1 - at), value
        self.number = part.upto
