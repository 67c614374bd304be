"""Settings of the proxy for the session protocol, read from the platform's settings file."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from .setting_types import ADDRESS_PATTERN, LABEL_PATTERN, LogLevel

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Label = Annotated[str, Meta(pattern=LABEL_PATTERN)]


@dataclass(frozen=True, kw_only=True)
class SessionProxySettings:
    """Hold the settings of a session proxy; `check_settings` checks them.

    It runs on a prepared platform, which provides the store, the backend servers and promotions.
    The checks are msgspec's, because importing pydantic delays the start.
    """

    vm: Annotated[Label, Meta(description="name of this VM, unique in the deployment")]
    failure_domain: Annotated[Label, Meta(description="failure domain of this VM")]
    region: Annotated[Label, Meta(description="region of this VM")]
    regions: Annotated[dict[str, str], Meta(description="region of each failure domain")]
    session_address: Annotated[Address, Meta(description="ip:port for callers' sessions")]
    readiness_address: Annotated[Address, Meta(description="ip:port of the load balancer's probe")]
    peer_address: Annotated[Address, Meta(description="ip:port for peers, TCP and UDP")]
    metrics_address: Annotated[Address, Meta(description="ip:port of the metrics")]
    store_address: Annotated[Address, Meta(description="ip:port of the platform's store")]
    promotion_address: Annotated[
        Address, Meta(description="ip:port of the promotion and usage services")
    ]
    weight: Annotated[
        float, Meta(gt=0, le=1024, description="processor share relative to other VMs")
    ] = 1.0
    max_sessions: Annotated[
        int,
        Meta(ge=1, le=1_000_000, description="open sessions at a time; further ones are closed"),
    ] = 2000
    connection_bytes: Annotated[
        int,
        Meta(
            ge=4 * 1024 * 1024,
            le=1 << 40,
            description="bytes held for all connections together; above them the one that holds"
            " most is closed",
        ),
    ] = 40_000_000
    open_timeout_s: Annotated[
        float,
        Meta(gt=0, le=3600, description="time for a connection to open its session, in seconds"),
    ] = 10.0
    message_timeout_s: Annotated[
        float,
        Meta(gt=0, le=3600, description="time for a message to arrive whole, in seconds"),
    ] = 30.0
    answer_timeout_s: Annotated[
        float,
        Meta(gt=0, le=3600, description="time for an answer to be read, in seconds"),
    ] = 5.0
    room_message_s: Annotated[
        float,
        Meta(
            gt=0,
            le=3600,
            description="time after which an incomplete message makes room for a new session when"
            " all are in use, in seconds",
        ),
    ] = 5.0
    max_configuration_age_s: Annotated[
        float,
        Meta(
            gt=0,
            le=3600,
            description="age at which an unconfirmed configuration is refused, in seconds",
        ),
    ] = 15.0
    configuration_delay_s: Annotated[
        float,
        Meta(
            gt=0, le=3600, description="time until a changed configuration is in force, in seconds"
        ),
    ] = 5.0
    limit_window_s: Annotated[
        float, Meta(gt=0, le=3600, description="window of the accounts' rate limits, in seconds")
    ] = 5.0
    limit_overage: Annotated[
        float, Meta(ge=0, le=10, description="tolerance of the accounts' rate limits, relative")
    ] = 0.0
    limit_slack: Annotated[
        float,
        Meta(ge=0, le=1e6, description="tolerance of the accounts' rate limits, in requests"),
    ] = 0.0
    leaving_grace_s: Annotated[
        float,
        Meta(ge=0, le=3600, description="time that a leaving primary still gets work, in seconds"),
    ] = 5.0
    evacuation_grace_s: Annotated[
        float,
        Meta(
            ge=0, le=3600, description="time that an evacuated primary still gets work, in seconds"
        ),
    ] = 3.0
    drain_timeout_s: Annotated[
        float,
        Meta(ge=0, le=300, description="time from SIGTERM to the end of draining, in seconds"),
    ] = 6.0
    transaction_end_time_s: Annotated[
        float,
        Meta(ge=0, le=300, description="time from SIGTERM for open transactions, in seconds"),
    ] = 3.0
    judges_servers: Annotated[
        bool,
        Meta(description="servers that fail many statements are asked last for reads"),
    ] = False
    report_window_s: Annotated[
        float,
        Meta(ge=0, le=3600, description="window of usage reports, in seconds; 0: no reports"),
    ] = 0.0
    usage_late_s: Annotated[
        float,
        Meta(
            gt=0,
            le=3600,
            description="time from a window's end until its report is due, in seconds",
        ),
    ] = 10.0
    usage_lease_s: Annotated[
        float,
        Meta(
            ge=0,
            le=600,
            description="time that a new reporter leaves to the earlier one, in seconds",
        ),
    ] = 3.0
    paces_servers: Annotated[
        bool,
        Meta(description="whether servers that started or recovered get more work step by step"),
    ] = False
    log_level: Annotated[LogLevel, Meta(description="lowest level of logged events")] = (
        LogLevel.INFO
    )


def check_settings(values: Mapping[str, object]) -> SessionProxySettings:
    """Return settings from their values; raise msgspec.ValidationError."""
    unknown = values.keys() - SessionProxySettings.__dataclass_fields__.keys()
    if unknown:
        raise msgspec.ValidationError(f"unknown settings: {', '.join(sorted(unknown))}")
    return msgspec.convert(dict(values), SessionProxySettings)
