"""Implementations of RecordSource and Store on the platform's metadata store."""

import zlib
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from ..catalog.source import (
    HistoryExpired,
    ProxyEntry,
    Record,
    RecordKind,
    Records,
    RecordValue,
)
from ..outcomes import JsonValue
from ..revisions import format_revision
from ..telemetry.log import Log
from .documents import (
    MANIFEST_NAME,
    STORE_KINDS,
    UnreadableDocument,
    decode_evacuation,
    decode_manifest,
    decode_proxy,
    decode_server,
    encode_proxy,
)
from .objects import (
    HistoryLost,
    ObjectClient,
    ObjectConflict,
    ObjectList,
    PlatformObject,
    decode_json,
)
from .store import Snapshot, StoredObject, StoreUnavailable, VersionConflict, VmEntry

OWN_KIND_PREFIX = "lentilring-"

log = Log(source="platform")


class PlatformRecords:
    """Implement EncodedRecordSource on the platform's metadata store."""

    def __init__(self, *, objects: ObjectClient) -> None:
        self._objects = objects

    async def list(self, kind: RecordKind, *, may_be_old: bool = False) -> Records:
        """Return all records of a kind; `may_be_old` allows data seconds old, at less cost."""
        listed = await self._objects.list(STORE_KINDS[kind], may_be_old=may_be_old)
        return replace(_convert_objects(kind, listed), is_complete=True)

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        """Return the records changed after a revision."""
        try:
            changed = await self._objects.watch(
                STORE_KINDS[kind], after_revision=after_revision, wait_s=wait_s
            )
        except HistoryLost as error:
            raise HistoryExpired from error
        return _convert_objects(kind, changed)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        """Create or replace the entry of a proxy; the last writer for a VM wins."""
        kind, document = STORE_KINDS[RecordKind.PROXIES], encode_proxy(entry)
        try:
            if revision is None:
                return (await self._objects.create(kind, entry.vm, document)).revision
            written = await self._objects.replace(kind, entry.vm, document, revision=revision)
        except ObjectConflict as conflict:
            written = await self._overwrite(kind, entry.vm, document, conflict.current)
        return written.revision

    async def _overwrite(
        self, kind: str, vm: str, document: Any, current: PlatformObject | None
    ) -> PlatformObject:
        """Write an entry over the current one; another writer's change in between fails it."""
        try:
            current = current or await self._objects.get(kind, vm)
            if current is None:
                return await self._objects.create(kind, vm, document)
            return await self._objects.replace(kind, vm, document, revision=current.revision)
        except ObjectConflict as conflict:
            raise StoreUnavailable(
                operation="register", detail="another writer changed the entry meanwhile"
            ) from conflict

    async def deregister(self, vm: str, *, revision: int) -> None:
        """Remove the entry of a proxy unless it has another revision by now."""
        try:
            await self._objects.delete(STORE_KINDS[RecordKind.PROXIES], vm, revision=revision)
        except ObjectConflict:
            log.info("proxy_entry_not_removed", vm=vm, revision=format_revision(revision))

    def decode(self, kind: RecordKind, record: Record) -> Record:
        """Return a record with the value that its content encodes."""
        try:
            content = zlib.decompress(record.content)
        except zlib.error as error:
            log.warning("content_unreadable", kind=kind, name=record.name, detail=error)
            return record
        entry = PlatformObject(
            name=record.name, revision=record.revision, spec=decode_json(content)
        )
        return replace(record, value=_decode_value(kind, entry))


class PlatformStore:
    """Implement Store for lentilring's own kinds; an object's version is its revision.

    With `may_be_old`, `get` may return data seconds old, at less cost.
    """

    def __init__(self, *, objects: ObjectClient, may_be_old: bool = False) -> None:
        self._objects, self._may_be_old = objects, may_be_old

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object."""
        entry = await self._objects.get(OWN_KIND_PREFIX + kind, name, may_be_old=self._may_be_old)
        return None if entry is None else _convert_object(kind, entry)

    async def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise VersionConflict with the current one."""
        store_kind = OWN_KIND_PREFIX + kind
        try:
            if value is None:
                await self._objects.delete(store_kind, name, revision=expected_version)
                return StoredObject(kind=kind, name=name, version=0, revision=0, value=None)
            if expected_version == 0:
                written = await self._objects.create(store_kind, name, value)
            else:
                written = await self._objects.replace(
                    store_kind, name, value, revision=expected_version
                )
        except ObjectConflict as conflict:
            current = conflict.current or await self._objects.get(store_kind, name)
            raise VersionConflict(
                kind=kind,
                name=name,
                expected_version=expected_version,
                current=None if current is None else _convert_object(kind, current),
            ) from conflict
        return _convert_object(kind, written)

    async def list(self, kinds: Sequence[str]) -> Snapshot:
        """Return all objects of some kinds."""
        objects: list[StoredObject] = []
        revision = 0
        for kind in kinds:
            listed = await self._objects.list(OWN_KIND_PREFIX + kind)
            objects += [_convert_object(kind, entry) for entry in listed.objects]
            revision = listed.revision if not revision else min(revision, listed.revision)
        return Snapshot(revision=revision, objects=tuple(objects))

    async def watch(self, kinds: Sequence[str], *, after_revision: int, wait_s: float) -> Snapshot:
        """Raise NotImplementedError: records are watched through PlatformRecords."""
        raise NotImplementedError

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Raise NotImplementedError: proxies register themselves instead."""
        raise NotImplementedError


def _convert_objects(kind: RecordKind, listed: ObjectList) -> Records:
    records = [
        Record(
            name=entry.name,
            revision=entry.revision,
            value=None if entry.is_deleted else _decode_value(kind, entry),
            is_deleted=entry.is_deleted,
            content=b"" if entry.is_deleted else zlib.compress(entry.content),
        )
        for entry in listed.objects
        if kind is not RecordKind.MANIFEST or entry.name == MANIFEST_NAME
    ]
    return Records(records=tuple(records), revision=listed.revision)


def _decode_value(kind: RecordKind, entry: PlatformObject) -> RecordValue | None:
    decoded: RecordValue | UnreadableDocument
    if kind is RecordKind.MANIFEST:
        decoded = decode_manifest(entry.spec)
    elif kind is RecordKind.SERVERS:
        decoded = decode_server(entry.name, entry.spec, revision=entry.revision)
    elif kind is RecordKind.PROXIES:
        decoded = decode_proxy(entry.name, entry.spec)
    else:
        decoded = decode_evacuation(entry.name)
    if isinstance(decoded, UnreadableDocument):
        log.warning("document_ignored", kind=kind, name=entry.name, detail=decoded.detail)
        return None
    return decoded


def _convert_object(kind: str, entry: PlatformObject) -> StoredObject:
    value = entry.spec if isinstance(entry.spec, dict) and not entry.is_deleted else None
    return StoredObject(
        kind=kind, name=entry.name, version=entry.revision, revision=entry.revision, value=value
    )
