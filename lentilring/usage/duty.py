"""Which proxy reports usage, and how the others notice that it does not."""

from ..catalog.fleet import FleetService
from ..catalog.source import ProxyEntry
from ..clock import Clock
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..telemetry.log import Log
from .collecting import ASK_TIMEOUT_S
from .messages import AskReporter, ReporterState

RANK_KEY = "usage"
# The first proxy after the reporter checks it this often, each later one less often by a step. A
# report is due 10 s after its window: the loss of the reporter just after it has recorded one
# leaves 9 s, of which a takeover needs 3. With 70 proxies, the reporter answers 7 checks a second.
CHECK_INTERVAL_S = 1.5
CHECK_STEP_S = 0.5
# A proxy that does not report, for example because it cannot reach the store, is passed over for
# this long unless it asks for counts.
PASS_OVER_S = 10.0

log = Log(source="usage")


class ReporterDuty:
    """Choose the reporter by rank among the proxies that answer and can report."""

    def __init__(self, *, fleet: FleetService, transport: PeerTransport, clock: Clock) -> None:
        self._fleet, self._transport, self._clock = fleet, transport, clock
        self._passed_over_until: dict[str, float] = {}
        self._checked_at = clock.monotonic()

    def is_local(self) -> bool:
        """Tell whether this proxy reports."""
        reporter = self.find_reporter()
        return (
            self._fleet.is_synchronized
            and reporter is not None
            and reporter.vm == self._fleet.local.vm
        )

    def find_reporter(self) -> ProxyEntry | None:
        """Return the first proxy that is not passed over, or the first one if all are."""
        ranked = self._rank()
        able = (entry for entry in ranked if not self._is_passed_over(entry.vm))
        return next(able, ranked[0] if ranked else None)

    def pass_over(self, vm: str) -> None:
        """Prefer other proxies to this one for a while."""
        self._passed_over_until[vm] = self._clock.monotonic() + PASS_OVER_S

    def restore(self, vm: str) -> None:
        """Stop passing a proxy over, because it can report."""
        self._passed_over_until.pop(vm, None)

    async def check_reporter(self) -> None:
        """Ask the reporter from time to time whether it reports; if it does not, ask the next."""
        while self._fleet.is_synchronized and self._is_check_due():
            reporter = self.find_reporter()
            if reporter is None or reporter.vm == self._fleet.local.vm:
                return
            if await self._does_report(reporter):
                self._checked_at = self._clock.monotonic()
                return
            log.warning("usage_reporter_passed_over", peer=reporter.vm)
            self.pass_over(reporter.vm)

    def _is_check_due(self) -> bool:
        places = [entry.vm for entry in self._rank()]
        local_vm = self._fleet.local.vm
        if local_vm not in places:
            return False
        interval_s = CHECK_INTERVAL_S + CHECK_STEP_S * max(0, places.index(local_vm) - 1)
        return self._clock.monotonic() - self._checked_at >= interval_s

    async def _does_report(self, peer: ProxyEntry) -> bool:
        try:
            answer = await self._transport.call(
                peer.address, AskReporter(), timeout_s=ASK_TIMEOUT_S
            )
        except (PeerUnreachable, PeerAnswerLost) as error:
            self._fleet.mark_suspect(peer.vm, f"does not report usage: {error}")
            return False
        except PeerRejected:
            # A process of a version that reports no usage.
            return False
        return isinstance(answer, ReporterState) and answer.is_reporter

    def _rank(self) -> list[ProxyEntry]:
        ranked = self._fleet.rank(RANK_KEY)
        return [entry for entry in ranked if not self._fleet.is_suspect(entry.vm)]

    def _is_passed_over(self, vm: str) -> bool:
        return self._clock.monotonic() < self._passed_over_until.get(vm, 0.0)
