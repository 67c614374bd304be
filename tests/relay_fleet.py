"""A fleet of catalogs on virtual time whose store can go silent for some of its proxies."""

import asyncio
from collections import Counter
from random import Random

from lentilring.catalog.model import Manifest
from lentilring.catalog.readers import order_readers
from lentilring.catalog.relay import RecordRelay
from lentilring.catalog.service import CatalogService
from lentilring.catalog.source import (
    Evacuation,
    ProxyEntry,
    Record,
    RecordKind,
    Records,
    RecordValue,
)
from lentilring.platform.objects import CALL_TIMEOUT_S
from lentilring.platform.store import StoreUnavailable
from lentilring.telemetry.metrics import Telemetry

from .fakes import FakeNetwork, FakeTransport
from .virtual_time import SuspensibleClock

STORE_DELAY_S = 0.004


def build_proxy(index: int, domain: str) -> ProxyEntry:
    return ProxyEntry(
        vm=f"vm-{index}",
        address=f"10.0.0.{index}:1",
        failure_domain=domain,
        region=domain.partition("-")[0],
        incarnation=1,
        weight=1.0,
    )


def build_manifest(version: int) -> Manifest:
    return Manifest(
        version=version,
        routes={},
        services={},
        accounts={},
        account_regions={},
        accounts_by_key={},
        max_line_bytes=1024,
        transaction_idle_s=3.0,
    )


class FakeStore:
    """Hold records and their changes; calls of VMs in `silent_vms` get no answer.

    Calls that are under way when a VM's silence begins are not answered later either.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.silent_vms: set[str] = set()
        self.silences: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self._records: dict[RecordKind, dict[str, Record]] = {kind: {} for kind in RecordKind}
        self._changed = asyncio.Event()

    def silence(self, vms: set[str]) -> None:
        """Answer no more calls of some VMs."""
        self.silent_vms |= vms
        self.silences.update(vms)

    def end_silences(self) -> None:
        """Answer further calls of all VMs."""
        self.silent_vms.clear()

    def put(self, kind: RecordKind, name: str, value: RecordValue, content: str) -> None:
        self.revision += 1
        record = Record(name=name, revision=self.revision, value=value, content=content.encode())
        self._records[kind][name] = record
        self._changed.set()
        self._changed = asyncio.Event()

    def put_manifest(self, version: int) -> None:
        self.put(RecordKind.MANIFEST, "main", build_manifest(version), str(version))

    def put_evacuation(self, domain: str) -> None:
        self.put(RecordKind.EVACUATIONS, domain, Evacuation(failure_domain=domain), "")

    def list_after(self, kind: RecordKind, revision: int) -> tuple[Record, ...]:
        return tuple(entry for entry in self._records[kind].values() if entry.revision > revision)

    async def wait_for_change(self, *, timeout_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return


class StorePath:
    """Implement EncodedRecordSource: the way of one VM to the store."""

    def __init__(self, *, store: FakeStore, vm: str) -> None:
        self._store, self._vm = store, vm

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        await self._begin_call(0.0)
        store = self._store
        return Records(records=store.list_after(kind, 0), revision=store.revision, is_complete=True)

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        store, loop = self._store, asyncio.get_running_loop()
        await self._begin_call(wait_s)
        arrived_at, silences = loop.time(), store.silences[self._vm]
        while not store.list_after(kind, after_revision) and loop.time() < arrived_at + wait_s:
            await store.wait_for_change(timeout_s=arrived_at + wait_s - loop.time())
        if store.silences[self._vm] > silences:
            await self._wait_in_vain(arrived_at + wait_s + CALL_TIMEOUT_S - loop.time())
        await asyncio.sleep(STORE_DELAY_S)
        return Records(records=store.list_after(kind, after_revision), revision=store.revision)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        return self._store.revision

    async def deregister(self, vm: str, *, revision: int) -> None:
        raise NotImplementedError

    def decode(self, kind: RecordKind, record: Record) -> Record:
        value: RecordValue = (
            build_manifest(int(record.content))
            if kind is RecordKind.MANIFEST
            else Evacuation(failure_domain=record.name)
        )
        return Record(
            name=record.name, revision=record.revision, value=value, content=record.content
        )

    async def _begin_call(self, wait_s: float) -> None:
        self._store.calls[self._vm] += 1
        await asyncio.sleep(STORE_DELAY_S)
        if self._vm in self._store.silent_vms:
            await self._wait_in_vain(wait_s + CALL_TIMEOUT_S)

    async def _wait_in_vain(self, timeout_s: float) -> None:
        await asyncio.sleep(timeout_s)
        raise StoreUnavailable(operation="call", detail="timed out")


class Register:
    """Implement ProxyRegister with a fixed set of proxies."""

    def __init__(self, local: ProxyEntry, entries: tuple[ProxyEntry, ...]) -> None:
        self.local, self._entries = local, entries
        self.is_synchronized = True
        self.suspects: set[str] = set()

    def members(self) -> tuple[ProxyEntry, ...]:
        return self._entries

    def find(self, vm: str) -> ProxyEntry | None:
        return next((entry for entry in self._entries if entry.vm == vm), None)

    def is_suspect(self, vm: str) -> bool:
        return vm in self.suspects


class RelayFleet:
    """Run a relay and a catalog for each proxy of a fleet."""

    def __init__(self, *, domains: tuple[str, ...], delay_s: float) -> None:
        self.store, self.network = FakeStore(), FakeNetwork(delay_s=0.012)
        self.entries = tuple(build_proxy(index, domain) for index, domain in enumerate(domains))
        self.relays: dict[str, RecordRelay] = {}
        self.catalogs: dict[str, CatalogService] = {}
        self.transports: dict[str, FakeTransport] = {}
        for index, entry in enumerate(self.entries):
            self._add(entry, delay_s=delay_s, seed=index)

    def _add(self, entry: ProxyEntry, *, delay_s: float, seed: int) -> None:
        transport = FakeTransport(network=self.network, vm=entry.vm, address=entry.address)
        relay = RecordRelay(
            source=StorePath(store=self.store, vm=entry.vm),
            transport=transport,  # type: ignore[arg-type]
            clock=SuspensibleClock(),
            random=Random(seed),
            telemetry=Telemetry(),
            configuration_delay_s=delay_s,
        )
        relay.proxies = Register(entry, self.entries)
        self.transports[entry.vm], self.relays[entry.vm] = transport, relay
        self.catalogs[entry.vm] = CatalogService(
            source=relay,
            clock=SuspensibleClock(),
            random=Random(seed),
            telemetry=Telemetry(),
            max_age_s=16.0,
            configuration_delay_s=delay_s,
            leaving_grace_s=5.0,
            evacuation_grace_s=3.0,
        )

    async def start(self) -> None:
        for relay in self.relays.values():
            await relay.start()
        for catalog in self.catalogs.values():
            await catalog.start()

    async def stop(self) -> None:
        for catalog in self.catalogs.values():
            await catalog.stop()
        for relay in self.relays.values():
            await relay.stop()

    def list_readers(self) -> list[ProxyEntry]:
        return [entry for entry in self.entries if self.relays[entry.vm].is_reader()]

    def list_followed(self, follower: ProxyEntry) -> list[ProxyEntry]:
        """Return the two readers that a proxy follows while all are well."""
        return list(order_readers(self.list_readers(), follower))[:2]

    def list_followers(self) -> list[ProxyEntry]:
        readers = self.list_readers()
        return [entry for entry in self.entries if entry not in readers]

    def list_late(self, version: int, *, apart_from: set[str]) -> list[str]:
        """Return the VMs with an older configuration."""
        return [
            vm
            for vm, catalog in self.catalogs.items()
            if catalog.version < version and vm not in apart_from
        ]

    def list_unaware(self, domain: str, *, apart_from: set[str]) -> list[str]:
        """Return the VMs that do not know of an evacuation."""
        return [
            vm
            for vm, catalog in self.catalogs.items()
            if domain not in catalog.evacuated and vm not in apart_from
        ]

    def pause(self, entry: ProxyEntry) -> None:
        """Let a proxy receive calls of peers without answering them."""
        self.transports[entry.vm].paused = asyncio.Event()
