"""Since when a server has certainly run without a restart."""

NEVER = float("-inf")


class ServerLifetime:
    """Join the lives of connections to a server that overlap: they were to the same process.

    All times are of the boot clock. A connection lives from its opening until the last request that
    was answered on it was sent.
    """

    def __init__(self) -> None:
        self.since = NEVER
        self._alive_at = NEVER

    def record_answer(self, *, opened_at: float, sent_at: float) -> None:
        """Record that a request was answered."""
        if opened_at > self._alive_at:
            self.since = opened_at
        elif sent_at >= self.since:
            self.since = min(self.since, opened_at)
        self._alive_at = max(self._alive_at, sent_at)
