"""The service `gateways`: the gateways that run in this proxy, for its callers and its peers."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from random import Random

from ..catalog.fleet import FleetService
from ..catalog.model import ServerEntry
from ..catalog.service import CatalogService
from ..clock import SuspensionClock
from ..kernel import Service
from ..peers.transport import PeerTransport, Sender
from ..statements.model import Done, Failed, Failure, Position, StatementOutcome
from ..tasks import SharedCalls, start_task
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .attempt import Attempt, RunResult
from .gateway import ServerGateway
from .health import ServerJudge, shows_failure
from .messages import (
    AskPosition,
    EndTransaction,
    LeadNotice,
    ProvenPosition,
    RunStatement,
    ServerNotice,
    StatementAnswer,
    StatementKind,
    TransactionEnded,
)
from .pacing import PaceReason, ProcessStarts
from .placement import rank_gateways
from .positions import ProvenPositionHistory
from .renewal import CopyCheck, LeaseRenewal
from .server import ServerConnector, ServerLost
from .stopping import STOPPED, StopSchedule

# A proven position that is older is proved again when somebody asks for it.
PROOF_REFRESH_AGE_S = 0.15
DEFAULT_MAX_CONNECTIONS = 4
TRIM_INTERVAL_S = 0.25
# Bad servers are announced again at this interval, because datagrams are lost and other proxies
# forget a judgement that nobody repeats.
NOTICE_INTERVAL_S = 2.0
# Statements that still run at the end of a stop may take this long.
LAST_RUNS_TIMEOUT_S = 0.1
LAST_ANSWERS_TIMEOUT_S = 0.05

log = Log(source="gateway")


class GatewayService(Service):
    """Run the gateways of the backend servers for which proxies chose this proxy."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        catalog: CatalogService,
        fleet: FleetService,
        connector: ServerConnector,
        is_counted: CopyCheck,
        transport: PeerTransport,
        clock: SuspensionClock,
        random: Random,
        telemetry: Telemetry,
        paces_servers: bool = False,
        judges_servers: bool = False,
    ) -> None:
        self._catalog, self._connector, self._transport = catalog, connector, transport
        self._clock, self._random, self._telemetry = clock, random, telemetry
        self._fleet, self._paces_servers = fleet, paces_servers
        self._process_starts = ProcessStarts()
        self._gateways: dict[str, ServerGateway] = {}
        # Gateways of servers that were replaced, while statements still run there.
        self._closing: set[ServerGateway] = set()
        self._histories: dict[str, ProvenPositionHistory] = {}
        self._transaction_gateways: dict[str, ServerGateway] = {}
        self._running_proofs = SharedCalls[str, bool]()
        self._transaction_numbers = itertools.count(1)
        self._transaction_prefix = f"{vm}.{incarnation}."
        self._trim_task: asyncio.Task[None] | None = None
        self._notice_task: asyncio.Task[None] | None = None
        self._judges_servers = judges_servers
        self._judges: dict[str, ServerJudge] = {}
        self._stop_schedule: StopSchedule | None = None
        self._renewal = LeaseRenewal(
            catalog=catalog,
            connector=connector,
            is_counted=is_counted,
            clock=clock,
            telemetry=telemetry,
        )
        self.refresh_positions: Callable[[str], Awaitable[None]] = _refresh_nothing
        self.request_sampling: Callable[[str], None] = _ignore_sampling_request
        # Is called with a server, the VM of its gateway and the share of failed answers, which is
        # None when the gateway no longer judges the server bad.
        self.on_judged: Callable[[str, str, float | None], None] = _ignore_judgement
        catalog.subscribe(self._close_replaced_gateways)
        if judges_servers:
            telemetry.observe("servers_judged_bad", "1", lambda: len(self._find_bad_servers()))

    async def start(self) -> None:
        """Register the handlers of peers' requests and begin to trim pools."""
        self._transport.handle(RunStatement, self._handle_run)
        self._transport.handle(EndTransaction, self._handle_end)
        self._transport.handle(AskPosition, self._handle_ask)
        self._transport.handle_datagram(LeadNotice, self._handle_lead_notice)
        self._transport.handle_datagram(ServerNotice, self._handle_server_notice)
        self._trim_task = start_task("trim_pools", self._trim_pools, telemetry=self._telemetry)
        if self._judges_servers:
            self._notice_task = start_task(
                "announce_bad_servers", self._announce_bad_servers, telemetry=self._telemetry
            )

    async def stop(self) -> None:
        """Answer all statements of peers and close all connections to backend servers."""
        for task in (self._trim_task, self._notice_task):
            if task is not None:
                task.cancel()
        self._stop_schedule = STOPPED
        await self._end_statements(only_unsent=True, timeout_s=LAST_RUNS_TIMEOUT_S)
        await self._end_statements(only_unsent=False, timeout_s=LAST_ANSWERS_TIMEOUT_S)
        self._renewal.close()
        for gateway in self._gateways.values():
            gateway.close()

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse from now on what could not be answered before the process ends."""
        self._stop_schedule = schedule

    async def _end_statements(self, *, only_unsent: bool, timeout_s: float) -> None:
        """Give up statements and wait until all have ended; the transport stops after this."""
        tasks = {
            task
            for gateway in self._list_busy_gateways()
            for task in gateway.end_statements(only_unsent=only_unsent)
        }
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def get_history(self, service: str) -> ProvenPositionHistory:
        """Return the proven positions of a service's primary, empty at first."""
        return self._histories.setdefault(service, ProvenPositionHistory())

    def list_servers(self) -> list[ServerEntry]:
        """Return the servers for which this proxy runs a gateway."""
        return [gateway.server for gateway in self._gateways.values()]

    def count_transactions(self) -> int:
        """Return the number of open transactions at this proxy's gateways."""
        return sum(len(gateway.transactions) for gateway in self._gateways.values())

    def count_running(self) -> int:
        """Return the number of statements that run or wait at this proxy's gateways."""
        return sum(gateway.count_statements() for gateway in self._list_busy_gateways())

    def _list_busy_gateways(self) -> list[ServerGateway]:
        """Return all gateways at which statements may run."""
        self._forget_ended()
        return [*self._gateways.values(), *self._closing]

    async def run(self, request: RunStatement) -> StatementAnswer:
        """Run a statement on a backend server through its gateway here."""
        server = self._catalog.servers.entries.get(request.server)
        if server is None and not request.transaction:
            return _build_refusal(Failure.WRONG_SERVER, "the server is not registered")
        if request.transaction:
            gateway = self._transaction_gateways.get(request.transaction)
        else:
            assert server is not None
            gateway = self._get_gateway(server)
        if gateway is None:
            return _build_refusal(Failure.ABORTED, "the transaction has ended")
        result = await gateway.run(request)
        self._record_transaction(gateway, request.transaction, result.transaction)
        wait_s = gateway.slots.expected_wait_s(request.account, 1 + request.priority)
        answer = build_answer(result, wait_s=wait_s)
        judge = self._judges.get(gateway.server.id)
        return answer if judge is None else replace(answer, bad_share=judge.bad_share)

    async def end_transaction(self, transaction: str) -> bool:
        """Roll a transaction back; False if it is not open here."""
        gateway = self._transaction_gateways.pop(transaction, None)
        return gateway is not None and await gateway.end_transaction(transaction)

    async def ask_position(self, request: AskPosition) -> ProvenPosition:
        """Return the newest proven position of a primary, proved again if it is old."""
        server = self._catalog.servers.entries.get(request.server)
        if server is None:
            return ProvenPosition()
        history = self.get_history(server.service)
        newest = history.find_newest()
        if newest is None or self._clock.boottime() - newest.taken_at > PROOF_REFRESH_AGE_S:
            await self._running_proofs.join(server.id, partial(self.prove_leadership, server))
            newest = history.find_newest()
        if newest is None:
            return ProvenPosition()
        return ProvenPosition(
            term=newest.position.term,
            number=newest.position.number,
            age_s=self._clock.boottime() - newest.taken_at,
            commit_silence_s=self._get_gateway(server).commit_silence_s(),
        )

    def pause_primary_work(self, server: str) -> None:
        """Make new work for a primary wait while the primary is being replaced."""
        if server in self._gateways:
            self._gateways[server].pause_primary_work()

    def resume_primary_work(self, server: str) -> None:
        """Let the waiting work go on; it looks for the primary again."""
        if server in self._gateways:
            self._gateways[server].resume_primary_work()

    async def prove_leadership(self, server: ServerEntry) -> bool:
        """Tell whether a server proves now that it is the primary."""
        accounts = self._catalog.list_accounts()
        if not accounts:
            return False
        position = await self._get_gateway(server).prove_leadership(accounts[0].name)
        self._record_proof(server, position)
        return position is not None

    def prepare_lease(self, server: ServerEntry) -> None:
        """Get ready to be the gateway of a primary, for which the store may be away then."""
        self._renewal.prepare(server)

    def announce_leader(self, service: str) -> None:
        """Tell all proxies which server is the primary, as some may not reach the store."""
        leader = self._catalog.leadership.find_known_leader(service)
        if leader is None:
            return
        notice = LeadNotice(server=leader.server, term=leader.term)
        for peer in self._fleet.others():
            self._transport.send_datagram(peer.address, notice)

    def _judge_answer(
        self,
        server: ServerEntry,
        attempt: Attempt,
        answer: StatementOutcome | ServerLost,
        took_s: float,
    ) -> None:
        """Judge a server with a further answer; tell all proxies when the judgement changes."""
        gateway = self._gateways.get(server.id)
        # Answers that a stopped server lost say nothing about the one that took its place.
        if not self._judges_servers or gateway is None or gateway.server is not server:
            return
        failed = shows_failure(attempt, answer, took_s=took_s)
        if failed is None:
            return
        judge = self._judges.get(server.id)
        if judge is None:
            judge = self._judges[server.id] = ServerJudge(now=self._clock.monotonic)
        judgement = judge.record(attempt.request.account, has_failed=failed)
        if judgement is None:
            return
        name = "bad" if judgement.is_bad else "good"
        self._telemetry.count("servers_judged", judged=name)
        log.warning(
            "server_judged",
            service=server.service,
            server=server.id,
            judged=name,
            share=round(judgement.failed_share, 2),
            answers=judgement.answers,
        )
        self._announce_server(server.id, judgement.failed_share if judgement.is_bad else None)

    def _announce_server(self, server: str, bad_share: float | None) -> None:
        """Tell all proxies, including this one, whether this gateway judges a server bad."""
        notice = ServerNotice(server=server, bad_share=bad_share)
        for peer in self._fleet.others():
            self._transport.send_datagram(peer.address, notice)
        self.on_judged(server, self._fleet.local.vm, bad_share)

    async def _announce_bad_servers(self) -> None:
        while True:
            await self._clock.sleep(NOTICE_INTERVAL_S)
            for server, bad_share in self._find_bad_servers().items():
                self._announce_server(server, bad_share)

    def _find_bad_servers(self) -> dict[str, float]:
        shares = {server: judge.bad_share for server, judge in self._judges.items()}
        return {server: share for server, share in shares.items() if share is not None}

    def _record_proof(self, server: ServerEntry, position: Position | None) -> None:
        if position is None:
            self._telemetry.count("position_proofs", result="failed")
            return
        self._telemetry.count("position_proofs", result="proved")
        if self._catalog.leadership.record_leader(server.service, server.id, position.term):
            log.info("lead_proved", service=server.service, server=server.id, position=position)

    async def _trim_pools(self) -> None:
        """Regularly close connections that other gateways may need."""
        while True:
            await self._clock.sleep(TRIM_INTERVAL_S)
            self._renewal.close_unused()
            for gateway in self._gateways.values():
                gateway.pool.trim()
            self._forget_ended()

    def _forget_ended(self) -> None:
        """Forget transactions that their gateways ended themselves, and closed gateways."""
        ended = [
            transaction
            for transaction, gateway in self._transaction_gateways.items()
            if transaction not in gateway.transactions
        ]
        for transaction in ended:
            del self._transaction_gateways[transaction]
        self._closing = {gateway for gateway in self._closing if gateway.is_busy}

    def _get_gateway(self, server: ServerEntry) -> ServerGateway:
        gateway = self._gateways.get(server.id)
        if gateway is None:
            manifest = self._catalog.manifest
            service = None if manifest is None else manifest.services.get(server.service)
            gateway = self._gateways[server.id] = ServerGateway(
                server=server,
                max_connections=(
                    DEFAULT_MAX_CONNECTIONS if service is None else service.max_connections
                ),
                connector=self._connector,
                history=self.get_history(server.service),
                clock=self._clock,
                telemetry=self._telemetry,
                make_transaction_id=self._make_transaction_id,
                refuse_new_work=self._refuse_new_work,
                transaction_idle_s=self._transaction_idle_s,
                refresh_positions=lambda: self.refresh_positions(server.service),
                request_sampling=lambda: self.request_sampling(server.service),
                is_primary=lambda: self._is_primary(server),
                ensure_leadership=lambda since: self._renewal.ensure_lease(server, since=since),
                has_leadership=lambda: self._renewal.has_lease(server),
                is_first_choice=lambda: self._is_first_choice(server),
                is_too_late=self._is_too_late,
                observe_answer=lambda attempt, answer, took_s: self._judge_answer(
                    server, attempt, answer, took_s
                ),
                is_paced=self._paces_servers,
            )
            log.info("gateway_opened", server=server.id, limit=gateway.pool.limit)
            if self._process_starts.is_new(server, now=self._clock.monotonic(), wall_s=time.time()):
                gateway.begin_pace(PaceReason.NEW_PROCESS)
        return gateway

    def _refuse_new_work(self, server: ServerEntry) -> Failed | None:
        """Return why no new work may start on a server, or None if it may."""
        entry = self._catalog.servers.entries.get(server.id)
        if entry is None:
            return Failed(failure=Failure.WRONG_SERVER, detail="the server is gone")
        if self._catalog.accepts_new_work(entry):
            return None
        return Failed(failure=Failure.OVERLOADED, detail="the server is leaving or evacuated")

    def _is_too_late(self, work: StatementKind, timeout_s: float) -> bool:
        """Tell whether this proxy is stopping and has too little time left for a statement."""
        schedule = self._stop_schedule
        return schedule is not None and not schedule.accepts(
            work, timeout_s=timeout_s, now=self._clock.monotonic()
        )

    def _is_first_choice(self, server: ServerEntry) -> bool:
        """Tell whether this proxy is the first choice for a server's work."""
        ranked = rank_gateways(server, self._fleet, is_suspect=self._fleet.is_suspect)
        first = next(ranked, None)
        return first is not None and first.vm == self._fleet.local.vm

    def _is_primary(self, server: ServerEntry) -> bool:
        primary = self._catalog.find_primary(server.service)
        return primary is not None and primary.id == server.id

    def _close_replaced_gateways(self) -> None:
        """Close the gateways of servers that were removed or that restarted."""
        self._process_starts.update(self._catalog.servers.entries, self._clock.monotonic())
        for server in list(self._gateways):
            entry = self._catalog.servers.entries.get(server)
            known = self._gateways[server].server
            if entry is None or (entry.started_ms, entry.address) != (
                known.started_ms,
                known.address,
            ):
                log.info("gateway_closed", server=server, reason="gone" if entry is None else "new")
                gateway = self._gateways.pop(server)
                gateway.close()
                self._closing.add(gateway)
                # A server that starts again is not judged by its earlier answers.
                judge = self._judges.pop(server, None)
                if judge is not None and judge.bad_share is not None:
                    self._announce_server(server, None)

    def _record_transaction(self, gateway: ServerGateway, before: str, after: str) -> None:
        if before and before != after:
            self._transaction_gateways.pop(before, None)
        if after:
            self._transaction_gateways[after] = gateway

    def _make_transaction_id(self) -> str:
        secret = self._random.getrandbits(64)
        return f"{self._transaction_prefix}{next(self._transaction_numbers)}.{secret:016x}"

    def _transaction_idle_s(self) -> float:
        manifest = self._catalog.manifest
        return 3.0 if manifest is None else manifest.transaction_idle_s

    def _handle_lead_notice(self, sender: Sender, notice: LeadNotice) -> None:
        entry = self._catalog.servers.entries.get(notice.server)
        if entry is None:
            return
        if self._catalog.leadership.record_leader(entry.service, entry.id, notice.term):
            log.info(
                "lead_announced",
                service=entry.service,
                server=entry.id,
                term=notice.term,
                peer=sender.vm,
            )

    def _handle_server_notice(self, sender: Sender, notice: ServerNotice) -> None:
        if notice.server in self._catalog.servers.entries:
            self.on_judged(notice.server, sender.vm, notice.bad_share)

    async def _handle_run(self, sender: Sender, request: RunStatement) -> StatementAnswer:
        return await self.run(request)

    async def _handle_end(self, sender: Sender, request: EndTransaction) -> TransactionEnded:
        return TransactionEnded(known=await self.end_transaction(request.transaction))

    async def _handle_ask(self, sender: Sender, request: AskPosition) -> ProvenPosition:
        return await self.ask_position(request)


def build_answer(result: RunResult, *, wait_s: float) -> StatementAnswer:
    """Return the message of a result."""
    outcome = result.outcome
    position = outcome.position
    if isinstance(outcome, Done):
        return StatementAnswer(
            rows=outcome.rows,
            proof=outcome.proof,
            term=0 if position is None else position.term,
            number=0 if position is None else position.number,
            transaction=result.transaction,
            wait_s=wait_s,
            age_s=result.position_age_s,
        )
    return StatementAnswer(
        is_unreachable=result.is_unreachable,
        failure=outcome.failure,
        detail=outcome.detail,
        retry_after_s=outcome.retry_after_s,
        wait_s=wait_s,
        age_s=result.position_age_s,
    )


def _build_refusal(failure: Failure, detail: str) -> StatementAnswer:
    return StatementAnswer(failure=failure, detail=detail)


async def _refresh_nothing(service: str) -> None:
    """Do nothing; used until a sampler is registered."""


def _ignore_sampling_request(service: str) -> None:
    """Do nothing; used until a sampler is registered."""


def _ignore_judgement(server: str, gateway: str, bad_share: float | None) -> None:
    """Do nothing; used until a router is registered."""
