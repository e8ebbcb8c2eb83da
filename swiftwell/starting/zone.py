"""One router's list of a zone: its board, the board's lease and its turns at the service, joined.  No I/O.

`follow` carries it out on sockets, lab/zone in virtual time.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fleet.node import FleetNode
from swiftwell.starting.list_reader import Ask, Reading, Seen


@dataclass(frozen=True, slots=True)
class What:
    """What is to be done now."""

    rows: dict[str, bytes] | None = None  # a list of another's that is new here
    fresh: bool = False  # its reader has given a sign of life
    ask: Ask = Ask.NOT  # begin a session at the service
    stop: bool = False  # end ours
    gave_way: bool = False  # to another reader


class ZoneList:
    """`board` names the board; `rate`: questions a second of all who share it, while nobody reads."""

    def __init__(self, node: FleetNode, board: str, rate: float, now: int) -> None:
        self.node, self.board, self.lease = node, node.replicated_logs[board], node.writer_lease(board)
        group = tuple(sorted((*self.board.others, node.settings.me)))
        self.reading = Reading(node.settings.me, group, board, rate, node.settings.period_us, now)
        self.rows: dict[str, bytes] = {}  # read by us, last
        self._beat_at = 0

    def look(self, now: int, wall_ms: int, running: bool) -> What:
        """Now and then; `running`: a session of ours at the service goes on."""
        board, reading = self.board, self.reading
        rows = None
        if board.changed:
            board.changed = False
            rows = None if board.is_writer else board.entries()
        fresh = not board.is_writer and board.heartbeat_at > self._beat_at
        if fresh:
            self._beat_at = board.heartbeat_at
        if self.lease.wanted != reading.reader:
            self.node.set_lease_wanted(now, self.lease.name, reading.reader)
        was, holds = reading.reader, self.lease.holds(now)
        beat_at = board.heartbeat_at if board.generation else None
        members = self.node.members
        living = None if members.local_health else frozenset(members.alive())
        seen = Seen(
            board.generation, not board.is_writer, beat_at, board.newer_seen_at, board.received_at, living
        )
        ask = reading.look(now, holds, seen)
        gave_way = was and not reading.reader
        if running and not gave_way and reading.reader:
            if not board.is_writer:
                self.write(now, wall_ms)  # another edition came between: ours goes above it
            elif now - board.heartbeat_at >= board.period_us:
                board.raise_heartbeat(now)
        return What(rows, fresh, Ask.NOT if running else ask, gave_way, gave_way)

    def told(self, now: int, wall_ms: int, rows: dict[str, bytes]) -> None:
        """The service has answered us; raises ValueError where the list can't be passed on."""
        self.rows = rows
        self.reading.answered()
        self.write(now, wall_ms)

    def write(self, now: int, wall_ms: int) -> None:
        """Put up what we read last; raises ValueError."""
        self.board.write(now, wall_ms, self.rows)
