"""Makes Hypothesis draw the same examples in every run, and marks tests that are known to fail.

KNOWN-RED.txt at the root names tests that fail because of a real fault that can't be fixed yet, one line
each: `TEST | COMMAND AND SEED | SEEN | ISSUE`.  TEST is a pytest id, or the path of a script, which is
printed and not collected.  A run expects exactly these tests to fail and prints all lines.  A test that
passes fails the run until its line is removed.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")

FILE = "KNOWN-RED.txt"
EXPECTED = "TEST | COMMAND AND SEED | SEEN | ISSUE, a number"


def is_pytest_id(test: str) -> bool:
    """Whether an entry names a test, and not a script."""
    return "::" in test


def known_red(text: str, root: Path) -> dict[str, str]:
    """Maps each test or script to the line that names it.

    Raises ValueError with the line and what was expected.  `root`: the folder that paths of scripts start at.
    """
    found: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts) or not parts[3].isdigit():
            raise ValueError(f"{FILE}:{number}: expected {EXPECTED}")
        if not is_pytest_id(parts[0]) and not (root / parts[0]).is_file():
            raise ValueError(f"{FILE}:{number}: expected a pytest id or the path of a script")
        if parts[0] in found:
            raise ValueError(f"{FILE}:{number}: expected each test once")
        found[parts[0]] = line
    return found


def pytest_configure(config: pytest.Config) -> None:
    file = Path(config.rootpath, FILE)
    try:
        config.known_red = known_red(file.read_text(), file.parent) if file.exists() else {}
    except (OSError, ValueError) as error:
        pytest.exit(str(error), returncode=2)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    missing = set(filter(is_pytest_id, config.known_red))
    for item in items:
        if item.nodeid in config.known_red:
            missing.discard(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=config.known_red[item.nodeid], strict=True))
    if missing and config.args_source.name != "ARGS":  # only a run of all tests collects each of them
        pytest.exit(f"{FILE}: expected tests that exist, found {', '.join(sorted(missing))}", returncode=2)


def pytest_terminal_summary(terminalreporter: object, config: pytest.Config) -> None:
    for line in config.known_red.values():
        terminalreporter.write_line(f"known red: {line}")
