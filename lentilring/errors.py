"""The base of all typed failures."""

from dataclasses import fields


class LentilringError(Exception):
    """Print a failure as its type's name and its fields as key=value pairs.

    Subclasses are data classes. They are not frozen, because Python sets the traceback of an
    exception while it is handled.
    """

    def __str__(self) -> str:
        pairs = [f"{entry.name}={getattr(self, entry.name)!r}" for entry in fields(self)]  # type: ignore[arg-type]
        return " ".join([type(self).__name__, *pairs])
