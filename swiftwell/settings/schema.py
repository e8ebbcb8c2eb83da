"""Dataclasses that say how a settings document is read, checked and documented.

A field made by `setting` is given as a property (`wanted-ms=600`) or as a child node (`wanted-ms 600`).  A
field whose type
is another such class is a block; a tuple of them, a repeated block.  All problems are found in one pass.
"""

from __future__ import annotations

import dataclasses
import difflib
import typing
from collections.abc import Iterator
from dataclasses import MISSING, dataclass, field
from typing import Any

from swiftwell.settings.document import Node, Problem


def setting(
    default: Any = MISSING,
    *,
    doc: str,
    low: float | None = None,
    high: float | None = None,
    choice: tuple[str, ...] = (),
    arg: bool = False,
    node: str = "",
    many: int = 10_000,
) -> Any:
    """A field of a settings class.

    `doc` is one sentence with the unit.  `low`, `high`: bounds, both allowed.  `arg`: it is the node's own
    argument.  `node`: the block's name, where it is not the field's.  `many`: blocks at most.
    """
    meta = {"doc": doc, "low": low, "high": high, "choice": choice, "arg": arg, "node": node, "many": many}
    if default is MISSING:
        return field(metadata=meta)
    if isinstance(default, type):
        return field(default_factory=default, metadata=meta)
    return field(default=default, metadata=meta)


@dataclass(frozen=True, slots=True)
class _Field:
    """One field, ready to be read."""

    name: str  # as in the document
    python: str
    type: Any
    block: type | None
    repeated: bool
    required: bool
    meta: dict[str, Any]


def fields_of(cls: type) -> Iterator[_Field]:
    """The fields of a settings class as the document names them."""
    hints = typing.get_type_hints(cls)
    for one in dataclasses.fields(cls):
        if "doc" not in one.metadata:
            continue
        kind = hints[one.name]
        inner = typing.get_args(kind)
        repeated = typing.get_origin(kind) is tuple
        base = inner[0] if inner and (repeated or type(None) in inner) else kind
        block = base if dataclasses.is_dataclass(base) else None
        required = one.default is MISSING and one.default_factory is MISSING
        name = one.metadata["node"] or one.name.replace("_", "-")
        # type: ignore[arg-type]
        yield _Field(name, one.name, base, block, repeated, required, dict(one.metadata))


_WORDS = {int: "a whole number", float: "a number", str: "a string", bool: "true or false"}


class Reader:
    """Reads nodes into settings classes and collects what is wrong."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.lines: dict[int, int] = {}  # id of a value: its line, for checks across fields

    def wrong(self, line: int, text: str) -> None:
        """Note a problem."""
        self.problems.append(Problem(self.file, line, text))

    def line(self, value: object) -> int:
        """Where a block that was read stands."""
        return self.lines.get(id(value), 1)

    def read(self, cls: type, node: Node) -> Any:
        """A node as a value of `cls`; what could not be read keeps its default, or None."""
        known = {f.name: f for f in fields_of(cls)}
        values: dict[str, Any] = {}
        args = [f for f in known.values() if f.meta["arg"]]
        for one, value in zip(args, node.args, strict=False):
            self._scalar(one, value, node, values)
        if len(node.args) > len(args):
            takes = f"{len(args)} argument(s)" if args else "no argument"
            self.wrong(node.line, f"{node.name} takes {takes}, {len(node.args)} are given")
        for name, value in node.props.items():
            one = self._known(known, name, node.line, node.name)
            if one and one.block:
                self.wrong(node.line, f"{name} is a block: write it as a node with children")
            elif one:
                self._scalar(one, value, node, values)
        counts: dict[str, int] = {}
        for child in node.children:
            one = self._known(known, child.name, child.line, node.name)
            if one is None:
                continue
            counts[one.name] = counts.get(one.name, 0) + 1
            if one.block:
                self._block(one, child, values, counts[one.name])
            elif one.repeated:
                if not child.args:
                    self.wrong(child.line, f"{one.name} wants {_WORDS[one.type]}, nothing is given")
                for value in child.args:
                    self._scalar(one, value, child, values)
            elif len(child.args) != 1 or child.props or child.children:
                self.wrong(child.line, f"{one.name} wants one value, {_WORDS[one.type]}")
            elif counts[one.name] > 1:
                self.wrong(child.line, f"{one.name} is given twice")
            else:
                self._scalar(one, child.args[0], child, values)
        for one in known.values():
            if one.python not in values and one.required:
                what = "a block" if one.block else _WORDS.get(one.type, "a value")
                self.wrong(node.line, f"{node.name} lacks {one.name}: {what}, {one.meta['doc']}")
                values[one.python] = () if one.repeated else None
        result = cls(**values)
        self.lines[id(result)] = node.line
        return result

    def _known(self, known: dict[str, _Field], name: str, line: int, owner: str) -> _Field | None:
        if name in known:
            return known[name]
        close = difflib.get_close_matches(name, known, 1)
        hint = f"; did you mean {close[0]}?" if close else f"; known here: {', '.join(sorted(known))}"
        self.wrong(line, f"{owner or 'the document'} has no setting {name}{hint}")
        return None

    def _block(self, one: _Field, child: Node, values: dict[str, Any], count: int) -> None:
        assert one.block
        if not one.repeated and count > 1:
            self.wrong(child.line, f"{one.name} is given twice")
            return
        if count > one.meta["many"]:
            self.wrong(child.line, f"more than {one.meta['many']} {one.name}")
            return
        value = self.read(one.block, child)
        values[one.python] = (*values.get(one.python, ()), value) if one.repeated else value

    def _scalar(self, one: _Field, value: Any, node: Node, values: dict[str, Any]) -> None:
        before = len(self.problems)
        self._checked(one, value, node, values)
        if len(self.problems) > before and one.required:  # told already: it is not lacking as well
            values.setdefault(one.python, () if one.repeated else None)

    def _checked(self, one: _Field, value: Any, node: Node, values: dict[str, Any]) -> None:
        kind, meta = one.type, one.meta
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if type(value) is not kind:
            self.wrong(node.line, f"{one.name} wants {_WORDS[kind]}, {value!r} is given")
            return
        if meta["choice"] and value not in meta["choice"]:
            self.wrong(node.line, f"{one.name} wants one of {', '.join(meta['choice'])}; {value!r} is given")
            return
        low, high = meta["low"], meta["high"]
        if low is not None and kind is not str and (value < low or (high is not None and value > high)):
            bounds = f"from {low:g} to {high:g}" if high is not None else f"of {low:g} or more"
            self.wrong(node.line, f"{one.name} wants {_WORDS[kind]} {bounds}; {value!r} is given")
            return
        if low is not None and kind is str and len(value) < low:
            self.wrong(node.line, f"{one.name} may not be empty")
            return
        if one.repeated:
            values[one.python] = (*values.get(one.python, ()), value)
        elif one.python in values:
            self.wrong(node.line, f"{one.name} is given twice")
        else:
            values[one.python] = value


def reference(cls: type, indent: int = 0) -> Iterator[str]:
    """A page of all settings, from the same table that checks them."""
    pad = "    " * indent
    for one in fields_of(cls):
        meta = one.meta
        if one.block:
            often = " (may be repeated)" if one.repeated else ""
            arg = "".join(f" {a.name.upper()}" for a in fields_of(one.block) if a.meta["arg"])
            yield f"{pad}{one.name}{arg}{often}: {meta['doc']}"
            yield from reference(one.block, indent + 1)
            continue
        default = next(f.default for f in dataclasses.fields(cls) if f.name == one.python)
        shown = "required" if one.required else f"default {default!r}"
        bounds = f", {meta['low']:g} to {meta['high']:g}" if meta["high"] is not None else ""
        choice = f", one of {', '.join(meta['choice'])}" if meta["choice"] else ""
        where = " (argument)" if meta["arg"] else ""
        yield f"{pad}{one.name}{where}: {meta['doc']} [{_WORDS[one.type]}{bounds}{choice}; {shown}]"
