"""Usual clients beside bad ones that send requests at full speed: each is answered in its time.

What was seen: beside 300 connections with 32 small requests each, a quarter of the usual requests of 16 KB
got 408 or 503 over half a second after their time.  How it came about: reads that followed a full one took
turns, one in each iteration of the event loop; such a read held a dozen requests, other reads as many and
took no turn, and each request cost the gateway and its module a call before it was refused.  A turn came
after 0.5 to 2.7 s, and a body of 16 KB takes five.  What proved it: the waits in the line `figures`
(docs/incidents/0015).
"""

import os

import pytest
from floodbench import play_flood
from socketbench import run

FLOOD_S = float(os.environ.get("SWIFTWELL_FLOOD_S", "3"))


# Guards against: bytes that waited behind those of other clients for longer than their request's time.
@pytest.mark.parametrize(
    "kind, usual, body_bytes, half_core, on_new_connections",
    [
        ("small", 12, 16_000, False, False),
        ("small", 40, 100, True, False),
        ("bodies", 12, 16_000, True, False),
        ("withdrawn", 12, 16_000, False, False),
        ("health", 12, 16_000, False, True),
        ("no-full-read", 40, 16_000, False, False),
        ("new-connections", 12, 16_000, True, True),
        ("mixed", 40, 16_000, False, True),
        ("mixed", 12, 16_000, True, False),
    ],
)
def test_usual_requests_are_answered_in_their_time_beside_a_flood(
    tmp_path, kind, usual, body_bytes, half_core, on_new_connections
):
    async def main():
        play = await play_flood(tmp_path, kind, FLOOD_S, usual, body_bytes, half_core, on_new_connections)
        print(play.summary())
        assert play.answers and not play.late()
        assert all(answer.status for answer in play.answers if not on_new_connections)  # none was cut off

    run(main())
