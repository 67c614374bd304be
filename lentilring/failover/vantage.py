"""Probes of a primary by other members, which confirm that it is unreachable."""

import asyncio
from collections.abc import Sequence
from typing import Protocol, TypeVar

from ..database.backend import BackendConnector
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..placement import Placeable, rank_members
from .controls import probe_backend
from .group import GroupServer
from .messages import ProbePrimary, ProbeResult

PROBE_TIMEOUT_S = 0.4
# Time that a call to a peer may take beyond the probe itself.
PEER_CALL_MARGIN_S = 0.1
VANTAGE_POINTS_PER_FAILURE_DOMAIN = 2


class Peer(Placeable, Protocol):
    """Describe what failover needs to know of a member."""

    @property
    def address(self) -> str:
        """Return the `ip:port` of the member's peer transport."""
        ...

    @property
    def state(self) -> str:
        """Return `live`, `suspect`, `leaving` or `dead`."""
        ...


P = TypeVar("P", bound=Peer)


def choose_vantage_points(group: str, members: Sequence[P], local: Peer) -> list[P]:
    """Return up to two members of each failure domain except the local one."""
    domains = sorted({member.failure_domain for member in members} - {local.failure_domain})
    chosen: list[P] = []
    for domain in domains:
        candidates = [member for member in members if member.failure_domain == domain]
        ranked = rank_members(f"vantage/{group}", candidates)
        chosen += ranked[:VANTAGE_POINTS_PER_FAILURE_DOMAIN]
    return chosen


class VantagePoints:
    """Ask other members to probe a primary, and answer their requests to probe one."""

    def __init__(self, *, transport: PeerTransport, backends: BackendConnector) -> None:
        self._transport = transport
        self._backends = backends
        transport.handle(ProbePrimary, self._handle_probe)

    async def confirm_unreachable(
        self, group: str, primary: GroupServer, vantage_points: Sequence[Peer]
    ) -> bool:
        """Tell whether a majority of the members that answer cannot reach the primary.

        The local probe that failed counts as one answer; at least one other member must agree.
        """
        request = ProbePrimary(group=group, address=primary.address, timeout_s=PROBE_TIMEOUT_S)
        tasks = [
            asyncio.ensure_future(self._request_probe(vantage_point.address, request))
            for vantage_point in vantage_points
        ]
        unreachable, reachable = 1, 0
        try:
            for answer in asyncio.as_completed(tasks):
                result = await answer
                unreachable += result is False
                reachable += result is True
                # The answers that are still missing cannot change the result.
                if (
                    2 * unreachable > len(vantage_points) + 1
                    or 2 * reachable >= len(vantage_points) + 1
                ):
                    break
        finally:
            for task in tasks:
                task.cancel()
        return unreachable >= 2 and unreachable > reachable

    async def _request_probe(self, address: str, request: ProbePrimary) -> bool | None:
        try:
            answer = await self._transport.call(
                address, request, timeout_s=PROBE_TIMEOUT_S + PEER_CALL_MARGIN_S
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected):
            return None
        return answer.reachable if isinstance(answer, ProbeResult) else None

    async def _handle_probe(self, sender: Sender, request: ProbePrimary) -> ProbeResult:
        timeout_s = min(request.timeout_s, PROBE_TIMEOUT_S)
        reachable = await probe_backend(self._backends, request.address, timeout_s=timeout_s)
        return ProbeResult(reachable=reachable)
