"""The HTTP client of the platform's store, with the stand-in of the platform."""

import asyncio
import os
import signal
import subprocess
import sys
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from lentilring.platform.client import HttpStore
from lentilring.platform.store import StoreUnavailable, VersionConflict, VmEntry
from lentilring.standin.objects import ObjectTable
from lentilring.standin.platform import PlatformServer, VmList
from lentilring.telemetry.metrics import Telemetry

from .loops import LoopTestCase, on_loop

LONG_S = 30.0
ENTRY = VmEntry(name="vm-1", address="127.0.0.1:1", failure_domain="casa-a", region="morocco")
ENTRY_JSON = {
    "name": "vm-1",
    "address": "127.0.0.1:1",
    "failure_domain": "casa-a",
    "region": "morocco",
}


class Fixture:
    def __init__(self, *, call_timeout_s: float) -> None:
        self.server = PlatformServer(address="127.0.0.1:0", table=ObjectTable())
        self.call_timeout_s = call_timeout_s
        self.telemetry = Telemetry()

    async def make_store(self) -> HttpStore:
        store = HttpStore(
            address=self.server.address,
            call_timeout_s=self.call_timeout_s,
            telemetry=self.telemetry,
        )
        await store.start()
        return store

    async def send(self, method: str, path: str, body: Any = None) -> Any:
        async with self.session.request(method, path, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def wait_for_watch(self) -> None:
        while not self.server.table.calls["watch"]:
            await asyncio.sleep(0.001)


class PlatformCase(LoopTestCase):
    async def open(self, *, call_timeout_s: float = LONG_S) -> Fixture:
        fixture = Fixture(call_timeout_s=call_timeout_s)
        await fixture.server.start()
        self.stack.push_async_callback(fixture.server.stop)
        fixture.store = await fixture.make_store()
        self.stack.push_async_callback(fixture.store.stop)
        fixture.session = aiohttp.ClientSession(f"http://{fixture.server.address}")
        self.stack.push_async_callback(fixture.session.close)
        return fixture


class ObjectTest(PlatformCase):
    @on_loop
    async def test_versions_and_conflicts(self) -> None:
        """Guards against an update that overwrites another operator's change."""
        fixture = await self.open()
        store = fixture.store
        self.assertIsNone(await store.get("group", "a/b c.d"))
        first = await store.put("group", "a/b c.d", {"x": [1, None]}, expected_version=0)
        self.assertEqual(first, await store.get("group", "a/b c.d"))
        for wrong in (0, 2):
            conflict = await self.expect(
                VersionConflict, store.put("group", "a/b c.d", {}, expected_version=wrong)
            )
            self.assertEqual(first, conflict.current)
        missing = await self.expect(
            VersionConflict, store.put("group", "new", {}, expected_version=4)
        )
        self.assertIsNone(missing.current)
        deleted = await store.put("group", "a/b c.d", None, expected_version=1)
        self.assertEqual((2, None), (deleted.version, deleted.value))

    @on_loop
    async def test_watch_returns_later_changes(self) -> None:
        """Guards against a watch that misses changes or returns them twice."""
        fixture = await self.open()
        store = fixture.store
        await store.put("template", "t", {"a": 1}, expected_version=0)
        seen = await store.list(["template", "group"])
        self.assertEqual(["t"], [entry.name for entry in seen.objects])
        watch = asyncio.create_task(
            store.watch(["group"], after_revision=seen.revision, wait_s=LONG_S)
        )
        await fixture.wait_for_watch()
        await store.put("template", "t", {"a": 2}, expected_version=1)
        await store.put("group", "g", {}, expected_version=0)
        snapshot = await watch
        self.assertEqual((3, ["g"]), (snapshot.revision, [o.name for o in snapshot.objects]))
        empty = await store.watch(["group"], after_revision=3, wait_s=0.01)
        self.assertEqual((3, ()), (empty.revision, empty.objects))


class FaultTest(PlatformCase):
    @on_loop
    async def test_stopping_the_client_ends_its_calls(self) -> None:
        """Guards against a shutdown that waits for a long poll."""
        fixture = await self.open()
        store = await fixture.make_store()
        watch = asyncio.create_task(store.watch(["group"], after_revision=0, wait_s=LONG_S))
        await fixture.wait_for_watch()
        await store.stop()
        await self.expect(StoreUnavailable, watch)

    @on_loop
    async def test_a_lost_answer_is_no_conflict(self) -> None:
        """Guards against an HTTP client that retries a change and conflicts with its first try."""
        fixture = await self.open()
        store = fixture.store
        await store.put("group", "g", {"change": "1"}, expected_version=0)
        await fixture.send("POST", "/faults", {"lose_answers": 1})
        await self.expect(
            StoreUnavailable, store.put("group", "g", {"change": "2"}, expected_version=1)
        )
        current = await store.get("group", "g")
        assert current is not None
        self.assertEqual((2, {"change": "2"}), (current.version, current.value))
        calls = await fixture.send("GET", "/calls")
        self.assertEqual({"put": 2, "get": 1}, calls)
        self.assertEqual(1, fixture.telemetry.read("store_calls_failed", operation="put"))

    @on_loop
    async def test_an_outage_ends_waiting_watches(self) -> None:
        """Guards against treating an interrupted watch as a confirmation that nothing changed."""
        fixture = await self.open()
        store = fixture.store
        watch = asyncio.create_task(store.watch(["group"], after_revision=0, wait_s=LONG_S))
        await fixture.wait_for_watch()
        await fixture.send("POST", "/faults", {"outage": True})
        await self.expect(StoreUnavailable, watch)
        for call in (
            store.get("group", "g"),
            store.put("group", "g", {}, expected_version=0),
            store.list(["group"]),
            store.list_vms(),
        ):
            await self.expect(StoreUnavailable, call)
        await fixture.send("POST", "/faults", {"outage": False})
        self.assertIsNone(await store.get("group", "g"))

    @on_loop
    async def test_a_silent_store_times_out(self) -> None:
        """Guards against calls that wait forever for a store that does not answer."""
        fixture = await self.open(call_timeout_s=0.05)
        for fault in ({"silent": True}, {"silent": False, "delay_s": LONG_S}):
            await fixture.send("POST", "/faults", fault)
            await self.expect(StoreUnavailable, fixture.store.get("group", "g"))

    @on_loop
    async def test_other_answers_are_no_success(self) -> None:
        """Guards against treating the answer of another server as the store's."""
        valid = '{"kind": "group", "name": "g", "version": 1, "revision": 1, "value": null}'
        status, text = 404, "not found"

        async def answer(request: web.Request) -> web.Response:
            if request.path == "/moved":
                return web.Response(text=valid)
            return web.Response(status=status, text=text, headers={"Location": "/moved"})

        runner = web.AppRunner(web.Application())
        runner.app.router.add_route("*", "/{path:.*}", answer)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        store = HttpStore(address=address, call_timeout_s=LONG_S, telemetry=Telemetry())
        await self.expect(StoreUnavailable, store.get("group", "g"))
        await store.start()
        self.stack.push_async_callback(store.stop)
        other = '{"kind": "group", "name": "other"}'
        for status, text in (  # noqa: B007
            (404, "not found"),
            (404, other),
            (200, "{}"),
            (302, ""),
            (409, "[]"),
            (500, valid),
        ):
            await self.expect(StoreUnavailable, store.get("group", "g"))
            await self.expect(StoreUnavailable, store.put("group", "g", {}, expected_version=0))
        await runner.cleanup()
        await self.expect(StoreUnavailable, store.list_vms())

    @on_loop
    async def test_malformed_requests_are_refused(self) -> None:
        """Guards against a stand-in that accepts requests that the platform would refuse."""
        fixture = await self.open()
        for path, headers, body, status in (
            ("/objects/a/b", {}, '{"value": {}}', 428),
            ("/objects/a/b", {"If-Match": "0"}, '{"value": 3}', 400),
            ("/objects/a/b", {"If-Match": "0"}, '{"value": {"x": "%s"}}' % ("y" * 2**20), 413),
            ("/vms/vm-2", {}, '{"name": "vm-1"}', 400),
        ):
            async with fixture.session.put(path, headers=headers, data=body) as response:
                self.assertEqual(status, response.status, path)


class VmListTest(PlatformCase):
    def test_changes_show_after_the_lag_in_order(self) -> None:
        """Guards against a VM list that shows changes without the lag or out of order."""
        now = 0.0
        vms = VmList(table=ObjectTable(), now=lambda: now)
        vms.change("vm-1", ENTRY, lag_s=5)
        vms.change("vm-1", None, lag_s=1)
        vms.change("vm-1", ENTRY, lag_s=9)
        shown = {}
        for now in (0.0, 4.9, 5.0, 8.9, 9.0):  # noqa: B007
            shown[now] = vms.list_visible()
        self.assertEqual({0.0: (), 4.9: (), 5.0: (), 8.9: (), 9.0: (ENTRY,)}, shown)

    @on_loop
    async def test_vms_come_and_go_over_http(self) -> None:
        """Guards against VM entries that the platform and its clients encode differently."""
        fixture = await self.open()
        await fixture.send("POST", "/vms", ENTRY_JSON)
        self.assertEqual((ENTRY,), await fixture.store.list_vms())
        await fixture.send("PUT", "/vms/vm-1", ENTRY_JSON | {"state": "leaving"})
        (entry,) = await fixture.store.list_vms()
        self.assertEqual("leaving", entry.state)
        await fixture.send("DELETE", "/vms/vm-1")
        self.assertEqual((), await fixture.store.list_vms())


class ProgramTest(LoopTestCase):
    @pytest.mark.process
    def test_sigterm_ends_the_stand_in(self) -> None:
        """Guards against a stand-in that ignores SIGTERM while a watch waits."""
        process = subprocess.Popen(
            [sys.executable, "-m", "lentilring.cli.standin", "platform"],
            env=os.environ
            | {
                "LENTILRING_STANDIN_LISTEN": "127.0.0.1:0",
                "LENTILRING_STANDIN_VMS": "vm-1=127.0.0.1:1,casa-a,morocco",
            },
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.wait, LONG_S)
        self.addCleanup(process.kill)
        assert process.stderr is not None
        address = process.stderr.readline().strip().rpartition("address=")[2]

        async def use() -> None:
            store = HttpStore(address=address, call_timeout_s=LONG_S, telemetry=Telemetry())
            await store.start()
            self.assertEqual((ENTRY,), await store.list_vms())
            watch = asyncio.create_task(store.watch(["group"], after_revision=0, wait_s=LONG_S))
            async with aiohttp.ClientSession() as session:
                calls: dict[str, int] = {}
                while "watch" not in calls:
                    async with session.get(f"http://{address}/calls") as response:
                        calls = await response.json()
            process.send_signal(signal.SIGTERM)
            self.assertEqual((), (await watch).objects)
            await store.stop()

        asyncio.run(use())
        self.assertEqual(0, process.wait(LONG_S))
