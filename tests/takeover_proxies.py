"""Proxies of the model of takeovers: the product's services on the model's links."""

import asyncio
from collections.abc import Coroutine
from contextvars import ContextVar, copy_context
from random import Random
from typing import Any

from lentilring.catalog.fleet import FleetService
from lentilring.catalog.model import DatabaseService, Manifest
from lentilring.catalog.service import CatalogService
from lentilring.catalog.source import ProxyEntry, RecordKind
from lentilring.configuration.accounts import ClientAccount
from lentilring.gateways.dispatch import StatementDispatcher
from lentilring.gateways.messages import RunStatement, StatementKind
from lentilring.gateways.probing import PeerProber
from lentilring.gateways.sampling import PositionSampler
from lentilring.gateways.service import GatewayService
from lentilring.takeover.authority import PromotionAuthority
from lentilring.takeover.counting import CountedCopies
from lentilring.takeover.service import TakeoverService
from lentilring.telemetry.metrics import Telemetry

from .fakes import FakeNetwork, FakeTransport
from .takeover_links import ModelConnector, PromotionLink, StoreLink
from .takeover_world import DOMAINS, SERVICE, World
from .virtual_time import SuspensibleClock

ACCOUNT = ClientAccount(
    name="planner",
    rate_per_s=1000.0,
    burst=1000.0,
    max_staleness_s=None,
    services=(),
    open_routes=(),
    key_hashes=(),
)
MANIFEST = Manifest(
    version=1,
    routes={},
    services={SERVICE: DatabaseService(name=SERVICE, max_connections=16, synchronous_replicas=1)},
    accounts={ACCOUNT.name: ACCOUNT},
    account_regions={},
    accounts_by_key={},
    max_line_bytes=1_000_000,
    transaction_idle_s=3.0,
)
WRITE_TIMEOUT_S = 1.5
MIN_WRITE_PAUSE_S, MAX_WRITE_PAUSE_S = 0.05, 0.2
FREEZE_POLL_S = 0.02

_running_process: ContextVar["ModelProxy | None"] = ContextVar("running_process", default=None)


def track_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Let each proxy know its tasks, so that it can stop between any two steps."""

    def create(
        loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], **options: Any
    ) -> "asyncio.Task[Any]":
        task = asyncio.Task(work, loop=loop, **options)
        process = options.get("context", copy_context()).get(_running_process)
        if process is not None:
            process.tasks.add(task)
            task.add_done_callback(process.tasks.discard)
        return task

    loop.set_task_factory(create)


class PeerNetwork(FakeNetwork):
    """Connect proxies along the links of the world."""

    def __init__(self, *, world: World) -> None:
        super().__init__()
        self._world = world

    def can_reach(self, source: str, target: str) -> bool:
        is_open = target in self.transports and not self.transports[target].closed
        return is_open and self._world.reaches(source, target)


class ModelClock(SuspensibleClock):
    """Measure the loop's time for a process; it goes on while the process is frozen."""

    def __init__(self, *, world: World, vm: str) -> None:
        super().__init__()
        self._world, self._vm = world, vm

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while self._vm in self._world.dark:
            await asyncio.sleep(FREEZE_POLL_S)


class ModelProxy:
    """Run one process of a proxy, with a caller that writes."""

    def __init__(self, *, world: World, network: PeerNetwork, number: int, incarnation: int):
        self.vm = f"vm-{number}"
        self.tasks: set[asyncio.Task[Any]] = set()
        self._world, self._random = world, Random(world.random.random())
        self._incarnation = incarnation
        self._writes = 0
        self.telemetry = Telemetry()
        clock, source = ModelClock(world=world, vm=self.vm), StoreLink(world=world, vm=self.vm)
        local = ProxyEntry(
            vm=self.vm,
            # Links are known by the names of their ends.
            address=self.vm,
            failure_domain=DOMAINS[number],
            region="maroc",
            incarnation=incarnation,
            weight=1.0,
        )
        world.store.put_record(RecordKind.PROXIES, self.vm, local)
        shared: dict[str, Any] = {"clock": clock, "telemetry": self.telemetry}
        self._transport = FakeTransport(
            network=network, vm=self.vm, address=self.vm, incarnation=incarnation
        )
        self.catalog = CatalogService(
            source=source,
            random=self._random,
            max_age_s=60.0,
            configuration_delay_s=10.0,
            leaving_grace_s=5.0,
            evacuation_grace_s=7.0,
            **shared,
        )
        fleet = FleetService(local=local, source=source, random=self._random, **shared)
        authority = PromotionAuthority(
            store=source,  # type: ignore[arg-type]
            vm=self.vm,
            find_era=lambda: 0,
        )
        connector = ModelConnector(world=world, vm=self.vm)
        gateways = GatewayService(
            vm=self.vm,
            incarnation=incarnation,
            catalog=self.catalog,
            fleet=fleet,
            connector=connector,
            is_counted=CountedCopies(authority=authority, clock=clock).check,
            transport=self._transport,
            random=self._random,
            **shared,
        )
        prober = PeerProber(fleet=fleet, transport=self._transport, **shared)
        self._dispatcher = StatementDispatcher(
            fleet=fleet, gateways=gateways, prober=prober, **shared
        )
        sampler = PositionSampler(
            catalog=self.catalog, gateways=gateways, dispatcher=self._dispatcher, **shared
        )
        self.promotion = PromotionLink(world=world, vm=self.vm)
        self.takeover = TakeoverService(
            catalog=self.catalog,
            fleet=fleet,
            gateways=gateways,
            sampler=sampler,
            connector=connector,
            authority=authority,
            promotion=self.promotion,
            **shared,
        )
        self._services = [
            self.catalog,
            fleet,
            gateways,
            prober,
            self._dispatcher,
            sampler,
            self.takeover,
        ]

    def start(self) -> None:
        """Start the process."""
        context = copy_context()
        context.run(_running_process.set, self)
        context.run(asyncio.ensure_future, self._run())

    def kill(self) -> None:
        """Cancel all tasks of the process, as a stop does; their last calls still go out."""
        self._transport.closed = True
        for task in list(self.tasks):
            task.cancel()

    async def _run(self) -> None:
        for service in self._services:
            await service.start()
        while True:
            await asyncio.sleep(self._random.uniform(MIN_WRITE_PAUSE_S, MAX_WRITE_PAUSE_S))
            self._writes += 1
            write = self._write(f"{self.vm}.{self._incarnation}.{self._writes}")
            self.tasks.add(asyncio.ensure_future(write))

    async def _write(self, write: str) -> None:
        primary = self.catalog.find_primary(SERVICE)
        if primary is None:
            return
        request = RunStatement(
            request_id=write,
            server=primary.id,
            account=ACCOUNT.name,
            work=StatementKind.WRITE,
            text=write,
            patience_s=0.4,
            timeout_s=WRITE_TIMEOUT_S,
        )
        result = await self._dispatcher.run(primary, request)
        if not result.answer.failure:
            self._world.acknowledge(write)
