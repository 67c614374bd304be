"""Asks a session proxy where a request would go."""

from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from ..errors import LentilringError
from ..http.exchange import ExchangeFailed, exchange
from ..http.route_view import KEY_HASH_HEADER, ROUTE_VIEW_PATH
from ..sessions.route_messages import FORMAT, RouteExplanation, RouteQuestion

TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0


@dataclass(kw_only=True, eq=False)
class SessionProxyUnavailable(LentilringError):
    """Report that a session proxy cannot be reached or did not answer completely."""

    address: str
    detail: str


@dataclass(kw_only=True, eq=False)
class RouteAnswerInvalid(LentilringError):
    """Report an answer that is an error or that this version cannot read."""

    address: str
    detail: str


async def ask_route(address: str, question: RouteQuestion) -> RouteExplanation:
    """Return a proxy's answer; raise SessionProxyUnavailable or RouteAnswerInvalid."""
    query = urlencode({"route": question.route, "kind": question.kind})
    headers = {KEY_HASH_HEADER: question.key_hash} if question.key_hash else {}
    try:
        answer = await exchange(
            address,
            "GET",
            f"{ROUTE_VIEW_PATH}?{query}",
            headers=headers,
            timeout_s=TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
    except ExchangeFailed as error:
        raise SessionProxyUnavailable(address=address, detail=error.detail) from error
    if answer.status == 404:
        detail = "this address does not explain routes; an older proxy or not a metrics address"
        raise RouteAnswerInvalid(address=address, detail=detail)
    if answer.status != 200:
        text = answer.content.decode(errors="replace")
        raise RouteAnswerInvalid(address=address, detail=f"HTTP {answer.status} {text}".strip())
    return _decode(address, answer.content)


def _decode(address: str, content: bytes) -> RouteExplanation:
    try:
        document = msgspec.json.decode(content, type=dict[str, object])
        if document.get("format") != FORMAT:
            detail = f"the answer has format {document.get('format')!r}, known is {FORMAT}"
            raise RouteAnswerInvalid(address=address, detail=detail)
        return msgspec.json.decode(content, type=RouteExplanation)
    except msgspec.DecodeError as error:
        raise RouteAnswerInvalid(address=address, detail=str(error)) from error
