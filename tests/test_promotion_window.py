"""Commits while another proxy's promotion is under way."""

import asyncio

from testtools import TestCase

from lentilring.gateways.lease import LEASE_S

from .prepared import run, run_prepared_platform

# Time from the last check of a takeover until its promotion has taken effect.
PROMOTION_S = 0.2


class PromotionWindowTest(TestCase):
    def test_commit_that_only_a_restarted_replica_received_is_not_acknowledged(self) -> None:
        """Guards against a commit that a promotion rolls back after its acknowledgement."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                group = platform.group
                client = await platform.proxies["vm-0"].open("booking")
                await client.query("BEGIN")
                await client.query("WRITE a 1")
                for replica in group.servers[1:]:
                    replica.paused_term = group.term + 1
                commit = asyncio.ensure_future(client.query("COMMIT"))
                await asyncio.sleep(LEASE_S + 0.05)
                group.restart_replica(group.servers[2].id)
                await asyncio.sleep(PROMOTION_S)
                group.promote(group.servers[1].id)
                answer = await commit
                client.close()
                self.assertEqual(1, len(group.rolled_back))
                self.assertNotIn("COMPLETE", " ".join(answer))

        run(scenario())
