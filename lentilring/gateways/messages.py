"""Messages between the proxy of a caller and the gateway of a backend server."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..peers.messages import message
from ..peers.transport import describe_request


@unique
class StatementKind(StrEnum):
    """Say what a statement does."""

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

    `transaction` is the id of an open transaction, empty outside of one. With `proves_lead` the
    gateway first proves that the server is the primary. Position 0.0 stands for none. `patience_s`
    limits the wait for a slot, `timeout_s` the wait and the run together.
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


@describe_request.register
def _(request: RunStatement) -> dict[str, object]:
    return {"request": request.request_id, "server": request.server}


@message
@dataclass(frozen=True, kw_only=True)
class StatementAnswer:
    """Answer a statement; an empty `failure` means that it ran.

    `transaction` is the id of the transaction that stays open. `wait_s` estimates how long the next
    statement waits for a slot. `age_s` is the age of the position that a read had to include.
    `is_unreachable` says that the gateway could not reach the server, or stops, and has not run the
    statement. `bad_share` is the share of failed answers of a server that its gateway judges bad.
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
    bad_share: float | None = None


@message
@dataclass(frozen=True, kw_only=True)
class EndTransaction:
    """Ask a gateway to roll a transaction back."""

    transaction: str


@message
@dataclass(frozen=True, kw_only=True)
class TransactionEnded:
    """Confirm that a transaction is no longer open; `known` says whether it was open before."""

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
    """Ask the gateway of a primary for the newest position that the primary proved."""

    server: str


@message
@dataclass(frozen=True, kw_only=True)
class ProvenPosition:
    """Report the position that a primary proved `age_s` seconds ago; term 0 stands for none.

    `commit_silence_s` says for how long commits have gone unconfirmed, 0 while they are confirmed.
    """

    term: int = 0
    number: int = 0
    age_s: float = 0.0
    commit_silence_s: float = 0.0


@message
@dataclass(frozen=True, kw_only=True)
class LeadNotice:
    """Tell a peer which server was promoted, in case it cannot reach the store."""

    server: str
    term: int


@message
@dataclass(frozen=True, kw_only=True)
class ServerNotice:
    """Tell a peer that the sender judges a server bad; without `bad_share` it no longer does."""

    server: str
    bad_share: float | None = None
