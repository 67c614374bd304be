"""Order in which the backend servers of a database are tried for a read."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from ..configuration.drain import is_in_service
from ..configuration.models import BackendServer, Database
from ..membership.member import Member
from .topology import ConfigurationView

MAX_HINTS = 10_000
# Hints are ignored after this time, because the replica may have caught up.
HINT_LASTS_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _LagHint:
    recorded_at: float
    position: int
    max_staleness_s: float | None


@dataclass(frozen=True, kw_only=True)
class ReadOrder:
    """Hold the servers to try for a read, in order, and those left out because they lag.

    If all lag, all are tried.
    """

    servers: tuple[BackendServer, ...]
    left_out: tuple[BackendServer, ...] = ()


class ReplicaHints:
    """Remember which servers could not serve a recent read: too far behind or unreachable."""

    def __init__(self) -> None:
        self._hints: OrderedDict[tuple[str, str], _LagHint] = OrderedDict()

    def record_behind(
        self, group: str, server: str, now: float, position: int, max_staleness_s: float | None
    ) -> None:
        """Record that a server could not serve a read of this position and staleness limit."""
        self._hints[(group, server)] = _LagHint(
            recorded_at=now, position=position, max_staleness_s=max_staleness_s
        )
        self._hints.move_to_end((group, server))
        while len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def forget(self, group: str, server: str) -> None:
        """Forget the hint about a server that served a read."""
        self._hints.pop((group, server), None)

    def is_behind(
        self, group: str, server: str, now: float, position: int, max_staleness_s: float | None
    ) -> bool:
        """Tell whether a server recently could not serve a read that demanded no more than this."""
        hint = self._hints.get((group, server))
        if hint is None or now - hint.recorded_at > HINT_LASTS_S:
            return False
        staleness_limit_s = max_staleness_s or 0.0
        return position >= hint.position and staleness_limit_s <= (hint.max_staleness_s or 0.0)


def order_servers(
    *,
    database: Database,
    primary: str | None,
    configuration: ConfigurationView,
    local: Member,
    accepts_replica: bool,
    random_source: random.Random,
) -> list[BackendServer]:
    """Return the servers to try for a read: nearest replicas first, the primary last.

    Without `accepts_replica` only the primary is returned.
    """
    usable = [s for s in database.backend_servers if is_in_service(configuration, database, s)]
    if not accepts_replica:
        return [server for server in usable if server.name == primary]

    def sort_key(server: BackendServer) -> tuple[bool, int, float]:
        return server.name == primary, _measure_distance(local, server), random_source.random()

    return sorted(usable, key=sort_key)


def _measure_distance(local: Member, server: BackendServer) -> int:
    if server.failure_domain == local.failure_domain:
        return 0
    return 1 if server.region == local.region else 2
