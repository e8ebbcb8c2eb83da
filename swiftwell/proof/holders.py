"""Checks the rule `one_holder` against the acts that the stand-in resource recorded.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from swiftwell.standins.resource import Act


def one_holder(acts: Sequence[Act]) -> tuple[int, int]:
    """Counts overlaps of acts of different holders, and acts with an older token after a newer one.

    For the resource, an act ends at the latest when its connection ends.
    """
    overlaps = older = 0
    ordered = sorted(acts, key=lambda act: act.began)
    highest = 0
    for at, act in enumerate(ordered):
        older += act.token < highest
        highest = max(highest, act.token)
        for other in ordered[at + 1 :]:
            if act.ended and other.began >= act.ended:
                break
            overlaps += other.who != act.who
    return overlaps, older


def gaps(acts: Sequence[Act]) -> list[float]:
    """For each change of holder, the microseconds from the end of the last act of the previous holder to the
    first act of the next."""
    ordered = sorted(acts, key=lambda act: act.began)
    out, last = [], None
    for act in ordered:
        if last is not None and act.who != last.who:
            out.append(float(max(0, act.began - (last.ended or last.began))))
        last = act
    return out
