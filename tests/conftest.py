"""Makes Hypothesis draw the same examples in every run, and marks tests that are known to fail.

KNOWN-RED.txt at the root names tests that fail because of a real fault that can't be fixed yet, one line
each: `TEST | CAUSE | ISSUE`.  A run expects exactly these to fail and prints them.  One that passes fails the
run until its line is removed.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")

FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3  # lines; more known failures than that are no longer exceptions
EXPECTED = "TEST | CAUSE | ISSUE, a number"


def known_red(text: str) -> dict[str, str]:
    """Maps each test to the line that names it; raises ValueError with the line and what was expected."""
    found: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not parts[2].isdigit() or "::" not in parts[0]:
            raise ValueError(f"{FILE}:{number}: expected {EXPECTED}")
        if parts[0] in found:
            raise ValueError(f"{FILE}:{number}: expected each test once")
        if len(found) == MAX_KNOWN_RED:
            raise ValueError(f"{FILE}:{number}: expected {MAX_KNOWN_RED} lines at most")
        found[parts[0]] = line
    return found


def pytest_configure(config: pytest.Config) -> None:
    file = Path(config.rootpath, FILE)
    try:
        config.known_red = known_red(file.read_text()) if file.exists() else {}
    except (OSError, ValueError) as error:
        pytest.exit(str(error), returncode=2)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    missing = set(config.known_red)
    for item in items:
        if item.nodeid in config.known_red:
            missing.discard(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=config.known_red[item.nodeid], strict=True))
    if missing and config.args_source.name != "ARGS":  # only a run of all tests collects each of them
        pytest.exit(f"{FILE}: expected tests that exist, found {', '.join(sorted(missing))}", returncode=2)


def pytest_terminal_summary(terminalreporter: object, config: pytest.Config) -> None:
    for line in config.known_red.values():
        terminalreporter.write_line(f"known red: {line}")
