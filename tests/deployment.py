"""A deployment of a few proxies for tests: real services over fakes, on virtual time."""

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import Any

from lentilring.assembly import ProxyDependencies, ProxyIdentity, register_services
from lentilring.clock import LoopClock
from lentilring.configuration.models import hash_key
from lentilring.failover.service import GroupService
from lentilring.kernel import Kernel
from lentilring.membership.member import Member
from lentilring.outcomes import Completed, JsonValue, Outcome
from lentilring.platform.store import Kind, VmEntry
from lentilring.routing.request import CallerRequest
from lentilring.routing.service import RoutingService
from lentilring.routing.sessions import encode_token
from lentilring.standin.database import ServerSettings
from lentilring.standin.objects import LocalStore, ObjectTable
from lentilring.telemetry.metrics import Telemetry
from lentilring.transactions.messages import Step

from .fakes import FakeNetwork, FakeTransport
from .fakes_database import BackendNetwork, FakeBackends

DOMAINS = ("casa-a", "mrk-a", "fes-a")
SERVICE = "rental-core"
DATABASE = "tents"
GROUP = f"{SERVICE}.{DATABASE}"
ACCOUNTS = ("atlas", "medina")


@dataclass(kw_only=True)
class Proxy:
    """Hold a proxy's kernel, and the fakes through which tests inject faults."""

    vm: str
    kernel: Kernel
    transport: FakeTransport
    store: LocalStore

    @property
    def routing(self) -> RoutingService:
        return self.kernel.find("routing", RoutingService)


@dataclass(kw_only=True)
class Deployment:
    """Hold the proxies and fakes of a test."""

    proxies: dict[str, Proxy] = field(default_factory=dict)
    network: FakeNetwork = field(default_factory=FakeNetwork)
    backends: BackendNetwork = field(default_factory=BackendNetwork)
    table: ObjectTable = field(default_factory=ObjectTable)
    seed: int = 1
    request_count: int = 0

    def put(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Write a configuration object, as an operator does."""
        current = self.table.get(kind, name)
        self.table.put(kind, name, value, current.version if current else 0)

    def change(self, kind: str, name: str, **values: Any) -> None:
        """Change some fields of a configuration object."""
        current = self.table.get(kind, name)
        assert current is not None and current.value is not None
        self.put(kind, name, {**current.value, **values})

    async def start(self, *, proxies: int = 3, settings: ServerSettings | None = None) -> None:
        """Start the backend servers and proxies, and wait for a primary."""
        for index in range(len(DOMAINS)):
            server_settings = replace(settings) if settings else None
            await self.backends.add(server_address(index), settings=server_settings, term=0).start()
        self._configure()
        for index in range(proxies):
            await self.add_proxy(index)
        await self.wait_for_primary()

    async def add_proxy(
        self, index: int, *, incarnation: int = 1, store_down: bool = False
    ) -> Proxy:
        """Start the proxy `vm-{index}`."""
        vm = f"vm-{index}"
        domain = DOMAINS[index % len(DOMAINS)]
        address = f"10.0.0.{index + 1}:7400"
        local = Member(
            vm=vm,
            address=address,
            failure_domain=domain,
            region=domain.split("-")[0],
            incarnation=incarnation,
        )
        self.table.vms[vm] = VmEntry(
            name=vm, address=address, failure_domain=domain, region=local.region
        )
        proxy = Proxy(
            vm=vm,
            kernel=Kernel(),
            transport=FakeTransport(
                network=self.network, vm=vm, address=address, incarnation=incarnation
            ),
            store=LocalStore(table=self.table),
        )
        register_services(
            proxy.kernel,
            dependencies=ProxyDependencies(
                clock=LoopClock(),
                random=random.Random(f"{self.seed}/{vm}/{incarnation}"),
                telemetry=Telemetry(),
                store=proxy.store,
                transport=proxy.transport,
                backends=FakeBackends(network=self.backends, source=vm),
            ),
            identity=ProxyIdentity(local=local, seeds=self._seeds()),
        )
        self.proxies[vm] = proxy
        proxy.store.down = store_down
        await proxy.kernel.start()
        return proxy

    def _seeds(self) -> tuple[str, ...]:
        return tuple(proxy.transport.address for proxy in self.proxies.values())

    async def kill_proxy(self, vm: str) -> None:
        """Kill a proxy: its connections to backend servers are closed and it answers no peer."""
        proxy = self.proxies.pop(vm)
        proxy.transport.closed = True
        await proxy.kernel.stop()
        for server in self.backends.servers.values():
            for session in [s for s in server.sessions if s.client == vm]:
                session.close()

    async def wait_for_primary(self, *, after_term: int = 0, timeout_s: float = 30.0) -> str:
        """Wait until all proxies have an open group record of a later term; return the primary."""
        async with asyncio.timeout(timeout_s):
            while True:
                records = [
                    proxy.kernel.find("groups", GroupService).find_record(GROUP)
                    for proxy in self.proxies.values()
                ]
                if all(r is not None and r.is_open and r.term > after_term for r in records):
                    assert records[0] is not None
                    return records[0].primary
                await asyncio.sleep(0.05)

    @property
    def primary(self) -> str:
        """Return the primary's name from the store."""
        stored = self.table.get(Kind.GROUP, GROUP)
        assert stored is not None and stored.value is not None
        return str(stored.value["primary"])

    @property
    def term(self) -> int:
        """Return the group's term from the store."""
        stored = self.table.get(Kind.GROUP, GROUP)
        assert stored is not None and stored.value is not None
        return int(str(stored.value["term"]))

    @property
    def primary_address(self) -> str:
        """Return the primary's address."""
        return server_address(int(self.primary.removeprefix("db-")))

    async def request(
        self,
        vm: str,
        route: str,
        statement: JsonValue = None,
        *,
        account: str = "atlas",
        timeout_s: float = 5.0,
        **values: Any,
    ) -> Outcome:
        """Send a caller's request to a proxy."""
        self.request_count += 1
        values.setdefault("key", f"key-of-{account}")
        request = CallerRequest(
            request_id=f"r{self.request_count}",
            service=SERVICE,
            database=DATABASE,
            timeout_s=timeout_s,
            route=route,
            statement=statement,
            **values,
        )
        return await self.proxies[vm].routing.handle(request)

    async def step(self, vm: str, step: Step, transaction_id: str = "", **values: Any) -> Outcome:
        """Run a transaction step through a proxy."""
        return await self.request(vm, "", step=step, transaction_id=transaction_id, **values)

    def journal(self) -> list[Any]:
        """Return the statements that the backend servers executed."""
        return [entry for s in self.backends.servers.values() for entry in s.journal.executed]

    def _configure(self) -> None:
        self.put(
            Kind.SERVICE,
            SERVICE,
            {
                "name": SERVICE,
                "databases": [
                    {
                        "name": DATABASE,
                        "backend_servers": [
                            {
                                "name": f"db-{index}",
                                "address": server_address(index),
                                "failure_domain": domain,
                                "region": domain.split("-")[0],
                            }
                            for index, domain in enumerate(DOMAINS)
                        ],
                    }
                ],
                "routes": [
                    {"name": "stock", "kind": "read", "repeatable": True, "max_staleness_s": 5},
                    {"name": "stock-now", "kind": "read", "repeatable": True},
                    {"name": "book", "kind": "write"},
                    {"name": "note", "kind": "write", "repeatable": True},
                    {"name": "transactions", "kind": "transaction"},
                ],
            },
        )
        self.put(
            Kind.TEMPLATE,
            "standard",
            {"name": "standard", "rate_per_s": 100, "burst": 50, "max_staleness_s": 5},
        )
        for account in ACCOUNTS:
            self.put(
                Kind.CLIENT_ACCOUNT,
                account,
                {
                    "name": account,
                    "template": "standard",
                    "key_hashes": [hash_key(f"key-of-{account}")],
                },
            )
        self.put(
            Kind.CLIENT_ACCOUNT,
            "public",
            {
                "name": "public",
                "template": "standard",
                "open_routes": [f"{SERVICE}/stock"],
            },
        )


def server_address(index: int) -> str:
    """Return the address of a backend server."""
    return f"10.0.1.{index + 1}:5000"


def encode_session(outcome: Outcome) -> str:
    """Return the session token of a completed request."""
    assert isinstance(outcome, Completed) and outcome.position is not None, outcome
    return encode_token(outcome.position)
