"""Statements of the backend server stand-in and their effect on a key-value map."""

from collections import ChainMap
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, TypeAlias

import msgspec

from ..errors import LentilringError
from ..outcomes import JsonValue

# Sums beyond this magnitude are not exact in JSON readers that use double precision.
MAX_NUMBER = 2**53


@dataclass(kw_only=True, eq=False)
class StatementInvalid(LentilringError):
    """Report that a statement cannot run; it has no effect."""

    detail: str


class _Statement(msgspec.Struct, frozen=True, tag_field="op", forbid_unknown_fields=True):
    """Configure the JSON form that all statements share."""


class Get(_Statement, frozen=True, tag="get"):
    """Read the value of a key; the result is null for an unknown key."""

    key: str


class Scan(_Statement, frozen=True, tag="scan"):
    """Read all keys with a prefix; the result is an object of keys and values."""

    prefix: str


class Put(_Statement, frozen=True, tag="put"):
    """Set the value of a key; the result is null."""

    key: str
    value: Any


class Add(_Statement, frozen=True, tag="add"):
    """Add to the number of a key, 0 at first; the result is the sum."""

    key: str
    amount: int | float


class Append(_Statement, frozen=True, tag="append"):
    """Append to the list of a key, empty at first; the result is the list's length."""

    key: str
    value: Any


ReadStatement: TypeAlias = Get | Scan
WriteStatement: TypeAlias = Put | Add | Append
Statement: TypeAlias = Get | Scan | Put | Add | Append
View: TypeAlias = MutableMapping[str, JsonValue]

_statement_decoder = msgspec.json.Decoder(Statement)
_operations_decoder = msgspec.json.Decoder(list[WriteStatement])
_encoder = msgspec.json.Encoder(order="deterministic")


@dataclass(frozen=True, kw_only=True)
class Evaluation:
    """Hold the changed keys and the result of each statement."""

    changes: dict[str, JsonValue]
    results: list[JsonValue]


def parse_statement(text: str) -> Statement:
    """Return a statement of its JSON text or raise StatementInvalid."""
    try:
        return _statement_decoder.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise StatementInvalid(detail=str(error)) from error


def encode_json(value: object) -> str:
    """Return canonical JSON, so that equal values have equal texts."""
    return _encoder.encode(value).decode()


def encode_operations(statements: Sequence[WriteStatement]) -> str:
    """Return the canonical JSON list of some statements."""
    return encode_json(list(statements))


def decode_operations(text: str) -> list[WriteStatement]:
    """Return the statements of a log entry."""
    return _operations_decoder.decode(text)


def evaluate(statements: Sequence[Statement], base: View) -> Evaluation:
    """Run statements in order without changing the base; raise StatementInvalid."""
    changes: dict[str, JsonValue] = {}
    view: View = ChainMap(changes, base)
    results = [run_statement(statement, view) for statement in statements]
    return Evaluation(changes=changes, results=results)


@singledispatch
def run_statement(statement: object, view: View) -> JsonValue:
    """Run one statement on a view and return its result."""
    raise StatementInvalid(detail=type(statement).__name__)


@run_statement.register
def _(statement: Get, view: View) -> JsonValue:
    return view.get(statement.key)


@run_statement.register
def _(statement: Scan, view: View) -> JsonValue:
    return {key: view[key] for key in sorted(view) if key.startswith(statement.prefix)}


@run_statement.register
def _(statement: Put, view: View) -> JsonValue:
    view[statement.key] = statement.value
    return None


@run_statement.register
def _(statement: Add, view: View) -> JsonValue:
    current = view.get(statement.key, 0)
    if not isinstance(current, int | float) or isinstance(current, bool):
        raise StatementInvalid(detail="add needs a number")
    total = current + statement.amount
    if not abs(total) <= MAX_NUMBER:
        raise StatementInvalid(detail="sum out of range")
    view[statement.key] = total
    return total


@run_statement.register
def _(statement: Append, view: View) -> JsonValue:
    current = view.get(statement.key, [])
    if not isinstance(current, list):
        raise StatementInvalid(detail="append needs a list")
    # Replaces the list, because the view may share it with the committed map.
    extended = [*current, statement.value]
    view[statement.key] = extended
    return len(extended)
