#!/bin/sh
cd "$(dirname "$0")/../.." && test -x .venv/bin/python || exit 2
exec .venv/bin/python -B review/2/case.py
