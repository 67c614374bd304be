"""A client account's effective values, without the checks of the objects that they come from."""

import hashlib
from dataclasses import dataclass

MAX_RATE_PER_S = 1_000_000.0
MAX_BURST = 1_000_000.0


@dataclass(frozen=True, kw_only=True)
class ClientAccount:
    """Hold a client account's effective values: its parameters over its template."""

    name: str
    rate_per_s: float
    burst: float
    max_staleness_s: float | None
    services: tuple[str, ...]
    open_routes: tuple[str, ...]
    key_hashes: tuple[str, ...]


def hash_key(key: str) -> str:
    """Return the SHA-256 of a caller's key; only hashes are stored."""
    return hashlib.sha256(key.encode()).hexdigest()
