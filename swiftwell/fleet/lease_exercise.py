"""Exercises a lease: whoever holds it acts on a test resource again and again, and stops when it has to.

The resource speaks JSON lines over TCP: `{"do": "begin", "who", "token"}` and `{"do": "end", ...}`; it
answers a `begin` with a token older than one it has seen with `{"ok": false, "seen": TOKEN}`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from swiftwell.fleet.link import FleetLink

POLL_INTERVAL_S = 0.02  # s between two checks of the lease, and after an action
RESPONSE_TIMEOUT_S = 1.0  # s for the resource to answer
# The time bound of an action, as a multiple of its length: the resource's answers take time too.
BOUND_ACTION_LENGTHS = 3


class LeaseExercise:
    """Actions of `action_s` under one lease."""

    def __init__(
        self,
        link: FleetLink,
        lease: str,
        who: str,
        resource: tuple[str, int],
        action_s: float,
        log: Callable[..., None],
    ) -> None:
        self._link, self._lease, self._who, self._address, self._action_s = (
            link,
            lease,
            who,
            resource,
            action_s,
        )
        self._log = log

    async def run(self) -> None:
        """Run until cancelled."""
        self._link.node.set_lease_wanted(self._link.now_us(), self._lease)
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
                try:
                    while True:
                        await self._act(reader, writer)
                        await asyncio.sleep(POLL_INTERVAL_S)
                finally:
                    writer.close()
            except (OSError, TimeoutError, EOFError, msgspec.DecodeError) as error:
                self._log("warning", "drill-resource", why=f"{type(error).__name__}: {error}")
                await asyncio.sleep(10 * POLL_INTERVAL_S)

    async def _act(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        guard = self._link.node.guards[self._lease]
        bound_us = int(self._action_s * BOUND_ACTION_LENGTHS * 1e6)
        permit = guard.begin(self._link.now_us(), bound_us)
        if permit is None:
            return
        answer = await self._request(reader, writer, "begin", permit.token)
        if not answer.get("ok"):
            guard.outdated(self._link.now_us(), permit, int(answer.get("seen", 0)))
            self._log("warning", "drill-outdated", token=permit.token, seen=answer.get("seen"))
            return
        await asyncio.sleep(self._action_s)
        await self._request(reader, writer, "end", permit.token)
        if not guard.ended(self._link.now_us(), permit):
            self._log("warning", "drill-overran", token=permit.token)

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, do: str, token: int
    ) -> dict[str, object]:
        writer.write(msgspec.json.encode({"do": do, "who": self._who, "token": token}) + b"\n")
        line = await asyncio.wait_for(reader.readline(), RESPONSE_TIMEOUT_S)
        if not line:
            raise EOFError("the resource closed the connection")
        return msgspec.json.decode(line, type=dict[str, object])
