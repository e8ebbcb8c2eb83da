#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library, compiled so that an error shows here.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$(mktemp -d)" && export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
.venv/bin/python -m compileall -q review
