"""`python -m swiftwell.platform`: signals are caught before anything that takes time is imported."""

import gc
import signal
import time

# What the configuration lists was true when it was written, before this process began; so long ago at most.
BOOT_US = 50_000  # us from the process's begin to this line: an interpreter that starts on a busy core
BEGAN_US = time.monotonic_ns() // 1_000 - BOOT_US

gc.disable()  # until it serves: nothing that a start builds is garbage, and looking for it takes time
EARLY: list[int] = []  # signals that came before the router could take them
for _number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    signal.signal(_number, lambda number, frame: EARLY.append(number))

from swiftwell.platform.node import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main(EARLY, BEGAN_US))
