"""Which proxies own the connections and slots of a backend server, best first."""

from collections.abc import Callable, Iterator
from typing import Protocol

from ..catalog.model import ServerEntry
from ..catalog.source import ProxyEntry

# Two gateways of a server are tried; a third would hardly be reachable when two are not.
MAX_GATEWAYS = 2


class RankedProxies(Protocol):
    """Rank proxies by rendezvous hashing."""

    def rank(
        self, key: str, *, preferred_failure_domain: str | None = None
    ) -> tuple[ProxyEntry, ...]:
        """Return the proxies in order of preference."""
        ...


def rank_gateways(
    server: ServerEntry, fleet: RankedProxies, *, is_suspect: Callable[[str], bool]
) -> Iterator[ProxyEntry]:
    """Return the proxies to ask for a server: those of its failure domain, unsuspected, first."""
    suspects = []
    ranked = fleet.rank(server.id, preferred_failure_domain=server.failure_domain)
    for member in ranked:
        if is_suspect(member.vm):
            suspects.append(member)
        else:
            yield member
    yield from suspects


def choose_gateways(
    server: ServerEntry, fleet: RankedProxies, *, is_suspect: Callable[[str], bool]
) -> list[ProxyEntry]:
    """Return the proxies to ask for a server, best first; one is of another failure domain."""
    chosen: list[ProxyEntry] = []
    leaves_domain = False
    for member in rank_gateways(server, fleet, is_suspect=is_suspect):
        is_outside = member.failure_domain != server.failure_domain
        if len(chosen) < MAX_GATEWAYS or is_outside:
            chosen.append(member)
            leaves_domain = leaves_domain or is_outside
        if leaves_domain and len(chosen) >= MAX_GATEWAYS:
            break
    return chosen
