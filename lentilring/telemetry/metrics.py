"""Counters, gauges and histograms; OpenTelemetry exports them in Prometheus form.

A process counts from its first moment, but loads OpenTelemetry only when metrics are first read,
because importing it delays the start.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .export import MetricExporter

# Durations recorded before the first export; further ones are passed on as they come.
MAX_PENDING_DURATIONS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Duration:
    """Hold one value of a histogram."""

    name: str
    duration_s: float
    attributes: dict[str, str]


@dataclass(frozen=True, kw_only=True)
class Gauge:
    """Describe a value that is measured whenever metrics are read."""

    unit: str
    measure: Callable[[], float]


class Telemetry:
    """Count events by name and attributes; `counts` holds the counters for tests and status."""

    def __init__(self, *, exported: bool = False) -> None:
        self.counts: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self.gauges: dict[str, Gauge] = {}
        self._exported = exported
        self._pending: list[Duration] = []
        self._exporter: MetricExporter | None = None

    def count(self, name: str, amount: int = 1, **attributes: str) -> None:
        """Add to a counter, for example `count("refusals", reason="rate_exceeded")`."""
        self.counts[(name, tuple(sorted(attributes.items())))] += amount

    def read(self, name: str, **attributes: str) -> int:
        """Return a counter's value for exactly these attributes."""
        return self.counts[(name, tuple(sorted(attributes.items())))]

    def record_duration(self, name: str, duration_s: float, **attributes: str) -> None:
        """Add a duration in seconds to a histogram."""
        if not self._exported:
            return
        self._pending.append(Duration(name=name, duration_s=duration_s, attributes=attributes))
        if self._exporter is not None or len(self._pending) >= MAX_PENDING_DURATIONS:
            self._pass_on_durations()

    def observe(self, name: str, unit: str, measure: Callable[[], float]) -> None:
        """Export a gauge that is measured whenever metrics are read."""
        self.gauges[name] = Gauge(unit=unit, measure=measure)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._pass_on_durations().export()

    def _pass_on_durations(self) -> "MetricExporter":
        if self._exporter is None:
            from .export import MetricExporter

            self._exporter = MetricExporter(telemetry=self)
        pending, self._pending = self._pending, []
        for duration in pending:
            self._exporter.record_duration(duration)
        return self._exporter
