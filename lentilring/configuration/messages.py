"""Messages that spread configuration between nodes."""

from dataclasses import dataclass

from ..peers.messages import message


@message
@dataclass(frozen=True, kw_only=True)
class Announcement:
    """Tell a peer what the sender holds and, with a token, ask for a confirmation.

    The node has every change up to `revision` and some up to `head`; `age_s` is the age of its
    newest confirmation by the store, None without one.
    """

    revision: int
    head: int
    age_s: float | None
    store_is_down: bool
    token: int | None = None


@message
@dataclass(frozen=True, kw_only=True)
class Confirmation:
    """Answer an announcement.

    `confirmed_revision` was the store's newest revision `age_s` seconds before this was sent.
    """

    token: int
    revision: int
    head: int
    confirmed_revision: int
    age_s: float | None
    store_is_down: bool


@message
@dataclass(frozen=True, kw_only=True)
class ConfigurationObject:
    """Carry one stored object; `value` is JSON, None for a deletion."""

    kind: str
    name: str
    version: int
    revision: int
    value: str | None


@message
@dataclass(frozen=True, kw_only=True)
class FetchRequest:
    """Ask for objects changed after a revision."""

    after_revision: int


@message
@dataclass(frozen=True, kw_only=True)
class FetchReply:
    """Carry one batch, oldest first.

    The last batch completes the receiver up to `revision`.
    """

    objects: tuple[ConfigurationObject, ...]
    revision: int
    more: bool
