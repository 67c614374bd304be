"""Client of the platform's service for usage reports."""

from http import HTTPStatus

from ..http.exchange import ExchangeFailed
from ..telemetry.log import Log
from ..usage.reports import ReportResult, UsageReport
from .duty import call_duty

# The record is checked immediately before the call, so little time may pass until it is sent.
CONNECT_TIMEOUT_S = 0.5

RESULTS_BY_STATUS: dict[int, ReportResult] = {
    HTTPStatus.OK: ReportResult.ACCEPTED,
    HTTPStatus.CONFLICT: ReportResult.FENCED,
    HTTPStatus.TOO_MANY_REQUESTS: ReportResult.BUSY,
    HTTPStatus.SERVICE_UNAVAILABLE: ReportResult.BUSY,
}

log = Log(source="platform")


class PlatformUsage:
    """Implement UsageService."""

    def __init__(self, *, address: str) -> None:
        self._address = address

    async def send(self, report: UsageReport, *, holder: str, token: int) -> ReportResult:
        """Send a report to the platform once."""
        body = {"window-index": report.window, "counts": dict(report.counts)}
        try:
            status = await call_duty(
                self._address,
                "/usage",
                body,
                holder=holder,
                token=token,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except ExchangeFailed as error:
            log.warning("usage_report_unanswered", window=report.window, detail=error.detail)
            return ReportResult.UNKNOWN
        log.info("usage_report_answered", window=report.window, token=token, status=status)
        if status in RESULTS_BY_STATUS:
            return RESULTS_BY_STATUS[status]
        is_request_wrong = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        return ReportResult.REJECTED if is_request_wrong else ReportResult.UNKNOWN
