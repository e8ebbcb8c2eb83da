"""Consumes the queues of one AMQP broker: turns deliveries into triggers and publishes answers.  No I/O.

When a trigger is acknowledged depends on whether its class is safe to repeat:

- Safe to repeat: after the broker has confirmed the answer.  If this gateway dies first, the broker delivers
  the trigger to another gateway.
- With effects: before it runs.  The consumer sends `basic.ack` and then `basic.qos` on the same channel.  As
  a broker processes the methods of a channel in order, `qos-ok` proves that it has processed the
  acknowledgement.  Only then is the trigger submitted, so a trigger that the broker delivers again has not
  run on any gateway (see redelivery.py).

Answers are published `mandatory`, in confirm mode, on a channel of their own, so that a channel error there
does not affect unacknowledged deliveries.  All limits come from the link's settings.
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
from swiftwell.fronts.amqp.redelivery import Delivery, RedeliveryPolicy, may_have_run
from swiftwell.fronts.amqp.session import Blocked, ChannelEnded, Ended, Event, Login, Ready, Session
from swiftwell.fronts.amqp.wire import Incoming
from swiftwell.fronts.host import Host
from swiftwell.fronts.message_reader import Freshness, InvalidMessage
from swiftwell.fronts.trigger import Answer, Kind, Trigger
from swiftwell.interface import Effect

CONSUME, PUBLISH = 1, 2  # channel numbers
MAX_UNCONFIRMED = 2_048  # messages published and not confirmed yet
MAX_PUBLISH_ATTEMPTS = 8  # per message; an attempt fails by a nack or by the end of its channel
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # after a nack; doubled by each attempt
MAX_KNOWN_TRIGGERS = 20_000  # remembered in order to detect redeliveries
NEARLY_FULL = 0.9  # of the prefetch limit; above it more messages may be waiting at the broker
REOPEN_DELAY_S = 1.0  # before a channel that was closed is opened again


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to consume.

    With `declare`, the queue is created if it is missing, and bound to `exchange` by `keys`.  Without it, the
    queue must exist.
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
    """The settings of one broker.

    `min_prefetch` and `max_prefetch` bound the prefetch limit.  `dead_letter` is the exchange for messages
    that can't be read, published with the reason in their headers; if it is "", they are rejected and the
    broker's own dead-lettering applies, without a reason.  `unroutable` is the queue for answers whose reply
    queue no longer exists.  `max_answers` bounds the answers that wait for the broker, `max_open` the
    triggers without an answer.
    """

    name: str
    addresses: tuple[tuple[str, int], ...]
    login: Login
    queues: tuple[Queue, ...]
    min_prefetch: int = 1
    max_prefetch: int = 65_535
    redelivered: RedeliveryPolicy = RedeliveryPolicy.KNOWN
    dead_letter: str = ""
    unroutable: str = ""
    max_answers: int = 10_000
    max_open: int = 10_000
    max_unsent_bytes: int = 1 << 24


@dataclass(slots=True, eq=False)
class OutgoingMessage:
    """A message to publish, new_properties until the broker confirms it.

    `kind` is "answer", "dead" (a dead letter) or "unroutable" (an answer that the broker returned).
    """

    kind: str
    exchange: str
    key: str
    properties: Properties
    body: bytes
    ref: Ref | None
    attempts: int = 0
    returned: bool = False


@dataclass(slots=True)
class PendingAck:
    """An acknowledged trigger whose acknowledgement the broker may not have processed yet.

    It is submitted once the broker has.  `received_at` is the time of its delivery.
    """

    trigger: Trigger
    received_at: float


@dataclass(slots=True)
class Counts:
    """Event counters."""

    deliveries: int = 0
    redelivered: int = 0
    duplicates: int = 0
    may_have_run: int = 0
    rejected: int = 0
    requeued: int = 0
    unroutable: int = 0
    lost_answers: int = 0
    confirms: int = 0


class Consumer:
    """The state of the link to one broker, which outlives its connections.

    `wake` is called when there is output to send.
    """

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
        self.prefetch = Prefetch(link.min_prefetch, link.max_prefetch)
        self.counts = Counts()
        self.session: Session | None = None
        self.generation = 0  # of the consume channel; delivery tags of earlier generations are invalid
        self.open_triggers = 0  # submitted, or waiting for the broker to process their ack
        self.acked_before_run = 0  # open triggers of classes with effects
        self.blocked = False  # the broker accepts no publications
        self.paused = False  # consuming is cancelled because answers can't be published
        self.up = False  # the broker has confirmed a consumer
        self.handover_paused = False
        self.connected_at = 0.0  # the time of the current connection
        self._announced_prefetch = 0  # the last prefetch count sent to the broker
        self._freshness = Freshness()
        self._answered_since_tick = 0  # answers since the last tick
        self.pending_acks: deque[list[PendingAck]] = deque()  # a batch for each `qos-ok` that is due
        self._current_batch: list[PendingAck] = []  # not acknowledged yet
        self.deferred: deque[Incoming] = deque()  # deliveries beyond the limit or during a handover
        self.outbox: deque[OutgoingMessage] = deque()
        self.unconfirmed: OrderedDict[int, OutgoingMessage] = OrderedDict()  # by delivery tag
        # A heap by time: messages that the broker has nacked, to be published again.
        self.delayed_retries: list[tuple[float, int, OutgoingMessage]] = []
        self.publish_seq = 0  # delivery tag of the last publication on the publish channel
        self._last_message_number = 0
        self._can_publish = False
        self._reopen_at: dict[int, float] = {}  # time to open a channel again, by channel number
        # Open and recently answered triggers, by message identity.
        self.known_triggers: OrderedDict[tuple[str, str, str], Ref] = OrderedDict()

    # The connection.

    def connected(self) -> Session:
        """Handle a new connection; returns its session."""
        self.session = Session(self.link.login)
        self.session.send_protocol_header()
        self.connected_at = self._clock()
        return self.session

    def disconnected(self) -> None:
        """Handle the end of the connection.

        The broker will deliver unacknowledged triggers again, possibly to another gateway.
        """
        self.session = None
        self.blocked = self.paused = self.up = False
        self._reopen_at.clear()
        self._reset_consume_channel()
        self._reset_publish_channel()

    def on_event(self, event: Event) -> None:
        """Handle an event of the session."""
        session = self.session
        if session is None:
            return
        match event:
            case Ready():
                session.open_channel(CONSUME)
                session.open_channel(PUBLISH)
            case Blocked():
                self._on_blocked(event)
            case ChannelEnded():
                self._on_channel_ended(event)
            case Incoming() if event.channel == CONSUME:
                self._on_consume_channel(session, event)
            case Incoming() if event.channel == PUBLISH:
                self._on_publish_channel(session, event)
            case Ended():
                pass  # the link notices the end too and calls `disconnected`

    def after_batch(self) -> None:
        """Acknowledge the triggers with effects of one socket read, with one `basic.qos` for all of them."""
        if self._current_batch and self.session:
            for entry in self._current_batch:
                self._ack(entry.trigger.ref)  # type: ignore[arg-type]
            batch, self._current_batch = self._current_batch, []
            self._send_qos(batch)

    def _on_blocked(self, event: Blocked) -> None:
        self.blocked = event.active
        self.host.log(
            "warning" if event.active else "info",
            "broker-blocked" if event.active else "broker-unblocked",
            broker=self.link.name,
            why=event.reason,
            waiting=len(self.outbox),
        )
        self._publish_waiting()

    def _on_channel_ended(self, event: ChannelEnded) -> None:
        self.host.log(
            "error",
            "channel-closed",
            broker=self.link.name,
            channel="consume" if event.channel == CONSUME else "publish",
            code=event.code,
            why=event.text[:200],
        )
        self._reopen_at[event.channel] = self._clock() + REOPEN_DELAY_S
        if event.channel == CONSUME:
            self.up = False
            self._reset_consume_channel()
        else:
            self._reset_publish_channel()

    def _reset_consume_channel(self) -> None:
        self.generation += 1
        self.deferred.clear()
        self._announced_prefetch = 0
        pending = [entry for batch in [*self.pending_acks, self._current_batch] for entry in batch]
        self.pending_acks.clear()
        self._current_batch = []
        for entry in pending:
            # If the broker has processed the acknowledgement, no other gateway has the trigger.  If not,
            # another gateway may already be running it.  "May have run" is correct in both cases.
            self.replied(entry.trigger, Answer(Kind.FAILED, tr.MAY_HAVE_RUN))

    def _reset_publish_channel(self) -> None:
        """Queue all unconfirmed messages again, marked as repeated: the broker may have received them."""
        self._can_publish = False
        self.publish_seq = 0
        unconfirmed = list(self.unconfirmed.values())
        self.unconfirmed.clear()
        for message in reversed(unconfirmed):
            message.attempts += 1
            if message.attempts >= MAX_PUBLISH_ATTEMPTS:
                self._drop(message, "each attempt ended with the loss of the channel or connection")
                continue
            if message.properties.headers is not None:
                message.properties.headers["repeated"] = True
            self.outbox.appendleft(message)

    def _on_consume_channel(self, session: Session, event: Incoming) -> None:
        match event.method:
            case codec.Deliver():
                self._on_delivery(event)
            case codec.ChannelOpenOk():
                self._declare_queues(session)
            case codec.QosOk():
                for entry in self.pending_acks.popleft() if self.pending_acks else ():
                    self._submit(entry.trigger, entry.received_at)
            case codec.ConsumeOk():
                self._freshness.mark_full(self._clock())
                if not self.up:
                    self.up = True
                    self.host.log("info", "broker-up", broker=self.link.name)
            case codec.Cancel():
                name = event.method.consumer_tag
                self.host.log("error", "consumer-cancelled", broker=self.link.name, consumer=name)
                session.close_channel(CONSUME)  # reopening it declares and consumes all queues again
                self._reopen_at[CONSUME] = self._clock() + REOPEN_DELAY_S
                self.up = False
                self._reset_consume_channel()
            case _:
                pass  # replies to declare, bind and cancel

    def _declare_queues(self, session: Session) -> None:
        self._send_qos([])
        if self.link.dead_letter:
            session.send(CONSUME, codec.ExchangeDeclare(0, self.link.dead_letter, "topic", durable=True))
        for number, queue in enumerate(self.link.queues):
            arguments: codec.Table = {}
            if queue.dead_letter:
                arguments["x-dead-letter-exchange"] = queue.dead_letter
            if queue.max_priority:
                arguments["x-max-priority"] = queue.max_priority
            if queue.exchange and queue.declare:
                exchange = codec.ExchangeDeclare(
                    0, queue.exchange, queue.exchange_type, durable=queue.durable
                )
                session.send(CONSUME, exchange)
            durable = queue.durable and queue.declare
            declare = codec.QueueDeclare(0, queue.name, not queue.declare, durable, arguments=arguments)
            session.send(CONSUME, declare)
            if queue.exchange and queue.declare:
                for key in queue.keys or ("#",):
                    session.send(CONSUME, codec.QueueBind(0, queue.name, queue.exchange, key))
            session.send(CONSUME, codec.Consume(0, queue.name, f"{self.link.name}-{number}"))

    def _prefetch_to_announce(self) -> int:
        """The prefetch count for the broker.

        Triggers acknowledged before they run are subtracted, as the broker no longer counts them.
        """
        return max(1, min(65_535, self.prefetch.limit - self.acked_before_run))

    def _send_qos(self, pending: list[PendingAck]) -> None:
        """Send the prefetch count; the `qos-ok` for it releases the triggers in `pending`.

        The count is global: one limit for all consumers of the channel, effective at once.
        """
        assert self.session
        self._announced_prefetch = self._prefetch_to_announce()
        self.session.send(CONSUME, codec.Qos(0, self._announced_prefetch, True))
        self.pending_acks.append(pending)

    # Triggers.

    def _on_delivery(self, event: Incoming) -> None:
        if self.handover_paused or (self.acked_before_run >= self.prefetch.limit and self.acked_before_run):
            # The broker does not count triggers that are acknowledged already, so it may deliver more than
            # the limit.  The surplus is kept unacknowledged.
            self.deferred.append(event)
            self._freshness.mark_full(self._clock())
            return
        deliver, properties = event.method, event.properties
        assert isinstance(deliver, codec.Deliver) and properties
        self.counts.deliveries += 1
        self.counts.redelivered += deliver.redelivered
        now = self._clock()
        if self.open_triggers >= NEARLY_FULL * self.prefetch.limit:
            self._freshness.mark_full(now)
        ref = self.contract.ref(deliver, properties, (self, self.generation), now)
        try:
            if event.too_large:
                raise InvalidMessage(f"the body is larger than {self.link.login.max_body_bytes} bytes")
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
        except Exception as error:  # concerns this message only
            self.host.record_failure("amqp-message", error)
            self._reject(event, ref, "it could not be processed")
            return
        if deliver.redelivered and (earlier := self.known_triggers.get(message_identity(ref))):
            self._join_known_trigger(ref, earlier)
            return
        if self.blocked and len(self.outbox) >= self.link.max_answers:
            self._requeue(ref)  # there is no room to keep its answer
            return
        self.known_triggers[message_identity(ref)] = ref
        effect = self.host.effect(trigger.request_class)
        ref.safe = effect is Effect.SAFE or effect is None
        if self.open_triggers >= self.link.max_open:
            trigger = replace(trigger, rejection=tr.TOO_MANY)
        elif self.blocked and len(self.outbox) >= self.link.max_answers / 2:
            trigger = replace(trigger, rejection=tr.BLOCKED)
        self.open_triggers += 1
        if ref.safe:
            self.host.submit(trigger)
            return
        connected_us = int((now - self.connected_at) * 1e6)
        age_us = None if age_ms is None else int(age_ms * 1e3)
        if may_have_run(
            Delivery(deliver.redelivered, age_us, connected_us), self._alone, self.link.redelivered
        ):
            self.counts.may_have_run += 1
            trigger = replace(trigger, maybe_seen_elsewhere=True)
        self.acked_before_run += 1
        self._current_batch.append(PendingAck(trigger, now))

    def _join_known_trigger(self, ref: Ref, earlier: Ref) -> None:
        """Handle a redelivery of a trigger known from an earlier connection: one answer serves both."""
        self.counts.duplicates += 1
        if earlier.acked:
            self._ack(ref)
        else:
            earlier.redeliveries.append(ref)

    def _submit(self, trigger: Trigger, received_at: float) -> None:
        spent_us = int((self._clock() - received_at) * 1e6)
        self.host.submit(replace(trigger, left_us=max(0, trigger.left_us - spent_us)))

    def _reject(self, event: Incoming, ref: Ref, reason: str) -> None:
        deliver, properties = event.method, event.properties
        assert isinstance(deliver, codec.Deliver) and properties
        self.counts.rejected += 1
        self.host.log("warning", "malformed", source=self.source, key=deliver.routing_key[:120], error=reason)
        if ref.reply:
            answer = Answer(Kind.REFUSED, tr.MALFORMED, reason.encode())
            self._answer(ref, answer, acks=False)
        if not self.link.dead_letter:
            self._send(codec.Reject(ref.tag, False), ref)
            return
        headers = dict(properties.headers or {}) | {
            "x-swiftwell-reason": reason,
            "x-swiftwell-exchange": deliver.exchange,
            "x-swiftwell-routing-key": deliver.routing_key,
            "x-swiftwell-gateway": self.link.login.name,
        }
        if properties.expiration is not None:
            headers["x-swiftwell-expiration"] = properties.expiration
        new_properties = replace(properties, headers=headers, expiration=None, user_id=None)
        message = OutgoingMessage(
            "dead", self.link.dead_letter, deliver.routing_key, new_properties, event.body, ref
        )
        self.outbox.append(message)
        self._publish_waiting()

    def _requeue(self, ref: Ref) -> None:
        self.counts.requeued += 1
        if self.known_triggers.get(message_identity(ref)) is ref:
            # Its redelivery is to be treated as a new trigger.
            del self.known_triggers[message_identity(ref)]
        self._send(codec.Nack(ref.tag, False, True), ref)

    def _send(self, method: codec.Method, ref: Ref) -> None:
        if self.session and ref.connection[1] == self.generation and not ref.acked:
            ref.acked = True
            self.session.send(CONSUME, method)
            self._wake()

    def _ack(self, ref: Ref) -> None:
        """Acknowledge a trigger and its redeliveries; delivery tags of an earlier channel are ignored."""
        for redelivery in ref.redeliveries:
            self._ack(redelivery)
        ref.redeliveries = []
        self._send(codec.Ack(ref.tag), ref)
        ref.acked = True

    # Calls from the host.

    def accepted(self, trigger: Trigger) -> None:
        """Do nothing: triggers with effects were acknowledged before they were submitted."""

    def restore_open_trigger(self, ref: Ref) -> None:
        """Register an open trigger that was received by the previous process."""
        self.open_triggers += 1
        self.acked_before_run += not ref.safe
        self.known_triggers[message_identity(ref)] = ref

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Publish the final answer to a trigger, or acknowledge the trigger if it wants none."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        self.open_triggers -= 1
        self._answered_since_tick += 1
        self.acked_before_run -= not ref.safe
        if ref.reply:
            self._answer(ref, answer)
        else:
            self._finish(ref)
        while self.deferred and not self.handover_paused and self.acked_before_run < self.prefetch.limit:
            self._on_delivery(self.deferred.popleft())
        self.after_batch()

    def _answer(self, ref: Ref, answer: Answer, acks: bool = True) -> None:
        if len(self.outbox) >= self.link.max_answers + self.link.max_open:
            self.counts.lost_answers += 1
            self.host.log("warning", "answer-dropped", source=self.source, reply=ref.reply, why="outbox full")
            if ref.safe and acks:
                self._requeue(ref)
            return
        self._last_message_number += 1
        properties, body = contract.answer(ref, answer, self._last_message_number)
        self.outbox.append(OutgoingMessage("answer", "", ref.reply, properties, body, ref if acks else None))
        self._publish_waiting()

    def _finish(self, ref: Ref) -> None:
        """Acknowledge a trigger whose answer is delivered; the oldest known triggers are forgotten."""
        self._ack(ref)
        while len(self.known_triggers) > MAX_KNOWN_TRIGGERS:
            key, oldest = next(iter(self.known_triggers.items()))
            if not oldest.acked:
                break
            del self.known_triggers[key]

    # Publishing.

    def _publish_waiting(self) -> None:
        """Publish messages of the outbox, up to `MAX_UNCONFIRMED` without a confirm."""
        session = self.session
        if session is None or self.blocked or not self._can_publish:
            return
        sent = False
        while self.outbox and len(self.unconfirmed) < MAX_UNCONFIRMED:
            message = self.outbox.popleft()
            try:
                method = codec.Publish(0, message.exchange, message.key, mandatory=True)
                session.publish(PUBLISH, method, message.properties, message.body)
            except ValueError as error:  # e.g. a header added here that exceeds 255 bytes; a reply-to can't
                self._drop(message, str(error))
                continue
            self.publish_seq += 1
            self.unconfirmed[self.publish_seq] = message
            sent = True
            if not session.supports_confirms:
                self._on_confirm(self.publish_seq, False, True)
        if sent:
            self._wake()

    def _on_publish_channel(self, session: Session, event: Incoming) -> None:
        match event.method:
            case codec.ChannelOpenOk():
                self.publish_seq = 0
                if session.supports_confirms:
                    session.send(PUBLISH, codec.ConfirmSelect())
                else:
                    self._can_publish = True
                    self._publish_waiting()
            case codec.ConfirmSelectOk():
                self._can_publish = True
                self._publish_waiting()
            case codec.Return():
                self._on_return(event)
            case codec.Ack():
                self._on_confirm(event.method.delivery_tag, event.method.multiple, True)
            case codec.Nack():
                self._on_confirm(event.method.delivery_tag, event.method.multiple, False)
            case _:
                pass

    def _on_return(self, event: Incoming) -> None:
        """Handle a message that the broker could not route; its confirm follows."""
        number = event.properties.message_id if event.properties else None
        for message in self.unconfirmed.values():
            if message.properties.message_id == number and message.key == event.method.routing_key:  # type: ignore[attr-defined]
                message.returned = True
                return

    def _on_confirm(self, tag: int, multiple: bool, ok: bool) -> None:
        tags = [n for n in self.unconfirmed if n <= tag] if multiple else [tag]
        for acked_tag in tags:
            message = self.unconfirmed.pop(acked_tag, None)
            if message is None:
                continue
            self.counts.confirms += 1
            if not ok:
                message.attempts += 1
                if message.attempts >= MAX_PUBLISH_ATTEMPTS:
                    self._drop(message, "the broker rejected it")
                else:
                    # A broker that nacks is short of resources, so an immediate retry would fail too.
                    delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**message.attempts)
                    self._last_message_number += 1
                    heapq.heappush(
                        self.delayed_retries, (self._clock() + delay_s, self._last_message_number, message)
                    )
            elif message.returned:
                self._on_unroutable(message)
            elif message.ref and message.kind != "dead":
                self._finish(message.ref)
            elif message.ref:
                self._ack(message.ref)
        self._publish_waiting()

    def _on_unroutable(self, message: OutgoingMessage) -> None:
        """Handle a returned message: an answer without a reply queue, or a dead letter without a queue."""
        self.counts.unroutable += 1
        self.host.log(
            "warning", "answer-unroutable" if message.kind == "answer" else "dead-letter-unroutable",
            source=self.source, reply=message.key[:120],
            correlation=(message.properties.correlation_id or "")[:120],
        )  # fmt: skip
        if message.kind == "dead" and message.ref:
            # Falls back to the broker's own dead-lettering.
            self._send(codec.Reject(message.ref.tag, False), message.ref)
        elif message.kind == "answer" and self.link.unroutable:
            headers = dict(message.properties.headers or {}) | {"x-swiftwell-reply-to": message.key}
            self._last_message_number += 1
            new_properties = replace(
                message.properties,
                headers=headers,
                delivery_mode=2,
                message_id=str(self._last_message_number),
            )
            self.outbox.append(
                OutgoingMessage(
                    "unroutable", "", self.link.unroutable, new_properties, message.body, message.ref
                )
            )
        elif message.ref:
            self._finish(message.ref)

    def _drop(self, message: OutgoingMessage, reason: str) -> None:
        self.counts.lost_answers += 1
        self.host.log("warning", "answer-dropped", source=self.source, reply=message.key[:120], why=reason)
        if message.ref is None:
            return
        if message.kind == "dead":
            self._send(codec.Reject(message.ref.tag, False), message.ref)
        elif message.ref.safe and not message.ref.acked:
            self._requeue(message.ref)
        else:
            self._finish(message.ref)

    # Time.

    def tick(self, now_us: int) -> None:
        """Update the prefetch limit, reopen channels, retry messages and pause or resume consuming.

        Called every `prefetch.TICK_US`.
        """
        session = self.session
        running, waiting = self.host.load()
        answered, self._answered_since_tick = self._answered_since_tick, 0
        self.prefetch.update(now_us, self.open_triggers + len(self.deferred), running, waiting, answered)
        if session is None or session.state != "ready":
            return
        for channel, reopen_at in list(self._reopen_at.items()):
            if self._clock() >= reopen_at and channel not in session.channels:
                del self._reopen_at[channel]
                session.open_channel(channel)
        while self.delayed_retries and self.delayed_retries[0][0] <= self._clock():
            self.outbox.append(heapq.heappop(self.delayed_retries)[2])
        self._publish_waiting()
        if session.is_open(CONSUME) and self.up:
            self._pause_or_resume(session)
            if self._prefetch_to_announce() != self._announced_prefetch and not self.handover_paused:
                self._send_qos([])
        if session.send_buffer:
            self._wake()

    def _pause_or_resume(self, session: Session) -> None:
        """Stop consuming while the broker blocks publications, so that other gateways take the triggers."""
        outbox_half_full = self.blocked and len(self.outbox) >= self.link.max_answers / 2
        if outbox_half_full and not self.paused:
            self.paused = True
            for number in range(len(self.link.queues)):
                session.send(CONSUME, codec.Cancel(f"{self.link.name}-{number}"))
        elif self.paused and not self.blocked:
            self.paused = False
            for number, queue in enumerate(self.link.queues):
                session.send(CONSUME, codec.Consume(0, queue.name, f"{self.link.name}-{number}"))

    def set_handover_paused(self, paused: bool) -> None:
        """Stop taking triggers while a handover is under way; resume if it has failed."""
        self.handover_paused = paused
        if not paused:
            deferred, self.deferred = self.deferred, deque()
            for event in deferred:
                self._on_delivery(event)
            self.after_batch()
            self._wake()

    def sizes(self) -> dict[str, int]:
        """Sizes of all collections, for the gateway's figures."""
        return {
            "amqp_open": self.open_triggers,
            "amqp_outbox": len(self.outbox) + len(self.delayed_retries),
            "amqp_unconfirmed": len(self.unconfirmed),
            "amqp_twins": len(self.known_triggers),
            "amqp_parked": len(self.deferred),
            "amqp_prefetch": self.prefetch.limit,
        }


def message_identity(ref: Ref) -> tuple[str, str, str]:
    """A key that identifies a message across redeliveries.

    A message without a correlation identifier and key gets a key of its own for each delivery.
    """
    if not (ref.correlation or ref.key):
        return ("", "", f"{ref.connection[1]}/{ref.tag}")
    return (ref.reply, ref.correlation, ref.key)
