"""The message fields that all fronts share: their names, limits and rules.  No I/O.

A front parses its protocol's message: the levels of its address, named values as text, the payload, and the
protocol's own marks of redelivery and expiry.  The rest is here, so that the same call over two fronts is the
same call to the engine and its ledger.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swiftwell.fronts.time_budget import ClockSkew, TimeFields, left_us
from swiftwell.fronts.trigger import Answer, Trigger

MAX_KEY_CHARACTERS = 200  # of a publisher's key
MAX_ADDRESS_LEVELS = 16
FRESH_AFTER_S = 0.25  # with room for this long, a broker has delivered all that waited for us
NUMERIC_FIELDS = ("timeout-ms", "deadline-ms", "sent-ms", "memory-mb", "lanes", "attempt", "unanswered")


class InvalidMessage(Exception):
    """A message that can't become a trigger; `address`: because of its address."""

    def __init__(self, text: str, address: bool = False) -> None:
        super().__init__(text)
        self.address = address


@dataclass(frozen=True, slots=True)
class FunctionHint:
    """Defaults from the settings for the functions that match a pattern."""

    memory_mb: float = 0.0
    lanes: int = 1
    hint_us: int = 0
    load_us: int = 0


@dataclass(slots=True)
class Message:
    """A parsed message.

    `numbers`: its values of `NUMERIC_FIELDS`; `publisher`: whose clock its times follow; `expiry_ms`: what is
    left of it by the protocol's own expiry; `redelivered`: the protocol says that it was delivered before;
    `maybe_seen_elsewhere`: another gateway may have received it; `fresh`: it can't have waited for us at a
    broker.
    """

    tenant: str
    request_class: str
    function: str
    key: str
    payload: bytes
    numbers: dict[str, float]
    publisher: str
    expiry_ms: float | None = None
    redelivered: bool = False
    maybe_seen_elsewhere: bool = False
    fresh: bool = True


class Freshness:
    """Whether a message that a broker delivers now can have waited there for us.

    It can't if we have had room for `FRESH_AFTER_S`, as the broker would have delivered it before.
    """

    def __init__(self) -> None:
        self._full_at = 0.0

    def mark_full(self, now: float) -> None:
        """Note that there is no room for messages now, or that delivery is only starting."""
        self._full_at = now

    def is_fresh(self, now: float) -> bool:
        """Whether there has been room for long enough."""
        return now - self._full_at > FRESH_AFTER_S


def parse_address(text: str, prefix: list[str], separator: str) -> tuple[str, str, str]:
    """Split an address into tenant, class and function; raises InvalidMessage.

    >>> parse_address("calls.t.c.heat.f1", ["calls"], ".")
    ('t', 'c', 'heat/f1')
    """
    levels = text.split(separator)
    count = len(prefix)
    if levels[:count] != prefix or len(levels) < count + 3 or not all(levels):
        wanted = separator.join([*prefix, "TENANT", "CLASS", "FUNCTION"])
        name = "topic" if separator == "/" else "routing key"
        raise InvalidMessage(f"the {name} is not {wanted}", True)
    if len(levels) > MAX_ADDRESS_LEVELS:
        raise InvalidMessage(f"the address has more than {MAX_ADDRESS_LEVELS} levels", True)
    return levels[count], levels[count + 1], "/".join(levels[count + 2 :])


def numeric_fields(pairs: Iterable[tuple[str, object]]) -> dict[str, float]:
    """The values of `NUMERIC_FIELDS` among named values, given as text or numbers; raises InvalidMessage."""
    found = {}
    for name, value in pairs:
        if name in NUMERIC_FIELDS:
            try:
                found[name] = float(value)  # type: ignore[arg-type]
            except (TypeError, ValueError, OverflowError):
                found[name] = math.nan
            if not math.isfinite(found[name]) or found[name] < 0:
                raise InvalidMessage(f"{name} is not a number: {str(value)[:40]!r}")
    return found


class MessageReader:
    """Creates the triggers of one front.

    `deadlines_ms`: the deadline of each class; `hint`: looks up the defaults of a function; `direct`:
    messages come over the publishers' own connections; `sole_gateway`: no other gateway runs what these
    publishers send.
    """

    def __init__(
        self,
        deadlines_ms: dict[str, float],
        hint: Callable[[str], FunctionHint],
        direct: bool,
        sole_gateway: bool,
    ) -> None:
        self._deadlines, self._hint = deadlines_ms, hint
        self.direct, self.sole_gateway = direct, sole_gateway
        self.skew = ClockSkew()

    def deadline_ms(self, request_class: str) -> float:
        """The deadline of a class; a minute for an unknown class."""
        return self._deadlines.get(request_class, 0.0) or 60_000.0

    def trigger(self, message: Message, source: str, ref: object, now_ms: float) -> Trigger:
        """Create the trigger of a message; raises InvalidMessage."""
        if len(message.key) > MAX_KEY_CHARACTERS:
            raise InvalidMessage(f"the key is longer than {MAX_KEY_CHARACTERS} characters")
        numbers = message.numbers
        times = TimeFields(
            numbers.get("timeout-ms"), numbers.get("deadline-ms"), numbers.get("sent-ms"), message.expiry_ms
        )
        limit_ms = self.deadline_ms(message.request_class)
        left = left_us(times, limit_ms, message.publisher, now_ms, self.direct, self.skew, message.fresh)
        hint = self._hint(message.function)
        attempt, unanswered = numbers.get("attempt") or 0, numbers.get("unanswered")
        # A publisher that has tried before, and does not say that all its attempts were answered, may have
        # reached another gateway.
        unanswered_before = attempt > 0 if unanswered is None else unanswered > 0
        return Trigger(
            source=source,
            ref=ref,
            request_class=message.request_class,
            tenant=message.tenant,
            function=message.function,
            key=message.key,
            payload=message.payload,
            left_us=left,
            redelivered=message.redelivered or attempt > 0,
            maybe_seen_elsewhere=not self.sole_gateway
            and (unanswered_before or message.maybe_seen_elsewhere),
            memory_mb=numbers.get("memory-mb") or hint.memory_mb,
            lanes=int(numbers.get("lanes") or hint.lanes),
            hint_us=hint.hint_us,
            load_us=hint.load_us,
        )


def answer_fields(answer: Answer, key: str) -> list[tuple[str, str]]:
    """The named fields of an answer, apart from its body."""
    fields = [("status", answer.kind.value), ("reason", answer.reason)]
    if answer.wait_us:
        fields.append(("wait-ms", str(-(-answer.wait_us // 1_000))))
    if answer.worker:
        fields.append(("worker", answer.worker))
    if key:
        fields.append(("key", key))
    return fields
