"""Reads the list of workers for the others of a zone, or follows one that does: carries `zone.ZoneList` out
on the loop, with the list service.  Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from swiftwell import interface as io
from swiftwell.discovery.sources import ListServiceClient
from swiftwell.fleet.link import FleetLink
from swiftwell.fronts.host import Backoff
from swiftwell.gateway.clock import Clock
from swiftwell.http.client import Unreachable
from swiftwell.settings.document import SettingsError
from swiftwell.starting.lists import Ask
from swiftwell.starting.zone import What, ZoneList

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
        self.zone = ZoneList(link.node, board, rate, link.now_us())
        self._session: asyncio.Task[None] | None = None
        self._rest_until = 0.0
        self.service: ListServiceClient | None = None

    def told(self, members: io.Members) -> None:
        """The service's list, read by us: for ourselves at once, and for the others."""
        self._tell(members)
        if not self.zone.reading.reader:
            holds = self.zone.lease.holds(self._link.now_us())
            self._log("info", "list-reader", reading=True, lease=holds)
        read = rows(members.entries, self._clock.wall_ms_of)
        self._passing(lambda: self.zone.told(self._link.now_us(), int(self._clock.wall_ms()), read))
        self._link.wake()

    def _passing(self, act: Callable[[], What | None]) -> What | None:
        try:
            return act()
        except ValueError as error:  # then nobody hears a beat, and each reads for itself
            self._log("error", "list-not-passed-on", why=str(error))
            return None

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                self._look()
                await asyncio.sleep(LOOK_S)
        finally:
            self._stop()

    def _look(self) -> None:
        service = self.service
        assert service
        running = self._session is not None and not self._session.done()
        now, wall_ms = self._link.now_us(), int(self._clock.wall_ms())
        what = self._passing(lambda: self.zone.look(now, wall_ms, running))
        if what is None:
            return
        if what.rows is not None:
            self._tell(io.Members(io.ListKind.FULL, entries(what.rows, self._clock.started_us)))
        if what.fresh:
            service.last_response_s = time.monotonic()  # for the saved list, and for peers that ask
        if what.gave_way:
            self._log("info", "list-reader", reading=False, lease=False)
        if what.stop:
            self._stop()
        if what.ask is not Ask.NOT and time.monotonic() >= self._rest_until:
            self.zone.reading.asked(now)
            self._session = asyncio.ensure_future(self._read(service, what.ask))

    async def _read(self, service: ListServiceClient, what: Ask) -> None:
        began = time.monotonic()
        service.reset_index()
        try:
            await service.run_session()
        except (Unreachable, SettingsError) as error:
            wait = 0.0
            if what is Ask.ALONE or self.zone.reading.reader:
                self._backoff.connection_ended(time.monotonic() - began)
                wait = self._backoff.next_delay_s()
                self._rest_until = time.monotonic() + wait
            self.zone.reading.lost()
            service.log_failure(error, wait)

    def _stop(self) -> None:
        if self._session:
            self._session.cancel()
        self._session = None
