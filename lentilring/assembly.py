"""Creates a proxy's services without HTTP and connects them; used by the process and tests."""

import random
from dataclasses import dataclass

from .clock import Clock
from .configuration.service import ConfigurationService
from .database.backend import BackendConnector
from .failover.service import GroupService
from .kernel import Kernel
from .limits.service import LimitService
from .membership.member import Member
from .membership.service import MembershipService
from .peers.transport import PeerTransport
from .platform.store import Store
from .pool.service import RequestGatewayService
from .routing.dispatch import Dispatcher
from .routing.service import RoutingService
from .telemetry.metrics import Telemetry
from .transactions.service import TransactionService


@dataclass(frozen=True, kw_only=True)
class ProxyDependencies:
    """Hold the external dependencies of a proxy's services: time, randomness, I/O and telemetry."""

    clock: Clock
    random: random.Random
    telemetry: Telemetry
    store: Store
    transport: PeerTransport
    backends: BackendConnector


@dataclass(frozen=True, kw_only=True)
class ProxyIdentity:
    """Hold the identity of a proxy process; `local.incarnation` grows with each start of its VM."""

    local: Member
    seeds: tuple[str, ...] = ()
    withdrawal_bound_s: float = 3.0
    lease_duration_s: float = 1800.0


def register_services(
    kernel: Kernel, *, dependencies: ProxyDependencies, identity: ProxyIdentity
) -> None:
    """Register the services and their dependencies under their names, in starting order."""
    deps = dependencies
    for name in ("clock", "random", "telemetry", "store", "transport", "backends"):
        kernel.register(name, getattr(deps, name))
    membership = MembershipService(
        local=identity.local,
        clock=deps.clock,
        random=deps.random,
        transport=deps.transport,
        store=deps.store,
        telemetry=deps.telemetry,
        seeds=identity.seeds,
    )
    kernel.register("membership", membership)
    configuration = ConfigurationService(
        membership=membership,
        clock=deps.clock,
        random=deps.random,
        transport=deps.transport,
        store=deps.store,
        telemetry=deps.telemetry,
        withdrawal_bound_s=identity.withdrawal_bound_s,
    )
    kernel.register("configuration", configuration)
    groups = GroupService(
        configuration=configuration,
        membership=membership,
        store=deps.store,
        backends=deps.backends,
        transport=deps.transport,
        clock=deps.clock,
        random=deps.random,
        telemetry=deps.telemetry,
    )
    kernel.register("groups", groups)
    limits = LimitService(
        clock=deps.clock,
        random=deps.random,
        store=deps.store,
        transport=deps.transport,
        telemetry=deps.telemetry,
        membership=membership,
        find_account=configuration.account,
        limit_settings=configuration.limit_settings,
        list_accounts=configuration.accounts,
        lease_duration_s=identity.lease_duration_s,
    )
    kernel.register("limits", limits)
    _register_request_path(kernel, deps, identity)


def _register_request_path(
    kernel: Kernel, deps: ProxyDependencies, identity: ProxyIdentity
) -> None:
    configuration = kernel.find("configuration", ConfigurationService)
    membership = kernel.find("membership", MembershipService)
    groups = kernel.find("groups", GroupService)
    gateway = RequestGatewayService(
        configuration=configuration,
        membership=membership,
        groups=groups,
        transport=deps.transport,
        connector=deps.backends,
        clock=deps.clock,
        random_source=deps.random,
        telemetry=deps.telemetry,
    )
    kernel.register("gateway", gateway)
    transactions = TransactionService(
        gateway=gateway,
        transport=deps.transport,
        clock=deps.clock,
        random_source=deps.random,
        incarnation=identity.local.incarnation,
        telemetry=deps.telemetry,
    )
    kernel.register("transactions", transactions)
    dispatcher = Dispatcher(
        membership=membership,
        gateway=gateway,
        transactions=transactions,
        transport=deps.transport,
        clock=deps.clock,
        telemetry=deps.telemetry,
    )
    routing = RoutingService(
        configuration=configuration,
        membership=membership,
        limits=kernel.find("limits", LimitService),
        groups=groups,
        dispatcher=dispatcher,
        clock=deps.clock,
        random_source=deps.random,
        telemetry=deps.telemetry,
    )
    kernel.register("routing", routing)
