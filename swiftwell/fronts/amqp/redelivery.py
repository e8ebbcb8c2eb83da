"""Decides whether a redelivered trigger may have run, on a queue that several gateways consume.  No I/O.

A gateway runs a trigger of a class with effects only after the broker has processed its acknowledgement: it
acknowledges, sends a method that the broker must answer on the same channel (the methods of a channel are
processed in order), and waits for the answer.  A broker that delivers such a trigger again has therefore not
seen the acknowledgement, and no gateway has run the trigger, unless the broker lost the acknowledgement in a
crash or fail-over.  That would also have ended this gateway's connection.  So a connection that is older than
the trigger proves that no acknowledgement was lost since the trigger was sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SLACK_US = 5_000_000  # twice the clock skew of publishers (time_budget.MAX_SKEW_MS) and a second


class RedeliveryPolicy(Enum):
    """Which redelivered triggers may run: those known not to have run, or none."""

    KNOWN = "known"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Delivery:
    """A delivered trigger of a class with effects.

    `redelivered` is the broker's flag.  `age_us` is the time since the publisher sent the trigger, subject to
    the publisher's clock, or None if the publisher does not state it.  `connected_us` is the age of the
    connection to the broker.
    """

    redelivered: bool
    age_us: int | None
    connected_us: int


def may_have_run(delivery: Delivery, alone: bool, policy: RedeliveryPolicy) -> bool:
    """Whether another gateway may have run the trigger.

    >>> may_have_run(Delivery(True, 1_000_000, 60_000_000), False, RedeliveryPolicy.KNOWN)
    False
    >>> may_have_run(Delivery(True, None, 60_000_000), False, RedeliveryPolicy.KNOWN)
    True
    """
    if not delivery.redelivered or alone:
        return False  # a single gateway has every run in its own ledger
    if policy is RedeliveryPolicy.NEVER or delivery.age_us is None:
        return True
    return delivery.connected_us < delivery.age_us + SLACK_US
