"""The engine: the module's events and actions, one final answer per trigger, and the ledger before a send."""

import random
from dataclasses import replace

import pytest
from enginebench import SETTINGS, EngineHarness, of_type
from helpers import ORDERS, SAFE, entry

from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.fronts import trigger as tr
from swiftwell.fronts.trigger import Kind, Ran
from swiftwell.gateway import ports
from swiftwell.gateway.effects import Bounds, Record, Step
from swiftwell.gateway.engine import MAX_TIMERS_PER_STEP, tables
from swiftwell.interface import Status


def test_a_call_is_sent_and_its_answer_comes_back_once():
    harness = EngineHarness()
    start = of_type(harness.call(), ports.Start)[0]
    reply = of_type(harness.end_attempt(start, body=b"42"), ports.Reply)[0]
    assert (reply.answer.kind, reply.answer.body, reply.answer.worker) == (Kind.SERVED, b"42", start.worker)
    harness.end_attempt(start, body=b"43")  # the same outcome reported twice
    harness.advance(3_000_000)
    assert harness.answer_kinds() == ["served"]
    assert harness.engine.open == 0 and tables(harness.engine)["sources"] == 0


def test_the_intent_of_an_unsafe_call_is_durable_before_it_is_sent():
    harness = EngineHarness()
    harness.durable = False
    outputs = harness.call("unsafe", "k")
    assert of_type(outputs, ports.Write)[0].record.step is Step.INTENT
    assert not of_type(outputs, ports.Start) and not of_type(outputs, ports.Accepted)
    outputs = harness.step(ports.Durable(1))
    assert of_type(outputs, ports.Accepted) and of_type(outputs, ports.Start)
    done = harness.end_attempt(of_type(outputs, ports.Start)[0])
    assert of_type(done, ports.Write)[0].record.step is Step.DONE


def test_a_kill_between_intent_and_send_fails_the_redelivered_trigger():
    harness = EngineHarness()
    harness.durable = False
    intent = of_type(harness.call("unsafe", "k"), ports.Write)[0].record
    later = EngineHarness()
    later.ledger.replay(intent)
    later.wall = harness.wall + 1_000_000
    outputs = later.call("unsafe", "k", redelivered=True)
    assert not of_type(outputs, ports.Start) and later.answer_kinds() == ["failed"]


def test_a_kill_between_send_and_answer_fails_the_redelivered_trigger():
    harness = EngineHarness()
    outputs = harness.call("unsafe", "k")
    assert of_type(outputs, ports.Start)
    later = EngineHarness()
    for write in of_type(harness.outputs, ports.Write):
        later.ledger.replay(write.record)
    outputs = later.call("unsafe", "k", redelivered=True)
    assert not of_type(outputs, ports.Start) and later.answer_kinds() == ["failed"]


def test_a_redelivered_trigger_joins_the_running_call():
    harness = EngineHarness()
    start = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    outputs = harness.call("unsafe", "k", redelivered=True, source="m:2")
    assert not of_type(outputs, ports.Start) and of_type(outputs, ports.Accepted)
    assert (
        len(of_type(harness.end_attempt(start), ports.Reply)) == 2
        and harness.answer_kinds() == ["served"] * 2
    )


def test_a_redelivered_trigger_gets_the_recorded_answer():
    harness = EngineHarness()
    harness.end_attempt(of_type(harness.call("unsafe", "k"), ports.Start)[0], body=b"once")
    outputs = harness.call("unsafe", "k", redelivered=True)
    assert of_type(outputs, ports.Reply)[0].answer.body == b"once" and not of_type(outputs, ports.Start)


def test_a_trigger_without_time_left_gets_the_recorded_answer():
    # Seen in the day gateway-killed: it was refused with no-time-left although its key had run.
    harness = EngineHarness()
    harness.end_attempt(of_type(harness.call("unsafe", "k"), ports.Start)[0])
    harness.call("unsafe", "k", left=0, redelivered=True)
    assert harness.answer_kinds() == ["served", "served"]


def test_the_same_key_with_another_payload_is_refused():
    harness = EngineHarness()
    harness.call("unsafe", "k", payload=b"60 degrees")
    outputs = harness.call("unsafe", "k", payload=b"90 degrees")
    assert of_type(outputs, ports.Reply)[0].answer.reason == tr.KEY_REUSED and not of_type(
        outputs, ports.Start
    )


def test_a_refused_key_may_be_retried():
    harness = EngineHarness(workers=())
    harness.call("unsafe", "k", left=50_000)
    harness.advance(100_000)
    assert harness.answer_kinds() == ["refused"]
    assert [w.record.step for w in of_type(harness.outputs, ports.Write)] == [Step.INTENT, Step.FREE]
    harness.step(ports.Listed(io.Members(io.ListKind.FULL, (entry("a"),))))
    assert of_type(harness.call("unsafe", "k", redelivered=True), ports.Start)


def test_a_call_that_another_gateway_may_have_run_is_failed():
    # Seen in the day gateway-killed: publishers moved to the other gateway, whose ledger lacked the key.
    harness = EngineHarness()
    outputs = harness.call("unsafe", "k", redelivered=True, maybe_seen_elsewhere=True)
    assert not of_type(outputs, ports.Start) and harness.answer_kinds() == ["failed"]


def test_an_unsafe_call_without_a_key_is_refused():
    harness = EngineHarness()
    assert of_type(harness.call("unsafe"), ports.Reply)[0].answer.reason == tr.NO_KEY


@pytest.mark.parametrize("left", [0, 5_000, 30_000])
def test_a_trigger_with_almost_no_time_left_is_refused_and_nothing_is_sent(left):
    harness = EngineHarness()
    outputs = harness.call("unsafe", "k", left=left) + harness.advance(40_000)
    assert harness.answer_kinds() == ["refused"] and not of_type(outputs, ports.Start)


def test_a_full_ledger_refuses_unsafe_calls_and_serves_the_others():
    harness = EngineHarness(bounds=Bounds(60_000_000, 1, 1 << 28))
    harness.end_attempt(of_type(harness.call("unsafe", "k1"), ports.Start)[0])
    assert of_type(harness.call("unsafe", "k2"), ports.Reply)[0].answer.reason == tr.LEDGER
    assert of_type(harness.call("safe"), ports.Start)


def test_a_failing_ledger_refuses_unsafe_calls_including_those_that_wait_for_it():
    harness = EngineHarness()
    harness.durable = False
    harness.call("unsafe", "k1")
    outputs = harness.step(ports.LedgerDown("disk full"))
    assert of_type(outputs, ports.Reply)[0].answer.kind is Kind.REFUSED
    harness.call("unsafe", "k2")
    assert harness.answer_kinds() == ["refused", "refused"] and of_type(harness.call("safe"), ports.Start)


def test_a_stalled_ledger_refuses_in_time():
    harness = EngineHarness()
    harness.durable = False
    harness.call("unsafe", "k", left=500_000)
    harness.advance(499_000)
    assert harness.answer_kinds() == ["refused"]
    assert not of_type(harness.step(ports.Durable(1)), ports.Start)


def test_a_call_that_may_have_run_is_not_refused():
    class Careless(Router):
        def _give_final_answer(self, call):
            if not call.ended:
                self.actions.append(io.Refuse(call.request.id, 0))
                self._end(call)

    harness = EngineHarness(router_factory=Careless)
    start = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    harness.end_attempt(start, Status.RESET)
    assert harness.answer_kinds() == ["failed"]


def test_every_action_is_executed():
    harness = EngineHarness(replace(ORDERS, classes=SETTINGS.classes, asked_discovery=True))
    assert of_type(harness.outputs, ports.AskList)
    order = of_type(harness.call(), ports.Order)[0]
    outputs = harness.step(ports.OrderEnd(order.number, Status.OK, 1))
    assert of_type(outputs, ports.Start)
    assert not harness.step(ports.OrderEnd(order.number, Status.OK, 1))  # reported twice


def test_an_order_that_is_not_answered_ends_as_timed_out():
    harness = EngineHarness(
        replace(ORDERS, classes=SETTINGS.classes, order_timeout_us=100_000), workers=("a",)
    )
    seen = []
    handle = harness.engine.router.handle
    harness.engine.router.handle = lambda now, events: (seen.extend(events), handle(now, events))[1]
    harness.call()
    harness.advance(200_000)
    assert [e.status for e in seen if isinstance(e, io.Loaded)] == [Status.TIMEOUT]
    assert tables(harness.engine)["orders"] == 0


def test_an_attempt_past_its_deadline_is_abandoned_after_its_call_was_answered():
    harness = EngineHarness()
    start = of_type(harness.call(left=1_000_000), ports.Start)[0]
    outputs = harness.advance(1_010_000)
    assert of_type(outputs, ports.Abandon)[-1].status is Status.TIMEOUT
    replies = [o for o in outputs if isinstance(o, ports.Reply)]
    assert len(replies) == 1 and outputs.index(replies[0]) < outputs.index(
        of_type(outputs, ports.Abandon)[-1]
    )
    harness.end_attempt(start, Status.TIMEOUT)
    assert harness.engine.open == 0


def test_a_cancel_reaches_the_attempt():
    harness = EngineHarness(replace(SETTINGS, second_copies=False))
    start = of_type(harness.call(), ports.Start)[0]
    harness.step()
    outputs = harness.engine._execute(io.Cancel(start.id, start.number)) or harness.engine._outputs
    assert of_type(outputs, ports.Abandon)[0].status is Status.CANCELLED


def test_a_streamed_answer_has_its_own_time_limit():
    streamed = replace(SAFE, name="stream", streamed=True)
    harness = EngineHarness(replace(SETTINGS, classes=(*SETTINGS.classes, streamed)))
    start = of_type(harness.call("stream", left=500_000), ports.Start)[0]
    assert start.streamed
    harness.step(ports.FirstByte(start.id, start.number))
    harness.advance(1_000_000)
    assert harness.answer_kinds() == []
    harness.end_attempt(start, Status.RESET)
    assert harness.answer_kinds() == ["failed"]


def test_an_answer_too_large_fails_the_call_without_a_retry():
    harness = EngineHarness()
    start = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    outputs = harness.end_attempt(start, Status.ERROR, too_large=True)
    assert of_type(outputs, ports.Reply)[0].answer.reason == tr.TOO_LARGE and not of_type(
        outputs, ports.Start
    )
    assert harness.call("unsafe", "k") and harness.answer_kinds() == ["failed", "failed"]


def test_a_publisher_that_left_gets_no_answer_and_its_effect_is_recorded():
    harness = EngineHarness()
    start = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    harness.step(ports.Gone("m:1"))
    harness.end_attempt(start)
    assert harness.answer_kinds() == [] and harness.engine.open == 0
    harness.call("unsafe", "k", source="m:2")
    assert harness.answer_kinds() == ["served"]


def test_a_publisher_that_left_before_the_send_frees_its_key():
    harness = EngineHarness(workers=())
    harness.call("unsafe", "k")
    harness.step(ports.Gone("m:1"))
    assert harness.engine.open == 0
    assert of_type(harness.outputs, ports.Write)[-1].record.step is Step.FREE


def test_a_joined_trigger_with_less_time_is_answered_by_its_own_deadline():
    harness = EngineHarness()
    start = of_type(harness.call("unsafe", "k", left=2_000_000), ports.Start)[0]
    harness.call("unsafe", "k", left=300_000, source="m:2")
    harness.advance(305_000)
    assert harness.answer_kinds() == ["failed"]
    harness.end_attempt(start)
    assert harness.answer_kinds() == ["failed", "served"]


def test_a_worker_that_reports_draining_gets_no_more_calls_though_the_list_is_late():
    harness = EngineHarness(replace(SETTINGS, cold_us=0), workers=("a",))
    start = of_type(harness.call(), ports.Start)[0]
    outputs = harness.end_attempt(start, Status.FULL, draining=True)
    assert not of_type(outputs, ports.Start)
    late = ports.Listed(io.Members(io.ListKind.FULL, (entry("a"),)))
    assert not of_type(harness.step(late), ports.Start)
    assert not of_type(harness.advance(1_000_000), ports.Start)
    for number in range(8):  # the module draws at random which calls go to a worker that was full
        harness.call(function=f"f{number}")
    fresh = ports.Listed(io.Members(io.ListKind.FULL, (entry("a", started=5),)))
    assert of_type(harness.step(fresh) + harness.advance(200_000), ports.Start)


def test_no_new_call_is_accepted_while_the_gateway_stops():
    harness = EngineHarness()
    start = of_type(harness.call(), ports.Start)[0]
    harness.step(ports.Stop())
    harness.call()
    harness.end_attempt(start)
    assert harness.answer_kinds() == ["refused", "served"]


def test_too_many_calls_are_refused_and_their_keys_stay_free():
    harness = EngineHarness(max_open=1)
    harness.call()
    harness.call("unsafe", "k")
    assert harness.answer_kinds() == ["refused"] and len(harness.ledger) == 0


class Faulty(Router):
    """Raises on events of type `on` about `function`; with `sticky`, on all events from then on."""

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


def test_a_failure_of_the_module_on_one_call_answers_it_and_affects_no_other():
    harness = EngineHarness(router_factory=Faulty)
    good = of_type(harness.call(function="good"), ports.Start)[0]
    harness.call("unsafe", "k", function="bad")
    assert harness.answer_kinds() == ["refused"]
    assert [o.event for o in of_type(harness.outputs, ports.Line) if o.level != "info"] == ["module-failed"]
    harness.end_attempt(good)
    assert harness.answer_kinds() == ["refused", "served"]


def test_a_failure_on_an_outcome_answers_the_call_that_may_have_run():
    faulty = type("OnOutcome", (Faulty,), {"on": io.Outcome})
    harness = EngineHarness(router_factory=faulty)
    start = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    harness.end_attempt(start, Status.RESET)
    assert harness.answer_kinds() == ["failed"]


def test_a_module_that_keeps_failing_is_rebuilt_and_its_calls_continue():
    routers = []

    def build(settings, seed):
        routers.append(
            type("Sticky", (Faulty,), {"sticky": True})(settings, seed)
            if not routers
            else Router(settings, seed)
        )
        return routers[-1]

    harness = EngineHarness(router_factory=build)
    sent = of_type(harness.call("unsafe", "k"), ports.Start)[0]
    harness.engine.router.broken = True
    for name in ("one", "two", "three"):  # each fails; the third is resubmitted to the rebuilt router
        harness.call(function=name)
    assert len(routers) == 2 and harness.engine.counts["rebuilt"] == 1
    harness.call(function="four")
    harness.end_attempt(sent)
    for start in of_type(harness.outputs, ports.Start)[1:]:
        harness.end_attempt(start)
    assert sorted(harness.answer_kinds()) == ["refused", "refused", "served", "served", "served"]
    assert harness.engine.open == 0


def test_a_rebuilt_module_keeps_what_rules_four_and_five_count():
    settings = replace(ORDERS, classes=SETTINGS.classes, load_free=1, load_share=0, load_window_us=5_000_000)
    harness = EngineHarness(settings)
    assert of_type(harness.call(), ports.Order)
    harness.engine._rebuild_router()
    harness.step()
    assert len(of_type(harness.outputs, ports.Order)) == 1
    harness.call(function="g")
    assert len(of_type(harness.outputs, ports.Order)) == 1


def test_a_late_timer_reaches_the_module_in_one_batch_with_the_other_events():
    harness = EngineHarness()
    start = of_type(harness.call(left=900_000), ports.Start)[0]
    seen = []
    handle = harness.engine.router.handle
    harness.engine.router.handle = lambda now, events: (seen.append(list(events)), handle(now, events))[1]
    harness.now += 2_000_000  # the process was paused
    harness.end_attempt(start)
    assert any(isinstance(batch[0], io.Outcome) and len(batch) > 1 for batch in seen)
    assert harness.engine.router.resumed_at == harness.now


def test_a_queued_call_whose_client_left_is_not_sent_in_the_step_that_freed_a_slot():
    harness = EngineHarness(replace(SETTINGS, second_copies=False), workers=("a",))
    first = of_type(harness.call(), ports.Start)[0]
    harness.engine.router.workers["a"].concurrency_limit = 1.0  # no second call beside it
    assert not of_type(harness.call(source="m:2"), ports.Start) and harness.engine.open == 2
    done = ports.AttemptEnd(first.id, first.number, Status.OK, Ran.YES, b"42", 50_000)
    outputs = harness.step(
        done, ports.Gone("m:2")
    )  # the module sees the free slot first, then that the client left
    assert of_type(outputs, ports.Reply) and not of_type(outputs, ports.Start)
    harness.advance(3_000_000)
    assert harness.engine.open == 0 and tables(harness.engine)["module_calls"] == 0


def test_a_further_attempt_of_a_call_whose_client_left_is_not_sent():
    harness = EngineHarness()
    start = of_type(harness.call(), ports.Start)[0]
    outputs = harness.step(ports.Gone("m:1"))
    assert of_type(outputs, ports.Withdraw) == [ports.Withdraw(start.id, start.number)]
    harness.engine._outputs = []
    harness.engine._execute(
        io.Send(start.id, "b", 0)
    )  # as the module does before it knows that the client left
    assert not of_type(harness.engine._outputs, ports.Start)
    harness.end_attempt(start, Status.MOOT)
    assert harness.engine.open == 0


def test_an_outcome_must_agree_with_what_the_socket_proves():
    harness = EngineHarness()
    start, other = (of_type(harness.call(function=function), ports.Start)[0] for function in "fg")
    wrong = ports.AttemptEnd(start.id, start.number, Status.FULL, Ran.MAYBE)
    right = ports.AttemptEnd(other.id, other.number, Status.OK, Ran.YES, b"42")
    outputs = harness.step(wrong, right)
    # The defect is logged; its call is answered once and not as served, the other call as usual.
    (line,) = [line for line in of_type(outputs, ports.Line) if line.event == "engine-failed"]
    assert line.level == "error" and "AssertionError" in dict(line.fields)["error"]
    assert [(r.trigger is start.trigger, r.answer.kind) for r in of_type(outputs, ports.Reply)] == [
        (True, Kind.REFUSED),
        (False, Kind.SERVED),
    ]
    harness.advance(3_000_000)
    assert harness.engine.open == 0 and tables(harness.engine)["module_calls"] == 0


def test_a_replayed_record_older_than_the_bound_is_evicted():
    harness = EngineHarness(bounds=Bounds(1_000_000, 10, 1 << 28))
    harness.ledger.replay(Record(Step.DONE, "t", "k", harness.wall - 2_000_000, first_us=harness.wall))
    assert of_type(harness.call("unsafe", "k"), ports.Start)


def test_a_retried_keyed_call_is_not_refused_when_its_first_attempt_may_have_run():
    # Seen in the day keyed: the repeat did not run and was refused, though the first attempt had run.
    harness = EngineHarness()
    start = of_type(harness.call("keyed", "k", left=500_000), ports.Start)[0]
    harness.advance(501_000)
    harness.end_attempt(start, Status.TIMEOUT)
    harness.call("keyed", "k", left=30_000, redelivered=True)
    harness.advance(40_000)
    harness.call("keyed", "k", left=0, redelivered=True)
    assert harness.answer_kinds() == ["failed"] * 3


def test_the_load_counts_attempts_in_flight_and_waiting_calls():
    random_source = random.Random(5)
    harness = EngineHarness(workers=["a", "b"])
    for number in range(300):
        request_class = random_source.choice(["safe", "keyed", "unsafe"])
        harness.call(request_class, f"k{number}", left=random_source.randrange(50_000, 900_000))
        harness.advance(random_source.randrange(0, 20_000), 5_000)
        for start in of_type(harness.outputs, ports.Start):
            if random_source.random() < 0.6:
                harness.end_attempt(
                    start, random_source.choice([io.Status.OK, io.Status.FULL, io.Status.RESET])
                )
        harness.outputs.clear()
        calls = harness.engine._calls.values()
        outputs = sum(attempt.in_flight for call in calls for attempt in call.attempts)
        assert harness.engine.load()[0] == outputs
        assert harness.engine.load()[1] == sum(not call.has_attempts_in_flight() for call in calls)


def test_without_a_ledger_effects_depend_on_the_module_and_the_sockets():
    # For publishers that name each retry anew, and without a disk: keys are not required, joined or kept.
    harness = EngineHarness()
    harness.engine.ledger = None
    for key in ("", "again", "again"):
        harness.call("unsafe", key=key, function=f"f{len(harness.outputs)}")
    outputs, ended = [o for o in harness.outputs if isinstance(o, ports.Start)], []
    for start, status in zip(outputs, (io.Status.OK, io.Status.RESET, io.Status.CONNECT_FAILED), strict=True):
        ended += [
            o.answer.kind.value for o in harness.end_attempt(start, status) if isinstance(o, ports.Reply)
        ]
    harness.advance(
        400_000
    )  # the third never ran: it goes to another worker, or to the same after its back-off
    again = [o for o in harness.outputs if isinstance(o, ports.Start)][3:]
    assert ended == ["served", "failed"]  # the second may have run: neither retried nor refused
    assert [start.trigger.function for start in again] == [outputs[2].trigger.function]
    assert not [o for o in harness.outputs if isinstance(o, ports.Write)]


# Guards against: thousands of calls with one deadline were ended in one iteration of the event loop.
def test_calls_whose_time_ends_together_are_ended_some_in_each_step():
    patient = replace(SAFE, target_us=4_000_000, deadline_us=6_000_000)
    harness = EngineHarness(replace(SETTINGS, classes=(patient,)), workers=())
    end_us = harness.now + 2_000_000
    for _ in range(1_000):  # each gives up at half of its time, as no worker is there
        harness.now += 1_000
        harness.call(left=2 * (end_us - harness.now), source=f"m:{harness.now}")
    harness.advance(end_us - harness.now - 5_000)
    assert harness.engine.open == 1_000
    harness.now, per_step = end_us, []
    while harness.engine.open:
        assert len(per_step) < 100 and harness.engine.next_us() <= harness.now
        per_step.append(len(of_type(harness.step(), ports.Reply)))
    assert sum(per_step) == 1_000 and max(per_step) <= MAX_TIMERS_PER_STEP
