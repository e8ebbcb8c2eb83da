"""`python -m swiftwell`."""

import gc

gc.disable()  # while modules are loaded: nothing of them is garbage, and looking for it takes time

from swiftwell.cli.main import main  # noqa: E402

gc.enable()
main()
