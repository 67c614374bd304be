"""Which backend servers may run a statement, best first.

Load that this answers: reads that replicas may serve go to the nearest one until its queue costs
more time than the way to another; statements that only the primary can run stay there.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..catalog.model import ServerEntry

# One way there and back: within a failure domain, within a region, between regions (site sheets:
# 0.1, 0.9 and 12 to 20 ms one way).
SAME_DOMAIN_S = 0.0005
SAME_REGION_S = 0.003
OTHER_REGION_S = 0.032
# What replicas can serve leaves the primary's slots to statements that need it.
PRIMARY_PENALTY_S = 0.010


@dataclass(frozen=True, kw_only=True)
class ProxyLocation:
    """Locate the caller's proxy."""

    failure_domain: str
    region: str


def estimate_way_s(
    location: ProxyLocation, server: ServerEntry, region_of: Callable[[str], str]
) -> float:
    """Return the time to a server and back."""
    if server.failure_domain == location.failure_domain:
        return SAME_DOMAIN_S
    same_region = region_of(server.failure_domain) == location.region
    return SAME_REGION_S if same_region else OTHER_REGION_S


def rank_read_servers(
    servers: Iterable[ServerEntry],
    *,
    primary: ServerEntry | None,
    location: ProxyLocation,
    region_of: Callable[[str], str],
    is_usable: Callable[[ServerEntry], bool],
    wait_s: Callable[[str], float],
) -> list[ServerEntry]:
    """Return the servers that may serve a read, by the time that it would take."""

    def cost(server: ServerEntry) -> tuple[float, str]:
        penalty = PRIMARY_PENALTY_S if primary is not None and server.id == primary.id else 0.0
        way = estimate_way_s(location, server, region_of)
        return way + wait_s(server.id) + penalty, server.id

    return sorted((server for server in servers if is_usable(server)), key=cost)


class WaitEstimates:
    """Remember what gateways last said of the wait for a slot; older news counts for less."""

    def __init__(self, *, now: Callable[[], float], half_life_s: float = 0.25) -> None:
        self._now, self._half_life_s = now, half_life_s
        self._seen: dict[str, tuple[float, float]] = {}

    def record(self, server: str, wait_s: float) -> None:
        """Take a gateway's estimate."""
        self._seen[server] = (wait_s, self._now())

    def wait_s(self, server: str) -> float:
        """Return the estimated wait at a server."""
        seen = self._seen.get(server)
        if seen is None:
            return 0.0
        wait_s, at = seen
        return float(wait_s * 0.5 ** ((self._now() - at) / self._half_life_s))
