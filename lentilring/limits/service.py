"""The service `limits`: admits requests within each account's rate and burst over the fleet."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from ..clock import Clock
from ..configuration.models import ClientAccount, LimitSettings
from ..kernel import Service
from ..outcomes import NotRun
from ..peers.transport import (
    PeerAnswerLost,
    PeerRejected,
    PeerTransport,
    PeerUnreachable,
    Sender,
)
from ..platform.store import Store
from ..telemetry.metrics import Telemetry
from .directory import LimitMembership, ShareDirectory
from .lease import DEFAULT_DURATION_S, DEFAULT_MARGIN_S
from .lease_manager import TICK_S, ShareLeaseManager
from .lender import Lender
from .messages import (
    DirectoryAnswer,
    DirectoryRequest,
    ShareAnnouncement,
    ShareOffer,
    TokenReport,
    TokenRequest,
)
from .remaining import HeldTokens
from .requester import TokenRequester

TRACK_INTERVAL_S = 1.0  # between looks for changed accounts without traffic
EXCHANGE_INTERVAL_S = 10.0
EXCHANGE_JITTER = 0.2
LOOKUP_INTERVAL_S = 0.1  # between look-ups of missing holders
EXCHANGE_TIMEOUT_S = 1.0
CLOCK_TOLERANCE = 0.0005  # Linux slews the monotonic clock by at most 500 ppm


class LimitService(Service):
    """Combine the requester, the lender and the lease manager of the shares in one service."""

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        store: Store,
        transport: PeerTransport,
        telemetry: Telemetry,
        membership: LimitMembership,
        find_account: Callable[[str], ClientAccount | None],
        limit_settings: Callable[[], LimitSettings],
        list_accounts: Callable[[], Iterable[ClientAccount]] = tuple,
        lease_duration_s: float = DEFAULT_DURATION_S,
        lease_margin_s: float = DEFAULT_MARGIN_S,
        clock_tolerance: float = CLOCK_TOLERANCE,
    ) -> None:
        self._clock, self._random, self._transport = clock, random, transport
        self._membership, self._list_accounts = membership, list_accounts
        self.directory = ShareDirectory(membership=membership)
        self.lender = Lender(
            clock=clock,
            transport=transport,
            telemetry=telemetry,
            membership=membership,
            directory=self.directory,
            find_account=find_account,
            share_counts=lambda: self.lease_manager.share_counts(),
            clock_tolerance=clock_tolerance,
        )
        self.lease_manager = ShareLeaseManager(
            clock=clock,
            random=random,
            store=store,
            transport=transport,
            telemetry=telemetry,
            membership=membership,
            directory=self.directory,
            lender=self.lender,
            count_shares=lambda: limit_settings().shares,
            duration_s=lease_duration_s,
            margin_s=lease_margin_s,
        )
        self.requester = TokenRequester(
            clock=clock,
            transport=transport,
            telemetry=telemetry,
            membership=membership,
            directory=self.directory,
            lender=self.lender,
            count_shares=lambda: limit_settings().shares,
            find_missing_holders=self._look_up_holders,
        )
        self._looked_up_at = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Answer peers, contend for shares and exchange directories."""
        self._transport.handle(TokenRequest, self._serve)
        self._transport.handle(DirectoryRequest, self._send_directory)
        self._transport.handle_datagram(TokenReport, self._take_report)
        self._transport.handle_datagram(ShareAnnouncement, self._take_announcement)
        self._transport.handle_datagram(ShareOffer, self._take_offer)
        self._tasks = [
            asyncio.ensure_future(self._keep_shares()),
            asyncio.ensure_future(self._exchange_directories()),
        ]

    async def drain(self, *, deadline_s: float) -> None:
        """Return unused tokens and release the held shares."""
        self.requester.return_all()
        await self.lease_manager.release_all(deadline_s=deadline_s)

    async def stop(self) -> None:
        """End background work."""
        for task in self._tasks:
            task.cancel()
        self.lease_manager.stop()
        self.requester.stop()

    async def acquire(self, account: ClientAccount, *, timeout_s: float) -> NotRun | None:
        """Admit one request of an account; None: admitted, its token is used."""
        return await self.requester.acquire(account, timeout_s=timeout_s)

    def preview(self, account: ClientAccount) -> HeldTokens:
        """Return an account's tokens here, without taking one or asking for more."""
        return self.requester.preview(account)

    async def _keep_shares(self) -> None:
        track_at = float("-inf")
        while True:
            await self.lease_manager.tick()
            if self._clock.monotonic() >= track_at:
                self.lender.update_accounts(self._list_accounts())
                track_at = self._clock.monotonic() + TRACK_INTERVAL_S
            await self._clock.sleep(TICK_S)

    async def _exchange_directories(self) -> None:
        while True:
            await self._ask_directory()
            jitter = self._random.uniform(1 - EXCHANGE_JITTER, 1 + EXCHANGE_JITTER)
            # A proxy that has just started can admit nothing before it knows the holders.
            interval_s = EXCHANGE_INTERVAL_S if self.directory.list_holders() else LOOKUP_INTERVAL_S
            await self._clock.sleep(interval_s * jitter)

    async def _look_up_holders(self) -> None:
        """Ask a peer for the directory, at most once an interval."""
        now = self._clock.monotonic()
        if now - self._looked_up_at >= LOOKUP_INTERVAL_S:
            self._looked_up_at = now
            await self._ask_directory()

    async def _ask_directory(self) -> None:
        local = self._membership.local.vm
        others = [member for member in self._membership.members() if member.vm != local]
        if not others:
            return
        request = DirectoryRequest(digest=self.directory.digest())
        try:
            answer = await self._transport.call(
                self._random.choice(others).address, request, timeout_s=EXCHANGE_TIMEOUT_S
            )
        except (PeerUnreachable, PeerAnswerLost, PeerRejected):
            return
        assert isinstance(answer, DirectoryAnswer)
        self.directory.merge(answer.holders)

    async def _serve(self, sender: Sender, request: TokenRequest) -> object:
        return await self.lender.serve(request)

    async def _send_directory(self, sender: Sender, request: DirectoryRequest) -> DirectoryAnswer:
        if request.digest == self.directory.digest():
            return DirectoryAnswer(holders=())
        return DirectoryAnswer(holders=self.directory.list_holders())

    def _take_report(self, sender: Sender, report: TokenReport) -> None:
        self.lender.apply_reports(report.lender_incarnation, report.reports)

    def _take_offer(self, sender: Sender, offer: ShareOffer) -> None:
        self.lease_manager.accept_offer(offer)

    def _take_announcement(self, sender: Sender, announcement: ShareAnnouncement) -> None:
        self.directory.merge([announcement.holder])
