"""The administration interface of the backend server stand-in: HTTP and JSON.

GET /status shows the server's status, GET /journal?after=N the executed statements from the N-th
on, POST /faults and POST /settings change the fields that their body holds.
"""

from dataclasses import asdict
from itertools import islice
from typing import TypeVar

import msgspec
from aiohttp import web
from msgspec import UNSET, UnsetType

from ..kernel import Service
from ..telemetry.log import Log
from .database import DatabaseServer
from .sessions import Silence

T = TypeVar("T", bound=msgspec.Struct)

JOURNAL_PAGE = 10_000

log = Log(source="standin.database_admin")


class DatabaseFaultChange(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Change fault switches; `drop` closes all connections once."""

    delay_s: float | UnsetType = UNSET
    pause_replication: bool | UnsetType = UNSET
    refuse_connections: bool | UnsetType = UNSET
    lose_next_answers: int | UnsetType = UNSET
    silence: Silence | UnsetType = UNSET
    drop: bool = False


class SettingChange(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Change settings, times in seconds."""

    connection_limit: int | UnsetType = UNSET
    connect_delay_s: float | UnsetType = UNSET
    statement_time_s: float | UnsetType = UNSET
    replication_lag_s: float | UnsetType = UNSET


class DatabaseAdmin(Service):
    """Serve the administration interface; `address` is `ip:port`, port 0 takes a free one."""

    def __init__(self, *, server: DatabaseServer, address: str) -> None:
        self.database = server
        self.address = address
        application = web.Application()
        application.router.add_get("/status", self._show_status)
        application.router.add_get("/journal", self._show_journal)
        application.router.add_post("/faults", self._change_faults)
        application.router.add_post("/settings", self._change_settings)
        self._runner = web.AppRunner(application, access_log=None)

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"
        log.info("listening", server=self.database.name, address=self.address)

    async def stop(self) -> None:
        """Close the listener."""
        await self._runner.cleanup()

    async def _show_status(self, _: web.Request) -> web.Response:
        database = self.database
        return _build_response(
            {
                "status": asdict(database.report_status()),
                "faults": asdict(database.faults),
                "settings": asdict(database.settings),
                "received": len(database.journal.received),
                "executed": len(database.journal.executed),
            }
        )

    async def _show_journal(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        executed = self.database.journal.executed
        return _build_response(
            [asdict(e) for e in islice(executed, max(0, after), after + JOURNAL_PAGE)]
        )

    async def _change_faults(self, request: web.Request) -> web.Response:
        change = await _read(request, DatabaseFaultChange)
        values = _list_changes(change)
        if values.pop("drop"):
            self.database.drop_connections()
        silence = values.pop("silence", None)
        if isinstance(silence, Silence):
            self.database.silence(silence)
        for name, value in values.items():
            setattr(self.database.faults, name, value)
        log.info("faults_changed", server=self.database.name, **msgspec.to_builtins(change))
        return _build_response(asdict(self.database.faults))

    async def _change_settings(self, request: web.Request) -> web.Response:
        change = await _read(request, SettingChange)
        for name, value in _list_changes(change).items():
            setattr(self.database.settings, name, value)
        log.info("settings_changed", server=self.database.name, **msgspec.to_builtins(change))
        return _build_response(asdict(self.database.settings))


async def _read(request: web.Request, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _list_changes(change: msgspec.Struct) -> dict[str, object]:
    values = ((name, getattr(change, name)) for name in change.__struct_fields__)
    return {name: value for name, value in values if value is not UNSET}


def _build_response(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
