"""The service `takeover`: supervises primaries and has them replaced."""

import asyncio
from dataclasses import dataclass
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
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .authority import Intent, PromotionAuthority, PromotionResult, PromotionService
from .replicas import ReplicaControl
from .succession import Candidate, NoSafeSuccessor, Successor, choose_pause_term, choose_successor
from .trouble import (
    PLANNED,
    Observation,
    PromotionWatch,
    Trouble,
    TroubleWatch,
    find_trouble,
)

TICK_S = 0.25
# The first acts, the second and third step in when it does not.
SUPERVISORS = 3
# What runs at a primary that is to be replaced ends within this time, or is rolled back.
SETTLE_S = 0.06
LEAD_TIMEOUT_S = 2.5
LEAD_POLL_S = 0.05
RETRY_S = 0.5
BUSY_RETRY_S = 0.2

log = Log(source="takeover")


@dataclass(frozen=True, kw_only=True)
class _Case:
    """Hold the state of a service when its takeover begins."""

    service: str
    trouble: Trouble
    old: ServerEntry | None
    replicas: tuple[ServerEntry, ...]


class TakeoverService(Service):
    """Watch the primaries that this proxy supervises and replace those in trouble."""

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
        self._authority, self._promotion = authority, promotion
        self._clock, self._telemetry = clock, telemetry
        self._watches: dict[str, TroubleWatch] = {}
        self._promotions = PromotionWatch(local_vm=fleet.local.vm)
        self._running: dict[str, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to supervise."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """End supervision; a takeover that runs is left to the next supervisor."""
        for task in [*self._running.values(), *([self._task] if self._task else [])]:
            task.cancel()

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(TICK_S)
            if not self._catalog.is_complete():
                continue
            manifest = self._catalog.manifest
            for service in manifest.services if manifest is not None else ():
                rank = self._find_rank(service)
                if rank is None:
                    self._watches.pop(service, None)
                else:
                    self._watch(service, rank)

    def _find_rank(self, service: str) -> int | None:
        """Return this proxy's place among a service's supervisors, if it is one."""
        primary = self._catalog.find_primary(service)
        if primary is None:
            ranked = iter(self._fleet.rank(f"primary-{service}"))
        else:
            ranked = rank_gateways(primary, self._fleet, is_suspect=self._fleet.is_suspect)
        local = self._fleet.local.vm
        supervisors = enumerate(islice(ranked, SUPERVISORS))
        return next((rank for rank, member in supervisors if member.vm == local), None)

    def _watch(self, service: str, rank: int) -> None:
        self._sampler.request_supervision(service)
        now = self._clock.monotonic()
        watch = self._watches.setdefault(service, TroubleWatch())
        primary = self._catalog.find_primary(service)
        trouble = find_trouble(self._observe(service, primary))
        watch.note(trouble, now)
        if trouble is None or service in self._running or now < self._retry_at.get(service, 0.0):
            return
        was_proved = self._gateways.get_history(service).find_newest() is not None
        if not watch.is_due(rank=rank, was_proved=was_proved, now=now):
            return
        entries = self._catalog.servers.by_service.get(service, ())
        replicas = tuple(entry for entry in entries if primary is None or entry.id != primary.id)
        if not replicas:
            return
        case = _Case(service=service, trouble=trouble, old=primary, replicas=replicas)
        task = asyncio.ensure_future(self._take_over(case))
        self._running[service] = task
        task.add_done_callback(lambda done: self._finish(service, done))

    def _observe(self, service: str, primary: ServerEntry | None) -> Observation:
        newest = self._gateways.get_history(service).find_newest()
        proof_age_s = None if newest is None else self._clock.boottime() - newest.taken_at
        if primary is None:
            return Observation(
                is_registered=False,
                is_draining=False,
                is_evacuated=False,
                proof_age_s=proof_age_s,
                commit_silence_s=0.0,
            )
        return Observation(
            is_registered=primary.id not in self._catalog.missing_servers(),
            is_draining=primary.is_draining,
            is_evacuated=self._catalog.is_evacuated(primary),
            proof_age_s=proof_age_s,
            commit_silence_s=self._sampler.commit_silence_s(service),
        )

    def _finish(self, service: str, task: asyncio.Task[None]) -> None:
        self._running.pop(service, None)
        self._retry_at[service] = self._clock.monotonic() + RETRY_S
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("takeover_failed", service=service, error=repr(error))

    async def _take_over(self, case: _Case) -> None:
        accounts = self._catalog.list_accounts()
        if not accounts:
            return
        log.warning(
            "takeover_begun",
            service=case.service,
            trouble=case.trouble,
            primary="-" if case.old is None else case.old.id,
            replicas=",".join(entry.id for entry in case.replicas),
        )
        control = ReplicaControl(
            connector=self._connector, account=accounts[0].name, clock=self._clock
        )
        held = case.old if case.trouble in PLANNED else None
        done = False
        intent: Intent | None = None
        try:
            if held is not None:
                self._gateways.pause_primary_work(held.id)
                await self._clock.sleep(SETTLE_S)
            intent = await self._authority.read(case.service)
            if self._is_promoting(case.service, intent):
                log.info("takeover_left", service=case.service, detail=f"{intent.vm} promotes")
                done = True
            else:
                done = await self._replace(case, control, intent)
        except StoreUnavailable as error:
            log.warning("takeover_postponed", service=case.service, detail=error.detail)
        finally:
            # An earlier promotion without an answer may still run. Replicas that receive again
            # would let the old primary be taken as the only one until then.
            if not done and intent is not None and await self._may_resume(case, control, intent):
                await control.resume_all()
            control.close()
            if held is not None:
                self._gateways.resume_primary_work(held.id)

    def _is_promoting(self, service: str, intent: Intent) -> bool:
        """Tell whether another proxy's promotion is probably under way."""
        is_there = self._fleet.find(intent.vm) is not None and not self._fleet.is_suspect(intent.vm)
        now = self._clock.monotonic()
        return is_there and self._promotions.may_run(service, intent, now=now)

    async def _may_resume(self, case: _Case, control: ReplicaControl, intent: Intent) -> bool:
        """Tell whether no promotion that was recorded by anyone can still run."""
        try:
            newest = await self._authority.read(case.service)
        except StoreUnavailable:
            return False
        statuses = await control.read_all(case.replicas)
        intended = statuses.get(newest.server)
        if newest.is_open and intended is not None and _leads(intended):
            # The promotion took effect; its server cannot lead without replicas that receive. Any
            # other server that leads is about to be replaced.
            return True
        return not newest.is_open or (newest.vm == self._fleet.local.vm and not intent.is_open)

    async def _replace(self, case: _Case, control: ReplicaControl, intent: Intent) -> bool:
        """Promote the furthest replica; tell whether a promotion may take effect."""
        if case.trouble not in PLANNED and self._is_proved_again(case.service):
            log.info("takeover_needless", service=case.service, leading="the old primary")
            return False
        statuses = await control.read_all(case.replicas)
        leading = [server for server, status in statuses.items() if _leads(status)]
        if leading:
            log.info("takeover_needless", service=case.service, leading=leading[0])
            await self._settle_open(case.service, intent, leading[0])
            self._catalog.leadership.record_leader(
                case.service, leading[0], statuses[leading[0]].term
            )
            return True
        lead = self._catalog.leadership.find_known_leader(case.service)
        known_term = max(intent.received.term, 0 if lead is None else lead.term)
        term = choose_pause_term(statuses.values(), known_term=known_term)
        paused = await control.pause_all(case.replicas, term=term)
        paused_at = self._clock.monotonic()
        choice = choose_successor(
            [
                self._build_candidate(entry, paused[entry.id])
                for entry in case.replicas
                if entry.id in paused
            ],
            replicas=[entry.id for entry in case.replicas],
            place_of_old="" if case.old is None else case.old.failure_domain,
            floor=intent.received,
            intended=intent.server if intent.is_open else "",
        )
        if isinstance(choice, NoSafeSuccessor):
            log.warning("takeover_undecided", service=case.service, reason=choice.reason)
            return False
        claimed = await self._authority.claim(
            case.service, choice.server.id, received=choice.received, seen=intent
        )
        if claimed is None:
            log.info("takeover_left", service=case.service, detail="another proxy promotes")
            return True
        if not await self._depose(case.old, control, term):
            # Gateways that cannot be told use the old primary until their leases end.
            wait_s = paused_at + LEASE_S - self._clock.monotonic()
            await self._clock.sleep(max(0.0, wait_s))
        if not await self._is_still_paused(case, control, choice, term):
            log.warning("takeover_overtaken", service=case.service)
            return False
        return await self._promote(case, choice, claimed)

    async def _is_still_paused(
        self, case: _Case, control: ReplicaControl, choice: Successor, term: int
    ) -> bool:
        """Tell whether no replica has received anything since the choice.

        Another supervisor that gave up may have let the replicas receive again.
        """
        statuses = await control.read_all(case.replicas)
        return len(statuses) == len(case.replicas) and all(
            status.paused_below_term >= term and status.received <= choice.received
            for status in statuses.values()
        )

    async def _depose(self, old: ServerEntry | None, control: ReplicaControl, term: int) -> bool:
        if old is None:
            return False
        deposed = await control.depose(old, term=term)
        log.info("primary_deposed" if deposed else "primary_not_deposed", server=old.id, term=term)
        return deposed

    async def _promote(self, case: _Case, choice: Successor, claimed: Intent) -> bool:
        log.warning(
            "promotion_asked",
            service=case.service,
            server=choice.server.id,
            received=choice.received,
            token=claimed.version,
        )
        result = await self._promotion.promote(
            service=case.service,
            server=choice.server.id,
            holder=self._fleet.local.vm,
            token=claimed.version,
        )
        self._telemetry.count("promotions", result=result)
        if result in (PromotionResult.REFUSED, PromotionResult.BUSY):
            return False
        if await self._wait_for_lead(choice.server):
            self._gateways.announce_leader(case.service)
            await self._authority.settle(case.service, seen=claimed)
            # Datagrams may be lost.
            self._gateways.announce_leader(case.service)
        return True

    async def _settle_open(self, service: str, intent: Intent, leading: str) -> None:
        if intent.is_open and intent.server == leading:
            await self._authority.settle(service, seen=intent)

    async def _wait_for_lead(self, server: ServerEntry) -> bool:
        """Wait until a promoted server proves its lead."""
        end = self._clock.monotonic() + LEAD_TIMEOUT_S
        while self._clock.monotonic() < end:
            await self._clock.sleep(LEAD_POLL_S)
            if await self._gateways.prove_leadership(server):
                log.warning("lead_changed", service=server.service, server=server.id)
                return True
        return False

    def _is_proved_again(self, service: str) -> bool:
        seen = self._observe(service, self._catalog.find_primary(service))
        return find_trouble(seen) is None

    def _build_candidate(self, entry: ServerEntry, status: ReplicationStatus) -> Candidate:
        current = self._catalog.servers.entries.get(entry.id, entry)
        eligible = not current.is_draining and not self._catalog.is_evacuated(current)
        return Candidate(server=current, received=status.received, is_eligible=eligible)


def _leads(status: ReplicationStatus) -> bool:
    return status.role is ServerRole.PRIMARY
