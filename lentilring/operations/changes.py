"""Configuration changes by operators: whole documents, keys and drains."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..configuration.editing import ChangeResult, Conflict, apply_change
from ..configuration.models import DrainState, hash_key
from ..errors import LentilringError
from ..platform.store import Kind, Store
from .documents import Document, strip_value
from .history import read_version, record_version

KEY_BYTES = 24
MAX_EDIT_ATTEMPTS = 10

Value = dict[str, Any]


@dataclass(kw_only=True, eq=False)
class ObjectMissing(LentilringError):
    """Report that an object, or a part of one, does not exist."""

    kind: str
    name: str


async def apply_document(store: Store, document: Document) -> ChangeResult:
    """Replace an object if the stored version is still the document's version."""
    current = await store.get(document.kind, document.name)
    if current is not None and current.value is not None:
        await record_version(store, current)
    return await apply_change(store, document.kind, document.name, document.value, document.version)


async def roll_back(store: Store, kind: str, name: str, version: int) -> ChangeResult:
    """Apply an earlier version's value as a new version."""
    value = await read_version(store, kind, name, version)
    current = await store.get(kind, name)
    if current is not None and current.value is not None:
        await record_version(store, current)
    expected = current.version if current is not None else 0
    return await apply_change(store, kind, name, value, expected)


async def give_key(store: Store, account: str, key: str | None = None) -> tuple[str, ChangeResult]:
    """Add a key to a client account; return the key, which is stored only as a hash."""
    new_key = key or secrets.token_urlsafe(KEY_BYTES)

    def add(value: Value) -> Value:
        hashes = [*value.get("key_hashes", ()), hash_key(new_key)]
        return {**value, "key_hashes": list(dict.fromkeys(hashes))}

    return new_key, await _edit(store, Kind.CLIENT_ACCOUNT, account, add)


async def withdraw_key(store: Store, account: str, key_hash_prefix: str) -> ChangeResult:
    """Remove the keys of a client account whose hash begins with a prefix."""

    def remove(value: Value) -> Value:
        hashes = value.get("key_hashes", ())
        kept = [entry for entry in hashes if not entry.startswith(key_hash_prefix)]
        if len(kept) == len(hashes):
            raise ObjectMissing(kind="key", name=key_hash_prefix)
        return {**value, "key_hashes": kept}

    return await _edit(store, Kind.CLIENT_ACCOUNT, account, remove)


async def set_failure_domain_state(
    store: Store, name: str, state: DrainState, *, region: str | None = None
) -> ChangeResult:
    """Drain a failure domain or return it to service."""
    default: Value | None = {"name": name, "region": region} if region else None
    return await _edit(
        store,
        Kind.FAILURE_DOMAIN,
        name,
        lambda value: {**value, "state": state.value},
        default=default,
    )


async def set_database_state(
    store: Store, service: str, database: str, state: DrainState, *, server: str | None = None
) -> ChangeResult:
    """Drain a database, or one of its backend servers, or return it to service."""

    def change(value: Value) -> Value:
        databases = [dict(entry) for entry in value["databases"]]
        selected = _find_named(databases, database, "database")
        if server is None:
            selected["state"] = state.value
        else:
            servers = [dict(entry) for entry in selected["backend_servers"]]
            _find_named(servers, server, "backend server")["state"] = state.value
            selected["backend_servers"] = servers
        return {**value, "databases": databases}

    return await _edit(store, Kind.SERVICE, service, change)


async def _edit(
    store: Store,
    kind: Kind,
    name: str,
    change: Callable[[Value], Value],
    *,
    default: Value | None = None,
) -> ChangeResult:
    """Read an object, change it and write it back; retry if another writer changed it meanwhile.

    Unlike a whole document, the change affects only one part of the object, so applying it to the
    newer version does not undo the other operator's change.
    """
    for _ in range(MAX_EDIT_ATTEMPTS):
        current = await store.get(kind, name)
        value = strip_value(current)
        if value is None:
            if default is None:
                raise ObjectMissing(kind=kind, name=name)
            value = default
        elif current is not None:
            await record_version(store, current)
        version = current.version if current is not None else 0
        result = await apply_change(store, kind, name, change(dict(value)), version)
        if not isinstance(result, Conflict):
            return result
    return result


def _find_named(entries: list[Value], name: str, kind: str) -> Value:
    for entry in entries:
        if entry.get("name") == name:
            return entry
    raise ObjectMissing(kind=kind, name=name)
