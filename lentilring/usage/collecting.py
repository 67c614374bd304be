"""Collecting of a window's counts from all proxies."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..catalog.fleet import FleetService
from ..catalog.source import ProxyEntry
from ..clock import Clock
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .counts import KEPT_WINDOWS, UsageCounts, unpack_counts
from .messages import AskUsage, UsageCounted

# Time after the end of a window in which its last requests are answered and counted.
COLLECT_DELAY_S = 0.5
ASK_INTERVAL_S = 1.0
# Ten times the network delay between regions is 0.5 s; a new connection needs two round trips.
ASK_TIMEOUT_S = 0.8
# Part of the time until a report is due in which proxies that did not answer are asked again.
ASKING_FRACTION = 0.5
MAX_LOGGED_NAMES = 20

log = Log(source="usage")


@dataclass(frozen=True, kw_only=True)
class CollectedUsage:
    """Hold the counts of a window, the proxies that gave none, and whether it has surely begun."""

    counts: Mapping[str, int]
    missing: tuple[str, ...] = ()
    has_begun: bool = True


@dataclass(kw_only=True)
class _Answers:
    counts: Counter[str] = field(default_factory=Counter)
    counted: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)


class UsageCollector:
    """Collect the counts of windows, each one once."""

    def __init__(
        self,
        *,
        counts: UsageCounts,
        late_s: float,
        fleet: FleetService,
        transport: PeerTransport,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._counts, self._windows, self._late_s = counts, counts.windows, late_s
        self._fleet, self._transport = fleet, transport
        self._clock, self._telemetry = clock, telemetry
        self._tasks: dict[int, asyncio.Task[CollectedUsage]] = {}
        self.reported = -1

    def find_newest_due(self) -> int:
        """Return the newest window that has ended long enough ago to be collected."""
        return self._windows.find(self._windows.now() - COLLECT_DELAY_S) - 1

    def begin(self, window: int) -> asyncio.Task[CollectedUsage]:
        """Begin to collect a window unless that has been done already."""
        task = self._tasks.get(window)
        has_failed = task is not None and task.done() and _has_failed(task)
        if task is None or has_failed:
            task = self._tasks[window] = asyncio.ensure_future(self._collect(window))
            while len(self._tasks) > KEPT_WINDOWS:
                self._tasks.pop(min(self._tasks)).cancel()
        return task

    def forget(self) -> None:
        """End collecting and drop what was collected."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    async def collect(self, window: int) -> CollectedUsage | None:
        """Return the counts of a window; None if collecting was ended meanwhile."""
        task = self.begin(window)
        await asyncio.wait({task})
        return None if task.cancelled() else task.result()

    async def _collect(self, window: int) -> CollectedUsage:
        last_asked_until = self._windows.find_end(window) + self._late_s * ASKING_FRACTION
        own = self._counts.give(window)
        answers = _Answers(counts=Counter(own))
        if own is not None:
            answers.counted.add(self._fleet.local.vm)
        while True:
            asked_at = self._clock.monotonic()
            asked = [entry for entry in self._fleet.others() if entry.vm not in answers.counted]
            await asyncio.gather(*(self._ask(entry, window, answers) for entry in asked))
            missing = [e.vm for e in self._fleet.others() if e.vm not in answers.counted]
            pause_s = ASK_INTERVAL_S - (self._clock.monotonic() - asked_at)
            if not missing or self._windows.now() + pause_s > last_asked_until:
                break
            await self._clock.sleep(max(0.0, pause_s))
        if missing:
            self._telemetry.count("usage_counts_missing", len(missing))
            log.warning(
                "usage_counts_missing",
                window=window,
                proxies=len(missing),
                names=",".join(sorted(missing)[:MAX_LOGGED_NAMES]),
            )
        return CollectedUsage(
            counts=answers.counts,
            missing=tuple(missing),
            has_begun=len(answers.denied) <= len(answers.counted),
        )

    async def _ask(self, entry: ProxyEntry, window: int, answers: _Answers) -> None:
        request = AskUsage(window=window, reported=self.reported)
        try:
            answer = await self._transport.call(entry.address, request, timeout_s=ASK_TIMEOUT_S)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected):
            return
        if not isinstance(answer, UsageCounted) or entry.vm in answers.counted:
            return
        if not answer.has_begun:
            answers.denied.add(entry.vm)
            return
        answers.denied.discard(entry.vm)
        answers.counted.add(entry.vm)
        answers.counts.update(unpack_counts(answer.accounts))


def _has_failed(task: asyncio.Task[CollectedUsage]) -> bool:
    return task.cancelled() or task.exception() is not None
