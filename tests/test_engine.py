"""The engine: every event and action of the module, one final answer, the ledger before the first byte."""

import random
from dataclasses import replace

import pytest
from enginebench import SETTINGS, Play, only
from helpers import ORDERS, SAFE, entry

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.fronts import trigger as tr
from swiftwell.fronts.trigger import Kind, Ran
from swiftwell.gateway import ports
from swiftwell.gateway.effects import Bounds, Record, Step
from swiftwell.gateway.engine import tables
from swiftwell.interface import Status


def test_a_call_is_sent_and_its_answer_comes_back_once():
    play = Play()
    start = only(play.call(), ports.Start)[0]
    reply = only(play.end(start, body=b"42"), ports.Reply)[0]
    assert (reply.answer.kind, reply.answer.body, reply.answer.worker) == (Kind.SERVED, b"42", start.worker)
    play.end(start, body=b"43")  # the same end told twice
    play.wait(3_000_000)
    assert play.kinds() == ["served"]
    assert play.engine.open == 0 and tables(play.engine)["sources"] == 0


def test_an_unsafe_call_is_written_down_before_it_is_sent():
    play = Play()
    play.durable = False
    out = play.call("unsafe", "k")
    assert only(out, ports.Write)[0].record.step is Step.INTENT
    assert not only(out, ports.Start) and not only(out, ports.Accepted)
    out = play.do(ports.Durable(1))
    assert only(out, ports.Accepted) and only(out, ports.Start)
    done = play.end(only(out, ports.Start)[0])
    assert only(done, ports.Write)[0].record.step is Step.DONE


def test_a_kill_between_intent_and_send_fails_the_redelivered_trigger():
    play = Play()
    play.durable = False
    intent = only(play.call("unsafe", "k"), ports.Write)[0].record
    later = Play()
    later.ledger.replay(intent)
    later.wall = play.wall + 1_000_000
    out = later.call("unsafe", "k", redelivered=True)
    assert not only(out, ports.Start) and later.kinds() == ["failed"]


def test_a_kill_between_send_and_answer_fails_the_redelivered_trigger():
    play = Play()
    out = play.call("unsafe", "k")
    assert only(out, ports.Start)
    later = Play()
    for write in only(play.out, ports.Write):
        later.ledger.replay(write.record)
    out = later.call("unsafe", "k", redelivered=True)
    assert not only(out, ports.Start) and later.kinds() == ["failed"]


def test_a_trigger_that_comes_again_joins_the_running_call():
    play = Play()
    start = only(play.call("unsafe", "k"), ports.Start)[0]
    out = play.call("unsafe", "k", redelivered=True, source="m:2")
    assert not only(out, ports.Start) and only(out, ports.Accepted)
    assert len(only(play.end(start), ports.Reply)) == 2 and play.kinds() == ["served"] * 2


def test_a_trigger_that_comes_again_is_told_the_recorded_answer():
    play = Play()
    play.end(only(play.call("unsafe", "k"), ports.Start)[0], body=b"once")
    out = play.call("unsafe", "k", redelivered=True)
    assert only(out, ports.Reply)[0].answer.body == b"once" and not only(out, ports.Start)


def test_a_trigger_without_time_left_is_told_of_the_effect_that_ran():
    # Found by the day gateway-killed: it was refused for want of time although its key had run.
    play = Play()
    play.end(only(play.call("unsafe", "k"), ports.Start)[0])
    play.call("unsafe", "k", left=0, redelivered=True)
    assert play.kinds() == ["served", "served"]


def test_the_same_key_with_another_payload_is_refused():
    play = Play()
    play.call("unsafe", "k", payload=b"60 degrees")
    out = play.call("unsafe", "k", payload=b"90 degrees")
    assert only(out, ports.Reply)[0].answer.reason == tr.KEY_REUSED and not only(out, ports.Start)


def test_a_refused_key_may_be_tried_again():
    play = Play(workers=())
    play.call("unsafe", "k", left=50_000)
    play.wait(100_000)
    assert play.kinds() == ["refused"]
    assert [w.record.step for w in only(play.out, ports.Write)] == [Step.INTENT, Step.FREE]
    play.do(ports.Listed(io.Members(io.ListKind.FULL, (entry("a"),))))
    assert only(play.call("unsafe", "k", redelivered=True), ports.Start)


def test_what_another_gateway_may_have_run_is_failed():
    # Found by the day gateway-killed: publishers moved to the other gateway, which knew nothing of the key.
    play = Play()
    out = play.call("unsafe", "k", redelivered=True, maybe_seen_elsewhere=True)
    assert not only(out, ports.Start) and play.kinds() == ["failed"]


def test_an_unsafe_call_without_a_key_is_refused():
    play = Play()
    assert only(play.call("unsafe"), ports.Reply)[0].answer.reason == tr.NO_KEY


@pytest.mark.parametrize("left", [0, 5_000, 30_000])
def test_a_trigger_with_almost_no_time_left_is_refused_and_nothing_is_sent(left):
    play = Play()
    out = play.call("unsafe", "k", left=left) + play.wait(40_000)
    assert play.kinds() == ["refused"] and not only(out, ports.Start)


def test_a_full_ledger_refuses_unsafe_calls_and_serves_the_others():
    play = Play(bounds=Bounds(60_000_000, 1, 1 << 28))
    play.end(only(play.call("unsafe", "k1"), ports.Start)[0])
    assert only(play.call("unsafe", "k2"), ports.Reply)[0].answer.reason == tr.LEDGER
    assert only(play.call("safe"), ports.Start)


def test_a_failing_ledger_refuses_unsafe_calls_also_those_that_wait_for_it():
    play = Play()
    play.durable = False
    play.call("unsafe", "k1")
    out = play.do(ports.LedgerDown("disk full"))
    assert only(out, ports.Reply)[0].answer.kind is Kind.REFUSED
    play.call("unsafe", "k2")
    assert play.kinds() == ["refused", "refused"] and only(play.call("safe"), ports.Start)


def test_a_stalled_ledger_refuses_in_time():
    play = Play()
    play.durable = False
    play.call("unsafe", "k", left=500_000)
    play.wait(499_000)
    assert play.kinds() == ["refused"]
    assert not only(play.do(ports.Durable(1)), ports.Start)


def test_a_refusal_of_what_may_have_run_is_withheld():
    class Careless(Router):
        def _finish(self, call):
            if not call.ended:
                self.actions.append(io.Refuse(call.request.id, 0))
                self._end(call)

    play = Play(router_factory=Careless)
    start = only(play.call("unsafe", "k"), ports.Start)[0]
    play.end(start, Status.RESET)
    assert play.kinds() == ["failed"]


def test_every_action_is_carried_out():
    play = Play(replace(ORDERS, classes=SETTINGS.classes, asked_discovery=True))
    assert only(play.out, ports.AskList)
    order = only(play.call(), ports.Order)[0]
    out = play.do(ports.OrderEnd(order.number, Status.OK, 1))
    assert only(out, ports.Start)
    assert not play.do(ports.OrderEnd(order.number, Status.OK, 1))  # told twice


def test_an_order_that_is_not_answered_ends_as_timed_out():
    play = Play(replace(ORDERS, classes=SETTINGS.classes, order_timeout_us=100_000), workers=("a",))
    seen = []
    handle = play.engine.router.handle
    play.engine.router.handle = lambda now, events: (seen.extend(events), handle(now, events))[1]
    play.call()
    play.wait(200_000)
    assert [e.status for e in seen if isinstance(e, io.Loaded)] == [Status.TIMEOUT]
    assert tables(play.engine)["orders"] == 0


def test_an_attempt_past_its_time_is_abandoned_and_the_call_answered_before():
    play = Play()
    start = only(play.call(left=1_000_000), ports.Start)[0]
    out = play.wait(1_010_000)
    assert only(out, ports.Abandon)[-1].status is Status.TIMEOUT
    replies = [o for o in out if isinstance(o, ports.Reply)]
    assert len(replies) == 1 and out.index(replies[0]) < out.index(only(out, ports.Abandon)[-1])
    play.end(start, Status.TIMEOUT)
    assert play.engine.open == 0


def test_a_cancel_reaches_the_attempt():
    play = Play(replace(SETTINGS, second_copies=False))
    start = only(play.call(), ports.Start)[0]
    play.do()
    out = play.engine._execute(io.Cancel(start.id, start.number)) or play.engine._outputs
    assert only(out, ports.Abandon)[0].status is Status.CANCELLED


def test_a_streamed_answer_has_its_own_time():
    streamed = replace(SAFE, name="stream", streamed=True)
    play = Play(replace(SETTINGS, classes=(*SETTINGS.classes, streamed)))
    start = only(play.call("stream", left=500_000), ports.Start)[0]
    assert start.streamed
    play.do(ports.FirstByte(start.id, start.number))
    play.wait(1_000_000)
    assert play.kinds() == []
    play.end(start, Status.RESET)
    assert play.kinds() == ["failed"]


def test_an_answer_too_large_fails_the_call_and_is_not_tried_again():
    play = Play()
    start = only(play.call("unsafe", "k"), ports.Start)[0]
    out = play.end(start, Status.ERROR, too_large=True)
    assert only(out, ports.Reply)[0].answer.reason == tr.TOO_LARGE and not only(out, ports.Start)
    assert play.call("unsafe", "k") and play.kinds() == ["failed", "failed"]


def test_a_publisher_that_went_away_gets_no_answer_and_its_effect_is_recorded():
    play = Play()
    start = only(play.call("unsafe", "k"), ports.Start)[0]
    play.do(ports.Gone("m:1"))
    play.end(start)
    assert play.kinds() == [] and play.engine.open == 0
    play.call("unsafe", "k", source="m:2")
    assert play.kinds() == ["served"]


def test_a_publisher_that_went_away_before_the_send_frees_its_key():
    play = Play(workers=())
    play.call("unsafe", "k")
    play.do(ports.Gone("m:1"))
    assert play.engine.open == 0
    assert only(play.out, ports.Write)[-1].record.step is Step.FREE


def test_a_joined_trigger_with_less_time_is_answered_in_its_own():
    play = Play()
    start = only(play.call("unsafe", "k", left=2_000_000), ports.Start)[0]
    play.call("unsafe", "k", left=300_000, source="m:2")
    play.wait(305_000)
    assert play.kinds() == ["failed"]
    play.end(start)
    assert play.kinds() == ["failed", "served"]


def test_a_worker_that_says_it_drains_gets_nothing_more_though_the_list_is_late():
    play = Play(replace(SETTINGS, cold_us=0), workers=("a",))
    start = only(play.call(), ports.Start)[0]
    out = play.end(start, Status.FULL, draining=True)
    assert not only(out, ports.Start)
    late = ports.Listed(io.Members(io.ListKind.FULL, (entry("a"),)))
    assert not only(play.do(late), ports.Start)
    assert not only(play.wait(1_000_000), ports.Start)
    for number in range(8):  # the module draws which calls a worker that was full may have
        play.call(function=f"f{number}")
    fresh = ports.Listed(io.Members(io.ListKind.FULL, (entry("a", started=5),)))
    assert only(play.do(fresh) + play.wait(200_000), ports.Start)


def test_nothing_new_is_taken_while_it_stops():
    play = Play()
    start = only(play.call(), ports.Start)[0]
    play.do(ports.Stop())
    play.call()
    play.end(start)
    assert play.kinds() == ["refused", "served"]


def test_too_many_calls_are_refused_and_their_keys_stay_free():
    play = Play(max_open=1)
    play.call()
    play.call("unsafe", "k")
    assert play.kinds() == ["refused"] and len(play.ledger) == 0


class Faulty(Router):
    """Fails on what the test names."""

    on: type = io.Request
    function = "bad"
    sticky = False

    def handle(self, now, events):
        for event in events:
            bad = isinstance(event, self.on) and getattr(event, "function", "bad") == self.function
            if bad or (self.sticky and getattr(self, "broken", False)):
                self.now, self.actions = now, []
                self.broken = True
                raise RuntimeError("planted")
        return super().handle(now, events)


def test_a_failure_of_the_module_on_one_call_answers_it_and_concerns_no_other():
    play = Play(router_factory=Faulty)
    good = only(play.call(function="good"), ports.Start)[0]
    play.call("unsafe", "k", function="bad")
    assert play.kinds() == ["refused"]
    assert [o.event for o in only(play.out, ports.Line) if o.level != "info"] == ["module-failed"]
    play.end(good)
    assert play.kinds() == ["refused", "served"]


def test_a_failure_on_an_outcome_answers_the_call_that_may_have_run():
    make = type("OnOutcome", (Faulty,), {"on": io.Outcome})
    play = Play(router_factory=make)
    start = only(play.call("unsafe", "k"), ports.Start)[0]
    play.end(start, Status.RESET)
    assert play.kinds() == ["failed"]


def test_broken_books_are_made_anew_and_the_calls_they_held_go_on():
    made = []

    def make(settings, seed):
        made.append(
            type("Sticky", (Faulty,), {"sticky": True})(settings, seed)
            if not made
            else Router(settings, seed)
        )
        return made[-1]

    play = Play(router_factory=make)
    sent = only(play.call("unsafe", "k"), ports.Start)[0]
    play.engine.router.broken = True
    for name in ("one", "two", "three"):  # each fails; the third is not answered but tried on new books
        play.call(function=name)
    assert len(made) == 2 and play.engine.counts["rebuilt"] == 1
    play.call(function="four")
    play.end(sent)
    for start in only(play.out, ports.Start)[1:]:
        play.end(start)
    assert sorted(play.kinds()) == ["refused", "refused", "served", "served", "served"]
    assert play.engine.open == 0


def test_books_made_anew_remember_what_rules_four_and_five_count():
    settings = replace(ORDERS, classes=SETTINGS.classes, load_free=1, load_share=0, load_window_us=5_000_000)
    play = Play(settings)
    assert only(play.call(), ports.Order)
    play.engine._rebuild_router()
    play.do()
    assert len(only(play.out, ports.Order)) == 1
    play.call(function="g")
    assert len(only(play.out, ports.Order)) == 1


def test_a_late_timer_reaches_the_module_in_one_batch_with_the_rest():
    play = Play()
    start = only(play.call(left=900_000), ports.Start)[0]
    seen = []
    handle = play.engine.router.handle
    play.engine.router.handle = lambda now, events: (seen.append(list(events)), handle(now, events))[1]
    play.now += 2_000_000  # the process stood still
    play.end(start)
    assert any(isinstance(batch[0], io.Outcome) and len(batch) > 1 for batch in seen)
    assert play.engine.router.woke == play.now


def test_a_held_call_whose_client_left_is_not_sent_in_the_turn_that_made_room():
    play = Play(replace(SETTINGS, second_copies=False), workers=("a",))
    first = only(play.call(), ports.Start)[0]
    play.engine.router.workers["a"].cap = 1.0  # no room beside it
    assert not only(play.call(source="m:2"), ports.Start) and play.engine.open == 2
    done = ports.AttemptEnd(first.id, first.number, Status.OK, Ran.YES, b"42", 50_000)
    out = play.do(done, ports.Gone("m:2"))  # room, which the module is told of first, and the client's end
    assert only(out, ports.Reply) and not only(out, ports.Start)
    play.wait(3_000_000)
    assert play.engine.open == 0 and tables(play.engine)["module_calls"] == 0


def test_a_further_attempt_of_a_call_whose_client_left_is_not_sent():
    play = Play()
    start = only(play.call(), ports.Start)[0]
    out = play.do(ports.Gone("m:1"))
    assert only(out, ports.Withdraw) == [ports.Withdraw(start.id, start.number)]
    play.engine._outputs = []
    play.engine._execute(io.Send(start.id, "b", 0))  # as a module does that has not heard of it yet
    assert not only(play.engine._outputs, ports.Start)
    play.end(start, Status.MOOT)
    assert play.engine.open == 0


def test_outcome_and_proof_must_agree():
    play = Play()
    start, other = (only(play.call(function=one), ports.Start)[0] for one in "fg")
    wrong = ports.AttemptEnd(start.id, start.number, Status.FULL, Ran.MAYBE)
    right = ports.AttemptEnd(other.id, other.number, Status.OK, Ran.YES, b"42")
    out = play.do(wrong, right)
    # It is told as the defect it is; its call is answered once and not as served, the other as ever.
    (line,) = [line for line in only(out, ports.Line) if line.event == "engine-failed"]
    assert line.level == "error" and "AssertionError" in dict(line.fields)["error"]
    assert [(r.trigger is start.trigger, r.answer.kind) for r in only(out, ports.Reply)] == [
        (True, Kind.REFUSED),
        (False, Kind.SERVED),
    ]
    play.wait(3_000_000)
    assert play.engine.open == 0 and tables(play.engine)["module_calls"] == 0


def test_a_record_of_an_older_life_is_not_older_than_the_bound():
    play = Play(bounds=Bounds(1_000_000, 10, 1 << 28))
    play.ledger.replay(Record(Step.DONE, "t", "k", play.wall - 2_000_000, first_us=play.wall))
    assert only(play.call("unsafe", "k"), ports.Start)


def test_a_keyed_call_tried_again_is_not_refused_when_its_first_may_have_run():
    # Found by the day keyed: the repeat itself ran nowhere and was refused, though the first try had run.
    play = Play()
    start = only(play.call("keyed", "k", left=500_000), ports.Start)[0]
    play.wait(501_000)
    play.end(start, Status.TIMEOUT)
    play.call("keyed", "k", left=30_000, redelivered=True)
    play.wait(40_000)
    play.call("keyed", "k", left=0, redelivered=True)
    assert play.kinds() == ["failed"] * 3


def test_what_runs_and_what_waits_is_counted_as_it_comes_and_goes():
    chance = random.Random(5)
    play = Play(workers=["a", "b"])
    for number in range(300):
        request_class = chance.choice(["safe", "keyed", "unsafe"])
        play.call(request_class, f"k{number}", left=chance.randrange(50_000, 900_000))
        play.wait(chance.randrange(0, 20_000), 5_000)
        for start in only(play.out, ports.Start):
            if chance.random() < 0.6:
                play.end(start, chance.choice([io.Status.OK, io.Status.FULL, io.Status.RESET]))
        play.out.clear()
        calls = play.engine._calls.values()
        out = sum(attempt.in_flight for call in calls for attempt in call.attempts)
        assert play.engine.load()[0] == out
        assert play.engine.load()[1] == sum(not call.has_attempts_in_flight() for call in calls)


def test_without_a_ledger_effects_rest_on_the_module_and_the_sockets():
    # Publishers that name each try anew, and no disk: no key is asked for, none is joined or remembered.
    play = Play()
    play.engine.ledger = None
    for key in ("", "again", "again"):
        play.call("unsafe", key=key, function=f"f{len(play.out)}")
    out, ended = [o for o in play.out if isinstance(o, ports.Start)], []
    for start, status in zip(out, (io.Status.OK, io.Status.RESET, io.Status.CONNECT_FAILED), strict=True):
        ended += [o.answer.kind.value for o in play.end(start, status) if isinstance(o, ports.Reply)]
    play.wait(400_000)  # the third never ran: it goes elsewhere, or there once its worker has rested
    again = [o for o in play.out if isinstance(o, ports.Start)][3:]
    assert ended == ["served", "failed"]  # the second may have run: neither again nor refused
    assert [start.trigger.function for start in again] == [out[2].trigger.function]
    assert not [o for o in play.out if isinstance(o, ports.Write)]
