"""JSON bodies of the platform's HTTP interface."""

from typing import Any, TypeVar

import msgspec

from .store import Snapshot, StoredObject

B = TypeVar("B")

MAX_VALUE_BYTES = 1024 * 1024


class ObjectBody(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a StoredObject; msgspec cannot resolve the recursive type of its value."""

    kind: str
    name: str
    version: int
    revision: int
    value: dict[str, Any] | None

    def to_object(self) -> StoredObject:
        """Return the body as a StoredObject."""
        return StoredObject(
            kind=self.kind,
            name=self.name,
            version=self.version,
            revision=self.revision,
            value=self.value,
        )


class SnapshotBody(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a Snapshot."""

    revision: int
    objects: tuple[ObjectBody, ...]

    def to_snapshot(self) -> Snapshot:
        """Return the body as a Snapshot."""
        objects = tuple(body.to_object() for body in self.objects)
        return Snapshot(revision=self.revision, objects=objects)


class ChangeBody(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the new value of an object; null deletes it."""

    value: dict[str, Any] | None


class ConflictBody(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the current object with status 409."""

    current: ObjectBody | None


class MissingBody(msgspec.Struct, frozen=True, kw_only=True):
    """Name an object that never existed, with status 404; other servers' 404 lacks this body."""

    kind: str
    name: str


def encode_json(body: object) -> bytes:
    """Return the JSON of a body, or of a data class that has the same fields."""
    return msgspec.json.encode(body)


def decode_json(data: bytes, body_type: type[B]) -> B:
    """Return the body in JSON data; raise msgspec.DecodeError, also for missing or wrong fields."""
    return msgspec.json.decode(data, type=body_type)
