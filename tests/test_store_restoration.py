"""A store that comes back from an older copy: its revisions go back and are used again."""

from testtools import TestCase

from .prepared import build_manifest, run, run_prepared_platform, wait_until

READERS = 3


class ConfigurationTest(TestCase):
    def test_configuration_at_a_reused_revision_reaches_all_proxies(self) -> None:
        """Guards against followers of readers that keep a configuration from before the return."""

        async def scenario() -> None:
            async with run_prepared_platform(proxies=6) as platform:
                store = platform.store
                catalogs = [proxy.catalog for proxy in platform.proxies.values()]
                older = store.make_copy()
                store.put("config", "main", build_manifest(4))
                last = store.put("config", "main", build_manifest(7))
                await wait_until(
                    lambda: all(entry.version == 7 for entry in catalogs), within_s=3.0
                )
                store.calls.clear()
                store.restore(older)
                await wait_until(
                    lambda: store.calls.count(("GET", "config")) > READERS, within_s=3.0
                )
                store.put("config", "main", build_manifest(7))
                self.assertEqual(last, store.put("config", "main", build_manifest(9)))
                await wait_until(
                    lambda: all(entry.version == 9 for entry in catalogs), within_s=3.0
                )

        run(scenario())
