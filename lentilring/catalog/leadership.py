"""Which backend server of a service is believed to be its primary."""

from dataclasses import dataclass

from .model import ServerEntry, ServerRole, ServerTable


@dataclass(frozen=True, kw_only=True)
class KnownLeader:
    """Name the server that proved, or was announced, to be the primary of a term."""

    server: str
    term: int


class Leadership:
    """Find primaries from the roles that servers registered and from proofs and denials since."""

    def __init__(self) -> None:
        self._leaders: dict[str, KnownLeader] = {}
        self._denied_revisions: dict[str, int] = {}

    def record_leader(self, service: str, server: str, term: int) -> bool:
        """Record the primary of a term; tell whether this changes the known leader."""
        known = self._leaders.get(service)
        self._denied_revisions.pop(server, None)
        if known is not None and (known.term, known.server) == (term, server):
            return False
        if known is not None and known.term > term:
            return False
        self._leaders[service] = KnownLeader(server=server, term=term)
        return True

    def record_denial(self, entry: ServerEntry) -> None:
        """Record that a server denied being the primary; this holds until it registers again."""
        self._denied_revisions[entry.id] = entry.revision
        leader = self._leaders.get(entry.service)
        if leader is not None and leader.server == entry.id:
            del self._leaders[entry.service]

    def find_primary(self, service: str, table: ServerTable) -> ServerEntry | None:
        """Return the server that is most probably the primary of a service."""
        entries = table.by_service.get(service, ())
        leader = self._leaders.get(service)
        claimants = [entry for entry in entries if self._claims_leadership(entry)]
        newest = max(claimants, key=lambda entry: entry.revision, default=None)
        if leader is None or leader.server not in table.entries:
            return newest
        return table.entries[leader.server]

    def find_known_leader(self, service: str) -> KnownLeader | None:
        """Return the server of the newest proof, or None without one."""
        return self._leaders.get(service)

    def record_registration(self, entry: ServerEntry, previous: ServerEntry | None) -> None:
        """Drop a proof that a newer registration contradicts."""
        leader = self._leaders.get(entry.service)
        if leader is None:
            return
        gained = entry.role is ServerRole.PRIMARY and (
            previous is None or previous.role is not ServerRole.PRIMARY
        )
        lost = (
            leader.server == entry.id
            and entry.role is ServerRole.REPLICA
            and previous is not None
            and previous.role is ServerRole.PRIMARY
        )
        if (gained and leader.server != entry.id) or lost:
            del self._leaders[entry.service]

    def _claims_leadership(self, entry: ServerEntry) -> bool:
        denied = self._denied_revisions.get(entry.id)
        return entry.role is ServerRole.PRIMARY and (denied is None or denied < entry.revision)
