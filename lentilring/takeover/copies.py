"""Copies of a database that may hold acknowledged commits, as the store records them.

A commit is acknowledged by the primary and any one replica. If both are away, the others may lack
it, so a takeover must hear from every recorded copy. PacificA and Kafka's in-sync sets keep such a
record too; here it stands beside the newest promotion, so that one conditional write orders both.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ..catalog.model import ServerEntry, ServerRole
from ..gateways.server import ReplicationStatus
from ..outcomes import JsonValue
from ..statements.model import Position


@dataclass(frozen=True, kw_only=True)
class RecordedCopies:
    """Hold the primary of a term and the start time of each copy, in Unix milliseconds.

    A copy that started again holds nothing of what it had received before.
    """

    leader: str = ""
    started_ms: dict[str, int] = field(default_factory=dict)

    def find_unheard(self, heard: Mapping[str, int], *, intended: str = "") -> tuple[str, ...]:
        """Return the copies that a takeover still has to hear from.

        The primary may be silent, as each acknowledged commit is at another copy too. While a
        promotion is open, the server that it intends may be the primary.
        """
        unheard = {
            server for server, started in self.started_ms.items() if heard.get(server) != started
        }
        if unheard <= {self.leader} or unheard <= {intended}:
            return ()
        return tuple(sorted(unheard - {self.leader}))


def read_copies(value: dict[str, JsonValue]) -> RecordedCopies:
    """Return the copies in a stored value, none if it has no readable ones."""
    leader, copies = value.get("leader"), value.get("copies")
    if not isinstance(leader, str) or not isinstance(copies, dict):
        return RecordedCopies()
    started_ms = {name: start for name, start in copies.items() if isinstance(start, int)}
    return RecordedCopies(leader=leader, started_ms=started_ms)


def describe_copies(entries: Collection[ServerEntry], *, leader: str) -> RecordedCopies:
    """Return the copies that are registered now."""
    started_ms = {entry.id: entry.started_ms for entry in entries}
    return RecordedCopies(leader=leader, started_ms=started_ms)


def find_departed(recorded: RecordedCopies, registered: RecordedCopies) -> frozenset[str]:
    """Return recorded copies that are not registered any more or that started again.

    The primary of the term keeps its log when it starts again.
    """
    return frozenset(
        server
        for server, started in recorded.started_ms.items()
        if registered.started_ms.get(server) != started
        and not (server == registered.leader and server in registered.started_ms)
    )


def merge_copies(
    recorded: RecordedCopies, registered: RecordedCopies, *, kept: Collection[str]
) -> RecordedCopies:
    """Return the registered copies and, of those that departed, the ones to keep."""
    departed = {server: recorded.started_ms[server] for server in kept}
    return RecordedCopies(
        leader=registered.leader, started_ms={**registered.started_ms, **departed}
    )


def has_received(
    statuses: Mapping[str, ReplicationStatus], *, leader: str, position: Position
) -> bool:
    """Tell whether a replica has all commits up to a position of the primary.

    One is enough, because a takeover hears from every copy that stays.
    """
    return any(
        status.role is ServerRole.REPLICA and status.received >= position
        for server, status in statuses.items()
        if server != leader
    )
