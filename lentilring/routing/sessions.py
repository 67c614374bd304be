"""Session tokens: the position of a session's last write in one database."""

import base64
import binascii

import msgspec

from ..errors import LentilringError
from ..outcomes import SessionPosition


class SessionTokenInvalid(LentilringError):
    """Report a session token that this database did not issue."""

    def __str__(self) -> str:
        return "the session token is malformed or of another database"


MAX_TOKEN_LENGTH = 512


def encode_token(position: SessionPosition) -> str:
    """Return the token of a position."""
    content = msgspec.json.encode([position.database, position.term, position.position])
    return base64.urlsafe_b64encode(content).decode().rstrip("=")


def decode_token(token: str, database: str) -> SessionPosition:
    """Return the position of a token; raise SessionTokenInvalid if it is not of the database."""
    if len(token) > MAX_TOKEN_LENGTH:
        raise SessionTokenInvalid
    try:
        content = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        name, term, position = msgspec.json.decode(content, type=tuple[str, int, int])
    except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
        raise SessionTokenInvalid from error
    if name != database or not 0 <= term < 2**62 or not 0 <= position < 2**62:
        raise SessionTokenInvalid
    return SessionPosition(database=name, term=term, position=position)


def choose_later(first: SessionPosition | None, second: SessionPosition) -> SessionPosition:
    """Return the later of two positions of one database, by term and then position."""
    if first is None or (second.term, second.position) >= (first.term, first.position):
        return second
    return first
