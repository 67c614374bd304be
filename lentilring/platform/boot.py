"""Reading of the platform's settings file into the settings of the proxy."""

from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..session_settings import SessionProxySettings, check_settings

BOOT_VARIABLE = "LENTILRING_BOOT"
METRICS_PORT = 9464
# File descriptors for files, the store, backend servers and peers; the others serve sessions.
RESERVED_DESCRIPTORS = 600
# The program without sessions, which has 35 MB right after its start.
PROGRAM_BYTES = 60_000_000
# An idle session with its task and buffers, of which 7 KB were measured, and the kernel's socket.
SESSION_BYTES = 16_000
# Part of the remaining memory that connections may hold: the rest is for copies that exist while a
# message is handled, for memory that the allocator keeps, and for answers of servers and peers.
CONNECTION_SHARE = 0.5
# Enough for one message of the greatest size in the widest text, with its copies.
MIN_CONNECTION_BYTES = 12_000_000
# The proxy refuses an unconfirmed configuration this long before the platform's own bound ends.
CONFIGURATION_AGE_MARGIN_S = 2.0
# Part of the grace period after draining, for the last answers, all services' stop and the exit.
DRAIN_MARGIN_S = 1.0
# Time for the announcement to reach this proxy and for the last statements to reach the server.
WITHDRAWAL_MARGIN_S = 1.5
USAGE_DUTY = "usage_report"

# Entry of `invariants` that asks for servers to be judged and paced by their answers.
HEALTH_INVARIANT = "health"

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _BootStruct(msgspec.Struct, rename="kebab", kw_only=True):
    """Ignore unknown fields, which later versions of the file may have."""


class _Addresses(_BootStruct):
    frontend_addr: str
    readiness: str


class _Limits(_BootStruct):
    cpu_share: float = 1.0
    cpu_speed_factor: float = 1.0
    max_fds: int = 4096
    memory_mb: float = 200


class _Bounds(_BootStruct):
    config_apply_ms: float = 3000
    outer_ms: float = 0
    grace_s: float = 6
    drain_ms: float = 7000
    quota_window_s: float = 5
    quota_overage: float = 0
    quota_slack: float = 0
    evacuate_ms: float = 5000
    report_window_s: float = 5
    usage_late_s: float = 10
    lease_ms: float = 3000


class _Endpoint(_BootStruct):
    address: str


class _CloudApi(_Endpoint):
    duties: list[str] = []


class BootFile(_BootStruct):
    """Hold the part of the settings file that lentilring uses."""

    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    bind_addresses: _Addresses
    internal_port_range: tuple[Port, Port]
    platform: _Endpoint
    cloud_api: _CloudApi
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # What the platform checks, by name.
    invariants: tuple[str, ...] = ()


def read_boot_file(path: Path) -> SessionProxySettings:
    """Return the settings in a file; raise msgspec.ValidationError or OSError."""
    return build_settings(msgspec.json.decode(path.read_bytes(), type=BootFile))


def build_settings(boot: BootFile, **extra_settings: Any) -> SessionProxySettings:
    """Return the settings of the proxy; `extra_settings` are fields that the file does not set."""
    limits, bounds = boot.limits, boot.bounds
    max_sessions = max(16, limits.max_fds - RESERVED_DESCRIPTORS)
    values = {
        "vm": boot.node_name,
        "failure_domain": boot.zone,
        "region": boot.region,
        "regions": boot.zones,
        "session_address": boot.bind_addresses.frontend_addr,
        "readiness_address": boot.bind_addresses.readiness,
        "peer_address": f"{boot.ip}:{boot.internal_port_range[0]}",
        "metrics_address": f"{boot.ip}:{METRICS_PORT}",
        "store_address": boot.platform.address,
        "promotion_address": boot.cloud_api.address,
        "weight": limits.cpu_share * limits.cpu_speed_factor,
        "max_sessions": max_sessions,
        "connection_bytes": derive_connection_bytes(limits.memory_mb, max_sessions),
        "max_configuration_age_s": max(
            1.0, (bounds.config_apply_ms + bounds.outer_ms) / 1000 - CONFIGURATION_AGE_MARGIN_S
        ),
        "configuration_delay_s": bounds.config_apply_ms / 1000,
        "limit_window_s": bounds.quota_window_s,
        "limit_overage": bounds.quota_overage,
        "limit_slack": bounds.quota_slack,
        "leaving_grace_s": max(0.0, bounds.drain_ms / 1000 - WITHDRAWAL_MARGIN_S),
        "evacuation_grace_s": max(0.0, bounds.evacuate_ms / 1000 - WITHDRAWAL_MARGIN_S),
        "drain_timeout_s": max(0.5, bounds.grace_s - DRAIN_MARGIN_S),
        "transaction_end_time_s": bounds.grace_s / 2,
        "judges_servers": HEALTH_INVARIANT in boot.invariants,
        "report_window_s": bounds.report_window_s if USAGE_DUTY in boot.cloud_api.duties else 0.0,
        "usage_late_s": bounds.usage_late_s,
        "usage_lease_s": bounds.lease_ms / 1000,
        "paces_servers": HEALTH_INVARIANT in boot.invariants,
    }
    return check_settings(values | extra_settings)


def derive_connection_bytes(memory_mb: float, max_sessions: int) -> int:
    """Return the bytes that all connections may hold together on a VM with this much memory."""
    free_bytes = memory_mb * 1e6 - PROGRAM_BYTES - max_sessions * SESSION_BYTES
    return max(MIN_CONNECTION_BYTES, int(free_bytes * CONNECTION_SHARE))
