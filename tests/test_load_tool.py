"""The load tool: scenario files, arrivals, and a run against a proxy of a few lines."""

import asyncio
import io
import tempfile
from pathlib import Path

import yaml
from aiohttp import ClientSession, web
from testtools import TestCase
from typer.testing import CliRunner

from lentilring.cli.load import application
from lentilring.loadtest.arrivals import schedule_arrivals
from lentilring.loadtest.client import parse_answer
from lentilring.loadtest.records import (
    AccountLimits,
    FaultMark,
    LogInvalid,
    LogWriter,
    RequestKind,
    RequestOutcome,
    RunHeader,
    read_log,
)
from lentilring.loadtest.report import draw_report
from lentilring.loadtest.runner import LoadRun
from lentilring.loadtest.scenario import ScenarioInvalid, read_scenario

from .test_load_checks import build_request

SCENARIO = {
    "name": "small",
    "service": "rental-core",
    "databases": ["tents"],
    "routes": {"read": "stock", "write": "book", "repeatable_write": "note"},
    "proxies": {"vm-1": {"address": "127.0.0.1:1", "failure_domain": "casa-a"}},
    "accounts": [
        {
            "name": "crew",
            "key": "the-key",
            "key_id": "crew-1",
            "rate_per_s": 100,
            "burst": 100,
            "offered_per_s": 50,
        }
    ],
    "phases": [
        {"name": "warm-up", "duration_s": 1, "measured": False},
        {"name": "five-times", "duration_s": 10, "factors": {"crew": 5}},
    ],
}


class ScenarioCase(TestCase):
    """Write scenarios into a directory of the test."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, **changes: object) -> Path:
        file = self.folder / "scenario.yaml"
        file.write_text(yaml.safe_dump({**SCENARIO, **changes}))
        return file


class ScenarioTest(ScenarioCase):
    """Scenario files are checked as a whole."""

    def test_unknown_fields_are_refused_with_their_path(self) -> None:
        phases = [{"name": "even", "duration_s": 1, "lenght": 2}]
        error = self.assertRaises(ScenarioInvalid, read_scenario, self.write(phases=phases))
        self.assertEqual("phases.0.lenght", error.path)

    def test_unknown_kind_of_fault_is_refused(self) -> None:
        faults = [{"at_s": 1, "name": "x", "action": {"kind": "reboot"}}]
        error = self.assertRaises(ScenarioInvalid, read_scenario, self.write(faults=faults))
        self.assertEqual("faults.0.action", error.path)

    def test_program_reports_an_invalid_scenario_as_wrong_use(self) -> None:
        done = CliRunner().invoke(application, ["validate", str(self.write(seed="x"))])
        self.assertEqual(2, done.exit_code)
        self.assertIn("seed", done.output)

    def test_program_exits_with_failure_on_a_violation(self) -> None:
        """A check in CI relies on the exit code."""
        log = self.folder / "log.jsonl"
        limits = AccountLimits(rate_per_s=1.0, burst=1.0)
        header = RunHeader(
            scenario="x", seed=1, accounts={"crew": limits}, proxies={}, backend_servers={}
        )
        for count, code in ((1, 0), (5, 1)):
            with log.open("wb") as stream:
                writer = LogWriter(stream=stream)
                writer.write(header)
                for number in range(count):
                    writer.write(build_request(0.0, number))
            done = CliRunner().invoke(application, ["check", str(log)])
            self.assertEqual(code, done.exit_code, done.output)

    def test_line_that_cannot_be_read_is_named(self) -> None:
        log = self.folder / "log.jsonl"
        log.write_text("{}\n")
        self.assertRaises(LogInvalid, read_log, log)
        done = CliRunner().invoke(application, ["check", str(log)])
        self.assertEqual(2, done.exit_code)
        self.assertIn("log.jsonl:1", done.output)


class ArrivalTest(ScenarioCase):
    """Arrivals depend on the seed alone."""

    def test_arrivals_are_reproducible_and_follow_the_phases(self) -> None:
        """About 50 in the first second and 2,500 in the ten at 5 times the rate."""
        scenario = read_scenario(self.write())
        arrivals = list(schedule_arrivals(scenario))
        self.assertEqual(arrivals, list(schedule_arrivals(scenario)))
        self.assertEqual(arrivals, sorted(arrivals))
        counts = [sum(a.phase == name for a in arrivals) for name in ("warm-up", "five-times")]
        self.assertTrue(25 < counts[0] < 80, counts)
        self.assertTrue(2300 < counts[1] < 2700, counts)


class RunTest(ScenarioCase):
    """A run writes every request and fault, and never a key."""

    def test_run_writes_a_log_that_the_checks_and_the_report_read(self) -> None:
        log = asyncio.run(self.play())
        self.assertNotIn(b"the-key", log.read_bytes())
        found = read_log(log)
        self.assertEqual({"warm-up", "even"}, {record.phase for record in found.requests})
        kinds = {record.kind for record in found.requests}
        self.assertIn(RequestKind.READ, kinds)
        self.assertIn(RequestKind.COMMIT, kinds)
        # The first attempt of each write has no answer; its repeat carries the same key.
        writes = [r for r in found.requests if r.kind is RequestKind.WRITE]
        outcomes = {r.outcome for r in writes}
        self.assertEqual({RequestOutcome.OUTCOME_UNKNOWN, RequestOutcome.COMPLETED}, outcomes)
        self.assertEqual(len(writes), 2 * len({r.idempotency_key for r in writes}))
        # A mark is written when its action has ended.
        note, bad = sorted(found.faults, key=lambda mark: mark.began)
        self.assertEqual(["note", "bad"], [note.name, bad.name])
        self.assertEqual("exit 0: done", note.output)
        self.assertGreater(note.effective, note.began)
        self.assertTrue(bad.output.startswith("failed"))
        draw_report(found, self.folder / "report.png")
        self.assertTrue((self.folder / "report.png").read_bytes().startswith(b"\x89PNG"))

    def test_answers_of_another_form_leave_the_outcome_unknown(self) -> None:
        """A gateway's error page must not count as a refusal that did not run."""
        for body in (b"<html>", b"[]", b"{}", b'{"outcome": "maybe"}'):
            answer = parse_answer("vm-1", 502, body)
            self.assertEqual(RequestOutcome.OUTCOME_UNKNOWN, answer.outcome)

    async def play(self) -> Path:
        """Run a scenario against a proxy that loses the first answer to each write."""
        seen: set[str] = set()

        async def answer(request: web.Request) -> web.StreamResponse:
            key = request.headers.get("Idempotency-Key", "")
            if request.path.endswith("/book") and key not in seen:
                seen.add(key)
                assert request.transport is not None
                request.transport.abort()
            return web.json_response({"outcome": "completed", "result": "t1"})

        async def report_ready(_: web.Request) -> web.StreamResponse:
            return web.json_response({})

        server = web.Application()
        server.router.add_get("/ready", report_ready)
        server.router.add_post("/{path:.*}", answer)
        runner = web.AppRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        scenario = read_scenario(
            self.write(
                proxies={"vm-1": {"address": f"127.0.0.1:{port}"}},
                phases=[
                    {"name": "warm-up", "duration_s": 0.2, "measured": False},
                    {"name": "even", "duration_s": 0.4},
                ],
                faults=[
                    {
                        "at_s": 0.1,
                        "name": "note",
                        "action": {"kind": "command", "arguments": ["echo", "done"]},
                    },
                    {
                        "at_s": 0.2,
                        "name": "bad",
                        "action": {"kind": "signal", "process": "none", "signal": "SIGKILL"},
                    },
                ],
                mix={"read": 1, "write": 1, "repeatable_write": 1, "transaction": 1},
            )
        )
        stream = io.BytesIO()
        async with ClientSession() as http:
            writer = LogWriter(stream=stream)
            await LoadRun(scenario=scenario, http=http, writer=writer, work=self.folder).play()
        await runner.cleanup()
        log = self.folder / "requests.jsonl"
        log.write_bytes(stream.getvalue())
        assert any(isinstance(mark, FaultMark) for mark in read_log(log).faults)
        return log
