"""Faults that a test or a day puts into a handover; outside of them `step` does nothing."""

from __future__ import annotations

import os
import signal
import time


def step(name: str) -> None:
    """End or hang this process where SWIFTWELL_HANDOVER_FAULT, KIND:STEP, says so; KIND is crash, hang or
    lie."""
    kind, _, at = os.environ.get("SWIFTWELL_HANDOVER_FAULT", "").partition(":")
    if at != name:
        return
    if kind == "crash":
        os.kill(os.getpid(), signal.SIGKILL)
    elif kind == "hang":
        time.sleep(30)
