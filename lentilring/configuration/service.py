"""Configuration service: the configuration in force on the local node and its freshness."""

from collections.abc import Callable, Iterable
from random import Random
from typing import cast

from ..clock import Clock
from ..kernel import Service
from ..membership.service import MembershipService
from ..peers.transport import PeerTransport
from ..platform.store import Kind, Store, StoredObject
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from . import models
from .distribution import Distributor
from .freshness import Freshness
from .models import ClientAccount, DrainState, LimitSettings, hash_key
from .parsing import ConfigurationRegistry

WITHDRAWAL_BOUND_S = 3.0
LIMIT_SETTINGS_NAME = "limit-settings"

log = Log(source="configuration")


class ConfigurationService(Service):
    """Provide the configuration from the local copy."""

    def __init__(
        self,
        *,
        membership: MembershipService,
        clock: Clock,
        random: Random,
        transport: PeerTransport,
        store: Store,
        telemetry: Telemetry,
        withdrawal_bound_s: float = WITHDRAWAL_BOUND_S,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._telemetry = telemetry
        self._withdrawal_bound_s = withdrawal_bound_s
        self._registry = ConfigurationRegistry(telemetry=telemetry)
        self._freshness = Freshness()
        self._distributor = Distributor(
            registry=self._registry,
            freshness=self._freshness,
            apply=self._apply,
            membership=membership,
            clock=clock,
            random=random,
            transport=transport,
            store=store,
            telemetry=telemetry,
        )
        self._callbacks: list[Callable[[StoredObject], None]] = []

    @property
    def revision(self) -> int:
        """Return the revision up to which the local node has all changes."""
        return self._freshness.revision

    @property
    def change_count(self) -> int:
        """Return how many object versions were applied; callers compare it to expire caches."""
        return self._registry.change_count

    async def start(self) -> None:
        """Load the configuration and start following its changes."""
        await self._distributor.start()

    async def stop(self) -> None:
        """Cancel all background tasks."""
        self._distributor.stop()

    def find_account_by_key(self, key: str) -> ClientAccount | None:
        """Return the client account that a caller's API key belongs to."""
        return self.find_account_by_key_hash(hash_key(key))

    def find_account_by_key_hash(self, key_hash: str) -> ClientAccount | None:
        """Return the client account that the key with a hash belongs to."""
        return self._registry.find_account_by_key_hash(key_hash)

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account, or None if it or its template is missing."""
        return self._registry.account(name)

    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return all client accounts in force."""
        return self._registry.accounts()

    def service(self, name: str) -> models.ServiceDefinition | None:
        """Return a service."""
        return cast(models.ServiceDefinition | None, self._registry.model(Kind.SERVICE, name))

    def services(self) -> tuple[models.ServiceDefinition, ...]:
        """Return all services."""
        return cast(tuple[models.ServiceDefinition, ...], self._registry.models(Kind.SERVICE))

    def failure_domain_state(self, name: str) -> DrainState:
        """Return the state that operators set for a failure domain; in service by default."""
        domain = self._registry.model(Kind.FAILURE_DOMAIN, name)
        return DrainState.IN_SERVICE if domain is None else cast(models.FailureDomain, domain).state

    def limit_settings(self) -> LimitSettings:
        """Return the settings of the rate limits, or the defaults if none are stored."""
        settings = self._registry.model(Kind.LIMIT_SETTINGS, LIMIT_SETTINGS_NAME)
        return cast(LimitSettings, settings or LimitSettings())

    def stored_object(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest known version of an object; a deleted object has the value None."""
        return self._registry.stored_object(kind, name)

    def is_fresh(self) -> bool:
        """Tell whether the local node has all changes that are older than the withdrawal bound.

        During an outage of the store there are no changes, but a majority of members must report
        the outage. A node that receives nothing from its peers cannot know whether it continues.
        """
        now = self._clock.monotonic()
        if now - self._freshness.fresh_as_of <= self._withdrawal_bound_s:
            return True
        if now - self._distributor.last_heard_at > self._withdrawal_bound_s:
            return False
        has_everything = self.revision > 0 and not self._distributor.is_behind()
        return has_everything and self._membership.store_is_down()

    def apply_local_changes(self, objects: Iterable[StoredObject]) -> None:
        """Apply changes that the local node made in the store, and announce them."""
        head = self._registry.head
        self._apply(objects)
        if self._registry.head > head:
            self._distributor.push()

    def split_vms_by_confirmation(self, revision: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the VMs that have confirmed a revision and those that have not."""
        confirmed: list[str] = []
        missing: list[str] = []
        for member in self._membership.known_members():
            has_revision = member.is_running and self._membership.revision_of(member) >= revision
            (confirmed if has_revision else missing).append(member.vm)
        return tuple(sorted(confirmed)), tuple(sorted(missing))

    def subscribe(self, callback: Callable[[StoredObject], None]) -> None:
        """Call `callback` with each applied version of an object."""
        self._callbacks.append(callback)

    def _apply(self, objects: Iterable[StoredObject]) -> None:
        for changed in objects:
            if not self._registry.apply(changed):
                continue
            log.info(
                "object_changed",
                kind=changed.kind,
                name=changed.name,
                version=changed.version,
                revision=changed.revision,
                deleted=changed.value is None,
            )
            self._notify(changed)

    def _notify(self, changed: StoredObject) -> None:
        """Call the subscribers; a failure in one must not prevent the others from being called."""
        for callback in self._callbacks:
            try:
                callback(changed)
            except Exception as error:
                self._telemetry.count("configuration_callback_failures")
                log.error(
                    "callback_failed", kind=changed.kind, name=changed.name, error=repr(error)
                )
