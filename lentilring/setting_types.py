"""Formats and types that the settings of several programs share."""

from enum import StrEnum

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
LABEL_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class LogLevel(StrEnum):
    """Name the levels of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
