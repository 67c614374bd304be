"""Keeps the recorded copies of a service in step with its registered servers."""

import asyncio

from ..catalog.model import ServerEntry, ServerRole
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..gateways.server import ServerConnector
from ..gateways.service import GatewayService
from ..platform.store import StoreUnavailable
from ..statements.model import Position
from ..telemetry.log import Log
from .authority import PromotionAuthority, PromotionIntent, names_leader
from .copies import (
    RecordedCopies,
    describe_copies,
    find_departed,
    has_received,
    merge_copies,
)
from .replicas import ReplicaControl

# A departed copy is kept while no replica has caught up, which is asked this often.
RETRY_S = 0.5

log = Log(source="takeover")


class CopyUpkeep:
    """Record copies as they register, and drop those that left once others have their commits."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        gateways: GatewayService,
        connector: ServerConnector,
        authority: PromotionAuthority,
        clock: SuspensionClock,
    ) -> None:
        self._catalog, self._gateways, self._connector = catalog, gateways, connector
        self._authority, self._clock = authority, clock
        self._due_since: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._updates: dict[str, asyncio.Task[None]] = {}
        # A write without an answer may still take effect later, unless another one comes before it.
        self._unanswered: set[str] = set()

    def check(self, primary: ServerEntry, *, delay_s: float) -> None:
        """Start an update if the known record has been outdated for `delay_s`."""
        service, now = primary.service, self._clock.monotonic()
        known = self._authority.find_known(service)
        is_recorded = known is not None and not self._is_outdated(known, primary)
        if is_recorded and service not in self._unanswered:
            self._due_since.pop(service, None)
            return
        since = self._due_since.setdefault(service, now)
        if (
            now - since < delay_s
            or service in self._updates
            or now < self._retry_at.get(service, 0.0)
            or not self._catalog.knows_all_servers()
        ):
            return
        task = asyncio.ensure_future(self._update(primary))
        self._updates[service] = task
        task.add_done_callback(lambda done: self._finish(service, done))

    def is_updating(self, service: str) -> bool:
        """Tell whether an update of a service's record is under way."""
        return service in self._updates

    def stop(self) -> None:
        """Cancel all updates."""
        for task in self._updates.values():
            task.cancel()

    def _finish(self, service: str, task: asyncio.Task[None]) -> None:
        self._updates.pop(service, None)
        self._retry_at[service] = self._clock.monotonic() + RETRY_S
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("copies_failed", service=service, error=repr(error))

    async def _update(self, primary: ServerEntry) -> None:
        try:
            await self.update(primary)
        except StoreUnavailable as error:
            log.info("copies_not_recorded", service=primary.service, detail=error.detail)

    async def update(self, primary: ServerEntry) -> None:
        """Bring the record up to date as far as that is safe; raise StoreUnavailable."""
        service = primary.service
        intent = await self._authority.read(service)
        accounts = self._catalog.list_accounts()
        is_recorded = not self._is_outdated(intent, primary) and service not in self._unanswered
        if not accounts or is_recorded:
            return
        # A list from before the last change of the record would take copies for departed.
        await self._catalog.refresh_servers()
        if not self._catalog.knows_all_servers():
            return
        if intent.is_open and intent.server != primary.id:
            # The promotion may still take effect.
            return
        registered = self._describe_registered(primary)
        departed = find_departed(intent.copies, registered)
        control = ReplicaControl(
            connector=self._connector, account=accounts[0].name, clock=self._clock
        )
        try:
            kept = await self._find_needed(primary, intent, departed, control)
        finally:
            control.close()
        if kept is None:
            return
        copies = merge_copies(intent.copies, registered, kept=kept)
        if copies == intent.copies and not intent.is_open and service not in self._unanswered:
            return
        self._unanswered.add(service)
        written = await self._authority.record_copies(service, copies, previous=intent)
        self._unanswered.discard(service)
        log.info(
            "copies_recorded" if written else "copies_superseded",
            service=service,
            primary=primary.id,
            copies=",".join(sorted(copies.started_ms)),
            dropped=",".join(sorted(departed - kept)),
            kept=",".join(sorted(kept)),
        )

    def _is_outdated(self, intent: PromotionIntent, primary: ServerEntry) -> bool:
        return intent.is_open or intent.copies != self._describe_registered(primary)

    def _describe_registered(self, primary: ServerEntry) -> RecordedCopies:
        entries = self._catalog.servers.by_service.get(primary.service, ())
        return describe_copies(entries, leader=primary.id)

    async def _find_needed(
        self,
        primary: ServerEntry,
        intent: PromotionIntent,
        departed: frozenset[str],
        control: ReplicaControl,
    ) -> frozenset[str] | None:
        """Return the departed copies to keep, None if the primary does not prove its leadership.

        A copy that still answers may acknowledge commits. The others count as gone: what they
        acknowledged is before the position that the primary proves now, so they are not needed once
        another replica has received that.
        """
        known = [self._catalog.find_departed_server(server) for server in departed]
        answering = await control.read_all([entry for entry in known if entry is not None])
        position = await self._prove(primary)
        if position is None and names_leader(intent, primary.id):
            position = await _read_position(primary, control)
        if position is None:
            return None
        if not departed:
            return departed
        registered = self._catalog.servers.by_service.get(primary.service, ())
        statuses = await control.read_all([entry for entry in registered if entry.id != primary.id])
        if has_received(statuses, leader=primary.id, position=position):
            return departed & answering.keys()
        return departed

    async def _prove(self, primary: ServerEntry) -> Position | None:
        """Return a position of the primary that holds all commits acknowledged until now."""
        asked_at = self._clock.boottime()
        if not await self._gateways.prove_leadership(primary):
            return None
        newest = self._gateways.get_history(primary.service).find_newest()
        if newest is None or newest.taken_at < asked_at:
            return None
        return newest.position


async def _read_position(primary: ServerEntry, control: ReplicaControl) -> Position | None:
    """Return the position of a primary without a lease, for a record that names it as the leader.

    A lease needs a recorded replica. If all have started again since they were recorded, there is
    none until the record is updated. The position holds unless the record changes meanwhile.
    """
    status = (await control.read_all([primary])).get(primary.id)
    if status is None or status.role is not ServerRole.PRIMARY:
        return None
    return status.received
