"""Where the list of workers comes from: settings, a file that is watched, or a list service that is asked.

Each source calls `tell(Members)` with whole lists; what can't be read leaves the old list in force and is
logged.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

from swiftwell import interface as io
from swiftwell.discovery.entries import from_file, from_service
from swiftwell.fronts.host import Backoff
from swiftwell.http.client import Client, Unreachable
from swiftwell.http.http1 import Request
from swiftwell.settings.document import SettingsError
from swiftwell.settings.site import Workers, host_port

LOOK_S = 0.5  # s between looks at a watched file
SLACK_S = 5.0  # s beyond the asked wait after which a list server counts as hanging

Tell = Callable[[io.Members], None]
TellSaved = Callable[[tuple[tuple[io.WorkerEntry, int | None], ...]], None]
Log = Callable[..., None]


def static(workers: Workers) -> io.Members:
    """The workers that the settings name."""
    entries = tuple(
        io.WorkerEntry(one.address, io.State.READY, one.kind, 1.0, 0, one.zone, one.cell)
        for one in workers.worker
    )
    return io.Members(io.ListKind.FULL, entries)


async def watch_file(path: Path, started: Callable[[float], int], tell: Tell, log: Log) -> None:
    """Read a file whenever it changes."""
    seen: object = None
    while True:
        try:
            stat = path.stat()
            mark: object = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if mark != seen:
                tell(
                    io.Members(
                        io.ListKind.FULL, from_file(path.read_text(encoding="utf-8"), str(path), started)
                    )
                )
                log("info", "list", source=str(path))
                seen = mark
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            # A file that is being written, or was broken by hand, must not empty the list.
            if seen != str(error):
                log("error", "list-unreadable", source=str(path), error=str(error))
                seen = str(error)
        await asyncio.sleep(LOOK_S)


class ListService:
    """A client of a list service by long polling, in Consul's form: an index, and a question that waits.

    `GET /v1/health/service/NAME?index=N&wait=Ss` is answered once the index has passed N or the wait is
    over; the
    answer's index comes in `X-Consul-Index`.  Servers are tried in turn.
    """

    def __init__(
        self,
        servers: tuple[str, ...],
        service: str,
        wait_s: int,
        gateway: str,
        started: Callable[[float], int],
        tell: Tell,
        log: Log,
        chance: random.Random,
        peers: tuple[str, ...] = (),
        tell_saved: TellSaved = lambda entries: None,
    ) -> None:
        self._peers, self._tell_saved = peers, tell_saved
        self._servers, self._service, self._wait_s, self._gateway = servers, service, wait_s, gateway
        self._started, self._tell, self._log, self._chance = started, tell, log, chance
        self._backoff = Backoff(chance)
        self._turn = 0  # of the servers, for the next session
        self._server = ""
        self.index = 0
        self._body = b""
        self.heard_at = 0.0  # steady time of the last good answer

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            began = time.monotonic()
            try:
                await self.session()
            except (Unreachable, SettingsError) as error:
                self._backoff.connection_ended(time.monotonic() - began)
                if not self.heard_at and self._turn % len(self._servers) == 0:
                    await self._ask_peers()
                wait = self._backoff.next_delay_s()
                self.lost(error, wait)
                await asyncio.sleep(wait)

    async def session(self) -> None:
        """Ask the next server again and again; raises Unreachable or SettingsError once it fails."""
        self._server = self._servers[self._turn % len(self._servers)]
        client = Client(*host_port(self._server))
        try:
            while True:
                await self._ask(client)
        except (Unreachable, SettingsError):
            self._turn += 1
            raise
        finally:
            client.close()

    def anew(self) -> None:
        """The next question is answered at once, whatever was told before."""
        self.index, self._body = 0, b""

    def lost(self, error: Exception, wait_s: float) -> None:
        """Say that a session has ended."""
        self._log("warning", "list-lost", server=self._server, why=str(error), again_in_s=round(wait_s, 2))

    async def _ask_peers(self) -> None:
        """While no server has answered since the start: what other gateways know, with its age."""
        for address in self._peers:
            host, port = host_port(address)
            client = Client(host, port, 0.5)
            try:
                target = f"/v1/health/service/{self._service}"
                answer = await client.fetch(Request("GET", target, {"swiftwell-gateway": self._gateway}), 1.0)
                age = answer.headers.get("x-swiftwell-age-ms", "")
                if answer.status != 200 or not age.isdigit():
                    continue
                entries, _ = from_service(answer.body, self._started)
                self._tell_saved(tuple((entry, int(age) * 1_000) for entry in entries))
                self._log("info", "list-of-peer", peer=address, workers=len(entries), age_ms=int(age))
            except (Unreachable, SettingsError) as error:
                self._log("info", "peer-silent", peer=address, why=str(error))
            finally:
                client.close()

    async def _ask(self, client: Client) -> None:
        target = f"/v1/health/service/{self._service}?index={self.index}&wait={self._wait_s}s"
        asked = Request("GET", target, {"swiftwell-gateway": self._gateway})
        answer = await client.fetch(asked, self._wait_s + SLACK_S)
        if answer.status != 200:
            raise Unreachable(f"status {answer.status}")
        entries, problems = from_service(answer.body, self._started)
        for problem in problems[:5]:
            self._log("warning", "list-entry", problem=problem.text, number=problem.line)
        text = answer.headers.get("x-consul-index", "0")
        index = int(text) if text.isdigit() else 0
        # Not by the index alone: what a server tells wrongly at an index it may tell rightly at the same one.
        changed = index != self.index or answer.body != self._body
        self._body = answer.body
        # An index that goes backwards or is not given starts from the beginning, as the protocol says.
        self.index = index if index >= self.index else 0
        self.heard_at = time.monotonic()
        if changed or not index:
            self._tell(io.Members(io.ListKind.FULL, entries))
        if not index:  # a server without an index would be asked without a pause
            await asyncio.sleep(self._chance.uniform(0.5, 1.0))


def instance(entry: io.WorkerEntry, started_ms: float) -> dict[str, object]:
    """A worker in the form of the list service."""
    host, port = host_port(entry.worker)
    meta = {
        "kind": entry.kind,
        "zone": entry.zone,
        "cell": str(entry.cell),
        "started_ms": f"{started_ms:.3f}",
    }
    status = "passing" if entry.state is io.State.READY else "warning"
    return {
        "Node": {"Node": host},
        "Service": {"ID": entry.worker, "Service": "calc", "Address": host, "Port": port, "Meta": meta},
        "Checks": [{"CheckID": "service", "Status": status}],
    }
