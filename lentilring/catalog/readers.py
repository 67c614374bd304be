"""Which proxies read the store themselves, and which of these a proxy follows."""

import math
from collections.abc import Sequence

from ..placement import rank_members
from .source import ProxyEntry

# Two readers may fail while a third still follows the store.
MIN_READERS = 3
# A proxy follows two readers of different failure domains: one that fails is not missed.
FOLLOWED_READERS = 2


def choose_readers(members: Sequence[ProxyEntry]) -> tuple[ProxyEntry, ...]:
    """Return the proxies that read the store: as many in each failure domain."""
    domains: dict[str, list[ProxyEntry]] = {}
    for entry in members:
        domains.setdefault(entry.failure_domain, []).append(entry)
    if not domains:
        return ()
    per_domain = math.ceil(MIN_READERS / len(domains))
    return tuple(
        entry
        for domain in sorted(domains)
        for entry in rank_members(f"reader-{domain}", domains[domain])[:per_domain]
    )


def order_readers(readers: Sequence[ProxyEntry], follower: ProxyEntry) -> tuple[ProxyEntry, ...]:
    """Return readers in a follower's order of preference: near ones first, domains by turns."""
    ranked = rank_members(f"follow-{follower.vm}", readers)
    ranked.sort(key=lambda entry: _distance(entry, follower))
    firsts: list[ProxyEntry] = []
    others: list[ProxyEntry] = []
    domains: set[str] = set()
    for entry in ranked:
        (others if entry.failure_domain in domains else firsts).append(entry)
        domains.add(entry.failure_domain)
    return (*firsts, *others)


def _distance(reader: ProxyEntry, follower: ProxyEntry) -> int:
    if reader.failure_domain == follower.failure_domain:
        return 0
    return 1 if reader.region == follower.region else 2
