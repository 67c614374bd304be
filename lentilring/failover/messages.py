"""Messages about the reachability of primaries."""

from dataclasses import dataclass

from ..peers.messages import message


@message
@dataclass(frozen=True, kw_only=True)
class ProbePrimary:
    """Ask a vantage point to probe a backend server over a new connection."""

    group: str
    address: str
    timeout_s: float


@message
@dataclass(frozen=True, kw_only=True)
class ProbeResult:
    """Answer ProbePrimary."""

    reachable: bool


@message
@dataclass(frozen=True, kw_only=True)
class SuspectPrimary:
    """Tell a group's supervisor that the primary of a term did not answer."""

    group: str
    term: int
