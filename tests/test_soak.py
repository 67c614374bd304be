"""Tests of the soak: its checks find each broken guarantee; a short seeded run breaks none."""

import asyncio
import tempfile
from dataclasses import replace
from pathlib import Path

import pytest
from testtools import TestCase

from lentilring.catalog.model import Consistency
from lentilring.soak.history import (
    Bounds,
    CallerOutcome,
    History,
    RecordedAnswer,
    Request,
    Withdrawal,
)
from lentilring.soak.relay import LinkFault, Relay
from lentilring.soak.run import run_soak
from lentilring.standin.prepared.servers import LoggedCommit, StatementRun

from .prepared import run

BOUNDS = Bounds(withdrawal_s=5.0, window_s=5.0, allowed_per_window={"planner": 3})
# A run of about a minute; longer ones are started by hand (docs/measurements.md).
CI_SEED = 7
CI_DURATION_S = 35.0


def build_request(name: str, *, text: str = "READ i1", sent_at: float = 10.0, **others) -> Request:  # type: ignore[no-untyped-def]
    values = {
        "id": name,
        "session": 1,
        "text": text,
        "account": "planner",
        "key": "k1",
        "consistency": Consistency.PRIMARY,
        "max_staleness_s": 1.5,
        "values": (),
        "shape": "",
        "transaction": 0,
        "transaction_began_at": 0.0,
        "sent_at": sent_at,
        **others,
    }
    return Request(**values)


def build_run(request: Request, **others) -> StatementRun:  # type: ignore[no-untyped-def]
    values = {
        "request_id": request.id,
        "text": request.text,
        "account": request.account,
        "server": "i-1",
        "in_transaction": False,
        "values": request.values,
        "applied": (1, 9),
        "shape": request.shape,
        "at": request.sent_at + 0.01,
        "connection": 1,
        **others,
    }
    return StatementRun(**values)


class HistoryTest(TestCase):
    def find(
        self,
        requests: list[Request],
        runs: list[StatementRun],
        *,
        answers: tuple[RecordedAnswer, ...] = (),
        log: tuple[LoggedCommit, ...] = (),
        rolled_back: tuple[LoggedCommit, ...] = (),
        withdrawals: tuple[Withdrawal, ...] = (),
    ) -> list[str]:
        history = History(
            requests={request.id: request for request in requests},
            answers=list(answers),
            withdrawals=list(withdrawals),
        )
        found = history.check(runs=runs, log=log, rolled_back=rolled_back, bounds=BOUNDS)
        return [entry.rule for entry in found]

    def test_clean_history(self) -> None:
        """Guards against checks that report a violation in a correct history."""
        read, write = build_request("r"), build_request("w", text="WRITE i1 d", sent_at=11.0)
        commit = LoggedCommit(position=(1, 10), writes=("w",))
        done = RecordedAnswer(request="w", outcome=CallerOutcome.DONE, commits=("w",), at=11.1)
        runs = [build_run(read), build_run(write)]
        self.assertEqual([], self.find([read, write], runs, answers=(done,), log=(commit,)))

    def test_changed_or_invented_statements(self) -> None:
        """Guards against statements that no caller sent, or for another account or session."""
        read = build_request("r", values=(("place", "v1"),))
        cases = {
            "unasked": build_run(read, text="READ i2"),
            "account": build_run(read, account="crew"),
            "pinned": build_run(read, values=()),
        }
        for rule, broken in cases.items():
            self.assertEqual([rule], self.find([read], [broken]))
        self.assertEqual(["unasked"], self.find([], [build_run(read)]))

    def test_writes_that_are_lost_repeated_or_wrongly_refused(self) -> None:
        """Guards against lost or repeated writes and refused writes that took effect."""
        write = build_request("w", text="WRITE i1 d")
        commit = LoggedCommit(position=(1, 10), writes=("w",))
        done = RecordedAnswer(request="w", outcome=CallerOutcome.DONE, commits=("w",), at=11.0)
        refused = replace(done, outcome=CallerOutcome.NOT_RUN)
        self.assertEqual(["lost"], self.find([write], [], answers=(done,)))
        self.assertEqual(["lost"], self.find([write], [], answers=(done,), rolled_back=(commit,)))
        self.assertEqual(["refused"], self.find([write], [], answers=(refused,), log=(commit,)))
        self.assertEqual(["twice"], self.find([write], [], log=(commit, commit)))

    def test_stale_reads(self) -> None:
        """Guards against reads that miss writes acknowledged before the read was sent."""
        write = build_request("w", text="WRITE i1 d", session=2)
        commit = LoggedCommit(position=(1, 10), writes=("w",))
        done = RecordedAnswer(request="w", outcome=CallerOutcome.DONE, commits=("w",), at=10.5)
        cases = [
            (Consistency.PRIMARY, 1, 10.6, ["stale"]),
            (Consistency.PRIMARY, 1, 10.4, []),
            (Consistency.BOUNDED, 1, 11.9, []),
            (Consistency.BOUNDED, 1, 12.1, ["stale"]),
            (Consistency.OWN_WRITES, 1, 10.6, []),
            (Consistency.OWN_WRITES, 2, 10.6, ["stale"]),
        ]
        for consistency, session, sent_at, expected in cases:
            read = build_request("r", consistency=consistency, session=session, sent_at=sent_at)
            found = self.find([write, read], [build_run(read)], answers=(done,), log=(commit,))
            self.assertEqual(expected, found, (consistency, session, sent_at))

    def test_transaction_that_changes_or_shares_its_connection(self) -> None:
        """Guards against statements of two callers inside one transaction."""
        first, second = (build_request(name, transaction=5) for name in ("a", "b"))
        other = build_request("o")
        moved = [build_run(first), build_run(second, connection=2)]
        self.assertEqual(["pinned"], self.find([first, second], moved))
        mixed = [build_run(first), build_run(other), build_run(second)]
        self.assertEqual(["pinned"], self.find([first, second, other], mixed))

    def test_withdrawn_keys_and_limits(self) -> None:
        """Guards against withdrawn keys that still work and accounts that exceed their rate."""
        late = build_request("r", sent_at=20.0)
        withdrawn = (Withdrawal(key="k1", at=14.0),)
        self.assertEqual(["key"], self.find([late], [build_run(late)], withdrawals=withdrawn))
        many = [build_request(f"r{index}", sent_at=10.0 + index) for index in range(4)]
        self.assertEqual(["limit"], self.find(many, [build_run(entry) for entry in many]))
        shared = [replace(entry, transaction=8) for entry in many]
        self.assertEqual([], self.find(shared, [build_run(entry) for entry in shared]))


class RelayTest(TestCase):
    def test_relay_cuts_one_way_and_silences_only_open_connections(self) -> None:
        """Guards against relay faults that have no effect, so that a soak would test nothing."""

        async def scenario() -> None:
            async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while line := await reader.readline():
                    writer.write(line)

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            relay = Relay(host="127.0.0.1")
            await relay.start(f"{host}:{port}")
            host, _, port = relay.address.rpartition(":")

            async def open_link() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                return await asyncio.open_connection(host, int(port))

            async def answers(link: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bool:
                link[1].write(b"x\n")
                try:
                    return await asyncio.wait_for(link[0].readline(), 0.3) == b"x\n"
                except (TimeoutError, OSError):
                    return False

            link = await open_link()
            self.assertTrue(await answers(link))
            relay.begin(LinkFault.CUT_ANSWERS)
            self.assertFalse(await answers(link))
            relay.end()
            link = await open_link()
            self.assertTrue(await answers(link))
            relay.begin(LinkFault.SILENCE_OPEN)
            self.assertFalse(await answers(link))
            self.assertTrue(await answers(await open_link()))
            relay.end()
            relay.begin(LinkFault.REFUSE)
            self.assertFalse(await answers(await open_link()))
            await relay.stop()
            server.close()

        run(scenario())


class SilentLinkTest(TestCase):
    def test_end_of_a_silent_connection_is_not_passed_on(self) -> None:
        """Guards against a relay that shows a proxy that its connection was silent (review/11)."""

        async def scenario() -> None:
            accepted: list[asyncio.StreamWriter] = []

            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                accepted.append(writer)
                await reader.read()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            relay = Relay(host="127.0.0.1")
            await relay.start(f"{host}:{port}")
            host, _, port = relay.address.rpartition(":")
            reader, _ = await asyncio.open_connection(host, int(port))
            while not accepted:
                await asyncio.sleep(0.01)
            relay.begin(LinkFault.SILENCE_OPEN)
            accepted[0].close()
            done, _ = await asyncio.wait({asyncio.ensure_future(reader.read())}, timeout=0.3)
            self.assertEqual(set(), done)
            await relay.stop()
            server.close()

        run(scenario())


@pytest.mark.process
class SoakTest(TestCase):
    def test_short_run_breaks_no_promise(self) -> None:
        """Guards against any broken guarantee in a short run of three real processes."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        result = asyncio.run(
            run_soak(
                seed=CI_SEED, duration_s=CI_DURATION_S, vms=3, folder=Path(folder.name), callers=8
            )
        )
        self.assertEqual((), result.violations)
        self.assertGreater(result.done, 0)
        self.assertIn("store_restored", result.faults)
        self.assertGreater(len(set(result.faults)), 1)
