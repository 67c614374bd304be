"""Changes that operators' tools make to configuration objects."""

import asyncio
import uuid
from dataclasses import dataclass
from typing import TypeAlias

from ..outcomes import JsonValue
from ..platform.store import Store, StoredObject, StoreUnavailable, VersionConflict
from ..telemetry.log import Log
from .parsing import CHANGE_ID_FIELD, parse_object

ATTEMPTS = 4
RETRY_S = 0.25

log = Log(source="editing")


@dataclass(frozen=True, kw_only=True)
class Applied:
    """Report a change that was applied, with the stored version that it created."""

    stored: StoredObject


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Report a change that was not applied, with the submitted value and the stored version."""

    kind: str
    name: str
    expected_version: int
    submitted: dict[str, JsonValue] | None
    current: StoredObject | None


@dataclass(frozen=True, kw_only=True)
class Undecided:
    """Report a change that may or may not have been applied, with the last version seen."""

    kind: str
    name: str
    expected_version: int
    submitted: dict[str, JsonValue] | None
    current: StoredObject | None


ChangeResult: TypeAlias = Applied | Conflict | Undecided


async def apply_change(
    store: Store,
    kind: str,
    name: str,
    value: dict[str, JsonValue] | None,
    expected_version: int,
    *,
    change_id: str | None = None,
) -> ChangeResult:
    """Replace an object, or delete it with None, if it still has the version the operator saw.

    After a lost answer the change is sent again: its expected version lets it take effect at most
    once, and the change id shows whether it created the stored version. Raise ObjectInvalid for a
    value that does not parse.
    """
    change = _Change(
        kind=kind,
        name=name,
        value=value,
        expected_version=expected_version,
        change_id=change_id or uuid.uuid4().hex,
    )
    if value is not None:
        parse_object(kind, name, value)
    answer_lost = False
    for attempt in range(ATTEMPTS):
        try:
            stored = await store.put(
                kind, name, change.stored_value(), expected_version=expected_version
            )
        except VersionConflict as conflict:
            return change.resolve(conflict.current, answer_lost=answer_lost)
        except StoreUnavailable:
            answer_lost = True
            log.warning("change_unanswered", kind=kind, name=name, attempt=attempt + 1)
            await asyncio.sleep(RETRY_S)
        else:
            return Applied(stored=stored)
    return await _read_again(store, change)


async def _read_again(store: Store, change: "_Change") -> ChangeResult:
    try:
        current = await store.get(change.kind, change.name)
    except StoreUnavailable:
        return change.undecided(None)
    return change.resolve(current, answer_lost=True)


@dataclass(frozen=True, kw_only=True)
class _Change:
    kind: str
    name: str
    value: dict[str, JsonValue] | None
    expected_version: int
    change_id: str

    def stored_value(self) -> dict[str, JsonValue] | None:
        """Return the value to store, with the change id added."""
        return None if self.value is None else {**self.value, CHANGE_ID_FIELD: self.change_id}

    def resolve(self, current: StoredObject | None, *, answer_lost: bool) -> ChangeResult:
        """Return the result of the change, as far as the stored version shows it."""
        if self._created(current):
            assert current is not None
            return Applied(stored=current)
        if answer_lost and self._may_be_applied(current):
            return self.undecided(current)
        return Conflict(
            kind=self.kind,
            name=self.name,
            expected_version=self.expected_version,
            submitted=self.value,
            current=current,
        )

    def undecided(self, current: StoredObject | None) -> Undecided:
        """Return the result for a change that may or may not have been applied."""
        return Undecided(
            kind=self.kind,
            name=self.name,
            expected_version=self.expected_version,
            submitted=self.value,
            current=current,
        )

    def _created(self, current: StoredObject | None) -> bool:
        if current is None or current.value is None:
            return False
        return current.value.get(CHANGE_ID_FIELD) == self.change_id

    def _may_be_applied(self, current: StoredObject | None) -> bool:
        """Tell whether the change may have been applied, or may be later, without visible trace.

        It may still be on its way, be overwritten by a later version, or be a deletion, which
        carries no change id.
        """
        if current is None or current.version <= self.expected_version:
            return True
        deleted_by_either = self.value is None and current.value is None
        return deleted_by_either or current.version > self.expected_version + 1
