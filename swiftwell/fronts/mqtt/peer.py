"""The other side of a session that sends triggers: a client of our listener, or a broker.  Shared by both
roles.

It turns messages into triggers, acknowledges them at the right moment, and carries answers back:

- a class that is safe to repeat is acknowledged with its final answer, which makes the Receive Maximum a
bound on
  calls in flight and has a broker deliver it again if the gateway dies;
- a class with effects is acknowledged when its intent is on disk: from there on the ledger answers for it.

An answer is sent before the acknowledgement of its trigger, so that a kill between the two repeats and
loses none.
"""

from __future__ import annotations

import time
from dataclasses import replace

from swiftwell.fronts import trigger as tr
from swiftwell.fronts.host import Host
from swiftwell.fronts.message_reader import Freshness
from swiftwell.fronts.mqtt import contract
from swiftwell.fronts.mqtt.codec import Ack, Packet, Publish, Reason, Type, encode
from swiftwell.fronts.mqtt.connection import Connection
from swiftwell.fronts.mqtt.contract import Contract, Ref, Rejected
from swiftwell.fronts.mqtt.session import Session
from swiftwell.fronts.trigger import Answer, Kind, Trigger
from swiftwell.interface import Effect

FULL = 0.9  # of the Receive Maximum: beyond it a broker may have more for us


class Peer:
    """One session with its current connection, if any.

    `most_open`: triggers without an answer at a time, QoS 0 included.  `shared`: the messages come through
    a shared
    subscription, so that others may be given what we did not acknowledge.
    """

    def __init__(
        self, host: Host, contract_: Contract, source: str, client: str, session: Session, most_open: int,
        shared: bool = False,
    ) -> None:  # fmt: skip
        self.host, self.contract, self.source, self.client = host, contract_, source, client
        self.session, self.most_open, self.shared = session, most_open, shared
        self.connection: Connection | None = None
        self.generation = 0
        self.open = 0
        self.lost_answers = 0
        self._freshness = Freshness()
        self._twins: dict[
            tuple[str, bytes | str | None], Ref
        ] = {}  # open triggers by where their answer goes

    def attach(self, connection: Connection) -> None:
        """The session goes on over a new connection."""
        self.generation += 1
        self.connection = connection
        self._freshness.mark_full(time.monotonic())

    def detach(self, connection: Connection) -> None:
        """The connection has ended."""
        if self.connection is connection:
            self.connection = None
            self.session.inbox.disconnected()

    def send(self, packets: list[Packet]) -> None:
        """Write packets, if there is a connection."""
        if self.connection and packets:
            self.connection.send(packets)

    def acks(self, packet: Ack) -> None:
        """Take an acknowledgement, in either direction."""
        if packet.type is Type.PUBREL:
            self.send(list(self.session.inbox.released(packet)))
        else:
            self.send(list(self.session.outbox.acked(packet)))

    def message(self, message: Publish) -> None:
        """Take a message; a new one becomes a trigger, or is turned away."""
        fresh, at_once = self.session.inbox.take(message)
        self.send(list(at_once))
        if fresh:
            self.trigger(message, self.connection.version if self.connection else 5)

    def trigger(self, message: Publish, version: int) -> None:
        """Read a message as a trigger and submit it."""
        now, inbox = time.monotonic(), self.session.inbox
        if len(inbox) >= FULL * inbox.window:
            self._freshness.mark_full(now)
        ref = self.contract.ref(message, version, (self, self.generation), self.client)
        try:
            trigger = self.contract.read(
                message, self.source, ref, self.host.wall_ms(), self._freshness.is_fresh(now)
            )
        except Rejected as error:
            self.host.log(
                "warning", "malformed", source=self.source, topic=message.topic[:120], error=str(error)
            )
            self._respond(ref, Answer(Kind.REFUSED, tr.MALFORMED, str(error).encode()))
            self._ack(ref, error.reason)
            return
        if message.dup and ref.reply and (twin := self._twins.get((ref.reply, ref.correlation))):
            # Delivered again while its call is open: one answer will do, and both deliveries are
            # acknowledged.
            twin.also.append(ref)
            if twin.acked:
                self._ack(ref, Reason.OK)
            return
        self.open += 1
        if ref.correlation:
            self._twins[ref.reply, ref.correlation] = ref
        unsafe = self.host.effect(trigger.request_class) is Effect.UNSAFE
        if self.open > self.most_open:
            trigger = replace(trigger, rejection=tr.TOO_MANY)
        elif self.shared and unsafe and message.qos == 1:
            # A broker may give a message of QoS 1 whose acknowledgement was lost to another gateway, as a
            # new one:
            # its ledger could not know.  QoS 2 is delivered to one member of the group only.
            trigger = replace(trigger, rejection=tr.UNSAFE_QOS)
        self.host.submit(trigger)

    def accepted(self, trigger: Trigger) -> None:
        """An effect's intent is on disk: the message may be acknowledged."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        if self.host.effect(trigger.request_class) is not Effect.SAFE:
            self._ack(ref, Reason.OK)

    def waits_again(self, ref: Ref) -> None:
        """An open trigger that another process had taken."""
        self.open += 1
        if ref.correlation:
            self._twins[ref.reply, ref.correlation] = ref

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Carry the final answer back."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        self.open -= 1
        if self._twins.get((ref.reply, ref.correlation)) is ref:
            del self._twins[ref.reply, ref.correlation]
        self._respond(ref, answer)
        self._ack(ref, contract.code(answer))

    def _respond(self, ref: Ref, answer: Answer) -> None:
        message = contract.answer(ref, answer)
        if message is None:
            return
        connection = self.connection
        if (
            connection
            and connection.peer_most
            and len(encode(message, connection.version)) > connection.peer_most
        ):
            # The client said that it takes no such packet: it is told so, not left without an answer.
            message = contract.answer(ref, replace(answer, kind=Kind.FAILED, reason=tr.TOO_LARGE, body=b""))
            assert message is not None
        if message.qos == 0 and self.connection is None:
            self.lost_answers += 1
            return
        room, now = self.session.outbox.put(message)
        if room:
            self.send(list(now))
        else:
            self.lost_answers += 1
            self.host.log("warning", "answer-dropped", source=self.source, reply=ref.reply, why="outbox full")

    def _ack(self, ref: Ref, reason: int) -> None:
        for one in ref.also:
            self._ack(one, reason)
        if ref.acked:
            return
        ref.acked = True
        if (
            ref.connection[1] == self.generation
        ):  # identifiers of an earlier connection mean nothing on this one
            self.send(list(self.session.inbox.done(ref.id, reason)))


class Answers:
    """The `Front` protocol for both MQTT roles: answers find their way by the trigger's own reference."""

    def accepted(self, trigger: Trigger) -> None:
        trigger.ref.connection[0].accepted(trigger)  # type: ignore[attr-defined]

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        trigger.ref.connection[0].replied(trigger, answer)  # type: ignore[attr-defined]
