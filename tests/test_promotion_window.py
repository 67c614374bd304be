"""Commits while another proxy's promotion is under way."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from testtools import TestCase

from lentilring.gateways.lease import LEASE_S
from lentilring.takeover.service import TakeoverService

from .prepared import PreparedPlatform, run, run_prepared_platform, wait_until
from .test_copies import PROMOTIONS, read_recorded

# Time from the last check of a takeover until its promotion has taken effect.
PROMOTION_S = 0.2
SLOW_PROMOTION_S = 1.0
# A replica is back while the promotion is under way.
RESTART_S = 0.4


def record_promotion(platform: PreparedPlatform, server: str) -> None:
    """Record a promotion that may still take effect, as a takeover does before its last check."""
    record = platform.store.read(PROMOTIONS, "rental")
    assert record is not None
    platform.store.put(PROMOTIONS, "rental", {**record, "open": True, "server": server})


def list_dropped(platform: PreparedPlatform) -> set[str]:
    """Return the writes that promotions have rolled back."""
    return {write for entry in platform.group.rolled_back for write in entry.writes}


async def write_until_stopped(
    platform: PreparedPlatform, vm: str, done: set[str], stopped: asyncio.Event
) -> None:
    """Send one write after another and collect those that succeed."""
    sent = 0
    while not stopped.is_set():
        client = await platform.proxies[vm].open("booking")
        try:
            while client.greeting.startswith("READY") and not stopped.is_set():
                sent += 1
                request = f"{vm}.{sent}"
                answer = await client.query(f"WRITE {request} 1", request)
                if not answer[-1]:
                    break
                if answer[-2].startswith("COMPLETE"):
                    done.add(request)
                await asyncio.sleep(0.02)
        except (OSError, TimeoutError):
            pass
        finally:
            client.close()
        await asyncio.sleep(0.05)


@asynccontextmanager
async def run_writers(platform: PreparedPlatform) -> AsyncIterator[set[str]]:
    """Write through all proxies; yield the writes that succeeded."""
    done: set[str] = set()
    stopped = asyncio.Event()
    writers = [
        asyncio.ensure_future(write_until_stopped(platform, vm, done, stopped))
        for vm in platform.proxies
    ]
    try:
        yield done
    finally:
        # Not cancelled: asyncio.wait_for of Python 3.11 may lose a cancellation.
        stopped.set()
        await asyncio.gather(*writers)


class PromotionWindowTest(TestCase):
    def test_commit_that_only_a_restarted_replica_received_is_not_acknowledged(self) -> None:
        """Guards against a commit that a promotion rolls back after its acknowledgement."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                group = platform.group
                client = await platform.proxies["vm-0"].open("booking")
                await wait_until(lambda: bool(read_recorded(platform)), within_s=8.0)
                await client.query("BEGIN")
                await client.query("WRITE a 1")
                for replica in group.servers[1:]:
                    replica.paused_term = group.term + 1
                commit = asyncio.ensure_future(client.query("COMMIT"))
                await asyncio.sleep(LEASE_S + 0.05)
                record_promotion(platform, group.servers[1].id)
                group.restart_replica(group.servers[2].id)
                await asyncio.sleep(PROMOTION_S)
                group.promote(group.servers[1].id)
                answer = await commit
                client.close()
                self.assertEqual(1, len(group.rolled_back))
                self.assertNotIn("COMPLETE", " ".join(answer))

        run(scenario())

    def test_replica_that_restarts_during_a_promotion_confirms_nothing(self) -> None:
        """Guards against commits that proxies confirm while one of them promotes (review/7)."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                group = platform.group
                primary, promoted, restarting = group.servers
                platform.promote_delay_s = SLOW_PROMOTION_S
                await wait_until(lambda: bool(read_recorded(platform)), within_s=8.0)
                async with run_writers(platform) as done:
                    await wait_until(lambda: len(done) >= 5, within_s=3.0)
                    primary.faults.silent = True
                    await wait_until(lambda: bool(platform.store.promotions), within_s=6.0)
                    primary.faults.silent = False
                    await asyncio.sleep(RESTART_S)
                    group.restart_replica(restarting.id)
                    await wait_until(lambda: group.leader is promoted, within_s=3.0)
                    confirmed = len(done)
                    await wait_until(lambda: len(done) > confirmed, within_s=5.0)
                self.assertEqual(set(), done & list_dropped(platform))

        run(scenario())

    def test_replicas_stay_paused_when_the_promoting_proxy_stops(self) -> None:
        """Guards against replicas that receive again while a promotion is under way."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                group, promotions = platform.group, platform.store.promotions
                platform.promote_delay_s = SLOW_PROMOTION_S
                await wait_until(lambda: bool(read_recorded(platform)), within_s=8.0)
                async with run_writers(platform) as done:
                    await wait_until(lambda: len(done) >= 5, within_s=3.0)
                    group.servers[0].faults.silent = True
                    await wait_until(lambda: bool(promotions), within_s=6.0)
                    group.servers[0].faults.silent = False
                    # Commits that the other replica receives would be missing in the promoted one.
                    group.find(promotions[0][1]).faults.receives_nothing = True
                    stopping = platform.proxies[promotions[0][2]]
                    await stopping.kernel.find("takeover", TakeoverService).stop()
                    await wait_until(lambda: group.term == 2, within_s=3.0)
                    confirmed = len(done)
                    await wait_until(lambda: len(done) > confirmed, within_s=5.0)
                self.assertEqual(set(), done & list_dropped(platform))

        run(scenario())


class RestartedReplicasTest(TestCase):
    def test_primary_that_was_silent_serves_again_although_all_replicas_are_new(self) -> None:
        """Guards against a primary without a recorded replica, whose record nobody could change."""

        async def scenario() -> None:
            async with run_prepared_platform() as platform:
                group = platform.group
                await wait_until(lambda: bool(read_recorded(platform)), within_s=8.0)
                async with run_writers(platform) as done:
                    await wait_until(lambda: len(done) >= 5, within_s=3.0)
                    group.servers[0].faults.silent = True
                    for replica in group.servers[1:]:
                        group.restart_empty(replica)
                        platform.register(replica)
                    await asyncio.sleep(LEASE_S + 0.5)
                    group.servers[0].faults.silent = False
                    confirmed = len(done)
                    await wait_until(lambda: len(done) > confirmed, within_s=5.0)
                self.assertEqual(set(), done & list_dropped(platform))

        run(scenario())
