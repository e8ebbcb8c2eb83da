"""The contract with publishers: converts MQTT messages to triggers and answers to MQTT messages.  No I/O.

The topic is `PREFIX/TENANT/CLASS/FUNCTION`, where FUNCTION may have several levels.  With MQTT 5.0, the other
fields are message properties and the payload is passed to the function; with 3.1.1, the payload is a JSON
envelope.  docs/mqtt.md documents the contract in full.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from swiftwell.fronts.message_reader import (
    FunctionHint,
    InvalidMessage,
    Message,
    MessageReader,
    answer_fields,
    numeric_fields,
    parse_address,
)
from swiftwell.fronts.mqtt.codec import V5, V311, Publish, Reason
from swiftwell.fronts.trigger import Answer, Kind, Trigger


class Rejected(Exception):
    """A message that is not a valid trigger; `reason` is sent to the publisher in the acknowledgement."""

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


@dataclass(slots=True)
class Ref:
    """Where the answer to a trigger goes.

    The front uses `connection`, a pair (peer, generation), and `id`, the packet identifier, to acknowledge
    the message.
    """

    version: int
    connection: Any
    id: int
    qos: int
    reply: str
    correlation: bytes | str | None
    key: str
    acked: bool = False
    redeliveries: list[Ref] = field(default_factory=list)  # later deliveries of the same message


class _Envelope(msgspec.Struct, forbid_unknown_fields=True):
    """The payload of a 3.1.1 trigger."""

    body: Any = None
    key: str = ""
    reply: str = ""
    correlation: str = ""
    timeout_ms: float | None = None
    deadline_ms: float | None = None
    sent_ms: float | None = None
    attempt: int = 0
    unanswered: int | None = None
    memory_mb: float | None = None
    lanes: int | None = None


_decode = msgspec.json.Decoder(_Envelope).decode
_encode = msgspec.json.Encoder().encode
_TRIGGER_PROPERTIES = frozenset({"response_topic", "correlation_data", "user"})


class Contract:
    """Converts the messages of one front.

    `prefix` is the first part of the topic, `deadlines_ms` the deadline of each class, and `hint` returns the
    settings of a function.  `direct`: messages come over the publishers' own connections.  `alone`: no other
    gateway runs the calls of these publishers.
    """

    def __init__(
        self,
        prefix: str,
        deadlines_ms: dict[str, float],
        hint: Callable[[str], FunctionHint],
        direct: bool,
        alone: bool = True,
    ) -> None:
        self._prefix = prefix.strip("/").split("/")
        self._direct = direct
        self._reader = MessageReader(deadlines_ms, hint, direct, alone)

    def ref(self, message: Publish, version: int, connection: Any, client: str) -> Ref:
        """The reference for the answer to a message, from its properties alone."""
        properties = message.properties
        if not self._direct and version == V5 and not properties.keys() & _TRIGGER_PROPERTIES:
            # A message that a 3.1.1 publisher sends through a 5.0 broker arrives without any property.
            version = V311
        reply = (
            properties.get("response_topic", "") if version == V5 else f"answers/{client}" if client else ""
        )
        correlation = properties.get("correlation_data")
        return Ref(version, connection, message.id, message.qos, reply, correlation, "")

    def read(self, message: Publish, source: str, ref: Ref, now_ms: float, fresh: bool = True) -> Trigger:
        """Convert a message to a trigger and complete `ref`.  Raises Rejected.

        `fresh`: the message can't have waited at a broker.
        """
        try:
            return self._read(message, source, ref, now_ms, fresh)
        except InvalidMessage as error:
            reason = Reason.TOPIC_INVALID if error.address else Reason.PAYLOAD_FORMAT
            raise Rejected(reason, str(error)) from None

    def _read(self, message: Publish, source: str, ref: Ref, now_ms: float, fresh: bool) -> Trigger:
        tenant, request_class, function = parse_address(message.topic, self._prefix, "/")
        if ref.version == V5:
            pairs = message.properties.get("user", [])
            numbers, payload = numeric_fields(pairs), message.payload
            ref.key = next((value for name, value in pairs if name == "key"), "")
        else:
            numbers, payload = self._envelope(message, ref)
        expiry = message.properties.get("message_expiry")
        trigger_message = Message(
            tenant,
            request_class,
            function,
            ref.key,
            payload,
            numbers,
            source if self._direct else f"{tenant} {ref.reply}",
            None if expiry is None else expiry * 1_000.0,
            message.dup,
            # DUP from a broker only means that the message is delivered again to the same session.
            self._direct and message.dup,
            fresh,
        )
        return self._reader.trigger(trigger_message, source, ref, now_ms)

    def _envelope(self, message: Publish, ref: Ref) -> tuple[dict[str, float], bytes]:
        try:
            envelope = _decode(message.payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise Rejected(Reason.PAYLOAD_FORMAT, f"the payload is not the JSON envelope: {error}") from None
        ref.key, ref.correlation = envelope.key, envelope.correlation
        if envelope.reply:
            if set(envelope.reply) & set("+#\0"):
                raise Rejected(Reason.TOPIC_INVALID, "reply is not a topic to publish to")
            ref.reply = envelope.reply
        envelope_fields = {
            "timeout-ms": envelope.timeout_ms,
            "deadline-ms": envelope.deadline_ms,
            "sent-ms": envelope.sent_ms,
            "memory-mb": envelope.memory_mb,
            "lanes": envelope.lanes,
            "attempt": envelope.attempt,
            "unanswered": envelope.unanswered,
        }
        numbers = numeric_fields(
            (name, value) for name, value in envelope_fields.items() if value is not None
        )
        body = envelope.body
        return numbers, body.encode() if isinstance(body, str) else b"" if body is None else _encode(body)


def answer(ref: Ref, answer_: Answer) -> Publish | None:
    """Convert an answer to a message; None if the trigger has no reply topic.

    The QoS is 0 if the trigger had QoS 0, and 1 otherwise.
    """
    if not ref.reply:
        return None
    qos = min(ref.qos, 1)
    if ref.version == V5:
        user = answer_fields(answer_, ref.key)
        properties: dict[str, Any] = {"user": user}
        if ref.correlation is not None:
            properties["correlation_data"] = ref.correlation
        return Publish(ref.reply, answer_.body, qos, properties=properties)
    try:
        body: Any = answer_.body.decode()
    except UnicodeDecodeError:
        body = {"base64": answer_.body}
    envelope = {"status": answer_.kind.value, "reason": answer_.reason, "key": ref.key, "body": body}
    envelope |= {"correlation": ref.correlation or "", "worker": answer_.worker}
    if answer_.wait_us:
        envelope["wait_ms"] = -(-answer_.wait_us // 1_000)
    return Publish(ref.reply, _encode(envelope), qos)


# Reason codes in the acknowledgement of a refused trigger (5.0 only; 3.1.1 has no reason codes).
_REFUSAL_CODES = {
    "no-time-left": Reason.IMPLEMENTATION,
    "unknown-class": Reason.TOPIC_INVALID,
    "key-required": Reason.PAYLOAD_FORMAT,
    "key-reused": Reason.IMPLEMENTATION,
    "too-many-calls": Reason.QUOTA,
    "unsafe-over-shared-qos-1": Reason.IMPLEMENTATION,
}


def reason_code(answer_: Answer) -> int:
    """The reason code of the acknowledgement that follows an answer."""
    if answer_.kind is not Kind.REFUSED:
        return Reason.OK
    return _REFUSAL_CODES.get(answer_.reason, Reason.QUOTA)
