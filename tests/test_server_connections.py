"""Connections to a server that allows few and has other gateways too, without a network."""

import asyncio

from testtools import TestCase

from lentilring.gateways.attempt import compute_connection_limit
from lentilring.gateways.pool import STANDBY_IDLE_S, ConnectionPool
from lentilring.gateways.server import ServerRefused
from lentilring.statements.model import Failure
from lentilring.telemetry.metrics import Telemetry

from .test_takeover import build_entry
from .virtual_time import SuspensibleClock, run_virtual


class FakeSession:
    """Count as open at its connector until it is closed."""

    is_closed = False
    position = None

    def __init__(self, connector: "FakeConnector") -> None:
        self._connector = connector
        connector.open_count += 1

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._connector.open_count -= 1


class FakeConnector:
    """Allow a number of open connections at a time."""

    def __init__(self, *, allowed: int) -> None:
        self.allowed, self.open_count, self.refused = allowed, 0, 0

    async def connect(self, server, *, account, timeout_s):  # type: ignore[no-untyped-def]
        await asyncio.sleep(0.01)
        if self.open_count >= self.allowed:
            self.refused += 1
            raise ServerRefused(
                server=server.id, failure=Failure.CONNECTIONS_EXHAUSTED, detail="full"
            )
        return FakeSession(self)


def build_pool(
    connector: FakeConnector, *, limit: list[int], keeps_idle: bool = True
) -> ConnectionPool:
    return ConnectionPool(
        server=build_entry("p"),
        connector=connector,  # type: ignore[arg-type]
        limit=lambda: limit[0],
        keeps_idle=lambda: keeps_idle,
        clock=SuspensibleClock(),
        telemetry=Telemetry(),
    )


class ConnectionLimitTest(TestCase):
    def test_reserve_grows_with_the_server_up_to_a_bound(self) -> None:
        """Guards against refused takeovers at small servers, and unused connections at large ones.

        With 2 of 16 connections free, takeovers were refused (khaima-ops trouble-1). With 23 to 32
        of 56 to 80 free, up to 144 transactions had fewer connections than there were.
        """
        limits = {4: 1, 16: 9, 40: 24, 56: 40, 80: 64}
        for allowed, own in limits.items():
            self.assertEqual(own, compute_connection_limit(allowed, is_first_choice=True))
            standby = compute_connection_limit(allowed, is_first_choice=False)
            self.assertEqual(min(2, own), standby)


class PoolTest(TestCase):
    def test_idle_connections_above_a_fallen_limit_are_closed(self) -> None:
        """Guards against a gateway that keeps connections which another one needs."""

        async def scenario() -> int:
            limit = [3]
            pool = build_pool(FakeConnector(allowed=9), limit=limit)
            acquired = [await pool.acquire("planner", timeout_s=1) for _ in range(3)]
            for connection in acquired:
                pool.release(connection)
            limit[0] = 1
            pool.trim()
            return pool.open_count

        self.assertEqual(1, run_virtual(scenario()))

    def test_standby_gateway_gives_back_what_it_does_not_use(self) -> None:
        """Guards against idle connections of many gateways that keep a server full.

        In an incident (khaima-ops inc-3ba6), the first gateway of a server was refused 936
        connections in 28 s, after other gateways had replaced it once.
        """

        async def scenario(keeps_idle: bool) -> int:
            connector = FakeConnector(allowed=9)
            pool = build_pool(connector, limit=[2], keeps_idle=keeps_idle)
            for connection in [await pool.acquire("planner", timeout_s=1) for _ in range(2)]:
                pool.release(connection)
            pool.trim()
            assert connector.open_count == 2
            await asyncio.sleep(STANDBY_IDLE_S + 0.1)
            pool.trim()
            return connector.open_count

        self.assertEqual(0, run_virtual(scenario(False)))
        self.assertEqual(2, run_virtual(scenario(True)))

    def test_full_server_is_used_through_the_connections_it_took(self) -> None:
        """Guards against refusals while this gateway's own connections soon become free."""

        async def scenario() -> tuple[int, int]:
            connector = FakeConnector(allowed=2)
            pool = build_pool(connector, limit=[9])

            async def work() -> int:
                connection = await pool.acquire("planner", timeout_s=2)
                await asyncio.sleep(0.02)
                pool.release(connection)
                return 1

            first = [await pool.acquire("planner", timeout_s=1) for _ in range(2)]
            for connection in first:
                pool.release(connection)
            done = await asyncio.gather(*(work() for _ in range(30)))
            return sum(done), connector.refused

        done, refused = run_virtual(scenario())
        self.assertEqual(30, done)
        # Each of the first concurrent statements may be refused; later ones open no connection.
        self.assertLessEqual(refused, 30)

    def test_proof_gets_a_connection_while_transactions_hold_all(self) -> None:
        """Guards against replicas without proven positions while idle transactions hold all."""

        async def scenario() -> int:
            pool = build_pool(FakeConnector(allowed=9), limit=[2])
            for _ in range(2):
                await pool.acquire("planner", timeout_s=1)
            proof = await pool.acquire("planner", timeout_s=1, beyond_limit=1)
            pool.release(proof)
            return pool.open_count

        self.assertEqual(2, run_virtual(scenario()))

    def test_full_server_that_took_nothing_refuses_at_once(self) -> None:
        """Guards against waiting for connections that this gateway does not have."""

        async def scenario() -> float:
            loop = asyncio.get_running_loop()
            pool = build_pool(FakeConnector(allowed=0), limit=[9])
            started = loop.time()
            try:
                await pool.acquire("planner", timeout_s=2)
            except ServerRefused:
                return loop.time() - started
            raise AssertionError("a full server gave a connection")

        self.assertLess(run_virtual(scenario()), 0.2)

    def test_connection_of_another_account_makes_room(self) -> None:
        """Guards against refusing an account while connections of another account are idle."""

        async def scenario() -> str:
            pool = build_pool(FakeConnector(allowed=1), limit=[9])
            pool.release(await pool.acquire("planner", timeout_s=1))
            connection = await pool.acquire("crew", timeout_s=1)
            return connection.account

        self.assertEqual("crew", run_virtual(scenario()))
