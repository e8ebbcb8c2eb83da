"""The fleet's decisions under a hand-held clock, walked in small scopes; planted faults have to be found."""

import random

import pytest

from swiftwell.fleet import words
from swiftwell.fleet.guard import Act, Guard
from swiftwell.fleet.lease import RATE, Candidate, Voter, choose
from swiftwell.fleet.members import Status
from swiftwell.fleet.shares import MILLION, STANDING, Lender, Share
from swiftwell.fleet.words import Ack, Datagram, News, Ping, Unreadable, Want, pack, split, unpack
from swiftwell.lab.town import Town
from swiftwell.proof.explore import FAST, SCALE, SLOW, EpochModel, LeaseModel, Scope, ShareModel, replay, walk

WON = (
    "3 asks", "Prepare 3>0 arrives", "Prepare 3>1 arrives", "Propose 3>0 arrives", "Propose 3>1 arrives",
)  # fmt: skip
LATE = (*WON[:4], "Propose 3>1 and its answer late")
EPOCH = (
    "4 asks", "Prepare 4>0 arrives", "Prepare 4>1 arrives", "Propose 4>0 arrives", "Propose 4>1 arrives",
)  # fmt: skip
DRIFT = (FAST, FAST, FAST, SLOW, SLOW)


class NoSilence(Voter):
    """A voter that grants as soon as it has started."""

    def __init__(self, *args):
        super().__init__(*args)
        self.silent_until = 0


class ShortByOne(Candidate):
    """One grant less than a majority is enough for it."""

    def _majority(self, of):
        got = set(of)
        return all(2 * (len(got.intersection(group)) + 1) > len(group) for group in self.groups)


class FromTheAnswer(Candidate):
    """Counts its lease from the last answer, as a stale one would be."""

    def _won(self, now, told):
        told.began = now
        super()._won(now, told)


class NoDrift(Candidate):
    """Trusts every clock's rate."""

    def _won(self, now, told):
        super()._won(now, told)
        self.until = told.began + self.term_us


class NoGuard(Guard):
    """Acts on any lease that it ever had."""

    def begin(self, now, bound_us):
        token = self._candidate.token
        return Act(token, now + bound_us) if token else None


class TakesBack(Lender):
    """Halves what others have without waiting for it to run out."""

    def take(self, now, sender, word, lease_until):
        self.out.pop(sender, None)
        for one in self.out.values():
            one.parts = one.last = one.parts // 2
        return super().take(now, sender, word, lease_until)


def of(base, **what):
    return type("Planted", (base,), what)


class ByTheLiving(LeaseModel):
    """Each asks whom it sees living in a cut fleet."""

    def groups_of(self, candidate):
        return ((0, 1),) if candidate == self.names[0] else ((2,),)


class AtOnce(EpochModel):
    """Voters grant in the next epoch without having been silent."""

    def switched(self, state, number):
        voter = super().switched(state, number)
        voter.silent_until = 0
        return voter


PLANTED = [
    ("no silence after a restart", of(LeaseModel, voter=NoSilence)(Scope(acts=False, restarts=1)), ()),
    ("majority short by one", of(LeaseModel, candidate=ShortByOne)(Scope(acts=False)), ()),
    ("voters by the living", ByTheLiving(Scope(acts=False)), ()),
    ("stale renewal", of(LeaseModel, candidate=FromTheAnswer)(Scope(acts=False, delays=1, jumps=4)), LATE),
    ("guard left out", of(LeaseModel, guard=NoGuard)(Scope(jumps=4)), WON),
    ("drift ignored", of(LeaseModel, candidate=NoDrift)(Scope(acts=False, jumps=4, rates=DRIFT)), WON),
    ("share taken back early", of(ShareModel, lender=TakesBack)(Scope(rounds=3)), ()),
    ("epoch without the wait", AtOnce(Scope(acts=False)), EPOCH),
]


@pytest.mark.parametrize("name, model, after", PLANTED, ids=[one[0] for one in PLANTED])
def test_a_planted_fault_is_found_and_its_trace_replays(name, model, after):
    found = walk(model, 30_000, after=after)
    assert found.breach, found
    assert replay(model, (*after, *found.trace)).breach == found.breach


@pytest.mark.parametrize(
    "model, after",
    [
        (LeaseModel(Scope(acts=False)), ()),
        (LeaseModel(Scope(acts=False, restarts=1)), ()),
        (LeaseModel(Scope(acts=False, doubles=1)), WON),
        (LeaseModel(Scope(acts=False, jumps=4, rates=DRIFT)), WON),
        (LeaseModel(Scope(jumps=3)), WON),
        (LeaseModel(Scope(jumps=2, stands=1)), WON),
        # A clock far beyond the bound: only that no older token takes effect after a newer one is promised.
        (LeaseModel(Scope(jumps=3, bounded=False, rates=(SCALE, SCALE, SCALE, SCALE * 8 // 10))), WON),
        (EpochModel(Scope(acts=False)), EPOCH),
        (ShareModel(Scope(rounds=2, jumps=1)), ()),
        (ShareModel(Scope(rounds=2, jumps=1, rates=(FAST, SLOW, SLOW))), ()),
    ],
)
def test_small_scopes_hold_to_their_end(model, after):
    found = walk(model, 40_000, after=after)
    assert found.whole and not found.breach, found


def test_a_resource_that_checks_nothing_may_see_an_act_that_stood_still():
    """What guard.py says is not promised: the walk shows that it happens, so nobody relies on it."""
    model = LeaseModel(Scope(jumps=4, stands=1), checked=False)
    state = replay(model, (*WON, "3 begins to act", "3 stands still in its act"))
    state.now = 110_000  # past the lease, at the voters too
    trace = ("4 asks", "Prepare 4>0 arrives", "Prepare 4>1 arrives", "Propose 4>0 arrives")
    for label in (*trace, "Propose 4>1 arrives", "4 begins to act", "4 ends its act", "3 ends its act"):
        state = dict(model.moves(state))[label]
    assert "took effect after" in state.breach


def test_voters_are_the_same_at_everyone_and_spread_over_leases():
    roster = [f"gw-{number}" for number in range(40)]
    shuffled = random.Random(1).sample(roster, len(roster))
    assert choose(roster, "list", 3) == choose(shuffled, "list", 3)
    chosen = {member for number in range(60) for member in choose(roster, f"l{number}", 3)}
    assert len(chosen) > 35
    # One member more changes few voters: a change of roster moves little.
    more = [*roster, "gw-new"]
    same = sum(choose(roster, f"l{n}", 3) == choose(more, f"l{n}", 3) for n in range(100))
    assert same > 85


# --- datagrams ------------------------------------------------------------------------------------------


def test_datagrams_come_back_whole_fit_and_are_checked():
    whole = Datagram(1, 3, 1_700_000_000_000, [Ping(7), Ack(8), *(News(n, 10**13, 5, 1) for n in range(40))])
    parts = [unpack(raw, b"k") for raw in split(whole, b"k")]
    assert [word for part in parts for word in part.words] == whole.words and len(parts) > 1
    assert all(len(raw) <= words.MOST_BYTES for raw in split(whole, b"k"))
    raw = pack(Datagram(1, 3, 5, [Ping(7)]), b"k")
    for bad in (raw[:-1], raw + b"x", b"", raw[:5] + b"\xff" + raw[6:], b"\xc1" * 40, b"x" * 300):
        with pytest.raises(Unreadable):
            unpack(bad, b"k")
    with pytest.raises(Unreadable):
        unpack(pack(Datagram(1, 3, 5, [Ping(7)])), b"k")


@pytest.mark.parametrize("size, loss", [(5, 0.0), (30, 0.1)])
def test_the_dead_are_known_to_all_and_the_living_are_not_taken_for_dead(size, loss):
    town = Town(size, period_us=500_000)
    town.loss = loss
    town.run(12)
    assert all(town.alive(me) == set(range(size)) for me in range(size))
    town.down = {1, 2}
    town.run(20)
    living = set(range(size)) - town.down
    assert all(town.alive(me) == living for me in living)
    town.down = set()
    for me in (1, 2):
        town.restart(me, 500)  # and its wall clock was set back
    town.run(15)
    assert all(town.alive(me) == set(range(size)) for me in range(size))


def test_what_a_member_sends_does_not_grow_with_the_fleet():
    rates = []
    for size in (10, 80):
        town = Town(size, period_us=500_000)
        town.run(8)
        town.sent = 0
        town.run(10)
        rates.append(town.sent / size / 10)
    assert rates[1] < 1.5 * rates[0] < 12


def test_one_that_stood_still_declares_nobody_dead_and_is_soon_believed():
    town = Town(8, period_us=500_000)
    town.run(6)
    town.run(12, stopped={3})
    assert all(3 not in town.alive(me) for me in range(8) if me != 3)
    town.run(0.2)
    dead = [of for of, one in town.nodes[3].members.table.items() if one.status is Status.DEAD]
    assert not dead and town.nodes[3].members.counts["paused"] == 1
    town.run(8)
    assert all(town.alive(me) == set(range(8)) for me in range(8))


def test_a_one_way_cut_kills_nobody_while_others_pass_words_on():
    town = Town(6, period_us=500_000)
    town.run(6)
    town.cut = {(0, 1)}  # 1 does not hear 0
    town.run(20)
    assert all(town.alive(me) == set(range(6)) for me in range(6))


@pytest.mark.parametrize("seed", range(4))
def test_shares_never_exceed_their_budget_and_return_from_the_dead(seed):
    town = Town(6, seed, budgets=("cold",), period_us=500_000)
    worst = []

    def look():
        town.chance.random()
        used = sum(n.shares["cold"].parts(town.now) for me, n in enumerate(town.nodes) if me not in town.down)
        worst.append(used)

    town.run(12, look)
    assert worst[-1] > 0.9 * MILLION  # all of them live: all of it is in use
    lender = next(me for me, node in enumerate(town.nodes) if node.lenders)
    town.down = {lender, (lender + 1) % 6, (lender + 2) % 6}
    town.loss = 0.2
    town.run(15, look)
    living = MILLION - STANDING // 2  # their own parts of the dead are never lent
    agree = sum(v not in town.down for v in town.nodes[0].leases["share/cold"].voters) >= 2
    assert not agree or max(worst[-100:]) > 0.9 * living  # a loan may lapse where datagrams are lost
    for me in sorted(town.down):
        town.restart(me, 2_000)
    town.down, town.cut = set(), {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    town.run(10, look)
    town.cut, town.loss = set(), 0.0
    town.run(12, look)
    assert max(worst) <= MILLION and worst[-1] > 0.9 * MILLION


def test_a_fleet_that_agrees_on_nothing_has_its_own_parts():
    town = Town(5, budgets=("cold",))
    town.cut = {(a, b) for a in range(5) for b in range(5) if a != b}
    town.run(10)
    assert all(node.shares["cold"].parts(town.now) == STANDING // 5 for node in town.nodes)


def test_a_loan_counts_from_when_it_was_asked_for_and_old_answers_are_no_loans():
    share, lender = Share("b", 2), Lender("b", 1_000_000)
    first = share.tick(0, 1_000_000)
    loan = lender.take(100_000, 1, first, 900_000)
    share.take(300_000, loan)
    assert share.parts(300_000) == share.own + loan.parts
    assert share.parts(loan.for_us) == share.own
    again = share.tick(loan.for_us, 1_000_000)
    share.take(loan.for_us + 1, loan)  # doubled on its way
    assert share.parts(loan.for_us + 1) == share.own and again.number == 2
    assert lender.take(900_000, 1, Want("b", 3, 0), 900_000) is None  # its lease is over


def test_a_flood_and_what_is_no_datagram_are_counted_and_dropped():
    town = Town(3)
    node = town.nodes[0]
    raw = pack(Datagram(1, 1, 1_000, [Ping(1)]))
    node.step(town.now, [raw] * 2_000)
    assert node.counts["too-many"] == 1_600
    other = [b"", b"x" * 400, pack(Datagram(2, 1, 1_000, [Ping(1)])), pack(Datagram(1, 9, 1_000, [Ping(1)]))]
    node.step(town.now + 5_000_000, other)
    assert (node.counts["unreadable"], node.counts["other-epoch"], node.counts["stranger"]) == (2, 1, 1)


def test_holders_count_less_than_the_term_by_twice_the_rate():
    voter, one = Voter(1, 1_000_000, -2_000_000), Candidate("l", 1, 7, ((0,),), 1_000_000, 5, 1)
    one._chance = type("Even", (), {"random": lambda self: 0.0})()
    one.want(0)
    out = one.tick(0)
    for _ in range(2):
        back = [word for to, word in out for _, word in voter.take(0, 1, 7, word)]
        out = [sent for word in back for sent in one.take(100, 0, word)]
    assert one.holds(900_000) and one.until == int(1_000_000 * (1 - RATE) / (1 + RATE))
    assert Guard(one).begin(one.until - 1_000, 1_001) is None
