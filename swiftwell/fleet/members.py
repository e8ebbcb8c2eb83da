"""Who of the configured roster lives.  No I/O.

After Das and others, "SWIM" (probes in turn, by way of others, suspicion that can be refuted, news that
travels on what is sent anyhow), and Dadgar and others, "Lifeguard" (own slowness is held against oneself
first).  What a router sends and receives for this is bounded whatever the fleet's size: a ping and an ack a
period, ASKED more where an ack is missing.

A member is told from its earlier runs by its life, a number that grows with each start; within a life its
turn grows with each refutation.  This view decides whom to ask and what to expect, never who may act: leases
are granted by configured voters, whoever lives.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass
from enum import IntEnum

from swiftwell.fleet.words import Ack, Ask, News, Ping, Word

PERIOD_US = 1_000_000  # us between two probes of ours: a router sends some bytes a second for this
ACK_PART = 0.35  # of a period until an ack is missed and others are asked: a LAN's datagram takes a hundredth
PING_AGAIN = 0.12  # of a period until a ping without an ack is said again: twice before others are asked, as
# with three datagrams in ten lost one ping in two has none, and suspicions outran what news can refute
ASKED = 3  # members asked to ping one that did not answer us: sees through one-way cuts and losses of our own
SUSPECT_PERIODS = 3.0  # periods, times the digits of the roster's size, until a suspected one counts as dead
NEWS_TURNS = 3.0  # times the binary digits of that size that one piece of news is passed on
NEWS_EACH = 10  # pieces of news on a datagram: with a ping they stay under its bound of 256 bytes
NEWCOMER = 20  # datagrams to one that has just started that are filled up with what we hold of others, as
# news of those who changed lately does not tell it of the rest, whom it would only meet one a period
WORST_HEALTH = 8  # of our own: periods and time limits stretch up to nine times
AWAY_PERIODS = 2.0  # periods without a tick after which we take it that we stood still, and not the others
DEAD_EVERY = 4  # periods between two pings of one that counts as dead: how a healed cut is noticed
MOST_RELAYS = 64  # pings made for others that may wait for their ack


class Status(IntEnum):
    """What we hold of a member."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class Member:
    """One of the roster."""

    status: Status = Status.DEAD  # until it has been heard of
    life: int = 0
    turn: int = 0
    since: int = 0  # when its status became this
    until: int = 0  # when a suspected one counts as dead

    @property
    def rank(self) -> tuple[int, int, int]:
        """What is newer wins; at the same life and turn the worse word does."""
        return self.life, self.turn, self.status


@dataclass(slots=True)
class _Probe:
    of: int
    number: int
    sent: int
    said: int  # when it was last said
    asked: bool = False


class Members:
    """One router's view.  `me` is its position in the roster of `size`."""

    def __init__(
        self, me: int, size: int, life: int, now: int, seed: int, period_us: int = PERIOD_US
    ) -> None:
        self.me, self.size, self.life, self.turn = me, size, life, 0
        self.period_us = period_us
        self.table = {number: Member(since=now) for number in range(size) if number != me}
        self.health = 0  # 0 is well; each own failing adds one
        self.changes: list[tuple[int, Status]] = []  # since the user last took them
        self.counts = dict.fromkeys(("pings", "missed", "suspected", "died", "refuted", "paused"), 0)
        self._chance = random.Random(f"{seed}/{me}/{life}")
        self._patience = SUSPECT_PERIODS * max(1.0, math.log10(size + 1))
        self._turns = NEWS_TURNS * math.log2(size + 1)
        self._heard = now  # when anybody spoke to us last
        self._order: list[int] = []
        self._dead_order: list[int] = []
        self._probe: _Probe | None = None
        self._number = 0
        self._periods = 0
        self._next_at = now + int(self._chance.random() * period_us)  # starts of a whole fleet are spread
        self._ticked = now
        self._relays: dict[int, tuple[int, int]] = {}  # number of our ping: who asked, with which number
        # News by how often each piece is still to be told, most first; with 200 members sorting all of it for
        # each datagram was a third of what a router took for its fleet.
        self._news: list[dict[int, None]] = [{} for _ in range(math.ceil(self._turns) + 1)]
        self._left: dict[int, int] = {}  # member: where its news stands in that
        self._suspects: set[int] = set()
        self._newcomers: dict[int, int] = {}  # member: datagrams to it that are still filled up
        self._alive: list[int] = [me]

    # What the others see.

    def alive(self) -> list[int]:
        """Positions of those that live, ourselves and the suspected included."""
        return self._alive

    def step(self, now: int) -> list[tuple[int, Word]]:
        """What is due."""
        out: list[tuple[int, Word]] = []
        gap = now - self._ticked
        self._ticked = now
        if gap > AWAY_PERIODS * self.period_us:
            self._woke(now, gap)
        probe = self._probe
        if probe and not probe.asked and now - probe.said >= PING_AGAIN * self._period():
            probe.said = now
            out.append((probe.of, Ping(probe.number)))
        if probe and not probe.asked and now - probe.sent >= ACK_PART * self._period():
            probe.asked = True
            if self._heard < probe.sent:  # nobody's word came since: it may well be us
                self._worse()
            self.counts["missed"] += 1
            others = [n for n in self.alive() if n not in (self.me, probe.of)]
            for helper in self._chance.sample(others, min(ASKED, len(others))):
                out.append((helper, Ask(probe.number, probe.of)))
        for number in sorted(self._suspects):
            one = self.table[number]
            if now >= one.until:
                self._set(now, number, one.life, one.turn, Status.DEAD)
        if now >= self._next_at:
            out += self._new_period(now)
        return out

    def _period(self) -> float:
        return self.period_us * (1 + self.health)

    def _new_period(self, now: int) -> list[tuple[int, Word]]:
        probe, self._probe = self._probe, None
        if probe is not None:
            one = self.table[probe.of]
            if one.status is Status.ALIVE:
                self._suspect(now, probe.of, one.life, one.turn)
        self._periods += 1
        self._next_at = now + int(self._period())
        out: list[tuple[int, Word]] = []
        if (
            self._periods % DEAD_EVERY == 0
            and (of := self._turn_of(self._dead_order, Status.DEAD)) is not None
        ):
            out.append(self._ping(of))  # only to be heard of again: nothing follows from silence
        of = self._turn_of(self._order, Status.ALIVE, Status.SUSPECT)
        if of is None:
            of = self._turn_of(self._dead_order, Status.DEAD)
            if of is None:
                return out
            return [*out, self._ping(of)]
        ping = self._ping(of)
        self._probe = _Probe(of, self._number, now, now)
        self.counts["pings"] += 1
        return [*out, ping]

    def _ping(self, of: int, by: int = -1) -> tuple[int, Ping]:
        self._number += 1
        return of, Ping(self._number, by)

    def _turn_of(self, order: list[int], *wanted: Status) -> int | None:
        """Members in turn, in an order that is drawn anew each round."""
        for _ in range(2):
            while order:
                of = order.pop()
                if self.table[of].status in wanted:
                    return of
            order += [n for n, one in self.table.items() if one.status in wanted]
            self._chance.shuffle(order)
        return None

    def _woke(self, now: int, gap: int) -> None:
        """We stood still: what was out meanwhile tells nothing of others, and they may hold us for dead."""
        self.counts["paused"] += 1
        self._worse()
        self._probe = None
        self._relays.clear()
        for number in self._suspects:
            self.table[number].until += gap
        self._refute(0)
        self._next_at = now

    def _worse(self) -> None:
        self.health = min(WORST_HEALTH, self.health + 1)

    # What comes in.

    def heard(self, now: int, sender: int, life: int) -> None:
        """A member spoke to us itself: it lives, in this life."""
        one = self.table.get(sender)
        if one is None:
            return
        if life < one.life:
            return  # a late datagram of an earlier run
        self._heard = now
        if life > one.life:
            self._newcomers[sender] = NEWCOMER
            self._set(now, sender, life, 0, Status.ALIVE)

    def take(self, now: int, sender: int, word: Word) -> list[tuple[int, Word]]:
        """A member's word, of the life that `heard` was told of."""
        match word:
            case Ping():
                return [(sender, Ack(word.number)), *self._told_wrong(sender)]
            case Ack():
                return self._acked(now, sender, word)
            case Ask() if word.of in self.table and word.of != sender and len(self._relays) < MOST_RELAYS:
                ping = self._ping(word.of, sender)
                self._relays[self._number] = sender, word.number
                return [ping]
            case News():
                self._told(now, word)
        return []

    def _told_wrong(self, sender: int) -> list[tuple[int, Word]]:
        """One that pings us while we hold it for suspected or dead has to hear so, to refute it."""
        one = self.table[sender]
        if one.status is Status.ALIVE:
            return []
        return [(sender, News(sender, one.life, one.turn, one.status))]

    def _acked(self, now: int, sender: int, word: Ack) -> list[tuple[int, Word]]:
        of = sender if word.of < 0 else word.of
        if word.of < 0 and word.number in self._relays:
            asker, number = self._relays.pop(word.number)
            return [(asker, Ack(number, sender))]
        probe = self._probe
        if probe and probe.number == word.number and probe.of == of:
            self._probe = None
            self.health = max(0, self.health - 1)
        return self._told_wrong(sender)

    def _told(self, now: int, word: News) -> None:
        if word.state not in (0, 1, 2):
            return
        status = Status(word.state)
        if word.of == self.me:
            if word.life > self.life:  # our clock was set back since an earlier run of ours
                self.life, self.turn = word.life + 1, 0
                self._say(self.me)
            elif word.life == self.life and status is not Status.ALIVE and word.turn >= self.turn:
                self._worse()
                self._refute(word.turn)
            return
        one = self.table.get(word.of)
        if one is None or (word.life, word.turn, status) <= one.rank:
            return
        if status is Status.SUSPECT:
            self._suspect(now, word.of, word.life, word.turn)
        else:
            self._set(now, word.of, word.life, word.turn, status)

    def _refute(self, turn: int) -> None:
        self.turn = max(self.turn, turn) + 1
        self.counts["refuted"] += 1
        self._say(self.me)

    def _suspect(self, now: int, of: int, life: int, turn: int) -> None:
        """Not dead yet: it has this long to say otherwise, longer where we are not well ourselves."""
        self.counts["suspected"] += 1
        self._set(now, of, life, turn, Status.SUSPECT)
        self.table[of].until = now + int(self._patience * self._period())

    def _set(self, now: int, of: int, life: int, turn: int, status: Status) -> None:
        one = self.table[of]
        if status is Status.DEAD and one.status is not Status.DEAD:
            self.counts["died"] += 1
        if status is not one.status:
            one.since = now
            self.changes.append((of, status))
        one.life, one.turn, one.status = life, turn, status
        (self._suspects.add if status is Status.SUSPECT else self._suspects.discard)(of)
        at = bisect.bisect_left(self._alive, of)
        there = at < len(self._alive) and self._alive[at] == of
        if there and status is Status.DEAD:
            del self._alive[at]
        elif not there and status is not Status.DEAD:
            self._alive.insert(at, of)
        self._say(of)

    # News that travels along.

    def _say(self, of: int) -> None:
        if (was := self._left.get(of)) is not None:
            del self._news[was][of]
        self._left[of] = len(self._news) - 1
        self._news[-1][of] = None

    def news(self, to: int) -> list[News]:
        """What goes along to a member: what was told least so far."""
        told = list(itertools.islice(itertools.chain.from_iterable(reversed(self._news)), NEWS_EACH))
        out = []
        for of in told:
            left = self._left.pop(of)
            del self._news[left][of]
            if left > 1:
                self._left[of] = left - 1
                self._news[left - 1][of] = None
            if of == self.me:
                out.append(News(of, self.life, self.turn, Status.ALIVE))
            elif of != to:
                out.append(self._piece(of))
        if left := self._newcomers.get(to):
            self._newcomers[to] = left - 1
            if left == 1:
                del self._newcomers[to]
            known = [of for of in self._alive if of not in (self.me, to) and of not in told]
            room = min(NEWS_EACH - len(out), len(known))
            out += [self._piece(of) for of in self._chance.sample(known, room)]
        return out

    def _piece(self, of: int) -> News:
        one = self.table[of]
        return News(of, one.life, one.turn, one.status)
