"""Decisions of the fleet under a virtual clock, explored exhaustively in small scopes.

Faults planted in the code have to be found by the same exploration.
"""

import random

import pytest

from swiftwell.fleet import messages
from swiftwell.fleet.guard import Guard, Permit
from swiftwell.fleet.lease import MAX_CLOCK_DRIFT, Candidate, Voter, choose_voters
from swiftwell.fleet.members import Status
from swiftwell.fleet.messages import (
    Ack,
    Datagram,
    InvalidDatagram,
    MembershipUpdate,
    Ping,
    ShareRequest,
    pack,
    split,
    unpack,
)
from swiftwell.fleet.shares import RESERVED_PPM, TOTAL_PPM, Lender, Share
from swiftwell.lab.simulated_fleet import SimulatedFleet
from swiftwell.proof.explore import FAST, SCALE, SLOW, EpochModel, LeaseModel, Scope, ShareModel, replay, walk

FIRST_HOLDS = (
    "3 asks", "Prepare 3>0 arrives", "Prepare 3>1 arrives", "Propose 3>0 arrives", "Propose 3>1 arrives",
)  # fmt: skip
LATE_GRANT = (*FIRST_HOLDS[:4], "Propose 3>1 and its answer late")
SECOND_EPOCH_HOLDS = (
    "4 asks", "Prepare 4>0 arrives", "Prepare 4>1 arrives", "Propose 4>0 arrives", "Propose 4>1 arrives",
)  # fmt: skip
DRIFT = (FAST, FAST, FAST, SLOW, SLOW)


class VoterWithoutSilence(Voter):
    """Grants as soon as it has started."""

    def __init__(self, *args):
        super().__init__(*args)
        self.silent_until = 0


class MajorityShortByOne(Candidate):
    """Counts one grant less than a majority as enough."""

    def _has_majority(self, members):
        voters = set(members)
        return all(2 * (len(voters.intersection(group)) + 1) > len(group) for group in self.groups)


class TermFromLastReply(Candidate):
    """Counts its lease from the last reply, not from before the first request."""

    def _acquire(self, now, current):
        current.began_at = now
        super()._acquire(now, current)


class DriftIgnored(Candidate):
    """Counts the whole term, as if every clock ran at the true rate."""

    def _acquire(self, now, current):
        super()._acquire(now, current)
        self.expires_at = current.began_at + self.term_us


class GuardWithoutCheck(Guard):
    """Permits actions under any lease that it ever held."""

    def begin(self, now, bound_us):
        token = self._candidate.token
        return Permit(token, now + bound_us) if token else None


class LenderTakesBack(Lender):
    """Halves the loans of others without waiting for them to expire."""

    def handle(self, now, sender, message, lease_expires_at):
        self.outstanding.pop(sender, None)
        for loan in self.outstanding.values():
            loan.max_ppm = loan.last_ppm = loan.max_ppm // 2
        return super().handle(now, sender, message, lease_expires_at)


def with_fault(base, **overrides):
    return type("Planted", (base,), overrides)


class VotersByAlive(LeaseModel):
    """Each candidate asks the members that it sees alive on its side of a partition."""

    def groups_of(self, candidate):
        return ((0, 1),) if candidate == self.names[0] else ((2,),)


class EpochWithoutSilence(EpochModel):
    """Voters grant in the next epoch without a term of silence."""

    def switched(self, state, number):
        voter = super().switched(state, number)
        voter.silent_until = 0
        return voter


PLANTED_FAULTS = [
    (
        "no silence after a restart",
        with_fault(LeaseModel, voter=VoterWithoutSilence)(Scope(acts=False, restarts=1)),
        (),
    ),
    ("majority short by one", with_fault(LeaseModel, candidate=MajorityShortByOne)(Scope(acts=False)), ()),
    ("voters by the living", VotersByAlive(Scope(acts=False)), ()),
    (
        "stale renewal",
        with_fault(LeaseModel, candidate=TermFromLastReply)(Scope(acts=False, delays=1, jumps=4)),
        LATE_GRANT,
    ),
    ("guard left out", with_fault(LeaseModel, guard=GuardWithoutCheck)(Scope(jumps=4)), FIRST_HOLDS),
    (
        "drift ignored",
        with_fault(LeaseModel, candidate=DriftIgnored)(Scope(acts=False, jumps=4, rates=DRIFT)),
        FIRST_HOLDS,
    ),
    ("share taken back early", with_fault(ShareModel, lender=LenderTakesBack)(Scope(rounds=3)), ()),
    ("epoch without the wait", EpochWithoutSilence(Scope(acts=False)), SECOND_EPOCH_HOLDS),
]


@pytest.mark.parametrize("name, model, after", PLANTED_FAULTS, ids=[fault[0] for fault in PLANTED_FAULTS])
def test_a_planted_fault_is_found_and_its_trace_replays(name, model, after):
    found = walk(model, 30_000, after=after)
    assert found.breach, found
    assert replay(model, (*after, *found.trace)).breach == found.breach


@pytest.mark.parametrize(
    "model, after",
    [
        (LeaseModel(Scope(acts=False)), ()),
        (LeaseModel(Scope(acts=False, restarts=1)), ()),
        (LeaseModel(Scope(acts=False, duplicates=1)), FIRST_HOLDS),
        (LeaseModel(Scope(acts=False, jumps=4, rates=DRIFT)), FIRST_HOLDS),
        (LeaseModel(Scope(jumps=3)), FIRST_HOLDS),
        (LeaseModel(Scope(jumps=2, stalls=1)), FIRST_HOLDS),
        # A clock far beyond the bound: only that no older token takes effect after a newer one is guaranteed.
        (
            LeaseModel(Scope(jumps=3, bounded=False, rates=(SCALE, SCALE, SCALE, SCALE * 8 // 10))),
            FIRST_HOLDS,
        ),
        (EpochModel(Scope(acts=False)), SECOND_EPOCH_HOLDS),
        (ShareModel(Scope(rounds=2, jumps=1)), ()),
        (ShareModel(Scope(rounds=2, jumps=1, rates=(FAST, SLOW, SLOW))), ()),
    ],
)
def test_small_scopes_are_explored_in_full_without_a_breach(model, after):
    found = walk(model, 40_000, after=after)
    assert found.whole and not found.breach, found


def test_a_resource_that_checks_no_tokens_may_see_the_late_action_of_a_paused_holder():
    """guard.py does not guarantee this case; the exploration shows that it does happen."""
    model = LeaseModel(Scope(jumps=4, stalls=1), checked=False)
    state = replay(model, (*FIRST_HOLDS, "3 begins to act", "3 stands still in its act"))
    state.now = 110_000  # the lease has expired, at the voters too
    trace = ("4 asks", "Prepare 4>0 arrives", "Prepare 4>1 arrives", "Propose 4>0 arrives")
    for label in (*trace, "Propose 4>1 arrives", "4 begins to act", "4 ends its act", "3 ends its act"):
        state = dict(model.moves(state))[label]
    assert "took effect after" in state.breach


def test_voters_are_the_same_at_every_member_and_spread_over_leases():
    roster = [f"gw-{number}" for number in range(40)]
    shuffled = random.Random(1).sample(roster, len(roster))
    assert choose_voters(roster, "list", 3) == choose_voters(shuffled, "list", 3)
    chosen = {member for number in range(60) for member in choose_voters(roster, f"l{number}", 3)}
    assert len(chosen) > 35
    # One member more in the roster changes few voters.
    more = [*roster, "gw-new"]
    same = sum(choose_voters(roster, f"l{n}", 3) == choose_voters(more, f"l{n}", 3) for n in range(100))
    assert same > 85


# --- datagrams ------------------------------------------------------------------------------------------


def test_datagrams_round_trip_stay_within_the_limit_and_are_authenticated():
    whole = Datagram(
        1, 3, 1_700_000_000_000, [Ping(7), Ack(8), *(MembershipUpdate(n, 10**13, 5, 1) for n in range(40))]
    )
    parts = [unpack(raw, b"k") for raw in split(whole, b"k")]
    assert [message for part in parts for message in part.messages] == whole.messages and len(parts) > 1
    assert all(len(raw) <= messages.MAX_DATAGRAM_BYTES for raw in split(whole, b"k"))
    raw = pack(Datagram(1, 3, 5, [Ping(7)]), b"k")
    for bad in (raw[:-1], raw + b"x", b"", raw[:5] + b"\xff" + raw[6:], b"\xc1" * 40, b"x" * 300):
        with pytest.raises(InvalidDatagram):
            unpack(bad, b"k")
    with pytest.raises(InvalidDatagram):
        unpack(pack(Datagram(1, 3, 5, [Ping(7)])), b"k")


@pytest.mark.parametrize("size, loss", [(5, 0.0), (30, 0.1)])
def test_dead_members_are_detected_by_all_and_live_ones_are_not_taken_for_dead(size, loss):
    fleet = SimulatedFleet(size, period_us=500_000)
    fleet.loss = loss
    fleet.run(12)
    assert all(fleet.alive(me) == set(range(size)) for me in range(size))
    fleet.down = {1, 2}
    fleet.run(20)
    alive = set(range(size)) - fleet.down
    assert all(fleet.alive(me) == alive for me in alive)
    fleet.down = set()
    for me in (1, 2):
        fleet.restart(me, 500)  # with its wall clock set back
    fleet.run(15)
    assert all(fleet.alive(me) == set(range(size)) for me in range(size))


def test_what_a_member_sends_does_not_grow_with_the_fleet():
    rates = []
    for size in (10, 80):
        fleet = SimulatedFleet(size, period_us=500_000)
        fleet.run(8)
        fleet.sent = 0
        fleet.run(10)
        rates.append(fleet.sent / size / 10)
    assert rates[1] < 1.5 * rates[0] < 12


def test_a_paused_member_declares_nobody_dead_and_soon_counts_as_alive_again():
    fleet = SimulatedFleet(8, period_us=500_000)
    fleet.run(6)
    fleet.run(12, stopped={3})
    assert all(3 not in fleet.alive(me) for me in range(8) if me != 3)
    fleet.run(0.2)
    dead = [number for number, member in fleet.nodes[3].members.table.items() if member.status is Status.DEAD]
    assert not dead and fleet.nodes[3].members.counts["paused"] == 1
    fleet.run(8)
    assert all(fleet.alive(me) == set(range(8)) for me in range(8))


def test_nobody_is_declared_dead_at_a_one_way_cut_while_others_relay_pings():
    fleet = SimulatedFleet(6, period_us=500_000)
    fleet.run(6)
    fleet.blocked_links = {(0, 1)}  # 1 receives nothing from 0
    fleet.run(20)
    assert all(fleet.alive(me) == set(range(6)) for me in range(6))


@pytest.mark.parametrize("seed", range(4))
def test_shares_never_exceed_their_budget_and_loans_of_dead_members_return(seed):
    fleet = SimulatedFleet(6, seed, budgets=("cold",), period_us=500_000)
    worst = []

    def record_use():
        fleet.random.random()
        used = sum(
            node.shares["cold"].ppm(fleet.now) for me, node in enumerate(fleet.nodes) if me not in fleet.down
        )
        worst.append(used)

    fleet.run(12, record_use)
    assert worst[-1] > 0.9 * TOTAL_PPM  # all members are alive: the whole budget is in use
    lender = next(me for me, node in enumerate(fleet.nodes) if node.lenders)
    fleet.down = {lender, (lender + 1) % 6, (lender + 2) % 6}
    fleet.loss = 0.2
    fleet.run(15, record_use)
    available = TOTAL_PPM - RESERVED_PPM // 2  # the reserved shares of dead members are never lent
    can_agree = sum(voter not in fleet.down for voter in fleet.nodes[0].leases["share/cold"].voters) >= 2
    assert not can_agree or max(worst[-100:]) > 0.9 * available  # a loan may expire as datagrams are lost
    for me in sorted(fleet.down):
        fleet.restart(me, 2_000)
    fleet.down, fleet.blocked_links = (
        set(),
        {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)},
    )
    fleet.run(10, record_use)
    fleet.blocked_links, fleet.loss = set(), 0.0
    fleet.run(12, record_use)
    assert max(worst) <= TOTAL_PPM and worst[-1] > 0.9 * TOTAL_PPM


def test_members_of_a_fleet_that_cannot_agree_have_their_reserved_shares():
    fleet = SimulatedFleet(5, budgets=("cold",))
    fleet.blocked_links = {(a, b) for a in range(5) for b in range(5) if a != b}
    fleet.run(10)
    assert all(node.shares["cold"].ppm(fleet.now) == RESERVED_PPM // 5 for node in fleet.nodes)


def test_a_loan_counts_from_its_request_and_late_replies_are_ignored():
    share, lender = Share("b", 2), Lender("b", 1_000_000)
    first = share.tick(0, 1_000_000)
    loan = lender.handle(100_000, 1, first, 900_000)
    share.handle(300_000, loan)
    assert share.ppm(300_000) == share.reserved_ppm + loan.ppm
    assert share.ppm(loan.duration_us) == share.reserved_ppm
    second = share.tick(loan.duration_us, 1_000_000)
    share.handle(loan.duration_us + 1, loan)  # a duplicate
    assert share.ppm(loan.duration_us + 1) == share.reserved_ppm and second.number == 2
    assert lender.handle(900_000, 1, ShareRequest("b", 3, 0), 900_000) is None  # its lease has expired


def test_floods_and_invalid_datagrams_are_counted_and_dropped():
    fleet = SimulatedFleet(3)
    node = fleet.nodes[0]
    raw = pack(Datagram(1, 1, 1_000, [Ping(1)]))
    node.step(fleet.now, [raw] * 2_000)
    assert node.counts["too-many"] == 1_600
    other = [b"", b"x" * 400, pack(Datagram(2, 1, 1_000, [Ping(1)])), pack(Datagram(1, 9, 1_000, [Ping(1)]))]
    node.step(fleet.now + 5_000_000, other)
    assert (node.counts["unreadable"], node.counts["other-epoch"], node.counts["stranger"]) == (2, 1, 1)


def test_holders_count_less_than_the_term_by_twice_the_clock_drift():
    voter, candidate = Voter(1, 1_000_000, -2_000_000), Candidate("l", 1, 7, ((0,),), 1_000_000, 5, 1)
    candidate._random = type("Even", (), {"random": lambda self: 0.0})()
    candidate.set_wanted(0)
    outgoing = candidate.tick(0)
    for _ in range(2):
        replies = [reply for to, message in outgoing for _, reply in voter.handle(0, 1, 7, message)]
        outgoing = [sent for reply in replies for sent in candidate.handle(100, 0, reply)]
    assert candidate.holds(900_000) and candidate.expires_at == int(
        1_000_000 * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
    )
    assert Guard(candidate).begin(candidate.expires_at - 1_000, 1_001) is None
