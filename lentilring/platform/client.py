"""HTTP client of the platform's object store."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from ..kernel import Service
from ..outcomes import JsonValue
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .store import Snapshot, StoredObject, StoreUnavailable, VersionConflict, VmEntry
from .wire import (
    ChangeBody,
    ConflictBody,
    MissingBody,
    ObjectBody,
    SnapshotBody,
    decode_json,
    encode_json,
)

B = TypeVar("B")

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

log = Log(source="store")


@dataclass(frozen=True, kw_only=True)
class _Reply:
    status: int
    body: bytes


class HttpStore(Service):
    """Implement Store; `address` is `ip:port`.

    A call times out after `call_timeout_s`, a watch after its wait and `call_timeout_s`.
    """

    def __init__(self, *, address: str, call_timeout_s: float, telemetry: Telemetry) -> None:
        self._base = f"http://{address}"
        self._call_timeout_s = call_timeout_s
        self._telemetry = telemetry
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; each call gets its own connection, as idle ones may stop answering."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(prevent_retry,),
        )

    async def stop(self) -> None:
        """Close the session; waiting calls fail with StoreUnavailable."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version of an object, or None if it never existed."""
        reply = await self._read("get", _object_path(kind, name))
        if reply.status == HTTP_NOT_FOUND:
            missing = self._decode("get", reply, MissingBody)
            if (missing.kind, missing.name) == (kind, name):
                return None
        return self._decode_ok("get", reply, ObjectBody).to_object()

    async def put(
        self, kind: str, name: str, value: dict[str, JsonValue] | None, *, expected_version: int
    ) -> StoredObject:
        """Replace an object; raise VersionConflict with the current one."""
        reply = await self._send(
            "put",
            "PUT",
            _object_path(kind, name),
            headers={"If-Match": str(expected_version), "Content-Type": "application/json"},
            data=encode_json(ChangeBody(value=value)),
        )
        if reply.status == HTTP_CONFLICT:
            current = self._decode("put", reply, ConflictBody).current
            self._telemetry.count("store_conflicts", kind=kind)
            raise VersionConflict(
                kind=kind,
                name=name,
                expected_version=expected_version,
                current=None if current is None else current.to_object(),
            )
        return self._decode_ok("put", reply, ObjectBody).to_object()

    async def list(self, kinds: Sequence[str]) -> Snapshot:
        """Return all objects of some kinds."""
        reply = await self._read("list", _list_path(kinds))
        return self._decode_ok("list", reply, SnapshotBody).to_snapshot()

    async def watch(self, kinds: Sequence[str], *, after_revision: int, wait_s: float) -> Snapshot:
        """Return the objects changed after a revision; wait for the first by a long poll."""
        path = _list_path(kinds) + f"&after={after_revision}&wait={wait_s}"
        reply = await self._read("watch", path, wait_s=wait_s)
        return self._decode_ok("watch", reply, SnapshotBody).to_snapshot()

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the platform's list of VMs, which lags behind changes."""
        reply = await self._read("list_vms", "/vms")
        return self._decode_ok("list_vms", reply, tuple[VmEntry, ...])

    async def _read(self, operation: str, path: str, *, wait_s: float = 0.0) -> _Reply:
        return await self._send(operation, "GET", path, wait_s=wait_s)

    async def _send(
        self,
        operation: str,
        method: str,
        path: str,
        *,
        wait_s: float = 0.0,
        headers: Mapping[str, str] | None = None,
        data: bytes | None = None,
    ) -> _Reply:
        if self._session is None:
            raise self._report_failure(operation, "not started")
        timeout = aiohttp.ClientTimeout(total=self._call_timeout_s + wait_s)
        try:
            async with self._session.request(
                method,
                URL(self._base + path, encoded=True),
                headers=headers,
                data=data,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return _Reply(status=response.status, body=await response.read())
        except (aiohttp.ClientError, OSError, ValueError, RuntimeError) as error:
            raise self._report_failure(operation, f"{type(error).__name__}: {error}") from error

    def _decode_ok(self, operation: str, reply: _Reply, body_type: type[B]) -> B:
        if reply.status != HTTP_OK:
            raise self._report_failure(operation, f"status {reply.status}")
        return self._decode(operation, reply, body_type)

    def _decode(self, operation: str, reply: _Reply, body_type: type[B]) -> B:
        try:
            return decode_json(reply.body, body_type)
        except msgspec.DecodeError as error:
            detail = f"status {reply.status}: {error}"
            raise self._report_failure(operation, detail) from error

    def _report_failure(self, operation: str, detail: str) -> StoreUnavailable:
        self._telemetry.count("store_calls_failed", operation=operation)
        log.warning("store_call_failed", operation=operation, detail=detail)
        return StoreUnavailable(operation=operation, detail=detail)


async def prevent_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the error of a lost answer by one after which aiohttp does not retry the request.

    A retry of a change that took effect would be refused as a conflict with that same change.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(f"{type(error).__name__}: {error}") from error


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _list_path(kinds: Sequence[str]) -> str:
    return "/objects?" + "&".join(f"kind={quote(kind, safe='')}" for kind in kinds)
