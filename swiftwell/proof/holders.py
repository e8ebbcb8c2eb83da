"""Checks the rule `one_holder` against the acts that the stand-in resource recorded.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from swiftwell.standins.resource import Act


def count_holder_breaches(acts: Sequence[Act]) -> tuple[int, int]:
    """Counts overlaps of acts of different holders, and acts with an older token after a newer one.

    For the resource, an act ends at the latest when its connection ends.
    """
    overlaps = stale = 0
    ordered = sorted(acts, key=lambda act: act.began)
    highest_token = 0
    for index, act in enumerate(ordered):
        stale += act.token < highest_token
        highest_token = max(highest_token, act.token)
        for other in ordered[index + 1 :]:
            if act.ended and other.began >= act.ended:
                break
            overlaps += other.who != act.who
    return overlaps, stale


def holder_gaps(acts: Sequence[Act]) -> list[float]:
    """For each change of holder, the microseconds from the end of the last act of the previous holder to the
    first act of the next."""
    ordered = sorted(acts, key=lambda act: act.began)
    result, previous = [], None
    for act in ordered:
        if previous is not None and act.who != previous.who:
            result.append(float(max(0, act.began - (previous.ended or previous.began))))
        previous = act
    return result
