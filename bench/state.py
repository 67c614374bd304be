"""Measures memory and processor time of control at the design size: `python -m bench.state`.

The process imports and creates parts one after another and prints how much its resident memory
grew by each; then it times the work that control repeats. Nothing is sent, and no time passes.
"""

import asyncio
import gc
import importlib
import os
import time
from collections.abc import Callable
from random import Random
from typing import Any

NODES = 790
DATABASES = 1400
DATABASES_PER_SERVICE = 100
SERVERS_PER_DATABASE = 3
ACCOUNTS = 800
FAILURE_DOMAINS = 9
REGIONS = 3
SHARE_COUNTS = (8, 64, 512)

LIBRARIES = ("msgspec", "thriftpy2", "xxhash", "logbook")
# Configuration is checked by pydantic, the store is called through aiohttp; requests use neither.
CONTROL_LIBRARIES = ("pydantic", "pydantic.dataclasses", "aiohttp")
# The kernel's bus comes from CherryPy, whose package imports all of its HTTP framework.
KERNEL = ("lentilring.kernel",)
TELEMETRY = ("lentilring.telemetry.log", "lentilring.telemetry.metrics")
CONTROL = (
    "lentilring.peers.tcp",
    "lentilring.platform.client",
    "lentilring.database.client",
    "lentilring.membership.service",
    "lentilring.configuration.service",
    "lentilring.failover.service",
    "lentilring.limits.service",
)
REQUEST_PATH = (
    "lentilring.pool.service",
    "lentilring.routing.service",
    "lentilring.transactions.service",
    "lentilring.http.server",
    "lentilring.process",
)
BENCH = ("tests.deployment",)


def read_memory_mb() -> float:
    """Return the process's resident memory."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 2**20


class Stages:
    """Print how much memory each stage adds."""

    def __init__(self) -> None:
        self.total_mb = read_memory_mb()
        print(f"{'stage':<58} {'total MB':>9} {'added MB':>9}")
        print(f"{'interpreter with asyncio':<58} {self.total_mb:>9.1f} {self.total_mb:>9.1f}")

    def end(self, title: str) -> None:
        now_mb = read_memory_mb()
        print(f"{title:<58} {now_mb:>9.1f} {now_mb - self.total_mb:>9.1f}", flush=True)
        self.total_mb = now_mb


def measure_ms(work: Callable[[], Any], *, repeats: int = 5) -> float:
    """Return the least processor time of several runs."""
    times = []
    for _ in range(repeats):
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return 1000 * min(times)


def domain_of(index: int) -> tuple[str, str]:
    return f"fd-{index % FAILURE_DOMAINS}", f"region-{index % REGIONS}"


def make_service(number: int) -> dict[str, Any]:
    """Return a service's value with its databases."""
    databases = []
    for database in range(DATABASES_PER_SERVICE):
        servers = []
        for index in range(SERVERS_PER_DATABASE):
            domain, region = domain_of(database + index)
            servers.append(
                {
                    "name": f"service-{number}-db-{database}-{index}",
                    "address": f"10.{100 + number}.{database}.{index + 1}:5432",
                    "failure_domain": domain,
                    "region": region,
                    "slots": 2,
                    "connections": 15,
                }
            )
        databases.append({"name": f"db-{database}", "backend_servers": servers})
    routes = [{"name": "stock", "kind": "read", "repeatable": True, "max_staleness_s": 5}]
    return {"name": f"service-{number}", "databases": databases, "routes": routes}


def make_record() -> dict[str, Any]:
    return {
        "term": 5,
        "primary": "service-0-db-0-0",
        "state": "open",
        "term_starts": [{"term": term, "position": 10**6 * term} for term in range(1, 6)],
        "proposer": "vm-100",
        "change_id": "0123456789abcdef0123456789abcdef",
    }


class Objects:
    """Make stored objects with growing revisions, from JSON as they arrive."""

    def __init__(self) -> None:
        from lentilring.platform.store import StoredObject

        self._kind = StoredObject
        self.revision = 0

    def make(self, kind: str, name: str, value: dict[str, Any], version: int = 1) -> Any:
        import msgspec

        self.revision += 1
        return self._kind(
            kind=kind,
            name=name,
            version=version,
            revision=self.revision,
            value=msgspec.json.decode(msgspec.json.encode(value)),
        )


def build_kernel() -> Any:
    """Return a kernel with all decision services of one node, none of them started."""
    from lentilring.assembly import ProxyDependencies, ProxyIdentity, register_services
    from lentilring.clock import SystemClock
    from lentilring.kernel import Kernel
    from lentilring.membership.member import Member
    from lentilring.standin.objects import LocalStore, ObjectTable
    from lentilring.telemetry.metrics import Telemetry
    from tests.fakes import FakeNetwork, FakeTransport
    from tests.fakes_database import BackendNetwork, FakeBackends

    local = Member(
        vm="vm-0",
        address="10.0.0.1:7400",
        failure_domain="fd-0",
        region="region-0",
        incarnation=1,
    )
    kernel = Kernel()
    register_services(
        kernel,
        dependencies=ProxyDependencies(
            clock=SystemClock(),
            random=Random(1),
            telemetry=Telemetry(exported=True),
            store=LocalStore(table=ObjectTable()),
            transport=FakeTransport(
                network=FakeNetwork(), vm="vm-0", address="10.0.0.1:7400", incarnation=1
            ),
            backends=FakeBackends(network=BackendNetwork(), source="vm-0"),
        ),
        identity=ProxyIdentity(local=local),
    )
    return kernel


def add_members(kernel: Any) -> None:
    """Put the members of the design size into the node's table."""
    from lentilring.membership.member import Member
    from lentilring.membership.service import MembershipService
    from lentilring.membership.status import Status

    membership = kernel.find("membership", MembershipService)
    for index in range(1, NODES):
        domain, region = domain_of(index)
        member = Member(
            vm=f"vm-{index}",
            address=f"10.0.{index // 250}.{index % 250 + 1}:7400",
            failure_domain=domain,
            region=region,
            incarnation=1_800_000_000_000 + index,
        )
        membership._table.merge_table([member], spread=False)
        membership._statuses.merge(member.key, Status(revision=10**6, flips=0))
    assert len(membership.members()) == NODES


def time_work(kernel: Any, objects: Objects) -> None:
    """Print the processor time of each repeated piece of work."""
    from lentilring.configuration.service import ConfigurationService
    from lentilring.failover.assignment import SupervisorTable
    from lentilring.failover.service import GroupService
    from lentilring.limits.service import LimitService
    from lentilring.membership.service import MembershipService

    membership = kernel.find("membership", MembershipService)
    configuration = kernel.find("configuration", ConfigurationService)
    groups = kernel.find("groups", GroupService)
    limits = kernel.find("limits", LimitService)
    members = membership.members()

    def assign(present: Any) -> None:
        asyncio.run(groups._table.update(sorted(groups.groups()), present))

    def assign_anew() -> None:
        groups._table = SupervisorTable()
        assign(members)

    def lose_and_regain() -> None:
        assign(members[:400] + members[401:])
        assign(members)

    def rebuild_members() -> None:
        membership._members = None
        membership.members()

    def rank(count: int) -> None:
        limits.lease_manager._ranked_for = None
        limits.lease_manager._update_ranks(count)

    def regroup() -> None:
        groups._groups = None
        groups.groups()

    versions = iter(range(2, 100))

    def apply_service() -> None:
        version = next(versions)
        configuration.apply_local_changes(
            [objects.make("service", "service-0", make_service(0), version)]
        )

    def apply_record() -> None:
        version = next(versions)
        configuration.apply_local_changes(
            [objects.make("group", "service-0.db-0", make_record(), version)]
        )

    accounts = configuration.accounts()
    print()
    print(f"{'work':<58} {'ms of processor time':>21}")
    rows: list[tuple[str, Callable[[], Any]]] = [
        ("assign supervisors of all groups, at the start", assign_anew),
        ("assign supervisors, nothing changed (every 0.25 s)", lambda: assign(members)),
        ("assign supervisors, one member leaves, then joins", lose_and_regain),
        ("rebuild the list of members (after a change, at most 1/s)", rebuild_members),
        ("list the groups (after a change of a service)", regroup),
        ("apply a service of 100 databases", apply_service),
        ("apply a group record", apply_record),
        (
            f"follow {len(accounts)} accounts' limits (1/s)",
            lambda: limits.lender.update_accounts(accounts),
        ),
        ("list the accounts (1/s)", lambda: configuration.accounts()),
    ]
    rows += [
        (f"rank the contenders for {count} shares", lambda count=count: rank(count))
        for count in SHARE_COUNTS
    ]
    for title, work in rows:
        print(f"{title:<58} {measure_ms(work):>21.2f}", flush=True)


def main() -> None:
    stages = Stages()
    for title, modules in (
        ("import libraries that control and requests use", LIBRARIES),
        ("import OpenTelemetry and the log", TELEMETRY),
        ("import the kernel, and CherryPy with it", KERNEL),
        ("import libraries that only control uses", CONTROL_LIBRARIES),
        ("import control modules", CONTROL),
        ("import request path, HTTP server, rest of the process", REQUEST_PATH),
        ("import fakes of this script", BENCH),
    ):
        for module in modules:
            importlib.import_module(module)
        stages.end(title)
    import logbook
    import msgspec

    with logbook.NullHandler().applicationbound():
        kernel = build_kernel()
        stages.end("create all services of a node")
        add_members(kernel)
        stages.end(f"{NODES} members")
        from lentilring.configuration.service import ConfigurationService

        configuration = kernel.find("configuration", ConfigurationService)
        objects = Objects()
        services = [make_service(number) for number in range(DATABASES // DATABASES_PER_SERVICE)]
        size = len(msgspec.json.encode(services[0]))
        for value in services:
            configuration.apply_local_changes([objects.make("service", value["name"], value)])
        stages.end(f"{DATABASES} databases in {len(services)} services of {size} bytes")
        for value in services:
            for database in value["databases"]:
                name = f"{value['name']}.{database['name']}"
                configuration.apply_local_changes([objects.make("group", name, make_record())])
        stages.end(f"{DATABASES} group records with 5 terms each")
        template = {"name": "standard", "rate_per_s": 100, "burst": 50}
        configuration.apply_local_changes([objects.make("template", "standard", template)])
        for number in range(ACCOUNTS):
            account = {"name": f"account-{number}", "template": "standard"}
            account["key_hashes"] = [f"{number:064x}"]
            configuration.apply_local_changes(
                [objects.make("client-account", account["name"], account)]
            )
        stages.end(f"{ACCOUNTS} client accounts")
        time_work(kernel, objects)
        print()
        stages.end("all of the work above")


if __name__ == "__main__":
    main()
