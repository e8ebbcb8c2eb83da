"""AMQP without sockets: the prefetch limit, redeliveries, the contract and the consumer's state machine."""

from dataclasses import replace

import pytest

from swiftwell.fronts import trigger as tr
from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.consumer import CONSUME, MAX_PUBLISH_ATTEMPTS, PUBLISH, BrokerLink, Consumer, Queue
from swiftwell.fronts.amqp.contract import Contract
from swiftwell.fronts.amqp.prefetch import BACKLOG_S, INITIAL_LIMIT, MIN_BACKLOG, TICK_US, Prefetch
from swiftwell.fronts.amqp.redelivery import SLACK_US, Delivery, RedeliveryPolicy, may_have_run
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Login, Ready
from swiftwell.fronts.amqp.wire import Incoming, Wire
from swiftwell.fronts.message_reader import FunctionHint, InvalidMessage
from swiftwell.fronts.time_budget import ClockSkew
from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.interface import Effect

# The prefetch limit.


def simulate(prefetch, capacity, seconds, backlog=True, now=0, work=4):
    """Simulate a gateway that runs `capacity` triggers at a time, each for `work` updates.

    With `backlog`, the queue is never empty.  Returns the triggers held after each update, and the time.
    """
    running, waiting, held = [], 0, []
    for _ in range(int(seconds * 1e6 / TICK_US)):
        now += TICK_US
        answered = sum(left == 0 for left in running)
        running = [left - 1 for left in running if left]
        room = max(0, prefetch.limit - len(running) - waiting) if backlog else 0
        waiting += room
        start = min(waiting, capacity - len(running))
        running += [work] * start
        waiting -= start
        prefetch.update(now, len(running) + waiting, len(running), waiting, answered)
        held.append(len(running) + waiting)
    return held, now


@pytest.mark.parametrize("capacity", [1, 5, 40, 300, 2_000])
def test_the_fleet_is_kept_busy_and_little_more_is_held(capacity):
    prefetch = Prefetch()
    held, _ = simulate(prefetch, capacity, 20)
    settled = held[len(held) // 2 :]
    assert min(settled) >= 0.9 * min(capacity, max(INITIAL_LIMIT, capacity))
    # The backlog completes within 1.25 times BACKLOG_S, or is the minimum.
    calls_per_s = capacity / 0.25  # each takes five updates
    assert max(settled) <= max(
        INITIAL_LIMIT + MIN_BACKLOG, capacity + 1.25 * calls_per_s * BACKLOG_S + MIN_BACKLOG
    )


def test_a_limit_that_is_not_used_falls_back_and_grows_again():
    prefetch = Prefetch()
    _, now = simulate(prefetch, 500, 10)
    assert prefetch.limit > 400
    _, now = simulate(prefetch, 500, 4, backlog=False, now=now)
    assert prefetch.limit == INITIAL_LIMIT
    held, _ = simulate(prefetch, 500, 3, now=now)
    assert max(held[:20]) >= 300  # within a second


def test_less_capacity_is_learnt_at_once():
    prefetch = Prefetch()
    _, now = simulate(prefetch, 400, 10)
    assert prefetch.limit >= 1_000
    _, now = simulate(prefetch, 50, 0.5, now=now)
    assert prefetch.limit <= 400  # the former completion rate still counts for the backlog
    simulate(prefetch, 50, 2, now=now)
    assert prefetch.limit <= 180


def test_bounds_hold_and_equal_bounds_are_a_fixed_prefetch():
    for minimum, maximum in ((1, 1), (1, 10), (100, 100), (65_535, 65_535), (20, 40)):
        prefetch = Prefetch(minimum, maximum)
        for capacity in (1, 30, 200):
            simulate(prefetch, capacity, 3)
            assert minimum <= prefetch.limit <= maximum


def test_nothing_that_runs_yet_is_no_reason_to_hold_less():
    """At a cold start all triggers wait for copies; the limit stays at its initial value or above."""
    prefetch = Prefetch()
    for update in range(40):
        prefetch.update(update * TICK_US, INITIAL_LIMIT, 0, INITIAL_LIMIT, 0)
    assert prefetch.limit >= INITIAL_LIMIT


def test_what_may_have_waited_at_the_broker_is_not_taken_for_skew():
    """When a gateway starts on a full queue, the time in the queue is not mistaken for clock skew."""
    now = 1e12
    skew = ClockSkew()
    for number in range(20):
        assert skew.transit_ms("p", now - 1_500 + number, now, False, fresh=False) == 1_500 - number
    # Once the queue is empty, a clock that is 300 ms behind is recognised as skew.
    for _ in range(3):
        assert skew.transit_ms("p", now - 300, now, False, fresh=True) == 0
    assert skew.transit_ms("p", now - 1_800, now, False, fresh=False) == 1_500
    # A clock that is ahead is recognised at any time: no message arrives before it was sent.
    assert skew.transit_ms("p", now + 200, now, False, fresh=False) == 0
    assert skew.transit_ms("p", now + 200 - 50, now, False, fresh=False) == 50
    harness = ConsumerHarness()
    harness.deliver(**{"sent-ms": 1e12 - 1_500, "timeout-ms": 2_000})  # just after the link was established
    assert harness.host.triggers[0].left_us == 500_000
    harness.now += 1
    harness.deliver(**{"sent-ms": 1e12 - 1_500, "timeout-ms": 2_000})
    # With spare prefetch all the time, no message waits at the broker.
    assert harness.host.triggers[1].left_us == 2_000_000


# Redeliveries.


@pytest.mark.parametrize(
    ("delivery", "alone", "policy", "expected"),
    [
        (Delivery(False, None, 0), False, RedeliveryPolicy.NEVER, False),
        (Delivery(True, None, 0), True, RedeliveryPolicy.NEVER, False),
        (Delivery(True, 0, 1 << 60), False, RedeliveryPolicy.NEVER, True),
        (Delivery(True, None, 1 << 60), False, RedeliveryPolicy.KNOWN, True),
        (Delivery(True, 1_000_000, 1_000_000 + SLACK_US), False, RedeliveryPolicy.KNOWN, False),
        (Delivery(True, 1_000_000, 999_999 + SLACK_US), False, RedeliveryPolicy.KNOWN, True),
    ],
)
def test_a_redelivered_effect_runs_only_if_no_acknowledgement_can_be_lost(delivery, alone, policy, expected):
    assert may_have_run(delivery, alone, policy) is expected


# The contract.


def contract(alone=True):
    return Contract("calls", {"lectura": 3_000.0, "consigna": 3_000.0}, lambda name: FunctionHint(), alone)


def read(properties, key="calls.t.lectura.heat.f", body=b"x", now=1e12, redelivered=False, contract_=None):
    contract_ = contract_ or contract()
    deliver = codec.Deliver("c", 1, redelivered, "calls", key)
    ref = contract_.ref(deliver, properties, (None, 1), 0.0)
    return contract_.read(deliver, properties, body, "amqp:b", ref, now)


def test_a_message_as_a_trigger():
    headers = {"key": "k", "timeout-ms": 900, "memory-mb": 5, "lanes": "2", "attempt": 1}
    trigger, age = read(Properties(headers=headers, reply_to="r", correlation_id="c"), redelivered=True)
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
    # An expiration is not counted down: with the time of sending, it is the time-out since then.
    same_contract = contract()
    for _ in range(3):
        read(Properties(headers={"sent-ms": now}, reply_to="r"), now=now, contract_=same_contract)
    late = Properties(headers={"sent-ms": now - 700}, expiration="2000", reply_to="r")
    trigger, age = read(late, now=now, contract_=same_contract)
    assert trigger.left_us == 1_300_000 and age == 700
    # Expired on arrival: no time is left.
    expired = Properties(headers={"sent-ms": now - 2_500}, expiration="2000", reply_to="r")
    assert read(expired, now=now, contract_=same_contract)[0].left_us == 0
    # Without the time of sending, only the expiration counts; a timestamp means the end of its second.
    assert read(Properties(expiration="500"), now=now)[0].left_us == 500_000
    _, age = read(Properties(timestamp=int(now / 1e3) - 5), now=now)
    assert age == 4_000
    # A publisher's clock that is off by an hour costs its calls no time once the skew is known.
    for ahead in (3_600_000, -3_600_000):
        skewed = contract()
        for _ in range(4):
            trigger, _ = read(
                Properties(headers={"sent-ms": now + ahead, "timeout-ms": 1_000}, reply_to="s"),
                now=now,
                contract_=skewed,
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
    """The gateway, played by the test."""

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


class ConsumerHarness:
    """A consumer with the test as its broker, which receives every method sent."""

    def __init__(self, alone=True, **more):
        self.now, self.host, self.tag = 100.0, Host(), 0
        link = BrokerLink("b", (("h", 1),), Login("gw"), (Queue("calls", exchange="calls"),))
        self.link = replace(link, **more)
        self.consumer = Consumer(self.host, contract(alone), self.link, lambda: None, alone, lambda: self.now)
        self.connect()

    def connect(self):
        self.session = self.consumer.connected()
        self.session.state, self.session.supports_confirms, self.session.frame_max = "ready", True, 131_072
        self.session.send_buffer.clear()
        self.wire = Wire(131_072, 1 << 20)
        self.consumer.on_event(Ready())
        for channel in (CONSUME, PUBLISH):
            self.session.channels[channel] = "open"
            self.receive(codec.ChannelOpenOk(), channel)
        self.receive(codec.ConfirmSelectOk(), PUBLISH)
        self.receive(codec.QosOk())
        self.receive(codec.ConsumeOk("b-0"))
        self.sent()

    def receive(self, method, channel=CONSUME, properties=None, body=b""):
        self.consumer.on_event(Incoming(channel, method, properties, body))
        self.consumer.after_batch()

    def deliver(self, request_class="lectura", key="", correlation="", redelivered=False, body=b"x", **more):
        self.tag += 1
        headers = {"key": key or f"k{self.tag}"} | more
        properties = Properties(headers=headers, reply_to="r", correlation_id=correlation or f"q{self.tag}")
        deliver = codec.Deliver("b-0", self.tag, redelivered, "calls", f"calls.t.{request_class}.f")
        self.receive(deliver, CONSUME, properties, body)
        return self.tag

    def sent(self):
        """The methods sent since the previous call."""
        return [
            incoming.method
            for incoming in self.wire.feed(self.session.take_send_buffer())
            if incoming is not None
        ]

    def reply(self, number=-1, kind=Kind.SERVED):
        self.consumer.replied(self.host.triggers[number], Answer(kind, "ok"))


def kinds(methods):
    return [type(method).__name__ for method in methods]


def test_a_safe_trigger_is_acknowledged_once_its_answer_is_confirmed():
    harness = ConsumerHarness()
    tag = harness.deliver()
    assert len(harness.host.triggers) == 1 and harness.sent() == []
    harness.reply()
    (published,) = harness.sent()
    assert published.routing_key == "r" and published.mandatory
    harness.receive(codec.Ack(1), PUBLISH)
    assert harness.sent() == [codec.Ack(tag)]


def test_an_effect_is_acknowledged_and_the_broker_asked_before_it_is_submitted():
    harness = ConsumerHarness()
    tags = [harness.deliver("consigna"), harness.deliver("consigna")]
    methods = harness.sent()
    assert (
        kinds(methods) == ["Ack", "Qos", "Ack", "Qos"]
        and [methods[0].delivery_tag, methods[2].delivery_tag] == tags
    )
    assert harness.host.triggers == []
    harness.now += 0.25
    harness.receive(codec.QosOk())
    assert [t.key for t in harness.host.triggers] == ["k1"]
    assert harness.host.triggers[0].left_us == 3_000_000 - 250_000  # the wait counts
    harness.receive(codec.QosOk())
    assert len(harness.host.triggers) == 2
    harness.reply()
    harness.receive(codec.Ack(1), PUBLISH)
    assert kinds(harness.sent()) == ["Publish"]  # not acknowledged again


def test_a_connection_lost_between_acknowledgement_and_answer_of_the_broker_is_doubt():
    harness = ConsumerHarness(alone=False)
    harness.deliver("consigna", "k", "c")
    harness.consumer.disconnected()
    assert harness.host.triggers == [] and harness.consumer.open_triggers == 0
    harness.connect()
    harness.sent()
    headers = [message.properties.headers for message in harness.consumer.unconfirmed.values()]
    assert [(h["status"], h["reason"]) for h in headers] == [("failed", "may-have-run")]
    harness.deliver("consigna", "k", "c", redelivered=True)  # redelivered: no second answer
    assert harness.host.triggers == [] and harness.consumer.counts.duplicates == 1
    assert codec.Ack(2) in harness.sent()


def test_a_redelivered_effect_without_a_record_runs_only_where_it_is_known_not_to_have_run():
    for connected_at, sent_ms, elsewhere in ((0, 1e12 - 500, False), (99, 1e12 - 500, True), (0, None, True)):
        harness = ConsumerHarness(alone=False)
        harness.consumer.connected_at = connected_at
        more = {} if sent_ms is None else {"sent-ms": sent_ms}
        harness.deliver("consigna", redelivered=True, **more)
        harness.receive(codec.QosOk())
        assert harness.host.triggers[0].maybe_seen_elsewhere is elsewhere, (connected_at, sent_ms)


def test_a_trigger_delivered_again_while_its_call_is_open_has_one_answer():
    harness = ConsumerHarness()
    harness.deliver(key="k", correlation="c")
    harness.consumer.disconnected()
    harness.connect()
    tag = harness.deliver(key="k", correlation="c", redelivered=True)
    assert len(harness.host.triggers) == 1
    harness.reply()
    harness.receive(codec.Ack(1), PUBLISH)
    assert kinds(harness.sent()) == ["Publish", "Ack"]
    assert harness.consumer.open_triggers == 0
    # A redelivery after the answer is acknowledged without another answer.
    harness.consumer.disconnected()
    harness.connect()
    harness.deliver(key="k", correlation="c", redelivered=True)
    assert harness.sent() == [codec.Ack(tag + 1)]


def test_an_answer_without_a_confirm_goes_out_again_marked():
    harness = ConsumerHarness()
    harness.deliver()
    harness.reply()
    harness.sent()
    harness.consumer.disconnected()
    harness.connect()
    (message,) = harness.consumer.unconfirmed.values()
    assert message.properties.headers["repeated"] is True and message.attempts == 1
    assert harness.consumer.counts.lost_answers == 0


def test_an_answer_that_the_broker_turns_down_is_tried_later_and_then_given_up():
    harness = ConsumerHarness()
    tag = harness.deliver()
    harness.reply()
    for number in range(1, MAX_PUBLISH_ATTEMPTS):
        assert "Publish" in kinds(harness.sent()), number
        harness.receive(codec.Nack(number), PUBLISH)
        harness.consumer.tick(0)
        assert "Publish" not in kinds(harness.sent())  # not at once
        harness.now += 2
        harness.consumer.tick(0)
    harness.sent()
    harness.receive(codec.Nack(MAX_PUBLISH_ATTEMPTS), PUBLISH)
    assert harness.consumer.counts.lost_answers == 1
    assert codec.Nack(tag, False, True) in harness.sent()  # safe to repeat: another gateway may take it


def test_an_answer_that_no_queue_takes_is_told_and_kept():
    for unroutable in ("", "kept"):
        harness = ConsumerHarness(unroutable=unroutable)
        harness.deliver()
        harness.reply()
        harness.sent()
        (message,) = harness.consumer.unconfirmed.values()
        harness.receive(codec.Return(312, "NO_ROUTE", "", "r"), PUBLISH, message.properties, message.body)
        harness.receive(codec.Ack(1), PUBLISH)
        assert harness.consumer.counts.unroutable == 1 and "answer-unroutable" in harness.host.lines
        sent = harness.sent()
        if unroutable:
            assert [method.routing_key for method in sent] == ["kept"]
            harness.receive(codec.Ack(2), PUBLISH)
            assert kinds(harness.sent()) == ["Ack"]
        else:
            assert kinds(sent) == ["Ack"]


def test_blocked_publications_are_bounded_then_refused_then_left_to_the_broker():
    harness = ConsumerHarness(max_answers=10)
    harness.consumer.on_event(Blocked(True, "memory"))
    for number in range(5):
        harness.deliver()
        harness.reply(number)
    assert harness.sent() == [] and len(harness.consumer.outbox) == 5
    harness.consumer.tick(0)
    assert "Cancel" in kinds(harness.sent())  # half full: left to other gateways
    for number in range(5):  # deliveries that were already under way
        harness.deliver()
        assert harness.host.triggers[-1].rejection == tr.BLOCKED
        harness.reply(5 + number, Kind.REFUSED)
    tag = harness.deliver()
    assert harness.sent() == [codec.Nack(tag, False, True)] and len(harness.host.triggers) == 10
    harness.consumer.on_event(Blocked(False))
    assert kinds(harness.sent()).count("Publish") == 10
    harness.consumer.tick(0)
    assert "Consume" in kinds(harness.sent())


def test_what_can_not_be_read_goes_to_the_dead_letters_with_its_reason():
    harness = ConsumerHarness(dead_letter="dead")
    tag = harness.deliver(**{"timeout-ms": "soon"})
    assert harness.host.triggers == []
    answer, dead = harness.sent()
    assert (answer.exchange, answer.routing_key) == ("", "r")
    assert (dead.exchange, dead.routing_key) == ("dead", "calls.t.lectura.f")
    headers = [message.properties.headers for message in harness.consumer.unconfirmed.values()]
    assert headers[0]["reason"] == "malformed" and "timeout-ms" in headers[1]["x-swiftwell-reason"]
    harness.receive(codec.Ack(2, True), PUBLISH)
    assert harness.sent() == [codec.Ack(tag)]
    # If no queue takes dead letters, the message is rejected for the broker's own dead-lettering.
    tag = harness.deliver(**{"timeout-ms": "soon"})
    message = list(harness.consumer.unconfirmed.values())[-1]
    harness.receive(codec.Return(312, "NO_ROUTE", "dead", message.key), PUBLISH, message.properties)
    harness.receive(codec.Ack(4, True), PUBLISH)
    assert codec.Reject(tag, False) in harness.sent()
    plain = ConsumerHarness()
    tag = plain.deliver(**{"timeout-ms": "soon"})
    assert codec.Reject(tag, False) in plain.sent()


def test_claimed_triggers_count_against_the_limit_though_the_broker_forgets_them():
    harness = ConsumerHarness(min_prefetch=3, max_prefetch=3)
    for _ in range(3):
        harness.deliver("consigna")
        harness.receive(codec.QosOk())
    assert harness.consumer.acked_before_run == 3 and harness.sent()[-1].prefetch_count == 1
    harness.deliver("consigna")
    assert (
        harness.consumer.acked_before_run == 3 and len(harness.consumer.deferred) == 1
    )  # neither acked nor run
    harness.reply(0)
    assert len(harness.consumer.deferred) == 0 and harness.consumer.acked_before_run == 3
    assert "Ack" in kinds(harness.sent())


def test_a_channel_error_opens_it_again_and_forgets_its_tags():
    harness = ConsumerHarness()
    harness.deliver(key="k", correlation="c")
    del harness.session.channels[CONSUME]
    harness.consumer.on_event(ChannelEnded(CONSUME, 406, "why"))
    assert not harness.consumer.up and "channel-closed" in harness.host.lines
    harness.reply()
    harness.receive(codec.Ack(1), PUBLISH)
    assert "Ack" not in kinds(harness.sent())  # its delivery tag belongs to the closed channel
    harness.now += 2
    harness.consumer.tick(0)
    assert kinds(harness.sent()) == ["ChannelOpen"]


def test_no_tag_is_ever_acknowledged_twice():
    harness = ConsumerHarness()
    tag = harness.deliver()
    harness.reply()
    harness.receive(codec.Ack(1), PUBLISH)
    harness.receive(codec.Ack(1), PUBLISH)
    harness.receive(codec.Ack(9, True), PUBLISH)
    assert [method for method in harness.sent() if isinstance(method, codec.Ack)] == [codec.Ack(tag)]


def test_answered_triggers_are_remembered_up_to_a_bound(monkeypatch):
    from swiftwell.fronts.amqp import consumer

    monkeypatch.setattr(consumer, "MAX_KNOWN_TRIGGERS", 50)
    harness = ConsumerHarness()
    for number in range(200):
        harness.deliver()
        harness.reply()
        harness.receive(codec.Ack(number + 1), PUBLISH)
    assert len(harness.consumer.known_triggers) <= 51 and harness.consumer.open_triggers == 0
