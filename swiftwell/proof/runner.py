"""Runs a day: starts its programs, injects its troubles, collects the traces and calls the checker."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from swiftwell.discovery import saved
from swiftwell.fleet.lease import MAX_CLOCK_DRIFT
from swiftwell.fleet.link import CLOCK_RATE_VARIABLE
from swiftwell.handover.successor import STEPS
from swiftwell.proof import days
from swiftwell.proof.account import account
from swiftwell.proof.gateway_fleet import GatewayFleet
from swiftwell.proof.rules import check
from swiftwell.proof.trace import Trace, read
from swiftwell.proof.verdict import handovers, quantile, sharing, starting, verdict, warmth

CRASH_STEPS = STEPS[:-1]  # after the last step, `owned`, a crash is one of the gateway itself
READY_TIMEOUT_S = 60.0  # hundreds of programs may start on one machine
MAX_CONCURRENT_STARTS = 16  # gateways that start at the same time: two for each core
END_TIMEOUT_S = 30.0  # time that publishers and troubles may take after the last call


def cpu_s(pid: int) -> float:
    """CPU time that a process has used, in s; 0 if the system does not provide it (see proc(5))."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class DayFailed(Exception):
    """The day could not be run; the text says which program failed and how."""


class Program:
    """A process of the day, controlled by JSON lines on its standard input and output."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log

    @classmethod
    async def start(
        cls, name: str, folder: Path, *arguments: str, env: dict[str, str] | None = None
    ) -> tuple[Program, dict[str, Any]]:
        """Start `swiftwell` with these arguments, wait for its first line and return it."""
        log = folder / f"{name}.log"
        with open(log, "ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "swiftwell", *arguments,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=err, limit=1 << 22,
                env=os.environ | (env or {}),
            )  # fmt: skip
        program = cls(name, process, log)
        try:
            ready = await asyncio.wait_for(program.read_line(), READY_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            raise DayFailed(f"{name} did not start within {READY_TIMEOUT_S:.0f} s; see {log}") from None
        return program, ready

    async def read_line(self) -> dict[str, Any]:
        """Read the next line of its output."""
        assert self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            tail = self.log.read_text(errors="replace").strip().split("\n")[-5:]
            raise DayFailed(f"{self.name} exited: " + " | ".join(tail))
        return msgspec.json.decode(line, type=dict[str, Any])

    async def command(self, **command: Any) -> dict[str, Any]:
        """Send it a command and wait for the reply."""
        assert self.process.stdin
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        reply = await self.read_line()
        if not reply.get("ok"):
            raise DayFailed(f"{self.name}: {reply.get('error')}")
        return reply

    def send_signal(self, signal_number: int) -> bool:
        """Send it a signal; returns False if it has already ended, as one that is being restarted."""
        if self.process.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)
            return True
        return False

    async def end(self, signal_number: int = signal.SIGTERM, timeout_s: float = 10.0) -> int:
        """Terminate it, with SIGKILL after the timeout; returns its exit code."""
        if self.process.returncode is None:
            self.send_signal(signal_number)
            try:
                await asyncio.wait_for(self.process.wait(), timeout_s)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        return self.process.returncode or 0


class Player:
    """A run of a day.

    `scale` multiplies rates and the number of workers.  `progress` is called with the text and time of each
    step, for a live view.
    """

    def __init__(
        self, name: str, day: days.Day, seed: int, scale: float = 1.0, keep: Path | None = None,
        progress: Callable[[str, float], None] = lambda text, at: None,
    ) -> None:  # fmt: skip
        self.name, self.seed = name, seed
        self.day, self.scale = days.scaled(day, scale)
        self._keep, self._progress = keep, progress
        self._random = random.Random(f"{name}/{seed}")
        self.folder = Path()
        self._gateways: list[Program] = []
        self._ports: list[int] = []
        self._site_files: list[Path] = []
        self._programs: list[Program] = []
        self._workers = 0
        self._servers: list[str] = []
        self._broker_address = self._amqp_address = ""
        self.gateway_logs: list[Path] = []
        self.health: list[int] = []
        self.gateway_fleet: GatewayFleet | None = None
        self._clock_env: dict[int, dict[str, str]] = {}  # environment of gateways whose clock rate is changed
        self._restart_locks = [asyncio.Lock() for _ in range(day.gateways)]

    async def play(self) -> dict[str, Any]:
        """Run the day and return its verdict.  Raises DayFailed."""
        self.folder = self._keep or Path(tempfile.mkdtemp(prefix="swiftwell-day-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        started_at = time.monotonic()
        try:
            await self._start()
            await self._run()
        finally:
            await asyncio.gather(*(program.end() for program in self._gateways))
            for program in reversed(self._programs):
                await program.end()
            if self.gateway_fleet:
                self.gateway_fleet.close()
        events = read(self.folder)
        findings = check(events, self.day.limits())
        result = verdict(self.name, self.seed, time.monotonic() - started_at, events, findings)
        if self.day.list_down_s or self.day.saved != "none":
            result["start"] = starting(events)
        if any(trouble.do == "upgrade" for trouble in self.day.troubles):
            result |= handovers(events)
            result["pause"]["told_ms"] = self._pauses()
        if any(crowd.via == "amqp" for crowd in self.day.crowds):
            result["sharing"] = sharing(events)
        if any(trouble.do == "restart" for trouble in self.day.troubles):
            result["warm"] = warmth(events)
        if self.gateway_fleet and any(trouble.do == "herd" for trouble in self.day.troubles):
            result["account"] = account(events)
        if self.gateway_fleet:
            result["fleet"] = fleet = self.gateway_fleet.verdict(events)
            # With larger clock drift only the token check of the resource protects against two holders.
            overlaps = fleet["overlaps"] if self._clocks_are_bounded() else 0
            result["rules"]["one_holder"] = overlaps + fleet["older"]
            findings.broken["one_holder"] = result["rules"]["one_holder"]
        result["rules_kept"] = (
            not any(findings.broken.values()) and not findings.lost and not findings.doubled
        )
        if self._keep is None and result["rules_kept"]:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            result["folder"] = str(self.folder)
        return result

    def _pauses(self) -> dict[str, float]:
        """Quantiles of the pauses at handover, as logged by the old processes."""
        pauses = []
        for path in self.folder.glob("gw-*.log"):
            for line in path.read_bytes().splitlines():
                if b"handed-over" in line:
                    pauses.append(float(msgspec.json.decode(line)["pause_ms"]))
        return {
            name: quantile(pauses, fraction) for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
        }

    async def _start(self) -> None:
        day = self.day
        self._trace = Trace("runner", self.folder / "runner.trace")
        plan = msgspec.json.encode({"day": msgspec.to_builtins(day), "seed": self.seed, "scale": self.scale})
        plan_file = self.folder / "plan.json"
        plan_file.write_bytes(plan)
        fleet, ready = await Program.start(
            "fleet", self.folder, "standin", "fleet", "--plan", str(plan_file), "--trace", str(self.folder)
        )
        self._programs.append(fleet)
        self._fleet, self._workers, fleet_ready = fleet, len(ready["workers"]), ready
        self._servers = ready["lists"]
        self._broker: Program | None = None
        if any(crowd.via == "broker" for crowd in day.crowds):
            broker, ready = await Program.start(
                "broker", self.folder, "standin", "broker", "--trace", str(self.folder)
            )
            self._programs.append(broker)
            self._broker, self._broker_address = broker, f"127.0.0.1:{ready['port']}"
        self._amqp: Program | None = None
        if any(crowd.via == "amqp" for crowd in day.crowds):
            amqp, ready = await Program.start(
                "amqp", self.folder, "standin", "amqp", "--trace", str(self.folder)
            )
            self._programs.append(amqp)
            self._amqp, self._amqp_address = amqp, f"127.0.0.1:{ready['port']}"
        await self._prepare_lists(fleet_ready)
        if day.together:
            self.gateway_fleet = GatewayFleet(day, self.seed)
            await self.gateway_fleet.start()
        self._site_files = [self.folder / f"gw-{number}.kdl" for number in range(day.gateways)]
        self._ports, self.health = [0] * day.gateways, [0] * day.gateways
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_gateway(number: int) -> Program:
            async with start_slots:
                return await self._start_gateway(number)

        self._gateways += await asyncio.gather(*map(start_gateway, range(day.gateways)))
        addresses = {
            "endpoint": [f"127.0.0.1:{port}" for port in self._ports],
            "broker": [self._broker_address],
            "amqp": [self._amqp_address],
        }
        (self.folder / "addresses.json").write_bytes(msgspec.json.encode(addresses))
        self._publishers, _ = await Program.start(
            "publishers", self.folder, "standin", "publishers", "--plan", str(plan_file), "--trace",
            str(self.folder), "--addresses", str(self.folder / "addresses.json"),
        )  # fmt: skip
        self._programs.append(self._publishers)

    async def _prepare_lists(self, ready: dict[str, Any]) -> None:
        """Write saved lists as old as the day says, after changing some of the workers in them."""
        day = self.day
        workers, starts, kinds = list(ready["workers"]), list(ready["started_ms"]), ready["kinds"]
        changed = self._random.sample(range(len(workers)), round(day.saved_wrong * len(workers)))
        for count, number in enumerate(changed):
            change = ("drained", "replaced", "moved")[count % 3]
            self._trace.note("wrong", worker=workers[number], what=change)
            if change == "drained":
                await self._fleet.command(do="drain", worker=number, end_s=3_600.0)
            elif change == "replaced":
                await self._fleet.command(do="die", worker=number, back_s=0.2)
            else:  # the list names an address on which nothing listens any more
                workers[number] = f"127.0.0.1:{1 + number}"
        if changed:
            await asyncio.sleep(0.2 + day.fleet.list_late_ms / 1e3 + 0.3)
        if day.list_down_s:
            await self._fleet.command(do="list", name="down", for_s=day.list_down_s)
        if day.saved == "none":
            return
        wall_us, monotonic_us = time.time_ns() // 1_000, time.monotonic_ns() // 1_000
        saved_at_us = wall_us - int(day.saved_age_s * 1e6)
        entries = tuple(
            saved.SavedWorker(worker, kind, "", 0, False, int(start * 1e3), saved_at_us, saved_at_us)
            for worker, kind, start in zip(workers, kinds, starts, strict=True)
        )
        # Another boot identifier makes gateways take the age from the wall clock, as after a reboot.
        saved_list = saved.SavedList(1, saved_at_us, monotonic_us, "earlier", entries)
        for number in range(day.gateways):
            saved.write(self.folder / f"state-{number}" / "list", saved_list)
        lines = [f'worker "{worker}" kind="{kind}"' for worker, kind in zip(workers, kinds, strict=True)]
        (self.folder / "workers.kdl").write_text("\n".join(lines) + "\n")

    def _clocks_are_bounded(self) -> bool:
        """Whether all clocks keep within the drift that leases allow for."""
        return all(
            abs(trouble.rate - 1) <= MAX_CLOCK_DRIFT for trouble in self.day.troubles if trouble.do == "clock"
        )

    async def _start_gateway(self, number: int) -> Program:
        state = self.folder / f"state-{number}"
        text = days.site(
            self.day,
            number,
            state,
            self._ports[number],
            self._servers,
            self._broker_address,
            self.health[number],
            str(self.folder / "workers.kdl") if self.day.saved == "blind" else "",
            self._amqp_address,
            self.gateway_fleet.settings_block(number) if self.gateway_fleet else "",
        )
        self._site_files[number].write_text(text)
        program, ready = await Program.start(
            f"gw-{number}",
            self.folder,
            "serve",
            str(self._site_files[number]),
            "--ready",
            env=self._clock_env.get(number),
        )
        self._ports[number], self.health[number] = ready["listener"], ready["health"]
        self._trace.note("ready", gw=f"gw-{number}", port=ready["listener"], cpu_s=cpu_s(ready["pid"]))
        return program

    async def _run(self) -> None:
        """Run the load and the troubles, from the first call to the last answer."""
        start = time.monotonic()
        publishers = asyncio.ensure_future(self._publishers.read_line())
        troubles = asyncio.gather(*(self._inject(trouble, start) for trouble in self.day.troubles))
        self._progress("calls begin", 0.0)
        try:
            await asyncio.wait_for(publishers, self.day.seconds + END_TIMEOUT_S)
            await asyncio.wait_for(troubles, END_TIMEOUT_S)
        except TimeoutError:
            raise DayFailed("the publishers or the troubles did not end in time") from None
        finally:
            troubles.cancel()
            with contextlib.suppress(asyncio.CancelledError, DayFailed):
                await troubles
        for number, program in enumerate(self._gateways):
            if program.process.returncode is not None:
                raise DayFailed(f"gw-{number} exited unexpectedly; see {program.log}")

    async def _inject(self, trouble: days.Trouble, start: float) -> None:
        workers = self._random.sample(range(self._workers), min(trouble.workers, self._workers))
        await asyncio.sleep(max(0.0, start + trouble.at - time.monotonic()))
        self._progress(f"{trouble.do} {trouble.fault}".strip(), time.monotonic() - start)
        self._trace.note("trouble", do=trouble.do, fault=trouble.fault, for_s=trouble.for_s)
        match trouble.do:
            case "kill-gateway":
                for _ in range(trouble.count):
                    numbers = self._targets(trouble)
                    await asyncio.gather(*(self._kill(number, trouble.for_s) for number in numbers))
                    await asyncio.sleep(trouble.one_by_one_s)
            case kind if kind in days.FLEET_TROUBLES and self.gateway_fleet:
                await self._inject_in_fleet(trouble, self.gateway_fleet)
            case "upgrade":
                await self._upgrade_repeatedly(trouble)
            case "restart":
                await self._stop_and_start(trouble)
            case "store" | "list":
                await self._fleet.command(do=trouble.do, name=trouble.fault, for_s=trouble.for_s)
            case "amqp" if self._amqp:
                fault = {"name": trouble.fault, "for_s": trouble.for_s}
                if trouble.fault == "restart":
                    fault |= {"keep": trouble.keep, "lose_s": trouble.lose_s}
                await self._amqp.command(do="fault", **fault)
            case "broker" if self._broker:
                await self._broker.command(
                    do="fault", name=trouble.fault, for_s=trouble.for_s, keep=trouble.keep
                )
            case _:
                for number in workers:
                    await self._inject_at_worker(trouble, number)
                    await asyncio.sleep(trouble.one_by_one_s)

    async def _inject_at_worker(self, trouble: days.Trouble, worker: int) -> None:
        match trouble.do:
            case "die":
                await self._fleet.command(do="die", worker=worker, back_s=trouble.for_s)
            case "drain":
                await self._fleet.command(do="drain", worker=worker, end_s=3.0, back_s=trouble.for_s)
            case "slow":
                await self._fleet.command(
                    do="fault", worker=worker, name="slow", for_s=trouble.for_s, times=trouble.times
                )
            case "full":
                await self._fleet.command(
                    do="fault", worker=worker, name="full", for_s=trouble.for_s, band=trouble.band
                )
            case name:
                await self._fleet.command(
                    do="fault", worker=worker, name=name.replace("-", "_"), for_s=trouble.for_s
                )

    async def _upgrade_repeatedly(self, trouble: days.Trouble) -> None:
        """Run handovers one after the other; some new processes are made to crash, at each step in turn."""
        number = trouble.gateway
        for round_ in range(1, trouble.count + 1):
            crash = trouble.crash_every and round_ % trouble.crash_every == 0
            step = CRASH_STEPS[round_ // trouble.crash_every % len(CRASH_STEPS)] if crash else ""
            self._trace.note("handover-begins", gw=f"gw-{number}", crash=step)
            arguments = ("serve", str(self._site_files[number]), "--take-over", "--ready")
            try:
                program, ready = await Program.start(
                    f"gw-{number}",
                    self.folder,
                    *arguments,
                    env={"SWIFTWELL_HANDOVER_FAULT": f"crash:{step}"} if crash else {},
                )
                old, self._gateways[number] = self._gateways[number], program
                await asyncio.wait_for(old.process.wait(), READY_TIMEOUT_S)
                ok = ready["listener"] == self._ports[number]
            except DayFailed:
                ok = False
            self._trace.note("handover-ends", gw=f"gw-{number}", ok=ok, crash=step)
            await asyncio.sleep(trouble.one_by_one_s)

    async def _stop_and_start(self, trouble: days.Trouble) -> None:
        """Stop a gateway gracefully and start it again, with or without its saved state."""
        number = trouble.gateway
        self._trace.note(
            "killed", gw=f"gw-{number}", how="restart" if trouble.keep else "restart without books"
        )
        await self._gateways[number].end()
        if not trouble.keep:
            (self.folder / f"state-{number}" / "books").unlink(missing_ok=True)
        self._gateways[number] = await self._start_gateway(number)

    def _targets(self, trouble: days.Trouble) -> list[int]:
        if not self.gateway_fleet:
            return [trouble.gateway]
        return self.gateway_fleet.targets(trouble, read(self.folder) if trouble.whom == "reader" else [])

    async def _inject_in_fleet(self, trouble: days.Trouble, gateway_fleet: GatewayFleet) -> None:
        """Inject a trouble that concerns gateways of a fleet."""
        numbers, faults = self._targets(trouble), gateway_fleet.relay.faults
        others = set(range(gateway_fleet.size)) - set(numbers)
        match trouble.do:
            case "site":
                await self._fail_site(trouble, gateway_fleet)
            case "herd":
                await asyncio.gather(*(self._kill(number, trouble.for_s) for number in numbers))
            case "stop":
                stopped = [(number, self._gateways[number]) for number in numbers]
                stopped = [
                    (number, program) for number, program in stopped if program.send_signal(signal.SIGSTOP)
                ]
                for number, _ in stopped:
                    self._trace.note("stopped", gw=f"gw-{number}")
                await asyncio.sleep(trouble.for_s)
                for number, program in stopped:
                    program.send_signal(signal.SIGCONT)
                    self._trace.note("woken", gw=f"gw-{number}")
            case "cut" | "deafen":
                before = set(faults.cut)
                if trouble.do == "cut":
                    faults.split(set(numbers), others)
                else:
                    faults.deafen(set(numbers), others)
                added = faults.cut - before
                await asyncio.sleep(trouble.for_s)
                faults.cut -= added
            case "silence-resource":
                added = {(number, gateway_fleet.size) for number in numbers} | {
                    (gateway_fleet.size, n) for n in numbers
                }
                faults.cut |= added
                await asyncio.sleep(trouble.for_s)
                faults.cut -= added
            case "link":
                faults.loss, faults.twice, faults.delay_s = (
                    trouble.loss,
                    trouble.twice,
                    trouble.delay_ms / 1e3,
                )
                await asyncio.sleep(trouble.for_s)
                faults.loss = faults.twice = faults.delay_s = 0.0
            case "clock":
                self._clock_env |= {number: {CLOCK_RATE_VARIABLE: str(trouble.rate)} for number in numbers}
                for number in numbers:
                    await self._restart_gateway(number, signal.SIGKILL, cause="clock")
            case "epoch":  # restarts one gateway after the other, as an operator would
                gateway_fleet.next_epoch()
                for number in range(gateway_fleet.size):
                    await self._restart_gateway(number, signal.SIGTERM, cause="epoch")

    async def _fail_site(self, trouble: days.Trouble, gateway_fleet: GatewayFleet) -> None:
        """Inject a fault at a fraction of a site's calc servers; kill its gateways if the trouble says so."""
        zones = gateway_fleet.settings.zones
        site_workers = [number for number in range(self._workers) if number % zones == trouble.zone]
        for number in site_workers[: max(1, round(trouble.part * len(site_workers)))]:
            match trouble.fault:
                case "die":
                    await self._fleet.command(do="die", worker=number, back_s=trouble.for_s)
                case "silent":
                    await self._fleet.command(do="fault", worker=number, name="hang", for_s=trouble.for_s)
                case "slow":
                    fault = {"name": "slow", "for_s": trouble.for_s, "times": trouble.times}
                    await self._fleet.command(do="fault", worker=number, **fault)
        if trouble.routers:
            site_gateways = [number for number in range(gateway_fleet.size) if number % zones == trouble.zone]
            await asyncio.gather(*(self._kill(number, trouble.for_s) for number in site_gateways))

    async def _kill(self, number: int, away_s: float) -> None:
        await self._restart_gateway(number, signal.SIGKILL, away_s)

    async def _restart_gateway(
        self, number: int, signal_number: int, away_s: float = 0.0, cause: str = ""
    ) -> None:
        """End a gateway and start it again, after other restarts of the same gateway have finished."""
        async with self._restart_locks[number]:
            self._trace.note("killed", gw=f"gw-{number}", how=cause)
            await self._gateways[number].end(signal_number)
            await asyncio.sleep(away_s)
            self._gateways[number] = await self._start_gateway(number)
