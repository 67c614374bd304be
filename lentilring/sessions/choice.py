"""Ranking of the backend servers that may run a read, best first.

A read that replicas may serve goes to the nearest one until the wait in its queue costs more time
than the round trip to another server. Statements that only the primary can run go to the primary.

Estimates are uncertain: each of about 70 proxies sees an answer of a server every one to two
seconds and does not know what the others send there. So reads are spread over the servers whose
estimates overlap.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from random import Random

from ..catalog.model import ServerEntry
from ..statements.model import Position

# Round-trip times within a failure domain, within a region and between regions. The site sheets
# state 0.1, 0.9 and 12 to 20 ms one way.
SAME_DOMAIN_ROUND_TRIP_S = 0.0005
SAME_REGION_ROUND_TRIP_S = 0.003
OTHER_REGION_ROUND_TRIP_S = 0.032
# Estimates that differ by less are equal. It is less than the difference between round trips within
# a failure domain and within a region, because bytes between failure domains cost something.
ROUND_TRIP_PRECISION_S = 0.002
# A wait is between half and one and a half times the report at first. The bounds fall at different
# rates, because the queue may have become empty since, or be as long as before: bursts last for
# 3 to 6 s.
MIN_WAIT_FACTOR = 0.5
MAX_WAIT_FACTOR = 1.5
MAX_WAIT_HALF_LIFE_S = 2.0
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
# Three intervals at which gateways repeat that a server is bad.
JUDGEMENT_MEMORY_S = 6.0
# Part of the single reads that go to a bad server first, so that its recovery is seen.
TRIAL_SHARE = 1 / 20
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


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadCost:
    """Hold the parts of the estimated cost of a read at a server."""

    server: ServerEntry
    round_trip_s: float
    wait_s: float
    primary_penalty_s: float
    failure_penalty_s: float
    lag_penalty_s: float
    is_bad: bool

    @property
    def total_s(self) -> float:
        """Return the sum of the parts."""
        delay_s = self.wait_s + self.failure_penalty_s + self.lag_penalty_s
        return self.round_trip_s + delay_s + self.primary_penalty_s

    @property
    def order(self) -> tuple[bool, float, str]:
        """Return the key that sorts servers by cost, bad servers last."""
        return self.is_bad, self.total_s, self.server.id


def rank_read_servers(
    servers: Iterable[ServerEntry],
    *,
    primary: ServerEntry | None,
    location: ProxyLocation,
    region_of: Callable[[str], str],
    is_usable: Callable[[ServerEntry], bool],
    wait_s: Callable[[str], float],
    failure_penalty_s: Callable[[str], float] = lambda server: 0.0,
    lag_penalty_s: Callable[[str], float] = lambda server: 0.0,
    bad: Collection[str] = (),
) -> list[ReadCost]:
    """Return the costs at the servers that may serve a read, the best server first.

    Bad servers are last.
    """
    costs = [
        ReadCost(
            server=server,
            round_trip_s=estimate_round_trip_s(location, server, region_of),
            wait_s=wait_s(server.id),
            primary_penalty_s=(
                PRIMARY_PENALTY_S if primary is not None and server.id == primary.id else 0.0
            ),
            failure_penalty_s=failure_penalty_s(server.id),
            lag_penalty_s=lag_penalty_s(server.id),
            is_bad=server.id in bad,
        )
        for server in servers
        if is_usable(server)
    ]
    return sorted(costs, key=lambda cost: cost.order)


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
        return self._fade(server, self._half_life_s)

    def draw_wait_s(self, server: str, random: Random) -> float:
        """Return a random wait between the least and the greatest that the report leaves possible.

        Ranked by such waits, a server is first more often the more its estimate is better, and
        always if the estimates do not overlap.
        """
        least_s, greatest_s = self.find_range_s(server)
        return random.uniform(least_s, greatest_s) + random.uniform(0.0, ROUND_TRIP_PRECISION_S)

    def find_range_s(self, server: str) -> tuple[float, float]:
        """Return the least and the greatest wait that the last report leaves possible."""
        least_s = MIN_WAIT_FACTOR * self.wait_s(server)
        return least_s, MAX_WAIT_FACTOR * self._fade(server, MAX_WAIT_HALF_LIFE_S)

    def _fade(self, server: str, half_life_s: float) -> float:
        wait_s, reported_at = self._reports.get(server, (0.0, 0.0))
        return float(wait_s * 0.5 ** ((self._now() - reported_at) / half_life_s))


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

    Otherwise each read asks a lagging replica first, at the cost of a round trip. A replica that
    lacks the newest commit of one session may still serve other reads, so only reads with the same
    or a stricter bound avoid it.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._refusals: dict[str, _Refusal] = {}

    def record(self, server: str, bound: FreshnessBound) -> bool:
        """Store that a replica was behind the bound of a read; tell whether this is new."""
        now, last, penalty_s = self._now(), self._refusals.get(server), BEHIND_PENALTY_S
        if last is not None and now - last.at < BEHIND_HALF_LIFE_S:
            # Keeps the laxer bound, about which the refusal of a stricter one says nothing.
            if bound.is_within(last.bound):
                return False
            penalty_s = last.penalty_s
        elif last is not None and now - last.at < BEHIND_MEMORY_S and last.bound.is_within(bound):
            penalty_s = min(2 * last.penalty_s, MAX_BEHIND_PENALTY_S)
        self._refusals[server] = _Refusal(bound=bound, penalty_s=penalty_s, at=now)
        return True

    def penalty_s(self, server: str, bound: FreshnessBound) -> float:
        """Return the time to add to the cost of a read with this bound, 0 without a refusal."""
        last = self._refusals.get(server)
        if last is None or not bound.is_within(last.bound):
            return 0.0
        return float(last.penalty_s * 0.5 ** ((self._now() - last.at) / BEHIND_HALF_LIFE_S))


@dataclass(frozen=True, kw_only=True)
class _Report:
    bad_share: float
    at: float


class ServerJudgements:
    """Remember which servers their gateways judge bad, until nobody repeats it.

    Each gateway judges by the answers that it receives, so one that knows nothing of a server does
    not clear what another one reported.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._reports: dict[str, dict[str, _Report]] = {}

    def record(self, server: str, gateway: str, bad_share: float | None) -> bool:
        """Store what a gateway reports; tell whether this makes the server bad or good."""
        was_bad = self.find_share(server) is not None
        reports = self._reports.setdefault(server, {})
        # A share out of range, which only a faulty peer sends, could hide the worst server.
        if bad_share is None or not 0.0 <= bad_share <= 1.0:
            reports.pop(gateway, None)
        else:
            reports[gateway] = _Report(bad_share=bad_share, at=self._now())
        return was_bad != (self.find_share(server) is not None)

    def find_share(self, server: str) -> float | None:
        """Return the share of failed answers of a bad server, None for others."""
        reports = self._reports.get(server)
        if not reports:
            return None
        oldest = self._now() - JUDGEMENT_MEMORY_S
        for gateway in [gateway for gateway, report in reports.items() if report.at < oldest]:
            del reports[gateway]
        return max((report.bad_share for report in reports.values()), default=None)

    def find_bad(self, servers: Collection[str]) -> frozenset[str]:
        """Return the servers of a service that count as bad: the worst, at most half of all.

        If more fail at once, the cause is probably not in the servers, and reads that are kept away
        from all but one would overload it.
        """
        shares = {server: self.find_share(server) for server in servers}
        bad = [(share, server) for server, share in shares.items() if share is not None]
        return frozenset(server for _, server in sorted(bad, reverse=True)[: len(servers) // 2])


def choose_trial(
    ranked: list[ServerEntry], *, bad: Collection[str], random: Random
) -> ServerEntry | None:
    """Return the bad server that a single read tries first, usually none.

    A read that could not run elsewhere is not used as a trial.
    """
    candidates = [server for server in ranked if server.id in bad]
    if not candidates or len(candidates) == len(ranked) or random.random() >= TRIAL_SHARE:
        return None
    return random.choice(candidates)
