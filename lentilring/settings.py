"""Settings of the proxy; each is a flag and an environment variable, checked once at start."""

from dataclasses import MISSING, Field, fields
from enum import StrEnum
from typing import Annotated, Any, get_args, get_type_hints

from pydantic import ConfigDict
from pydantic import Field as Check
from pydantic.dataclasses import dataclass

ENVIRONMENT_PREFIX = "LENTILRING_"

Address = Annotated[str, Check(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Label = Annotated[str, Check(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class LogLevel(StrEnum):
    """Name the levels of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def _describe(text: str) -> Any:
    return Check(description=text)


@dataclass(frozen=True, kw_only=True, config=ConfigDict(extra="forbid"))
class ProxySettings:
    """Hold the settings of one proxy process."""

    vm: Annotated[Label, _describe("name of this VM, unique in the deployment")]
    failure_domain: Annotated[Label, _describe("failure domain of this VM")]
    region: Annotated[Label, _describe("region of this VM")]
    platform_address: Annotated[Address, _describe("ip:port of the platform's object API")]
    secret: Annotated[
        str,
        Check(min_length=8, max_length=256, description="secret shared by all proxies"),
    ]
    http_address: Annotated[Address, _describe("ip:port for callers")] = "127.0.0.1:8080"
    admin_address: Annotated[Address, _describe("ip:port for operators")] = "127.0.0.1:8081"
    peer_address: Annotated[Address, _describe("ip:port for peers, TCP and UDP")] = "127.0.0.1:7400"
    admin_token: Annotated[
        str, Check(max_length=256, description="bearer token of operators; empty: no token needed")
    ] = ""
    deployment: Annotated[Label, _describe("name of the deployment; others are rejected")] = (
        "lentilring"
    )
    seeds: Annotated[
        str, _describe("peers to ask when the platform is down at start: ip:port, comma-separated")
    ] = ""
    http_threads: Annotated[
        int, Check(ge=2, le=1024, description="threads that parse callers' requests")
    ] = 48
    max_body_bytes: Annotated[
        int, Check(ge=1024, le=16_777_216, description="greatest request body, in bytes")
    ] = 262_144
    body_timeout_s: Annotated[
        float, Check(gt=0, le=60, description="time for a request body to arrive, in seconds")
    ] = 5.0
    default_deadline_s: Annotated[
        float, Check(gt=0, le=60, description="deadline of requests that state none, in seconds")
    ] = 5.0
    drain_timeout_s: Annotated[
        float, Check(ge=0, le=300, description="time for running requests at shutdown, in seconds")
    ] = 20.0
    withdrawal_bound_s: Annotated[
        float,
        Check(ge=0.5, le=60, description="greatest age of the configuration's proof, in seconds"),
    ] = 3.0
    lease_duration_s: Annotated[
        float, Check(ge=5, le=86_400, description="duration of rate-limit leases, in seconds")
    ] = 1800.0
    log_level: Annotated[LogLevel, _describe("least level of logged events")] = LogLevel.INFO


@dataclass(frozen=True, kw_only=True, config=ConfigDict(extra="forbid"))
class SessionProxySettings:
    """Hold the settings of a proxy for the session protocol on a prepared platform."""

    vm: Annotated[Label, _describe("name of this VM, unique in the deployment")]
    failure_domain: Annotated[Label, _describe("failure domain of this VM")]
    region: Annotated[Label, _describe("region of this VM")]
    regions: Annotated[dict[str, str], _describe("region of each failure domain")]
    session_address: Annotated[Address, _describe("ip:port for callers' sessions")]
    readiness_address: Annotated[Address, _describe("ip:port of the balancer's probe")]
    peer_address: Annotated[Address, _describe("ip:port for peers, TCP and UDP")]
    metrics_address: Annotated[Address, _describe("ip:port of the metrics")]
    store_address: Annotated[Address, _describe("ip:port of the platform's store")]
    promotion_address: Annotated[Address, _describe("ip:port that promotions are asked of")]
    weight: Annotated[
        float, Check(gt=0, le=1024, description="processor share relative to other VMs")
    ] = 1.0
    max_sessions: Annotated[
        int, Check(ge=1, le=1_000_000, description="sessions at a time; further ones are closed")
    ] = 2000
    max_configuration_age_s: Annotated[
        float, Check(gt=0, le=3600, description="unconfirmed configuration is refused after this")
    ] = 15.0
    limit_window_s: Annotated[
        float, Check(gt=0, le=3600, description="window of the accounts' limits, in seconds")
    ] = 5.0
    limit_overage: Annotated[
        float, Check(ge=0, le=10, description="tolerance of the accounts' limits, relative")
    ] = 0.0
    limit_slack: Annotated[
        float, Check(ge=0, le=1e6, description="tolerance of the accounts' limits, in requests")
    ] = 0.0
    leaving_grace_s: Annotated[
        float, Check(ge=0, le=3600, description="work for a primary that leaves, in seconds")
    ] = 5.0
    evacuation_grace_s: Annotated[
        float, Check(ge=0, le=3600, description="work for an evacuated primary, in seconds")
    ] = 3.0
    drain_timeout_s: Annotated[
        float, Check(ge=0, le=300, description="time from SIGTERM to the end, in seconds")
    ] = 6.0
    log_level: Annotated[LogLevel, _describe("least level of logged events")] = LogLevel.INFO


def list_settings(settings: type) -> list[Field[Any]]:
    """Return the fields of a settings class in order."""
    return list(fields(settings))


def read_check(settings: type, name: str) -> tuple[Any, str, str]:
    """Return a setting's type, its description and the values it allows."""
    hint = get_type_hints(settings, include_extras=True)[name]
    base, *checks = get_args(hint)
    description, allowed = "", []
    for check in checks:
        description = getattr(check, "description", None) or description
        allowed += [format_constraint(entry) for entry in getattr(check, "metadata", [])]
    if isinstance(base, type) and issubclass(base, StrEnum):
        allowed.append(", ".join(base))
    return base, description, "; ".join(allowed)


def has_default(entry: Field[Any]) -> bool:
    """Tell whether a setting may be left out."""
    return entry.default is not MISSING


def format_constraint(entry: object) -> str:
    """Return one of a field's checks as text; empty for what is no constraint."""
    names = {
        "ge": "at least",
        "gt": "above",
        "le": "at most",
        "min_length": "length at least",
        "max_length": "length at most",
        "pattern": "matching",
    }
    found = [f"{text} {getattr(entry, key)}" for key, text in names.items() if hasattr(entry, key)]
    return " ".join(found)
