"""Client of the platform's promotion service."""

from http import HTTPStatus

from ..http.exchange import ExchangeFailed
from ..takeover.authority import PromotionResult
from ..telemetry.log import Log
from .duty import call_duty

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
        body = {"service": service, "id": server}
        try:
            status = await call_duty(self._address, "/promote", body, holder=holder, token=token)
        except ExchangeFailed as error:
            log.warning("promotion_unanswered", service=service, server=server, detail=error.detail)
            return PromotionResult.UNKNOWN
        log.info("promotion_answered", service=service, server=server, token=token, status=status)
        return RESULTS_BY_STATUS.get(status, PromotionResult.UNKNOWN)
