#!/bin/sh
# Builds the stand-ins of cases 6 and up, after the deploy file's build.  They need Python's standard library
# only, so this checks that they can be compiled and that what `run` imports is there.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
test -x .venv/bin/python || { echo "run the deploy file's build first"; exit 2; }
.venv/bin/python -B - review/standins2.py review/*/case.py <<'PY' || exit 2
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
import swiftwell.platform.node
PY
