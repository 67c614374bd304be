"""A stand-in for the configuration that the platform's operator writes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"


@dataclass(frozen=True, kw_only=True)
class StandinAccount:
    """Describe one client account; its burst is one second of its rate."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float


def build_configuration(
    version: int, *, service: str, accounts: Iterable[StandinAccount]
) -> dict[str, Any]:
    """Return a configuration with one route for each consistency level."""
    return {
        "version": version,
        "routes": [
            _build_route("booking", "primary", 0, service),
            _build_route("stock", "bounded_staleness", 1500, service),
            _build_route("delivery", "read_your_writes", 2500, service),
        ],
        "services": [{"name": service, "max-connections": 24, "sync-replicas": 1}],
        "limits": {"tx-idle-ms": 2000},
        "tenants": [
            {
                "name": account.name,
                "api-keys": list(account.keys),
                "rate-per-s": account.rate_per_s,
                "burst": account.rate_per_s,
            }
            for account in accounts
        ],
    }


def _build_route(name: str, kind: str, staleness_ms: int, service: str) -> dict[str, Any]:
    return {
        "name": f"r-{name}",
        "host": name,
        "type": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 800,
        "priority": 1,
        "service": service,
        "max-staleness-ms": staleness_ms,
    }
