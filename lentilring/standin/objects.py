"""The platform stand-in's objects and VM list, without a network."""

import asyncio
from collections import Counter
from collections.abc import Sequence

from ..outcomes import JsonValue
from ..platform.store import Snapshot, StoredObject, StoreUnavailable, VersionConflict, VmEntry


class ObjectTable:
    """Keep versioned objects and a list of VMs; one table serves any number of clients."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.vms: dict[str, VmEntry] = {}
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object."""
        return self.objects.get((kind, name))

    def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, expected_version: int
    ) -> StoredObject:
        """Replace an object or raise VersionConflict."""
        current = self.objects.get((kind, name))
        version = current.version if current is not None else 0
        exists = current is not None and current.value is not None
        if expected_version != version and not (expected_version == 0 and not exists):
            raise VersionConflict(
                kind=kind, name=name, expected_version=expected_version, current=current
            )
        self.revision += 1
        changed = StoredObject(
            kind=kind, name=name, version=version + 1, revision=self.revision, value=value
        )
        self.objects[(kind, name)] = changed
        self._changed.set()
        self._changed = asyncio.Event()
        return changed

    def list(self, kinds: Sequence[str], after_revision: int = 0) -> Snapshot:
        """Return the objects of some kinds that changed after a revision."""
        matching = (entry for entry in self.objects.values() if entry.kind in kinds)
        changed = sorted(
            (entry for entry in matching if entry.revision > after_revision),
            key=lambda entry: entry.revision,
        )
        return Snapshot(revision=self.revision, objects=tuple(changed))

    async def watch(self, kinds: Sequence[str], after_revision: int, wait_s: float) -> Snapshot:
        """Wait until an object of some kinds changes after a revision, or for `wait_s` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            snapshot = self.list(kinds, after_revision)
            remaining = end - loop.time()
            if snapshot.objects or remaining <= 0:
                return snapshot
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                # A remaining time lost in rounding would repeat without the loop's clock advancing.
                return self.list(kinds, after_revision)


class LocalStore:
    """Access an object table in this process, with simulated network faults."""

    def __init__(self, *, table: ObjectTable, delay_s: float = 0.002) -> None:
        self.table = table
        self.delay_s = delay_s
        self.down = False
        self.lose_next_answers = 0

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object."""
        await self._delay_or_fail("get")
        return self.table.get(kind, name)

    async def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise StoreUnavailable after the change to lose an answer."""
        await self._delay_or_fail("put")
        changed = self.table.put(kind, name, value, expected_version)
        if self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            raise StoreUnavailable(operation="put", detail="answer lost")
        return changed

    async def list(self, kinds: Sequence[str]) -> Snapshot:
        """Return all objects of some kinds."""
        await self._delay_or_fail("list")
        return self.table.list(kinds)

    async def watch(self, kinds: Sequence[str], *, after_revision: int, wait_s: float) -> Snapshot:
        """Return objects changed after a revision."""
        await self._delay_or_fail("watch")
        snapshot = await self.table.watch(kinds, after_revision, wait_s)
        if self.down:
            raise StoreUnavailable(operation="watch")
        return snapshot

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the list of VMs."""
        await self._delay_or_fail("list_vms")
        return tuple(self.table.vms.values())

    async def _delay_or_fail(self, operation: str) -> None:
        self.table.calls[operation] += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise StoreUnavailable(operation=operation)
