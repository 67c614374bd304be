"""Effective values of client accounts; `models` validates the objects they are built from."""

import hashlib
from dataclasses import dataclass

MAX_RATE_PER_S = 1_000_000.0
MAX_BURST = 1_000_000.0


@dataclass(frozen=True, kw_only=True)
class ClientAccount:
    """Effective values of a client account: its own parameters, else those of its template."""

    name: str
    rate_per_s: float
    burst: float
    max_staleness_s: float | None
    services: tuple[str, ...]
    open_routes: tuple[str, ...]
    key_hashes: tuple[str, ...]


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a caller's API key; only hashes are stored."""
    return hashlib.sha256(key.encode()).hexdigest()
