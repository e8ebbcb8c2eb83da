"""What a trigger that was delivered before may do, on a queue that several gateways share.  No I/O.

A gateway runs a trigger of a class with effects only after its broker has processed the acknowledgement: it
acknowledges, asks something that the broker must answer on the same channel (methods of a channel are
processed in order), and waits for that answer.  So a broker that delivers such a trigger again has never seen
its acknowledgement, and no gateway has run it - unless the broker has lost the acknowledgement, by a crash or
a fail-over.  We would have lost our connection by that; one that has stood for longer than the trigger can
exist proves that nothing was lost in its time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SLACK_US = 5_000_000  # us: twice the clock skew of publishers (time_budget.MAX_SKEW_MS) and a second


class Redelivered(Enum):
    """What the settings allow: to run what is known not to have run, or nothing delivered before."""

    KNOWN = "known"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Delivered:
    """A trigger with effects as it came.

    `again`: the broker says that it was delivered before.  `age_us`: since its publisher sent it, as far as
    its clock can be believed; None where it does not tell.  `link_us`: for how long our connection has stood.
    """

    again: bool
    age_us: int | None
    link_us: int


def may_have_run(one: Delivered, alone: bool, allowed: Redelivered) -> bool:
    """Whether another gateway may have run it.

    >>> may_have_run(Delivered(True, 1_000_000, 60_000_000), False, Redelivered.KNOWN)
    False
    >>> may_have_run(Delivered(True, None, 60_000_000), False, Redelivered.KNOWN)
    True
    """
    if not one.again or alone:
        return False  # alone, our own ledger knows
    if allowed is Redelivered.NEVER or one.age_us is None:
        return True
    return one.link_us < one.age_us + SLACK_US
