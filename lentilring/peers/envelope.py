"""Envelopes around messages between peers, and the messages of the connection handshake."""

from dataclasses import dataclass
from enum import StrEnum, unique

from .messages import message
from .transport import Sender


@unique
class EnvelopeKind(StrEnum):
    """Say what an envelope carries."""

    CALL = "call"
    ANSWER = "answer"
    REJECTION = "rejection"
    DATAGRAM = "datagram"


@unique
class RejectionReason(StrEnum):
    """Say why a connection, datagram or request was rejected."""

    DEPLOYMENT = "deployment"
    AUTHENTICATION = "authentication"
    MALFORMED = "malformed"
    HANDSHAKE_TIMEOUT = "handshake_timeout"
    TOO_MANY_HANDSHAKES = "too_many_handshakes"
    FRAME_TIMEOUT = "frame_timeout"
    CONNECTION_BYTES = "connection_bytes"
    NO_ROOM = "no_room"
    NO_HANDLER = "no_handler"
    HANDLER_FAILED = "handler_failed"
    ANSWER_INVALID = "answer_invalid"


@message
@dataclass(frozen=True, kw_only=True)
class Envelope:
    """Carry an encoded message, or the detail of a rejection, with its sender."""

    request_id: int
    kind: EnvelopeKind
    vm: str
    incarnation: int
    address: str
    body: bytes = b""
    detail: str = ""

    @property
    def sender(self) -> Sender:
        """Return the process that sent the envelope."""
        return Sender(vm=self.vm, incarnation=self.incarnation, address=self.address)


@message
@dataclass(frozen=True, kw_only=True)
class ConnectionHello:
    """Begin the handshake with the caller's deployment and nonce."""

    deployment: str
    nonce: bytes


@message
@dataclass(frozen=True, kw_only=True)
class ConnectionChallenge:
    """Answer a ConnectionHello with the listener's nonce and its proof over both nonces."""

    nonce: bytes
    proof: bytes


@message
@dataclass(frozen=True, kw_only=True)
class ConnectionProof:
    """Prove to the listener that the caller knows the shared secret."""

    proof: bytes


@message
@dataclass(frozen=True, kw_only=True)
class ConnectionRefusal:
    """Say why a connection is refused, before it is closed."""

    reason: RejectionReason
