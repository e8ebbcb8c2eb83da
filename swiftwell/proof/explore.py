"""Model checker for the fleet's decisions: explores their interleavings within a small scope.

A model holds real objects (Voter, Candidate, Guard, Lender, Share), the messages in transit and a true time
that each process's clock follows at its own rate.  Moves: a process ticks; a message is delivered, with its
reply delivered at once or later; it is delivered twice; it is never delivered; a process restarts without
state; time advances to the next moment at which something changes by itself; an act begins, ends, or stalls.
States are compared by everything that determines what follows.  The search is breadth first, so that the
trace of a breach is a shortest one; a trace can be replayed by its labels.
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

TERM = 100_000  # lease term in time units: fine enough for clocks that are off by 1 %
SCALE = 10_000  # clock rate of a true clock
TIME_STEP = TERM // 8  # time units of a jump to no particular moment: half of a round
MAX_IN_TRANSIT = 6  # messages in transit at a time: those of two rounds
ACT_TIME = TERM // 10  # maximum duration of an act in time units of its process's clock


class _NoJitter:
    """Replaces the random waits: the search itself tries every order."""

    def random(self) -> float:
        return 0.0


@dataclass(slots=True)
class Message:
    """A message in transit."""

    sent_at: int  # not part of the key of a state
    sender: int
    to: int
    incarnation: int
    epoch: int
    content: FleetMessage
    delivered_twice: bool = False

    @property
    def key(self) -> tuple[Any, ...]:
        return self.sender, self.to, self.incarnation, self.epoch, self.content, self.delivered_twice


@dataclass(slots=True)
class Scope:
    """Bounds on what may happen on one trace."""

    rates: tuple[int, ...] = ()  # rate of each process's clock, in units of 1 / SCALE; SCALE if missing
    restarts: int = 0
    duplicates: int = 0
    delays: int = 0  # replies that may be late; any request may be late, and an undelivered message is lost
    stalls: int = 0  # acts that may stall between their check and their end
    rounds: int = 1  # rounds that each candidate may begin
    jumps: int = 0  # advances of time, to the next change or by TIME_STEP
    acts: bool = True
    bounded: bool = True  # clocks keep within MAX_CLOCK_DRIFT; otherwise only tokens are checked


@dataclass(slots=True)
class LeaseState:
    """State of one lease; processes are numbered from 0, voters first, then candidates."""

    now: int
    voters: dict[int, Voter]
    epochs: dict[int, int]
    candidates: dict[int, Candidate]
    guards: dict[int, Guard]
    incarnations: dict[int, int]
    in_transit: list[Message] = field(default_factory=list)
    # Candidate: the permit of its act, and whether the act has stalled.
    acting: dict[int, tuple[Permit, bool]] = field(default_factory=dict)
    highest_token: int = 0  # highest token that the resource has seen
    breach: str = ""
    restarts: int = 0
    duplicates: int = 0
    delays: int = 0
    stalls: int = 0
    jumps: int = 0


class LeaseModel:
    """Voters and candidates of one lease; the second of `groups` is the group of an epoch that ends."""

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
        """The groups of voters that a candidate asks; tests override it to plant faults."""
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
            voters[number].silent_until = 0  # its silence after a start is over when the search begins
        state = LeaseState(1, voters, dict.fromkeys(voters, 1), {}, {}, dict.fromkeys(range(8), 1))
        for name in self.names:
            self._add_candidate(state, name)
        return state

    def _add_candidate(self, state: LeaseState, name: int) -> None:
        candidate = self.candidate("l", name, state.incarnations[name], self.groups_of(name), TERM, 0, 0)
        candidate._random = _NoJitter()  # type: ignore[assignment]
        candidate.set_wanted(self.clock(state, name))
        state.candidates[name], state.guards[name] = candidate, self.guard(candidate)

    def copy(self, state: LeaseState) -> LeaseState:
        new = LeaseState(
            state.now, {}, {}, {}, {}, {}, [], {}, state.highest_token, state.breach, state.restarts,
            state.duplicates, state.delays, state.stalls, state.jumps,
        )  # fmt: skip
        new.voters = {n: _copy_voter(v) for n, v in state.voters.items()}
        new.epochs, new.incarnations = dict(state.epochs), dict(state.incarnations)
        new.candidates = {n: _copy_candidate(c) for n, c in state.candidates.items()}
        new.guards = {}
        for name, guard in state.guards.items():
            copied = new.guards[name] = _shallow_copy(guard)
            copied._candidate = new.candidates[name]
        new.in_transit = [
            Message(m.sent_at, m.sender, m.to, m.incarnation, m.epoch, m.content, m.delivered_twice)
            for m in state.in_transit
        ]
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
                 _round_key(c), state.guards[n]._outdated_token)
                for n, c in state.candidates.items()
            ),
            tuple(sorted(hash(m.key) for m in state.in_transit)),
            tuple(sorted((n, a.token, a.deadline, s) for n, (a, s) in state.acting.items())),
            state.highest_token, state.restarts, state.duplicates, state.delays, state.stalls, state.jumps,
        )  # fmt: skip

    # Moves.

    def moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        for name, candidate in state.candidates.items():
            local_now = self.clock(state, name)
            if (
                candidate._round is None
                and local_now >= candidate._next_at
                and candidate.counts["rounds"] < self.scope.rounds
            ):
                new = self.copy(state)
                self._send(new, name, new.candidates[name].tick(local_now))
                yield f"{name} asks", new
        seen = set()
        for index, message in enumerate(state.in_transit):
            if message.key in seen:
                continue
            seen.add(message.key)
            yield from self._delivery_moves(state, index, message)
        if state.restarts < self.scope.restarts:
            for number in state.voters:
                new = self.copy(state)
                new.restarts += 1
                new.incarnations[number] += 1
                new.voters[number] = self.voter(new.incarnations[number], TERM, self.clock(new, number))
                yield f"voter {number} restarts", new
        if self.scope.acts:
            yield from self._act_moves(state)
        yield from self._time_moves(state)

    def _delivery_moves(
        self, state: LeaseState, index: int, message: Message
    ) -> Iterator[tuple[str, LeaseState]]:
        description = f"{type(message.content).__name__} {message.sender}>{message.to}"
        for how in ("arrives", "and its answer late", "arrives twice"):
            if how == "arrives twice" and (
                state.duplicates >= self.scope.duplicates or message.delivered_twice
            ):
                continue
            late = how == "and its answer late"
            if late and (message.to not in state.voters or state.delays >= self.scope.delays):
                continue
            new = self.copy(state)
            if how == "arrives twice":
                new.duplicates += 1
                new.in_transit[index].delivered_twice = True
            else:
                del new.in_transit[index]
            queued = len(new.in_transit)
            self._deliver(new, message)
            if late:
                new.delays += 1
            elif message.to in state.voters:
                replies, new.in_transit = new.in_transit[queued:], new.in_transit[:queued]
                for reply in replies:
                    self._deliver(new, reply)
            self._drop_obsolete(new)
            yield f"{description} {how}", new

    def _drop_obsolete(self, state: LeaseState) -> None:
        """Drop replies to rounds that are over, as they change nothing; of the rest, keep the latest, which
        stand for older requests."""
        kept = []
        for message in state.in_transit:
            if message.to in state.candidates:
                round_ = state.candidates[message.to]._round
                if round_ is None or round_.ballot != getattr(message.content, "ballot", 0):
                    continue
            kept.append(message)
        state.in_transit = kept[-MAX_IN_TRANSIT:]

    def _deliver(self, state: LeaseState, message: Message) -> None:
        to, content = message.to, message.content
        if to in state.voters:
            if state.epochs[to] != message.epoch:
                return
            replies = state.voters[to].handle(
                self.clock(state, to), message.sender, message.incarnation, content
            )
            self._send(state, to, replies)
        elif state.candidates[to].incarnation == message.incarnation:
            self._send(state, to, state.candidates[to].handle(self.clock(state, to), message.sender, content))
            self._check(state)

    def _send(self, state: LeaseState, sender: int, sends: list[tuple[int, FleetMessage]]) -> None:
        epoch = state.epochs[sender] if sender in state.voters else self.epoch_of(sender)
        for to, content in sends:
            # A reply is for the incarnation that sent the request.
            incarnation = (
                state.incarnations[sender] if to in state.voters else state.candidates[to].incarnation
            )
            state.in_transit.append(Message(state.now, sender, to, incarnation, epoch, content))

    def _act_moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        for name in self.names:
            local_now = self.clock(state, name)
            if name not in state.acting:
                new = self.copy(state)
                if permit := new.guards[name].begin(local_now, ACT_TIME):
                    new.acting[name] = permit, False
                    others = [n for n, (other, stalled) in new.acting.items() if n != name and not stalled]
                    if others and self.scope.bounded:
                        new.breach = f"acts of {name} and {others[0]} overlap"
                    yield f"{name} begins to act", new
                continue
            permit, stalled = state.acting[name]
            new = self.copy(state)
            del new.acting[name]
            if not self.checked or permit.token >= new.highest_token:
                if permit.token < new.highest_token:
                    new.breach = f"token {permit.token} of {name} took effect after {new.highest_token}"
                new.highest_token = permit.token
            else:
                new.guards[name].outdated(local_now, permit, new.highest_token)
            yield f"{name} ends its act", new
            if not stalled and state.stalls < self.scope.stalls:
                new = self.copy(state)
                new.stalls += 1
                new.acting[name] = permit, True
                yield f"{name} stands still in its act", new

    def _time_moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Advance to the next moment at which something changes by itself.

        An act that has not stalled ends by its deadline.
        """
        if state.jumps >= self.scope.jumps:
            return
        moments = []
        for number, voter in state.voters.items():
            own_times = [voter.silent_until, *(record.expires_at for record in voter.records.values())]
            moments += [self._true_time(number, own_time) for own_time in own_times]
        for name, candidate in state.candidates.items():
            own_times = [candidate.expires_at, candidate._next_at]
            if candidate._round:
                own_times.append(candidate._round.began_at + int(ROUND_TIMEOUT_TERMS * TERM))
            moments += [self._true_time(name, own_time) for own_time in own_times]
        later = [at for at in moments if at > state.now]
        for at in sorted({min(later, default=state.now + TIME_STEP), state.now + TIME_STEP}):
            new = self.copy(state)
            new.now, new.jumps = at, state.jumps + 1
            if any(
                not stalled and self.clock(new, n) > permit.deadline
                for n, (permit, stalled) in state.acting.items()
            ):
                continue
            for name, candidate in new.candidates.items():  # fail rounds whose time is over
                local_now = self.clock(new, name)
                if candidate._round and local_now - candidate._round.began_at >= ROUND_TIMEOUT_TERMS * TERM:
                    candidate._fail_round(local_now)
            self._drop_obsolete(new)
            self._check(new)
            yield f"until {new.now}", new

    def _true_time(self, who: int, own_time: int) -> int:
        rates = self.scope.rates
        rate = rates[who] if who < len(rates) else SCALE
        return -(-own_time * SCALE // rate)

    def _check(self, state: LeaseState) -> None:
        holders = [n for n, candidate in state.candidates.items() if candidate.holds(self.clock(state, n))]
        if len(holders) > 1 and self.scope.bounded:
            state.breach = f"{holders[0]} and {holders[1]} both hold it at {state.now}"


def _shallow_copy(original: Any) -> Any:
    """A shallow copy; counters are shared."""
    new = object.__new__(type(original))
    new.__dict__.update(original.__dict__)
    return new


def _copy_voter(voter: Voter) -> Voter:
    new = _shallow_copy(voter)
    new.records = {name: copy.copy(record) for name, record in voter.records.items()}
    return new


def _copy_candidate(candidate: Candidate) -> Candidate:
    new = _shallow_copy(candidate)
    new.counts = dict(candidate.counts)
    if candidate._round:
        round_ = new._round = copy.copy(candidate._round)
        round_.promised, round_.granted, round_.refused = (
            dict(round_.promised),
            set(round_.granted),
            set(round_.refused),
        )
    return new


def _round_key(candidate: Candidate) -> Any:
    round_ = candidate._round
    if round_ is None:
        return None
    promised = tuple(sorted(round_.promised.items()))
    return (
        round_.ballot, round_.began_at, promised, tuple(sorted(round_.granted)),
        tuple(sorted(round_.refused)), round_.proposing, round_.wait_us,
    )  # fmt: skip


class EpochModel(LeaseModel):
    """Two epochs: voters 0 to 2 in the first, 1 to 3 in the second, and one candidate in each."""

    def __init__(self, scope: Scope) -> None:
        super().__init__(scope, voters=4, candidates=2)
        self.old, self.new = (0, 1, 2), (1, 2, 3)

    def epoch_of(self, candidate: int) -> int:
        return 1 if candidate == self.names[0] else 2

    def groups_of(self, candidate: int) -> tuple[tuple[int, ...], ...]:
        return (self.old,) if self.epoch_of(candidate) == 1 else (self.new, self.old)

    def switched(self, state: LeaseState, number: int) -> Voter:
        """The voter in the next epoch; the change is a restart."""
        return self.voter(state.incarnations[number], TERM, self.clock(state, number))

    def start(self) -> LeaseState:
        state = super().start()
        state.epochs[3] = 2
        return state

    def moves(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        yield from super().moves(state)
        for number, epoch in state.epochs.items():
            if epoch == 1:
                new = self.copy(state)
                new.epochs[number], new.incarnations[number] = 2, new.incarnations[number] + 1
                new.voters[number] = self.switched(new, number)
                yield f"voter {number} is in epoch 2", new


@dataclass(slots=True)
class ShareState:
    """A lender and its borrowers; the lender's lease may pass to another process once it has expired."""

    now: int
    lender: Lender
    lease_expires_at: int
    shares: dict[int, Share]
    in_transit: list[tuple[int, ShareRequest | Loan]] = field(default_factory=list)  # borrower and message
    successors: int = 0
    jumps: int = 0
    breach: str = ""


class ShareModel:
    """One budget shared by borrowers, numbered from 1; process 0 is the lender."""

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
        new.lender.outstanding = {who: copy.copy(loan) for who, loan in state.lender.outstanding.items()}
        new.lender.counts = dict(state.lender.counts)
        new.shares = {name: copy.copy(share) for name, share in state.shares.items()}
        new.in_transit = list(state.in_transit)
        return new

    def key(self, state: ShareState) -> tuple[Any, ...]:
        outstanding = tuple(
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
            outstanding,
            state.lease_expires_at,
            shares,
            tuple(sorted(map(hash, state.in_transit))),
            state.successors,
            state.jumps,
        )

    def moves(self, state: ShareState) -> Iterator[tuple[str, ShareState]]:
        for name, share in state.shares.items():
            local_now = self.clock(state.now, name)
            if local_now >= share._next_at and share._number < self.scope.rounds:
                new = self.copy(state)
                if request := new.shares[name].tick(local_now, TERM):
                    new.in_transit.append((name, request))
                    yield f"{name} asks", new
        for index, (name, message) in enumerate(state.in_transit):
            new = self.copy(state)
            del new.in_transit[index]
            self._deliver(new, name, message)
            yield f"{type(message).__name__} of {name} arrives", new
        yield from self._time_moves(state)

    def _deliver(self, state: ShareState, name: int, message: ShareRequest | Loan) -> None:
        if isinstance(message, ShareRequest):
            loan = state.lender.handle(self.clock(state.now, 0), name, message, state.lease_expires_at)
            if loan:
                state.in_transit.append((name, loan))
        else:
            state.shares[name].handle(self.clock(state.now, name), message)
            self._check(state)

    def _check(self, state: ShareState) -> None:
        used = sum(share.ppm(self.clock(state.now, name)) for name, share in state.shares.items())
        if used > TOTAL_PPM:
            state.breach = f"{used} of {TOTAL_PPM} parts in use at {state.now}"

    def _time_moves(self, state: ShareState) -> Iterator[tuple[str, ShareState]]:
        rate = lambda who: self.scope.rates[who] if who < len(self.scope.rates) else SCALE  # noqa: E731
        moments = [
            state.lease_expires_at,
            *(-(-loan.expires_at * SCALE // rate(0)) for loan in state.lender.outstanding.values()),
        ]
        for name, share in state.shares.items():
            moments += [-(-at * SCALE // rate(name)) for at in (share._loan_expires_at, share._next_at)]
        later = [at for at in moments if at > state.now]
        if not later or state.jumps >= self.scope.jumps:
            return
        new = self.copy(state)
        new.now, new.jumps = min(later), state.jumps + 1
        # Once the lease has expired, its next holder starts without state.
        if self.clock(new.now, 0) >= state.lease_expires_at:
            new.lender, new.successors = self.lender("b", TERM), new.successors + 1
            new.lease_expires_at = self.clock(new.now, 0) + TERM
        self._check(new)
        yield f"until {new.now}", new


@dataclass(frozen=True, slots=True)
class Walk:
    """The result of a search."""

    states: int
    depth: int
    whole: bool  # the scope was explored completely
    breach: str
    trace: tuple[str, ...]


def walk(model: Any, max_states: int, max_depth: int = 200, after: tuple[str, ...] = ()) -> Walk:
    """Search breadth first until a breach, a limit or the end of the scope, from the end of `after`."""
    first = replay(model, after)
    if first.breach:
        return Walk(1, 0, False, first.breach, ())
    seen = {hash(model.key(first))}
    queue = deque([(first, 0, None)])
    depth, depth_limited = 0, False
    while queue:
        state, state_depth, path = queue.popleft()
        depth = max(depth, state_depth)
        if state_depth >= max_depth:
            depth_limited = True
            continue
        for label, new in model.moves(state):
            if new.breach:
                return Walk(len(seen), state_depth + 1, False, new.breach, (*_labels(path), label))
            key = hash(model.key(new))
            if key not in seen:
                if len(seen) >= max_states:
                    return Walk(len(seen), depth, False, "", ())
                seen.add(key)
                queue.append((new, state_depth + 1, (path, label)))
    return Walk(len(seen), depth, not depth_limited, "", ())


def replay(model: Any, trace: tuple[str, ...]) -> Any:
    """The state at the end of a trace; raises LookupError where a move is not possible."""
    state = model.start()
    for label in trace:
        state = dict(reversed(list(model.moves(state))))[label]
    return state


def _labels(path: Any) -> list[str]:
    labels: list[str] = []
    while path is not None:
        path, label = path
        labels.append(label)
    return labels[::-1]


SLOW, FAST = round(SCALE * (1 - MAX_CLOCK_DRIFT)), round(SCALE * (1 + MAX_CLOCK_DRIFT))
