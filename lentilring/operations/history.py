"""Earlier versions of configuration objects, kept for rollback."""

from dataclasses import dataclass

from ..errors import LentilringError
from ..outcomes import JsonValue
from ..platform.store import Store, StoredObject, VersionConflict
from .documents import strip_value

HISTORY_KIND = "history"
MAX_VERSIONS = 20
# Below the limit of the store, which accepts values of up to 1 MB.
MAX_HISTORY_BYTES = 800_000
MAX_RECORD_ATTEMPTS = 5


@dataclass(kw_only=True, eq=False)
class VersionUnknown(LentilringError):
    """Report that the history does not contain a version."""

    kind: str
    name: str
    version: int
    known: tuple[int, ...]


async def record_version(store: Store, stored: StoredObject) -> None:
    """Add a version to the history before it is replaced; retry if another writer was faster."""
    name = _build_history_name(stored.kind, stored.name)
    entry: dict[str, JsonValue] = {"version": stored.version, "value": strip_value(stored)}
    for _ in range(MAX_RECORD_ATTEMPTS):
        current = await store.get(HISTORY_KIND, name)
        versions = _list_versions(current)
        if any(recorded.get("version") == stored.version for recorded in versions):
            return
        kept = _drop_oldest_versions([*versions, entry])
        try:
            await store.put(
                HISTORY_KIND,
                name,
                {"versions": list(kept)},
                expected_version=current.version if current is not None else 0,
            )
            return
        except VersionConflict:
            continue


async def read_version(
    store: Store, kind: str, name: str, version: int
) -> dict[str, JsonValue] | None:
    """Return the value of an earlier version; raise VersionUnknown if it is not recorded."""
    versions = _list_versions(await store.get(HISTORY_KIND, _build_history_name(kind, name)))
    for entry in versions:
        if entry.get("version") == version:
            value = entry.get("value")
            return value if isinstance(value, dict) else None
    known = tuple(int(str(entry["version"])) for entry in versions)
    raise VersionUnknown(kind=kind, name=name, version=version, known=known)


def _build_history_name(kind: str, name: str) -> str:
    return f"{kind}.{name}"


def _list_versions(stored: StoredObject | None) -> list[dict[str, JsonValue]]:
    if stored is None or stored.value is None:
        return []
    versions = stored.value.get("versions")
    if not isinstance(versions, list):
        return []
    return [entry for entry in versions if isinstance(entry, dict)]


def _drop_oldest_versions(versions: list[dict[str, JsonValue]]) -> list[dict[str, JsonValue]]:
    kept = versions[-MAX_VERSIONS:]
    while len(kept) > 1 and len(str(kept)) > MAX_HISTORY_BYTES:
        kept = kept[1:]
    return kept
