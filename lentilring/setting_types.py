"""Types that the settings of several programs share."""

from enum import StrEnum
from typing import Annotated, Any

from pydantic import Field as Check

Address = Annotated[str, Check(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Label = Annotated[str, Check(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class LogLevel(StrEnum):
    """Name the levels of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def describe(text: str) -> Any:
    """Return a pydantic field that only describes a setting."""
    return Check(description=text)
