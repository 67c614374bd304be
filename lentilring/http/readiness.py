"""Whether the proxy is ready for new requests, and the reasons when it is not."""

from collections.abc import Callable

from ..clock import Clock
from ..outcomes import NotRun, RefusalReason

# The load balancer needs time to notice that a proxy is not ready. Until then, requests that arrive
# on open connections are served, and their connections are closed after the response.
LEAVING_GRACE_S = 2.0


class Readiness:
    """Combine the conditions under which the proxy is not ready."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._unready_conditions: dict[str, Callable[[], bool]] = {}
        self._leaving_since: float | None = None
        self._refuses_at: float | None = None
        self._is_drained: Callable[[], bool] = lambda: False

    def add_unready_condition(self, name: str, holds: Callable[[], bool]) -> None:
        """Register a named condition under which the proxy is not ready."""
        self._unready_conditions[name] = holds

    def set_drain_check(self, is_drained: Callable[[], bool]) -> None:
        """Register a check whether operators drained this VM's failure domain."""
        self._is_drained = is_drained

    def begin_shutdown(self, *, grace_s: float = LEAVING_GRACE_S) -> None:
        """Make the proxy not ready until the process ends, and refuse requests after a grace."""
        self._refuses_at = self._clock.monotonic() + grace_s

    @property
    def is_leaving(self) -> bool:
        """Tell whether connections should be closed after their next response."""
        self._update_drain()
        return self._refuses_at is not None or self._leaving_since is not None

    def list_unready_conditions(self) -> list[str]:
        """Return the names of the conditions that keep the proxy from being ready."""
        names = [name for name, holds in self._unready_conditions.items() if holds()]
        if self._refuses_at is not None:
            names.append("shutting_down")
        self._update_drain()
        if self._leaving_since is not None:
            names.append("failure_domain_drained")
        return names

    def refuse_request(self) -> NotRun | None:
        """Return a refusal once the grace of a shutdown or drain is over."""
        self._update_drain()
        now = self._clock.monotonic()
        if self._refuses_at is not None and now >= self._refuses_at:
            return NotRun(reason=RefusalReason.SHUTTING_DOWN, retry_after_s=1.0)
        if self._leaving_since is not None and now - self._leaving_since > LEAVING_GRACE_S:
            return NotRun(reason=RefusalReason.DRAINING, retry_after_s=1.0)
        return None

    def _update_drain(self) -> None:
        if not self._is_drained():
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = self._clock.monotonic()
