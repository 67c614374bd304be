"""Choice of the proxies that act as gateways of a backend server, best first."""

from collections.abc import Callable, Iterator
from typing import Protocol

from ..catalog.model import ServerEntry
from ..catalog.source import ProxyEntry

# When two gateways of a server cannot be reached, a third is unlikely to be reachable.
MIN_GATEWAYS = 2


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
    """Yield the proxies to ask for a server, suspected ones last.

    In both groups, those of the server's failure domain come first.
    """
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
    """Return the proxies to ask for a server, best first.

    At least one is of another failure domain, if there is any.
    """
    chosen: list[ProxyEntry] = []
    has_other_domain = False
    for member in rank_gateways(server, fleet, is_suspect=is_suspect):
        is_other_domain = member.failure_domain != server.failure_domain
        if len(chosen) < MIN_GATEWAYS or is_other_domain:
            chosen.append(member)
            has_other_domain = has_other_domain or is_other_domain
        if has_other_domain and len(chosen) >= MIN_GATEWAYS:
            break
    return chosen
