"""Counters, gauges and histograms by OpenTelemetry, exported in Prometheus form."""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

# Covers the range from a read in the same failure domain to callers' longest deadlines.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0)


class Telemetry:
    """Count events by name and attributes; `counts` holds the counters for tests and status."""

    def __init__(self, *, exported: bool = False) -> None:
        self.counts: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        provider = MeterProvider([PrometheusMetricReader()]) if exported else MeterProvider()
        self._meter = provider.get_meter("lentilring")
        self._counters: set[str] = set()
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: int = 1, **attributes: str) -> None:
        """Add to a counter, for example `count("refusals", reason="rate_exceeded")`."""
        self.counts[(name, tuple(sorted(attributes.items())))] += amount
        if name not in self._counters:
            self._counters.add(name)
            # Observed only when metrics are exported, which is rarer than counting.
            self._meter.create_observable_counter(
                f"lentilring_{name}", callbacks=[lambda _: self._observe_counter(name)]
            )

    def read(self, name: str, **attributes: str) -> int:
        """Return a counter's value for exactly these attributes."""
        return self.counts[(name, tuple(sorted(attributes.items())))]

    def record_duration(self, name: str, duration_s: float, **attributes: str) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = self._meter.create_histogram(
                f"lentilring_{name}",
                unit="s",
                explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
            )
        histogram.record(duration_s, attributes)

    def observe(self, name: str, unit: str, measure: Callable[[], float]) -> None:
        """Export a gauge that is measured whenever metrics are read."""

        def callback(_: CallbackOptions) -> list[Observation]:
            return [Observation(measure())]

        self._meter.create_observable_gauge(f"lentilring_{name}", callbacks=[callback], unit=unit)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _observe_counter(self, name: str) -> Iterable[Observation]:
        return [
            Observation(value, dict(attributes))
            for (counter_name, attributes), value in self.counts.items()
            if counter_name == name
        ]
