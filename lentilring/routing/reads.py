"""Choice of the backend server for a read."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from ..configuration.drain import is_in_service
from ..configuration.models import BackendServer, Database
from ..membership.member import Member
from .topology import ConfigurationView

MAX_HINTS = 10_000
# A refusal for lag says little about the replica after this time.
HINT_LASTS_S = 1.0


@dataclass(frozen=True, kw_only=True)
class _Lag:
    time: float
    position: int
    max_staleness_s: float | None


class ReplicaHints:
    """Remember which servers were recently too far behind or unreachable."""

    def __init__(self) -> None:
        self._lags: OrderedDict[tuple[str, str], _Lag] = OrderedDict()

    def record_behind(
        self, group: str, server: str, now: float, position: int, max_staleness_s: float | None
    ) -> None:
        """Remember that a server did not cover a position or a staleness limit."""
        self._lags[(group, server)] = _Lag(
            time=now, position=position, max_staleness_s=max_staleness_s
        )
        self._lags.move_to_end((group, server))
        while len(self._lags) > MAX_HINTS:
            self._lags.popitem(last=False)

    def forget(self, group: str, server: str) -> None:
        """Forget a server's lag after it served a read."""
        self._lags.pop((group, server), None)

    def is_behind(
        self, group: str, server: str, now: float, position: int, max_staleness_s: float | None
    ) -> bool:
        """Tell whether a server is known not to cover a read as demanding as an earlier one."""
        lag = self._lags.get((group, server))
        if lag is None or now - lag.time > HINT_LASTS_S:
            return False
        stricter = max_staleness_s or 0.0
        return position >= lag.position and stricter <= (lag.max_staleness_s or 0.0)


def order_servers(
    *,
    database: Database,
    primary: str | None,
    configuration: ConfigurationView,
    local: Member,
    accepts_replica: bool,
    source: random.Random,
) -> list[BackendServer]:
    """Return the servers to try for a read: near replicas first, the primary last."""
    usable = [s for s in database.backend_servers if is_in_service(configuration, database, s)]
    if not accepts_replica:
        return [server for server in usable if server.name == primary]

    def order(server: BackendServer) -> tuple[bool, int, float]:
        return server.name == primary, _distance(local, server), source.random()

    return sorted(usable, key=order)


def _distance(local: Member, server: BackendServer) -> int:
    if server.failure_domain == local.failure_domain:
        return 0
    return 1 if server.region == local.region else 2
