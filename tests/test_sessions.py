"""Reads of sessions: own writes are visible on replicas, at other proxies and after failovers."""

import asyncio

import testtools

from lentilring.outcomes import Completed, NotRun, RefusalReason, SessionPosition
from lentilring.routing.sessions import (
    SessionTokenInvalid,
    choose_later,
    decode_token,
    encode_token,
)
from lentilring.standin.database import ServerSettings

from .deployment import Deployment, encode_session
from .virtual_time import run_virtual

GET = {"op": "get", "key": "tent"}


class SessionTest(testtools.TestCase):
    def test_session_reads_its_write_at_another_proxy_while_replicas_lag(self) -> None:
        """Guards against a read of a session on a replica that does not have its last write yet."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=3.0))
            # These reads let the gateways learn that all replicas are within the staleness limit.
            for vm in ("vm-0", "vm-1", "vm-2"):
                await deployment.request(vm, "stock", GET)
            await asyncio.sleep(4)
            for value in range(1, 4):
                statement = {"op": "put", "key": "tent", "value": value}
                written = await deployment.request("vm-0", "note", statement)
                token = encode_session(written)
                for vm in ("vm-1", "vm-2"):
                    read = await deployment.request(vm, "stock", GET, session=token)
                    self.assertIsInstance(read, Completed, read)
                    self.assertEqual(value, read.result)

        run_virtual(scenario())

    def test_reads_within_the_staleness_limit_use_replicas(self) -> None:
        """Guards against reads that all go to the primary although replicas are recent enough."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.05))
            await deployment.request("vm-0", "note", {"op": "put", "key": "tent", "value": 1})
            await asyncio.sleep(1)
            replica_reads = 0
            for index in range(30):
                read = await deployment.request(f"vm-{index % 3}", "stock", GET)
                self.assertIsInstance(read, Completed, read)
                replica_reads += read.from_replica
            self.assertGreater(replica_reads, 24)

        run_virtual(scenario())

    def test_replica_older_than_the_limit_is_not_used(self) -> None:
        """Guards against a replica 60 s behind serving a read that accepts 5 s of staleness."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start()
            await deployment.request("vm-0", "note", {"op": "put", "key": "tent", "value": 1})
            await asyncio.sleep(1)
            for server in deployment.backends.servers.values():
                server.settings.replication_lag_s = 60.0
            await deployment.request("vm-0", "note", {"op": "put", "key": "tent", "value": 2})
            await asyncio.sleep(6)
            for vm in deployment.proxies:
                read = await deployment.request(vm, "stock", GET)
                self.assertIsInstance(read, Completed, read)
                self.assertEqual(2, read.result)

        run_virtual(scenario())

    def test_reads_without_a_staleness_limit_go_to_the_primary(self) -> None:
        """Guards against stale data for reads whose route accepts no staleness."""

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=2.0))
            await deployment.request("vm-0", "note", {"op": "put", "key": "tent", "value": 7})
            read = await deployment.request("vm-1", "stock-now", GET)
            self.assertEqual((7, False), (read.result, read.from_replica))

        run_virtual(scenario())

    def test_lost_position_is_an_error_and_not_an_older_read(self) -> None:
        """Guards against older data without an error after a failover lost the session's write.

        The write is acknowledged while replication lags; then the primary is killed and a replica
        without the write is promoted.
        """

        async def scenario() -> None:
            deployment = Deployment()
            await deployment.start(settings=ServerSettings(replication_lag_s=0.0))
            for server in deployment.backends.servers.values():
                server.settings.replication_lag_s = 30.0
            # Replication requests that began before the change still use the old lag.
            await asyncio.sleep(5)
            written = await deployment.request(
                "vm-0", "note", {"op": "put", "key": "tent", "value": 1}
            )
            token = encode_session(written)
            term = deployment.term
            await deployment.backends.kill(deployment.primary_address)
            await deployment.wait_for_primary(after_term=term)
            read = await deployment.request("vm-1", "stock", GET, session=token)
            self.assertIsInstance(read, NotRun, read)
            self.assertEqual(RefusalReason.SESSION_POSITION_LOST, read.reason)

        run_virtual(scenario())


class SessionTokenTest(testtools.TestCase):
    def test_token_round_trip(self) -> None:
        """Guards against a position that changes when it is encoded and decoded again."""
        position = SessionPosition(database="a/b", term=3, position=99)
        self.assertEqual(position, decode_token(encode_token(position), "a/b"))

    def test_foreign_and_malformed_tokens_are_refused(self) -> None:
        """Guards against a position of one database that is used for another."""
        token = encode_token(SessionPosition(database="a/b", term=3, position=99))
        for text, database in ((token, "a/c"), ("%%%", "a/b"), ("x" * 600, "a/b"), ("W10", "a/b")):
            self.assertRaises(SessionTokenInvalid, decode_token, text, database)

    def test_reads_do_not_lower_a_session(self) -> None:
        """Guards against a session that keeps the earlier position of two parallel writes."""
        early = SessionPosition(database="a/b", term=1, position=9)
        late = SessionPosition(database="a/b", term=2, position=4)
        self.assertEqual(late, choose_later(late, early))
        self.assertEqual(late, choose_later(early, late))
