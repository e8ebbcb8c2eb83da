"""One router of a fleet: joins membership, leases, guards, shares and replicated logs.  No I/O.

`step(now_us, datagrams)` takes the datagrams that arrived and returns those to send, each with the roster
index of its recipient.  The state kept is bounded by the roster, the leases and the budgets of the settings.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swiftwell.fleet import messages
from swiftwell.fleet.guard import Guard
from swiftwell.fleet.lease import Candidate, Voter, choose_voters
from swiftwell.fleet.members import PERIOD_US, Members
from swiftwell.fleet.messages import Datagram, Loan, MembershipUpdate, Message, ShareRequest
from swiftwell.fleet.replicated_log import ReplicatedLog
from swiftwell.fleet.shares import Lender, Share

# Rate limit of one peer: the voters of 200 routers receive some hundred datagrams a second in all.
MAX_DATAGRAMS_PER_S = 200.0
MAX_BURST_DATAGRAMS = 400.0  # that a peer may send at once after an idle time
TICK_US = 50_000  # us between two steps if no datagram arrives: a twentieth of a period


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The configuration of a fleet.

    `me`: this router's index in the roster.  `previous_roster`: the roster that this epoch replaces, during
    the change.
    """

    roster: tuple[str, ...]
    me: int
    epoch: int = 1
    voters: int = 3
    term_us: int = 10_000_000
    period_us: int = PERIOD_US
    leases: tuple[str, ...] = ()
    budgets: tuple[str, ...] = ()
    previous_roster: tuple[str, ...] = ()
    replicated_logs: tuple[tuple[str, tuple[int, ...]], ...] = ()  # names, and indexes of who shares each
    key: bytes = b""


class FleetNode:
    """One router's node in the fleet."""

    def __init__(self, settings: FleetSettings, now: int, wall_ms: int, seed: int) -> None:
        self.settings = settings
        self.members = Members(
            settings.me, len(settings.roster), max(1, wall_ms), now, seed, settings.period_us
        )
        self.voter = Voter(self.members.incarnation, settings.term_us, now)
        names = (*settings.leases, *(f"share/{budget}" for budget in settings.budgets))
        self.leases = {name: self._candidate(name, wall_ms, seed) for name in names}
        self.replicated_logs: dict[str, ReplicatedLog] = {}
        for name, group in settings.replicated_logs:
            self.replicated_logs[name] = ReplicatedLog(
                name, settings.me, group, now, settings.period_us, seed
            )
            # The voters are members that share the log, so that a zone that is cut off can agree by itself.
            # The name contains the epoch: two epochs have a writer each, which a replicated log tolerates.
            lease = f"board/{name}/{settings.epoch}"
            voters = choose_voters((settings.roster[number] for number in group), lease, settings.voters)
            groups = (tuple(settings.roster.index(voter) for voter in voters),)
            self.leases[lease] = Candidate(
                lease, settings.me, self.members.incarnation, groups, settings.term_us, wall_ms, seed
            )
        self.guards = {name: Guard(candidate) for name, candidate in self.leases.items()}
        self.shares = {budget: Share(budget, len(settings.roster)) for budget in settings.budgets}
        self.lenders: dict[str, Lender] = {}
        self.counts: Counter[str] = Counter()
        self.known_holders: dict[str, int] = {}  # lease of a budget: its lender, by the last message or hint
        self.contact_listeners: list[Callable[[int], None]] = []  # called with the sender of each datagram
        # Handlers of user messages by name; they take the time, the sender and the body.
        self.message_handlers: dict[str, Callable[[int, int, bytes], None]] = {}
        self._now = now
        self._rate_limits: dict[int, list[float]] = {}  # member: tokens left, and time of the last refill
        self._outgoing: dict[int, list[Message]] = {}
        for budget in settings.budgets:  # only its voters lend: without a majority of them nobody could
            lease = self.leases[f"share/{budget}"]
            lease.set_wanted(now, settings.me in lease.voters)

    def _candidate(self, name: str, wall_ms: int, seed: int) -> Candidate:
        settings = self.settings
        indexes = {member: number for number, member in enumerate(settings.roster)}
        groups = [choose_voters(settings.roster, name, settings.voters)]
        if settings.previous_roster:  # both majorities during the change: neither roster ever grants alone
            groups.append(choose_voters(settings.previous_roster, name, settings.voters))
        numbers = tuple(
            tuple(indexes.get(voter, -1 - position) for position, voter in enumerate(group))
            for group in groups
        )
        return Candidate(
            name, settings.me, self.members.incarnation, numbers, settings.term_us, wall_ms, seed
        )

    def send_message(self, to: int, name: str, body: bytes) -> None:
        """Send a message to the handler of this name at another member, with the next step."""
        self._send([(to, messages.UserMessage(name, body))])

    def writer_lease(self, name: str) -> Candidate:
        """The lease of the writer of a replicated log."""
        return self.leases[f"board/{name}/{self.settings.epoch}"]

    def set_lease_wanted(self, now: int, name: str, wanted: bool = True) -> None:
        """Try to get and keep a lease of the settings, or release it."""
        self._now = now
        self._send(self.leases[name].set_wanted(now, wanted))

    def step(self, now: int, datagrams: Iterable[bytes] = ()) -> list[tuple[int, bytes]]:
        """Handle received datagrams and do what is due; return the datagrams to send."""
        self._now = now
        for raw in datagrams:
            self._receive(now, raw)
        self._send(self.members.step(now))
        for candidate in self.leases.values():
            self._send(candidate.tick(now))
        for budget, share in self.shares.items():
            self._update_share(now, budget, share)
        for replicated_log in self.replicated_logs.values():
            replicated_log.alive = self.members.alive()
            self._send(replicated_log.step(now))
        return self._pack_outgoing()

    def _update_share(self, now: int, budget: str, share: Share) -> None:
        lease = self.leases[f"share/{budget}"]
        if not lease.holds(now):
            self.lenders.pop(budget, None)
        elif budget not in self.lenders:
            self.lenders[budget] = Lender(budget, self.settings.term_us)
        request = share.tick(now, self.settings.term_us)
        if request is None:
            return
        if lender := self.lenders.get(budget):
            if loan := lender.handle(now, self.settings.me, request, lease.expires_at):
                share.handle(now, loan)
        else:  # if the lender is unknown, ask a voter: it knows whom it granted the lease to
            to = self.known_holders.get(f"share/{budget}", lease.voters[request.number % len(lease.voters)])
            self._send([(to, request)] if to != self.settings.me else [])
            if share.ppm(now) == share.reserved_ppm:
                self.known_holders.pop(f"share/{budget}", None)

    def _receive(self, now: int, raw: bytes) -> None:
        try:
            datagram = messages.unpack(raw, self.settings.key)
        except messages.InvalidDatagram:
            self.counts["unreadable"] += 1
            return
        if datagram.epoch != self.settings.epoch:
            self.counts["other-epoch"] += 1
            return
        sender = datagram.sender
        if not 0 <= sender < len(self.settings.roster) or sender == self.settings.me:
            self.counts["stranger"] += 1
            return
        if not self._within_rate_limit(now, sender):
            self.counts["too-many"] += 1
            return
        self.counts["taken"] += 1
        self.members.record_contact(now, sender, datagram.incarnation)
        for replicated_log in self.replicated_logs.values():
            replicated_log.record_contact(now, sender)
        for listener in self.contact_listeners:
            listener(sender)
        if datagram.incarnation < self.members.table[sender].incarnation:
            # Either a late datagram of a run that has ended: its messages are void.  Or the sender's wall
            # clock was set back: then it has to learn of its earlier incarnation, to begin one above it, as
            # otherwise every member would ignore it for good.
            self.counts["earlier-life"] += 1
            known = self.members.table[sender]
            self._send(
                [
                    (
                        sender,
                        MembershipUpdate(sender, known.incarnation, known.suspicion_version, known.status),
                    )
                ]
            )
            return
        for message in datagram.messages:
            self._dispatch(now, sender, datagram.incarnation, message)

    def _dispatch(self, now: int, sender: int, incarnation: int, message: Message) -> None:
        match message:
            case messages.Prepare() | messages.Propose() | messages.Release():
                self._send(self.voter.handle(now, sender, incarnation, message))
            case messages.Promise() | messages.Granted() | messages.Refuse():
                if candidate := self.leases.get(message.name):
                    self._send(candidate.handle(now, sender, message))
            case ShareRequest():
                lease = self.leases.get(f"share/{message.budget}")
                lender = self.lenders.get(message.budget)
                record = self.voter.records.get(f"share/{message.budget}")
                if lease and lender:
                    loan = lender.handle(now, sender, message, lease.expires_at)
                    self._send([(sender, loan)] if loan else [])
                elif record and now < record.expires_at and record.holder != sender:
                    self._send([(sender, messages.HolderHint(f"share/{message.budget}", record.holder))])
            case Loan():
                if share := self.shares.get(message.budget):
                    self.known_holders[f"share/{message.budget}"] = sender
                    share.handle(now, message)
            case messages.HolderHint():
                if message.name in self.leases and 0 <= message.holder < len(self.settings.roster):
                    self.known_holders[message.name] = message.holder
            case messages.UserMessage():
                if handler := self.message_handlers.get(message.name):
                    handler(now, sender, message.body)
            case messages.LogSummary() | messages.LogFetch() | messages.LogChunk():
                if replicated_log := self.replicated_logs.get(message.name):
                    self._send(replicated_log.handle(now, sender, message))
            case _:
                self._send(self.members.handle(now, sender, message))

    def _within_rate_limit(self, now: int, sender: int) -> bool:
        bucket = self._rate_limits.setdefault(sender, [MAX_BURST_DATAGRAMS, now])
        bucket[0] = min(MAX_BURST_DATAGRAMS, bucket[0] + (now - bucket[1]) / 1e6 * MAX_DATAGRAMS_PER_S)
        bucket[1] = now
        if bucket[0] < 1:
            return False
        bucket[0] -= 1
        return True

    def _send(self, outgoing: Iterable[tuple[int, Message]]) -> None:
        for to, message in outgoing:
            if to == self.settings.me:  # a voter that is a candidate too handles its own message at once
                self._dispatch(self._now, to, self.members.incarnation, message)
            else:
                self._outgoing.setdefault(to, []).append(message)

    def _pack_outgoing(self) -> list[tuple[int, bytes]]:
        outgoing, self._outgoing = self._outgoing, {}
        packed: list[tuple[int, bytes]] = []
        for to, queued in outgoing.items():
            updates: list[MembershipUpdate] = self.members.updates_for(to)
            datagram = Datagram(
                self.settings.epoch, self.settings.me, self.members.incarnation, [*queued, *updates]
            )
            packed += [(to, raw) for raw in messages.split(datagram, self.settings.key)]
        self.counts["sent"] += len(packed)
        return packed

    def status(self, now: int) -> dict[str, object]:
        """The fleet page of the health port, which `swiftwell fleet status` reads."""
        roster = self.settings.roster
        return {
            "me": roster[self.settings.me],
            "epoch": self.settings.epoch,
            "health": self.members.local_health,
            "members": [
                {
                    "name": roster[number],
                    "status": member.status.name.lower(),
                    "for_s": (now - member.status_since) // 1_000 / 1e3,
                }
                for number, member in self.members.table.items()
            ],
            "leases": [
                {
                    "name": name,
                    "held": lease.holds(now),
                    "left_ms": max(0, lease.expires_at - now) // 1_000,
                    "token": lease.token,
                    "voters": [roster[voter] for voter in lease.voters],
                    **lease.counts,
                }
                for name, lease in self.leases.items()
            ],
            "shares": {budget: share.ppm(now) for budget, share in self.shares.items()},
            "boards": {
                name: {
                    "writer": roster[log.writer] if 0 <= log.writer < len(roster) else "",
                    "edition": log.generation,
                    "number": log.last_index,
                    "silent_ms": (log.heartbeat_age_us(now) or 0) // 1_000,
                    **log.sizes(),
                    **log.counts,
                }
                for name, log in self.replicated_logs.items()
            },
            "counts": dict(self.counts) | self.members.counts,
        }
