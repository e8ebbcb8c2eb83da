"""Reads the list of workers for the others of a zone, or follows one that does: joins the list service, the
zone's board and `lists.Reading` on the loop.  Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from swiftwell import interface as io
from swiftwell.discovery.sources import ListService
from swiftwell.fleet.board import Board
from swiftwell.fleet.link import FleetLink
from swiftwell.fronts.host import Backoff
from swiftwell.gateway.clock import Clock
from swiftwell.http.client import Unreachable
from swiftwell.settings.document import SettingsError
from swiftwell.starting.lists import Ask, Reading, Seen

LOOK_S = 0.05  # s between two looks: a step of the fleet

_States = {io.State.READY: 0, io.State.DRAINING: 1}
_STATES = {number: state for state, number in _States.items()}


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A worker as it stands on a board; its start is wall-clock ms, 0 where it is untold."""

    state: int
    kind: str
    zone: str
    cell: int
    started_ms: float


_row = msgspec.msgpack.Decoder(Row).decode


def rows(entries: tuple[io.WorkerEntry, ...], wall_of: Callable[[int], float]) -> dict[str, bytes]:
    """A list as a board takes it."""
    return {
        one.worker: msgspec.msgpack.encode(
            Row(_States[one.state], one.kind, one.zone, one.cell, round(wall_of(one.started_us), 3))
        )
        for one in entries
        if one.state in _States
    }


def entries(rows: dict[str, bytes], started: Callable[[float], int]) -> tuple[io.WorkerEntry, ...]:
    """A board's rows as a list; what can't be read is left out."""
    out = []
    for worker, raw in rows.items():
        try:
            one = _row(raw)
        except msgspec.DecodeError:
            continue
        if one.state in _STATES:
            out.append(
                io.WorkerEntry(
                    worker, _STATES[one.state], one.kind, 1.0, started(one.started_ms), one.zone, one.cell
                )
            )
    return tuple(out)


def seen(board: Board) -> Seen:
    """What a board shows to `Reading`."""
    beat_at = board.beat_at if board.edition else None
    return Seen(board.edition, not board.writing, beat_at, board.coming_at, board.heard_at)


class Follower:
    """One router's list, from the service or from the zone's board.

    `tell` gets whole lists; `service` tells its own to `told`.
    """

    def __init__(
        self,
        link: FleetLink,
        board: str,
        rate: float,
        clock: Clock,
        tell: Callable[[io.Members], None],
        log: Callable[..., None],
        backoff: Backoff,
    ) -> None:
        self._link, self._clock, self._tell, self._log, self._backoff = link, clock, tell, log, backoff
        self._board = link.node.boards[board]
        self._lease = link.node.board_lease(board)
        told, group = link.node.told, (*self._board.others, link.node.told.me)
        self.reading = Reading(
            told.me, tuple(sorted(group)), board, rate, told.period_us, link.now_us()
        )  # fmt: skip
        self._last: dict[str, bytes] = {}
        self._session: asyncio.Task[None] | None = None
        self._beat_at = 0
        self._rest_until = 0.0
        self.service: ListService | None = None

    def told(self, members: io.Members) -> None:
        """The service's list, read by us: for ourselves at once, and for the others."""
        self._tell(members)
        self._last = rows(members.entries, self._clock.wall_of)
        self._answered()
        self._write()

    def _write(self) -> None:
        try:
            self._board.write(self._link.now_us(), int(self._clock.wall_ms()), self._last)
        except ValueError as error:  # then nobody hears a beat, and each reads for itself
            self._log("error", "list-not-passed-on", why=str(error))
            return
        self._link.stir()

    def _answered(self) -> None:
        if not self.reading.reader:
            self._log("info", "list-reader", reading=True, lease=self._lease.holds(self._link.now_us()))
        self.reading.answered()

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                self._look()
                await asyncio.sleep(LOOK_S)
        finally:
            self._stop()

    def _look(self) -> None:
        now, board, reading = self._link.now_us(), self._board, self.reading
        service = self.service
        assert service
        if board.changed:
            board.changed = False
            if not board.writing:
                listed = entries(board.entries(), self._clock.started_us)
                self._tell(io.Members(io.ListKind.FULL, listed))
        if not board.writing and board.beat_at > self._beat_at:
            self._beat_at = board.beat_at
            service.heard_at = time.monotonic()  # for the saved list, and for peers that ask
        if self._lease.wanted != reading.reader:
            self._link.node.want(now, self._lease.name, reading.reader)
        holds = self._lease.holds(now)
        was = reading.reader
        what = reading.look(now, holds, seen(board))
        if was and not reading.reader:
            self._log("info", "list-reader", reading=False, lease=holds)
            self._stop()
        running = self._session is not None and not self._session.done()
        if not running and what is not Ask.NOT and time.monotonic() >= self._rest_until:
            reading.asked(now)
            self._session = asyncio.ensure_future(self._read(service, what))
        elif running and reading.reader:
            if not board.writing and board.edition and (holds or what is not Ask.NOT):
                self._write()
            elif now - board.beat_at >= board.period_us:
                board.beats(now)

    async def _read(self, service: ListService, what: Ask) -> None:
        began = time.monotonic()
        service.anew()
        try:
            await service.session()
        except (Unreachable, SettingsError) as error:
            wait = 0.0
            if what is Ask.ALONE or self.reading.reader:
                self._backoff.ended(time.monotonic() - began)
                wait = self._backoff.wait_s()
                self._rest_until = time.monotonic() + wait
            self.reading.lost()
            service.lost(error, wait)

    def _stop(self) -> None:
        if self._session:
            self._session.cancel()
        self._session = None
