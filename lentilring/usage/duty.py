"""Which proxy reports usage, and how the others notice that it does not."""

from ..catalog.fleet import FleetService
from ..catalog.source import ProxyEntry
from ..clock import Clock
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..telemetry.log import Log
from .messages import AskReporter, ReporterState

RANK_KEY = "usage"
# Proxies that check on the reporter, and may step in for it.
CANDIDATES = 3
# A proxy that does not report, for example because it cannot reach the store, is passed over for
# this long unless it asks for counts.
PASS_OVER_S = 10.0
# Ten times the network delay between regions is 0.5 s; a new connection needs two round trips.
ASK_TIMEOUT_S = 0.8

log = Log(source="usage")


class ReporterDuty:
    """Choose the reporter by rank among the proxies that answer and can report."""

    def __init__(self, *, fleet: FleetService, transport: PeerTransport, clock: Clock) -> None:
        self._fleet, self._transport, self._clock = fleet, transport, clock
        self._passed_over_until: dict[str, float] = {}

    def is_local(self) -> bool:
        """Tell whether this proxy reports."""
        reporter = self.find_reporter()
        return (
            self._fleet.is_synchronized
            and reporter is not None
            and reporter.vm == self._fleet.local.vm
        )

    def find_reporter(self) -> ProxyEntry | None:
        """Return the first candidate that is not passed over, or the first one if all are."""
        candidates = self._list_candidates()
        able = [entry for entry in candidates if not self._is_passed_over(entry.vm)]
        return next(iter(able or candidates), None)

    def pass_over(self, vm: str) -> None:
        """Prefer other candidates to a proxy for a while."""
        self._passed_over_until[vm] = self._clock.monotonic() + PASS_OVER_S

    def restore(self, vm: str) -> None:
        """Stop passing a proxy over, because it can report."""
        self._passed_over_until.pop(vm, None)

    async def check_reporter(self) -> None:
        """Ask a reporter that has not asked for counts in time whether it reports."""
        reporter, local = self.find_reporter(), self._fleet.local
        if reporter is None or all(entry.vm != local.vm for entry in self._list_candidates()):
            return
        try:
            answer = await self._transport.call(
                reporter.address, AskReporter(), timeout_s=ASK_TIMEOUT_S
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._fleet.mark_suspect(reporter.vm, f"does not report usage: {error}")
            return
        if isinstance(answer, ReporterState) and not answer.is_reporter:
            log.warning("usage_reporter_passed_over", peer=reporter.vm)
            self.pass_over(reporter.vm)

    def _list_candidates(self) -> list[ProxyEntry]:
        ranked = self._fleet.rank(RANK_KEY)
        return [entry for entry in ranked if not self._fleet.is_suspect(entry.vm)][:CANDIDATES]

    def _is_passed_over(self, vm: str) -> bool:
        return self._clock.monotonic() < self._passed_over_until.get(vm, 0.0)
