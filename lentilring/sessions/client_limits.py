"""Limits on what clients of the statement protocol may hold and keep waiting."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Generic, TypeVar

C = TypeVar("C")

# Within this time a caller's first message arrives after its connection; it is several round trips.
ROOM_AFTER_UNOPENED_S = 0.1


@unique
class ClientLimit(StrEnum):
    """Name the limits for which a connection is closed, as settings, metrics and logs do."""

    CONNECTION_BYTES = "connection_bytes"
    OPEN_TIMEOUT = "open_timeout_s"
    MESSAGE_TIMEOUT = "message_timeout_s"
    ANSWER_TIMEOUT = "answer_timeout_s"
    MAX_SESSIONS = "max_sessions"


@dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Hold the limits on the time that clients take, and on their number."""

    max_sessions: int
    open_timeout_s: float
    message_timeout_s: float
    answer_timeout_s: float
    room_message_s: float


@dataclass(frozen=True, kw_only=True)
class ClientWait(Generic[C]):
    """Describe what a process waits for from a client; None where it does not wait."""

    client: C
    unopened_s: float | None
    incomplete_s: float | None


def choose_overdue(
    waits: Iterable[ClientWait[C]], limits: ClientLimits
) -> list[tuple[C, ClientLimit]]:
    """Return the clients to close because they have taken too long, each with its limit."""
    overdue = []
    for wait in waits:
        if wait.unopened_s is not None:
            if wait.unopened_s >= limits.open_timeout_s:
                overdue.append((wait.client, ClientLimit.OPEN_TIMEOUT))
        elif wait.incomplete_s is not None and wait.incomplete_s >= limits.message_timeout_s:
            overdue.append((wait.client, ClientLimit.MESSAGE_TIMEOUT))
    return overdue


def choose_for_room(waits: Iterable[ClientWait[C]], limits: ClientLimits) -> C | None:
    """Return the client to close for a new one; None if all sessions are in use.

    A client without a session goes first, then one that is halfway in a message, each the oldest.
    """
    unopened: tuple[float, C] | None = None
    incomplete: tuple[float, C] | None = None
    for wait in waits:
        if wait.unopened_s is not None:
            if wait.unopened_s >= max(ROOM_AFTER_UNOPENED_S, unopened[0] if unopened else 0.0):
                unopened = wait.unopened_s, wait.client
        elif wait.incomplete_s is not None:
            least_s = max(limits.room_message_s, incomplete[0] if incomplete else 0.0)
            if wait.incomplete_s >= least_s:
                incomplete = wait.incomplete_s, wait.client
    chosen = unopened or incomplete
    return None if chosen is None else chosen[1]
