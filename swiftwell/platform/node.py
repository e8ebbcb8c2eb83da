"""One router on the platform: joins the FastCGI front, the engine, the RESP link and the journal service."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
import time
from pathlib import Path

import uvloop
from tornado.ioloop import PeriodicCallback

from swiftwell.discovery import journal
from swiftwell.discovery.staleness import ListStaleness
from swiftwell.discovery.start_times import StartTimes
from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.fronts.fastcgi.listener import Listener
from swiftwell.fronts.fastcgi.request import Contract
from swiftwell.gateway import ports
from swiftwell.gateway.engine import Engine, tables
from swiftwell.gateway.event_loop import BatchingLoop
from swiftwell.gateway.logs import Logs
from swiftwell.gateway.loop_lag import TICK_S, LoopLag
from swiftwell.platform.limits import divide
from swiftwell.platform.reload import ConfigurationReload
from swiftwell.platform.shutdown import ShutdownSchedule
from swiftwell.platform.startup import opened, started
from swiftwell.settings import platform as config
from swiftwell.settings.platform import ConfigError, Platform
from swiftwell.workers.resp.link import ORDER_S, RespBounds, RespLink

MARGIN_US = 5_000  # us kept back of each request's time for the answer's way to the client
QUIET_S = 0.005  # s between looks at what a stopping router owes; it ends once two in a row find nothing
LOOK_ITERATIONS = 4  # of the loop, from a look at the sockets to its end: read, wake the reader, step, flush
SWEEP_S = 0.5  # s between looks at old connections and orders
FIGURES_S = 5.0  # s between two lines of figures


class Node(BatchingLoop):
    """A running router."""

    def __init__(self, platform: Platform, file: str, logs: Logs, began_us: int | None = None) -> None:
        settings = platform.settings
        super().__init__(
            logs, {request_class.name: request_class.effect for request_class in settings.classes}
        )
        self.platform = platform
        self._reload = ConfigurationReload(file, self._reconfigured, self._kept_configuration, self.log)
        self._staleness = ListStaleness(self.clock.now_us() if began_us is None else began_us)
        self._leases = leases = WorkerLeases(self._staleness, settings.drain_grace_us)
        bound = {"margin_us": MARGIN_US, "max_open": platform.most_open}
        self.engine = Engine(settings, None, seed=platform.seed, leases=leases, **bound)
        share = divide(platform.sockets)
        self.addresses = journal.Addresses()
        self._start_times, self._starting = StartTimes(self.clock.started_us), True
        # No order is forgotten before the engine stops waiting: loads may take longer than the link's bound.
        order_s = max(ORDER_S, settings.order_timeout_us / 1e6)
        bounds = RespBounds(
            share.workers, platform.streams, platform.dial_us / 1e6, platform.idle_us / 1e6, order_s
        )
        self.link = RespLink(
            bounds,
            self.addresses.get,
            self.enqueue,
            self.log,
            self.addresses.ready,
            self.wake,
            lambda worker: leases.may_hand_over(worker, self.clock.now_us()),
            lambda: self._staleness.overdue(self.clock.now_us()),
            self.enqueue,
        )
        contract = Contract.of(settings)
        self._loop_lag = LoopLag(time.monotonic())
        self.front = Listener(self, contract, share.clients, lambda: self.healthy, self._unseen_s)
        frames = lambda: journal.Frames(platform.zones, platform.kinds)  # noqa: E731
        chance, staleness = random.Random(platform.seed), self._staleness
        self.journal = journal.Client(
            platform.journal, frames, self._listed, self.log, chance, staleness, self._seen_us
        )
        self.ended = asyncio.Event()
        self.stopping = False
        self._tasks: list[asyncio.Task] = []
        self._looking = False  # a hand-over to the workers waits for a look at the clients
        self._ticks = [
            PeriodicCallback(self._sweep, SWEEP_S * 1_000),
            PeriodicCallback(self._lag, TICK_S * 1_000),
            PeriodicCallback(self._figures, FIGURES_S * 1_000),
        ]

    @property
    def healthy(self) -> bool:
        """Whether requests can be served: workers are known and nothing ends."""
        return not self.stopping and len(self.addresses) > 0

    async def start(self) -> None:
        """Open everything; raises OSError."""
        self.journal.start(self.platform.known)
        self._starting = False
        self._tasks.append(asyncio.ensure_future(self.journal.run()))
        host, port = self.platform.listen
        port = await opened(lambda: self.front.open(host, port), self._cannot_listen)
        self._loop_lag.tick(time.monotonic())
        for tick in self._ticks:
            tick.start()
        self.log("info", "listening", address=f"{host}:{port}", workers=len(self.addresses))

    def _cannot_listen(self, error: OSError) -> None:
        host, port = self.platform.listen
        self.log("warning", "listen-failed", address=f"{host}:{port}", why=str(error))

    def on_signals(self, early: list[int]) -> None:
        """Take SIGTERM, SIGINT and SIGHUP, also those that came before."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in early:
            self.reload()
        if signal.SIGTERM in early or signal.SIGINT in early:
            self.stop()

    def _listed(self, event: journal.Event) -> None:
        for worker in event.workers:
            self._leases.listed(worker.id)
        for worker in self.addresses.take(event):
            self._leases.forget(worker)
            self.link.gone(worker)
        members = self._start_times.members(event, self.clock.now_us(), at_our_start=self._starting)
        if not event.whole:
            self._log_changes(event)
        self.enqueue(ports.Listed(members))

    def _log_changes(self, event: journal.Event) -> None:
        for worker in event.workers:
            state = worker.state.name.lower()
            self.log("info", "worker", worker=worker.id, state=state, by="list", event_number=event.number)

    def _after_step(self) -> None:
        self.front.flush()
        if not self._looking:
            self._hand_over(LOOK_ITERATIONS if self._unseen_s() > 0 else 0)

    def _hand_over(self, iterations: int) -> None:
        """Let attempts go out to workers, after so many more iterations of the loop.

        After a stall of ours (a stopped process, a collection, a slow core) the end of a client may lie in
        the kernel, unread: whoever left is heard, and what was meant for them taken back, before anything
        goes out.
        """
        self._looking = iterations > 0
        if self._looking:
            self._loop.asyncio_loop.call_soon(self._hand_over, iterations - 1)
        else:
            self.link.flush()

    def reload(self) -> None:
        """SIGHUP: the journal service may have moved; anything else is told at the next start."""
        self.journal.distrust()  # until the file is read, which may take some tries
        self._reload.request()

    def _kept_configuration(self) -> None:
        """No new file could be read: the service is where it was, and is asked anew."""
        self.journal.move(self.journal.at)

    def _reconfigured(self, platform: Platform) -> None:
        self.journal.start(platform.known)
        moved = platform.journal != self.journal.at
        self.log("info", "configuration", journal=f"{platform.journal[0]}:{platform.journal[1]}", moved=moved)
        self.journal.move(platform.journal)

    def stop(self) -> None:
        """SIGTERM: go on until nothing more can come, then end."""
        if not self.stopping:
            self.stopping = True
            self.log("info", "stopping", open=self.engine.open)
            self._tasks.append(asyncio.ensure_future(self._stop()))

    async def _stop(self) -> None:
        """Answer all that was taken, then end; a failure of the one must not keep the other from happening.

        Calls may have more time left than the platform gives us (deadlines over 3 s): these are answered with
        what is known of them before SIGKILL.  It waited for its own cap and then ended with calls open.
        """
        began = time.monotonic()
        longest_us = max(request_class.deadline_us for request_class in self.platform.settings.classes)
        schedule = ShutdownSchedule.of(longest_us / 1e6)
        try:
            await asyncio.sleep(schedule.take_s)
            # Refused from here on: harmless for the client, and it ends.
            left_s = max(0.0, began + schedule.answer_s - time.monotonic())
            self.enqueue(ports.Stop(self.clock.now_us() + int(left_s * 1e6)))
            self.front.drain()
            quiet = 0
            while quiet < 2 and time.monotonic() < began + schedule.close_s:
                self.front.end_idle()
                await asyncio.sleep(QUIET_S)
                quiet = 0 if self.front.owes() else quiet + 1
            await self.front.shut(began + schedule.end_s)
        except Exception as error:
            self.log("error", "stop-failed", error=f"{type(error).__name__}: {error}")
        finally:
            self._end()

    def _end(self) -> None:
        """The end of the process, each part of it whatever became of the others."""
        for end in (
            *(tick.stop for tick in self._ticks),
            self._reload.close,
            self.front.close,
            self.link.close,
            self._figures,
        ):
            try:
                end()
            except Exception as error:
                self.log("error", "end-failed", error=f"{type(error).__name__}: {error}")
        self.log("info", "stopped", open=self.engine.open, owed=len(self.front.ids))
        self.ended.set()

    def _sweep(self) -> None:
        self.link.sweep()
        self.logs.sweep()
        self.wake()

    def _lag(self) -> None:
        self._loop_lag.tick(time.monotonic())

    def _unseen_s(self) -> float:
        return self._loop_lag.max_poll_age_s(time.monotonic())

    def _seen_us(self) -> int:
        """Monotonic us up to which the loop has surely read all that had come."""
        return self.clock.now_us() - int(max(TICK_S, self._unseen_s()) * 1e6)

    def _figures(self) -> None:
        """One line of all that shows how the router does."""
        front = self.front
        kinds: dict[str, int] = {}
        for (_, kind, reason), count in self.replies.items():
            kinds[f"{kind}/{reason}"] = kinds.get(f"{kind}/{reason}", 0) + count
        self.log(
            "info", "figures", lag_ms=round(self._loop_lag.take_max_delay_s() * 1e3, 1),
            cpu_s=round(time.process_time(), 2), memory_mb=_memory_mb(),
            descriptors=_descriptors(), clients=len(front.connections),
            replies=kinds, turned=dict(front.turned.most_common(8)), front=dict(front.counts),
            link=dict(self.link.counts), sizes=tables(self.engine) | self.link.sizes(),
            counts=dict(self.engine.counts), ends=dict(self.engine.outcomes),
            held=self.journal.feed.held, asked=self.journal.connections, list=self._list_figures(),
        )  # fmt: skip

    def _list_figures(self) -> dict[str, object]:
        """How old the list is, and what is proven of workers."""
        now_us, staleness = self.clock.now_us(), self._staleness
        current_us = staleness.current_us
        return {
            "age_ms": None if current_us is None else (now_us - current_us) // 1_000,
            "stale": staleness.stale(now_us),
            "why": staleness.why(),
            **self._leases.counts(now_us),
        }


def _memory_mb() -> float:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return round(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)
    except OSError:
        return 0.0


def _descriptors() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


def main(early: list[int] | None = None, began_us: int | None = None) -> int:
    """Run until told to end; the exit code.  `began_us`: monotonic us at which the process began."""
    file = os.environ.get("EDGE_CONFIG", "")
    if not file:
        print("swiftwell: EDGE_CONFIG is not set: expected the path of the configuration", file=sys.stderr)
        return 2
    try:
        platform = config.read(started(Path(file).read_bytes), file)
    except (OSError, ConfigError) as error:
        print(f"swiftwell: {error}", file=sys.stderr)
        return 2
    return uvloop.run(
        _serve(platform, file, early or [], began_us), loop_factory=lambda: started(uvloop.new_event_loop)
    )


async def _serve(platform: Platform, file: str, early: list[int], began_us: int | None) -> int:
    node = Node(platform, file, Logs("json"), began_us)
    try:
        await node.start()
    except OSError as error:
        print(f"swiftwell: {file}: listen: {error}", file=sys.stderr)
        return 2
    node.on_signals(early)
    gc.freeze()  # what stands by now stays: full collections need not walk it
    gc.enable()
    await node.ended.wait()
    return 0
