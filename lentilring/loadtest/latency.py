"""Latency from the scheduled time, and the share of reads that replicas serve."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from ..outcomes import JsonValue
from .findings import Finding
from .records import RequestKind, RequestLog, RequestOutcome

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
US_PER_S = 1e6
US_PER_MS = 1e3


def check_latency(log: RequestLog) -> Finding:
    """Measure the latency of completed requests of each phase and account, in milliseconds."""
    histograms: defaultdict[tuple[str, str], HdrHistogram] = defaultdict(
        lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    completed = [r for r in log.measured if r.outcome is RequestOutcome.COMPLETED]
    for record in completed:
        latency = int((record.answered - record.scheduled) * US_PER_S)
        histograms[(record.phase, record.account)].record_value(max(LOWEST_US, latency))
    figures: dict[str, JsonValue] = {}
    for phase in sorted({phase for phase, _ in histograms}):
        accounts = {
            account: _describe(histogram)
            for (name, account), histogram in sorted(histograms.items())
            if name == phase
        }
        worst = max(accounts, key=lambda name: accounts[name]["p99_ms"])
        figures[phase] = {
            "worst_account": worst,
            "worst_p99_ms": accounts[worst]["p99_ms"],
            "accounts": {name: dict(entry) for name, entry in accounts.items()},
        }
    return Finding(check="latency", examined=len(completed), figures=figures)


def check_replica_reads(log: RequestLog) -> Finding:
    """Measure the share of completed reads that replicas served; all may use one."""
    reads = [
        r
        for r in log.measured
        if r.kind is RequestKind.READ and r.outcome is RequestOutcome.COMPLETED
    ]
    served = sum(r.from_replica for r in reads)
    share = round(100 * served / len(reads), 2) if reads else 0.0
    return Finding(
        check="replica_reads",
        examined=len(reads),
        figures={"from_replicas": served, "share_percent": share},
    )


def count_outcomes(log: RequestLog) -> Finding:
    """Count the outcomes and reasons of the measured requests."""
    counts = Counter(f"{r.outcome}/{r.reason}".rstrip("/") for r in log.measured)
    return Finding(
        check="outcomes", examined=len(log.measured), figures=dict(sorted(counts.items()))
    )


def _describe(histogram: HdrHistogram) -> dict[str, float]:
    def read(percentile: float) -> float:
        return round(histogram.get_value_at_percentile(percentile) / US_PER_MS, 2)

    return {
        "count": histogram.get_total_count(),
        "p50_ms": read(50),
        "p99_ms": read(99),
        "p999_ms": read(99.9),
        "max_ms": read(100),
    }
