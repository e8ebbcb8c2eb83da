"""One router's list of a zone: joins the replicated log, its lease and the turns at the service.  No I/O.

`list_follower` runs it on sockets, lab/zone in virtual time.
"""

from __future__ import annotations

from dataclasses import dataclass

from swiftwell.fleet.node import FleetNode
from swiftwell.starting.list_reader import ListReader, LogView, QueryMode


@dataclass(frozen=True, slots=True)
class ListActions:
    """What is to be done now."""

    rows: dict[str, bytes] | None = None  # a new list that another router has read
    reader_alive: bool = False  # its reader has sent a heartbeat
    query: QueryMode = QueryMode.NONE  # start a session at the service
    stop: bool = False  # end our session
    stepped_down: bool = False  # another router is the reader now


class ZoneList:
    """`log_name` names the replicated log; `rate`: queries a second of all who share it without a reader."""

    def __init__(self, node: FleetNode, log_name: str, rate: float, now: int) -> None:
        self.node, self.log, self.lease = node, node.replicated_logs[log_name], node.writer_lease(log_name)
        group = tuple(sorted((*self.log.others, node.settings.me)))
        self.reader = ListReader(node.settings.me, group, log_name, rate, node.settings.period_us, now)
        self.rows: dict[str, bytes] = {}  # last list that we read
        self._heartbeat_at = 0

    def step(self, now: int, wall_ms: int, session_running: bool) -> ListActions:
        """Called periodically; `session_running`: our session at the service is open."""
        log, reader = self.log, self.reader
        rows = None
        if log.changed:
            log.changed = False
            rows = None if log.is_writer else log.entries()
        reader_alive = not log.is_writer and log.heartbeat_at > self._heartbeat_at
        if reader_alive:
            self._heartbeat_at = log.heartbeat_at
        if self.lease.wanted != reader.is_reader:
            self.node.set_lease_wanted(now, self.lease.name, reader.is_reader)
        was_reader, holds_lease = reader.is_reader, self.lease.holds(now)
        heartbeat_at = log.heartbeat_at if log.generation else None
        members = self.node.members
        living = None if members.local_health else frozenset(members.alive())
        view = LogView(
            log.generation, not log.is_writer, heartbeat_at, log.newer_seen_at, log.received_at, living
        )
        query = reader.step(now, holds_lease, view)
        stepped_down = was_reader and not reader.is_reader
        if session_running and not stepped_down and reader.is_reader:
            if not log.is_writer:
                self.write(now, wall_ms)  # another router's generation replaced ours: write a higher one
            elif now - log.heartbeat_at >= log.period_us:
                log.raise_heartbeat(now)
        return ListActions(
            rows, reader_alive, QueryMode.NONE if session_running else query, stepped_down, stepped_down
        )

    def on_service_list(self, now: int, wall_ms: int, rows: dict[str, bytes]) -> None:
        """The service has answered us; raises ValueError where the list can't be replicated."""
        self.rows = rows
        self.reader.on_answer()
        self.write(now, wall_ms)

    def write(self, now: int, wall_ms: int) -> None:
        """Write the list that we read last to the replicated log; raises ValueError."""
        self.log.write(now, wall_ms, self.rows)
