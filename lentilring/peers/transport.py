"""The interface through which services exchange messages with other lentilring processes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol, TypeVar

from ..errors import LentilringError

M = TypeVar("M")

MAX_DATAGRAM_BYTES = 1200


@dataclass(frozen=True, kw_only=True)
class Sender:
    """Identify the process that sent a message."""

    vm: str
    incarnation: int
    address: str


@dataclass(kw_only=True, eq=False)
class PeerUnreachable(LentilringError):
    """Report that a request was not sent."""

    address: str
    detail: str = ""


@dataclass(kw_only=True, eq=False)
class PeerAnswerLost(LentilringError):
    """Report that a request was sent but not answered; the peer may have run it."""

    address: str
    detail: str = ""


@dataclass(kw_only=True, eq=False)
class PeerRejected(LentilringError):
    """Report that the peer refused to handle a request: unknown message or failed handler."""

    address: str
    detail: str = ""


@singledispatch
def describe_request(request: object) -> dict[str, object]:
    """Return what a log line says of a request without an answer; empty for one without a line."""
    return {}


class PeerTransport(Protocol):
    """Exchange typed messages with peers; addresses are `ip:port`."""

    async def call(self, address: str, request: object, *, timeout_s: float) -> object:
        """Return a peer's answer; raise PeerUnreachable, PeerAnswerLost or PeerRejected."""
        ...

    def handle(
        self, request_type: type[M], handler: Callable[[Sender, M], Awaitable[object]]
    ) -> None:
        """Register a coroutine that answers requests of a type."""
        ...

    def send_datagram(self, address: str, message: object) -> None:
        """Send a message of at most MAX_DATAGRAM_BYTES that may be lost."""
        ...

    def handle_datagram(self, message_type: type[M], handler: Callable[[Sender, M], None]) -> None:
        """Register a function that receives datagrams of a type."""
        ...
