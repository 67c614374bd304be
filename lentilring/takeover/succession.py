"""Which backend server may lead next without losing an acknowledged commit."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..catalog.model import ServerEntry
from ..gateways.server import ReplicationStatus
from ..statements.model import Position


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Hold what a replica received before it was stopped from receiving."""

    server: ServerEntry
    received: Position
    is_eligible: bool


@dataclass(frozen=True, kw_only=True)
class Successor:
    """Name the server to promote."""

    server: ServerEntry
    received: Position


@dataclass(frozen=True, kw_only=True)
class NoSafeSuccessor:
    """Say why no server can be promoted safely now."""

    reason: str


def choose_pause_term(statuses: Iterable[ReplicationStatus], *, known_term: int) -> int:
    """Return the term below which replicas stop receiving: the next one.

    A replica follows a new primary only from the term that it holds on. A term above what other
    takeovers hold would keep it from the primary that one of them promotes (khaima-ops-grown
    trouble-1: a replica held term 6, the next primary had term 4, and it received nothing more).
    """
    return max([known_term, *(status.term for status in statuses)]) + 1


def choose_successor(
    candidates: Collection[Candidate],
    *,
    replicas: Collection[str],
    place_of_old: str,
    floor: Position,
    intended: str = "",
) -> Successor | NoSafeSuccessor:
    """Return the eligible candidate that has everything that any replica received.

    A commit is acknowledged once one replica has it, whichever that is. So all replicas must have
    answered, after they were stopped from receiving, and the successor must be the furthest one.
    It must also have `floor`, with which the old primary began: those commits may be on the old
    primary alone, because replicas need not have followed it since.
    An earlier promotion without an answer may still run, so its server is preferred.
    """
    answered = {candidate.server.id for candidate in candidates}
    missing = sorted(set(replicas) - answered)
    if missing:
        return NoSafeSuccessor(reason=f"no answer from {','.join(missing)}")
    if not candidates:
        return NoSafeSuccessor(reason="no replica is registered")
    furthest = max(candidate.received for candidate in candidates)
    if furthest < floor:
        return NoSafeSuccessor(reason=f"replicas are at {furthest}, the primary began at {floor}")
    able = [entry for entry in candidates if entry.received == furthest and entry.is_eligible]
    if not able:
        return NoSafeSuccessor(reason="the furthest replica is leaving or evacuated")
    # The old primary's failure domain has the gateway and the callers that wrote most.
    best = min(
        able,
        key=lambda entry: (
            entry.server.id != intended,
            entry.server.failure_domain != place_of_old,
            entry.server.id,
        ),
    )
    return Successor(server=best.server, received=furthest)
