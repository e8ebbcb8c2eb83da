"""The request and the answer in the form that all fronts share, whatever their protocol.

A front converts a message of its protocol into a `Trigger` and sends the `Answer` back.  Nothing here depends
on a protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """Whether an attempt, or a call, ran: derived from the socket and passed on up to the final answer."""

    NEVER = "never"
    MAYBE = "maybe"
    YES = "yes"


class Kind(Enum):
    """Kind of the final answer.

    SERVED: done.  REFUSED: not done, a retry is harmless.  FAILED: it may or may not have been done.
    """

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Trigger:
    """A publisher's call.

    `source` identifies the front's peer; `ref` is what that front needs to send the answer, opaque to all
    others.  `key` is the publisher's own identifier of the effect, "" if it gave none.  `left_us` is the time
    until the publisher times out, already corrected for clock skew.  `redelivered`: the publisher, a broker
    or the protocol says that the call may have been delivered before.  `maybe_seen_elsewhere`: another
    gateway may have received it, and may have run it.  `rejection`: the reason for which the front rejects
    the call; the ledger is still consulted, as a key that has run must not be refused.  `memory_mb`, `lanes`,
    `hint_us` and `load_us`: the memory, lanes, run time and load time that the function is expected to need.
    """

    source: str
    ref: object
    request_class: str
    tenant: str
    function: str
    key: str
    payload: bytes
    left_us: int
    redelivered: bool = False
    maybe_seen_elsewhere: bool = False
    rejection: str = ""
    memory_mb: float = 0.0
    lanes: int = 1
    hint_us: int = 0
    load_us: int = 0
    token: str = ""  # by which workers drop repeats, if the publisher gives one apart from `key`


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a trigger; `reason` is one of the reasons listed in docs/mqtt.md."""

    kind: Kind
    reason: str = ""
    body: bytes = b""
    wait_us: int = 0
    worker: str = ""
    attempts: int = 0


# Reasons that a final answer may give.  Fronts use no others.
OK = "ok"
NO_TIME = "no-time-left"
UNKNOWN_CLASS = "unknown-class"
NO_KEY = "key-required"
KEY_REUSED = "key-reused"
MAY_HAVE_RUN = "may-have-run"
NOT_RUN = "not-run"
LEDGER = "ledger-unavailable"
TOO_MANY = "too-many-calls"
SHED = "site-lost"  # a site is lost, and the plan rejects this class first
TOO_LARGE = "answer-too-large"
WORKER_ERROR = "worker-error"
STOPPING = "gateway-stopping"
UNSAFE_QOS = "unsafe-over-shared-qos-1"
MALFORMED = "malformed"
BLOCKED = "answers-blocked"
