"""Conversion of the platform's stored documents into the catalog's types.

Only this module uses the documents' field names. Comments explain the names that mislead.
"""

import re
import socket
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..catalog.model import (
    Consistency,
    DatabaseRoute,
    DatabaseService,
    Manifest,
    ServerEntry,
    ServerRole,
)
from ..catalog.source import Evacuation, ProxyEntry, RecordKind
from ..configuration.accounts import MAX_BURST, MAX_RATE_PER_S, ClientAccount, hash_key
from ..telemetry.log import Log

log = Log(source="platform")

STORE_KINDS = {
    RecordKind.MANIFEST: "config",
    RecordKind.SERVERS: "servers",
    RecordKind.EVACUATIONS: "evacuations",
    RecordKind.PROXIES: "lentilring-proxies",
}
MANIFEST_NAME = "main"
CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
ROLES = {"primary": ServerRole.PRIMARY, "replica": ServerRole.REPLICA}
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_LINE_BYTES = 1024 * 1024
DEFAULT_TRANSACTION_IDLE_MS = 3000
DEFAULT_STATEMENT_TIMEOUT_MS = 1000
DEFAULT_MAX_CONNECTIONS = 8
LOWEST_PRIORITY = 9


# Names are words of the statement protocol, which blanks and line breaks would end.
WORD = re.compile(r"\A[^\s\x00-\x1f]+\Z")
_Word = Annotated[str, Meta(pattern=WORD.pattern)]
# The messages of peers carry integers of 64 bits.
_Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
MAX_CAPACITY = 100_000
MAX_COLD_MS = 24 * 3600 * 1000
MAX_WEIGHT = 1024
MAX_PORT = 65_535
PORT = re.compile(r"[0-9]{1,5}")


class PlatformDocument(msgspec.Struct, rename="kebab", kw_only=True):
    """Ignore unknown fields, which later versions of a document may have."""


class _Route(PlatformDocument):
    name: str
    host: str  # the name of the database that callers open a session on
    service: str
    type: str  # the consistency of reads
    timeout_ms: float = DEFAULT_STATEMENT_TIMEOUT_MS  # limits one statement, not the operation
    target_latency_ms: float = 0.0
    priority: int = LOWEST_PRIORITY
    max_staleness_ms: float = 0.0
    allow_anonymous: bool = False
    allowed_regions: list[str] = []


class _Service(PlatformDocument):
    name: str
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    sync_replicas: int = 0
    cold_per_s: float = 0.0


class _Tenant(PlatformDocument):
    name: str
    api_keys: list[str] = []
    rate_per_s: float | None = None
    burst: float | None = None
    allowed_regions: list[str] = []


class _Limits(PlatformDocument):
    max_body_bytes: int = DEFAULT_LINE_BYTES
    tx_idle_ms: float = DEFAULT_TRANSACTION_IDLE_MS


class _Manifest(PlatformDocument):
    version: int
    routes: list[Any] = []
    services: list[Any] = []
    tenants: list[Any] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(PlatformDocument):
    service: _Word
    address: str
    zone: _Word
    state: str
    db_role: str
    version: str = ""
    # Statements that the server runs at a time.
    capacity: Annotated[int, Meta(ge=0, le=MAX_CAPACITY)] = 1
    cold_remaining_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MS)] = 0.0
    born: _Count = 0
    sequence: _Count = 0


class _Proxy(PlatformDocument):
    address: str
    failure_domain: _Word
    region: _Word
    incarnation: _Count
    weight: Annotated[float, Meta(gt=0, le=MAX_WEIGHT)]
    leaving: bool


@dataclass(frozen=True, kw_only=True)
class UnreadableDocument:
    """Say why a document cannot be used."""

    detail: str


def decode_manifest(spec: Any) -> Manifest | UnreadableDocument:
    """Return the configuration in a document, without the entries that cannot be read."""
    try:
        body = msgspec.convert(spec, _Manifest)
    except msgspec.ValidationError as error:
        return UnreadableDocument(detail=str(error))
    tenants = [entry for raw in body.tenants if (entry := _convert_entry(raw, _Tenant)) is not None]
    routes = [entry for raw in body.routes if (entry := _convert_entry(raw, _Route)) is not None]
    services = [
        entry for raw in body.services if (entry := _convert_entry(raw, _Service)) is not None
    ]
    valid_routes = [entry for entry in routes if entry.type in CONSISTENCIES]
    return Manifest(
        version=body.version,
        routes={entry.host: _build_route(entry) for entry in valid_routes},
        services={entry.name: _build_service(entry) for entry in services},
        accounts={entry.name: _build_account(entry) for entry in tenants},
        account_regions={entry.name: tuple(entry.allowed_regions) for entry in tenants},
        accounts_by_key={hash_key(key): entry.name for entry in tenants for key in entry.api_keys},
        max_line_bytes=DEFAULT_LINE_BYTES,
        transaction_idle_s=body.limits.tx_idle_ms / 1000,
    )


def decode_server(name: str, spec: Any, *, revision: int) -> ServerEntry | UnreadableDocument:
    """Return the backend server in a document; the object's name is the server's id."""
    try:
        body = msgspec.convert(spec, _Server)
    except msgspec.ValidationError as error:
        return UnreadableDocument(detail=str(error))
    if body.state not in IS_DRAINING_BY_STATE or body.db_role not in ROLES:
        return UnreadableDocument(detail=f"state {body.state!r}, role {body.db_role!r}")
    if not _is_address(body.address):
        return UnreadableDocument(detail=f"address {body.address!r}")
    if not WORD.fullmatch(name):
        return UnreadableDocument(detail=f"name {name!r}")
    return ServerEntry(
        id=name,
        service=body.service,
        address=body.address,
        failure_domain=body.zone,
        slots=max(1, body.capacity),
        is_draining=IS_DRAINING_BY_STATE[body.state],
        role=ROLES[body.db_role],
        cold_remaining_s=body.cold_remaining_ms / 1000,
        started_ms=body.born,
        revision=revision,
        version=body.version,
        sequence=body.sequence,
    )


def decode_proxy(name: str, spec: Any) -> ProxyEntry | UnreadableDocument:
    """Return the registered proxy in a document; the object's name is its VM."""
    try:
        body = msgspec.convert(spec, _Proxy)
    except msgspec.ValidationError as error:
        return UnreadableDocument(detail=str(error))
    if not _is_address(body.address):
        return UnreadableDocument(detail=f"address {body.address!r}")
    return ProxyEntry(
        vm=name,
        address=body.address,
        failure_domain=body.failure_domain,
        region=body.region,
        incarnation=body.incarnation,
        weight=body.weight,
        is_leaving=body.leaving,
    )


def encode_proxy(entry: ProxyEntry) -> dict[str, Any]:
    """Return the document that registers a proxy."""
    return {
        "address": entry.address,
        "failure-domain": entry.failure_domain,
        "region": entry.region,
        "incarnation": entry.incarnation,
        "weight": entry.weight,
        "leaving": entry.is_leaving,
    }


def decode_evacuation(name: str) -> Evacuation:
    """Return the evacuation of the failure domain that gives an object its name."""
    return Evacuation(failure_domain=name)


def _is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address and port that a connection can be opened to."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT


def _convert_entry(raw: Any, entry_type: type[Any]) -> Any:
    try:
        return msgspec.convert(raw, entry_type)
    except msgspec.ValidationError as error:
        log.warning("document_entry_ignored", kind=entry_type.__name__, detail=error)
        return None


def _build_route(entry: _Route) -> DatabaseRoute:
    return DatabaseRoute(
        name=entry.name,
        database=entry.host,
        service=entry.service,
        consistency=CONSISTENCIES[entry.type],
        statement_timeout_s=entry.timeout_ms / 1000,
        latency_target_s=(entry.target_latency_ms or entry.timeout_ms) / 1000,
        priority=entry.priority,
        max_staleness_s=entry.max_staleness_ms / 1000,
        allows_anonymous=entry.allow_anonymous,
        allowed_regions=tuple(entry.allowed_regions),
    )


def _build_service(entry: _Service) -> DatabaseService:
    return DatabaseService(
        name=entry.name,
        max_connections=entry.max_connections,
        synchronous_replicas=entry.sync_replicas,
        cold_requests_per_s=entry.cold_per_s,
    )


def _build_account(entry: _Tenant) -> ClientAccount:
    return ClientAccount(
        name=entry.name,
        rate_per_s=MAX_RATE_PER_S if entry.rate_per_s is None else entry.rate_per_s,
        burst=MAX_BURST if entry.burst is None else entry.burst,
        max_staleness_s=None,
        services=(),
        open_routes=(),
        key_hashes=tuple(hash_key(key) for key in entry.api_keys),
    )
