"""HMAC proofs (RFC 2104) that a peer knows the secret and belongs to the same deployment."""

import hmac
import secrets
from collections.abc import Callable

NONCE_BYTES = 32
MAC_BYTES = 32


class Authenticator:
    """Create and verify HMAC-SHA256 codes (MACs) with a key derived for one deployment."""

    def __init__(self, *, deployment: str, secret: bytes) -> None:
        self.deployment = deployment
        self.on_mismatch: Callable[[], None] = _ignore_mismatch
        self.replace_secret(secret)

    def replace_secret(self, secret: bytes) -> None:
        """Use another secret from now on; connections that are open stay so."""
        context = b"lentilring-deployment:" + self.deployment.encode()
        self._key = hmac.digest(secret, context, "sha256")

    def make_nonce(self) -> bytes:
        """Return a random nonce that the peer must include in its proof."""
        return secrets.token_bytes(NONCE_BYTES)

    def prove_listener(self, *, caller_nonce: bytes, listener_nonce: bytes) -> bytes:
        """Return the listener's proof over both nonces."""
        return self._sign(b"listener", caller_nonce + listener_nonce)

    def prove_caller(self, *, caller_nonce: bytes, listener_nonce: bytes) -> bytes:
        """Return the caller's proof; it differs from the listener's, which prevents reflection."""
        return self._sign(b"caller", caller_nonce + listener_nonce)

    def sign_datagram(self, payload: bytes) -> bytes:
        """Return a datagram: the MAC of a payload, then the payload."""
        return self._sign(b"datagram", payload) + payload

    def verify_datagram(self, datagram: bytes) -> bytes | None:
        """Return the payload of a datagram, or None if its MAC is wrong."""
        mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        return payload if self.matches(mac, self._sign(b"datagram", payload)) else None

    def matches(self, given: bytes, expected: bytes) -> bool:
        """Compare two MACs in constant time; report a mismatch."""
        if hmac.compare_digest(given, expected):
            return True
        self.on_mismatch()
        return False

    def _sign(self, purpose: bytes, payload: bytes) -> bytes:
        return hmac.digest(self._key, purpose + b"\0" + payload, "sha256")


def _ignore_mismatch() -> None:
    """Do nothing; used until a process registers a callback."""
