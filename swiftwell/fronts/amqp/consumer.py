"""The consumer of one broker's queues: deliveries become triggers, answers go out with confirms.  No I/O.

When a trigger is acknowledged depends on what a repeat of it does:

- a class that is safe to repeat: when the broker has confirmed its answer.  A gateway that dies leaves it to
  the others;
- a class with effects: before it runs.  `basic.ack`, then `basic.qos` on the same channel: its `qos-ok` says
  that the broker has processed the acknowledgement, as methods of a channel are processed in order.  Only
  then is the trigger submitted, so what a broker delivers again has run nowhere (redelivery.py).

Answers are published `mandatory` on a channel of their own, in confirm mode: an error there loses no
delivery.  Every bound is the link's.
"""

from __future__ import annotations

import heapq
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from swiftwell.fronts import trigger as tr
from swiftwell.fronts.amqp import codec, contract
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.fronts.amqp.contract import Contract, Ref
from swiftwell.fronts.amqp.prefetch import Prefetch
from swiftwell.fronts.amqp.redelivery import Delivered, Redelivered, may_have_run
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Ended, Event, Login, Ready, Session
from swiftwell.fronts.amqp.wire import Incoming
from swiftwell.fronts.host import Host
from swiftwell.fronts.message_reader import Freshness, InvalidMessage
from swiftwell.fronts.trigger import Answer, Kind, Trigger
from swiftwell.interface import Effect

CONSUME, PUBLISH = 1, 2  # channels
WINDOW = 2_048  # answers on their way without a confirm
TRIES = 8  # publications of one answer that the broker turns down, or that end their channel
LATER_S, MOST_LATER_S = 0.05, 1.0  # s before the next one: doubled by each, and at most
TWINS = 20_000  # answered triggers remembered, in case the broker delivers them again
FULL = 0.9  # of the prefetch: beyond it the queue may have more for us
AGAIN_S = 1.0  # s before a channel that the broker has closed is opened again


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that triggers come from.

    `declare`: made where it is not there, bound to `exchange` by `keys`; else it must be there.
    """

    name: str
    declare: bool = True
    durable: bool = True
    exchange: str = ""
    exchange_type: str = "topic"
    keys: tuple[str, ...] = ()
    dead_letter: str = ""
    max_priority: int = 0


@dataclass(frozen=True, slots=True)
class BrokerLink:
    """One broker, as the settings name it.

    `least`, `most`: bounds of the prefetch; `dead_letter`: exchange for what can't be read, with the reason
    in its headers ("": the broker's own, without); `unroutable`: queue for answers whose reply queue is gone.
    """

    name: str
    addresses: tuple[tuple[str, int], ...]
    login: Login
    queues: tuple[Queue, ...]
    least: int = 1
    most: int = 65_535
    redelivered: Redelivered = Redelivered.KNOWN
    dead_letter: str = ""
    unroutable: str = ""
    answers: int = 10_000
    open: int = 10_000
    waiting_out: int = 1 << 24


@dataclass(slots=True, eq=False)
class Out:
    """A message of ours, until the broker has it: an answer, a dead letter or an answer that came back."""

    kind: str
    exchange: str
    key: str
    properties: Properties
    body: bytes
    ref: Ref | None
    tries: int = 0
    returned: bool = False


@dataclass(slots=True)
class Claim:
    """A trigger whose acknowledgement the broker has been given, and has not processed yet as far as is
    known."""

    trigger: Trigger
    at: float


@dataclass(slots=True)
class Counts:
    """What has happened, for figures."""

    deliveries: int = 0
    redelivered: int = 0
    twins: int = 0
    doubted: int = 0
    rejected: int = 0
    requeued: int = 0
    unroutable: int = 0
    lost_answers: int = 0
    confirms: int = 0


class Consumer:
    """One link's state; it outlives connections.  `wake` is called when there is something to send."""

    def __init__(
        self,
        host: Host,
        contract_: Contract,
        link: BrokerLink,
        wake: Callable[[], None],
        alone: bool = True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.host, self.contract, self.link = host, contract_, link
        self._wake, self._alone, self._clock = wake, alone, clock
        self.source = f"amqp:{link.name}"
        self.prefetch = Prefetch(link.least, link.most)
        self.counts = Counts()
        self.session: Session | None = None
        self.generation = 0  # of the consuming channel: tags of an earlier one mean nothing
        self.open = 0  # triggers submitted or claimed, without an answer
        self.claimed = 0  # of them, those that are acknowledged already
        self.blocked = False
        self.paused = False
        self.up = False
        self.resting = False
        self.since = 0.0  # when the connection was made
        self._told = 0  # the prefetch that the broker has
        self._freshness = Freshness()
        self._ended = 0  # answers since the last look
        self.barriers: deque[list[Claim]] = deque()
        self._batch: list[Claim] = []
        self.parked: deque[Incoming] = deque()
        self.outbox: deque[Out] = deque()
        self.flight: OrderedDict[int, Out] = OrderedDict()
        self.later: list[tuple[float, int, Out]] = []  # a heap: turned down by the broker, to be sent again
        self.seq = 0  # publications on the channel, as the broker counts them
        self._number = 0
        self._confirming = False
        self._again: dict[int, float] = {}  # channel: when it is opened again
        self.twins: OrderedDict[tuple[str, str, str], Ref] = OrderedDict()

    # The connection.

    def connected(self) -> Session:
        """A new connection has been made; its session."""
        self.session = Session(self.link.login)
        self.session.greet()
        self.since = self._clock()
        return self.session

    def disconnected(self) -> None:
        """The connection is gone: what was not acknowledged will be delivered again, to anybody."""
        self.session = None
        self.blocked = self.paused = self.up = False
        self._again.clear()
        self._lost_consuming()
        self._lost_publishing()

    def event(self, event: Event) -> None:
        """Take what a session gave."""
        session = self.session
        if session is None:
            return
        match event:
            case Ready():
                session.open_channel(CONSUME)
                session.open_channel(PUBLISH)
            case Blocked():
                self._blocked(event)
            case ChannelEnded():
                self._channel_ended(event)
            case Incoming() if event.channel == CONSUME:
                self._consuming(session, event)
            case Incoming() if event.channel == PUBLISH:
                self._publishing(session, event)
            case Ended():
                pass  # the link sees the end, and says `disconnected`

    def after_batch(self) -> None:
        """Everything of a read has been taken: claims of it share one barrier."""
        if self._batch and self.session:
            for claim in self._batch:
                self._ack(claim.trigger.ref)  # type: ignore[arg-type]
            batch, self._batch = self._batch, []
            self._qos(batch)

    def _blocked(self, event: Blocked) -> None:
        self.blocked = event.on
        self.host.log(
            "warning" if event.on else "info",
            "broker-blocked" if event.on else "broker-unblocked",
            broker=self.link.name,
            why=event.reason,
            waiting=len(self.outbox),
        )
        self._pump()

    def _channel_ended(self, event: ChannelEnded) -> None:
        self.host.log(
            "error",
            "channel-closed",
            broker=self.link.name,
            channel="consume" if event.channel == CONSUME else "publish",
            code=event.code,
            why=event.text[:200],
        )
        self._again[event.channel] = self._clock() + AGAIN_S
        if event.channel == CONSUME:
            self.up = False
            self._lost_consuming()
        else:
            self._lost_publishing()

    def _lost_consuming(self) -> None:
        self.generation += 1
        self.parked.clear()
        self._told = 0
        claims = [claim for batch in [*self.barriers, self._batch] for claim in batch]
        self.barriers.clear()
        self._batch = []
        for claim in claims:
            # The broker may have processed the acknowledgement, then nobody else has the trigger; or not,
            # then another gateway may be running it by now.  Only one answer is true of both.
            self.replied(claim.trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))

    def _lost_publishing(self) -> None:
        """What is not confirmed goes out again, marked: it may have arrived."""
        self._confirming = False
        self.seq = 0
        again = list(self.flight.values())
        self.flight.clear()
        for out in reversed(again):
            out.tries += 1
            if out.tries >= TRIES:
                self._drop(out, "each try ended its channel or connection")
                continue
            if out.properties.headers is not None:
                out.properties.headers["repeated"] = True
            self.outbox.appendleft(out)

    def _consuming(self, session: Session, event: Incoming) -> None:
        match event.method:
            case codec.Deliver():
                self._delivery(event)
            case codec.ChannelOpenOk():
                self._set_up(session)
            case codec.QosOk():
                for claim in self.barriers.popleft() if self.barriers else ():
                    self._submit(claim.trigger, claim.at)
            case codec.ConsumeOk():
                self._freshness.mark_full(self._clock())
                if not self.up:
                    self.up = True
                    self.host.log("info", "broker-up", broker=self.link.name)
            case codec.Cancel():
                name = event.method.consumer_tag
                self.host.log("error", "consumer-cancelled", broker=self.link.name, consumer=name)
                session.close_channel(CONSUME)  # all of it is set up again, once the queue is there
                self._again[CONSUME] = self._clock() + AGAIN_S
                self.up = False
                self._lost_consuming()
            case _:
                pass  # declared, bound, cancelled

    def _set_up(self, session: Session) -> None:
        self._qos([])
        if self.link.dead_letter:
            session.send(CONSUME, codec.ExchangeDeclare(0, self.link.dead_letter, "topic", durable=True))
        for number, queue in enumerate(self.link.queues):
            arguments: codec.Table = {}
            if queue.dead_letter:
                arguments["x-dead-letter-exchange"] = queue.dead_letter
            if queue.max_priority:
                arguments["x-max-priority"] = queue.max_priority
            if queue.exchange and queue.declare:
                made = codec.ExchangeDeclare(0, queue.exchange, queue.exchange_type, durable=queue.durable)
                session.send(CONSUME, made)
            durable = queue.durable and queue.declare
            declare = codec.QueueDeclare(0, queue.name, not queue.declare, durable, arguments=arguments)
            session.send(CONSUME, declare)
            if queue.exchange and queue.declare:
                for key in queue.keys or ("#",):
                    session.send(CONSUME, codec.QueueBind(0, queue.name, queue.exchange, key))
            session.send(CONSUME, codec.Consume(0, queue.name, f"{self.link.name}-{number}"))

    def _room(self) -> int:
        """What the broker may leave unacknowledged: claimed triggers no longer count for it."""
        return max(1, min(65_535, self.prefetch.limit - self.claimed))

    def _qos(self, claims: list[Claim]) -> None:
        """Tell the broker how much it may give; its answer frees the claims that were acknowledged before.

        Global: one limit for all consumers of the channel, in force at once.
        """
        assert self.session
        self._told = self._room()
        self.session.send(CONSUME, codec.Qos(0, self._told, True))
        self.barriers.append(claims)

    # Triggers.

    def _delivery(self, event: Incoming) -> None:
        if self.resting or (self.claimed >= self.prefetch.limit and self.claimed):
            # Claimed ones no longer count for the broker's limit: the rest stays unacknowledged here.
            self.parked.append(event)
            self._freshness.mark_full(self._clock())
            return
        deliver, properties = event.method, event.properties
        assert isinstance(deliver, codec.Deliver) and properties
        self.counts.deliveries += 1
        self.counts.redelivered += deliver.redelivered
        now = self._clock()
        if self.open >= FULL * self.prefetch.limit:
            self._freshness.mark_full(now)
        ref = self.contract.ref(deliver, properties, (self, self.generation), now)
        try:
            if event.too_large:
                raise InvalidMessage(f"the body is larger than {self.link.login.most_body} bytes")
            trigger, age_ms = self.contract.read(
                deliver,
                properties,
                event.body,
                self.source,
                ref,
                self.host.wall_ms(),
                self._freshness.is_fresh(now),
            )
        except InvalidMessage as error:
            self._reject(event, ref, str(error))
            return
        if deliver.redelivered and (earlier := self.twins.get(twin(ref))):
            self._joins(ref, earlier)
            return
        if self.blocked and len(self.outbox) >= self.link.answers:
            self._requeue(ref)  # no answer could be kept: it stays with the broker
            return
        self.twins[twin(ref)] = ref
        effect = self.host.effect(trigger.request_class)
        ref.safe = effect is Effect.SAFE or effect is None
        if self.open >= self.link.open:
            trigger = replace(trigger, rejection=tr.TOO_MANY)
        elif self.blocked and len(self.outbox) >= self.link.answers / 2:
            trigger = replace(trigger, rejection=tr.BLOCKED)
        self.open += 1
        if ref.safe:
            self.host.submit(trigger)
            return
        link_us = int((now - self.since) * 1e6)
        age_us = None if age_ms is None else int(age_ms * 1e3)
        if may_have_run(Delivered(deliver.redelivered, age_us, link_us), self._alone, self.link.redelivered):
            self.counts.doubted += 1
            trigger = replace(trigger, maybe_seen_elsewhere=True)
        self.claimed += 1
        self._batch.append(Claim(trigger, now))

    def _joins(self, ref: Ref, twin: Ref) -> None:
        """Delivered again, and taken before over an earlier connection: one answer will do."""
        self.counts.twins += 1
        if twin.acked:
            self._ack(ref)
        else:
            twin.also.append(ref)

    def _submit(self, trigger: Trigger, at: float) -> None:
        spent = int((self._clock() - at) * 1e6)
        self.host.submit(replace(trigger, left_us=max(0, trigger.left_us - spent)))

    def _reject(self, event: Incoming, ref: Ref, why: str) -> None:
        deliver, properties = event.method, event.properties
        assert isinstance(deliver, codec.Deliver) and properties
        self.counts.rejected += 1
        self.host.log("warning", "malformed", source=self.source, key=deliver.routing_key[:120], error=why)
        if ref.reply:
            told = Answer(Kind.REFUSED, tr.MALFORMED, why.encode())
            self._answer(ref, told, acks=False)
        if not self.link.dead_letter:
            self._send(codec.Reject(ref.tag, False), ref)
            return
        headers = dict(properties.headers or {}) | {
            "x-swiftwell-reason": why,
            "x-swiftwell-exchange": deliver.exchange,
            "x-swiftwell-routing-key": deliver.routing_key,
            "x-swiftwell-gateway": self.link.login.name,
        }
        if properties.expiration is not None:
            headers["x-swiftwell-expiration"] = properties.expiration
        kept = replace(properties, headers=headers, expiration=None, user_id=None)
        out = Out("dead", self.link.dead_letter, deliver.routing_key, kept, event.body, ref)
        self.outbox.append(out)
        self._pump()

    def _requeue(self, ref: Ref) -> None:
        self.counts.requeued += 1
        if self.twins.get(twin(ref)) is ref:
            del self.twins[twin(ref)]  # it comes again as a trigger like any other
        self._send(codec.Nack(ref.tag, False, True), ref)

    def _send(self, method: codec.Method, ref: Ref) -> None:
        if self.session and ref.connection[1] == self.generation and not ref.acked:
            ref.acked = True
            self.session.send(CONSUME, method)
            self._wake()

    def _ack(self, ref: Ref) -> None:
        """Acknowledge a trigger and its later deliveries; tags of an earlier channel mean nothing."""
        for one in ref.also:
            self._ack(one)
        ref.also = []
        self._send(codec.Ack(ref.tag), ref)
        ref.acked = True

    # The host's words.

    def accepted(self, trigger: Trigger) -> None:
        """Taken; what has effects was acknowledged before."""

    def waits_again(self, ref: Ref) -> None:
        """An open trigger that another process had taken."""
        self.open += 1
        self.claimed += not ref.safe
        self.twins[twin(ref)] = ref

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """The final answer to a trigger."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        self.open -= 1
        self._ended += 1
        self.claimed -= not ref.safe
        if ref.reply:
            self._answer(ref, answer)
        else:
            self._done(ref)
        while self.parked and not self.resting and self.claimed < self.prefetch.limit:
            self._delivery(self.parked.popleft())
        self.after_batch()

    def _answer(self, ref: Ref, answer: Answer, acks: bool = True) -> None:
        if len(self.outbox) >= self.link.answers + self.link.open:
            self.counts.lost_answers += 1
            self.host.log("warning", "answer-dropped", source=self.source, reply=ref.reply, why="outbox full")
            if ref.safe and acks:
                self._requeue(ref)
            return
        self._number += 1
        properties, body = contract.answer(ref, answer, self._number)
        self.outbox.append(Out("answer", "", ref.reply, properties, body, ref if acks else None))
        self._pump()

    def _done(self, ref: Ref) -> None:
        """Nothing more is owed for a trigger; it is remembered for a while."""
        self._ack(ref)
        while len(self.twins) > TWINS:
            key, oldest = next(iter(self.twins.items()))
            if not oldest.acked:
                break
            del self.twins[key]

    # Publishing.

    def _pump(self) -> None:
        """Send what waits, as far as the broker takes it."""
        session = self.session
        if session is None or self.blocked or not self._confirming:
            return
        sent = False
        while self.outbox and len(self.flight) < WINDOW:
            out = self.outbox.popleft()
            try:
                method = codec.Publish(0, out.exchange, out.key, mandatory=True)
                session.publish(PUBLISH, method, out.properties, out.body)
            except ValueError as error:  # a reply-to of over 255 bytes can't come in; headers of ours could
                self._drop(out, str(error))
                continue
            self.seq += 1
            self.flight[self.seq] = out
            sent = True
            if not session.can_confirm:
                self._confirmed(self.seq, False, True)
        if sent:
            self._wake()

    def _publishing(self, session: Session, event: Incoming) -> None:
        match event.method:
            case codec.ChannelOpenOk():
                self.seq = 0
                if session.can_confirm:
                    session.send(PUBLISH, codec.ConfirmSelect())
                else:
                    self._confirming = True
                    self._pump()
            case codec.ConfirmSelectOk():
                self._confirming = True
                self._pump()
            case codec.Return():
                self._returned(event)
            case codec.Ack():
                self._confirmed(event.method.delivery_tag, event.method.multiple, True)
            case codec.Nack():
                self._confirmed(event.method.delivery_tag, event.method.multiple, False)
            case _:
                pass

    def _returned(self, event: Incoming) -> None:
        """Nobody takes it; its confirm follows."""
        number = event.properties.message_id if event.properties else None
        for out in self.flight.values():
            if out.properties.message_id == number and out.key == event.method.routing_key:  # type: ignore[attr-defined]
                out.returned = True
                return

    def _confirmed(self, tag: int, multiple: bool, ok: bool) -> None:
        numbers = [n for n in self.flight if n <= tag] if multiple else [tag]
        for number in numbers:
            out = self.flight.pop(number, None)
            if out is None:
                continue
            self.counts.confirms += 1
            if not ok:
                out.tries += 1
                if out.tries >= TRIES:
                    self._drop(out, "the broker would not take it")
                else:
                    # A broker that turns answers down is short of something: at once would be too soon.
                    wait = min(MOST_LATER_S, LATER_S * 2**out.tries)
                    self._number += 1
                    heapq.heappush(self.later, (self._clock() + wait, self._number, out))
            elif out.returned:
                self._undelivered(out)
            elif out.ref and out.kind != "dead":
                self._done(out.ref)
            elif out.ref:
                self._ack(out.ref)
        self._pump()

    def _undelivered(self, out: Out) -> None:
        """No queue took it: an answer whose asker is gone, or a dead letter without a place to go."""
        self.counts.unroutable += 1
        self.host.log(
            "warning", "answer-unroutable" if out.kind == "answer" else "dead-letter-unroutable",
            source=self.source, reply=out.key[:120], correlation=(out.properties.correlation_id or "")[:120],
        )  # fmt: skip
        if out.kind == "dead" and out.ref:
            self._send(codec.Reject(out.ref.tag, False), out.ref)  # the broker's own dead letters then
        elif out.kind == "answer" and self.link.unroutable:
            headers = dict(out.properties.headers or {}) | {"x-swiftwell-reply-to": out.key}
            self._number += 1
            kept = replace(out.properties, headers=headers, delivery_mode=2, message_id=str(self._number))
            self.outbox.append(Out("unroutable", "", self.link.unroutable, kept, out.body, out.ref))
        elif out.ref:
            self._done(out.ref)

    def _drop(self, out: Out, why: str) -> None:
        self.counts.lost_answers += 1
        self.host.log("warning", "answer-dropped", source=self.source, reply=out.key[:120], why=why)
        if out.ref is None:
            return
        if out.kind == "dead":
            self._send(codec.Reject(out.ref.tag, False), out.ref)
        elif out.ref.safe and not out.ref.acked:
            self._requeue(out.ref)
        else:
            self._done(out.ref)

    # Time.

    def look(self, now_us: int) -> None:
        """Every `prefetch.TICK_US`: how much to hold, channels to open again, pausing."""
        session = self.session
        running, waiting = self.host.load()
        ended, self._ended = self._ended, 0
        self.prefetch.look(now_us, self.open + len(self.parked), running, waiting, ended)
        if session is None or session.state != "ready":
            return
        for channel, at in list(self._again.items()):
            if self._clock() >= at and channel not in session.channels:
                del self._again[channel]
                session.open_channel(channel)
        while self.later and self.later[0][0] <= self._clock():
            self.outbox.append(heapq.heappop(self.later)[2])
        self._pump()
        if session.is_open(CONSUME) and self.up:
            self._pause(session)
            if self._room() != self._told and not self.resting:
                self._qos([])
        if session.out:
            self._wake()

    def _pause(self, session: Session) -> None:
        """While no answer goes out, triggers are left to other gateways."""
        full = self.blocked and len(self.outbox) >= self.link.answers / 2
        if full and not self.paused:
            self.paused = True
            for number in range(len(self.link.queues)):
                session.send(CONSUME, codec.Cancel(f"{self.link.name}-{number}"))
        elif self.paused and not self.blocked:
            self.paused = False
            for number, queue in enumerate(self.link.queues):
                session.send(CONSUME, codec.Consume(0, queue.name, f"{self.link.name}-{number}"))

    def rest(self, on: bool) -> None:
        """A handover begins: nothing new is claimed; or it has failed."""
        self.resting = on
        if not on:
            parked, self.parked = self.parked, deque()
            for event in parked:
                self._delivery(event)
            self.after_batch()
            self._wake()

    def sizes(self) -> dict[str, int]:
        """The size of everything held."""
        return {
            "amqp_open": self.open,
            "amqp_outbox": len(self.outbox) + len(self.later),
            "amqp_unconfirmed": len(self.flight),
            "amqp_twins": len(self.twins),
            "amqp_parked": len(self.parked),
            "amqp_prefetch": self.prefetch.limit,
        }


def twin(ref: Ref) -> tuple[str, str, str]:
    """What names a message over redeliveries; without any of it each delivery is its own."""
    if not (ref.correlation or ref.key):
        return ("", "", f"{ref.connection[1]}/{ref.tag}")
    return (ref.reply, ref.correlation, ref.key)
