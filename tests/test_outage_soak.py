"""Seeded outages of the worker list with drains, crashes, hangs, stalls, restarts and signals in them.

CI runs `SEEDS` of them, some at a time.  To run more:
SWIFTWELL_OUTAGE_SEEDS=60 python -m pytest tests/test_outage_soak.py
"""

import asyncio
import os
import random
import signal
import time

import pytest
from outagebench import GONE, READY, Scene

SEEDS = int(os.environ.get("SWIFTWELL_OUTAGE_SEEDS", "8"))
CONCURRENT = 4  # scenes at a time; each has three routers and fifteen clients
FORMS = ("silent", "refusing", "one-frame", "trickle", "ahead", "repeats")
OUTAGE_S = 8.0
CROSSED_S = 0.05  # before a connection closes, within which a request may cross the close
MAX_STALL_S = 1.5  # of a stopped router


class Outage:
    """One scene, drawn from a seed; `script` records the actions for the message of a failure."""

    def __init__(self, folder, seed):
        self.random = random.Random(seed)
        orders = self.random.random() < 0.8
        idle_ms = self.random.choice((1_000.0, 30_000.0))
        limits = {"conn-idle-ms": idle_ms}
        self.scene = Scene(folder, routers=3, workers=6, seed=seed, orders=orders, **limits)
        self.script, self.stalled_s, self.killed = [f"orders {orders}, idle {idle_ms}"], 0.0, set()
        self._began, self._silent_services = 0.0, []

    def _note(self, *parts):
        self.script.append(f"{time.monotonic() - self._began:.2f} " + " ".join(map(str, parts)))

    async def play(self):
        async with self.scene.playing(clients=5, pause_s=0.1):
            self._began = time.monotonic()
            await asyncio.sleep(1.0)
            running = [self._change_forms(), *(self._run_later(action) for action in self._draw_actions())]
            await asyncio.gather(*running)
            if self.random.random() < 0.3:
                await self._terminate_all()
            elif self.random.random() < 0.7:
                await self._restore_list()
        for service in self._silent_services:
            await service.close()
        return self.scene.verdict()

    def _draw_actions(self):
        actions = [self._drain] * self.random.randint(1, 3)
        actions += [self._crash] * self.random.randint(0, 1) + [self._hang] * self.random.randint(0, 1)
        actions += [self._stall] * self.random.randint(0, 1) + [self._restart_router] * self.random.randint(
            0, 1
        )
        return actions

    async def _run_later(self, action):
        await asyncio.sleep(self.random.uniform(0.1, OUTAGE_S - 2.0))
        await action()

    async def _change_forms(self):
        """The outage: one form after another."""
        remaining_s = OUTAGE_S
        while remaining_s > 0:
            form = self.random.choice((*FORMS, "moved", "moved"))
            self._note("list", form)
            if form == "moved":
                self._silent_services.append(await self.scene.moved_to_silence())
                for _ in range(self.random.randint(0, 3)):
                    await self.scene.move(self._silent_services[-1].port)
                    await asyncio.sleep(self.random.choice((0.0, 0.3)))
            else:
                await self.scene.outage(form)
            duration_s = min(remaining_s, self.random.choice((0.4, 2.0, 5.0, OUTAGE_S)))
            await asyncio.sleep(duration_s)
            remaining_s -= duration_s

    async def _restore_list(self):
        """Makes the list available again, at its old address."""
        self._note("list available")
        await self.scene.list.set_mode("well")
        await self.scene.move(self.scene.list.port)
        await asyncio.sleep(1.5)

    async def _drain(self):
        worker = self.scene.busiest()
        if sum(other.draining_since is None for other in self.scene.workers) <= 2:
            return
        self._note("worker drains", worker.number)
        self.scene.drain(worker)
        await asyncio.sleep(self.random.uniform(0.5, 6.0))
        if self.random.random() < 0.5:
            await self._restart(worker, self.random.uniform(0.2, 1.5))

    async def _crash(self):
        await self._restart(self.scene.busiest(), self.random.uniform(0.2, 1.5))

    async def _restart(self, worker, away_s):
        self._note("worker ends", worker.number, round(away_s, 2))
        self.scene.list.add_event((worker.number, worker.port, GONE))
        await worker.restart(away_s)
        self._note("worker is back", worker.number)
        self.scene.list.add_event((worker.number, worker.port, READY))

    async def _hang(self):
        worker = self.scene.busiest()
        self._note("worker hangs", worker.number)
        worker.hangs = True
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        worker.hangs = False

    async def _stall(self):
        """Stops a router's process and continues it."""
        number, stall_s = self.random.randrange(3), self.random.uniform(0.3, MAX_STALL_S)
        self._note("router stalls", number, round(stall_s, 2))
        process = self.scene.routers[number].process
        self.stalled_s = max(self.stalled_s, stall_s)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stall_s)
        process.send_signal(signal.SIGCONT)

    async def _restart_router(self):
        """Kills a router and starts it again, with the worker list of that moment."""
        number = self.random.randrange(3)
        self._note("router restarts", number)
        self.killed.add(number)
        await self.scene.restart_router(number)

    async def _terminate_all(self):
        """Sends SIGTERM while the list is unavailable; every accepted call must be answered."""
        self._note("SIGTERM")
        for router in self.scene.routers:
            router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)


async def play_all(folder, seeds):
    scenes = {}
    for seed in seeds:
        (folder / str(seed)).mkdir()
        scenes[seed] = Outage(folder / str(seed), seed)
    async with asyncio.timeout(60):
        verdicts = await asyncio.gather(*(scene.play() for scene in scenes.values()))
    return [(seed, scenes[seed], verdict) for seed, verdict in zip(seeds, verdicts, strict=True)]


def judge(seed, outage, verdict):
    report = f"seed {seed}: {verdict}\n" + "\n".join(outage.script)
    print(f"seed {seed}: {verdict}")
    assert verdict.late_calls == verdict.late_orders == 0, report
    assert not verdict.doubled, report

    def killed(client):
        return (client - 1) % 3 in outage.killed

    slack_s = verdict.lag_s + outage.stalled_s
    late = [excess_s for _, excess_s in verdict.seen.late if excess_s > slack_s]
    waits = outage.scene.waits
    lost = [
        ended - sent
        for client, sent, ended in verdict.seen.unanswered
        if not killed(client) and ended - sent > CROSSED_S + slack_s + waits.waited_s(sent, ended)
    ]
    assert not late and not lost, (late, lost, report)


@pytest.mark.parametrize("first", range(1, SEEDS + 1, CONCURRENT))
def test_every_rule_holds_during_outages_of_the_list(tmp_path, first):
    seeds = range(first, min(first + CONCURRENT, SEEDS + 1))
    for seed, outage, verdict in asyncio.run(play_all(tmp_path, seeds)):
        judge(seed, outage, verdict)
