"""A KDL document with the line of every node.

`ckdl` parses; it tells neither where a node stands nor where an error is, so a scanner of our own walks the
text beside
it and counts.  The scanner never decides what the document says.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ckdl


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with a document: where, what, and what was expected."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(Exception):
    """A document that can't be used; `problems` has all that was found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True)
class Node:
    """A node with its place."""

    name: str
    args: list[Any]
    props: dict[str, Any]
    children: list[Node]
    line: int


@dataclass(slots=True)
class _Scan:
    """What the scanner saw: lines of nodes, and per line whether something is left open at its end."""

    nodes: list[int] = field(default_factory=list)
    open_at: list[tuple[int, bool]] = field(default_factory=list)  # (braces, inside a string or comment)
    unclosed: int = 0  # line of a string or comment without an end


def _scan(text: str) -> _Scan:
    seen = _Scan()
    at, line, depth, end = 0, 1, 0, len(text)
    start = True  # a node may begin here
    skip: list[int] = []  # depths of children that a slashdash drops
    slashed = ""  # a slashdash waits for what it drops
    continued = False

    def newline(inside: bool) -> None:
        nonlocal line
        seen.open_at.append((depth, inside))
        line += 1

    while at < end:
        char = text[at]
        if text.startswith("//", at):
            while at < end and text[at] != "\n":
                at += 1
            continue
        if text.startswith("/*", at):
            began, nest, at = line, 1, at + 2
            while at < end and nest:
                if text.startswith("/*", at):
                    nest, at = nest + 1, at + 2
                elif text.startswith("*/", at):
                    nest, at = nest - 1, at + 2
                else:
                    if text[at] == "\n":
                        newline(True)
                    at += 1
            if nest:
                seen.unclosed = began
            continue
        if text.startswith("/-", at):
            slashed = "node" if start else "part"
            at += 2
            continue
        if char == "\n":
            if not continued:
                start, slashed = True, "" if slashed == "part" else slashed
            continued = False
            newline(False)
            at += 1
        elif char == ";":
            start, at = True, at + 1
        elif char == "\\" and not start:
            continued, at = True, at + 1
        elif char == "{":
            depth += 1
            if slashed == "part" or (slashed == "dropped"):
                skip.append(depth)
            slashed, start, at = "", True, at + 1
        elif char == "}":
            if skip and skip[-1] == depth:
                skip.pop()
            depth, start, at = depth - 1, True, at + 1
        elif char.isspace():
            at += 1
        else:
            if start and char != "(":
                if slashed == "node":
                    slashed = "dropped"
                else:
                    slashed = ""
                    if not skip:
                        seen.nodes.append(line)
                start = False
            elif slashed == "part":
                slashed = ""
            raw = 0
            if char == "r" and text[at + 1 : at + 2] in ("#", '"'):
                look = at + 1
                while text[look : look + 1] == "#":
                    look += 1
                raw = look - at if text[look : look + 1] == '"' else 0
            if raw:
                close, began = '"' + "#" * (raw - 1), line
                at += raw + 1
                while at < end and not text.startswith(close, at):
                    if text[at] == "\n":
                        newline(True)
                    at += 1
                if at >= end:
                    seen.unclosed = began
                at += len(close)
            elif char == '"':
                began, at = line, at + 1
                while at < end and text[at] != '"':
                    if text[at] == "\n":
                        newline(True)
                    at += 2 if text[at] == "\\" else 1
                if at >= end:
                    seen.unclosed = began
                at += 1
            else:
                at += 1
                while at < end and not text[at].isspace() and text[at] not in '{};="\\/':
                    at += 1
    seen.open_at.append((depth, False))
    return seen


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text)
    except ckdl.ParseError:
        return False
    return True


def _error_line(text: str, seen: _Scan) -> tuple[int, str]:
    if seen.unclosed:
        return seen.unclosed, "a string or comment that begins here has no end"
    lines = text.split("\n")
    for number, (depth, inside) in enumerate(seen.open_at, 1):
        if inside or lines[number - 1].rstrip().endswith("\\"):
            continue
        if depth < 0:
            return number, "a closing brace without an opening one"
        if not _parses("\n".join(lines[:number]) + "\n" + "}\n" * depth):
            return number, "not KDL"
    return len(lines), "the document ends before all braces are closed"


def parse(text: str, file: str) -> list[Node]:
    """The top nodes of a document; raises SettingsError with the line of a syntax error."""
    text = text.replace("\r\n", "\n")
    seen = _scan(text)
    try:
        found = ckdl.parse(text).nodes
    except ckdl.ParseError:
        line, why = _error_line(text, seen)
        raise SettingsError([Problem(file, line, why)]) from None
    lines = iter(seen.nodes)

    def build(raw: Any) -> Node:
        line = next(lines, 0)
        return Node(
            raw.name,
            [_plain(value) for value in raw.args],
            {name: _plain(value) for name, value in raw.properties.items()},
            [build(child) for child in raw.children],
            line,
        )

    return [build(node) for node in found]


def read_document(path: Path) -> str:
    """The text of a document; raises SettingsError where it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError([Problem(str(path), 0, f"can't be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise SettingsError([Problem(str(path), 0, f"is not UTF-8 at byte {error.start}")]) from None


def _plain(value: Any) -> Any:
    """A value without its type annotation."""
    return value.value if isinstance(value, ckdl.Value) else value
