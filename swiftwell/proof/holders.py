"""The rule `one_holder`, from what a resource wrote down and from nothing else.  No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from swiftwell.standins.resource import Act


def one_holder(acts: Sequence[Act]) -> tuple[int, int]:
    """Acts of two holders that overlap, and acts with an older token after a newer one was seen.

    An act whose link ended is over at the resource then.
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
    """For each change of holder, us from the last act of the one to the first of the next."""
    ordered = sorted(acts, key=lambda act: act.began)
    out, last = [], None
    for act in ordered:
        if last is not None and act.who != last.who:
            out.append(float(max(0, act.began - (last.ended or last.began))))
        last = act
    return out
