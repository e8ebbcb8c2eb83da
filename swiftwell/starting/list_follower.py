"""Reads the worker list for the other routers of a zone, or follows the router that does.

Runs `zone.ZoneList` on the event loop with the list service; decides nothing itself.
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
from swiftwell.starting.list_reader import QueryMode
from swiftwell.starting.zone import ListActions, ZoneList

STEP_INTERVAL_S = 0.05  # s between two steps: a step of the fleet

_NUMBER_BY_STATE = {io.State.READY: 0, io.State.DRAINING: 1}
_STATE_BY_NUMBER = {number: state for state, number in _NUMBER_BY_STATE.items()}


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A worker as stored in a replicated log; its start is wall-clock ms, 0 where it is unknown."""

    state: int
    kind: str
    zone: str
    cell: int
    started_ms: float


_decode_row = msgspec.msgpack.Decoder(Row).decode


def encode_rows(entries: tuple[io.WorkerEntry, ...], to_wall_ms: Callable[[int], float]) -> dict[str, bytes]:
    """Encode a worker list as entries of a replicated log."""
    return {
        entry.worker: msgspec.msgpack.encode(
            Row(
                _NUMBER_BY_STATE[entry.state],
                entry.kind,
                entry.zone,
                entry.cell,
                round(to_wall_ms(entry.started_us), 3),
            )
        )
        for entry in entries
        if entry.state in _NUMBER_BY_STATE
    }


def decode_rows(rows: dict[str, bytes], to_started_us: Callable[[float], int]) -> tuple[io.WorkerEntry, ...]:
    """Decode the entries of a replicated log as a worker list; unreadable entries are left out."""
    entries = []
    for worker, raw in rows.items():
        try:
            row = _decode_row(raw)
        except msgspec.DecodeError:
            continue
        if row.state in _STATE_BY_NUMBER:
            entries.append(
                io.WorkerEntry(
                    worker,
                    _STATE_BY_NUMBER[row.state],
                    row.kind,
                    1.0,
                    to_started_us(row.started_ms),
                    row.zone,
                    row.cell,
                )
            )
    return tuple(entries)


class ListFollower:
    """One router's worker list, from the service or from the zone's replicated log.

    `on_list` receives whole lists; `service` passes its own to `on_service_list`.
    """

    def __init__(
        self,
        link: FleetLink,
        log_name: str,
        rate: float,
        clock: Clock,
        on_list: Callable[[io.Members], None],
        log: Callable[..., None],
        backoff: Backoff,
    ) -> None:
        self._link, self._clock, self._on_list, self._log, self._backoff = link, clock, on_list, log, backoff
        self.zone = ZoneList(link.node, log_name, rate, link.now_us())
        self._session: asyncio.Task[None] | None = None
        self._retry_at = 0.0
        self.service: ListServiceClient | None = None

    def on_service_list(self, members: io.Members) -> None:
        """We read the service's list: use it ourselves at once, and replicate it to the others."""
        self._on_list(members)
        if not self.zone.reader.is_reader:
            holds_lease = self.zone.lease.holds(self._link.now_us())
            self._log("info", "list-reader", reading=True, lease=holds_lease)
        rows = encode_rows(members.entries, self._clock.wall_ms_of)
        self._replicating(
            lambda: self.zone.on_service_list(self._link.now_us(), int(self._clock.wall_ms()), rows)
        )
        self._link.wake()

    def _replicating(self, action: Callable[[], ListActions | None]) -> ListActions | None:
        try:
            return action()
        except ValueError as error:  # then nobody receives a heartbeat, and each router reads for itself
            self._log("error", "list-not-passed-on", why=str(error))
            return None

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                self._step()
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            self._stop()

    def _step(self) -> None:
        service = self.service
        assert service
        session_running = self._session is not None and not self._session.done()
        now, wall_ms = self._link.now_us(), int(self._clock.wall_ms())
        actions = self._replicating(lambda: self.zone.step(now, wall_ms, session_running))
        if actions is None:
            return
        if actions.rows is not None:
            self._on_list(io.Members(io.ListKind.FULL, decode_rows(actions.rows, self._clock.started_us)))
        if actions.reader_alive:
            service.last_response_s = time.monotonic()  # for the saved list, and for peers that query it
        if actions.stepped_down:
            self._log("info", "list-reader", reading=False, lease=False)
        if actions.stop:
            self._stop()
        if actions.query is not QueryMode.NONE and time.monotonic() >= self._retry_at:
            self.zone.reader.on_query(now)
            self._session = asyncio.ensure_future(self._read(service, actions.query))

    async def _read(self, service: ListServiceClient, query: QueryMode) -> None:
        started_s = time.monotonic()
        service.reset_index()
        try:
            await service.run_session()
        except (Unreachable, SettingsError) as error:
            delay_s = 0.0
            if query is QueryMode.ISOLATED or self.zone.reader.is_reader:
                self._backoff.connection_ended(time.monotonic() - started_s)
                delay_s = self._backoff.next_delay_s()
                self._retry_at = time.monotonic() + delay_s
            self.zone.reader.on_failure()
            service.log_failure(error, delay_s)

    def _stop(self) -> None:
        if self._session:
            self._session.cancel()
        self._session = None
