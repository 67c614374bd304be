"""Which proxies own the connections and slots of a backend server, best first."""

from collections.abc import Callable, Sequence

from ..catalog.model import ServerEntry
from ..catalog.source import ProxyEntry
from ..placement import rank_members


def rank_gateways(
    server: ServerEntry,
    members: Sequence[ProxyEntry],
    *,
    is_suspect: Callable[[str], bool],
) -> list[ProxyEntry]:
    """Return the proxies to ask for a server: those of its failure domain, unsuspected, first."""
    ranked: list[ProxyEntry] = rank_members(
        server.id, members, preferred_failure_domain=server.failure_domain
    )
    return sorted(ranked, key=lambda member: is_suspect(member.vm))
