"""Client of the platform's promotion service."""

from http import HTTPStatus

import msgspec

from ..http.exchange import ExchangeFailed, exchange
from ..takeover.authority import PromotionResult
from ..telemetry.log import Log

CALL_TIMEOUT_S = 1.5

RESULTS_BY_STATUS: dict[int, PromotionResult] = {
    HTTPStatus.OK: PromotionResult.ACCEPTED,
    HTTPStatus.CONFLICT: PromotionResult.REFUSED,
    HTTPStatus.TOO_MANY_REQUESTS: PromotionResult.BUSY,
    HTTPStatus.SERVICE_UNAVAILABLE: PromotionResult.BUSY,
}

log = Log(source="platform")


class PlatformPromotion:
    """Implement PromotionService."""

    def __init__(self, *, address: str) -> None:
        self._address = address

    async def promote(
        self, *, service: str, server: str, holder: str, token: int
    ) -> PromotionResult:
        """Ask the platform once to promote a server."""
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": holder,
            "X-Fencing-Token": str(token),
        }
        try:
            answer = await exchange(
                self._address,
                "POST",
                "/promote",
                content=msgspec.json.encode({"service": service, "id": server}),
                headers=headers,
                timeout_s=CALL_TIMEOUT_S,
                connect_timeout_s=CALL_TIMEOUT_S,
            )
        except ExchangeFailed as error:
            log.warning("promotion_unanswered", service=service, server=server, detail=error.detail)
            return PromotionResult.UNKNOWN
        status = answer.status
        log.info("promotion_answered", service=service, server=server, token=token, status=status)
        return RESULTS_BY_STATUS.get(status, PromotionResult.UNKNOWN)
