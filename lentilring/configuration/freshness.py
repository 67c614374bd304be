"""How long ago the store confirmed that the local configuration is the newest."""

import math


class Freshness:
    """Keep the newest proof that all changes up to a revision were known.

    A confirmation (revision, moment) says that no change accepted before the moment has a greater
    revision. It makes the local node fresh as of that moment only once the node has all changes
    up to the revision.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.confirmed_revision = 0
        self.confirmed_at = -math.inf
        self.fresh_as_of = -math.inf

    def confirm(self, revision: int, moment: float) -> bool:
        """Take a confirmation; tell whether it is newer than the one known."""
        if moment <= self.confirmed_at:
            return False
        self.confirmed_revision = revision
        self.confirmed_at = moment
        self._update()
        return True

    def complete(self, revision: int) -> bool:
        """Note that all changes up to a revision are known; tell whether some are new."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self._update()
        return True

    def has_confirmed_revision(self) -> bool:
        """Tell whether all changes that the store had at the last confirmation are known."""
        return self.revision >= self.confirmed_revision

    def _update(self) -> None:
        if self.has_confirmed_revision():
            self.fresh_as_of = max(self.fresh_as_of, self.confirmed_at)
