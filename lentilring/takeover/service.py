"""The service `takeover`: supervises primaries and replaces those that cannot go on."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice

from ..catalog.fleet import FleetService
from ..catalog.model import ServerEntry, ServerRole
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..gateways.lease import LEASE_S
from ..gateways.placement import rank_gateways
from ..gateways.sampling import PositionSampler
from ..gateways.server import ReplicationStatus, ServerConnector
from ..gateways.service import GatewayService
from ..kernel import Service
from ..platform.store import StoreUnavailable
from ..tasks import start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .asking import MAX_ASKING_S, NOT_PROMOTED, RepeatedPromotion
from .authority import PromotionAuthority, PromotionIntent, PromotionService
from .reasons import (
    PLANNED,
    RANK_DELAY_S,
    PrimaryObservation,
    PrimaryWatch,
    PromotionWatch,
    ReplacementReason,
    ReplacementWatch,
    find_replacement_reason,
)
from .replicas import ReplicaControl
from .succession import Candidate, NoSafeSuccessor, Successor, choose_pause_term, choose_successor
from .upkeep import CopyUpkeep

CHECK_INTERVAL_S = 0.25
# The first one acts; the second and third step in when it does not.
SUPERVISORS_PER_SERVICE = 3
# When a planned replacement begins, work on the primary ends within this time or is rolled back.
PRIMARY_DRAIN_S = 0.06
LEADERSHIP_TIMEOUT_S = 2.5
LEADERSHIP_POLL_S = 0.05
# Another takeover that begins later checks the replicas a whole lease after it stopped them, unless
# the old primary has stepped down. Replicas that are resumed must receive before that.
MAX_RESUME_DELAY_S = LEASE_S / 2
RETRY_S = 0.5
BUSY_RETRY_S = 0.2

RESTORED_DETAIL = "the store returned from an older copy"

log = Log(source="takeover")


@dataclass(frozen=True, kw_only=True)
class _Takeover:
    """Hold the reason for a takeover and the servers of its service when it begins."""

    service: str
    reason: ReplacementReason
    old_primary: ServerEntry | None
    replicas: tuple[ServerEntry, ...]


class TakeoverService(Service):
    """Watch the primaries that this proxy supervises and replace them when there is a reason."""

    def __init__(
        self,
        *,
        catalog: CatalogService,
        fleet: FleetService,
        gateways: GatewayService,
        sampler: PositionSampler,
        connector: ServerConnector,
        authority: PromotionAuthority,
        promotion: PromotionService,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._catalog, self._fleet, self._gateways = catalog, fleet, gateways
        self._sampler, self._connector = sampler, connector
        self._authority = authority
        self._promotion = RepeatedPromotion(promotion=promotion, clock=clock)
        self._clock, self._telemetry = clock, telemetry
        self._upkeep = CopyUpkeep(
            catalog=catalog,
            gateways=gateways,
            connector=connector,
            authority=authority,
            clock=clock,
        )
        self._watches: dict[str, ReplacementWatch] = {}
        self._primaries = PrimaryWatch()
        self._promotions = PromotionWatch(local_vm=fleet.local.vm)
        self._takeovers: dict[str, asyncio.Task[None]] = {}
        # Services whose newest promotion by this proxy may still take effect.
        self._promoting: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._rewriting: asyncio.Task[None] | None = None
        self._written_era = catalog.store_era

    async def start(self) -> None:
        """Begin to supervise."""
        self._catalog.subscribe(self._check_era)
        self._task = start_task("supervise", self._run, telemetry=self._telemetry)

    async def stop(self) -> None:
        """End supervision; a takeover that runs is left to the next supervisor."""
        own = [task for task in (self._task, self._rewriting) if task is not None]
        self._upkeep.stop()
        for task in [*self._takeovers.values(), *own]:
            task.cancel()

    def _check_era(self) -> None:
        """Write promotions again that the store lost as it returned from an older copy."""
        if self._catalog.store_era == self._written_era:
            return
        self._written_era = self._catalog.store_era
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._rewriting = asyncio.ensure_future(self._write_again())

    async def _write_again(self) -> None:
        while not self._catalog.knows_all_servers():
            try:
                await self._authority.write_again()
                return
            except StoreUnavailable as error:
                log.info("promotions_not_written_again", detail=error.detail)
                await self._clock.sleep(RETRY_S)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            if not self._catalog.is_complete():
                continue
            manifest = self._catalog.manifest
            for service in manifest.services if manifest is not None else ():
                if (primary := self._catalog.find_primary(service)) is not None:
                    self._primaries.update(service, primary.id, self._clock.boottime())
                rank = self._find_rank(service)
                if rank is None:
                    self._watches.pop(service, None)
                else:
                    self._check_service(service, rank)

    def _find_rank(self, service: str) -> int | None:
        """Return this proxy's rank among a service's supervisors, or None if it is none of them."""
        primary = self._catalog.find_primary(service)
        if primary is None:
            ranked = iter(self._fleet.rank(f"primary-{service}"))
        else:
            ranked = rank_gateways(primary, self._fleet, is_suspect=self._fleet.is_suspect)
        local = self._fleet.local.vm
        supervisors = enumerate(islice(ranked, SUPERVISORS_PER_SERVICE))
        return next((rank for rank, member in supervisors if member.vm == local), None)

    def _check_service(self, service: str, rank: int) -> None:
        self._sampler.request_frequent_sampling(service)
        now = self._clock.monotonic()
        watch = self._watches.setdefault(service, ReplacementWatch())
        primary = self._catalog.find_primary(service)
        reason = find_replacement_reason(self._observe(service, primary))
        watch.update(reason, now)
        # A primary without a proof may lack a recorded replica, so the record is kept then too.
        may_serve = reason is None or reason in PLANNED or reason is ReplacementReason.SILENT
        if primary is not None and may_serve and service not in self._takeovers:
            # A proxy that has just started may not know yet who else supervises.
            if self._catalog.knows_all_servers():
                self._gateways.prepare_lease(primary)
            self._upkeep.check(primary, delay_s=rank * RANK_DELAY_S)
        if reason is None or service in self._takeovers or now < self._retry_at.get(service, 0.0):
            return
        was_proved = self._gateways.get_history(service).find_newest() is not None
        if not watch.is_due(rank=rank, was_proved=was_proved, now=now):
            return
        if not self._catalog.knows_all_servers():
            return
        if reason in PLANNED and self._upkeep.is_updating(service):
            # The update changes the record, so that the takeover could not claim it.
            return
        replicas = self._find_replicas(service, primary)
        if not replicas:
            return
        takeover = _Takeover(service=service, reason=reason, old_primary=primary, replicas=replicas)
        task = asyncio.ensure_future(self._take_over(takeover))
        self._takeovers[service] = task
        task.add_done_callback(lambda done: self._finish(service, done))

    def _find_replicas(self, service: str, primary: ServerEntry | None) -> tuple[ServerEntry, ...]:
        entries = self._catalog.servers.by_service.get(service, ())
        return tuple(entry for entry in entries if primary is None or entry.id != primary.id)

    def _observe(self, service: str, primary: ServerEntry | None) -> PrimaryObservation:
        newest, now = self._gateways.get_history(service).find_newest(), self._clock.boottime()
        # What was missing before a new primary led says nothing of it.
        lead_age_s = self._primaries.find_age_s(service, now)
        proof_age_s = None if newest is None else min(now - newest.taken_at, lead_age_s)
        if primary is None:
            return PrimaryObservation(
                is_registered=False,
                is_draining=False,
                is_evacuated=False,
                proof_age_s=proof_age_s,
                commit_silence_s=0.0,
            )
        return PrimaryObservation(
            is_registered=primary.id not in self._catalog.missing_servers(),
            is_draining=primary.is_draining,
            is_evacuated=self._catalog.is_evacuated(primary),
            proof_age_s=proof_age_s,
            commit_silence_s=min(self._sampler.commit_silence_s(service), lead_age_s),
        )

    def _finish(self, service: str, task: asyncio.Task[None]) -> None:
        self._takeovers.pop(service, None)
        self._retry_at[service] = self._clock.monotonic() + RETRY_S
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("takeover_failed", service=service, error=repr(error))

    async def _take_over(self, takeover: _Takeover) -> None:
        accounts = self._catalog.list_accounts()
        if not accounts:
            return
        log.warning(
            "takeover_begun",
            service=takeover.service,
            trouble=takeover.reason,
            primary="-" if takeover.old_primary is None else takeover.old_primary.id,
            replicas=",".join(entry.id for entry in takeover.replicas),
        )
        control = ReplicaControl(
            connector=self._connector, account=accounts[0].name, clock=self._clock
        )
        paused_primary: ServerEntry | None = None
        done = False
        intent: PromotionIntent | None = None
        try:
            intent = await self._authority.read(takeover.service)
            await self._catalog.refresh_servers()
            if not self._may_begin(takeover, intent):
                done = True
                return
            if takeover.old_primary is not None and takeover.reason in PLANNED:
                paused_primary = takeover.old_primary
                self._gateways.pause_primary_work(paused_primary.id)
                await self._clock.sleep(PRIMARY_DRAIN_S)
            takeover = self._update_replicas(takeover)
            takeover = await self._add_unregistered(takeover, control)
            done = await self._replace_primary(takeover, control, intent)
        except StoreUnavailable as error:
            log.warning("takeover_postponed", service=takeover.service, detail=error.detail)
        finally:
            # An earlier promotion that got no answer may still run. If the replicas received again,
            # they would prove until then that the old primary is the only one.
            if (
                not done
                and intent is not None
                and await self._may_resume(takeover, control, intent)
            ):
                await control.resume_all()
            control.close()
            if paused_primary is not None:
                self._gateways.resume_primary_work(paused_primary.id)

    def _may_begin(self, takeover: _Takeover, intent: PromotionIntent) -> bool:
        """Tell whether the record and the registrations, as read now, leave a reason to go on."""
        service = takeover.service
        if not self._catalog.knows_all_servers():
            log.info("takeover_postponed", service=service, detail=RESTORED_DETAIL)
            return False
        primary = self._catalog.find_primary(service)
        if primary is not None and not _is_same_server(primary, takeover.old_primary):
            detail = f"{primary.id} is registered as the primary"
            log.info("takeover_left", service=service, detail=detail)
            return False
        if self._is_promoted_elsewhere(service, intent):
            detail = f"{intent.vm} is promoting a server"
            log.info("takeover_left", service=service, detail=detail)
            return False
        return True

    def _update_replicas(self, takeover: _Takeover) -> _Takeover:
        """Return a takeover with the replicas that are registered now."""
        replicas = self._find_replicas(takeover.service, takeover.old_primary)
        if replicas != takeover.replicas:
            names = ",".join(entry.id for entry in replicas)
            log.info("takeover_replicas", service=takeover.service, replicas=names)
        return replace(takeover, replicas=replicas)

    async def _add_unregistered(self, takeover: _Takeover, control: ReplicaControl) -> _Takeover:
        """Add replicas whose registrations lapsed if they answer; they may have acknowledged."""
        lapsed = self._catalog.list_lapsed_servers(takeover.service)
        statuses = await control.read_all(lapsed)
        answering = tuple(
            entry
            for entry in lapsed
            if entry.id in statuses and statuses[entry.id].role is ServerRole.REPLICA
        )
        if answering:
            names = ",".join(entry.id for entry in answering)
            log.info("unregistered_replicas", service=takeover.service, replicas=names)
        return replace(takeover, replicas=takeover.replicas + answering)

    def _is_promoted_elsewhere(self, service: str, intent: PromotionIntent) -> bool:
        """Tell whether another proxy is probably promoting a server."""
        is_answering = self._fleet.find(intent.vm) is not None and not self._fleet.is_suspect(
            intent.vm
        )
        now = self._clock.monotonic()
        return is_answering and self._promotions.may_still_run(service, intent, now=now)

    async def _may_resume(
        self, takeover: _Takeover, control: ReplicaControl, intent: PromotionIntent
    ) -> bool:
        """Tell whether replicas may receive again, as no recorded promotion can still run."""
        statuses = await control.read_all(takeover.replicas)
        asked_at = self._clock.boottime()
        try:
            newest = await self._authority.read(takeover.service)
            if not self._catalog.knows_all_servers():
                return False
            intended = statuses.get(newest.server)
            # Once the promotion took effect, the new primary needs replicas that receive. Any other
            # server that is still the primary is about to be replaced.
            has_effect = newest.is_open and intended is not None and _is_primary(intended)
            is_own = newest.vm == self._fleet.local.vm and not intent.is_open
            is_unasked = is_own and takeover.service not in self._promoting
            if newest.is_open and not has_effect and not is_unasked:
                return False
            # A takeover that checked the replicas before they receive again must not claim after.
            leader = newest.server if has_effect else ""
            if not await self._authority.mark_completed(
                takeover.service, previous=newest, leader=leader
            ):
                return False
        except StoreUnavailable:
            return False
        return self._clock.boottime() - asked_at <= MAX_RESUME_DELAY_S

    async def _replace_primary(
        self, takeover: _Takeover, control: ReplicaControl, intent: PromotionIntent
    ) -> bool:
        """Promote the replica that received most; tell whether to leave the replicas as they are.

        They stay paused if a promotion may take effect.
        """
        if takeover.reason not in PLANNED and self._is_proved_again(takeover.service):
            log.info("takeover_not_needed", service=takeover.service, leading="the old primary")
            return False
        statuses = await control.read_all(takeover.replicas)
        unheard = self._find_unheard(takeover, statuses, intent)
        leading = [server for server, status in statuses.items() if _is_primary(status)]
        if leading:
            log.info("takeover_not_needed", service=takeover.service, leading=leading[0])
            await self._complete_open_intent(takeover.service, intent, leading[0])
            self._catalog.leadership.record_leader(
                takeover.service, leading[0], statuses[leading[0]].term
            )
            return True
        if unheard:
            # Nothing is paused: the primary may serve, though this proxy does not reach it.
            self._log_undecided(takeover, f"waiting for {','.join(unheard)}", intent)
            return not any(status.paused_below_term for status in statuses.values())
        leader = self._catalog.leadership.find_known_leader(takeover.service)
        known_term = max(intent.received.term, 0 if leader is None else leader.term)
        term = choose_pause_term(statuses.values(), known_term=known_term)
        paused = await control.pause_all(takeover.replicas, term=term)
        paused_at = self._clock.monotonic()
        choice = choose_successor(
            [
                self._build_candidate(entry, paused[entry.id])
                for entry in takeover.replicas
                if entry.id in paused
            ],
            replicas=[entry.id for entry in takeover.replicas],
            old_failure_domain=(
                "" if takeover.old_primary is None else takeover.old_primary.failure_domain
            ),
            min_position=intent.received,
            intended=intent.server if intent.is_open else "",
            unheard=self._find_unheard(takeover, paused, intent),
        )
        if isinstance(choice, NoSafeSuccessor):
            self._log_undecided(takeover, choice.reason, intent)
            return False
        self._promoting.discard(takeover.service)
        claimed = await self._authority.claim(
            takeover.service, choice.server.id, received=choice.received, previous=intent
        )
        if claimed is None:
            # The record may have changed for the copies in it only; then nothing is promoted.
            newest = await self._authority.read(takeover.service)
            detail = "is promoting a server" if newest.is_open else "changed the record"
            log.info("takeover_left", service=takeover.service, detail=f"{newest.vm} {detail}")
            return newest.is_open
        if not await self._depose(takeover.old_primary, control, term):
            # Gateways that do not learn of the takeover use the old primary until their leases end.
            wait_s = paused_at + LEASE_S - self._clock.monotonic()
            await self._clock.sleep(max(0.0, wait_s))
        if not await self._is_still_paused(takeover, control, choice, term):
            log.warning("takeover_superseded", service=takeover.service)
            return False
        return await self._promote(takeover, control, choice, claimed, term)

    def _find_unheard(
        self,
        takeover: _Takeover,
        heard: Mapping[str, ReplicationStatus],
        intent: PromotionIntent,
    ) -> tuple[str, ...]:
        """Return the recorded copies that have not answered, as they were recorded."""
        current = self._catalog.servers.entries
        started_ms = {
            entry.id: current.get(entry.id, entry).started_ms
            for entry in takeover.replicas
            if entry.id in heard
        }
        return intent.copies.find_unheard(
            started_ms, intended=intent.server if intent.is_open else ""
        )

    def _log_undecided(self, takeover: _Takeover, reason: str, intent: PromotionIntent) -> None:
        log.warning(
            "takeover_undecided",
            service=takeover.service,
            reason=reason,
            leader=intent.copies.leader,
            copies=",".join(sorted(intent.copies.started_ms)),
            record=intent.version,
        )

    async def _is_still_paused(
        self, takeover: _Takeover, control: ReplicaControl, choice: Successor, term: int
    ) -> bool:
        """Tell whether no replica has received anything since the choice.

        Another supervisor that gave up may have let the replicas receive again. A replica that has
        registered since may have the newest acknowledged commit, and one that has started again may
        have been empty when it was asked. Raise StoreUnavailable without a current list.
        """
        await self._catalog.refresh_servers()
        if not self._catalog.knows_all_servers():
            return False
        registered = self._find_replicas(takeover.service, takeover.old_primary)
        if _list_starts(registered) - _list_starts(takeover.replicas):
            return False
        statuses = await control.read_all(takeover.replicas)
        return len(statuses) == len(takeover.replicas) and all(
            status.paused_below_term >= term and status.received <= choice.received
            for status in statuses.values()
        )

    async def _depose(
        self, old_primary: ServerEntry | None, control: ReplicaControl, term: int
    ) -> bool:
        if old_primary is None:
            return False
        deposed = await control.depose(old_primary, term=term)
        log.info(
            "primary_deposed" if deposed else "primary_not_deposed",
            server=old_primary.id,
            term=term,
        )
        return deposed

    async def _promote(
        self,
        takeover: _Takeover,
        control: ReplicaControl,
        choice: Successor,
        claimed: PromotionIntent,
        term: int,
    ) -> bool:
        log.warning(
            "promotion_asked",
            service=takeover.service,
            server=choice.server.id,
            received=choice.received,
            token=claimed.version,
        )
        self._promoting.add(takeover.service)
        leading = asyncio.ensure_future(self._wait_for_leadership(choice.server))
        asking = asyncio.ensure_future(
            self._promotion.ask(
                service=takeover.service,
                server=choice.server.id,
                holder=self._fleet.local.vm,
                token=claimed.version,
                is_unchanged=lambda: self._has_kept_log(control, choice, term),
            )
        )
        try:
            # The promotion may take effect although its answer is lost.
            await asyncio.wait({leading, asking}, return_when=asyncio.FIRST_COMPLETED)
            if asking.done():
                result = asking.result()
                self._telemetry.count("promotions", result=result)
                if result in NOT_PROMOTED:
                    self._promoting.discard(takeover.service)
                    return False
            has_lead = await leading
        finally:
            leading.cancel()
            asking.cancel()
        if has_lead:
            self._gateways.announce_leader(takeover.service)
            await self._authority.mark_completed(
                takeover.service, previous=claimed, leader=choice.server.id
            )
            # Announced again, because datagrams may be lost.
            self._gateways.announce_leader(takeover.service)
        return True

    async def _has_kept_log(self, control: ReplicaControl, choice: Successor, term: int) -> bool:
        """Tell whether the chosen server answers and has not started again since it was paused."""
        status = (await control.read_all([choice.server])).get(choice.server.id)
        if status is None:
            return False
        is_paused = status.paused_below_term >= term and status.received == choice.received
        return is_paused or _is_primary(status)

    async def _complete_open_intent(
        self, service: str, intent: PromotionIntent, leading: str
    ) -> None:
        if intent.is_open and intent.server == leading:
            await self._authority.mark_completed(service, previous=intent, leader=leading)

    async def _wait_for_leadership(self, server: ServerEntry) -> bool:
        """Wait until a promoted server proves that it is the primary."""
        end = self._clock.monotonic() + MAX_ASKING_S + LEADERSHIP_TIMEOUT_S
        while self._clock.monotonic() < end:
            await self._clock.sleep(LEADERSHIP_POLL_S)
            if await self._gateways.prove_leadership(server):
                log.warning("lead_changed", service=server.service, server=server.id)
                return True
        return False

    def _is_proved_again(self, service: str) -> bool:
        observation = self._observe(service, self._catalog.find_primary(service))
        return find_replacement_reason(observation) is None

    def _build_candidate(self, entry: ServerEntry, status: ReplicationStatus) -> Candidate:
        current = self._catalog.servers.entries.get(entry.id, entry)
        eligible = not current.is_draining and not self._catalog.is_evacuated(current)
        return Candidate(server=current, received=status.received, is_eligible=eligible)


def _is_same_server(server: ServerEntry, other: ServerEntry | None) -> bool:
    return other is not None and server.id == other.id


def _list_starts(entries: Iterable[ServerEntry]) -> set[tuple[str, int]]:
    return {(entry.id, entry.started_ms) for entry in entries}


def _is_primary(status: ReplicationStatus) -> bool:
    return status.role is ServerRole.PRIMARY
