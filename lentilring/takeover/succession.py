"""Choice of the next primary without losing an acknowledged commit."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..catalog.model import ServerEntry
from ..gateways.server import ReplicationStatus
from ..statements.model import Position


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Hold a replica and the position that it had received when it was paused."""

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
    """Return the term below which paused replicas receive nothing: the next term.

    A paused replica follows a new primary only from that term on. If one takeover chose a greater
    term than the others, the replica could not follow the primary that another one promotes
    (khaima-ops-grown trouble-1: a replica was paused below term 6, the next primary had term 4, and
    the replica received nothing more).
    """
    return max([known_term, *(status.term for status in statuses)]) + 1


def choose_successor(
    candidates: Collection[Candidate],
    *,
    replicas: Collection[str],
    old_failure_domain: str,
    min_position: Position,
    intended: str = "",
    unheard: Collection[str] = (),
) -> Successor | NoSafeSuccessor:
    """Return the eligible candidate that has everything that any replica received.

    A commit is acknowledged once any one replica has it. So all replicas must have been paused and
    have answered, and the successor must have the greatest position among them. It must also have
    `min_position`, with which the old primary began: commits up to there may be on the old primary
    alone, because replicas need not have followed it since.
    An earlier promotion that got no answer may still run, so its server, `intended`, is preferred.
    `unheard` are other copies that may hold acknowledged commits.
    """
    answered = {candidate.server.id for candidate in candidates}
    missing = sorted((set(replicas) - answered).union(unheard))
    if missing:
        return NoSafeSuccessor(reason=f"no answer from {','.join(missing)}")
    if not candidates:
        return NoSafeSuccessor(reason="no replica is registered")
    furthest = max(candidate.received for candidate in candidates)
    if furthest < min_position:
        return NoSafeSuccessor(
            reason=f"replicas received up to {furthest}, the primary began at {min_position}"
        )
    eligible = [entry for entry in candidates if entry.received == furthest and entry.is_eligible]
    if not eligible:
        return NoSafeSuccessor(reason="the replica that received most is leaving or evacuated")
    # The gateway and the callers that wrote most are in the old primary's failure domain.
    best = min(
        eligible,
        key=lambda entry: (
            entry.server.id != intended,
            entry.server.failure_domain != old_failure_domain,
            entry.server.id,
        ),
    )
    return Successor(server=best.server, received=furthest)
