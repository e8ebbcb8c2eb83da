"""Emulates how triggers reach gateways: connections to the MQTT endpoint, an MQTT broker, an AMQP broker.

Decisions of a front that are in modules without I/O (the prefetch limit, the treatment of redeliveries) run
the real code; sessions, flow control windows and acknowledgements are modelled here in a simple form.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from swiftwell.fronts import trigger as tr
from swiftwell.fronts.amqp.prefetch import TICK_US, Prefetch
from swiftwell.fronts.amqp.redelivery import Delivery, RedeliveryPolicy, may_have_run
from swiftwell.fronts.trigger import Answer, Kind, Trigger
from swiftwell.interface import Effect
from swiftwell.lab import constants
from swiftwell.lab.gateway import Gateway
from swiftwell.lab.world import World

AnswerCallback = Callable[["Message", str, str, bool], None]  # message, kind, reason, possible duplicate


@dataclass(slots=True, eq=False)
class Message:
    """A publisher's try.

    `on_answer` receives its answers; `on_ack` is called when it won't be delivered again.
    """

    client: str
    corr: str
    key: str
    request_class: str
    tenant: str
    function: str
    sent_us: int
    timeout_us: int
    on_answer: AnswerCallback
    on_ack: Callable[[Message], None] = lambda message: None
    attempt: int = 0
    unanswered: bool = False
    qos: int = 1
    priority: int = 0
    retry_after_us: int = 0  # wait that its refusal requests

    def topic(self) -> str:
        """Returns the topic that it is published to."""
        return f"calls/{self.tenant}/{self.request_class}/{self.function}"


@dataclass(slots=True, eq=False)
class Origin:
    """The source of a trigger, which receives its answer (`Trigger.ref`)."""

    message: Message
    gateway: Gateway
    incarnation: int
    on_accepted: Callable[[Origin], None]
    on_replied: Callable[[Origin, Answer], None]
    acked: bool = False  # the delivery has been acknowledged
    redelivered_tags: list[Any] = field(default_factory=list)  # AMQP tags to acknowledge with it

    def accepted(self, trigger: Trigger) -> None:
        """Handles the engine's acceptance of the trigger."""
        self.on_accepted(self)

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Handles the engine's answer to the trigger."""
        self.on_replied(self, answer)


def build_trigger(
    origin: Origin, source: str, dup: bool, maybe_seen_elsewhere: bool, single_gateway: bool
) -> Trigger:
    """Builds the trigger of a message as `fronts/message_reader.py` does, with exact clocks."""
    message, gateway = origin.message, origin.gateway
    hint = gateway.plan.hint(message.function)
    left = message.timeout_us - (gateway.world.now - message.sent_us)
    return Trigger(
        source, origin, message.request_class, message.tenant, message.function, message.key,
        f"{message.key} payload".encode(), max(0, left),
        redelivered=dup or message.attempt > 0,
        maybe_seen_elsewhere=not single_gateway and (message.unanswered or maybe_seen_elsewhere),
        memory_mb=hint.memory_mb if hint else 0.0, lanes=hint.lanes if hint else 1,
    )  # fmt: skip


class Endpoint:
    """The MQTT endpoint: publishers connect to gateways directly."""

    def __init__(self, world: World, gateways: list[Gateway], single_gateway: bool) -> None:
        self.world, self.gateways, self._single_gateway = world, gateways, single_gateway

    def publish(self, number: int, message: Message, redelivered: bool = False) -> None:
        """Publishes a message of a client that is connected to gateway `number`."""
        gateway = self.gateways[number]
        self.world.after(
            gateway.client_delay_us(), self._arrives, gateway, gateway.incarnation, message, redelivered
        )

    def _arrives(self, gateway: Gateway, incarnation: int, message: Message, redelivered: bool) -> None:
        if not gateway.up or gateway.incarnation != incarnation:
            return
        origin = Origin(message, gateway, incarnation, self._accepted, self._replied)
        gateway.submit(
            build_trigger(origin, f"mqtt:{message.client}", redelivered, redelivered, self._single_gateway)
        )

    def _accepted(self, origin: Origin) -> None:
        if origin.gateway.effect(origin.message.request_class) is not Effect.SAFE:
            self._ack(origin)

    def _ack(self, origin: Origin) -> None:
        if not origin.acked:
            origin.acked = True
            message = origin.message
            self.world.after(origin.gateway.client_delay_us(), message.on_ack, message)

    def _replied(self, origin: Origin, answer: Answer) -> None:
        message, kind, reason = origin.message, answer.kind.value, answer.reason
        message.retry_after_us = answer.wait_us
        self.world.after(origin.gateway.client_delay_us(), message.on_answer, message, kind, reason, False)
        self._ack(origin)


@dataclass(slots=True, eq=False)
class _Session:
    """A gateway's session at an MQTT broker."""

    gateway: Gateway
    waiting: deque[Message] = field(default_factory=deque)
    in_flight: OrderedDict[Message, None] = field(default_factory=OrderedDict)


class MqttBroker:
    """An MQTT broker with a shared subscription, served round-robin; sessions outlive connections."""

    def __init__(self, world: World, gateways: list[Gateway], share: str, single_gateway: bool) -> None:
        self.world, self._share, self._single_gateway = world, share, single_gateway
        self._sessions = [_Session(gateway) for gateway in gateways]
        self._rotation = -1
        self._unavailable_until = 0
        self._random = world.stream("mqtt-broker")
        for session in self._sessions:
            session.gateway.lifecycle_listeners.append(
                lambda up, s=session: up and world.after(50_000, self._resume, s)
            )

    def is_unavailable(self) -> bool:
        """Whether the broker delivers nothing now."""
        return self.world.now < self._unavailable_until

    def fault(self, name: str, for_s: float, keep: bool = True, lose_s: float = 0.0) -> None:
        """Injects "restart" or "stall"; the stand-in's faults of acknowledgements aren't modelled."""
        world = self.world
        world.record("fault", "broker", worker="broker", fault=name, for_s=for_s)
        if name not in ("restart", "stall"):
            return
        self._unavailable_until = world.now + int(for_s * 1e6)
        if name == "restart":
            world.record("broker-down", "broker", keep=keep)
            world.at(self._unavailable_until, world.record, "broker-up", "broker")
            if not keep:
                for session in self._sessions:
                    session.waiting.clear()
                    session.in_flight.clear()
        for session in self._sessions:
            world.at(self._unavailable_until + 200_000, self._resume, session)

    def publish(self, message: Message) -> None:
        """Receives a publisher's message."""
        if self.is_unavailable():
            return
        self.world.record("from", "broker", client=message.client, corr=message.corr, topic=message.topic())
        self.world.after(constants.CLIENT_DELAY_US, message.on_ack, message)
        up = [session for session in self._sessions if session.gateway.up] or self._sessions
        if self._share:
            self._rotation += 1
            up = [up[self._rotation % len(up)]]
        for session in up:
            session.waiting.append(message)
            self._deliver_waiting(session)

    def _deliver_waiting(self, session: _Session) -> None:
        while (
            session.waiting
            and session.gateway.up
            and not self.is_unavailable()
            and len(session.in_flight) < constants.RECEIVE_MAXIMUM
        ):
            message = session.waiting.popleft()
            if self.world.now - message.sent_us > message.timeout_us + 1_000_000:
                self.world.record("expired", "broker", client=session.gateway.name, corr=message.corr)
                continue
            session.in_flight[message] = None
            self._deliver(session, message, False)

    def _deliver(self, session: _Session, message: Message, dup: bool) -> None:
        gateway = session.gateway
        self.world.record(
            "to", "broker", client=gateway.name, corr=message.corr, topic=message.topic(), dup=dup
        )
        us = constants.BROKER_DELAY_US + gateway.client_delay_us()
        self.world.after(us, self._arrives, session, gateway.incarnation, message, dup)

    def _resume(self, session: _Session) -> None:
        if session.gateway.up and not self.is_unavailable():
            for message in list(session.in_flight):
                self._deliver(session, message, True)
            self._deliver_waiting(session)

    def _arrives(self, session: _Session, incarnation: int, message: Message, dup: bool) -> None:
        gateway = session.gateway
        if not gateway.up or gateway.incarnation != incarnation:
            return

        def accepted(origin: Origin) -> None:
            if gateway.effect(message.request_class) is not Effect.SAFE:
                self._ack(session, origin)

        def replied(origin: Origin, answer: Answer) -> None:
            us = gateway.client_delay_us() + constants.BROKER_DELAY_US + constants.CLIENT_DELAY_US
            kind, reason, message.retry_after_us = answer.kind.value, answer.reason, answer.wait_us
            self.world.after(us, self._answer, message, kind, reason)
            self._ack(session, origin)

        origin = Origin(message, gateway, incarnation, accepted, replied)
        trigger = build_trigger(origin, "broker:estate", dup, False, self._single_gateway)
        if self._share and message.qos == 1 and gateway.effect(message.request_class) is Effect.UNSAFE:
            trigger = replace(trigger, rejection=tr.UNSAFE_QOS)
        gateway.submit(trigger)

    def _ack(self, session: _Session, origin: Origin) -> None:
        if not origin.acked:
            origin.acked = True
            us = session.gateway.client_delay_us()
            self.world.after(us, self._on_ack, session, origin.incarnation, origin.message)

    def _on_ack(self, session: _Session, incarnation: int, message: Message) -> None:
        if session.gateway.incarnation == incarnation and not self.is_unavailable():
            session.in_flight.pop(message, None)
            self._deliver_waiting(session)

    def _answer(self, message: Message, kind: str, reason: str) -> None:
        """Delivers an answer; while the broker is unavailable it is delayed until the broker is back."""
        if self.is_unavailable():
            self.world.at(self._unavailable_until + 300_000, message.on_answer, message, kind, reason, False)
        else:
            message.on_answer(message, kind, reason, False)


@dataclass(order=True, slots=True)
class _Queued:
    """A message in the queue, ordered by its position."""

    position: tuple[int, int]  # negative priority, order of arrival
    message: Message = field(compare=False)
    redelivered: bool = field(default=False, compare=False)


class _Consumer:
    """A gateway's consumer at the AMQP queue."""

    def __init__(self, broker: AmqpBroker, gateway: Gateway, min_prefetch: int, max_prefetch: int) -> None:
        self.broker, self.gateway = broker, gateway
        self._prefetch_bounds = min_prefetch, max_prefetch
        self.up = False
        self.unacked: dict[int, _Queued] = {}
        gateway.lifecycle_listeners.append(self.on_lifecycle)

    def on_lifecycle(self, up: bool) -> None:
        """Handles a start or kill of the gateway."""
        if up:
            self.prefetch = Prefetch(*self._prefetch_bounds)
            self.prefetch_limit = self.prefetch.limit
            self.unacked = {}
            self.open_calls = self.acked_before_run = self.ended_calls = 0
            self.origins: dict[str, Origin] = {}
            self.broker.world.after(20_000, self.connect, self.gateway.incarnation)
            self.broker.world.after(TICK_US, self.update_prefetch, self.gateway.incarnation)
        else:
            self.broker.lost(self)

    def connect(self, incarnation: int) -> None:
        """Connects to the broker if it is available."""
        if incarnation == self.gateway.incarnation and not self.broker.is_unavailable():
            self.up, self.connected_at = True, self.broker.world.now
            self.broker.deliver_waiting()

    def update_prefetch(self, incarnation: int) -> None:
        """Updates the prefetch limit, every TICK_US; open calls acknowledged before they run are deducted."""
        if incarnation != self.gateway.incarnation:
            return
        running, waiting = self.gateway.engine.load()
        ended, self.ended_calls = self.ended_calls, 0
        self.prefetch.update(self.broker.world.now, self.open_calls, running, waiting, ended)
        self.prefetch_limit = max(1, self.prefetch.limit - self.acked_before_run)
        self.broker.world.after(TICK_US, self.update_prefetch, incarnation)
        if self.up:
            self.broker.deliver_waiting()


class AmqpBroker:
    """An AMQP broker with one queue for all gateways, with priorities, prefetch and redelivery."""

    def __init__(
        self,
        world: World,
        gateways: list[Gateway],
        single_gateway: bool,
        min_prefetch: int = 1,
        max_prefetch: int = 2_000,
    ) -> None:
        self.world, self._single_gateway = world, single_gateway
        self._queue: list[_Queued] = []
        self._consumers = [_Consumer(self, gateway, min_prefetch, max_prefetch) for gateway in gateways]
        self._rotation = self._tags = self._enqueued_count = 0
        self._unavailable_until = 0

    def is_unavailable(self) -> bool:
        """Whether the broker delivers nothing now."""
        return self.world.now < self._unavailable_until

    def fault(self, name: str, for_s: float, keep: bool = True, lose_s: float = 0.0) -> None:
        """Injects "restart", "stall" or "cut"; faults of the protocol aren't modelled."""
        world = self.world
        world.record("fault", "amqp", worker="broker", fault=name, for_s=for_s)
        if name not in ("restart", "stall", "cut"):
            return
        if name == "restart":
            self._unavailable_until = world.now + int(for_s * 1e6)
            world.record("broker-down", "amqp", keep=keep)
            world.at(self._unavailable_until, world.record, "broker-up", "amqp")
        elif name == "stall":
            self._unavailable_until = world.now + int(for_s * 1e6)
            world.at(self._unavailable_until, self.deliver_waiting)
            return
        for consumer in self._consumers:
            self.lost(consumer)
            wait = max(self._unavailable_until, world.now) + self.world.stream("amqp").uniform(
                50_000, 500_000
            )
            world.at(wait, consumer.connect, consumer.gateway.incarnation)

    def publish(self, message: Message) -> None:
        """Receives a publisher's message."""
        if self.is_unavailable():
            return
        self.world.record("from", "amqp", client=message.client, corr=message.corr, topic=message.topic())
        self.world.after(constants.CLIENT_DELAY_US, message.on_ack, message)
        self._enqueued_count += 1
        heapq.heappush(self._queue, _Queued((-message.priority, self._enqueued_count), message))
        self.deliver_waiting()

    def lost(self, consumer: _Consumer) -> None:
        """Ends a connection; its unacknowledged messages return to their position in the queue."""
        consumer.up = False
        for queued in consumer.unacked.values():
            queued.redelivered = True
            heapq.heappush(self._queue, queued)
        consumer.unacked = {}
        self.world.after(1_000, self.deliver_waiting)

    def deliver_waiting(self) -> None:
        """Delivers queued messages round-robin to consumers below their prefetch limit."""
        while self._queue and not self.is_unavailable():
            for _ in self._consumers:
                self._rotation += 1
                consumer = self._consumers[self._rotation % len(self._consumers)]
                if consumer.up and len(consumer.unacked) < consumer.prefetch_limit:
                    break
            else:
                return
            queued = heapq.heappop(self._queue)
            message = queued.message
            if self.world.now - message.sent_us > message.timeout_us:
                self.world.record("expired", "amqp", corr=message.corr)
                continue
            self._tags += 1
            consumer.unacked[self._tags] = queued
            self.world.record(
                "to", "amqp", client=consumer.gateway.name, corr=message.corr, topic=message.topic(),
                dup=queued.redelivered,
            )  # fmt: skip
            us = constants.BROKER_DELAY_US + consumer.gateway.client_delay_us()
            redelivered = queued.redelivered
            self.world.after(
                us, self._arrives, consumer, consumer.gateway.incarnation, self._tags, message, redelivered
            )

    def _arrives(
        self, consumer: _Consumer, incarnation: int, tag: int, message: Message, redelivered: bool
    ) -> None:
        gateway = consumer.gateway
        if gateway.incarnation != incarnation or tag not in consumer.unacked:
            return
        if redelivered and (earlier := consumer.origins.get(message.corr)):
            if earlier.acked:
                self._ack(consumer, tag)
            else:
                earlier.redelivered_tags.append(tag)
            return
        safe = gateway.effect(message.request_class) in (None, Effect.SAFE)
        consumer.open_calls += 1
        consumer.acked_before_run += not safe

        def replied(origin: Origin, answer: Answer) -> None:
            consumer.open_calls -= 1
            consumer.acked_before_run -= not safe
            consumer.ended_calls += 1
            us, message.retry_after_us = (
                gateway.client_delay_us() + constants.BROKER_DELAY_US + constants.CLIENT_DELAY_US,
                answer.wait_us,
            )  # fmt: skip
            self.world.after(us, self._answer, message, answer.kind.value, answer.reason)
            if safe:
                self.world.after(
                    2 * gateway.client_delay_us(), self._on_confirmed, consumer, incarnation, tag, origin
                )

        origin = Origin(message, gateway, incarnation, lambda origin: None, replied)
        consumer.origins[message.corr] = origin
        age = self.world.now - message.sent_us
        link = self.world.now - consumer.connected_at
        may_have_run_before = may_have_run(
            Delivery(redelivered, age, link), self._single_gateway, RedeliveryPolicy.KNOWN
        )
        trigger = build_trigger(
            origin, "amqp:plant", redelivered, not safe and may_have_run_before, self._single_gateway
        )
        if safe:
            gateway.submit(trigger)
            return
        origin.acked = True
        round_trip_us = 2 * gateway.client_delay_us() + constants.BROKER_DELAY_US
        self.world.after(round_trip_us / 2, self._ack_if_current, consumer, incarnation, tag)
        self.world.after(round_trip_us, self._submit_unsafe, consumer, incarnation, origin, trigger)

    def _ack_if_current(self, consumer: _Consumer, incarnation: int, tag: int) -> None:
        if consumer.gateway.incarnation == incarnation:
            self._ack(consumer, tag)

    def _submit_unsafe(self, consumer: _Consumer, incarnation: int, origin: Origin, trigger: Trigger) -> None:
        """Submits an unsafe call once the broker has handled its acknowledgement.

        If the connection was lost meanwhile, the call fails, as the acknowledgement may not have arrived.
        """
        if consumer.gateway.incarnation != incarnation:
            return
        if not consumer.up:
            origin.replied(trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
            return
        left = trigger.left_us - int(2 * constants.CLIENT_DELAY_US)
        consumer.gateway.submit(replace(trigger, left_us=max(0, left)))

    def _on_confirmed(self, consumer: _Consumer, incarnation: int, tag: int, origin: Origin) -> None:
        origin.acked = True
        if consumer.gateway.incarnation == incarnation:
            for delivery_tag in (tag, *origin.redelivered_tags):
                self._ack(consumer, delivery_tag)

    def _ack(self, consumer: _Consumer, tag: int) -> None:
        if consumer.unacked.pop(tag, None) and not self.is_unavailable():
            self.deliver_waiting()

    def _answer(self, message: Message, kind: str, reason: str) -> None:
        if self.is_unavailable():
            self.world.at(self._unavailable_until + 300_000, message.on_answer, message, kind, reason, False)
        else:
            message.on_answer(message, kind, reason, False)
