"""Drives the engine from the event loop: collects the inputs of one loop iteration, steps the engine once
with all of them and executes its outputs.  Nothing is decided here.
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
from swiftwell.gateway.failures import FailureLog


class BatchingLoop:
    """The process as fronts and links see it.

    Subclasses set `engine` and `link`, the link to the workers.
    """

    engine: Engine
    link: Any

    def __init__(self, logs: Any, effects: dict[str, io.Effect]) -> None:
        self.logs, self._effects = logs, effects
        self.clock = Clock()
        self.failures = FailureLog(self.log)
        self._loop = IOLoop.current()
        self.frozen = False  # set while the state is handed over to another process
        self.replies: Counter[tuple[str, str, str]] = Counter()  # class, kind, reason
        self._inputs: list[ports.Input] = []
        self._stepping = False
        self._timer: object = None
        self._timer_us = 0

    # Called by fronts.

    def submit(self, trigger: Trigger) -> None:
        """Queue a trigger for the engine."""
        self.enqueue(ports.Arrive(trigger, self.clock.now_us()))

    def gone(self, source: str) -> None:
        """A front's peer has left for good."""
        self.enqueue(ports.Gone(source))

    def wall_ms(self) -> float:
        """Anchored wall-clock time."""
        return self.clock.wall_ms()

    def effect(self, request_class: str) -> io.Effect | None:
        """The effect of repeating a call of a class; None if the class is unknown."""
        return self._effects.get(request_class)

    def load(self) -> tuple[int, int]:
        """Attempts in flight, and calls that wait for one."""
        return self.engine.load()

    def log(self, level: str, event: str, **fields: object) -> None:
        """Write a log line."""
        self.logs.write(level, event, **fields)

    def record_failure(self, stage: str, error: Exception) -> None:
        """An unexpected error concerned one request, answer or connection only."""
        self.failures.record(stage, error)

    # Batching.

    def enqueue(self, input_: ports.Input) -> None:
        """Queue an input; the engine handles it at the end of this loop iteration."""
        self._inputs.append(input_)
        self.wake()

    def wake(self) -> None:
        """Schedule a step of the engine, even without inputs, so that `_after_step` runs."""
        if not self._stepping and not self.frozen:
            self._stepping = True
            self._loop.add_callback(self._step)

    def _step(self) -> None:
        if self.frozen:
            self._stepping = False
            return
        self._stepping = True  # inputs that outputs cause belong to the next step
        inputs, self._inputs = self._inputs, []
        try:
            for output in self.engine.step(self.clock.now_us(), self.clock.wall_us(), inputs):
                self._execute_guarded(output)
            self._after_step()
        except Exception as error:
            self.record_failure("step", error)
        finally:  # else one failure would stop all further steps
            self._stepping = False
            if self._inputs:
                self.wake()
            self._set_timer()

    def _execute_guarded(self, output: ports.Output) -> None:
        try:
            self._execute(output)
        except Exception as error:  # must not prevent the other outputs
            self.failures.record("output", error, output=type(output).__name__)
            # The engine needs an outcome of what failed half-way, else it would keep the call for ever.
            if isinstance(output, (ports.Start, ports.Abandon)):
                self.enqueue(ports.AttemptEnd(output.id, output.number, io.Status.ERROR, Ran.MAYBE))
            elif isinstance(output, ports.Order):
                self.enqueue(ports.OrderEnd(output.number, io.Status.ERROR, 0))

    def _after_step(self) -> None:
        """Called after the outputs of a step, to flush what they buffered."""

    def _set_timer(self) -> None:
        due_us = self.engine.next_us()
        if due_us is None or (self._timer is not None and self._timer_us <= due_us):
            return
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        self._timer_us = due_us
        self._timer = self._loop.call_later(max(0.0, (due_us - self.clock.now_us()) / 1e6), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if not self._stepping:
            self._step()

    def resume(self) -> None:
        """Step again after a pause for a handover."""
        self._timer = None
        self._step()

    def _execute(self, output: ports.Output) -> None:
        match output:
            case ports.Start():
                self.link.start(output)
            case ports.Reply():
                trigger = output.trigger
                request_class = trigger.request_class if trigger.request_class in self._effects else ""
                self.replies[request_class, output.answer.kind.value, output.answer.reason] += 1
                trigger.ref.connection[0].replied(trigger, output.answer)  # type: ignore[attr-defined]
            case ports.Accepted():
                output.trigger.ref.connection[0].accepted(output.trigger)  # type: ignore[attr-defined]
            case ports.Abandon():
                self.link.abandon(output)
            case ports.Withdraw():
                self.link.withdraw(output)
            case ports.Order():
                self.link.order(output)
            case ports.Recall():
                self.link.recall(output)
            case ports.Ask():
                self.link.probe(output)
            case ports.Line():
                self.log(output.level, output.event, **dict(output.fields))
            case ports.AskList() | ports.Write():
                pass  # sources report changes without a subscription; the gateway's shell handles writes
