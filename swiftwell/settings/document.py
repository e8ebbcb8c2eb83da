"""Parses a KDL document and finds the line of each node.

`ckdl` parses the document but reports no line, neither of a node nor of a syntax error.  A separate scanner
walks the text in parallel and only counts lines: it never decides what the document means.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ckdl


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault in a document, with its place and what was expected."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(Exception):
    """A document that can't be used; `problems` lists all faults found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True)
class Node:
    """A KDL node with its line."""

    name: str
    args: list[Any]
    props: dict[str, Any]
    children: list[Node]
    line: int


@dataclass(slots=True)
class _Scan:
    """The scanner's result."""

    node_lines: list[int] = field(default_factory=list)  # in document order
    # for each line, at its end: (brace depth, inside a string or comment)
    line_ends: list[tuple[int, bool]] = field(default_factory=list)
    unclosed_line: int = 0  # where a string or comment without an end begins; 0 if none


def _scan(text: str) -> _Scan:
    """Records where nodes begin and what is still open at the end of each line."""
    result = _Scan()
    position, line, depth, length = 0, 1, 0, len(text)
    node_may_start = True
    dropped_depths: list[int] = []  # brace depths of children blocks removed by a slashdash (/-)
    # "node" or "part" (an argument, property or children block): what an open slashdash will remove;
    # "dropped": the node being read is removed; "": no slashdash is open.
    slashdash = ""
    line_continued = False

    def newline(inside_token: bool) -> None:
        nonlocal line
        result.line_ends.append((depth, inside_token))
        line += 1

    while position < length:
        char = text[position]
        if text.startswith("//", position):
            while position < length and text[position] != "\n":
                position += 1
            continue
        if text.startswith("/*", position):
            opening_line, nesting, position = line, 1, position + 2
            while position < length and nesting:
                if text.startswith("/*", position):
                    nesting, position = nesting + 1, position + 2
                elif text.startswith("*/", position):
                    nesting, position = nesting - 1, position + 2
                else:
                    if text[position] == "\n":
                        newline(True)
                    position += 1
            if nesting:
                result.unclosed_line = opening_line
            continue
        if text.startswith("/-", position):
            slashdash = "node" if node_may_start else "part"
            position += 2
            continue
        if char == "\n":
            if not line_continued:
                node_may_start, slashdash = True, "" if slashdash == "part" else slashdash
            line_continued = False
            newline(False)
            position += 1
        elif char == ";":
            node_may_start, position = True, position + 1
        elif char == "\\" and not node_may_start:
            line_continued, position = True, position + 1
        elif char == "{":
            depth += 1
            if slashdash == "part" or (slashdash == "dropped"):
                dropped_depths.append(depth)
            slashdash, node_may_start, position = "", True, position + 1
        elif char == "}":
            if dropped_depths and dropped_depths[-1] == depth:
                dropped_depths.pop()
            depth, node_may_start, position = depth - 1, True, position + 1
        elif char.isspace():
            position += 1
        else:
            if node_may_start and char != "(":
                if slashdash == "node":
                    slashdash = "dropped"
                else:
                    slashdash = ""
                    if not dropped_depths:
                        result.node_lines.append(line)
                node_may_start = False
            elif slashdash == "part":
                slashdash = ""
            prefix_length = 0
            if char == "r" and text[position + 1 : position + 2] in ("#", '"'):
                quote = position + 1
                while text[quote : quote + 1] == "#":
                    quote += 1
                prefix_length = quote - position if text[quote : quote + 1] == '"' else 0
            if prefix_length:
                closing, opening_line = '"' + "#" * (prefix_length - 1), line
                position += prefix_length + 1
                while position < length and not text.startswith(closing, position):
                    if text[position] == "\n":
                        newline(True)
                    position += 1
                if position >= length:
                    result.unclosed_line = opening_line
                position += len(closing)
            elif char == '"':
                opening_line, position = line, position + 1
                while position < length and text[position] != '"':
                    if text[position] == "\n":
                        newline(True)
                    position += 2 if text[position] == "\\" else 1
                if position >= length:
                    result.unclosed_line = opening_line
                position += 1
            else:
                position += 1
                while position < length and not text[position].isspace() and text[position] not in '{};="\\/':
                    position += 1
    result.line_ends.append((depth, False))
    return result


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text)
    except ckdl.ParseError:
        return False
    return True


def _error_line(text: str, scan: _Scan) -> tuple[int, str]:
    """Finds the line of a syntax error and its description.

    That is the first line after which the text, with its open braces closed, no longer parses.
    """
    if scan.unclosed_line:
        return scan.unclosed_line, "a string or comment that begins here is not closed"
    lines = text.split("\n")
    for number, (depth, inside_token) in enumerate(scan.line_ends, 1):
        if inside_token or lines[number - 1].rstrip().endswith("\\"):
            continue
        if depth < 0:
            return number, "closing brace without an opening one"
        if not _parses("\n".join(lines[:number]) + "\n" + "}\n" * depth):
            return number, "not valid KDL"
    return len(lines), "the document ends before all braces are closed"


def parse(text: str, file: str) -> list[Node]:
    """Returns the top-level nodes of a document; raises SettingsError with the line of a syntax error."""
    text = text.replace("\r\n", "\n")
    scan = _scan(text)
    try:
        parsed_nodes = ckdl.parse(text).nodes
    except ckdl.ParseError:
        line, reason = _error_line(text, scan)
        raise SettingsError([Problem(file, line, reason)]) from None
    lines = iter(scan.node_lines)

    def build(parsed: Any) -> Node:
        line = next(lines, 0)
        return Node(
            parsed.name,
            [_plain(value) for value in parsed.args],
            {name: _plain(value) for name, value in parsed.properties.items()},
            [build(child) for child in parsed.children],
            line,
        )

    return [build(node) for node in parsed_nodes]


def read_document(path: Path) -> str:
    """Returns the text of a document; raises SettingsError if it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError([Problem(str(path), 0, f"can't be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise SettingsError([Problem(str(path), 0, f"is not UTF-8 at byte {error.start}")]) from None


def _plain(value: Any) -> Any:
    """Strips the KDL type annotation from a value."""
    return value.value if isinstance(value, ckdl.Value) else value
