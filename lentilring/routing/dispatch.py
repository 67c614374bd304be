"""Dispatch of statements and transaction steps to the gateways of backend servers."""

from ..clock import Clock
from ..configuration.models import BackendServer
from ..database.messages import Action
from ..membership.member import Member
from ..outcomes import RefusalReason, UncertaintyReason
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..pool.messages import GatewayReply, GatewayRequest
from ..pool.replies import refuse, report_unknown
from ..pool.service import RequestGatewayService
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from ..transactions.messages import TransactionRequest
from ..transactions.service import TransactionService
from .topology import MembershipView

MAX_GATEWAYS_TRIED = 3
# A gateway answers within the time-out of the request; this covers the network round trip.
PEER_CALL_MARGIN_S = 0.25
# A gateway that did not answer is tried last for this time, because each attempt can cost a connect
# time-out and membership takes several seconds to detect that a gateway is dead.
AVOIDANCE_S = 2.0

log = Log(source="routing")


class Dispatcher:
    """Call the gateway of this proxy directly and others through the peer transport."""

    def __init__(
        self,
        *,
        membership: MembershipView,
        gateway: RequestGatewayService,
        transactions: TransactionService,
        transport: PeerTransport,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._membership = membership
        self._gateway = gateway
        self._transactions = transactions
        self._transport = transport
        self._clock = clock
        self._telemetry = telemetry
        self._avoided_until: dict[str, float] = {}

    async def send(
        self, request: GatewayRequest, server: BackendServer, *, timeout_s: float
    ) -> GatewayReply:
        """Run a statement at a gateway of a server; try the next gateway if nothing was sent."""
        deadline = self._clock.monotonic() + timeout_s
        for member in self.list_gateways(request.group, server):
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                break
            reply = await self._send_to(member, request, remaining_s)
            if reply is not None:
                return reply
            self._telemetry.count("retries", reason="gateway_unreachable")
        return refuse(RefusalReason.GATEWAY_UNREACHABLE, server.name)

    async def send_step(
        self, request: TransactionRequest, member: Member, *, timeout_s: float
    ) -> GatewayReply | None:
        """Run a transaction step at a gateway; return None if nothing was sent."""
        if member.vm == self._membership.local.vm:
            return await self._transactions.execute(request, timeout_s=timeout_s)
        return await self._call(member, request, timeout_s)

    def find_gateway(self, group: str, server: BackendServer) -> Member | None:
        """Return the gateway to try first for a server, or None if there is none."""
        ranked = self._rank(group, server)
        return ranked[0] if ranked else None

    def list_gateways(self, group: str, server: BackendServer) -> tuple[Member, ...]:
        """Return the gateways to try for a server, in this order."""
        return self._rank(group, server)[:MAX_GATEWAYS_TRIED]

    def is_avoided(self, vm: str) -> bool:
        """Tell whether a gateway recently did not answer."""
        return self._avoided_until.get(vm, float("-inf")) > self._clock.monotonic()

    def _rank(self, group: str, server: BackendServer) -> tuple[Member, ...]:
        ranked = self._gateway.ranking.rank(group, server).ranked
        return tuple(sorted(ranked, key=lambda member: self.is_avoided(member.vm)))

    async def _send_to(
        self, member: Member, request: GatewayRequest, remaining_s: float
    ) -> GatewayReply | None:
        if member.vm == self._membership.local.vm:
            return await self._gateway.execute(request, timeout_s=remaining_s)
        reply = await self._call(member, request, remaining_s)
        is_lost = reply is not None and reply.reason == UncertaintyReason.GATEWAY_LOST
        if is_lost and request.action is Action.READ:
            # A read changes nothing, so the next gateway may run it again.
            return None
        return reply

    async def _call(
        self, member: Member, request: GatewayRequest | TransactionRequest, timeout_s: float
    ) -> GatewayReply | None:
        try:
            answer = await self._transport.call(
                member.address, request, timeout_s=timeout_s + PEER_CALL_MARGIN_S
            )
        except PeerUnreachable:
            self._avoid(member.vm)
            return None
        except (PeerAnswerLost, PeerRejected) as error:
            self._avoid(member.vm)
            log.warning("gateway_call_failed", gateway=member.vm, error=error)
            return report_unknown(UncertaintyReason.GATEWAY_LOST, str(error))
        if isinstance(answer, GatewayReply):
            return answer
        return report_unknown(UncertaintyReason.GATEWAY_LOST, type(answer).__name__)

    def _avoid(self, vm: str) -> None:
        now = self._clock.monotonic()
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[vm] = now + AVOIDANCE_S
