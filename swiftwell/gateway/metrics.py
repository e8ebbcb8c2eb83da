"""Prometheus metrics: counters of the engine, answers by class, the size of each table.

A module of its own, as importing the library takes a tenth of a gateway's start.
"""

from __future__ import annotations

from typing import Protocol

import prometheus_client
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from swiftwell.gateway.engine import Engine
from swiftwell.gateway.failures import FailureLog
from swiftwell.gateway.logs import Logs


class MetricsSource(Protocol):
    """What metrics are read from."""

    replies: dict[tuple[str, str, str], int]
    engine: Engine
    logs: Logs
    failures: FailureLog

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
        dropped = CounterMetricFamily("swiftwell_log_lines_dropped", "log lines that could not be written")
        dropped.add_metric([], self._source.logs.dropped_lines)
        failures = CounterMetricFamily("swiftwell_failures", "contained failures", labels=["stage"])
        for stage, count in self._source.failures.counts.items():
            failures.add_metric([stage], count)
        return [replies, events, sizes, dropped, failures]


def page(source: MetricsSource) -> bytes:
    """The metrics in Prometheus' text exposition format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(source))  # type: ignore[arg-type]
    return prometheus_client.generate_latest(registry)
