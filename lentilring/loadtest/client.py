"""HTTP client of the proxies: one request in, one answer out."""

import base64
import binascii
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from .balancer import Balancer
from .records import RequestOutcome

# The proxy answers within the request's deadline; later than this its answer is given up.
CLIENT_MARGIN_S = 5.0
MAX_CONNECT_ATTEMPTS = 3


@dataclass(frozen=True, kw_only=True)
class Call:
    """Hold one request to any proxy."""

    path: str
    statement: dict[str, Any] | None
    key: str
    session: str
    idempotency_key: str
    request_id: str
    deadline_ms: int


@dataclass(frozen=True, kw_only=True)
class Answer:
    """Hold what came back, and which proxy was asked."""

    proxy: str
    outcome: RequestOutcome
    reason: str = ""
    detail: str = ""
    result: Any = None
    session: str = ""
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False


class ProxyCaller:
    """Send calls; a connection that no proxy takes is tried at others, as callers do."""

    def __init__(self, *, http: aiohttp.ClientSession, balancer: Balancer) -> None:
        self._http = http
        self._balancer = balancer

    async def send(self, call: Call, proxy: str, allowed: tuple[str, ...]) -> Answer:
        """Return the answer of the chosen proxy, or of another one that takes the connection."""
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                return await self._send_once(call, proxy)
            except aiohttp.ClientConnectorError:
                self._balancer.mark_unreachable(proxy)
                failed, proxy = proxy, self._balancer.choose(allowed)
        return Answer(proxy=failed, outcome=RequestOutcome.NOT_SENT, reason="client_no_connection")

    async def _send_once(self, call: Call, proxy: str) -> Answer:
        url = f"http://{self._balancer.address(proxy)}{call.path}"
        body = b"" if call.statement is None else msgspec.json.encode({"statement": call.statement})
        timeout = aiohttp.ClientTimeout(total=call.deadline_ms / 1000 + CLIENT_MARGIN_S)
        try:
            async with self._http.post(
                url, data=body, headers=_build_headers(call), timeout=timeout
            ) as response:
                return parse_answer(proxy, response.status, await response.read())
        except aiohttp.ClientConnectorError:
            raise
        except TimeoutError:
            return _lost(proxy, "client_timeout")
        except (aiohttp.ClientError, OSError) as error:
            return _lost(proxy, "client_connection_lost", type(error).__name__)


def parse_answer(proxy: str, status: int, body: bytes) -> Answer:
    """Return the answer in a response; one that is not of the proxy's form leaves it unknown."""
    try:
        content = msgspec.json.decode(body)
        outcome = RequestOutcome(content["outcome"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return _lost(proxy, "client_bad_answer", f"status {status}")
    return Answer(
        proxy=proxy,
        outcome=outcome,
        reason=content.get("reason", ""),
        detail=content.get("detail", ""),
        result=content.get("result"),
        session=content.get("session") or "",
        served_by=content.get("served_by", ""),
        from_replica=content.get("from_replica", False),
        replayed=content.get("replayed", False),
    )


def read_position(token: str) -> tuple[int, int] | None:
    """Return (term, position) of a session token, None if it has another form."""
    try:
        content = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        _, term, position = msgspec.json.decode(content, type=tuple[str, int, int])
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
    return term, position


def _lost(proxy: str, reason: str, detail: str = "") -> Answer:
    return Answer(proxy=proxy, outcome=RequestOutcome.OUTCOME_UNKNOWN, reason=reason, detail=detail)


def _build_headers(call: Call) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {call.key}",
        "Lentilring-Deadline-Ms": str(call.deadline_ms),
        "X-Request-Id": call.request_id,
        "Content-Type": "application/json",
    }
    if call.session:
        headers["Lentilring-Session"] = call.session
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers
