"""Which replicas count as receivers: those that a takeover hears from before it promotes.

A replica forgets that it is paused when it starts again. If that happens between the last check of
a takeover and its promotion, what the replica receives then is lost. A promotion is recorded before
that check. So a replica counts once the record, read after the replica started, names it and shows
no promotion that may still take effect: any later takeover checks the replica as it runs now.
"""

import asyncio
from dataclasses import dataclass

from ..catalog.model import ServerEntry
from ..clock import SuspensionClock
from ..gateways.lease import STATUS_TIMEOUT_S
from ..platform.store import StoreUnavailable
from ..telemetry.log import Log
from .authority import PromotionAuthority, PromotionIntent

# How often the record is read again for a replica that does not count; the supervisor records a
# replica that is new within this time.
RECORD_RETRY_S = 0.25
# A renewal of the lease asks the replicas no longer than this, and this comes in addition.
RECORD_TIMEOUT_S = STATUS_TIMEOUT_S

log = Log(source="takeover")


def is_counted(intent: PromotionIntent, replica: ServerEntry, *, primary: str) -> bool:
    """Tell whether every later takeover hears from a replica of a primary.

    The recorded leader may be silent in a takeover, so it does not count as another's replica. A
    record without copies is that of a new service or of an earlier version of this program.
    """
    if intent.is_open and intent.server != primary:
        return False
    copies = intent.copies
    if not copies.started_ms:
        return True
    is_recorded = copies.started_ms.get(replica.id) == replica.started_ms
    return is_recorded and replica.id != copies.leader


@dataclass(frozen=True, kw_only=True)
class _Reading:
    """Hold a reading of the record, which begins at `sent_at`."""

    sent_at: float
    task: "asyncio.Task[bool]"

    @property
    def has_answer(self) -> bool:
        """Tell whether the store has answered."""
        return self.task.done() and self.task.exception() is None and self.task.result()


class CountedCopies:
    """Tell which replicas count, by the record of promotions."""

    def __init__(self, *, authority: PromotionAuthority, clock: SuspensionClock) -> None:
        self._authority, self._clock = authority, clock
        self._readings: dict[str, _Reading] = {}

    async def check(self, replica: ServerEntry, primary: str, since: float) -> bool:
        """Tell whether a replica counts that has run at least since a time of the boot clock."""
        reading = self._readings.get(replica.service)
        if reading is not None and reading.sent_at >= since:
            if self._shows_counted(reading, replica, primary):
                return True
            if self._clock.boottime() - reading.sent_at < RECORD_RETRY_S:
                return await self._await_answer(reading, replica, primary)
        reading = self._start_reading(replica.service)
        counts = await self._await_answer(reading, replica, primary)
        if not counts:
            self._log_uncounted(replica, primary)
        return counts

    async def _await_answer(self, reading: _Reading, replica: ServerEntry, primary: str) -> bool:
        await asyncio.wait({reading.task}, timeout=RECORD_TIMEOUT_S)
        return self._shows_counted(reading, replica, primary)

    def _shows_counted(self, reading: _Reading, replica: ServerEntry, primary: str) -> bool:
        """Tell whether a replica counts by what is known since a reading was answered."""
        known = self._authority.find_known(replica.service)
        return (
            reading.has_answer and known is not None and is_counted(known, replica, primary=primary)
        )

    def _start_reading(self, service: str) -> _Reading:
        task = asyncio.ensure_future(self._read(service))
        task.add_done_callback(_log_error)
        reading = self._readings[service] = _Reading(sent_at=self._clock.boottime(), task=task)
        return reading

    async def _read(self, service: str) -> bool:
        try:
            await self._authority.read(service)
        except StoreUnavailable as error:
            log.info("record_not_read", service=service, detail=error.detail)
            return False
        return True

    def _log_uncounted(self, replica: ServerEntry, primary: str) -> None:
        known = self._authority.find_known(replica.service)
        log.info(
            "replica_not_counted",
            service=replica.service,
            server=replica.id,
            primary=primary,
            record="-" if known is None else known.version,
            promoting=known.server if known is not None and known.is_open else "-",
        )


def _log_error(task: "asyncio.Task[bool]") -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        log.error("record_not_read", error=repr(error))
