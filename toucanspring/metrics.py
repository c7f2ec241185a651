"""Counters, gauges and histograms in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

# The top-level package imports asyncio services, which its submodules do not need.
from aioprometheus import collectors
from aioprometheus.formats import text

LATENCY_BUCKETS_S = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
)  # fmt: skip
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NO_LABELS: Mapping[str, str] = {}


class Service:
    """Own the metrics of one process; each name is created on first use."""

    def __init__(self, kernel: object, settings: object) -> None:
        del kernel, settings
        self._registry = collectors.Registry()
        self._collectors: dict[str, collectors.Collector] = {}
        self._readers: list[Callable[[], None]] = []

    def start(self) -> None:
        """Do nothing; metrics need no greenlet."""

    def stop(self) -> None:
        """Do nothing; metrics own no resource outside the process."""

    def counter(self, name: str, doc: str) -> collectors.Counter:
        """Return the counter with this name; use `add(labels, value)`."""
        return self._get(
            name, lambda: collectors.Counter(name, doc, registry=self._registry)
        )

    def gauge(self, name: str, doc: str) -> collectors.Gauge:
        """Return the gauge with this name; use `set(labels, value)`."""
        return self._get(
            name, lambda: collectors.Gauge(name, doc, registry=self._registry)
        )

    def histogram(
        self, name: str, doc: str, buckets: Sequence[float] = LATENCY_BUCKETS_S
    ) -> collectors.Histogram:
        """Return the histogram with this name; use `add(labels, value)`."""
        return self._get(
            name,
            lambda: collectors.Histogram(
                name, doc, registry=self._registry, buckets=buckets
            ),
        )

    def on_render(self, reader: Callable[[], None]) -> None:
        """Call `reader` before each rendering, for values that are read on demand."""
        self._readers.append(reader)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for reader in self._readers:
            reader()
        return text.TextFormatter().marshall(self._registry)

    def _get(
        self, name: str, create: Callable[[], collectors.Collector]
    ) -> collectors.Collector:
        if name not in self._collectors:
            self._collectors[name] = create()
        return self._collectors[name]
