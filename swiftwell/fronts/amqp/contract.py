"""The contract with publishers: an AMQP message as a trigger, and an answer as an AMQP message.  No I/O.

Routing key: `PREFIX.TENANT.CLASS.FUNCTION`, where FUNCTION may have further words; a dot stands for the slash
of an MQTT topic, so one function has one name on both fronts.  The headers `tenant`, `class` and `function`
go before it, for publishers that write to a queue by its name.  docs/amqp.md has it whole.
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

MOST_HEADERS = 64  # headers of a trigger
_NAMES = ("tenant", "class", "function")


@dataclass(slots=True, eq=False)
class Ref:
    """Where an answer goes, and what acknowledges its trigger.  `connection` is (consumer, generation)."""

    connection: Any
    tag: int
    reply: str
    correlation: str
    key: str = ""
    safe: bool = True
    acked: bool = False
    arrived: float = 0.0  # monotonic s
    also: list[Ref] = field(default_factory=list)  # later deliveries of the same message


def _text(value: object) -> str:
    return value if isinstance(value, str) else "" if value is None else str(value)


class Contract:
    """Reads triggers for one link.  `prefix`: the first words of the routing key, separated by slashes as in
    the settings of all fronts."""

    def __init__(
        self,
        prefix: str,
        deadlines_ms: dict[str, float],
        hint: Callable[[str], FunctionHint],
        alone: bool = True,
    ) -> None:
        self._prefix = prefix.strip("/").split("/")
        self.reader = MessageReader(deadlines_ms, hint, False, alone)

    def ref(self, deliver: Deliver, properties: Properties, connection: Any, arrived: float) -> Ref:
        """Where an answer to this message goes, as far as it can be read."""
        return Ref(
            connection,
            deliver.delivery_tag,
            properties.reply_to or "",
            properties.correlation_id or "",
            arrived=arrived,
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
        """A message as a trigger, and its age in ms where it tells when it was sent; completes `ref`.

        `fresh`: it can't have waited for us at the broker.  Raises InvalidMessage.
        """
        headers = properties.headers or {}
        if len(headers) > MOST_HEADERS:
            raise InvalidMessage(f"more than {MOST_HEADERS} headers")
        named = {name: _text(headers[name]) for name in _NAMES if name in headers}
        if len(named) == len(_NAMES):
            tenant, request_class, function = named["tenant"], named["class"], named["function"]
        else:
            tenant, request_class, function = parse_address(deliver.routing_key, self._prefix, ".")
            tenant, request_class = named.get("tenant", tenant), named.get("class", request_class)
            function = named.get("function", function)
        if not (tenant and request_class and function):
            raise InvalidMessage("an empty tenant, class or function", True)
        given = numeric_fields(headers.items())
        if properties.timestamp is not None and "sent-ms" not in given:
            # Whole seconds, cut off: taken at their end, or a message would seem older than it is.
            given["sent-ms"] = properties.timestamp * 1_000.0 + 1_000.0
        ref.key = _text(headers.get("key")) or properties.message_id or ""
        expiry = _expiry(properties.expiration)
        sent, publisher = given.get("sent-ms"), f"{tenant} {ref.reply}"
        if sent is not None and "timeout-ms" not in given and expiry is not None:
            # A broker does not count its expiration down: it is the publisher's patience, from when it sent.
            given["timeout-ms"], expiry = expiry, None
        message = Message(
            tenant, request_class, function, ref.key, body, given, publisher, expiry, deliver.redelivered,
            fresh=fresh,
        )  # fmt: skip
        age = None if sent is None else max(0.0, now_ms - sent)
        return self.reader.trigger(message, source, ref, now_ms), age


def _expiry(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise InvalidMessage(f"the expiration is not a number of ms: {text[:40]!r}")
    return float(text)


def answer(ref: Ref, given: Answer, number: int, repeated: bool = False) -> tuple[Properties, bytes]:
    """An answer as properties and body; `number` finds it again when the broker returns it."""
    headers: dict[str, Any] = dict(answer_fields(given, ref.key))
    if repeated:
        headers["repeated"] = True  # it may have come before: a connection was lost with it in flight
    properties = Properties(
        headers=headers, correlation_id=ref.correlation or None, message_id=str(number), delivery_mode=1
    )
    return properties, given.body
