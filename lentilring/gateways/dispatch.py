"""Routes statements from a caller's proxy to the gateways of backend servers."""

import asyncio
from dataclasses import dataclass, replace

from ..catalog.fleet import FleetService
from ..catalog.model import ServerEntry
from ..catalog.source import ProxyEntry
from ..clock import SuspensionClock
from ..kernel import Service
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerUnreachable
from ..statements.model import Failure
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .gateway import GATEWAY_STOPPING
from .messages import (
    AskPosition,
    EndTransaction,
    ProvenPosition,
    RunStatement,
    StatementAnswer,
    StatementKind,
    TransactionOpening,
)
from .placement import choose_gateways
from .probing import PeerProber
from .service import GatewayService

# The gateway answers within the statement's timeout; this adds time for the round trip to it.
ANSWER_MARGIN_S = 0.25
END_TRANSACTION_TIMEOUT_S = 1.0
# A stop waits for this long until peers have confirmed the rollbacks that are under way.
LAST_ROLLBACKS_TIMEOUT_S = 0.1
# How long a proxy that could not reach a server is ranked behind the others for it.
DEMOTION_S = 1.0
# An older proof means that the gateway could not get a new one.
MAX_PROOF_AGE_S = 0.5
GATEWAY_UNREACHABLE = "the gateway cannot be reached"
GATEWAY_LOST = "the gateway's answer was lost"

log = Log(source="dispatch")


@dataclass(frozen=True, kw_only=True)
class DispatchResult:
    """Hold a gateway's answer, the proxy that gave it and the server that it is about.

    `lost` is the answer of an earlier gateway at which the statement may have run.
    """

    answer: StatementAnswer
    gateway: ProxyEntry
    server: str = ""
    lost: StatementAnswer | None = None

    @property
    def run_answer(self) -> StatementAnswer:
        """Return the answer that tells whether a server may have run the statement.

        A refusal by a later gateway does not say that nothing ran at an earlier one.
        """
        return self.lost if self.lost is not None and self.answer.failure else self.answer


class StatementDispatcher(Service):
    """Send statements to gateways in this process or on peers."""

    def __init__(
        self,
        *,
        fleet: FleetService,
        gateways: GatewayService,
        prober: PeerProber,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._fleet, self._gateways, self._prober = fleet, gateways, prober
        self._clock, self._telemetry = clock, telemetry
        self._demoted_until: dict[tuple[str, str], float] = {}
        self._rollbacks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Wait briefly for rollbacks at peers, as the connections to peers close next."""
        # Rollbacks that were started just now have not run yet.
        await asyncio.sleep(0)
        if self._rollbacks:
            await asyncio.wait(self._rollbacks, timeout=LAST_ROLLBACKS_TIMEOUT_S)

    @property
    def local(self) -> ProxyEntry:
        """Return this proxy."""
        return self._fleet.local

    def choose_gateways(self, server: ServerEntry) -> list[ProxyEntry]:
        """Return the proxies to ask for a server, best first."""
        return choose_gateways(
            server,
            self._fleet,
            is_suspect=lambda vm: self.is_ranked_last(vm, server.id),
        )

    def is_ranked_last(self, vm: str, server: str) -> bool:
        """Tell whether a proxy is suspected, or could not reach a server a moment ago."""
        demoted_until = self._demoted_until.get((vm, server), 0.0)
        return self._fleet.is_suspect(vm) or self._clock.monotonic() < demoted_until

    async def run(self, server: ServerEntry, request: RunStatement) -> DispatchResult:
        """Run a statement outside of an open transaction."""
        deadline = self._clock.monotonic() + request.timeout_s
        last: DispatchResult | None = None
        lost: StatementAnswer | None = None
        for gateway in self.choose_gateways(server):
            remaining_s = deadline - self._clock.monotonic()
            if last is not None and remaining_s <= 0:
                return last
            last = await self.run_at(gateway, replace(request, timeout_s=remaining_s))
            last = replace(last, lost=lost)
            if last.answer.is_unreachable:
                self._demoted_until[gateway.vm, server.id] = self._clock.monotonic() + DEMOTION_S
            if not self._may_retry_elsewhere(request, last.answer):
                return last
            if not last.answer.is_unreachable:
                lost = last.answer
        if last is None:
            answer = StatementAnswer(failure=Failure.OVERLOADED, detail="no gateway is known")
            return DispatchResult(answer=answer, gateway=self._fleet.local)
        return last

    async def run_at(self, gateway: ProxyEntry, request: RunStatement) -> DispatchResult:
        """Run a statement at one gateway; a failed call becomes the failure that it can mean."""
        try:
            return await self._run_at(gateway, request)
        except asyncio.CancelledError:
            log.warning(
                "gateway_call_cancelled",
                request=request.request_id,
                gateway=gateway.vm,
                server=request.server,
                transaction=request.transaction or "-",
            )
            raise

    async def _run_at(self, gateway: ProxyEntry, request: RunStatement) -> DispatchResult:
        if gateway.vm == self._fleet.local.vm:
            local_answer = await self._gateways.run(request)
            return DispatchResult(answer=local_answer, gateway=gateway, server=request.server)
        try:
            answer = await self._prober.call(
                gateway, request, timeout_s=request.timeout_s + ANSWER_MARGIN_S
            )
        except PeerUnreachable as error:
            self._record_failure(gateway, request, "unreachable", error.detail)
            failed = _build_failed_result(gateway, request, Failure.ABORTED, GATEWAY_UNREACHABLE)
            return replace(failed, answer=replace(failed.answer, is_unreachable=True))
        except PeerRejected as error:
            self._record_failure(gateway, request, "rejected", error.detail)
            return _build_failed_result(
                gateway, request, _classify_lost_answer(request), "the gateway failed"
            )
        except PeerAnswerLost as error:
            self._record_failure(gateway, request, "lost", error.detail)
            return _build_failed_result(
                gateway, request, _classify_lost_answer(request), GATEWAY_LOST
            )
        assert isinstance(answer, StatementAnswer)
        self._fleet.clear_suspicion(gateway.vm)
        return DispatchResult(answer=answer, gateway=gateway, server=request.server)

    async def end_transaction(self, gateway: ProxyEntry, transaction: str) -> None:
        """Roll a transaction back; if the call fails, the gateway does so when it is idle."""
        if gateway.vm == self._fleet.local.vm:
            await self._gateways.end_transaction(transaction)
            return
        rollback = asyncio.ensure_future(self._end_at_peer(gateway, transaction))
        self._rollbacks.add(rollback)
        rollback.add_done_callback(self._rollbacks.discard)
        await rollback

    async def _end_at_peer(self, gateway: ProxyEntry, transaction: str) -> None:
        try:
            await self._prober.call(
                gateway,
                EndTransaction(transaction=transaction),
                timeout_s=END_TRANSACTION_TIMEOUT_S,
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            log.info("transaction_end_unconfirmed", transaction=transaction, detail=error)

    async def ask_position(self, server: ServerEntry, *, timeout_s: float) -> ProvenPosition | None:
        """Return a recent proven position of a primary; None if no gateway has one."""
        request = AskPosition(server=server.id)
        for gateway in self.choose_gateways(server):
            answer = await self._ask_gateway(gateway, request, timeout_s)
            if answer is not None and answer.term and answer.age_s <= MAX_PROOF_AGE_S:
                return answer
        return None

    async def _ask_gateway(
        self, gateway: ProxyEntry, request: AskPosition, timeout_s: float
    ) -> ProvenPosition | None:
        if gateway.vm == self._fleet.local.vm:
            return await self._gateways.ask_position(request)
        try:
            answer = await self._prober.call(gateway, request, timeout_s=timeout_s)
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            self._fleet.mark_suspect(gateway.vm, str(error))
            return None
        assert isinstance(answer, ProvenPosition)
        self._fleet.clear_suspicion(gateway.vm)
        return answer

    def _may_retry_elsewhere(self, request: RunStatement, answer: StatementAnswer) -> bool:
        if answer.is_unreachable:
            return True
        # The first statement of a transaction may have run in one that may still be open there.
        repeatable = (
            request.work is StatementKind.READ and request.opening is TransactionOpening.NONE
        )
        return answer.detail in (GATEWAY_LOST, GATEWAY_STOPPING) and repeatable

    def _record_failure(
        self, gateway: ProxyEntry, request: RunStatement, reason: str, detail: str
    ) -> None:
        self._telemetry.count("gateway_calls_failed", reason=reason)
        log.warning(
            "gateway_call_failed",
            request=request.request_id,
            gateway=gateway.vm,
            server=request.server,
            reason=reason,
            detail=detail,
        )
        self._fleet.mark_suspect(gateway.vm, f"{reason}: {detail}")


def _classify_lost_answer(request: RunStatement) -> Failure:
    """Return the failure to report for a statement whose answer was lost.

    Within a transaction only a commit can have taken effect: a gateway rolls back a transaction
    whose proxy sends nothing more.
    """
    in_transaction = bool(request.transaction) or request.opening is not TransactionOpening.NONE
    if request.work is StatementKind.COMMIT or (
        request.work is StatementKind.WRITE and not in_transaction
    ):
        return Failure.UNCERTAIN
    return Failure.ABORTED


def _build_failed_result(
    gateway: ProxyEntry, request: RunStatement, failure: Failure, detail: str
) -> DispatchResult:
    answer = StatementAnswer(failure=failure, detail=detail)
    return DispatchResult(answer=answer, gateway=gateway, server=request.server)
