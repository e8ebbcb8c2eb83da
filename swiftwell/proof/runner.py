"""Plays a day: starts every program of it, brings its troubles, collects the traces and asks the checker."""

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
from swiftwell.handover.new import STEPS
from swiftwell.proof import days
from swiftwell.proof.account import account
from swiftwell.proof.gateway_fleet import GatewayFleet
from swiftwell.proof.rules import check
from swiftwell.proof.trace import Trace, read
from swiftwell.proof.verdict import handovers, quantile, sharing, starting, verdict, warmth

CRASHES = STEPS[:-1]  # a crash after `owned` is a crash of the gateway itself
READY_S = 60.0  # s that a program may take to start: hundreds of them share the machine
AT_ONCE = 16  # gateways that start at a time: two a core
END_S = 30.0  # s that publishers may take beyond their calls


def cpu_s(pid: int) -> float:
    """Processor time that a process has taken, in s; 0 where the system does not tell (proc(5))."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class DayFailed(Exception):
    """The day could not be played; the text says which program failed, and how."""


class Program:
    """A program of the day: started, told things on its standard input, heard on its standard output."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log

    @classmethod
    async def start(
        cls, name: str, folder: Path, *words: str, env: dict[str, str] | None = None
    ) -> tuple[Program, dict[str, Any]]:
        """Start `swiftwell WORDS` and wait for its first line, which is returned."""
        log = folder / f"{name}.log"
        with open(log, "ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "swiftwell", *words,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=err, limit=1 << 22,
                env=os.environ | (env or {}),
            )  # fmt: skip
        program = cls(name, process, log)
        try:
            told = await asyncio.wait_for(program.hear(), READY_S)
        except TimeoutError:
            process.kill()
            raise DayFailed(f"{name} did not start in time; see {log}") from None
        return program, told

    async def hear(self) -> dict[str, Any]:
        """The next line it says."""
        assert self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            tail = self.log.read_text(errors="replace").strip().split("\n")[-5:]
            raise DayFailed(f"{self.name} ended: " + " | ".join(tail))
        return msgspec.json.decode(line, type=dict[str, Any])

    async def tell(self, **order: Any) -> dict[str, Any]:
        """Give it an order and wait for its answer."""
        assert self.process.stdin
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        answer = await self.hear()
        if not answer.get("ok"):
            raise DayFailed(f"{self.name}: {answer.get('error')}")
        return answer

    def send(self, number: int) -> bool:
        """Send it a signal; False where it has ended already, as one that is being restarted."""
        if self.process.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
            return True
        return False

    async def end(self, how: int = signal.SIGTERM, within_s: float = 10.0) -> int:
        """End it; its exit code."""
        if self.process.returncode is None:
            self.send(how)
            try:
                await asyncio.wait_for(self.process.wait(), within_s)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        return self.process.returncode or 0


class Player:
    """One playing of a day.  `scale` multiplies rates and workers; `progress` hears what happens, for a
    live view."""

    def __init__(
        self, name: str, day: days.Day, seed: int, scale: float = 1.0, keep: Path | None = None,
        progress: Callable[[str, float], None] = lambda text, at: None,
    ) -> None:  # fmt: skip
        self.name, self.seed = name, seed
        self.day, self.scale = days.scaled(day, scale)
        self._keep, self._progress = keep, progress
        self._chance = random.Random(f"{name}/{seed}")
        self.folder = Path()
        self._gateways: list[Program] = []
        self._ports: list[int] = []
        self._sites: list[Path] = []
        self._programs: list[Program] = []
        self._workers = 0
        self._servers: list[str] = []
        self._broker_at = self._amqp_at = ""
        self.gateway_logs: list[Path] = []
        self.health: list[int] = []
        self.gateway_fleet: GatewayFleet | None = None
        self._clocks: dict[int, dict[str, str]] = {}  # a switch for gateways whose clock is off
        self._busy = [asyncio.Lock() for _ in range(day.gateways)]

    async def play(self) -> dict[str, Any]:
        """Play the day; its verdict.  Raises DayFailed."""
        self.folder = self._keep or Path(tempfile.mkdtemp(prefix="swiftwell-day-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        began = time.monotonic()
        try:
            await self._start()
            await self._through()
        finally:
            await asyncio.gather(*(program.end() for program in self._gateways))
            for program in reversed(self._programs):
                await program.end()
            if self.gateway_fleet:
                self.gateway_fleet.close()
        events = read(self.folder)
        found = check(events, self.day.limits())
        result = verdict(self.name, self.seed, time.monotonic() - began, events, found)
        if self.day.list_down_s or self.day.saved != "none":
            result["start"] = starting(events)
        if any(one.do == "upgrade" for one in self.day.troubles):
            result |= handovers(events)
            result["pause"]["told_ms"] = self._pauses()
        if any(crowd.via == "amqp" for crowd in self.day.crowds):
            result["sharing"] = sharing(events)
        if any(one.do == "restart" for one in self.day.troubles):
            result["warm"] = warmth(events)
        if self.gateway_fleet and any(one.do == "herd" for one in self.day.troubles):
            result["account"] = account(events)
        if self.gateway_fleet:
            result["fleet"] = fleet = self.gateway_fleet.verdict(events)
            overlaps = fleet["overlaps"] if self._bounded() else 0  # else the resource's check is what holds
            result["rules"]["one_holder"] = overlaps + fleet["older"]
            found.broken["one_holder"] = result["rules"]["one_holder"]
        result["rules_kept"] = not any(found.broken.values()) and not found.lost and not found.doubled
        if self._keep is None and result["rules_kept"]:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            result["folder"] = str(self.folder)
        return result

    def _pauses(self) -> dict[str, float]:
        """The times in which nobody was served, as the old processes tell them."""
        found = []
        for path in self.folder.glob("gw-*.log"):
            for line in path.read_bytes().splitlines():
                if b"handed-over" in line:
                    found.append(float(msgspec.json.decode(line)["pause_ms"]))
        return {name: quantile(found, part) for name, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))}

    async def _start(self) -> None:
        day = self.day
        self._trace = Trace("runner", self.folder / "runner.trace")
        plan = msgspec.json.encode({"day": msgspec.to_builtins(day), "seed": self.seed, "scale": self.scale})
        plan_file = self.folder / "plan.json"
        plan_file.write_bytes(plan)
        fleet, told = await Program.start(
            "fleet", self.folder, "standin", "fleet", "--plan", str(plan_file), "--trace", str(self.folder)
        )
        self._programs.append(fleet)
        self._fleet, self._workers, fleet_told = fleet, len(told["workers"]), told
        self._servers = told["lists"]
        self._broker: Program | None = None
        if any(crowd.via == "broker" for crowd in day.crowds):
            broker, told = await Program.start(
                "broker", self.folder, "standin", "broker", "--trace", str(self.folder)
            )
            self._programs.append(broker)
            self._broker, self._broker_at = broker, f"127.0.0.1:{told['port']}"
        self._amqp: Program | None = None
        if any(crowd.via == "amqp" for crowd in day.crowds):
            amqp, told = await Program.start(
                "amqp", self.folder, "standin", "amqp", "--trace", str(self.folder)
            )
            self._programs.append(amqp)
            self._amqp, self._amqp_at = amqp, f"127.0.0.1:{told['port']}"
        await self._prepare_lists(fleet_told)
        if day.together:
            self.gateway_fleet = GatewayFleet(day, self.seed)
            await self.gateway_fleet.start()
        self._sites = [self.folder / f"gw-{number}.kdl" for number in range(day.gateways)]
        self._ports, self.health = [0] * day.gateways, [0] * day.gateways
        gate = asyncio.Semaphore(AT_ONCE)

        async def one(number: int) -> Program:
            async with gate:
                return await self._gateway(number)

        self._gateways += await asyncio.gather(*map(one, range(day.gateways)))
        addresses = {
            "endpoint": [f"127.0.0.1:{port}" for port in self._ports],
            "broker": [self._broker_at],
            "amqp": [self._amqp_at],
        }
        (self.folder / "addresses.json").write_bytes(msgspec.json.encode(addresses))
        self._crowd, _ = await Program.start(
            "publishers", self.folder, "standin", "publishers", "--plan", str(plan_file), "--trace",
            str(self.folder), "--addresses", str(self.folder / "addresses.json"),
        )  # fmt: skip
        self._programs.append(self._crowd)

    async def _prepare_lists(self, told: dict[str, Any]) -> None:
        """Saved lists as old as the day says, and a fleet that has changed since they were written."""
        day = self.day
        workers, starts, kinds = list(told["workers"]), list(told["started_ms"]), told["kinds"]
        wrong = self._chance.sample(range(len(workers)), round(day.saved_wrong * len(workers)))
        for count, number in enumerate(wrong):
            what = ("drained", "replaced", "moved")[count % 3]
            self._trace.note("wrong", worker=workers[number], what=what)
            if what == "drained":
                await self._fleet.tell(do="drain", worker=number, end_s=3_600.0)
            elif what == "replaced":
                await self._fleet.tell(do="die", worker=number, back_s=0.2)
            else:  # the list names an address where nothing is any more
                workers[number] = f"127.0.0.1:{1 + number}"
        if wrong:
            await asyncio.sleep(0.2 + day.fleet.list_late_ms / 1e3 + 0.3)
        if day.list_down_s:
            await self._fleet.tell(do="list", name="down", for_s=day.list_down_s)
        if day.saved == "none":
            return
        wall, mono = time.time_ns() // 1_000, time.monotonic_ns() // 1_000
        word = wall - int(day.saved_age_s * 1e6)
        entries = tuple(
            saved.SavedWorker(worker, kind, "", 0, False, int(start * 1e3), word, word)
            for worker, kind, start in zip(workers, kinds, starts, strict=True)
        )
        # Another run of the machine, so that the age is by the wall clock as after a restart of the machine.
        kept = saved.SavedList(1, word, mono, "earlier", entries)
        for number in range(day.gateways):
            saved.write(self.folder / f"state-{number}" / "list", kept)
        lines = [f'worker "{worker}" kind="{kind}"' for worker, kind in zip(workers, kinds, strict=True)]
        (self.folder / "workers.kdl").write_text("\n".join(lines) + "\n")

    def _bounded(self) -> bool:
        """Whether clocks keep to what leases trust."""
        return all(abs(one.rate - 1) <= MAX_CLOCK_DRIFT for one in self.day.troubles if one.do == "clock")

    async def _gateway(self, number: int) -> Program:
        state = self.folder / f"state-{number}"
        text = days.site(
            self.day,
            number,
            state,
            self._ports[number],
            self._servers,
            self._broker_at,
            self.health[number],
            str(self.folder / "workers.kdl") if self.day.saved == "blind" else "",
            self._amqp_at,
            self.gateway_fleet.settings_block(number) if self.gateway_fleet else "",
        )
        self._sites[number].write_text(text)
        program, told = await Program.start(
            f"gw-{number}",
            self.folder,
            "serve",
            str(self._sites[number]),
            "--ready",
            env=self._clocks.get(number),
        )
        self._ports[number], self.health[number] = told["listener"], told["health"]
        self._trace.note("ready", gw=f"gw-{number}", port=told["listener"], cpu_s=cpu_s(told["pid"]))
        return program

    async def _through(self) -> None:
        """From the first call to the last answer."""
        start = time.monotonic()
        crowd = asyncio.ensure_future(self._crowd.hear())
        troubles = asyncio.gather(*(self._trouble(one, start) for one in self.day.troubles))
        self._progress("calls begin", 0.0)
        try:
            await asyncio.wait_for(crowd, self.day.seconds + END_S)
            await asyncio.wait_for(troubles, END_S)
        except TimeoutError:
            raise DayFailed("the publishers did not come to an end") from None
        finally:
            troubles.cancel()
            with contextlib.suppress(asyncio.CancelledError, DayFailed):
                await troubles
        for number, program in enumerate(self._gateways):
            if program.process.returncode is not None:
                raise DayFailed(f"gw-{number} ended by itself; see {program.log}")

    async def _trouble(self, one: days.Trouble, start: float) -> None:
        picked = self._chance.sample(range(self._workers), min(one.workers, self._workers))
        await asyncio.sleep(max(0.0, start + one.at - time.monotonic()))
        self._progress(f"{one.do} {one.fault}".strip(), time.monotonic() - start)
        self._trace.note("trouble", do=one.do, fault=one.fault, for_s=one.for_s)
        match one.do:
            case "kill-gateway":
                for _ in range(one.count):
                    numbers = self._whom(one)
                    await asyncio.gather(*(self._kill(number, one.for_s) for number in numbers))
                    await asyncio.sleep(one.one_by_one_s)
            case between if between in days.BETWEEN and self.gateway_fleet:
                await self._together(one, self.gateway_fleet)
            case "upgrade":
                await self._upgrades(one)
            case "restart":
                await self._restart(one)
            case "store" | "list":
                await self._fleet.tell(do=one.do, name=one.fault, for_s=one.for_s)
            case "amqp" if self._amqp:
                fault = {"name": one.fault, "for_s": one.for_s}
                if one.fault == "restart":
                    fault |= {"keep": one.keep, "lose_s": one.lose_s}
                await self._amqp.tell(do="fault", **fault)
            case "broker" if self._broker:
                await self._broker.tell(do="fault", name=one.fault, for_s=one.for_s, keep=one.keep)
            case _:
                for number in picked:
                    await self._one_worker(one, number)
                    await asyncio.sleep(one.one_by_one_s)

    async def _one_worker(self, one: days.Trouble, worker: int) -> None:
        match one.do:
            case "die":
                await self._fleet.tell(do="die", worker=worker, back_s=one.for_s)
            case "drain":
                await self._fleet.tell(do="drain", worker=worker, end_s=3.0, back_s=one.for_s)
            case "slow":
                await self._fleet.tell(
                    do="fault", worker=worker, name="slow", for_s=one.for_s, times=one.times
                )
            case "full":
                await self._fleet.tell(do="fault", worker=worker, name="full", for_s=one.for_s, band=one.band)
            case name:
                await self._fleet.tell(
                    do="fault", worker=worker, name=name.replace("-", "_"), for_s=one.for_s
                )

    async def _upgrades(self, one: days.Trouble) -> None:
        """Handovers one after the other; some of the new processes crash on purpose, at each step in turn."""
        number = one.gateway
        for turn in range(1, one.count + 1):
            crash = one.crash_every and turn % one.crash_every == 0
            step = CRASHES[turn // one.crash_every % len(CRASHES)] if crash else ""
            self._trace.note("handover-begins", gw=f"gw-{number}", crash=step)
            words = ("serve", str(self._sites[number]), "--take-over", "--ready")
            try:
                program, told = await Program.start(
                    f"gw-{number}",
                    self.folder,
                    *words,
                    env={"SWIFTWELL_HANDOVER_FAULT": f"crash:{step}"} if crash else {},
                )
                old, self._gateways[number] = self._gateways[number], program
                await asyncio.wait_for(old.process.wait(), READY_S)
                ok = told["listener"] == self._ports[number]
            except DayFailed:
                ok = False
            self._trace.note("handover-ends", gw=f"gw-{number}", ok=ok, crash=step)
            await asyncio.sleep(one.one_by_one_s)

    async def _restart(self, one: days.Trouble) -> None:
        """A plain restart: the gateway ends by itself and is started again, with its books or without."""
        number = one.gateway
        self._trace.note("killed", gw=f"gw-{number}", how="restart" if one.keep else "restart without books")
        await self._gateways[number].end()
        if not one.keep:
            (self.folder / f"state-{number}" / "books").unlink(missing_ok=True)
        self._gateways[number] = await self._gateway(number)

    def _whom(self, one: days.Trouble) -> list[int]:
        if not self.gateway_fleet:
            return [one.gateway]
        return self.gateway_fleet.targets(one, read(self.folder) if one.whom == "reader" else [])

    async def _together(self, one: days.Trouble, gateway_fleet: GatewayFleet) -> None:
        """Troubles between gateways."""
        numbers, faults = self._whom(one), gateway_fleet.relay.faults
        rest = set(range(gateway_fleet.size)) - set(numbers)
        match one.do:
            case "site":
                await self._site(one, gateway_fleet)
            case "herd":
                await asyncio.gather(*(self._kill(number, one.for_s) for number in numbers))
            case "stop":
                stopped = [(number, self._gateways[number]) for number in numbers]
                stopped = [(number, program) for number, program in stopped if program.send(signal.SIGSTOP)]
                for number, _ in stopped:
                    self._trace.note("stopped", gw=f"gw-{number}")
                await asyncio.sleep(one.for_s)
                for number, program in stopped:
                    program.send(signal.SIGCONT)
                    self._trace.note("woken", gw=f"gw-{number}")
            case "cut" | "deafen":
                before = set(faults.cut)
                if one.do == "cut":
                    faults.split(set(numbers), rest)
                else:
                    faults.deafen(set(numbers), rest)
                added = faults.cut - before
                await asyncio.sleep(one.for_s)
                faults.cut -= added
            case "silence-resource":
                added = {(number, gateway_fleet.size) for number in numbers} | {
                    (gateway_fleet.size, n) for n in numbers
                }
                faults.cut |= added
                await asyncio.sleep(one.for_s)
                faults.cut -= added
            case "link":
                faults.loss, faults.twice, faults.delay_s = one.loss, one.twice, one.delay_ms / 1e3
                await asyncio.sleep(one.for_s)
                faults.loss = faults.twice = faults.delay_s = 0.0
            case "clock":
                self._clocks |= {number: {CLOCK_RATE_VARIABLE: str(one.rate)} for number in numbers}
                for number in numbers:
                    await self._again(number, signal.SIGKILL, why="clock")
            case "epoch":  # one after the other, as an operator would
                gateway_fleet.next_epoch()
                for number in range(gateway_fleet.size):
                    await self._again(number, signal.SIGTERM, why="epoch")

    async def _site(self, one: days.Trouble, gateway_fleet: GatewayFleet) -> None:
        """A part of a site's calc servers, all by default, and its gateways where the day says so."""
        zones = gateway_fleet.settings.zones
        mine = [number for number in range(self._workers) if number % zones == one.zone]
        for number in mine[: max(1, round(one.part * len(mine)))]:
            match one.fault:
                case "die":
                    await self._fleet.tell(do="die", worker=number, back_s=one.for_s)
                case "silent":
                    await self._fleet.tell(do="fault", worker=number, name="hang", for_s=one.for_s)
                case "slow":
                    fault = {"name": "slow", "for_s": one.for_s, "times": one.times}
                    await self._fleet.tell(do="fault", worker=number, **fault)
        if one.routers:
            gone = [number for number in range(gateway_fleet.size) if number % zones == one.zone]
            await asyncio.gather(*(self._kill(number, one.for_s) for number in gone))

    async def _kill(self, number: int, away_s: float) -> None:
        await self._again(number, signal.SIGKILL, away_s)

    async def _again(self, number: int, how: int, away_s: float = 0.0, why: str = "") -> None:
        """End a gateway and start it again, once those who do so already are through."""
        async with self._busy[number]:
            self._trace.note("killed", gw=f"gw-{number}", how=why)
            await self._gateways[number].end(how)
            await asyncio.sleep(away_s)
            self._gateways[number] = await self._gateway(number)
