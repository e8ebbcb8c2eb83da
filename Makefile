# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test setup bytecode lint days trials scale
demo: bytecode
	$(BIN)/python -m swiftwell demo

test: bytecode
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n 3 --dist loadfile

setup: $(VENV)/.done

$(VENV)/.done: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install --disable-pip-version-check -r requirements.lock
	$(BIN)/pip -q install --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

# Gateways that agree, at sizes that CI does not play: about half an hour on eight cores, bounded.
trials: bytecode
	$(BIN)/python -m benchmarks.fleet holders --seeds 14 --changes 110 --together 4
	$(BIN)/python -m benchmarks.fleet detect --sizes 5 20 60 200
	$(BIN)/python -m benchmarks.fleet cold --sizes 20 60 200
	$(BIN)/python -m benchmarks.fleet shares --seeds 3
	$(BIN)/python -m benchmarks.fleet lists
	$(BIN)/python -m benchmarks.fleet path
	$(BIN)/python -m benchmarks.fleet emulated --sizes 60 200 1000
	$(BIN)/python -m benchmarks.fleet started --sizes 60 200 1000
	$(BIN)/python -m swiftwell day run fleet-herd --json

# Sizes up to the target, for docs/CAPACITY.md: about 25 minutes on eight cores; rows that are there are passed over.
scale: bytecode
	$(BIN)/python -m swiftwell scale run routing
	$(BIN)/python -m swiftwell scale run membership
	$(BIN)/python -m swiftwell scale run list
	$(BIN)/python -m swiftwell scale run member
	$(BIN)/python -m swiftwell scale run cold
	$(BIN)/python -m swiftwell scale report

days: bytecode
	for day in days/*.kdl; do $(BIN)/python -m swiftwell day run $$day || exit 1; done

# Days and tests start many processes of the program: without byte code each compiles all of it anew.
bytecode: setup
	$(BIN)/python -m compileall -q swiftwell benchmarks
