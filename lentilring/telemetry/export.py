"""Export of metrics through OpenTelemetry in the Prometheus text format."""

from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from .metrics import Duration, Gauge, Telemetry

# Covers the range from a read in the same failure domain to callers' longest deadlines.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0)
NAME_PREFIX = "lentilring_"


class MetricExporter:
    """Declare a process's metrics to OpenTelemetry as they first appear."""

    def __init__(self, *, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._meter = MeterProvider([PrometheusMetricReader()]).get_meter("lentilring")
        self._declared: set[str] = set()
        self._histograms: dict[str, Histogram] = {}

    def record_duration(self, duration: Duration) -> None:
        """Add a duration to its histogram."""
        histogram = self._histograms.get(duration.name)
        if histogram is None:
            histogram = self._histograms[duration.name] = self._meter.create_histogram(
                NAME_PREFIX + duration.name,
                unit="s",
                explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
            )
        histogram.record(duration.duration_s, duration.attributes)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name in {counter_name for counter_name, _ in self._telemetry.counts} - self._declared:
            self._declare_counter(name)
        for name, gauge in self._telemetry.gauges.items():
            if name not in self._declared:
                self._declare_gauge(name, gauge)
        return generate_latest(REGISTRY)

    def _declare_counter(self, name: str) -> None:
        def callback(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, dict(attributes))
                for (counter_name, attributes), value in self._telemetry.counts.items()
                if counter_name == name
            ]

        self._declared.add(name)
        self._meter.create_observable_counter(NAME_PREFIX + name, callbacks=[callback])

    def _declare_gauge(self, name: str, gauge: Gauge) -> None:
        def callback(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(gauge.measure())]

        self._declared.add(name)
        self._meter.create_observable_gauge(
            NAME_PREFIX + name, callbacks=[callback], unit=gauge.unit
        )
