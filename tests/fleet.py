"""A fleet of in-memory nodes that run membership and configuration, for virtual time."""

import asyncio
from collections.abc import Callable
from random import Random

from lentilring.configuration.service import ConfigurationService
from lentilring.membership.member import Member
from lentilring.membership.service import MembershipService
from lentilring.platform.store import VmEntry, VmState
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry

from .fakes import AdjustableClock, FakeNetwork, FakeTransport


class FleetNode:
    def __init__(self, fleet: "Fleet", index: int, incarnation: int) -> None:
        self.vm = f"vm-{index}"
        self.address = f"10.0.{index // 250}.{index % 250 + 1}:7000"
        self.clock = AdjustableClock()
        self.telemetry = Telemetry()
        self.store = LocalStore(table=fleet.table)
        self.transport = FakeTransport(
            network=fleet.network, vm=self.vm, address=self.address, incarnation=incarnation
        )
        self.local = Member(
            vm=self.vm,
            address=self.address,
            failure_domain=f"fd-{index % 9}",
            region=f"region-{index % 3}",
            incarnation=incarnation,
        )
        dependencies = {
            "clock": self.clock,
            "transport": self.transport,
            "store": self.store,
            "telemetry": self.telemetry,
        }
        self.membership = MembershipService(
            local=self.local, random=Random(index), seeds=fleet.seeds, **dependencies
        )
        self.configuration = ConfigurationService(
            membership=self.membership, random=Random(index + 10_000), **dependencies
        )

    def entry(self, state: VmState = VmState.LIVE) -> VmEntry:
        return VmEntry(
            name=self.vm,
            address=self.address,
            failure_domain=self.local.failure_domain,
            region=self.local.region,
            state=state,
        )

    def usable_vms(self) -> set[str]:
        return {entry.vm for entry in self.membership.members()}

    async def start(self) -> None:
        await self.membership.start()
        await self.configuration.start()

    async def stop(self) -> None:
        await self.configuration.stop()
        await self.membership.stop()

    async def kill(self) -> None:
        self.transport.closed = True
        await self.stop()


class Fleet:
    def __init__(self, size: int, *, table: ObjectTable | None = None) -> None:
        self.table = table or ObjectTable()
        self.network = FakeNetwork()
        self.seeds: tuple[str, ...] = ()
        self.nodes = [self.add(index) for index in range(size)]

    def add(self, index: int, *, incarnation: int = 1, listed: bool = True) -> FleetNode:
        node = FleetNode(self, index, incarnation)
        if listed:
            self.table.vms[node.vm] = node.entry()
        return node

    async def start(self, *, settle_s: float = 3.0) -> None:
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.sleep(settle_s)

    def set_store_down(self, down: bool) -> None:
        for node in self.nodes:
            node.store.down = down

    def split(self, left: list[FleetNode], right: list[FleetNode]) -> None:
        for node in left:
            for other in right:
                self.network.cut_links |= {
                    (node.address, other.address),
                    (other.address, node.address),
                }


async def wait_until(condition: Callable[[], bool], *, limit_s: float) -> float:
    """Return the virtual seconds until a condition holds; fail after `limit_s`."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not condition():
        assert loop.time() - start <= limit_s, f"condition does not hold after {limit_s} s"
        await asyncio.sleep(0.01)
    return loop.time() - start
