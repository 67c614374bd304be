"""The platform's promotion call."""

import aiohttp
import msgspec
from yarl import URL

from ..kernel import Service
from ..takeover.authority import PromotionResult
from ..telemetry.log import Log
from .client import HTTP_CONFLICT, HTTP_OK, prevent_repeat
from .objects import open_socket

HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
CALL_TIMEOUT_S = 1.5

log = Log(source="platform")


class PlatformPromotion(Service):
    """Implement PromotionService."""

    def __init__(self, *, address: str) -> None:
        self._url = URL(f"http://{address}/promote")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; each call has its own connection, since idle ones may go silent."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, socket_factory=open_socket),
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(prevent_repeat,),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def promote(
        self, *, service: str, server: str, holder: str, token: int
    ) -> PromotionResult:
        """Ask once for a promotion."""
        if self._session is None:
            return PromotionResult.BUSY
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(token),
        }
        body = msgspec.json.encode({"service": service, "id": server})
        try:
            async with self._session.post(self._url, data=body, headers=headers) as answer:
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError) as error:
            log.warning("promotion_unanswered", service=service, server=server, detail=repr(error))
            return PromotionResult.UNKNOWN
        log.info("promotion_answered", service=service, server=server, token=token, status=status)
        if status == HTTP_OK:
            return PromotionResult.ACCEPTED
        if status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            return PromotionResult.BUSY
        return PromotionResult.REFUSED if status == HTTP_CONFLICT else PromotionResult.UNKNOWN
