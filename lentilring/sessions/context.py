"""The state that a proxy keeps for one caller's session."""

import sys
from dataclasses import dataclass, field

from ..catalog.model import DatabaseRoute
from ..catalog.source import ProxyEntry
from ..gateways.messages import SessionValue
from ..statements.model import Position, PreparedStatement

ANONYMOUS_ACCOUNT = "-"


@dataclass(kw_only=True)
class OperationToken:
    """Track whether an operation's token of its account was used by a run."""

    admitted_at: float
    may_have_run: bool = False
    is_returned: bool = False


@dataclass(frozen=True, kw_only=True)
class Admission:
    """Hold the route, the account and the token under which an operation runs.

    `token` is None before the account's limit was checked, and for callers without an account.
    """

    route: DatabaseRoute
    account: str
    token: OperationToken | None = None


@dataclass(kw_only=True)
class SessionTransaction:
    """Hold a transaction; its gateway and server are set by its first statement."""

    read_only: bool
    admission: Admission
    id: str = ""
    gateway: ProxyEntry | None = None
    server: str = ""
    has_failed: bool = False
    has_written: bool = False


@dataclass(kw_only=True)
class SessionContext:
    """Hold the state of a session; `position` is that of its newest commit."""

    database: str
    key: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    position: Position | None = None
    transaction: SessionTransaction | None = None

    def list_values(self) -> tuple[SessionValue, ...]:
        """Return the session's values in the form of a gateway request."""
        return tuple(SessionValue(name=name, value=value) for name, value in self.values.items())

    def measure_bytes(self) -> int:
        """Return the memory that the session's values and prepared statements take."""
        texts = [*self.values, *self.values.values(), *self.prepared]
        texts += [prepared.shape for prepared in self.prepared.values()]
        return sum(map(sys.getsizeof, texts))

    def record_commit(self, position: Position | None) -> None:
        """Raise the position that later reads of this session must include."""
        if position is not None and (self.position is None or position > self.position):
            self.position = position
