"""All checks of a request log; they use nothing but the log."""

from .admissions import check_admissions, check_refusals
from .consistency import (
    check_acknowledged_writes,
    check_at_most_once,
    check_not_run,
    check_read_your_writes,
)
from .findings import Finding
from .latency import check_latency, check_replica_reads, count_outcomes
from .operations import check_drains, check_failover, check_keys
from .records import RequestLog

CHECKS = (
    count_outcomes,
    check_admissions,
    check_refusals,
    check_read_your_writes,
    check_acknowledged_writes,
    check_at_most_once,
    check_not_run,
    check_failover,
    check_drains,
    check_keys,
    check_replica_reads,
    check_latency,
)


def check_log(log: RequestLog) -> list[Finding]:
    """Return what every check finds."""
    return [check(log) for check in CHECKS]
