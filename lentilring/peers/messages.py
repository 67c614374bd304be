"""Registry of the messages that processes exchange."""

from dataclasses import is_dataclass
from typing import TypeVar

C = TypeVar("C", bound=type)

MESSAGES: dict[str, type] = {}


def message(cls: C) -> C:
    """Register a frozen data class as a message under its class name."""
    assert is_dataclass(cls), f"{cls.__name__} is not a data class"
    assert cls.__name__ not in MESSAGES, f"message {cls.__name__} is registered twice"
    MESSAGES[cls.__name__] = cls
    return cls
