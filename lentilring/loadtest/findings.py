"""What a check found in a request log."""

from dataclasses import dataclass, field

from ..outcomes import JsonValue

MAX_LISTED = 20


@dataclass(frozen=True, kw_only=True)
class Finding:
    """Hold one check's violations and measured figures.

    A check without violations in a log that lacks what it needs is not a proof; `examined` says
    how many records it looked at.
    """

    check: str
    examined: int
    violations: tuple[str, ...] = ()
    figures: "dict[str, JsonValue]" = field(default_factory=dict)
