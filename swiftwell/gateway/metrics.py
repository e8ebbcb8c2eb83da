"""Figures for Prometheus: counters of the engine, answers by class, the size of every table.

Apart from the shell, as loading the library is a tenth of a start.
"""

from __future__ import annotations

from typing import Protocol

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from swiftwell.gateway.engine import Engine


class Counted(Protocol):
    """What has figures."""

    replies: dict[tuple[str, str, str], int]
    engine: Engine

    def sizes(self) -> dict[str, int]: ...


class _Collector:
    def __init__(self, of: Counted) -> None:
        self._of = of

    def collect(self) -> list[object]:
        replies = CounterMetricFamily(
            "swiftwell_replies", "answers given", labels=["class", "kind", "reason"]
        )
        for labels, count in self._of.replies.items():
            replies.add_metric(list(labels), count)
        events = CounterMetricFamily("swiftwell_events", "what the engine did", labels=["event"])
        for name, count in self._of.engine.counts.items():
            events.add_metric([name], count)
        sizes = GaugeMetricFamily("swiftwell_size", "entries in a table", labels=["table"])
        for name, size in self._of.sizes().items():
            sizes.add_metric([name], size)
        return [replies, events, sizes]


def page(of: Counted) -> bytes:
    """The page as the exposition format has it."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(of))  # type: ignore[arg-type]
    return prometheus_client.generate_latest(registry)
