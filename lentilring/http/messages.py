"""Requests and responses passed between the HTTP server's threads and the event loop."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """Hold a parsed request; `headers` have lower-case names."""

    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """Hold a response to be sent."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    closes_connection: bool = False
