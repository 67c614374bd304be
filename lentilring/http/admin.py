"""The operators' interface: status views and actions that services register."""

import hmac
import inspect
from collections.abc import Awaitable, Callable, Mapping
from urllib.parse import parse_qsl

from ..errors import LentilringError
from ..outcomes import JsonValue
from ..telemetry.log import Log
from .messages import HttpRequest, HttpResponse
from .problems import build_json

PREFIX = "/admin/"

View = Callable[[Mapping[str, str]], "JsonValue | Awaitable[JsonValue]"]

log = Log(source="admin")


class AdminInterface:
    """Answer operators' requests with the views registered for their paths."""

    def __init__(self, *, token: str) -> None:
        self._token = token
        self._views: dict[tuple[str, str], View] = {}

    def add_view(self, path: str, view: View, *, method: str = "GET") -> None:
        """Register the view for `/admin/<path>`; it is called with the query's parameters."""
        self._views[(method, path)] = view

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if not self._is_authorized(request):
            return build_json(401, {"error": "the operator token is missing or wrong"})
        path = request.path.removeprefix(PREFIX)
        view = self._views.get((request.method, path))
        if view is None or not request.path.startswith(PREFIX):
            known = sorted(f"{method} {PREFIX}{name}" for method, name in self._views)
            return build_json(404, {"error": f"no view {request.path}", "views": known})
        return await self._run_view(view, request)

    async def _run_view(self, view: View, request: HttpRequest) -> HttpResponse:
        try:
            content = view(dict(parse_qsl(request.query)))
            if inspect.isawaitable(content):
                content = await content
        except (KeyError, ValueError) as error:
            return build_json(400, {"error": f"parameter: {error}"})
        except LentilringError as error:
            log.warning("admin_view_failed", path=request.path, error=error)
            return build_json(503, {"error": str(error)})
        return build_json(200, content)

    def _is_authorized(self, request: HttpRequest) -> bool:
        if not self._token:
            return True
        given = request.headers.get("authorization", "")
        return hmac.compare_digest(given.encode(), f"Bearer {self._token}".encode())
