"""What surrounds messages between peers: envelopes and the handshake of a connection."""

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
    NO_HANDLER = "no_handler"
    HANDLER_FAILED = "handler_failed"
    ANSWER_INVALID = "answer_invalid"


@message
@dataclass(frozen=True, kw_only=True)
class Envelope:
    """Carry an encoded message, or the detail of a rejection, and name its sender."""

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
    """Open a connection: the caller's deployment and challenge."""

    deployment: str
    nonce: bytes


@message
@dataclass(frozen=True, kw_only=True)
class ConnectionChallenge:
    """Answer a ConnectionHello: the listener's challenge and its proof for the caller's."""

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
