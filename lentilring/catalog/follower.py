"""Follows the records of one kind: lists them once, then watches for changes."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..clock import SuspensionClock
from ..platform.store import StoreUnavailable
from ..revisions import find_era, format_revision
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .source import HistoryExpired, RecordKind, Records, RecordSource

# Without changes, the records are confirmed once in this time; calls are billed and rate-limited.
WATCH_WAIT_S = 8.0
RETRY_S = 0.3
MAX_RETRY_S = 1.2
RETRY_JITTER = 0.3

log = Log(source="catalog")


class Follower:
    """Pass all records, then changed ones, to callbacks; track when they were last confirmed."""

    def __init__(
        self,
        *,
        kind: RecordKind,
        source: RecordSource,
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
        replace_all: Callable[[Records], None],
        apply_changes: Callable[[Records], None],
        wait_s: float = WATCH_WAIT_S,
        batch_delay_s: float = 0.0,
        may_begin_old: bool = False,
    ) -> None:
        self.kind = kind
        self.confirmed_at = float("-inf")
        self.failed_at = float("-inf")
        self.synchronized_at = float("inf")
        self.restored_at = float("-inf")
        self._source, self._clock, self._random = source, clock, random
        self._telemetry = telemetry
        self._replace_all, self._apply_changes = replace_all, apply_changes
        self._wait_s, self._batch_delay_s = wait_s, batch_delay_s
        self._may_begin_old = may_begin_old
        self._revision: int | None = None
        # Of all records, at the last refresh.
        self._refreshed_revisions: dict[str, int] = {}
        self._era: int | None = None
        self._retry_s = RETRY_S

    @property
    def is_synchronized(self) -> bool:
        """Tell whether all records were read at least once."""
        return self.synchronized_at < float("inf")

    def confirmation_age_s(self) -> float:
        """Return how long ago the records were certainly up to date; suspensions count."""
        return self._clock.boottime() - self.confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
                self._retry_s = RETRY_S
            except HistoryExpired:
                log.info(
                    "watch_history_expired",
                    kind=self.kind,
                    revision=format_revision(self._revision or 0),
                )
                self._revision = None
            except StoreUnavailable as error:
                self.failed_at = self._clock.boottime()
                self._telemetry.count("catalog_store_failures", kind=self.kind)
                log.info("watch_failed", kind=self.kind, detail=error.detail)
                factor = self._random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
                await asyncio.sleep(self._retry_s * factor)
                self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    async def refresh(self) -> None:
        """Read all records from the store now, as watches may be silent; raise StoreUnavailable."""
        batch = await self._source.list(self.kind)
        if batch.revision > (self._revision or 0):
            self._refreshed_revisions = {record.name: record.revision for record in batch.records}
            self._apply(batch, self._replace_all)

    async def _step(self) -> None:
        known_revision = self._revision
        if known_revision is None:
            # A later list must not be older than the history that the store keeps, which has just
            # become shorter.
            may_be_old = self._may_begin_old and self.synchronized_at == float("inf")
            batch = await self._source.list(self.kind, may_be_old=may_be_old)
            if self.synchronized_at < float("inf"):
                log.info(
                    "records_listed_again", kind=self.kind, revision=format_revision(batch.revision)
                )
            self.synchronized_at = min(self.synchronized_at, self._clock.boottime())
        else:
            batch = await self._source.watch(
                self.kind, after_revision=known_revision, wait_s=self._wait_s
            )
        is_complete = known_revision is None or batch.is_complete
        refreshed_to = self._revision if self._revision != known_revision else None
        if refreshed_to is not None and batch.revision <= refreshed_to:
            return
        if refreshed_to is not None and not is_complete:
            batch = self._leave_out_refreshed(batch, refreshed_to)
        self._apply(batch, self._replace_all if is_complete else self._apply_changes)
        if batch.records and self._batch_delay_s:
            # Registrations come in groups. Waiting for the rest of a group saves watch calls.
            await asyncio.sleep(self._batch_delay_s)

    def _leave_out_refreshed(self, batch: Records, refreshed_to: int) -> Records:
        """Return a batch without the changes from before a refresh, which would set records back.

        A deletion may name the revision of the last change before it.
        """
        records = [
            record
            for record in batch.records
            if record.revision > refreshed_to
            or (record.is_deleted and self._refreshed_revisions.get(record.name) == record.revision)
        ]
        return replace(batch, records=tuple(records))

    def _apply(self, batch: Records, apply: Callable[[Records], None]) -> None:
        apply(self._note_era(batch))
        self._revision = max(batch.revision, self._revision or 0)
        self.confirmed_at = max(self.confirmed_at, batch.confirmed_at)

    def _note_era(self, batch: Records) -> Records:
        """Mark the first batch after the store returned from an older copy."""
        era, known_era = find_era(batch.revision), self._era
        self._era = era if known_era is None else max(era, known_era)
        if known_era is None or era <= known_era:
            return batch
        self.restored_at = self._clock.boottime()
        return replace(batch, follows_restoration=True)
