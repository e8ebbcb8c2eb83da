"""The example in README.md runs as printed."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_example_prints_what_the_readme_says() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    printed = re.search(r"It prints `(.*?)`", text)
    result = subprocess.run(
        [sys.executable, "-c", code[1]], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == printed[1]
