"""The proxy process for the session protocol: builds its services, starts and stops them."""

import asyncio
import random
import signal
import time

from .byte_budget import BudgetHolder, ByteBudget
from .catalog.fleet import FleetService
from .catalog.relay import RecordRelay
from .catalog.service import CatalogService
from .catalog.source import ProxyEntry
from .clock import BootClock, SuspensionClock
from .gateways.dispatch import StatementDispatcher
from .gateways.probing import PeerProber
from .gateways.sampling import PositionSampler
from .gateways.service import GatewayService
from .http.probe import ProbeServer
from .http.route_view import ROUTE_VIEW_PATH, RouteViewer
from .kernel import Kernel
from .limits.regional import RegionalLimiter
from .limits.window import LimitWindow
from .peers.tcp import TcpTransport
from .platform.objects import ObjectClient
from .platform.promotion import PlatformPromotion
from .platform.records import PlatformRecords, PlatformStore
from .platform.servers import PlatformServerConnector
from .platform.statements import LineCodec
from .platform.usage import PlatformUsage
from .session_settings import SessionProxySettings
from .sessions.choice import ProxyLocation
from .sessions.client_limits import ClientLimits
from .sessions.listener import SessionListener
from .sessions.readiness import SessionReadiness
from .sessions.route_explanation import RouteExplainer
from .sessions.router import StatementRouter
from .shared_secret import PeerSecret, SharedSecret, wait_for_secret
from .takeover.authority import PromotionAuthority
from .takeover.counting import CountedCopies
from .takeover.service import TakeoverService
from .telemetry.log import Log
from .telemetry.metrics import Telemetry
from .usage.counts import UsageCounts, Windows
from .usage.record import UsageRecords
from .usage.service import UsageReporter

DEPLOYMENT = "lentilring"
DEFAULT_TRANSACTION_IDLE_S = 3.0
# Ten times the network delay between regions, which the handshake needs twice.
PEER_CONNECT_TIMEOUT_S = 0.5

log = Log(source="process")


async def run_session_proxy(settings: SessionProxySettings) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_request)
    # Each start of a VM gets a greater incarnation, as long as its clock does not run backwards.
    incarnation = time.time_ns() // 1_000_000
    telemetry = Telemetry(exported=True)
    log.info(
        "proxy_starting",
        vm=settings.vm,
        incarnation=incarnation,
        domain=settings.failure_domain,
        sessions=settings.session_address,
    )
    objects = ObjectClient(address=settings.store_address, telemetry=telemetry)
    kernel = Kernel()
    # A proxy to which an old read does not show the secret learns of it as it tries to create one.
    secret = await wait_for_secret(PlatformStore(objects=objects, may_be_old=True), stopping)
    if secret is not None:
        readiness = register_session_services(
            kernel,
            settings=settings,
            incarnation=incarnation,
            objects=objects,
            secret=secret,
            telemetry=telemetry,
        )
        await kernel.start()
        try:
            log.info("proxy_started", vm=settings.vm, incarnation=incarnation)
            await stopping.wait()
            log.info("proxy_stopping", vm=settings.vm)
            await readiness.drain_sessions(
                timeout_s=settings.drain_timeout_s,
                transaction_time_s=settings.transaction_end_time_s,
            )
        finally:
            # After an error too, so that statements that were read are answered.
            await kernel.stop()
    log.info("proxy_stopped", vm=settings.vm)


def register_session_services(
    kernel: Kernel,
    *,
    settings: SessionProxySettings,
    incarnation: int,
    objects: ObjectClient,
    secret: PeerSecret,
    telemetry: Telemetry,
) -> SessionReadiness:
    """Register all services by name, in the order in which they start."""
    clock, random_source = BootClock(), random.Random()
    budget: ByteBudget[BudgetHolder] = ByteBudget(limit_bytes=settings.connection_bytes)
    transport = TcpTransport(
        vm=settings.vm,
        incarnation=incarnation,
        address=settings.peer_address,
        deployment=DEPLOYMENT,
        secret=secret.value.encode(),
        telemetry=telemetry,
        connect_timeout_s=PEER_CONNECT_TIMEOUT_S,
        budget=budget,
    )
    records = RecordRelay(
        source=PlatformRecords(objects=objects),
        transport=transport,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
        configuration_delay_s=settings.configuration_delay_s,
    )
    catalog = CatalogService(
        source=records,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
        max_age_s=settings.max_configuration_age_s,
        configuration_delay_s=settings.configuration_delay_s,
        leaving_grace_s=settings.leaving_grace_s,
        evacuation_grace_s=settings.evacuation_grace_s,
        limit_window=LimitWindow(
            length_s=settings.limit_window_s,
            overage=settings.limit_overage,
            slack=settings.limit_slack,
        ),
    )
    objects.on_restored = catalog.note_restoration
    fleet = FleetService(
        local=_describe_local_proxy(settings, incarnation),
        source=records,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
    )
    records.proxies = fleet
    limiter = RegionalLimiter(
        fleet=fleet,
        transport=transport,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
        find_account=catalog.find_account,
    )
    authority = PromotionAuthority(
        store=PlatformStore(objects=objects), vm=settings.vm, find_era=lambda: objects.era
    )
    gateways = GatewayService(
        vm=settings.vm,
        incarnation=incarnation,
        catalog=catalog,
        fleet=fleet,
        connector=PlatformServerConnector(),
        is_counted=CountedCopies(authority=authority, clock=clock).check,
        transport=transport,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
        judges_servers=settings.judges_servers,
        paces_servers=settings.paces_servers,
    )
    shared_secret = SharedSecret(
        secret=secret,
        store=PlatformStore(objects=objects),
        clock=clock,
        find_era=lambda: catalog.store_era,
        use=lambda value: transport.replace_secret(value.encode()),
        telemetry=telemetry,
    )
    transport.on_other_secret(shared_secret.doubt)
    prober = PeerProber(fleet=fleet, transport=transport, clock=clock, telemetry=telemetry)
    dispatcher = StatementDispatcher(
        fleet=fleet, gateways=gateways, prober=prober, clock=clock, telemetry=telemetry
    )
    sampler = PositionSampler(
        catalog=catalog, gateways=gateways, dispatcher=dispatcher, clock=clock, telemetry=telemetry
    )
    promotion = PlatformPromotion(address=settings.promotion_address)
    takeover = TakeoverService(
        catalog=catalog,
        fleet=fleet,
        gateways=gateways,
        sampler=sampler,
        connector=PlatformServerConnector(),
        authority=authority,
        promotion=promotion,
        clock=clock,
        telemetry=telemetry,
    )
    usage = _build_usage_reporter(
        settings,
        objects=objects,
        fleet=fleet,
        transport=transport,
        clock=clock,
        telemetry=telemetry,
    )
    router = StatementRouter(
        catalog=catalog,
        dispatcher=dispatcher,
        limiter=limiter,
        location=ProxyLocation(failure_domain=settings.failure_domain, region=settings.region),
        regions=settings.regions,
        clock=clock,
        random=random_source,
        telemetry=telemetry,
        usage=None if usage is None else usage.counts,
    )
    gateways.on_judged = router.record_judgement
    listener = SessionListener(
        address=settings.session_address,
        codec=LineCodec(),
        router=router,
        telemetry=telemetry,
        limits=ClientLimits(
            max_sessions=settings.max_sessions,
            open_timeout_s=settings.open_timeout_s,
            message_timeout_s=settings.message_timeout_s,
            answer_timeout_s=settings.answer_timeout_s,
            room_message_s=settings.room_message_s,
        ),
        budget=budget,
        transaction_idle_s=lambda: _read_transaction_idle_s(catalog),
    )
    readiness = SessionReadiness(
        catalog=catalog,
        fleet=fleet,
        listener=listener,
        router=router,
        gateways=gateways,
        clock=clock,
    )
    explainer = RouteExplainer(
        catalog=catalog, router=router, dispatcher=dispatcher, limiter=limiter
    )
    probe = ProbeServer(
        readiness_address=settings.readiness_address,
        metrics_address=settings.metrics_address,
        is_ready=readiness.is_ready,
        telemetry=telemetry,
        views={ROUTE_VIEW_PATH: RouteViewer(explain=explainer.explain, telemetry=telemetry).answer},
    )
    services = {
        "transport": transport,
        "records": records,
        "catalog": catalog,
        "fleet": fleet,
        "secret": shared_secret,
        "limits": limiter,
        "gateways": gateways,
        "prober": prober,
        "dispatcher": dispatcher,
        "positions": sampler,
        "takeover": takeover,
        # Stops after the sessions, whose last statements count, and before the transport.
        **({} if usage is None else {"usage": usage}),
        "statements": router,
        "sessions": listener,
        "readiness": readiness,
        "probe": probe,
    }
    for name, service in services.items():
        kernel.register(name, service)
    return readiness


def _build_usage_reporter(
    settings: SessionProxySettings,
    *,
    objects: ObjectClient,
    fleet: FleetService,
    transport: TcpTransport,
    clock: SuspensionClock,
    telemetry: Telemetry,
) -> UsageReporter | None:
    """Return the service that reports usage, None if reports are not a duty here."""
    if not settings.report_window_s:
        return None
    return UsageReporter(
        counts=UsageCounts(windows=Windows(length_s=settings.report_window_s, now=time.time)),
        late_s=settings.usage_late_s,
        lease_s=settings.usage_lease_s,
        records=UsageRecords(
            store=PlatformStore(objects=objects),
            vm=settings.vm,
            find_era=lambda: objects.era,
            clock=clock,
        ),
        platform=PlatformUsage(address=settings.promotion_address),
        fleet=fleet,
        transport=transport,
        clock=clock,
        telemetry=telemetry,
    )


def _describe_local_proxy(settings: SessionProxySettings, incarnation: int) -> ProxyEntry:
    return ProxyEntry(
        vm=settings.vm,
        address=settings.peer_address,
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=incarnation,
        weight=settings.weight,
    )


def _read_transaction_idle_s(catalog: CatalogService) -> float:
    return (
        DEFAULT_TRANSACTION_IDLE_S
        if catalog.manifest is None
        else catalog.manifest.transaction_idle_s
    )


def _log_reload_request() -> None:
    log.info("settings_changed", detail="settings are read at start only")
