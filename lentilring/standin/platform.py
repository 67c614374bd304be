"""The platform stand-in's HTTP server: objects, the VM list, faults and call counts."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from ..kernel import Service
from ..platform.store import StoredObject, VersionConflict, VmEntry
from ..platform.wire import (
    MAX_VALUE_BYTES,
    ChangeBody,
    MissingBody,
    decode_json,
    encode_json,
)
from ..telemetry.log import Log
from .objects import ObjectTable

MAX_BODY_BYTES = MAX_VALUE_BYTES + 1024
MAX_WAIT_S = 300.0
STOP_TIMEOUT_S = 2.0

log = Log(source="standin")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Hold the fault switches; POST /faults sets those that its body names.

    During an outage calls get status 503, and waiting watches end. `silent` calls get no answer and
    lose their connection once the fault ends. `lose_answers` counts down: that many changes of
    objects take effect, and their connection is closed without an answer.
    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    vm_lag_s: float = 0.0


class PlatformFaultChange(
    msgspec.Struct, kw_only=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Hold the faults that a request sets; None leaves a switch unchanged."""

    outage: bool | None = None
    silent: bool | None = None
    delay_s: float | None = None
    lose_answers: int | None = None
    vm_lag_s: float | None = None


class VmList:
    """Apply changes of VM entries to the table after a lag, in the order they were made."""

    def __init__(self, *, table: ObjectTable, now: Callable[[], float]) -> None:
        self._table = table
        self._now = now
        self._pending: deque[tuple[float, str, VmEntry | None]] = deque()

    def change(self, name: str, entry: VmEntry | None, *, lag_s: float) -> None:
        """Register an entry, or remove it with None, visible after `lag_s` seconds."""
        self._pending.append((self._now() + lag_s, name, entry))

    def list_visible(self) -> tuple[VmEntry, ...]:
        """Return the entries that are visible now."""
        while self._pending and self._pending[0][0] <= self._now():
            _, name, entry = self._pending.popleft()
            if entry is None:
                self._table.vms.pop(name, None)
            else:
                self._table.vms[name] = entry
        return tuple(self._table.vms.values())


class PlatformServer(Service):
    """Serve an object table at `ip:port`; port 0 takes a free one."""

    def __init__(self, *, address: str, table: ObjectTable, vm_lag_s: float = 0.0) -> None:
        self.address = address
        self.table = table
        self.faults = PlatformFaults(vm_lag_s=vm_lag_s)
        self._vms = VmList(table=table, now=lambda: asyncio.get_running_loop().time())
        self._faults_changed = asyncio.Event()
        self._stopping = False
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        runner = web.AppRunner(
            self._build(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await runner.setup()
        host, _, port = self.address.rpartition(":")
        site = web.TCPSite(runner, host, int(port))
        try:
            await site.start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        self.address = f"{host}:{runner.addresses[0][1]}"
        log.info("platform_standin_started", address=self.address)

    async def drain(self, *, deadline_s: float) -> None:
        """Make waiting watches return."""
        self._stopping = True
        self._notify_fault_change()

    async def stop(self) -> None:
        """Finish running requests and stop listening."""
        await self.drain(deadline_s=STOP_TIMEOUT_S)
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
            log.info("platform_standin_stopped", address=self.address)

    def register(self, entry: VmEntry) -> None:
        """Add a VM entry without lag, before the first client connects."""
        self.table.vms[entry.name] = entry

    def _build(self) -> web.Application:
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.get("/objects/{kind}/{name}", self._with_faults("get", self._get)),
                web.put("/objects/{kind}/{name}", self._with_faults("put", self._put)),
                web.get("/objects", self._with_faults(None, self._list)),
                web.get("/vms", self._with_faults("list_vms", self._list_vms)),
                web.post("/vms", self._register_vm),
                web.put("/vms/{name}", self._register_vm),
                web.delete("/vms/{name}", self._remove_vm),
                web.get("/faults", self._show_faults),
                web.post("/faults", self._set_faults),
                web.get("/calls", self._show_calls),
            ]
        )
        return application

    def _with_faults(self, operation: str | None, handler: Handler) -> Handler:
        """Count a call and apply the faults to it."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self.table.calls[operation or _name_list(request)] += 1
            if self.faults.delay_s > 0:
                await asyncio.sleep(self.faults.delay_s)
            if self.faults.silent:
                while self.faults.silent and not self._stopping:
                    await self._faults_changed.wait()
                return _drop(request)
            if self.faults.outage:
                return _reply(None, status=503)
            return await handler(request)

        return handle

    async def _get(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info["name"]
        stored = self.table.get(kind, name)
        if stored is None:
            return _reply(MissingBody(kind=kind, name=name), status=404)
        return _reply(stored)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info["name"]
        try:
            expected_version = int(request.headers["If-Match"])
        except (KeyError, ValueError):
            raise web.HTTPPreconditionRequired(text="If-Match takes a version") from None
        change = await _read_body(request, ChangeBody)
        if len(encode_json(change.value)) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(encode_json(change.value)))
        try:
            changed = self.table.put(kind, name, change.value, expected_version)
        except VersionConflict as conflict:
            return _reply(_Conflict(current=conflict.current), status=409)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _drop(request)
        return _reply(changed)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        kinds = request.query.getall("kind", [])
        try:
            after_revision = int(request.query.get("after", "0"))
            wait_s = min(MAX_WAIT_S, float(request.query.get("wait", "0")))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if not wait_s > 0:
            return _reply(self.table.list(kinds, after_revision))
        watching = asyncio.ensure_future(self.table.watch(kinds, after_revision, wait_s))
        try:
            while not watching.done() and not self._is_interrupted():
                await self._wait_for(watching)
        finally:
            watching.cancel()
        if self.faults.silent:
            return _drop(request)
        if self.faults.outage:
            return _reply(None, status=503)
        return _reply(self.table.list(kinds, after_revision))

    def _is_interrupted(self) -> bool:
        return self._stopping or self.faults.outage or self.faults.silent

    async def _wait_for(self, watching: asyncio.Future[Any]) -> None:
        changed = asyncio.ensure_future(self._faults_changed.wait())
        try:
            await asyncio.wait({watching, changed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    async def _list_vms(self, request: web.Request) -> web.StreamResponse:
        return _reply(self._vms.list_visible())

    async def _register_vm(self, request: web.Request) -> web.StreamResponse:
        entry = await _read_body(request, VmEntry)
        if request.match_info.get("name", entry.name) != entry.name:
            raise web.HTTPBadRequest(text="the entry has another name than the path")
        self._vms.change(entry.name, entry, lag_s=self.faults.vm_lag_s)
        return _reply(entry)

    async def _remove_vm(self, request: web.Request) -> web.StreamResponse:
        self._vms.change(request.match_info["name"], None, lag_s=self.faults.vm_lag_s)
        return _reply(None)

    async def _show_faults(self, request: web.Request) -> web.StreamResponse:
        return _reply(self.faults)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        change = await _read_body(request, PlatformFaultChange)
        for name in change.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self.faults, name, value)
        self._notify_fault_change()
        log.info("faults_changed", **msgspec.structs.asdict(self.faults))
        return _reply(self.faults)

    async def _show_calls(self, request: web.Request) -> web.StreamResponse:
        return _reply(dict(self.table.calls))

    def _notify_fault_change(self) -> None:
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()


class _Conflict(msgspec.Struct, frozen=True, kw_only=True):
    current: StoredObject | None


def _name_list(request: web.Request) -> str:
    return "watch" if "wait" in request.query else "list"


def _reply(body: object, *, status: int = 200) -> web.Response:
    return web.Response(
        body=encode_json(body), status=status, headers={"Content-Type": "application/json"}
    )


def _drop(request: web.Request) -> web.Response:
    """Close the connection, so that the answer is lost."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _read_body(request: web.Request, body_type: type[Any]) -> Any:
    try:
        return decode_json(await request.read(), body_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
