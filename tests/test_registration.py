"""Registration of a proxy in the store: conflicts with other writers, and a stop meanwhile."""

import asyncio
import random
from dataclasses import replace
from typing import Any

from testtools import TestCase

from lentilring.catalog.fleet import FleetService
from lentilring.catalog.source import ProxyEntry, RecordKind, Records
from lentilring.platform.objects import ObjectConflict, PlatformObject
from lentilring.platform.records import PlatformRecords
from lentilring.telemetry.metrics import Telemetry

from .virtual_time import SuspensibleClock, run_virtual

ENTRY = ProxyEntry(
    vm="vm-0",
    address="127.0.0.1:1",
    failure_domain="casa-a",
    region="casablanca",
    incarnation=2,
    weight=1.0,
)
CALL_S = 0.1


class ContestedObjects:
    """Hold the one object that another process of the VM changes `changes` times as well."""

    def __init__(self, *, changes: int) -> None:
        self.changes = changes
        self.revision = 1
        self.spec: Any = None

    async def create(self, kind: str, name: str, spec: Any) -> PlatformObject:
        raise ObjectConflict(self._read(name))

    async def replace(self, kind: str, name: str, spec: Any, *, revision: int) -> PlatformObject:
        await asyncio.sleep(CALL_S)
        if self.changes:
            self.changes -= 1
            self.revision += 1
        if revision != self.revision:
            raise ObjectConflict(self._read(name))
        self.revision += 1
        self.spec = spec
        return self._read(name)

    async def get(self, kind: str, name: str) -> PlatformObject:
        return self._read(name)

    def _read(self, name: str) -> PlatformObject:
        return PlatformObject(name=name, revision=self.revision, spec=self.spec)


class SlowSource:
    """Take longer for the first registration than for the others."""

    def __init__(self) -> None:
        self.stored: ProxyEntry | None = None
        self._delays_s = [10 * CALL_S]

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        return Records(records=(), revision=1, is_complete=True)

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        await asyncio.sleep(wait_s)
        return Records(records=(), revision=after_revision)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        await asyncio.sleep(self._delays_s.pop() if self._delays_s else CALL_S)
        self.stored = entry
        return 1

    async def deregister(self, vm: str, *, revision: int) -> None:
        raise NotImplementedError


def build_fleet(source: Any) -> FleetService:
    return FleetService(
        local=ENTRY,
        source=source,
        clock=SuspensibleClock(),
        random=random.Random(1),
        telemetry=Telemetry(),
    )


class RegistrationTest(TestCase):
    def test_leaving_proxy_is_registered_as_such_although_others_change_its_entry(self) -> None:
        """Guards against a stopping proxy that goes on being chosen as a gateway."""
        objects = ContestedObjects(changes=3)

        async def scenario() -> None:
            fleet = build_fleet(PlatformRecords(objects=objects))  # type: ignore[arg-type]
            fleet.leave()
            await asyncio.sleep(5.0)
            await fleet.stop()

        run_virtual(scenario())
        self.assertEqual(True, objects.spec["leaving"])

    def test_proxy_that_leaves_during_its_first_registration_ends_as_leaving(self) -> None:
        """Guards against a slow registration that overwrites the one of the stop."""
        source = SlowSource()

        async def scenario() -> None:
            fleet = build_fleet(source)
            await fleet.start()
            await asyncio.sleep(CALL_S)
            fleet.leave()
            await asyncio.sleep(5.0)
            await fleet.stop()

        run_virtual(scenario())
        self.assertEqual(replace(ENTRY, is_leaving=True), source.stored)
