"""Limits on what HTTP clients may keep: threads, connections and requests that do not end."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum, auto, unique
from typing import Generic, TypeVar

C = TypeVar("C")

# More of a request need not arrive before a thread reads it; ordinary requests are shorter.
PEEK_BYTES = 16 * 1024
# Descriptors for the platform, peers and backend servers.
RESERVED_DESCRIPTORS = 1000
MIN_CONNECTIONS = 16
HEAD_END = re.compile(rb"\r?\n\r?\n")
CONTENT_LENGTH = re.compile(rb"\ncontent-length[ \t]*:[ \t]*(\d{1,15})[ \t]*\r?\n", re.IGNORECASE)
EXPECTATION = re.compile(rb"\nexpect[ \t]*:", re.IGNORECASE)


@unique
class HttpLimit(StrEnum):
    """Name the limits for which a connection is closed, as settings, metrics and logs do."""

    MAX_CONNECTIONS = "max_connections"
    REQUEST_TIMEOUT = "request_timeout"
    ANSWER_TIMEOUT = "answer_timeout_s"
    HTTP_THREADS = "http_threads"


@unique
class Phase(Enum):
    """Name what a thread does with a connection."""

    RECEIVING = auto()
    RUNNING = auto()
    SENDING = auto()


@dataclass(frozen=True, kw_only=True)
class HttpClientLimits:
    """Hold the limits; `room_thread_s` applies only while requests wait for a thread."""

    max_connections: int = 20_000
    head_timeout_s: float = 5.0
    answer_timeout_s: float = 10.0
    room_thread_s: float = 1.0


@dataclass(frozen=True, kw_only=True)
class BusyConnection(Generic[C]):
    """Describe a connection that a thread handles."""

    connection: C
    phase: Phase
    phase_s: float


@dataclass(frozen=True, kw_only=True)
class IdleConnection(Generic[C]):
    """Describe a connection that no thread handles; `has_asked` tells of an earlier request."""

    connection: C
    has_asked: bool
    is_halfway: bool
    idle_s: float


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Tell how many bytes should arrive before a thread reads a request, and what they are of."""

    wanted_bytes: int
    has_head: bool


def examine_arrival(data: bytes) -> Arrival:
    """Return what should arrive of a request that begins with `data`.

    A client that expects to be told to continue sends no body before that.
    """
    head = HEAD_END.search(data)
    if head is None:
        return Arrival(wanted_bytes=min(len(data) + 1, PEEK_BYTES), has_head=False)
    length = CONTENT_LENGTH.search(data, 0, head.end())
    if length is None or EXPECTATION.search(data, 0, head.end()):
        return Arrival(wanted_bytes=head.end(), has_head=True)
    return Arrival(wanted_bytes=min(head.end() + int(length[1]), PEEK_BYTES), has_head=True)


def choose_stuck(
    busy: Iterable[BusyConnection[C]], *, waiting: int, limits: HttpClientLimits
) -> list[tuple[C, HttpLimit]]:
    """Return the connections to close so that their threads become free, each with its limit.

    `waiting` is the number of requests that wait because all threads are taken.
    """
    stuck = []
    slow = []
    for entry in busy:
        if entry.phase is Phase.SENDING and entry.phase_s >= limits.answer_timeout_s:
            stuck.append((entry.connection, HttpLimit.ANSWER_TIMEOUT))
        elif entry.phase is not Phase.RUNNING and entry.phase_s >= limits.room_thread_s:
            slow.append(entry)
    slow.sort(key=lambda entry: entry.phase_s, reverse=True)
    for entry in slow[: max(0, waiting - len(stuck))]:
        stuck.append((entry.connection, HttpLimit.HTTP_THREADS))
    return stuck


def choose_for_room(idle: Iterable[IdleConnection[C]], count: int) -> list[C]:
    """Return the connections to close for new ones.

    Those halfway in a request go first, then those that never sent one, each the longest idle.
    """
    order = sorted(idle, key=lambda entry: (not entry.is_halfway, entry.has_asked, -entry.idle_s))
    return [entry.connection for entry in order[:count]]


def derive_max_connections(wanted: int, descriptors: int) -> int:
    """Return how many connections a process with this limit of descriptors may have."""
    reserved = min(RESERVED_DESCRIPTORS, descriptors // 2)
    return max(MIN_CONNECTIONS, min(wanted, descriptors - reserved))
