"""Carries `desk.Desk` out on the loop: what calls show goes in, what is hidden, asked and said comes out.

Nothing is decided here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from swiftwell.fleet.link import FleetLink
from swiftwell.fronts.trigger import Trigger
from swiftwell.gateway import ports
from swiftwell.gateway.clock import Clock
from swiftwell.gateway.engine import Engine
from swiftwell.interface import State, Status
from swiftwell.sites.admission import Rank
from swiftwell.sites.failure_detection import Change
from swiftwell.sites.operator_commands import ORDERS, Desk, Say, Words
from swiftwell.sites.recovery import Word

NAME = "sites"  # of these words in the fleet
LOOK_S = 0.1  # s between looks whether a window is over: a fifth of one
PROBE_US = 400_000  # us for a probe: less than a window
MOST_WHO = 64  # characters of an operator's name that are passed on
BOARD = "site/"  # and the site's name: the board of its return

_encode = msgspec.msgpack.Encoder().encode
_words = msgspec.msgpack.Decoder(Words).decode
_word = msgspec.msgpack.Decoder(Word).decode


class Watch:
    """`ask` asks a worker whether it is there; its answer comes to `asked`."""

    def __init__(
        self,
        link: FleetLink,
        zones: Sequence[str],
        order: Sequence[Rank],
        engine: Engine,
        clock: Clock,
        ask: Callable[[ports.Ask], None],
        log: Callable[..., None],
        seed: int,
    ) -> None:
        self._link, self._engine, self._clock, self._ask, self._log = link, engine, clock, ask, log
        self.desk = Desk(link.node.settings.me, zones, order, seed, link.now_us())
        self._hidden: dict[str, frozenset[str]] = {}
        self._probed: set[str] = set()
        link.node.message_handlers[NAME] = self._take
        link.node.contact_listeners.append(self.desk.heard)
        engine.observer = self

    # The engine's observer.

    def reject_for_us(self, trigger: Trigger) -> int:
        """Turn a trigger away where the order of sacrifice says so."""
        key = trigger.key or f"{trigger.source}/{trigger.function}"
        if self.desk.admission.admits(trigger.request_class, trigger.tenant, key):
            return 0
        return self.desk.admission.wait_ms(key) * 1_000

    def on_attempt_end(self, worker: str, request_class: str, status: Status, latency_us: int) -> None:
        """An attempt has ended."""
        self.desk.attempt(self._site(worker), worker, request_class, status, latency_us)

    def on_answer(self, request_class: str, tenant: str, in_time: bool) -> None:
        """A call that was taken has its answer."""
        self.desk.admission.ended(in_time)

    def _site(self, worker: str) -> str:
        known = self._engine.roster.known.get(worker)
        return known.entry.zone if known else ""

    def asked(self, end: ports.Asked) -> bool:
        """Whether the answer is to a probe of ours."""
        if end.worker not in self._probed:
            return False
        self._probed.discard(end.worker)
        self.desk.probed(self._site(end.worker), end.worker, end.answered)
        return True

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look()

    def _look(self) -> None:
        node, now = self._link.node, self._link.now_us()
        workers: dict[str, list[str]] = {}
        for name, known in self._engine.roster.known.items():
            if not known.left_us and known.entry.state is State.READY:
                workers.setdefault(known.entry.zone, []).append(name)
        sites = self.desk.judge.sites
        held = {site: node.writer_lease(BOARD + site) for site in sites}
        out = self.desk.step(
            now,
            int(self._clock.wall_ms()),
            workers,
            node.members.alive(),
            {site: lease.token for site, lease in held.items() if lease.holds(now)},
            {site: self._board(site, now) for site in sites},
        )
        if out is None:
            return
        for site, wanted in out.wants.items():
            if held[site].wanted != wanted:
                node.set_lease_wanted(now, held[site].name, wanted)
        for site, word in out.words.items():
            board = node.replicated_logs[BOARD + site]
            board.write(now, int(self._clock.wall_ms()), {site: _encode(word)})
            board.raise_heartbeat(now)
        for to, said in out.sends:
            node.send_message(to, NAME, _encode(said))
        if out.sends or out.words:
            self._link.wake()
        for change in out.changes:
            self._tell(change)
        for site, why in out.notes:
            self._log("warning", "site-slice", site=site, why=why, token=held[site].token)
        for worker in out.probes:
            self._probed.add(worker)
            self._ask(ports.Ask(worker, PROBE_US))
        if out.hidden != self._hidden:
            self._hidden = out.hidden
            self._engine.set_visible_workers(out.hidden)

    def _board(self, site: str, now: int) -> tuple[Word | None, int | None, int]:
        board = self._link.node.replicated_logs[BOARD + site]
        raw = board.entries().get(site)
        try:
            word = _word(raw) if raw else None
        except msgspec.DecodeError:
            word = None
        return word, board.heartbeat_age_us(now), board.writer

    def _take(self, now: int, sender: int, body: bytes) -> None:
        try:
            word = _words(body)
        except (msgspec.DecodeError, ValueError):
            return
        for to, said in self.desk.take(now, sender, word):
            self._link.node.send_message(to, NAME, _encode(said))

    def _tell(self, change: Change) -> None:
        level = "info" if change.now.value == "up" else "warning"
        self._log(level, "site", site=change.site, was=change.was.value, now=change.now.value, why=change.why)

    def order(self, site: str, what: str, who: str) -> str:
        """An operator's word, passed on to all that live; why it can't be carried out, empty where it can."""
        if site not in self.desk.judge.sites:
            return f"no site {site!r}: {', '.join(self.desk.judge.sites)}"
        if what not in ORDERS:
            return f"no order {what!r}: {', '.join(ORDERS)}"
        now, node = self._link.now_us(), self._link.node
        self._log("warning", "site-order", site=site, order=what, who=who)
        if change := self.desk.order(now, site, what, who):
            self._tell(change)
        said = _encode(Words(Say.ORDER, site, what=what, who=who[:MOST_WHO]))
        for member in node.members.alive():
            if member != node.settings.me:
                node.send_message(member, NAME, said)
        self._link.wake()
        return ""

    def status(self) -> dict[str, object]:
        """For the health page."""
        admission = self.desk.admission
        return {
            "sites": {name: one.state.value for name, one in self.desk.judge.sites.items()},
            "shown": {site: len(those) for site, those in self._hidden.items()},
            "refusing": {
                "/".join(filter(None, (rank.request_class, rank.tenant))): round(
                    admission.part(rank.request_class, rank.tenant), 3
                )
                for rank in admission.order
            }
            if admission.active
            else {},
        }
