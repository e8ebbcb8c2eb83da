"""One router of a fleet: members, leases, guards and shares joined.  `step` is all of it; no I/O.

`step(now_us, datagrams)` takes what came and gives what goes out, each to a position of the roster.  What it
keeps is bounded by the roster, the leases and the budgets of the settings.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swiftwell.fleet import words
from swiftwell.fleet.board import Board
from swiftwell.fleet.guard import Guard
from swiftwell.fleet.lease import Candidate, Voter, choose
from swiftwell.fleet.members import PERIOD_US, Members
from swiftwell.fleet.shares import Lender, Share
from swiftwell.fleet.words import Datagram, Loan, News, Want, Word

MOST_RATE = 200.0  # datagrams a second that one peer may send: voters of 200 routers hear some hundred in all
BURST = 400.0  # datagrams that a peer may send at once, after a quiet time
TICK_US = 50_000  # us between two steps where nothing comes: a twentieth of a period


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What a fleet is configured as.  `before`: the roster that this epoch replaces, while it does."""

    roster: tuple[str, ...]
    me: int
    epoch: int = 1
    voters: int = 3
    term_us: int = 10_000_000
    period_us: int = PERIOD_US
    leases: tuple[str, ...] = ()
    budgets: tuple[str, ...] = ()
    before: tuple[str, ...] = ()
    boards: tuple[tuple[str, tuple[int, ...]], ...] = ()  # names, and positions of those who share each
    key: bytes = b""


class FleetNode:
    """One router's part in the fleet."""

    def __init__(self, told: FleetSettings, now: int, wall_ms: int, seed: int) -> None:
        self.told = told
        self.members = Members(told.me, len(told.roster), max(1, wall_ms), now, seed, told.period_us)
        self.voter = Voter(self.members.life, told.term_us, now)
        names = (*told.leases, *(f"share/{budget}" for budget in told.budgets))
        self.leases = {name: self._candidate(name, wall_ms, seed) for name in names}
        self.boards: dict[str, Board] = {}
        for name, group in told.boards:
            self.boards[name] = Board(name, told.me, group, now, told.period_us, seed)
            # Its voters are of those who share it, and the roster's number is in the name: a zone that is cut
            # off agrees by itself, and two epochs have a writer each, which a board stands.
            lease = f"board/{name}/{told.epoch}"
            voters = choose((told.roster[one] for one in group), lease, told.voters)
            groups = (tuple(told.roster.index(one) for one in voters),)
            self.leases[lease] = Candidate(
                lease, told.me, self.members.life, groups, told.term_us, wall_ms, seed
            )
        self.guards = {name: Guard(candidate) for name, candidate in self.leases.items()}
        self.shares = {budget: Share(budget, len(told.roster)) for budget in told.budgets}
        self.lenders: dict[str, Lender] = {}
        self.counts: Counter[str] = Counter()
        self.holders: dict[str, int] = {}  # lease of a budget: who lends, by what we were told last
        self.listeners: list[Callable[[int], None]] = []  # told of each member that spoke to us
        self.users: dict[str, Callable[[int, int, bytes], None]] = {}  # name: takes now, sender, body
        self._now = now
        self._rates: dict[int, list[float]] = {}
        self._out: dict[int, list[Word]] = {}
        for budget in told.budgets:  # its voters lend: without a majority of them nobody could
            lease = self.leases[f"share/{budget}"]
            lease.want(now, told.me in lease.voters)

    def _candidate(self, name: str, wall_ms: int, seed: int) -> Candidate:
        told = self.told
        at = {member: number for number, member in enumerate(told.roster)}
        groups = [choose(told.roster, name, told.voters)]
        if told.before:  # both majorities, until the old roster is gone: no moment at which each grants alone
            groups.append(choose(told.before, name, told.voters))
        numbers = tuple(tuple(at.get(one, -1 - n) for n, one in enumerate(group)) for group in groups)
        return Candidate(name, told.me, self.members.life, numbers, told.term_us, wall_ms, seed)

    def say(self, to: int, name: str, body: bytes) -> None:
        """A word of a user of the fleet to another; it goes out with the next step."""
        self._send([(to, words.Said(name, body))])

    def board_lease(self, name: str) -> Candidate:
        """The lease of whoever writes a board."""
        return self.leases[f"board/{name}/{self.told.epoch}"]

    def want(self, now: int, name: str, wanted: bool = True) -> None:
        """Try for a lease of the settings, or give it up."""
        self._now = now
        self._send(self.leases[name].want(now, wanted))

    def step(self, now: int, came: Iterable[bytes] = ()) -> list[tuple[int, bytes]]:
        """Take what came, do what is due; give what goes out."""
        self._now = now
        for raw in came:
            self._take(now, raw)
        self._send(self.members.step(now))
        for candidate in self.leases.values():
            self._send(candidate.tick(now))
        for budget, share in self.shares.items():
            self._budget(now, budget, share)
        for board in self.boards.values():
            board.living = self.members.alive()
            self._send(board.step(now))
        return self._packed()

    def _budget(self, now: int, budget: str, share: Share) -> None:
        lease = self.leases[f"share/{budget}"]
        if not lease.holds(now):
            self.lenders.pop(budget, None)
        elif budget not in self.lenders:
            self.lenders[budget] = Lender(budget, self.told.term_us)
        wish = share.tick(now, self.told.term_us)
        if wish is None:
            return
        if lender := self.lenders.get(budget):
            if loan := lender.take(now, self.told.me, wish, lease.until):
                share.take(now, loan)
        else:  # a voter knows whom it granted the lease to
            asked = self.holders.get(f"share/{budget}", lease.voters[wish.number % len(lease.voters)])
            self._send([(asked, wish)] if asked != self.told.me else [])
            if share.parts(now) == share.own:
                self.holders.pop(f"share/{budget}", None)

    def _take(self, now: int, raw: bytes) -> None:
        try:
            got = words.unpack(raw, self.told.key)
        except words.Unreadable:
            self.counts["unreadable"] += 1
            return
        if got.epoch != self.told.epoch:
            self.counts["other-epoch"] += 1
            return
        sender = got.sender
        if not 0 <= sender < len(self.told.roster) or sender == self.told.me:
            self.counts["stranger"] += 1
            return
        if not self._within(now, sender):
            self.counts["too-many"] += 1
            return
        self.counts["taken"] += 1
        self.members.heard(now, sender, got.life)
        for board in self.boards.values():
            board.heard(now, sender)
        for listener in self.listeners:
            listener(sender)
        if got.life < self.members.table[sender].life:
            # Of a run that has ended: nothing it says holds any more.  Or its wall clock was set back: then
            # it has to hear of its earlier life, to begin one above it; else nobody would ever listen to it.
            self.counts["earlier-life"] += 1
            known = self.members.table[sender]
            self._send([(sender, News(sender, known.life, known.turn, known.status))])
            return
        for word in got.words:
            self._word(now, sender, got.life, word)

    def _word(self, now: int, sender: int, life: int, word: Word) -> None:
        match word:
            case words.Prepare() | words.Propose() | words.Release():
                self._send(self.voter.take(now, sender, life, word))
            case words.Promise() | words.Granted() | words.Refuse():
                if candidate := self.leases.get(word.name):
                    self._send(candidate.take(now, sender, word))
            case Want():
                lease = self.leases.get(f"share/{word.budget}")
                lender = self.lenders.get(word.budget)
                known = self.voter.known.get(f"share/{word.budget}")
                if lease and lender:
                    loan = lender.take(now, sender, word, lease.until)
                    self._send([(sender, loan)] if loan else [])
                elif known and now < known.until and known.holder != sender:
                    self._send([(sender, words.Held(f"share/{word.budget}", known.holder))])
            case Loan():
                if share := self.shares.get(word.budget):
                    self.holders[f"share/{word.budget}"] = sender
                    share.take(now, word)
            case words.Held():
                if word.name in self.leases and 0 <= word.holder < len(self.told.roster):
                    self.holders[word.name] = word.holder
            case words.Said():
                if user := self.users.get(word.name):
                    user(now, sender, word.body)
            case words.Notice() | words.Fetch() | words.Part():
                if board := self.boards.get(word.name):
                    self._send(board.take(now, sender, word))
            case _:
                self._send(self.members.take(now, sender, word))

    def _within(self, now: int, sender: int) -> bool:
        left = self._rates.setdefault(sender, [BURST, now])
        left[0] = min(BURST, left[0] + (now - left[1]) / 1e6 * MOST_RATE)
        left[1] = now
        if left[0] < 1:
            return False
        left[0] -= 1
        return True

    def _send(self, sends: Iterable[tuple[int, Word]]) -> None:
        for to, word in sends:
            if to == self.told.me:  # a voter that is a candidate too hears itself at once
                self._word(self._now, to, self.members.life, word)
            else:
                self._out.setdefault(to, []).append(word)

    def _packed(self) -> list[tuple[int, bytes]]:
        out, self._out = self._out, {}
        done: list[tuple[int, bytes]] = []
        for to, said in out.items():
            news: list[News] = self.members.news(to)
            whole = Datagram(self.told.epoch, self.told.me, self.members.life, [*said, *news])
            done += [(to, raw) for raw in words.split(whole, self.told.key)]
        self.counts["sent"] += len(done)
        return done

    def status(self, now: int) -> dict[str, object]:
        """For `swiftwell fleet status`."""
        roster = self.told.roster
        return {
            "me": roster[self.told.me],
            "epoch": self.told.epoch,
            "health": self.members.health,
            "members": [
                {
                    "name": roster[n],
                    "status": one.status.name.lower(),
                    "for_s": (now - one.since) // 1_000 / 1e3,
                }
                for n, one in self.members.table.items()
            ],
            "leases": [
                {
                    "name": name,
                    "held": lease.holds(now),
                    "left_ms": max(0, lease.until - now) // 1_000,
                    "token": lease.token,
                    "voters": [roster[v] for v in lease.voters],
                    **lease.counts,
                }
                for name, lease in self.leases.items()
            ],
            "shares": {budget: share.parts(now) for budget, share in self.shares.items()},
            "boards": {
                name: {
                    "writer": roster[board.writer] if 0 <= board.writer < len(roster) else "",
                    "edition": board.edition,
                    "number": board.number,
                    "silent_ms": (board.silent_us(now) or 0) // 1_000,
                    **board.sizes(),
                    **board.counts,
                }
                for name, board in self.boards.items()
            },
            "counts": dict(self.counts) | self.members.counts,
        }
