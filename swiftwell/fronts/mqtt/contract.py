"""The contract with publishers: an MQTT message as a trigger, and an answer as an MQTT message.  No I/O.

Topic: `PREFIX/TENANT/CLASS/FUNCTION`, where FUNCTION may have further levels.  In 5.0 everything else
stands in
properties and the payload is the call's own; in 3.1.1 the payload is a JSON envelope.  docs/mqtt.md has it
whole.
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
    """A message that can't become a trigger; `reason` goes to the publisher with its acknowledgement."""

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


@dataclass(slots=True)
class Ref:
    """Where an answer goes; `connection` and `id` are the front's, to acknowledge the message."""

    version: int
    connection: Any
    id: int
    qos: int
    reply: str
    correlation: bytes | str | None
    key: str
    acked: bool = False
    also: list[Ref] = field(default_factory=list)  # later deliveries of the same message


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
_TELLING = frozenset({"response_topic", "correlation_data", "user"})


class Contract:
    """Reads triggers for one front.

    `deadlines_ms`: class to its deadline; `hint`: function to what the settings tell of it; `prefix`: the
    first topic levels; `direct`: messages come over the publishers' own connections; `alone`: no other
    gateway runs what these publishers send.
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
        """Where an answer to this message goes, as far as it can be read."""
        properties = message.properties
        if not self._direct and version == V5 and not properties.keys() & _TELLING:
            # Through a broker that speaks 5.0 with us a publisher's 3.1.1 message comes without any property.
            version = V311
        reply = (
            properties.get("response_topic", "") if version == V5 else f"answers/{client}" if client else ""
        )
        corr = properties.get("correlation_data")
        return Ref(version, connection, message.id, message.qos, reply, corr, "")

    def read(self, message: Publish, source: str, ref: Ref, now_ms: float, fresh: bool = True) -> Trigger:
        """A message as a trigger; completes `ref`.  `fresh`: it can't have waited for us at a broker.

        Raises Rejected.
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
            told, payload = numeric_fields(pairs), message.payload
            ref.key = next((value for name, value in pairs if name == "key"), "")
        else:
            told, payload = self._envelope(message, ref)
        expiry = message.properties.get("message_expiry")
        read = Message(
            tenant,
            request_class,
            function,
            ref.key,
            payload,
            told,
            source if self._direct else f"{tenant} {ref.reply}",
            None if expiry is None else expiry * 1_000.0,
            message.dup,
            # A broker's own mark (DUP) tells only that the same session is given a message again.
            self._direct and message.dup,
            fresh,
        )
        return self._reader.trigger(read, source, ref, now_ms)

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
        given = {
            "timeout-ms": envelope.timeout_ms,
            "deadline-ms": envelope.deadline_ms,
            "sent-ms": envelope.sent_ms,
            "memory-mb": envelope.memory_mb,
            "lanes": envelope.lanes,
            "attempt": envelope.attempt,
            "unanswered": envelope.unanswered,
        }
        told = numeric_fields((name, value) for name, value in given.items() if value is not None)
        body = envelope.body
        return told, body.encode() if isinstance(body, str) else b"" if body is None else _encode(body)


def answer(ref: Ref, told: Answer) -> Publish | None:
    """An answer as a message, of QoS 1 where the trigger had more than 0; None where nobody asked for one."""
    if not ref.reply:
        return None
    qos = min(ref.qos, 1)
    if ref.version == V5:
        user = answer_fields(told, ref.key)
        properties: dict[str, Any] = {"user": user}
        if ref.correlation is not None:
            properties["correlation_data"] = ref.correlation
        return Publish(ref.reply, told.body, qos, properties=properties)
    try:
        body: Any = told.body.decode()
    except UnicodeDecodeError:
        body = {"base64": told.body}
    envelope = {"status": told.kind.value, "reason": told.reason, "key": ref.key, "body": body}
    envelope |= {"correlation": ref.correlation or "", "worker": told.worker}
    if told.wait_us:
        envelope["wait_ms"] = -(-told.wait_us // 1_000)
    return Publish(ref.reply, _encode(envelope), qos)


# What the acknowledgement of a refused trigger says (5.0 only; 3.1.1 has no such codes).
_CODES = {
    "no-time-left": Reason.IMPLEMENTATION,
    "unknown-class": Reason.TOPIC_INVALID,
    "key-required": Reason.PAYLOAD_FORMAT,
    "key-reused": Reason.IMPLEMENTATION,
    "too-many-calls": Reason.QUOTA,
    "unsafe-over-shared-qos-1": Reason.IMPLEMENTATION,
}


def code(told: Answer) -> int:
    """The reason code that acknowledges a trigger with its answer."""
    if told.kind is not Kind.REFUSED:
        return Reason.OK
    return _CODES.get(told.reason, Reason.QUOTA)
