"""Messages between the proxy that reports usage and the proxies that count it."""

from dataclasses import dataclass

from ..peers.messages import message


@message
@dataclass(frozen=True, kw_only=True)
class AccountUsage:
    """Carry the number of requests of one client account."""

    account: str
    requests: int


@message
@dataclass(frozen=True, kw_only=True)
class WindowUsage:
    """Carry the counts of one window."""

    window: int
    accounts: tuple[AccountUsage, ...]


@message
@dataclass(frozen=True, kw_only=True)
class AskUsage:
    """Ask a proxy for its counts of a window.

    `reported` is the newest window whose report the platform has accepted, -1 if none is known.
    """

    window: int
    reported: int = -1


@message
@dataclass(frozen=True, kw_only=True)
class UsageCounted:
    """Answer with the counts of a window; without `has_begun` it is in this proxy's future."""

    has_begun: bool
    accounts: tuple[AccountUsage, ...] = ()


@message
@dataclass(frozen=True, kw_only=True)
class AskReporter:
    """Ask the proxy that should report whether it does."""


@message
@dataclass(frozen=True, kw_only=True)
class ReporterState:
    """Say whether a proxy takes itself for the reporter."""

    is_reporter: bool


@message
@dataclass(frozen=True, kw_only=True)
class HandOverUsage:
    """Give the counts of a proxy that stops to another proxy."""

    windows: tuple[WindowUsage, ...]


@message
@dataclass(frozen=True, kw_only=True)
class UsageTaken:
    """Confirm that counts were taken over."""
