"""Leases: exclusive, timed, named; granted by a majority of voters that the settings fix.  No I/O, no disk.

After Trencseni and others, "PaxosLease", and Gray and Cheriton, "Leases".  What is promised, and by what:

* Two processes never both count a lease as theirs at one moment, as long as each clock's rate stays within
  RATE of true.  It rests on three things: a holder counts from before it asked and less than the term, a
  voter from when it granted and the whole term; a voter that has just started grants nothing for a term, so
  that whatever it granted in an earlier life has run out; a majority of every group of voters is needed, and
  the groups are configured, never the living.
* Messages may be lost, doubled, late by any time, out of order: a grant counts only in the round that asked
  for it, and a round is over when its time is.
* A token (the ballot) grows from holder to holder while a majority of voters keeps its memory.  Where all of
  them restarted within a term, it grows as far as wall clocks agree within a term; else the resource
  refuses an older token, and the holder is told (guard.py).

What is not promised is in guard.py: time passes between a check and the act that it allows.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from swiftwell.fleet.words import Granted, Prepare, Promise, Propose, Refuse, Release, Word

RATE = 0.01  # of true: how far a clock's rate may be off; NTP slews by 0.0005, bad crystals are off by 0.0001
MOST_NAMES = 64  # leases a voter knows at a time: tasks of a fleet are few
ROUND_PART = 0.25  # of the term: a round that has no majority by then is given up
AGAIN_PART = 0.04  # of the term: what was not answered by then is said again; six times in a round
RENEW_PART = 0.5  # of the term: what is left of a lease when its holder begins to renew it
WAIT_PART = 0.25  # of the term: the longest wait after the first lost round, drawn anew each time
WAIT_DOUBLINGS = 2  # doublings of that wait at most
STEP_SHIFT = 16  # bits of a ballot that hold the candidate's position: a roster has 65,536 members at most
MOST_LEAP = 1 << 62  # a ballot above this is no ballot: nobody may use the numbers up

Send = tuple[int, Word]  # to whom, and what


def choose(roster: Iterable[str], name: str, count: int) -> tuple[str, ...]:
    """The voters of a lease: by rendezvous hashing over the configured roster, the same at everyone."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{member}".encode(), digest_size=8).digest()

    return tuple(sorted(sorted(roster), key=weight, reverse=True)[:count])


@dataclass(slots=True)
class _Known:
    """What a voter keeps of one lease."""

    promised: int = 0
    by: int = -1  # the life that the promise was made to
    granted: int = 0  # the ballot that was granted
    holder: int = -1
    holder_life: int = 0
    until: int = 0  # on the voter's own clock
    used: int = 0  # when it was last spoken of


class Voter:
    """Grants leases.  Its own restart is a silence of one term; a change of epoch is a restart."""

    def __init__(self, life: int, term_us: int, now: int) -> None:
        self.life, self.term_us = life, term_us
        self.silent_until = now + term_us
        self.known: dict[str, _Known] = {}

    def take(self, now: int, sender: int, life: int, word: Word) -> list[Send]:
        """A candidate's word; the answer to it, if it is owed one."""
        if not isinstance(word, Prepare | Propose | Release) or not 0 < word.ballot < MOST_LEAP:
            return []
        if now < self.silent_until:
            if isinstance(word, Release):
                return []
            return [(sender, Refuse(word.name, word.ballot, 0, self.silent_until - now))]
        one = self._of(now, word.name)
        if one is None:
            return [(sender, Refuse(word.name, word.ballot, 0, self.term_us))]
        one.used = now
        match word:
            case Prepare():
                return [(sender, self._prepare(now, one, sender, life, word))]
            case Propose():
                return [(sender, self._propose(now, one, sender, life, word))]
            case Release() if one.granted == word.ballot and (one.holder, one.holder_life) == (sender, life):
                one.until = now
        return []

    def _prepare(self, now: int, one: _Known, sender: int, life: int, word: Prepare) -> Word:
        if (held := self._held(now, one, sender, life)) > 0:
            return Refuse(word.name, word.ballot, one.promised, held)
        if word.ballot < one.promised or (word.ballot == one.promised and one.by != life):
            return Refuse(word.name, word.ballot, one.promised, 0)
        one.promised, one.by = word.ballot, life
        return Promise(word.name, word.ballot, self.life)

    def _propose(self, now: int, one: _Known, sender: int, life: int, word: Propose) -> Word:
        """Only for the newest promise, and one of this life: others may have followed an earlier life's."""
        if (held := self._held(now, one, sender, life)) > 0:
            return Refuse(word.name, word.ballot, one.promised, held)
        if word.voter_life != self.life or word.ballot != one.promised or one.by != life:
            return Refuse(word.name, word.ballot, one.promised, 0)
        one.granted, one.holder, one.holder_life = word.ballot, sender, life
        one.until = now + self.term_us
        return Granted(word.name, word.ballot)

    @staticmethod
    def _held(now: int, one: _Known, sender: int, life: int) -> int:
        """How long another has it; a holder's next life is another: it knows nothing of the first's acts."""
        return one.until - now if (one.holder, one.holder_life) != (sender, life) else 0

    def _of(self, now: int, name: str) -> _Known | None:
        one = self.known.get(name)
        if one is None:
            if len(self.known) >= MOST_NAMES:
                idle = [n for n, k in self.known.items() if max(k.used, k.until) + self.term_us <= now]
                if not idle:
                    return None
                # Forgetting a name is a restart for it: nothing of it is out, as a term has passed since.
                for other in idle:
                    del self.known[other]
            one = self.known[name] = _Known()
        return one


@dataclass(slots=True)
class _Round:
    """One try for a lease."""

    ballot: int
    began: int
    said: int  # when it was last said to the voters
    promised: dict[int, int] = field(default_factory=dict)  # voter: its life
    granted: set[int] = field(default_factory=set)
    refused: set[int] = field(default_factory=set)
    proposing: bool = False
    wait_us: int = 0  # the longest that a voter told


class Candidate:
    """Wants one lease, gets it, renews it.

    `groups`: voters whose majorities are needed, each; two while a roster gives way to another.  `until` is
    on our own clock and already short enough for clocks that are off by RATE.
    """

    def __init__(
        self, name: str, me: int, life: int, groups: tuple[tuple[int, ...], ...], term_us: int, wall_ms: int,
        seed: int,
    ) -> None:  # fmt: skip
        self.name, self.me, self.life, self.term_us = name, me, life, term_us
        self.groups = groups
        # A negative number is a voter of an earlier roster that can't be asked: it counts, and never grants.
        self.voters = sorted({voter for group in groups for voter in group if voter >= 0})
        self.wanted = False
        self.until = 0
        self.token = 0
        self._above = wall_ms
        self._chance = random.Random(f"{seed}/{name}/{me}/{life}")
        self._round: _Round | None = None
        self._next_at = 0
        self._lost_rounds = 0
        self.counts = dict.fromkeys(("rounds", "won", "renewed", "lost"), 0)

    def holds(self, now: int) -> bool:
        """Whether it is ours now."""
        return now < self.until

    def want(self, now: int, wanted: bool = True) -> list[Send]:
        """Try for it from now on, or give it up."""
        if wanted == self.wanted:
            return []
        self.wanted = wanted
        if wanted:
            # All that want it from the start would meet: each waits for a part of the first wait.
            self._next_at = now + int(self._chance.random() * WAIT_PART * self.term_us / 4)
            return []
        out: list[Send] = []
        if self.holds(now):
            out = [(voter, Release(self.name, self.token)) for voter in self.voters]
        self.until, self._round = 0, None
        return out

    def forget(self, now: int, seen: int) -> None:
        """It is not ours, whatever our clock says; the next token has to be above `seen`."""
        self.until, self._round = 0, None
        if 0 < seen < MOST_LEAP:
            self._above = max(self._above, seen >> STEP_SHIFT)
        self._next_at = now + int((1 + self._chance.random() * WAIT_PART) * self.term_us)

    def tick(self, now: int) -> list[Send]:
        """Whatever is due."""
        if not self.wanted:
            return []
        if self.until and now >= self.until:
            self.until = 0
            self.counts["lost"] += 1
        if self._round and now - self._round.began >= ROUND_PART * self.term_us:
            self._give_up(now)
        if self._round is None and now >= self._next_at:
            return self._begin(now)
        if self._round and now - self._round.said >= AGAIN_PART * self.term_us:
            return self._again(now, self._round)
        return []

    def _again(self, now: int, told: _Round) -> list[Send]:
        """Say again what was not answered: voters answer the same word of a round alike, however often.

        With one datagram in five lost and a voter away, two rounds in five came to their end without it, and
        a holder lost its lease every ten terms.
        """
        told.said = now
        out: list[Send] = []
        for voter in self.voters:
            if voter in told.refused or voter in told.granted:
                continue
            if voter not in told.promised:
                out.append((voter, Prepare(self.name, told.ballot)))
            elif told.proposing:
                out.append((voter, Propose(self.name, told.ballot, told.promised[voter])))
        return out

    def _begin(self, now: int) -> list[Send]:
        self._above += 1
        ballot = (self._above << STEP_SHIFT) | self.me
        if ballot >= MOST_LEAP:  # somebody used the numbers up: voters refuse beyond, and say from where
            self._above = 1
            return []
        self._round = _Round(ballot, now, now)
        self.counts["rounds"] += 1
        return [(voter, Prepare(self.name, ballot)) for voter in self.voters]

    def _give_up(self, now: int) -> None:
        told, self._round = self._round, None
        # Lost to one that holds it is no sign of a crowd of candidates.
        self._lost_rounds = 1 if told and told.wait_us else self._lost_rounds + 1
        most = WAIT_PART * self.term_us * (1 << min(self._lost_rounds - 1, WAIT_DOUBLINGS))
        # What a voter told is waited for, and a random part more, so that candidates do not meet again.
        wait = (told.wait_us if told else 0) + int(self._chance.random() * most)
        if self.holds(now):  # a holder does not wait longer than it has
            wait = min(wait, max(0, (self.until - now) // 4))
        self._next_at = now + wait

    def take(self, now: int, sender: int, word: Word) -> list[Send]:
        """A voter's word."""
        told = self._round
        if sender not in self.voters or told is None or getattr(word, "ballot", None) != told.ballot:
            return []
        if now - told.began >= ROUND_PART * self.term_us:  # over, if nobody looked before
            return []
        match word:
            case Promise() if not told.proposing:
                told.promised[sender] = word.voter_life
                if self._majority(told.promised):
                    told.proposing = True
                    return [(v, Propose(self.name, told.ballot, life)) for v, life in told.promised.items()]
            case Promise():  # a late one: it may still grant
                told.promised[sender] = word.voter_life
                return [(sender, Propose(self.name, told.ballot, word.voter_life))]
            case Granted() if told.proposing:
                told.granted.add(sender)
                if self._majority(told.granted):
                    self._won(now, told)
            case Refuse():
                self._refused(now, told, sender, word)
        return []

    def _refused(self, now: int, told: _Round, sender: int, word: Refuse) -> None:
        above = word.above >> STEP_SHIFT
        if above < MOST_LEAP >> STEP_SHIFT:
            self._above = max(self._above, above)
        told.wait_us = max(told.wait_us, min(max(0, word.wait_us), self.term_us))
        told.refused.add(sender)
        for group in self.groups:
            if 2 * len(told.refused.intersection(group)) >= len(group):  # no majority is left
                return self._give_up(now)

    def _majority(self, of: Iterable[int]) -> bool:
        got = set(of)
        return all(2 * len(got.intersection(group)) > len(group) for group in self.groups)

    def _won(self, now: int, told: _Round) -> None:
        # From before the first question, and less than the term by what two clocks may be off by: the
        # holder's may be slow, the voter's fast.
        until = told.began + int(self.term_us * (1 - RATE) / (1 + RATE))
        self._round, self._lost_rounds = None, 0
        if now >= until:
            return
        self.counts["renewed" if self.holds(now) else "won"] += 1
        self.until, self.token = until, told.ballot
        self._next_at = until - int(RENEW_PART * self.term_us)
