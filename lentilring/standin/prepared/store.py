"""A stand-in for the platform's metadata store and promotion call, with fault switches."""

import asyncio
import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler

MAX_PAGE = 500
DEFAULT_WAIT_MS = 1000
IGNORED_CALL_S = 10.0
ERA_HEADER = "Store-Era"


@dataclass(kw_only=True)
class StoreFaults:
    """Hold the fault switches; `lose_answers` counts changes that take effect unanswered.

    `ignored_promotions` counts promotions that are neither executed nor answered in time.
    Lists that need not be newest name `old_revision` as theirs. Watches of `silent_kinds` get no
    answer, also those that wait already.
    """

    down: bool = False
    lose_answers: int = 0
    ignored_promotions: int = 0
    refused_hosts: set[str] = field(default_factory=set)
    old_revision: int | None = None
    silent_kinds: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class _Entry:
    revision: int
    created: int
    spec: Any
    finalizers: list[str]

    def show(self, name: str) -> dict[str, Any]:
        meta = {
            "name": name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": self.finalizers,
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": None}


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """Hold a copy of the store's objects and events."""

    revision: int
    objects: dict[str, dict[str, _Entry]]
    events: list[tuple[int, str, dict[str, Any], bool]]


class PreparedStore:
    """Serve objects by kind and name, conditional changes and watches."""

    def __init__(self, *, promote: Callable[[str, str], bool] | None = None) -> None:
        self.faults = StoreFaults()
        self.calls: list[tuple[str, str]] = []
        self.promotions: list[tuple[str, str, str, int]] = []
        self.usage_reports: list[tuple[str, int, int, dict[str, int]]] = []
        self.address = ""
        self._promote = promote
        self._era = 1
        self._revision = 1
        self._objects: dict[str, dict[str, _Entry]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._first_event = 0
        self._changed = asyncio.Event()
        self._fences: dict[str, int] = {}
        self._usage_fence = 0
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a free port."""
        application = web.Application(middlewares=[self._add_era])
        application.router.add_route("*", "/objects/{path:.*}", self._answer)
        application.router.add_post("/promote", self._answer_promotion)
        application.router.add_post("/usage", self._answer_usage)
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        actual = self._runner.addresses[0][1]
        self.address = f"{host}:{actual}"

    def set_promotion_handler(self, promote: Callable[[str, str], bool]) -> None:
        """Set the function that promotes a server and returns whether it can be promoted."""
        self._promote = promote

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Change an object as the operator or a server does; return its revision."""
        previous = self._objects.setdefault(kind, {}).get(name)
        self._revision += 1
        entry = _Entry(
            revision=self._revision,
            created=previous.created if previous else self._revision,
            spec=spec,
            finalizers=[],
        )
        self._objects[kind][name] = entry
        self._record_event(kind, entry.show(name), deleted=False)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self._objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self._revision += 1
            self._record_event(kind, entry.show(name), deleted=True)

    def read(self, kind: str, name: str) -> Any:
        """Return an object's content, None if it does not exist."""
        entry = self._objects.get(kind, {}).get(name)
        return None if entry is None else entry.spec

    def forget_history(self) -> None:
        """Discard past events; watches from earlier revisions get status 410."""
        self._events.clear()
        self._first_event = self._revision

    def make_copy(self) -> StoreCopy:
        """Return a copy that `restore` takes."""
        return StoreCopy(
            revision=self._revision,
            objects=copy.deepcopy(self._objects),
            events=list(self._events),
        )

    def restore(self, older: StoreCopy) -> None:
        """Return to an older copy: later changes are lost and their revisions are used again."""
        self._era += 1
        self._revision = older.revision
        self._objects = copy.deepcopy(older.objects)
        self._events = list(older.events)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _add_era(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        response.headers[ERA_HEADER] = str(self._era)
        return response

    def _record_event(self, kind: str, shown: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self._revision, kind, shown, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        path = request.match_info["path"]
        kind, _, name = path.partition("/")
        self.calls.append((request.method, path))
        if self.faults.down or (request.remote or "") in self.faults.refused_hosts:
            return web.Response(status=503)
        if request.method == "GET":
            return await self._read(request, kind, name)
        body = await request.json() if request.can_read_body else {}
        response = self._change(request, kind, name, body)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _read(self, request: web.Request, kind: str, name: str) -> web.Response:
        objects = self._objects.get(kind, {})
        if name:
            if name not in objects:
                return web.json_response({}, status=404)
            return web.json_response(objects[name].show(name))
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(entry for entry in objects if entry > after)
        shown = [objects[entry].show(entry) for entry in names[:MAX_PAGE]]
        more = len(names) > MAX_PAGE
        is_old = "serializable" in request.query and self.faults.old_revision is not None
        as_of = self.faults.old_revision if is_old else self._revision
        return web.json_response({"items": shown, "more": more, "as-of": as_of})

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("wait-ms", DEFAULT_WAIT_MS)) / 1000
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            if kind in self.faults.silent_kinds:
                await asyncio.sleep(IGNORED_CALL_S)
                return web.Response(status=503)
            if since < self._first_event or since > self._revision:
                return web.json_response({}, status=410)
            if self.faults.down:
                return web.Response(status=503)
            events = [
                {"object": shown, "deleted": deleted}
                for revision, changed, shown, deleted in self._events
                if revision > since and changed == kind
            ]
            remaining_s = end - loop.time()
            if events or remaining_s <= 0:
                return web.json_response({"events": events, "as-of": self._revision})
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait({waiting}, timeout=min(remaining_s, 0.2))
            waiting.cancel()

    def _change(self, request: web.Request, kind: str, name: str, body: Any) -> web.Response:
        objects = self._objects.setdefault(kind, {})
        meta = body.get("meta", {})
        if request.method == "POST":
            name = meta["name"]
            if name in objects:
                return web.json_response(objects[name].show(name), status=409)
            self.put(kind, name, body.get("spec"))
            return web.json_response(objects[name].show(name), status=201)
        if name not in objects:
            return web.json_response({}, status=404)
        expected = meta.get("revision", request.query.get("revision"))
        if expected is not None and int(expected) != objects[name].revision:
            return web.json_response(objects[name].show(name), status=409)
        if request.method == "DELETE":
            self.remove(kind, name)
            return web.json_response({})
        if objects[name].spec != body.get("spec"):
            self.put(kind, name, body.get("spec"))
        return web.json_response(objects[name].show(name))

    async def _answer_promotion(self, request: web.Request) -> web.Response:
        body = await request.json()
        token = int(request.headers["X-Fencing-Token"])
        service, server = body["service"], body["id"]
        self.promotions.append((service, server, request.headers["X-Lease-Holder"], token))
        if self.faults.ignored_promotions > 0:
            self.faults.ignored_promotions -= 1
            await asyncio.sleep(IGNORED_CALL_S)
            return web.json_response({}, status=503)
        if token < self._fences.get(service, 0):
            return web.json_response({}, status=409)
        self._fences[service] = token
        accepted = self._promote is not None and self._promote(service, server)
        return web.json_response({}, status=200 if accepted else 409)

    async def _answer_usage(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder, token = request.headers["X-Lease-Holder"], int(request.headers["X-Fencing-Token"])
        if token < self._usage_fence:
            return web.json_response({}, status=409)
        self._usage_fence = token
        self.usage_reports.append((holder, token, body["window-index"], body["counts"]))
        return web.json_response({})
