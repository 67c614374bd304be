"""One picture of a run: latency, failures, replica reads and fault marks over time."""

from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from .records import RequestKind, RequestLog, RequestOutcome, RequestRecord

BIN_S = 0.5
DOTS_PER_INCH = 110
SIZE_IN = (13.0, 11.0)
MS_PER_S = 1e3
READ_COLOR, WRITE_COLOR, FAILED_COLOR = "tab:blue", "tab:green", "tab:red"


def draw_report(log: RequestLog, output: Path) -> None:
    """Write a PNG; needs matplotlib (the extra `report`)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(4, 1, sharex=True, figsize=SIZE_IN)
    _draw_latency(axes[0], log.requests)
    _draw_throughput(axes[1], log.requests)
    _draw_reasons(axes[2], log.requests)
    _draw_replica_share(axes[3], log.requests)
    for axis in axes:
        axis.grid(alpha=0.3)
        for mark in log.faults:
            axis.axvline(mark.began, color="black", linestyle="--", linewidth=1)
    _label_faults(axes[0], log)
    axes[0].set_title(f"{log.header.scenario}: {len(log.requests)} requests", pad=50)
    axes[-1].set_xlabel("seconds since the start")
    figure.tight_layout()
    figure.savefig(output, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _label_faults(axis: Any, log: RequestLog) -> None:
    for mark in log.faults:
        axis.text(
            mark.began,
            1.02,
            f"{mark.name} {mark.target}",
            rotation=20,
            fontsize=8,
            transform=axis.get_xaxis_transform(),
        )


def _draw_latency(axis: Any, records: list[RequestRecord]) -> None:
    groups = (
        ("reads", READ_COLOR, [r for r in records if _is_read(r) and _is_completed(r)]),
        ("writes", WRITE_COLOR, [r for r in records if not _is_read(r) and _is_completed(r)]),
    )
    for label, color, chosen in groups:
        times = [r.scheduled for r in chosen]
        latencies = [(r.answered - r.scheduled) * MS_PER_S for r in chosen]
        axis.plot(times, latencies, ".", markersize=2, color=color, label=label)
    axis.set_yscale("log")
    axis.set_ylabel("latency, ms\n(by scheduled time)")
    axis.legend(loc="upper right", markerscale=5)


def _draw_throughput(axis: Any, records: list[RequestRecord]) -> None:
    groups = (
        ("reads completed", READ_COLOR, [r for r in records if _is_read(r) and _is_completed(r)]),
        (
            "writes completed",
            WRITE_COLOR,
            [r for r in records if not _is_read(r) and _is_completed(r)],
        ),
        ("not completed", FAILED_COLOR, [r for r in records if not _is_completed(r)]),
    )
    end = max((r.answered for r in records), default=0.0)
    bins = range(int(end / BIN_S) + 1)
    for label, color, chosen in groups:
        counts = Counter(int(r.answered / BIN_S) for r in chosen)
        axis.step(
            [index * BIN_S for index in bins],
            [counts[index] / BIN_S for index in bins],
            where="post",
            color=color,
            label=label,
        )
    axis.set_ylabel("answers/s")
    axis.legend(loc="upper right")


def _draw_reasons(axis: Any, records: list[RequestRecord]) -> None:
    failed = [r for r in records if not _is_completed(r)]
    counts: defaultdict[str, Counter[int]] = defaultdict(Counter)
    for record in failed:
        counts[f"{record.outcome}: {record.reason}"][int(record.answered / BIN_S)] += 1
    bins = sorted({index for counter in counts.values() for index in counter})
    base = dict.fromkeys(bins, 0)
    for label, counter in sorted(counts.items()):
        heights = [counter[index] for index in bins]
        axis.bar(
            [index * BIN_S for index in bins],
            heights,
            width=BIN_S,
            align="edge",
            bottom=[base[index] for index in bins],
            label=f"{label} ({sum(heights)})",
        )
        base = {index: base[index] + counter[index] for index in bins}
    axis.set_ylabel(f"not completed\nin {BIN_S:g} s")
    if counts:
        axis.legend(loc="upper right", fontsize=8)


def _draw_replica_share(axis: Any, records: list[RequestRecord]) -> None:
    reads = [r for r in records if _is_read(r) and _is_completed(r)]
    totals = Counter(int(r.answered / BIN_S) for r in reads)
    replicas = Counter(int(r.answered / BIN_S) for r in reads if r.from_replica)
    bins = sorted(totals)
    axis.plot(
        [index * BIN_S for index in bins],
        [100 * replicas[index] / totals[index] for index in bins],
        color=READ_COLOR,
    )
    axis.axhline(80, color="tab:orange", linewidth=1, label="aim")
    axis.set_ylim(0, 102)
    axis.set_ylabel("reads by replicas, %")
    axis.legend(loc="lower right")


def _is_read(record: RequestRecord) -> bool:
    return record.kind is RequestKind.READ


def _is_completed(record: RequestRecord) -> bool:
    return record.outcome is RequestOutcome.COMPLETED
