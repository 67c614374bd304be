"""Tests of the backend server stand-in: log, terms, transactions and connections."""

import asyncio
import json
from typing import Any

from testtools import TestCase

from lentilring.database.messages import (
    Action,
    AwaitPosition,
    Fence,
    Follow,
    Lead,
    StatementReply,
    StatementRequest,
    StatementStatus,
)
from lentilring.database.wire import ConnectionKind
from lentilring.standin.database import DatabaseServer, ServerSettings
from lentilring.standin.sessions import DatabaseSession

from .fakes_database import BackendNetwork
from .virtual_time import run_virtual

A, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
GROUP = [A, B, C]
GET_K = {"op": "get", "key": "k"}
TIMEOUT_S = 1.0


def ask(action: Action, statement: object = None, **fields: Any) -> StatementRequest:
    text = json.dumps(statement) if statement is not None else ""
    defaults: dict[str, Any] = {"term": 1, "client_account": "khaima"}
    return StatementRequest(action=action, statement=text, **(defaults | fields))


def put(value: object, key: str = "k") -> dict[str, object]:
    return {"op": "put", "key": key, "value": value}


def add(amount: object, key: str = "n") -> dict[str, object]:
    return {"op": "add", "key": key, "amount": amount}


def build_session() -> DatabaseSession:
    return DatabaseSession(client="test", kind=ConnectionKind.STATEMENT)


async def write(server: DatabaseServer, statement: object, **fields: Any) -> StatementReply:
    return await server.execute(build_session(), ask(Action.WRITE, statement, **fields))


async def read(server: DatabaseServer, statement: object = GET_K, **fields: Any) -> StatementReply:
    return await server.execute(build_session(), ask(Action.READ, statement, **fields))


async def promote(
    servers: list[DatabaseServer], *, leader: DatabaseServer, address: str, term: int
) -> None:
    """Fence servers, make one the primary and the others its replicas."""
    for server in servers:
        server.fence(Fence(term=term))
    start = leader.log.position
    leader.lead(Lead(term=term, start_position=start))
    for server in servers:
        if server is not leader:
            server.follow(Follow(term=term, primary_address=address, start_position=start))


class VirtualTestCase(TestCase):
    """Run a coroutine on virtual time."""

    def run_on_group(self, check: Any, *, settings: ServerSettings | None = None) -> None:
        async def body() -> None:
            network = BackendNetwork()
            servers = await network.add_group(GROUP, settings=settings)
            await asyncio.sleep(0.1)
            await check(network, *servers)

        run_virtual(body())


class StatementTests(VirtualTestCase):
    def test_statements_return_their_results(self) -> None:
        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            await write(a, put({"x": [1]}))
            sums = [(await write(a, add(2))).result for _ in range(2)]
            lengths = [
                (await write(a, {"op": "append", "key": "l", "value": v})).result for v in "xy"
            ]
            self.assertEqual(["2", "4"], sums)
            self.assertEqual(["1", "2"], lengths)
            self.assertEqual('{"x":[1]}', (await read(a)).result)
            scanned = await read(a, {"op": "scan", "prefix": ""})
            self.assertEqual({"k": {"x": [1]}, "n": 4, "l": ["x", "y"]}, json.loads(scanned.result))
            self.assertEqual(5, scanned.position)

        self.run_on_group(check)

    def test_accounts_have_separate_maps(self) -> None:
        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            await write(a, put(1))
            self.assertEqual("null", (await read(a, client_account="bricola")).result)

        self.run_on_group(check)

    def test_invalid_statements_are_rejected_without_effect(self) -> None:
        """Guards against a read request that writes, and against half-applied statements."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            await write(a, put("text"))
            position = a.log.position
            replies = [
                await read(a, put(1)),
                await read(a, {"op": "drop"}),
                await write(a, add(1, key="k")),
                await write(a, {"op": "append", "key": "k", "value": 1}),
                await write(a, add(2**54)),
                await write(a, put(1) | {"extra": 1}),
                await a.execute(build_session(), ask(Action.WRITE, None)),
            ]
            self.assertEqual({StatementStatus.REJECTED}, {reply.status for reply in replies})
            self.assertEqual(position, a.log.position)

        self.run_on_group(check)

    def test_slots_limit_concurrent_statements(self) -> None:
        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            started = asyncio.get_running_loop().time()
            await asyncio.gather(*(read(a) for _ in range(6)))
            self.assertAlmostEqual(3.0, asyncio.get_running_loop().time() - started, 3)

        self.run_on_group(check, settings=ServerSettings(slots=2, statement_time_s=1.0))


class IdempotencyTests(VirtualTestCase):
    def test_repeat_is_answered_from_the_record(self) -> None:
        """Guards against running a non-repeatable write twice (I11)."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            replies = await asyncio.gather(
                *(write(a, add(1), idempotency_key="i1", request_id="r1") for _ in range(3))
            )
            self.assertEqual([False, True, True], sorted(reply.replayed for reply in replies))
            self.assertEqual({("1", 1)}, {(reply.result, reply.position) for reply in replies})
            other = await write(a, add(2), idempotency_key="i1")
            self.assertEqual(StatementStatus.KEY_REUSED, other.status)
            foreign = await write(a, add(2), idempotency_key="i1", client_account="bricola")
            self.assertEqual((StatementStatus.OK, False), (foreign.status, foreign.replayed))
            self.assertEqual(["r1"], [e.request_id for e in a.journal.executed if e.request_id])

        self.run_on_group(check, settings=ServerSettings(statement_time_s=0.1))

    def test_replay_after_failover_when_replicated(self) -> None:
        """Guards against an idempotency record that does not replicate with its write."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            first = await write(a, add(1), idempotency_key="i1")
            reached = await b.await_position(AwaitPosition(term=1, position=1, wait_s=1.0))
            self.assertEqual((True, 1), (reached.accepted, reached.position))
            await network.kill(A)
            await promote([b, c], leader=b, address=B, term=2)
            second = await write(b, add(1), idempotency_key="i1", term=2)
            self.assertEqual((True, first.result), (second.replayed, second.result))
            self.assertEqual(1, b.log.position)

        self.run_on_group(check)

    def test_record_of_a_discarded_entry_is_discarded(self) -> None:
        """Guards against a replay from the record of a write that was discarded in a failover."""

        async def check(
            network: BackendNetwork, a: DatabaseServer, b: DatabaseServer, c: DatabaseServer
        ) -> None:
            network.isolate(A, [])
            await write(a, add(1), idempotency_key="i1")
            await promote([b, c], leader=b, address=B, term=2)
            network.heal()
            a.follow(Follow(term=2, primary_address=B, start_position=0))
            await asyncio.sleep(3)
            await promote([a, b, c], leader=a, address=A, term=3)
            again = await write(a, add(1), idempotency_key="i1", term=3)
            self.assertEqual((False, "1"), (again.replayed, again.result))

        self.run_on_group(check)
