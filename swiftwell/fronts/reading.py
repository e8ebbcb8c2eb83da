"""What every front reads in a message and writes in an answer: one set of names, bounds and rules.  No I/O.

A front takes its protocol's message apart: the words of its address, named values as text, the payload, and
what the protocol tells of repeats and expiry.  The rest is here, so that the same call asked over two fronts
is the same call to the engine and its ledger.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swiftwell.fronts.patience import Skew, Told, left_us
from swiftwell.fronts.trigger import Answer, Trigger

MOST_KEY = 200  # characters of a publisher's key
MOST_LEVELS = 16  # words of an address
ROOM_S = 0.25  # s of room after which a broker has nothing left that waits for us
NUMBERS = ("timeout-ms", "deadline-ms", "sent-ms", "memory-mb", "lanes", "attempt", "unanswered")


class Unreadable(Exception):
    """A message that can't become a trigger; `address`: because of where it was sent."""

    def __init__(self, text: str, address: bool = False) -> None:
        super().__init__(text)
        self.address = address


@dataclass(frozen=True, slots=True)
class FunctionHint:
    """What the settings tell of functions that a pattern names."""

    memory_mb: float = 0.0
    lanes: int = 1
    hint_us: int = 0
    load_us: int = 0


@dataclass(slots=True)
class Message:
    """A message taken apart.

    `numbers`: what it names of `NUMBERS`; `publisher`: whose clock it tells; `expiry_ms`: what is left of it
    by the protocol's own word; `repeated`: the protocol says that it was delivered before; `elsewhere`: and
    that another gateway may have had it; `fresh`: it can't have waited for us at a broker.
    """

    tenant: str
    request_class: str
    function: str
    key: str
    payload: bytes
    numbers: dict[str, float]
    publisher: str
    expiry_ms: float | None = None
    repeated: bool = False
    elsewhere: bool = False
    fresh: bool = True


class Freshness:
    """Whether what a broker gives now can have waited there for us: it can't once we have had room for a
    while, as the broker would have given it before."""

    def __init__(self) -> None:
        self._full_at = 0.0

    def full(self, now: float) -> None:
        """We have no room, or begin to take."""
        self._full_at = now

    def fresh(self, now: float) -> bool:
        """Whether room has stood for long enough."""
        return now - self._full_at > ROOM_S


def address(text: str, prefix: list[str], separator: str) -> tuple[str, str, str]:
    """Tenant, class and function in an address of words; raises Unreadable.

    >>> address("calls.t.c.heat.f1", ["calls"], ".")
    ('t', 'c', 'heat/f1')
    """
    words = text.split(separator)
    count = len(prefix)
    if words[:count] != prefix or len(words) < count + 3 or not all(words):
        wanted = separator.join([*prefix, "TENANT", "CLASS", "FUNCTION"])
        name = "topic" if separator == "/" else "routing key"
        raise Unreadable(f"the {name} is not {wanted}", True)
    if len(words) > MOST_LEVELS:
        raise Unreadable(f"the address has more than {MOST_LEVELS} levels", True)
    return words[count], words[count + 1], "/".join(words[count + 2 :])


def numbers(pairs: Iterable[tuple[str, object]]) -> dict[str, float]:
    """The named numbers among named values, as text or as numbers; raises Unreadable."""
    found = {}
    for name, value in pairs:
        if name in NUMBERS:
            try:
                found[name] = float(value)  # type: ignore[arg-type]
            except (TypeError, ValueError, OverflowError):
                found[name] = math.nan
            if not math.isfinite(found[name]) or found[name] < 0:
                raise Unreadable(f"{name} is not a number: {str(value)[:40]!r}")
    return found


class Reader:
    """Makes triggers for one front.

    `deadlines_ms`: class to its deadline; `hint`: function to what the settings tell of it; `direct`:
    messages come over the publishers' own connections; `alone`: no other gateway runs what these publishers
    send.
    """

    def __init__(
        self,
        deadlines_ms: dict[str, float],
        hint: Callable[[str], FunctionHint],
        direct: bool,
        alone: bool,
    ) -> None:
        self._deadlines, self._hint = deadlines_ms, hint
        self.direct, self.alone = direct, alone
        self.skew = Skew()

    def deadline_ms(self, request_class: str) -> float:
        """The deadline of a class; a minute for one that is unknown."""
        return self._deadlines.get(request_class, 0.0) or 60_000.0

    def trigger(self, message: Message, source: str, ref: object, now_ms: float) -> Trigger:
        """The trigger that a message asks for; raises Unreadable."""
        if len(message.key) > MOST_KEY:
            raise Unreadable(f"the key is longer than {MOST_KEY} characters")
        given = message.numbers
        told = Told(
            given.get("timeout-ms"), given.get("deadline-ms"), given.get("sent-ms"), message.expiry_ms
        )
        most = self.deadline_ms(message.request_class)
        left = left_us(told, most, message.publisher, now_ms, self.direct, self.skew, message.fresh)
        hint = self._hint(message.function)
        attempt, unanswered = given.get("attempt") or 0, given.get("unanswered")
        # A publisher that has tried before and does not say that it was refused may have been heard
        # elsewhere.
        doubted = attempt > 0 if unanswered is None else unanswered > 0
        return Trigger(
            source=source,
            ref=ref,
            request_class=message.request_class,
            tenant=message.tenant,
            function=message.function,
            key=message.key,
            payload=message.payload,
            left_us=left,
            redelivered=message.repeated or attempt > 0,
            maybe_seen_elsewhere=not self.alone and (doubted or message.elsewhere),
            memory_mb=given.get("memory-mb") or hint.memory_mb,
            lanes=int(given.get("lanes") or hint.lanes),
            hint_us=hint.hint_us,
            load_us=hint.load_us,
        )


def told(answer: Answer, key: str) -> list[tuple[str, str]]:
    """What an answer says beside its body, by name."""
    out = [("status", answer.kind.value), ("reason", answer.reason)]
    if answer.wait_us:
        out.append(("wait-ms", str(-(-answer.wait_us // 1_000))))
    if answer.worker:
        out.append(("worker", answer.worker))
    if key:
        out.append(("key", key))
    return out
