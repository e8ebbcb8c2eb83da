"""How triggers reach gateways in virtual time: connections to the endpoint, an MQTT broker, an AMQP broker.

What a front decides is the program's own code where that is a module without I/O (the prefetch, what a
redelivery may do); sessions, windows and acknowledgements are modelled in a few lines each.
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
from swiftwell.lab import constants as c
from swiftwell.lab.gateway import Gateway
from swiftwell.lab.world import World

Heard = Callable[["Message", str, str, bool], None]  # message, kind, reason, whether it may have come before


@dataclass(slots=True, eq=False)
class Message:
    """A publisher's try on its way.  `heard` hears of answers, `acked` that nobody will be given it again."""

    client: str
    corr: str
    key: str
    request_class: str
    tenant: str
    function: str
    sent_us: int
    patience_us: int
    heard: Heard
    acked: Callable[[Message], None] = lambda message: None
    attempt: int = 0
    unanswered: bool = False
    qos: int = 1
    priority: int = 0
    wait_us: int = 0  # for which its refusal sent its publisher away

    def topic(self) -> str:
        return f"calls/{self.tenant}/{self.request_class}/{self.function}"


@dataclass(slots=True, eq=False)
class Origin:
    """What a gateway answers to: the reference that a trigger carries."""

    message: Message
    gateway: Gateway
    life: int
    on_accepted: Callable[[Origin], None]
    on_replied: Callable[[Origin, Answer], None]
    acked: bool = False
    also: list[Any] = field(default_factory=list)

    def accepted(self, trigger: Trigger) -> None:
        self.on_accepted(self)

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        self.on_replied(self, answer)


def trigger(origin: Origin, source: str, dup: bool, elsewhere: bool, alone: bool) -> Trigger:
    """The trigger that a message becomes, as `fronts/message_reader.py` reads it; the clock is known."""
    message, gateway = origin.message, origin.gateway
    hint = gateway.plan.hint(message.function)
    left = message.patience_us - (gateway.world.now - message.sent_us)
    return Trigger(
        source, origin, message.request_class, message.tenant, message.function, message.key,
        f"{message.key} payload".encode(), max(0, left),
        redelivered=dup or message.attempt > 0,
        maybe_seen_elsewhere=not alone and (message.unanswered or elsewhere),
        memory_mb=hint.memory_mb if hint else 0.0, lanes=hint.lanes if hint else 1,
    )  # fmt: skip


class Endpoint:
    """Publishers' own connections to gateways."""

    def __init__(self, world: World, gateways: list[Gateway], alone: bool) -> None:
        self.world, self.gateways, self._alone = world, gateways, alone

    def publish(self, number: int, message: Message, again: bool = False) -> None:
        """A client that is connected to this gateway publishes."""
        gateway = self.gateways[number]
        self.world.after(gateway.client_us(), self._arrives, gateway, gateway.life, message, again)

    def _arrives(self, gateway: Gateway, life: int, message: Message, again: bool) -> None:
        if not gateway.up or gateway.life != life:
            return
        origin = Origin(message, gateway, life, self._accepted, self._replied)
        gateway.submit(trigger(origin, f"mqtt:{message.client}", again, again, self._alone))

    def _accepted(self, origin: Origin) -> None:
        if origin.gateway.effect(origin.message.request_class) is not Effect.SAFE:
            self._ack(origin)

    def _ack(self, origin: Origin) -> None:
        if not origin.acked:
            origin.acked = True
            message = origin.message
            self.world.after(origin.gateway.client_us(), message.acked, message)

    def _replied(self, origin: Origin, answer: Answer) -> None:
        message, kind, reason = origin.message, answer.kind.value, answer.reason
        message.wait_us = answer.wait_us
        self.world.after(origin.gateway.client_us(), message.heard, message, kind, reason, False)
        self._ack(origin)


@dataclass(slots=True, eq=False)
class _Member:
    """A gateway's session at an MQTT broker."""

    gateway: Gateway
    waiting: deque[Message] = field(default_factory=deque)
    flight: OrderedDict[Message, None] = field(default_factory=OrderedDict)


class MqttBroker:
    """An MQTT broker whose shared subscription gateways take in turn; sessions outlive connections."""

    def __init__(self, world: World, gateways: list[Gateway], share: str, alone: bool) -> None:
        self.world, self._share, self._alone = world, share, alone
        self._members = [_Member(gateway) for gateway in gateways]
        self._turn = -1
        self._away_until = 0
        self._chance = world.stream("mqtt-broker")
        for member in self._members:
            member.gateway.on_life.append(lambda up, m=member: up and world.after(50_000, self._resume, m))

    def away(self) -> bool:
        """Nothing goes through now."""
        return self.world.now < self._away_until

    def fault(self, name: str, for_s: float, keep: bool = True, lose_s: float = 0.0) -> None:
        """restart or stall; other faults of the stand-in are of acknowledgements, and not modelled."""
        world = self.world
        world.note("fault", "broker", worker="broker", fault=name, for_s=for_s)
        if name not in ("restart", "stall"):
            return
        self._away_until = world.now + int(for_s * 1e6)
        if name == "restart":
            world.note("broker-down", "broker", keep=keep)
            world.at(self._away_until, world.note, "broker-up", "broker")
            if not keep:
                for member in self._members:
                    member.waiting.clear()
                    member.flight.clear()
        for member in self._members:
            world.at(self._away_until + 200_000, self._resume, member)

    def publish(self, message: Message) -> None:
        """A publisher's message reaches the broker."""
        if self.away():
            return
        self.world.note("from", "broker", client=message.client, corr=message.corr, topic=message.topic())
        self.world.after(c.CLIENT_DELAY_US, message.acked, message)
        up = [member for member in self._members if member.gateway.up] or self._members
        if self._share:
            self._turn += 1
            up = [up[self._turn % len(up)]]
        for member in up:
            member.waiting.append(message)
            self._flow(member)

    def _flow(self, member: _Member) -> None:
        while (
            member.waiting
            and member.gateway.up
            and not self.away()
            and len(member.flight) < c.RECEIVE_MAXIMUM
        ):
            message = member.waiting.popleft()
            if self.world.now - message.sent_us > message.patience_us + 1_000_000:
                self.world.note("expired", "broker", client=member.gateway.name, corr=message.corr)
                continue
            member.flight[message] = None
            self._deliver(member, message, False)

    def _deliver(self, member: _Member, message: Message, dup: bool) -> None:
        gateway = member.gateway
        self.world.note(
            "to", "broker", client=gateway.name, corr=message.corr, topic=message.topic(), dup=dup
        )
        us = c.BROKER_DELAY_US + gateway.client_us()
        self.world.after(us, self._arrives, member, gateway.life, message, dup)

    def _resume(self, member: _Member) -> None:
        if member.gateway.up and not self.away():
            for message in list(member.flight):
                self._deliver(member, message, True)
            self._flow(member)

    def _arrives(self, member: _Member, life: int, message: Message, dup: bool) -> None:
        gateway = member.gateway
        if not gateway.up or gateway.life != life:
            return

        def accepted(origin: Origin) -> None:
            if gateway.effect(message.request_class) is not Effect.SAFE:
                self._ack(member, origin)

        def replied(origin: Origin, answer: Answer) -> None:
            us = gateway.client_us() + c.BROKER_DELAY_US + c.CLIENT_DELAY_US
            kind, reason, message.wait_us = answer.kind.value, answer.reason, answer.wait_us
            self.world.after(us, self._answer, message, kind, reason)
            self._ack(member, origin)

        origin = Origin(message, gateway, life, accepted, replied)
        found = trigger(origin, "broker:estate", dup, False, self._alone)
        if self._share and message.qos == 1 and gateway.effect(message.request_class) is Effect.UNSAFE:
            found = replace(found, rejection=tr.UNSAFE_QOS)
        gateway.submit(found)

    def _ack(self, member: _Member, origin: Origin) -> None:
        if not origin.acked:
            origin.acked = True
            us = member.gateway.client_us()
            self.world.after(us, self._acked, member, origin.life, origin.message)

    def _acked(self, member: _Member, life: int, message: Message) -> None:
        if member.gateway.life == life and not self.away():
            member.flight.pop(message, None)
            self._flow(member)

    def _answer(self, message: Message, kind: str, reason: str) -> None:
        """An answer through the broker; one that meets it away is delivered once it is back."""
        if self.away():
            self.world.at(self._away_until + 300_000, message.heard, message, kind, reason, False)
        else:
            message.heard(message, kind, reason, False)


@dataclass(order=True, slots=True)
class _Queued:
    place: tuple[int, int]
    message: Message = field(compare=False)
    redelivered: bool = field(default=False, compare=False)


class _Consumer:
    """A gateway's link to an AMQP queue."""

    def __init__(self, broker: AmqpBroker, gateway: Gateway, least: int, most: int) -> None:
        self.broker, self.gateway = broker, gateway
        self._bounds = least, most
        self.up = False
        self.unacked: dict[int, _Queued] = {}
        gateway.on_life.append(self.life)

    def life(self, up: bool) -> None:
        """The gateway started, or was killed."""
        if up:
            self.prefetch = Prefetch(*self._bounds)
            self.told = self.prefetch.limit
            self.unacked = {}
            self.open = self.claimed = self.ended = 0
            self.twins: dict[str, Origin] = {}
            self.broker.world.after(20_000, self.connect, self.gateway.life)
            self.broker.world.after(TICK_US, self.look, self.gateway.life)
        else:
            self.broker.lost(self)

    def connect(self, life: int) -> None:
        if life == self.gateway.life and not self.broker.away():
            self.up, self.since = True, self.broker.world.now
            self.broker.flow()

    def look(self, life: int) -> None:
        if life != self.gateway.life:
            return
        running, waiting = self.gateway.engine.load()
        ended, self.ended = self.ended, 0
        self.prefetch.update(self.broker.world.now, self.open, running, waiting, ended)
        self.told = max(1, self.prefetch.limit - self.claimed)
        self.broker.world.after(TICK_US, self.look, life)
        if self.up:
            self.broker.flow()


class AmqpBroker:
    """An AMQP broker with one queue of all gateways: priorities, prefetch, redelivery."""

    def __init__(
        self, world: World, gateways: list[Gateway], alone: bool, least: int = 1, most: int = 2_000
    ) -> None:
        self.world, self._alone = world, alone
        self._queue: list[_Queued] = []
        self._consumers = [_Consumer(self, gateway, least, most) for gateway in gateways]
        self._turn = self._tags = self._places = 0
        self._away_until = 0

    def away(self) -> bool:
        """Nothing goes through now."""
        return self.world.now < self._away_until

    def fault(self, name: str, for_s: float, keep: bool = True, lose_s: float = 0.0) -> None:
        """restart, stall or cut; others are of the protocol, and not modelled."""
        world = self.world
        world.note("fault", "amqp", worker="broker", fault=name, for_s=for_s)
        if name not in ("restart", "stall", "cut"):
            return
        if name == "restart":
            self._away_until = world.now + int(for_s * 1e6)
            world.note("broker-down", "amqp", keep=keep)
            world.at(self._away_until, world.note, "broker-up", "amqp")
        elif name == "stall":
            self._away_until = world.now + int(for_s * 1e6)
            world.at(self._away_until, self.flow)
            return
        for consumer in self._consumers:
            self.lost(consumer)
            wait = max(self._away_until, world.now) + self.world.stream("amqp").uniform(50_000, 500_000)
            world.at(wait, consumer.connect, consumer.gateway.life)

    def publish(self, message: Message) -> None:
        """A publisher's message reaches the broker."""
        if self.away():
            return
        self.world.note("from", "amqp", client=message.client, corr=message.corr, topic=message.topic())
        self.world.after(c.CLIENT_DELAY_US, message.acked, message)
        self._places += 1
        heapq.heappush(self._queue, _Queued((-message.priority, self._places), message))
        self.flow()

    def lost(self, consumer: _Consumer) -> None:
        """A connection is gone: what it had not acknowledged goes back to its place."""
        consumer.up = False
        for queued in consumer.unacked.values():
            queued.redelivered = True
            heapq.heappush(self._queue, queued)
        consumer.unacked = {}
        self.world.after(1_000, self.flow)

    def flow(self) -> None:
        """Deliver what waits, in turn to consumers that have room."""
        while self._queue and not self.away():
            for _ in self._consumers:
                self._turn += 1
                consumer = self._consumers[self._turn % len(self._consumers)]
                if consumer.up and len(consumer.unacked) < consumer.told:
                    break
            else:
                return
            queued = heapq.heappop(self._queue)
            message = queued.message
            if self.world.now - message.sent_us > message.patience_us:
                self.world.note("expired", "amqp", corr=message.corr)
                continue
            self._tags += 1
            consumer.unacked[self._tags] = queued
            self.world.note(
                "to", "amqp", client=consumer.gateway.name, corr=message.corr, topic=message.topic(),
                dup=queued.redelivered,
            )  # fmt: skip
            us = c.BROKER_DELAY_US + consumer.gateway.client_us()
            again = queued.redelivered
            self.world.after(us, self._arrives, consumer, consumer.gateway.life, self._tags, message, again)

    def _arrives(self, consumer: _Consumer, life: int, tag: int, message: Message, redelivered: bool) -> None:
        gateway = consumer.gateway
        if gateway.life != life or tag not in consumer.unacked:
            return
        if redelivered and (twin := consumer.twins.get(message.corr)):
            if twin.acked:
                self._ack(consumer, tag)
            else:
                twin.also.append(tag)
            return
        safe = gateway.effect(message.request_class) in (None, Effect.SAFE)
        consumer.open += 1
        consumer.claimed += not safe

        def replied(origin: Origin, answer: Answer) -> None:
            consumer.open -= 1
            consumer.claimed -= not safe
            consumer.ended += 1
            us, message.wait_us = gateway.client_us() + c.BROKER_DELAY_US + c.CLIENT_DELAY_US, answer.wait_us
            self.world.after(us, self._answer, message, answer.kind.value, answer.reason)
            if safe:
                self.world.after(2 * gateway.client_us(), self._confirmed, consumer, life, tag, origin)

        origin = Origin(message, gateway, life, lambda origin: None, replied)
        consumer.twins[message.corr] = origin
        age = self.world.now - message.sent_us
        link = self.world.now - consumer.since
        doubt = may_have_run(Delivery(redelivered, age, link), self._alone, RedeliveryPolicy.KNOWN)
        found = trigger(origin, "amqp:plant", redelivered, not safe and doubt, self._alone)
        if safe:
            gateway.submit(found)
            return
        origin.acked = True
        back = 2 * gateway.client_us() + c.BROKER_DELAY_US
        self.world.after(back / 2, self._ack_of, consumer, life, tag)
        self.world.after(back, self._claimed, consumer, life, origin, found)

    def _ack_of(self, consumer: _Consumer, life: int, tag: int) -> None:
        if consumer.gateway.life == life:
            self._ack(consumer, tag)

    def _claimed(self, consumer: _Consumer, life: int, origin: Origin, found: Trigger) -> None:
        """The broker has worked off the acknowledgement; or the connection was lost, then nobody knows."""
        if consumer.gateway.life != life:
            return
        if not consumer.up:
            origin.replied(found, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))
            return
        left = found.left_us - int(2 * c.CLIENT_DELAY_US)
        consumer.gateway.submit(replace(found, left_us=max(0, left)))

    def _confirmed(self, consumer: _Consumer, life: int, tag: int, origin: Origin) -> None:
        origin.acked = True
        if consumer.gateway.life == life:
            for one in (tag, *origin.also):
                self._ack(consumer, one)

    def _ack(self, consumer: _Consumer, tag: int) -> None:
        if consumer.unacked.pop(tag, None) and not self.away():
            self.flow()

    def _answer(self, message: Message, kind: str, reason: str) -> None:
        if self.away():
            self.world.at(self._away_until + 300_000, message.heard, message, kind, reason, False)
        else:
            message.heard(message, kind, reason, False)
