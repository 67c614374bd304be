"""The base class of all lentilring exceptions."""

from dataclasses import fields


class LentilringError(Exception):
    """Format an error as its type's name and its fields as key=value pairs.

    Subclasses are dataclasses. They are not frozen, because Python assigns the traceback of an
    exception while it is handled.
    """

    def __str__(self) -> str:
        pairs = [f"{entry.name}={getattr(self, entry.name)!r}" for entry in fields(self)]  # type: ignore[arg-type]
        return " ".join([type(self).__name__, *pairs])
