"""Failure detection: which members of the configured roster are alive.  No I/O.

After Das and others, "SWIM" (probes in round-robin order, indirect probes through other members, suspicion
that can be refuted, updates piggybacked on other messages), and Dadgar and others, "Lifeguard" (a member
first assumes that it is slow itself, and lengthens its own time limits).  The traffic of a router for this is
bounded whatever the size of the fleet: one ping and one ack a period, and INDIRECT_PINGS more if an ack is
missing.

The incarnation of a member grows with each start and so distinguishes its runs; within an incarnation, its
suspicion version grows with each refutation.  This view decides whom to contact and what to expect, never who
may act: leases are granted by the configured voters, whether they are seen alive or not.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from dataclasses import dataclass
from enum import IntEnum

from swiftwell.fleet.messages import Ack, IndirectPing, MembershipUpdate, Message, Ping

PERIOD_US = 1_000_000  # us between two probes of a router: costs it some bytes a second
# Fraction of a period after which a missing ack causes indirect pings: a LAN's datagram takes a hundredth.
ACK_TIMEOUT_PERIODS = 0.35
# Fraction of a period after which an unanswered ping is sent again, twice before the indirect pings: at 30 %
# datagram loss one ping in two gets no ack, and suspicions arose faster than updates could refute them.
PING_RETRY_PERIODS = 0.12
INDIRECT_PINGS = 3  # members asked to ping one that did not answer: covers one-way cuts and own packet loss
SUSPICION_PERIODS = 3.0  # periods, times log10 of the roster's size, until a suspected member counts as dead
UPDATE_TRANSMISSIONS = 3.0  # times log2 of the roster's size that an update is sent
MAX_UPDATES_PER_DATAGRAM = 10  # with a ping they stay under the limit of 256 bytes
# Datagrams to a member that has just started that are filled up with the status of other members: updates
# cover recent changes only, and it would learn of the rest at one member a period.
NEWCOMER_DATAGRAMS = 20
MAX_LOCAL_HEALTH = 8  # of the local health score: periods and time limits stretch up to nine times
PAUSE_PERIODS = 2.0  # periods without a step after which this process is assumed to have been paused
DEAD_PROBE_PERIODS = 4  # periods between two pings to dead members: detects that a partition has healed
MAX_RELAYED_PINGS = 64  # pings sent for other members that may wait for their ack


class Status(IntEnum):
    """The status of a member as this router sees it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class Member:
    """The state of one member of the roster."""

    status: Status = Status.DEAD  # until the first contact
    incarnation: int = 0
    suspicion_version: int = 0
    status_since: int = 0
    suspicion_expires_at: int = 0  # a suspected member counts as dead from then on

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Newer updates win; at the same incarnation and suspicion version the worse status wins."""
        return self.incarnation, self.suspicion_version, self.status


@dataclass(slots=True)
class _Probe:
    target: int
    number: int
    started_at: int
    last_sent_at: int
    indirect: bool = False  # whether other members have been asked to ping the target


class Members:
    """One router's view of the members.  `me` is its own index in the roster of `size`."""

    def __init__(
        self, me: int, size: int, incarnation: int, now: int, seed: int, period_us: int = PERIOD_US
    ) -> None:
        self.me, self.size, self.incarnation, self.suspicion_version = me, size, incarnation, 0
        self.period_us = period_us
        self.table = {number: Member(status_since=now) for number in range(size) if number != me}
        self.local_health = 0  # Lifeguard's local health: 0 is healthy, each sign of own slowness adds one
        self.changes: list[tuple[int, Status]] = []  # status changes that the caller has not collected yet
        self.counts = dict.fromkeys(("pings", "missed", "suspected", "died", "refuted", "paused"), 0)
        self._random = random.Random(f"{seed}/{me}/{incarnation}")
        self._suspicion_periods = SUSPICION_PERIODS * max(1.0, math.log10(size + 1))
        self._max_transmissions = UPDATE_TRANSMISSIONS * math.log2(size + 1)
        self._last_received_at = now  # from any member
        self._probe_order: list[int] = []
        self._dead_probe_order: list[int] = []
        self._probe: _Probe | None = None
        self._last_number = 0  # of our pings
        self._periods = 0
        # The first period starts at a random time, so that the probes of a whole fleet are spread.
        self._next_period_at = now + int(self._random.random() * period_us)
        self._last_step_at = now
        self._relays: dict[int, tuple[int, int]] = {}  # number of our ping: requester, and its number there
        # Members to send updates of, by the number of transmissions left, the most last.  Sorting all updates
        # for each datagram took a third of the fleet's CPU time of a router with 200 members.
        self._pending_updates: list[dict[int, None]] = [
            {} for _ in range(math.ceil(self._max_transmissions) + 1)
        ]
        self._transmissions_left: dict[int, int] = {}  # member: index of its update in `_pending_updates`
        self._suspects: set[int] = set()
        self._newcomers: dict[int, int] = {}  # member: datagrams to it that are still filled up
        self._alive: list[int] = [me]

    # The view, and periodic work.

    def alive(self) -> list[int]:
        """Indexes of the members that count as alive, including this router and the suspected ones."""
        return self._alive

    def step(self, now: int) -> list[tuple[int, Message]]:
        """Do what is due; return the messages to send."""
        outgoing: list[tuple[int, Message]] = []
        gap = now - self._last_step_at
        self._last_step_at = now
        if gap > PAUSE_PERIODS * self.period_us:
            self._resume_after_pause(now, gap)
        probe = self._probe
        if probe and not probe.indirect and now - probe.last_sent_at >= PING_RETRY_PERIODS * self._period():
            probe.last_sent_at = now
            outgoing.append((probe.target, Ping(probe.number)))
        if probe and not probe.indirect and now - probe.started_at >= ACK_TIMEOUT_PERIODS * self._period():
            probe.indirect = True
            if self._last_received_at < probe.started_at:  # nothing from any member: the fault may be ours
                self._worsen_local_health()
            self.counts["missed"] += 1
            others = [number for number in self.alive() if number not in (self.me, probe.target)]
            for helper in self._random.sample(others, min(INDIRECT_PINGS, len(others))):
                outgoing.append((helper, IndirectPing(probe.number, probe.target)))
        for number in sorted(self._suspects):
            member = self.table[number]
            if now >= member.suspicion_expires_at:
                self._set_status(now, number, member.incarnation, member.suspicion_version, Status.DEAD)
        if now >= self._next_period_at:
            outgoing += self._start_period(now)
        return outgoing

    def _period(self) -> float:
        return self.period_us * (1 + self.local_health)

    def _start_period(self, now: int) -> list[tuple[int, Message]]:
        probe, self._probe = self._probe, None
        if probe is not None:
            member = self.table[probe.target]
            if member.status is Status.ALIVE:
                self._suspect(now, probe.target, member.incarnation, member.suspicion_version)
        self._periods += 1
        self._next_period_at = now + int(self._period())
        outgoing: list[tuple[int, Message]] = []
        if (
            self._periods % DEAD_PROBE_PERIODS == 0
            and (target := self._next_target(self._dead_probe_order, Status.DEAD)) is not None
        ):
            outgoing.append(self._new_ping(target))  # only an answer counts: a missing ack changes nothing
        target = self._next_target(self._probe_order, Status.ALIVE, Status.SUSPECT)
        if target is None:
            target = self._next_target(self._dead_probe_order, Status.DEAD)
            if target is None:
                return outgoing
            return [*outgoing, self._new_ping(target)]
        ping = self._new_ping(target)
        self._probe = _Probe(target, self._last_number, now, now)
        self.counts["pings"] += 1
        return [*outgoing, ping]

    def _new_ping(self, target: int, requester: int = -1) -> tuple[int, Ping]:
        self._last_number += 1
        return target, Ping(self._last_number, requester)

    def _next_target(self, order: list[int], *wanted: Status) -> int | None:
        """The next member in round-robin order; the order is shuffled anew each round."""
        for _ in range(2):
            while order:
                target = order.pop()
                if self.table[target].status in wanted:
                    return target
            order += [number for number, member in self.table.items() if member.status in wanted]
            self._random.shuffle(order)
        return None

    def _resume_after_pause(self, now: int, gap: int) -> None:
        """Continue after a pause of this process.

        Probes that were open say nothing about their targets, and other members may count this one as dead.
        """
        self.counts["paused"] += 1
        self._worsen_local_health()
        self._probe = None
        self._relays.clear()
        for number in self._suspects:
            self.table[number].suspicion_expires_at += gap
        self._refute(0)
        self._next_period_at = now

    def _worsen_local_health(self) -> None:
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    # Incoming messages.

    def record_contact(self, now: int, sender: int, incarnation: int) -> None:
        """A datagram came directly from a member: it is alive in this incarnation."""
        member = self.table.get(sender)
        if member is None:
            return
        if incarnation < member.incarnation:
            return  # a late datagram of an earlier run
        self._last_received_at = now
        if incarnation > member.incarnation:
            self._newcomers[sender] = NEWCOMER_DATAGRAMS
            self._set_status(now, sender, incarnation, 0, Status.ALIVE)

    def handle(self, now: int, sender: int, message: Message) -> list[tuple[int, Message]]:
        """Handle a message, after `record_contact` for its datagram; return the replies."""
        match message:
            case Ping():
                return [(sender, Ack(message.number)), *self._status_notice(sender)]
            case Ack():
                return self._handle_ack(now, sender, message)
            case IndirectPing() if (
                message.target in self.table
                and message.target != sender
                and len(self._relays) < MAX_RELAYED_PINGS
            ):
                ping = self._new_ping(message.target, sender)
                self._relays[self._last_number] = sender, message.number
                return [ping]
            case MembershipUpdate():
                self._handle_update(now, message)
        return []

    def _status_notice(self, sender: int) -> list[tuple[int, Message]]:
        """Tell a sender that is held as suspected or dead, so that it can refute it."""
        member = self.table[sender]
        if member.status is Status.ALIVE:
            return []
        return [
            (sender, MembershipUpdate(sender, member.incarnation, member.suspicion_version, member.status))
        ]

    def _handle_ack(self, now: int, sender: int, message: Ack) -> list[tuple[int, Message]]:
        responder = sender if message.responder < 0 else message.responder
        if message.responder < 0 and message.number in self._relays:
            requester, number = self._relays.pop(message.number)
            return [(requester, Ack(number, sender))]
        probe = self._probe
        if probe and probe.number == message.number and probe.target == responder:
            self._probe = None
            self.local_health = max(0, self.local_health - 1)
        return self._status_notice(sender)

    def _handle_update(self, now: int, message: MembershipUpdate) -> None:
        if message.status not in (0, 1, 2):
            return
        status = Status(message.status)
        if message.member == self.me:
            if message.incarnation > self.incarnation:  # our clock was set back since an earlier run
                self.incarnation, self.suspicion_version = message.incarnation + 1, 0
                self._queue_update(self.me)
            elif (
                message.incarnation == self.incarnation
                and status is not Status.ALIVE
                and message.suspicion_version >= self.suspicion_version
            ):
                self._worsen_local_health()
                self._refute(message.suspicion_version)
            return
        member = self.table.get(message.member)
        if member is None or (message.incarnation, message.suspicion_version, status) <= member.precedence:
            return
        if status is Status.SUSPECT:
            self._suspect(now, message.member, message.incarnation, message.suspicion_version)
        else:
            self._set_status(now, message.member, message.incarnation, message.suspicion_version, status)

    def _refute(self, suspicion_version: int) -> None:
        self.suspicion_version = max(self.suspicion_version, suspicion_version) + 1
        self.counts["refuted"] += 1
        self._queue_update(self.me)

    def _suspect(self, now: int, number: int, incarnation: int, suspicion_version: int) -> None:
        """Give a member time to refute the suspicion; more time if this router is slow itself."""
        self.counts["suspected"] += 1
        self._set_status(now, number, incarnation, suspicion_version, Status.SUSPECT)
        self.table[number].suspicion_expires_at = now + int(self._suspicion_periods * self._period())

    def _set_status(
        self, now: int, number: int, incarnation: int, suspicion_version: int, status: Status
    ) -> None:
        member = self.table[number]
        if status is Status.DEAD and member.status is not Status.DEAD:
            self.counts["died"] += 1
        if status is not member.status:
            member.status_since = now
            self.changes.append((number, status))
        member.incarnation, member.suspicion_version, member.status = incarnation, suspicion_version, status
        (self._suspects.add if status is Status.SUSPECT else self._suspects.discard)(number)
        at = bisect.bisect_left(self._alive, number)
        present = at < len(self._alive) and self._alive[at] == number
        if present and status is Status.DEAD:
            del self._alive[at]
        elif not present and status is not Status.DEAD:
            self._alive.insert(at, number)
        self._queue_update(number)

    # Updates piggybacked on outgoing datagrams.

    def _queue_update(self, number: int) -> None:
        if (left := self._transmissions_left.get(number)) is not None:
            del self._pending_updates[left][number]
        self._transmissions_left[number] = len(self._pending_updates) - 1
        self._pending_updates[-1][number] = None

    def updates_for(self, to: int) -> list[MembershipUpdate]:
        """The updates to piggyback on a datagram to a member: those that were sent least often so far."""
        chosen = list(
            itertools.islice(
                itertools.chain.from_iterable(reversed(self._pending_updates)), MAX_UPDATES_PER_DATAGRAM
            )
        )
        updates = []
        for number in chosen:
            left = self._transmissions_left.pop(number)
            del self._pending_updates[left][number]
            if left > 1:
                self._transmissions_left[number] = left - 1
                self._pending_updates[left - 1][number] = None
            if number == self.me:
                updates.append(
                    MembershipUpdate(number, self.incarnation, self.suspicion_version, Status.ALIVE)
                )
            elif number != to:
                updates.append(self._update_of(number))
        if left := self._newcomers.get(to):
            self._newcomers[to] = left - 1
            if left == 1:
                del self._newcomers[to]
            known = [number for number in self._alive if number not in (self.me, to) and number not in chosen]
            room = min(MAX_UPDATES_PER_DATAGRAM - len(updates), len(known))
            updates += [self._update_of(number) for number in self._random.sample(known, room)]
        return updates

    def _update_of(self, number: int) -> MembershipUpdate:
        member = self.table[number]
        return MembershipUpdate(number, member.incarnation, member.suspicion_version, member.status)
