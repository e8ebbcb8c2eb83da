"""`python -m swiftwell.platform`.  Signal handlers are set before anything that is slow to import."""

import gc
import signal
import time

# The configuration's worker list was current when the file was written, before this process began.
INTERPRETER_START_US = 50_000  # upper bound from the process's start to this line, on a busy core
STARTED_US = time.monotonic_ns() // 1_000 - INTERPRETER_START_US

gc.disable()  # until the router serves: nothing that is built at the start is garbage
EARLY_SIGNALS: list[int] = []  # signals that came before the router could handle them
for _number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    signal.signal(_number, lambda number, frame: EARLY_SIGNALS.append(number))

from swiftwell.gateway import standard_descriptors  # noqa: E402

standard_descriptors.open_closed()

from swiftwell.platform.node import main  # noqa: E402

if __name__ == "__main__":
    raise SystemExit(main(EARLY_SIGNALS, STARTED_US))
