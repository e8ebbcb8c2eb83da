"""Runs `operator_commands.SiteController` on the event loop.

Feeds it the outcomes of calls and executes its actions: visible workers, probes and messages.  Decides
nothing itself.
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
from swiftwell.sites.admission import ClassShare
from swiftwell.sites.failure_detection import StateChange
from swiftwell.sites.operator_commands import COMMANDS, MessageKind, SiteController, SiteMessage
from swiftwell.sites.recovery import RecoveryProgress

NAME = "sites"  # name of these messages in the fleet
CHECK_INTERVAL_S = 0.1  # s between checks whether a window is over: a fifth of a window
PROBE_TIMEOUT_US = 400_000  # us for a probe: less than a window
MAX_OPERATOR_CHARS = 64  # characters of an operator's name that are forwarded
LOG_PREFIX = "site/"  # followed by the site's name: the replicated log of its return

_encode = msgspec.msgpack.Encoder().encode
_decode_message = msgspec.msgpack.Decoder(SiteMessage).decode
_decode_progress = msgspec.msgpack.Decoder(RecoveryProgress).decode


class SiteMonitor:
    """`probe` probes a worker; its result comes to `on_probe_result`."""

    def __init__(
        self,
        link: FleetLink,
        zones: Sequence[str],
        order: Sequence[ClassShare],
        engine: Engine,
        clock: Clock,
        probe: Callable[[ports.Ask], None],
        log: Callable[..., None],
        seed: int,
    ) -> None:
        self._link, self._engine, self._clock, self._probe, self._log = link, engine, clock, probe, log
        self.controller = SiteController(link.node.settings.me, zones, order, seed, link.now_us())
        self._visible: dict[str, frozenset[str]] = {}
        self._probed: set[str] = set()
        link.node.message_handlers[NAME] = self._on_message
        link.node.contact_listeners.append(self.controller.record_contact)
        engine.observer = self

    # The engine's observer.

    def reject_for_us(self, trigger: Trigger) -> int:
        """Return how long to reject a trigger for, by the shedding order; 0 admits it."""
        key = trigger.key or f"{trigger.source}/{trigger.function}"
        if self.controller.admission.admits(trigger.request_class, trigger.tenant, key):
            return 0
        return self.controller.admission.retry_after_ms(key) * 1_000

    def on_attempt_end(self, worker: str, request_class: str, status: Status, latency_us: int) -> None:
        """An attempt has ended."""
        self.controller.record_attempt(self._site(worker), worker, request_class, status, latency_us)

    def on_answer(self, request_class: str, tenant: str, in_time: bool) -> None:
        """An admitted call has its answer."""
        self.controller.admission.record_call(in_time)

    def _site(self, worker: str) -> str:
        known = self._engine.roster.known.get(worker)
        return known.entry.zone if known else ""

    def on_probe_result(self, result: ports.Asked) -> bool:
        """Record the result of a probe; returns whether the probe was ours."""
        if result.worker not in self._probed:
            return False
        self._probed.discard(result.worker)
        self.controller.record_probe(self._site(result.worker), result.worker, result.answered)
        return True

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._step()

    def _step(self) -> None:
        node, now = self._link.node, self._link.now_us()
        workers: dict[str, list[str]] = {}
        for name, known in self._engine.roster.known.items():
            if not known.left_us and known.entry.state is State.READY:
                workers.setdefault(known.entry.zone, []).append(name)
        sites = self.controller.detector.sites
        leases = {site: node.writer_lease(LOG_PREFIX + site) for site in sites}
        actions = self.controller.step(
            now,
            int(self._clock.wall_ms()),
            workers,
            node.members.alive(),
            {site: lease.token for site, lease in leases.items() if lease.holds(now)},
            {site: self._read_progress(site, now) for site in sites},
        )
        if actions is None:
            return
        for site, wanted in actions.leases_wanted.items():
            if leases[site].wanted != wanted:
                node.set_lease_wanted(now, leases[site].name, wanted)
        for site, progress in actions.progress.items():
            log = node.replicated_logs[LOG_PREFIX + site]
            log.write(now, int(self._clock.wall_ms()), {site: _encode(progress)})
            log.raise_heartbeat(now)
        for to, message in actions.sends:
            node.send_message(to, NAME, _encode(message))
        if actions.sends or actions.progress:
            self._link.wake()
        for change in actions.changes:
            self._log_change(change)
        for site, reason in actions.slice_notes:
            self._log("warning", "site-slice", site=site, why=reason, token=leases[site].token)
        for worker in actions.probes:
            self._probed.add(worker)
            self._probe(ports.Ask(worker, PROBE_TIMEOUT_US))
        if actions.visible != self._visible:
            self._visible = actions.visible
            self._engine.set_visible_workers(actions.visible)

    def _read_progress(self, site: str, now: int) -> tuple[RecoveryProgress | None, int | None, int]:
        log = self._link.node.replicated_logs[LOG_PREFIX + site]
        raw = log.entries().get(site)
        try:
            progress = _decode_progress(raw) if raw else None
        except msgspec.DecodeError:
            progress = None
        return progress, log.heartbeat_age_us(now), log.writer

    def _on_message(self, now: int, sender: int, body: bytes) -> None:
        try:
            message = _decode_message(body)
        except (msgspec.DecodeError, ValueError):
            return
        for to, reply in self.controller.handle(now, sender, message):
            self._link.node.send_message(to, NAME, _encode(reply))

    def _log_change(self, change: StateChange) -> None:
        level = "info" if change.after.value == "up" else "warning"
        self._log(
            level,
            "site",
            site=change.site,
            was=change.before.value,
            now=change.after.value,
            why=change.reason,
        )

    def execute_command(self, site: str, command: str, operator: str) -> str:
        """Execute an operator's command and forward it to all live members.

        Returns why it can't be carried out, empty where it can.
        """
        if site not in self.controller.detector.sites:
            return f"no site {site!r}: {', '.join(self.controller.detector.sites)}"
        if command not in COMMANDS:
            return f"no order {command!r}: {', '.join(COMMANDS)}"
        now, node = self._link.now_us(), self._link.node
        self._log("warning", "site-order", site=site, order=command, who=operator)
        if change := self.controller.execute(now, site, command, operator):
            self._log_change(change)
        message = _encode(
            SiteMessage(MessageKind.COMMAND, site, command=command, operator=operator[:MAX_OPERATOR_CHARS])
        )
        for member in node.members.alive():
            if member != node.settings.me:
                node.send_message(member, NAME, message)
        self._link.wake()
        return ""

    def status(self) -> dict[str, object]:
        """Return the fields of the health page."""
        admission = self.controller.admission
        return {
            "sites": {name: site.state.value for name, site in self.controller.detector.sites.items()},
            "shown": {site: len(workers) for site, workers in self._visible.items()},
            "refusing": {
                "/".join(filter(None, (entry.request_class, entry.tenant))): round(
                    admission.admitted_share(entry.request_class, entry.tenant), 3
                )
                for entry in admission.order
            }
            if admission.active
            else {},
        }
