"""Walks the interleavings of the fleet's real decisions in small scopes; prints a shortest trace of a breach.

A model holds real objects (Voter, Candidate, Guard, Lender, Share), messages on their way and a true
time that each clock sees at its own rate.  Moves: a process ticks; a message arrives, its answer at once or
late; it arrives twice; it never does; a process restarts from nothing; time goes on to the next moment at
which anything changes by itself; an act begins, ends, or stands still.  States are told apart by all that
decides what follows.  Breadth first, so that the trace of a breach is a shortest one; it is replayed by its
words.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from swiftwell.fleet.guard import Guard, Permit
from swiftwell.fleet.lease import MAX_CLOCK_DRIFT, ROUND_TIMEOUT_TERMS, Candidate, Voter
from swiftwell.fleet.messages import Loan, ShareRequest
from swiftwell.fleet.messages import Message as FleetMessage
from swiftwell.fleet.shares import TOTAL_PPM, Lender, Share

TERM = 100_000  # units of a lease's term: fine enough for clocks that are off by a hundredth
SCALE = 10_000  # of clock rates
WHILE = TERM // 8  # units of a jump that ends at no moment in particular: half of a round
MOST_MAIL = 6  # messages on their way at a time: two rounds' worth
ACT = TERM // 10  # units that an act takes at most, by its process's clock


class _Even:
    """In place of random waits: the walk itself tries every order."""

    def random(self) -> float:
        return 0.0


@dataclass(slots=True)
class Message:
    """A word on its way."""

    at: int  # when it was sent: part of nothing but the trace
    sender: int
    to: int
    life: int
    epoch: int
    word: FleetMessage
    twice: bool = False

    @property
    def key(self) -> tuple[Any, ...]:
        return self.sender, self.to, self.life, self.epoch, self.word, self.twice


@dataclass(slots=True)
class Scope:
    """How much may happen on one trace."""

    rates: tuple[int, ...] = ()  # of each process's clock, in SCALE; missing ones are true
    restarts: int = 0
    doubles: int = 0
    delays: int = 0  # answers that may come late; any request may, and what never arrives is lost
    stands: int = 0  # acts that may stand still between check and end
    rounds: int = 1  # that each candidate may begin
    jumps: int = 0  # of time, to the next moment or by a while
    acts: bool = True
    bounded: bool = True  # clocks keep to MAX_CLOCK_DRIFT: else only tokens are judged


@dataclass(slots=True)
class LeaseState:
    """Voters 0.., then candidates; all of one lease."""

    now: int
    voters: dict[int, Voter]
    epochs: dict[int, int]
    candidates: dict[int, Candidate]
    guards: dict[int, Guard]
    lives: dict[int, int]
    mail: list[Message] = field(default_factory=list)
    acting: dict[int, tuple[Permit, bool]] = field(default_factory=dict)  # whether it stands still
    highest: int = 0  # token that the resource has seen
    breach: str = ""
    restarts: int = 0
    doubles: int = 0
    delays: int = 0
    stands: int = 0
    jumps: int = 0


class LeaseModel:
    """Voters and candidates of one lease; the second of `groups` is that of an epoch that goes."""

    voter: type[Voter] = Voter
    candidate: type[Candidate] = Candidate
    guard: type[Guard] = Guard

    def __init__(
        self, scope: Scope, voters: int = 3, candidates: int = 2,
        groups: tuple[tuple[int, ...], ...] | None = None, checked: bool = True,
    ) -> None:  # fmt: skip
        self.scope, self.count, self.checked = scope, voters, checked
        self.names = range(voters, voters + candidates)
        self.groups = groups or (tuple(range(voters)),)

    def groups_of(self, candidate: int) -> tuple[tuple[int, ...], ...]:
        """The voters that a candidate asks; planted faults change it."""
        return self.groups

    def epoch_of(self, candidate: int) -> int:
        """The epoch that a candidate is in."""
        return 1

    def clock(self, state: LeaseState, who: int) -> int:
        rates = self.scope.rates
        return state.now * (rates[who] if who < len(rates) else SCALE) // SCALE

    def start(self) -> LeaseState:
        voters = {}
        for number in range(self.count):
            voters[number] = self.voter(1, TERM, 0)
            voters[number].silent_until = 0  # it ran long before the walk begins
        state = LeaseState(1, voters, dict.fromkeys(voters, 1), {}, {}, dict.fromkeys(range(8), 1))
        for name in self.names:
            self._candidate(state, name)
        return state

    def _candidate(self, state: LeaseState, name: int) -> None:
        one = self.candidate("l", name, state.lives[name], self.groups_of(name), TERM, 0, 0)
        one._random = _Even()  # type: ignore[assignment]
        one.set_wanted(self.clock(state, name))
        state.candidates[name], state.guards[name] = one, self.guard(one)

    def copy(self, state: LeaseState) -> LeaseState:
        new = LeaseState(
            state.now, {}, {}, {}, {}, {}, [], {}, state.highest, state.breach, state.restarts, state.doubles,
            state.delays, state.stands, state.jumps,
        )  # fmt: skip
        new.voters = {n: _voter(v) for n, v in state.voters.items()}
        new.epochs, new.lives = dict(state.epochs), dict(state.lives)
        new.candidates = {n: _one(c) for n, c in state.candidates.items()}
        new.guards = {}
        for name, guard in state.guards.items():
            other = new.guards[name] = _same(guard)
            other._candidate = new.candidates[name]
        new.mail = [Message(m.at, m.sender, m.to, m.life, m.epoch, m.word, m.twice) for m in state.mail]
        new.acting = dict(state.acting)
        return new

    def key(self, state: LeaseState) -> tuple[Any, ...]:
        return (
            state.now,
            tuple(
                (n, state.epochs[n], v.incarnation, max(0, v.silent_until - self.clock(state, n)),
                 tuple((k.promised, k.promised_to, k.granted, k.holder, k.holder_incarnation, k.expires_at)
                       for k in v.records.values()))
                for n, v in state.voters.items()
            ),
            tuple(
                (n, c.incarnation, c.expires_at, c.token, c._last_counter, c._next_at, c._lost_rounds,
                 _round(c), state.guards[n]._outdated_token)
                for n, c in state.candidates.items()
            ),
            tuple(sorted(hash(m.key) for m in state.mail)),
            tuple(sorted((n, a.token, a.deadline, s) for n, (a, s) in state.acting.items())),
            state.highest, state.restarts, state.doubles, state.delays, state.stands, state.jumps,
        )  # fmt: skip

    # Moves.

    def moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        for name, one in state.candidates.items():
            mine = self.clock(state, name)
            if one._round is None and mine >= one._next_at and one.counts["rounds"] < self.scope.rounds:
                new = self.copy(state)
                self._post(new, name, new.candidates[name].tick(mine))
                yield f"{name} asks", new
        seen = set()
        for at, message in enumerate(state.mail):
            if message.key in seen:
                continue
            seen.add(message.key)
            yield from self._mail(state, at, message)
        if state.restarts < self.scope.restarts:
            for number in state.voters:
                new = self.copy(state)
                new.restarts += 1
                new.lives[number] += 1
                new.voters[number] = self.voter(new.lives[number], TERM, self.clock(new, number))
                yield f"voter {number} restarts", new
        if self.scope.acts:
            yield from self._acts(state)
        yield from self._time(state)

    def _mail(self, state: LeaseState, at: int, message: Message) -> Iterator[tuple[str, LeaseState]]:
        what = f"{type(message.word).__name__} {message.sender}>{message.to}"
        for how in ("arrives", "and its answer late", "arrives twice"):
            if how == "arrives twice" and (state.doubles >= self.scope.doubles or message.twice):
                continue
            late = how == "and its answer late"
            if late and (message.to not in state.voters or state.delays >= self.scope.delays):
                continue
            new = self.copy(state)
            if how == "arrives twice":
                new.doubles += 1
                new.mail[at].twice = True
            else:
                del new.mail[at]
            before = len(new.mail)
            self._deliver(new, message)
            if late:
                new.delays += 1
            elif message.to in state.voters:
                answers, new.mail = new.mail[before:], new.mail[:before]
                for one in answers:
                    self._deliver(new, one)
            self._tidy(new)
            yield f"{what} {how}", new

    def _tidy(self, state: LeaseState) -> None:
        """Answers to a round that is over change nothing; of old requests the last ones stand for all."""
        kept = []
        for one in state.mail:
            if one.to in state.candidates:
                told = state.candidates[one.to]._round
                if told is None or told.ballot != getattr(one.word, "ballot", 0):
                    continue
            kept.append(one)
        state.mail = kept[-MOST_MAIL:]

    def _deliver(self, state: LeaseState, message: Message) -> None:
        to, word = message.to, message.word
        if to in state.voters:
            if state.epochs[to] != message.epoch:
                return
            out = state.voters[to].handle(self.clock(state, to), message.sender, message.life, word)
            self._post(state, to, out)
        elif state.candidates[to].incarnation == message.life:
            self._post(state, to, state.candidates[to].handle(self.clock(state, to), message.sender, word))
            self._judge(state)

    def _post(self, state: LeaseState, sender: int, sends: list[tuple[int, FleetMessage]]) -> None:
        epoch = state.epochs[sender] if sender in state.voters else self.epoch_of(sender)
        for to, word in sends:
            # An answer is for the life that asked.
            life = state.lives[sender] if to in state.voters else state.candidates[to].incarnation
            state.mail.append(Message(state.now, sender, to, life, epoch, word))

    def _acts(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        for name in self.names:
            mine = self.clock(state, name)
            if name not in state.acting:
                new = self.copy(state)
                if act := new.guards[name].begin(mine, ACT):
                    new.acting[name] = act, False
                    others = [n for n, (other, stands) in new.acting.items() if n != name and not stands]
                    if others and self.scope.bounded:
                        new.breach = f"acts of {name} and {others[0]} overlap"
                    yield f"{name} begins to act", new
                continue
            act, stands = state.acting[name]
            new = self.copy(state)
            del new.acting[name]
            if not self.checked or act.token >= new.highest:
                if act.token < new.highest:
                    new.breach = f"token {act.token} of {name} took effect after {new.highest}"
                new.highest = act.token
            else:
                new.guards[name].outdated(mine, act, new.highest)
            yield f"{name} ends its act", new
            if not stands and state.stands < self.scope.stands:
                new = self.copy(state)
                new.stands += 1
                new.acting[name] = act, True
                yield f"{name} stands still in its act", new

    def _time(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """On to the next moment at which something changes by itself; acts that keep going end before."""
        if state.jumps >= self.scope.jumps:
            return
        moments = []
        for number, voter in state.voters.items():
            ends = [voter.silent_until, *(one.expires_at for one in voter.records.values())]
            moments += [self._true(number, end) for end in ends]
        for name, one in state.candidates.items():
            ends = [one.expires_at, one._next_at]
            if one._round:
                ends.append(one._round.began_at + int(ROUND_TIMEOUT_TERMS * TERM))
            moments += [self._true(name, end) for end in ends]
        later = [at for at in moments if at > state.now]
        for at in sorted({min(later, default=state.now + WHILE), state.now + WHILE}):
            new = self.copy(state)
            new.now, new.jumps = at, state.jumps + 1
            if any(
                not stands and self.clock(new, n) > act.deadline for n, (act, stands) in state.acting.items()
            ):
                continue
            for name, one in new.candidates.items():  # a round that is over is seen to be so
                mine = self.clock(new, name)
                if one._round and mine - one._round.began_at >= ROUND_TIMEOUT_TERMS * TERM:
                    one._fail_round(mine)
            self._tidy(new)
            self._judge(new)
            yield f"until {new.now}", new

    def _true(self, who: int, own: int) -> int:
        rates = self.scope.rates
        rate = rates[who] if who < len(rates) else SCALE
        return -(-own * SCALE // rate)

    def _judge(self, state: LeaseState) -> None:
        holders = [n for n, one in state.candidates.items() if one.holds(self.clock(state, n))]
        if len(holders) > 1 and self.scope.bounded:
            state.breach = f"{holders[0]} and {holders[1]} both hold it at {state.now}"


def _same(one: Any) -> Any:
    """A shallow copy; what only counts is shared."""
    new = object.__new__(type(one))
    new.__dict__.update(one.__dict__)
    return new


def _voter(voter: Voter) -> Voter:
    new = _same(voter)
    new.records = {name: copy.copy(one) for name, one in voter.records.items()}
    return new


def _one(one: Candidate) -> Candidate:
    new = _same(one)
    new.counts = dict(one.counts)
    if one._round:
        told = new._round = copy.copy(one._round)
        told.promised, told.granted, told.refused = dict(told.promised), set(told.granted), set(told.refused)
    return new


def _round(one: Candidate) -> Any:
    told = one._round
    if told is None:
        return None
    promised = tuple(sorted(told.promised.items()))
    return (
        told.ballot, told.began_at, promised, tuple(sorted(told.granted)), tuple(sorted(told.refused)),
        told.proposing, told.wait_us,
    )  # fmt: skip


class EpochModel(LeaseModel):
    """Two epochs: voters 0 to 2 of the first, 1 to 3 of the second; one candidate in each."""

    def __init__(self, scope: Scope) -> None:
        super().__init__(scope, voters=4, candidates=2)
        self.old, self.new = (0, 1, 2), (1, 2, 3)

    def epoch_of(self, candidate: int) -> int:
        return 1 if candidate == self.names[0] else 2

    def groups_of(self, candidate: int) -> tuple[tuple[int, ...], ...]:
        return (self.old,) if self.epoch_of(candidate) == 1 else (self.new, self.old)

    def switched(self, state: LeaseState, number: int) -> Voter:
        """A voter in the next epoch: it is a restart."""
        return self.voter(state.lives[number], TERM, self.clock(state, number))

    def start(self) -> LeaseState:
        state = super().start()
        state.epochs[3] = 2
        return state

    def moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        yield from super().moves(state)
        for number, epoch in state.epochs.items():
            if epoch == 1:
                new = self.copy(state)
                new.epochs[number], new.lives[number] = 2, new.lives[number] + 1
                new.voters[number] = self.switched(new, number)
                yield f"voter {number} is in epoch 2", new


@dataclass(slots=True)
class ShareState:
    """A lender and its borrowers; the lender's lease may pass on once it has run out."""

    now: int
    lender: Lender
    until: int  # of the lender's lease
    shares: dict[int, Share]
    mail: list[tuple[int, ShareRequest | Loan]] = field(
        default_factory=list
    )  # borrower, and what is on its way
    heirs: int = 0
    jumps: int = 0
    breach: str = ""


class ShareModel:
    """One budget among borrowers 1..; process 0 lends."""

    lender: type[Lender] = Lender

    def __init__(self, scope: Scope, borrowers: int = 2) -> None:
        self.scope, self.names = scope, range(1, borrowers + 1)

    def clock(self, now: int, who: int) -> int:
        rates = self.scope.rates
        return now * (rates[who] if who < len(rates) else SCALE) // SCALE

    def start(self) -> ShareState:
        shares = {name: Share("b", len(self.names)) for name in self.names}
        return ShareState(1, self.lender("b", TERM), 1 + TERM, shares)

    def copy(self, state: ShareState) -> ShareState:
        new = copy.copy(state)
        new.lender = copy.copy(state.lender)
        new.lender.outstanding = {who: copy.copy(one) for who, one in state.lender.outstanding.items()}
        new.lender.counts = dict(state.lender.counts)
        new.shares = {name: copy.copy(one) for name, one in state.shares.items()}
        new.mail = list(state.mail)
        return new

    def key(self, state: ShareState) -> tuple[Any, ...]:
        out = tuple(
            sorted(
                (w, o.max_ppm, o.expires_at, o.last_number, o.last_ppm)
                for w, o in state.lender.outstanding.items()
            )
        )
        shares = tuple(
            (n, s._loan_ppm, s._loan_expires_at, s._current_loan, s._number, s._requested_at, s._next_at)
            for n, s in state.shares.items()
        )
        return (
            state.now,
            out,
            state.until,
            shares,
            tuple(sorted(map(hash, state.mail))),
            state.heirs,
            state.jumps,
        )

    def moves(self, state: ShareState) -> Iterator[tuple[str, ShareState]]:
        for name, share in state.shares.items():
            mine = self.clock(state.now, name)
            if mine >= share._next_at and share._number < self.scope.rounds:
                new = self.copy(state)
                if wish := new.shares[name].tick(mine, TERM):
                    new.mail.append((name, wish))
                    yield f"{name} asks", new
        for at, (name, word) in enumerate(state.mail):
            new = self.copy(state)
            del new.mail[at]
            self._deliver(new, name, word)
            yield f"{type(word).__name__} of {name} arrives", new
        yield from self._time(state)

    def _deliver(self, state: ShareState, name: int, word: ShareRequest | Loan) -> None:
        if isinstance(word, ShareRequest):
            loan = state.lender.handle(self.clock(state.now, 0), name, word, state.until)
            if loan:
                state.mail.append((name, loan))
        else:
            state.shares[name].handle(self.clock(state.now, name), word)
            self._judge(state)

    def _judge(self, state: ShareState) -> None:
        used = sum(one.ppm(self.clock(state.now, name)) for name, one in state.shares.items())
        if used > TOTAL_PPM:
            state.breach = f"{used} of {TOTAL_PPM} parts in use at {state.now}"

    def _time(self, state: ShareState) -> Iterator[tuple[str, ShareState]]:
        rate = lambda who: self.scope.rates[who] if who < len(self.scope.rates) else SCALE  # noqa: E731
        moments = [
            state.until,
            *(-(-one.expires_at * SCALE // rate(0)) for one in state.lender.outstanding.values()),
        ]
        for name, share in state.shares.items():
            moments += [-(-at * SCALE // rate(name)) for at in (share._loan_expires_at, share._next_at)]
        later = [at for at in moments if at > state.now]
        if not later or state.jumps >= self.scope.jumps:
            return
        new = self.copy(state)
        new.now, new.jumps = min(later), state.jumps + 1
        if self.clock(new.now, 0) >= state.until:  # the lease has run out: another has it, and knows nothing
            new.lender, new.heirs = self.lender("b", TERM), new.heirs + 1
            new.until = self.clock(new.now, 0) + TERM
        self._judge(new)
        yield f"until {new.now}", new


@dataclass(frozen=True, slots=True)
class Walk:
    """What a walk found."""

    states: int
    depth: int
    whole: bool  # nothing is left to walk in this scope
    breach: str
    trace: tuple[str, ...]


def walk(model: Any, most_states: int, most_depth: int = 200, after: tuple[str, ...] = ()) -> Walk:
    """Breadth first until a breach, the bounds, or the end of the scope; `after` a trace that is given."""
    first = replay(model, after)
    if first.breach:
        return Walk(1, 0, False, first.breach, ())
    seen = {hash(model.key(first))}
    queue = deque([(first, 0, None)])
    depth, cut = 0, False
    while queue:
        state, deep, path = queue.popleft()
        depth = max(depth, deep)
        if deep >= most_depth:
            cut = True
            continue
        for label, new in model.moves(state):
            if new.breach:
                return Walk(len(seen), deep + 1, False, new.breach, (*_words(path), label))
            key = hash(model.key(new))
            if key not in seen:
                if len(seen) >= most_states:
                    return Walk(len(seen), depth, False, "", ())
                seen.add(key)
                queue.append((new, deep + 1, (path, label)))
    return Walk(len(seen), depth, not cut, "", ())


def replay(model: Any, trace: tuple[str, ...]) -> Any:
    """The state at the end of a trace; raises LookupError where a move is not possible."""
    state = model.start()
    for label in trace:
        state = dict(reversed(list(model.moves(state))))[label]
    return state


def _words(path: Any) -> list[str]:
    out: list[str] = []
    while path is not None:
        path, label = path
        out.append(label)
    return out[::-1]


SLOW, FAST = round(SCALE * (1 - MAX_CLOCK_DRIFT)), round(SCALE * (1 + MAX_CLOCK_DRIFT))
