"""Replication messages between backend server stand-ins."""

from dataclasses import dataclass

from ..database.messages import Action, TermStart
from ..peers.messages import message


@message
@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """Hold one committed write or transaction.

    `operations` is a JSON list of statements in a canonical form; `result` is the JSON answer.
    Together with the key they form the idempotency record, which replicates with the entry.
    """

    term: int
    client_account: str
    action: Action
    operations: str
    idempotency_key: str
    result: str


@message
@dataclass(frozen=True, kw_only=True)
class PullEntries:
    """Ask the primary of a term for the entries after a position.

    `last_term` is the term of the replica's entry at `position`; it shows whether the logs match.
    Entries younger than `min_age_s` are not sent yet, which simulates replication lag.
    """

    server: str
    term: int
    position: int
    last_term: int
    min_age_s: float
    wait_s: float
    limit: int


@message
@dataclass(frozen=True, kw_only=True)
class PulledEntries:
    """Answer PullEntries.

    `accepted` is False when the server is not the primary of that term. `matched` is False when
    the replica's log diverges; `log_terms` and `position` then describe the primary's log.
    """

    term: int
    accepted: bool
    matched: bool
    position: int
    entries: tuple[LogEntry, ...] = ()
    log_terms: tuple[TermStart, ...] = ()
