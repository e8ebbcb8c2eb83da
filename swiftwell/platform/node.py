"""A router process on the platform: connects the FastCGI front, engine, RESP link and journal client."""

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
from swiftwell.fronts.memory_budget import budget_bytes
from swiftwell.gateway import ports
from swiftwell.gateway.engine import Engine, tables
from swiftwell.gateway.event_loop import BatchingLoop
from swiftwell.gateway.logs import Logs
from swiftwell.gateway.loop_lag import TICK_S, LoopLag
from swiftwell.platform.free_memory import release_free_memory
from swiftwell.platform.limits import divide_descriptors
from swiftwell.platform.reload import ConfigurationReload
from swiftwell.platform.shutdown import ShutdownSchedule
from swiftwell.platform.startup import retry, retry_blocking
from swiftwell.settings import platform as config
from swiftwell.settings.platform import ConfigError, Platform
from swiftwell.workers.resp.answer_permits import large_answers
from swiftwell.workers.resp.link import ORDER_TIMEOUT_S, RespBounds, RespLink

ANSWER_MARGIN_US = 5_000  # of each request's time, kept for the answer's way to the client
DRAIN_POLL_INTERVAL_S = 0.005  # between checks for open calls; two in a row that find none end a shutdown
READ_ITERATIONS = 4  # of the event loop, to take in all that waits: read, wake the reader, step, flush
SWEEP_INTERVAL_S = 0.5  # between checks for idle connections and overdue orders
FIGURES_INTERVAL_S = 5.0  # between two log lines of figures


class Node(BatchingLoop):
    """A running router.  `began_us` is when the process began, monotonic us."""

    def __init__(self, platform: Platform, file: str, logs: Logs, began_us: int | None = None) -> None:
        settings = platform.settings
        super().__init__(
            logs, {request_class.name: request_class.effect for request_class in settings.classes}
        )
        self.platform = platform
        self._reload = ConfigurationReload(file, self._apply_configuration, self._reload_failed, self.log)
        self._staleness = ListStaleness(self.clock.now_us() if began_us is None else began_us)
        self._leases = leases = WorkerLeases(self._staleness, settings.drain_grace_us)
        bounds = {"margin_us": ANSWER_MARGIN_US, "max_open": platform.max_open}
        self.engine = Engine(settings, None, seed=platform.seed, leases=leases, **bounds)
        limits = divide_descriptors(platform.descriptors)
        self.addresses = journal.WorkerAddresses()
        self._start_times, self._at_our_start = StartTimes(self.clock.started_us), True
        # The link must not drop a load order before the engine does: a load may take longer than
        # `ORDER_TIMEOUT_S`.
        order_s = max(ORDER_TIMEOUT_S, settings.order_timeout_us / 1e6)
        link_bounds = RespBounds(
            limits.workers,
            platform.streams_per_connection,
            platform.connect_timeout_us / 1e6,
            platform.idle_timeout_us / 1e6,
            order_s,
            large_answers(_free_bytes(platform)),
        )
        self.link = RespLink(
            link_bounds,
            self.addresses.get,
            self.enqueue,
            self.log,
            self.addresses.is_ready,
            self.wake,
            lambda worker: leases.may_write(worker, self.clock.now_us()),
            lambda: self._staleness.is_overdue(self.clock.now_us()),
            self.enqueue,
            self.record_failure,
            leases.list_confirmed_since,
            lambda trigger: trigger.ref.connection[0].still_waits(trigger),  # type: ignore[attr-defined]
        )
        contract = Contract.of(settings)
        self._loop_lag = LoopLag(time.monotonic())
        memory_bytes = budget_bytes(_free_bytes(platform))
        self.front = Listener(
            self, contract, limits.clients, lambda: self.healthy, self._unseen_s, memory_bytes
        )
        new_decoder = lambda: journal.FrameDecoder(platform.zones, platform.kinds)  # noqa: E731
        random_, staleness = random.Random(platform.seed), self._staleness
        self.journal = journal.JournalClient(
            platform.journal_address,
            new_decoder,
            self._apply_event,
            self.log,
            random_,
            staleness,
            self._read_until_us,
        )
        self.ended = asyncio.Event()
        self.stopping = False
        self._tasks: list[asyncio.Task] = []
        self._flush_pending = False  # attempts wait until the clients' sockets have been read
        self._timers = [
            PeriodicCallback(self._sweep, SWEEP_INTERVAL_S * 1_000),
            PeriodicCallback(self._tick_lag, TICK_S * 1_000),
            PeriodicCallback(self._log_figures, FIGURES_INTERVAL_S * 1_000),
        ]

    @property
    def healthy(self) -> bool:
        """Whether requests can be served: some workers are known, and the router is not stopping."""
        return not self.stopping and len(self.addresses) > 0

    async def start(self) -> None:
        """Starts the journal client and opens the listener; raises OSError."""
        self.journal.apply_initial(self.platform.initial_events)
        self._at_our_start = False
        self._tasks.append(asyncio.ensure_future(self.journal.run()))
        host, port = self.platform.listen_address
        port = await retry(lambda: self.front.open(host, port), self._log_listen_failed)
        self._loop_lag.tick(time.monotonic())
        for timer in self._timers:
            timer.start()
        self.log("info", "listening", address=f"{host}:{port}", workers=len(self.addresses))

    def _log_listen_failed(self, error: OSError) -> None:
        host, port = self.platform.listen_address
        self.log("warning", "listen-failed", address=f"{host}:{port}", why=str(error))

    def handle_signals(self, early: list[int]) -> None:
        """Handles SIGTERM, SIGINT and SIGHUP, and those that came before as `early` lists them."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in early:
            self.reload()
        if signal.SIGTERM in early or signal.SIGINT in early:
            self.stop()

    def _apply_event(self, event: journal.Event) -> None:
        for worker in event.workers:
            self._leases.listed(worker.id)
        for worker in self.addresses.apply(event):
            self._leases.forget(worker)
            self.link.worker_removed(worker)
        members = self._start_times.to_members(event, self.clock.now_us(), at_our_start=self._at_our_start)
        if not event.is_full_list:
            self._log_changes(event)
        self.enqueue(ports.Listed(members))

    def _log_changes(self, event: journal.Event) -> None:
        for worker in event.workers:
            state = worker.state.name.lower()
            self.log("info", "worker", worker=worker.id, state=state, by="list", event_number=event.number)

    def _after_step(self) -> None:
        self.front.flush()
        if not self._flush_pending:
            self._flush_link(READ_ITERATIONS if self._unseen_s() > 0 else 0)

    def _flush_link(self, iterations: int) -> None:
        """Sends attempts to workers after this many more iterations of the event loop.

        After a stall of this process (a stop, a garbage collection, a slow core) the end of a client's
        connection may still be unread in the kernel.  It is read first, so that the attempts of that client
        are withdrawn before anything is sent.
        """
        self._flush_pending = iterations > 0
        if self._flush_pending:
            self._loop.asyncio_loop.call_soon(self._flush_link, iterations - 1)
        else:
            self.link.flush()

    def reload(self) -> None:
        """Handles SIGHUP: the journal service may have moved.  Other settings apply from the next start."""
        self.journal.stop_confirming()  # until the file has been read, which may take some retries
        self._reload.request()

    def _reload_failed(self) -> None:
        """Reconnects to the journal service at its previous address, as no new file could be read."""
        self.journal.reconnect(self.journal.address)

    def _apply_configuration(self, platform: Platform) -> None:
        self.journal.apply_initial(platform.initial_events)
        moved = platform.journal_address != self.journal.address
        self.log(
            "info",
            "configuration",
            journal=f"{platform.journal_address[0]}:{platform.journal_address[1]}",
            moved=moved,
        )
        self.journal.reconnect(platform.journal_address)

    def stop(self) -> None:
        """Handles SIGTERM and SIGINT: serves until no more requests can come, then ends the process."""
        if not self.stopping:
            self.stopping = True
            self.log("info", "stopping", open=self.engine.open)
            self._tasks.append(asyncio.ensure_future(self._shut_down()))

    async def _shut_down(self) -> None:
        """Answers every call, then ends the process, also if answering fails.

        A call may have more time left than the platform leaves until SIGKILL (a deadline over 3 s); it is
        answered before SIGKILL with what is known of it.  A version that waited for a limit of its own ended
        with calls open.
        """
        began = time.monotonic()
        longest_us = max(request_class.deadline_us for request_class in self.platform.settings.classes)
        schedule = ShutdownSchedule.of(longest_us / 1e6)
        try:
            await asyncio.sleep(schedule.refuse_s)
            # From here on requests are refused: a client may retry them, and the number of open calls falls.
            left_s = max(0.0, began + schedule.answer_s - time.monotonic())
            self.enqueue(ports.Stop(self.clock.now_us() + int(left_s * 1e6)))
            self.front.drain()
            idle_checks = 0
            while idle_checks < 2 and time.monotonic() < began + schedule.close_s:
                self.front.close_answered()
                await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
                idle_checks = 0 if self.front.owes_answers() else idle_checks + 1
            await self.front.shutdown(began + schedule.exit_s)
        except Exception as error:
            self.record_failure("stop", error)
        finally:
            self._close()

    def _close(self) -> None:
        """Closes every part, also if closing another one fails, and lets the process end."""
        for close in (
            *(timer.stop for timer in self._timers),
            self._reload.close,
            self.front.close,
            self.link.close,
            self._log_figures,
        ):
            try:
                close()
            except Exception as error:
                self.record_failure("end", error)
        self.log("info", "stopped", open=self.engine.open, owed=len(self.front.open_ids))
        self.ended.set()

    def _sweep(self) -> None:
        self.link.sweep()
        self.logs.sweep()
        if self.front.memory.take_subsided():
            released = release_free_memory()
            self.log("info", "memory-released", released=released, memory_mb=_memory_mb())
        self.wake()

    def _tick_lag(self) -> None:
        self._loop_lag.tick(time.monotonic())

    def _unseen_s(self) -> float:
        return self._loop_lag.max_poll_age_s(time.monotonic())

    def _read_until_us(self) -> int:
        """Monotonic us up to which the event loop has certainly read everything that had arrived."""
        return self.clock.now_us() - int(max(TICK_S, self._unseen_s()) * 1e6)

    def _log_figures(self) -> None:
        """Logs one line with the router's counters, table sizes and resource use."""
        front = self.front
        replies: dict[str, int] = {}
        for (_, kind, reason), count in self.replies.items():
            replies[f"{kind}/{reason}"] = replies.get(f"{kind}/{reason}", 0) + count
        self.log(
            "info", "figures", lag_ms=round(self._loop_lag.take_max_delay_s() * 1e3, 1),
            cpu_s=round(time.process_time(), 2), memory_mb=_memory_mb(),
            clients_mb=round(front.memory.total_bytes / 1e6, 1),
            clients_peak_mb=round(front.memory.peak_bytes / 1e6, 1),
            descriptors=_descriptors(), lines_dropped=self.logs.dropped_lines, clients=len(front.connections),
            replies=replies, failures=dict(self.failures.counts),
            turned=dict(front.rejections.most_common(8)), front=dict(front.counts),
            reads=self._read_figures(),
            link=dict(self.link.counts), sizes=tables(self.engine) | self.link.sizes(),
            counts=dict(self.engine.counts), ends=dict(self.engine.outcomes),
            held=self.journal.sequence.last_number, asked=self.journal.connections, list=self._list_figures(),
        )  # fmt: skip

    def _read_figures(self) -> dict[str, object]:
        """How many connections wait until their bytes are processed, and for how long at most they did."""
        scheduler, overload = self.front.scheduler, self.front.overload
        return {
            "waiting": len(scheduler),
            "longest_wait_ms": round(scheduler.take_longest_wait_s() * 1e3, 1),
            "turns": scheduler.turns,
            "call_limit": None if overload.limit is None else round(overload.limit),
            "refused_early": overload.refused,
        }

    def _list_figures(self) -> dict[str, object]:
        """The age of the worker list, and the numbers of workers by their leases."""
        now_us, staleness = self.clock.now_us(), self._staleness
        confirmed_us = staleness.confirmed_us
        return {
            "age_ms": None if confirmed_us is None else (now_us - confirmed_us) // 1_000,
            "stale": staleness.is_stale(now_us),
            "why": staleness.reason(),
            **self._leases.counts(now_us),
        }


def _free_bytes(platform: Platform) -> float:
    """The memory that is left to a process without clients."""
    return (platform.memory_mb - _memory_mb()) * 1e6


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
    """Runs the router until a signal ends it; returns the exit code.

    `early` has signals that came before; `began_us` is when the process began, monotonic us.
    """
    file = os.environ.get("EDGE_CONFIG", "")
    if not file:
        print("swiftwell: EDGE_CONFIG is not set: expected the path of the configuration", file=sys.stderr)
        return 2
    try:
        platform = config.read(retry_blocking(Path(file).read_bytes), file)
    except (OSError, ConfigError) as error:
        print(f"swiftwell: {error}", file=sys.stderr)
        return 2
    return uvloop.run(
        _serve(platform, file, early or [], began_us),
        loop_factory=lambda: retry_blocking(uvloop.new_event_loop),
    )


async def _serve(platform: Platform, file: str, early: list[int], began_us: int | None) -> int:
    node = Node(platform, file, Logs("json"), began_us)
    try:
        await node.start()
    except OSError as error:
        print(f"swiftwell: {file}: listen: {error}", file=sys.stderr)
        return 2
    node.handle_signals(early)
    gc.freeze()  # all objects so far live as long as the process: full collections need not walk them
    gc.enable()
    await node.ended.wait()
    return 0
