"""The service `fleet`: the proxies registered in the store, and which of them answer."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..clock import SuspensionClock
from ..kernel import Service
from ..placement import Ranking
from ..platform.store import StoreUnavailable
from ..revisions import find_era
from ..tasks import start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .follower import Follower
from .source import ProxyEntry, Record, RecordKind, Records, RecordSource

REGISTER_RETRY_S = 0.5
BATCH_DELAY_S = 0.3
# A proxy whose registration a restoration of the store lost has registered again by then: its
# readers notice within a few seconds, and it does one exchange later.
RETURN_S = 6.0

log = Log(source="fleet")


class FleetService(Service):
    """Register this process and track the other proxies; implements LimitMembership."""

    def __init__(
        self,
        *,
        local: ProxyEntry,
        source: RecordSource,
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
    ) -> None:
        self._local, self._source, self._clock = local, source, clock
        self._telemetry = telemetry
        self._entries: dict[str, ProxyEntry] = {}
        self._members: tuple[ProxyEntry, ...] = (local,)
        self._ranking = Ranking(members=self._members)
        self._suspects: set[str] = set()
        self.on_suspected: Callable[[ProxyEntry], None] = _ignore_suspect
        self._revision: int | None = None
        # One registration is written at a time, so that the newest state is written last.
        self._registering = asyncio.Lock()
        self._revisions: dict[str, int] = {}
        self._removal_timers: dict[str, asyncio.TimerHandle] = {}
        self._follower = Follower(
            kind=RecordKind.PROXIES,
            source=source,
            clock=clock,
            random=random,
            telemetry=telemetry,
            replace_all=self._replace,
            apply_changes=self._apply_changes,
            batch_delay_s=BATCH_DELAY_S,
            # The watch that follows brings what an old list of proxies lacks. Lists of servers and
            # evacuations decide where statements may go, also before that watch answers.
            may_begin_old=True,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def local(self) -> ProxyEntry:
        """Return this process as a member."""
        return self._local

    @property
    def is_synchronized(self) -> bool:
        """Tell whether the other proxies were read at least once."""
        return self._follower.is_synchronized

    async def start(self) -> None:
        """Register and follow the registrations of others."""
        self._tasks = [
            start_task("register", self._register, telemetry=self._telemetry),
            start_task("follow_proxies", self._follower.run, telemetry=self._telemetry),
        ]

    async def stop(self) -> None:
        """End background work."""
        for task in self._tasks:
            task.cancel()
        for timer in self._removal_timers.values():
            timer.cancel()

    def leave(self) -> None:
        """Register that this process accepts no new work."""
        self._local = replace(self._local, is_leaving=True)
        self._rebuild_ranking()
        self._start_registering()

    def members(self) -> tuple[ProxyEntry, ...]:
        """Return the proxies that accept work: those that are not leaving, or all if all are."""
        return self._members

    def rank(
        self, key: str, *, preferred_failure_domain: str | None = None
    ) -> tuple[ProxyEntry, ...]:
        """Return the proxies that accept work, in order of preference for a key."""
        return self._ranking.rank(key, preferred_failure_domain=preferred_failure_domain)

    def others(self) -> tuple[ProxyEntry, ...]:
        """Return all other registered proxies, also those that are leaving."""
        return tuple(self._entries.values())

    def count_registered(self) -> int:
        """Return the number of registered proxies, whether they answer or not."""
        return 1 + len(self._entries)

    def deregister(self, entry: ProxyEntry, *, silence_s: float) -> None:
        """Remove a proxy's registration; a proxy that still runs registers again."""
        log.warning("proxy_deregistered", peer=entry.vm, silence_s=round(silence_s, 1))
        self._keep(asyncio.ensure_future(self._deregister(entry)))

    def find(self, vm: str) -> ProxyEntry | None:
        """Return the registration of a VM's proxy."""
        return self._local if vm == self._local.vm else self._entries.get(vm)

    def process_has_ended(self, vm: str, incarnation: int) -> bool:
        """Tell whether a later process of a VM has registered."""
        entry = self.find(vm)
        return entry is not None and entry.incarnation > incarnation

    def is_suspect(self, vm: str) -> bool:
        """Tell whether a peer failed to answer a call and has not answered any since."""
        return vm in self._suspects

    def clear_suspicion(self, vm: str) -> None:
        """Stop suspecting a peer, because it answered."""
        if vm in self._suspects:
            self._suspects.discard(vm)
            log.info("peer_regained", peer=vm)

    def mark_suspect(self, vm: str, detail: str) -> None:
        """Suspect a peer that did not answer, until it answers a probe."""
        entry = self._entries.get(vm)
        if entry is None or vm in self._suspects:
            return
        self._suspects.add(vm)
        self._telemetry.count("peers_suspected")
        log.warning("peer_lost", peer=vm, detail=detail)
        self.on_suspected(entry)

    async def _deregister(self, entry: ProxyEntry) -> None:
        try:
            await self._source.deregister(entry.vm, revision=self._revisions.get(entry.vm, 0))
        except StoreUnavailable as error:
            log.info("proxy_deregistration_failed", peer=entry.vm, detail=error.detail)

    def _start_registering(self) -> None:
        self._keep(start_task("register", self._register, telemetry=self._telemetry))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _register(self) -> None:
        async with self._registering:
            while True:
                entry = self._local
                try:
                    self._revision = await self._source.register(entry, revision=self._revision)
                    log.info("proxy_registered", vm=entry.vm, leaving=entry.is_leaving)
                    return
                except StoreUnavailable as error:
                    log.info("registration_failed", detail=error.detail)
                    await asyncio.sleep(REGISTER_RETRY_S)

    def _replace(self, batch: Records) -> None:
        listed = {record.name for record in batch.records}
        for vm in [vm for vm in self._entries if vm not in listed]:
            self._remove(vm, batch)
        if batch.follows_restoration and self._local.vm not in listed:
            self._register_again()
        self._apply_changes(batch)

    def _apply_changes(self, batch: Records) -> None:
        for record in batch.records:
            if record.name == self._local.vm:
                self._check_registration(record)
            elif isinstance(record.value, ProxyEntry):
                self._put(record.value, record.revision, batch)
            else:
                self._remove(record.name, batch)
        self._rebuild_ranking()

    def _check_registration(self, record: Record) -> None:
        """Register again if the local registration was removed or set back."""
        if self._revision is None:
            return
        is_set_back = find_era(record.revision) > find_era(self._revision)
        if record.value is None or (is_set_back and record.value != self._local):
            self._register_again()

    def _register_again(self) -> None:
        if self._revision is not None:
            log.warning("registration_removed", vm=self._local.vm)
            self._revision = None
            self._start_registering()

    def _put(self, entry: ProxyEntry, revision: int, batch: Records) -> None:
        known = self._entries.get(entry.vm)
        self._revisions[entry.vm] = revision
        if (
            batch.follows_restoration
            and known is not None
            and known.incarnation > entry.incarnation
        ):
            return
        timer = self._removal_timers.pop(entry.vm, None)
        if timer is not None:
            timer.cancel()
        self._entries[entry.vm] = entry
        if known is None or known.incarnation != entry.incarnation:
            self._suspects.discard(entry.vm)
            log.info("peer_registered", peer=entry.vm, incarnation=entry.incarnation)
        if batch.follows_restoration and known is None:
            self.mark_suspect(entry.vm, "only an older copy of the store may have it")

    def _remove(self, vm: str, batch: Records) -> None:
        """Remove a peer; later if only a restoration of the store may have lost it."""
        if not batch.follows_restoration:
            self._forget(vm)
        elif vm in self._entries and vm not in self._removal_timers:
            loop = asyncio.get_running_loop()
            self._removal_timers[vm] = loop.call_later(RETURN_S, self._forget, vm)
            log.info("peer_registration_missing", peer=vm)

    def _forget(self, vm: str) -> None:
        timer = self._removal_timers.pop(vm, None)
        if timer is not None:
            timer.cancel()
        if self._entries.pop(vm, None) is not None:
            log.info("peer_removed", peer=vm)
            self._rebuild_ranking()

    def _rebuild_ranking(self) -> None:
        known = [self._local, *self._entries.values()]
        # While all are leaving, as when a whole fleet stops, they still work for each other.
        remaining = [entry for entry in known if not entry.is_leaving] or known
        self._members = tuple(sorted(remaining, key=lambda entry: entry.vm))
        self._ranking = Ranking(members=self._members)


def _ignore_suspect(entry: ProxyEntry) -> None:
    """Do nothing; used until a prober is registered."""
