"""Hypothesis draws the same examples in every run; tests that are known to fail are told, and are strict.

KNOWN-RED.txt at the root names tests that fail for a real fault which could not be mended yet, one line
each: `TEST | CAUSE | ISSUE`.  The run passes over just these and prints them; one that passes fails the run
until its line goes.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")

FILE = "KNOWN-RED.txt"
MOST_KNOWN_RED = 3  # lines: more failures than that are no exceptions any more
EXPECTED = "TEST | CAUSE | ISSUE, a number"


def known_red(text: str) -> dict[str, str]:
    """Test: the line that names it.  Raises ValueError with the place and what was expected there."""
    found: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not parts[2].isdigit() or "::" not in parts[0]:
            raise ValueError(f"{FILE}:{number}: expected {EXPECTED}")
        if parts[0] in found:
            raise ValueError(f"{FILE}:{number}: expected each test once")
        if len(found) == MOST_KNOWN_RED:
            raise ValueError(f"{FILE}:{number}: expected {MOST_KNOWN_RED} lines at most")
        found[parts[0]] = line
    return found


def pytest_configure(config: pytest.Config) -> None:
    file = Path(config.rootpath, FILE)
    try:
        config.known_red = known_red(file.read_text()) if file.exists() else {}
    except (OSError, ValueError) as error:
        pytest.exit(str(error), returncode=2)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    left = set(config.known_red)
    for item in items:
        if item.nodeid in config.known_red:
            left.discard(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=config.known_red[item.nodeid], strict=True))
    if left and config.args_source.name != "ARGS":  # a run of all tests must know each of them
        pytest.exit(f"{FILE}: expected tests that exist, found {', '.join(sorted(left))}", returncode=2)


def pytest_terminal_summary(terminalreporter: object, config: pytest.Config) -> None:
    for line in config.known_red.values():
        terminalreporter.write_line(f"known red: {line}")
