"""The secret that all proxies of a deployment share, kept in the platform's store."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from .clock import Clock
from .kernel import Service
from .outcomes import JsonValue
from .platform.store import Kind, Store, StoredObject, StoreUnavailable, VersionConflict
from .tasks import start_task
from .telemetry.log import Log
from .telemetry.metrics import Telemetry

SECRET_NAME = "peers"
SECRET_BYTES = 32
SECRET_RETRY_S = 0.3
# A peer with another secret makes a proxy read the stored one at most this often.
CHECK_INTERVAL_S = 2.0

log = Log(source="process")


@dataclass(frozen=True, kw_only=True, order=True)
class PeerSecret:
    """Hold a secret; of two in use, all proxies take the lesser, that is the older one."""

    created_ms: int
    value: str


class SharedSecret(Service):
    """Write the secret again if the store lost it; take the older one if there are two.

    A store that returns from an older copy may lack the secret. A proxy that starts then creates
    another one.
    """

    def __init__(
        self,
        *,
        secret: PeerSecret,
        store: Store,
        clock: Clock,
        find_era: Callable[[], int],
        use: Callable[[str], None],
        telemetry: Telemetry,
    ) -> None:
        self._secret, self._store, self._clock = secret, store, clock
        self._find_era, self._use, self._telemetry = find_era, use, telemetry
        self._checked_era = 0
        self._is_doubted = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to check the secret when there is a reason."""
        self._checked_era = self._find_era()
        self._task = start_task("check_secret", self._run, telemetry=self._telemetry)

    async def stop(self) -> None:
        """End the checks."""
        if self._task is not None:
            self._task.cancel()

    def doubt(self) -> None:
        """Check the secret soon, because a peer has another one."""
        self._is_doubted = True

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            era = self._find_era()
            if era == self._checked_era and not self._is_doubted:
                continue
            try:
                await self._check()
            except StoreUnavailable as error:
                log.info("secret_unchecked", detail=error.detail)
                continue
            self._checked_era, self._is_doubted = era, False

    async def _check(self) -> None:
        stored = await self._store.get(Kind.SECRET, SECRET_NAME)
        found = None if stored is None else decode_secret(stored)
        if found is not None and found < self._secret:
            log.warning("secret_replaced", created_ms=found.created_ms)
            self._secret = found
            self._use(found.value)
        elif stored is None or found != self._secret:
            await self._write(0 if stored is None else stored.version)

    async def _write(self, expected_version: int) -> None:
        try:
            await self._store.put(
                Kind.SECRET,
                SECRET_NAME,
                encode_secret(self._secret),
                expected_version=expected_version,
            )
        except VersionConflict:
            raise StoreUnavailable(operation="secret", detail="written by another proxy") from None
        log.warning("secret_written_again", created_ms=self._secret.created_ms)


async def wait_for_secret(store: Store, stopping: asyncio.Event) -> PeerSecret | None:
    """Return the secret that all proxies share, or None as soon as the process is stopping."""
    loading = asyncio.ensure_future(_load_until_available(store))
    stop = asyncio.ensure_future(stopping.wait())
    try:
        await asyncio.wait({loading, stop}, return_when=asyncio.FIRST_COMPLETED)
        return None if stopping.is_set() else loading.result()
    finally:
        loading.cancel()
        stop.cancel()


async def _load_until_available(store: Store) -> PeerSecret:
    while True:
        try:
            return await load_secret(store)
        except StoreUnavailable as error:
            log.info("secret_unavailable", detail=error.detail)
            await asyncio.sleep(SECRET_RETRY_S)


async def load_secret(store: Store) -> PeerSecret:
    """Return the stored secret, created by the first proxy to start; raise StoreUnavailable."""
    stored = await store.get(Kind.SECRET, SECRET_NAME)
    if stored is None:
        created = PeerSecret(
            created_ms=time.time_ns() // 1_000_000,
            value=random.SystemRandom().randbytes(SECRET_BYTES).hex(),
        )
        try:
            stored = await store.put(
                Kind.SECRET, SECRET_NAME, encode_secret(created), expected_version=0
            )
        except VersionConflict as conflict:
            stored = conflict.current
    secret = None if stored is None else decode_secret(stored)
    if secret is None:
        raise StoreUnavailable(operation="secret", detail="the stored secret cannot be read")
    return secret


def encode_secret(secret: PeerSecret) -> dict[str, JsonValue]:
    """Return the stored form of a secret."""
    return {"secret": secret.value, "created-ms": secret.created_ms}


def decode_secret(stored: StoredObject) -> PeerSecret | None:
    """Return a stored secret, None if it cannot be read; without a time it is the oldest."""
    value = (stored.value or {}).get("secret")
    created_ms = (stored.value or {}).get("created-ms", 0)
    if not isinstance(value, str) or not isinstance(created_ms, int):
        return None
    return PeerSecret(created_ms=created_ms, value=value)
