"""The record of usage reports in the store; its version is the fencing token of the reports."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from ..clock import SuspensionClock
from ..outcomes import JsonValue
from ..platform.store import Kind, Store, VersionConflict
from ..telemetry.log import Log
from .reports import UsageReport

RECORD_NAME = "reports"
KEPT_REPORTS = 3

log = Log(source="usage")


@dataclass(frozen=True, kw_only=True)
class UsageRecord:
    """Hold the newest reports and the VM that recorded them.

    The platform has accepted the reports up to window `accepted`; later ones may be unsent. `era`
    and `serial` order the writes as in PromotionIntent. `checked_at` is the boot time before the
    read or write that showed this version.
    """

    version: int = 0
    vm: str = ""
    reports: tuple[UsageReport, ...] = ()
    accepted: int = -1
    era: int = 0
    serial: int = 0
    checked_at: float = 0.0

    @property
    def newest_window(self) -> int:
        """Return the newest window that needs no further record; -1 if none is known."""
        return self.reports[-1].window if self.reports else self.accepted

    def find_unsent(self, *, reported: int) -> UsageReport | None:
        """Return the oldest report after window `reported` that the platform may not have."""
        accepted = max(self.accepted, reported)
        return next((report for report in self.reports if report.window > accepted), None)


class _StoredReport(msgspec.Struct):
    window: int
    counts: dict[str, int]


class _StoredRecord(msgspec.Struct):
    vm: str = ""
    reports: list[_StoredReport] = []
    accepted: int = -1
    era: int = 0
    serial: int = 0


class UsageRecords:
    """Read and change the record; every method may raise StoreUnavailable."""

    def __init__(
        self, *, store: Store, vm: str, find_era: Callable[[], int], clock: SuspensionClock
    ) -> None:
        self._store, self._vm, self._find_era, self._clock = store, vm, find_era, clock
        self._known: UsageRecord | None = None

    async def read(self) -> UsageRecord:
        """Return the newest record, also if the store has lost it."""
        checked_at = self._clock.boottime()
        current = await self._store.get(Kind.USAGE, RECORD_NAME)
        stored = UsageRecord(checked_at=checked_at)
        if current is not None:
            stored = _decode(current.value, version=current.version, checked_at=checked_at)
        known = self._known
        if known is not None and (known.era, known.serial) > (stored.era, stored.serial):
            return replace(known, version=stored.version, checked_at=checked_at)
        self._known = stored
        return stored

    async def claim(self, previous: UsageRecord) -> UsageRecord | None:
        """Become the holder of the record; None if another proxy wrote meanwhile."""
        return await self._write(previous, previous.reports)

    async def append(
        self, previous: UsageRecord, report: UsageReport, *, accepted: int
    ) -> UsageRecord | None:
        """Record a report before it is sent; None if another proxy wrote meanwhile."""
        reports = (*previous.reports, report)[-KEPT_REPORTS:]
        return await self._write(replace(previous, accepted=accepted), reports)

    async def _write(
        self, previous: UsageRecord, reports: tuple[UsageReport, ...]
    ) -> UsageRecord | None:
        checked_at = self._clock.boottime()
        record = replace(
            previous,
            vm=self._vm,
            reports=reports,
            era=self._find_era(),
            serial=previous.serial + 1,
            checked_at=checked_at,
        )
        try:
            stored = await self._store.put(
                Kind.USAGE, RECORD_NAME, _encode(record), expected_version=previous.version
            )
        except VersionConflict:
            return None
        self._known = replace(record, version=stored.version)
        return self._known


def _encode(record: UsageRecord) -> dict[str, JsonValue]:
    return {
        "vm": record.vm,
        "reports": [
            {"window": report.window, "counts": dict(report.counts)} for report in record.reports
        ],
        "accepted": record.accepted,
        "era": record.era,
        # Makes each value differ from the last, so that its version increases.
        "serial": record.serial,
    }


def _decode(value: dict[str, JsonValue] | None, *, version: int, checked_at: float) -> UsageRecord:
    try:
        stored = msgspec.convert(value or {}, _StoredRecord)
    except msgspec.ValidationError as error:
        log.warning("usage_record_unreadable", detail=error)
        stored = _StoredRecord()
    return UsageRecord(
        version=version,
        vm=stored.vm,
        reports=tuple(
            UsageReport(window=report.window, counts=report.counts) for report in stored.reports
        ),
        accepted=stored.accepted,
        era=stored.era,
        serial=stored.serial,
        checked_at=checked_at,
    )
