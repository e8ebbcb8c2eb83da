"""Fault injection for tests and days of a handover; without the environment variable it does nothing."""

from __future__ import annotations

import os
import signal
import time


def inject(step: str) -> None:
    """Crash or hang this process at a step, if SWIFTWELL_HANDOVER_FAULT names it as KIND:STEP.

    KIND is crash, hang or lie; lie is handled where the hello is sent.
    """
    kind, _, at = os.environ.get("SWIFTWELL_HANDOVER_FAULT", "").partition(":")
    if at != step:
        return
    if kind == "crash":
        os.kill(os.getpid(), signal.SIGKILL)
    elif kind == "hang":
        time.sleep(30)
