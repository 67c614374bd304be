"""The proxy process: builds its services from the settings and runs them until SIGTERM."""

import asyncio
import random
import signal
import time

from .assembly import ProxyDependencies, ProxyIdentity, register_services
from .byte_budget import ByteBudget
from .clock import SystemClock
from .configuration.models import DrainState
from .configuration.service import ConfigurationService
from .database.client import TcpBackendConnector
from .http.admin import AdminInterface
from .http.callers import CallerInterface
from .http.client_limits import HttpClientLimits
from .http.readiness import LEAVING_GRACE_S, Readiness
from .http.server import HttpServer
from .kernel import Kernel
from .membership.member import Member
from .membership.service import MembershipService
from .peers.tcp import TcpTransport
from .platform.client import HttpStore
from .pool.service import RequestGatewayService
from .routing.service import RoutingService
from .settings import ProxySettings
from .status import add_route_view, add_status_views
from .telemetry.log import Log
from .telemetry.metrics import Telemetry
from .transactions.service import TransactionService

ADMIN_THREADS = 4
# Operators' tools connect for each command.
ADMIN_CONNECTIONS = 100
STORE_TIMEOUT_S = 3.0

log = Log(source="process")


async def run_proxy(settings: ProxySettings) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_request)
    kernel = Kernel()
    # Each start of a VM gets a greater incarnation, as long as its clock does not run backwards.
    incarnation = time.time_ns() // 1_000_000
    readiness = build_proxy(kernel, settings, incarnation)
    await kernel.start()
    log.info("proxy_started", vm=settings.vm, incarnation=incarnation, http=settings.http_address)
    await stopping.wait()
    await _shut_down(kernel, readiness, settings)


def build_proxy(kernel: Kernel, settings: ProxySettings, incarnation: int) -> Readiness:
    """Register all services of a proxy; return the readiness check."""
    clock = SystemClock()
    telemetry = Telemetry(exported=True)
    register_services(
        kernel,
        dependencies=ProxyDependencies(
            clock=clock,
            random=random.Random(),
            telemetry=telemetry,
            store=HttpStore(
                address=settings.platform_address,
                call_timeout_s=STORE_TIMEOUT_S,
                telemetry=telemetry,
            ),
            transport=TcpTransport(
                vm=settings.vm,
                incarnation=incarnation,
                address=settings.peer_address,
                deployment=settings.deployment,
                secret=settings.secret.encode(),
                telemetry=telemetry,
                budget=ByteBudget(limit_bytes=settings.connection_bytes),
            ),
            backends=TcpBackendConnector(client=settings.vm, telemetry=telemetry),
        ),
        identity=_build_identity(settings, incarnation),
    )
    readiness = _build_readiness(kernel, settings)
    _register_http(kernel, settings, readiness)
    return readiness


def _build_identity(settings: ProxySettings, incarnation: int) -> ProxyIdentity:
    return ProxyIdentity(
        local=Member(
            vm=settings.vm,
            address=settings.peer_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=incarnation,
        ),
        seeds=tuple(seed for seed in settings.seeds.split(",") if seed),
        withdrawal_bound_s=settings.withdrawal_bound_s,
        lease_duration_s=settings.lease_duration_s,
    )


def _build_readiness(kernel: Kernel, settings: ProxySettings) -> Readiness:
    configuration = kernel.find("configuration", ConfigurationService)
    readiness = Readiness(clock=SystemClock())
    readiness.add_unready_condition("no_configuration", lambda: not configuration.services())
    readiness.add_unready_condition("configuration_stale", lambda: not configuration.is_fresh())
    readiness.set_drain_check(
        lambda: configuration.failure_domain_state(settings.failure_domain) is DrainState.DRAINED
    )
    return readiness


def _register_http(kernel: Kernel, settings: ProxySettings, readiness: Readiness) -> None:
    telemetry = kernel.find("telemetry", Telemetry)
    callers = CallerInterface(
        routing=kernel.find("routing", RoutingService),
        readiness=readiness,
        telemetry=telemetry,
        default_deadline_s=settings.default_deadline_s,
    )
    admin = AdminInterface(token=settings.admin_token)
    add_status_views(admin, kernel)
    add_route_view(admin, kernel, readiness.refuse_request)
    admin_host, admin_port = _split_address(settings.admin_address)
    kernel.register(
        "admin",
        HttpServer(
            kernel=kernel,
            host=admin_host,
            port=admin_port,
            handle=admin.handle,
            threads=ADMIN_THREADS,
            max_body_bytes=settings.max_body_bytes,
            body_timeout_s=settings.body_timeout_s,
            clock=SystemClock(),
            limits=HttpClientLimits(max_connections=ADMIN_CONNECTIONS),
            telemetry=telemetry,
        ),
    )
    host, port = _split_address(settings.http_address)
    kernel.register(
        "http",
        HttpServer(
            kernel=kernel,
            host=host,
            port=port,
            handle=callers.handle,
            threads=settings.http_threads,
            max_body_bytes=settings.max_body_bytes,
            body_timeout_s=settings.body_timeout_s,
            clock=SystemClock(),
            limits=HttpClientLimits(
                max_connections=settings.max_connections,
                head_timeout_s=settings.head_timeout_s,
                answer_timeout_s=settings.answer_timeout_s,
                room_thread_s=settings.room_thread_s,
            ),
            telemetry=telemetry,
        ),
    )


def _log_reload_request() -> None:
    log.info("settings_changed", detail="settings are read at start only")


async def _shut_down(kernel: Kernel, readiness: Readiness, settings: ProxySettings) -> None:
    """Report not ready, let peers choose other gateways, finish running requests, then stop."""
    log.info("shutdown_started", vm=settings.vm)
    grace_s = min(LEAVING_GRACE_S, settings.drain_timeout_s)
    readiness.begin_shutdown(grace_s=grace_s)
    kernel.find("membership", MembershipService).leave()
    # Requests on open connections are still served until the load balancer stops sending new ones.
    await asyncio.sleep(grace_s)
    await kernel.drain(deadline_s=settings.drain_timeout_s)
    in_flight = kernel.find("routing", RoutingService).in_flight
    running = kernel.find("gateway", RequestGatewayService).running
    transactions = len(kernel.find("transactions", TransactionService).open_transactions)
    await kernel.stop()
    log.info(
        "shutdown_finished",
        vm=settings.vm,
        unfinished=in_flight + running,
        transactions=transactions,
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
