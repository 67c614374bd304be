"""The store of the platform behind the product's own interfaces."""

from collections.abc import Sequence

from ..catalog.source import (
    HistoryExpired,
    ProxyEntry,
    Record,
    RecordKind,
    Records,
    RecordValue,
)
from ..outcomes import JsonValue
from ..telemetry.log import Log
from .documents import (
    KINDS,
    MANIFEST_NAME,
    UnreadableDocument,
    decode_evacuation,
    decode_manifest,
    decode_proxy,
    decode_server,
    encode_proxy,
)
from .objects import HistoryLost, ObjectClient, ObjectConflict, ObjectList, PlatformObject
from .store import Snapshot, StoredObject, VersionConflict, VmEntry

OWN_KIND_PREFIX = "lentilring-"

log = Log(source="platform")


class PlatformRecords:
    """Implement RecordSource."""

    def __init__(self, *, objects: ObjectClient) -> None:
        self._objects = objects

    async def list(self, kind: RecordKind) -> Records:
        """Return all records of a kind."""
        return _translate(kind, await self._objects.list(KINDS[kind]))

    async def watch(self, kind: RecordKind, *, after_revision: int, wait_s: float) -> Records:
        """Return the records changed after a revision."""
        try:
            changed = await self._objects.watch(
                KINDS[kind], after_revision=after_revision, wait_s=wait_s
            )
        except HistoryLost as error:
            raise HistoryExpired from error
        return _translate(kind, changed)

    async def register(self, entry: ProxyEntry, *, revision: int | None) -> int:
        """Create or replace the entry of a proxy; the newest writer of a VM wins."""
        kind, document = KINDS[RecordKind.PROXIES], encode_proxy(entry)
        try:
            if revision is None:
                return (await self._objects.create(kind, entry.vm, document)).revision
            written = await self._objects.replace(kind, entry.vm, document, revision=revision)
        except ObjectConflict as conflict:
            current = conflict.current or await self._objects.get(kind, entry.vm)
            if current is None:
                written = await self._objects.create(kind, entry.vm, document)
            else:
                written = await self._objects.replace(
                    kind, entry.vm, document, revision=current.revision
                )
        return written.revision

    async def deregister(self, vm: str, *, revision: int) -> None:
        """Remove the entry of a proxy unless it has another revision by now."""
        try:
            await self._objects.delete(KINDS[RecordKind.PROXIES], vm, revision=revision)
        except ObjectConflict:
            log.info("proxy_changed_meanwhile", vm=vm, revision=revision)


class PlatformStore:
    """Implement Store for lentilring's own kinds; an object's version is its revision."""

    def __init__(self, *, objects: ObjectClient) -> None:
        self._objects = objects

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object."""
        found = await self._objects.get(OWN_KIND_PREFIX + kind, name)
        return None if found is None else _to_stored(kind, found)

    async def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise VersionConflict with the current one."""
        own = OWN_KIND_PREFIX + kind
        try:
            if value is None:
                await self._objects.delete(own, name, revision=expected_version)
                return StoredObject(kind=kind, name=name, version=0, revision=0, value=None)
            if expected_version == 0:
                written = await self._objects.create(own, name, value)
            else:
                written = await self._objects.replace(own, name, value, revision=expected_version)
        except ObjectConflict as conflict:
            current = conflict.current or await self._objects.get(own, name)
            raise VersionConflict(
                kind=kind,
                name=name,
                expected_version=expected_version,
                current=None if current is None else _to_stored(kind, current),
            ) from conflict
        return _to_stored(kind, written)

    async def list(self, kinds: Sequence[str]) -> Snapshot:
        """Return all objects of some kinds."""
        objects: list[StoredObject] = []
        revision = 0
        for kind in kinds:
            found = await self._objects.list(OWN_KIND_PREFIX + kind)
            objects += [_to_stored(kind, entry) for entry in found.objects]
            revision = found.revision if not revision else min(revision, found.revision)
        return Snapshot(revision=revision, objects=tuple(objects))

    async def watch(self, kinds: Sequence[str], *, after_revision: int, wait_s: float) -> Snapshot:
        """Refuse: records are followed through PlatformRecords."""
        raise NotImplementedError

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Refuse: the platform has no list of VMs; proxies register themselves."""
        raise NotImplementedError


def _translate(kind: RecordKind, found: ObjectList) -> Records:
    records = [
        Record(
            name=entry.name,
            revision=entry.revision,
            value=None if entry.is_deleted else _decode(kind, entry),
            is_deleted=entry.is_deleted,
        )
        for entry in found.objects
        if kind is not RecordKind.MANIFEST or entry.name == MANIFEST_NAME
    ]
    return Records(records=tuple(records), revision=found.revision)


def _decode(kind: RecordKind, entry: PlatformObject) -> RecordValue | None:
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


def _to_stored(kind: str, entry: PlatformObject) -> StoredObject:
    value = entry.spec if isinstance(entry.spec, dict) and not entry.is_deleted else None
    return StoredObject(
        kind=kind, name=entry.name, version=entry.revision, revision=entry.revision, value=value
    )
