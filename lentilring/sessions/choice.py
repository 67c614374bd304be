"""Ranking of the backend servers that may run a read, best first.

A read that replicas may serve goes to the nearest one until the wait in its queue costs more time
than the round trip to another server. Statements that only the primary can run go to the primary.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..catalog.model import ServerEntry

# Round-trip times within a failure domain, within a region and between regions. The site sheets
# state 0.1, 0.9 and 12 to 20 ms one way.
SAME_DOMAIN_ROUND_TRIP_S = 0.0005
SAME_REGION_ROUND_TRIP_S = 0.003
OTHER_REGION_ROUND_TRIP_S = 0.032
# Keeps reads that replicas can serve away from the primary, whose slots other statements need.
PRIMARY_PENALTY_S = 0.010


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
