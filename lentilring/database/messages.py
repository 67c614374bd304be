"""Messages between a gateway and a backend server."""

from dataclasses import dataclass
from enum import StrEnum

from ..peers.messages import message


class Action(StrEnum):
    """Name the kind of a statement request."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Role(StrEnum):
    """Name the role of a backend server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class StatementStatus(StrEnum):
    """Name the outcome of a statement; only `ok` means that it ran."""

    OK = "ok"
    STALE_TERM = "stale_term"
    NOT_PRIMARY = "not_primary"
    REJECTED = "rejected"
    KEY_REUSED = "key_reused"


@message
@dataclass(frozen=True, kw_only=True)
class TermStart:
    """Hold a term and the log position after which its entries begin."""

    term: int
    position: int


@message
@dataclass(frozen=True, kw_only=True)
class StatementRequest:
    """Ask a backend server to run one statement; `statement` is JSON.

    A transaction uses one connection: the READ and WRITE requests between BEGIN and COMMIT belong
    to it.
    """

    term: int
    client_account: str
    action: Action
    statement: str = ""
    idempotency_key: str = ""
    request_id: str = ""


@message
@dataclass(frozen=True, kw_only=True)
class StatementReply:
    """Answer a statement; `result` is JSON, `position` is the log position after it ran."""

    status: StatementStatus
    term: int
    position: int
    result: str = ""
    replayed: bool = False
    detail: str = ""


@message
@dataclass(frozen=True, kw_only=True)
class ServerStatus:
    """Report a backend server's term, role and log.

    `term` is the greatest term that the server has seen; it refuses requests of lower terms.
    `log_terms` says where each term of its log begins; `primary_silence_s` is the time since
    replication last heard from the primary.
    """

    server: str
    term: int
    role: Role
    position: int
    log_terms: tuple[TermStart, ...]
    primary_silence_s: float
    open_connections: int
    accepted: bool = True


@message
@dataclass(frozen=True, kw_only=True)
class ReportStatus:
    """Ask for a ServerStatus."""


@message
@dataclass(frozen=True, kw_only=True)
class Fence:
    """Raise the server's term, so that it refuses requests of lower terms."""

    term: int


@message
@dataclass(frozen=True, kw_only=True)
class Lead:
    """Make the server the primary of a term whose entries begin after `start_position`."""

    term: int
    start_position: int
    replica_addresses: tuple[str, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class Follow:
    """Make the server replicate from a primary and drop older entries past `start_position`."""

    term: int
    primary_address: str
    start_position: int


@message
@dataclass(frozen=True, kw_only=True)
class AwaitPosition:
    """Ask for a ServerStatus once the log reaches a position under a term, or after `wait_s`."""

    term: int
    position: int
    wait_s: float
