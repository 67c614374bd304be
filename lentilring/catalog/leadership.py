"""Which backend server of a service is taken as its primary."""

from dataclasses import dataclass

from .model import ServerEntry, ServerRole, ServerTable


@dataclass(frozen=True, kw_only=True)
class KnownLeader:
    """Say that a server proved or was given the lead of a term."""

    server: str
    term: int


class Leadership:
    """Choose between what servers register and what answers and promotions have shown since."""

    def __init__(self) -> None:
        self._leads: dict[str, KnownLeader] = {}
        self._denied: dict[str, int] = {}

    def record_leader(self, service: str, server: str, term: int) -> bool:
        """Record a proof of the lead; tell whether it changes the belief."""
        known = self._leads.get(service)
        self._denied.pop(server, None)
        if known is not None and (known.term, known.server) == (term, server):
            return False
        if known is not None and known.term > term:
            return False
        self._leads[service] = KnownLeader(server=server, term=term)
        return True

    def record_denial(self, entry: ServerEntry) -> None:
        """Record that a server denied being the primary, until it registers again."""
        self._denied[entry.id] = entry.revision
        lead = self._leads.get(entry.service)
        if lead is not None and lead.server == entry.id:
            del self._leads[entry.service]

    def find(self, service: str, table: ServerTable) -> ServerEntry | None:
        """Return the server that most probably leads a service."""
        entries = table.by_service.get(service, ())
        lead = self._leads.get(service)
        claiming = [entry for entry in entries if self._claims_lead(entry)]
        newest = max(claiming, key=lambda entry: entry.revision, default=None)
        if lead is None or lead.server not in table.entries:
            return newest
        return table.entries[lead.server]

    def find_known_leader(self, service: str) -> KnownLeader | None:
        """Return the newest proof of the lead."""
        return self._leads.get(service)

    def record_registration(self, entry: ServerEntry, previous: ServerEntry | None) -> None:
        """Forget proofs that a newer registration contradicts."""
        lead = self._leads.get(entry.service)
        if lead is None:
            return
        gained = entry.role is ServerRole.PRIMARY and (
            previous is None or previous.role is not ServerRole.PRIMARY
        )
        lost = (
            lead.server == entry.id
            and entry.role is ServerRole.REPLICA
            and previous is not None
            and previous.role is ServerRole.PRIMARY
        )
        if (gained and lead.server != entry.id) or lost:
            del self._leads[entry.service]

    def _claims_lead(self, entry: ServerEntry) -> bool:
        denied = self._denied.get(entry.id)
        return entry.role is ServerRole.PRIMARY and (denied is None or denied < entry.revision)
