"""Sends a statement or transaction step to the gateway that can run it."""

from ..clock import Clock
from ..configuration.models import BackendServer
from ..database.messages import Action
from ..membership.member import Member
from ..outcomes import RefusalReason, UncertaintyReason
from ..peers.transport import PeerAnswerLost, PeerRejected, PeerTransport, PeerUnreachable
from ..pool.messages import GatewayReply, GatewayRequest
from ..pool.replies import refuse, report_unknown
from ..pool.service import GatewayService, MembershipView
from ..telemetry.metrics import Telemetry
from ..transactions.messages import TransactionRequest
from ..transactions.service import TransactionService
from .topology import ConfigurationView, rank_gateways, select_placeable

GATEWAYS_TRIED = 3
CONNECT_MARGIN_S = 0.25


class Dispatcher:
    """Call the local gateway directly and others through the peer transport."""

    def __init__(
        self,
        *,
        configuration: ConfigurationView,
        membership: MembershipView,
        gateway: GatewayService,
        transactions: TransactionService,
        transport: PeerTransport,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._gateway = gateway
        self._transactions = transactions
        self._transport = transport
        self._clock = clock
        self._telemetry = telemetry

    async def send(
        self, request: GatewayRequest, server: BackendServer, *, timeout_s: float
    ) -> GatewayReply:
        """Run a statement at a gateway of a server; try the next one if nothing was sent."""
        deadline = self._clock.monotonic() + timeout_s
        for member in self._rank(request.group, server)[:GATEWAYS_TRIED]:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                break
            reply = await self._send_to(member, request, remaining)
            if reply is not None:
                return reply
            self._telemetry.count("retries", reason="gateway_unreachable")
        return refuse(RefusalReason.GATEWAY_UNREACHABLE, server.name)

    async def send_step(
        self, request: TransactionRequest, member: Member, *, timeout_s: float
    ) -> GatewayReply | None:
        """Take a transaction step at a gateway; return None if nothing was sent."""
        if member.vm == self._membership.local.vm:
            return await self._transactions.execute(request, timeout_s=timeout_s)
        return await self._call(member, request, timeout_s)

    def find_gateway(self, group: str, server: BackendServer) -> Member | None:
        """Return the first gateway of a server."""
        ranked = self._rank(group, server)
        return ranked[0] if ranked else None

    def _rank(self, group: str, server: BackendServer) -> tuple[Member, ...]:
        members = select_placeable(self._configuration, self._membership.members())
        return rank_gateways(group, server, members).ranked

    async def _send_to(
        self, member: Member, request: GatewayRequest, remaining: float
    ) -> GatewayReply | None:
        if member.vm == self._membership.local.vm:
            return await self._gateway.execute(request, timeout_s=remaining)
        reply = await self._call(member, request, remaining)
        lost = reply is not None and reply.reason == UncertaintyReason.GATEWAY_LOST
        if lost and request.action is Action.READ:
            # A read changes nothing, so it may run again elsewhere.
            return None
        return reply

    async def _call(
        self, member: Member, request: GatewayRequest | TransactionRequest, timeout_s: float
    ) -> GatewayReply | None:
        try:
            # The gateway answers within the request's own time-out; the margin is for the way.
            answer = await self._transport.call(
                member.address, request, timeout_s=timeout_s + CONNECT_MARGIN_S
            )
        except PeerUnreachable:
            return None
        except (PeerAnswerLost, PeerRejected) as error:
            return report_unknown(UncertaintyReason.GATEWAY_LOST, str(error))
        if isinstance(answer, GatewayReply):
            return answer
        return report_unknown(UncertaintyReason.GATEWAY_LOST, type(answer).__name__)
