"""The service `catalog`: the newest configuration and registrations, and whether they are fresh."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from ..clock import SuspensionClock
from ..configuration.accounts import ClientAccount, hash_key
from ..kernel import Service
from ..limits.window import LimitWindow, fit_account
from ..revisions import find_era, format_revision
from ..tasks import start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .departures import DepartedServers
from .follower import WATCH_WAIT_S, Follower
from .leadership import Leadership
from .model import DatabaseRoute, Manifest, ServerEntry, ServerTable
from .source import Evacuation, Record, RecordKind, Records, RecordSource

# Registrations that lapsed during an outage of the store are back within 2 s of its return.
REMOVAL_DELAY_S = 2.5
# The age of the configuration is known to this accuracy, on which the withdrawal of keys depends.
MAX_MANIFEST_WAIT_S = 4.0
# Part of the time for applying a change in which readers of the store confirm the configuration.
MANIFEST_WAIT_FRACTION = 0.4
# A proxy whose configuration was not confirmed for this fraction of its greatest age accepts no new
# callers, so that they go to proxies with a newer configuration.
READY_AGE_FRACTION = 0.5
# Two watches in a row may be late before a proxy accepts no new callers.
MAX_LATE_WATCHES = 2

log = Log(source="catalog")


class CatalogService(Service):
    """Hold what is configured and registered; the configuration's version never decreases."""

    def __init__(
        self,
        *,
        source: RecordSource,
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
        max_age_s: float,
        configuration_delay_s: float,
        leaving_grace_s: float,
        evacuation_grace_s: float,
        limit_window: LimitWindow | None = None,
    ) -> None:
        self.manifest: Manifest | None = None
        self.servers = ServerTable()
        self.evacuated: frozenset[str] = frozenset()
        self.leadership = Leadership()
        self._telemetry = telemetry
        self._clock, self._max_age_s = clock, max_age_s
        self._limit_window = limit_window
        self._leaving_grace_s = leaving_grace_s
        self._evacuation_grace_s = evacuation_grace_s
        self.store_era = 0
        self._restored_at = float("-inf")
        self._draining_since: dict[str, float] = {}
        self._evacuated_since: dict[str, float] = {}
        self._unconfirmed_evacuations: frozenset[str] = frozenset()
        self._evacuation_timer: asyncio.TimerHandle | None = None
        self._departed = DepartedServers(clock=clock)
        self._removal_timers: dict[str, asyncio.TimerHandle] = {}
        self._waiters: list[asyncio.Future[None]] = []
        self._callbacks: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

        def follow(
            kind: RecordKind,
            replace_all: Callable[[Records], None],
            apply_changes: Callable[[Records], None],
            wait_s: float = WATCH_WAIT_S,
        ) -> Follower:
            return Follower(
                kind=kind,
                source=source,
                clock=clock,
                random=random,
                telemetry=telemetry,
                replace_all=replace_all,
                apply_changes=apply_changes,
                wait_s=wait_s,
            )

        self._manifests = follow(
            RecordKind.MANIFEST,
            self._apply_manifests,
            self._apply_manifests,
            min(
                MAX_MANIFEST_WAIT_S,
                configuration_delay_s * MANIFEST_WAIT_FRACTION,
                max_age_s * READY_AGE_FRACTION / MAX_LATE_WATCHES,
            ),
        )
        self._registrations = follow(
            RecordKind.SERVERS, self._replace_servers, self._apply_server_changes
        )
        self._evacuations = follow(
            RecordKind.EVACUATIONS, self._replace_evacuations, self._apply_evacuation_changes
        )

    async def start(self) -> None:
        """Begin to follow the records in the store."""
        self._telemetry.observe("manifest_version", "1", lambda: self.version)
        self._telemetry.observe("manifest_age", "s", self.manifest_age_s)
        followers = (self._manifests, self._registrations, self._evacuations)
        self._tasks = [
            start_task(f"follow_{entry.kind}", entry.run, telemetry=self._telemetry)
            for entry in followers
        ]

    async def stop(self) -> None:
        """Stop following the records."""
        for task in self._tasks:
            task.cancel()
        for timer in self._removal_timers.values():
            timer.cancel()
        if self._evacuation_timer is not None:
            self._evacuation_timer.cancel()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self._callbacks.append(callback)

    def is_store_reachable(self) -> bool:
        """Tell whether the store answered the newest call of any follower."""
        followers = (self._manifests, self._registrations, self._evacuations)
        return any(entry.failed_at < entry.confirmed_at for entry in followers) or all(
            entry.failed_at == float("-inf") for entry in followers
        )

    async def wait_for_change(self, *, timeout_s: float) -> None:
        """Wait for the next change, but no longer than `timeout_s`."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await asyncio.wait({waiter}, timeout=timeout_s)
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_complete(self) -> bool:
        """Tell whether a configuration, registrations and evacuations are known."""
        followers = (self._registrations, self._evacuations)
        return self.manifest is not None and all(entry.is_synchronized for entry in followers)

    def is_fresh(self) -> bool:
        """Tell whether the configuration was confirmed within its greatest age."""
        return self.manifest is not None and self.manifest_age_s() <= self._max_age_s

    def is_current(self) -> bool:
        """Tell whether the configuration was confirmed recently enough to accept new callers."""
        return self.manifest_age_s() <= self._max_age_s * READY_AGE_FRACTION

    def manifest_age_s(self) -> float:
        """Return how long ago the store confirmed the configuration."""
        return self._manifests.confirmation_age_s()

    @property
    def version(self) -> int:
        """Return the version of the configuration in use, 0 without one."""
        return 0 if self.manifest is None else self.manifest.version

    def find_route(self, database: str) -> DatabaseRoute | None:
        """Return the route of a database."""
        return None if self.manifest is None else self.manifest.routes.get(database)

    def find_account_by_key(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to."""
        return self.find_account_by_key_hash(hash_key(key))

    def find_account_by_key_hash(self, key_hash: str) -> ClientAccount | None:
        """Return the client account that the key with a hash belongs to."""
        if self.manifest is None:
            return None
        return self.find_account(self.manifest.accounts_by_key.get(key_hash, ""))

    def find_account(self, name: str) -> ClientAccount | None:
        """Return a client account."""
        return None if self.manifest is None else self.manifest.accounts.get(name)

    def list_accounts(self) -> tuple[ClientAccount, ...]:
        """Return all client accounts."""
        return () if self.manifest is None else tuple(self.manifest.accounts.values())

    def find_primary(self, service: str) -> ServerEntry | None:
        """Return the server that is most probably the primary of a service."""
        return self.leadership.find_primary(service, self.servers)

    def accepts_new_work(self, server: ServerEntry) -> bool:
        """Tell whether new work may go to a server.

        A primary that is leaving or evacuated serves on for a grace time, until it is replaced.
        """
        now = self._clock.boottime()
        primary = self.find_primary(server.service)
        is_primary = primary is not None and primary.id == server.id
        if server.is_draining:
            since = self._draining_since.get(server.id, now)
            if not is_primary or now - since > self._leaving_grace_s:
                return False
        if self.is_evacuated(server):
            since = self._evacuated_since.get(server.failure_domain, now)
            return is_primary and now - since <= self._evacuation_grace_s
        return True

    def knows_all_servers(self) -> bool:
        """Tell whether servers are registered again whose registrations had lapsed or were lost.

        They had lapsed at the start, or the store lost them as it returned from an older copy.
        """
        since = max(self._registrations.synchronized_at, self._restored_at)
        return self._clock.boottime() - since >= REMOVAL_DELAY_S

    async def refresh_servers(self) -> None:
        """Read the registrations from the store itself; raise StoreUnavailable.

        The watch of them may be silent, so that the known ones are of any age.
        """
        await self._registrations.refresh()

    def note_restoration(self, era: int) -> None:
        """Record that the store returned from an older copy, if this era is the newest."""
        if era <= self.store_era:
            return
        self.store_era, self._restored_at = era, self._clock.boottime()
        self._notify_subscribers()

    def list_lapsed_servers(self, service: str) -> tuple[ServerEntry, ...]:
        """Return servers of a service that were removed lately, but were not leaving."""
        return self._departed.list_lapsed(service)

    def find_departed_server(self, server: str) -> ServerEntry | None:
        """Return the last entry of a server that was removed lately."""
        return self._departed.find(server)

    def missing_servers(self) -> frozenset[str]:
        """Return the servers whose registrations are missing, but may only have lapsed."""
        return frozenset(self._removal_timers)

    def is_evacuated(self, server: ServerEntry) -> bool:
        """Tell whether a server's failure domain is evacuated and accepts no new work."""
        return server.failure_domain in self.evacuated

    def _apply_manifests(self, batch: Records) -> None:
        for record in batch.records:
            manifest = record.value
            if not isinstance(manifest, Manifest):
                continue
            if self.manifest is not None and manifest.version <= self.manifest.version:
                if manifest.version < self.manifest.version:
                    log.warning(
                        "manifest_ignored",
                        version=manifest.version,
                        known=self.manifest.version,
                        revision=format_revision(record.revision),
                    )
                continue
            manifest = self._fit_limits(manifest)
            self._log_changed_limits(manifest)
            self.manifest = manifest
            log.info(
                "manifest_taken",
                version=manifest.version,
                revision=format_revision(record.revision),
                routes=len(manifest.routes),
                accounts=len(manifest.accounts),
            )
            self._notify_subscribers()

    def _fit_limits(self, manifest: Manifest) -> Manifest:
        window = self._limit_window
        if window is None:
            return manifest
        fitted = {name: fit_account(entry, window) for name, entry in manifest.accounts.items()}
        return replace(manifest, accounts=fitted)

    def _log_changed_limits(self, manifest: Manifest) -> None:
        for name, account in manifest.accounts.items():
            known = self.find_account(name)
            if known is None or (known.rate_per_s, known.burst) != (
                account.rate_per_s,
                account.burst,
            ):
                log.info(
                    "account_limit",
                    account=name,
                    rate_per_s=account.rate_per_s,
                    burst=account.burst,
                    manifest=manifest.version,
                )

    def _replace_servers(self, batch: Records) -> None:
        listed = {record.name for record in batch.records if record.value is not None}
        for server in list(self.servers.entries):
            if server not in listed:
                self._schedule_removal(server)
        self._apply_server_changes(batch)

    def _apply_server_changes(self, batch: Records) -> None:
        if batch.follows_restoration:
            self.note_restoration(find_era(batch.revision))
        for record in batch.records:
            if isinstance(record.value, ServerEntry):
                self._put_server(record.value)
            elif record.name in self.servers.entries:
                self._schedule_removal(record.name)
        if batch.records:
            self._notify_subscribers()

    def _put_server(self, entry: ServerEntry) -> None:
        timer = self._removal_timers.pop(entry.id, None)
        if timer is not None:
            timer.cancel()
        if self.servers.entries.get(entry.id) == entry:
            return
        known = self.servers.entries.get(entry.id) or self._departed.find(entry.id)
        if known is not None and entry.is_set_back_from(known):
            log.info(
                "server_entry_ignored",
                server=entry.id,
                draining=entry.is_draining,
                role=entry.role,
                sequence=entry.sequence,
                known_sequence=known.sequence,
                revision=format_revision(entry.revision),
            )
            return
        if known is not None and entry.repeats(known):
            # What the server claims is as old as before: a primary may have been replaced since.
            entry = replace(entry, revision=known.revision)
        self._departed.discard(entry.id)
        if entry.is_draining:
            self._draining_since.setdefault(entry.id, self._clock.boottime())
        else:
            self._draining_since.pop(entry.id, None)
        self.leadership.record_registration(entry, known)
        self.servers = self.servers.put(entry)
        log.info(
            "server_registered",
            server=entry.id,
            service=entry.service,
            domain=entry.failure_domain,
            role=entry.role,
            draining=entry.is_draining,
            revision=format_revision(entry.revision),
        )

    def _schedule_removal(self, server: str) -> None:
        """Remove a server; later if it was not draining, as its registration may have lapsed."""
        if self.servers.entries[server].is_draining:
            self._remove(server)
        elif server not in self._removal_timers:
            loop = asyncio.get_running_loop()
            self._removal_timers[server] = loop.call_later(REMOVAL_DELAY_S, self._remove, server)
            log.info("server_registration_missing", server=server)

    def _remove(self, server: str) -> None:
        self._removal_timers.pop(server, None)
        self._draining_since.pop(server, None)
        if server in self.servers.entries:
            self._departed.add(self.servers.entries[server])
            self.servers = self.servers.remove(server)
            log.info("server_removed", server=server)
            self._notify_subscribers()

    def _replace_evacuations(self, batch: Records) -> None:
        listed = frozenset(entry.name for entry in batch.records if _is_evacuation(entry))
        self._unconfirmed_evacuations -= listed
        if batch.follows_restoration:
            self._end_evacuations_later(self.evacuated - listed)
            listed |= self.evacuated
        self._set_evacuated(listed)

    def _apply_evacuation_changes(self, batch: Records) -> None:
        begun = {record.name for record in batch.records if _is_evacuation(record)}
        ended = {record.name for record in batch.records} - begun
        if batch.follows_restoration:
            self._end_evacuations_later(self.evacuated & ended)
            ended = set()
        self._unconfirmed_evacuations -= begun
        self._set_evacuated(self.evacuated - ended | begun)

    def _end_evacuations_later(self, missing: frozenset[str]) -> None:
        """End evacuations unless the operator, whose records a restoration lost, repeats them."""
        if not missing:
            return
        # An earlier restoration may have lost others, which the operator has not repeated yet.
        self._unconfirmed_evacuations |= missing
        log.info("evacuations_missing", domains=",".join(sorted(missing)))
        if self._evacuation_timer is not None:
            self._evacuation_timer.cancel()
        loop = asyncio.get_running_loop()
        self._evacuation_timer = loop.call_later(REMOVAL_DELAY_S, self._end_missing_evacuations)

    def _end_missing_evacuations(self) -> None:
        missing, self._unconfirmed_evacuations = self._unconfirmed_evacuations, frozenset()
        self._set_evacuated(self.evacuated - missing)

    def _set_evacuated(self, evacuated: frozenset[str]) -> None:
        if evacuated == self.evacuated:
            return
        log.info("evacuations_changed", domains=",".join(sorted(evacuated)) or "none")
        self.evacuated = evacuated
        now = self._clock.boottime()
        self._evacuated_since = {
            domain: self._evacuated_since.get(domain, now) for domain in evacuated
        }
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        for callback in self._callbacks:
            callback()


def _is_evacuation(record: Record) -> bool:
    return isinstance(record.value, Evacuation)
