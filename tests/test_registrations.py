"""How long a proxy knows a server's registration to have been in force."""

import msgspec
from testtools import TestCase

from lentilring.catalog.service import CatalogService
from lentilring.platform.boot import BootFile, build_settings

from .prepared import PreparedPlatform, run, run_prepared_platform, wait_until

BOOT = {
    "node-name": "vm-0",
    "ip": "127.0.0.1",
    "zone": "casa-a",
    "region": "casablanca",
    "zones": {"casa-a": "casablanca"},
    "bind-addresses": {"frontend-addr": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "internal-port-range": [7000, 7010],
    "platform": {"address": "127.0.0.1:3"},
    "cloud-api": {"address": "127.0.0.1:4", "duties": []},
}


def read_clock(catalog: CatalogService) -> float:
    return catalog._clock.boottime()


class RegistrationTest(TestCase):
    def test_missing_registration_counts_up_to_its_last_confirmation(self) -> None:
        """Guards against an old entry that passes for a sign of a running server (review/6)."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=1) as platform:
                catalog = platform.proxies["vm-0"].catalog
                server = platform.group.servers[2].id
                asked_at = read_clock(catalog)
                await catalog.refresh_servers()
                self.assertGreaterEqual(catalog.find_registered_until(server), asked_at)
                await self._lapse(platform, catalog, server)

                platform.register(platform.group.servers[2])
                await wait_until(
                    lambda: server in catalog.servers.entries
                    and server not in catalog.missing_servers(),
                    within_s=3.0,
                )
                asked_at = read_clock(catalog)
                await catalog.refresh_servers()
                self.assertGreaterEqual(catalog.find_registered_until(server), asked_at)

        run(scenario())

    async def _lapse(
        self, platform: PreparedPlatform, catalog: CatalogService, server: str
    ) -> None:
        """Remove a server's entry; check its last confirmation until the server is forgotten."""
        removed_at = read_clock(catalog)
        platform.store.remove("servers", server)
        await wait_until(lambda: server in catalog.missing_servers(), within_s=3.0)
        until = catalog.find_registered_until(server)
        self.assertLessEqual(until, removed_at)
        await catalog.refresh_servers()
        self.assertEqual(until, catalog.find_registered_until(server))
        await wait_until(lambda: server not in catalog.servers.entries, within_s=5.0)
        self.assertEqual(until, catalog.find_registered_until(server))

    def test_time_of_a_lapse_follows_the_heartbeats_of_the_settings_file(self) -> None:
        """Guards against registrations that lapse later than the proxy expects."""
        for boot, lapse_s in (({}, 4.0), ({"heartbeat-ms": 2000}, 6.4)):
            settings = build_settings(msgspec.convert(BOOT | boot, BootFile))
            self.assertAlmostEqual(lapse_s, settings.registration_lapse_s)
