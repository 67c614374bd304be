"""Messages that distribute configuration between nodes."""

from dataclasses import dataclass

from ..peers.messages import message


@message
@dataclass(frozen=True, kw_only=True)
class Announcement:
    """Tell a peer which changes the sender has and, with a token, ask for a confirmation.

    The sender has every change up to `revision` and some up to `head`; `age_s` is the age of its
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
    """Answer an announcement that has a token.

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
    """A stored object; `value` is JSON text, None for a deletion."""

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
    """Return one batch of objects, oldest change first.

    After the last batch (`more` is false) the receiver has all changes up to `revision`.
    """

    objects: tuple[ConfigurationObject, ...]
    revision: int
    more: bool
