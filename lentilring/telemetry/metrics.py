"""Counters and gauges by OpenTelemetry, exported in Prometheus form."""

from collections import Counter
from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


class Telemetry:
    """Count events by name and attributes; `counts` mirrors the counters for tests and status."""

    def __init__(self, *, exported: bool = False) -> None:
        self.counts: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        provider = MeterProvider([PrometheusMetricReader()]) if exported else MeterProvider()
        self._meter = provider.get_meter("lentilring")
        self._counters: dict[str, object] = {}

    def count(self, name: str, amount: int = 1, **attributes: str) -> None:
        """Add to a counter, for example `count("refusals", reason="rate_exceeded")`."""
        key = (name, tuple(sorted(attributes.items())))
        self.counts[key] += amount
        if name not in self._counters:
            self._counters[name] = self._meter.create_counter(f"lentilring_{name}")
        self._counters[name].add(amount, attributes)  # type: ignore[attr-defined]

    def read(self, name: str, **attributes: str) -> int:
        """Return a counter's value for exactly these attributes."""
        return self.counts[(name, tuple(sorted(attributes.items())))]

    def observe(self, name: str, unit: str, measure: Callable[[], float]) -> None:
        """Export a gauge that is measured whenever metrics are read."""

        def callback(_: CallbackOptions) -> list[Observation]:
            return [Observation(measure())]

        self._meter.create_observable_gauge(f"lentilring_{name}", callbacks=[callback], unit=unit)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
