"""A fleet of limit services on virtual time, its faults, and the checker of its admissions."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LimitMember:
    vm: str
    address: str
    failure_domain: str
    region: str
    incarnation: int = 1
    weight: float = 1.0


def find_excess(uses: list[tuple[float, float]], *, rate: float, burst: float) -> float:
    """Return by how much the worst window exceeds burst + rate * w; uses are (time, amount).

    A window from the first to the last use of a run is the worst one for that run. With
    prefix(j) = sum - rate * time, all pairs are checked in one pass by the least start so far.
    """
    worst, total, least = float("-inf"), 0.0, float("inf")
    for time, amount in sorted(uses):
        least = min(least, total - rate * time)
        total += amount
        worst = max(worst, total - rate * time - least - burst)
    return worst
