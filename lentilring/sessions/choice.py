"""Ranking of the backend servers that may run a read, best first.

A read that replicas may serve goes to the nearest one until the wait in its queue costs more time
than the round trip to another server. Statements that only the primary can run go to the primary.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..catalog.model import ServerEntry
from ..statements.model import Position

# Round-trip times within a failure domain, within a region and between regions. The site sheets
# state 0.1, 0.9 and 12 to 20 ms one way.
SAME_DOMAIN_ROUND_TRIP_S = 0.0005
SAME_REGION_ROUND_TRIP_S = 0.003
OTHER_REGION_ROUND_TRIP_S = 0.032
# Keeps reads that replicas can serve away from the primary, whose slots other statements need.
PRIMARY_PENALTY_S = 0.010
# Idle servers differ by at most this time, so the penalty ranks a replica that answered "behind"
# last for one half-life, 0.5 s. Each further refusal of the same bound adds 0.5 s, up to 2 s: a
# replica far behind its primary lags for seconds, while the commit of one session usually arrives
# within a fraction of a second.
MAX_IDLE_DIFFERENCE_S = OTHER_REGION_ROUND_TRIP_S + PRIMARY_PENALTY_S
BEHIND_HALF_LIFE_S = 0.5
BEHIND_PENALTY_S = 2 * MAX_IDLE_DIFFERENCE_S
MAX_BEHIND_PENALTY_S = 16 * MAX_IDLE_DIFFERENCE_S
# Longer than the longest time without a read at such a replica, 2 s, and the pause until the next
# read of a proxy.
BEHIND_MEMORY_S = 3.0
NO_POSITION = Position(term=0, number=0)


@dataclass(frozen=True, kw_only=True)
class ProxyLocation:
    """Say where the caller's proxy runs."""

    failure_domain: str
    region: str


def estimate_round_trip_s(
    location: ProxyLocation, server: ServerEntry, region_of: Callable[[str], str]
) -> float:
    """Return the estimated round-trip time to a server."""
    if server.failure_domain == location.failure_domain:
        return SAME_DOMAIN_ROUND_TRIP_S
    same_region = region_of(server.failure_domain) == location.region
    return SAME_REGION_ROUND_TRIP_S if same_region else OTHER_REGION_ROUND_TRIP_S


def rank_read_servers(
    servers: Iterable[ServerEntry],
    *,
    primary: ServerEntry | None,
    location: ProxyLocation,
    region_of: Callable[[str], str],
    is_usable: Callable[[ServerEntry], bool],
    wait_s: Callable[[str], float],
) -> list[ServerEntry]:
    """Return the servers that may serve a read, sorted by the time that it would take."""

    def cost(server: ServerEntry) -> tuple[float, str]:
        penalty_s = PRIMARY_PENALTY_S if primary is not None and server.id == primary.id else 0.0
        round_trip_s = estimate_round_trip_s(location, server, region_of)
        return round_trip_s + wait_s(server.id) + penalty_s, server.id

    return sorted((server for server in servers if is_usable(server)), key=cost)


class WaitEstimates:
    """Keep the last reported wait for a slot per server; an estimate halves every `half_life_s`."""

    def __init__(self, *, now: Callable[[], float], half_life_s: float = 0.25) -> None:
        self._now, self._half_life_s = now, half_life_s
        self._reports: dict[str, tuple[float, float]] = {}

    def record(self, server: str, wait_s: float) -> None:
        """Store the wait that was reported for a server."""
        self._reports[server] = (wait_s, self._now())

    def wait_s(self, server: str) -> float:
        """Return the estimated wait at a server, 0 without a report."""
        report = self._reports.get(server)
        if report is None:
            return 0.0
        wait_s, reported_at = report
        return float(wait_s * 0.5 ** ((self._now() - reported_at) / self._half_life_s))


@dataclass(frozen=True, kw_only=True)
class FreshnessBound:
    """Say which commits a read must include: those of its session, and those of a certain age."""

    max_staleness_s: float
    position: Position | None = None

    def is_within(self, other: "FreshnessBound") -> bool:
        """Tell whether a replica that is too old for `other` is also too old for this bound."""
        return self.max_staleness_s <= other.max_staleness_s and (self.position or NO_POSITION) >= (
            other.position or NO_POSITION
        )


@dataclass(frozen=True, kw_only=True)
class _Refusal:
    bound: FreshnessBound
    penalty_s: float
    at: float


class ReplicaLag:
    """Remember which replicas answered "behind", so that reads try other servers first.

    In a played day, reads of one route tried a lagging replica about 1,500 times in 7 s. A replica
    that lacks the newest commit of one session may still serve other reads, so only reads with the
    same or a stricter bound avoid it.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._refusals: dict[str, _Refusal] = {}

    def record(self, server: str, bound: FreshnessBound) -> None:
        """Store that a replica was behind the bound of a read."""
        now, last, penalty_s = self._now(), self._refusals.get(server), BEHIND_PENALTY_S
        if last is not None and now - last.at < BEHIND_HALF_LIFE_S:
            # Keeps the laxer bound, about which the refusal of a stricter one says nothing.
            if bound.is_within(last.bound):
                return
            penalty_s = last.penalty_s
        elif last is not None and now - last.at < BEHIND_MEMORY_S and last.bound.is_within(bound):
            penalty_s = min(2 * last.penalty_s, MAX_BEHIND_PENALTY_S)
        self._refusals[server] = _Refusal(bound=bound, penalty_s=penalty_s, at=now)

    def penalty_s(self, server: str, bound: FreshnessBound) -> float:
        """Return the time to add to the cost of a read with this bound, 0 without a refusal."""
        last = self._refusals.get(server)
        if last is None or not bound.is_within(last.bound):
            return 0.0
        return float(last.penalty_s * 0.5 ** ((self._now() - last.at) / BEHIND_HALF_LIFE_S))
