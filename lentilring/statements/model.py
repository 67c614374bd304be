"""Statements, log positions and outcomes, independent of the protocol that carries them."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TypeAlias


@dataclass(frozen=True, kw_only=True, order=True)
class Position:
    """Locate a commit in a database's log; a later term makes a position greater."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


@unique
class TransactionState(StrEnum):
    """Name the states of a session's transaction between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@unique
class Failure(StrEnum):
    """Name the reasons why a statement fails."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"
    BEHIND = "behind"
    NOT_PRIMARY = "not_primary"
    WRONG_SERVER = "wrong_server"
    CONNECTIONS_EXHAUSTED = "connections_exhausted"
    FAILED = "failed"
    UNKNOWN_PREPARED = "unknown_prepared"
    TIMED_OUT = "timed_out"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_DATABASE = "unknown_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    UNCERTAIN = "uncertain"


# After these failures no effect of the statement remains, whichever process reported them.
NOT_RUN = frozenset(
    {
        Failure.OVERLOADED,
        Failure.ABORTED,
        Failure.BEHIND,
        Failure.NOT_PRIMARY,
        Failure.WRONG_SERVER,
        Failure.CONNECTIONS_EXHAUSTED,
        Failure.UNKNOWN_PREPARED,
    }
)


@dataclass(frozen=True, kw_only=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True, kw_only=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, kw_only=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, kw_only=True)
class Read:
    """Read one item."""


@dataclass(frozen=True, kw_only=True)
class Write:
    """Write one item."""


@dataclass(frozen=True, kw_only=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, kw_only=True)
class Prepare:
    """Prepare a statement under the session's own name for it; `shape` is its definition."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, kw_only=True)
class Execute:
    """Execute a prepared statement."""

    name: str


@dataclass(frozen=True, kw_only=True)
class Deallocate:
    """Remove a prepared statement from the session."""

    name: str


Statement: TypeAlias = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate
)


@dataclass(frozen=True, kw_only=True)
class OpenSession:
    """Open a session on a database; routes that admit anonymous callers need no key."""

    database: str
    key: str


@dataclass(frozen=True, kw_only=True)
class Query:
    """Run one statement; `text` is what the caller sent and is passed on unchanged."""

    request_id: str
    statement: Statement
    text: str


@dataclass(frozen=True, kw_only=True)
class CloseSession:
    """End the session."""


@dataclass(frozen=True, kw_only=True)
class UnreadableMessage:
    """Report a message that does not follow the protocol."""

    request_id: str
    failure: Failure
    detail: str


ClientMessage: TypeAlias = OpenSession | Query | CloseSession | UnreadableMessage


@dataclass(frozen=True, kw_only=True)
class PreparedStatement:
    """Describe a prepared statement; `name` is the same on all connections to servers."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True, kw_only=True)
class Done:
    """Hold the rows of a statement and the server's proof that it ran the statement."""

    rows: tuple[str, ...] = ()
    proof: str = ""
    position: Position | None = None


@dataclass(frozen=True, kw_only=True)
class Failed:
    """Say why a statement failed and when to try again."""

    failure: Failure
    detail: str = ""
    retry_after_s: float | None = None
    position: Position | None = None


StatementOutcome: TypeAlias = Done | Failed
