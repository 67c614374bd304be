"""Tests of the state file of the backend server stand-in."""

import tempfile
from pathlib import Path

from testtools import TestCase

from lentilring.database.messages import AwaitPosition, Fence, Follow, Lead, Role, StatementStatus
from lentilring.standin.database import DatabaseServer
from lentilring.standin.storage import StateFile, StateFileInvalid

from .fakes_database import BackendNetwork
from .test_database_standin import A, B, C, add, promote, write
from .virtual_time import run_virtual


class StateFileTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "state"

    def restart(self) -> DatabaseServer:
        """Return a new server on the same file, as after a restart of the process."""
        state = StateFile(path=self.path)
        self.addCleanup(state.close)
        return DatabaseServer(name="a", state=state)

    def test_promises_and_entries_survive_a_restart(self) -> None:
        """Guards against a restarted server that confirms a term which it had fenced off (I2)."""

        async def body() -> None:
            server = self.restart()
            server.lead(Lead(term=2, start_position=0))
            await write(server, add(1), term=2, idempotency_key="i1")
            self.assertEqual(Role.PRIMARY, self.restart().report_status().role)
            server.fence(Fence(term=5))
            again = self.restart()
            self.assertEqual(server.report_status(), again.report_status())
            self.assertEqual(StatementStatus.STALE_TERM, (await write(again, add(1))).status)
            again.lead(Lead(term=6, start_position=1))
            repeated = await write(again, add(1), term=6, idempotency_key="i1")
            self.assertEqual((True, "1"), (repeated.replayed, repeated.result))

        run_virtual(body())

    def test_truncated_and_replicated_log_survives_a_restart(self) -> None:
        """Guards against discarded entries that reappear after a restart."""

        async def body() -> None:
            network = BackendNetwork()
            state = StateFile(path=self.path)
            self.addCleanup(state.close)
            a, b, c = network.add(A, state=state), network.add(B), network.add(C)
            a.lead(Lead(term=1, start_position=0))
            for _ in range(3):
                await write(a, add(100))
            await promote([b, c], leader=b, address=B, term=2)
            await write(b, add(1), term=2)
            a.follow(Follow(term=2, primary_address=B, start_position=0))
            self.assertEqual(B, self.restart().replication.primary_address)
            await a.await_position(AwaitPosition(term=2, position=1, wait_s=5.0))
            again = self.restart()
            self.assertEqual(b.log.entries, again.log.entries)
            self.assertEqual({"n": 1}, again.log.maps["khaima"])
            self.assertEqual(a.report_status().log_terms, again.report_status().log_terms)
            self.assertEqual((2, B), (again.matched_term, again.replication.primary_address))

        run_virtual(body())

    def test_incomplete_last_line_is_cut_off(self) -> None:
        """Guards against a file that cannot be read after a kill in the middle of a write."""
        self.restart().fence(Fence(term=3))
        with self.path.open("ab") as file:
            file.write(b'{"kind":"truncated","posi')
        self.restart().fence(Fence(term=4))
        self.assertEqual(4, self.restart().term)
        with self.path.open("ab") as file:
            file.write(b"{}\n")
        self.assertRaises(StateFileInvalid, self.restart)
