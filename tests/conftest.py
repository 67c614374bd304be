"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import re
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^(?P<mark>test|fails in some runs): (?P<node>tests/\S+::\S+)", re.MULTILINE)
FAILS_ALWAYS = "test"


def read_known_red(text: str) -> dict[str, bool]:
    """Return the id of each listed test, and whether it fails in every run."""
    return {found["node"]: found["mark"] == FAILS_ALWAYS for found in ENTRY.finditer(text)}


def list_known_red() -> dict[str, bool]:
    """Read the list of this checkout."""
    return read_known_red(LIST.read_text()) if LIST.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; if one that fails in every run passes, the run fails."""
    listed = list_known_red()
    for item in items:
        if item.nodeid in listed:
            strict = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=strict))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests, and how those of this run ended."""
    outcomes = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.getreports(outcome)
    }
    for node in list_known_red():
        terminalreporter.write_line(f"known red: {node} ({outcomes.get(node, 'not run')})")
