"""Proxies that share three in-memory backend servers and one store; faults are set by the tests."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from lentilring.clock import LoopClock
from lentilring.configuration.models import BackendServer, Database, DrainState, ServiceDefinition
from lentilring.database.backend import BackendAnswerLost, BackendUnreachable, ConnectionRefused
from lentilring.database.messages import Action, StatementRequest, StatementStatus
from lentilring.failover.controls import ControlConnections
from lentilring.failover.group import Group, list_groups
from lentilring.failover.promotion import Promoter, PromotionStep
from lentilring.failover.record import GroupRecord, parse_record
from lentilring.failover.service import GroupService
from lentilring.outcomes import UncertaintyReason
from lentilring.platform.store import StoredObject
from lentilring.standin.database import DatabaseServer
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry

from .fakes import FakeNetwork, FakeTransport
from .fakes_database import BackendNetwork, FakeBackends

GROUP = "rental-core.stock"
DOMAINS = ("casa-a", "mrk-a", "fes-a")
ADDRESSES = tuple(f"10.1.0.{number}:5432" for number in (1, 2, 3))
NAMES = ("stock-1", "stock-2", "stock-3")
# Time that a configuration object takes from one proxy to the others.
PEER_DELAY_S = 0.005


@dataclass(frozen=True, kw_only=True)
class FakeMember:
    """Describe a proxy as another proxy's membership service knows it."""

    vm: str
    address: str
    failure_domain: str
    weight: float = 1.0
    state: str = "live"


class FakeMembership:
    """Return the members that a test has set in `known`."""

    def __init__(self, *, local: FakeMember, known: list[FakeMember]) -> None:
        self.local = local
        self.known = known

    def members(self) -> list[FakeMember]:
        return self.known


class FakeConfiguration:
    """Apply greater versions and pass them to the other proxies after a delay.

    While `isolated`, it neither passes on nor receives objects.
    """

    def __init__(self, *, peers: "list[FakeConfiguration]", service: ServiceDefinition) -> None:
        self.peers = peers
        self.service = service
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.isolated = False
        self.drained_domains: set[str] = set()
        self._callbacks: list[Callable[[StoredObject], None]] = []
        peers.append(self)

    def stored_object(self, kind: str, name: str) -> StoredObject | None:
        return self.objects.get((kind, name))

    def subscribe(self, callback: Callable[[StoredObject], None]) -> None:
        self._callbacks.append(callback)

    def services(self) -> tuple[ServiceDefinition, ...]:
        return (self.service,)

    def failure_domain_state(self, name: str) -> DrainState:
        return DrainState.DRAINED if name in self.drained_domains else DrainState.IN_SERVICE

    def apply_local_changes(self, objects: Iterable[StoredObject]) -> None:
        for stored in objects:
            self._apply(stored)
            if not self.isolated:
                for peer in self.peers:
                    asyncio.get_running_loop().call_later(PEER_DELAY_S, peer.receive, stored)

    def receive(self, stored: StoredObject) -> None:
        if not self.isolated:
            self._apply(stored)

    def notify(self, kind: str) -> None:
        """Call the subscribers as after a change of an object of a kind."""
        stored = StoredObject(kind=kind, name="x", version=1, revision=1, value=None)
        for callback in self._callbacks:
            callback(stored)

    def _apply(self, stored: StoredObject) -> None:
        known = self.objects.get((stored.kind, stored.name))
        if known is None or stored.version > known.version:
            self.objects[(stored.kind, stored.name)] = stored
            for callback in self._callbacks:
                callback(stored)


@dataclass(frozen=True, kw_only=True)
class WriteResult:
    """Hold a write that ran on a primary; `missing` is None if it was confirmed."""

    key: str
    term: int
    position: int
    missing: UncertaintyReason | None


class Proxy:
    """Run the failover service of one VM, connected to a cluster's fakes."""

    def __init__(self, cluster: "Cluster", number: int) -> None:
        member = cluster.members[number]
        self.vm = member.vm
        self.cluster = cluster
        self.store = LocalStore(table=cluster.table)
        self.configuration = FakeConfiguration(
            peers=cluster.configurations, service=cluster.service
        )
        self.membership = FakeMembership(local=member, known=list(cluster.members))
        self.telemetry = Telemetry()
        self.backends = FakeBackends(network=cluster.network, source=member.vm)
        self.transport = FakeTransport(network=cluster.peers, vm=member.vm, address=member.address)
        self.groups = GroupService(
            configuration=self.configuration,
            membership=self.membership,
            store=self.store,
            backends=self.backends,
            transport=self.transport,
            clock=LoopClock(),
            random=Random(number),
            telemetry=self.telemetry,
        )

    async def run_write(self, key: str) -> tuple[int, int] | None:
        """Run a write on the primary; return term and position, None if no answer reports them."""
        record = self.groups.find_record(GROUP)
        if record is None or not record.is_open:
            return None
        address = ADDRESSES[NAMES.index(record.primary)]
        request = StatementRequest(
            term=record.term,
            client_account="khaima",
            action=Action.WRITE,
            statement=f'{{"op": "put", "key": "{key}", "value": 1}}',
        )
        try:
            connection = await self.backends.connect(address, timeout_s=0.3)
            reply = await connection.execute(request, timeout_s=0.3)
        except (BackendUnreachable, BackendAnswerLost, ConnectionRefused):
            self.groups.suspect_primary(GROUP)
            return None
        connection.close()
        if reply.status is not StatementStatus.OK:
            return None
        return reply.term, reply.position

    async def write(self, key: str, *, needs_replica: bool = True) -> WriteResult | None:
        """Run a write and try to confirm it; return None if it was not reported as run."""
        result = await self.run_write(key)
        if result is None:
            return None
        term, position = result
        missing = await self.groups.confirm_write(
            GROUP, term=term, position=position, needs_replica=needs_replica, timeout_s=1.0
        )
        written = WriteResult(key=key, term=term, position=position, missing=missing)
        if missing is None:
            self.cluster.confirmed.append((written, needs_replica))
        return written


class Cluster:
    """Hold three proxies and one group, with a proxy and an instance in each failure domain."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.network = BackendNetwork()
        self.peers = FakeNetwork()
        self.configurations: list[FakeConfiguration] = []
        self.confirmed: list[tuple[WriteResult, bool]] = []
        self.service = make_service()
        self.group: Group = list_groups([self.service], lambda _: DrainState.IN_SERVICE)[GROUP]
        self.members = [
            FakeMember(vm=f"vm-{n}", address=f"10.0.0.{n}:7000", failure_domain=DOMAINS[n])
            for n in range(3)
        ]
        for name, address in zip(NAMES, ADDRESSES, strict=True):
            self.network.add(address, name=name)
        self.proxies = [Proxy(self, number) for number in range(3)]

    def server(self, name: str) -> DatabaseServer:
        return self.network.servers[ADDRESSES[NAMES.index(name)]]

    def address(self, name: str) -> str:
        return ADDRESSES[NAMES.index(name)]

    @property
    def stored(self) -> StoredObject | None:
        return self.table.get("group", GROUP)

    @property
    def record(self) -> GroupRecord:
        record = parse_record(self.stored)
        assert record is not None
        return record

    async def start(self, *, services: bool = True) -> None:
        """Start the servers and open term 1; without `services`, no proxy supervises."""
        for server in self.network.servers.values():
            await server.start()
        if not services:
            await self.promoter("vm-0").promote(self.group, None)
            await asyncio.sleep(0.1)
            return
        for proxy in self.proxies:
            await proxy.groups.start()
        await self.until(lambda: self.is_settled())

    def is_settled(self, *, after_term: int = 0) -> bool:
        """Tell whether every proxy knows an open term greater than `after_term`."""
        records = [proxy.groups.find_record(GROUP) for proxy in self.proxies]
        return all(r is not None and r.is_open and r.term > after_term for r in records)

    async def until(self, condition: Callable[[], bool], *, limit_s: float = 10.0) -> float:
        """Wait until a condition holds, and return the time that it took, in seconds."""
        start = asyncio.get_running_loop().time()
        while not condition():
            await asyncio.sleep(0.01)
            waited = asyncio.get_running_loop().time() - start
            assert waited < limit_s, f"not within {limit_s} s: record {self.stored}"
        return asyncio.get_running_loop().time() - start

    async def until_writable(self, proxy: Proxy, *, limit_s: float = 10.0) -> float:
        """Write until one write is confirmed, and return the time that it took, in seconds."""
        start = asyncio.get_running_loop().time()
        number = 0
        while True:
            number += 1
            written = await proxy.write(f"after-{start}-{number}")
            waited = asyncio.get_running_loop().time() - start
            if written is not None and written.missing is None:
                return waited
            assert waited < limit_s, f"no write within {limit_s} s: record {self.stored}"
            await asyncio.sleep(0.02)

    def supervisor(self) -> Proxy:
        """Return the proxy that supervises the group."""
        return next(proxy for proxy in self.proxies if proxy.groups.list_supervised())

    def non_supervisor(self) -> Proxy:
        """Return a proxy that does not supervise the group."""
        return next(proxy for proxy in self.proxies if not proxy.groups.list_supervised())

    def promoter(self, source: str, **options: Any) -> Promoter:
        """Return a promoter on its own connections; `source` is the VM that it runs on."""
        telemetry, clock = Telemetry(), LoopClock()
        backends = FakeBackends(network=self.network, source=source)
        return Promoter(
            store=options.pop("store", None) or LocalStore(table=self.table),
            controls=ControlConnections(backends=backends, clock=clock, telemetry=telemetry),
            clock=clock,
            random=Random(source),
            proposer=source,
            telemetry=telemetry,
            publish=lambda stored: self.configurations[0].apply_local_changes([stored]),
            **options,
        )

    def keys(self, name: str) -> set[str]:
        """Return the keys that an instance has stored."""
        return set(self.server(name).log.maps["khaima"])

    def find_lost(self) -> set[str]:
        """Return the keys that the primary lacks of writes confirmed with a replica."""
        confirmed = {written.key for written, needs_replica in self.confirmed if needs_replica}
        return confirmed - self.keys(self.record.primary)


def make_service() -> ServiceDefinition:
    servers = tuple(
        BackendServer(name=name, address=address, failure_domain=domain, region="maroc")
        for name, address, domain in zip(NAMES, ADDRESSES, DOMAINS, strict=True)
    )
    database = Database(name="stock", backend_servers=servers)
    return ServiceDefinition(name="rental-core", databases=(database,), routes=())


def drain_server(service: ServiceDefinition, name: str) -> ServiceDefinition:
    """Return a copy of a service in which one instance is drained."""
    database = service.databases[0]
    servers = tuple(
        replace(server, state=DrainState.DRAINED) if server.name == name else server
        for server in database.backend_servers
    )
    return replace(service, databases=(replace(database, backend_servers=servers),))


def stop_at(
    step: PromotionStep, resume: asyncio.Event | None = None
) -> Callable[[PromotionStep], Awaitable[None]]:
    """Return an `after_step` callback that waits after a step; without an event, for ever."""

    async def wait(finished: PromotionStep) -> None:
        if finished is step:
            await (resume or asyncio.Event()).wait()

    return wait
