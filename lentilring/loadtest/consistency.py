"""Checks of sessions and writes: the results of counters prove what ran."""

from collections import defaultdict
from collections.abc import Iterable

from .findings import MAX_LISTED, Finding
from .records import (
    JournalEntry,
    RequestKind,
    RequestLog,
    RequestOutcome,
    RequestRecord,
    ServerLog,
)

ADDING = frozenset({RequestKind.WRITE, RequestKind.COMMIT})


def read_sum(record: RequestRecord) -> float | None:
    """Return the counter's value in an answer, None if it holds none."""
    value = record.result
    if record.kind is RequestKind.COMMIT and isinstance(value, list) and value:
        value = value[-1]
    if record.kind is RequestKind.READ and value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else None


def check_read_your_writes(log: RequestLog) -> Finding:
    """Find reads that miss a write which their session had been answered before they were sent."""
    violations, examined = [], 0
    for counter, records in _by_counter(log).items():
        events = [(r.answered, 0, r) for r in records if r.kind is RequestKind.WRITE]
        events += [(r.sent, 1, r) for r in records if r.kind is RequestKind.READ]
        least = 0.0
        for _, _, record in sorted(events, key=lambda event: event[:2]):
            value = read_sum(record)
            if record.outcome is not RequestOutcome.COMPLETED or value is None:
                continue
            if record.kind is RequestKind.WRITE:
                least = max(least, value)
                continue
            examined += 1
            if value < least:
                violations.append(
                    f"{counter}: request {record.request_id} read {value:g} at {record.served_by} "
                    f"after an answered write of {least:g}"
                )
    return _find("read_your_writes", examined, violations)


def check_acknowledged_writes(log: RequestLog) -> Finding:
    """Find writes whose result shows that an earlier acknowledged write is gone."""
    violations, examined = [], 0
    for counter, records in _by_counter(log).items():
        added = [r for r in records if _is_completed_add(r) and not r.replayed]
        events = [(r.answered, 0, r) for r in added] + [(r.sent, 1, r) for r in added]
        acknowledged, least = 0.0, {}
        for _, begins, record in sorted(events, key=lambda event: event[:2]):
            value = read_sum(record) or 0.0
            if begins:
                least[record.request_id] = acknowledged
                continue
            acknowledged = max(acknowledged, value)
        for record in added:
            examined += 1
            value = read_sum(record) or 0.0
            if value <= least[record.request_id]:
                violations.append(
                    f"{counter}: request {record.request_id} got {value:g} after an acknowledged "
                    f"{least[record.request_id]:g}"
                )
    return _find("acknowledged_writes", examined, violations)


def check_at_most_once(log: RequestLog) -> Finding:
    """Find writes that ran twice.

    Two keys with one result, or a sum above the number of keys that may have run, show it in the
    log; two executions of one key that both survive show it in the journals. An execution that a
    later term cut off has no effect, so a repeat of its key rightly runs again.
    """
    violations, examined = [], 0
    for counter, records in _by_counter(log).items():
        examined += len(records)
        violations += _find_equal_sums(counter, records)
        violations += _find_excess_sums(counter, records)
    starts = _choose_term_starts(log.server_logs)
    databases = {entry.server: entry.database for entry in log.server_logs}
    runs: defaultdict[tuple[str, str], list[JournalEntry]] = defaultdict(list)
    for entry in log.journal:
        survives = _survives(entry, starts.get(databases.get(entry.server, ""), ()))
        if entry.idempotency_key and survives:
            runs[(entry.client_account, entry.idempotency_key)].append(entry)
    for (account, key), entries in runs.items():
        if len(entries) > 1:
            places = ", ".join(f"{e.server}@{e.term}/{e.position}" for e in entries)
            violations.append(f"{account}: key {key} ran {len(entries)} times: {places}")
    return _find("at_most_once", examined + len(log.journal), violations)


def check_not_run(log: RequestLog) -> Finding:
    """Find requests that were answered as not run although a journal shows that they ran."""
    refused = {r.request_id: r for r in log.requests if r.outcome is RequestOutcome.NOT_RUN}
    violations = [
        f"{entry.client_account}: request {entry.request_id} was refused with "
        f"{refused[entry.request_id].reason} and ran at {entry.server}"
        for entry in log.journal
        if entry.request_id in refused
    ]
    return _find("not_run", len(refused) if log.journal else 0, violations)


def _find_equal_sums(counter: str, records: Iterable[RequestRecord]) -> list[str]:
    keys: dict[float, str] = {}
    violations = []
    for record in records:
        value = read_sum(record)
        if not _is_completed_add(record) or value is None:
            continue
        known = keys.setdefault(value, record.idempotency_key)
        if known != record.idempotency_key:
            violations.append(
                f"{counter}: keys {known} and {record.idempotency_key} both got {value:g}"
            )
    return violations


def _find_excess_sums(counter: str, records: Iterable[RequestRecord]) -> list[str]:
    """Compare each sum with the number of distinct keys sent before its answer that may have run.

    A key of which every request was refused as not run may not have run.
    """
    adding = [record for record in records if record.kind in ADDING]
    first_sent: dict[str, float] = {}
    for record in adding:
        if record.outcome is not RequestOutcome.NOT_RUN and _was_sent(record):
            known = first_sent.get(record.idempotency_key, record.sent)
            first_sent[record.idempotency_key] = min(known, record.sent)
    events: list[tuple[float, int, RequestRecord | None]] = []
    events += [(time, 0, None) for time in first_sent.values()]
    events += [(r.answered, 1, r) for r in records if r.outcome is RequestOutcome.COMPLETED]
    possible, violations = 0, []
    for _, _, answer in sorted(events, key=lambda event: event[:2]):
        if answer is None:
            possible += 1
            continue
        value = read_sum(answer)
        if value is not None and value > possible:
            violations.append(
                f"{counter}: request {answer.request_id} got {value:g} when at most {possible} "
                "writes may have run"
            )
    return violations


def _survives(entry: JournalEntry, starts: tuple[tuple[int, int], ...]) -> bool:
    return all(entry.position <= start for term, start in starts if term > entry.term)


def _choose_term_starts(logs: Iterable[ServerLog]) -> dict[str, tuple[tuple[int, int], ...]]:
    """Return the terms of each database in the log that ends with the greatest term."""
    chosen: dict[str, tuple[tuple[int, int], ...]] = {}
    for entry in logs:
        known = chosen.get(entry.database, ())
        if max(entry.term_starts, default=(0, 0)) >= max(known, default=(0, 0)):
            chosen[entry.database] = entry.term_starts
    return chosen


def _is_completed_add(record: RequestRecord) -> bool:
    return record.kind in ADDING and record.outcome is RequestOutcome.COMPLETED


def _was_sent(record: RequestRecord) -> bool:
    return record.outcome is not RequestOutcome.NOT_SENT


def _by_counter(log: RequestLog) -> dict[str, list[RequestRecord]]:
    groups: defaultdict[str, list[RequestRecord]] = defaultdict(list)
    for record in log.requests:
        if record.counter:
            groups[f"{record.database}/{record.account}/{record.counter}"].append(record)
    return groups


def _find(check: str, examined: int, violations: list[str]) -> Finding:
    return Finding(
        check=check,
        examined=examined,
        violations=tuple(violations[:MAX_LISTED]),
        figures={"violations": len(violations)},
    )
