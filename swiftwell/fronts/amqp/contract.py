"""The contract with publishers: converts AMQP messages to triggers and answers to AMQP messages.  No I/O.

The routing key is `PREFIX.TENANT.CLASS.FUNCTION`, where FUNCTION may consist of several words.  Dots in it
stand for the slashes of an MQTT topic, so that a function has the same name on both fronts.  The headers
`tenant`, `class` and `function` override the routing key, for publishers that address a queue by its name.
docs/amqp.md documents the contract in full.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from swiftwell.fronts.amqp.codec import Deliver, Properties
from swiftwell.fronts.message_reader import (
    FunctionHint,
    InvalidMessage,
    Message,
    MessageReader,
    answer_fields,
    numeric_fields,
    parse_address,
)
from swiftwell.fronts.trigger import Answer, Trigger

MAX_HEADERS = 64  # of a trigger
_NAMES = ("tenant", "class", "function")


@dataclass(slots=True, eq=False)
class Ref:
    """Where the answer to a trigger goes, and the delivery tag that acknowledges the trigger.

    `connection` is (consumer, generation).  `safe`: the class of the trigger is safe to repeat.
    """

    connection: Any
    tag: int
    reply: str
    correlation: str
    key: str = ""
    safe: bool = True
    acked: bool = False
    received_at: float = 0.0  # monotonic s
    redeliveries: list[Ref] = field(default_factory=list)  # later deliveries of the same message


def _text(value: object) -> str:
    return value if isinstance(value, str) else "" if value is None else str(value)


class Contract:
    """Converts the messages of one link.

    `prefix` is the first part of the routing key, separated by slashes as in the settings of all fronts.
    """

    def __init__(
        self,
        prefix: str,
        deadlines_ms: dict[str, float],
        hint: Callable[[str], FunctionHint],
        alone: bool = True,
    ) -> None:
        self._prefix = prefix.strip("/").split("/")
        self.reader = MessageReader(deadlines_ms, hint, False, alone)

    def ref(self, deliver: Deliver, properties: Properties, connection: Any, received_at: float) -> Ref:
        """The reference for the answer to a message, from its properties alone."""
        return Ref(
            connection,
            deliver.delivery_tag,
            properties.reply_to or "",
            properties.correlation_id or "",
            received_at=received_at,
        )

    def read(
        self,
        deliver: Deliver,
        properties: Properties,
        body: bytes,
        source: str,
        ref: Ref,
        now_ms: float,
        fresh: bool = True,
    ) -> tuple[Trigger, float | None]:
        """Convert a message to a trigger; returns its age in ms too, or None without a sending time.

        Fills in `ref.key`.  `fresh`: the message can't have waited at the broker.  Raises InvalidMessage.
        """
        headers = properties.headers or {}
        if len(headers) > MAX_HEADERS:
            raise InvalidMessage(f"more than {MAX_HEADERS} headers")
        address_headers = {name: _text(headers[name]) for name in _NAMES if name in headers}
        if len(address_headers) == len(_NAMES):
            tenant, request_class, function = (
                address_headers["tenant"],
                address_headers["class"],
                address_headers["function"],
            )
        else:
            tenant, request_class, function = parse_address(deliver.routing_key, self._prefix, ".")
            tenant, request_class = (
                address_headers.get("tenant", tenant),
                address_headers.get("class", request_class),
            )
            function = address_headers.get("function", function)
        if not (tenant and request_class and function):
            raise InvalidMessage("an empty tenant, class or function", True)
        numbers = numeric_fields(headers.items())
        if properties.timestamp is not None and "sent-ms" not in numbers:
            # The timestamp is truncated to seconds.  Its end is used, so that no message seems too old.
            numbers["sent-ms"] = properties.timestamp * 1_000.0 + 1_000.0
        ref.key = _text(headers.get("key")) or properties.message_id or ""
        expiry = _expiry(properties.expiration)
        sent_ms, publisher = numbers.get("sent-ms"), f"{tenant} {ref.reply}"
        if sent_ms is not None and "timeout-ms" not in numbers and expiry is not None:
            # A broker does not count the expiration down: it is the publisher's time-out since the sending.
            numbers["timeout-ms"], expiry = expiry, None
        message = Message(
            tenant, request_class, function, ref.key, body, numbers, publisher, expiry, deliver.redelivered,
            fresh=fresh,
        )  # fmt: skip
        age_ms = None if sent_ms is None else max(0.0, now_ms - sent_ms)
        return self.reader.trigger(message, source, ref, now_ms), age_ms


def _expiry(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise InvalidMessage(f"the expiration is not a number of ms: {text[:40]!r}")
    return float(text)


def answer(ref: Ref, answer_: Answer, number: int, repeated: bool = False) -> tuple[Properties, bytes]:
    """Convert an answer to properties and body; `number` identifies it when the broker returns it."""
    headers: dict[str, Any] = dict(answer_fields(answer_, ref.key))
    if repeated:
        headers["repeated"] = True  # it may have been received before a connection was lost
    properties = Properties(
        headers=headers, correlation_id=ref.correlation or None, message_id=str(number), delivery_mode=1
    )
    return properties, answer_.body
