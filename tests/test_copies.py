"""Recorded copies of a database: what a takeover must hear from, and when copies are dropped."""

import asyncio

from testtools import TestCase

from lentilring.catalog.model import ServerRole
from lentilring.gateways.server import ReplicationStatus
from lentilring.standin.prepared.servers import StandinServer
from lentilring.statements.model import Position
from lentilring.takeover.copies import (
    RecordedCopies,
    describe_copies,
    find_departed,
    has_received,
    merge_copies,
    read_copies,
)

from .prepared import PreparedPlatform, run, run_prepared_platform, wait_until
from .test_takeover import build_entry

RECORDED = RecordedCopies(leader="p", started_ms={"p": 1, "a": 1, "b": 1})
PROMOTIONS = "lentilring-promotion"
# Longer than a registration takes to count as gone, and a takeover after that.
REMOVAL_AND_TAKEOVER_S = 7.0


def build_status(number: int, *, role: ServerRole = ServerRole.REPLICA) -> ReplicationStatus:
    return ReplicationStatus(role=role, term=1, received=Position(term=1, number=number))


class UnheardCopiesTest(TestCase):
    def test_all_copies_but_the_primary_must_be_heard(self) -> None:
        """Guards against a choice among the copies that happen to answer."""
        self.assertEqual((), RECORDED.find_unheard({"a": 1, "b": 1}))
        self.assertEqual(("b",), RECORDED.find_unheard({"a": 1}))
        self.assertEqual(("b",), RECORDED.find_unheard({"p": 1, "a": 1, "c": 1}))

    def test_one_silent_copy_is_allowed_only_if_it_may_be_the_primary(self) -> None:
        """Guards against excusing both the old primary and the one that a promotion intends."""
        self.assertEqual((), RECORDED.find_unheard({"p": 1, "b": 1}, intended="a"))
        self.assertEqual(("a",), RECORDED.find_unheard({"b": 1}, intended="a"))
        self.assertEqual(("a",), RECORDED.find_unheard({"p": 1, "b": 1}))

    def test_copy_that_started_again_is_not_the_recorded_one(self) -> None:
        """Guards against a replica that lost its log and answers with an empty one."""
        self.assertEqual(("b",), RECORDED.find_unheard({"a": 1, "b": 2}))

    def test_record_without_copies_asks_for_none(self) -> None:
        """Guards against records of earlier versions and of other writers."""
        for value in ({}, {"copies": ["a"], "leader": "p"}, {"copies": {"a": 1}, "leader": 3}):
            self.assertEqual((), read_copies(value).find_unheard({}))  # type: ignore[arg-type]


class DepartedCopiesTest(TestCase):
    def test_primary_keeps_its_log_when_it_starts_again(self) -> None:
        """Guards against waiting for the earlier life of a primary that is back."""
        registered = describe_copies(
            [build_entry("p", started_ms=2), build_entry("a", started_ms=2)], leader="p"
        )
        self.assertEqual({"a", "b"}, find_departed(RECORDED, registered))

    def test_kept_copies_stay_as_they_were_recorded(self) -> None:
        """Guards against recording a restarted copy in place of the one that had the commits."""
        registered = describe_copies(
            [build_entry("p"), build_entry("a", started_ms=2), build_entry("c")], leader="p"
        )
        merged = merge_copies(RECORDED, registered, kept={"a", "b"})
        self.assertEqual({"p": 1, "a": 1, "b": 1, "c": 1}, merged.started_ms)

    def test_only_another_replica_shows_that_commits_are_elsewhere(self) -> None:
        """Guards against dropping a copy because the primary itself has the commits."""
        position = Position(term=1, number=9)
        behind = {"p": build_status(9), "a": build_status(8)}
        self.assertFalse(has_received(behind, leader="p", position=position))
        leading = {"a": build_status(9, role=ServerRole.PRIMARY)}
        self.assertFalse(has_received(leading, leader="p", position=position))
        self.assertTrue(has_received({"a": build_status(9)}, leader="p", position=position))


class CopyRecordTest(TestCase):
    def test_copies_that_are_away_prevent_the_promotion_of_one_that_is_behind(self) -> None:
        """Guards against the loss of commits that only copies which are away have (review/3)."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                primary, lost, behind = platform.group.servers
                await self._write_past(platform, behind)
                await self._take_away(platform, lost, primary)
                await self._check_waiting(platform, primary, behind)

        run(scenario(), within_s=60.0)

    def test_proxies_that_start_again_still_wait_for_copies_that_are_away(self) -> None:
        """Guards against copies that were known in the memory of proxies only."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                primary, lost, behind = platform.group.servers
                await self._write_past(platform, behind)
                await self._take_away(platform, lost, primary)
                await platform.proxies["vm-0"].stop()
                await platform.add_proxy("vm-1", "mrk-a")
                await self._check_waiting(platform, primary, behind)

        run(scenario(), within_s=60.0)

    def test_replica_that_lost_its_log_does_not_stand_for_its_earlier_life(self) -> None:
        """Guards against a takeover from two replicas of which one started again, empty."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                primary, restarted, behind = platform.group.servers
                await self._write_past(platform, behind)
                await primary.stop()
                platform.group.restart_empty(restarted)
                platform.register(restarted)
                await asyncio.sleep(REMOVAL_AND_TAKEOVER_S)
                self.assertEqual([], platform.store.promotions)

        run(scenario(), within_s=60.0)

    def test_operator_releases_a_copy_that_will_not_return(self) -> None:
        """Guards against a service that stays without a primary although an operator decided."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                primary, lost, staying = platform.group.servers
                await self._write_past(platform, staying)
                await self._take_away(platform, lost, primary)
                await asyncio.sleep(REMOVAL_AND_TAKEOVER_S)
                record = platform.store.read(PROMOTIONS, "rental")
                del record["copies"][lost.id]
                platform.store.put(PROMOTIONS, "rental", record)
                await wait_until(lambda: platform.group.leader is staying, within_s=8.0)

        run(scenario(), within_s=60.0)

    def test_copy_that_left_is_dropped_once_another_has_its_commits(self) -> None:
        """Guards against waiting for ever for a copy that left while the primary served."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                primary, left, staying = platform.group.servers
                client = await platform.proxies["vm-0"].open("booking")
                self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[-2])
                await left.stop()
                platform.store.remove("servers", left.id)
                await wait_until(lambda: left.id not in read_recorded(platform), within_s=8.0)
                await primary.stop()
                await wait_until(lambda: platform.group.leader is staying, within_s=8.0)
                self.assertEqual([], platform.group.rolled_back)

        run(scenario(), within_s=60.0)

    def test_copy_is_kept_while_the_others_lack_its_commits(self) -> None:
        """Guards against dropping a copy that left with the only replicated commits."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                _, left, behind = platform.group.servers
                await self._write_past(platform, behind)
                await left.stop()
                platform.store.remove("servers", left.id)
                catalog = platform.proxies["vm-0"].catalog
                await wait_until(lambda: left.id not in catalog.servers.entries, within_s=5.0)
                await asyncio.sleep(2.0)
                self.assertIn(left.id, read_recorded(platform))

        run(scenario(), within_s=60.0)

    def test_leaving_primary_is_replaced_after_a_replica_left(self) -> None:
        """Guards against a planned replacement that waits for a copy which is gone for good."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                primary, left, staying = platform.group.servers
                platform.register(left, state="draining")
                await asyncio.sleep(0.5)
                await left.stop()
                platform.store.remove("servers", left.id)
                platform.register(primary, state="draining")
                await wait_until(lambda: platform.group.leader is staying, within_s=8.0)

        run(scenario(), within_s=60.0)

    async def _write_past(self, platform: PreparedPlatform, behind: StandinServer) -> None:
        """Acknowledge a write that a replica does not receive."""
        await wait_until(lambda: len(read_recorded(platform)) == 3, within_s=8.0)
        behind.faults.receives_nothing = True
        client = await next(iter(platform.proxies.values())).open("booking")
        self.assertIn("COMPLETE", (await client.query("WRITE a 1"))[-2])
        client.close()

    async def _take_away(self, platform: PreparedPlatform, *servers: StandinServer) -> None:
        """Crash servers, so that their registrations lapse."""
        for server in servers:
            await server.stop()
        for server in servers:
            platform.store.remove("servers", server.id)

    async def _return(
        self, platform: PreparedPlatform, primary: StandinServer, behind: StandinServer
    ) -> None:
        """Bring the primary back with its log, so that the replica that was behind catches up."""
        host, _, port = primary.address.rpartition(":")
        await primary.start(host, int(port))
        platform.register(primary)
        behind.faults.receives_nothing = False

    async def _check_waiting(
        self, platform: PreparedPlatform, primary: StandinServer, behind: StandinServer
    ) -> None:
        """Check that nothing is promoted, and that the service goes on once the primary is back."""
        await asyncio.sleep(REMOVAL_AND_TAKEOVER_S)
        self.assertEqual([], platform.store.promotions)
        await self._return(platform, primary, behind)
        await self._check_writes(platform)
        self.assertEqual([], platform.group.rolled_back)

    async def _check_writes(self, platform: PreparedPlatform) -> None:
        proxy = list(platform.proxies.values())[-1]
        end = asyncio.get_running_loop().time() + 8.0
        answer = [""]
        while "COMPLETE" not in " ".join(answer):
            self.assertTrue(asyncio.get_running_loop().time() < end, answer)
            client = await proxy.open("booking")
            answer = await client.query("WRITE a 2")
            client.close()
            await asyncio.sleep(0.2)


def read_recorded(platform: PreparedPlatform) -> dict[str, int]:
    """Return the recorded copies of the service with their start times."""
    record = platform.store.read(PROMOTIONS, "rental") or {}
    copies = record.get("copies")
    return copies if isinstance(copies, dict) else {}
