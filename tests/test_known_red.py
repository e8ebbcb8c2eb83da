"""Tests that the list of known failures is strict, and can't hide another failure."""

import subprocess
import sys
from pathlib import Path

import pytest
from conftest import FILE, known_red


@pytest.mark.parametrize(
    "text, place",
    [
        ("tests/a.py::b | seen | 1", ":1: expected TEST"),
        ("tests/a.py::b | pytest, seed 1 | seen | 1\n\n", ":2: expected TEST"),
        ("tests/a.py::b | pytest, seed 1 | seen | one", ":1: expected TEST"),
        ("tests/a.py::b | | seen | 1", ":1: expected TEST"),
        ("tests/a.py::b | pytest | seen | more | 1", ":1: expected TEST"),
        ("tests/gone.sh | sh, seed 1 | seen | 1", ":1: expected a pytest id or the path of a script"),
        ("tests | sh, seed 1 | seen | 1", ":1: expected a pytest id or the path of a script"),
        ("tests/a.py::b | c | s | 1\ntests/a.py::b | c | s | 1", ":2: expected each test once"),
    ],
)
def test_what_cannot_be_used_is_an_error_with_its_place(text, place):
    with pytest.raises(ValueError, match=f"{FILE}{place}"):
        known_red(text, Path(__file__).parent.parent)


def test_a_known_failure_is_passed_over_and_printed_and_one_that_passes_fails(tmp_path):
    (tmp_path / "conftest.py").write_text(Path(__file__).with_name("conftest.py").read_text())
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = test_it.py\n")
    (tmp_path / "test_it.py").write_text("def test_red():\n    assert False\n\ndef test_green():\n    pass\n")

    def run_with(known_red_text):
        (tmp_path / FILE).write_text(known_red_text)
        command = [sys.executable, "-B", "-m", "pytest", "-q", "-p", "no:cacheprovider"]
        return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)

    red = "test_it.py::test_red | pytest, seed 2 | a planted one | 34"
    script = "conftest.py | sh, seed 1 | a script, which is not collected | 35"
    result = run_with(f"{red}\n{script}\n")
    assert result.returncode == 0
    assert f"known red: {red}" in result.stdout and f"known red: {script}" in result.stdout
    assert run_with("").returncode == 1
    assert run_with(f"{red}\ntest_it.py::test_green | c | s | 1\n").returncode == 1
    result = run_with(f"{red}\ntest_it.py::test_gone | c | s | 1\n")
    assert result.returncode == 2 and f"{FILE}: expected tests that exist" in result.stdout + result.stderr
    result = run_with("rubbish\n")
    assert result.returncode == 2 and f"{FILE}:1: expected" in result.stdout + result.stderr
