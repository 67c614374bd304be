"""Client of the prepared platform's metadata store: objects, changes and long-poll watches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from http import HTTPStatus
from math import ceil
from typing import Any
from urllib.parse import quote

import msgspec

from ..http.exchange import ExchangeFailed, HttpAnswer, exchange
from ..revisions import combine_revision, find_era, find_number
from ..telemetry.log import Log
from ..telemetry.metrics import Telemetry
from .repair import repair_json
from .store import StoreUnavailable

# 25 times the usual response time, so that a store slowed down 100 times still answers in time.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# The platform's word for reads that need not be linearizable.
OLD_DATA_PARAMETER = "serializable=1"
JSON_HEADERS = {"Content-Type": "application/json"}
# Rises by one each time the store returns from an older copy of its data.
ERA_HEADER = "store-era"

NOTHING = msgspec.Raw(b"null")
EMPTY = b"{}"
# Levels of nesting by which later steps may exceed the decoder's limit where an answer does not.
DEPTH_MARGIN = 30
OPENING, CLOSING = b"[" * DEPTH_MARGIN, b"]" * DEPTH_MARGIN

log = Log(source="store")


@dataclass(frozen=True, kw_only=True)
class PlatformObject:
    """Hold one object of the store; `revision` is that of its last change, with the era.

    `spec` is None if its JSON text, `content`, cannot be read.
    """

    name: str
    revision: int
    spec: Any
    content: bytes = b"null"
    is_deleted: bool = False
    finalizers: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ObjectList:
    """Hold objects and the revision of the store up to which they are complete."""

    objects: tuple[PlatformObject, ...]
    revision: int


class HistoryLost(Exception):
    """Report that the store no longer has the changes after a revision."""


class ObjectConflict(Exception):
    """Report that an object has another revision or exists; `current` is None if unknown."""

    def __init__(self, current: PlatformObject | None) -> None:
        super().__init__("the object has another revision or exists already")
        self.current = current


@dataclass(frozen=True, kw_only=True)
class StoreAnswer:
    """Hold an answer's status, body and the store's era."""

    status: int
    body: bytes
    era: int

    def read_revision(self) -> int:
        """Return the revision of the store up to which a list or watch is complete."""
        number = decode_json(self._fields.get("as-of", NOTHING))
        return combine_revision(self.era, number if isinstance(number, int) else 0)

    def has_more(self) -> bool:
        """Tell whether a list continues after its last object."""
        return decode_json(self._fields.get("more", NOTHING)) is True

    def list_entries(self, name: str) -> list[msgspec.Raw]:
        """Return the JSON texts of a field's entries, of which one may be unreadable."""
        try:
            return msgspec.json.decode(self._fields.get(name, NOTHING), type=list[msgspec.Raw])
        except msgspec.DecodeError:
            return []

    def decode_object(self) -> PlatformObject | None:
        """Return the object in the body, or None if it is not an object."""
        return decode_object(self.body, era=self.era)

    @cached_property
    def _fields(self) -> dict[str, msgspec.Raw]:
        try:
            return msgspec.json.decode(self.body, type=dict[str, msgspec.Raw])
        except msgspec.DecodeError as error:
            raise StoreUnavailable(operation="decode", detail=str(error)) from error


@dataclass(frozen=True, kw_only=True)
class _Meta:
    name: str
    revision: int = 0
    finalizers: list[str] = field(default_factory=list)
    deleting: bool = False


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = NOTHING


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: Any = False


class ObjectClient:
    """Call the store; every method may raise StoreUnavailable."""

    def __init__(self, *, address: str, telemetry: Telemetry) -> None:
        self._address, self._telemetry = address, telemetry
        self.is_reachable: bool | None = None
        self._era: int | None = None
        self._era_ended = asyncio.Event()
        self.on_restored: Callable[[int], None] = _ignore_restoration

    @property
    def era(self) -> int:
        """Return the newest era that the store named, 0 before its first answer."""
        return self._era or 0

    async def list(self, kind: str, *, may_be_old: bool = False) -> ObjectList:
        """Return all objects of a kind; `may_be_old` allows data seconds old, at less cost."""
        objects: list[PlatformObject] = []
        after = ""
        while True:
            parameters = [f"after={quote(after, safe='')}"] if after else []
            parameters += [OLD_DATA_PARAMETER] if may_be_old else []
            path = "?".join([kind, "&".join(parameters)] if parameters else [kind])
            answer = await self._call("GET", path)
            if answer.status != HTTPStatus.OK:
                raise StoreUnavailable(operation=f"list {kind}", detail=f"status {answer.status}")
            page = [decode_object(entry, era=answer.era) for entry in answer.list_entries("items")]
            if objects:
                _check_same_era(f"list {kind}", objects[0].revision, answer.read_revision())
            objects += [entry for entry in page if entry is not None]
            if not answer.has_more() or not objects:
                return ObjectList(objects=tuple(objects), revision=answer.read_revision())
            after = objects[-1].name

    async def watch(self, kind: str, *, after_revision: int, wait_s: float) -> ObjectList:
        """Return the objects changed after a revision; raise HistoryLost if they are not kept."""
        era = find_era(after_revision)
        if self._era is not None and era != self._era:
            raise HistoryLost
        path = f"{kind}?watch={find_number(after_revision)}&wait-ms={ceil(wait_s * 1000)}"
        answer = await self._watch_in_era(path, timeout_s=wait_s + CALL_TIMEOUT_S)
        # In another era the number stands for another state, even if the store has it.
        is_other_era = answer.status == HTTPStatus.OK and answer.era != era
        if answer.status == HTTPStatus.GONE or is_other_era:
            raise HistoryLost
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(operation=f"watch {kind}", detail=f"status {answer.status}")
        changed = [decode_event(entry, era=answer.era) for entry in answer.list_entries("events")]
        return ObjectList(
            objects=tuple(entry for entry in changed if entry is not None),
            revision=max(after_revision, answer.read_revision()),
        )

    async def _watch_in_era(self, path: str, *, timeout_s: float) -> StoreAnswer:
        """Return the answer to a watch; raise HistoryLost once the store has a later era."""
        call = asyncio.ensure_future(self._call("GET", path, timeout_s=timeout_s))
        era_end = asyncio.ensure_future(self._era_ended.wait())
        try:
            await asyncio.wait({call, era_end}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                raise HistoryLost
            return call.result()
        finally:
            call.cancel()
            era_end.cancel()

    async def get(self, kind: str, name: str, *, may_be_old: bool = False) -> PlatformObject | None:
        """Return one object, or None if it does not exist; `may_be_old` as in `list`."""
        suffix = f"?{OLD_DATA_PARAMETER}" if may_be_old else ""
        answer = await self._call("GET", f"{kind}/{quote(name, safe='')}{suffix}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(operation=f"get {kind}", detail=f"status {answer.status}")
        return answer.decode_object()

    async def create(self, kind: str, name: str, spec: Any) -> PlatformObject:
        """Create an object; raise ObjectConflict if it exists."""
        return await self._change("POST", kind, {"meta": {"name": name}, "spec": spec})

    async def replace(self, kind: str, name: str, spec: Any, *, revision: int) -> PlatformObject:
        """Replace an object that has this revision; raise ObjectConflict otherwise."""
        self._check_era(revision)
        body = {"meta": {"name": name, "revision": find_number(revision)}, "spec": spec}
        written = await self._change("PUT", f"{kind}/{quote(name, safe='')}", body)
        _check_same_era(f"replace {kind}", revision, written.revision)
        return written

    async def delete(self, kind: str, name: str, *, revision: int) -> None:
        """Delete an object that has this revision; raise ObjectConflict otherwise."""
        self._check_era(revision)
        path = f"{kind}/{quote(name, safe='')}?revision={find_number(revision)}"
        answer = await self._call("DELETE", path)
        if answer.status == HTTPStatus.CONFLICT:
            raise ObjectConflict(answer.decode_object())
        if answer.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.NO_CONTENT):
            raise StoreUnavailable(operation=f"delete {kind}", detail=f"status {answer.status}")

    def _check_era(self, revision: int) -> None:
        """Raise ObjectConflict for a revision of an earlier era, whose number may be used again."""
        if self._era is not None and find_era(revision) < self._era:
            raise ObjectConflict(None)

    async def _change(self, method: str, path: str, body: Any) -> PlatformObject:
        answer = await self._call(method, path, body)
        if answer.status == HTTPStatus.CONFLICT:
            raise ObjectConflict(answer.decode_object())
        if answer.status == HTTPStatus.NOT_FOUND:
            raise ObjectConflict(None)
        is_done = answer.status in (HTTPStatus.OK, HTTPStatus.CREATED)
        written = answer.decode_object() if is_done else None
        if written is None:
            raise StoreUnavailable(operation=f"{method} {path}", detail=f"status {answer.status}")
        return written

    async def _call(
        self, method: str, path: str, body: Any = None, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> StoreAnswer:
        self._telemetry.count("store_calls", method=method)
        data = None if body is None else msgspec.json.encode(body)
        try:
            answer = await exchange(
                self._address,
                method,
                f"/objects/{path}",
                content=data,
                headers=None if data is None else JSON_HEADERS,
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        except ExchangeFailed as error:
            self._set_reachable(False, method, path, error.detail)
            raise StoreUnavailable(operation=f"{method} {path}", detail=error.detail) from error
        status = answer.status
        unavailable = status >= 500 or status == HTTPStatus.TOO_MANY_REQUESTS
        self._set_reachable(not unavailable, method, path, f"status {status}")
        self._note_era(_read_era(answer))
        return StoreAnswer(
            status=status, body=_repair(answer.content or EMPTY), era=self._find_era(answer)
        )

    def _find_era(self, answer: HttpAnswer) -> int:
        era = _read_era(answer)
        return self.era if era is None else era

    def _note_era(self, era: int | None) -> None:
        """End all watches and log once when the store has returned from an older copy."""
        if era is None or (self._era is not None and era <= self._era):
            return
        if self._era is not None:
            self._era_ended.set()
            self._era_ended = asyncio.Event()
            self._telemetry.count("store_restorations")
            log.warning("store_restored", era=era, previous_era=self._era)
            self.on_restored(era)
        else:
            log.info("store_era", era=era)
        self._era = era

    def _set_reachable(self, reachable: bool, method: str, path: str, detail: str) -> None:
        """Log the first answer, and once when the store stops answering and answers again."""
        if reachable == self.is_reachable:
            return
        is_first_contact, self.is_reachable = self.is_reachable is None, reachable
        if reachable and is_first_contact:
            log.info("store_reached", method=method, path=path)
            return
        event = "store_regained" if reachable else "store_lost"
        log.warning(event, method=method, path=path, detail=detail)


def _ignore_restoration(era: int) -> None:
    """Do nothing; used until a process registers a callback."""


def _check_same_era(operation: str, first: int, second: int) -> None:
    """Raise StoreUnavailable if the store returned from an older copy between two revisions."""
    if find_era(first) != find_era(second):
        raise StoreUnavailable(
            operation=operation, detail="the store returned from an older copy meanwhile"
        )


def _read_era(answer: HttpAnswer) -> int | None:
    value = answer.headers.get(ERA_HEADER, "")
    return int(value) if value.isdecimal() else None


def decode_object(
    body: bytes | msgspec.Raw, *, era: int, is_deleted: bool = False
) -> PlatformObject | None:
    """Return the object in a JSON text, or None if the text is not an object."""
    try:
        entry = msgspec.json.decode(body, type=_Object, strict=False)
    except msgspec.DecodeError as error:
        log.warning("object_ignored", detail=error)
        return None
    return PlatformObject(
        name=entry.meta.name,
        revision=combine_revision(era, entry.meta.revision),
        spec=decode_json(entry.spec),
        content=bytes(entry.spec),
        is_deleted=is_deleted or entry.meta.deleting,
        finalizers=tuple(entry.meta.finalizers),
    )


def decode_event(body: msgspec.Raw, *, era: int) -> PlatformObject | None:
    """Return the changed or deleted object in an event of a watch, or None without one."""
    try:
        event = msgspec.json.decode(body, type=_Event)
    except msgspec.DecodeError as error:
        log.warning("object_ignored", detail=error)
        return None
    return decode_object(event.object, era=era, is_deleted=bool(event.deleted))


def decode_json(text: bytes | msgspec.Raw) -> Any:
    """Return the value of a JSON text, None if it cannot be read."""
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def _repair(content: bytes) -> bytes:
    """Return an answer's JSON text, changed where one value keeps all others from being read."""
    try:
        msgspec.json.decode(b"%b%b%b" % (OPENING, content, CLOSING), type=msgspec.Raw)
    except (RecursionError, msgspec.DecodeError) as error:
        log.warning("answer_repaired", detail=error)
        return repair_json(content)
    return content
