"""Reports of usage, and the interface of the platform's service that takes them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Protocol


@unique
class ReportResult(StrEnum):
    """Say how the platform answered a report."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class UsageReport:
    """Hold the requests of each client account in one window."""

    window: int
    counts: Mapping[str, int]


class UsageService(Protocol):
    """Pass reports of usage to the platform."""

    async def send(self, report: UsageReport, *, holder: str, token: int) -> ReportResult:
        """Send a report once; after an unknown result it may still be taken seconds later."""
        ...
