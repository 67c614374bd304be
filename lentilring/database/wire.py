"""The protocol on a connection between a gateway and a backend server.

Each frame holds a request id of eight bytes, big endian, and one encoded message; an answer
repeats the id of its request. The first request of a connection is a BackendHello.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ..peers.codec import DecodeFailed, decode, encode
from ..peers.frames import FrameParser, FrameTooLarge, encode_frame
from ..peers.messages import message

REQUEST_ID_BYTES = 8


class ConnectionKind(StrEnum):
    """Say what a connection is for; replication does not count towards the connection limit."""

    STATEMENT = "statement"
    CONTROL = "control"
    REPLICATION = "replication"


@message
@dataclass(frozen=True, kw_only=True)
class BackendHello:
    """Name the client of a new connection and what the connection is for."""

    client: str
    kind: ConnectionKind


@message
@dataclass(frozen=True, kw_only=True)
class BackendWelcome:
    """Accept a connection."""

    server: str


@message
@dataclass(frozen=True, kw_only=True)
class BackendRefusal:
    """Refuse a connection, for example because the connection limit is reached."""

    detail: str


class FrameStream(asyncio.Protocol):
    """Exchange messages with request ids; malformed input closes the connection."""

    def __init__(
        self,
        *,
        on_message: Callable[["FrameStream", int, object], None],
        on_lost: Callable[["FrameStream"], None],
    ) -> None:
        self._on_message = on_message
        self._on_lost = on_lost
        self._parser = FrameParser()
        self._transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on each complete message."""
        self._parser.feed(data)
        try:
            while self.is_open and (payload := self._parser.next_frame()) is not None:
                request_id = int.from_bytes(payload[:REQUEST_ID_BYTES], "big")
                self._on_message(self, request_id, decode(payload[REQUEST_ID_BYTES:]))
        except (DecodeFailed, FrameTooLarge):
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self._on_lost(self)

    def send(self, request_id: int, body: object) -> None:
        """Send a message; raise EncodeFailed or FrameTooLarge before anything is sent."""
        assert self._transport is not None
        encoded = encode(body)
        self._transport.write(encode_frame(request_id.to_bytes(REQUEST_ID_BYTES, "big") + encoded))

    def close(self) -> None:
        """Close the connection once everything sent has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()
