"""Connections of the backend server stand-in, and its fault switches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ..database.wire import ConnectionKind
from ..errors import LentilringError
from .statements import WriteStatement


class Silence(StrEnum):
    """Say which connections get no answers.

    `existing` silences the connections that are open now for good; `all` lasts until it is reset.
    """

    NONE = "none"
    EXISTING = "existing"
    ALL = "all"


@dataclass(kw_only=True, eq=False)
class NoAnswer(LentilringError):
    """Report that a request gets no answer, as after a loss in the network."""

    server: str


@dataclass(kw_only=True)
class DatabaseFaults:
    """Hold the fault switches; each stays on until it is reset.

    `delay_s` postpones every request. `lose_next_answers` counts answers to drop after the
    request ran; their connections are closed.
    """

    delay_s: float = 0.0
    silence_all: bool = False
    pause_replication: bool = False
    refuse_connections: bool = False
    lose_next_answers: int = 0


@dataclass(kw_only=True)
class Transaction:
    """Buffer the writes of an open transaction."""

    term: int
    client_account: str
    operations: list[WriteStatement] = field(default_factory=list)
    aborted: bool = False


class DatabaseSession:
    """Hold the server's side of one connection."""

    def __init__(self, *, client: str, kind: ConnectionKind) -> None:
        self.client = client
        self.kind = kind
        self.silent = False
        self.transaction: Transaction | None = None
        self.closed = asyncio.Event()
        self._callbacks: list[Callable[[], None]] = []

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call a function when the server closes the session."""
        self._callbacks.append(callback)

    def close(self) -> None:
        """Discard an open transaction and notify the transport."""
        if self.closed.is_set():
            return
        self.transaction = None
        self.closed.set()
        for callback in self._callbacks:
            callback()
