"""Declares, reads and documents settings documents by means of dataclasses.

A field made by `setting` is read from a property (`wanted-ms=600`) or from a child node (`wanted-ms 600`).  A
field whose type is another such class is a block; a tuple of them is a repeated block.  Reading a document
reports all its problems, not only the first.
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
    max_count: int = 10_000,
) -> Any:
    """Declares a field of a settings class.

    `doc` is one sentence that includes the unit.  `low` and `high` are inclusive bounds of a number; for a
    string, `low` is the least length.  `choice` lists the allowed values.  `arg` marks an argument of the
    node itself.  `node` is the key in the document where it differs from the field's name.  `max_count`
    limits the blocks of a repeated field.
    """
    meta = {
        "doc": doc,
        "low": low,
        "high": high,
        "choice": choice,
        "arg": arg,
        "node": node,
        "max_count": max_count,
    }
    if default is MISSING:
        return field(metadata=meta)
    if isinstance(default, type):
        return field(default_factory=default, metadata=meta)
    return field(default=default, metadata=meta)


@dataclass(frozen=True, slots=True)
class _FieldSpec:
    """A field of a settings class with its type resolved."""

    name: str  # key in the document
    attribute: str  # name of the dataclass field
    type: Any
    block: type | None
    repeated: bool
    required: bool
    meta: dict[str, Any]


def fields_of(cls: type) -> Iterator[_FieldSpec]:
    """Yields the fields of a settings class under their names in the document."""
    hints = typing.get_type_hints(cls)
    for class_field in dataclasses.fields(cls):
        if "doc" not in class_field.metadata:
            continue
        type_ = hints[class_field.name]
        type_args = typing.get_args(type_)
        repeated = typing.get_origin(type_) is tuple
        base = type_args[0] if type_args and (repeated or type(None) in type_args) else type_
        block = base if dataclasses.is_dataclass(base) else None
        required = class_field.default is MISSING and class_field.default_factory is MISSING
        name = class_field.metadata["node"] or class_field.name.replace("_", "-")
        # type: ignore[arg-type]
        yield _FieldSpec(name, class_field.name, base, block, repeated, required, dict(class_field.metadata))


_TYPES = {int: "an integer", float: "a number", str: "a string", bool: "true or false"}


class Reader:
    """Reads nodes into settings classes and collects all problems."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self._lines: dict[int, int] = {}  # line of each block by its id(), for checks across fields

    def add_problem(self, line: int, text: str) -> None:
        """Records a problem at a line of the document."""
        self.problems.append(Problem(self.file, line, text))

    def line_of(self, value: object) -> int:
        """Returns the line of a block that was read, 1 if unknown."""
        return self._lines.get(id(value), 1)

    def read(self, cls: type, node: Node) -> Any:
        """Reads a node as an instance of `cls`.

        An invalid field keeps its default; an invalid or missing required field is None or an empty tuple.
        """
        specs = {spec.name: spec for spec in fields_of(cls)}
        values: dict[str, Any] = {}
        arg_specs = [spec for spec in specs.values() if spec.meta["arg"]]
        for spec, value in zip(arg_specs, node.args, strict=False):
            self._read_scalar(spec, value, node, values)
        if len(node.args) > len(arg_specs):
            expected = f"{len(arg_specs)} argument(s)" if arg_specs else "no argument"
            self.add_problem(node.line, f"{node.name}: expected {expected}, got {len(node.args)}")
        for name, value in node.props.items():
            spec = self._find_spec(specs, name, node.line, node.name)
            if spec and spec.block:
                self.add_problem(node.line, f"{name}: expected a node with children, got a property")
            elif spec:
                self._read_scalar(spec, value, node, values)
        counts: dict[str, int] = {}
        for child in node.children:
            spec = self._find_spec(specs, child.name, child.line, node.name)
            if spec is None:
                continue
            counts[spec.name] = counts.get(spec.name, 0) + 1
            if spec.block:
                self._read_block(spec, child, values, counts[spec.name])
            elif spec.repeated:
                if not child.args:
                    self.add_problem(child.line, f"{spec.name}: expected {_TYPES[spec.type]}, got nothing")
                for value in child.args:
                    self._read_scalar(spec, value, child, values)
            elif len(child.args) != 1 or child.props or child.children:
                self.add_problem(child.line, f"{spec.name}: expected one value, {_TYPES[spec.type]}")
            elif counts[spec.name] > 1:
                self.add_problem(child.line, f"{spec.name} is given twice")
            else:
                self._read_scalar(spec, child.args[0], child, values)
        for spec in specs.values():
            if spec.attribute not in values and spec.required:
                expected = "a block" if spec.block else _TYPES.get(spec.type, "a value")
                self.add_problem(
                    node.line, f"{node.name} {spec.name} is missing: expected {expected}, {spec.meta['doc']}"
                )
                values[spec.attribute] = () if spec.repeated else None
        result = cls(**values)
        self._lines[id(result)] = node.line
        return result

    def _find_spec(self, specs: dict[str, _FieldSpec], name: str, line: int, owner: str) -> _FieldSpec | None:
        """Looks up the spec of a key; an unknown key is a problem, with the closest known one as a hint."""
        if name in specs:
            return specs[name]
        close = difflib.get_close_matches(name, specs, 1)
        hint = f"; did you mean {close[0]}?" if close else f"; known settings: {', '.join(sorted(specs))}"
        self.add_problem(line, f"{owner or 'the document'} has no setting {name}{hint}")
        return None

    def _read_block(self, spec: _FieldSpec, child: Node, values: dict[str, Any], count: int) -> None:
        assert spec.block
        if not spec.repeated and count > 1:
            self.add_problem(child.line, f"{spec.name} is given twice")
            return
        if count > spec.meta["max_count"]:
            self.add_problem(child.line, f"more than {spec.meta['max_count']} {spec.name} blocks")
            return
        value = self.read(spec.block, child)
        values[spec.attribute] = (*values.get(spec.attribute, ()), value) if spec.repeated else value

    def _read_scalar(self, spec: _FieldSpec, value: Any, node: Node, values: dict[str, Any]) -> None:
        problem_count = len(self.problems)
        self._check_and_store(spec, value, node, values)
        if len(self.problems) > problem_count and spec.required:
            # A value here keeps `read` from reporting the field as missing as well.
            values.setdefault(spec.attribute, () if spec.repeated else None)

    def _check_and_store(self, spec: _FieldSpec, value: Any, node: Node, values: dict[str, Any]) -> None:
        type_, meta = spec.type, spec.meta
        if type_ is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if type(value) is not type_:
            self.add_problem(node.line, f"{spec.name}: expected {_TYPES[type_]}, got {value!r}")
            return
        if meta["choice"] and value not in meta["choice"]:
            self.add_problem(
                node.line, f"{spec.name}: expected one of {', '.join(meta['choice'])}; got {value!r}"
            )
            return
        low, high = meta["low"], meta["high"]
        if low is not None and type_ is not str and (value < low or (high is not None and value > high)):
            bounds = f"from {low:g} to {high:g}" if high is not None else f"of {low:g} or more"
            self.add_problem(node.line, f"{spec.name}: expected {_TYPES[type_]} {bounds}; got {value!r}")
            return
        if low is not None and type_ is str and len(value) < low:
            self.add_problem(node.line, f"{spec.name}: must not be empty")
            return
        if spec.repeated:
            values[spec.attribute] = (*values.get(spec.attribute, ()), value)
        elif spec.attribute in values:
            self.add_problem(node.line, f"{spec.name} is given twice")
        else:
            values[spec.attribute] = value


def reference(cls: type, indent: int = 0) -> Iterator[str]:
    """Yields the lines of a reference of all settings, from the same declarations that check them."""
    prefix = "    " * indent
    for spec in fields_of(cls):
        meta = spec.meta
        if spec.block:
            repeatable = " (may be repeated)" if spec.repeated else ""
            arguments = "".join(
                f" {inner.name.upper()}" for inner in fields_of(spec.block) if inner.meta["arg"]
            )
            yield f"{prefix}{spec.name}{arguments}{repeatable}: {meta['doc']}"
            yield from reference(spec.block, indent + 1)
            continue
        default = next(
            class_field.default
            for class_field in dataclasses.fields(cls)
            if class_field.name == spec.attribute
        )
        shown = "required" if spec.required else f"default {default!r}"
        bounds = f", {meta['low']:g} to {meta['high']:g}" if meta["high"] is not None else ""
        choice = f", one of {', '.join(meta['choice'])}" if meta["choice"] else ""
        mark = " (argument)" if meta["arg"] else ""
        yield f"{prefix}{spec.name}{mark}: {meta['doc']} [{_TYPES[spec.type]}{bounds}{choice}; {shown}]"
