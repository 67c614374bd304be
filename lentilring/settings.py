"""Settings of the proxy; each is a flag and an environment variable, checked once at start."""

from dataclasses import MISSING, Field, fields
from enum import StrEnum
from typing import Annotated, Any, get_args, get_type_hints

from pydantic import ConfigDict
from pydantic import Field as Check
from pydantic.dataclasses import dataclass

from .setting_types import ADDRESS_PATTERN, LABEL_PATTERN
from .setting_types import LogLevel as LogLevel

ENVIRONMENT_PREFIX = "LENTILRING_"

Address = Annotated[str, Check(pattern=ADDRESS_PATTERN)]
Label = Annotated[str, Check(pattern=LABEL_PATTERN)]


def describe(text: str) -> Any:
    """Return a pydantic field that only describes a setting."""
    return Check(description=text)


@dataclass(frozen=True, kw_only=True, config=ConfigDict(extra="forbid"))
class ProxySettings:
    """Hold the settings of one proxy process."""

    vm: Annotated[Label, describe("name of this VM, unique in the deployment")]
    failure_domain: Annotated[Label, describe("failure domain of this VM")]
    region: Annotated[Label, describe("region of this VM")]
    platform_address: Annotated[Address, describe("ip:port of the platform's object API")]
    secret: Annotated[
        str,
        Check(min_length=8, max_length=256, description="secret shared by all proxies"),
    ]
    http_address: Annotated[Address, describe("ip:port for callers")] = "127.0.0.1:8080"
    admin_address: Annotated[Address, describe("ip:port for operators")] = "127.0.0.1:8081"
    peer_address: Annotated[Address, describe("ip:port for peers, TCP and UDP")] = "127.0.0.1:7400"
    admin_token: Annotated[
        str, Check(max_length=256, description="bearer token of operators; empty: no token needed")
    ] = ""
    deployment: Annotated[Label, describe("name of the deployment; others are rejected")] = (
        "lentilring"
    )
    seeds: Annotated[
        str, describe("peers to ask when the platform is down at start: ip:port, comma-separated")
    ] = ""
    http_threads: Annotated[
        int, Check(ge=2, le=1024, description="threads that parse callers' requests")
    ] = 48
    max_connections: Annotated[
        int,
        Check(
            ge=16,
            le=1_000_000,
            # 2.4 million callers over 790 VMs keep about 3,040 connections to each open.
            description="open connections of callers at a time, fewer if the process may have fewer"
            " descriptors; then idle ones are closed",
        ),
    ] = 20_000
    head_timeout_s: Annotated[
        float,
        Check(gt=0, le=60, description="time for a request's headers to arrive, in seconds"),
    ] = 5.0
    answer_timeout_s: Annotated[
        float, Check(gt=0, le=300, description="time for an answer to be read, in seconds")
    ] = 10.0
    room_thread_s: Annotated[
        float,
        Check(
            gt=0,
            le=60,
            description="time after which a slow client gives up its thread when requests wait for"
            " one, in seconds",
        ),
    ] = 1.0
    connection_bytes: Annotated[
        int,
        Check(
            ge=4_194_304,
            le=1 << 40,
            description="bytes held for peers' messages together; above them the connection that"
            " holds most is closed",
        ),
    ] = 67_108_864
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
    log_level: Annotated[LogLevel, describe("least level of logged events")] = LogLevel.INFO


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
        # The checks of pydantic are a list, those of msgspec are attributes.
        constraints = getattr(check, "metadata", [check])
        allowed += [text for entry in constraints if (text := format_constraint(entry))]
    if isinstance(base, type) and issubclass(base, StrEnum):
        allowed.append(", ".join(base))
    return base, description, "; ".join(allowed)


def has_default(entry: Field[Any]) -> bool:
    """Tell whether a setting may be left out."""
    return entry.default is not MISSING


def format_constraint(entry: object) -> str:
    """Return the constraints in one of a field's checks as text; empty if it has none."""
    names = {
        "ge": "at least",
        "gt": "above",
        "le": "at most",
        "min_length": "length at least",
        "max_length": "length at most",
        "pattern": "matching",
    }
    values = [(text, getattr(entry, key, None)) for key, text in names.items()]
    return "; ".join(f"{text} {value}" for text, value in values if value is not None)
