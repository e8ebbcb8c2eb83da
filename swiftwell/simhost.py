"""Hosts router instances for the simulator: reads batches of events from standard input, writes the replies.

The lines of the wire are parsed and formatted in swiftwell/wire.py.
"""

from __future__ import annotations

import sys
from typing import TextIO

from swiftwell import interface as io
from swiftwell import wire
from swiftwell.choice import Router

WorkerLists = dict[int, tuple[io.WorkerEntry, ...]]  # by their number on the wire


class Host:
    """Answers batches of lines; each router on the wire is a `Router` of its own."""

    def __init__(self, lines: TextIO) -> None:
        self._lines = lines
        self._line_number = 0
        self._line = ""
        self._routers: dict[int, Router] = {}
        self._worker_lists: WorkerLists = {}

    def _read_line(self) -> str:
        self._line = self._lines.readline()
        if self._line:
            self._line_number += 1
        return self._line

    def position(self) -> str:
        """The number and text of the line read last, for an error message."""
        return f"line {self._line_number}: {self._line.rstrip()[:200]!r}"

    def reply(self) -> str | None:
        """Read one batch and return the reply to it; None when the input has ended."""
        while (line := self._read_line()).strip() == "":
            if not line:
                return None
        name, fields = wire.parse_line(line.rstrip("\r\n"))
        if name != "BATCH":
            raise wire.WireError("a batch begins with BATCH")
        now = wire.batch_time(fields)
        events = self._read_events()
        lines: list[str] = []
        try:
            for router_id, batch in events.items():
                actions = self._run(router_id, now, batch)
                if actions:
                    lines.append(f"AT router-id={router_id}")
                    lines.extend(wire.action(act) for act in actions)
        except Exception as error:  # any exception of the decision module is reported on the wire
            text = " ".join(f"{type(error).__name__}: {error}".split())
            lines = [f"AT router-id={router_id}", f"BROKEN text={text}"]
        return "\n".join([*lines, "OK"]) + "\n"

    def _read_events(self) -> dict[int, list[io.Event | tuple[int, io.Settings] | None]]:
        """The events of a batch by router, in order; a start is a (seed, settings) tuple, a stop is None."""
        batches: dict[int, list[io.Event | tuple[int, io.Settings] | None]] = {}
        current: list[io.Event | tuple[int, io.Settings] | None] | None = None
        while True:
            line = self._read_line()
            if not line or not line.endswith("\n"):
                raise wire.WireError("the batch is cut short")
            text = line.rstrip("\r\n")
            if text.strip() == "":
                continue
            if text == "FLUSH":
                return batches
            name, fields = wire.parse_line(text)
            if name == "SWITCH_TO":
                current = batches.setdefault(wire.router_id(fields), [])
            elif name == "PAGE":
                self._read_worker_list(*wire.list_header(fields))
            elif current is None:
                raise wire.WireError("an event before SWITCH_TO")
            elif name == "BEGIN":
                current.append(wire.settings(fields))
            elif name == "STOP":
                current.append(None)
            elif name == "UPDATE":
                current.append(self._members(fields))
            elif name in wire.EVENTS:
                current.append(wire.EVENTS[name](fields))
            else:
                raise wire.WireError(f"unknown message {name!r}")

    def _read_worker_list(self, list_number: int, count: int) -> None:
        entries = []
        for _ in range(count):
            name, fields = wire.parse_line(self._read_line().rstrip("\r\n"))
            if name != "WORKER":
                raise wire.WireError("a PAGE is cut short")
            entries.append(wire.worker_entry(fields))
        self._worker_lists[list_number] = tuple(entries)

    def _members(self, fields: wire.Fields) -> io.Members:
        kind, list_number = wire.list_update(fields)
        if kind is io.ListKind.FAILED:
            return io.Members(kind, ())
        if list_number not in self._worker_lists:
            raise wire.WireError(f"no PAGE has the number {list_number}")
        return io.Members(kind, self._worker_lists[list_number])

    def _run(self, router_id: int, now: int, batch: list) -> list[io.Action]:
        """Start, stop and run a router by its batch; actions of a router that was stopped are dropped."""
        actions: list[io.Action] = []
        events: list[io.Event] = []
        for event in batch:
            if event is None:
                self._routers.pop(router_id, None)
                actions, events = [], []
            elif type(event) is tuple:  # not a named tuple, as events are
                seed, settings = event
                self._routers[router_id] = Router(settings, seed)
                actions, events = [], []
            elif router_id in self._routers:
                events.append(event)
            else:
                raise RuntimeError(f"router {router_id} has events but was not started")
        if router_id in self._routers and events:
            actions = self._routers[router_id].handle(now, events)
        return actions


def main() -> int:
    """Answer batches from standard input until it ends; return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    host = Host(sys.stdin)
    try:
        while (reply := host.reply()) is not None:
            sys.stdout.write(reply)
            sys.stdout.flush()
    except (wire.WireError, UnicodeDecodeError) as error:
        print(f"swiftwell: {error} ({host.position()})", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
