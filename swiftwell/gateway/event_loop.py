"""The turn of the loop that every way in and out shares: take in all that came, step the engine once, carry
out what it wants.  Nothing is decided here.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from tornado.ioloop import IOLoop

from swiftwell import interface as io
from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.gateway.clock import Clock
from swiftwell.gateway.engine import Engine


class BatchingLoop:
    """What fronts and links see of the process that hosts them.

    `engine` and `link` are set by whoever joins the parts.
    """

    engine: Engine
    link: Any

    def __init__(self, logs: Any, effects: dict[str, io.Effect]) -> None:
        self.logs, self._effects = logs, effects
        self.clock = Clock()
        self._loop = IOLoop.current()
        self.frozen = False  # another process is being given what this one has
        self.replies: Counter[tuple[str, str, str]] = Counter()  # class, kind, reason
        self._inputs: list[ports.Input] = []
        self._stepping = False
        self._timer: object = None
        self._timer_us = 0

    # What the fronts see of us.

    def submit(self, trigger: Trigger) -> None:
        """Take a trigger."""
        self.enqueue(ports.Arrive(trigger, self.clock.now_us()))

    def gone(self, source: str) -> None:
        """A front's peer is gone for good."""
        self.enqueue(ports.Gone(source))

    def wall_ms(self) -> float:
        """Anchored wall time."""
        return self.clock.wall_ms()

    def effect(self, request_class: str) -> io.Effect | None:
        """What a repeat of a class does."""
        return self._effects.get(request_class)

    def load(self) -> tuple[int, int]:
        """Calls at workers, and calls that wait."""
        return self.engine.load()

    def log(self, level: str, event: str, **fields: object) -> None:
        """A line for the log."""
        self.logs.write(level, event, **fields)

    # BatchingLoop.

    def enqueue(self, given: ports.Input) -> None:
        """Something happened; the engine takes it in this turn of the loop."""
        self._inputs.append(given)
        self.wake()

    def wake(self) -> None:
        """See to it that this turn has an end, also where the engine is told nothing in it."""
        if not self._stepping and not self.frozen:
            self._stepping = True
            self._loop.add_callback(self._step)

    def _step(self) -> None:
        if self.frozen:
            self._stepping = False
            return
        self._stepping = True  # what is put in while outputs are carried out is the next turn's
        inputs, self._inputs = self._inputs, []
        try:
            for out in self.engine.step(self.clock.now_us(), self.clock.wall_us(), inputs):
                self._execute_guarded(out)
            self._after_step()
        finally:  # else one failure would end all turns
            self._stepping = False
            if self._inputs:
                self.wake()
            self._arm()

    def _execute_guarded(self, out: ports.Output) -> None:
        try:
            self._execute(out)
        except Exception as error:  # one output's trouble is not the others'
            what = f"{type(error).__name__}: {error}"
            self.log("error", "output-failed", output=type(out).__name__, error=what)
            # What was begun and failed half-way still ends in the engine's books, else its call stays there.
            if isinstance(out, ports.Start):
                self.enqueue(ports.AttemptEnd(out.id, out.number, io.Status.ERROR, Ran.MAYBE))
            elif isinstance(out, ports.Order):
                self.enqueue(ports.OrderEnd(out.number, io.Status.ERROR, 0))

    def _after_step(self) -> None:
        """After the outputs of a turn: what was gathered goes out."""

    def _arm(self) -> None:
        due = self.engine.next_us()
        if due is None or (self._timer is not None and self._timer_us <= due):
            return
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        self._timer_us = due
        self._timer = self._loop.call_later(max(0.0, (due - self.clock.now_us()) / 1e6), self._due)

    def _due(self) -> None:
        self._timer = None
        if not self._stepping:
            self._step()

    def resume(self) -> None:
        """Step after a rest."""
        self._timer = None
        self._step()

    def _execute(self, out: ports.Output) -> None:
        match out:
            case ports.Start():
                self.link.start(out)
            case ports.Reply():
                trigger = out.trigger
                request_class = trigger.request_class if trigger.request_class in self._effects else ""
                self.replies[request_class, out.answer.kind.value, out.answer.reason] += 1
                trigger.ref.connection[0].replied(trigger, out.answer)  # type: ignore[attr-defined]
            case ports.Accepted():
                out.trigger.ref.connection[0].accepted(out.trigger)  # type: ignore[attr-defined]
            case ports.Abandon():
                self.link.abandon(out)
            case ports.Withdraw():
                self.link.withdraw(out)
            case ports.Order():
                self.link.order(out)
            case ports.Recall():
                self.link.recall(out)
            case ports.Ask():
                self.link.probe(out)
            case ports.Line():
                self.log(out.level, out.event, **dict(out.fields))
            case ports.AskList() | ports.Write():
                pass  # every source here tells of changes by itself; a ledger's shell writes
