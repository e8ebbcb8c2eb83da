"""AMQP without sockets: how much to hold, what a redelivery may do, and the consumer's state machine."""

from dataclasses import replace

import pytest

from swiftwell.fronts import trigger as tr
from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.consumer import CONSUME, PUBLISH, TRIES, BrokerLink, Consumer, Queue
from swiftwell.fronts.amqp.contract import Contract
from swiftwell.fronts.amqp.prefetch import FIRST, LINE_LEAST, LINE_S, TICK_US, Prefetch
from swiftwell.fronts.amqp.redelivery import SLACK_US, Delivered, Redelivered, may_have_run
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Login, Ready
from swiftwell.fronts.amqp.wire import Incoming, Wire
from swiftwell.fronts.message_reader import FunctionHint, InvalidMessage
from swiftwell.fronts.time_budget import ClockSkew
from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.interface import Effect

# How much to hold.


def play(prefetch, capacity, seconds, backlog=True, now=0, work=4):
    """A gateway that can run `capacity` at a time, each for `work` looks; a queue that always has more.

    Gives what was held after each look.
    """
    running, waiting, held = [], 0, []
    for _ in range(int(seconds * 1e6 / TICK_US)):
        now += TICK_US
        ended = sum(left == 0 for left in running)
        running = [left - 1 for left in running if left]
        room = max(0, prefetch.limit - len(running) - waiting) if backlog else 0
        waiting += room
        start = min(waiting, capacity - len(running))
        running += [work] * start
        waiting -= start
        prefetch.look(now, len(running) + waiting, len(running), waiting, ended)
        held.append(len(running) + waiting)
    return held, now


@pytest.mark.parametrize("capacity", [1, 5, 40, 300, 2_000])
def test_the_fleet_is_kept_busy_and_little_more_is_held(capacity):
    prefetch = Prefetch()
    held, _ = play(prefetch, capacity, 20)
    settled = held[len(held) // 2 :]
    assert min(settled) >= 0.9 * min(capacity, max(FIRST, capacity))
    # What is held beyond what runs ends within the line's time and a quarter of it, or is the least there is.
    pace = capacity / 0.25  # triggers a second: each takes five looks
    assert max(settled) <= max(FIRST + LINE_LEAST, capacity + 1.25 * pace * LINE_S + LINE_LEAST)


def test_a_limit_that_is_not_used_falls_back_and_grows_again():
    prefetch = Prefetch()
    _, now = play(prefetch, 500, 10)
    assert prefetch.limit > 400
    _, now = play(prefetch, 500, 4, backlog=False, now=now)
    assert prefetch.limit == FIRST
    held, _ = play(prefetch, 500, 3, now=now)
    assert max(held[:20]) >= 300  # a second is enough to be back


def test_less_capacity_is_learnt_at_once():
    prefetch = Prefetch()
    _, now = play(prefetch, 400, 10)
    assert prefetch.limit >= 1_000
    _, now = play(prefetch, 50, 0.5, now=now)
    assert prefetch.limit <= 400  # what ended so fast until now still counts for the line
    play(prefetch, 50, 2, now=now)
    assert prefetch.limit <= 180


def test_bounds_hold_and_equal_bounds_are_a_fixed_prefetch():
    for least, most in ((1, 1), (1, 10), (100, 100), (65_535, 65_535), (20, 40)):
        prefetch = Prefetch(least, most)
        for capacity in (1, 30, 200):
            play(prefetch, capacity, 3)
            assert least <= prefetch.limit <= most


def test_nothing_that_runs_yet_is_no_reason_to_hold_less():
    """At a cold start all wait for copies: the limit stays where functions are found out."""
    prefetch = Prefetch()
    for look in range(40):
        prefetch.look(look * TICK_US, FIRST, 0, FIRST, 0)
    assert prefetch.limit >= FIRST


def test_what_may_have_waited_at_the_broker_is_not_taken_for_skew():
    """A gateway that starts before a full queue: each message's wait counts, whatever is not known yet."""
    now = 1e12
    skew = ClockSkew()
    for number in range(20):
        assert skew.transit_ms("p", now - 1_500 + number, now, False, fresh=False) == 1_500 - number
    # Once the queue is empty, a clock that is 300 ms behind is told from a wait.
    for _ in range(3):
        assert skew.transit_ms("p", now - 300, now, False, fresh=True) == 0
    assert skew.transit_ms("p", now - 1_800, now, False, fresh=False) == 1_500
    # A clock that is ahead may be learnt at any time: no message comes before it was sent.
    assert skew.transit_ms("p", now + 200, now, False, fresh=False) == 0
    assert skew.transit_ms("p", now + 200 - 50, now, False, fresh=False) == 50
    bench = Bench()
    bench.deliver(**{"sent-ms": 1e12 - 1_500, "timeout-ms": 2_000})  # just after the link came up
    assert bench.host.triggers[0].left_us == 500_000
    bench.now += 1
    bench.deliver(**{"sent-ms": 1e12 - 1_500, "timeout-ms": 2_000})
    assert bench.host.triggers[1].left_us == 2_000_000  # with room all the time, nothing waits


# What a redelivery may do.


@pytest.mark.parametrize(
    ("told", "alone", "allowed", "doubt"),
    [
        (Delivered(False, None, 0), False, Redelivered.NEVER, False),
        (Delivered(True, None, 0), True, Redelivered.NEVER, False),
        (Delivered(True, 0, 1 << 60), False, Redelivered.NEVER, True),
        (Delivered(True, None, 1 << 60), False, Redelivered.KNOWN, True),
        (Delivered(True, 1_000_000, 1_000_000 + SLACK_US), False, Redelivered.KNOWN, False),
        (Delivered(True, 1_000_000, 999_999 + SLACK_US), False, Redelivered.KNOWN, True),
    ],
)
def test_a_redelivered_effect_runs_only_if_no_acknowledgement_can_be_lost(told, alone, allowed, doubt):
    assert may_have_run(told, alone, allowed) is doubt


# The contract.


def contract(alone=True):
    return Contract("calls", {"lectura": 3_000.0, "consigna": 3_000.0}, lambda name: FunctionHint(), alone)


def read(properties, key="calls.t.lectura.heat.f", body=b"x", now=1e12, again=False, one=None):
    one = one or contract()
    deliver = codec.Deliver("c", 1, again, "calls", key)
    ref = one.ref(deliver, properties, (None, 1), 0.0)
    return one.read(deliver, properties, body, "amqp:b", ref, now)


def test_a_message_as_a_trigger():
    headers = {"key": "k", "timeout-ms": 900, "memory-mb": 5, "lanes": "2", "attempt": 1}
    trigger, age = read(Properties(headers=headers, reply_to="r", correlation_id="c"), again=True)
    assert (trigger.tenant, trigger.request_class, trigger.function, trigger.key) == (
        "t",
        "lectura",
        "heat/f",
        "k",
    )
    assert (trigger.left_us, trigger.memory_mb, trigger.lanes, trigger.redelivered) == (900_000, 5.0, 2, True)
    assert age is None
    named = {"tenant": "a", "class": "consigna", "function": "x.y", "key": "k"}
    trigger, _ = read(Properties(headers=named), key="queue-by-name")
    assert (trigger.tenant, trigger.request_class, trigger.function) == ("a", "consigna", "x.y")
    assert read(Properties(message_id="m"))[0].key == "m"


def test_time_left_by_expiration_clocks_and_headers():
    now = 1e12
    # An expiration is not counted down: with the moment of sending it is the patience from then.
    one = contract()
    for _ in range(3):
        read(Properties(headers={"sent-ms": now}, reply_to="r"), now=now, one=one)
    late = Properties(headers={"sent-ms": now - 700}, expiration="2000", reply_to="r")
    trigger, age = read(late, now=now, one=one)
    assert trigger.left_us == 1_300_000 and age == 700
    # Expired on arrival: nothing is left, whatever the clock says of it.
    gone = Properties(headers={"sent-ms": now - 2_500}, expiration="2000", reply_to="r")
    assert read(gone, now=now, one=one)[0].left_us == 0
    # Without it, the expiration is all that is known; a timestamp is taken at the end of its second.
    assert read(Properties(expiration="500"), now=now)[0].left_us == 500_000
    _, age = read(Properties(timestamp=int(now / 1e3) - 5), now=now)
    assert age == 4_000
    # A publisher's clock that is an hour off costs its calls nothing once that is known.
    for ahead in (3_600_000, -3_600_000):
        skewed = contract()
        for _ in range(4):
            trigger, _ = read(
                Properties(headers={"sent-ms": now + ahead, "timeout-ms": 1_000}, reply_to="s"),
                now=now,
                one=skewed,
            )
        assert trigger.left_us == 1_000_000


@pytest.mark.parametrize(
    ("properties", "key", "why"),
    [
        (Properties(), "calls.t.lectura", "the routing key is not"),
        (Properties(), "other.t.lectura.f", "the routing key is not"),
        (Properties(), "calls.t..f.x", "the routing key is not"),
        (Properties(headers={"timeout-ms": "soon"}), "calls.t.lectura.f", "timeout-ms is not a number"),
        (Properties(headers={"timeout-ms": True, "lanes": -1}), "calls.t.lectura.f", "lanes is not a number"),
        (Properties(headers={"sent-ms": {"a": 1}}), "calls.t.lectura.f", "sent-ms is not a number"),
        (Properties(expiration="1.5"), "calls.t.lectura.f", "the expiration"),
        (Properties(headers={"key": "k" * 201}), "calls.t.lectura.f", "the key is longer"),
        (Properties(headers={f"h{n}": 1 for n in range(65)}), "calls.t.lectura.f", "more than 64 headers"),
        (Properties(headers={"tenant": ""}), "calls.t.lectura.f", "an empty tenant"),
    ],
)  # fmt: skip
def test_what_can_not_be_read_says_why(properties, key, why):
    with pytest.raises(InvalidMessage, match=why):
        read(properties, key)


# The consumer.


class Host:
    """A gateway that the test plays."""

    def __init__(self):
        self.triggers, self.lines, self.running = [], [], (0, 0)

    def submit(self, trigger):
        self.triggers.append(trigger)

    def gone(self, source):
        raise AssertionError("an AMQP link is never gone for good")

    def wall_ms(self):
        return 1e12

    def effect(self, request_class):
        return {"lectura": Effect.SAFE, "consigna": Effect.UNSAFE}.get(request_class)

    def load(self):
        return self.running

    def log(self, level, event, **more):
        self.lines.append(event)


class Bench:
    """A consumer whose broker is the test: it sees every method that goes out."""

    def __init__(self, alone=True, **more):
        self.now, self.host, self.tag = 100.0, Host(), 0
        link = BrokerLink("b", (("h", 1),), Login("gw"), (Queue("calls", exchange="calls"),))
        self.link = replace(link, **more)
        self.consumer = Consumer(self.host, contract(alone), self.link, lambda: None, alone, lambda: self.now)
        self.connect()

    def connect(self):
        self.session = self.consumer.connected()
        self.session.state, self.session.can_confirm, self.session.frame_max = "ready", True, 131_072
        self.session.out.clear()
        self.wire = Wire(131_072, 1 << 20)
        self.consumer.event(Ready())
        for channel in (CONSUME, PUBLISH):
            self.session.channels[channel] = "open"
            self.give(codec.ChannelOpenOk(), channel)
        self.give(codec.ConfirmSelectOk(), PUBLISH)
        self.give(codec.QosOk())
        self.give(codec.ConsumeOk("b-0"))
        self.sent()

    def give(self, method, channel=CONSUME, properties=None, body=b""):
        self.consumer.event(Incoming(channel, method, properties, body))
        self.consumer.after_batch()

    def deliver(self, request_class="lectura", key="", corr="", again=False, body=b"x", **more):
        self.tag += 1
        headers = {"key": key or f"k{self.tag}"} | more
        properties = Properties(headers=headers, reply_to="r", correlation_id=corr or f"q{self.tag}")
        deliver = codec.Deliver("b-0", self.tag, again, "calls", f"calls.t.{request_class}.f")
        self.give(deliver, CONSUME, properties, body)
        return self.tag

    def sent(self):
        """What went out since the last look."""
        return [one.method for one in self.wire.feed(self.session.take()) if one is not None]

    def reply(self, number=-1, kind=Kind.SERVED):
        self.consumer.replied(self.host.triggers[number], Answer(kind, "ok"))


def kinds(methods):
    return [type(one).__name__ for one in methods]


def test_a_safe_trigger_is_acknowledged_once_its_answer_is_confirmed():
    bench = Bench()
    tag = bench.deliver()
    assert len(bench.host.triggers) == 1 and bench.sent() == []
    bench.reply()
    (published,) = bench.sent()
    assert published.routing_key == "r" and published.mandatory
    bench.give(codec.Ack(1), PUBLISH)
    assert bench.sent() == [codec.Ack(tag)]


def test_an_effect_is_acknowledged_and_the_broker_asked_before_it_is_submitted():
    bench = Bench()
    tags = [bench.deliver("consigna"), bench.deliver("consigna")]
    out = bench.sent()
    assert kinds(out) == ["Ack", "Qos", "Ack", "Qos"] and [out[0].delivery_tag, out[2].delivery_tag] == tags
    assert bench.host.triggers == []
    bench.now += 0.25
    bench.give(codec.QosOk())
    assert [t.key for t in bench.host.triggers] == ["k1"]
    assert bench.host.triggers[0].left_us == 3_000_000 - 250_000  # the wait counts
    bench.give(codec.QosOk())
    assert len(bench.host.triggers) == 2
    bench.reply()
    bench.give(codec.Ack(1), PUBLISH)
    assert kinds(bench.sent()) == ["Publish"]  # not acknowledged again


def test_a_connection_lost_between_acknowledgement_and_answer_of_the_broker_is_doubt():
    bench = Bench(alone=False)
    bench.deliver("consigna", "k", "c")
    bench.consumer.disconnected()
    assert bench.host.triggers == [] and bench.consumer.open == 0
    bench.connect()
    bench.sent()
    headers = [out.properties.headers for out in bench.consumer.flight.values()]
    assert [(h["status"], h["reason"]) for h in headers] == [("failed", "may-have-run")]
    bench.deliver("consigna", "k", "c", again=True)  # the broker had not processed it: no second answer
    assert bench.host.triggers == [] and bench.consumer.counts.twins == 1
    assert codec.Ack(2) in bench.sent()


def test_a_redelivered_effect_without_a_record_runs_only_where_it_is_known_not_to_have_run():
    for since, sent, elsewhere in ((0, 1e12 - 500, False), (99, 1e12 - 500, True), (0, None, True)):
        bench = Bench(alone=False)
        bench.consumer.since = since
        more = {} if sent is None else {"sent-ms": sent}
        bench.deliver("consigna", again=True, **more)
        bench.give(codec.QosOk())
        assert bench.host.triggers[0].maybe_seen_elsewhere is elsewhere, (since, sent)


def test_a_trigger_delivered_again_while_its_call_is_open_has_one_answer():
    bench = Bench()
    bench.deliver(key="k", corr="c")
    bench.consumer.disconnected()
    bench.connect()
    tag = bench.deliver(key="k", corr="c", again=True)
    assert len(bench.host.triggers) == 1
    bench.reply()
    bench.give(codec.Ack(1), PUBLISH)
    assert kinds(bench.sent()) == ["Publish", "Ack"]
    assert bench.consumer.open == 0
    # And again, after its answer: acknowledged without one.
    bench.consumer.disconnected()
    bench.connect()
    bench.deliver(key="k", corr="c", again=True)
    assert bench.sent() == [codec.Ack(tag + 1)]


def test_an_answer_without_a_confirm_goes_out_again_marked():
    bench = Bench()
    bench.deliver()
    bench.reply()
    bench.sent()
    bench.consumer.disconnected()
    bench.connect()
    (out,) = bench.consumer.flight.values()
    assert out.properties.headers["repeated"] is True and out.tries == 1
    assert bench.consumer.counts.lost_answers == 0


def test_an_answer_that_the_broker_turns_down_is_tried_later_and_then_given_up():
    bench = Bench()
    tag = bench.deliver()
    bench.reply()
    for number in range(1, TRIES):
        assert "Publish" in kinds(bench.sent()), number
        bench.give(codec.Nack(number), PUBLISH)
        bench.consumer.look(0)
        assert "Publish" not in kinds(bench.sent())  # not at once
        bench.now += 2
        bench.consumer.look(0)
    bench.sent()
    bench.give(codec.Nack(TRIES), PUBLISH)
    assert bench.consumer.counts.lost_answers == 1
    assert codec.Nack(tag, False, True) in bench.sent()  # a safe one: the broker may give it to another


def test_an_answer_that_no_queue_takes_is_told_and_kept():
    for unroutable in ("", "kept"):
        bench = Bench(unroutable=unroutable)
        bench.deliver()
        bench.reply()
        bench.sent()
        (out,) = bench.consumer.flight.values()
        bench.give(codec.Return(312, "NO_ROUTE", "", "r"), PUBLISH, out.properties, out.body)
        bench.give(codec.Ack(1), PUBLISH)
        assert bench.consumer.counts.unroutable == 1 and "answer-unroutable" in bench.host.lines
        sent = bench.sent()
        if unroutable:
            assert [one.routing_key for one in sent] == ["kept"]
            bench.give(codec.Ack(2), PUBLISH)
            assert kinds(bench.sent()) == ["Ack"]
        else:
            assert kinds(sent) == ["Ack"]


def test_blocked_publications_are_bounded_then_refused_then_left_to_the_broker():
    bench = Bench(answers=10)
    bench.consumer.event(Blocked(True, "memory"))
    for number in range(5):
        bench.deliver()
        bench.reply(number)
    assert bench.sent() == [] and len(bench.consumer.outbox) == 5
    bench.consumer.look(0)
    assert "Cancel" in kinds(bench.sent())  # half full: others may take them
    for number in range(5):  # those on their way already
        bench.deliver()
        assert bench.host.triggers[-1].rejection == tr.BLOCKED
        bench.reply(5 + number, Kind.REFUSED)
    tag = bench.deliver()
    assert bench.sent() == [codec.Nack(tag, False, True)] and len(bench.host.triggers) == 10
    bench.consumer.event(Blocked(False))
    assert kinds(bench.sent()).count("Publish") == 10
    bench.consumer.look(0)
    assert "Consume" in kinds(bench.sent())


def test_what_can_not_be_read_goes_to_the_dead_letters_with_its_reason():
    bench = Bench(dead_letter="dead")
    tag = bench.deliver(**{"timeout-ms": "soon"})
    assert bench.host.triggers == []
    answer, dead = bench.sent()
    assert (answer.exchange, answer.routing_key) == ("", "r")
    assert (dead.exchange, dead.routing_key) == ("dead", "calls.t.lectura.f")
    headers = [out.properties.headers for out in bench.consumer.flight.values()]
    assert headers[0]["reason"] == "malformed" and "timeout-ms" in headers[1]["x-swiftwell-reason"]
    bench.give(codec.Ack(2, True), PUBLISH)
    assert bench.sent() == [codec.Ack(tag)]
    # No queue takes dead letters: the broker's own are asked for.
    tag = bench.deliver(**{"timeout-ms": "soon"})
    out = list(bench.consumer.flight.values())[-1]
    bench.give(codec.Return(312, "NO_ROUTE", "dead", out.key), PUBLISH, out.properties)
    bench.give(codec.Ack(4, True), PUBLISH)
    assert codec.Reject(tag, False) in bench.sent()
    plain = Bench()
    tag = plain.deliver(**{"timeout-ms": "soon"})
    assert codec.Reject(tag, False) in plain.sent()


def test_claimed_triggers_count_against_the_limit_though_the_broker_forgets_them():
    bench = Bench(least=3, most=3)
    for _ in range(3):
        bench.deliver("consigna")
        bench.give(codec.QosOk())
    assert bench.consumer.claimed == 3 and bench.sent()[-1].prefetch_count == 1
    bench.deliver("consigna")
    assert bench.consumer.claimed == 3 and len(bench.consumer.parked) == 1  # neither claimed nor run
    bench.reply(0)
    assert len(bench.consumer.parked) == 0 and bench.consumer.claimed == 3
    assert "Ack" in kinds(bench.sent())


def test_a_channel_error_opens_it_again_and_forgets_its_tags():
    bench = Bench()
    bench.deliver(key="k", corr="c")
    del bench.session.channels[CONSUME]
    bench.consumer.event(ChannelEnded(CONSUME, 406, "why"))
    assert not bench.consumer.up and "channel-closed" in bench.host.lines
    bench.reply()
    bench.give(codec.Ack(1), PUBLISH)
    assert "Ack" not in kinds(bench.sent())  # the tag meant something on the old channel only
    bench.now += 2
    bench.consumer.look(0)
    assert kinds(bench.sent()) == ["ChannelOpen"]


def test_no_tag_is_ever_acknowledged_twice():
    bench = Bench()
    tag = bench.deliver()
    bench.reply()
    bench.give(codec.Ack(1), PUBLISH)
    bench.give(codec.Ack(1), PUBLISH)
    bench.give(codec.Ack(9, True), PUBLISH)
    assert [one for one in bench.sent() if isinstance(one, codec.Ack)] == [codec.Ack(tag)]


def test_answered_triggers_are_remembered_up_to_a_bound(monkeypatch):
    from swiftwell.fronts.amqp import consumer

    monkeypatch.setattr(consumer, "TWINS", 50)
    bench = Bench()
    for number in range(200):
        bench.deliver()
        bench.reply()
        bench.give(codec.Ack(number + 1), PUBLISH)
    assert len(bench.consumer.twins) <= 51 and bench.consumer.open == 0
