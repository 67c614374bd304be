"""The view `/explain-route` of session proxies: where a request would go, as JSON."""

import re
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from ..sessions.route_messages import RequestKind, RouteExplanation, RouteQuestion
from ..telemetry.metrics import Telemetry
from .probe import ProbeRequest, ProbeResponse

ROUTE_VIEW_PATH = "/explain-route"
# A header, because query strings are often logged. It holds the hash, so that keys are not sent.
KEY_HASH_HEADER = "x-key-hash"
KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_NAME_LENGTH = 256


class RouteViewInvalid(ValueError):
    """Report a question that cannot be read."""


class RouteViewer:
    """Answer questions where a request would go."""

    def __init__(
        self, *, explain: Callable[[RouteQuestion], RouteExplanation], telemetry: Telemetry
    ) -> None:
        self._explain, self._telemetry = explain, telemetry

    def answer(self, request: ProbeRequest) -> ProbeResponse:
        """Return the explanation as JSON, or what is wrong with the question."""
        self._telemetry.count("route_explanations")
        try:
            question = read_question(request)
        except RouteViewInvalid as error:
            return ProbeResponse(status=HTTPStatus.BAD_REQUEST, content=str(error).encode())
        return ProbeResponse(
            status=HTTPStatus.OK,
            content=msgspec.json.encode(self._explain(question)),
            content_type="application/json",
        )


def read_question(request: ProbeRequest) -> RouteQuestion:
    """Return the question of a request; raise RouteViewInvalid."""
    if request.query.keys() - {"route", "kind"}:
        raise RouteViewInvalid("only the parameters route and kind are known")
    route = request.query.get("route", "")
    if not 1 <= len(route) <= MAX_NAME_LENGTH:
        raise RouteViewInvalid(f"route must have 1 to {MAX_NAME_LENGTH} characters")
    kind = request.query.get("kind", RequestKind.READ)
    if kind not in list(RequestKind):
        raise RouteViewInvalid(f"kind must be one of {', '.join(RequestKind)}")
    key_hash = request.headers.get(KEY_HASH_HEADER, "")
    if key_hash and not KEY_HASH_PATTERN.fullmatch(key_hash):
        raise RouteViewInvalid(f"{KEY_HASH_HEADER} must be 64 lower-case hexadecimal digits")
    return RouteQuestion(route=route, kind=RequestKind(kind), key_hash=key_hash)
