"""Checks of rate limits: admissions beyond the bound, and refusals that were not due."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence

from ..outcomes import JsonValue, RefusalReason
from .findings import Finding
from .maxima import MaximumTree
from .records import AccountLimits, RequestLog, RequestOutcome, RequestRecord

LIMIT_REASONS = frozenset({RefusalReason.RATE_EXCEEDED, RefusalReason.LIMIT_UNAVAILABLE})

# Refusals that a proxy can give before it takes a token. Some of them can also come after it
# (queue_full, draining, shutting_down, and the keys' reasons from the second check); counting none
# of these as admissions means that a reported excess is certain, and a small one can go unseen.
REFUSED_BEFORE_ADMISSION = LIMIT_REASONS | {
    RefusalReason.KEY_MISSING,
    RefusalReason.KEY_UNKNOWN,
    RefusalReason.ROUTE_UNKNOWN,
    RefusalReason.ROUTE_FORBIDDEN,
    RefusalReason.REQUEST_MALFORMED,
    RefusalReason.BODY_TOO_LARGE,
    RefusalReason.BODY_TIMEOUT,
    RefusalReason.SESSION_INVALID,
    RefusalReason.CONFIGURATION_STALE,
    RefusalReason.QUEUE_FULL,
    RefusalReason.DRAINING,
    RefusalReason.SHUTTING_DOWN,
}
# Half a token allows for the sum of the rounding errors of the replayed arithmetic.
TOLERANCE = 0.5


def was_admitted(record: RequestRecord) -> bool:
    """Tell whether a request certainly passed the rate limit.

    Outcomes that the load tool made up, because no answer came, say nothing about it.
    """
    if record.reason.startswith("client_"):
        return False
    return record.reason not in REFUSED_BEFORE_ADMISSION


def check_admissions(log: RequestLog) -> Finding:
    """Find windows with more admissions than burst + rate * length.

    A request was admitted at an unknown time between sending and answer, so it counts for a window
    only if it lies wholly inside.
    """
    violations, worst = [], {}
    by_account = _group(entry for entry in log.requests if was_admitted(entry))
    for account, records in sorted(by_account.items()):
        limits = log.header.accounts[account]
        excess = measure_excess([(r.sent, r.answered) for r in records], limits)
        worst[account] = round(excess, 2)
        if excess > TOLERANCE:
            violations.append(f"{account}: {excess:.2f} requests beyond burst + rate * w")
    return Finding(
        check="admissions",
        examined=sum(len(records) for records in by_account.values()),
        violations=tuple(violations),
        figures={"greatest_excess": dict(worst)},
    )


def measure_excess(spans: Sequence[tuple[float, float]], limits: AccountLimits) -> float:
    """Return the greatest count - burst - rate * length over all windows.

    For each window start, from the last to the first, a segment tree over the window ends holds
    the count of spans inside minus rate * end.
    """
    if not spans:
        return -limits.burst
    ends = sorted({answered for _, answered in spans})
    tree = MaximumTree([-limits.rate_per_s * end for end in ends])
    worst = float("-inf")
    for sent, answered in sorted(spans, reverse=True):
        tree.add_from(bisect_left(ends, answered), 1.0)
        best = tree.maximum_from(bisect_left(ends, sent))
        worst = max(worst, best + limits.rate_per_s * sent)
    return worst - limits.burst


def check_refusals(log: RequestLog) -> Finding:
    """Count refusals by the rate limit of requests that one central bucket would admit."""
    by_account: dict[str, JsonValue] = {}
    wrongful = within_rate = 0
    measured = {id(entry) for entry in log.measured}
    for account, records in sorted(_group(log.requests).items()):
        replayed = [
            (record, due)
            for record, due in replay_bucket(records, log.header.accounts[account])
            if id(record) in measured
        ]
        due = sum(due for _, due in replayed)
        missed = count_wrongful(replayed)
        wrongful, within_rate = wrongful + missed, within_rate + due
        by_account[account] = {"wrongful": missed, "within_rate": due, "sent": len(replayed)}
    return Finding(
        check="refusals",
        examined=within_rate,
        figures={
            "wrongful": wrongful,
            "within_rate": within_rate,
            "share_percent": round(100 * wrongful / within_rate, 4) if within_rate else 0.0,
            "by_account": by_account,
        },
    )


def count_wrongful(replayed: Sequence[tuple[RequestRecord, bool]]) -> int:
    """Return how many requests of an account were refused wrongly.

    While the account stays within its rate, that is every refusal by the limit. Where the central
    bucket refuses too, it and the fleet may admit different requests of the same moment, so only
    the difference of their totals counts.
    """
    refused = sum(record.reason in LIMIT_REASONS for record, _ in replayed)
    refused_by_bucket = sum(not due for _, due in replayed)
    return max(0, refused - refused_by_bucket)


def replay_bucket(
    records: Sequence[RequestRecord], limits: AccountLimits
) -> Iterable[tuple[RequestRecord, bool]]:
    """Yield the requests that reach the limit, and whether a central bucket admits each.

    Requests refused for a reason other than the limit before it was asked take no token.
    """
    level, filled_at = limits.burst, 0.0
    for record in records:
        skips = record.reason in REFUSED_BEFORE_ADMISSION - LIMIT_REASONS
        if skips or record.outcome is RequestOutcome.NOT_SENT:
            continue
        level = min(limits.burst, level + limits.rate_per_s * (record.sent - filled_at))
        filled_at = record.sent
        due = level >= 1.0
        if due:
            level -= 1.0
        yield record, due


def _group(records: Iterable[RequestRecord]) -> dict[str, list[RequestRecord]]:
    groups: defaultdict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        groups[record.account].append(record)
    return groups
