"""Proofs that a peer knows the shared secret and belongs to the same deployment (RFC 2104)."""

import hmac
import secrets

NONCE_BYTES = 32
MAC_BYTES = 32


class Authenticator:
    """Make and check HMAC-SHA256 codes under a key for one deployment."""

    def __init__(self, *, deployment: str, secret: bytes) -> None:
        self.deployment = deployment
        self._key = hmac.digest(secret, b"lentilring-deployment:" + deployment.encode(), "sha256")

    def make_nonce(self) -> bytes:
        """Return a random challenge."""
        return secrets.token_bytes(NONCE_BYTES)

    def prove_listener(self, *, caller_nonce: bytes, listener_nonce: bytes) -> bytes:
        """Return the listener's proof for both challenges."""
        return self._sign(b"listener", caller_nonce + listener_nonce)

    def prove_caller(self, *, caller_nonce: bytes, listener_nonce: bytes) -> bytes:
        """Return the caller's proof; it differs from the listener's, so none can be reflected."""
        return self._sign(b"caller", caller_nonce + listener_nonce)

    def seal(self, payload: bytes) -> bytes:
        """Return a datagram: the code of a payload and the payload."""
        return self._sign(b"datagram", payload) + payload

    def open(self, datagram: bytes) -> bytes | None:
        """Return the payload of a datagram, or None if its code is wrong."""
        code, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        return payload if self.matches(code, self._sign(b"datagram", payload)) else None

    @staticmethod
    def matches(given: bytes, expected: bytes) -> bool:
        """Compare two codes in constant time."""
        return hmac.compare_digest(given, expected)

    def _sign(self, purpose: bytes, payload: bytes) -> bytes:
        return hmac.digest(self._key, purpose + b"\0" + payload, "sha256")
