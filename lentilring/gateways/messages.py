"""Messages between the proxy of a caller and the gateway of a backend server."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..peers.messages import message


@unique
class StatementKind(StrEnum):
    """Say what a gateway does for a request."""

    READ = "read"
    WRITE = "write"
    COMMIT = "commit"


@unique
class TransactionOpening(StrEnum):
    """Say which transaction a request opens before its statement."""

    NONE = "none"
    READ_WRITE = "read_write"
    READ_ONLY = "read_only"


@message
@dataclass(frozen=True, kw_only=True)
class SessionValue:
    """Carry one value of a caller's session."""

    name: str
    value: str


@message
@dataclass(frozen=True, kw_only=True)
class RunStatement:
    """Ask a gateway to run one statement.

    `transaction` names an open transaction, empty outside of one. Position 0.0 stands for none.
    `patience_s` limits the wait for a slot, `timeout_s` the wait and the run.
    """

    request_id: str
    server: str
    account: str
    work: StatementKind
    text: str
    opening: TransactionOpening = TransactionOpening.NONE
    transaction: str = ""
    proves_lead: bool = False
    values: tuple[SessionValue, ...] = ()
    prepared_name: str = ""
    prepared_writes: bool = False
    prepared_shape: str = ""
    after_term: int = 0
    after_number: int = 0
    max_staleness_s: float | None = None
    priority: int = 0
    patience_s: float = 0.0
    timeout_s: float = 0.0


@message
@dataclass(frozen=True, kw_only=True)
class StatementAnswer:
    """Answer a statement; an empty `failure` means that it ran.

    `transaction` names the transaction that stays open. `wait_s` estimates the wait for a slot.
    `age_s` is the age of the position that a read had to include. `is_unreachable` says that the
    gateway could not reach the server and sent it nothing.
    """

    failure: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    rows: tuple[str, ...] = ()
    proof: str = ""
    term: int = 0
    number: int = 0
    transaction: str = ""
    wait_s: float = 0.0
    age_s: float | None = None
    is_unreachable: bool = False


@message
@dataclass(frozen=True, kw_only=True)
class EndTransaction:
    """Ask a gateway to roll a transaction back."""

    transaction: str


@message
@dataclass(frozen=True, kw_only=True)
class TransactionEnded:
    """Confirm that a transaction is no longer open."""

    known: bool


@message
@dataclass(frozen=True, kw_only=True)
class Ping:
    """Ask whether a peer answers."""

    incarnation: int


@message
@dataclass(frozen=True, kw_only=True)
class Pong:
    """Answer a ping."""

    incarnation: int


@message
@dataclass(frozen=True, kw_only=True)
class AskPosition:
    """Ask the gateway of a primary for a position that it proved."""

    server: str


@message
@dataclass(frozen=True, kw_only=True)
class ProvenPosition:
    """Report the primary's position `age_s` seconds ago; term 0 without one.

    `commit_silence_s` is how long commits have failed to be confirmed, 0 if they are.
    """

    term: int = 0
    number: int = 0
    age_s: float = 0.0
    commit_silence_s: float = 0.0


@message
@dataclass(frozen=True, kw_only=True)
class LeadNotice:
    """Tell a peer which server was promoted; it may not hear of it from the store."""

    server: str
    term: int
