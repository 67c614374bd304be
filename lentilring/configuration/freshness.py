"""Freshness: when the local configuration was last confirmed to be the newest."""

import math


class Freshness:
    """Keep the newest confirmation by the store and the revision that the local node has reached.

    A confirmation (revision, as_of) says that no change accepted before `as_of` has a greater
    revision. It makes the local node fresh as of that time only once the node has all changes
    up to the revision. Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.confirmed_revision = 0
        self.confirmed_at = -math.inf
        self.fresh_as_of = -math.inf

    def confirm(self, revision: int, as_of: float) -> bool:
        """Store a confirmation if it is newer than the current one; tell whether it was."""
        if as_of <= self.confirmed_at:
            return False
        self.confirmed_revision = revision
        self.confirmed_at = as_of
        self._update()
        return True

    def complete(self, revision: int) -> bool:
        """Record that the node has all changes up to a revision; tell whether that is progress."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self._update()
        return True

    def has_confirmed_revision(self) -> bool:
        """Tell whether the node has all changes that the store had at the last confirmation."""
        return self.revision >= self.confirmed_revision

    def _update(self) -> None:
        if self.has_confirmed_revision():
            self.fresh_as_of = max(self.fresh_as_of, self.confirmed_at)
