"""One order for a function's copy, not one from each router.  Decisions, no I/O.

The module decides that a copy is wanted, and where.  Before its order goes out, one member of the fleet is
asked: whoever comes first for that function in an order that all share.  It lets the first order go, tells
the others to wait, and passes on what came of it: a copy that stands is told to all who asked.  Nothing here
is a promise: an asked member that is silent is passed over after ASKED_US for the next, and after TRIES of
them the order goes out as it would without a fleet.  So a copy is late by that at most, and a restart of the
asked member costs an order more at most for each copy that is under way.  What has to wait never goes out
later: orders are counted when they are decided.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

ASKED_US = 150_000  # us until who was asked counts as silent: a hundred times a LAN's way, a fifth of a load
TRIES = 3  # members asked in turn
SETTLE_US = 3_000_000  # us from our start in which those we have not heard of may be there all the same
UNDER_WAY_US = 5_000_000  # us until an order that was let go counts as lost: six times a usual load
STANDS_US = 10_000_000  # us for which a copy is taken to stand: idle copies stay so long at least
MOST_FUNCTIONS = 5_000  # functions kept account of; the ones asked for longest ago are forgotten
MOST_WAITING = 256  # members told of one copy; others hear when they ask again


class Say(IntEnum):
    """What is said of a copy."""

    WISH = 0  # may we order it?
    GO = 1  # yes
    WAIT = 2  # another's order is under way
    STANDS = 3  # it stands there
    FAILED = 4  # the order that was let go came to nothing
    NOTHING = 5  # what you wait for came to nothing


class Word(Struct, frozen=True, array_like=True):
    """Something said of a function's copy at a worker; `number` is the asker's own."""

    say: Say
    number: int
    function: str
    worker: str
    copies: int = 0


class Do(IntEnum):
    """What a router does about its own order."""

    ORDER = 0  # send it
    STANDS = 1  # a copy stands at `worker`
    NOTHING = 2  # it never goes out: the module decides anew


@dataclass(frozen=True, slots=True)
class Act:
    """For the order of that number."""

    do: Do
    number: int
    function: str
    worker: str
    copies: int = 0


@dataclass(slots=True)
class _Wish:
    """An order of ours that was not let go yet."""

    function: str
    worker: str
    known: int
    asked: int  # who
    at: int
    tries: int = 1
    waits: bool = False


@dataclass(slots=True)
class _Function:
    """What we, asked for it, know of a function."""

    orders: dict[str, tuple[int, int]] = field(default_factory=dict)  # worker: by whom, until when
    stands: dict[str, int] = field(default_factory=dict)  # worker: until when
    waiting: dict[int, tuple[int, str]] = field(default_factory=dict)  # member: its number, worker


Out = tuple[list[tuple[int, Word]], list[Act]]


def ranked(group: Collection[int], function: str) -> list[int]:
    """The group in the order in which its members are asked for a function, the same at everyone."""

    def weight(member: int) -> bytes:
        return hashlib.blake2b(f"{function}\0{member}".encode(), digest_size=8).digest()

    return sorted(group, key=weight)


class Copies:
    """One router's part: asks for its own orders, and answers for the functions that it comes first for."""

    def __init__(self, me: int, group: tuple[int, ...], now: int) -> None:
        self.me, self.group, self.began = me, group, now
        self.wishes: dict[int, _Wish] = {}
        self.table: OrderedDict[str, _Function] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self._under_way: dict[int, tuple[str, str, int]] = {}  # ours that go: function, worker, who let it

    # Our own orders.

    def want(
        self, now: int, number: int, function: str, worker: str, known: int, living: Collection[int]
    ) -> Out:
        """The module wants a copy; `known`: how many workers it believes to have one."""
        asked = self._whom(now, function, 0, living)
        wish = self.wishes[number] = _Wish(function, worker, known, asked, now)
        return self._ask(now, number, wish)

    def _whom(self, now: int, function: str, turn: int, living: Collection[int]) -> int:
        """Who is asked in that turn: of the configured group, without those who seem dead once we know."""
        settled = now - self.began >= SETTLE_US
        group = [one for one in self.group if one == self.me or not settled or one in living]
        order = ranked(group, function)
        return order[turn] if turn < len(order) else self.me

    def _ask(self, now: int, number: int, wish: _Wish) -> Out:
        word = Word(Say.WISH, number, wish.function, wish.worker, wish.known)
        if wish.asked == self.me:
            sends, acts = self._wished(now, self.me, word)
            return sends, acts
        self.counts["asked"] += 1
        return [(wish.asked, word)], []

    def _go(self, number: int, wish: _Wish, by: int) -> Act:
        del self.wishes[number]
        if by >= 0:
            self._under_way[number] = wish.function, wish.worker, by
        return Act(Do.ORDER, number, wish.function, wish.worker)

    def _nothing(self, number: int, wish: _Wish) -> Act:
        del self.wishes[number]
        self.counts["nothing"] += 1
        return Act(Do.NOTHING, number, wish.function, wish.worker)

    def ended(self, now: int, number: int, copies: int) -> Out:
        """An order of ours that went has ended, with so many copies."""
        self.wishes.pop(number, None)
        if (was := self._under_way.pop(number, None)) is None:
            return [], []
        function, worker, by = was
        word = Word(Say.STANDS if copies else Say.FAILED, number, function, worker, copies)
        return self._came(now, self.me, word) if by == self.me else ([(by, word)], [])

    def step(self, now: int, living: Collection[int]) -> Out:
        """What is due."""
        sends: list[tuple[int, Word]] = []
        acts: list[Act] = []
        for number, wish in list(self.wishes.items()):
            if wish.waits and now - wish.at >= UNDER_WAY_US:
                acts.append(self._nothing(number, wish))
            elif not wish.waits and now - wish.at >= ASKED_US:
                self.counts["silent"] += 1
                if wish.tries >= TRIES:
                    acts.append(self._go(number, wish, -1))
                    continue
                wish.asked, wish.at = self._whom(now, wish.function, wish.tries, living), now
                wish.tries += 1
                self._join((sends, acts), self._ask(now, number, wish))
        for name, one in list(self.table.items()):
            late = [worker for worker, (_, until) in one.orders.items() if now >= until]
            for worker in late:
                del one.orders[worker]
            if late and not one.orders:
                self._join((sends, acts), self._tell(now, name, one, Say.NOTHING, "", 0))
        return sends, acts

    @staticmethod
    def _join(to: Out, more: Out) -> None:
        to[0].extend(more[0])
        to[1].extend(more[1])

    # What comes in.

    def take(self, now: int, sender: int, word: Word) -> Out:
        """A member's word; what is said back, and what becomes of our own orders."""
        if word.say is Say.WISH:
            return self._wished(now, sender, word)
        if word.say is Say.FAILED or (word.say is Say.STANDS and word.number not in self.wishes):
            return self._came(now, sender, word)
        wish = self.wishes.get(word.number)
        if wish is None or wish.function != word.function:
            return [], []  # late: the order has gone
        match word.say:
            case Say.GO:
                return [], [self._go(word.number, wish, sender)]
            case Say.WAIT:
                wish.waits, wish.at = True, now
            case Say.STANDS:
                del self.wishes[word.number]
                self.counts["spared"] += 1
                return [], [Act(Do.STANDS, word.number, word.function, word.worker, word.copies)]
            case Say.NOTHING:
                return [], [self._nothing(word.number, wish)]
        return [], []

    def _of(self, name: str) -> _Function:
        one = self.table.get(name)
        if one is None:
            one = self.table[name] = _Function()
            if len(self.table) > MOST_FUNCTIONS:
                self.table.popitem(last=False)
        self.table.move_to_end(name)
        return one

    def _wished(self, now: int, sender: int, word: Word) -> Out:
        one = self._of(word.function)
        one.stands = {worker: until for worker, until in one.stands.items() if until > now}
        one.orders = {worker: had for worker, had in one.orders.items() if had[1] > now}
        there = word.worker if word.worker in one.stands else ""
        if not there and not word.copies:  # it knows of none: any will do
            there = next(iter(one.stands), "")
        if there:
            return self._say(now, sender, Word(Say.STANDS, word.number, word.function, there, 1))
        if word.worker in one.orders or (one.orders and not one.stands):
            if len(one.waiting) < MOST_WAITING:
                one.waiting[sender] = word.number, word.worker
            return self._say(now, sender, Word(Say.WAIT, word.number, word.function, word.worker))
        one.orders[word.worker] = sender, now + UNDER_WAY_US
        self.counts["let-go"] += 1
        return self._say(now, sender, Word(Say.GO, word.number, word.function, word.worker))

    def _say(self, now: int, to: int, word: Word) -> Out:
        return self.take(now, self.me, word) if to == self.me else ([(to, word)], [])

    def _came(self, now: int, sender: int, word: Word) -> Out:
        """What came of an order that we let go, or of one that went without being asked for."""
        one = self._of(word.function)
        one.orders.pop(word.worker, None)
        if word.say is Say.STANDS:
            one.stands[word.worker] = now + STANDS_US
            return self._tell(now, word.function, one, Say.STANDS, word.worker, word.copies)
        one.stands.pop(word.worker, None)
        return self._tell(now, word.function, one, Say.NOTHING, "", 0)

    def _tell(self, now: int, function: str, one: _Function, say: Say, worker: str, copies: int) -> Out:
        """To all who wait."""
        out: Out = [], []
        waiting, one.waiting = one.waiting, {}
        for member, (number, where) in waiting.items():
            word = Word(say, number, function, worker or where, copies)
            self._join(out, self._say(now, member, word))
        return out

    def sizes(self) -> dict[str, int]:
        """Everything held."""
        return {"wishes": len(self.wishes), "functions": len(self.table), "under-way": len(self._under_way)}
