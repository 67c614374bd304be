"""The way from a caller's proxy to the gateway of a backend server."""

from dataclasses import dataclass

from ..catalog.fleet import FleetService
from ..catalog.model import ServerEntry
from ..catalog.source import ProxyEntry
from ..clock import SuspensionClock
from ..kernel import Service
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..statements.model import Failure
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .messages import (
    AskPosition,
    EndTransaction,
    Opening,
    ProvenPosition,
    RunStatement,
    StatementAnswer,
    Work,
)
from .placement import rank_gateways
from .service import GatewayService

# The gateway answers within the statement's time; the way there and back takes a little more.
ANSWER_MARGIN_S = 0.25
END_TIMEOUT_S = 1.0
# Two gateways of a server are tried; a third would hardly be reachable when two are not.
MAX_GATEWAYS = 2
GATEWAY_UNREACHABLE = "the gateway cannot be reached"
GATEWAY_LOST = "the gateway's answer was lost"

log = Log(source="dispatch")


@dataclass(frozen=True, kw_only=True)
class Dispatched:
    """Hold a gateway's answer and which proxy gave it."""

    answer: StatementAnswer
    gateway: ProxyEntry


class Dispatcher(Service):
    """Send statements to gateways, here or on a peer."""

    def __init__(
        self,
        *,
        fleet: FleetService,
        gateways: GatewayService,
        transport: PeerTransport,
        clock: SuspensionClock,
        telemetry: Telemetry,
    ) -> None:
        self._fleet, self._gateways, self._transport = fleet, gateways, transport
        self._clock, self._telemetry = clock, telemetry

    @property
    def local(self) -> ProxyEntry:
        """Return this proxy."""
        return self._fleet.local

    def choose_gateways(self, server: ServerEntry) -> list[ProxyEntry]:
        """Return the proxies to ask for a server, best first."""
        ranked = rank_gateways(server, self._fleet.members(), is_suspect=self._fleet.is_suspect)
        return ranked[:MAX_GATEWAYS]

    async def run(self, server: ServerEntry, request: RunStatement) -> Dispatched:
        """Run a statement outside of an open transaction."""
        deadline = self._clock.monotonic() + request.timeout_s
        last: Dispatched | None = None
        for gateway in self.choose_gateways(server):
            last = await self.run_at(gateway, request)
            if not self._may_go_elsewhere(request, last.answer):
                return last
            if self._clock.monotonic() >= deadline:
                return last
        if last is None:
            answer = StatementAnswer(failure=Failure.OVERLOADED, detail="no gateway is known")
            return Dispatched(answer=answer, gateway=self._fleet.local)
        return last

    async def run_at(self, gateway: ProxyEntry, request: RunStatement) -> Dispatched:
        """Run a statement at one gateway; a missing answer becomes a truthful failure."""
        if gateway.vm == self._fleet.local.vm:
            return Dispatched(answer=await self._gateways.run(request), gateway=gateway)
        try:
            answer = await self._transport.call(
                gateway.address, request, timeout_s=request.timeout_s + ANSWER_MARGIN_S
            )
        except PeerUnreachable as error:
            self._note_failure(gateway, request, "unreachable", error.detail)
            return _build_loss(gateway, Failure.ABORTED, GATEWAY_UNREACHABLE)
        except PeerRejected as error:
            self._note_failure(gateway, request, "rejected", error.detail)
            return _build_loss(gateway, _name_loss(request), "the gateway failed")
        except PeerAnswerLost as error:
            self._note_failure(gateway, request, "lost", error.detail)
            return _build_loss(gateway, _name_loss(request), GATEWAY_LOST)
        assert isinstance(answer, StatementAnswer)
        self._fleet.note_answer(gateway.vm)
        return Dispatched(answer=answer, gateway=gateway)

    async def end_transaction(self, gateway: ProxyEntry, transaction: str) -> None:
        """Roll a transaction back; without an answer the gateway ends it when it is idle."""
        if gateway.vm == self._fleet.local.vm:
            await self._gateways.end_transaction(transaction)
            return
        try:
            await self._transport.call(
                gateway.address, EndTransaction(transaction=transaction), timeout_s=END_TIMEOUT_S
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
            log.info("transaction_end_unconfirmed", transaction=transaction, detail=error)

    async def ask_position(self, server: ServerEntry, *, timeout_s: float) -> ProvenPosition | None:
        """Ask the gateway of a primary for a proven position; None without an answer."""
        request = AskPosition(server=server.id)
        for gateway in self.choose_gateways(server):
            if gateway.vm == self._fleet.local.vm:
                return await self._gateways.ask_position(request)
            try:
                answer = await self._transport.call(gateway.address, request, timeout_s=timeout_s)
            except (PeerUnreachable, PeerAnswerLost, PeerRejected) as error:
                self._fleet.note_silence(gateway.vm, str(error))
                continue
            assert isinstance(answer, ProvenPosition)
            return answer
        return None

    def _may_go_elsewhere(self, request: RunStatement, answer: StatementAnswer) -> bool:
        if answer.detail == GATEWAY_UNREACHABLE:
            return True
        return answer.detail == GATEWAY_LOST and request.work is Work.READ

    def _note_failure(
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
        self._fleet.note_silence(gateway.vm, f"{reason}: {detail}")


def _name_loss(request: RunStatement) -> Failure:
    """Return what a statement without an answer is: only a commit can take effect in a transaction.

    A gateway without its caller's proxy rolls the transaction back.
    """
    in_transaction = bool(request.transaction) or request.opening is not Opening.NONE
    if request.work is Work.COMMIT or (request.work is Work.WRITE and not in_transaction):
        return Failure.UNCERTAIN
    return Failure.ABORTED


def _build_loss(gateway: ProxyEntry, failure: Failure, detail: str) -> Dispatched:
    return Dispatched(answer=StatementAnswer(failure=failure, detail=detail), gateway=gateway)
