"""Measures around operators' changes and lost primaries, from the marks in the log."""

from collections import Counter
from collections.abc import Iterable

from ..outcomes import JsonValue
from .findings import Finding
from .records import FaultMark, RequestKind, RequestLog, RequestOutcome, RequestRecord

# Twice the greatest allowed gap, so that a gap which misses the aim is seen whole.
GAP_WINDOW_S = 20.0
MAX_GAP_S = 10.0
MAX_NEW_WORK_S = 3.0
MAX_KEY_ACCEPTANCE_S = 3.0

WRITING = frozenset(
    {RequestKind.WRITE, RequestKind.REPEATABLE_WRITE, RequestKind.BEGIN, RequestKind.COMMIT}
)


def check_failover(log: RequestLog) -> Finding:
    """Measure the longest time without a completed write to a database that lost its primary."""
    gaps: dict[str, JsonValue] = {}
    violations = []
    marks = _marks(log, "primary_lost")
    last = max((r.answered for r in log.requests), default=0.0)
    for mark in marks:
        writes = [r for r in log.requests if r.kind in WRITING and r.database == mark.target]
        end = max(mark.began, min(mark.began + GAP_WINDOW_S, last))
        gap = measure_gap(writes, mark.began, end)
        failed = Counter(
            f"{r.outcome}/{r.reason}"
            for r in writes
            if mark.began <= r.answered <= end and r.outcome is not RequestOutcome.COMPLETED
        )
        gaps[f"{mark.name} at {mark.began:.1f}"] = {
            "gap_s": round(gap, 3),
            "writes_not_completed": dict(failed),
        }
        if gap > MAX_GAP_S:
            violations.append(f"{mark.target}: no write completed for {gap:.2f} s")
    return Finding(
        check="failover", examined=len(marks), violations=tuple(violations), figures=gaps
    )


def measure_gap(records: Iterable[RequestRecord], began: float, end: float) -> float:
    """Return the longest part of a window without a completed answer, in seconds."""
    completed = (r.answered for r in records if r.outcome is RequestOutcome.COMPLETED)
    times = [began, *sorted(time for time in completed if began < time < end), end]
    return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))


def check_drains(log: RequestLog) -> Finding:
    """Measure the last new work in a drained failure domain, and failures around the drain.

    New work is a request that a server of the domain served, or that a proxy of the domain took.
    """
    figures: dict[str, JsonValue] = {}
    violations = []
    marks = _marks(log, "domain_drained")
    for mark in marks:
        end = _find_end(log, mark, "domain_returned")
        during = [r for r in log.requests if mark.effective <= r.sent < end]
        servers = _names(log.header.backend_servers, mark.target)
        proxies = _names(log.header.proxies, mark.target)
        served = [r for r in during if r.served_by in servers]
        taken = [r for r in during if r.proxy in proxies and _is_work(r)]
        last = max((r.sent - mark.effective for r in [*served, *taken]), default=0.0)
        around = [r for r in log.requests if r.sent >= mark.effective]
        failed = Counter(f"{r.outcome}/{r.reason}" for r in around if _is_failure(r))
        figures[f"{mark.target} at {mark.effective:.1f}"] = {
            "last_served_by_domain_s": _last(served, mark),
            "last_taken_by_proxy_s": _last(taken, mark),
            "since_begin_s": round(last + mark.effective - mark.began, 3),
            "requests_after": len(around),
            "failed": dict(failed),
        }
        if last > MAX_NEW_WORK_S:
            violations.append(f"{mark.target}: new work {last:.2f} s after the drain")
    return Finding(
        check="drains", examined=len(marks), violations=tuple(violations), figures=figures
    )


def check_keys(log: RequestLog) -> Finding:
    """Measure how long a withdrawn key was accepted, from its acceptance."""
    figures: dict[str, JsonValue] = {}
    violations = []
    marks = _marks(log, "key_withdrawn")
    for mark in marks:
        end = _find_end(log, mark, "key_given")
        used = [
            r for r in log.requests if r.key_id == mark.target and mark.effective <= r.sent < end
        ]
        accepted = [r for r in used if r.outcome is RequestOutcome.COMPLETED]
        last = max((r.sent - mark.effective for r in accepted), default=0.0)
        figures[f"{mark.target} at {mark.effective:.1f}"] = {
            "last_accepted_s": round(last, 3),
            "since_begin_s": round(last + mark.effective - mark.began, 3),
            "requests_after": len(used),
        }
        if last > MAX_KEY_ACCEPTANCE_S:
            violations.append(f"{mark.target}: accepted {last:.2f} s after it was withdrawn")
    return Finding(check="keys", examined=len(marks), violations=tuple(violations), figures=figures)


def _marks(log: RequestLog, event: str) -> list[FaultMark]:
    return [mark for mark in log.faults if mark.event == event]


def _find_end(log: RequestLog, mark: FaultMark, event: str) -> float:
    """Return when an operator began to undo a change; infinity if nobody did."""
    undone = [m.began for m in _marks(log, event) if m.target == mark.target]
    return min((time for time in undone if time > mark.began), default=float("inf"))


def _names(places: dict[str, str], failure_domain: str) -> set[str]:
    return {name for name, place in places.items() if place == failure_domain}


def _is_work(record: RequestRecord) -> bool:
    return record.outcome is not RequestOutcome.NOT_SENT and record.reason not in (
        "draining",
        "shutting_down",
    )


def _is_failure(record: RequestRecord) -> bool:
    """Tell whether a request failed for a cause other than its account's rate."""
    return record.outcome is not RequestOutcome.COMPLETED and record.reason != "rate_exceeded"


def _last(records: Iterable[RequestRecord], mark: FaultMark) -> float | None:
    times = [record.sent - mark.effective for record in records]
    return round(max(times), 3) if times else None
