"""Leases: exclusive, time-limited and named; granted by a majority of configured voters.  No I/O, no disk.

After Trencseni and others, "PaxosLease", and Gray and Cheriton, "Leases".  What is guaranteed, and by what:

* Two processes never both count a lease as theirs at the same time, as long as the rate of each clock stays
  within MAX_CLOCK_DRIFT of true.  This rests on three things.  A holder counts less than the term, from
  before it sent the request; a voter counts the whole term, from when it granted.  A voter that has just
  started grants nothing for one term, so that whatever it granted in an earlier incarnation has expired.  A
  majority of every group of voters is needed, and the groups are configured: they don't depend on who is
  alive.
* Messages may be lost, duplicated, delayed by any time, or reordered: a grant counts only in the round that
  asked for it, and a round ends when its time is over.
* The token (the ballot) grows from holder to holder while a majority of the voters keeps its memory.  If all
  of them restarted within a term, it grows as long as the wall clocks agree to within a term; otherwise the
  resource refuses an older token, and the holder is told (guard.py).

guard.py states what is not guaranteed: time passes between a check of the lease and the action that it
allows.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from swiftwell.fleet.messages import Granted, Message, Prepare, Promise, Propose, Refuse, Release

# Fraction by which the rate of a clock may be off: NTP slews by 0.0005, bad crystals are off by 0.0001.
MAX_CLOCK_DRIFT = 0.01
MAX_LEASES = 64  # leases that a voter keeps at a time: a fleet has few tasks
ROUND_TIMEOUT_TERMS = 0.25  # fraction of the term: a round without a majority by then has failed
# Fraction of the term after which unanswered messages are sent again: six times in a round.
RESEND_TERMS = 0.04
RENEW_TERMS = 0.5  # fraction of the term: what is left of a lease when its holder begins to renew it
BACKOFF_TERMS = 0.25  # fraction of the term: the longest wait after the first failed round, drawn at random
MAX_BACKOFF_DOUBLINGS = 2
# Low bits of a ballot, which hold the candidate's index: a roster has at most 65,536 members.
MEMBER_BITS = 16
MAX_BALLOT = 1 << 62  # ballots from here on are ignored, so that no sender can use up the numbers

Outgoing = tuple[int, Message]  # recipient and message


def choose_voters(roster: Iterable[str], name: str, count: int) -> tuple[str, ...]:
    """The voters of a lease, by rendezvous hashing over the configured roster: the same at every member."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f"{name}\0{member}".encode(), digest_size=8).digest()

    return tuple(sorted(sorted(roster), key=weight, reverse=True)[:count])


@dataclass(slots=True)
class _LeaseRecord:
    """A voter's state of one lease."""

    promised: int = 0  # the highest ballot that was promised
    promised_to: int = -1  # the incarnation that the promise was made to
    granted: int = 0  # the ballot that was granted
    holder: int = -1
    holder_incarnation: int = 0
    expires_at: int = 0  # on the voter's own clock
    last_used_at: int = 0  # when a message last named the lease


class Voter:
    """Grants leases.  After its own restart it is silent for one term; a change of epoch is a restart."""

    def __init__(self, incarnation: int, term_us: int, now: int) -> None:
        self.incarnation, self.term_us = incarnation, term_us
        self.silent_until = now + term_us
        self.records: dict[str, _LeaseRecord] = {}

    def handle(self, now: int, sender: int, incarnation: int, message: Message) -> list[Outgoing]:
        """Handle a candidate's message; return the reply, if there is one."""
        if not isinstance(message, Prepare | Propose | Release) or not 0 < message.ballot < MAX_BALLOT:
            return []
        if now < self.silent_until:
            if isinstance(message, Release):
                return []
            return [(sender, Refuse(message.name, message.ballot, 0, self.silent_until - now))]
        record = self._record_of(now, message.name)
        if record is None:
            return [(sender, Refuse(message.name, message.ballot, 0, self.term_us))]
        record.last_used_at = now
        match message:
            case Prepare():
                return [(sender, self._prepare(now, record, sender, incarnation, message))]
            case Propose():
                return [(sender, self._propose(now, record, sender, incarnation, message))]
            case Release() if record.granted == message.ballot and (
                record.holder,
                record.holder_incarnation,
            ) == (sender, incarnation):
                record.expires_at = now
        return []

    def _prepare(
        self, now: int, record: _LeaseRecord, sender: int, incarnation: int, message: Prepare
    ) -> Message:
        if (held_us := self._held_by_other_us(now, record, sender, incarnation)) > 0:
            return Refuse(message.name, message.ballot, record.promised, held_us)
        if message.ballot < record.promised or (
            message.ballot == record.promised and record.promised_to != incarnation
        ):
            return Refuse(message.name, message.ballot, record.promised, 0)
        record.promised, record.promised_to = message.ballot, incarnation
        return Promise(message.name, message.ballot, self.incarnation)

    def _propose(
        self, now: int, record: _LeaseRecord, sender: int, incarnation: int, message: Propose
    ) -> Message:
        """Grant only for the newest promise, and only if this incarnation of the voter made it.

        After a promise of an earlier incarnation, newer ballots may have been promised and forgotten.
        """
        if (held_us := self._held_by_other_us(now, record, sender, incarnation)) > 0:
            return Refuse(message.name, message.ballot, record.promised, held_us)
        if (
            message.voter_incarnation != self.incarnation
            or message.ballot != record.promised
            or record.promised_to != incarnation
        ):
            return Refuse(message.name, message.ballot, record.promised, 0)
        record.granted, record.holder, record.holder_incarnation = message.ballot, sender, incarnation
        record.expires_at = now + self.term_us
        return Granted(message.name, message.ballot)

    @staticmethod
    def _held_by_other_us(now: int, record: _LeaseRecord, sender: int, incarnation: int) -> int:
        """How long another holds the lease.

        The next incarnation of a holder counts as another: it knows nothing of the actions of the first.
        """
        return (
            record.expires_at - now
            if (record.holder, record.holder_incarnation) != (sender, incarnation)
            else 0
        )

    def _record_of(self, now: int, name: str) -> _LeaseRecord | None:
        record = self.records.get(name)
        if record is None:
            if len(self.records) >= MAX_LEASES:
                idle = [
                    other
                    for other, kept in self.records.items()
                    if max(kept.last_used_at, kept.expires_at) + self.term_us <= now
                ]
                if not idle:
                    return None
                # Removing a record is like a restart for this lease; no grant is left, as a term has passed.
                for other in idle:
                    del self.records[other]
            record = self.records[name] = _LeaseRecord()
        return record


@dataclass(slots=True)
class _Round:
    """One attempt to get a lease."""

    ballot: int
    began_at: int
    last_sent_at: int  # when its messages were last sent to the voters
    promised: dict[int, int] = field(default_factory=dict)  # voter: its incarnation
    granted: set[int] = field(default_factory=set)
    refused: set[int] = field(default_factory=set)
    proposing: bool = False
    wait_us: int = 0  # the longest wait that a voter asked for


class Candidate:
    """Acquires one lease and renews it, while it is wanted.

    `groups`: groups of voters, each of which has to grant by majority; two while one roster replaces another.
    `expires_at` is on our own clock and already short enough for clocks that are off by MAX_CLOCK_DRIFT.
    """

    def __init__(
        self, name: str, me: int, incarnation: int, groups: tuple[tuple[int, ...], ...], term_us: int,
        wall_ms: int, seed: int,
    ) -> None:  # fmt: skip
        self.name, self.me, self.incarnation, self.term_us = name, me, incarnation, term_us
        self.groups = groups
        # A negative index is a voter of an earlier roster that can't be reached: it counts, and never grants.
        self.voters = sorted({voter for group in groups for voter in group if voter >= 0})
        self.wanted = False
        self.expires_at = 0
        self.token = 0
        self._last_counter = wall_ms  # the high bits of the last ballot
        self._random = random.Random(f"{seed}/{name}/{me}/{incarnation}")
        self._round: _Round | None = None
        self._next_at = 0  # when the next round may begin
        self._lost_rounds = 0
        self.counts = dict.fromkeys(("rounds", "won", "renewed", "lost"), 0)

    def holds(self, now: int) -> bool:
        """Whether we hold the lease now."""
        return now < self.expires_at

    def set_wanted(self, now: int, wanted: bool = True) -> list[Outgoing]:
        """Try to get and keep the lease from now on, or release it."""
        if wanted == self.wanted:
            return []
        self.wanted = wanted
        if wanted:
            # Candidates that start together would collide: each waits a random part of the first back-off.
            self._next_at = now + int(self._random.random() * BACKOFF_TERMS * self.term_us / 4)
            return []
        outgoing: list[Outgoing] = []
        if self.holds(now):
            outgoing = [(voter, Release(self.name, self.token)) for voter in self.voters]
        self.expires_at, self._round = 0, None
        return outgoing

    def invalidate(self, now: int, seen: int) -> None:
        """Drop the lease, whatever our clock says; the next token has to be above `seen`."""
        self.expires_at, self._round = 0, None
        if 0 < seen < MAX_BALLOT:
            self._last_counter = max(self._last_counter, seen >> MEMBER_BITS)
        self._next_at = now + int((1 + self._random.random() * BACKOFF_TERMS) * self.term_us)

    def tick(self, now: int) -> list[Outgoing]:
        """Do what is due; return the messages to send."""
        if not self.wanted:
            return []
        if self.expires_at and now >= self.expires_at:
            self.expires_at = 0
            self.counts["lost"] += 1
        if self._round and now - self._round.began_at >= ROUND_TIMEOUT_TERMS * self.term_us:
            self._fail_round(now)
        if self._round is None and now >= self._next_at:
            return self._begin_round(now)
        if self._round and now - self._round.last_sent_at >= RESEND_TERMS * self.term_us:
            return self._resend(now, self._round)
        return []

    def _resend(self, now: int, current: _Round) -> list[Outgoing]:
        """Send again what was not answered: repeated messages of a round get the same answer from a voter.

        Without it, at 20 % datagram loss and with one voter down, two rounds in five timed out, and a holder
        lost its lease every ten terms.
        """
        current.last_sent_at = now
        outgoing: list[Outgoing] = []
        for voter in self.voters:
            if voter in current.refused or voter in current.granted:
                continue
            if voter not in current.promised:
                outgoing.append((voter, Prepare(self.name, current.ballot)))
            elif current.proposing:
                outgoing.append((voter, Propose(self.name, current.ballot, current.promised[voter])))
        return outgoing

    def _begin_round(self, now: int) -> list[Outgoing]:
        self._last_counter += 1
        ballot = (self._last_counter << MEMBER_BITS) | self.me
        # Another sender used the numbers up: start over, as refusals tell the highest ballot of a voter.
        if ballot >= MAX_BALLOT:
            self._last_counter = 1
            return []
        self._round = _Round(ballot, now, now)
        self.counts["rounds"] += 1
        return [(voter, Prepare(self.name, ballot)) for voter in self.voters]

    def _fail_round(self, now: int) -> None:
        failed, self._round = self._round, None
        # A round refused because another holds the lease is no sign of competing candidates.
        self._lost_rounds = 1 if failed and failed.wait_us else self._lost_rounds + 1
        max_wait_us = BACKOFF_TERMS * self.term_us * (1 << min(self._lost_rounds - 1, MAX_BACKOFF_DOUBLINGS))
        # The wait that a voter asked for, plus a random part, so that candidates do not collide again.
        wait_us = (failed.wait_us if failed else 0) + int(self._random.random() * max_wait_us)
        if self.holds(now):  # a holder retries well before its lease expires
            wait_us = min(wait_us, max(0, (self.expires_at - now) // 4))
        self._next_at = now + wait_us

    def handle(self, now: int, sender: int, message: Message) -> list[Outgoing]:
        """Handle a voter's message; return what to send."""
        current = self._round
        if sender not in self.voters or current is None or getattr(message, "ballot", None) != current.ballot:
            return []
        if now - current.began_at >= ROUND_TIMEOUT_TERMS * self.term_us:  # timed out, but not by `tick` yet
            return []
        match message:
            case Promise() if not current.proposing:
                current.promised[sender] = message.voter_incarnation
                if self._has_majority(current.promised):
                    current.proposing = True
                    return [
                        (voter, Propose(self.name, current.ballot, incarnation))
                        for voter, incarnation in current.promised.items()
                    ]
            case Promise():  # after the majority: this voter may still grant
                current.promised[sender] = message.voter_incarnation
                return [(sender, Propose(self.name, current.ballot, message.voter_incarnation))]
            case Granted() if current.proposing:
                current.granted.add(sender)
                if self._has_majority(current.granted):
                    self._acquire(now, current)
            case Refuse():
                self._handle_refusal(now, current, sender, message)
        return []

    def _handle_refusal(self, now: int, current: _Round, sender: int, message: Refuse) -> None:
        counter = message.highest_ballot >> MEMBER_BITS
        if counter < MAX_BALLOT >> MEMBER_BITS:
            self._last_counter = max(self._last_counter, counter)
        current.wait_us = max(current.wait_us, min(max(0, message.wait_us), self.term_us))
        current.refused.add(sender)
        for group in self.groups:
            if 2 * len(current.refused.intersection(group)) >= len(group):  # a majority is no longer possible
                return self._fail_round(now)

    def _has_majority(self, members: Iterable[int]) -> bool:
        voters = set(members)
        return all(2 * len(voters.intersection(group)) > len(group) for group in self.groups)

    def _acquire(self, now: int, current: _Round) -> None:
        # Counted from before the first request, and shorter than the term by the most that the two clocks may
        # differ: the holder's may be slow and the voter's fast.
        expires_at = current.began_at + int(self.term_us * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT))
        self._round, self._lost_rounds = None, 0
        if now >= expires_at:
            return
        self.counts["renewed" if self.holds(now) else "won"] += 1
        self.expires_at, self.token = expires_at, current.ballot
        self._next_at = expires_at - int(RENEW_TERMS * self.term_us)
