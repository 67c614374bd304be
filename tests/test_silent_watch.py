"""Takeovers and records of copies while a proxy's watch of the registrations is silent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from testtools import TestCase

from lentilring.gateways.lease import LEASE_S
from lentilring.standin.prepared.servers import StandinServer
from lentilring.takeover.service import TakeoverService

from .prepared import PreparedPlatform, run, run_prepared_platform, wait_until
from .test_copies import PROMOTIONS, read_recorded

TAKEOVER_S = 6.0
# Several takeovers begin in this time, as they follow each other within a second.
REPEATED_TAKEOVERS_S = 4.0


@asynccontextmanager
async def run_behind_silent_watch() -> AsyncIterator[PreparedPlatform]:
    """Start one proxy, record the copies, then silence its watch of the registrations."""
    async with run_prepared_platform(proxies=1) as platform:
        await wait_until(lambda: len(read_recorded(platform)) == 3, within_s=8.0)
        platform.store.faults.silent_kinds.add("servers")
        yield platform


async def start_replica(platform: PreparedPlatform) -> StandinServer:
    """Start another replica, which is not registered yet and receives what it lacks."""
    group = platform.group
    replica = StandinServer(id="i-rental-3", zone="casa-a", group=group)
    await replica.start()
    group.servers.append(replica)
    group.catch_up(replica)
    return replica


async def write_past(platform: PreparedPlatform, *behind: StandinServer) -> None:
    """Acknowledge a write that some replicas do not receive."""
    for replica in behind:
        replica.faults.receives_nothing = True
    client = await platform.proxies["vm-0"].open("booking")
    answer = await client.query("WRITE a 1", "acknowledged")
    client.close()
    assert answer[-2].startswith("COMPLETE"), answer


def is_promotion_recorded(platform: PreparedPlatform) -> bool:
    """Tell whether a promotion is recorded that may still take effect."""
    return bool((platform.store.read(PROMOTIONS, "rental") or {}).get("open"))


class SilentWatchTest(TestCase):
    def test_takeover_hears_a_replica_that_registered_behind_a_silent_watch(self) -> None:
        """Guards against a choice among the servers of a list of any age (review/11)."""

        async def scenario() -> None:
            async with run_behind_silent_watch() as platform:
                group = platform.group
                primary, *replicas = group.servers
                added = await start_replica(platform)
                platform.register(added)
                await write_past(platform, *replicas)
                await primary.stop()
                await wait_until(lambda: group.leader is added, within_s=TAKEOVER_S)
                self.assertEqual([], group.rolled_back)

        run(scenario())

    def test_replica_that_registers_before_the_last_check_prevents_the_promotion(self) -> None:
        """Guards against a last check with an older list than the store has."""

        async def scenario() -> None:
            async with run_behind_silent_watch() as platform:
                group = platform.group
                primary, *replicas = group.servers
                added = await start_replica(platform)
                await write_past(platform, *replicas)
                # A silent primary does not step down, so the takeover waits for the lease to end.
                primary.faults.silent = True
                await wait_until(lambda: is_promotion_recorded(platform), within_s=TAKEOVER_S)
                platform.register(added)
                await wait_until(lambda: group.leader is added, within_s=TAKEOVER_S)
                self.assertEqual([], group.rolled_back)

        run(scenario())

    def test_nothing_is_promoted_while_the_registrations_cannot_be_read(self) -> None:
        """Guards against a last check that goes on without a list."""

        async def scenario() -> None:
            async with run_behind_silent_watch() as platform:
                platform.group.servers[0].faults.silent = True
                await wait_until(lambda: is_promotion_recorded(platform), within_s=TAKEOVER_S)
                platform.store.faults.down = True
                await asyncio.sleep(LEASE_S + 0.5)
                self.assertEqual([], platform.store.promotions)
                platform.store.faults.down = False
                leader = platform.group.leader
                await wait_until(lambda: platform.group.leader is not leader, within_s=TAKEOVER_S)
                self.assertEqual([], platform.group.rolled_back)

        run(scenario())

    def test_replica_that_started_again_empty_does_not_count_with_its_old_start(self) -> None:
        """Guards against a copy that counts as heard although it lost its log."""

        async def scenario() -> None:
            async with run_behind_silent_watch() as platform:
                primary, restarted, behind = platform.group.servers
                await write_past(platform, behind)
                await primary.stop()
                platform.group.restart_empty(restarted)
                platform.register(restarted)
                await asyncio.sleep(REPEATED_TAKEOVERS_S)
                self.assertEqual([], platform.store.promotions)

        run(scenario())

    def test_copy_that_another_proxy_recorded_stays_recorded(self) -> None:
        """Guards against a copy that is taken for departed because the list is older."""

        async def scenario() -> None:
            async with run_behind_silent_watch() as platform:
                group, proxy = platform.group, platform.proxies["vm-0"]
                added = await start_replica(platform)
                platform.register(added)
                record = platform.store.read(PROMOTIONS, "rental")
                copies = {**record["copies"], added.id: added.started_ms}
                platform.store.put(PROMOTIONS, "rental", {**record, "copies": copies})
                primary = proxy.catalog.find_primary("rental")
                assert primary is not None
                self.assertNotIn(added.id, proxy.catalog.servers.entries)
                await proxy.kernel.find("takeover", TakeoverService)._upkeep.update(primary)
                self.assertEqual(copies, read_recorded(platform))
                self.assertIs(group.servers[0], group.leader)

        run(scenario())
