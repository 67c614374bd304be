"""The service `usage`: one proxy collects the counts of all and reports them to the platform."""

import asyncio
from dataclasses import replace

from ..catalog.fleet import FleetService
from ..clock import SuspensionClock
from ..kernel import Service
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..platform.store import StoreUnavailable
from ..tasks import start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .collecting import UsageCollector
from .counts import KEPT_WINDOWS, UsageCounts, pack_counts, unpack_counts
from .duty import RANK_KEY, ReporterDuty
from .messages import (
    AskReporter,
    AskUsage,
    HandOverUsage,
    ReporterState,
    UsageCounted,
    UsageTaken,
)
from .record import UsageRecord, UsageRecords
from .reports import ReportResult, UsageReport, UsageService

CHECK_INTERVAL_S = 0.25
# An older record is read again before a call.
MAX_RECORD_AGE_S = 0.5
# A call leaves at most MAX_RECORD_AGE_S and the time to connect (0.5 s) after its record was read.
# A new holder waits for this time after its first write, so that no such call follows its own.
LAST_CALL_S = 1.0
RETRY_S = 0.5
STORE_RETRY_S = 1.0
# After failed store calls for this long, another proxy may be able to reach the store.
STEP_BACK_S = 3.0
# A report that the platform rejects this often is given up, so that later ones are sent.
MAX_REJECTIONS = 3
# After an outage, this many later windows are collected together with the one to report next.
WINDOWS_AHEAD = 3
HAND_OVER_TIMEOUT_S = 0.3

log = Log(source="usage")


class UsageReporter(Service):
    """Answer with this proxy's counts and, while this proxy is the reporter, report all counts."""

    def __init__(
        self,
        *,
        counts: UsageCounts,
        late_s: float,
        lease_s: float,
        records: UsageRecords,
        platform: UsageService,
        fleet: FleetService,
        transport: PeerTransport,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self.counts, self._windows, self._lease_s = counts, counts.windows, lease_s
        self._records, self._platform = records, platform
        self._fleet, self._transport = fleet, transport
        self._clock, self._telemetry = clock, telemetry
        self._duty = ReporterDuty(fleet=fleet, transport=transport, clock=clock)
        self._collector = UsageCollector(
            counts=counts,
            late_s=late_s,
            fleet=fleet,
            transport=transport,
            clock=clock,
            telemetry=telemetry,
        )
        self._first_window = self._windows.find_current()
        self._reported = -1
        self._held: UsageRecord | None = None
        self._rejections = 0
        self._failing_since: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        telemetry.observe("usage_report_age", "s", self.report_age_s)

    def report_age_s(self) -> float:
        """Return the time since the end of the newest reported window, or since the start."""
        newest = max(self._reported, self._first_window - 1)
        return max(0.0, self._windows.now() - self._windows.find_end(newest))

    async def start(self) -> None:
        """Answer reporters and begin to watch for the duty."""
        self._transport.handle(AskUsage, self._handle_ask)
        self._transport.handle(AskReporter, self._handle_ask_reporter)
        self._transport.handle(HandOverUsage, self._handle_hand_over)
        self._transport.handle_datagram(ReporterState, self._handle_state)
        self._tasks = [
            start_task("collect_usage", self._run_collecting, telemetry=self._telemetry),
            start_task("report_usage", self._run_reporting, telemetry=self._telemetry),
        ]

    async def stop(self) -> None:
        """End reporting and hand over the counts that no reporter has asked for yet."""
        for task in self._tasks:
            task.cancel()
        self._collector.forget()
        await self._hand_over()

    async def _hand_over(self) -> None:
        windows = self.counts.give_remaining()
        local = self._fleet.local
        others = [
            entry
            for entry in self._fleet.rank(RANK_KEY)
            if entry.vm != local.vm and not self._fleet.is_suspect(entry.vm)
        ]
        if not windows or not others:
            return
        request = HandOverUsage(windows=windows)
        try:
            await self._transport.call(others[0].address, request, timeout_s=HAND_OVER_TIMEOUT_S)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            # Counts that may have arrived are not sent again, as they would count twice.
            log.warning("usage_not_handed_over", peer=others[0].vm, detail=error)

    async def _handle_ask(self, sender: Sender, request: AskUsage) -> UsageCounted:
        counts = self.counts.give(request.window)
        if counts is None:
            return UsageCounted(has_begun=False)
        self._reported = max(self._reported, min(request.reported, request.window))
        self._duty.restore(sender.vm)
        return UsageCounted(has_begun=True, accounts=pack_counts(counts))

    async def _handle_ask_reporter(self, sender: Sender, request: AskReporter) -> ReporterState:
        return ReporterState(is_reporter=self._duty.is_local())

    def _handle_state(self, sender: Sender, state: ReporterState) -> None:
        if not state.is_reporter:
            self._duty.pass_over(sender.vm)

    async def _handle_hand_over(self, sender: Sender, request: HandOverUsage) -> UsageTaken:
        for entry in request.windows:
            self.counts.add(entry.window, unpack_counts(entry.accounts))
        return UsageTaken()

    async def _run_collecting(self) -> None:
        """Collect each window as it ends; check on the reporter if another proxy is it."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if self._duty.is_local():
                self._collector.begin(self._collector.find_newest_due())
            else:
                self._collector.forget()
                await self._duty.check_reporter()

    async def _run_reporting(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if not self._duty.is_local():
                self._held = None
                continue
            try:
                await self._report_next()
            except StoreUnavailable as error:
                self._note_failure(error)
                await self._clock.sleep(STORE_RETRY_S)

    def _note_failure(self, error: StoreUnavailable) -> None:
        """Forget the record, which a lost answer may have changed; step back if this lasts."""
        now = self._clock.monotonic()
        if self._failing_since is None:
            self._failing_since = now
            log.warning("usage_store_unavailable", detail=error.detail)
        elif now - self._failing_since >= STEP_BACK_S:
            self._step_back()
        self._held = None

    def _step_back(self) -> None:
        """Leave the duty to other proxies for a while."""
        log.warning("usage_reporter_stepped_back")
        self._duty.pass_over(self._fleet.local.vm)
        for entry in self._fleet.others():
            self._transport.send_datagram(entry.address, ReporterState(is_reporter=False))

    def _note_success(self) -> None:
        self._failing_since = None
        self._duty.restore(self._fleet.local.vm)

    async def _report_next(self) -> None:
        """Send the oldest recorded report that may be unsent, or record the next one."""
        held = self._held or await self._take_over()
        if held is None:
            return
        unsent = held.find_unsent(reported=self._reported)
        if unsent is not None:
            await self._send(unsent, held)
            return
        window = self._find_next_window(held)
        if window is not None:
            await self._record(window, held)

    async def _take_over(self) -> UsageRecord | None:
        """Return the record as held by this proxy; None if another proxy holds it.

        Another holder's reports are not repeated before its lease has ended.
        """
        previous = await self._records.read()
        self._note_success()
        local_vm = self._fleet.local.vm
        is_others = previous.vm not in ("", local_vm)
        if is_others:
            log.info("usage_takeover_begun", holder=previous.vm, version=previous.version)
            await self._clock.sleep(max(self._lease_s - LAST_CALL_S, self._lease_s / 2))
            current = await self._records.read()
            if not self._duty.is_local() or current.version != previous.version:
                log.info("usage_takeover_ended", holder=current.vm, version=current.version)
                return None
        if previous.newest_window < 0:
            # Reports begin with the window in which the first reporter started.
            previous = replace(previous, accepted=self._first_window - 1)
        claimed = await self._records.claim(previous)
        if claimed is None:
            return None
        log.info("usage_taken_over", holder=previous.vm or "-", token=claimed.version)
        if is_others:
            await self._clock.sleep(LAST_CALL_S)
        self._held = claimed
        return claimed

    async def _send(self, report: UsageReport, held: UsageRecord) -> None:
        if self._clock.boottime() - held.checked_at >= MAX_RECORD_AGE_S:
            current = await self._records.read()
            if current.version != held.version:
                log.warning("usage_record_lost", holder=current.vm, token=held.version)
                self._held = None
                return
            self._held = held = current
        result = await self._platform.send(report, holder=self._fleet.local.vm, token=held.version)
        self._telemetry.count("usage_reports", result=result)
        if result is ReportResult.ACCEPTED:
            log.info(
                "usage_reported",
                window=report.window,
                token=held.version,
                accounts=len(report.counts),
                requests=sum(report.counts.values()),
                age_s=round(self._windows.now() - self._windows.find_end(report.window), 2),
            )
            self._finish(report)
            return
        self._rejections += result is ReportResult.REJECTED
        if self._rejections >= MAX_REJECTIONS:
            log.error("usage_report_given_up", window=report.window, token=held.version)
            self._finish(report)
            return
        if result is ReportResult.FENCED:
            # The token must not be used again; the next one comes from another write.
            log.warning("usage_report_fenced", window=report.window, token=held.version)
            self._held = None
        await self._clock.sleep(RETRY_S)

    def _finish(self, report: UsageReport) -> None:
        self._rejections = 0
        self._reported = max(self._reported, report.window)
        self._collector.reported = self._reported

    def _find_next_window(self, held: UsageRecord) -> int | None:
        """Return the oldest window without a record that can be collected now."""
        due = self._collector.find_newest_due()
        # The store may have returned from a copy without reports that were sent.
        following = max(held.newest_window, self._reported) + 1
        oldest_kept = due - KEPT_WINDOWS + 1
        if following < oldest_kept:
            log.warning("usage_windows_skipped", first=following, last=oldest_kept - 1)
            following = oldest_kept
        return following if following <= due else None

    async def _record(self, window: int, held: UsageRecord) -> None:
        due = self._collector.find_newest_due()
        for later in range(window + 1, min(due, window + WINDOWS_AHEAD) + 1):
            self._collector.begin(later)
        collected = await self._collector.collect(window)
        if collected is None:
            return
        if not collected.has_begun:
            log.error("usage_clock_differs", window=window)
            self._collector.forget()
            self._step_back()
            return
        report = UsageReport(window=window, counts=collected.counts)
        accepted = max(held.accepted, self._reported)
        self._held = await self._records.append(held, report, accepted=accepted)
        log.info(
            "usage_recorded",
            window=window,
            missing=len(collected.missing),
            written=self._held is not None,
        )
