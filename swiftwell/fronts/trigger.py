"""One shape of a call for every front: what a publisher asks, and what it is told in the end.

A front turns its protocol's message into a `Trigger` and carries `Answer` back.  Nothing here knows a
protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """What is known of an attempt, or of a call: it travels from the socket to the final answer."""

    NEVER = "never"
    MAYBE = "maybe"
    YES = "yes"


class Kind(Enum):
    """The final answer: done; not done and a retry is harmless; no promise either way."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Trigger:
    """A publisher's call.

    `source` names the front's peer and `ref` is whatever that front needs to answer it (opaque here).
    `key` is the
    publisher's own name of the effect, "" where it gave none.  `left_us` is the time until the publisher
    gives
    up, already corrected for clock skew.  `again` is set where the publisher, a broker or the protocol says
    that
    this may have been delivered before; `elsewhere` where another gateway may have been given it, and have
    run it.
    `turned`: the front turns it away for this reason; the ledger is still asked, as a key that has run is
    not refused.
    """

    source: str
    ref: object
    request_class: str
    tenant: str
    function: str
    key: str
    payload: bytes
    left_us: int
    again: bool = False
    elsewhere: bool = False
    turned: str = ""
    memory_mb: float = 0.0
    lanes: int = 1
    hint_us: int = 0
    load_us: int = 0
    token: str = ""  # under which workers drop repeats, where the publisher names it apart from `key`


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a trigger; `reason` is a word from the table in docs/mqtt.md."""

    kind: Kind
    reason: str = ""
    body: bytes = b""
    wait_us: int = 0
    worker: str = ""
    attempts: int = 0


# Reasons that a final answer may give.  The front adds none of its own beyond these.
OK = "ok"
NO_TIME = "no-time-left"
UNKNOWN_CLASS = "unknown-class"
NO_KEY = "key-required"
KEY_REUSED = "key-reused"
MAY_HAVE_RUN = "may-have-run"
NOT_RUN = "not-run"
LEDGER = "ledger-unavailable"
TOO_MANY = "too-many-calls"
SHED = "site-lost"  # a site is away, and the plan refuses this class first
TOO_LARGE = "answer-too-large"
WORKER_ERROR = "worker-error"
STOPPING = "gateway-stopping"
UNSAFE_QOS = "unsafe-over-shared-qos-1"
MALFORMED = "malformed"
BLOCKED = "answers-blocked"
