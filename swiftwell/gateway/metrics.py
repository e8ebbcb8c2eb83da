"""Prometheus metrics: counters of the engine, answers by class, the size of each table.

A module of its own, as importing the library takes a tenth of a gateway's start.
"""

from __future__ import annotations

from typing import Protocol

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from swiftwell.gateway.engine import Engine


class MetricsSource(Protocol):
    """What metrics are read from."""

    replies: dict[tuple[str, str, str], int]
    engine: Engine

    def sizes(self) -> dict[str, int]: ...


class _Collector:
    def __init__(self, source: MetricsSource) -> None:
        self._source = source

    def collect(self) -> list[object]:
        replies = CounterMetricFamily(
            "swiftwell_replies", "answers given", labels=["class", "kind", "reason"]
        )
        for labels, count in self._source.replies.items():
            replies.add_metric(list(labels), count)
        events = CounterMetricFamily("swiftwell_events", "what the engine did", labels=["event"])
        for name, count in self._source.engine.counts.items():
            events.add_metric([name], count)
        sizes = GaugeMetricFamily("swiftwell_size", "entries in a table", labels=["table"])
        for name, size in self._source.sizes().items():
            sizes.add_metric([name], size)
        return [replies, events, sizes]


def page(source: MetricsSource) -> bytes:
    """The metrics in Prometheus' text exposition format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(source))  # type: ignore[arg-type]
    return prometheus_client.generate_latest(registry)
