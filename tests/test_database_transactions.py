"""Tests of transactions of the backend server stand-in."""

import asyncio
from typing import Any

from lentilring.database.messages import Action, Fence, Lead, StatementReply, StatementStatus
from lentilring.standin.database import DatabaseServer, ServerSettings
from lentilring.standin.sessions import DatabaseSession

from .fakes_database import BackendNetwork
from .test_database_standin import VirtualTestCase, add, ask, build_session, put, read, write


async def run(
    server: DatabaseServer,
    session: DatabaseSession,
    action: Action,
    statement: object = None,
    **fields: Any,
) -> StatementReply:
    return await server.execute(session, ask(action, statement, **fields))


class TransactionTests(VirtualTestCase):
    def test_writes_are_invisible_until_commit(self) -> None:
        """Guards against one caller's transaction mixing with another's (I3)."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            one, two = build_session(), build_session()
            for session, value in ((one, "one"), (two, "two")):
                await run(a, session, Action.BEGIN)
                await run(a, session, Action.WRITE, put(value))
                await run(a, session, Action.WRITE, add(1))
            own = [await run(a, s, Action.READ, {"op": "get", "key": "k"}) for s in (one, two)]
            self.assertEqual(['"one"', '"two"'], [reply.result for reply in own])
            self.assertEqual("null", (await read(a)).result)
            committed = await run(a, one, Action.COMMIT)
            self.assertEqual(("[null,1]", 1), (committed.result, committed.position))
            self.assertEqual('"one"', (await read(a)).result)
            self.assertEqual("[null,2]", (await run(a, two, Action.COMMIT)).result)
            self.assertEqual({"k": "two", "n": 2}, a.log.maps["khaima"])

        self.run_on_group(check)

    def test_rollback_and_close_discard_writes(self) -> None:
        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            for end in ("rollback", "close"):
                session = build_session()
                await run(a, session, Action.BEGIN)
                await run(a, session, Action.WRITE, put(1))
                if end == "close":
                    session.close()
                else:
                    await run(a, session, Action.ROLLBACK)
                reply = await run(a, session, Action.COMMIT)
                self.assertEqual(StatementStatus.REJECTED, reply.status)
            self.assertEqual(0, a.log.position)

        self.run_on_group(check)

    def test_commit_is_replayed_by_its_key(self) -> None:
        """Guards against a transaction that is applied twice after a lost answer (I11)."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            replies = []
            for amount in (1, 1, 2):
                session = build_session()
                await run(a, session, Action.BEGIN)
                await run(a, session, Action.WRITE, add(amount))
                replies.append(await run(a, session, Action.COMMIT, idempotency_key="i1"))
            replies.append(await run(a, build_session(), Action.COMMIT, idempotency_key="i1"))
            self.assertEqual(
                [False, True, False, True], [reply.replayed for reply in replies], replies
            )
            self.assertEqual(StatementStatus.KEY_REUSED, replies[2].status)
            self.assertEqual({"n": 1}, a.log.maps["khaima"])
            single = await write(a, add(1), idempotency_key="i1")
            self.assertEqual(StatementStatus.KEY_REUSED, single.status)
            await write(a, add(1), idempotency_key="i2")
            bare = await run(a, build_session(), Action.COMMIT, idempotency_key="i2")
            self.assertEqual(StatementStatus.REJECTED, bare.status)

        self.run_on_group(check)

    def test_term_change_ends_a_transaction(self) -> None:
        """Guards against a write that is applied alone because its transaction is gone."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            session = build_session()
            a.sessions.add(session)
            await run(a, session, Action.BEGIN)
            await run(a, session, Action.WRITE, put(1))
            a.fence(Fence(term=2))
            a.lead(Lead(term=2, start_position=0))
            for action, statement in ((Action.WRITE, put(2)), (Action.COMMIT, None)):
                reply = await run(a, session, action, statement, term=2)
                self.assertEqual(StatementStatus.STALE_TERM, reply.status)
            self.assertEqual(0, a.log.position)

        self.run_on_group(check)

    def test_fence_stops_a_commit_that_is_running(self) -> None:
        """Guards against a commit that is applied under a term which has ended."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            session = build_session()
            await run(a, session, Action.BEGIN)
            await run(a, session, Action.WRITE, put(1))
            committing = asyncio.ensure_future(run(a, session, Action.COMMIT))
            await asyncio.sleep(0.5)
            a.fence(Fence(term=2))
            self.assertEqual(StatementStatus.STALE_TERM, (await committing).status)
            self.assertEqual(0, a.log.position)

        self.run_on_group(check, settings=ServerSettings(statement_time_s=1.0))

    def test_commit_that_cannot_run_applies_nothing(self) -> None:
        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            session = build_session()
            await run(a, session, Action.BEGIN)
            await run(a, session, Action.WRITE, put(1))
            await run(a, session, Action.WRITE, add(1))
            await write(a, put("text", key="n"))
            reply = await run(a, session, Action.COMMIT)
            self.assertEqual(StatementStatus.REJECTED, reply.status)
            self.assertEqual({"n": "text"}, a.log.maps["khaima"])

        self.run_on_group(check)

    def test_another_account_cannot_use_a_transaction(self) -> None:
        """Guards against a connection that carries one account's transaction to another (I3)."""

        async def check(network: BackendNetwork, a: DatabaseServer, *_: DatabaseServer) -> None:
            session = build_session()
            await run(a, session, Action.BEGIN)
            for action, statement in ((Action.WRITE, put(2)), (Action.ROLLBACK, None)):
                reply = await run(a, session, action, statement, client_account="bricola")
                self.assertEqual(StatementStatus.REJECTED, reply.status)
            nested = await run(a, session, Action.BEGIN)
            keyed = await run(a, session, Action.WRITE, put(2), idempotency_key="i1")
            self.assertEqual({StatementStatus.REJECTED}, {nested.status, keyed.status})

        self.run_on_group(check)
