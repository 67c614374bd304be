"""Which replicas count as receivers: those that a takeover hears from before it promotes.

A replica forgets that it is paused when it starts again. If that happens between the last check of
a takeover and its promotion, what the replica receives then is lost. A promotion is recorded before
that check. So a replica counts once the record, read after the replica started, names it and shows
no promotion that may still take effect: any later takeover checks the replica as it runs now.
"""

import asyncio

from ..catalog.model import ServerEntry
from ..clock import SuspensionClock
from ..gateways.lease import ANY_TIME, STATUS_TIMEOUT_S
from ..platform.store import StoreUnavailable
from ..telemetry.log import Log
from .authority import PromotionAuthority, PromotionIntent

# How often the record is read again for a replica that does not count; the supervisor records a
# replica that is new within this time.
RECORD_RETRY_S = 0.25
# If the store is slower, the lease rests on another replica, or on a later renewal.
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


class CountedCopies:
    """Tell which replicas count, by the record of promotions."""

    def __init__(self, *, authority: PromotionAuthority, clock: SuspensionClock) -> None:
        self._authority, self._clock = authority, clock
        # By service, on the boot clock: when the newest reading of the record was sent, and the
        # newest that was answered. Readings overlap while the store is slow.
        self._asked_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}
        self._readings: dict[str, set[asyncio.Task[None]]] = {}

    async def check(self, replica: ServerEntry, primary: str, since: float) -> bool:
        """Tell whether a replica counts that has run at least since a time of the boot clock."""
        if self._is_known_counted(replica, primary, since):
            return True
        service = replica.service
        asked_at = self._asked_at.get(service, ANY_TIME)
        is_due = asked_at < since or self._clock.boottime() - asked_at >= RECORD_RETRY_S
        if is_due:
            self._start_reading(service)
        if running := self._readings.get(service):
            await asyncio.wait(
                running, timeout=RECORD_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
            )
        counts = self._is_known_counted(replica, primary, since)
        if is_due and not counts:
            self._log_uncounted(replica, primary)
        return counts

    def _is_known_counted(self, replica: ServerEntry, primary: str, since: float) -> bool:
        if self._confirmed_at.get(replica.service, ANY_TIME) < since:
            return False
        known = self._authority.find_known(replica.service)
        return known is not None and is_counted(known, replica, primary=primary)

    def _start_reading(self, service: str) -> None:
        sent_at = self._asked_at[service] = self._clock.boottime()
        running = self._readings.setdefault(service, set())
        reading = asyncio.ensure_future(self._read(service, sent_at=sent_at))
        running.add(reading)
        reading.add_done_callback(running.discard)

    async def _read(self, service: str, *, sent_at: float) -> None:
        try:
            await self._authority.read(service)
        except StoreUnavailable as error:
            log.info("record_not_read", service=service, detail=error.detail)
            return
        confirmed_at = self._confirmed_at.get(service, ANY_TIME)
        self._confirmed_at[service] = max(confirmed_at, sent_at)

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
