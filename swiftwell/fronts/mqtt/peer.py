"""The peer of a session that sends triggers: a client of the endpoint, or a broker.

It converts messages to triggers, sends answers, and acknowledges messages depending on the class:

- A class that is safe to repeat is acknowledged with its final answer.  The Receive Maximum thereby bounds
  the calls in flight, and a broker delivers the message again if the gateway dies.
- A class with effects is acknowledged when its intent is on disk; from then on the ledger is responsible.

An answer is sent before the acknowledgement of its trigger, so that a crash between the two may repeat the
answer but can't lose it.
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

NEARLY_FULL = 0.9  # of the Receive Maximum; above it more messages may be waiting at the broker


class Peer:
    """One session with its current connection, if any.

    `max_open` bounds the triggers without an answer, QoS 0 included.  `shared`: messages come through a
    shared subscription, so that the broker may deliver unacknowledged ones to other gateways.
    """

    def __init__(
        self, host: Host, contract_: Contract, source: str, client: str, session: Session, max_open: int,
        shared: bool = False,
    ) -> None:  # fmt: skip
        self.host, self.contract, self.source, self.client = host, contract_, source, client
        self.session, self.max_open, self.shared = session, max_open, shared
        self.connection: Connection | None = None
        self.generation = 0
        self.open_triggers = 0
        self.lost_answers = 0
        self._freshness = Freshness()
        # By reply topic and correlation data.
        self._open_triggers_by_reply: dict[tuple[str, bytes | str | None], Ref] = {}

    def attach(self, connection: Connection) -> None:
        """Resume the session on a new connection."""
        self.generation += 1
        self.connection = connection
        self._freshness.mark_full(time.monotonic())

    def detach(self, connection: Connection) -> None:
        """Handle the end of a connection."""
        if self.connection is connection:
            self.connection = None
            self.session.inbox.disconnected()

    def send(self, packets: list[Packet]) -> None:
        """Write packets, if there is a connection."""
        if self.connection and packets:
            self.connection.send(packets)

    def on_ack(self, packet: Ack) -> None:
        """Handle an acknowledgement of either direction."""
        if packet.type is Type.PUBREL:
            self.send(list(self.session.inbox.on_pubrel(packet)))
        else:
            self.send(list(self.session.outbox.on_ack(packet)))

    def on_publish(self, message: Publish) -> None:
        """Handle a message; a new one is submitted as a trigger, or rejected."""
        is_new, acks = self.session.inbox.receive(message)
        self.send(list(acks))
        if is_new:
            self.submit_trigger(message, self.connection.version if self.connection else 5)

    def submit_trigger(self, message: Publish, version: int) -> None:
        """Convert a message to a trigger and submit it."""
        now, inbox = time.monotonic(), self.session.inbox
        if len(inbox) >= NEARLY_FULL * inbox.window:
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
            self._send_answer(ref, Answer(Kind.REFUSED, tr.MALFORMED, str(error).encode()))
            self._ack(ref, error.reason)
            return
        except Exception as error:  # concerns this message only
            self.host.record_failure("mqtt-message", error)
            self._send_answer(ref, Answer(Kind.REFUSED, tr.MALFORMED))
            self._ack(ref, Reason.UNSPECIFIED)
            return
        if (
            message.dup
            and ref.reply
            and (open_ref := self._open_triggers_by_reply.get((ref.reply, ref.correlation)))
        ):
            # A redelivery while the call is open: one answer serves both, and both are acknowledged.
            open_ref.redeliveries.append(ref)
            if open_ref.acked:
                self._ack(ref, Reason.OK)
            return
        self.open_triggers += 1
        if ref.correlation:
            self._open_triggers_by_reply[ref.reply, ref.correlation] = ref
        unsafe = self.host.effect(trigger.request_class) is Effect.UNSAFE
        if self.open_triggers > self.max_open:
            trigger = replace(trigger, rejection=tr.TOO_MANY)
        elif self.shared and unsafe and message.qos == 1:
            # If the acknowledgement of a QoS 1 message is lost, a broker may deliver the message as a new one
            # to another gateway, whose ledger does not know it.  A QoS 2 message is delivered to one member
            # of the group only.
            trigger = replace(trigger, rejection=tr.UNSAFE_QOS)
        self.host.submit(trigger)

    def accepted(self, trigger: Trigger) -> None:
        """Acknowledge the message of a class with effects: its intent is on disk."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        if self.host.effect(trigger.request_class) is not Effect.SAFE:
            self._ack(ref, Reason.OK)

    def restore_open_trigger(self, ref: Ref) -> None:
        """Register an open trigger that was received by the previous process."""
        self.open_triggers += 1
        if ref.correlation:
            self._open_triggers_by_reply[ref.reply, ref.correlation] = ref

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Send the final answer and acknowledge the trigger."""
        ref: Ref = trigger.ref  # type: ignore[assignment]
        self.open_triggers -= 1
        if self._open_triggers_by_reply.get((ref.reply, ref.correlation)) is ref:
            del self._open_triggers_by_reply[ref.reply, ref.correlation]
        self._send_answer(ref, answer)
        self._ack(ref, contract.reason_code(answer))

    def _send_answer(self, ref: Ref, answer: Answer) -> None:
        message = contract.answer(ref, answer)
        if message is None:
            return
        connection = self.connection
        if (
            connection
            and connection.peer_max_packet_bytes
            and len(encode(message, connection.version)) > connection.peer_max_packet_bytes
        ):
            # The client accepts no packet of this size: send an answer that says so instead of none.
            message = contract.answer(ref, replace(answer, kind=Kind.FAILED, reason=tr.TOO_LARGE, body=b""))
            assert message is not None
        if message.qos == 0 and self.connection is None:
            self.lost_answers += 1
            return
        accepted, packets = self.session.outbox.enqueue(message)
        if accepted:
            self.send(list(packets))
        else:
            self.lost_answers += 1
            self.host.log("warning", "answer-dropped", source=self.source, reply=ref.reply, why="outbox full")

    def _ack(self, ref: Ref, reason: int) -> None:
        for redelivery in ref.redeliveries:
            self._ack(redelivery, reason)
        if ref.acked:
            return
        ref.acked = True
        # Packet identifiers of an earlier connection are not valid on this one.
        if ref.connection[1] == self.generation:
            self.send(list(self.session.inbox.acknowledge(ref.id, reason)))


class AnswerRouter:
    """Implements the `Front` protocol for both MQTT roles: passes answers to the peer in `trigger.ref`."""

    def accepted(self, trigger: Trigger) -> None:
        """Pass on that a trigger has been accepted."""
        trigger.ref.connection[0].accepted(trigger)  # type: ignore[attr-defined]

    def replied(self, trigger: Trigger, answer: Answer) -> None:
        """Pass on the final answer."""
        trigger.ref.connection[0].replied(trigger, answer)  # type: ignore[attr-defined]
