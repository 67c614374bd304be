"""Tests of `lentilctl explain` on the logs of several processes."""

import tempfile
from pathlib import Path

from testtools import TestCase
from typer.testing import CliRunner

from lentilring.cli.ctl import application
from lentilring.cli.explain import format_explanation
from lentilring.operations.explanation import explain_request, read_event, read_events

LINES = """\
vm-a | time=2026-12-04T11:00:01.000000Z level=INFO source=catalog event=manifest_taken version=23 revision=90
vm-a | time=2026-12-04T11:00:05.000000Z level=WARNING source=fleet event=peer_lost peer=vm-b detail="no answer"
vm-a | time=2026-12-04T11:00:05.100000Z level=INFO source=leases event=lead_unproved server=i-1 others=silent;silent
vm-a | time=2026-12-04T11:00:05.150000Z level=INFO source=leases event=lead_unproved server=i-2 others=silent
vm-a | time=2026-12-04T11:00:05.200000Z level=WARNING source=gateway event=statement_broken request=r1 server=i-1 failure=uncertain sent=True detail="timed \\"out\\""
vm-c | time=2026-12-04T11:00:05.210000Z level=INFO source=statements event=statement request=r1 work=commit account=planner gateway=vm-a server=i-1 outcome=uncertain detail="timed out" manifest=23
vm-c | time=2026-12-04T11:00:05.300000Z level=INFO source=statements event=statement request=r2 work=read server=i-1 outcome=done detail=- manifest=23
vm-c | time=2026-12-04T11:00:09.000000Z level=INFO source=takeover event=lead_changed server=i-1
not a line of ours
time=yesterday event=odd
"""  # noqa: E501


class ExplanationTest(TestCase):
    def test_request_is_followed_through_all_processes(self) -> None:
        """Guards against missing lines of the gateway and lines of other requests."""
        explanation = explain_request("r1", read_events(LINES.splitlines()))
        assert explanation is not None
        names = [(event.origin, event.name) for event in explanation.events]
        self.assertEqual([("vm-a", "statement_broken"), ("vm-c", "statement")], names)
        self.assertEqual(("uncertain", "timed out"), (explanation.outcome, explanation.detail))

    def test_beliefs_are_those_about_its_server_gateway_and_manifest_before_its_end(self) -> None:
        """Guards against related events that came later or that concern other servers."""
        explanation = explain_request("r1", read_events(LINES.splitlines()))
        assert explanation is not None
        self.assertEqual(
            ["manifest_taken", "lead_unproved"],
            [event.name for event in explanation.related_events],
        )
        self.assertEqual("i-1", explanation.related_events[1].values["server"])

    def test_unknown_request_and_foreign_lines(self) -> None:
        """Guards against a failure on lines that other programs wrote."""
        self.assertIsNone(explain_request("r9", read_events(LINES.splitlines())))
        self.assertIsNone(read_event("not a line of ours"))
        self.assertIsNone(read_event("time=yesterday event=odd"))

    def test_quoted_values(self) -> None:
        """Guards against values that are cut off at an escaped quote."""
        event = read_event(LINES.splitlines()[4])
        assert event is not None
        self.assertEqual('timed "out"', event.values["detail"])

    def test_text_gives_times_relative_to_the_first_line(self) -> None:
        """Guards against absolute times, which readers would have to subtract."""
        explanation = explain_request("r1", read_events(LINES.splitlines()))
        assert explanation is not None
        lines = format_explanation(explanation)
        self.assertEqual("request r1 ended as uncertain: timed out", lines[0])
        self.assertIn("-4200.0 ms  belief", lines[1])
        self.assertIn("+10.0 ms  request", lines[-1])

    def test_command_reads_files_and_standard_input(self) -> None:
        """Guards against a command that reads only one file or only standard input."""
        folder = Path(self.make_folder())
        lines = LINES.splitlines(keepends=True)
        (folder / "a.log").write_text("".join(lines[:5]))
        (folder / "c.log").write_text("".join(lines[5:]))
        files = [str(folder / "a.log"), str(folder / "c.log")]
        runner = CliRunner()
        from_files = runner.invoke(application, ["explain", "r1", *files])
        from_input = runner.invoke(application, ["explain", "r1"], input=LINES)
        self.assertEqual(0, from_files.exit_code, from_files.output)
        self.assertEqual(from_files.output, from_input.output)
        missing = runner.invoke(application, ["explain", "r9"], input=LINES)
        self.assertEqual(1, missing.exit_code)

    def make_folder(self) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name
