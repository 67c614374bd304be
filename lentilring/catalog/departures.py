"""Servers that were removed lately, which may come back."""

from dataclasses import dataclass

from ..clock import SuspensionClock
from .model import ServerEntry

# A server that was removed may come back within this time, itself or in an older copy of the store.
DEPARTED_MEMORY_S = 60.0


@dataclass(frozen=True, kw_only=True)
class _Departure:
    entry: ServerEntry
    removed_at: float


class DepartedServers:
    """Hold the last entries of servers that were removed in the last DEPARTED_MEMORY_S."""

    def __init__(self, *, clock: SuspensionClock) -> None:
        self._clock = clock
        self._departures: dict[str, _Departure] = {}

    def add(self, entry: ServerEntry) -> None:
        """Remember a server that is removed now."""
        self._departures = {
            server: departure
            for server, departure in self._departures.items()
            if self._is_recent(departure)
        }
        self._departures[entry.id] = _Departure(entry=entry, removed_at=self._clock.boottime())

    def discard(self, server: str) -> None:
        """Forget a server, because it is registered again."""
        self._departures.pop(server, None)

    def find(self, server: str) -> ServerEntry | None:
        """Return the last entry of a server, None if it was not removed lately."""
        departure = self._departures.get(server)
        return departure.entry if departure is not None and self._is_recent(departure) else None

    def list_lapsed(self, service: str) -> tuple[ServerEntry, ...]:
        """Return the servers of a service that were removed without leaving."""
        return tuple(
            departure.entry
            for departure in self._departures.values()
            if departure.entry.service == service
            and not departure.entry.is_draining
            and self._is_recent(departure)
        )

    def _is_recent(self, departure: _Departure) -> bool:
        return self._clock.boottime() - departure.removed_at < DEPARTED_MEMORY_S
