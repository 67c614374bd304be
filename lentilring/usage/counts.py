"""Counts of requests by window and client account, kept at the proxies of the callers."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from weakref import WeakValueDictionary

from ..gateways.messages import RunStatement, StatementAnswer
from ..sessions.calls import StatementCall
from ..sessions.context import ANONYMOUS_ACCOUNT
from ..statements.model import Failure
from .messages import AccountUsage, WindowUsage

# Two minutes of windows of 5 s: counts outlast an outage of the store of that length.
KEPT_WINDOWS = 24
# After these failures a server had begun to run the statement, or may have.
BEGUN_FAILURES = frozenset({Failure.FAILED, Failure.ABORTED, Failure.TIMED_OUT, Failure.UNCERTAIN})


def is_request(request: RunStatement, answer: StatementAnswer) -> bool:
    """Tell whether a run counts as a request of its client account.

    Single statements and first statements of transactions count if a server began to run them,
    also if they failed or their answer was lost. Without the condition on `transaction`, every
    statement counts.
    """
    has_begun = not answer.failure or (
        answer.failure in BEGUN_FAILURES and not answer.is_unreachable
    )
    is_first_statement = not request.transaction
    return has_begun and is_first_statement and request.account != ANONYMOUS_ACCOUNT


@dataclass(frozen=True, kw_only=True)
class Windows:
    """Convert between times and windows; `now` returns the seconds since the start of 1970."""

    length_s: float
    now: Callable[[], float]

    def find(self, at: float) -> int:
        """Return the window that contains a time."""
        return int(at // self.length_s)

    def find_current(self) -> int:
        """Return the window that runs now."""
        return self.find(self.now())

    def find_end(self, window: int) -> float:
        """Return the time at which a window ends."""
        return (window + 1) * self.length_s


class UsageCounts:
    """Count the requests of this proxy's callers; implements UsageRecorder."""

    def __init__(self, *, windows: Windows) -> None:
        self.windows = windows
        self._counts: dict[int, Counter[str]] = {}
        self._newest_given = windows.find_current() - 1
        # One call may run on several servers, but is one request.
        self._counted: WeakValueDictionary[int, StatementCall] = WeakValueDictionary()

    def record(
        self, call: StatementCall, request: RunStatement, answer: StatementAnswer, *, age_s: float
    ) -> None:
        """Count a run that began `age_s` seconds ago, if it counts and is the first of its call."""
        if self._counted.get(id(call)) is call or not is_request(request, answer):
            return
        self._counted[id(call)] = call
        self.add(self.windows.find(self.windows.now() - age_s), {request.account: 1})

    def add(self, window: int, counts: Mapping[str, int]) -> None:
        """Add counts to a window, or to the next one whose counts have not been given away."""
        window = max(min(window, self.windows.find_current()), self._newest_given + 1)
        self._counts.setdefault(window, Counter()).update(counts)
        while len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def give(self, window: int) -> Mapping[str, int] | None:
        """Return the counts of a window, which do not change afterwards; None if in the future."""
        if window > self.windows.find_current():
            return None
        self._newest_given = max(self._newest_given, window)
        return self._counts.get(window, Counter())

    def give_remaining(self) -> tuple[WindowUsage, ...]:
        """Return and remove the counts that have not been given away."""
        remaining = sorted(window for window in self._counts if window > self._newest_given)
        return tuple(
            WindowUsage(window=window, accounts=pack_counts(self._counts.pop(window)))
            for window in remaining
        )


def pack_counts(counts: Mapping[str, int]) -> tuple[AccountUsage, ...]:
    """Return counts in the form of a message."""
    return tuple(
        AccountUsage(account=account, requests=requests) for account, requests in counts.items()
    )


def unpack_counts(accounts: Iterable[AccountUsage]) -> Counter[str]:
    """Return the counts in a message."""
    return Counter({entry.account: entry.requests for entry in accounts if entry.requests > 0})
