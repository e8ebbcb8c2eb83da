#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || { echo "not run: build first"; exit 2; }
cd "$root" && exec .venv/bin/python -B "$here/case.py" "$here"
